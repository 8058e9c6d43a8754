package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorReport;
import gradereach.api.ExecutorState;
import gradereach.api.LoadStatus;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.desk.CoordinatorHarness.Client;
import gradereach.state.Executor;
import gradereach.state.ModelCopies;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** An executor's answer is evidence about the process that was asked, as of the time when the request was sent. */
class StaleEvidenceTest {
    /** Milliseconds after sending a probe for which its ready answer allows sends: the drain grace minus its margin. */
    private static final double LEASE = 475;
    private static final ExecutorReport REPORT = new ExecutorReport(7, 1, 0.5, 10, 1, 0, 0.5, 0);

    /** How the roster shows that an instance is a new process; it may not give a start time. */
    enum ProcessChange {
        NEW_START, NEW_ADDRESS, GONE_AND_BACK, MOVED_AND_BACK;

        void deliverTo(CoordinatorHarness harness) {
            if (this == GONE_AND_BACK) {
                harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", 0, ExecutorState.REMOVED));
            } else if (this == MOVED_AND_BACK) {
                harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.9:80", 0, ExecutorState.READY));
            }
            harness.updateRoster(RosterUpdateKind.CHANGES,
                    rosterEntry(address(), this == NEW_START ? harness.now : 0, ExecutorState.READY));
        }

        String address() {
            return this == NEW_ADDRESS ? "10.0.0.9:80" : "10.0.0.1:80";
        }
    }

    /** The router's view of an executor and of one model's copies there. */
    private record ExecutorView(int copies, double backoffUntil, double suspicion, double concurrencyLimit, double slowdownSum,
            double answerCount, ExecutorReport report, double readyProbeSentAt, double notReadyProbeSentAt, double disconnectedAt) { }

    private static RosterEntry rosterEntry(String address, double startedAt, ExecutorState state) {
        return new RosterEntry("s-1", address, 1, startedAt, state, 0, 0, 0);
    }

    private static CoordinatorHarness withExecutor(CoordinatorHarness harness) {
        harness.updateRoster(RosterUpdateKind.FULL, rosterEntry("10.0.0.1:80", 0, ExecutorState.READY));
        return harness;
    }

    private static ExecutorView viewOf(CoordinatorHarness harness, Client client) {
        Executor executor = harness.endpointOf("s-1").executor;
        ModelCopies copiesOfModel = client.inferenceState.inference.model.copiesOn(executor);
        return new ExecutorView(copiesOfModel.loadedCopies, copiesOfModel.backoffUntil, executor.suspicion.value(harness.now, 1000),
                executor.concurrencyLimit, executor.slowdownSum.value(harness.now, 1000),
                executor.answerCount.value(harness.now, 1000), executor.report, executor.readyProbeSentAt,
                executor.notReadyProbeSentAt, executor.disconnectedAt);
    }

    private static void answerStatusQueries(CoordinatorHarness harness) {
        for (LoadOrder query : harness.orders.stream().filter(order -> order.copies == 0).toList()) {
            harness.orders.remove(query);
            harness.runBatch(harness.now, () -> harness.coordinator.onLoadOrderEnded(query, Outcome.RETURNED, 0));
        }
    }

    /** Advances until {@code probeCount} probes have been sent; status queries are answered with no copies. */
    private static void advanceToProbe(CoordinatorHarness harness, int probeCount, double timeout) {
        for (double until = harness.now + timeout; harness.probesSent() < probeCount && harness.now < until;) {
            harness.advanceTo(harness.now + 5);
            answerStatusQueries(harness);
        }
        assertEquals(probeCount, harness.probesSent());
    }

    /** Advances until a load order was sent to the executor; the inference follows after half its SLO time. */
    private static LoadOrder awaitLoadOrder(CoordinatorHarness harness) {
        while (harness.orders.stream().noneMatch(order -> order.copies > 0)) {
            answerStatusQueries(harness);
            harness.advanceTo(harness.now + 5);
        }
        return harness.orders.get(0);
    }

