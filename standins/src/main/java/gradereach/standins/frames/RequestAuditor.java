package gradereach.standins.frames;

import gradereach.standins.LagIntervals;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoublePredicate;

/**
 * Judges front ends by what passed on the sockets of their clients, executors and change log, and by nothing that they say
 * of themselves. Times are milliseconds of one clock; the slack is the protocol's.
 */
public final class RequestAuditor {
    /** What a front end must not do. */
    public enum Violation {
        NO_ANSWER, SECOND_ANSWER, WRONG_ANSWER, LATE_ATTEMPT, AFTER_DRAIN,
        /** A request whose repeats are not harmless was taken by executors twice. */
        DUPLICATE,
        /** An attempt was given more time than its client had left. */
        LONG_DEADLINE,
        /** An attempt under an id that no client has asked. */
        UNKNOWN_REQUEST,
        /** A process that had just started got more than it bears, from front ends that had been told of its start. */
        COLD_FALL
    }

    /** What looks like a breach, and by the system calls of its front end is none. */
    public enum Allowance {
        /** A request crossed the close of its connection, and nothing of it was read. */
        CROSSED_CLOSE,
        /** Sent to an executor that drains before that counted as told to a front end whose watch was broken by a fault. */
        BROKEN_WATCH
    }

    /** Something that was seen at a time beyond its limit. */
    private record DatedFinding(Finding finding, double observedAt, double limit) { }

    /** One breach and what it was seen by. */
    public record Finding(Violation violation, String description) { }

    /** After the client's time: until then a missing answer only earns nothing. */
    private static final double ANSWER_SLACK_MILLIS = 500;
    /** After the end of a request or its client's leaving, within which an attempt may still begin. */
    private static final double CANCEL_SLACK_MILLIS = 100;
    /** By which the time that is passed on with an attempt may exceed what its client has left. */
    private static final double DEADLINE_SLACK_MILLIS = 150;
    /** By which every limit is longer on sockets. */
    private static final double SOCKET_SLACK_MILLIS = 50;

    /** Who writes on a connection to an executor: the front end whose requests came on it, null before the first. */
    static final class Sender {
        private final int port;
        private Object frontEnd;

        /** @param port from which the connection was made */
        Sender(int port) {
            this.port = port;
        }

        /** Whether it writes for the same front end, as far as that is known. */
        boolean isSameFrontEnd(Sender other) {
            return this == other || frontEnd != null && frontEnd.equals(other.frontEnd);
        }
    }

    /** An attempt that began after its request's end; what held its write up is told with it. */
    private record LateAttempt(String description, double receivedAt, double limit, Sender sender) { }

    /** Something that came to an executor after its grace, as far as its time alone tells. */
    private record LateSend(String executor, String description, double receivedAt, Drain drain, Sender sender) { }

    /** From when on an executor counts as draining, and what had been written to each watch with that. */
    private static final class Drain {
        private final double announcedAt;
        private Map<Integer, Long> bytesByWatch = Map.of();

        private Drain(double at) {
            this.announcedAt = at;
        }
    }

    private static final class Request {
        private final Object frontEnd;
        private final double sentAt;
        private final double budgetMillis;
        private final boolean repeatable;
        private int acceptedAttempts;
        private double cancelledAt = Double.POSITIVE_INFINITY;
        private double answeredAt = Double.POSITIVE_INFINITY;
        private double connectionEndedAt = Double.NaN;
        private FrontEndConnectionLog.UnansweredRequest unansweredRequest;
        private boolean excused;
        private boolean succeeded;
        private final List<String> executorAnswers = new ArrayList<>(1);

        private Request(Object frontEnd, double askedAt, double budget, boolean repeatable) {
            this.repeatable = repeatable;
            this.frontEnd = frontEnd;
            this.sentAt = askedAt;
            this.budgetMillis = budget;
        }

        @Override
        public String toString() {
            return "of " + frontEnd + ", asked " + Math.round(sentAt) + ", budget " + Math.round(budgetMillis) + ", left " + formatTime(cancelledAt)
                    + ", answered " + formatTime(answeredAt);
        }

        private static String formatTime(double at) {
            return at < Double.POSITIVE_INFINITY ? Long.toString(Math.round(at)) : "never";
        }

        private double endedAtMillis() {
            return Math.min(sentAt + budgetMillis, Math.min(cancelledAt, answeredAt));
        }
    }

