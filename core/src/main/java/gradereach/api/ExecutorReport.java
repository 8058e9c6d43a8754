package gradereach.api;

/** An executor's load report; NaN where it does not say. */
public record ExecutorReport(double inFlight, double queued, double busyFraction, double answerTime, double rate, double errorRate,
        double memoryFraction, double loads) { }
