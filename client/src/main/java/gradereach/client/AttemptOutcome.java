package gradereach.client;

/**
 * The outcome of one attempt.
 *
 * @param retryAfterMillis delay that the front end requests before a retry, 0 for none
 * @param retrySafe whether the front end reports that the same message may be sent again
 * @param frontEndDraining whether that front end accepts no more inferences or could not be reached, so that another should be tried
 * @param answer the answer in the transport's form if one was returned, else null
 * @param detail why no answer was returned, else null
 */
public record AttemptOutcome(Kind kind, double retryAfterMillis, boolean retrySafe, boolean frontEndDraining, Object answer,
        String detail) {
    /** How an attempt ended. */
    public enum Kind {
        RETURNED, SHED, FAILED,
        /** The request is invalid or not authenticated. */
        REFUSED,
        /** Nothing was sent. */
        NEVER_SENT,
        /** The request was sent and no answer arrived; it may have taken effect. */
        LOST
    }

    static AttemptOutcome returned(Object answer) {
        return new AttemptOutcome(Kind.RETURNED, 0, true, false, answer, null);
    }

    static AttemptOutcome notReturned(Kind kind, String detail) {
        return new AttemptOutcome(kind, 0, kind == Kind.NEVER_SENT, kind == Kind.NEVER_SENT, null, detail);
    }
}
