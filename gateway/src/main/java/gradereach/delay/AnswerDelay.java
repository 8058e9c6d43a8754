package gradereach.delay;

/**
 * How long a final answer takes from when it is due until its bytes are handed to the socket: the deciding thread comes
 * late to a deadline, and the event loop comes late to the answer. A front end on a busy machine plans its refusals that
 * much earlier. Any thread.
 */
public final class AnswerDelay {
    private static final double DECAY_MILLIS = 10_000; // as long as a busy spell of a machine lasts
    /** Of either part. Both together stay within the slack of a deadline that is passed on (150 ms). */
    private static final double MAX_DELAY_MILLIS = 60;
    /** A client with little time keeps most of it. */
    private static final double MAX_BUDGET_SHARE = 0.25;

    private final RecentDelay decisionDelay = new RecentDelay(DECAY_MILLIS, MAX_DELAY_MILLIS);
    private final RecentDelay writeDelay = new RecentDelay(DECAY_MILLIS, MAX_DELAY_MILLIS);

    /** The deciding thread was done with what was due so many milliseconds before. */
    public void recordDecisionDelay(double late, double now) {
        decisionDelay.recordDelay(late, now);
    }

    /** An answer was handed to its socket so many milliseconds after it was decided. */
    public void recordWriteDelay(double took, double now) {
        writeDelay.recordDelay(took, now);
    }

    /** Milliseconds by which to be early with the answer to a client that waits {@code budget} milliseconds. */
    public double margin(double budget, double now) {
        return Math.min(MAX_BUDGET_SHARE * budget, decisionDelay.margin(now) + writeDelay.margin(now));
    }
}
