package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import gradereach.api.ExecutorState;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.inquiry.InquiryScheduler;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A message may have several inferences with forwards of their own. A proof that the forwards of one never ran proves nothing
 * for another.
 */
class RepeatedInferenceInquiryTest {
    private static final double START = 100_000_000;
    private static final String FIRST_ADDRESS = "10.0.0.1:80";
    private static final String SECOND_ADDRESS = "10.0.0.2:80";
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private CoordinatorHarness start(double now, RosterEntry... entries) {
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        harness.now = now;
        harness.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE,
                (customer, id, promisedAt, attempts) -> null);
        harness.updateRoster(RosterUpdateKind.FULL, entries);
        return harness;
    }

    private static RosterEntry rosterEntry(String instance, String address, ExecutorState state) {
        return new RosterEntry(instance, address, 1, 0, state, 1, 0, 0);
    }

    private void step(CoordinatorHarness harness, double millis) {
        harness.answerLoadOrders(1);
        harness.advanceTo(harness.now + millis);
        while (ledger.hasPending()) {
            ledger.commit(harness, true);
        }
    }

    private void advanceTo(CoordinatorHarness harness, double until) {
        while (harness.now < until) {
            step(harness, 2);
        }
    }

    /** Advances to that time. The executor at {@code ranAt} ran the message and does not reply; the other never received it. */
    private void answerInquiriesUntil(CoordinatorHarness harness, String ranAt, double until) {
        while (harness.now < until) {
            step(harness, 20);
            harness.answerInquiries(ranAt.equals(FIRST_ADDRESS) ? SECOND_ADDRESS : FIRST_ADDRESS, InquiryScheduler.OutcomeReply.FENCED, 0);
            harness.answerInquiries(ranAt, InquiryScheduler.OutcomeReply.NOTHING, Double.NaN);
        }
    }

    private void assertNotForwardedAgain(CoordinatorHarness harness) {
        harness.forwards.clear();
        CoordinatorHarness.Client again = harness.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceTo(harness, harness.now + 20);
        assertEquals(0, harness.forwards.size(), "forwarded again long after its dedup window");
        advanceTo(harness, harness.now + 1500);
        assertNotEquals("1 SHED", again.received());
    }

    /** The client gets no answer for the first forward, and repeats its message within the dedup window. */
    private void runSecondInference(CoordinatorHarness harness, double firstSentAt) {
        harness.forwards.clear();
        harness.updateRoster(RosterUpdateKind.FULL, rosterEntry("s-1", FIRST_ADDRESS, ExecutorState.DRAINING),
                rosterEntry("s-2", SECOND_ADDRESS, ExecutorState.READY));
        CoordinatorHarness.Client client = harness.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceTo(harness, harness.now + 40);
        assertEquals("s-2", harness.forwards.get(0).endpoint.instance, "the second inference's executor");
        advanceTo(harness, firstSentAt + 2700);
        assertEquals("1 FAILED", client.received());
    }

    /** Runs another message first, so that the executor has reported its process number. */
    private double runFirstInference(CoordinatorHarness harness) {
        harness.sendMessage("before", CoordinatorHarness.DEDUPED, 2);
        advanceTo(harness, START + 20);
        harness.endForward(harness.forwards.get(0), Outcome.RETURNED);
        advanceTo(harness, START + 30);
        harness.forwards.clear();
        harness.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceTo(harness, START + 50);
        assertEquals("s-1", harness.forwards.get(0).endpoint.instance);
        return harness.forwards.get(0).forward.sentAt;
    }

    @ParameterizedTest
    @ValueSource(strings = {FIRST_ADDRESS, SECOND_ADDRESS})
    void unansweredForwardPreventsARepeatWithoutARestart(String ranAt) {
        CoordinatorHarness harness = start(START, rosterEntry("s-1", FIRST_ADDRESS, ExecutorState.READY));
        double firstSentAt = runFirstInference(harness);
        advanceTo(harness, firstSentAt + 1100);
        runSecondInference(harness, firstSentAt);
        answerInquiriesUntil(harness, ranAt, START + 12_000);
        assertNotForwardedAgain(harness);
    }

    @ParameterizedTest
    @ValueSource(strings = {FIRST_ADDRESS, SECOND_ADDRESS})
    void unansweredForwardPreventsARepeatAcrossARestart(String ranAt) {
        double firstSentAt = runFirstInference(start(START, rosterEntry("s-1", FIRST_ADDRESS, ExecutorState.READY)));
        ledger.crash();
        CoordinatorHarness second = start(firstSentAt + 500, rosterEntry("s-1", FIRST_ADDRESS, ExecutorState.DRAINING),
                rosterEntry("s-2", SECOND_ADDRESS, ExecutorState.READY));
        second.sendMessage("other", CoordinatorHarness.DEDUPED, 3);
        advanceTo(second, firstSentAt + 540);
        second.forwards.forEach(forward -> second.endForward(forward, Outcome.RETURNED));
        runSecondInference(second, firstSentAt);
        answerInquiriesUntil(second, ranAt, START + 12_000);
        assertNotForwardedAgain(second);
    }
}
