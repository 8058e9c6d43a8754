package gradereach.loop;

import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * Notices that this whole process stood still. What is read right after a halt may have come at any time during it: its
 * client's clock is taken to run from the halt's start. Guards against spending time on inferences whose clients have
 * given up; harms only what truly came right after a halt, by at most its length.
 */
public final class StallDetector implements DoubleSupplier, AutoCloseable {
    private static final long CHECK_INTERVAL_NANOS = 5_000_000;
    private static final double STALL_THRESHOLD_MILLIS = 50; // as the module has it: longer than a busy machine's scheduling
    private static final double BACKLOG_READ_MILLIS = 100; // a backlog of sockets is read within this

    private final DoubleSupplier clock;
    private final Thread thread;
    private volatile double lastTick;
    private volatile double stallStart = Double.NEGATIVE_INFINITY;
    private volatile double stallEnd = Double.NEGATIVE_INFINITY;
    private volatile boolean closing;

    public StallDetector(DoubleSupplier clock) {
        this.clock = clock;
        lastTick = clock.getAsDouble();
        thread = new Thread(() -> {
            while (!closing) {
                recordTick(clock.getAsDouble());
                LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
            }
        }, "halt-watch");
        thread.setDaemon(true);
    }

    /** Before this no halt is seen: a process that starts takes its time. */
    public void start() {
        lastTick = clock.getAsDouble();
        thread.start();
    }

    void recordTick(double now) {
        double before = lastTick;
        if (now - before > STALL_THRESHOLD_MILLIS) {
            stallStart = before;
            stallEnd = now;
        }
        lastTick = now;
    }

    /** The earliest time at which what is read now may have come; module time. */
    @Override
    public double getAsDouble() {
        double now = clock.getAsDouble();
        double tick = lastTick;
        return now - tick > STALL_THRESHOLD_MILLIS ? tick : now - stallEnd < BACKLOG_READ_MILLIS ? stallStart : now;
    }

    @Override
    public void close() {
        closing = true;
    }
}
