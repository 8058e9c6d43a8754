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
 * Checks front ends against the rules of the protocol. It uses only the traffic that was observed on the sockets of their
 * clients, executors and change log, and nothing that a front end reports about itself. All times are milliseconds of one clock.
 * The slack added to each limit is defined by the protocol.
 */
public final class RequestAuditor {
    /** Ways in which a front end can break the protocol. */
    public enum Violation {
        /** A request had no answer long after the deadline of its client. */
        NO_ANSWER,
        SECOND_ANSWER,
        /** An answer whose body no executor sent for the request. */
        WRONG_ANSWER,
        /** An attempt that arrived after its request had ended: answered, cancelled, or beyond its deadline. */
        LATE_ATTEMPT,
        /** A request or load order that was sent to an executor after its drain grace. */
        AFTER_DRAIN,
        /** A request that must not run more than once was accepted by executors more than once. */
        DUPLICATE,
        /** An attempt whose timeout ends after the deadline of its client. */
        LONG_DEADLINE,
        /** An attempt with an id that no client sent. */
        UNKNOWN_REQUEST,
        /** A process that had just started was overloaded by front ends that had been notified of its start. */
        COLD_FALL
    }

    /** Apparent violations that the recorded system calls of the front end show to be permitted. */
    public enum Allowance {
        /** The front end closed the connection while the request was on its way, and read nothing of the request. */
        CROSSED_CLOSE,
        /**
         * Sent to a draining executor before the drain counts as delivered to the front end, because an injected fault had
         * broken its watch.
         */
        BROKEN_WATCH
    }

    /** A finding observed after its time limit. */
    private record DatedFinding(Finding finding, double observedAt, double limit) { }

    /** One violation, with a description of what was observed. */
    public record Finding(Violation violation, String description) { }

    /** A missing answer is a violation only this long after the client's deadline; a late answer before that is permitted. */
    private static final double ANSWER_SLACK_MILLIS = 500;
    /** Time after the end or the cancellation of a request in which an attempt may still begin. */
    private static final double CANCEL_SLACK_MILLIS = 100;
    /** How far the deadline passed on with an attempt may exceed the deadline of its client. */
    private static final double DEADLINE_SLACK_MILLIS = 150;
    /** Added to every limit for the delay of the sockets. */
    private static final double SOCKET_SLACK_MILLIS = 50;

    /** The sender on a connection to an executor: the front end whose requests arrived on it, null before the first request. */
    static final class Sender {
        private final int port;
        private Object frontEnd;

        /** @param port local port of the front end on this connection */
        Sender(int port) {
            this.port = port;
        }

        /** Whether both are known to belong to the same front end. */
        boolean isSameFrontEnd(Sender other) {
            return this == other || frontEnd != null && frontEnd.equals(other.frontEnd);
        }
    }

    /** An attempt that began after its request had ended; its finding also reports a stall before the write. */
    private record LateAttempt(String description, double receivedAt, double limit, Sender sender) { }

    /** A request or load order that reached an executor after the drain grace, judged by its arrival time only. */
    private record LateSend(String executor, String description, double receivedAt, Drain drain, Sender sender) { }

    /** The time from which an executor counts as draining, and the bytes written to each watch up to that announcement. */
    private static final class Drain {
        private final double announcedAt;
        private Map<Integer, Long> bytesByWatch = Map.of();

        private Drain(double announcedAt) {
            this.announcedAt = announcedAt;
        }
    }

    /** A request of a client, with what was observed of it. */
    private static final class Request {
        private final Object frontEnd;
        private final double sentAt;
        /** Time after {@code sentAt} at which the client's deadline is. */
        private final double budgetMillis;
        /** Whether the request may run more than once. */
        private final boolean repeatable;
        private int acceptedAttempts;
        private double cancelledAt = Double.POSITIVE_INFINITY;
        private double answeredAt = Double.POSITIVE_INFINITY;
        private double connectionEndedAt = Double.NaN;
        private FrontEndConnectionLog.UnansweredRequest unansweredRequest;
        /** Whether the request needs no answer. */
        private boolean excused;
        private boolean succeeded;
        private final List<String> executorAnswers = new ArrayList<>(1);

