package gradereach.client;

/**
 * What one try came to.
 *
 * @param pause milliseconds that the front end asks to wait, 0 for nothing
 * @param harmless whether the front end says that the same message may come again
 * @param leaving whether that front end takes nothing more: another may
 * @param answer of a returned one, in the form of its way; null otherwise
 * @param why a sentence, for what was not returned
 */
public record AttemptOutcome(Kind kind, double retryAfterMillis, boolean retrySafe, boolean frontEndDraining, Object answer, String detail) {
    /** Ways in which a try ends. */
    public enum Kind {
        RETURNED, SHED, FAILED,
        /** The message cannot be an inference, or not this client's. */
        REFUSED,
        /** Nothing of it left this machine. */
        NEVER_SENT,
        /** It left, and no answer came. */
        LOST
    }

    static AttemptOutcome returned(Object answer) {
        return new AttemptOutcome(Kind.RETURNED, 0, true, false, answer, null);
    }

    static AttemptOutcome notReturned(Kind kind, String why) {
        return new AttemptOutcome(kind, 0, kind == Kind.NEVER_SENT, kind == Kind.NEVER_SENT, null, why);
    }
}
