package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
import gradereach.inquiry.InquiryScheduler;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A message may have several lives, each with forwards of its own: that one's never ran says nothing of another's. */
class RepeatedInferenceInquiryTest {
    private static final double START = 100_000_000;
    private static final String FIRST = "10.0.0.1:80";
    private static final String SECOND = "10.0.0.2:80";
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private CoordinatorHarness start(double now, RosterEntry... lines) {
        CoordinatorHarness stage = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        stage.now = now;
        stage.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
        stage.updateRoster(RosterUpdateKind.FULL, lines);
        return stage;
    }

    private static RosterEntry rosterEntry(String instance, String address, ExecutorState standing) {
        return new RosterEntry(instance, address, 1, 0, standing, 1, 0, 0);
    }

    private void step(CoordinatorHarness stage, double millis) {
        stage.answerLoadOrders(1);
        stage.advanceTo(stage.now + millis);
        while (ledger.hasPending()) {
            ledger.commit(stage, true);
        }
    }

    private void advanceTo(CoordinatorHarness stage, double until) {
        while (stage.now < until) {
            step(stage, 2);
        }
    }

    /** Until then executors are asked: at one address it has run and no answer comes, at the other it never arrives. */
    private void answerInquiriesUntil(CoordinatorHarness stage, String ranAt, double until) {
        while (stage.now < until) {
            step(stage, 20);
            stage.answerInquiries(ranAt.equals(FIRST) ? SECOND : FIRST, InquiryScheduler.OutcomeReply.FENCED, 0);
            stage.answerInquiries(ranAt, InquiryScheduler.OutcomeReply.NOTHING, Double.NaN);
        }
    }

    private void assertNotForwardedAgain(CoordinatorHarness stage) {
        stage.forwards.clear();
        CoordinatorHarness.Client again = stage.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceTo(stage, stage.now + 20);
        assertEquals(0, stage.forwards.size(), "forwarded again long after its window");
        advanceTo(stage, stage.now + 1500);
        assertNotEquals("1 SHED", again.received());
    }

    /** The client hears nothing of its first forward, and asks again within the window. */
    private void runSecondInference(CoordinatorHarness stage, double sent) {
        stage.forwards.clear();
        stage.updateRoster(RosterUpdateKind.FULL, rosterEntry("s-1", FIRST, ExecutorState.DRAINING), rosterEntry("s-2", SECOND, ExecutorState.READY));
        CoordinatorHarness.Client client = stage.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceTo(stage, stage.now + 40);
        assertEquals("s-2", stage.forwards.get(0).endpoint.instance, "where the second life's forward went");
        advanceTo(stage, sent + 2700);
        assertEquals("1 FAILED", client.received());
    }

    /** A message before it, so that who is there has told its process. */
    private double runFirstInference(CoordinatorHarness stage) {
        stage.sendMessage("before", CoordinatorHarness.DEDUPED, 2);
        advanceTo(stage, START + 20);
        stage.endForward(stage.forwards.get(0), Outcome.RETURNED);
        advanceTo(stage, START + 30);
        stage.forwards.clear();
        stage.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceTo(stage, START + 50);
        assertEquals("s-1", stage.forwards.get(0).endpoint.instance);
        return stage.forwards.get(0).forward.sentAt;
    }

    @ParameterizedTest
    @ValueSource(strings = {FIRST, SECOND})
    void withoutARestart(String ranAt) {
        CoordinatorHarness stage = start(START, rosterEntry("s-1", FIRST, ExecutorState.READY));
        double sent = runFirstInference(stage);
        advanceTo(stage, sent + 1100);
        runSecondInference(stage, sent);
        answerInquiriesUntil(stage, ranAt, START + 12_000);
        assertNotForwardedAgain(stage);
    }

    @ParameterizedTest
    @ValueSource(strings = {FIRST, SECOND})
    void acrossARestart(String ranAt) {
        double sent = runFirstInference(start(START, rosterEntry("s-1", FIRST, ExecutorState.READY)));
        ledger.crash();
        CoordinatorHarness second = start(sent + 500, rosterEntry("s-1", FIRST, ExecutorState.DRAINING), rosterEntry("s-2", SECOND, ExecutorState.READY));
        second.sendMessage("warmer", CoordinatorHarness.DEDUPED, 3);
        advanceTo(second, sent + 540);
        second.forwards.forEach(flight -> second.endForward(flight, Outcome.RETURNED));
        runSecondInference(second, sent);
        answerInquiriesUntil(second, ranAt, START + 12_000);
        assertNotForwardedAgain(second);
    }
}
