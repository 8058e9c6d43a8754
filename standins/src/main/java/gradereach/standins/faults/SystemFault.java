package gradereach.standins.faults;

/**
 * One kind of fault in a span of a process's life.
 *
 * @param call what fails
 * @param effect as the shim reads it: an error number, {@code short}, {@code stop}, or the step of a clock in milliseconds
 * @param rate probability for each call
 * @param fromMillis begin of the span, since the process was started
 * @param toMillis end of the span
 */
public record SystemFault(FaultyCall call, String effect, double rate, long fromMillis, long toMillis) {
    private static final String SHORT = "short";
    private static final String STOP = "stop";

    /** The call returns this error and has no effect. */
    public static SystemFault error(FaultyCall call, Errno error, double rate, long fromMillis, long toMillis) {
        return new SystemFault(call, Integer.toString(error.number), rate, fromMillis, toMillis);
    }

    /** The call transfers fewer bytes than it was asked to. */
    public static SystemFault shortTransfer(FaultyCall call, double rate, long fromMillis, long toMillis) {
        return new SystemFault(call, SHORT, rate, fromMillis, toMillis);
    }

    /** The process stops itself before the call (SIGSTOP), which goes on once somebody continues it. */
    public static SystemFault stop(FaultyCall call, double rate, long fromMillis, long toMillis) {
        return new SystemFault(call, STOP, rate, fromMillis, toMillis);
    }

    /** The wall clock is off by so much; the monotonic clock is not. */
    public static SystemFault clockStep(long stepMillis, long fromMillis, long toMillis) {
        return new SystemFault(FaultyCall.CLOCK, Long.toString(stepMillis), 1, fromMillis, toMillis);
    }

    String toRule() {
        return call.ruleName + ":" + effect + ":" + rate + ":" + fromMillis + ":" + toMillis;
    }
}
