package gradereach.standins;

/** The shared model store: fetches slow each other down when many, and some are turned away beyond a limit. */
final class SimulatedModelStore {
    private final int fullSpeedFetches;
    private final int maxFetches;
    private int activeFetches;
    volatile double slowdown = 1;

    SimulatedModelStore(int atFullPace, int most) {
        this.fullSpeedFetches = atFullPace;
        this.maxFetches = most;
    }

    /** How long a fetch of that usual time takes now, milliseconds; -1 where it is turned away. */
    synchronized double startFetch(double usual) {
        if (activeFetches >= maxFetches) {
            return -1;
        }
        activeFetches++;
        return usual * slowdown * Math.max(1, (double) activeFetches / fullSpeedFetches);
    }

    synchronized void endFetch() {
        activeFetches--;
    }
}
