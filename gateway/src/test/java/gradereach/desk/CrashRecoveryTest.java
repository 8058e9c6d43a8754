package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
import gradereach.desk.CoordinatorHarness.Client;
import gradereach.inquiry.InquiryScheduler;
import gradereach.ledger.LedgerRecord;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One reservation, the process killed between any two steps of its way. */
class CrashRecoveryTest {
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private CoordinatorHarness start(double now) {
        CoordinatorHarness stage = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        stage.now = now;
        stage.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
        stage.updateRoster(RosterUpdateKind.FULL, CoordinatorHarness.rosterEntry(1, ExecutorState.READY, 0));
        return stage;
    }

    /** Lets the module get as far as it gets without a commit. */
    private static void advanceWithoutCommit(CoordinatorHarness stage) {
        for (int i = 0; i < 5; i++) {
            stage.answerLoadOrders(1);
            stage.advanceTo(stage.now + 2);
        }
    }

    /** What a client hears while it waits: knowledge, or at its time that there is none. */
    private static String receivedWithinTimeout(CoordinatorHarness stage, Client client) {
        stage.advanceTo(stage.now + 999);
        return client.received();
    }

    private static final List<String> STEPS = List.of("asked", "intent durable", "ran", "answer in", "outcome durable");

    @ParameterizedTest
    @CsvSource({
        // killed after so many steps; what the same message gets afterwards; runs in all
        "0, 1 RETURNED, 1", "1, 1 RETURNED, 1", "2, 1 FAILED, 0", "3, 1 FAILED, 1", "4, 1 FAILED, 1", "5, 1 RETURNED, 1",
    })
    void neverRunsTwiceWhenKilledBetweenAnyTwoSteps(int steps, String then, int runsInAll) {
        CoordinatorHarness first = start(1_000_000);
        int runs = 0;
        Client client = null;
        for (String step : STEPS.subList(0, steps)) {
            switch (step) {
                case "asked" -> {
                    client = first.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
                    advanceWithoutCommit(first);
                    assertEquals(0, first.forwards.size(), "it left before its intent was durable");
                }
                case "intent durable", "outcome durable" -> {
                    assertEquals(0, client.answers.size(), "an answer left before it was durable");
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
        for (InFlightForward flight : second.forwards) {
            runs++;
            second.endForward(flight, Outcome.RETURNED);
        }
        while (ledger.hasPending()) {
            ledger.commit(second, true);
        }
        assertEquals(then, receivedWithinTimeout(second, again));
        assertEquals(runsInAll, runs);
        if (client != null && !client.answers.isEmpty()) {
            assertEquals(new String(client.answers.get(0).body()), new String(again.answers.get(0).body()));
        }
        assertEquals("409 other-body", second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 2).received());
    }

    @ParameterizedTest
    @CsvSource({"FULL, again", "CONNECT_FAILED, again", "ERROR, recorded", "RESET, recorded"})
    void inferenceProvenNotToHaveRunMayRunAfterARestart(Outcome outcome, String what) {
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
        assertEquals(what.equals("again") ? "0" : client.received(), what.equals("again") ? again.received() : receivedWithinTimeout(second, again));
    }

    /** With a disk that fails, what needs it is shed before it is taken and the rest goes on. */
    @Test
    void failingDiskShedsOnlyWhatNeedsTheLedger() {
        CoordinatorHarness stage = start(1_000_000);
        Client caught = stage.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(stage);
        ledger.commit(stage, false);
        ledger.usable = false;
        Client later = stage.sendMessage("b", CoordinatorHarness.NON_RETRIABLE, 1);
        assertEquals("1 SHED", later.received());
        Client retriable = stage.sendMessage("c", CoordinatorHarness.RETRIABLE, 1);
        stage.endForward(stage.awaitForward(), Outcome.RETURNED);
        assertEquals("1 RETURNED", retriable.received());
        // The one whose intent failed never left.
        assertTrue(stage.forwards.stream().noneMatch(f -> f.inferenceState.messageId().equals("a")));
        stage.advanceTo(stage.now + 1100);
        while (ledger.hasPending()) {
            ledger.commit(stage, false);
        }
        assertEquals("1 SHED", caught.received());
    }

    /** A commit may take long: the module has that much less time, and the answer leaves in the client's. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 50, 300})
    void commitMarginShortensTheForwardDeadline(double margin) {
        ledger.margin = margin;
        CoordinatorHarness stage = start(1_000_000);
        double asked = stage.now;
        Client client = stage.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(stage);
        ledger.commit(stage, true);
        InFlightForward flight = stage.forwards.get(0);
        assertTrue(flight.deadline <= asked + 1000 - margin);
        while (!ledger.hasPending()) {
            stage.advanceTo(stage.now + 1);
        }
        assertTrue(stage.now <= asked + 1000 - margin, "decided at " + (stage.now - asked));
        stage.advanceTo(stage.now + margin * 0.9);
        ledger.commit(stage, true);
        assertEquals("1 FAILED", client.received());
        assertTrue(client.answeredAt <= asked + 1000);
    }

    /** A disk far slower than ever: the client is answered at its time, and once. */
    @Test
    void clientIsAnsweredAtItsDeadlineWithoutACommit() {
        CoordinatorHarness stage = start(1_000_000);
        double asked = stage.now;
        Client client = stage.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(stage);
        ledger.commit(stage, true);
        stage.endForward(stage.forwards.get(0), Outcome.RETURNED);
        stage.advanceTo(asked + 2000);
        assertEquals("1 RETURNED", client.received());
        assertEquals(asked + 1000, client.answeredAt, 1e-6);
        assertEquals(1, stage.counts.value("answers_sent_before_durable"));
        ledger.commit(stage, true);
        assertEquals(1, client.answers.size());
        assertEquals(0, stage.coordinator.openInferenceCount());
    }

    @Test
    void forwardCancelledBeforeSendingNeverRan() {
        CoordinatorHarness stage = start(1_000_000);
        Client client = stage.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(stage);
        stage.runBatch(stage.now, () -> stage.coordinator.onClientDisconnected(client.inferenceState, client));
        stage.advanceTo(stage.now + 1);
        ledger.commit(stage, true);
        assertEquals(0, stage.forwards.size());
        assertEquals(1, stage.counts.value("forwards_ended_never_sent"));
        assertEquals("0", stage.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1).received());
    }

    /** A damaged ledger may have lost a message: none from that time is taken for new, all others are. */
    @Test
    void ledgerDamageAffectsOnlyMessagesOfItsPeriod() {
        CoordinatorHarness stage = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        stage.coordinator.recover(ledger.replay(), stage.now, 600_000, CoordinatorHarness.GROUPS, (long) (stage.now / 1000), (c, i, of, t) -> null);
        stage.updateRoster(RosterUpdateKind.FULL, CoordinatorHarness.rosterEntry(1, ExecutorState.READY, 0));
        assertEquals("1 FAILED", stage.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1).received());
        assertEquals("0", stage.sendMessage("b", CoordinatorHarness.RETRIABLE, 1).received());
        stage.now += 2000;
        assertEquals("0", stage.sendMessage("c", CoordinatorHarness.NON_RETRIABLE, 1).received());
    }

