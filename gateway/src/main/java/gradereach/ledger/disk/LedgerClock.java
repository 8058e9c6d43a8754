package gradereach.ledger.disk;

import gradereach.ledger.LedgerTime;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The clock of a ledger: Unix milliseconds by the wall clock when the folder was first opened after the machine booted, and from
 * there on by the machine's uptime, also across restarts of the process. Steps of the wall clock do not affect it. How long the
 * machine was down is not known, so records that were written before it booted may be of any age.
 */
public final class LedgerClock implements LedgerTime {
    private static final Logger LOG = LoggerFactory.getLogger(LedgerClock.class);
    private static final String ANCHOR_FILE = "clock";

    /**
     * The ledger time at one reading of the machine's uptime, stored in the folder as a line of five fields: boot id, uptime,
     * ledger time, the time from which durations are known, and monotonic clock.
     */
    private record Anchor(MachineUptime uptime, double ledgerTime, double durationsKnownSince) {
        static Anchor parse(String text) {
            String[] fields = text.strip().split(" ");
            return new Anchor(new MachineUptime(fields[0], Double.parseDouble(fields[1]), Double.parseDouble(fields[4])),
                    Double.parseDouble(fields[2]), Double.parseDouble(fields[3]));
        }

        String text() {
            return uptime.bootId() + " " + uptime.uptimeMillis() + " " + ledgerTime + " " + durationsKnownSince + " "
                    + uptime.monotonicMillis() + "\n";
        }
    }

    /** The ledger time at one moment of monotonic time. */
    private record Reference(double monotonicTime, double ledgerTime, double durationsKnownSince) { }

    private final DoubleSupplier monotonicClock;
    private final DoubleSupplier wallClock;
    private final Supplier<MachineUptime> uptimeReader;
    private volatile Reference reference;

    /**
     * Creates a clock that starts at the wall clock's time and knows no earlier durations, until {@link #resume}.
     *
     * @param monotonicClock milliseconds
     * @param wallClock Unix milliseconds
     */
    public LedgerClock(DoubleSupplier monotonicClock, DoubleSupplier wallClock) {
        this(monotonicClock, wallClock, MachineUptimeReader::readMachine);
    }

    LedgerClock(DoubleSupplier monotonicClock, DoubleSupplier wallClock, Supplier<MachineUptime> uptimeReader) {
        this.monotonicClock = monotonicClock;
        this.wallClock = wallClock;
        this.uptimeReader = uptimeReader;
        double wallTime = wallClock.getAsDouble();
        reference = new Reference(monotonicClock.getAsDouble(), wallTime, wallTime);
    }

    /**
     * Continues the time of the folder's ledger. Called before anything is written to it.
     *
     * @param latestTimestamp the latest timestamp of its records; minus infinity without any
     */
    public void resume(Path folder, double latestTimestamp) {
        MachineUptime uptime = uptimeReader.get();
        Anchor anchor = read(folder);
        double elapsedMillis = anchor == null ? Double.NaN : uptime.millisSince(anchor.uptime);
        // A time before the latest record means that the uptime counts from another boot.
        if (Double.isNaN(elapsedMillis)
                || anchor.ledgerTime + elapsedMillis < latestTimestamp - MachineUptime.READING_TOLERANCE_MILLIS) {
            double ledgerTime = Math.max(wallClock.getAsDouble(), latestTimestamp + 1);
            anchor = new Anchor(uptime, ledgerTime, ledgerTime);
            elapsedMillis = 0;
            write(folder, anchor);
        }
        reference = new Reference(monotonicClock.getAsDouble(), anchor.ledgerTime + elapsedMillis, anchor.durationsKnownSince);
    }

    /**
     * The ledger time before which records are certainly older than the retention, for a ledger that no front end has open; minus
     * infinity if that is not known.
     *
     * @param retention milliseconds
     */
    public static double retentionCutoff(Path folder, double retention) {
        Anchor anchor = read(folder);
        double elapsedMillis = anchor == null ? Double.NaN : MachineUptimeReader.readMachine().millisSince(anchor.uptime);
        boolean isKnown = !Double.isNaN(elapsedMillis)
                && anchor.ledgerTime + elapsedMillis - retention >= anchor.durationsKnownSince;
        return isKnown ? anchor.ledgerTime + elapsedMillis - retention : Double.NEGATIVE_INFINITY;
    }

    /** The ledger time now of a ledger that is not open; NaN if it is not known. */
    static double now(Path folder) {
        Anchor anchor = read(folder);
        return anchor == null ? Double.NaN : anchor.ledgerTime + MachineUptimeReader.readMachine().millisSince(anchor.uptime);
    }

    private static Anchor read(Path folder) {
        try {
            String text = AtomicTextFile.read(folder, ANCHOR_FILE);
            return text == null ? null : Anchor.parse(text);
        } catch (IOException | RuntimeException e) {
            return null; // incomplete: without an anchor, durations before the next one are not known
        }
    }

    private static void write(Path folder, Anchor anchor) {
        try {
            AtomicTextFile.write(folder, ANCHOR_FILE, anchor.text());
        } catch (IOException e) {
            LOG.atWarn().log("ledger clock not stored, the next start cannot tell the age of earlier records: {}",
                    String.valueOf(e.getMessage()));
        }
    }

    @Override
    public double now() {
        return fromMonotonic(monotonicClock.getAsDouble());
    }

    @Override
    public double durationsKnownSince() {
        return reference.durationsKnownSince;
    }

    @Override
    public double fromMonotonic(double monotonicTime) {
        Reference current = reference;
        return current.ledgerTime + (monotonicTime - current.monotonicTime);
    }

    @Override
    public double toMonotonic(double timestamp) {
        Reference current = reference;
        return timestamp < current.durationsKnownSince ? Double.NaN : current.monotonicTime + (timestamp - current.ledgerTime);
    }
}
