package gradereach.state;

/** The copies of one model on one executor, as far as this front end knows. */
public final class ModelCopies {
    public final Model model;
    public final Executor executor;
    /** Copies believed to be loaded. */
    public int loadedCopies;
    /** Forwards of this front end in flight there. */
    public int inFlight;
    /** Inferences of other front ends there, estimated. */
    public final DecayingSum othersInFlight = new DecayingSum();
    /** Recent forwards of this front end there. */
    public final DecayingSum recentForwards = new DecayingSum();
    /** Highest number of concurrent inferences since the last review. */
    public double peakInFlight;
    /** When a forward last returned from here. */
    public double lastUsedAt = Double.NEGATIVE_INFINITY;
    /** When the copies were last ordered again, so that they are not unloaded. */
    public double renewedAt = Double.NEGATIVE_INFINITY;
    /** When the executor last reported the number of loaded copies. */
    public double confirmedAt = Double.NEGATIVE_INFINITY;
    /** Until when the copies are believed to stay loaded. */
    public double loadedUntil = Double.NEGATIVE_INFINITY;
    /** Whether an order or a status query is pending. */
    public boolean orderPending;
    /** Copies that the pending order asks for; 0 for a status query, or without a pending order. */
    public int orderedCopies;
    public double orderSentAt;
    /** The generation of the executor that the order was sent to. */
    private int orderGeneration;
    /** Copies that the next order is to ask for; 0 for a status query. */
    public int wantedCopies;
    /** No forward or order is sent before this time. */
    public double backoffUntil = Double.NEGATIVE_INFINITY;
    public boolean reviewScheduled;

    public ModelCopies(Model model, Executor executor) {
        this.model = model;
        this.executor = executor;
    }

    /** Changes the number of forwards in flight here, on the executor and of the model. */
    public void addInFlight(int delta) {
        inFlight += delta;
        executor.unansweredCount += delta;
        model.inFlight += delta;
    }

    /** Records that the wanted copies are being ordered. */
    public void recordOrderSent(double now) {
        orderPending = true;
        orderedCopies = wantedCopies;
        orderSentAt = now;
        orderGeneration = executor.generation;
        model.ordersInFlight += orderedCopies > 0 ? 1 : 0;
        model.queriesInFlight += orderedCopies > 0 ? 0 : 1;
    }

    /** Whether the pending or latest order was sent to the current process of the executor. */
    public boolean orderIsCurrent() { return orderGeneration == executor.generation; }

    /** Treats the pending order as sent to the current process. */
    void assignOrderToCurrentGeneration() { orderGeneration = executor.generation; }

    /** Copies that a pending order to the current process asks for, otherwise 0. */
    public int copiesOnOrder() { return orderIsCurrent() ? orderedCopies : 0; }

    /** Records the end of the pending order. Returns whether it was only a status query. */
    public boolean recordOrderEnded() {
        boolean isQuery = orderedCopies == 0;
        model.ordersInFlight -= isQuery ? 0 : 1;
        model.queriesInFlight -= isQuery ? 1 : 0;
        orderPending = false;
        orderedCopies = 0;
        return isQuery;
    }
}
