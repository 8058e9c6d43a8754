package gradereach.standins;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Monitors the lag of the event loops of a stand-in. Events that are read after a lag may have arrived at any time during it, so
 * the lag is written to the transcript and the auditor treats findings that it may explain as inconclusive.
 */
public final class EventLoopLagMonitor {
    private static final long TICK_MILLIS = 5;
    /** Shorter lags are within the slack of the auditor. */
    private static final double MIN_LAG_MILLIS = 10;

    private EventLoopLagMonitor() { }

    /**
     * From now on each of these event loops writes an event {@code lag} for every interval in which it did not run.
     *
     * @param owner name of the process that runs the event loops
     */
    public static void watch(Iterable<EventExecutor> loops, String owner, Transcript transcript) {
        loops.forEach(loop -> watch(loop, owner, transcript));
    }

    private static void watch(EventExecutor loop, String owner, Transcript transcript) {
        double[] lastTick = {Transcript.now()};
        loop.scheduleAtFixedRate(() -> {
            double now = Transcript.now();
            if (now - lastTick[0] - TICK_MILLIS > MIN_LAG_MILLIS) {
                transcript.writeAt(now, "lag", "of", owner, "from", lastTick[0]);
            }
            lastTick[0] = now;
        }, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }
}
