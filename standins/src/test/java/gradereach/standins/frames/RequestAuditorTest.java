package gradereach.standins.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradereach.standins.LagIntervals;
import gradereach.standins.faults.ConnectionEvent;
import gradereach.standins.frames.RequestAuditor.Violation;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A breach of each kind is found, and what lies just within its slack is none. */
class RequestAuditorTest {
    private final RequestAuditor auditor = new RequestAuditor(500);

    private List<Violation> violations() {
        return auditor.findings(1e9).stream().map(RequestAuditor.Finding::violation).toList();
    }

    @Test
    void answerInTimeIsNoViolation() {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.attemptReceived("s-1", "a", 10, 0);
        auditor.executorAnswered("a", "body");
        auditor.answerReceived("a", 200, "body", 1549);
        assertEquals(List.of(), violations());
    }

    @ParameterizedTest
    @CsvSource({"1551, NO_ANSWER", "1549, "})
    void answerIsInTimeOrClientCancelled(double answeredAt, Violation breach) {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.answerReceived("a", 503, "", answeredAt);
        auditor.requestSent("left", "n1", 0, 1000, true);
        auditor.requestCancelled("left", 1100);
        auditor.requestSent("killed", "n1", 0, 1000, true);
        auditor.excuse("killed");
        assertEquals(breach == null ? List.of() : List.of(breach), violations());
    }

    @ParameterizedTest
    @CsvSource({"n1, 1540, ", "n1, 1440, NO_ANSWER", "n2, 1540, NO_ANSWER"})
    void stalledFrontEndIsExcused(String frontEnd, double until, Violation breach) {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.frontEndStalled(frontEnd, 200, until);
        auditor.answerReceived("a", 503, "", 1600);
        assertEquals(breach == null ? List.of() : List.of(breach), violations());
    }

    /** Guards against a breach that is none, and against a pass that is none, where those who date what they see were late. */
    @ParameterizedTest
    @CsvSource({"1400, NO_ANSWER, 0", "1560, NO_ANSWER, 0", "1540, , 1"})
    void answerSeenByLaggingThreadIsInconclusive(double lateFrom, Violation breach, int undecided) {
        LagIntervals lags = new LagIntervals();
        lags.add(lateFrom, lateFrom == 1400 ? 1590 : 1610);
        RequestAuditor late = new RequestAuditor(500, lags);
        late.requestSent("a", "n1", 0, 1000, true);
        late.answerReceived("a", 503, "", 1600);
        for (int i = 0; i < 2; i++) {
            assertEquals(breach == null ? List.of() : List.of(breach),
                    late.findings(1e9).stream().map(RequestAuditor.Finding::violation).toList());
            assertEquals(undecided, late.inconclusive().size());
        }
    }

    /** The same of what comes to executors. */
    @ParameterizedTest
    @CsvSource({"1610, 3, 0", "1510, 2, 1", "1160, 1, 2", "1110, 0, 3"})
    void attemptSeenByLaggingThreadIsInconclusive(double lateFrom, int breaches, int undecided) {
        LagIntervals lags = new LagIntervals();
        lags.add(lateFrom, 1710);
        RequestAuditor late = new RequestAuditor(500, lags);
        late.executorDraining("s-1", 1000);
        late.requestSent("a", "n1", 0, 1000, true);
        late.attemptReceived("s-1", "a", 1700, 0);
        assertEquals(breaches, late.findings(1e9).stream().filter(finding -> finding.violation() != Violation.NO_ANSWER).count());
        assertEquals(undecided, late.inconclusive().size());
    }

    @Test
    void missingAnswerIsFound() {
        auditor.requestSent("a", "n1", 0, 1000, true);
        assertEquals(List.of(Violation.NO_ANSWER), violations());
        assertEquals(List.of(), auditor.findings(0));
    }

    @Test
    void secondAnswerIsFound() {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.answerReceived("a", 503, "", 10);
        auditor.answerReceived("a", 503, "", 11);
        assertEquals(List.of(Violation.SECOND_ANSWER), violations());
    }

