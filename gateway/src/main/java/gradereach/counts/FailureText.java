package gradereach.counts;

/** What a failure's line in the log says: many of the platform's exceptions have no message, and some only a cause. */
public final class FailureText {
    private FailureText() { }

    /** Its kind, and the first message that it or a cause of it has. */
    public static String describe(Throwable failure) {
        String kind = failure.getClass().getSimpleName();
        for (Throwable at = failure; at != null; at = at.getCause()) {
            if (at.getMessage() != null) {
                return kind + ": " + at.getMessage();
            }
        }
        return failure.getCause() == null ? kind : kind + ": " + failure.getCause().getClass().getSimpleName();
    }
}