        private Request(Object frontEnd, double sentAt, double budgetMillis, boolean repeatable) {
            this.repeatable = repeatable;
            this.frontEnd = frontEnd;
            this.sentAt = sentAt;
            this.budgetMillis = budgetMillis;
        }

        @Override
        public String toString() {
            return "of " + frontEnd + ", sent " + Math.round(sentAt) + ", budget " + Math.round(budgetMillis)
                    + ", cancelled " + formatTime(cancelledAt)
                    + ", answered " + formatTime(answeredAt);
        }

        private static String formatTime(double millis) {
            return millis < Double.POSITIVE_INFINITY ? Long.toString(Math.round(millis)) : "never";
        }

        private double endedAt() {
            return Math.min(sentAt + budgetMillis, Math.min(cancelledAt, answeredAt));
        }
    }

    private final double drainGraceMillis;
    private final Map<String, Request> requestsById = new LinkedHashMap<>();
    private final StallIntervals stallIntervals = new StallIntervals();
    private final Map<String, Drain> drainingExecutors = new HashMap<>();
    private final List<LateSend> lateSends = new ArrayList<>();
    private final List<LateAttempt> lateAttempts = new ArrayList<>();
    private final Map<Object, FrontEndConnectionLog> connectionLogs = new HashMap<>();
    /** Exit time of each front end process at whose address no process has listened since. */
    private final Map<Object, Double> exitTimes = new HashMap<>();
    private final Map<Allowance, Integer> allowanceCounts = new EnumMap<>(Allowance.class);
    private final List<Finding> findings = new ArrayList<>();
    private final List<DatedFinding> longDeadlines = new ArrayList<>();
    private final List<Finding> inconclusiveFindings = new ArrayList<>();
    private final LagIntervals lagIntervals;
    /** Checks the rule against overloading cold executors (rule 4). Starts of executor processes must be reported to it. */
    public final ColdStartCheck coldStartCheck;
    /** Recent probes, quoted in the findings that they explain. */
    final ProbeHistory probeHistory = new ProbeHistory();

    /** @param drainGraceMillis how long requests may still be sent to a draining executor */
    public RequestAuditor(double drainGraceMillis) {
        this(drainGraceMillis, new LagIntervals());
    }

    /** @param lagIntervals when the observing threads did not run; findings that these intervals may explain are inconclusive */
    public RequestAuditor(double drainGraceMillis, LagIntervals lagIntervals) {
        this(drainGraceMillis, lagIntervals, ColdStartCheck.ColdStartParameters.NONE);
    }

    /** @param coldStart parameters of the load that a process may get after its start */
    public RequestAuditor(double drainGraceMillis, LagIntervals lagIntervals, ColdStartCheck.ColdStartParameters coldStart) {
        this.drainGraceMillis = drainGraceMillis;
        this.lagIntervals = lagIntervals;
        coldStartCheck = new ColdStartCheck(coldStart);
    }

    /** Number of requests sent so far. */
    public synchronized int requestCount() {
        return requestsById.size();
    }

    /**
     * Records that the last byte of a request was written to an accepted connection.
     *
     * @param repeatable whether the request may run more than once
     */
    public synchronized void requestSent(String id, Object frontEnd, double sentAt, double budgetMillis, boolean repeatable) {
        Request request = new Request(frontEnd, sentAt, budgetMillis, repeatable);
        request.excused = hasExited(frontEnd, sentAt);
        requestsById.put(id, request);
    }

    /** Records that a front end process was killed: the requests that it had not answered by then need no answer. */
    public synchronized void frontEndKilled(Object frontEnd, double killedAt) {
        for (Request request : requestsById.values()) {
            if (request.frontEnd.equals(frontEnd) && request.sentAt <= killedAt && request.answeredAt > killedAt) {
                request.excused = true;
            }
        }
    }

    /**
     * Records that a front end process has exited. A request written later on a connection that is still open reaches no
     * process and needs no answer. Ends with {@link #frontEndListening}.
     */
    public synchronized void frontEndExited(Object frontEnd, double exitedAt) {
        exitTimes.put(frontEnd, exitedAt);
    }

