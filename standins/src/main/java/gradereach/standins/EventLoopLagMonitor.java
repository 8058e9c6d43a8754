package gradereach.standins;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Watches how late the threads of a stand-in come to their work. What they date during such a time may have come at any
 * moment of it: the transcript says so, and the auditor does not hold it against a front end.
 */
public final class EventLoopLagMonitor {
    private static final long TICK_MILLIS = 5;
    /** Less is within what the auditor allows for clocks anyway. */
    private static final double MIN_LAG_MILLIS = 10;

    private EventLoopLagMonitor() { }

    /**
     * From now on each of these event loops writes a line {@code lag} for every time during which it did nothing.
     *
     * @param of whose they are
     */
    public static void watch(Iterable<EventExecutor> loops, String of, Transcript transcript) {
        loops.forEach(loop -> watch(loop, of, transcript));
    }

    private static void watch(EventExecutor loop, String of, Transcript transcript) {
        double[] last = {Transcript.now()};
        loop.scheduleAtFixedRate(() -> {
            double now = Transcript.now();
            if (now - last[0] - TICK_MILLIS > MIN_LAG_MILLIS) {
                transcript.writeAt(now, "lag", "of", of, "from", last[0]);
            }
            last[0] = now;
        }, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }
}
