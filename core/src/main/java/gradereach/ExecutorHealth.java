package gradereach;

import gradereach.state.Executor;
import gradereach.state.Forward;

/** Tracks slowdown and suspicion of each executor, and limits the concurrent forwards of this front end to it. */
final class ExecutorHealth {
    static final double STATISTICS_DECAY_MILLIS = 3000; // spans a handful of answers; shorter than a fault, about ten seconds
    private static final double PRIOR_ANSWERS = 3; // answers without slowdown that every executor is assumed to have given
    static final double SUSPICION_DECAY_MILLIS = 2000; // time constant; as long as a short outage
    static final double INITIAL_CONCURRENCY_LIMIT = 8; // until the first answer; keeps a few cores busy
    private static final double FULL_SLOWDOWN = 2; // of a full but healthy executor: twice the lowest mean
    private static final double MAX_CONCURRENCY_LIMIT = 500;
    private static final double MAX_SUSPICION = 6; // points

    /**
     * Represents all executors together. Its slowdown is relative to the SLO time, and it has a concurrency limit of its own.
     * This limit protects against overload and against clients that repeat at once, where there is less than one forward per
     * executor, so that the limits of the executors have no effect. Drawback: if many executors are slow for one model group
     * only, all groups are held back.
     */
    final Executor fleet = new Executor(0);
    /** When this front end last resumed after a stall. */
    double resumedAt = Double.NEGATIVE_INFINITY;

    /**
     * Counts an answer with its slowdown and adapts the concurrency limit. The limit follows the ratio of the lowest to the
     * current answer time, and grows only while at least half of it is used.
     */
    void recordAnswer(Executor executor, double slowdown, double now) {
        executor.slowdownSum.add(slowdown, now, STATISTICS_DECAY_MILLIS);
        executor.answerCount.add(1, now, STATISTICS_DECAY_MILLIS);
        double limit = currentLimit(executor);
        double ratio = Math.max(0.5, Math.min(1, FULL_SLOWDOWN / slowdown(executor, now)));
        double growth = executor.unansweredCount + 1 >= limit / 2 ? 0.4 : 0;
        // Smaller steps for the fleet: its many concurrent answers carry no more information than the few of one executor.
        double step = executor == fleet ? Math.min(0.2, 1 / limit) : 0.2;
        double increase = executor == fleet ? growth * Math.sqrt(limit) : growth;
        executor.concurrencyLimit = Math.max(1, Math.min(MAX_CONCURRENCY_LIMIT, limit + step * (limit * (ratio - 1) + increase)));
    }

    /** Lowers the limit well below the number of forwards that the executor held when it refused one. */
    void recordFull(Executor executor) {
        executor.concurrencyLimit = Math.max(1, Math.min(currentLimit(executor), 0.7 * executor.unansweredCount));
    }

    /** Observed over expected answer time, counting forwards in flight as if they ended now. */
    double slowdown(Executor executor, double now) {
        if (executor.slowdownComputedAt == now) {
            return executor.slowdown;
        }
        double sum = executor.slowdownSum.value(now, STATISTICS_DECAY_MILLIS);
        for (Forward forward : executor.unansweredForwards) {
            sum += (now - Math.max(forward.sentAt, resumedAt))
                    / (executor == fleet ? forward.targetAnswerTime : forward.expectedAnswerTime);
        }
        executor.slowdownComputedAt = now;
        executor.slowdown = (PRIOR_ANSWERS + sum) / (PRIOR_ANSWERS + executor.answerCount.value(now, STATISTICS_DECAY_MILLIS));
        return executor.slowdown;
    }

    private static double currentLimit(Executor executor) {
        return Double.isNaN(executor.concurrencyLimit) ? INITIAL_CONCURRENCY_LIMIT : executor.concurrencyLimit;
    }

    /** The limit of concurrent forwards, lowered while the executor seems to be stalled. */
    double concurrencyLimit(Executor executor, double now) {
        // The answers of a stalled executor arrive late, but its forwards in flight raise the slowdown at once. The limit falls
        // only where the slowdown is more than twice that of a full executor.
        return Math.max(1, currentLimit(executor) * Math.min(1, 2 * FULL_SLOWDOWN / slowdown(executor, now)));
    }

    /**
     * Adds points of suspicion. They depend on how likely the executor is at fault: 0.3 for an error, a refusal or a timeout,
     * 0.7 for an unanswered order, 2 for a broken connection.
     */
    void raiseSuspicion(Executor executor, double points, double now) {
        // At the maximum one in 400 forwards is still sent, enough to notice a recovery within seconds.
        executor.suspicion.set(Math.min(MAX_SUSPICION, executor.suspicion.value(now, SUSPICION_DECAY_MILLIS) + points), now);
    }

    /** Lowers the suspicion after an answer. */
    void lowerSuspicion(Executor executor, double now) {
        executor.suspicion.set(executor.suspicion.value(now, SUSPICION_DECAY_MILLIS) * 0.7, now);
    }
}
