package gradereach.state;

import gradereach.api.Outcome;

/** One attempt of an inference at an executor. */
public final class Forward {
    public final Inference inference;
    public final Executor executor;
    /** Its index in the forwards of the inference. */
    public final int number;
    public final double sentAt;
    /** The generation of the executor that it was sent to. */
    private int generation;
    /** Null while it is in flight. */
    public Outcome outcome;
    /** The copies of the model on the executor. */
    public ModelCopies copies;
    /** Other inferences of the model that this front end had in flight there when the forward was sent. */
    public int ownInFlight;
    /** The answer time expected when it was sent. */
    public double expectedAnswerTime;
    /** The mean answer time at which even slow answers still meet the SLO. */
    public double targetAnswerTime;
    public boolean cancelled;
    /** Whether its answer has started: it still occupies a lane, but nothing is waited for. */
    public boolean answerStarted;

    public Forward(Inference inference, Executor executor, int number, double sentAt) {
        this.inference = inference;
        this.executor = executor;
        this.number = number;
        this.sentAt = sentAt;
        generation = executor.generation;
    }

    /** Treats it as sent to the current process. */
    void assignToCurrentGeneration() { generation = executor.generation; }

    /** Whether it was sent to the current process of the executor. */
    public boolean isCurrent() { return generation == executor.generation; }
}
