package gradereach.client;

import gradereach.client.GradereachClient.Effect;
import java.util.Random;

/**
 * Decides whether and when an inference is retried under the same id; no I/O. It is retried only where that is safe, before
 * its deadline, not before the delay that a front end requested (unless that front end is draining), and within the client's
 * {@link RetryBudget}.
 */
final class RetryPolicy {
    private static final double INITIAL_BACKOFF_MILLIS = 50; // a front end's own second forward takes about 10 ms
    private static final double MAX_BACKOFF_MILLIS = 5_000; // exceeds most deadlines, so only long-running inferences reach it
    /** An attempt with less time than this is not sent: it would only cost the front end work. */
    private static final double MIN_ATTEMPT_MILLIS = 20;

    private final Effect effect;
    private final double deadline;
    private final Random random;
    private final RetryBudget retryBudget;
    private int retries;

    /** @param deadline on the clock of {@link #nextAttemptAt} */
    RetryPolicy(Effect effect, double deadline, Random random, RetryBudget retryBudget) {
        this.effect = effect;
        this.deadline = deadline;
        this.random = random;
        this.retryBudget = retryBudget;
        retryBudget.recordFirstAttempt();
    }

    /** When the next attempt may start, NaN if the outcome is final. */
    double nextAttemptAt(AttemptOutcome outcome, double now) {
        boolean safe = switch (outcome.kind()) {
            case RETURNED, REFUSED -> false;
            case SHED, NEVER_SENT -> true;
            case FAILED -> outcome.retrySafe();
            case LOST -> effect != Effect.ONCE;
        };
        if (!safe) {
            return Double.NaN;
        }
        // Full jitter spreads the retries of clients that failed together.
        double delay = random.nextDouble()
                * Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS * Math.pow(2, Math.min(20, retries++)));
        if (!outcome.frontEndDraining()) {
            // Up to a quarter longer than requested: clients that were given the same delay would otherwise retry together.
            delay += outcome.retryAfterMillis() * (1 + random.nextDouble() / 4);
        } // a draining front end is not used again, so its delay does not apply
        if (now + delay + MIN_ATTEMPT_MILLIS > deadline) {
            return Double.NaN;
        }
        // An attempt that was not sent, or that a draining front end shed, cost no work, so its retry takes no token.
        return outcome.frontEndDraining() || retryBudget.tryAcquire() ? now + delay : Double.NaN;
    }
}
