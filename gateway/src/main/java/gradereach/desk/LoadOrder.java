package gradereach.desk;

import gradereach.state.Model;

/** A load order or status query to an executor. */
public final class LoadOrder {
    public final ExecutorEndpoint endpoint;
    public final String modelName;
    /** Copies to hold loaded; 0 for a status query. */
    public final int copies;
    /** Milliseconds after which the reply is no longer waited for. */
    public final double timeout;
    final Model model;
    /** Generation of the router that decided this; a router that replaced it gets no result of it. */
    final int routerGeneration;
    final double sentAt;
    private final double leaseEndsAt;
    /** The start time of the target process, as listed in the roster when this was created; Unix milliseconds. */
    private final double targetProcessStart;
    long timerId;
    volatile boolean ended;

    /** @param leaseEndsAt when its executor's lease ends, as known at the time of the decision; monotonic time */
    LoadOrder(ExecutorEndpoint endpoint, String modelName, Model model, int copies, int routerGeneration, double sentAt,
            double timeout, double leaseEndsAt) {
        this.leaseEndsAt = leaseEndsAt;
        targetProcessStart = endpoint.listedStart();
        this.endpoint = endpoint;
        this.modelName = modelName;
        this.model = model;
        this.copies = copies;
        this.routerGeneration = routerGeneration;
        this.sentAt = sentAt;
        this.timeout = timeout;
    }

    /**
     * When it must no longer be written: at the end of its executor's lease, after which a drain may go unnoticed. Never for a
     * status query.
     */
    public double sendDeadline() {
        return copies > 0 ? leaseEndsAt : Double.POSITIVE_INFINITY;
    }

    /** Whether the roster still lists the process that this was meant for at the endpoint. */
    public boolean targetsCurrentProcess() {
        return Double.compare(targetProcessStart, endpoint.listedStart()) == 0;
    }

    /** Whether its end is still waited for; otherwise the transport need not send it any more. */
    public boolean isAwaited() {
        return !ended;
    }
}
