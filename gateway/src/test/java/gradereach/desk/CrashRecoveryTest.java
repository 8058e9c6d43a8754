package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorState;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.desk.CoordinatorHarness.Client;
import gradereach.inquiry.InquiryScheduler;
import gradereach.ledger.LedgerRecord;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Ledger recovery: the process is killed between any two steps of one repeat-restricted inference. */
class CrashRecoveryTest {
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private CoordinatorHarness start(double now) {
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        harness.now = now;
        harness.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE,
                (customer, id, promisedAt, attempts) -> null);
        harness.updateRoster(RosterUpdateKind.FULL, CoordinatorHarness.rosterEntry(1, ExecutorState.READY, 0));
        return harness;
    }

    /** Lets the router act as far as possible without a commit. */
    private static void advanceWithoutCommit(CoordinatorHarness harness) {
        for (int i = 0; i < 5; i++) {
            harness.answerLoadOrders(1);
            harness.advanceTo(harness.now + 2);
        }
    }

    /** What a client receives until its deadline: the known outcome, or that the outcome is unknown. */
    private static String receivedWithinTimeout(CoordinatorHarness harness, Client client) {
        harness.advanceTo(harness.now + 999);
        return client.received();
    }

    private static final List<String> STEPS = List.of("asked", "intent durable", "ran", "answer received", "outcome durable");

    @ParameterizedTest
    @CsvSource({
        // killed after that number of steps, result of the repeated message, total number of runs
        "0, 1 RETURNED, 1", "1, 1 RETURNED, 1", "2, 1 FAILED, 0", "3, 1 FAILED, 1", "4, 1 FAILED, 1", "5, 1 RETURNED, 1",
    })
    void neverRunsTwiceWhenKilledBetweenAnyTwoSteps(int steps, String repeatExpected, int totalRuns) {
        CoordinatorHarness first = start(1_000_000);
        int runs = 0;
        Client client = null;
        for (String step : STEPS.subList(0, steps)) {
            switch (step) {
                case "asked" -> {
                    client = first.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
                    advanceWithoutCommit(first);
                    assertEquals(0, first.forwards.size(), "it was sent before its intent was durable");
                }
                case "intent durable", "outcome durable" -> {
                    assertEquals(0, client.answers.size(), "an answer was delivered before it was durable");
                    ledger.commit(first, true);
                }
                case "ran" -> runs += first.forwards.size();
                default -> first.endForward(first.forwards.get(0), Outcome.RETURNED);
            }
        }
        ledger.crash();
        CoordinatorHarness second = start(first.now + 100);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(second);
        while (ledger.hasPending()) {
            ledger.commit(second, true);
            advanceWithoutCommit(second);
        }
        for (InFlightForward forward : second.forwards) {
            runs++;
            second.endForward(forward, Outcome.RETURNED);
        }
        while (ledger.hasPending()) {
            ledger.commit(second, true);
        }
        assertEquals(repeatExpected, receivedWithinTimeout(second, again));
        assertEquals(totalRuns, runs);
        if (client != null && !client.answers.isEmpty()) {
            assertEquals(new String(client.answers.get(0).body()), new String(again.answers.get(0).body()));
        }
        assertEquals("409 other-body", second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 2).received());
    }

    @ParameterizedTest
    @CsvSource({"FULL, again", "CONNECT_FAILED, again", "ERROR, recorded", "RESET, recorded"})
    void inferenceProvenNotToHaveRunMayRunAfterARestart(Outcome outcome, String expected) {
        CoordinatorHarness first = start(1_000_000);
        Client client = first.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(first);
        ledger.commit(first, true);
        first.updateRoster(RosterUpdateKind.FULL);
        first.endForward(first.forwards.get(0), outcome);
        while (client.answers.isEmpty()) {
            first.advanceTo(first.now + 10);
            if (ledger.hasPending()) {
                ledger.commit(first, true);
            }
        }
        ledger.crash();
        CoordinatorHarness second = start(first.now + 100);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertEquals(expected.equals("again") ? "0" : client.received(), expected.equals("again") ? again.received()
                : receivedWithinTimeout(second, again));
    }

    /** With a failing disk, messages that need the ledger are shed before acceptance; all others are served. */
    @Test
    void failingDiskShedsOnlyWhatNeedsTheLedger() {
        CoordinatorHarness harness = start(1_000_000);
        Client intentFailed = harness.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(harness);
        ledger.commit(harness, false);
        ledger.writable = false;
        Client later = harness.sendMessage("b", CoordinatorHarness.NON_RETRIABLE, 1);
        assertEquals("1 SHED", later.received());
        Client retriable = harness.sendMessage("c", CoordinatorHarness.RETRIABLE, 1);
        harness.endForward(harness.awaitForward(), Outcome.RETURNED);
        assertEquals("1 RETURNED", retriable.received());
        // The forward whose intent could not be recorded was never sent.
        assertTrue(harness.forwards.stream().noneMatch(forward -> forward.inferenceState.messageId().equals("a")));
        harness.advanceTo(harness.now + 1100);
        while (ledger.hasPending()) {
            ledger.commit(harness, false);
        }
        assertEquals("1 SHED", intentFailed.received());
    }

    /** A commit may take long: the router's deadline is earlier by that time, and the answer is delivered by the client's deadline. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 50, 300})
    void commitMarginShortensTheForwardDeadline(double margin) {
        ledger.commitMarginMillis = margin;
        CoordinatorHarness harness = start(1_000_000);
        double sentAt = harness.now;
        Client client = harness.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(harness);
        ledger.commit(harness, true);
        InFlightForward forward = harness.forwards.get(0);
        assertTrue(forward.deadline <= sentAt + 1000 - margin);
        while (!ledger.hasPending()) {
            harness.advanceTo(harness.now + 1);
        }
        assertTrue(harness.now <= sentAt + 1000 - margin, "decided after " + (harness.now - sentAt));
        harness.advanceTo(harness.now + margin * 0.9);
        ledger.commit(harness, true);
        assertEquals("1 FAILED", client.received());
        assertTrue(client.answeredAt <= sentAt + 1000);
    }

    /** A disk that is much slower than the commit margin: the client is answered once, at its deadline. */
    @Test
    void clientIsAnsweredAtItsDeadlineWithoutACommit() {
        CoordinatorHarness harness = start(1_000_000);
        double sentAt = harness.now;
        Client client = harness.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(harness);
        ledger.commit(harness, true);
        harness.endForward(harness.forwards.get(0), Outcome.RETURNED);
        harness.advanceTo(sentAt + 2000);
        assertEquals("1 RETURNED", client.received());
        assertEquals(sentAt + 1000, client.answeredAt, 1e-6);
        assertEquals(1, harness.counts.value("answers_sent_before_durable"));
        ledger.commit(harness, true);
        assertEquals(1, client.answers.size());
        assertEquals(0, harness.coordinator.openInferenceCount());
    }

    @Test
    void forwardCancelledBeforeSendingNeverRan() {
        CoordinatorHarness harness = start(1_000_000);
        Client client = harness.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(harness);
        harness.runBatch(harness.now, () -> harness.coordinator.onClientDisconnected(client.inferenceState, client));
        harness.advanceTo(harness.now + 1);
        ledger.commit(harness, true);
        assertEquals(0, harness.forwards.size());
        assertEquals(1, harness.counts.value("forwards_ended_never_sent"));
        assertEquals("0", harness.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1).received());
    }

    /** A damaged ledger may have lost messages: those signed in the damaged period are not accepted as new, all others are. */
    @Test
    void ledgerDamageAffectsOnlyMessagesOfItsPeriod() {
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        harness.coordinator.recover(ledger.replay(), harness.now, 600_000, CoordinatorHarness.GROUPS, (long) (harness.now / 1000),
                (customer, id, promisedAt, attempts) -> null);
        harness.updateRoster(RosterUpdateKind.FULL, CoordinatorHarness.rosterEntry(1, ExecutorState.READY, 0));
        assertEquals("1 FAILED", harness.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1).received());
        assertEquals("0", harness.sendMessage("b", CoordinatorHarness.RETRIABLE, 1).received());
        harness.now += 2000;
        assertEquals("0", harness.sendMessage("c", CoordinatorHarness.NON_RETRIABLE, 1).received());
    }

    /** A message has expired, then the clock is set back: its old signature would be valid again, but the message store rejects it. */
    @Test
    void clockSetBackDoesNotReadmitExpiredMessages() {
        CoordinatorHarness harness = start(1_000_000);
        long signedAt = (long) (harness.now / 1000);
        Client first = harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        harness.advanceTo(harness.now + 1100);
        assertEquals(1, first.answers.size());
        harness.now += 601_000;
        harness.sendMessage("b", CoordinatorHarness.RETRIABLE, 1);
        Client replayed = harness.new Client();
        harness.runBatch(harness.now, () -> harness.coordinator.onMessage(new IncomingMessage(0, "a", 1, 0,
                CoordinatorHarness.model(CoordinatorHarness.RETRIABLE, 0), new InferenceInput(new byte[0], null),
                0, harness.now, signedAt, null, replayed)));
        assertEquals("400 too-old", replayed.received());
    }

    @Test
    void recoverySkipsCustomersAndGroupsNotInTheDeployment() {
        ledger.durable.add(new LedgerRecord.ForwardIntended("gone", "a", 999_000, 1, 0, "non-retriable", "m", "e", "f"));
        ledger.durable.add(new LedgerRecord.ForwardIntended("yard", "b", 999_000, 1, 0, "no-group", "m", "e", "f"));
        ledger.durable.add(new LedgerRecord.ForwardIntended("yard", "c", 999_000, 1, 0, "non-retriable", "m", "e", "f"));
        CoordinatorHarness harness = start(1_000_000);
        assertEquals(1, harness.messageStore.size());
        ledger.durable.add(new LedgerRecord.ForwardIntended("yard", "d", 1, 1, 0, "non-retriable", "m", "e", "f"));
        assertEquals("1 FAILED", receivedWithinTimeout(harness, harness.sendMessage("c", CoordinatorHarness.NON_RETRIABLE, 1)));
        assertNull(harness.messageStore.find(0, "b"));
    }

    /** Killed after the inference may have run: the executor knows the outcome, and a repeat gets it. */
    @ParameterizedTest
    @CsvSource({"FINISHED, 0, 1 RETURNED, 1 RETURNED", "FENCED, 0, 1 SHED, 0", "FENCED, 9000000, 1 FAILED, 1 FAILED",
        "UNSEEN, 9000000, 1 FAILED, 1 FAILED", "UNSEEN, 0, 0, 0", "NOTHING, NaN, 0, 0"})
    void unknownOutcomeIsInquiredAfterARestart(InquiryScheduler.OutcomeReply reply, double processNumber, String waitingExpected,
            String repeatExpected) {
        CoordinatorHarness first = start(1_000_000);
        first.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(first);
        ledger.commit(first, true);
        String forwardId = first.forwards.get(0).forwardId();
        ledger.crash();
        CoordinatorHarness second = start(first.now + 6000);
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        double repeatedAt = second.now;
        second.advanceTo(repeatedAt + 200);
        assertEquals("0", waiting.received());
        assertEquals(List.of("10.0.0.1:80 " + forwardId), second.inquiries);
        second.runBatch(second.now, () -> second.lastInquiry.onReply(reply, processNumber, "{}".getBytes()));
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertEquals(waitingExpected, waiting.received());
        assertEquals(repeatExpected, again.received());
        boolean stillUnknown = waitingExpected.equals("0");
        if (stillUnknown) {
            // No reply in time: the client is told that the outcome is unknown while it still waits.
            second.advanceTo(repeatedAt + 999);
            assertEquals("1 FAILED", waiting.received());
        }
        // The outcome is durable: after another restart it is known without an inquiry.
        while (ledger.hasPending()) {
            ledger.commit(second, true);
        }
        CoordinatorHarness third = start(second.now + 10);
        Client last = third.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        boolean runsAgain = reply == InquiryScheduler.OutcomeReply.FENCED && repeatExpected.equals("0");
        assertEquals(stillUnknown ? "1 FAILED" : repeatExpected, runsAgain ? last.received() : receivedWithinTimeout(third, last));
    }

    /** An answer by webhook was promised: it is delivered after a restart, with the correct outcome. */
    @ParameterizedTest
    @CsvSource({"retriable, intent, SHED", "non-retriable, none, SHED", "non-retriable, intent, RETURNED", "non-retriable, not-run, SHED",
        "non-retriable, answer, RETURNED", "non-retriable, delivered, ''"})
    void promisedAnswerSurvivesARestart(String group, String lastRecord, String kind) {
        double recordedAt = 999_000;
        ledger.durable.add(new LedgerRecord.DeliveryPromised("yard", "p", recordedAt, 1, 0, group));
        if (!lastRecord.equals("none")) {
            ledger.durable.add(new LedgerRecord.ForwardIntended("yard", "p", recordedAt, 1, 0, group, "m", "10.0.0.1:80", "f"));
        }
        if (lastRecord.equals("not-run")) {
            ledger.durable.add(new LedgerRecord.ProvenNotRun("yard", "p", recordedAt));
        }
        if (lastRecord.equals("answer") || lastRecord.equals("delivered")) {
            ledger.durable.add(new LedgerRecord.Answered("yard", "p", recordedAt,
                    gradereach.message.FinalAnswer.returned("p", "m", "{}".getBytes(), java.time.Instant.EPOCH)));
            ledger.durable.add(new LedgerRecord.DeliveryAttempted("yard", "p", recordedAt, recordedAt, 1, lastRecord.equals("delivered")));
        }
        CoordinatorHarness harness = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        Client promised = harness.new Client();
        int[] deliveryAttempts = {-1};
        harness.coordinator.recover(ledger.replay(), harness.now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE,
                (customer, id, promisedAt, attempts) -> {
            deliveryAttempts[0] = attempts;
            return promised;
        });
        harness.advanceTo(harness.now + 200);
        if (!harness.inquiries.isEmpty()) {
            assertEquals("0", promised.received());
            harness.runBatch(harness.now, () -> harness.lastInquiry.onReply(InquiryScheduler.OutcomeReply.FINISHED, 0, "{}".getBytes()));
        }
        assertEquals(kind.isEmpty() ? "0" : "1 " + kind, promised.received());
        assertEquals(lastRecord.equals("delivered") ? -1 : lastRecord.equals("answer") ? 1 : 0, deliveryAttempts[0]);
    }
}