    private final double drainGraceMillis;
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final StallIntervals stallIntervals = new StallIntervals();
    private final Map<String, Drain> executorDraining = new HashMap<>();
    private final List<LateSend> lateSends = new ArrayList<>();
    private final List<LateAttempt> lateAttempts = new ArrayList<>();
    private final Map<Object, FrontEndConnectionLog> connectionLogs = new HashMap<>();
    /** When the process of a front end had exited, where nobody has listened at its address since. */
    private final Map<Object, Double> exitTimes = new HashMap<>();
    private final Map<Allowance, Integer> allowanceCounts = new EnumMap<>(Allowance.class);
    private final List<Finding> findings = new ArrayList<>();
    private final List<DatedFinding> longDeadlines = new ArrayList<>();
    private final List<Finding> inconclusive = new ArrayList<>();
    private final LagIntervals lagIntervals;
    /** Rule 4, told of starts by whoever brings them about. */
    public final ColdStartCheck coldStartCheck;
    /** Shown with what it explains. */
    final ProbeHistory probeHistory = new ProbeHistory();

    /** @param drainGrace milliseconds within which requests may still go to an executor that drains */
    public RequestAuditor(double drainGrace) {
        this(drainGrace, new LagIntervals());
    }

    /** @param lags when those who date what passed were late: what that may explain is not decided */
    public RequestAuditor(double drainGrace, LagIntervals lags) {
        this(drainGrace, lags, ColdStartCheck.ColdStartParameters.NONE);
    }

    /** @param coldStart what a process that has just started bears */
    public RequestAuditor(double drainGrace, LagIntervals lags, ColdStartCheck.ColdStartParameters coldStart) {
        this.drainGraceMillis = drainGrace;
        this.lagIntervals = lags;
        coldStartCheck = new ColdStartCheck(coldStart);
    }

    /** Requests asked so far. */
    public synchronized int requests() {
        return requests.size();
    }

    /**
     * The last byte of a request was written to a connection that was accepted.
     *
     * @param repeatable whether it may run more than once
     */
    public synchronized void requestSent(String id, Object frontEnd, double at, double budget, boolean repeatable) {
        Request request = new Request(frontEnd, at, budget, repeatable);
        request.excused = hasExited(frontEnd, at);
        requests.put(id, request);
    }

    /** Its process was ended without a word: what it had not answered by then is owed by nobody. */
    public synchronized void frontEndKilled(Object frontEnd, double at) {
        for (Request request : requests.values()) {
            if (request.frontEnd.equals(frontEnd) && request.sentAt <= at && request.answeredAt > at) {
                request.excused = true;
            }
        }
    }

    /**
     * Its process has exited: what is written from then on, on a connection that was open still, reaches nobody, and is no
     * request. Until {@link #listens}.
     */
    public synchronized void frontEndExited(Object frontEnd, double at) {
        exitTimes.put(frontEnd, at);
    }

    /** A process listens at the address of a front end. */
    public synchronized void frontEndListening(Object frontEnd) {
        exitTimes.remove(frontEnd);
    }

    private boolean hasExited(Object frontEnd, double at) {
        Double exitedAt = exitTimes.get(frontEnd);
        return exitedAt != null && at >= exitedAt;
    }

    /** A front end had no processor: what had to be answered meanwhile, or right after, cannot have been. */
    public synchronized void frontEndStalled(Object frontEnd, double from, double to) {
        stallIntervals.add(frontEnd, from, to);
    }

    /** Its client has closed the connection. */
    public synchronized void requestCancelled(String id, double at) {
        requests.get(id).cancelledAt = at;
    }

    /**
     * Its connection was ended by the front end while it waited.
     *
     * @param clientPort from which the client had connected
     * @param writtenBefore bytes that the client had written there before the request
     */
    public synchronized void connectionEnded(String id, double at, int clientPort, long writtenBefore) {
        Request request = requests.get(id);
        request.connectionEndedAt = at;
        request.unansweredRequest = new FrontEndConnectionLog.UnansweredRequest(clientPort, writtenBefore, request.sentAt, at);
    }

    /** What the system calls of a front end show; without it nothing is allowed for. */
    public synchronized void addConnectionLog(Object frontEnd, FrontEndConnectionLog shown) {
        connectionLogs.put(frontEnd, shown);
    }

    /** What would be a breach by its date, and may be none: its date was taken late. After {@link #findings}. */
    public synchronized List<Finding> inconclusive() {
        return List.copyOf(inconclusive);
    }

    /** A breach, unless what was seen may have come within its limit. */
    private void addFinding(List<Finding> breaches, DatedFinding seen) {
        (lagIntervals.earliestArrival(seen.observedAt) > seen.limit ? breaches : inconclusive).add(seen.finding);
    }

