package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import gradereach.api.Outcome;
import gradereach.api.RosterForm;
import gradereach.api.Standing;
import gradereach.inquiry.InquiryBook;
import java.util.function.UnaryOperator;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A message may have several lives, each with forwards of its own: that one's never ran says nothing of another's. */
class ProofOfOneLifeTest {
    private static final double T = 100_000_000;
    private static final String FIRST = "10.0.0.1:80";
    private static final String SECOND = "10.0.0.2:80";
    private final PaperLedger ledger = new PaperLedger();

    private Stage start(double now, RosterLine... lines) {
        Stage stage = new Stage(1, 100, 1000, UnaryOperator.identity(), ledger, Claims.ALONE);
        stage.now = now;
        stage.desk.recover(ledger.read(), now, 600_000, Stage.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
        stage.roster(RosterForm.FULL, lines);
        return stage;
    }

    private static RosterLine line(String instance, String address, Standing standing) {
        return new RosterLine(instance, address, 1, 0, standing, 1, 0, 0);
    }

    private void step(Stage stage, double millis) {
        stage.standing(1);
        stage.pass(stage.now + millis);
        while (ledger.waits()) {
            ledger.commit(stage, true);
        }
    }

    private void pass(Stage stage, double until) {
        while (stage.now < until) {
            step(stage, 2);
        }
    }

    /** Until then executors are asked: at one address it has run and no answer comes, at the other it never arrives. */
    private void asked(Stage stage, String ranAt, double until) {
        while (stage.now < until) {
            step(stage, 20);
            stage.says(ranAt.equals(FIRST) ? SECOND : FIRST, InquiryBook.Told.FENCED, 0);
            stage.says(ranAt, InquiryBook.Told.NOTHING, Double.NaN);
        }
    }

    private void noThirdLife(Stage stage) {
        stage.flights.clear();
        Stage.Client again = stage.ask("a", Stage.DEDUPED, 1);
        pass(stage, stage.now + 20);
        assertEquals(0, stage.flights.size(), "forwarded again long after its window");
        pass(stage, stage.now + 1500);
        assertNotEquals("1 SHED", again.heard());
    }

    /** The client hears nothing of its first forward, and asks again within the window. */
    private void secondLife(Stage stage, double sent) {
        stage.flights.clear();
        stage.roster(RosterForm.FULL, line("s-1", FIRST, Standing.DRAINING), line("s-2", SECOND, Standing.READY));
        Stage.Client client = stage.ask("a", Stage.DEDUPED, 1);
        pass(stage, stage.now + 40);
        assertEquals("s-2", stage.flights.get(0).place.instance, "where the second life's forward went");
        pass(stage, sent + 2700);
        assertEquals("1 FAILED", client.heard());
    }

    /** A message before it, so that who is there has told its process. */
    private double firstLife(Stage stage) {
        stage.ask("before", Stage.DEDUPED, 2);
        pass(stage, T + 20);
        stage.end(stage.flights.get(0), Outcome.RETURNED);
        pass(stage, T + 30);
        stage.flights.clear();
        stage.ask("a", Stage.DEDUPED, 1);
        pass(stage, T + 50);
        assertEquals("s-1", stage.flights.get(0).place.instance);
        return stage.flights.get(0).forward.sentAt;
    }

    @ParameterizedTest
    @ValueSource(strings = {FIRST, SECOND})
    void withoutARestart(String ranAt) {
        Stage stage = start(T, line("s-1", FIRST, Standing.READY));
        double sent = firstLife(stage);
        pass(stage, sent + 1100);
        secondLife(stage, sent);
        asked(stage, ranAt, T + 12_000);
        noThirdLife(stage);
    }

    @ParameterizedTest
    @ValueSource(strings = {FIRST, SECOND})
    void acrossARestart(String ranAt) {
        double sent = firstLife(start(T, line("s-1", FIRST, Standing.READY)));
        ledger.crash();
        Stage second = start(sent + 500, line("s-1", FIRST, Standing.DRAINING), line("s-2", SECOND, Standing.READY));
        second.ask("warmer", Stage.DEDUPED, 3);
        pass(second, sent + 540);
        second.flights.forEach(flight -> second.end(flight, Outcome.RETURNED));
        secondLife(second, sent);
        asked(second, ranAt, T + 12_000);
        noThirdLife(second);
    }
}
