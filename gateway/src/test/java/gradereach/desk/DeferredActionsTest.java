package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.ExecutorState;
import gradereach.desk.CoordinatorHarness.Client;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What the desk puts off (a listing, a removal, a forward whose intent waits) meets a roster that has changed since. */
class DeferredActionsTest {
    private static final double EXPECTED = 100;
    private static final double FALL_TIME = 1000;
    private static final double WARM_WITHIN = 5000;

    private final ManualCommitLedger ledger = new ManualCommitLedger();
    private double startedAt;
    private int messagesSent;

    private RosterEntry rosterEntry(String address, ExecutorState standing) {
        return new RosterEntry("s-1", address, 1, startedAt, standing, 0, 0, 0);
    }

    /** Its one executor has just started, and the front end a while ago. */
    private CoordinatorHarness startWithColdExecutor(UnaryOperator<Router> around) {
        CoordinatorHarness stage = new CoordinatorHarness(1, 100, 1000, around, ledger, ClaimService.ALONE);
        stage.updateRoster(RosterUpdateKind.FULL);
        stage.advanceTo(stage.now + 1500);
        startedAt = stage.now;
        stage.updateRoster(RosterUpdateKind.FULL, rosterEntry("10.0.0.1:80", ExecutorState.READY));
        return stage;
    }

    private static UnaryOperator<Router> failingFirstRouter() {
        int[] made = {0};
        return real -> made[0]++ == 0 ? InferenceCoordinatorTest.failingOnCall(real, "onInferenceCancelled", 1) : real;
    }

    private Client sendMessages(CoordinatorHarness stage, double span) {
        Client last = null;
        for (int i = 0; i < 10; i++) {
            last = stage.sendMessage("w" + messagesSent++, CoordinatorHarness.RETRIABLE, i);
        }
        for (double until = stage.now + span; stage.now < until; stage.advanceTo(stage.now + 5)) {
            stage.answerLoadOrders(1);
        }
        return last;
    }

    /** Three quarters of the fall multiple times the window, at the share that a cold executor has as it begins. */
    private void assertColdRationKept(CoordinatorHarness stage) {
        double first = stage.forwards.get(0).forward.sentAt;
        double ration = 0.75 * 3 * FALL_TIME * (0.2 + 0.8 * (first - startedAt) / WARM_WITHIN);
        long sent = stage.forwards.stream().filter(flight -> flight.forward.sentAt < first + FALL_TIME).count();
        assertTrue(sent * EXPECTED <= ration, sent + " forwards within the fall time, ration " + ration);
    }

    /** Guards against a second ration in one window (rule 4): a list tells a fresh module of an executor that waits. */
    @ParameterizedTest
    @ValueSource(strings = {"FULL", "CHANGES"})
    void rosterDoesNotListADeferredColdExecutorToANewRouter(RosterUpdateKind form) {
        CoordinatorHarness stage = startWithColdExecutor(failingFirstRouter());
        Client client = sendMessages(stage, 200);
        stage.runBatch(stage.now, () -> stage.coordinator.onClientDisconnected(client.inferenceState, client));
        assertEquals(1, stage.said.size());
        stage.updateRoster(form, rosterEntry("10.0.0.1:80", ExecutorState.READY));
        sendMessages(stage, 300);
        assertColdRationKept(stage);
    }

    /** Guards against an instance that is taken for gone for good: it moved while its listing was put off. */
    @Test
    void instanceThatMovesWhileDeferredStaysReady() {
        CoordinatorHarness stage = startWithColdExecutor(failingFirstRouter());
        Client client = stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        stage.runBatch(stage.now, () -> stage.coordinator.onClientDisconnected(client.inferenceState, client));
        assertEquals(1, stage.said.size());
        stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.9:80", ExecutorState.READY));
        stage.advanceTo(stage.now + FALL_TIME + 100);
        assertTrue(stage.maySendTo("s-1"));
    }

    /** Guards against a second ration in one window (rule 4): what is sent lately goes with a place removed too early. */
    @Test
    void endpointIsDiscardedAWindowAfterItsLastRemoval() {
        CoordinatorHarness stage = startWithColdExecutor(UnaryOperator.identity());
        stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", ExecutorState.REMOVED));
        stage.advanceTo(stage.now + 700);
        stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", ExecutorState.READY));
        sendMessages(stage, 200);
        stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", ExecutorState.REMOVED));
        stage.advanceTo(stage.now + 150);
        stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", ExecutorState.READY));
        sendMessages(stage, 300);
        assertColdRationKept(stage);
    }

    /** Guards against sends to who drains (rule 3), is cold (rule 4) or not there, decided before it was told: the disk is slow. */
    @ParameterizedTest
    @CsvSource({"10.0.0.1:80, DRAINING, 0", "10.0.0.1:80, REMOVED, 0", "10.0.0.9:80, READY, 0", "10.0.0.1:80, READY, 100"})
    void forwardIsNotSentIfTheExecutorChangedWhileItsIntentWasWritten(String address, ExecutorState standing, double startsLater) {
        CoordinatorHarness stage = startWithColdExecutor(UnaryOperator.identity());
        stage.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        for (; !ledger.hasPending(); stage.advanceTo(stage.now + 5)) {
            stage.answerLoadOrders(1);
        }
        startedAt += startsLater;
        stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry(address, standing));
        stage.advanceTo(stage.now + 600);
        ledger.commit(stage, true);
        assertEquals(List.of(), stage.forwards.stream().map(flight -> flight.endpoint.address).toList());
        for (double until = stage.now + CoordinatorHarness.NON_RETRIABLE.routeTimeout(); stage.now < until; stage.advanceTo(stage.now + 5)) {
            while (ledger.hasPending()) {
                ledger.commit(stage, true);
            }
        }
        assertEquals(0, stage.coordinator.openInferenceCount());
    }
}