    /** How often each allowance was made, when the findings were asked for last. */
    public synchronized Map<Allowance, Integer> allowanceCounts() {
        return new EnumMap<>(allowanceCounts);
    }

    /** Nothing is owed: its front end was killed, or closed a connection on which the request crossed the close. */
    public synchronized void excuse(String id) {
        requests.get(id).excused = true;
    }

    /** A whole answer has come. */
    public synchronized void answerReceived(String id, int status, String body, double at) {
        Request request = requests.get(id);
        if (request.answeredAt < Double.POSITIVE_INFINITY) {
            findings.add(new Finding(Violation.SECOND_ANSWER, id));
        }
        request.answeredAt = at;
        request.succeeded = status == 200;
        if (status == 200 && !request.executorAnswers.contains(body)) {
            findings.add(new Finding(Violation.WRONG_ANSWER, id + ": " + body));
        }
    }

    /** An executor has answered it with this body. */
    public synchronized void executorAnswered(String id, String body) {
        Request request = requests.get(id);
        if (request != null) {
            request.executorAnswers.add(body);
        }
    }

    /**
     * A request has arrived whole at an executor.
     *
     * @param patience the time that was passed on with it, milliseconds
     */
    public synchronized void attemptReceived(String executor, String id, double at, double patience) {
        attemptReceived(executor, id, at, patience, new Sender(0));
    }

    /** The same on a connection of {@code sender}. */
    synchronized void attemptReceived(String executor, String id, double at, double patience, Sender sender) {
        Request request = requests.get(id);
        if (request == null) {
            findings.add(new Finding(Violation.UNKNOWN_REQUEST, id + " on " + executor));
            return;
        }
        double beyond = at + patience - (request.sentAt + request.budgetMillis);
        if (beyond > DEADLINE_SLACK_MILLIS + SOCKET_SLACK_MILLIS) {
            longDeadlines.add(new DatedFinding(new Finding(Violation.LONG_DEADLINE, id + " on " + executor + ": " + Math.round(beyond)
                    + " ms beyond its client's time; " + request + stallIntervals.describeAll(request.frontEnd)), at,
                    request.sentAt + request.budgetMillis - patience + DEADLINE_SLACK_MILLIS + SOCKET_SLACK_MILLIS));
        }
        if (at > request.endedAtMillis() + CANCEL_SLACK_MILLIS + SOCKET_SLACK_MILLIS) {
            lateAttempts.add(new LateAttempt(id + " at " + Math.round(at) + " on " + executor + ": "
                    + Math.round(at - request.endedAtMillis()) + " ms after its end; " + request + stallIntervals.describeAll(request.frontEnd), at,
                    request.endedAtMillis() + CANCEL_SLACK_MILLIS + SOCKET_SLACK_MILLIS, sender));
        }
        sender.frontEnd = request.frontEnd;
        checkDrainGrace(executor, "request " + id, at, sender);
    }

    /** An executor did not turn it away: it runs, or may have run. */
    public synchronized void attemptAccepted(String executor, String id) {
        Request request = requests.get(id);
        if (request != null && ++request.acceptedAttempts > 1 && !request.repeatable) {
            findings.add(new Finding(Violation.DUPLICATE, id + ": taken " + request.acceptedAttempts + " times, last by " + executor));
        }
    }

    /** What an {@link #attempt} weighs at a process that has just started: read at {@code at}, come at {@code earliest} or later. */
    synchronized void countForColdStart(String executor, double earliest, double at, Sender sender) {
        coldStartCheck.requestArrived(executor, Math.min(earliest, lagIntervals.earliestArrival(at)), at, sender.frontEnd);
    }

    /** A load order has arrived whole at an executor. */
    public synchronized void loadOrderReceived(String executor, double at) {
        loadOrderReceived(executor, at, new Sender(0));
    }

    /** The same from a {@code sender} whose front end may become known later. */
    synchronized void loadOrderReceived(String executor, double at, Sender sender) {
        checkDrainGrace(executor, "load order", at, sender);
    }

    private void checkDrainGrace(String executor, String what, double at, Sender sender) {
        Drain drain = executorDraining.get(executor);
        if (drain != null && isAfterGrace(at, drain.announcedAt)) {
            lateSends.add(new LateSend(executor, what, at, drain, sender));
        }
    }

    private boolean isAfterGrace(double at, double drainedAt) {
        return at > drainedAt + drainGraceMillis + SOCKET_SLACK_MILLIS;
    }

