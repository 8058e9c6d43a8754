package gradereach.counts;

import gradereach.measures.MetricFamily;
import gradereach.measures.MetricFamily.Point;
import gradereach.measures.MetricFamily.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** Exposes all named counters and limits as metric families, without locking out the threads that count. */
public final class CountsSource implements MetricFamily.Source {
    private final Counts counts;
    private final long startedAtMillis;

    /** @param startedAtMillis Unix time in milliseconds at which counting started */
    public CountsSource(Counts counts, long startedAtMillis) {
        this.counts = counts;
        this.startedAtMillis = startedAtMillis;
    }

    @Override
    public void collect(List<MetricFamily> families) {
        new TreeMap<>(counts.counters()).forEach((name, value) -> families.add(new MetricFamily("gradereach_" + name, Type.COUNTER, "",
                "Counted since the start", List.of(new Point(List.of(), value.sum(), null, startedAtMillis)))));
        List<Point> inUse = new ArrayList<>();
        List<Point> capacity = new ArrayList<>();
        List<Point> rejections = new ArrayList<>();
        for (Counts.Limit limit : counts.limits()) {
            List<String> labels = List.of("limit", limit.name);
            inUse.add(new Point(labels, limit.inUse(), null, 0));
            if (limit.capacity < Long.MAX_VALUE) {
                capacity.add(new Point(labels, limit.capacity, null, 0));
            }
            rejections.add(new Point(labels, limit.rejections(), null, startedAtMillis));
        }
        families.add(new MetricFamily("gradereach_limit_present", Type.GAUGE, "", "What is in use of something bounded", inUse));
        families.add(new MetricFamily("gradereach_limit_bound", Type.GAUGE, "", "Its bound", capacity));
        families.add(new MetricFamily("gradereach_limit_refused", Type.COUNTER, "", "How often there was no room", rejections));
    }
}
