package gradereach.desk;

import java.util.function.DoubleConsumer;

/**
 * Which process an executor's address leads to: a number that the process drew at its start and tells of itself. A start
 * by its clock would not do, since two processes may share one. A number that is out of date makes a proof impossible, never
 * a wrong one.
 */
final class ProcessIdentity {
    /** Milliseconds after which an executor that has not told it is asked again. */
    private static final double QUERY_INTERVAL = 5000;

    private double number = Double.NaN;
    private double queriedAt = Double.NEGATIVE_INFINITY;
    /** Processes that may have ended: what was asked of one of them tells nothing of the present one. */
    private int processesEnded;

    /** NaN where it is not known. */
    double number() {
        return number;
    }

    boolean isQueryDue(double now) {
        return Double.isNaN(number) && now - queriedAt >= QUERY_INTERVAL;
    }

    /** It is asked now; its answer goes to what is returned. */
    DoubleConsumer beginQuery(double now) {
        queriedAt = now;
        return currentProcessCallback();
    }

    /** Takes the number that the present process tells, NaN where it tells none, for as long as it is the present one. */
    DoubleConsumer currentProcessCallback() {
        int endedBefore = processesEnded;
        return told -> {
            if (processesEnded == endedBefore && !Double.isNaN(told)) {
                number = told;
            }
        };
    }

    /** Its process may have ended. */
    void reset() {
        processesEnded++;
        number = Double.NaN;
        queriedAt = Double.NEGATIVE_INFINITY;
    }
}
