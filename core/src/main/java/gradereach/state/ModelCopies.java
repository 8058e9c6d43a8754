package gradereach.state;

/** What is believed of one model's copies on one executor. */
public final class ModelCopies {
    public final Model model;
    public final Executor executor;
    /** Copies believed to stand loaded. */
    public int loadedCopies;
    /** Our own forwards there. */
    public int inFlight;
    /** Inferences of other front ends there. */
    public final DecayingSum othersInFlight = new DecayingSum();
    /** Our own forwards there, lately. */
    public final DecayingSum recentForwards = new DecayingSum();
    /** Most inferences seen there at once since the last review. */
    public double peakInFlight;
    public double lastUsedAt = Double.NEGATIVE_INFINITY;
    public double renewedAt = Double.NEGATIVE_INFINITY;
    public double confirmedAt = Double.NEGATIVE_INFINITY;
    /** Until when what stands there is believed to stay. */
    public double loadedUntil = Double.NEGATIVE_INFINITY;
    /** An order or a question is out. */
    public boolean orderPending;
    /** Copies that the order asks for, 0 for a question. */
    public int orderedCopies;
    public double orderSentAt;
    /** The executor's generation that the order was sent to. */
    private int orderGeneration;
    /** What should stand there, as last decided. */
    public int wantedCopies;
    /** Not to be ordered on before this. */
    public double backoffUntil = Double.NEGATIVE_INFINITY;
    public boolean reviewScheduled;

    public ModelCopies(Model model, Executor executor) {
        this.model = model;
        this.executor = executor;
    }

    /** Forwards more or fewer, here, on the executor and of the model. */
    public void addInFlight(int more) {
        inFlight += more;
        executor.inFlight += more;
        model.inFlight += more;
    }

    /** What is wanted has been asked of the executor. */
    public void recordOrderSent(double now) {
        orderPending = true;
        orderedCopies = wantedCopies;
        orderSentAt = now;
        orderGeneration = executor.generation;
        model.ordersInFlight += orderedCopies > 0 ? 1 : 0;
        model.queriesInFlight += orderedCopies > 0 ? 0 : 1;
    }

    /** Whether the order that is out, or was last, went to the process that the executor stands for now. */
    public boolean orderIsCurrent() { return orderGeneration == executor.generation; }

    /** The order that is out went to the present process after all. */
    void assignOrderToCurrentGeneration() { orderGeneration = executor.generation; }

    /** Copies that an order to the present process asks for; 0 where none is out. */
    public int copiesOnOrder() { return orderIsCurrent() ? orderedCopies : 0; }

    /** The order has its answer; true if it was a question only. */
    public boolean recordOrderEnded() {
        boolean question = orderedCopies == 0;
        model.ordersInFlight -= question ? 0 : 1;
        model.queriesInFlight -= question ? 1 : 0;
        orderPending = false;
        orderedCopies = 0;
        return question;
    }
}
