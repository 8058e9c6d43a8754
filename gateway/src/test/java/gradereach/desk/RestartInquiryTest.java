package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RosterForm;
import gradereach.api.Standing;
import gradereach.desk.Stage.Client;
import gradereach.inquiry.InquiryBook;
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
    private static final double T = 100_000_000;
    private static final String ADDRESS = "10.0.0.1:80";
    private static final RosterLine SENT_TO = line("s-1", ADDRESS);
    private final PaperLedger ledger = new PaperLedger();

    private static RosterLine line(String instance, String address) {
        return new RosterLine(instance, address, 1, 0, Standing.READY, 1, 0, 0);
    }

    private Stage start(double now, double wallStep, RosterLine... lines) {
        Stage stage = new Stage(1, 100, 1000, UnaryOperator.identity(), ledger, Claims.ALONE);
        stage.now = now;
        stage.wallStep = wallStep;
        stage.desk.recover(ledger.read(), now, 600_000, Stage.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
        stage.roster(RosterForm.FULL, lines);
        return stage;
    }

    /** As far as it gets with a disk that commits at once. */
    private void settle(Stage stage) {
        for (int i = 0; i < 10; i++) {
            step(stage, 2);
        }
    }

    private void step(Stage stage, double millis) {
        stage.standing(1);
        stage.pass(stage.now + millis);
        while (ledger.waits()) {
            ledger.commit(stage, true);
        }
    }

    /** A front end whose one forward is out, at T. */
    private Stage sent(ModelGroup group, double wallStep, RosterLine to) {
        Stage stage = start(T, wallStep, to);
        stage.ask("a", group, 1);
        settle(stage);
        assertEquals(1, stage.flights.size(), "its forward did not leave");
        return stage;
    }

    /** Time passes; who is at that address and is asked says this. */
    private void says(Stage stage, double until, InquiryBook.Told what, double upSince) {
        while (stage.now < until) {
            step(stage, 50);
            stage.says(ADDRESS, what, upSince);
        }
    }

    private void neverHarmless(Stage stage, Client... clients) {
        settle(stage);
        assertEquals(List.of(), stage.flights.stream().map(f -> f.place.instance + " " + f.name()).toList(), "forwarded again");
        for (Client client : clients) {
            assertNotEquals("1 SHED", client.heard());
            assertTrue(client.answers.stream().noneMatch(FinalAnswer::repeatHarmless), client.heard() + " with a harmless repeat");
        }
    }

    /** Another instance stands where the forward went: it knows nothing of it, however long it runs. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, 0", "UNSEEN, 500", "UNSEEN, 99999999", "UNSEEN, 100003000", "UNSEEN, NaN",
        "FENCED, 0", "FENCED, 500", "FENCED, 99999999", "FENCED, 100003000", "FENCED, NaN"})
    void theNextAtAnAddressDoesNotSpeakForTheLast(InquiryBook.Told what, double upSince) {
        sent(Stage.NON_RETRIABLE, 0, SENT_TO);
        ledger.crash();
        Stage second = start(T + 6000, 0, line("s-other", ADDRESS));
        Client waits = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + 18_000, what, upSince);
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + 20_000, what, upSince);
        neverHarmless(second, waits, again);
        assertEquals("1 FAILED", again.heard());
    }

    /** The executor restarted three seconds after the intention, and has never seen it. */
    @ParameterizedTest
    @CsvSource({
        // our clock's error as it is intended and after our restart, the executor's clock's error
        "UNSEEN, 3600000, 3600000, 0", "UNSEEN, 10000, 0, 0", "UNSEEN, 0, 0, -7000", "UNSEEN, -3600000, -3600000, -3700000",
        "UNSEEN, 0, 0, 0", "UNSEEN, -10000, -10000, 0", "FENCED, 3600000, 3600000, 0", "FENCED, 10000, 0, 0",
        "FENCED, 0, 0, -7000", "FENCED, -3600000, -3600000, -3700000", "FENCED, 0, 0, 0", "FENCED, -10000, -10000, 0",
    })
    void aProcessStartedSinceProvesNothingWhateverTheClocksShow(InquiryBook.Told what, double before, double after,
            double executors) {
        sent(Stage.NON_RETRIABLE, before, SENT_TO);
        ledger.crash();
        Stage second = start(T + 6000, after, SENT_TO);
        Client waits = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + 25_000, what, T + 3000 + executors);
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + 27_000, what, T + 3000 + executors);
        neverHarmless(second, waits, again);
        assertEquals("1 FAILED", again.heard());
    }

    /** A forward that this life gave up on is asked about as well. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, s-other, 0, 500", "UNSEEN, s-1, 10000, 3000", "UNSEEN, s-1, 0, -7000",
        "FENCED, s-other, 0, 500", "FENCED, s-1, 10000, 3000", "FENCED, s-1, 0, -7000"})
    void theSameHoldsWithoutARestart(InquiryBook.Told what, String thenThere, double after, double upSince) {
        Stage stage = sent(Stage.NON_RETRIABLE, 0, SENT_TO);
        says(stage, T + 1500, InquiryBook.Told.NOTHING, 0);
        stage.roster(RosterForm.FULL);
        stage.wallStep = after;
        stage.roster(RosterForm.FULL, line(thenThere, ADDRESS));
        stage.flights.clear();
        says(stage, T + 20_000, what, thenThere.equals("s-other") ? upSince : T + upSince);
        Client again = stage.ask("a", Stage.NON_RETRIABLE, 1);
        neverHarmless(stage, again);
        assertEquals("1 FAILED", again.heard());
    }

    /** A minute later the same process has forgotten (after 30 s), though by our clock no time has passed. */
    @ParameterizedTest
    @CsvSource({"UNSEEN, 0, -60000", "UNSEEN, 60000, 0", "UNSEEN, 30000, -30000",
        "FENCED, 0, -60000", "FENCED, 60000, 0", "FENCED, 30000, -30000"})
    void theSameProcessProvesNothingOnceItHasForgotten(InquiryBook.Told what, double before, double after) {
        sent(Stage.NON_RETRIABLE, before, SENT_TO);
        ledger.crash();
        Stage second = start(T + 60_000, after, SENT_TO);
        Client waits = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + 75_000, what, 0);
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + 77_000, what, 0);
        neverHarmless(second, waits, again);
    }

    /** Its window (1.5 s) has closed by real time, though not by our clock. */
    @ParameterizedTest
    @CsvSource({"0, -10000, 10000", "10000, 0, 6000", "0, -1400, 2000"})
    void aWindowThatHasClosedStaysClosed(double before, double after, double later) {
        sent(Stage.DEDUPED, before, SENT_TO);
        ledger.crash();
        Stage second = start(T + later, after, SENT_TO);
        Client again = second.ask("a", Stage.DEDUPED, 1);
        says(second, T + later + 2000, InquiryBook.Told.NOTHING, 0);
        neverHarmless(second, again);
        assertEquals("1 FAILED", again.heard());
    }

    @Test
    void aWindowThatIsOpenIsUsed() {
        sent(Stage.DEDUPED, 0, SENT_TO);
        ledger.crash();
        Stage second = start(T + 200, 0, SENT_TO);
        second.ask("a", Stage.DEDUPED, 1);
        settle(second);
        assertEquals(1, second.flights.size());
    }

    /** What the process that was sent it says is believed, whatever our clock shows. */
    @ParameterizedTest
    @CsvSource({"FINISHED, 0, 0", "FENCED, 0, 0", "FENCED, 3600000, 3600000", "FENCED, 20000, 0", "FINISHED, 20000, 0"})
    void theProcessThatWasSentItIsBelieved(InquiryBook.Told what, double before, double after) {
        sent(Stage.NON_RETRIABLE, before, SENT_TO);
        ledger.crash();
        Stage second = start(T + 6000, after, SENT_TO);
        Client waits = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + 17_000, what, 0);
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        settle(second);
        if (what == InquiryBook.Told.FINISHED) {
            assertEquals("1 RETURNED 1 RETURNED", waits.heard() + " " + again.heard());
        }
        assertEquals(what == InquiryBook.Told.FINISHED ? 0 : 1, second.flights.size(), waits.heard() + ", " + again.heard());
    }

    /** What a process had not seen when it was asked it may have seen before its answer came in. */
    @Test
    void anAnswerCountsAsOfWhenItWasAskedFor() {
        sent(Stage.NON_RETRIABLE, 0, SENT_TO);
        ledger.crash();
        Stage second = start(T + 100, 0, SENT_TO);
        second.pass(T + 5500);
        Client waits = second.ask("a", Stage.NON_RETRIABLE, 1);
        second.says(ADDRESS, InquiryBook.Told.UNSEEN, 0); // asked at T + 200
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        neverHarmless(second, waits, again);
    }

    /** Its process has not seen it and does not promise to refuse it: it may read it later still. */
    @ParameterizedTest
    @ValueSource(doubles = {6000, 12_000, 29_000})
    void neverSeenProvesNothingWithoutAFence(double until) {
        sent(Stage.NON_RETRIABLE, 0, SENT_TO);
        ledger.crash();
        Stage second = start(T + 100, 0, SENT_TO);
        says(second, T + until - 500, InquiryBook.Told.UNSEEN, 0);
        Client waits = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + until, InquiryBook.Told.UNSEEN, 0);
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        neverHarmless(second, waits, again);
    }

    /** Its intention waited for the disk: it left 900 ms later, and may arrive for five seconds from then on. */
    @Test
    void aForwardMayArriveForFiveSecondsAfterItLeft() {
        Stage first = start(T, 0, SENT_TO);
        first.ask("a", Stage.NON_RETRIABLE, 1);
        first.standing(1);
        first.pass(T + 900);
        first.standing(1);
        while (ledger.waits()) {
            ledger.commit(first, true);
        }
        assertEquals(1, first.flights.size(), "its forward did not leave");
        ledger.crash();
        Stage second = start(T + 1200, 0, SENT_TO);
        says(second, T + 4900, InquiryBook.Told.UNSEEN, 0);
        Client waits = second.ask("a", Stage.NON_RETRIABLE, 1);
        says(second, T + 5850, InquiryBook.Told.UNSEEN, 0);
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        neverHarmless(second, waits, again);
    }

    /** Its next life forwards it to another executor: each forward is asked about where it went. */
    @ParameterizedTest
    @ValueSource(strings = {"UNSEEN", "FENCED"})
    void forwardsOfTwoLivesAreTwo(InquiryBook.Told what) {
        sent(Stage.DEDUPED, 0, SENT_TO);
        ledger.crash();
        Stage second = start(T + 200, 0, line("s-2", "10.0.0.2:80"));
        second.ask("a", Stage.DEDUPED, 1);
        settle(second);
        assertEquals("s-2", second.flights.get(0).place.instance);
        ledger.crash();
        Stage third = start(T + 6000, 0, SENT_TO, line("s-2", "10.0.0.2:80"));
        Client waits = third.ask("a", Stage.DEDUPED, 1);
        says(third, T + 16_000, what, 0);
        Client again = third.ask("a", Stage.DEDUPED, 1);
        neverHarmless(third, waits, again);
    }

    /** Who is only asked is none that discovery told of. */
    @ParameterizedTest
    @ValueSource(strings = {"s-1", "s-other"})
    void placesAreDiscoverysAlone(String thenThere) {
        sent(Stage.NON_RETRIABLE, 0, SENT_TO);
        ledger.crash();
        Stage second = start(T + 6000, 0, line(thenThere, ADDRESS));
        says(second, T + 40_000, InquiryBook.Told.NOTHING, 0);
        assertEquals(List.of(thenThere), second.desk.places().stream().map(place -> place.instance).toList());
    }

    /** Our clock is an hour ahead at the restart, and set right after it: the same message is still no new one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whatSeemedTooOldAtTheRestartIsNotTakenAsNew(boolean answered) {
        Stage first = sent(Stage.NON_RETRIABLE, 0, SENT_TO);
        if (answered) {
            first.end(first.flights.get(0), Outcome.RETURNED);
            ledger.commit(first, true);
        }
        ledger.crash();
        Stage second = start(T + 6000, 3_600_000, SENT_TO);
        second.wallStep = 0;
        Client replayed = second.new Client();
        second.at(second.now, () -> second.desk.arrived(new Arrival(0, "a", 1, 0, Stage.model(Stage.NON_RETRIABLE, 0),
                new Input(new byte[0], null), 0, second.now, (long) (T / 1000), null, replayed)));
        says(second, T + 8000, InquiryBook.Told.NOTHING, 0);
        settle(second);
        assertEquals(0, second.flights.size(), "forwarded again");
        assertFalse(replayed.heard().endsWith("SHED"), replayed.heard());
    }
}
