package gradereach.loop;

import gradereach.desk.InferenceCoordinator;
import java.time.Instant;

/** Monotonic time in milliseconds, and its conversion from and to wall clock time. */
public interface MonotonicClock extends InferenceCoordinator.WallClock {
    /** The current monotonic time in milliseconds. */
    double now();

    /**
     * Returns a clock that reads the machine's clocks. Monotonic time starts at 30 days, so that the start time of an executor
     * that started before this process is still positive; 0 or less means "long ago" to the router. Each conversion reads the
     * wall clock anew, so a step of the wall clock affects only later conversions.
     */
    static MonotonicClock system() {
        return new MonotonicClock() {
            private static final double START_MILLIS = 30d * 24 * 3600 * 1000;
            private final long startNanos = System.nanoTime();

            @Override
            public double now() {
                return START_MILLIS + (System.nanoTime() - startNanos) / 1e6;
            }

            @Override
            public double toMonotonic(double unixMillis) {
                return Math.max(1, now() - (System.currentTimeMillis() - unixMillis));
            }

            @Override
            public double toUnixMillis(double monotonicTime) {
                return System.currentTimeMillis() - (now() - monotonicTime);
            }

            @Override
            public Instant toInstant(double monotonicTime) {
                return Instant.ofEpochMilli(System.currentTimeMillis() - (long) (now() - monotonicTime));
            }
        };
    }
}
