package gradereach.standins.prometheus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stores time series by label set, with the samples of each series in time order. */
public final class SampleStore {
    /** Bit pattern of the stale marker, which ends a series. */
    static final long STALE_MARKER_BITS = 0x7ff0000000000002L;

    /** One sample, with its Unix time in milliseconds. */
    record Sample(long timestamp, double value) {
        boolean isStale() {
            return Double.doubleToRawLongBits(value) == STALE_MARKER_BITS;
        }
    }

    /** Samples by label set; the metric name is the label {@code __name__}. */
    private final Map<Map<String, String>, List<Sample>> series = new HashMap<>();
    private final Map<String, List<Map<String, String>>> labelSetsByName = new HashMap<>();
    private long sampleCount;
    private long outOfOrderCount;

    /**
     * Adds a sample. Returns false if its series already has a later sample, or another value at the same time, as a Prometheus
     * server rejects it. An identical sample is accepted but not stored again.
     */
    public synchronized boolean add(Map<String, String> labels, long timestamp, double value) {
        Map<String, String> key = new TreeMap<>(labels);
        List<Sample> samples = series.computeIfAbsent(key, k -> {
            labelSetsByName.computeIfAbsent(k.get("__name__"), n -> new ArrayList<>()).add(k);
            return new ArrayList<>();
        });
        if (!samples.isEmpty() && samples.get(samples.size() - 1).timestamp >= timestamp) {
            Sample last = samples.get(samples.size() - 1);
            boolean duplicate = last.timestamp == timestamp && Double.doubleToRawLongBits(last.value) == Double.doubleToRawLongBits(value);
            outOfOrderCount += duplicate ? 0 : 1;
            return duplicate;
        }
        samples.add(new Sample(timestamp, value));
        sampleCount++;
        return true;
    }

    /** The series with this name that have samples after {@code after} and up to {@code until}, with these samples. */
    synchronized Map<Map<String, String>, List<Sample>> samplesBetween(String name, long after, long until) {
        Map<Map<String, String>, List<Sample>> found = new HashMap<>();
        for (Map<String, String> labels : labelSetsByName.getOrDefault(name, List.of())) {
            List<Sample> samples = series.get(labels);
            int end = samples.size();
            while (end > 0 && samples.get(end - 1).timestamp > until) {
                end--;
            }
            int start = end;
            while (start > 0 && samples.get(start - 1).timestamp > after) {
                start--;
            }
            if (start < end) {
                found.put(labels, List.copyOf(samples.subList(start, end)));
            }
        }
        return found;
    }

    /** Number of stored samples. */
    public synchronized long sampleCount() {
        return sampleCount;
    }

    /** Number of samples rejected as out of order. */
    public synchronized long outOfOrderCount() {
        return outOfOrderCount;
    }

    /** Number of series. */
    public synchronized int seriesCount() {
        return series.size();
    }

    /**
     * The last value of the series with this name and these labels; NaN if there is none.
     *
     * @param labels names and values in turn; the series may have more labels
     */
    public synchronized double lastValue(String name, String... labels) {
        for (Map<String, String> key : labelSetsByName.getOrDefault(name, List.of())) {
            boolean matches = true;
            for (int i = 0; i < labels.length; i += 2) {
                matches &= labels[i + 1].equals(key.get(labels[i]));
            }
            if (matches) {
                List<Sample> samples = series.get(key);
                return samples.get(samples.size() - 1).value;
            }
        }
        return Double.NaN;
    }

    /** Number of series that end with a stale marker. */
    public synchronized long endedSeriesCount() {
        return series.values().stream().filter(samples -> samples.get(samples.size() - 1).isStale()).count();
    }
}
