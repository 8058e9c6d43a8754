package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.Outcome;
import gradereach.api.RosterForm;
import gradereach.api.Standing;
import gradereach.desk.Stage.Client;
import gradereach.inquiry.InquiryBook;
import gradereach.ledger.LedgerRecord;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One reservation, the process killed between any two steps of its way. */
class CrashTest {
    private final PaperLedger ledger = new PaperLedger();

    private Stage start(double now) {
        Stage stage = new Stage(1, 100, 1000, UnaryOperator.identity(), ledger, Claims.ALONE);
        stage.now = now;
        stage.desk.recover(ledger.read(), now, 600_000, Stage.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
        stage.roster(RosterForm.FULL, Stage.line(1, Standing.READY, 0));
        return stage;
    }

    /** Lets the module get as far as it gets without a commit. */
    private static void settle(Stage stage) {
        for (int i = 0; i < 5; i++) {
            stage.standing(1);
            stage.pass(stage.now + 2);
        }
    }

    /** What a client hears while it waits: knowledge, or at its time that there is none. */
    private static String inTime(Stage stage, Client client) {
        stage.pass(stage.now + 999);
        return client.heard();
    }

    private static final List<String> STEPS = List.of("asked", "intent durable", "ran", "answer in", "outcome durable");

    @ParameterizedTest
    @CsvSource({
        // killed after so many steps; what the same message gets afterwards; runs in all
        "0, 1 RETURNED, 1", "1, 1 RETURNED, 1", "2, 1 FAILED, 0", "3, 1 FAILED, 1", "4, 1 FAILED, 1", "5, 1 RETURNED, 1",
    })
    void killedBetweenAnyTwoStepsItNeverRunsTwice(int steps, String then, int runsInAll) {
        Stage first = start(1_000_000);
        int runs = 0;
        Client client = null;
        for (String step : STEPS.subList(0, steps)) {
            switch (step) {
                case "asked" -> {
                    client = first.ask("a", Stage.NON_RETRIABLE, 1);
                    settle(first);
                    assertEquals(0, first.flights.size(), "it left before its intent was durable");
                }
                case "intent durable", "outcome durable" -> {
                    assertEquals(0, client.answers.size(), "an answer left before it was durable");
                    ledger.commit(first, true);
                }
                case "ran" -> runs += first.flights.size();
                default -> first.end(first.flights.get(0), Outcome.RETURNED);
            }
        }
        ledger.crash();
        Stage second = start(first.now + 100);
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        settle(second);
        while (ledger.waits()) {
            ledger.commit(second, true);
            settle(second);
        }
        for (Flight flight : second.flights) {
            runs++;
            second.end(flight, Outcome.RETURNED);
        }
        while (ledger.waits()) {
            ledger.commit(second, true);
        }
        assertEquals(then, inTime(second, again));
        assertEquals(runsInAll, runs);
        if (client != null && !client.answers.isEmpty()) {
            assertEquals(new String(client.answers.get(0).body()), new String(again.answers.get(0).body()));
        }
        assertEquals("409 other-body", second.ask("a", Stage.NON_RETRIABLE, 2).heard());
    }

    @ParameterizedTest
    @CsvSource({"FULL, again", "CONNECT_FAILED, again", "ERROR, recorded", "RESET, recorded"})
    void whatWasProvenNotToHaveRunGoesOnAfterARestart(Outcome outcome, String what) {
        Stage first = start(1_000_000);
        Client client = first.ask("a", Stage.NON_RETRIABLE, 1);
        settle(first);
        ledger.commit(first, true);
        first.roster(RosterForm.FULL);
        first.end(first.flights.get(0), outcome);
        while (client.answers.isEmpty()) {
            first.pass(first.now + 10);
            if (ledger.waits()) {
                ledger.commit(first, true);
            }
        }
        ledger.crash();
        Stage second = start(first.now + 100);
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        assertEquals(what.equals("again") ? "0" : client.heard(), what.equals("again") ? again.heard() : inTime(second, again));
    }

    /** With a disk that fails, what needs it is shed before it is taken and the rest goes on. */
    @Test
    void aFailingDiskShedsWhatNeedsItAndNothingElse() {
        Stage stage = start(1_000_000);
        Client caught = stage.ask("a", Stage.NON_RETRIABLE, 1);
        settle(stage);
        ledger.commit(stage, false);
        ledger.usable = false;
        Client later = stage.ask("b", Stage.NON_RETRIABLE, 1);
        assertEquals("1 SHED", later.heard());
        Client retriable = stage.ask("c", Stage.RETRIABLE, 1);
        stage.end(stage.out(), Outcome.RETURNED);
        assertEquals("1 RETURNED", retriable.heard());
        // The one whose intent failed never left.
        assertTrue(stage.flights.stream().noneMatch(f -> f.life.id().equals("a")));
        stage.pass(stage.now + 1100);
        while (ledger.waits()) {
            ledger.commit(stage, false);
        }
        assertEquals("1 SHED", caught.heard());
    }

    /** A commit may take long: the module has that much less time, and the answer leaves in the client's. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 50, 300})
    void aSlowDiskIsAllowedFor(double margin) {
        ledger.margin = margin;
        Stage stage = start(1_000_000);
        double asked = stage.now;
        Client client = stage.ask("a", Stage.NON_RETRIABLE, 1);
        settle(stage);
        ledger.commit(stage, true);
        Flight flight = stage.flights.get(0);
        assertTrue(flight.stopAt <= asked + 1000 - margin);
        while (!ledger.waits()) {
            stage.pass(stage.now + 1);
        }
        assertTrue(stage.now <= asked + 1000 - margin, "decided at " + (stage.now - asked));
        stage.pass(stage.now + margin * 0.9);
        ledger.commit(stage, true);
        assertEquals("1 FAILED", client.heard());
        assertTrue(client.answeredAt <= asked + 1000);
    }

    /** A disk far slower than ever: the client is answered at its time, and once. */
    @Test
    void aClientIsNotKeptWaitingForADisk() {
        Stage stage = start(1_000_000);
        double asked = stage.now;
        Client client = stage.ask("a", Stage.NON_RETRIABLE, 1);
        settle(stage);
        ledger.commit(stage, true);
        stage.end(stage.flights.get(0), Outcome.RETURNED);
        stage.pass(asked + 2000);
        assertEquals("1 RETURNED", client.heard());
        assertEquals(asked + 1000, client.answeredAt, 1e-6);
        assertEquals(1, stage.counts.value("answers_sent_before_durable"));
        ledger.commit(stage, true);
        assertEquals(1, client.answers.size());
        assertEquals(0, stage.desk.owed());
    }

    @Test
    void aForwardGivenUpBeforeItLeftNeverRan() {
        Stage stage = start(1_000_000);
        Client client = stage.ask("a", Stage.NON_RETRIABLE, 1);
        settle(stage);
        stage.at(stage.now, () -> stage.desk.left(client.life, client));
        stage.pass(stage.now + 1);
        ledger.commit(stage, true);
        assertEquals(0, stage.flights.size());
        assertEquals(1, stage.counts.value("forwards_ended_never_sent"));
        assertEquals("0", stage.ask("a", Stage.NON_RETRIABLE, 1).heard());
    }

    /** A damaged ledger may have lost a message: none from that time is taken for new, all others are. */
    @Test
    void damageMakesItsTimeSuspectAndNothingElse() {
        Stage stage = new Stage(1, 100, 1000, UnaryOperator.identity(), ledger, Claims.ALONE);
        stage.desk.recover(ledger.read(), stage.now, 600_000, Stage.GROUPS, (long) (stage.now / 1000), (c, i, of, t) -> null);
        stage.roster(RosterForm.FULL, Stage.line(1, Standing.READY, 0));
        assertEquals("1 FAILED", stage.ask("a", Stage.NON_RETRIABLE, 1).heard());
        assertEquals("0", stage.ask("b", Stage.RETRIABLE, 1).heard());
        stage.now += 2000;
        assertEquals("0", stage.ask("c", Stage.NON_RETRIABLE, 1).heard());
    }

    /** Forgotten for its age, then our clock is set back: the old signature would pass, the memory refuses it. */
    @Test
    void aClockThatIsSetBackDoesNotOpenTheWindow() {
        Stage stage = start(1_000_000);
        long signedAt = (long) (stage.now / 1000);
        Client first = stage.ask("a", Stage.RETRIABLE, 1);
        stage.pass(stage.now + 1100);
        assertEquals(1, first.answers.size());
        stage.now += 601_000;
        stage.ask("b", Stage.RETRIABLE, 1);
        Client replayed = stage.new Client();
        stage.at(stage.now, () -> stage.desk.arrived(new Arrival(0, "a", 1, 0, Stage.model(Stage.RETRIABLE, 0), new Input(new byte[0], null),
                0, stage.now, signedAt, null, replayed)));
        assertEquals("400 too-old", replayed.heard());
    }

    @Test
    void whatTheDeploymentNoLongerHasIsPassedOver() {
        ledger.durable.add(new LedgerRecord.Intended("gone", "a", 999_000, 1, 0, "booking", "m", "e", "f"));
        ledger.durable.add(new LedgerRecord.Intended("yard", "b", 999_000, 1, 0, "no-group", "m", "e", "f"));
        ledger.durable.add(new LedgerRecord.Intended("yard", "c", 999_000, 1, 0, "booking", "m", "e", "f"));
        Stage stage = start(1_000_000);
        assertEquals(1, stage.memory.size());
        ledger.durable.add(new LedgerRecord.Intended("yard", "d", 1, 1, 0, "booking", "m", "e", "f"));
        assertEquals("1 FAILED", inTime(stage, stage.ask("c", Stage.NON_RETRIABLE, 1)));
        assertNull(stage.memory.find(0, "b"));
    }

    /** Killed after it may have run: the executor knows, and whoever asks from then on gets the true word. */
    @ParameterizedTest
    @CsvSource({"FINISHED, 0, 1 RETURNED, 1 RETURNED", "FENCED, 0, 1 SHED, 0", "FENCED, 9000000, 1 FAILED, 1 FAILED",
        "UNSEEN, 9000000, 1 FAILED, 1 FAILED", "UNSEEN, 0, 0, 0", "NOTHING, NaN, 0, 0"})
    void whatIsUnknownAfterARestartIsAskedAbout(InquiryBook.Told told, double upSince, String whoWaited, String then) {
        Stage first = start(1_000_000);
        first.ask("a", Stage.NON_RETRIABLE, 1);
        settle(first);
        ledger.commit(first, true);
        String forward = first.flights.get(0).name();
        ledger.crash();
        Stage second = start(first.now + 6000);
        Client waiting = second.ask("a", Stage.NON_RETRIABLE, 1);
        double asked = second.now;
        second.pass(asked + 200);
        assertEquals("0", waiting.heard());
        assertEquals(List.of("10.0.0.1:80 " + forward), second.inquired);
        second.at(second.now, () -> second.lastInquiry.told(told, upSince, "{}".getBytes()));
        Client again = second.ask("a", Stage.NON_RETRIABLE, 1);
        assertEquals(whoWaited, waiting.heard());
        assertEquals(then, again.heard());
        boolean unknownYet = whoWaited.equals("0");
        if (unknownYet) {
            // Nobody knows in time: "unknown" is said while its client still waits.
            second.pass(asked + 999);
            assertEquals("1 FAILED", waiting.heard());
        }
        // And it is durable: the next life knows without asking.
        while (ledger.waits()) {
            ledger.commit(second, true);
        }
        Stage third = start(second.now + 10);
        Client last = third.ask("a", Stage.NON_RETRIABLE, 1);
        boolean goesOn = told == InquiryBook.Told.FENCED && then.equals("0");
        assertEquals(unknownYet ? "1 FAILED" : then, goesOn ? last.heard() : inTime(third, last));
    }

    /** An answer by webhook was promised: after any restart there is one, and it is the true one. */
    @ParameterizedTest
    @CsvSource({"quick, intent, SHED", "booking, none, SHED", "booking, intent, RETURNED", "booking, not-run, SHED",
        "booking, answer, RETURNED", "booking, delivered, ''"})
    void aPromisedAnswerOutlivesTheProcess(String group, String until, String kind) {
        double at = 999_000;
        ledger.durable.add(new LedgerRecord.Promised("yard", "p", at, 1, 0, group));
        if (!until.equals("none")) {
            ledger.durable.add(new LedgerRecord.Intended("yard", "p", at, 1, 0, group, "m", "10.0.0.1:80", "f"));
        }
        if (until.equals("not-run")) {
            ledger.durable.add(new LedgerRecord.NotRun("yard", "p", at));
        }
        if (until.equals("answer") || until.equals("delivered")) {
            ledger.durable.add(new LedgerRecord.Answered("yard", "p", at,
                    gradereach.message.FinalAnswer.returned("p", "m", "{}".getBytes(), java.time.Instant.EPOCH)));
            ledger.durable.add(new LedgerRecord.Delivered("yard", "p", at, at, 1, until.equals("delivered")));
        }
        Stage stage = new Stage(1, 100, 1000, UnaryOperator.identity(), ledger, Claims.ALONE);
        Client owed = stage.new Client();
        int[] tries = {-1};
        stage.desk.recover(ledger.read(), stage.now, 600_000, Stage.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> {
            tries[0] = t;
            return owed;
        });
        stage.pass(stage.now + 200);
        if (!stage.inquired.isEmpty()) {
            assertEquals("0", owed.heard());
            stage.at(stage.now, () -> stage.lastInquiry.told(InquiryBook.Told.FINISHED, 0, "{}".getBytes()));
        }
        assertEquals(kind.isEmpty() ? "0" : "1 " + kind, owed.heard());
        assertEquals(until.equals("delivered") ? -1 : until.equals("answer") ? 1 : 0, tries[0]);
    }
}
