package gradereach.measures;

import java.util.List;

/**
 * Measures of one name as they are at one moment. Counters have names without {@code _total}.
 *
 * @param points one for each set of labels
 */
public record MetricFamily(String name, Type type, String unit, String help, List<Point> points) {
    /** What a value means. */
    public enum Type { COUNTER, GAUGE, HISTOGRAM }

    /**
     * @param labels names and values in turn, sorted by name
     * @param value NaN for a histogram
     * @param histogram null for a single value
     * @param createdMillis Unix time since which it counts; 0 for gauges
     */
    public record Point(List<String> labels, double value, Buckets histogram, long createdMillis) { }

    /**
     * An exponential histogram (Prometheus native histograms): bucket {@code i} of {@code counts} holds what lies in
     * (base^(first+i-1), base^(first+i)], base = 2^(2^-schema).
     */
    public record Buckets(int schema, long count, double sum, int firstIndex, long[] counts, long zeroCount) { }

    /** Whoever has something to be measured; called by the thread that collects. */
    public interface Source {
        void collect(List<MetricFamily> into);
    }
}
