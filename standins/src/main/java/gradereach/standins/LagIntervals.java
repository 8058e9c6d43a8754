package gradereach.standins;

import java.util.ArrayList;
import java.util.List;

/** Times during which threads that date what they see did nothing: what they dated then may have come before. Any thread. */
public final class LagIntervals {
    private record Lag(double from, double until) { }

    private final List<Lag> lags = new ArrayList<>();

    /** One of the threads did nothing between these times. */
    public synchronized void add(double from, double until) {
        lags.add(new Lag(from, until));
    }

    /** The earliest time at which what is dated {@code time} may have come. */
    public synchronized double earliestArrival(double time) {
        double earliest = time;
        for (Lag lag : lags) {
            if (lag.from < time && time <= lag.until) {
                earliest = Math.min(earliest, lag.from);
            }
        }
        return earliest;
    }

    /** The longest of them, milliseconds. */
    public synchronized double longestMillis() {
        return lags.stream().mapToDouble(lag -> lag.until - lag.from).max().orElse(0);
    }
}
