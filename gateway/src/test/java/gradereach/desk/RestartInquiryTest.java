package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
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
 * Whom a front end asks after its restart what became of a forward, and whose clock it believes. The process that was
 * sent the forward says that it is up since 0, any other process something else; {@code Stage.now} is the real time.
 */
class RestartInquiryTest {
    private static final double START = 100_000_000;
    private static final String ADDRESS = "10.0.0.1:80";
    private static final RosterEntry SENT_TO = rosterEntry("s-1", ADDRESS);
    private final ManualCommitLedger ledger = new ManualCommitLedger();

    private static RosterEntry rosterEntry(String instance, String address) {
        return new RosterEntry(instance, address, 1, 0, ExecutorState.READY, 1, 0, 0);
    }

    private CoordinatorHarness start(double now, double wallStep, RosterEntry... lines) {
        CoordinatorHarness stage = new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity(), ledger, ClaimService.ALONE);
        stage.now = now;
        stage.wallClockOffset = wallStep;
        stage.coordinator.recover(ledger.replay(), now, 600_000, CoordinatorHarness.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
        stage.updateRoster(RosterUpdateKind.FULL, lines);
        return stage;
    }

    /** As far as it gets with a disk that commits at once. */
    private void advanceWithCommits(CoordinatorHarness stage) {
        for (int i = 0; i < 10; i++) {
            step(stage, 2);
        }
    }

    private void step(CoordinatorHarness stage, double millis) {
        stage.answerLoadOrders(1);
        stage.advanceTo(stage.now + millis);
        while (ledger.hasPending()) {
            ledger.commit(stage, true);
        }
    }

    /** A front end whose one forward is out, at T. */
    private CoordinatorHarness startWithOpenForward(ModelGroup group, double wallStep, RosterEntry to) {
        CoordinatorHarness stage = start(START, wallStep, to);
        stage.sendMessage("a", group, 1);
        advanceWithCommits(stage);
        assertEquals(1, stage.forwards.size(), "its forward did not leave");
        return stage;
    }

    /** Time passes; who is at that address and is asked says this. */
    private void answerInquiriesUntil(CoordinatorHarness stage, double until, InquiryScheduler.OutcomeReply what, double upSince) {
        while (stage.now < until) {
            step(stage, 50);
            stage.answerInquiries(ADDRESS, what, upSince);
        }
    }

    private void assertNotRunAgain(CoordinatorHarness stage, Client... clients) {
        advanceWithCommits(stage);
        assertEquals(List.of(), stage.forwards.stream().map(f -> f.endpoint.instance + " " + f.forwardId()).toList(), "forwarded again");
        for (Client client : clients) {
            assertNotEquals("1 SHED", client.received());
            assertTrue(client.answers.stream().noneMatch(FinalAnswer::repeatHarmless), client.received() + " with a harmless repeat");
        }
    }

