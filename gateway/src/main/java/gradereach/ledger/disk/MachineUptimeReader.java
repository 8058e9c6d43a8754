package gradereach.ledger.disk;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.DoubleSupplier;

/**
 * Reads the machine's uptime from proc(5), where it is certainly the machine's. Two things may show a container an uptime of
 * its own: a file system laid over {@code /proc/uptime}, and a time namespace (time_namespaces(7)), which shifts the
 * monotonic clock as well.
 */
final class MachineUptimeReader {
    private static final double MILLIS_PER_SECOND = 1000;
    /** Of {@code starttime}: Linux tells it in hundredths of a second on every machine that Java 17 runs on. */
    private static final double MILLIS_PER_TICK = 10;
    /** Milliseconds by which two readings that are cut to hundredths of a second may cross. */
    private static final double ROUNDING_TOLERANCE_MILLIS = 2 * MILLIS_PER_TICK;
    /** Milliseconds between two monotonic readings that one uptime is read between. */
    private static final double MAX_READING_GAP_MILLIS = 20;
    private static final int MAX_ATTEMPTS = 100;
    /** Linux gives the namespace that the machine itself is in this number (PROC_TIME_INIT_INO), and none other ever. */
    private static final String INITIAL_TIME_NAMESPACE = "time:[4026531834]";
    /** In {@code stat}, counted from the state, which follows the name in brackets. */
    private static final int START_TIME_FIELD = 19;

    private final Path proc;
    private final DoubleSupplier monotonicClock;

    /** @param monotonicClock milliseconds */
    MachineUptimeReader(Path proc, DoubleSupplier monotonicClock) {
        this.proc = proc;
        this.monotonicClock = monotonicClock;
    }

    static MachineUptime readMachine() {
        return new MachineUptimeReader(Path.of("/proc"), () -> System.nanoTime() / 1e6).read();
    }

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

    /** Numbers of other namespaces are given anew once they have ended, so that none of them tells one from the next. */
    private boolean isInInitialTimeNamespace() throws IOException {
        Path namespace = proc.resolve("self/ns/time");
        boolean kernelHasNone = !Files.exists(namespace, LinkOption.NOFOLLOW_LINKS);
        return kernelHasNone || Files.readSymbolicLink(namespace).toString().equals(INITIAL_TIME_NAMESPACE);
    }

    /** Whether {@code uptime} counts from where the kernel counts the start of a thread that starts now. */
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

    /** Milliseconds from the machine's start; NaN where it cannot be read. */
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

    /** Both clocks at one moment, or as near as a busy machine lets them be read. */
    private MachineUptime readBothClocks() throws IOException {
        String boot = Files.readString(proc.resolve("sys/kernel/random/boot_id")).strip();
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            double before = monotonicClock.getAsDouble();
            double uptime = readUptimeMillis();
            double after = monotonicClock.getAsDouble();
            if (after - before <= MAX_READING_GAP_MILLIS) {
                return new MachineUptime(boot, uptime, after);
            }
        }
        return MachineUptime.UNKNOWN;
    }
}
