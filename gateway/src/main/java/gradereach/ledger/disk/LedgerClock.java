package gradereach.ledger.disk;

import gradereach.ledger.LedgerTime;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A ledger's time: Unix milliseconds as the wall clock showed them when the folder was first opened since the machine's
 * start, and from there on by the machine's uptime, over restarts of the process too. No step of the wall clock moves it.
 * How long the machine was down nobody tells: what was written before its start may be of any age.
 */
public final class LedgerClock implements LedgerTime {
    private static final Logger LOG = LoggerFactory.getLogger(LedgerClock.class);
    private static final String FILE = "clock";

    /** What the folder keeps: the ledger's time at one moment of the machine's uptime. */
    private record Anchor(MachineUptime uptime, double time, double knownSince) {
        static Anchor parse(String text) {
            String[] words = text.strip().split(" ");
            return new Anchor(new MachineUptime(words[0], Double.parseDouble(words[1]), Double.parseDouble(words[4])),
                    Double.parseDouble(words[2]), Double.parseDouble(words[3]));
        }

        String text() {
            return uptime.bootId() + " " + uptime.uptimeMillis() + " " + time + " " + knownSince + " " + uptime.monotonicMillis() + "\n";
        }
    }

    /** The ledger's time at one moment of module time. */
    private record Reference(double monotonicTime, double time, double knownSince) { }

    private final DoubleSupplier monotonicClock;
    private final DoubleSupplier wallClock;
    private final Supplier<MachineUptime> uptimes;
    private volatile Reference reference;

    /**
     * Until it is set it goes by the wall clock, and knows no span.
     *
     * @param moduleClock milliseconds that only go forward
     * @param wallClock Unix milliseconds
     */
    public LedgerClock(DoubleSupplier moduleClock, DoubleSupplier wallClock) {
        this(moduleClock, wallClock, MachineUptimeReader::readMachine);
    }

    LedgerClock(DoubleSupplier moduleClock, DoubleSupplier wallClock, Supplier<MachineUptime> uptimes) {
        this.monotonicClock = moduleClock;
        this.wallClock = wallClock;
        this.uptimes = uptimes;
        double time = wallClock.getAsDouble();
        reference = new Reference(moduleClock.getAsDouble(), time, time);
    }

    /**
     * Goes on from where the folder's ledger was, before anything is written to it.
     *
     * @param youngest the latest time among its records, minus infinity where it holds none
     */
    public void resume(Path folder, double youngest) {
        MachineUptime uptime = uptimes.get();
        Anchor anchor = read(folder);
        double elapsed = anchor == null ? Double.NaN : uptime.since(anchor.uptime);
        // Behind its own records it counts another start's uptime, whatever shows it.
        if (Double.isNaN(elapsed) || anchor.time + elapsed < youngest - MachineUptime.READING_TOLERANCE_MILLIS) {
            double time = Math.max(wallClock.getAsDouble(), youngest + 1);
            anchor = new Anchor(uptime, time, time);
            elapsed = 0;
            write(folder, anchor);
        }
        reference = new Reference(monotonicClock.getAsDouble(), anchor.time + elapsed, anchor.knownSince);
    }

    /**
     * Of a ledger that no front end has open: what is dated earlier has certainly been kept for so many milliseconds; minus
     * infinity where nobody can tell.
     */
    public static double retentionCutoff(Path folder, double kept) {
        Anchor anchor = read(folder);
        double elapsed = anchor == null ? Double.NaN : MachineUptimeReader.readMachine().since(anchor.uptime);
        boolean known = !Double.isNaN(elapsed) && anchor.time + elapsed - kept >= anchor.knownSince;
        return known ? anchor.time + elapsed - kept : Double.NEGATIVE_INFINITY;
    }

    /** What a ledger's time would be now if it were opened, NaN where nobody can tell. */
    static double now(Path folder) {
        Anchor anchor = read(folder);
        return anchor == null ? Double.NaN : anchor.time + MachineUptimeReader.readMachine().since(anchor.uptime);
    }

    private static Anchor read(Path folder) {
        try {
            String text = AtomicTextFile.read(folder, FILE);
            return text == null ? null : Anchor.parse(text);
        } catch (IOException | RuntimeException e) {
            return null; // not whole: the next one knows no span before it
        }
    }

    private static void write(Path folder, Anchor anchor) {
        try {
            AtomicTextFile.write(folder, FILE, anchor.text());
        } catch (IOException e) {
            LOG.atWarn().log("ledger clock not kept, the next start knows no span before it: {}", String.valueOf(e.getMessage()));
        }
    }

    @Override
    public double now() {
        return fromMonotonic(monotonicClock.getAsDouble());
    }

    @Override
    public double knownSince() {
        return reference.knownSince;
    }

    @Override
    public double fromMonotonic(double moduleTime) {
        Reference from = reference;
        return from.time + (moduleTime - from.monotonicTime);
    }

    @Override
    public double toMonotonic(double time) {
        Reference from = reference;
        return time < from.knownSince ? Double.NaN : from.monotonicTime + (time - from.time);
    }
}
