package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradereach.api.ExecutorState;
import gradereach.api.RosterUpdateKind;
import gradereach.inquiry.InquiryScheduler;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;

/** An executor that accepts every inquiry and replies to none must not delay the replies of other executors. */
class UnansweredInquiryTest {
    private static final double START = 100_000_000;
    private static final String SILENT_ADDRESS = "10.0.0.1:80";
    private static final String ANSWERING_ADDRESS = "10.0.0.2:80";
    /** As in the harness. */
    private static final int MAX_PENDING_INQUIRIES = 4;
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private CoordinatorHarness start(double now, RosterEntry... entries) {
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        harness.now = now;
        harness.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE,
                (customer, id, promisedAt, attempts) -> null);
        harness.updateRoster(RosterUpdateKind.FULL, entries);
        return harness;
    }

    private static RosterEntry rosterEntry(String address, ExecutorState state) {
        return new RosterEntry(address, 1, 0, state, 1, 0, 0);
    }

    private void advanceTo(CoordinatorHarness harness, double until) {
        while (harness.now < until) {
            harness.answerLoadOrders(1);
            harness.advanceTo(harness.now + 2);
            while (ledger.hasPending()) {
                ledger.commit(harness, true);
            }
            harness.answerInquiries(ANSWERING_ADDRESS, InquiryScheduler.OutcomeReply.FINISHED, 0);
        }
    }

    @Test
    void silentExecutorDoesNotBlockInquiriesToOthers() {
        CoordinatorHarness first = start(START, rosterEntry(SILENT_ADDRESS, ExecutorState.READY));
        for (int i = 0; i < MAX_PENDING_INQUIRIES; i++) {
            first.sendMessage("silent" + i, CoordinatorHarness.NON_RETRIABLE, 1);
        }
        advanceTo(first, START + 30);
        first.updateRoster(RosterUpdateKind.FULL, rosterEntry(SILENT_ADDRESS, ExecutorState.DRAINING),
                rosterEntry(ANSWERING_ADDRESS, ExecutorState.READY));
        first.sendMessage("known", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceTo(first, START + 60);
        assertEquals(MAX_PENDING_INQUIRIES + 1, first.forwards.size());
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, rosterEntry(SILENT_ADDRESS, ExecutorState.READY),
                rosterEntry(ANSWERING_ADDRESS, ExecutorState.READY));
        advanceTo(second, START + 20_000);
        CoordinatorHarness.Client client = second.sendMessage("known", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceTo(second, second.now + 10);
        assertEquals("1 RETURNED", client.received());
    }
}
