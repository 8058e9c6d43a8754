package gradereach;

import gradereach.api.ExecutorState;
import gradereach.state.Executor;

/**
 * Tracks until when each executor may be sent forwards and load orders (rule 3). While the roster is known to be complete,
 * an executor listed as ready is ready. After that it has to be probed: a probe answered as ready proves that the executor
 * was not draining when the probe was sent, so that a later drain cannot have been announced before that time. Either proof
 * is a lease that expires after the drain grace of the rule.
 *
 * <p>Nothing else is such a proof: draining executors were seen to return forwards for up to 0.9 s, and to confirm orders
 * and status queries for loaded copies for as long as they were up (docs/incidents/i1c4c95.md).
 */
final class ReadinessLeases {
    /** Time for the network and one event batch, as a send counts when it arrives at the executor. */
    private static final double DELIVERY_MARGIN_MILLIS = 25;
    /** After a probe answered as not ready: the executor will stop soon, or restart. */
    private static final double NOT_READY_PROBE_INTERVAL_MILLIS = 1000;
    /** While probes remain unanswered: a few network round trips. */
    private static final double UNANSWERED_PROBE_INTERVAL_MILLIS = 50;

    private final double drainGrace;
    private double rosterConfirmedAt = Double.POSITIVE_INFINITY;
    private double rosterValidUntil = Double.POSITIVE_INFINITY;

    /** @param drainGrace how long sends are allowed after a drain was announced, milliseconds */
    ReadinessLeases(double drainGrace) {
        this.drainGrace = drainGrace;
    }

    /**
     * Sets the validity of the roster as a whole. Until the first call the roster is always valid.
     *
     * @param confirmedAt when it was last known to be complete
     * @param validUntil until then, a drain that the roster does not list does not count as announced
     */
    void setRosterValidity(double confirmedAt, double validUntil) {
        rosterConfirmedAt = confirmedAt;
        rosterValidUntil = validUntil;
    }

    boolean isRosterValid(double now) {
        return now < rosterValidUntil;
    }

    /** Whether the validity of the roster and the drain grace after it ended at least {@code span} milliseconds ago. */
    boolean hasRosterExpiredFor(double span, double now) {
        return now - rosterValidUntil - drainGrace >= span;
    }

    /** Whether forwards and load orders may be sent to the executor. */
    boolean maySend(Executor executor, double now) { return now < leaseEnd(executor); }

    /** When the lease ends, as far as known now; negative infinity without a lease. */
    double leaseEnd(Executor executor) {
        return executor.state != ExecutorState.READY ? Double.NEGATIVE_INFINITY
                : Math.max(rosterValidUntil, executor.readyProbeSentAt) + drainGrace - DELIVERY_MARGIN_MILLIS;
    }

    /** Whether the executor is listed as ready, but has no lease, and is due for a probe. */
    boolean shouldProbe(Executor executor, double now) {
        double interval = executor.notReadyProbeSentAt > executor.readyProbeSentAt ? NOT_READY_PROBE_INTERVAL_MILLIS
                : UNANSWERED_PROBE_INTERVAL_MILLIS;
        return executor.state == ExecutorState.READY && !maySend(executor, now) && now - executor.probeSentAt >= interval;
    }

    /** Whether the executor last answered as not ready, and the roster is not valid. */
    boolean isRefusing(Executor executor, double now) {
        return !isRosterValid(now) && executor.notReadyProbeSentAt > executor.readyProbeSentAt;
    }

    /** The executor answered a probe as ready. */
    void recordReady(Executor executor, double probeSentAt) {
        executor.readyProbeSentAt = Math.max(executor.readyProbeSentAt, probeSentAt);
    }

    /** The executor answered a probe as not ready. */
    void recordNotReady(Executor executor, double probeSentAt) {
        executor.notReadyProbeSentAt = Math.max(executor.notReadyProbeSentAt, probeSentAt);
        invalidateProof(executor, probeSentAt);
    }

    /**
     * The executor refused what was sent at {@code sentAt}: it may be draining. An earlier probe proves nothing any more, and
     * the executor has to be probed before anything else is sent.
     */
    void invalidateProof(Executor executor, double sentAt) {
        if (sentAt >= executor.readyProbeSentAt) {
            executor.readyProbeSentAt = Double.NEGATIVE_INFINITY;
        }
    }

    /** A connection was reset or could not be made: the process may have ended. */
    void recordDisconnect(Executor executor, double now) {
        executor.disconnectedAt = now;
    }

    /**
     * Whether an answer to what was sent at {@code sentAt} may come from a new process that the roster could not report. This
     * is so if the roster is not valid, and a connection was lost since it was last confirmed. An answer to something that was
     * sent before the loss came from the old process and shows that it still runs. In this case the loss is forgotten.
     */
    boolean mayHaveRestarted(Executor executor, double sentAt, double now) {
        if (sentAt <= executor.disconnectedAt) {
            executor.disconnectedAt = Double.NEGATIVE_INFINITY;
            return false;
        }
        return !isRosterValid(now) && executor.disconnectedAt > rosterConfirmedAt;
    }

    /** Whether the executor was last found draining while the roster could not tell. Draining ends only with the process. */
    boolean wasDraining(Executor executor, double now) {
        return isRefusing(executor, now) && executor.notReadyProbeSentAt > rosterConfirmedAt;
    }
}