    /** Guards against sends to a draining executor (rule 3), where the answer to one probe counted for the next one. */
    @ParameterizedTest
    @CsvSource({"given up, RETURNED", "given up, FULL", "given up, ERROR", "given up, RESET", "given up, CONNECT_FAILED",
        "router replaced, RETURNED", "router replaced, FULL"})
    void lateProbeAnswerDoesNotCountForTheNextProbe(String reason, Outcome lateOutcome) {
        int[] routersCreated = {0};
        CoordinatorHarness harness = withExecutor(CoordinatorHarness.withProbes(real -> routersCreated[0]++ == 0
                ? InferenceCoordinatorTest.failingOnCall(real, "onInferenceCancelled", 1) : real));
        harness.expireRoster();
        Client client = harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        advanceToProbe(harness, 1, 50);
        harness.advanceTo(harness.now + 100);
        if (reason.equals("router replaced")) {
            harness.runBatch(harness.now, () -> harness.coordinator.onClientDisconnected(client.inferenceState, client));
            harness.orders.clear();
        }
        harness.sendMessage("b", CoordinatorHarness.RETRIABLE, 2);
        advanceToProbe(harness, 2, 1100);
        harness.advanceTo(Math.max(harness.probeSentAt(1) + 10, harness.probeSentAt(0) + LEASE + 1));
        harness.answerProbe(0, lateOutcome, null);
        assertFalse(harness.maySendTo("s-1"), "by an answer to the previous probe");
        harness.answerProbe(1, Outcome.RETURNED, null);
        assertTrue(harness.maySendTo("s-1"), "by its own answer");
        harness.now = harness.probeSentAt(1) + LEASE;
        assertFalse(harness.maySendTo("s-1"));
    }

