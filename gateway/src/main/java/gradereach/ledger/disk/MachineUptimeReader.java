package gradereach.ledger.disk;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.DoubleSupplier;

/**
 * Reads the uptime from proc(5), and returns it only if it is certainly the machine's. A container may see an uptime of its own
 * for two reasons: a file system mounted over {@code /proc/uptime}, or a time namespace (time_namespaces(7)), which also shifts
 * the monotonic clock.
 */
final class MachineUptimeReader {
    private static final double MILLIS_PER_SECOND = 1000;
    /** Unit of {@code starttime}: hundredths of a second on every Linux machine that Java 17 runs on. */
    private static final double MILLIS_PER_TICK = 10;
    /** Tolerance between two readings that are truncated to hundredths of a second. */
    private static final double ROUNDING_TOLERANCE_MILLIS = 2 * MILLIS_PER_TICK;
    /** Longest time between the monotonic readings before and after an uptime reading. */
    private static final double MAX_READING_GAP_MILLIS = 20;
    private static final int MAX_ATTEMPTS = 100;
    /** The initial time namespace: Linux gives it this fixed inode (PROC_TIME_INIT_INO) and never uses it for another one. */
    private static final String INITIAL_TIME_NAMESPACE = "time:[4026531834]";
    /** Index of {@code starttime} in {@code stat}, counted from the state, which follows the name in brackets. */
    private static final int START_TIME_FIELD = 19;

    private final Path proc;
    private final DoubleSupplier monotonicClock;

    /**
     * Reads from another folder than {@code /proc}, for tests.
     *
     * @param monotonicClock milliseconds
     */
    MachineUptimeReader(Path proc, DoubleSupplier monotonicClock) {
        this.proc = proc;
        this.monotonicClock = monotonicClock;
    }

    /** The uptime of this machine; UNKNOWN if it cannot be read. */
    static MachineUptime readMachine() {
        return new MachineUptimeReader(Path.of("/proc"), () -> System.nanoTime() / 1e6).read();
    }

    /** The uptime; UNKNOWN if it cannot be read or is not certainly the machine's. */
    MachineUptime read() {
        try {
            return isInInitialTimeNamespace() && agreesWithThreadStart() ? readBothClocks() : MachineUptime.UNKNOWN;
        } catch (IOException | RuntimeException | ExecutionException e) {
            return MachineUptime.UNKNOWN;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return MachineUptime.UNKNOWN;
        }
    }

    /** Only the initial time namespace can be recognized: the inodes of others are reused after their end. */
    private boolean isInInitialTimeNamespace() throws IOException {
        Path namespace = proc.resolve("self/ns/time");
        boolean unsupported = !Files.exists(namespace, LinkOption.NOFOLLOW_LINKS);
        return unsupported || Files.readSymbolicLink(namespace).toString().equals(INITIAL_TIME_NAMESPACE);
    }

    /** Whether {@code uptime} counts from the same moment as the kernel's start time of a thread that is started now. */
    private boolean agreesWithThreadStart() throws IOException, InterruptedException, ExecutionException {
        double before = readUptimeMillis();
        CompletableFuture<Double> started = new CompletableFuture<>();
        Thread thread = new Thread(() -> started.complete(currentThreadStartMillis()), "uptime");
        thread.setDaemon(true);
        thread.start();
        double start = started.get();
        double after = readUptimeMillis();
        return start >= before - ROUNDING_TOLERANCE_MILLIS && start <= after + ROUNDING_TOLERANCE_MILLIS;
    }

    /** Start of the current thread in milliseconds since the machine booted; NaN if it cannot be read. */
    private double currentThreadStartMillis() {
        try {
            String stat = Files.readString(proc.resolve("thread-self/stat"));
            String[] afterName = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Double.parseDouble(afterName[START_TIME_FIELD]) * MILLIS_PER_TICK;
        } catch (IOException | RuntimeException e) {
            return Double.NaN;
        }
    }

    private double readUptimeMillis() throws IOException {
        String seconds = Files.readString(proc.resolve("uptime")).strip().split(" ")[0];
        return Double.parseDouble(seconds) * MILLIS_PER_SECOND;
    }

    /** Reads both clocks close together; retries on a busy machine, and gives UNKNOWN if they stay too far apart. */
    private MachineUptime readBothClocks() throws IOException {
        String bootId = Files.readString(proc.resolve("sys/kernel/random/boot_id")).strip();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            double before = monotonicClock.getAsDouble();
            double uptime = readUptimeMillis();
            double after = monotonicClock.getAsDouble();
            if (after - before <= MAX_READING_GAP_MILLIS) {
                return new MachineUptime(bootId, uptime, after);
            }
        }
        return MachineUptime.UNKNOWN;
    }
}
