package gradereach.standins.frames;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rule 4: an executor that has just started falls at more than {@code N + 2 root(N) + 2} requests (N under 30:
 * {@code N + 3 root(N) + 3}) in the rule's time, and front ends are to blame where over two thirds came from those that had been
 * told of its start. N is what one core does, times the share that has warmed up when the last of them comes, times the
 * rule's multiple. Every request weighs the same, also one that is turned away. Only the first fall of a process counts.
 */
public final class ColdStartCheck {
    private static final double SOCKET_SLACK_MILLIS = 50;
    private static final double SMALL_LIMIT = 30;
    private static final double BLAMED_FRACTION = 2.0 / 3;

    /**
     * The settings' figures.
     *
     * @param startShare of its capacity that a process has at its start
     * @param warmWithin milliseconds until it has all of it
     * @param multiple of what it can do at which it falls
     * @param span milliseconds in which that must come
     * @param meanWork milliseconds of a request
     */
    public record ColdStartParameters(double startFraction, double warmUpMillis, double overloadMultiple, double windowMillis, double meanWorkMillis) {
        /** Nothing makes a process fall. */
        static final ColdStartParameters NONE = new ColdStartParameters(1, 1, Double.POSITIVE_INFINITY, 1, 1);

        double maxRequests(double age) {
            double share = Math.min(1, startFraction + (1 - startFraction) * age / warmUpMillis);
            double n = overloadMultiple * windowMillis * share / meanWorkMillis;
            return n < SMALL_LIMIT ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
        }
    }

    /** A fall for which front ends are to blame; not decided where it may have come by how late requests were read. */
    record Fall(String description, boolean conclusive) { }

    /** A request, read at {@code at} and come at {@code earliest} or later. */
    private record Arrival(double earliestAt, double readAt, Object frontEnd) { }

    private static final class ProcessStart {
        private final double startedAt;
        private final List<Arrival> arrivals = new ArrayList<>();
        private double deliveredAt = Double.POSITIVE_INFINITY;
        private Map<Integer, Long> bytesByWatch = Map.of();

        private ProcessStart(double at) {
            this.startedAt = at;
        }

        /** Whether it counted as told to the sender at {@code time}. */
        private boolean wasDeliveredTo(Object frontEnd, double time, Map<Object, FrontEndConnectionLog> records) {
            FrontEndConnectionLog shown = records.get(frontEnd);
            return time >= (shown == null ? deliveredAt : shown.deliveredAt(deliveredAt, bytesByWatch));
        }
    }

    private final ColdStartParameters parameters;
    private final Map<String, ProcessStart> latestStarts = new HashMap<>();
    private final List<Map.Entry<String, ProcessStart>> allStarts = new ArrayList<>();
    private double highestLoadRatio;

    ColdStartCheck(ColdStartParameters figures) {
        this.parameters = figures;
    }

    /** A process has started, cold. */
    public synchronized void processStarted(String executor, double at) {
        ProcessStart start = new ProcessStart(at);
        latestStarts.put(executor, start);
        allStarts.add(Map.entry(executor, start));
    }

    /** Its start counts as told from then on. */
    public synchronized void startDelivered(String executor, double at, Map<Integer, Long> bytesByWatch) {
        ProcessStart start = latestStarts.get(executor);
        start.deliveredAt = at;
        start.bytesByWatch = Map.copyOf(bytesByWatch);
    }

    /** A request has come to it. */
    synchronized void requestArrived(String executor, double earliest, double at, Object frontEnd) {
        ProcessStart start = latestStarts.get(executor);
        if (start != null && at - start.startedAt < parameters.warmUpMillis) {
            start.arrivals.add(new Arrival(earliest, at, frontEnd));
        }
    }

    /** The falls of all processes. */
    synchronized List<Fall> falls(Map<Object, FrontEndConnectionLog> records) {
        List<Fall> falls = new ArrayList<>();
        allStarts.forEach(start -> addFirstFall(start.getKey(), start.getValue(), records, falls));
        return falls;
    }

    private void addFirstFall(String executor, ProcessStart start, Map<Object, FrontEndConnectionLog> records, List<Fall> falls) {
        for (Arrival last : start.arrivals) {
            double limit = parameters.maxRequests(last.readAt - start.startedAt);
            double from = last.readAt - parameters.windowMillis + SOCKET_SLACK_MILLIS;
            List<Arrival> within = start.arrivals.stream().filter(one -> one.readAt > from && one.readAt <= last.readAt).toList();
            highestLoadRatio = Math.max(highestLoadRatio, within.size() / limit);
            if (within.size() > limit) {
                double blamed = BLAMED_FRACTION * within.size();
                long told = within.stream().filter(one -> start.wasDeliveredTo(one.frontEnd, one.readAt, records)).count();
                long certainlyTold = within.stream().filter(one -> start.wasDeliveredTo(one.frontEnd, one.earliestAt, records)).count();
                long certain = within.stream().filter(one -> one.earliestAt > from).count();
                if (told > blamed) {
                    falls.add(new Fall(executor + ", started " + Math.round(start.startedAt) + ", told " + Math.round(start.deliveredAt) + ": "
                            + within.size() + " requests within " + Math.round(parameters.windowMillis) + " ms at "
                            + Math.round(last.readAt) + ", falls beyond " + Math.round(limit) + "; " + told
                            + " from front ends that had been told", certain > limit && certainlyTold > blamed));
                }
                return;
            }
        }
    }

    /** The most that a cold process had to take, as a share of what makes it fall; after {@link #falls}. */
    public synchronized double highestLoadRatio() {
        return highestLoadRatio;
    }
}
