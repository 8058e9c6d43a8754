package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorState;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.desk.CoordinatorHarness.Client;
import gradereach.ledger.LedgerRecord;
import gradereach.message.FinalAnswer;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Executors drop repeats of a deduped message for 1.5 s from its first forward. An answer given later must not call a repeat
 * harmless.
 */
class ClosedDedupWindowTest {
    /** Milliseconds, as in {@link CoordinatorHarness#DEDUPED}. */
    private static final double DEDUP_WINDOW = 1500;
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private CoordinatorHarness start(double now) {
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        harness.now = now;
        harness.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE,
                (customer, id, promisedAt, attempts) -> null);
        harness.updateRoster(RosterUpdateKind.FULL, CoordinatorHarness.rosterEntry(1, ExecutorState.READY, 0));
        return harness;
    }

    private void advanceTo(CoordinatorHarness harness, double until) {
        while (harness.now < until) {
            harness.answerLoadOrders(1);
            harness.advanceTo(harness.now + 2);
            while (ledger.hasPending()) {
                ledger.commit(harness, true);
            }
        }
    }

    /** Advances until the forward is sent; returns when that was. */
    private double awaitForwardSentAt(CoordinatorHarness harness, ModelGroup group) {
        advanceTo(harness, harness.now + 20);
        assertEquals(1, harness.forwards.size(), "the forward was not sent");
        return harness.forwards.get(0).forward.sentAt;
    }

    private static boolean isRepeatHarmless(Client client) {
        assertEquals(1, client.answers.size());
        return client.answers.get(0).repeatHarmless();
    }

    /** Guards against a recorded answer that still calls a repeat harmless after the window, with or without a restart. */
    @ParameterizedTest
    @CsvSource({"NONE, false", "NONE, true", "ERROR, false", "ERROR, true", "RESET, true"})
    void repeatHarmlessInsideTheWindowIsNotPromisedAfterIt(String forwardEnd, boolean restarts) {
        CoordinatorHarness harness = start(1_000_000);
        Client first = harness.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        double sentAt = awaitForwardSentAt(harness, CoordinatorHarness.DEDUPED);
        if (!forwardEnd.equals("NONE")) {
            harness.endForward(harness.forwards.get(0), Outcome.valueOf(forwardEnd));
        }
        advanceTo(harness, sentAt + 1200);
        assertTrue(isRepeatHarmless(first), "within the window every executor drops a repeat");
        if (restarts) {
            ledger.crash();
            harness = start(harness.now + 10);
        }
        advanceTo(harness, sentAt + DEDUP_WINDOW + 100);
        harness.forwards.clear();
        Client again = harness.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceTo(harness, harness.now + 1100);
        assertEquals(0, harness.forwards.size(), "forwarded again after its window");
        assertFalse(isRepeatHarmless(again));
        assertEquals(FinalAnswer.Kind.FAILED, again.answers.get(0).kind());
    }

    /** Guards against withdrawing a returned answer after the window. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void returnedAnswerIsReturnedAtAnyTime(boolean restarts) {
        CoordinatorHarness harness = start(1_000_000);
        Client first = harness.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        double sentAt = awaitForwardSentAt(harness, CoordinatorHarness.DEDUPED);
        harness.endForward(harness.forwards.get(0), Outcome.RETURNED);
        advanceTo(harness, sentAt + DEDUP_WINDOW + 100);
        if (restarts) {
            ledger.crash();
            harness = start(harness.now + 10);
        }
        Client again = harness.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        assertEquals("1 RETURNED", again.received());
        assertArrayEquals(first.answers.get(0).body(), again.answers.get(0).body());
    }

    /** Guards against a promised answer that is decided within the window but first delivered after it. */
    @Test
    void promisedAnswerSentAfterARestartDoesNotCallARepeatHarmless() {
        CoordinatorHarness harness = start(1_000_000);
        Client first = harness.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        double sentAt = awaitForwardSentAt(harness, CoordinatorHarness.DEDUPED);
        advanceTo(harness, sentAt + 1200);
        assertTrue(isRepeatHarmless(first));
        ledger.durable.add(new LedgerRecord.DeliveryPromised("yard", "a", 1_000_000, 1, 0, CoordinatorHarness.DEDUPED.name()));
        ledger.crash();
        Client promised = harness.new Client();
        CoordinatorHarness second = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        second.now = sentAt + DEDUP_WINDOW + 100;
        second.coordinator.recover(ledger.replay(), second.now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE,
                (customer, id, promisedAt, attempts) -> promised);
        assertFalse(isRepeatHarmless(promised));
    }

    /** Guards against a first answer that calls a repeat harmless although the window closed while the client waited. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void windowThatClosesBeforeTheAnswerMakesTheOutcomeUnknown(boolean frontEndStops) {
        CoordinatorHarness harness = start(1_000_000);
        Client client = harness.sendMessage("a", CoordinatorHarness.DEDUPED_SHORT_WINDOW, 1);
        double sentAt = awaitForwardSentAt(harness, CoordinatorHarness.DEDUPED_SHORT_WINDOW);
        advanceTo(harness, sentAt + 300);
        if (frontEndStops) {
            CoordinatorHarness stoppingHarness = harness;
            harness.runBatch(harness.now, () -> stoppingHarness.coordinator.endAllInferences("this front end stops"));
        }
        advanceTo(harness, sentAt + 1200);
        assertFalse(isRepeatHarmless(client));
        assertEquals(FinalAnswer.Kind.FAILED, client.answers.get(0).kind());
    }

    /** An inference that was never sent may run again at any time. */
    @Test
    void repeatOfAnInferenceNeverSentIsAlwaysHarmless() {
        CoordinatorHarness harness = start(1_000_000);
        harness.updateRoster(RosterUpdateKind.FULL);
        Client client = harness.sendMessage("a", CoordinatorHarness.DEDUPED_SHORT_WINDOW, 1);
        advanceTo(harness, harness.now + 1200);
        assertTrue(isRepeatHarmless(client));
    }
}