    /** Records that a process listens at the address of the front end again. */
    public synchronized void frontEndListening(Object frontEnd) {
        exitTimes.remove(frontEnd);
    }

    private boolean hasExited(Object frontEnd, double time) {
        Double exitedAt = exitTimes.get(frontEnd);
        return exitedAt != null && time >= exitedAt;
    }

    /** Records that a front end got no processor time: answers due in this interval or right after it are excused. */
    public synchronized void frontEndStalled(Object frontEnd, double startedAt, double endedAt) {
        stallIntervals.add(frontEnd, startedAt, endedAt);
    }

    /** Records that the client closed the connection before the answer. */
    public synchronized void requestCancelled(String id, double cancelledAt) {
        requestsById.get(id).cancelledAt = cancelledAt;
    }

    /**
     * Records that the front end closed the connection of a waiting request.
     *
     * @param clientPort local port of the client on this connection
     * @param bytesWrittenBefore bytes that the client had written on this connection before the request
     */
    public synchronized void connectionEnded(String id, double endedAt, int clientPort, long bytesWrittenBefore) {
        Request request = requestsById.get(id);
        request.connectionEndedAt = endedAt;
        request.unansweredRequest = new FrontEndConnectionLog.UnansweredRequest(clientPort, bytesWrittenBefore, request.sentAt,
                endedAt);
    }

    /** Adds the connection events recorded for a front end; without them no allowance is made. */
    public synchronized void addConnectionLog(Object frontEnd, FrontEndConnectionLog connectionLog) {
        connectionLogs.put(frontEnd, connectionLog);
    }

    /**
     * Apparent violations that were observed by a lagging thread, so that the event may have happened in time. Filled by
     * {@link #findings(double)}.
     */
    public synchronized List<Finding> inconclusiveFindings() {
        return List.copyOf(inconclusiveFindings);
    }

    /** Adds a violation, or an inconclusive finding where the event may have happened within its limit. */
    private void addFinding(List<Finding> violations, DatedFinding dated) {
        (lagIntervals.earliestArrival(dated.observedAt) > dated.limit ? violations : inconclusiveFindings).add(dated.finding);
    }

    /** How often each allowance was made in the last call of {@link #findings(double)}. */
    public synchronized Map<Allowance, Integer> allowanceCounts() {
        return new EnumMap<>(allowanceCounts);
    }

    /**
     * Marks a request as needing no answer: its front end was killed, or closed the connection while the request was on its way.
     */
    public synchronized void excuse(String id) {
        requestsById.get(id).excused = true;
    }

    /** Records that the client received a complete answer. */
    public synchronized void answerReceived(String id, int status, String body, double receivedAt) {
        Request request = requestsById.get(id);
        if (request.answeredAt < Double.POSITIVE_INFINITY) {
            findings.add(new Finding(Violation.SECOND_ANSWER, id));
        }
        request.answeredAt = receivedAt;
        request.succeeded = status == 200;
        if (status == 200 && !request.executorAnswers.contains(body)) {
            findings.add(new Finding(Violation.WRONG_ANSWER, id + ": " + body));
        }
    }

    /** Records the body with which an executor answered the request. */
    public synchronized void executorAnswered(String id, String body) {
        Request request = requestsById.get(id);
        if (request != null) {
            request.executorAnswers.add(body);
        }
    }

    /**
     * Records that a request arrived completely at an executor.
     *
     * @param timeoutMillis the timeout that was passed on with the request
     */
    public synchronized void attemptReceived(String executor, String id, double receivedAt, double timeoutMillis) {
        attemptReceived(executor, id, receivedAt, timeoutMillis, new Sender(0));
    }

