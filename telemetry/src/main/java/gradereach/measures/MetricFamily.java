package gradereach.measures;

import java.util.List;

/**
 * All points of one metric at one time.
 *
 * @param name for a counter without the suffix {@code _total}
 * @param unit as in Prometheus, for example {@code seconds}; empty for none
 * @param points one for each label set
 */
public record MetricFamily(String name, Type type, String unit, String help, List<Point> points) {
    /** Type of a metric. */
    public enum Type { COUNTER, GAUGE, HISTOGRAM }

    /**
     * The value of one series.
     *
     * @param labels alternating names and values, sorted by name
     * @param value NaN for a histogram
     * @param histogram null for a single value
     * @param createdMillis Unix time at which counting began; 0 for gauges
     */
    public record Point(List<String> labels, double value, Buckets histogram, long createdMillis) { }

    /**
     * An exponential histogram (Prometheus native histograms): {@code counts[i]} counts the values in
     * (base^(firstIndex+i-1), base^(firstIndex+i)], base = 2^(2^-schema).
     *
     * @param count all values, those below the zero threshold included
     * @param zeroCount values below the zero threshold
     */
    public record Buckets(int schema, long count, double sum, int firstIndex, long[] counts, long zeroCount) { }

    /** A component that has metrics; called by the collecting thread. */
    public interface Source {
        /** Adds the component's metrics to the list. */
        void collect(List<MetricFamily> into);
    }
}
