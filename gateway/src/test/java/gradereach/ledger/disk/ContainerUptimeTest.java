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
 * Where a container is shown an uptime of its own, which begins anew with every start of it while the machine's id stays: the
 * ledger's time must not fall behind its records, or what is old seems to lie ahead.
 */
class ContainerUptimeTest {
    private static final double DAY = 86_400_000;
    private static final double WALL = 1_900_000_000_000d;
    @TempDir
    Path folder;

    @Test
    void recordsAreNeverOfTheFuture() throws IOException {
        MachineUptime uptime = MachineUptimeReader.readMachine();
        // A first life began a second into a start like this one's, and wrote for ten days.
        Files.writeString(folder.resolve("clock"),
                uptime.bootId() + " " + Math.max(0, uptime.uptimeMillis() - 1000) + " " + WALL + " " + WALL + " "
                        + Math.max(0, uptime.monotonicMillis() - 1000) + "\n");
        double youngest = WALL + 10 * DAY;
        LedgerClock clock = new LedgerClock(() -> 5000, () -> youngest + 60_000);
        clock.resume(folder, youngest);
        double age = 5000 - clock.toMonotonic(youngest);
        assertTrue(Double.isNaN(age) || age >= 0, "its youngest record is written " + -age + " ms from now");
        assertTrue(clock.now() > youngest, "what is written now is dated before what was");
    }

    private static final double SECOND = 1000;
    private static final double HOUR = 3_600_000;
    private static final String BOOT = "1d38";

    private LedgerClock life(double wall, MachineUptime uptime, double youngest) {
        LedgerClock clock = new LedgerClock(() -> 5000, () -> wall, () -> uptime);
        clock.resume(folder, youngest);
        return clock;
    }

    /**
     * A first life writes its youngest record at 600 s of its uptime; the next one begins at another reading of it and of
     * the monotonic clock. Where the two cannot be readings of one count, nobody knows how old that record is: seeming
     * younger than it is, it would hold a window open, or be taken for remembered.
     */
    @ParameterizedTest
    @CsvSource({
        // its uptime and the monotonic clock at first, at the second start, seconds; the record's age at the second start
        "600, 600, 3600, 3600, 3000", "600, 600, 600, 600, 0", "600, 500, 3600, 3500, 3000", // one count
        "600, 500, 3600, 3000, 3000", // suspended for 500 s in between
        "600, 600.05, 3600, 3600.09, 3000", // read a moment apart
        "600, 5000, 3600, 20000, NaN", // a container of its own at each start, up to 3,600 s the second time
        "600, 600, 3600, 20000, NaN", // begun with the machine the first time
        "600, 5000, 3600, 3600, NaN", "600, 500, 3600, 3550, NaN", // another view at the second start
        "600, 600, 300, 300, NaN", // gone back
        "600, -80000, 3600, 90000, NaN", "600, 9000000, 3600, -80000, NaN", // a monotonic clock of another kind
        "600, NaN, 3600, NaN, NaN", "NaN, 600, 3600, 3600, NaN", "600, 600, NaN, 3600, NaN",
    })
    void whatACountOfItsOwnTellsIsNoSpan(double uptime, double monotonic, double nextUptime, double nextMonotonic, double age) {
        double written = life(WALL, new MachineUptime(BOOT, uptime * SECOND, monotonic * SECOND), Double.NEGATIVE_INFINITY).now();
        LedgerClock next = life(WALL + 10 * HOUR, new MachineUptime(BOOT, nextUptime * SECOND, nextMonotonic * SECOND), written);
        assertEquals(age * SECOND, 5000 - next.toMonotonic(written), 1);
        assertTrue(next.now() > written || age == 0, "what is written now is dated before what was");
    }

    /** What was kept by a version that did not keep the monotonic clock, or by another start of the machine. */
    @ParameterizedTest
    @ValueSource(strings = {BOOT + " 600000.0 1.9E12 1.9E12", "other 600000.0 1.9E12 1.9E12 600000.0"})
    void whatCannotBeComparedIsNoSpan(String kept) throws IOException {
        Files.writeString(folder.resolve("clock"), kept + "\n");
        assertEquals(Double.NaN, life(WALL + HOUR, new MachineUptime(BOOT, HOUR, HOUR), WALL + 1).toMonotonic(WALL));
    }

    /** A machine's {@code /proc}, in a folder. */
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

    @ParameterizedTest
    @CsvSource({
        // uptime, start of a thread in hundredths of a second, time namespace, whether it is the machine's
        "600.00, 60000, time:[4026531834], true", "600.00, 60001, time:[4026531834], true",
        "600.00, 60000, '', true", // a kernel before time namespaces
        "600.00, 60000, time:[4026532270], false", // a namespace of its own, which shifts all clocks alike
        "600.00, 90000, time:[4026531834], false", // up for less than the thread that reads it: a count of its own
        "600.00, 59000, time:[4026531834], false", "600.00, x, time:[4026531834], false", "x, 60000, time:[4026531834], false",
    })
    void anUptimeIsReadWhereItIsTheMachines(String uptime, String threadStart, String namespace, boolean machines) throws IOException {
        MachineUptime read = read(uptime, threadStart, namespace, 600_000);
        assertEquals(machines ? new MachineUptime(BOOT, 600_000, 600_000) : MachineUptime.UNKNOWN, read);
    }

    /** Whatever this machine is, reading it twice is no going back. */
    @Test
    void thisMachinesUptimeGoesOn() {
        MachineUptime first = MachineUptimeReader.readMachine();
        double since = MachineUptimeReader.readMachine().since(first);
        assertTrue(since >= 0 || first.equals(MachineUptime.UNKNOWN), "since " + first + ": " + since);
    }
}
