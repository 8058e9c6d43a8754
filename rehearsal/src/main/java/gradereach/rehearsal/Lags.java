package gradereach.rehearsal;

import java.util.ArrayList;
import java.util.List;

/** Times during which the threads that date what one side saw did nothing: what they dated then may have come before. */
final class Lags {
    private record Lag(double from, double until) { }

    private final List<Lag> lags = new ArrayList<>();

    void add(double from, double until) {
        lags.add(new Lag(from, until));
    }

    /** The earliest time at which what is dated {@code time} may have come. */
    double earliest(double time) {
        double earliest = time;
        for (Lag lag : lags) {
            if (lag.from < time && time <= lag.until) {
                earliest = Math.min(earliest, lag.from);
            }
        }
        return earliest;
    }

    /** The longest of them, milliseconds. */
    double longest() {
        return lags.stream().mapToDouble(lag -> lag.until - lag.from).max().orElse(0);
    }
}
