package gradereach.standins;

import java.util.ArrayList;
import java.util.List;

/**
 * Intervals in which observing threads did not run. An event that such a thread read at the end of an interval may have arrived
 * at any time during it. All times are milliseconds of one clock. Thread-safe.
 */
public final class LagIntervals {
    /** One interval. */
    private record Lag(double startedAt, double endedAt) { }

    private final List<Lag> lags = new ArrayList<>();

    /** Adds an interval in which one of the threads did not run. */
    public synchronized void add(double startedAt, double endedAt) {
        lags.add(new Lag(startedAt, endedAt));
    }

    /** The earliest time at which an event that was read at {@code readAt} may have arrived. */
    public synchronized double earliestArrival(double readAt) {
        double earliest = readAt;
        for (Lag lag : lags) {
            if (lag.startedAt < readAt && readAt <= lag.endedAt) {
                earliest = Math.min(earliest, lag.startedAt);
            }
        }
        return earliest;
    }

    /** Length of the longest interval in milliseconds; 0 if there is none. */
    public synchronized double longestMillis() {
        return lags.stream().mapToDouble(lag -> lag.endedAt - lag.startedAt).max().orElse(0);
    }
}
