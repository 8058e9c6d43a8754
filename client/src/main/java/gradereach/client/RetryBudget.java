package gradereach.client;

/**
 * What a client may spend on repeats over all its inferences: a tenth of its first tries, and a handful to begin with.
 * When everything fails, clients that repeat without such a bound are themselves the next flood.
 */
final class RetryBudget {
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.1; // retries at most 10% over time: what a fleet near its bound can bear
    private static final double MAX_TOKENS = 10; // a short fault may be ridden out by every inference that is open then
    private double tokens = MAX_TOKENS;
    private long rejected;

    void recordFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
    }

    boolean tryAcquire() {
        if (tokens < 1) {
            rejected++;
            return false;
        }
        tokens--;
        return true;
    }

    long rejected() {
        return rejected;
    }
}