    /** Guards against a cold process that counts as warm (rule 4), or as unhealthy, because of its predecessor's answer. */
    @ParameterizedTest
    @CsvSource({
        "NEW_START, RETURNED, 1 RETURNED", "NEW_ADDRESS, RETURNED, 1 RETURNED", "GONE_AND_BACK, RETURNED, 1 RETURNED",
        "MOVED_AND_BACK, RETURNED, 1 RETURNED",
        "NEW_START, FULL, 0", "NEW_ADDRESS, FULL, 0", "NEW_START, RESET, 0", "NEW_ADDRESS, RESET, 0",
        "NEW_START, ERROR, 0", "NEW_ADDRESS, ERROR, 0", "NEW_START, TIMED_OUT, 0", "NEW_ADDRESS, TIMED_OUT, 0"})
    void forwardToAnEarlierProcessDoesNotChangeTheView(ProcessChange change, Outcome lateOutcome, String expected) {
        CoordinatorHarness harness = withExecutor(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        Client client = harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        awaitLoadOrder(harness);
        harness.advanceTo(harness.now + 250);
        InFlightForward earlierForward = harness.forwards.get(0);
        change.deliverTo(harness);
        ExecutorView viewBefore = viewOf(harness, client);
        assertEquals(0, viewBefore.copies);
        harness.runBatch(harness.now, () -> harness.coordinator.onForwardEnded(earlierForward, lateOutcome, LoadStatus.ALREADY_LOADED, 3,
                REPORT, "{}".getBytes()));
        assertEquals(expected, client.received());
        assertEquals(viewBefore, viewOf(harness, client));
        assertCurrentProcessServes(harness, change);
    }

    /** The same for the answer to a load order. */
    @ParameterizedTest
    @CsvSource({
        "NEW_START, RETURNED, 1", "NEW_ADDRESS, RETURNED, 1", "GONE_AND_BACK, RETURNED, 1", "MOVED_AND_BACK, RETURNED, 1",
        "NEW_START, FULL, 1", "NEW_ADDRESS, FULL, 0", "NEW_START, ERROR, 0", "NEW_ADDRESS, RESET, 0", "NEW_START, TIMED_OUT, 0"})
    void loadOrderToAnEarlierProcessDoesNotChangeTheView(ProcessChange change, Outcome lateOutcome, int copies) {
        CoordinatorHarness harness = withExecutor(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        Client client = harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        LoadOrder openOrder = awaitLoadOrder(harness);
        change.deliverTo(harness);
        ExecutorView viewBefore = viewOf(harness, client);
        harness.orders.remove(openOrder);
        harness.runBatch(harness.now, () -> harness.coordinator.onLoadOrderEnded(openOrder, lateOutcome, copies));
        assertEquals(viewBefore, viewOf(harness, client));
        assertEquals(List.of(), harness.forwards);
        assertCurrentProcessServes(harness, change);
    }

    /** Waits until the work sent to the earlier process has left the window of rule 4, then has the current process serve. */
    private static void assertCurrentProcessServes(CoordinatorHarness harness, ProcessChange change) {
        harness.advanceTo(harness.now + 1000);
        Client next = harness.sendMessage("next", CoordinatorHarness.RETRIABLE, 2);
        harness.awaitForward();
        InFlightForward servedForward = harness.forwards.stream().filter(forward -> forward.inferenceState == next.inferenceState)
                .findFirst().orElseThrow();
        assertEquals(change.address(), servedForward.endpoint.address);
        harness.endForward(servedForward, Outcome.RETURNED);
        assertEquals("1 RETURNED", next.received());
        assertTrue(viewOf(harness, next).copies > 0, "its own answer counts");
    }

    /** Guards against a forward that expects a copy which only the earlier process was told to load. */
    @ParameterizedTest
    @EnumSource
    void loadOrderToAnEarlierProcessCausesNoForward(ProcessChange change) {
        CoordinatorHarness harness = withExecutor(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        LoadOrder openOrder = awaitLoadOrder(harness);
        harness.advanceTo(harness.now + 50);
        change.deliverTo(harness);
        harness.advanceTo(harness.now + 1000);
        assertTrue(harness.forwards.isEmpty() || harness.orders.stream().anyMatch(order -> order != openOrder && order.copies > 0),
                harness.forwards.size() + " forwards without a load order since");
    }

    /** Guards against sends to a process that was never probed (rule 3), proven ready or not by its predecessor's answer. */
    @ParameterizedTest
    @CsvSource({"NEW_START, RETURNED", "NEW_ADDRESS, RETURNED", "GONE_AND_BACK, RETURNED", "MOVED_AND_BACK, RETURNED",
        "NEW_START, FULL", "NEW_ADDRESS, FULL", "NEW_START, ERROR", "NEW_ADDRESS, RESET", "NEW_START, CONNECT_FAILED"})
    void probeOfAnEarlierProcessDoesNotChangeTheView(ProcessChange change, Outcome lateOutcome) {
        CoordinatorHarness harness = withExecutor(CoordinatorHarness.withProbes(UnaryOperator.identity()));
        harness.expireRoster();
        Client client = harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        advanceToProbe(harness, 1, 50);
        harness.advanceTo(harness.now + 50);
        change.deliverTo(harness);
        ExecutorView viewBefore = viewOf(harness, client);
        harness.answerProbe(0, lateOutcome, REPORT);
        assertEquals(viewBefore, viewOf(harness, client));
        assertFalse(harness.maySendTo("s-1"));
        harness.advanceTo(harness.now + 200);
        int ownProbe = harness.probesSent() - 1;
        assertEquals("s-1 " + change.address(), harness.probeTarget(ownProbe));
        harness.answerProbe(ownProbe, Outcome.RETURNED, null);
        assertTrue(harness.maySendTo("s-1"), "by its own answer");
    }

    /** Guards against a process that may be new and counts as warm (rule 4) because of a roster entry older than its start. */
    @ParameterizedTest
    @EnumSource(value = RosterUpdateKind.class, names = {"CHANGES", "FULL"})
    void rosterFromTheOutageDoesNotEndAnAssumedRestart(RosterUpdateKind kind) {
        CoordinatorHarness harness = withExecutor(CoordinatorHarness.withProbes(UnaryOperator.identity()));
        harness.expireRoster();
        harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        advanceToProbe(harness, 1, 50);
        harness.answerProbe(0, Outcome.RETURNED, REPORT);
        harness.runBatch(harness.now, () -> harness.coordinator.onExecutorDisconnected(harness.endpointOf("s-1")));
        harness.advanceTo(harness.now + LEASE + 50);
        harness.sendMessage("b", CoordinatorHarness.RETRIABLE, 2);
        advanceToProbe(harness, 2, 100);
        harness.answerProbe(1, Outcome.RETURNED, null);
        double assumedStart = harness.endpointOf("s-1").executor.startedAt;
        assertEquals(harness.now, assumedStart);
        harness.updateRoster(kind, rosterEntry("10.0.0.1:80", 0, ExecutorState.READY));
        assertEquals(assumedStart, harness.endpointOf("s-1").executor.startedAt);
        harness.runBatch(harness.now, () -> harness.coordinator.onRosterConfirmed(harness.now, harness.now + 4000));
        assertEquals(0, harness.endpointOf("s-1").executor.startedAt, "once the roster is known to be complete");
    }
}
