package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.Outcome;
import gradereach.api.ExecutorReport;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
import gradereach.api.LoadStatus;
import gradereach.desk.CoordinatorHarness.Client;
import gradereach.state.ModelCopies;
import gradereach.state.Executor;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** What an executor answers speaks for the process that was asked, as of the time at which it was asked. */
class StaleEvidenceTest {
    /** For so long after its sending a probe that was answered as ready allows sends: the grace less its margin. */
    private static final double LEASE = 475;
    private static final ExecutorReport REPORT = new ExecutorReport(7, 1, 0.5, 10, 1, 0, 0.5, 0);

    /** How discovery tells that an instance is another process now; a start may be untold. */
    enum ProcessChange {
        NEW_START, NEW_ADDRESS, GONE_AND_BACK, MOVED_AND_BACK;

        void deliverTo(CoordinatorHarness stage) {
            if (this == GONE_AND_BACK) {
                stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", 0, ExecutorState.REMOVED));
            } else if (this == MOVED_AND_BACK) {
                stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.9:80", 0, ExecutorState.READY));
            }
            stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry(address(), this == NEW_START ? stage.now : 0, ExecutorState.READY));
        }

        String address() {
            return this == NEW_ADDRESS ? "10.0.0.9:80" : "10.0.0.1:80";
        }
    }

    /** What is believed of an executor, and of the copies of one model there. */
    private record ExecutorView(int copies, double shunnedUntil, double distrust, double limit, double took, double answers,
            ExecutorReport report, double provenReadyAt, double refusedAt, double disconnectedAt) { }

    private static RosterEntry rosterEntry(String address, double startedAt, ExecutorState standing) {
        return new RosterEntry("s-1", address, 1, startedAt, standing, 0, 0, 0);
    }

    private static CoordinatorHarness withExecutor(CoordinatorHarness stage) {
        stage.updateRoster(RosterUpdateKind.FULL, rosterEntry("10.0.0.1:80", 0, ExecutorState.READY));
        return stage;
    }

    private static ExecutorView viewOf(CoordinatorHarness stage, Client client) {
        Executor ex = stage.endpointOf("s-1").executor;
        ModelCopies c = client.inferenceState.inference.model.copiesOn(ex);
        return new ExecutorView(c.loadedCopies, c.backoffUntil, ex.suspicion.value(stage.now, 1000), ex.concurrencyLimit,
                ex.slowdownSum.value(stage.now, 1000), ex.answerCount.value(stage.now, 1000), ex.report, ex.readyProbeSentAt,
                ex.notReadyProbeSentAt, ex.disconnectedAt);
    }

    private static void answerStatusQueries(CoordinatorHarness stage) {
        for (LoadOrder question : stage.orders.stream().filter(order -> order.copies == 0).toList()) {
            stage.orders.remove(question);
            stage.runBatch(stage.now, () -> stage.coordinator.onLoadOrderEnded(question, Outcome.RETURNED, 0));
        }
    }

    /** Lets time pass, with every question answered with no copies, until {@code n} probes have been sent. */
    private static void advanceToProbe(CoordinatorHarness stage, int n, double within) {
        for (double until = stage.now + within; stage.probesSent() < n && stage.now < until;) {
            stage.advanceTo(stage.now + 5);
            answerStatusQueries(stage);
        }
        assertEquals(n, stage.probesSent());
    }

    /** A load order is out to the executor, and after half its SLO time the inference too. */
    private static LoadOrder awaitLoadOrder(CoordinatorHarness stage) {
        while (stage.orders.stream().noneMatch(order -> order.copies > 0)) {
            answerStatusQueries(stage);
            stage.advanceTo(stage.now + 5);
        }
        return stage.orders.get(0);
    }

    /** Guards against sends to an executor that drains (rule 3): the answer to one probe counted as the next one's. */
    @ParameterizedTest
    @CsvSource({"given up, RETURNED", "given up, FULL", "given up, ERROR", "given up, RESET", "given up, CONNECT_FAILED",
        "module anew, RETURNED", "module anew, FULL"})
    void lateProbeAnswerDoesNotCountForTheNextProbe(String why, Outcome late) {
        int[] made = {0};
        CoordinatorHarness stage = withExecutor(CoordinatorHarness.withProbes(real -> made[0]++ == 0 ? InferenceCoordinatorTest.failingOnCall(real, "onInferenceCancelled", 1) : real));
        stage.expireRoster();
        Client client = stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        advanceToProbe(stage, 1, 50);
        stage.advanceTo(stage.now + 100);
        if (why.equals("module anew")) {
            stage.runBatch(stage.now, () -> stage.coordinator.onClientDisconnected(client.inferenceState, client));
            stage.orders.clear();
        }
        stage.sendMessage("b", CoordinatorHarness.RETRIABLE, 2);
        advanceToProbe(stage, 2, 1100);
        stage.advanceTo(Math.max(stage.probeSentAt(1) + 10, stage.probeSentAt(0) + LEASE + 1));
        stage.answerProbe(0, late, null);
        assertFalse(stage.maySendTo("s-1"), "by an answer to the probe before");
        stage.answerProbe(1, Outcome.RETURNED, null);
        assertTrue(stage.maySendTo("s-1"), "by its own answer");
        stage.now = stage.probeSentAt(1) + LEASE;
        assertFalse(stage.maySendTo("s-1"));
    }

    /** Guards against a cold process that counts as warm (rule 4), or as unwell, by an answer of the one before it. */
    @ParameterizedTest
    @CsvSource({
        "NEW_START, RETURNED, 1 RETURNED", "NEW_ADDRESS, RETURNED, 1 RETURNED", "GONE_AND_BACK, RETURNED, 1 RETURNED",
        "MOVED_AND_BACK, RETURNED, 1 RETURNED",
        "NEW_START, FULL, 0", "NEW_ADDRESS, FULL, 0", "NEW_START, RESET, 0", "NEW_ADDRESS, RESET, 0",
        "NEW_START, ERROR, 0", "NEW_ADDRESS, ERROR, 0", "NEW_START, TIMED_OUT, 0", "NEW_ADDRESS, TIMED_OUT, 0"})
    void forwardToAnEarlierProcessDoesNotChangeTheView(ProcessChange change, Outcome late, String heard) {
        CoordinatorHarness stage = withExecutor(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        Client client = stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        awaitLoadOrder(stage);
        stage.advanceTo(stage.now + 250);
        InFlightForward out = stage.forwards.get(0);
        change.deliverTo(stage);
        ExecutorView before = viewOf(stage, client);
        assertEquals(0, before.copies);
        stage.runBatch(stage.now, () -> stage.coordinator.onForwardEnded(out, late, LoadStatus.ALREADY_LOADED, 3, REPORT, "{}".getBytes()));
        assertEquals(heard, client.received());
        assertEquals(before, viewOf(stage, client));
        assertCurrentProcessServes(stage, change);
    }

    /** The same by an answer to a load order. */
    @ParameterizedTest
    @CsvSource({
        "NEW_START, RETURNED, 1", "NEW_ADDRESS, RETURNED, 1", "GONE_AND_BACK, RETURNED, 1", "MOVED_AND_BACK, RETURNED, 1",
        "NEW_START, FULL, 1", "NEW_ADDRESS, FULL, 0", "NEW_START, ERROR, 0", "NEW_ADDRESS, RESET, 0", "NEW_START, TIMED_OUT, 0"})
    void loadOrderToAnEarlierProcessDoesNotChangeTheView(ProcessChange change, Outcome late, int copies) {
        CoordinatorHarness stage = withExecutor(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        Client client = stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        LoadOrder out = awaitLoadOrder(stage);
        change.deliverTo(stage);
        ExecutorView before = viewOf(stage, client);
        stage.orders.remove(out);
        stage.runBatch(stage.now, () -> stage.coordinator.onLoadOrderEnded(out, late, copies));
        assertEquals(before, viewOf(stage, client));
        assertEquals(List.of(), stage.forwards);
        assertCurrentProcessServes(stage, change);
    }

    /** Asked once what was sent to the process before has left the window of rule 4. */
    private static void assertCurrentProcessServes(CoordinatorHarness stage, ProcessChange change) {
        stage.advanceTo(stage.now + 1000);
        Client next = stage.sendMessage("next", CoordinatorHarness.RETRIABLE, 2);
        stage.awaitForward();
        InFlightForward served = stage.forwards.stream().filter(flight -> flight.inferenceState == next.inferenceState).findFirst().orElseThrow();
        assertEquals(change.address(), served.endpoint.address);
        stage.endForward(served, Outcome.RETURNED);
        assertEquals("1 RETURNED", next.received());
        assertTrue(viewOf(stage, next).copies > 0, "its own answer counts");
    }

    /** Guards against a forward that is to find a copy which only the process before was asked to load. */
    @ParameterizedTest
    @EnumSource
    void loadOrderToAnEarlierProcessCausesNoForward(ProcessChange change) {
        CoordinatorHarness stage = withExecutor(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        LoadOrder out = awaitLoadOrder(stage);
        stage.advanceTo(stage.now + 50);
        change.deliverTo(stage);
        stage.advanceTo(stage.now + 1000);
        assertTrue(stage.forwards.isEmpty() || stage.orders.stream().anyMatch(order -> order != out && order.copies > 0),
                stage.forwards.size() + " forwards, no order since");
    }

    /** Guards against sends to a process that was never asked (rule 3): proven ready, or refused, by the one before. */
    @ParameterizedTest
    @CsvSource({"NEW_START, RETURNED", "NEW_ADDRESS, RETURNED", "GONE_AND_BACK, RETURNED", "MOVED_AND_BACK, RETURNED",
        "NEW_START, FULL", "NEW_ADDRESS, FULL", "NEW_START, ERROR", "NEW_ADDRESS, RESET", "NEW_START, CONNECT_FAILED"})
    void probeOfAnEarlierProcessDoesNotChangeTheView(ProcessChange change, Outcome late) {
        CoordinatorHarness stage = withExecutor(CoordinatorHarness.withProbes(UnaryOperator.identity()));
        stage.expireRoster();
        Client client = stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        advanceToProbe(stage, 1, 50);
        stage.advanceTo(stage.now + 50);
        change.deliverTo(stage);
        ExecutorView before = viewOf(stage, client);
        stage.answerProbe(0, late, REPORT);
        assertEquals(before, viewOf(stage, client));
        assertFalse(stage.maySendTo("s-1"));
        stage.advanceTo(stage.now + 200);
        int own = stage.probesSent() - 1;
        assertEquals("s-1 " + change.address(), stage.probeTarget(own));
        stage.answerProbe(own, Outcome.RETURNED, null);
        assertTrue(stage.maySendTo("s-1"), "by its own answer");
    }

    /** Guards against a process that may be new and counts as warm again (rule 4) by a word that may be older than its start. */
    @ParameterizedTest
    @EnumSource(value = RosterUpdateKind.class, names = {"CHANGES", "FULL"})
    void rosterFromTheOutageDoesNotEndAnAssumedRestart(RosterUpdateKind form) {
        CoordinatorHarness stage = withExecutor(CoordinatorHarness.withProbes(UnaryOperator.identity()));
        stage.expireRoster();
        stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        advanceToProbe(stage, 1, 50);
        stage.answerProbe(0, Outcome.RETURNED, REPORT);
        stage.runBatch(stage.now, () -> stage.coordinator.onExecutorDisconnected(stage.endpointOf("s-1")));
        stage.advanceTo(stage.now + LEASE + 50);
        stage.sendMessage("b", CoordinatorHarness.RETRIABLE, 2);
        advanceToProbe(stage, 2, 100);
        stage.answerProbe(1, Outcome.RETURNED, null);
        double assumed = stage.endpointOf("s-1").executor.startedAt;
        assertEquals(stage.now, assumed);
        stage.updateRoster(form, rosterEntry("10.0.0.1:80", 0, ExecutorState.READY));
        assertEquals(assumed, stage.endpointOf("s-1").executor.startedAt);
        stage.runBatch(stage.now, () -> stage.coordinator.onRosterConfirmed(stage.now, stage.now + 4000));
        assertEquals(0, stage.endpointOf("s-1").executor.startedAt, "once the roster is known to be complete");
    }
}
