package gradereach.client;

import gradereach.client.GradereachClient.Effect;
import java.util.Random;

/**
 * Whether and when an inference is asked again, under the same id: state and decisions, no I/O. It is asked again only
 * where that is harmless, within its deadline, not before the pause that a front end asked for which stays, and within the
 * client's {@link Purse}.
 */
final class RetryPolicy {
    private static final double INITIAL_BACKOFF_MILLIS = 50; // a front end's own second choice takes some ten milliseconds
    private static final double MAX_BACKOFF_MILLIS = 5_000; // longer than most deadlines: only patient ones ever wait so long
    /** A try with less time than this is not worth a front end's work. */
    private static final double MIN_ATTEMPT_MILLIS = 20;

    private final Effect effect;
    private final double deadline;
    private final Random random;
    private final RetryBudget retryBudget;
    private int retries;

    /** @param deadline in the time of {@link #after} */
    RetryPolicy(Effect effect, double deadline, Random chance, RetryBudget purse) {
        this.effect = effect;
        this.deadline = deadline;
        this.random = chance;
        this.retryBudget = purse;
        purse.recordFirstAttempt();
    }

    /** When it is asked again, NaN where its end is final. */
    double nextAttemptAt(AttemptOutcome end, double now) {
        boolean harmless = switch (end.kind()) {
            case RETURNED, REFUSED -> false;
            case SHED, NEVER_SENT -> true;
            case FAILED -> end.retrySafe();
            case LOST -> effect != Effect.ONCE;
        };
        if (!harmless) {
            return Double.NaN;
        }
        // Full jitter: waits of clients that failed together spread over the whole of it.
        double wait = random.nextDouble() * Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS * Math.pow(2, Math.min(20, retries++)));
        if (!end.frontEndDraining()) {
            // What all were asked to wait is stretched, or all would come back together.
            wait += end.retryAfterMillis() * (1 + random.nextDouble() / 4);
        } // else it was asked for by a front end that is not asked again
        if (now + wait + MIN_ATTEMPT_MILLIS > deadline) {
            return Double.NaN;
        }
        // A try that never left, or met a front end that is stopping, cost nobody any work.
        return end.frontEndDraining() || retryBudget.tryAcquire() ? now + wait : Double.NaN;
    }
}
