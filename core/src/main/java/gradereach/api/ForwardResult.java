package gradereach.api;

/**
 * The end of a forward. {@code crowd} is how many inferences of the same model the executor held when this one
 * came, -1 where untold; {@code inferenceDone} means nothing more is owed; {@code report} may be null.
 */
public record ForwardResult(Outcome outcome, LoadStatus loadStatus, int modelInFlight, double elapsed, boolean inferenceDone, ExecutorReport report) { }
