package gradereach.loop;

import gradereach.desk.InferenceCoordinator;
import java.time.Instant;

/** Module time: milliseconds that only go forward, and their relation to the wall's clock. */
public interface MonotonicClock extends InferenceCoordinator.WallClock {
    double now();

    /**
     * The machine's clocks. Module time begins a month after its zero: an executor that started before this process
     * must not come out below zero, which means "long ago" to the module. The wall's clock is read once more at every
     * conversion, so a step of it moves what is converted after it and nothing else.
     */
    static MonotonicClock system() {
        return new MonotonicClock() {
            private static final double MONTH = 30d * 24 * 3600 * 1000;
            private final long zero = System.nanoTime();

            @Override
            public double now() {
                return MONTH + (System.nanoTime() - zero) / 1e6;
            }

            @Override
            public double toMonotonic(double unixMillis) {
                return Math.max(1, now() - (System.currentTimeMillis() - unixMillis));
            }

            @Override
            public double toUnixMillis(double moduleTime) {
                return System.currentTimeMillis() - (now() - moduleTime);
            }

            @Override
            public Instant toInstant(double moduleTime) {
                return Instant.ofEpochMilli(System.currentTimeMillis() - (long) (now() - moduleTime));
            }
        };
    }
}
