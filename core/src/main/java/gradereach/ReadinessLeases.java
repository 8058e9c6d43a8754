package gradereach;

import gradereach.api.ExecutorState;
import gradereach.state.Executor;

/**
 * Until when each executor may be sent forwards and load orders (rule 3). An executor that the roster has as ready is known
 * to be so for as long as the roster counts as complete. After that it must have answered for itself: a probe that it
 * answered as ready proves that it did not drain when the probe was sent, so that a drain since then counts as told after
 * that time at the earliest. Either knowledge is a lease that runs out the grace of the rule later.
 *
 * <p>Nothing else is such a proof: executors that drain were seen to return forwards for up to 0.9 s, and to confirm orders
 * and questions about copies that stand for as long as they were up (docs/incidents/i1c4c95.md).
 */
final class ReadinessLeases {
    /** Milliseconds for the way to the executor and a turn of the thread: a send counts from when it arrives. */
    private static final double DELIVERY_MARGIN_MILLIS = 25;
    /** Milliseconds after which an executor that said no is asked again: it will end soon, or start anew. */
    private static final double NOT_READY_PROBE_INTERVAL_MILLIS = 1000;
    /** Milliseconds between two questions to an executor that did not answer: a few network trips. */
    private static final double UNANSWERED_PROBE_INTERVAL_MILLIS = 50;

    private final double drainGrace;
    private double rosterConfirmedAt = Double.POSITIVE_INFINITY;
    private double rosterValidUntil = Double.POSITIVE_INFINITY;

    /** @param grace of the rule, milliseconds */
    ReadinessLeases(double grace) {
        this.drainGrace = grace;
    }

    /**
     * What is known of the roster as a whole; a roster that is never told of is always valid.
     *
     * @param confirmedAt when it was last known to be complete
     * @param until up to when what it does not say counts as not told
     */
    void rosterValid(double confirmedAt, double until) {
        rosterConfirmedAt = confirmedAt;
        rosterValidUntil = until;
    }

    boolean rosterValid(double now) {
        return now < rosterValidUntil;
    }

    /** Whether nothing may be sent by the roster alone, and that for so long. */
    boolean rosterExpiredFor(double span, double now) {
        return now - rosterValidUntil - drainGrace >= span;
    }

    /** Whether forwards and load orders may be sent to it. */
    boolean maySend(Executor ex, double now) { return now < leaseEnd(ex); }

    /** When its lease ends by what is known now; minus infinity where it has none. */
    double leaseEnd(Executor ex) {
        return ex.state != ExecutorState.READY ? Double.NEGATIVE_INFINITY
                : Math.max(rosterValidUntil, ex.readyProbeSentAt) + drainGrace - DELIVERY_MARGIN_MILLIS;
    }

    /** Whether it is ready by a roster that is no longer valid, and a question would tell more. */
    boolean shouldProbe(Executor ex, double now) {
        double pause = ex.notReadyProbeSentAt > ex.readyProbeSentAt ? NOT_READY_PROBE_INTERVAL_MILLIS : UNANSWERED_PROBE_INTERVAL_MILLIS;
        return ex.state == ExecutorState.READY && !maySend(ex, now) && now - ex.probeSentAt >= pause;
    }

    /** Whether it has said that it takes nothing new, and the roster does not know better. */
    boolean isRefusing(Executor ex, double now) {
        return !rosterValid(now) && ex.notReadyProbeSentAt > ex.readyProbeSentAt;
    }

    /** It has answered as ready. */
    void recordReady(Executor ex, double askedAt) {
        ex.readyProbeSentAt = Math.max(ex.readyProbeSentAt, askedAt);
    }

    /** It has answered that it takes nothing new. */
    void recordNotReady(Executor ex, double askedAt) {
        ex.notReadyProbeSentAt = Math.max(ex.notReadyProbeSentAt, askedAt);
        invalidateProof(ex, askedAt);
    }

    /** Something that was sent then came back: it may drain, and has to be asked before anything else goes there. */
    void invalidateProof(Executor ex, double sentAt) {
        if (sentAt >= ex.readyProbeSentAt) {
            ex.readyProbeSentAt = Double.NEGATIVE_INFINITY;
        }
    }

    /** A connection to it was reset or could not be made: its process may have ended. */
    void recordDisconnect(Executor ex, double now) {
        ex.disconnectedAt = now;
    }

    /**
     * Whether what has answered what was sent then may be a new process that the roster could not tell of, since connections
     * to the old one were lost. An answer to what was sent before that came from the old process, and settles it.
     */
    boolean mayHaveRestarted(Executor ex, double sentAt, double now) {
        if (sentAt <= ex.disconnectedAt) {
            ex.disconnectedAt = Double.NEGATIVE_INFINITY;
            return false;
        }
        return !rosterValid(now) && ex.disconnectedAt > rosterConfirmedAt;
    }

    /** Whether it was last heard to drain, and the roster could not tell: draining ends with the process. */
    boolean wasDraining(Executor ex, double now) {
        return isRefusing(ex, now) && ex.notReadyProbeSentAt > rosterConfirmedAt;
    }
}
