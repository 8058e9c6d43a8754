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

/**
 * Checks that every kind of violation is found, and that behaviour just within the slack is not reported. Times are
 * milliseconds. The slack is 500 ms for an answer, 100 ms for an attempt after the end of its request, and 150 ms for the
 * deadline of an attempt, each with 50 ms for the sockets; the drain grace is 500 ms.
 */
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
    void answerIsInTimeOrClientCancelled(double answeredAt, Violation expected) {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.answerReceived("a", 503, "", answeredAt);
        auditor.requestSent("left", "n1", 0, 1000, true);
        auditor.requestCancelled("left", 1100);
        auditor.requestSent("killed", "n1", 0, 1000, true);
        auditor.excuse("killed");
        assertEquals(expected == null ? List.of() : List.of(expected), violations());
    }

    @ParameterizedTest
    @CsvSource({"n1, 1540, ", "n1, 1440, NO_ANSWER", "n2, 1540, NO_ANSWER"})
    void stalledFrontEndIsExcused(String frontEnd, double until, Violation expected) {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.frontEndStalled(frontEnd, 200, until);
        auditor.answerReceived("a", 503, "", 1600);
        assertEquals(expected == null ? List.of() : List.of(expected), violations());
    }

    /**
     * An answer whose time was read by a lagging thread may have been in time. Guards against reporting it as a violation, and
     * against dropping it altogether.
     */
    @ParameterizedTest
    @CsvSource({"1400, NO_ANSWER, 0", "1560, NO_ANSWER, 0", "1540, , 1"})
    void answerSeenByLaggingThreadIsInconclusive(double lagFrom, Violation expected, int expectedInconclusive) {
        LagIntervals lagIntervals = new LagIntervals();
        lagIntervals.add(lagFrom, lagFrom == 1400 ? 1590 : 1610);
        RequestAuditor lagging = new RequestAuditor(500, lagIntervals);
        lagging.requestSent("a", "n1", 0, 1000, true);
        lagging.answerReceived("a", 503, "", 1600);
        for (int i = 0; i < 2; i++) {
            assertEquals(expected == null ? List.of() : List.of(expected),
                    lagging.findings(1e9).stream().map(RequestAuditor.Finding::violation).toList());
            assertEquals(expectedInconclusive, lagging.inconclusiveFindings().size());
        }
    }

    /** Attempts, deadlines and sends after a drain that were read by a lagging thread are inconclusive as well. */
    @ParameterizedTest
    @CsvSource({"1610, 3, 0", "1510, 2, 1", "1160, 1, 2", "1110, 0, 3"})
    void attemptSeenByLaggingThreadIsInconclusive(double lagFrom, int expectedFindings, int expectedInconclusive) {
        LagIntervals lagIntervals = new LagIntervals();
        lagIntervals.add(lagFrom, 1710);
        RequestAuditor lagging = new RequestAuditor(500, lagIntervals);
        lagging.executorDraining("s-1", 1000);
        lagging.requestSent("a", "n1", 0, 1000, true);
        lagging.attemptReceived("s-1", "a", 1700, 0);
        assertEquals(expectedFindings,
                lagging.findings(1e9).stream().filter(finding -> finding.violation() != Violation.NO_ANSWER).count());
        assertEquals(expectedInconclusive, lagging.inconclusiveFindings().size());
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
    void attemptAfterRequestEndIsFound(String end, double at, Violation expected) {
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
        assertEquals(expected == null ? List.of() : List.of(expected), violations());
    }

    @ParameterizedTest
    @CsvSource({"true, 649, ", "true, 651, AFTER_DRAIN", "false, 649, ", "false, 651, AFTER_DRAIN"})
    void sendAfterDrainGraceIsFound(boolean request, double at, Violation expected) {
        auditor.executorDraining("s-1", 100);
        auditor.requestSent("a", "n1", 600, 1000, true);
        if (request) {
            auditor.attemptReceived("s-1", "a", at, 0);
        } else {
            auditor.loadOrderReceived("s-1", at);
        }
        auditor.attemptReceived("s-2", "a", at, 0);
        auditor.answerReceived("a", 503, "", 700);
        assertEquals(expected == null ? List.of() : List.of(expected), violations());
    }

    @ParameterizedTest
    @CsvSource({"1099, ", "1101, LONG_DEADLINE"})
    void attemptDeadlineIsBoundedByClientDeadline(double timeoutMillis, Violation expected) {
        auditor.requestSent("a", "n1", 0, 1000, true);
        auditor.attemptReceived("s-1", "a", 101, timeoutMillis);
        auditor.answerReceived("a", 503, "", 200);
        assertEquals(expected == null ? List.of() : List.of(expected), violations());
    }

    @ParameterizedTest
    @CsvSource({"true, ", "false, DUPLICATE"})
    void nonRepeatableRequestIsAcceptedOnce(boolean repeatable, Violation expected) {
        auditor.requestSent("a", "n1", 0, 1000, repeatable);
        auditor.attemptAccepted("s-1", "a");
        auditor.attemptAccepted("s-2", "a");
        auditor.answerReceived("a", 503, "", 200);
        assertEquals(expected == null ? List.of() : List.of(expected), violations());
    }

    /** Rule 4. An overload caused by front ends to which the start was not yet delivered is no violation. */
    @ParameterizedTest
    @CsvSource({
        // mean work in milliseconds; number of simultaneous requests; how many of them came before the start was delivered
        "30, 36, 0, ", "30, 37, 0, COLD_FALL", "30, 37, 12, COLD_FALL", "30, 37, 13, ", "6, 122, 0, ", "6, 123, 0, COLD_FALL"})
    void overloadOfColdProcessIsFound(double meanWork, int requests, int beforeDelivery, Violation expected) {
        assertEquals(expected == null ? List.of() : List.of(expected),
                coldStart(new LagIntervals(), meanWork, requests, beforeDelivery).findings(1e9).stream()
                        .map(RequestAuditor.Finding::violation).toList());
    }

    @ParameterizedTest
    @CsvSource({"900, 1, 0", "960, 0, 1", "2200, 1, 0"})
    void overloadSeenByLaggingThreadIsInconclusive(double lagMillis, int expectedFindings, int expectedInconclusive) {
        LagIntervals lagIntervals = new LagIntervals();
        lagIntervals.add(2001 - lagMillis, lagMillis > 2000 ? 2000 : 2001);
        RequestAuditor lagging = coldStart(lagIntervals, 30, 37, 0);
        assertEquals(expectedFindings, lagging.findings(1e9).size());
        assertEquals(expectedInconclusive, lagging.inconclusiveFindings().size());
    }

    /** A process starts at 1000, and its start is delivered 0.5 ms before the last requests arrive, at 2001. */
    private static RequestAuditor coldStart(LagIntervals lagIntervals, double meanWork, int requests, int beforeDelivery) {
        RequestAuditor cold = new RequestAuditor(500, lagIntervals, new ColdStartCheck.ColdStartParameters(0.2, 1e9, 3, 1000, meanWork));
        RequestAuditor.Sender sender = new RequestAuditor.Sender(0);
        cold.requestSent("a", "n1", 0, 5000, true);
        cold.coldStartCheck.processStarted("s-1", 1000);
        cold.coldStartCheck.startDelivered("s-1", beforeDelivery > 0 ? 2000.5 : 1000, Map.of());
        for (int i = 0; i < requests; i++) {
            double at = i < beforeDelivery ? 2000 : 2001;
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

    /** A connection event at a time of the peers' clock. */
    private static ConnectionEvent event(PeerEventLoops clock, ConnectionEvent.Kind kind, double at, int localPort, int remotePort,
            long received) {
        long clockStart = System.nanoTime() - Math.round(clock.now() * 1e6);
        return new ConnectionEvent(kind, clockStart + Math.round(at * 1e6), localPort, remotePort, received, 0, 0);
    }

    /** Guards against excusing a front end that reads a request and closes the connection at once without an answer. */
    @ParameterizedTest
    @CsvSource({
        // bytes read from the connection (300 were written before the request); when the connection was closed
        "300, 90, ", "300, 101, ", "300, 149, ", "300, 152, NO_ANSWER", "301, 101, NO_ANSWER", "700, 90, NO_ANSWER",
        "700, 101, NO_ANSWER"})
    void unreadRequestOnClosingConnectionIsAllowed(long received, double closedAt, Violation expected) {
        try (PeerEventLoops clock = new PeerEventLoops()) {
            auditor.requestSent("a", "n1", 100, 1000, true);
            auditor.connectionEnded("a", 200, CLIENT_PORT, 300);
            auditor.addConnectionLog("n1", new FrontEndConnectionLog(List.of(
                    event(clock, ConnectionEvent.Kind.ACCEPTED, 10, LISTENER_PORT, CLIENT_PORT, 0),
                    event(clock, ConnectionEvent.Kind.CLOSED, closedAt, LISTENER_PORT, CLIENT_PORT, received)), clock,
                    Set.of(), List.of()));
            assertEquals(expected == null ? List.of() : List.of(expected), violations());
        }
    }

    /** Without recorded system calls the end of a connection is not excused, however early it came. */
    @Test
    void connectionEndWithoutLogIsNotExcused() {
        auditor.requestSent("a", "n1", 100, 1000, true);
        auditor.connectionEnded("a", 101, CLIENT_PORT, 0);
        assertEquals(List.of(Violation.NO_ANSWER), violations());
    }

    /**
     * Guards against blaming a front end for a drain that an injected fault kept it from reading, and against excusing one that
     * had read it.
     */
    @ParameterizedTest
    @CsvSource({
        // when the watch broke; bytes read from it; time of the resync request; which front end sends, and when
        "400, 50, 5000, n1, 2949, ", "400, 50, 5000, n1, 2952, AFTER_DRAIN", "400, 50, 1000, n1, 1549, ",
        "400, 50, 1000, n1, 1552, AFTER_DRAIN", "700, 50, 5000, n1, 3249, ", "700, 60, 5000, n1, 1101, AFTER_DRAIN",
        "400, 50, 5000, n2, 1101, AFTER_DRAIN", "400, 50, 450, n1, 1101, AFTER_DRAIN"})
    void drainDeliveryIsDelayedByBrokenWatch(double brokenAt, long received, double resyncAt, String frontEnd,
            double sentAt, Violation expected) {
        try (PeerEventLoops clock = new PeerEventLoops()) {
            auditor.executorDraining("s-1", 500);
            auditor.drainAnnounced("s-1", brokenAt < 500 ? Map.of() : Map.of(WATCH_PORT, 60L));
            auditor.requestSent("a", frontEnd, 600, 5000, true);
            auditor.attemptReceived("s-1", "a", sentAt, 0);
            auditor.answerReceived("a", 503, "", sentAt);
            auditor.addConnectionLog("n1", new FrontEndConnectionLog(List.of(
                    event(clock, ConnectionEvent.Kind.CONNECTED, 10, WATCH_PORT, CHANGELOG_PORT, 0),
                    event(clock, ConnectionEvent.Kind.BROKEN, brokenAt, WATCH_PORT, CHANGELOG_PORT, received),
                    event(clock, ConnectionEvent.Kind.CONNECTED, resyncAt - 1, NEXT_WATCH_PORT, CHANGELOG_PORT, 0)), clock,
                    Set.of(CHANGELOG_PORT), List.of(new ChangelogServer.ResyncRequest(WATCH_PORT, 11),
                    new ChangelogServer.ResyncRequest(NEXT_WATCH_PORT, resyncAt))));
            assertEquals(expected == null ? List.of() : List.of(expected), violations());
        }
    }

    /** A load order belongs to the front end whose requests arrive on its connection, even if they arrive later. */
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
    void requestsOfKilledFrontEndAreExcused(String frontEnd, double killedAt, Violation expected) {
        auditor.requestSent("a", "n1", 100, 1000, true);
        auditor.frontEndKilled(frontEnd, killedAt);
        assertEquals(expected == null ? List.of() : List.of(expected), violations());
    }

    /**
     * Guards against a finding for a request written after the process had exited, and against excusing one that a process may
     * have read.
     */
    @ParameterizedTest
    @CsvSource({"n1, 100, false, ", "n1, 101, false, NO_ANSWER", "n2, 100, false, NO_ANSWER", "n1, 100, true, NO_ANSWER"})
    void requestToExitedProcessIsExcused(String frontEnd, double exitedAt, boolean anotherListens, Violation expected) {
        auditor.frontEndExited(frontEnd, exitedAt);
        if (anotherListens) {
            auditor.frontEndListening(frontEnd);
        }
        auditor.requestSent("a", "n1", 100, 1000, true);
        auditor.connectionEnded("a", 106, CLIENT_PORT, 300);
        assertEquals(expected == null ? List.of() : List.of(expected), violations());
    }
}