    /** Forgotten for its age, then our clock is set back: the old signature would pass, the memory refuses it. */
    @Test
    void clockSetBackDoesNotReadmitExpiredMessages() {
        CoordinatorHarness stage = start(1_000_000);
        long signedAt = (long) (stage.now / 1000);
        Client first = stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        stage.advanceTo(stage.now + 1100);
        assertEquals(1, first.answers.size());
        stage.now += 601_000;
        stage.sendMessage("b", CoordinatorHarness.RETRIABLE, 1);
        Client replayed = stage.new Client();
        stage.runBatch(stage.now, () -> stage.coordinator.onMessage(new IncomingMessage(0, "a", 1, 0, CoordinatorHarness.model(CoordinatorHarness.RETRIABLE, 0), new InferenceInput(new byte[0], null),
                0, stage.now, signedAt, null, replayed)));
        assertEquals("400 too-old", replayed.received());
    }

    @Test
    void recoverySkipsCustomersAndGroupsNotInTheDeployment() {
        ledger.durable.add(new LedgerRecord.ForwardIntended("gone", "a", 999_000, 1, 0, "booking", "m", "e", "f"));
        ledger.durable.add(new LedgerRecord.ForwardIntended("yard", "b", 999_000, 1, 0, "no-group", "m", "e", "f"));
        ledger.durable.add(new LedgerRecord.ForwardIntended("yard", "c", 999_000, 1, 0, "booking", "m", "e", "f"));
        CoordinatorHarness stage = start(1_000_000);
        assertEquals(1, stage.messageStore.size());
        ledger.durable.add(new LedgerRecord.ForwardIntended("yard", "d", 1, 1, 0, "booking", "m", "e", "f"));
        assertEquals("1 FAILED", receivedWithinTimeout(stage, stage.sendMessage("c", CoordinatorHarness.NON_RETRIABLE, 1)));
        assertNull(stage.messageStore.find(0, "b"));
    }

