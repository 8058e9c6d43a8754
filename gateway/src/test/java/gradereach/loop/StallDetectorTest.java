package gradereach.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StallDetectorTest {
    private double now;

    @ParameterizedTest
    @CsvSource({
        // last tick, next tick (0 for none yet), time of the read, earliest time at which the data may have arrived
        "100, 0, 105, 105", "100, 0, 150, 150", "100, 0, 800, 100", "100, 800, 810, 100", "100, 800, 899, 100",
        "100, 800, 901, 901", "100, 140, 145, 145",
    })
    void dataReadAfterStallMayHaveArrivedAtItsStart(double lastTick, double nextTick, double readAt, double earliestArrival) {
        StallDetector detector = new StallDetector(() -> now);
        for (double t = 0; t <= lastTick; t += 5) {
            detector.recordTick(t);
        }
        for (double t = nextTick; nextTick > 0 && t <= readAt; t += 5) {
            detector.recordTick(t);
        }
        now = readAt;
        assertEquals(earliestArrival, detector.getAsDouble());
    }
}
