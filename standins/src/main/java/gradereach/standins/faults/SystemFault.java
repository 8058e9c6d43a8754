package gradereach.standins.faults;

/**
 * A fault that is injected into one kind of system call during an interval after the start of a process.
 *
 * @param call the system call that fails
 * @param effect in the form of the shim: an errno, {@code short}, {@code stop}, or a clock step in milliseconds
 * @param rate probability of the fault in each call
 * @param fromMillis start of the interval, since the start of the process
 * @param toMillis end of the interval, since the start of the process
 */
public record SystemFault(FaultyCall call, String effect, double rate, long fromMillis, long toMillis) {
    private static final String SHORT = "short";
    private static final String STOP = "stop";

    /** The call returns this error and has no effect. */
    public static SystemFault error(FaultyCall call, Errno error, double rate, long fromMillis, long toMillis) {
        return new SystemFault(call, Integer.toString(error.number), rate, fromMillis, toMillis);
    }

    /** The call, a read or write, transfers fewer bytes than requested. */
    public static SystemFault shortTransfer(FaultyCall call, double rate, long fromMillis, long toMillis) {
        return new SystemFault(call, SHORT, rate, fromMillis, toMillis);
    }

    /**
     * The process sends itself SIGSTOP before the call, a read or write of a TCP socket, and makes the call once it is
     * continued.
     */
    public static SystemFault stop(FaultyCall call, double rate, long fromMillis, long toMillis) {
        return new SystemFault(call, STOP, rate, fromMillis, toMillis);
    }

    /** The wall clock is shifted by {@code stepMillis}; the monotonic clock is not affected. */
    public static SystemFault clockStep(long stepMillis, long fromMillis, long toMillis) {
        return new SystemFault(FaultyCall.CLOCK, Long.toString(stepMillis), 1, fromMillis, toMillis);
    }

    /** The fault in the form that the shim parses. */
    String toRule() {
        return call.ruleName + ":" + effect + ":" + rate + ":" + fromMillis + ":" + toMillis;
    }
}
