package gradereach.standins;

import java.util.ArrayList;
import java.util.List;

/**
 * Intervals in which observing threads did not run. An event that such a thread read at the end of an interval may have arrived
 * at any time during it. Thread-safe.
 */
public final class LagIntervals {
    /** One interval, in milliseconds. */
    private record Lag(double from, double until) { }

    private final List<Lag> lags = new ArrayList<>();

    /** Adds an interval in which one of the threads did not run. */
    public synchronized void add(double from, double until) {
        lags.add(new Lag(from, until));
    }

    /** The earliest time at which an event that was read at {@code time} may have arrived. */
    public synchronized double earliestArrival(double time) {
        double earliest = time;
        for (Lag lag : lags) {
            if (lag.from < time && time <= lag.until) {
                earliest = Math.min(earliest, lag.from);
            }
        }
        return earliest;
    }

    /** Length of the longest interval in milliseconds; 0 if there is none. */
    public synchronized double longestMillis() {
        return lags.stream().mapToDouble(lag -> lag.until - lag.from).max().orElse(0);
    }
}
