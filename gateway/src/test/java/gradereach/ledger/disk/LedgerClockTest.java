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

/** The age of records over several runs of a front end on one folder, each with its own wall clock and monotonic clock. */
class LedgerClockTest {
    private static final double MONOTONIC_START = 1e9; // monotonic time starts anew in each run
    private static final double HOUR_MILLIS = 3_600_000;
    private static final double TOLERANCE_MILLIS = 10_000; // allows for a slow test, and is far below an hour

    @TempDir
    private Path folder;

    private LedgerClock openClock(double wall, double latestTimestamp) {
        LedgerClock clock = new LedgerClock(() -> MONOTONIC_START, () -> wall);
        clock.resume(folder, latestTimestamp);
        return clock;
    }

    private static double wall() {
        return System.currentTimeMillis();
    }

    /**
     * Rewrites the stored anchor with another boot id (none for the same one), and as if both clocks had been read that much earlier
     * on a machine that was not suspended.
     */
    private void rewriteAnchor(String bootId, double earlierMillis) throws IOException {
        String[] fields = Files.readString(folder.resolve("clock")).strip().split(" ");
        fields[0] = bootId.isEmpty() ? fields[0] : bootId;
        fields[1] = Double.toString(Double.parseDouble(fields[1]) - earlierMillis);
        fields[4] = Double.toString(Double.parseDouble(fields[4]) - earlierMillis);
        Files.writeString(folder.resolve("clock"), String.join(" ", fields) + "\n");
    }

    /** The age of a record in milliseconds. */
    private static double age(LedgerClock clock, double written) {
        return MONOTONIC_START - clock.toMonotonic(written);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, HOUR_MILLIS, -HOUR_MILLIS})
    void durationAcrossARestartFollowsTheUptimeAndNotTheWallClock(double step) throws IOException {
        double written = openClock(wall(), Double.NEGATIVE_INFINITY).now();
        assertEquals(0, age(openClock(wall() + step, written), written), TOLERANCE_MILLIS);
        rewriteAnchor("", HOUR_MILLIS / 2);
        LedgerClock thirdRun = openClock(wall() + step, written);
        assertEquals(HOUR_MILLIS / 2, age(thirdRun, written), TOLERANCE_MILLIS);
        assertEquals(written + HOUR_MILLIS / 2, thirdRun.now(), TOLERANCE_MILLIS);
    }

    /** After another boot, an uptime that went back, or a missing or torn anchor, the age of earlier records is not known. */
    @ParameterizedTest
    @CsvSource({"other, 0", "'', -3600000", "gone, 0", "torn, 0"})
    void ageOfEarlierRecordsIsUnknownWithoutAValidAnchor(String anchor, double earlier) throws IOException {
        double written = openClock(wall(), Double.NEGATIVE_INFINITY).now() + HOUR_MILLIS; // as after an hour of that run
        if (anchor.equals("gone")) {
            Files.delete(folder.resolve("clock"));
        } else if (anchor.equals("torn")) {
            Files.writeString(folder.resolve("clock"), "1d38");
        } else {
            rewriteAnchor(anchor, earlier);
        }
        LedgerClock nextRun = openClock(wall(), written);
        assertEquals(Double.NaN, nextRun.toMonotonic(written));
        assertTrue(nextRun.now() > written, "dated before an older record");
        double laterTimestamp = nextRun.now();
        assertEquals(0, age(openClock(wall() - HOUR_MILLIS, laterTimestamp), laterTimestamp), TOLERANCE_MILLIS);
        assertEquals(Double.NaN, openClock(wall() + HOUR_MILLIS, laterTimestamp).toMonotonic(written));
    }

    /** {@code ledger compact} must not remove records of unknown age. */
    @Test
    void retentionCutoffIsKnownOnlyOnceTheRetentionHasPassed() throws IOException {
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR_MILLIS));
        double written = openClock(wall(), Double.NEGATIVE_INFINITY).now();
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR_MILLIS));
        rewriteAnchor("", 3 * HOUR_MILLIS);
        assertEquals(written + 2 * HOUR_MILLIS, LedgerClock.retentionCutoff(folder, HOUR_MILLIS), TOLERANCE_MILLIS);
        rewriteAnchor("other", 0);
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR_MILLIS));
    }

    /** Without a stored anchor, the next start must not date records by an anchor of another boot. */
    @Test
    void ageIsUnknownAfterAnAnchorCouldNotBeStored() throws IOException {
        double written = openClock(wall(), Double.NEGATIVE_INFINITY).now();
        rewriteAnchor("other", 0);
        Files.createDirectory(folder.resolve("clock.new")); // the next anchor cannot be written
        double second = openClock(wall(), written).now();
        assertEquals(Double.NaN, openClock(wall(), second).toMonotonic(second));
    }
}