    /** Records that a request arrived completely on a connection of {@code sender}. */
    synchronized void attemptReceived(String executor, String id, double receivedAt, double timeoutMillis, Sender sender) {
        Request request = requestsById.get(id);
        if (request == null) {
            findings.add(new Finding(Violation.UNKNOWN_REQUEST, id + " on " + executor));
            return;
        }
        double excessMillis = receivedAt + timeoutMillis - (request.sentAt + request.budgetMillis);
        if (excessMillis > DEADLINE_SLACK_MILLIS + SOCKET_SLACK_MILLIS) {
            longDeadlines.add(new DatedFinding(new Finding(Violation.LONG_DEADLINE, id + " on " + executor + ": " + Math.round(excessMillis)
                    + " ms beyond its client's deadline; " + request + stallIntervals.describeAll(request.frontEnd)), receivedAt,
                    request.sentAt + request.budgetMillis - timeoutMillis + DEADLINE_SLACK_MILLIS + SOCKET_SLACK_MILLIS));
        }
        if (receivedAt > request.endedAt() + CANCEL_SLACK_MILLIS + SOCKET_SLACK_MILLIS) {
            lateAttempts.add(new LateAttempt(id + " at " + Math.round(receivedAt) + " on " + executor + ": "
                    + Math.round(receivedAt - request.endedAt()) + " ms after the end of its request; " + request
                    + stallIntervals.describeAll(request.frontEnd), receivedAt,
                    request.endedAt() + CANCEL_SLACK_MILLIS + SOCKET_SLACK_MILLIS, sender));
        }
        sender.frontEnd = request.frontEnd;
        checkDrainGrace(executor, "request " + id, receivedAt, sender);
    }

    /** Records that an executor did not reject the request: it runs, or may have run. */
    public synchronized void attemptAccepted(String executor, String id) {
        Request request = requestsById.get(id);
        if (request != null && ++request.acceptedAttempts > 1 && !request.repeatable) {
            findings.add(new Finding(Violation.DUPLICATE,
                    id + ": accepted " + request.acceptedAttempts + " times, last by " + executor));
        }
    }

    /**
     * Counts a request towards the load of a process that may have just started.
     *
     * @param earliestAt the earliest time at which the request can have arrived
     * @param readAt when the request was read
     */
    synchronized void countForColdStart(String executor, double earliestAt, double readAt, Sender sender) {
        coldStartCheck.requestArrived(executor, Math.min(earliestAt, lagIntervals.earliestArrival(readAt)), readAt,
                sender.frontEnd);
    }

    /** Records that a load order arrived completely at an executor. */
    public synchronized void loadOrderReceived(String executor, double receivedAt) {
        loadOrderReceived(executor, receivedAt, new Sender(0));
    }

    /** Records a load order from a sender whose front end may become known later. */
    synchronized void loadOrderReceived(String executor, double receivedAt, Sender sender) {
        checkDrainGrace(executor, "load order", receivedAt, sender);
    }

    private void checkDrainGrace(String executor, String description, double receivedAt, Sender sender) {
        Drain drain = drainingExecutors.get(executor);
        if (drain != null && isAfterGrace(receivedAt, drain.announcedAt)) {
            lateSends.add(new LateSend(executor, description, receivedAt, drain, sender));
        }
    }

    private boolean isAfterGrace(double receivedAt, double drainAnnouncedAt) {
        return receivedAt > drainAnnouncedAt + drainGraceMillis + SOCKET_SLACK_MILLIS;
    }

    /** Records the time from which front ends count as notified that the executor drains or was removed. */
    public synchronized void executorDraining(String executor, double announcedAt) {
        drainingExecutors.put(executor, new Drain(announcedAt));
    }

    /**
     * Records that the change log announced the drain.
     *
     * @param bytesByWatch bytes written to each watch up to and including the announcement, by the port of the watch
     */
    public synchronized void drainAnnounced(String executor, Map<Integer, Long> bytesByWatch) {
        drainingExecutors.get(executor).bytesByWatch = Map.copyOf(bytesByWatch);
    }

    /** Records that the executor was restarted and is ready again. */
    public synchronized void executorReturned(String executor) {
        drainingExecutors.remove(executor);
    }

    /** Fraction of the requests sent at matching times that were answered with success; NaN if there were none. */
    public synchronized double successRate(DoublePredicate sentTimeFilter) {
        return requestsById.values().stream().filter(request -> sentTimeFilter.test(request.sentAt))
                .mapToInt(request -> request.succeeded ? 1 : 0).average().orElse(Double.NaN);
    }

