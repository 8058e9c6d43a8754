package gradereach.state;

import gradereach.api.Outcome;

/** One attempt of an inference at an executor. */
public final class Forward {
    public final Inference inference;
    public final Executor executor;
    public final int number;
    public final double sentAt;
    /** The generation of the executor that it was sent to. */
    private int generation;
    /** Null while it is in flight. */
    public Outcome outcome;
    public ModelCopies copies;
    /** Inferences of the model that this front end had in flight there when the forward was sent. */
    public int ownInFlight;
    /** The answer time expected when it was sent. */
    public double expectedAnswerTime;
    /** The mean answer time at which even slow answers still meet the SLO. */
    public double targetAnswerTime;
    public boolean cancelled;
    /** Its answer has started: it occupies a lane, but waits for nothing. */
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
