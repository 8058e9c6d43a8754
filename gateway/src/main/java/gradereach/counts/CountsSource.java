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

    public CountsSource(Counts counts, long sinceMillis) {
        this.counts = counts;
        this.startedAtMillis = sinceMillis;
    }

    @Override
    public void collect(List<MetricFamily> into) {
        new TreeMap<>(counts.counters()).forEach((name, value) -> into.add(new MetricFamily("gradereach_" + name, Type.COUNTER, "",
                "Counted since the start", List.of(new Point(List.of(), value.sum(), null, startedAtMillis)))));
        List<Point> present = new ArrayList<>();
        List<Point> bound = new ArrayList<>();
        List<Point> refused = new ArrayList<>();
        for (Counts.Limit limit : counts.limits()) {
            List<String> which = List.of("limit", limit.name);
            present.add(new Point(which, limit.inUse(), null, 0));
            if (limit.capacity < Long.MAX_VALUE) {
                bound.add(new Point(which, limit.capacity, null, 0));
            }
            refused.add(new Point(which, limit.rejections(), null, startedAtMillis));
        }
        into.add(new MetricFamily("gradereach_limit_present", Type.GAUGE, "", "What is in use of something bounded", present));
        into.add(new MetricFamily("gradereach_limit_bound", Type.GAUGE, "", "Its bound", bound));
        into.add(new MetricFamily("gradereach_limit_refused", Type.COUNTER, "", "How often there was no room", refused));
    }
}