    private String describeWriteStall(LateAttempt late) {
        FrontEndConnectionLog connectionLog = connectionLogs.get(late.sender.frontEnd);
        double stallMillis = connectionLog == null ? 0 : connectionLog.writeStallMillis(late.sender.port, late.receivedAt);
        return stallMillis > 0
                ? "; stopped for " + Math.round(stallMillis) + " ms between its last reading of the clock and the write" : "";
    }

    /** Whether an injected fault explains the send; if so, counts the allowance. */
    private boolean isAllowed(LateSend send) {
        FrontEndConnectionLog connectionLog = connectionLogs.get(send.sender.frontEnd);
        boolean inTime = connectionLog != null && !isAfterGrace(send.receivedAt,
                connectionLog.deliveredAt(send.drain.announcedAt, send.drain.bytesByWatch));
        return inTime && countAllowance(Allowance.BROKEN_WATCH);
    }

    /** Whether the request and the close of its connection crossed on the way; if so, counts the allowance. */
    private boolean isCrossedClose(Request request) {
        FrontEndConnectionLog connectionLog = connectionLogs.get(request.frontEnd);
        boolean crossed = connectionLog != null && request.unansweredRequest != null
                && connectionLog.isCrossedClose(request.unansweredRequest);
        return crossed && countAllowance(Allowance.CROSSED_CLOSE);
    }

    /** Counts an allowance; always true, to end the condition of an allowance. */
    private boolean countAllowance(Allowance allowance) {
        allowanceCounts.merge(allowance, 1, Integer::sum);
        return true;
    }

    /**
     * All violations. To be called once no further event of a request sent before {@code sentBefore} can occur.
     *
     * @param sentBefore only requests sent before this time are checked for a missing answer
     */
    public synchronized List<Finding> findings(double sentBefore) {
        List<Finding> violations = new ArrayList<>(findings);
        allowanceCounts.clear();
        inconclusiveFindings.clear();
        longDeadlines.forEach(dated -> addFinding(violations, dated));
        lateAttempts.forEach(late -> addFinding(violations, new DatedFinding(
                new Finding(Violation.LATE_ATTEMPT, late.description + describeWriteStall(late)), late.receivedAt, late.limit)));
        lateSends.stream().filter(send -> !isAllowed(send)).forEach(send -> addFinding(violations, new DatedFinding(
                new Finding(Violation.AFTER_DRAIN, send.description + " to " + send.executor + " by " + send.sender.frontEnd + ": "
                        + Math.round(send.receivedAt - send.drain.announcedAt) + " ms after the drain was announced"
                        + probeHistory.describe(send.executor, send.sender, send.receivedAt)),
                send.receivedAt, send.drain.announcedAt + drainGraceMillis + SOCKET_SLACK_MILLIS)));
        coldStartCheck.findOverloads(connectionLogs).forEach(overload ->
                (overload.conclusive() ? violations : inconclusiveFindings).add(
                        new Finding(Violation.COLD_FALL, overload.description())));
        requestsById.forEach((id, request) -> {
            double answerLimit = request.sentAt + request.budgetMillis + ANSWER_SLACK_MILLIS + SOCKET_SLACK_MILLIS;
            if (request.sentAt < sentBefore && !request.excused
                    && !stallIntervals.isStalledOrRecovering(request.frontEnd, answerLimit)
                    && Math.min(request.cancelledAt, request.answeredAt) > answerLimit && !isCrossedClose(request)) {
                Finding finding = new Finding(Violation.NO_ANSWER, id + ": sent at " + Math.round(request.sentAt) + ", "
                        + (request.answeredAt < Double.POSITIVE_INFINITY
                        ? Math.round(request.answeredAt - answerLimit) + " ms too late"
                        : Double.isNaN(request.connectionEndedAt) ? "never answered"
                        : "connection ended after " + Math.round(request.connectionEndedAt - request.sentAt) + " ms")
                        + " by " + request.frontEnd + stallIntervals.describeLastBefore(request.frontEnd, answerLimit));
                addFinding(violations, new DatedFinding(finding, Math.min(request.cancelledAt, request.answeredAt), answerLimit));
            }
        });
        return violations;
    }
}
