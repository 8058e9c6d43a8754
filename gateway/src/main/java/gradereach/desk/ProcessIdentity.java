package gradereach.desk;

import java.util.function.DoubleConsumer;

/**
 * Identifies the process behind an executor's address by the random number that the process draws at its start and reports.
 * A start time would not do, since two processes may have the same one. An outdated number can make a proof impossible, but
 * never makes a wrong one.
 */
final class ProcessIdentity {
    /** Milliseconds after which an executor that has not reported its number is asked again. */
    private static final double QUERY_INTERVAL = 5000;

    private double number = Double.NaN;
    private double queriedAt = Double.NEGATIVE_INFINITY;
    /** Counts processes that may have ended: a reply to an earlier process's query does not identify the current one. */
    private int processesEnded;

    /** The number of the current process, NaN where it is not known. */
    double number() {
        return number;
    }

    /** Whether the number is unknown and the last query is long enough ago. */
    boolean isQueryDue(double now) {
        return Double.isNaN(number) && now - queriedAt >= QUERY_INTERVAL;
    }

    /** Notes that a query is sent now; returns the callback for its reply. */
    DoubleConsumer beginQuery(double now) {
        queriedAt = now;
        return currentProcessCallback();
    }

    /** A callback for the number reported by the current process, NaN for none; ignored once that process may have ended. */
    DoubleConsumer currentProcessCallback() {
        int endedBefore = processesEnded;
        return reported -> {
            if (processesEnded == endedBefore && !Double.isNaN(reported)) {
                number = reported;
            }
        };
    }

    /** Forgets the number, since the process may have ended. */
    void reset() {
        processesEnded++;
        number = Double.NaN;
        queriedAt = Double.NEGATIVE_INFINITY;
    }
}