    /** From then on it counts as told that the executor drains or has gone. */
    public synchronized void executorDraining(String executor, double at) {
        executorDraining.put(executor, new Drain(at));
    }

    /** The change log has told of it, and had written so many bytes with that to each watch, by the watch's port. */
    public synchronized void drainAnnounced(String executor, Map<Integer, Long> bytesByWatch) {
        executorDraining.get(executor).bytesByWatch = Map.copyOf(bytesByWatch);
    }

    /** It started anew and is ready again. */
    public synchronized void executorReturned(String executor) {
        executorDraining.remove(executor);
    }

    /** The share of the requests asked at such times that were answered with success; NaN where there were none. */
    public synchronized double successRate(DoublePredicate askedAt) {
        return requests.values().stream().filter(request -> askedAt.test(request.sentAt))
                .mapToInt(request -> request.succeeded ? 1 : 0).average().orElse(Double.NaN);
    }

    private String describeWriteStall(LateAttempt late) {
        FrontEndConnectionLog shown = connectionLogs.get(late.sender.frontEnd);
        double millis = shown == null ? 0 : shown.writeStallMillis(late.sender.port, late.receivedAt);
        return millis > 0 ? "; stopped for " + Math.round(millis) + " ms between its last look at the clock and the write" : "";
    }

    private boolean isAllowed(LateSend send) {
        FrontEndConnectionLog shown = connectionLogs.get(send.sender.frontEnd);
        boolean inTime = shown != null && !isAfterGrace(send.receivedAt, shown.deliveredAt(send.drain.announcedAt, send.drain.bytesByWatch));
        return inTime && countAllowance(Allowance.BROKEN_WATCH);
    }

    private boolean crossedClose(Request request) {
        FrontEndConnectionLog shown = connectionLogs.get(request.frontEnd);
        boolean crossed = shown != null && request.unansweredRequest != null && shown.crossedClose(request.unansweredRequest);
        return crossed && countAllowance(Allowance.CROSSED_CLOSE);
    }

    private boolean countAllowance(Allowance allowance) {
        allowanceCounts.merge(allowance, 1, Integer::sum);
        return true;
    }

    /** All that was found, once nothing can come any more of what was asked {@code before}. */
    public synchronized List<Finding> findings(double before) {
        List<Finding> all = new ArrayList<>(findings);
        allowanceCounts.clear();
        inconclusive.clear();
        longDeadlines.forEach(seen -> addFinding(all, seen));
        lateAttempts.forEach(late -> addFinding(all, new DatedFinding(new Finding(Violation.LATE_ATTEMPT, late.description + describeWriteStall(late)), late.receivedAt,
                late.limit)));
        lateSends.stream().filter(send -> !isAllowed(send)).forEach(send -> addFinding(all, new DatedFinding(
                new Finding(Violation.AFTER_DRAIN, send.description + " to " + send.executor + " by " + send.sender.frontEnd + ": "
                        + Math.round(send.receivedAt - send.drain.announcedAt) + " ms after" + probeHistory.describe(send.executor, send.sender, send.receivedAt)),
                send.receivedAt, send.drain.announcedAt + drainGraceMillis + SOCKET_SLACK_MILLIS)));
        coldStartCheck.falls(connectionLogs).forEach(fall -> (fall.conclusive() ? all : inconclusive).add(new Finding(Violation.COLD_FALL, fall.description())));
        requests.forEach((id, request) -> {
            double latest = request.sentAt + request.budgetMillis + ANSWER_SLACK_MILLIS + SOCKET_SLACK_MILLIS;
            if (request.sentAt < before && !request.excused && !stallIntervals.coversOrJustEnded(request.frontEnd, latest)
                    && Math.min(request.cancelledAt, request.answeredAt) > latest && !crossedClose(request)) {
                Finding finding = new Finding(Violation.NO_ANSWER, id + ": asked at " + Math.round(request.sentAt) + ", "
                        + (request.answeredAt < Double.POSITIVE_INFINITY
                        ? Math.round(request.answeredAt - latest) + " ms too late"
                        : Double.isNaN(request.connectionEndedAt) ? "never answered"
                        : "connection ended after " + Math.round(request.connectionEndedAt - request.sentAt) + " ms")
                        + " by " + request.frontEnd + stallIntervals.describeLastBefore(request.frontEnd, latest));
                addFinding(all, new DatedFinding(finding, Math.min(request.cancelledAt, request.answeredAt), latest));
            }
        });
        return all;
    }
}
