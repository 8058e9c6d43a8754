package gradereach.desk;

import gradereach.state.Executor;

/** One readiness check of an executor. Its answer counts for this probe only, not for a later one. */
public final class Probe {
    public final ExecutorEndpoint endpoint;
    /** The endpoint's executor at the time the probe was sent. */
    final Executor executor;
    /** Generation of the router that decided this; a router that replaced it gets no result of it. */
    final int routerGeneration;
    final double sentAt;
    long timerId;
    private volatile boolean ended;

    /** @param sentAt monotonic time */
    public Probe(ExecutorEndpoint endpoint, int routerGeneration, double sentAt) {
        this.endpoint = endpoint;
        this.executor = endpoint.executor;
        this.routerGeneration = routerGeneration;
        this.sentAt = sentAt;
    }

    /** Whether its end is still waited for; otherwise the transport need not send it any more. */
    public boolean isAwaited() {
        return !ended;
    }

    void markEnded() {
        ended = true;
    }
}