    /** Another instance stands where the forward went: it knows nothing of it, however long it runs. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, 0", "UNSEEN, 500", "UNSEEN, 99999999", "UNSEEN, 100003000", "UNSEEN, NaN",
        "FENCED, 0", "FENCED, 500", "FENCED, 99999999", "FENCED, 100003000", "FENCED, NaN"})
    void anotherInstanceAtTheAddressProvesNothing(InquiryScheduler.OutcomeReply what, double upSince) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, 0, rosterEntry("s-other", ADDRESS));
        Client waits = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 18_000, what, upSince);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 20_000, what, upSince);
        assertNotRunAgain(second, waits, again);
        assertEquals("1 FAILED", again.received());
    }

    /** The executor restarted three seconds after the intention, and has never seen it. */
    @ParameterizedTest
    @CsvSource({
        // our clock's error as it is intended and after our restart, the executor's clock's error
        "UNSEEN, 3600000, 3600000, 0", "UNSEEN, 10000, 0, 0", "UNSEEN, 0, 0, -7000", "UNSEEN, -3600000, -3600000, -3700000",
        "UNSEEN, 0, 0, 0", "UNSEEN, -10000, -10000, 0", "FENCED, 3600000, 3600000, 0", "FENCED, 10000, 0, 0",
        "FENCED, 0, 0, -7000", "FENCED, -3600000, -3600000, -3700000", "FENCED, 0, 0, 0", "FENCED, -10000, -10000, 0",
    })
    void processStartedLaterProvesNothingWhateverTheClocksShow(InquiryScheduler.OutcomeReply what, double before, double after,
            double executors) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, before, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, after, SENT_TO);
        Client waits = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 25_000, what, START + 3000 + executors);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 27_000, what, START + 3000 + executors);
        assertNotRunAgain(second, waits, again);
        assertEquals("1 FAILED", again.received());
    }

    /** A forward that this life gave up on is asked about as well. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, s-other, 0, 500", "UNSEEN, s-1, 10000, 3000", "UNSEEN, s-1, 0, -7000",
        "FENCED, s-other, 0, 500", "FENCED, s-1, 10000, 3000", "FENCED, s-1, 0, -7000"})
    void laterProcessProvesNothingWithoutARestart(InquiryScheduler.OutcomeReply what, String thenThere, double after, double upSince) {
        CoordinatorHarness stage = startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, SENT_TO);
        answerInquiriesUntil(stage, START + 1500, InquiryScheduler.OutcomeReply.NOTHING, 0);
        stage.updateRoster(RosterUpdateKind.FULL);
        stage.wallClockOffset = after;
        stage.updateRoster(RosterUpdateKind.FULL, rosterEntry(thenThere, ADDRESS));
        stage.forwards.clear();
        answerInquiriesUntil(stage, START + 20_000, what, thenThere.equals("s-other") ? upSince : START + upSince);
        Client again = stage.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertNotRunAgain(stage, again);
        assertEquals("1 FAILED", again.received());
    }

    /** A minute later the same process has forgotten (after 30 s), though by our clock no time has passed. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, 0, -60000", "UNSEEN, 60000, 0", "UNSEEN, 30000, -30000",
        "FENCED, 0, -60000", "FENCED, 60000, 0", "FENCED, 30000, -30000"})
    void processProvesNothingOnceItsOutcomeRetentionIsOver(InquiryScheduler.OutcomeReply what, double before, double after) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, before, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 60_000, after, SENT_TO);
        Client waits = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 75_000, what, 0);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 77_000, what, 0);
        assertNotRunAgain(second, waits, again);
    }

    /** Its window (1.5 s) has closed by real time, though not by our clock. */
    @ParameterizedTest
    @CsvSource({"0, -10000, 10000", "10000, 0, 6000", "0, -1400, 2000"})
    void closedDedupWindowStaysClosedWhateverTheClockShows(double before, double after, double later) {
        startWithOpenForward(CoordinatorHarness.DEDUPED, before, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + later, after, SENT_TO);
        Client again = second.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        answerInquiriesUntil(second, START + later + 2000, InquiryScheduler.OutcomeReply.NOTHING, 0);
        assertNotRunAgain(second, again);
        assertEquals("1 FAILED", again.received());
    }

    @Test
    void openDedupWindowIsUsedAfterARestart() {
        startWithOpenForward(CoordinatorHarness.DEDUPED, 0, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 200, 0, SENT_TO);
        second.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceWithCommits(second);
        assertEquals(1, second.forwards.size());
    }

    /** What the process that was sent it says is believed, whatever our clock shows. */
    @ParameterizedTest
    @CsvSource({"FINISHED, 0, 0", "FENCED, 0, 0", "FENCED, 3600000, 3600000", "FENCED, 20000, 0", "FINISHED, 20000, 0"})
    void replyOfTheTargetProcessCountsWhateverTheClockShows(InquiryScheduler.OutcomeReply what, double before, double after) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, before, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, after, SENT_TO);
        Client waits = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 17_000, what, 0);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        advanceWithCommits(second);
        if (what == InquiryScheduler.OutcomeReply.FINISHED) {
            assertEquals("1 RETURNED 1 RETURNED", waits.received() + " " + again.received());
        }
        assertEquals(what == InquiryScheduler.OutcomeReply.FINISHED ? 0 : 1, second.forwards.size(), waits.received() + ", " + again.received());
    }

    /** What a process had not seen when it was asked it may have seen before its answer came in. */
    @Test
    void inquiryReplyCountsAsOfTheTimeItWasSent() {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 100, 0, SENT_TO);
        second.advanceTo(START + 5500);
        Client waits = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        second.answerInquiries(ADDRESS, InquiryScheduler.OutcomeReply.UNSEEN, 0); // asked at T + 200
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertNotRunAgain(second, waits, again);
    }

    /** Its process has not seen it and does not promise to refuse it: it may read it later still. */
    @ParameterizedTest
    @ValueSource(doubles = {6000, 12_000, 29_000})
    void unseenProvesNothingWithoutAFence(double until) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 100, 0, SENT_TO);
        answerInquiriesUntil(second, START + until - 500, InquiryScheduler.OutcomeReply.UNSEEN, 0);
        Client waits = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + until, InquiryScheduler.OutcomeReply.UNSEEN, 0);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertNotRunAgain(second, waits, again);
    }

    /** Its intention waited for the disk: it left 900 ms later, and may arrive for five seconds from then on. */
    @Test
    void forwardMayArriveForFiveSecondsAfterItWasSent() {
        CoordinatorHarness first = start(START, 0, SENT_TO);
        first.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        first.answerLoadOrders(1);
        first.advanceTo(START + 900);
        first.answerLoadOrders(1);
        while (ledger.hasPending()) {
            ledger.commit(first, true);
        }
        assertEquals(1, first.forwards.size(), "its forward did not leave");
        ledger.crash();
        CoordinatorHarness second = start(START + 1200, 0, SENT_TO);
        answerInquiriesUntil(second, START + 4900, InquiryScheduler.OutcomeReply.UNSEEN, 0);
        Client waits = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        answerInquiriesUntil(second, START + 5850, InquiryScheduler.OutcomeReply.UNSEEN, 0);
        Client again = second.sendMessage("a", CoordinatorHarness.NON_RETRIABLE, 1);
        assertNotRunAgain(second, waits, again);
    }

    /** Its next life forwards it to another executor: each forward is asked about where it went. */
    @ParameterizedTest
    @ValueSource(strings = {"UNSEEN", "FENCED"})
    void forwardsOfTwoInferencesAreInquiredSeparately(InquiryScheduler.OutcomeReply what) {
        startWithOpenForward(CoordinatorHarness.DEDUPED, 0, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 200, 0, rosterEntry("s-2", "10.0.0.2:80"));
        second.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        advanceWithCommits(second);
        assertEquals("s-2", second.forwards.get(0).endpoint.instance);
        ledger.crash();
        CoordinatorHarness third = start(START + 6000, 0, SENT_TO, rosterEntry("s-2", "10.0.0.2:80"));
        Client waits = third.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        answerInquiriesUntil(third, START + 16_000, what, 0);
        Client again = third.sendMessage("a", CoordinatorHarness.DEDUPED, 1);
        assertNotRunAgain(third, waits, again);
    }

    /** Who is only asked is none that discovery told of. */
    @ParameterizedTest
    @ValueSource(strings = {"s-1", "s-other"})
    void inquiriesAddNoEndpoints(String thenThere) {
        startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, SENT_TO);
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, 0, rosterEntry(thenThere, ADDRESS));
        answerInquiriesUntil(second, START + 40_000, InquiryScheduler.OutcomeReply.NOTHING, 0);
        assertEquals(List.of(thenThere), second.coordinator.endpoints().stream().map(place -> place.instance).toList());
    }

    /** Our clock is an hour ahead at the restart, and set right after it: the same message is still no new one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void messageExpiredByAWrongClockIsNotAcceptedAsNew(boolean answered) {
        CoordinatorHarness first = startWithOpenForward(CoordinatorHarness.NON_RETRIABLE, 0, SENT_TO);
        if (answered) {
            first.endForward(first.forwards.get(0), Outcome.RETURNED);
            ledger.commit(first, true);
        }
        ledger.crash();
        CoordinatorHarness second = start(START + 6000, 3_600_000, SENT_TO);
        second.wallClockOffset = 0;
        Client replayed = second.new Client();
        second.runBatch(second.now, () -> second.coordinator.onMessage(new IncomingMessage(0, "a", 1, 0, CoordinatorHarness.model(CoordinatorHarness.NON_RETRIABLE, 0),
                new InferenceInput(new byte[0], null), 0, second.now, (long) (START / 1000), null, replayed)));
        answerInquiriesUntil(second, START + 8000, InquiryScheduler.OutcomeReply.NOTHING, 0);
        advanceWithCommits(second);
        assertEquals(0, second.forwards.size(), "forwarded again");
        assertFalse(replayed.received().endsWith("SHED"), replayed.received());
    }
}
