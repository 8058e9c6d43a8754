package gradereach.standins;

/** Simulates the shared model store: concurrent fetches slow each other down, and fetches beyond a limit are rejected. */
final class SimulatedModelStore {
    private final int fullSpeedFetches;
    private final int maxFetches;
    private int activeFetches;
    /** Factor by which fetches take longer than usual. */
    volatile double slowdown = 1;

    /** @param fullSpeedFetches number of concurrent fetches that do not slow each other down */
    SimulatedModelStore(int fullSpeedFetches, int maxFetches) {
        this.fullSpeedFetches = fullSpeedFetches;
        this.maxFetches = maxFetches;
    }

    /** Starts a fetch and returns how many milliseconds it takes under the current load; -1 if it is rejected. */
    synchronized double startFetch(double usualMillis) {
        if (activeFetches >= maxFetches) {
            return -1;
        }
        activeFetches++;
        return usualMillis * slowdown * Math.max(1, (double) activeFetches / fullSpeedFetches);
    }

    synchronized void endFetch() {
        activeFetches--;
    }
}