    @Test
    void bodyFromNoExecutorIsWrongAnswer() {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.requestSent("b", "n1", 0, 1000, true);
        auditor.executorAnswered("b", "of b");
        auditor.answerReceived("a", 200, "of b", 10);
        auditor.answerReceived("b", 200, "of b", 10);
        assertEquals(List.of(Violation.WRONG_ANSWER), violations());
    }

    @ParameterizedTest
    @CsvSource({"left, 249, ", "left, 251, LATE_ATTEMPT", "answered, 249, ", "answered, 251, LATE_ATTEMPT", "time, 1149, ",
        "time, 1151, LATE_ATTEMPT"})
    void attemptAfterRequestEndIsFound(String end, double at, Violation breach) {
        auditor.requestSent("a", "n1", 0, 1000, true);
        switch (end) {
            case "left" -> auditor.requestCancelled("a", 100);
            case "answered" -> auditor.answerReceived("a", 503, "", 100);
            default -> { }
        }
        auditor.attemptReceived("s-1", "a", at, 0);
        if (end.equals("time")) {
            auditor.answerReceived("a", 504, "", 1200);
        }
        assertEquals(breach == null ? List.of() : List.of(breach), violations());
    }

    @ParameterizedTest
    @CsvSource({"true, 649, ", "true, 651, AFTER_DRAIN", "false, 649, ", "false, 651, AFTER_DRAIN"})
    void sendAfterDrainGraceIsFound(boolean request, double at, Violation breach) {
        auditor.executorDraining("s-1", 100);
        auditor.requestSent("a", "n1", 600, 1000, true);
        if (request) {
            auditor.attemptReceived("s-1", "a", at, 0);
        } else {
            auditor.loadOrderReceived("s-1", at);
        }
        auditor.attemptReceived("s-2", "a", at, 0);
        auditor.answerReceived("a", 503, "", 700);
        assertEquals(breach == null ? List.of() : List.of(breach), violations());
    }

    @ParameterizedTest
    @CsvSource({"1099, ", "1101, LONG_DEADLINE"})
    void attemptDeadlineIsBoundedByClientDeadline(double patience, Violation breach) {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.attemptReceived("s-1", "a", 101, patience);
        auditor.answerReceived("a", 503, "", 200);
        assertEquals(breach == null ? List.of() : List.of(breach), violations());
    }

    @ParameterizedTest
    @CsvSource({"true, ", "false, DUPLICATE"})
    void nonRepeatableRequestIsAcceptedOnce(boolean repeatable, Violation breach) {
        auditor.requestSent("a", "n1", 0, 1000, repeatable);
        auditor.attemptAccepted("s-1", "a");
        auditor.attemptAccepted("s-2", "a");
        auditor.answerReceived("a", 503, "", 200);
        assertEquals(breach == null ? List.of() : List.of(breach), violations());
    }

    /** Rule 4. A process that falls by what front ends send that cannot know of its start is their breach in no way. */
    @ParameterizedTest
    @CsvSource({
        // milliseconds of mean work; requests at once, so many of them before the start counted as told
        "30, 36, 0, ", "30, 37, 0, COLD_FALL", "30, 37, 12, COLD_FALL", "30, 37, 13, ", "6, 122, 0, ", "6, 123, 0, COLD_FALL"})
    void overloadOfColdProcessIsFound(double meanWork, int requests, int untold, Violation breach) {
        assertEquals(breach == null ? List.of() : List.of(breach), coldStart(new LagIntervals(), meanWork, requests, untold).findings(1e9)
                .stream().map(RequestAuditor.Finding::violation).toList());
    }

    @ParameterizedTest
    @CsvSource({"900, 1, 0", "960, 0, 1", "2200, 1, 0"})
    void overloadSeenByLaggingThreadIsInconclusive(double lateFor, int breaches, int undecided) {
        LagIntervals lags = new LagIntervals();
        lags.add(2001 - lateFor, lateFor > 2000 ? 2000 : 2001);
        RequestAuditor late = coldStart(lags, 30, 37, 0);
        assertEquals(breaches, late.findings(1e9).size());
        assertEquals(undecided, late.inconclusive().size());
    }

