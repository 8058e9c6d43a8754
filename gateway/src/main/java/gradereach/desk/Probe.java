package gradereach.desk;

import gradereach.state.Executor;

/** One question to an executor whether it is ready: an answer to it tells nothing of a later one. */
public final class Probe {
    public final ExecutorEndpoint endpoint;
    /** As the module knew it when the probe was sent. */
    final Executor executor;
    final int routerGeneration;
    final double sentAt;
    long timer;
    private volatile boolean ended;

    /** @param sentAt module time */
    public Probe(ExecutorEndpoint place, int era, double sentAt) {
        this.endpoint = place;
        this.executor = place.executor;
        this.routerGeneration = era;
        this.sentAt = sentAt;
    }

    /** Whether its end is still waited for: a link that has not sent it yet need not, once it is not. */
    public boolean isAwaited() {
        return !ended;
    }

    void markEnded() {
        ended = true;
    }
}
