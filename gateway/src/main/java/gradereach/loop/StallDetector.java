package gradereach.loop;

import java.util.concurrent.locks.LockSupport;
import java.util.function.DoubleSupplier;

/**
 * Detects that the whole process was stalled. What is read right after a stall may have arrived at any time during it, so its
 * client is assumed to have waited since the start of the stall. This guards against spending time on inferences whose clients
 * have given up. A message that really arrived right after a stall loses at most the length of the stall from its budget.
 */
public final class StallDetector implements DoubleSupplier, AutoCloseable {
    private static final long CHECK_INTERVAL_NANOS = 5_000_000;
    private static final double STALL_THRESHOLD_MILLIS = 50; // as in the router: longer than scheduling delays of a busy machine
    private static final double BACKLOG_READ_MILLIS = 100; // what arrived on sockets during a stall is read within this time

    private final DoubleSupplier clock;
    private final Thread thread;
    private volatile double lastTick;
    private volatile double stallStart = Double.NEGATIVE_INFINITY;
    private volatile double stallEnd = Double.NEGATIVE_INFINITY;
    private volatile boolean closing;

    /**
     * Creates a detector; {@link #start} starts it.
     *
     * @param clock monotonic time in milliseconds
     */
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

    /** Starts detection; before this, no stall is detected, since the start of a process takes its time. */
    public void start() {
        lastTick = clock.getAsDouble();
        thread.start();
    }

    /** Records that the process runs; a long gap since the last tick is a stall. */
    void recordTick(double now) {
        double previousTick = lastTick;
        if (now - previousTick > STALL_THRESHOLD_MILLIS) {
            stallStart = previousTick;
            stallEnd = now;
        }
        lastTick = now;
    }

    /** Returns the earliest time at which data that is read now may have arrived, monotonic time in milliseconds. */
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
