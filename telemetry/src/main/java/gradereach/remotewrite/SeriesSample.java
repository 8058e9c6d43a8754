package gradereach.remotewrite;

import gradereach.measures.MetricFamily;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One point of one series, as it waits to be sent. A histogram is one item; where the receiver knows only plain samples it becomes
 * several (classic histograms: {@code _bucket}, {@code _sum}, {@code _count}).
 *
 * @param labels names and values in turn, sorted by name, {@code __name__} among them
 * @param value NaN beside a histogram
 * @param bytes roughly what it takes on the wire, uncompressed
 */
public record SeriesSample(List<String> labels, MetricFamily.Type type, String unit, String help, long timestampMillis, double value,
        MetricFamily.Buckets histogram, long createdMillis, int estimatedBytes) {
    /** The value that ends a series (remote write specification, "Stale Markers"). */
    public static final double STALE_MARKER = Double.longBitsToDouble(0x7ff0000000000002L);

    private static final String NAME_LABEL = "__name__";

    /** A family's points with the labels of this front end beside their own; {@code common} sorted as labels are. */
    static void addSamples(MetricFamily family, List<String> common, long timestamp, List<SeriesSample> into) {
        String name = family.type() == MetricFamily.Type.COUNTER ? family.name() + "_total" : family.name();
        for (MetricFamily.Point point : family.points()) {
            List<String> labels = labels(name, common, point.labels());
            int bytes = 30 + labels.stream().mapToInt(String::length).sum()
                    + (point.histogram() == null ? 0 : 40 + 3 * point.histogram().counts().length);
            into.add(new SeriesSample(labels, family.type(), family.unit(), family.help(), timestamp, point.value(), point.histogram(),
                    point.createdMillis(), bytes));
        }
    }

    private static List<String> labels(String name, List<String> common, List<String> own) {
        record Pair(String name, String value) { }
        List<Pair> pairs = new ArrayList<>();
        pairs.add(new Pair(NAME_LABEL, name));
        for (List<String> some : List.of(common, own)) {
            for (int i = 0; i < some.size(); i += 2) {
                pairs.add(new Pair(some.get(i), some.get(i + 1)));
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

    /** The same series, ended. */
    SeriesSample toStaleMarker(long at) {
        return new SeriesSample(labels, MetricFamily.Type.GAUGE, unit, help, at, STALE_MARKER, null, 0, estimatedBytes);
    }
}
