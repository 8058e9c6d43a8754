package gradereach;

import gradereach.state.Executor;
import gradereach.state.Forward;

/** Tracks slowdown and suspicion of each executor, and limits the concurrent forwards of this front end to it. */
final class ExecutorHealth {
    static final double STATISTICS_DECAY_MILLIS = 3000; // a handful of answers; faults last about ten seconds
    private static final double PRIOR_ANSWERS = 3; // answers without slowdown that every executor starts with
    static final double SUSPICION_DECAY_MILLIS = 2000; // time in which suspicion decays to a third: a short outage
    static final double INITIAL_CONCURRENCY_LIMIT = 8; // before the first answers; a few cores' worth
    private static final double FULL_SLOWDOWN = 2; // of a full but healthy executor: twice the lowest mean

    /**
     * Stands for all executors together. Its slowdown is relative to the SLO time, and it has a limit of its own. Protects
     * against overload and immediate client repeats where there is less than one forward per executor, so that the limits
     * of the executors have no effect. The drawback: if many executors are slow for one group only, all groups are held back.
     */
    final Executor fleet = new Executor(0);
    /** When this front end last resumed after a stall. */
    double resumedAt = Double.NEGATIVE_INFINITY;

    /** Adapts the concurrency limit: it follows lowest over current answer time, and grows only while it is used. */
    void recordAnswer(Executor executor, double slowdown, double now) {
        executor.slowdownSum.add(slowdown, now, STATISTICS_DECAY_MILLIS);
        executor.answerCount.add(1, now, STATISTICS_DECAY_MILLIS);
        double limit = currentLimit(executor);
        double ratio = Math.max(0.5, Math.min(1, FULL_SLOWDOWN / slowdown(executor, now)));
        double growth = executor.unansweredCount + 1 >= limit / 2 ? 0.4 : 0;
        // The many concurrent answers of the fleet carry no more information than the few of one executor.
        double step = executor == fleet ? Math.min(0.2, 1 / limit) : 0.2;
        double increase = executor == fleet ? growth * Math.sqrt(limit) : growth;
        executor.concurrencyLimit = Math.max(1, Math.min(500, limit + step * (limit * (ratio - 1) + increase)));
    }

    /** Lowers the limit well below what the executor held when it refused a forward. */
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

    double concurrencyLimit(Executor executor, double now) {
        // Answers show a stalled executor late. Forwards in flight show it at once, but only a wide gap counts.
        return Math.max(1, currentLimit(executor) * Math.min(1, 2 * FULL_SLOWDOWN / slowdown(executor, now)));
    }

    void raiseSuspicion(Executor executor, double points, double now) {
        // Points by how likely the executor is at fault: 0.3 for an error, 0.7 for an unanswered order, 2 for a broken
        // connection. At six points one in 400 forwards is still sent, enough to notice a recovery within seconds.
        executor.suspicion.set(Math.min(6, executor.suspicion.value(now, SUSPICION_DECAY_MILLIS) + points), now);
    }

    void lowerSuspicion(Executor executor, double now) {
        executor.suspicion.set(executor.suspicion.value(now, SUSPICION_DECAY_MILLIS) * 0.7, now);
    }
}
