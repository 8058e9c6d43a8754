package gradereach.api;

/** How a forward, a probe or a load order ended. */
public enum Outcome {
    RETURNED(false),
    ERROR(false),
    FULL(true),
    TIMED_OUT(false),
    CONNECT_FAILED(true),
    RESET(false),
    CANCELLED(false),
    NEVER_SENT(true),
    MISS(true);

    /** Whether a forward with this outcome is known not to have run. */
    public final boolean provesNotRun;

    Outcome(boolean provesNotRun) {
        this.provesNotRun = provesNotRun;
    }
}
