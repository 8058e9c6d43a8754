package gradereach.state;

import gradereach.api.Outcome;

/** One forward of one inference. */
public final class Forward {
    public final Inference inference;
    public final Executor executor;
    public final int number;
    public final double sentAt;
    /** The executor's generation that it was sent to. */
    private int generation;
    /** Null while it is out. */
    public Outcome outcome;
    public ModelCopies copies;
    /** Our own inferences of that model there when it was sent. */
    public int ownInFlight;
    /** The answer time that it was sent in hope of. */
    public double expectedAnswerTime;
    /** The answer time with which its SLO is still safe. */
    public double targetAnswerTime;
    public boolean cancelled;
    /** Its answer flows: it holds a lane, and waits for nothing. */
    public boolean answerStarted;

    public Forward(Inference inference, Executor executor, int number, double sentAt) {
        this.inference = inference;
        this.executor = executor;
        this.number = number;
        this.sentAt = sentAt;
        generation = executor.generation;
    }

    /** It went to the present process after all. */
    void assignToCurrentGeneration() { generation = executor.generation; }

    /** Whether its end tells of the process that its executor stands for now. */
    public boolean isCurrent() { return generation == executor.generation; }
}
