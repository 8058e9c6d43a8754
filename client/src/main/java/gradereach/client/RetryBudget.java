package gradereach.client;

/**
 * Token bucket that bounds the retries of all inferences of a client: each first attempt adds a tenth of a token, a retry takes
 * one. It keeps retries from adding to an overload when most attempts fail.
 */
final class RetryBudget {
    /** Retries add at most 10% over time, which a fleet near its capacity can still serve. */
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.1;
    private static final double MAX_TOKENS = 10; // lets the inferences that are open during a short fault be retried
    private double tokens = MAX_TOKENS;
    private long rejected;

    /** Adds a part of a token for the first attempt of an inference. */
    void recordFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
    }

    /** Takes a token for a retry; false if there is none. */
    boolean tryAcquire() {
        if (tokens < 1) {
            rejected++;
            return false;
        }
        tokens--;
        return true;
    }

    /** Retries that found no token. */
    long rejected() {
        return rejected;
    }
}
