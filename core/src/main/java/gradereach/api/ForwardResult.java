package gradereach.api;

/**
 * How a forward ended.
 *
 * @param modelInFlight inferences of the same model that the executor held when this one arrived, -1 if unknown
 * @param elapsed milliseconds since the forward was sent
 * @param inferenceDone whether the inference has its final answer or needs none
 * @param report null if there was none
 */
public record ForwardResult(Outcome outcome, LoadStatus loadStatus, int modelInFlight, double elapsed, boolean inferenceDone,
        ExecutorReport report) { }
