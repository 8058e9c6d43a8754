package gradereach.ledger.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Lives of a front end on one folder, each with a wall clock and a module clock of its own. */
class LedgerClockTest {
    private static final double MODULE_START = 1e9; // module time begins anew in each life
    private static final double HOUR = 3_600_000;
    private static final double HEARD_WITHIN = 10_000; // a test may be slow, and is far from an hour

    @TempDir
    private Path folder;

    private LedgerClock life(double wall, double youngest) {
        LedgerClock clock = new LedgerClock(() -> MODULE_START, () -> wall);
        clock.resume(folder, youngest);
        return clock;
    }

    private static double wall() {
        return System.currentTimeMillis();
    }

    /** The anchor as it is, but for its words; read so much earlier, by both clocks of a machine that is not suspended. */
    private void forge(String boot, double earlierMillis) throws IOException {
        String[] words = Files.readString(folder.resolve("clock")).strip().split(" ");
        words[0] = boot.isEmpty() ? words[0] : boot;
        words[1] = Double.toString(Double.parseDouble(words[1]) - earlierMillis);
        words[4] = Double.toString(Double.parseDouble(words[4]) - earlierMillis);
        Files.writeString(folder.resolve("clock"), String.join(" ", words) + "\n");
    }

    private static double since(LedgerClock clock, double written) {
        return MODULE_START - clock.toMonotonic(written);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, HOUR, -HOUR})
    void aSpanOverARestartIsTheMachinesWhateverTheWallClockShows(double step) throws IOException {
        double written = life(wall(), Double.NEGATIVE_INFINITY).now();
        assertEquals(0, since(life(wall() + step, written), written), HEARD_WITHIN);
        forge("", HOUR / 2);
        LedgerClock third = life(wall() + step, written);
        assertEquals(HOUR / 2, since(third, written), HEARD_WITHIN);
        assertEquals(written + HOUR / 2, third.now(), HEARD_WITHIN);
    }

    /** Another start of the machine, an uptime that went back, no anchor, one that is not whole. */
    @ParameterizedTest
    @CsvSource({"other, 0", "'', -3600000", "gone, 0", "torn, 0"})
    void whatWasWrittenBeforeMayBeOfAnyAge(String how, double earlier) throws IOException {
        double written = life(wall(), Double.NEGATIVE_INFINITY).now() + HOUR; // as after an hour of that life
        if (how.equals("gone")) {
            Files.delete(folder.resolve("clock"));
        } else if (how.equals("torn")) {
            Files.writeString(folder.resolve("clock"), "1d38");
        } else {
            forge(how, earlier);
        }
        LedgerClock next = life(wall(), written);
        assertEquals(Double.NaN, next.toMonotonic(written));
        assertTrue(next.now() > written, "dated before what is older");
        double later = next.now();
        assertEquals(0, since(life(wall() - HOUR, later), later), HEARD_WITHIN);
        assertEquals(Double.NaN, life(wall() + HOUR, later).toMonotonic(written));
    }

    /** `ledger compact` lets go of nothing whose age nobody knows. */
    @Test
    void whatIsKeptSinceIsKnownOnlyOnceThatLongHasPassed() throws IOException {
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR));
        double written = life(wall(), Double.NEGATIVE_INFINITY).now();
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR));
        forge("", 3 * HOUR);
        assertEquals(written + 2 * HOUR, LedgerClock.retentionCutoff(folder, HOUR), HEARD_WITHIN);
        forge("other", 0);
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR));
    }

    @Test
    void whatCannotBeKeptIsNotKnownAtTheNextStart() throws IOException {
        double written = life(wall(), Double.NEGATIVE_INFINITY).now();
        forge("other", 0);
        Files.createDirectory(folder.resolve("clock.new")); // the next anchor cannot be written
        double second = life(wall(), written).now();
        assertEquals(Double.NaN, life(wall(), second).toMonotonic(second));
    }
}
