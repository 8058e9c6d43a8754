package gradereach.remotewrite;

import gradereach.measures.MetricFamily;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One sample of one series that waits to be sent. A histogram is one sample; in version 1.0, which has plain samples only, it
 * becomes several (classic histograms: {@code _bucket}, {@code _sum}, {@code _count}).
 *
 * @param labels alternating names and values, sorted by name, {@code __name__} included
 * @param value NaN for a histogram
 * @param estimatedBytes approximate size on the wire, uncompressed
 */
public record SeriesSample(List<String> labels, MetricFamily.Type type, String unit, String help, long timestampMillis, double value,
        MetricFamily.Buckets histogram, long createdMillis, int estimatedBytes) {
    /** The value that ends a series (remote write specification, "Stale Markers"). */
    public static final double STALE_MARKER = Double.longBitsToDouble(0x7ff0000000000002L);

    private static final String NAME_LABEL = "__name__";

    /** Converts the points of a family to samples with the common labels added, which are sorted by name. */
    static void addSamples(MetricFamily family, List<String> commonLabels, long timestampMillis, List<SeriesSample> samples) {
        String name = family.type() == MetricFamily.Type.COUNTER ? family.name() + "_total" : family.name();
        for (MetricFamily.Point point : family.points()) {
            List<String> labels = mergeLabels(name, commonLabels, point.labels());
            // About 30 bytes besides the labels' text; a histogram adds 40 bytes and 3 bytes per bucket.
            int estimatedBytes = 30 + labels.stream().mapToInt(String::length).sum()
                    + (point.histogram() == null ? 0 : 40 + 3 * point.histogram().counts().length);
            samples.add(new SeriesSample(labels, family.type(), family.unit(), family.help(), timestampMillis, point.value(),
                    point.histogram(), point.createdMillis(), estimatedBytes));
        }
    }

    private static List<String> mergeLabels(String name, List<String> commonLabels, List<String> pointLabels) {
        record Pair(String name, String value) { }
        List<Pair> pairs = new ArrayList<>();
        pairs.add(new Pair(NAME_LABEL, name));
        for (List<String> namesAndValues : List.of(commonLabels, pointLabels)) {
            for (int i = 0; i < namesAndValues.size(); i += 2) {
                pairs.add(new Pair(namesAndValues.get(i), namesAndValues.get(i + 1)));
            }
        }
        pairs.sort(Comparator.comparing(Pair::name));
        List<String> flat = new ArrayList<>(pairs.size() * 2);
        pairs.forEach(pair -> {
            flat.add(pair.name);
            flat.add(pair.value);
        });
        return List.copyOf(flat);
    }

    /** A stale marker, which ends this series. */
    SeriesSample toStaleMarker(long timestamp) {
        return new SeriesSample(labels, MetricFamily.Type.GAUGE, unit, help, timestamp, STALE_MARKER, null, 0, estimatedBytes);
    }
}
