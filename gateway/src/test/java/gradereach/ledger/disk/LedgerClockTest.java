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

/** Runs of a front end on one folder, each with its own wall clock and monotonic clock. */
class LedgerClockTest {
    private static final double MONOTONIC_START = 1e9; // monotonic time starts anew in each run
    private static final double HOUR = 3_600_000;
    private static final double TOLERANCE = 10_000; // allows for a slow test, and is far below an hour

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

    /** Rewrites the stored anchor with another boot id, or as read that much earlier by both clocks of a machine that was not suspended. */
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
    @ValueSource(doubles = {0, HOUR, -HOUR})
    void durationAcrossARestartFollowsTheUptimeAndNotTheWallClock(double step) throws IOException {
        double written = openClock(wall(), Double.NEGATIVE_INFINITY).now();
        assertEquals(0, age(openClock(wall() + step, written), written), TOLERANCE);
        rewriteAnchor("", HOUR / 2);
        LedgerClock thirdRun = openClock(wall() + step, written);
        assertEquals(HOUR / 2, age(thirdRun, written), TOLERANCE);
        assertEquals(written + HOUR / 2, thirdRun.now(), TOLERANCE);
    }

    /** After another boot, an uptime that went back, or a missing or torn anchor, the age of earlier records is not known. */
    @ParameterizedTest
    @CsvSource({"other, 0", "'', -3600000", "gone, 0", "torn, 0"})
    void ageOfEarlierRecordsIsUnknownWithoutAValidAnchor(String anchor, double earlier) throws IOException {
        double written = openClock(wall(), Double.NEGATIVE_INFINITY).now() + HOUR; // as after an hour of that run
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
        assertEquals(0, age(openClock(wall() - HOUR, laterTimestamp), laterTimestamp), TOLERANCE);
        assertEquals(Double.NaN, openClock(wall() + HOUR, laterTimestamp).toMonotonic(written));
    }

    /** {@code ledger compact} must not remove records of unknown age. */
    @Test
    void retentionCutoffIsKnownOnlyOnceTheRetentionHasPassed() throws IOException {
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR));
        double written = openClock(wall(), Double.NEGATIVE_INFINITY).now();
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR));
        rewriteAnchor("", 3 * HOUR);
        assertEquals(written + 2 * HOUR, LedgerClock.retentionCutoff(folder, HOUR), TOLERANCE);
        rewriteAnchor("other", 0);
        assertEquals(Double.NEGATIVE_INFINITY, LedgerClock.retentionCutoff(folder, HOUR));
    }

    @Test
    void ageIsUnknownAfterAnAnchorCouldNotBeStored() throws IOException {
        double written = openClock(wall(), Double.NEGATIVE_INFINITY).now();
        rewriteAnchor("other", 0);
        Files.createDirectory(folder.resolve("clock.new")); // the next anchor cannot be written
        double second = openClock(wall(), written).now();
        assertEquals(Double.NaN, openClock(wall(), second).toMonotonic(second));
    }
}
