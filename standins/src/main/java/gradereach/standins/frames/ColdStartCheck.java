package gradereach.standins.frames;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the rule against overloading cold executors (rule 4). An executor that has just started fails under more than
 * {@code N + 2 sqrt(N) + 2} requests (for N below 30: {@code N + 3 sqrt(N) + 3}) within the window of the rule. N is the number
 * of requests that one core can process in the window, times the fraction of the capacity that is available when the last of
 * them arrives, times the overload multiple of the rule. Every request counts the same, also a rejected one. Front ends are to
 * blame if more than two thirds of the requests came from front ends to which the start had been delivered. Only the first
 * overload of a process counts.
 */
public final class ColdStartCheck {
    /** Subtracted from the window for the delay of the sockets. */
    private static final double SOCKET_SLACK_MILLIS = 50;
    private static final double SMALL_N = 30;
    /** Fraction of the requests beyond which front ends are to blame. */
    private static final double BLAMED_FRACTION = 2.0 / 3;

    /**
     * Parameters of the rule, from the settings of the front ends.
     *
     * @param startFraction fraction of its capacity that a process has at its start
     * @param warmUpMillis time until the process has its full capacity
     * @param overloadMultiple multiple of the current capacity at which the process fails
     * @param windowMillis window in which the requests are counted
     * @param meanWorkMillis mean processing time of a request
     */
    public record ColdStartParameters(double startFraction, double warmUpMillis, double overloadMultiple, double windowMillis,
            double meanWorkMillis) {
        /** Parameters under which no load is too high. */
        static final ColdStartParameters NONE = new ColdStartParameters(1, 1, Double.POSITIVE_INFINITY, 1, 1);

        /** The highest permitted number of requests in the window. */
        double maxRequests(double ageMillis) {
            double capacityFraction = Math.min(1, startFraction + (1 - startFraction) * ageMillis / warmUpMillis);
            double n = overloadMultiple * windowMillis * capacityFraction / meanWorkMillis;
            return n < SMALL_N ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
        }
    }

    /** An overload caused by front ends; inconclusive if it may only appear so because requests were read late. */
    record Overload(String description, boolean conclusive) { }

    /** A request that was read at {@code readAt} and arrived at {@code earliestAt} or later. */
    private record Arrival(double earliestAt, double readAt, Object frontEnd) { }

    /** The cold start of a process, with the requests that arrived during its warm-up. */
    private static final class ProcessStart {
        private final double startedAt;
        private final List<Arrival> arrivals = new ArrayList<>();
        private double deliveredAt = Double.POSITIVE_INFINITY;
        private Map<Integer, Long> bytesByWatch = Map.of();

        private ProcessStart(double startedAt) {
            this.startedAt = startedAt;
        }

        /** Whether the start counted as delivered to the front end at {@code time}. */
        private boolean wasDeliveredTo(Object frontEnd, double time, Map<Object, FrontEndConnectionLog> connectionLogs) {
            FrontEndConnectionLog connectionLog = connectionLogs.get(frontEnd);
            return time >= (connectionLog == null ? deliveredAt : connectionLog.deliveredAt(deliveredAt, bytesByWatch));
        }
    }

    private final ColdStartParameters parameters;
    private final Map<String, ProcessStart> latestStarts = new HashMap<>();
    private final List<Map.Entry<String, ProcessStart>> allStarts = new ArrayList<>();
    private double highestLoadRatio;

    ColdStartCheck(ColdStartParameters parameters) {
        this.parameters = parameters;
    }

    /** Records the cold start of a process. */
    public synchronized void processStarted(String executor, double startedAt) {
        ProcessStart start = new ProcessStart(startedAt);
        latestStarts.put(executor, start);
        allStarts.add(Map.entry(executor, start));
    }

    /**
     * Records the time from which the start counts as delivered to front ends.
     *
     * @param bytesByWatch bytes written to each watch up to and including the start, by the port of the watch
     */
    public synchronized void startDelivered(String executor, double deliveredAt, Map<Integer, Long> bytesByWatch) {
        ProcessStart start = latestStarts.get(executor);
        start.deliveredAt = deliveredAt;
        start.bytesByWatch = Map.copyOf(bytesByWatch);
    }

    /** Records a request that was read at {@code readAt} and arrived at {@code earliestAt} or later. */
    synchronized void requestArrived(String executor, double earliestAt, double readAt, Object frontEnd) {
        ProcessStart start = latestStarts.get(executor);
        if (start != null && readAt - start.startedAt < parameters.warmUpMillis) {
            start.arrivals.add(new Arrival(earliestAt, readAt, frontEnd));
        }
    }

    /** The first overload of each process for which front ends are to blame. */
    synchronized List<Overload> findOverloads(Map<Object, FrontEndConnectionLog> connectionLogs) {
        List<Overload> overloads = new ArrayList<>();
        allStarts.forEach(start -> addFirstOverload(start.getKey(), start.getValue(), connectionLogs, overloads));
        return overloads;
    }

    private void addFirstOverload(String executor, ProcessStart start, Map<Object, FrontEndConnectionLog> connectionLogs,
            List<Overload> overloads) {
        for (Arrival lastArrival : start.arrivals) {
            double limit = parameters.maxRequests(lastArrival.readAt - start.startedAt);
            double windowStart = lastArrival.readAt - parameters.windowMillis + SOCKET_SLACK_MILLIS;
            List<Arrival> inWindow = start.arrivals.stream()
                    .filter(arrival -> arrival.readAt > windowStart && arrival.readAt <= lastArrival.readAt).toList();
            highestLoadRatio = Math.max(highestLoadRatio, inWindow.size() / limit);
            if (inWindow.size() > limit) {
                double blameThreshold = BLAMED_FRACTION * inWindow.size();
                long notified = inWindow.stream()
                        .filter(arrival -> start.wasDeliveredTo(arrival.frontEnd, arrival.readAt, connectionLogs)).count();
                long certainlyNotified = inWindow.stream()
                        .filter(arrival -> start.wasDeliveredTo(arrival.frontEnd, arrival.earliestAt, connectionLogs)).count();
                long certainlyInWindow = inWindow.stream().filter(arrival -> arrival.earliestAt > windowStart).count();
                if (notified > blameThreshold) {
                    overloads.add(new Overload(executor + ", started " + Math.round(start.startedAt)
                            + ", start delivered " + Math.round(start.deliveredAt) + ": "
                            + inWindow.size() + " requests within " + Math.round(parameters.windowMillis) + " ms at "
                            + Math.round(lastArrival.readAt) + ", limit " + Math.round(limit) + "; " + notified
                            + " from front ends that had been notified",
                            certainlyInWindow > limit && certainlyNotified > blameThreshold));
                }
                return;
            }
        }
    }

    /** The highest load of a cold process, as a fraction of its limit; set by {@link #findOverloads}. */
    public synchronized double highestLoadRatio() {
        return highestLoadRatio;
    }
}
