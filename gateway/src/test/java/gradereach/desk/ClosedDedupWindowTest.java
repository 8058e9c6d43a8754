package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
import gradereach.desk.CoordinatorHarness.Client;
import gradereach.ledger.LedgerRecord;
import gradereach.message.FinalAnswer;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Executors drop repeats of a deduped message for 1.5 s from its first forward. Whoever asks later must not hear that a repeat is harmless. */
class ClosedDedupWindowTest {
    private static final double WINDOW = 1500;
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private CoordinatorHarness start(double now) {
        CoordinatorHarness stage = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        stage.now = now;
        stage.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
        stage.updateRoster(RosterUpdateKind.FULL, CoordinatorHarness.rosterEntry(1, ExecutorState.READY, 0));
        return stage;
    }

    private void advanceTo(CoordinatorHarness stage, double until) {
        while (stage.now < until) {
            stage.answerLoadOrders(1);
            stage.advanceTo(stage.now + 2);
            while (ledger.hasPending()) {
                ledger.commit(stage, true);
            }
        }
    }

    /** Its forward is out, from here on. */
    private double awaitForwardSentAt(CoordinatorHarness stage, ModelGroup group) {
        advanceTo(stage, stage.now + 20);
        assertEquals(1, stage.forwards.size(), "its forward did not leave");
        return stage.forwards.get(0).forward.sentAt;
    }

    private static boolean isRepeatHarmless(Client client) {
        assertEquals(1, client.answers.size());
        return client.answers.get(0).repeatHarmless();
    }

    /** Guards against a recorded "harmless" that is told once more after the window, here or after a restart. */
    @ParameterizedTest
    @CsvSource({"NONE, false", "NONE, true", "ERROR, false", "ERROR, true", "RESET, true"})
    void repeatHarmlessInsideTheWindowIsNotPromisedAfterIt(String end, boolean restarts) {
        CoordinatorHarness stage = start(1_000_000);
        Client first = stage.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        double sentAt = awaitForwardSentAt(stage, CoordinatorHarness.DEDUPED);
        if (!end.equals("NONE")) {
            stage.endForward(stage.forwards.get(0), Outcome.valueOf(end));
        }
        advanceTo(stage, sentAt + 1200);
        assertTrue(isRepeatHarmless(first), "in the window a repeat is dropped by every executor");
        if (restarts) {
            ledger.crash();
            stage = start(stage.now + 10);
        }
        advanceTo(stage, sentAt + WINDOW + 100);
        stage.forwards.clear();
        Client again = stage.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceTo(stage, stage.now + 1100);
        assertEquals(0, stage.forwards.size(), "forwarded again after its window");
        assertFalse(isRepeatHarmless(again));
        assertEquals(FinalAnswer.Kind.FAILED, again.answers.get(0).kind());
    }

    /** Guards against a returned answer that is taken back. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void returnedAnswerIsReturnedAtAnyTime(boolean restarts) {
        CoordinatorHarness stage = start(1_000_000);
        Client first = stage.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        double sentAt = awaitForwardSentAt(stage, CoordinatorHarness.DEDUPED);
        stage.endForward(stage.forwards.get(0), Outcome.RETURNED);
        advanceTo(stage, sentAt + WINDOW + 100);
        if (restarts) {
            ledger.crash();
            stage = start(stage.now + 10);
        }
        Client again = stage.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        assertEquals("1 RETURNED", again.received());
        assertArrayEquals(first.answers.get(0).body(), again.answers.get(0).body());
    }

    /** Guards against a promised answer that first leaves after the window, as it was decided inside it. */
    @Test
    void promisedAnswerSentAfterARestartDoesNotCallARepeatHarmless() {
        CoordinatorHarness stage = start(1_000_000);
        Client first = stage.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        double sentAt = awaitForwardSentAt(stage, CoordinatorHarness.DEDUPED);
        advanceTo(stage, sentAt + 1200);
        assertTrue(isRepeatHarmless(first));
        ledger.durable.add(new LedgerRecord.DeliveryPromised("yard", "a", 1_000_000, 1, 0, CoordinatorHarness.DEDUPED.name()));
        ledger.crash();
        Client owed = stage.new Client();
        CoordinatorHarness second = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        second.now = sentAt + WINDOW + 100;
        second.coordinator.recover(ledger.replay(), second.now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> owed);
        assertFalse(isRepeatHarmless(owed));
    }

    /** Guards against a first answer that says "harmless" though the window has closed while its client waited. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void windowThatClosesBeforeTheAnswerMakesTheOutcomeUnknown(boolean stops) {
        CoordinatorHarness stage = start(1_000_000);
        Client client = stage.sendMessage("a", CoordinatorHarness.DEDUPED_SHORT_WINDOW, 1);
        double sentAt = awaitForwardSentAt(stage, CoordinatorHarness.DEDUPED_SHORT_WINDOW);
        advanceTo(stage, sentAt + 300);
        if (stops) {
            CoordinatorHarness stopping = stage;
            stage.runBatch(stage.now, () -> stopping.coordinator.endAllInferences("this front end stops"));
        }
        advanceTo(stage, sentAt + 1200);
        assertFalse(isRepeatHarmless(client));
        assertEquals(FinalAnswer.Kind.FAILED, client.answers.get(0).kind());
    }

    /** What never left may be sent again at any time. */
    @Test
    void repeatOfAnInferenceNeverSentIsAlwaysHarmless() {
        CoordinatorHarness stage = start(1_000_000);
        stage.updateRoster(RosterUpdateKind.FULL);
        Client client = stage.sendMessage("a", CoordinatorHarness.DEDUPED_SHORT_WINDOW, 1);
        advanceTo(stage, stage.now + 1200);
        assertTrue(isRepeatHarmless(client));
    }
}
