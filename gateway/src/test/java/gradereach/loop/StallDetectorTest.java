package gradereach.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StallDetectorTest {
    private double now;

    @ParameterizedTest
    @CsvSource({
        // last tick, next tick (0 for none yet), read at, what is read may have come at
        "100, 0, 105, 105", "100, 0, 150, 150", "100, 0, 800, 100", "100, 800, 810, 100", "100, 800, 899, 100",
        "100, 800, 901, 901", "100, 140, 145, 145",
    })
    void dataReadAfterStallMayHaveArrivedAtItsStart(double tick, double next, double read, double came) {
        StallDetector watch = new StallDetector(() -> now);
        for (double t = 0; t <= tick; t += 5) {
            watch.recordTick(t);
        }
        for (double t = next; next > 0 && t <= read; t += 5) {
            watch.recordTick(t);
        }
        now = read;
        assertEquals(came, watch.getAsDouble());
    }
}
