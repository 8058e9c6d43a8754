package gradereach.standins.prometheus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Series as a receiver keeps them: samples by label set, each series in the order of its time. */
public final class SampleStore {
    /** The value that ends a series. */
    static final long STALE = 0x7ff0000000000002L;

    record Sample(long timestamp, double value) {
        boolean stale() {
            return Double.doubleToRawLongBits(value) == STALE;
        }
    }

    private final Map<Map<String, String>, List<Sample>> series = new HashMap<>();
    private final Map<String, List<Map<String, String>>> byName = new HashMap<>();
    private long sampleCount;
    private long outOfOrderCount;

    /** False where it is older than what its series has: a receiver would refuse it. One more of the same time and value is none. */
    public synchronized boolean add(Map<String, String> labels, long at, double value) {
        Map<String, String> key = new TreeMap<>(labels);
        List<Sample> own = series.computeIfAbsent(key, k -> {
            byName.computeIfAbsent(k.get("__name__"), n -> new ArrayList<>()).add(k);
            return new ArrayList<>();
        });
        if (!own.isEmpty() && own.get(own.size() - 1).timestamp >= at) {
            Sample last = own.get(own.size() - 1);
            boolean again = last.timestamp == at && Double.doubleToRawLongBits(last.value) == Double.doubleToRawLongBits(value);
            outOfOrderCount += again ? 0 : 1;
            return again;
        }
        own.add(new Sample(at, value));
        sampleCount++;
        return true;
    }

    /** Series of that name whose samples lie in (from, to], with those samples. */
    synchronized Map<Map<String, String>, List<Sample>> samplesBetween(String name, long from, long to) {
        Map<Map<String, String>, List<Sample>> found = new HashMap<>();
        for (Map<String, String> labels : byName.getOrDefault(name, List.of())) {
            List<Sample> all = series.get(labels);
            int end = all.size();
            while (end > 0 && all.get(end - 1).timestamp > to) {
                end--;
            }
            int begin = end;
            while (begin > 0 && all.get(begin - 1).timestamp > from) {
                begin--;
            }
            if (begin < end) {
                found.put(labels, List.copyOf(all.subList(begin, end)));
            }
        }
        return found;
    }

    public synchronized long sampleCount() {
        return sampleCount;
    }

    public synchronized long outOfOrderCount() {
        return outOfOrderCount;
    }

    public synchronized int seriesCount() {
        return series.size();
    }

    /** The last value of the one series with that name and these labels among others; NaN without one. */
    public synchronized double lastValue(String name, String... labels) {
        for (Map<String, String> key : byName.getOrDefault(name, List.of())) {
            boolean fits = true;
            for (int i = 0; i < labels.length; i += 2) {
                fits &= labels[i + 1].equals(key.get(labels[i]));
            }
            if (fits) {
                List<Sample> own = series.get(key);
                return own.get(own.size() - 1).value;
            }
        }
        return Double.NaN;
    }

    /** How many series have ended by a stale marker. */
    public synchronized long endedSeriesCount() {
        return series.values().stream().filter(all -> all.get(all.size() - 1).stale()).count();
    }
}
