package gradereach.api;

/** Load report of an executor; NaN where a value is missing. */
public record ExecutorReport(double inFlight, double queued, double busyFraction, double answerTime, double rate, double errorRate,
        double memoryFraction, double loads) { }
