package gradereach.desk;

import gradereach.state.Model;

/** A load order or a question on its way to an executor. */
public final class LoadOrder {
    public final ExecutorEndpoint endpoint;
    public final String modelName;
    /** Copies to hold; 0 only asks. */
    public final int copies;
    /** How long the executor may take, milliseconds. */
    public final double timeout;
    final Model model;
    final int routerGeneration;
    final double sentAt;
    private final double leaseEndsAt;
    /** The start of the process that it is meant for, as discovery told it. */
    private final double targetProcessStart;
    long timer;
    volatile boolean ended;

    /** @param leaseEndsAt when its executor's lease ends by what was known as it was decided, module time */
    LoadOrder(ExecutorEndpoint place, String modelName, Model model, int copies, int era, double sentAt, double patience, double leaseEndsAt) {
        this.leaseEndsAt = leaseEndsAt;
        targetProcessStart = place.listedStart();
        this.endpoint = place;
        this.modelName = modelName;
        this.model = model;
        this.copies = copies;
        this.routerGeneration = era;
        this.sentAt = sentAt;
        this.timeout = patience;
    }

    /** From when on it must not be written any more, as its executor may drain unheard; a question may always be. */
    public double sendDeadline() {
        return copies > 0 ? leaseEndsAt : Double.POSITIVE_INFINITY;
    }

    /** Whether the process that it is meant for is still the one that discovery has there. */
    public boolean targetsCurrentProcess() {
        return Double.compare(targetProcessStart, endpoint.listedStart()) == 0;
    }

    /** Whether its end is still waited for: a link that has not sent it yet need not, once it is not. */
    public boolean isAwaited() {
        return !ended;
    }
}
