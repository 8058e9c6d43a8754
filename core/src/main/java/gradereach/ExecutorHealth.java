package gradereach;

import gradereach.state.Executor;
import gradereach.state.Forward;

/** How far each executor is to be trusted, and how much it may hold of ours. */
final class ExecutorHealth {
    static final double STATISTICS_DECAY_MILLIS = 3000; // a handful of answers; troubles last ten seconds
    private static final double PRIOR_ANSWERS = 3; // good answers that every executor is credited with
    static final double SUSPICION_DECAY_MILLIS = 2000; // fades to a third: as long as a short outage
    static final double INITIAL_CONCURRENCY_LIMIT = 8; // before answers tell; a few cores' worth
    private static final double FULL_SLOWDOWN = 2; // a full but healthy executor: twice the shortest

    /**
     * All executors as one, measured by the SLO time, with a limit of its own. Guards against overload,
     * and against clients that repeat at once, where less than one forward for each executor leaves
     * their own limits idle. Harms where many executors are slow at one group only.
     */
    final Executor fleet = new Executor(0);
    /** When this front end last went on after a halt of its own. */
    double resumedAt = Double.NEGATIVE_INFINITY;

    /** The limit follows shortest over present answer time, and grows only while it is made use of. */
    void recordAnswer(Executor ex, double stretch, double now) {
        ex.slowdownSum.add(stretch, now, STATISTICS_DECAY_MILLIS);
        ex.answerCount.add(1, now, STATISTICS_DECAY_MILLIS);
        double limit = currentLimit(ex);
        double ratio = Math.max(0.5, Math.min(1, FULL_SLOWDOWN / slowdown(ex, now)));
        double grow = ex.inFlight + 1 >= limit / 2 ? 0.4 : 0;
        // A fleet's many answers at once tell no more than one executor's few.
        double step = ex == fleet ? Math.min(0.2, 1 / limit) : 0.2;
        double more = ex == fleet ? grow * Math.sqrt(limit) : grow;
        ex.concurrencyLimit = Math.max(1, Math.min(500, limit + step * (limit * (ratio - 1) + more)));
    }

    /** Turned away: a good part less than what it held. */
    void recordFull(Executor ex) { ex.concurrencyLimit = Math.max(1, Math.min(currentLimit(ex), 0.7 * ex.inFlight)); }

    /** Present over expected answer time, counting what is still out as if it ended now. */
    double slowdown(Executor ex, double now) {
        if (ex.slowdownComputedAt == now) {
            return ex.slowdown;
        }
        double took = ex.slowdownSum.value(now, STATISTICS_DECAY_MILLIS);
        for (Forward fwd : ex.unansweredForwards) {
            took += (now - Math.max(fwd.sentAt, resumedAt)) / (ex == fleet ? fwd.targetAnswerTime : fwd.expectedAnswerTime);
        }
        ex.slowdownComputedAt = now;
        ex.slowdown = (PRIOR_ANSWERS + took) / (PRIOR_ANSWERS + ex.answerCount.value(now, STATISTICS_DECAY_MILLIS));
        return ex.slowdown;
    }

    private static double currentLimit(Executor ex) { return Double.isNaN(ex.concurrencyLimit) ? INITIAL_CONCURRENCY_LIMIT : ex.concurrencyLimit; }

    double concurrencyLimit(Executor ex, double now) {
        // Answers tell late of a stall; what is out tells at once, but only a wide gap counts.
        return Math.max(1, currentLimit(ex) * Math.min(1, 2 * FULL_SLOWDOWN / slowdown(ex, now)));
    }

    void raiseSuspicion(Executor ex, double more, double now) {
        // By how surely it is at fault: an error 0.3, an order unheard 0.7, a broken link 2.
        // Six points leave a trickle of one in 400, enough to notice a recovery some seconds on.
        ex.suspicion.set(Math.min(6, ex.suspicion.value(now, SUSPICION_DECAY_MILLIS) + more), now);
    }

    void lowerSuspicion(Executor ex, double now) {
        ex.suspicion.set(ex.suspicion.value(now, SUSPICION_DECAY_MILLIS) * 0.7, now);
    }
}