    /** A process starts at 1000 and is told 0.5 ms before the last requests come, at 2001. */
    private static RequestAuditor coldStart(LagIntervals lags, double meanWork, int requests, int untold) {
        RequestAuditor cold = new RequestAuditor(500, lags, new ColdStartCheck.ColdStartParameters(0.2, 1e9, 3, 1000, meanWork));
        RequestAuditor.Sender sender = new RequestAuditor.Sender(0);
        cold.requestSent("a", "n1", 0, 5000, true);
        cold.coldStartCheck.processStarted("s-1", 1000);
        cold.coldStartCheck.startDelivered("s-1", untold > 0 ? 2000.5 : 1000, Map.of());
        for (int i = 0; i < requests; i++) {
            double at = i < untold ? 2000 : 2001;
            cold.attemptReceived("s-1", "a", at, 0, sender);
            cold.countForColdStart("s-1", at, at, sender);
        }
        cold.answerReceived("a", 503, "", 2500);
        return cold;
    }

    private static final int CLIENT_PORT = 40_001;
    private static final int LISTENER_PORT = 20_001;
    private static final int CHANGELOG_PORT = 20_002;
    private static final int WATCH_PORT = 40_002;
    private static final int NEXT_WATCH_PORT = 40_003;

    /** An event at a time of the peers' clock. */
    private static ConnectionEvent event(PeerEventLoops clock, ConnectionEvent.Kind kind, double at, int localPort, int remotePort,
            long received) {
        long zero = System.nanoTime() - Math.round(clock.now() * 1e6);
        return new ConnectionEvent(kind, zero + Math.round(at * 1e6), localPort, remotePort, received, 0, 0);
    }

    /** Guards against excusing a front end that reads a request and closes its connection at once. */
    @ParameterizedTest
    @CsvSource({
        // bytes that were read of the connection, of which 300 before the request; when it was closed
        "300, 90, ", "300, 101, ", "300, 149, ", "300, 152, NO_ANSWER", "301, 101, NO_ANSWER", "700, 90, NO_ANSWER",
        "700, 101, NO_ANSWER"})
    void unreadRequestOnClosingConnectionIsAllowed(long received, double closedAt, Violation breach) {
        try (PeerEventLoops clock = new PeerEventLoops()) {
            auditor.requestSent("a", "n1", 100, 1000, true);
            auditor.connectionEnded("a", 200, CLIENT_PORT, 300);
            auditor.addConnectionLog("n1", new FrontEndConnectionLog(List.of(
                    event(clock, ConnectionEvent.Kind.ACCEPTED, 10, LISTENER_PORT, CLIENT_PORT, 0),
                    event(clock, ConnectionEvent.Kind.CLOSED, closedAt, LISTENER_PORT, CLIENT_PORT, received)), clock, Set.of(), List.of()));
            assertEquals(breach == null ? List.of() : List.of(breach), violations());
        }
    }

    /** Without a record of the system calls an end is not excused, however soon it came. */
    @Test
    void connectionEndWithoutLogIsNotExcused() {
        auditor.requestSent("a", "n1", 100, 1000, true);
        auditor.connectionEnded("a", 101, CLIENT_PORT, 0);
        assertEquals(List.of(Violation.NO_ANSWER), violations());
    }