    /** Killed after it may have run: the executor knows, and whoever asks from then on gets the true word. */
    @ParameterizedTest
    @CsvSource({"FINISHED, 0, 1 RETURNED, 1 RETURNED", "FENCED, 0, 1 SHED, 0", "FENCED, 9000000, 1 FAILED, 1 FAILED",
        "UNSEEN, 9000000, 1 FAILED, 1 FAILED", "UNSEEN, 0, 0, 0", "NOTHING, NaN, 0, 0"})
    void unknownOutcomeIsInquiredAfterARestart(InquiryScheduler.OutcomeReply told, double upSince, String whoWaited, String then) {
        CoordinatorHarness first = start(1_000_000);
        first.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithoutCommit(first);
        ledger.commit(first, true);
        String forward = first.forwards.get(0).forwardId();
        ledger.crash();
        CoordinatorHarness second = start(first.now + 6000);
        Client waiting = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        double asked = second.now;
        second.advanceTo(asked + 200);
        assertEquals("0", waiting.received());
        assertEquals(List.of("10.0.0.1:80 " + forward), second.inquiries);
        second.runBatch(second.now, () -> second.lastInquiry.onReply(told, upSince, "{}".getBytes()));
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertEquals(whoWaited, waiting.received());
        assertEquals(then, again.received());
        boolean unknownYet = whoWaited.equals("0");
        if (unknownYet) {
            // Nobody knows in time: "unknown" is said while its client still waits.
            second.advanceTo(asked + 999);
            assertEquals("1 FAILED", waiting.received());
        }
        // And it is durable: the next life knows without asking.
        while (ledger.hasPending()) {
            ledger.commit(second, true);
        }
        CoordinatorHarness third = start(second.now + 10);
        Client last = third.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        boolean goesOn = told == InquiryScheduler.OutcomeReply.FENCED && then.equals("0");
        assertEquals(unknownYet ? "1 FAILED" : then, goesOn ? last.received() : receivedWithinTimeout(third, last));
    }

    /** An answer by webhook was promised: after any restart there is one, and it is the true one. */
    @ParameterizedTest
    @CsvSource({"quick, intent, SHED", "booking, none, SHED", "booking, intent, RETURNED", "booking, not-run, SHED",
        "booking, answer, RETURNED", "booking, delivered, ''"})
    void promisedAnswerSurvivesARestart(String group, String until, String kind) {
        double at = 999_000;
        ledger.durable.add(new LedgerRecord.DeliveryPromised("yard", "p", at, 1, 0, group));
        if (!until.equals("none")) {
            ledger.durable.add(new LedgerRecord.ForwardIntended("yard", "p", at, 1, 0, group, "m", "10.0.0.1:80", "f"));
        }
        if (until.equals("not-run")) {
            ledger.durable.add(new LedgerRecord.ProvenNotRun("yard", "p", at));
        }
        if (until.equals("answer") || until.equals("delivered")) {
            ledger.durable.add(new LedgerRecord.Answered("yard", "p", at,
                    gradereach.message.FinalAnswer.returned("p", "m", "{}".getBytes(), java.time.Instant.EPOCH)));
            ledger.durable.add(new LedgerRecord.DeliveryAttempted("yard", "p", at, at, 1, until.equals("delivered")));
        }
        CoordinatorHarness stage = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        Client owed = stage.new Client();
        int[] tries = {-1};
        stage.coordinator.recover(ledger.replay(), stage.now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> {
            tries[0] = t;
            return owed;
        });
        stage.advanceTo(stage.now + 200);
        if (!stage.inquiries.isEmpty()) {
            assertEquals("0", owed.received());
            stage.runBatch(stage.now, () -> stage.lastInquiry.onReply(InquiryScheduler.OutcomeReply.FINISHED, 0, "{}".getBytes()));
        }
        assertEquals(kind.isEmpty() ? "0" : "1 " + kind, owed.received());
        assertEquals(until.equals("delivered") ? -1 : until.equals("answer") ? 1 : 0, tries[0]);
    }
}
