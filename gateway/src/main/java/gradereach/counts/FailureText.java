package gradereach.counts;

/** Describes exceptions for log lines: many that the JDK throws have no message, and some have only a cause. */
public final class FailureText {
    private FailureText() { }

    /** Returns the exception's simple class name and the first message found along its chain of causes. */
    public static String describe(Throwable failure) {
        String kind = failure.getClass().getSimpleName();
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause.getMessage() != null) {
                return kind + ": " + cause.getMessage();
            }
        }
        return failure.getCause() == null ? kind : kind + ": " + failure.getCause().getClass().getSimpleName();
    }
}