    /** Guards against blaming a front end for what a fault kept from it, and against excusing one that had read it. */
    @ParameterizedTest
    @CsvSource({
        // when the watch broke and what had been read of it; when it was asked again; who sends, when
        "400, 50, 5000, n1, 2949, ", "400, 50, 5000, n1, 2952, AFTER_DRAIN", "400, 50, 1000, n1, 1549, ",
        "400, 50, 1000, n1, 1552, AFTER_DRAIN", "700, 50, 5000, n1, 3249, ", "700, 60, 5000, n1, 1101, AFTER_DRAIN",
        "400, 50, 5000, n2, 1101, AFTER_DRAIN", "400, 50, 450, n1, 1101, AFTER_DRAIN"})
    void drainDeliveryIsDelayedByBrokenWatch(double brokenAt, long received, double askedAgainAt, String frontEnd,
            double sentAt, Violation breach) {
        try (PeerEventLoops clock = new PeerEventLoops()) {
            auditor.executorDraining("s-1", 500);
            auditor.drainAnnounced("s-1", brokenAt < 500 ? Map.of() : Map.of(WATCH_PORT, 60L));
            auditor.requestSent("a", frontEnd, 600, 5000, true);
            auditor.attemptReceived("s-1", "a", sentAt, 0);
            auditor.answerReceived("a", 503, "", sentAt);
            auditor.addConnectionLog("n1", new FrontEndConnectionLog(List.of(
                    event(clock, ConnectionEvent.Kind.CONNECTED, 10, WATCH_PORT, CHANGELOG_PORT, 0),
                    event(clock, ConnectionEvent.Kind.BROKEN, brokenAt, WATCH_PORT, CHANGELOG_PORT, received),
                    event(clock, ConnectionEvent.Kind.CONNECTED, askedAgainAt - 1, NEXT_WATCH_PORT, CHANGELOG_PORT, 0)), clock,
                    Set.of(CHANGELOG_PORT), List.of(new ChangelogServer.ResyncRequest(WATCH_PORT, 11),
                    new ChangelogServer.ResyncRequest(NEXT_WATCH_PORT, askedAgainAt))));
            assertEquals(breach == null ? List.of() : List.of(breach), violations());
        }
    }

    /** A load order is judged by the front end whose requests come on its connection, be it later. */
    @Test
    void loadOrderBelongsToFrontEndOfItsConnection() {
        try (PeerEventLoops clock = new PeerEventLoops()) {
            RequestAuditor.Sender sender = new RequestAuditor.Sender(0);
            auditor.executorDraining("s-1", 500);
            auditor.loadOrderReceived("s-1", 1101, sender);
            assertEquals(List.of(Violation.AFTER_DRAIN), violations());
            auditor.requestSent("a", "n1", 1200, 1000, true);
            auditor.answerReceived("a", 503, "", 1300);
            auditor.attemptReceived("s-2", "a", 1250, 0, sender);
            auditor.addConnectionLog("n1", new FrontEndConnectionLog(List.of(
                    event(clock, ConnectionEvent.Kind.BROKEN, 400, WATCH_PORT, CHANGELOG_PORT, 50)), clock, Set.of(CHANGELOG_PORT),
                    List.of()));
            assertEquals(List.of(), violations());
        }
    }

    @Test
    void attemptForUnknownRequestIsFound() {
        auditor.attemptReceived("s-1", "a", 10, 0);
        assertEquals(List.of(Violation.UNKNOWN_REQUEST), violations());
    }

    @ParameterizedTest
    @CsvSource({"n1, 200, ", "n1, 99, NO_ANSWER", "n2, 200, NO_ANSWER"})
    void requestsOfKilledFrontEndAreExcused(String frontEnd, double killedAt, Violation breach) {
        auditor.requestSent("a", "n1", 100, 1000, true);
        auditor.frontEndKilled(frontEnd, killedAt);
        assertEquals(breach == null ? List.of() : List.of(breach), violations());
    }

    /** Guards against a breach by what was written to nobody, and against excusing what a process may have read. */
    @ParameterizedTest
    @CsvSource({"n1, 100, false, ", "n1, 101, false, NO_ANSWER", "n2, 100, false, NO_ANSWER", "n1, 100, true, NO_ANSWER"})
    void requestToExitedProcessIsExcused(String frontEnd, double exitedAt, boolean anotherListens, Violation breach) {
        auditor.frontEndExited(frontEnd, exitedAt);
        if (anotherListens) {
            auditor.frontEndListening(frontEnd);
        }
        auditor.requestSent("a", "n1", 100, 1000, true);
        auditor.connectionEnded("a", 106, CLIENT_PORT, 300);
        assertEquals(breach == null ? List.of() : List.of(breach), violations());
    }
}
