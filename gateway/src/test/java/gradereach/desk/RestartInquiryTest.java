package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorState;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.desk.CoordinatorHarness.Client;
import gradereach.inquiry.InquiryScheduler;
import gradereach.message.FinalAnswer;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Outcome inquiries after a restart of the front end: which executor is asked, and which clocks count. The process to which
 * the forward was sent reports process number 0, any other process another number. Real numbers are random; some tests use a
 * process's start time by its own clock, since no order of the numbers may prove anything. {@code CoordinatorHarness.now} is
 * the real time.
 */
class RestartInquiryTest {
    private static final double START = 100_000_000;
    private static final String ADDRESS = "10.0.0.1:80";
    private static final RosterEntry TARGET_ENTRY = rosterEntry("s-1", ADDRESS);
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private static RosterEntry rosterEntry(String instance, String address) {
        return new RosterEntry(instance, address, 1, 0, ExecutorState.READY, 1, 0, 0);
    }

    private CoordinatorHarness start(double now, double clockOffset, RosterEntry... entries) {
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        harness.now = now;
        harness.wallClockOffset = clockOffset;
        harness.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE,
                (customer, id, promisedAt, attempts) -> null);
        harness.updateRoster(RosterUpdateKind.FULL, entries);
        return harness;
    }

    /** Advances 20 milliseconds with a disk that commits at once. */
    private void advanceWithCommits(CoordinatorHarness harness) {
        for (int i = 0; i < 10; i++) {
            step(harness, 2);
        }
    }

    private void step(CoordinatorHarness harness, double millis) {
        harness.answerLoadOrders(1);
        harness.advanceTo(harness.now + millis);
        while (ledger.hasPending()) {
            ledger.commit(harness, true);
        }
    }

    /** A front end whose only forward was sent at START. */
    private CoordinatorHarness startWithOpenForward(ModelGroup group, double clockOffset, RosterEntry target) {
        CoordinatorHarness harness = start(START, clockOffset, target);
        harness.sendMessage("a", group, 1);
        advanceWithCommits(harness);
        assertEquals(1, harness.forwards.size(), "the forward was not sent");
        return harness;
    }

    /** Advances to that time; the executor at the address answers all inquiries with this reply. */
    private void answerInquiriesUntil(CoordinatorHarness harness, double end, InquiryScheduler.OutcomeReply reply, double processNumber) {
        while (harness.now < end) {
            step(harness, 50);
            harness.answerInquiries(ADDRESS, reply, processNumber);
        }
    }

    private void assertNotRunAgain(CoordinatorHarness harness, Client... clients) {
        advanceWithCommits(harness);
        assertEquals(List.of(), harness.forwards.stream().map(forward -> forward.endpoint.instance + " " + forward.forwardId()).toList(),
                "forwarded again");
        for (Client client : clients) {
            assertNotEquals("1 SHED", client.received());
            assertTrue(client.answers.stream().noneMatch(FinalAnswer::repeatHarmless), client.received() + " with a harmless repeat");
        }
    }

    /** Another instance is at the address to which the forward was sent: it knows nothing of it, however long it has been up. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, 0", "UNSEEN, 500", "UNSEEN, 99999999", "UNSEEN, 100003000", "UNSEEN, NaN",
        "FENCED, 0", "FENCED, 500", "FENCED, 99999999", "FENCED, 100003000", "FENCED, NaN"})
    void anotherInstanceAtTheAddressProvesNothing(InquiryScheduler.OutcomeReply reply, double processNumber) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, 0, rosterEntry("s-other", ADDRESS));
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 18_000, reply, processNumber);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 20_000, reply, processNumber);
        assertNotRunAgain(second, waiting, again);
        assertEquals("1 FAILED", again.received());
    }

    /** The executor restarted three seconds after the intent was recorded, and has never seen the forward. */
    @ParameterizedTest
    @CsvSource({
        // reply, this front end's clock error at the intent and after the restart, the executor's clock error
        "UNSEEN, 3600000, 3600000, 0", "UNSEEN, 10000, 0, 0", "UNSEEN, 0, 0, -7000", "UNSEEN, -3600000, -3600000, -3700000",
        "UNSEEN, 0, 0, 0", "UNSEEN, -10000, -10000, 0", "FENCED, 3600000, 3600000, 0", "FENCED, 10000, 0, 0",
        "FENCED, 0, 0, -7000", "FENCED, -3600000, -3600000, -3700000", "FENCED, 0, 0, 0", "FENCED, -10000, -10000, 0",
    })
    void processStartedLaterProvesNothingWhateverTheClocksShow(InquiryScheduler.OutcomeReply reply, double clockErrorBefore,
            double clockErrorAfter, double executorClockError) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, clockErrorBefore, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, clockErrorAfter, TARGET_ENTRY);
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 25_000, reply, START + 3000 + executorClockError);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 27_000, reply, START + 3000 + executorClockError);
        assertNotRunAgain(second, waiting, again);
        assertEquals("1 FAILED", again.received());
    }

    /** A forward that timed out without a restart is inquired as well. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, s-other, 0, 500", "UNSEEN, s-1, 10000, 3000", "UNSEEN, s-1, 0, -7000",
        "FENCED, s-other, 0, 500", "FENCED, s-1, 10000, 3000", "FENCED, s-1, 0, -7000"})
    void laterProcessProvesNothingWithoutARestart(InquiryScheduler.OutcomeReply reply, String laterInstance, double clockErrorAfter,
            double processNumber) {
        CoordinatorHarness harness = startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, TARGET_ENTRY);
        answerInquiriesUntil(harness, START + 1500, InquiryScheduler.OutcomeReply.NOTHING, 0);
        harness.updateRoster(RosterUpdateKind.FULL);
        harness.wallClockOffset = clockErrorAfter;
        harness.updateRoster(RosterUpdateKind.FULL, rosterEntry(laterInstance, ADDRESS));
        harness.forwards.clear();
        answerInquiriesUntil(harness, START + 20_000, reply, laterInstance.equals("s-other") ? processNumber : START + processNumber);
        Client again = harness.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertNotRunAgain(harness, again);
        assertEquals("1 FAILED", again.received());
    }

    /** A minute later the same process has discarded the outcome (after 30 s), though no time has passed by this front end's clock. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, 0, -60000", "UNSEEN, 60000, 0", "UNSEEN, 30000, -30000",
        "FENCED, 0, -60000", "FENCED, 60000, 0", "FENCED, 30000, -30000"})
    void processProvesNothingOnceItsOutcomeRetentionIsOver(InquiryScheduler.OutcomeReply reply, double clockErrorBefore,
            double clockErrorAfter) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, clockErrorBefore, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 60_000, clockErrorAfter, TARGET_ENTRY);
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 75_000, reply, 0);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 77_000, reply, 0);
        assertNotRunAgain(second, waiting, again);
    }

    /** The dedup window (1.5 s) has closed in real time, though not by this front end's clock. */
    @ParameterizedTest
    @CsvSource({"0, -10000, 10000", "10000, 0, 6000", "0, -1400, 2000"})
    void closedDedupWindowStaysClosedWhateverTheClockShows(double clockErrorBefore, double clockErrorAfter, double delay) {
        startWithOpenForward(CoordinatorHarness.DEDUPED, clockErrorBefore, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + delay, clockErrorAfter, TARGET_ENTRY);
        Client again = second.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        answerInquiriesUntil(second, START + delay + 2000, InquiryScheduler.OutcomeReply.NOTHING, 0);
        assertNotRunAgain(second, again);
        assertEquals("1 FAILED", again.received());
    }

    @Test
    void openDedupWindowIsUsedAfterARestart() {
        startWithOpenForward(CoordinatorHarness.DEDUPED, 0, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 200, 0, TARGET_ENTRY);
        second.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceWithCommits(second);
        assertEquals(1, second.forwards.size());
    }

    /** A reply of the process to which the forward was sent counts, whatever this front end's clock shows. */
    @ParameterizedTest
    @CsvSource({"FINISHED, 0, 0", "FENCED, 0, 0", "FENCED, 3600000, 3600000", "FENCED, 20000, 0", "FINISHED, 20000, 0"})
    void replyOfTheTargetProcessCountsWhateverTheClockShows(InquiryScheduler.OutcomeReply reply, double clockErrorBefore,
            double clockErrorAfter) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, clockErrorBefore, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, clockErrorAfter, TARGET_ENTRY);
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 17_000, reply, 0);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithCommits(second);
        if (reply == InquiryScheduler.OutcomeReply.FINISHED) {
            assertEquals("1 RETURNED 1 RETURNED", waiting.received() + " " + again.received());
        }
        assertEquals(reply == InquiryScheduler.OutcomeReply.FINISHED ? 0 : 1, second.forwards.size(),
                waiting.received() + ", " + again.received());
    }

    /** A process that had not seen the forward when it was asked may have seen it before its reply arrived. */
    @Test
    void inquiryReplyCountsAsOfTheTimeItWasSent() {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 100, 0, TARGET_ENTRY);
        second.advanceTo(START + 5500);
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        second.answerInquiries(ADDRESS, InquiryScheduler.OutcomeReply.UNSEEN, 0); // the inquiry was sent at START + 200
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertNotRunAgain(second, waiting, again);
    }

    /** The process has not seen the forward and does not promise to reject it, so it may still read it later. */
    @ParameterizedTest
    @ValueSource(doubles = {6000, 12_000, 29_000})
    void unseenProvesNothingWithoutAFence(double lastReplyAfter) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 100, 0, TARGET_ENTRY);
        answerInquiriesUntil(second, START + lastReplyAfter - 500, InquiryScheduler.OutcomeReply.UNSEEN, 0);
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + lastReplyAfter, InquiryScheduler.OutcomeReply.UNSEEN, 0);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertNotRunAgain(second, waiting, again);
    }

    /** The intent waited for the disk, so the forward was sent 900 ms later and may arrive up to five seconds after that. */
    @Test
    void forwardMayArriveForFiveSecondsAfterItWasSent() {
        CoordinatorHarness first = start(START, 0, TARGET_ENTRY);
        first.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        first.answerLoadOrders(1);
        first.advanceTo(START + 900);
        first.answerLoadOrders(1);
        while (ledger.hasPending()) {
            ledger.commit(first, true);
        }
        assertEquals(1, first.forwards.size(), "the forward was not sent");
        ledger.crash();
        CoordinatorHarness second = start(START + 1200, 0, TARGET_ENTRY);
        answerInquiriesUntil(second, START + 4900, InquiryScheduler.OutcomeReply.UNSEEN, 0);
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 5850, InquiryScheduler.OutcomeReply.UNSEEN, 0);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertNotRunAgain(second, waiting, again);
    }

    /** The next inference of the message is forwarded to another executor: each forward is inquired at its own executor. */
    @ParameterizedTest
    @ValueSource(strings = {"UNSEEN", "FENCED"})
    void forwardsOfTwoInferencesAreInquiredSeparately(InquiryScheduler.OutcomeReply reply) {
        startWithOpenForward(CoordinatorHarness.DEDUPED, 0, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 200, 0, rosterEntry("s-2", "10.0.0.2:80"));
        second.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceWithCommits(second);
        assertEquals("s-2", second.forwards.get(0).endpoint.instance);
        ledger.crash();
        CoordinatorHarness third = start(START + 6000, 0, TARGET_ENTRY, rosterEntry("s-2", "10.0.0.2:80"));
        Client waiting = third.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        answerInquiriesUntil(third, START + 16_000, reply, 0);
        Client again = third.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        assertNotRunAgain(third, waiting, again);
    }

    /** An executor that is only asked does not become a listed one. */
    @ParameterizedTest
    @ValueSource(strings = {"s-1", "s-other"})
    void inquiriesAddNoEndpoints(String laterInstance) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, TARGET_ENTRY);
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, 0, rosterEntry(laterInstance, ADDRESS));
        answerInquiriesUntil(second, START + 40_000, InquiryScheduler.OutcomeReply.NOTHING, 0);
        assertEquals(List.of(laterInstance), second.coordinator.endpoints().stream().map(endpoint -> endpoint.instance).toList());
    }

    /** The clock is an hour ahead at the restart and is corrected after it: the same message is still not a new one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void messageExpiredByAWrongClockIsNotAcceptedAsNew(boolean answered) {
        CoordinatorHarness first = startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, TARGET_ENTRY);
        if (answered) {
            first.endForward(first.forwards.get(0), Outcome.RETURNED);
            ledger.commit(first, true);
        }
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, 3_600_000, TARGET_ENTRY);
        second.wallClockOffset = 0;
        Client replayed = second.new Client();
        second.runBatch(second.now, () -> second.coordinator.onMessage(new IncomingMessage(0, "a", 1, 0,
                CoordinatorHarness.model(CoordinatorHarness.NON_RETRIABLE, 0), new InferenceInput(new byte[0], null), 0, second.now,
                (long) (START / 1000), null, replayed)));
        answerInquiriesUntil(second, START + 8000, InquiryScheduler.OutcomeReply.NOTHING, 0);
        advanceWithCommits(second);
        assertEquals(0, second.forwards.size(), "forwarded again");
        assertFalse(replayed.received().endsWith("SHED"), replayed.received());
    }
}
