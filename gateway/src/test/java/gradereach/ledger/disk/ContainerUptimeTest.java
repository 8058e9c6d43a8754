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

/**
 * Guards against a container that sees an uptime of its own, which restarts with the container while the machine's boot id stays: the
 * ledger time must not fall behind its records, or old records would seem to lie in the future.
 */
class ContainerUptimeTest {
    private static final double DAY_MILLIS = 86_400_000;
    private static final double WALL_TIME = 1_900_000_000_000d;
    private static final double MONOTONIC_NOW_MILLIS = 5000;
    @TempDir
    Path folder;

    @Test
    void recordsNeverLieInTheFuture() throws IOException {
        MachineUptime uptime = MachineUptimeReader.readMachine();
        // A first run began with an uptime of a second less than now, and wrote for ten days.
        Files.writeString(folder.resolve("clock"),
                uptime.bootId() + " " + Math.max(0, uptime.uptimeMillis() - 1000) + " " + WALL_TIME + " " + WALL_TIME + " "
                        + Math.max(0, uptime.monotonicMillis() - 1000) + "\n");
        double latestTimestamp = WALL_TIME + 10 * DAY_MILLIS;
        LedgerClock clock = new LedgerClock(() -> MONOTONIC_NOW_MILLIS, () -> latestTimestamp + 60_000);
        clock.resume(folder, latestTimestamp);
        double age = MONOTONIC_NOW_MILLIS - clock.toMonotonic(latestTimestamp);
        assertTrue(Double.isNaN(age) || age >= 0, "its latest record lies " + -age + " ms in the future");
        assertTrue(clock.now() > latestTimestamp, "a new record is dated before an older one");
    }

    private static final double SECOND_MILLIS = 1000;
    private static final double HOUR_MILLIS = 3_600_000;
    private static final String BOOT = "1d38";

    private LedgerClock openClock(double wall, MachineUptime uptime, double latestTimestamp) {
        LedgerClock clock = new LedgerClock(() -> MONOTONIC_NOW_MILLIS, () -> wall, () -> uptime);
        clock.resume(folder, latestTimestamp);
        return clock;
    }

    /**
     * A first run writes its latest record at an uptime of 600 s; the next one starts at other readings of the uptime and the monotonic
     * clock. If the two uptimes cannot count from the same boot, the age of the record is not known. A record that seems younger than
     * it is would keep a repeat window open, or its message would count as remembered.
     */
    @ParameterizedTest
    @CsvSource({
        // in seconds: uptime and monotonic clock at the first start, the same at the second one, age of the record by then
        "600, 600, 3600, 3600, 3000", "600, 600, 600, 600, 0", "600, 500, 3600, 3500, 3000", // the same boot
        "600, 500, 3600, 3000, 3000", // suspended for 500 s in between
        "600, 600.05, 3600, 3600.09, 3000", // the two clocks are read a moment apart
        "600, 5000, 3600, 20000, NaN", // a new container at each start, up for 3,600 s the second time
        "600, 600, 3600, 20000, NaN", // the first container was started with the machine
        "600, 5000, 3600, 3600, NaN", "600, 500, 3600, 3550, NaN", // another view of the uptime at the second start
        "600, 600, 300, 300, NaN", // the uptime went back
        "600, -80000, 3600, 90000, NaN", "600, 9000000, 3600, -80000, NaN", // a monotonic clock with another origin
        "600, NaN, 3600, NaN, NaN", "NaN, 600, 3600, 3600, NaN", "600, 600, NaN, 3600, NaN",
    })
    void durationIsUnknownBetweenIncomparableUptimes(double uptime, double monotonic, double nextUptime, double nextMonotonic,
            double age) {
        double written = openClock(WALL_TIME, new MachineUptime(BOOT, uptime * SECOND_MILLIS, monotonic * SECOND_MILLIS),
                Double.NEGATIVE_INFINITY).now();
        LedgerClock next = openClock(WALL_TIME + 10 * HOUR_MILLIS,
                new MachineUptime(BOOT, nextUptime * SECOND_MILLIS, nextMonotonic * SECOND_MILLIS), written);
        assertEquals(age * SECOND_MILLIS, MONOTONIC_NOW_MILLIS - next.toMonotonic(written), 1);
        assertTrue(next.now() > written || age == 0, "a new record is dated before an older one");
    }

    /** An anchor of a version that did not store the monotonic clock, and one of another boot. */
    @ParameterizedTest
    @ValueSource(strings = {BOOT + " 600000.0 1.9E12 1.9E12", "other 600000.0 1.9E12 1.9E12 600000.0"})
    void durationIsUnknownForAnIncomparableAnchor(String anchor) throws IOException {
        Files.writeString(folder.resolve("clock"), anchor + "\n");
        assertEquals(Double.NaN, openClock(WALL_TIME + HOUR_MILLIS, new MachineUptime(BOOT, HOUR_MILLIS, HOUR_MILLIS),
                WALL_TIME + 1).toMonotonic(WALL_TIME));
    }

    /** Reads the uptime from a folder that stands in for {@code /proc}. */
    private MachineUptime read(String uptime, String threadStart, String timeNamespace, double monotonic) throws IOException {
        Files.createDirectories(folder.resolve("sys/kernel/random"));
        Files.createDirectories(folder.resolve("thread-self"));
        Files.createDirectories(folder.resolve("self/ns"));
        Files.writeString(folder.resolve("sys/kernel/random/boot_id"), BOOT + "\n");
        Files.writeString(folder.resolve("uptime"), uptime + " 5149.96\n");
        Files.writeString(folder.resolve("thread-self/stat"),
                "7 (a) b (c) R 1 1 1 0 -1 64 1 0 0 0 0 0 0 0 20 0 1 0 " + threadStart + " 31 4\n");
        if (!timeNamespace.isEmpty()) {
            Files.createSymbolicLink(folder.resolve("self/ns/time"), Path.of(timeNamespace));
        }
        return new MachineUptimeReader(folder, () -> monotonic).read();
    }

    /** An uptime is used only in the initial time namespace, and if it agrees with the kernel's start time of a thread. */
    @ParameterizedTest
    @CsvSource({
        // uptime, start of a thread in hundredths of a second, time namespace, whether the uptime is the machine's
        "600.00, 60000, time:[4026531834], true", "600.00, 60001, time:[4026531834], true",
        "600.00, 60000, '', true", // a kernel before time namespaces
        "600.00, 60000, time:[4026532270], false", // a namespace of its own, which shifts all clocks by the same amount
        "600.00, 90000, time:[4026531834], false", // an uptime that is less than the start of the reading thread: not the machine's
        "600.00, 59000, time:[4026531834], false", "600.00, x, time:[4026531834], false", "x, 60000, time:[4026531834], false",
    })
    void uptimeIsReadOnlyIfItIsTheMachines(String uptime, String threadStart, String namespace, boolean ofMachine) throws IOException {
        MachineUptime read = read(uptime, threadStart, namespace, 600_000);
        assertEquals(ofMachine ? new MachineUptime(BOOT, 600_000, 600_000) : MachineUptime.UNKNOWN, read);
    }

    /** On any machine, a second reading is not earlier than the first, unless the uptime is unknown. */
    @Test
    void uptimeOfThisMachineDoesNotGoBack() {
        MachineUptime first = MachineUptimeReader.readMachine();
        double since = MachineUptimeReader.readMachine().millisSince(first);
        assertTrue(since >= 0 || first.equals(MachineUptime.UNKNOWN), "since " + first + ": " + since);
    }
}
