package gradereach.api;

/**
 * Load report of an executor; NaN where a value is missing. The policy uses only the first three values.
 *
 * @param inFlight inferences that it has accepted and not answered
 * @param queued inferences in flight that do not run yet
 * @param busyFraction fraction of its cores that are busy
 * @param answerTime milliseconds
 * @param memoryFraction fraction of its memory that is used
 * @param loads models that it loads or is about to load
 */
public record ExecutorReport(double inFlight, double queued, double busyFraction, double answerTime, double rate,
        double errorRate, double memoryFraction, double loads) { }
