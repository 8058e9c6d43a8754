package gradereach.delay;

/**
 * Tracks the delay between the time at which a final answer is due and the time at which its bytes are handed to the
 * socket: the decision thread reaches a deadline late, and the event loop reaches the answer late. A front end on a busy
 * machine sheds and fails inferences that much earlier. Thread-safe.
 */
public final class AnswerDelay {
    private static final double DECAY_MILLIS = 10_000; // as long as a machine typically stays busy
    /**
     * Limit of each delay. Together they stay below the 150 ms by which a deadline passed on to an executor may be longer than
     * what the client has left: the delays come after that deadline was computed.
     */
    private static final double MAX_DELAY_MILLIS = 60;
    /** The margin is at most this fraction of a client's timeout; this limits it for clients with a short timeout. */
    private static final double MAX_TIMEOUT_FRACTION = 0.25;

    private final RecentDelay decisionDelay = new RecentDelay(DECAY_MILLIS, MAX_DELAY_MILLIS);
    private final RecentDelay writeDelay = new RecentDelay(DECAY_MILLIS, MAX_DELAY_MILLIS);

    /** Records how many milliseconds after its due time the decision thread had handled a timer. */
    public void recordDecisionDelay(double delayMillis, double now) {
        decisionDelay.recordDelay(delayMillis, now);
    }

    /** Records how many milliseconds after its decision an answer was handed to its socket. */
    public void recordWriteDelay(double delayMillis, double now) {
        writeDelay.recordDelay(delayMillis, now);
    }

    /** How many milliseconds early to answer a client that waits {@code timeoutMillis}. */
    public double margin(double timeoutMillis, double now) {
        return Math.min(MAX_TIMEOUT_FRACTION * timeoutMillis, decisionDelay.margin(now) + writeDelay.margin(now));
    }
}
