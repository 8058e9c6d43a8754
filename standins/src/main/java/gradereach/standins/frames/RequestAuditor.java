package gradereach.standins.frames;

import gradereach.standins.Lags;
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
    public enum Breach {
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
    private record DatedFinding(Finding finding, double at, double limit) { }

    /** One breach and what it was seen by. */
    public record Finding(Breach breach, String what) { }

    /** After the client's time: until then a missing answer only earns nothing. */
    private static final double ANSWER_SLACK = 500;
    /** After the end of a request or its client's leaving, within which an attempt may still begin. */
    private static final double LEAVING_SLACK = 100;
    /** By which the time that is passed on with an attempt may exceed what its client has left. */
    private static final double DEADLINE_SLACK = 150;
    /** By which every limit is longer on sockets. */
    private static final double SOCKET_SLACK = 50;

    /** Who writes on a connection to an executor: the front end whose requests came on it, null before the first. */
    static final class Sender {
        private final int port;
        private Object frontEnd;

        /** @param port from which the connection was made */
        Sender(int port) {
            this.port = port;
        }

        /** Whether it writes for the same front end, as far as that is known. */
        boolean isOf(Sender other) {
            return this == other || frontEnd != null && frontEnd.equals(other.frontEnd);
        }
    }

    /** An attempt that began after its request's end; what held its write up is told with it. */
    private record LateAttempt(String what, double at, double limit, Sender sender) { }

    /** Something that came to an executor after its grace, as far as its time alone tells. */
    private record LateSend(String executor, String what, double at, Drain drain, Sender sender) { }

    /** From when on an executor counts as draining, and what had been written to each watch with that. */
    private static final class Drain {
        private final double at;
        private Map<Integer, Long> bytesByWatch = Map.of();

        private Drain(double at) {
            this.at = at;
        }
    }

    private static final class Request {
        private final Object frontEnd;
        private final double askedAt;
        private final double budget;
        private final boolean repeatable;
        private int taken;
        private double leftAt = Double.POSITIVE_INFINITY;
        private double answeredAt = Double.POSITIVE_INFINITY;
        private double endedAt = Double.NaN;
        private FrontEndRecord.UnansweredRequest unanswered;
        private boolean excused;
        private boolean succeeded;
        private final List<String> made = new ArrayList<>(1);

        private Request(Object frontEnd, double askedAt, double budget, boolean repeatable) {
            this.repeatable = repeatable;
            this.frontEnd = frontEnd;
            this.askedAt = askedAt;
            this.budget = budget;
        }

        @Override
        public String toString() {
            return "of " + frontEnd + ", asked " + Math.round(askedAt) + ", budget " + Math.round(budget) + ", left " + time(leftAt)
                    + ", answered " + time(answeredAt);
        }

        private static String time(double at) {
            return at < Double.POSITIVE_INFINITY ? Long.toString(Math.round(at)) : "never";
        }

        private double over() {
            return Math.min(askedAt + budget, Math.min(leftAt, answeredAt));
        }
    }

    private final double drainGrace;
    private final Map<String, Request> requests = new LinkedHashMap<>();
    private final Standstills standstills = new Standstills();
    private final Map<String, Drain> drains = new HashMap<>();
    private final List<LateSend> lateSends = new ArrayList<>();
    private final List<LateAttempt> lateAttempts = new ArrayList<>();
    private final Map<Object, FrontEndRecord> records = new HashMap<>();
    /** When the process of a front end had exited, where nobody has listened at its address since. */
    private final Map<Object, Double> exits = new HashMap<>();
    private final Map<Allowance, Integer> allowed = new EnumMap<>(Allowance.class);
    private final List<Finding> findings = new ArrayList<>();
    private final List<DatedFinding> longDeadlines = new ArrayList<>();
    private final List<Finding> undecided = new ArrayList<>();
    private final Lags lags;
    /** Rule 4, told of starts by whoever brings them about. */
    public final ColdStartCheck coldStarts;
    /** Shown with what it explains. */
    final ProbeHistory probes = new ProbeHistory();

    /** @param drainGrace milliseconds within which requests may still go to an executor that drains */
    public RequestAuditor(double drainGrace) {
        this(drainGrace, new Lags());
    }

    /** @param lags when those who date what passed were late: what that may explain is not decided */
    public RequestAuditor(double drainGrace, Lags lags) {
        this(drainGrace, lags, ColdStartCheck.Figures.NONE);
    }

    /** @param coldStart what a process that has just started bears */
    public RequestAuditor(double drainGrace, Lags lags, ColdStartCheck.Figures coldStart) {
        this.drainGrace = drainGrace;
        this.lags = lags;
        coldStarts = new ColdStartCheck(coldStart);
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
    public synchronized void asked(String id, Object frontEnd, double at, double budget, boolean repeatable) {
        Request request = new Request(frontEnd, at, budget, repeatable);
        request.excused = reachesNobody(frontEnd, at);
        requests.put(id, request);
    }

    /** Its process was ended without a word: what it had not answered by then is owed by nobody. */
    public synchronized void killed(Object frontEnd, double at) {
        for (Request request : requests.values()) {
            if (request.frontEnd.equals(frontEnd) && request.askedAt <= at && request.answeredAt > at) {
                request.excused = true;
            }
        }
    }

    /**
     * Its process has exited: what is written from then on, on a connection that was open still, reaches nobody, and is no
     * request. Until {@link #listens}.
     */
    public synchronized void exited(Object frontEnd, double at) {
        exits.put(frontEnd, at);
    }

    /** A process listens at the address of a front end. */
    public synchronized void listens(Object frontEnd) {
        exits.remove(frontEnd);
    }

    private boolean reachesNobody(Object frontEnd, double at) {
        Double exitedAt = exits.get(frontEnd);
        return exitedAt != null && at >= exitedAt;
    }

    /** A front end had no processor: what had to be answered meanwhile, or right after, cannot have been. */
    public synchronized void stoodStill(Object frontEnd, double from, double to) {
        standstills.add(frontEnd, from, to);
    }

    /** Its client has closed the connection. */
    public synchronized void left(String id, double at) {
        requests.get(id).leftAt = at;
    }

    /**
     * Its connection was ended by the front end while it waited.
     *
     * @param clientPort from which the client had connected
     * @param writtenBefore bytes that the client had written there before the request
     */
    public synchronized void connectionEnded(String id, double at, int clientPort, long writtenBefore) {
        Request request = requests.get(id);
        request.endedAt = at;
        request.unanswered = new FrontEndRecord.UnansweredRequest(clientPort, writtenBefore, request.askedAt, at);
    }

    /** What the system calls of a front end show; without it nothing is allowed for. */
    public synchronized void recorded(Object frontEnd, FrontEndRecord shown) {
        records.put(frontEnd, shown);
    }

    /** What would be a breach by its date, and may be none: its date was taken late. After {@link #findings}. */
    public synchronized List<Finding> undecided() {
        return List.copyOf(undecided);
    }

    /** A breach, unless what was seen may have come within its limit. */
    private void add(List<Finding> breaches, DatedFinding seen) {
        (lags.earliest(seen.at) > seen.limit ? breaches : undecided).add(seen.finding);
    }

    /** How often each allowance was made, when the findings were asked for last. */
    public synchronized Map<Allowance, Integer> allowed() {
        return new EnumMap<>(allowed);
    }

    /** Nothing is owed: its front end was killed, or closed a connection on which the request crossed the close. */
    public synchronized void excused(String id) {
        requests.get(id).excused = true;
    }

    /** A whole answer has come. */
    public synchronized void answered(String id, int status, String body, double at) {
        Request request = requests.get(id);
        if (request.answeredAt < Double.POSITIVE_INFINITY) {
            findings.add(new Finding(Breach.SECOND_ANSWER, id));
        }
        request.answeredAt = at;
        request.succeeded = status == 200;
        if (status == 200 && !request.made.contains(body)) {
            findings.add(new Finding(Breach.WRONG_ANSWER, id + ": " + body));
        }
    }

    /** An executor has answered it with this body. */
    public synchronized void made(String id, String body) {
        Request request = requests.get(id);
        if (request != null) {
            request.made.add(body);
        }
    }

    /**
     * A request has arrived whole at an executor.
     *
     * @param patience the time that was passed on with it, milliseconds
     */
    public synchronized void attempt(String executor, String id, double at, double patience) {
        attempt(executor, id, at, patience, new Sender(0));
    }

    /** The same on a connection of {@code sender}. */
    synchronized void attempt(String executor, String id, double at, double patience, Sender sender) {
        Request request = requests.get(id);
        if (request == null) {
            findings.add(new Finding(Breach.UNKNOWN_REQUEST, id + " on " + executor));
            return;
        }
        double beyond = at + patience - (request.askedAt + request.budget);
        if (beyond > DEADLINE_SLACK + SOCKET_SLACK) {
            longDeadlines.add(new DatedFinding(new Finding(Breach.LONG_DEADLINE, id + " on " + executor + ": " + Math.round(beyond)
                    + " ms beyond its client's time; " + request + standstills.of(request.frontEnd)), at,
                    request.askedAt + request.budget - patience + DEADLINE_SLACK + SOCKET_SLACK));
        }
        if (at > request.over() + LEAVING_SLACK + SOCKET_SLACK) {
            lateAttempts.add(new LateAttempt(id + " at " + Math.round(at) + " on " + executor + ": "
                    + Math.round(at - request.over()) + " ms after its end; " + request + standstills.of(request.frontEnd), at,
                    request.over() + LEAVING_SLACK + SOCKET_SLACK, sender));
        }
        sender.frontEnd = request.frontEnd;
        afterDrain(executor, "request " + id, at, sender);
    }

    /** An executor did not turn it away: it runs, or may have run. */
    public synchronized void taken(String executor, String id) {
        Request request = requests.get(id);
        if (request != null && ++request.taken > 1 && !request.repeatable) {
            findings.add(new Finding(Breach.DUPLICATE, id + ": taken " + request.taken + " times, last by " + executor));
        }
    }

    /** What an {@link #attempt} weighs at a process that has just started: read at {@code at}, come at {@code earliest} or later. */
    synchronized void weighs(String executor, double earliest, double at, Sender sender) {
        coldStarts.arrived(executor, Math.min(earliest, lags.earliest(at)), at, sender.frontEnd);
    }

    /** A load order has arrived whole at an executor. */
    public synchronized void ordered(String executor, double at) {
        ordered(executor, at, new Sender(0));
    }

    /** The same from a {@code sender} whose front end may become known later. */
    synchronized void ordered(String executor, double at, Sender sender) {
        afterDrain(executor, "load order", at, sender);
    }

    private void afterDrain(String executor, String what, double at, Sender sender) {
        Drain drain = drains.get(executor);
        if (drain != null && isAfterGrace(at, drain.at)) {
            lateSends.add(new LateSend(executor, what, at, drain, sender));
        }
    }

    private boolean isAfterGrace(double at, double drainedAt) {
        return at > drainedAt + drainGrace + SOCKET_SLACK;
    }

    /** From then on it counts as told that the executor drains or has gone. */
    public synchronized void drains(String executor, double at) {
        drains.put(executor, new Drain(at));
    }

    /** The change log has told of it, and had written so many bytes with that to each watch, by the watch's port. */
    public synchronized void drainTold(String executor, Map<Integer, Long> bytesByWatch) {
        drains.get(executor).bytesByWatch = Map.copyOf(bytesByWatch);
    }

    /** It started anew and is ready again. */
    public synchronized void returns(String executor) {
        drains.remove(executor);
    }

    /** The share of the requests asked at such times that were answered with success; NaN where there were none. */
    public synchronized double served(DoublePredicate askedAt) {
        return requests.values().stream().filter(request -> askedAt.test(request.askedAt))
                .mapToInt(request -> request.succeeded ? 1 : 0).average().orElse(Double.NaN);
    }

    private String heldUp(LateAttempt late) {
        FrontEndRecord shown = records.get(late.sender.frontEnd);
        double millis = shown == null ? 0 : shown.heldUp(late.sender.port, late.at);
        return millis > 0 ? "; stopped for " + Math.round(millis) + " ms between its last look at the clock and the write" : "";
    }

    private boolean isAllowed(LateSend send) {
        FrontEndRecord shown = records.get(send.sender.frontEnd);
        boolean inTime = shown != null && !isAfterGrace(send.at, shown.toldAt(send.drain.at, send.drain.bytesByWatch));
        return inTime && allow(Allowance.BROKEN_WATCH);
    }

    private boolean crossedClose(Request request) {
        FrontEndRecord shown = records.get(request.frontEnd);
        boolean crossed = shown != null && request.unanswered != null && shown.crossedClose(request.unanswered);
        return crossed && allow(Allowance.CROSSED_CLOSE);
    }

    private boolean allow(Allowance allowance) {
        allowed.merge(allowance, 1, Integer::sum);
        return true;
    }

    /** All that was found, once nothing can come any more of what was asked {@code before}. */
    public synchronized List<Finding> findings(double before) {
        List<Finding> all = new ArrayList<>(findings);
        allowed.clear();
        undecided.clear();
        longDeadlines.forEach(seen -> add(all, seen));
        lateAttempts.forEach(late -> add(all, new DatedFinding(new Finding(Breach.LATE_ATTEMPT, late.what + heldUp(late)), late.at,
                late.limit)));
        lateSends.stream().filter(send -> !isAllowed(send)).forEach(send -> add(all, new DatedFinding(
                new Finding(Breach.AFTER_DRAIN, send.what + " to " + send.executor + " by " + send.sender.frontEnd + ": "
                        + Math.round(send.at - send.drain.at) + " ms after" + probes.shown(send.executor, send.sender, send.at)),
                send.at, send.drain.at + drainGrace + SOCKET_SLACK)));
        coldStarts.falls(records).forEach(fall -> (fall.decided() ? all : undecided).add(new Finding(Breach.COLD_FALL, fall.what())));
        requests.forEach((id, request) -> {
            double latest = request.askedAt + request.budget + ANSWER_SLACK + SOCKET_SLACK;
            if (request.askedAt < before && !request.excused && !standstills.at(request.frontEnd, latest)
                    && Math.min(request.leftAt, request.answeredAt) > latest && !crossedClose(request)) {
                Finding finding = new Finding(Breach.NO_ANSWER, id + ": asked at " + Math.round(request.askedAt) + ", "
                        + (request.answeredAt < Double.POSITIVE_INFINITY
                        ? Math.round(request.answeredAt - latest) + " ms too late"
                        : Double.isNaN(request.endedAt) ? "never answered"
                        : "connection ended after " + Math.round(request.endedAt - request.askedAt) + " ms")
                        + " by " + request.frontEnd + standstills.before(request.frontEnd, latest));
                add(all, new DatedFinding(finding, Math.min(request.leftAt, request.answeredAt), latest));
            }
        });
        return all;
    }
}
