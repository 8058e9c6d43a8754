package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorState;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.desk.CoordinatorHarness.Client;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Deferred actions (a listing, a removal, a forward that waits for its intent) after the roster has changed meanwhile. */
class DeferredActionsTest {
    /** Milliseconds: the expected work of one inference, and the times of the cold start rule in the harness. */
    private static final double EXPECTED_MILLIS = 100;
    private static final double OVERLOAD_TIME = 1000;
    private static final double WARM_UP_TIME = 5000;

    private final ManualCommitLedger ledger = new ManualCommitLedger();
    private double startedAt;
    private int messagesSent;

    private RosterEntry rosterEntry(String address, ExecutorState state) {
        return new RosterEntry("s-1", address, 1, startedAt, state, 0, 0, 0);
    }

    /** The only executor has just started; the front end has been running for a while. */
    private CoordinatorHarness startWithColdExecutor(UnaryOperator<Router> routerWrapper) {
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, routerWrapper, ledger, ClaimService.ALONE);
        harness.updateRoster(RosterUpdateKind.FULL);
        harness.advanceTo(harness.now + 1500);
        startedAt = harness.now;
        harness.updateRoster(RosterUpdateKind.FULL, rosterEntry("10.0.0.1:80", ExecutorState.READY));
        return harness;
    }

    private static UnaryOperator<Router> failingFirstRouter() {
        int[] routersCreated = {0};
        return real -> routersCreated[0]++ == 0 ? InferenceCoordinatorTest.failingOnCall(real, "onInferenceCancelled", 1) : real;
    }

    /** Sends ten messages and answers the load orders for that time; returns the client of the last message. */
    private Client sendMessages(CoordinatorHarness harness, double duration) {
        Client lastClient = null;
        for (int i = 0; i < 10; i++) {
            lastClient = harness.sendMessage("w" + messagesSent++, CoordinatorHarness.RETRIABLE, i);
        }
        for (double until = harness.now + duration; harness.now < until; harness.advanceTo(harness.now + 5)) {
            harness.answerLoadOrders(1);
        }
        return lastClient;
    }

    /** The budget is three quarters of overload factor x overload time, at the cold executor's share at the first forward. */
    private void assertColdBudgetKept(CoordinatorHarness harness) {
        double firstSentAt = harness.forwards.get(0).forward.sentAt;
        double budget = 0.75 * 3 * OVERLOAD_TIME * (0.2 + 0.8 * (firstSentAt - startedAt) / WARM_UP_TIME);
        long sent = harness.forwards.stream().filter(forward -> forward.forward.sentAt < firstSentAt + OVERLOAD_TIME).count();
        assertTrue(sent * EXPECTED_MILLIS <= budget, sent + " forwards within the overload time, budget " + budget);
    }

    /** Guards against twice the cold budget in one window (rule 4): a roster update lists a deferred executor to a new router. */
    @ParameterizedTest
    @ValueSource(strings = {"FULL", "CHANGES"})
    void rosterDoesNotListADeferredColdExecutorToANewRouter(RosterUpdateKind kind) {
        CoordinatorHarness harness = startWithColdExecutor(failingFirstRouter());
        Client client = sendMessages(harness, 200);
        harness.runBatch(harness.now, () -> harness.coordinator.onClientDisconnected(client.inferenceState, client));
        assertEquals(1, harness.routerFailures.size());
        harness.updateRoster(kind, rosterEntry("10.0.0.1:80", ExecutorState.READY));
        sendMessages(harness, 300);
        assertColdBudgetKept(harness);
    }

    /** Guards against an instance that counts as removed for good because it moved while its listing was deferred. */
    @Test
    void instanceThatMovesWhileDeferredStaysReady() {
        CoordinatorHarness harness = startWithColdExecutor(failingFirstRouter());
        Client client = harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        harness.runBatch(harness.now, () -> harness.coordinator.onClientDisconnected(client.inferenceState, client));
        assertEquals(1, harness.routerFailures.size());
        harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.9:80", ExecutorState.READY));
        harness.advanceTo(harness.now + OVERLOAD_TIME + 100);
        assertTrue(harness.maySendTo("s-1"));
    }

    /** Guards against twice the cold budget in one window (rule 4): an endpoint discarded too early loses its recent work. */
    @Test
    void endpointIsDiscardedAWindowAfterItsLastRemoval() {
        CoordinatorHarness harness = startWithColdExecutor(UnaryOperator.identity());
        harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", ExecutorState.REMOVED));
        harness.advanceTo(harness.now + 700);
        harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", ExecutorState.READY));
        sendMessages(harness, 200);
        harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", ExecutorState.REMOVED));
        harness.advanceTo(harness.now + 150);
        harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("10.0.0.1:80", ExecutorState.READY));
        sendMessages(harness, 300);
        assertColdBudgetKept(harness);
    }

    /**
     * Guards against sending to an executor that drains (rule 3), is cold (rule 4) or was removed or moved, because the forward
     * was decided before that and waited for a slow disk.
     */
    @ParameterizedTest
    @CsvSource({"10.0.0.1:80, DRAINING, 0", "10.0.0.1:80, REMOVED, 0", "10.0.0.9:80, READY, 0", "10.0.0.1:80, READY, 100"})
    void forwardIsNotSentIfTheExecutorChangedWhileItsIntentWasWritten(String address, ExecutorState state, double startShift) {
        CoordinatorHarness harness = startWithColdExecutor(UnaryOperator.identity());
        harness.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        for (; !ledger.hasPending(); harness.advanceTo(harness.now + 5)) {
            harness.answerLoadOrders(1);
        }
        startedAt += startShift;
        harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry(address, state));
        harness.advanceTo(harness.now + 600);
        ledger.commit(harness, true);
        assertEquals(List.of(), harness.forwards.stream().map(forward -> forward.endpoint.address).toList());
        for (double until = harness.now + CoordinatorHarness.NON_RETRIABLE.routeTimeout(); harness.now < until;
                harness.advanceTo(harness.now + 5)) {
            while (ledger.hasPending()) {
                ledger.commit(harness, true);
            }
        }
        assertEquals(0, harness.coordinator.openInferenceCount());
    }
}
