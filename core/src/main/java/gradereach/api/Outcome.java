package gradereach.api;

/** How a forward, a probe or a load order ended. */
public enum Outcome {
    /** The executor answered with success. */
    RETURNED(false),
    /** The executor answered with an error. */
    ERROR(false),
    /** The executor had no capacity and did not begin it. */
    FULL(true),
    /** No answer came in time. */
    TIMED_OUT(false),
    /** No connection could be opened, or the request was not written in full. */
    CONNECT_FAILED(true),
    /** The connection broke, or the answer was unreadable, after the executor may have read the request. */
    RESET(false),
    /** The front end gave it up. */
    CANCELLED(false),
    /** It was not sent, or it is known that the executor did not begin it. */
    NEVER_SENT(true),
    /** The executor has no copy of the model, or could not load one, and did not begin the inference. */
    MISS(true);

    /** Whether a forward with this outcome is known not to have run. */
    public final boolean provesNotRun;

    Outcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
