package gradereach.remotewrite;

/**
 * Calculates how many shards send in parallel: enough to send the incoming samples and a part of the backlog at the recent send
 * time of a sample. Modelled on the Prometheus sender, as its documentation of remote write tuning describes it. No I/O, no clock.
 */
public final class ShardCalculator {
    /** Weight of a new interval in the moving averages, which so cover about ten intervals. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Part of the backlog that is to be sent within one interval. */
    private static final double BACKLOG_FRACTION = 0.05;
    /** Relative change below which the number stays: each change interrupts sending briefly. */
    private static final double TOLERANCE = 0.3;

    private final int maxShards;
    private int shards = 1;
    private double samplesInPerMilli;
    private double samplesOutPerMilli;
    private double busyShards;
    private boolean initialized;

    public ShardCalculator(int maxShards) {
        this.maxShards = maxShards;
    }

    /**
     * Updates the number of shards after an interval.
     *
     * @param intervalMillis length of the interval
     * @param added samples added in it
     * @param sent samples that were accepted or rejected in it
     * @param sendingMillis time during which batches were in flight, summed over all shards
     * @param pending samples that wait to be sent
     * @param failing whether the last request failed: more shards would only fail more often
     * @return the new number of shards
     */
    public int update(double intervalMillis, long added, long sent, double sendingMillis, long pending, boolean failing) {
        double weight = initialized ? SMOOTHING_FACTOR : 1;
        initialized = true;
        samplesInPerMilli += weight * (added / intervalMillis - samplesInPerMilli);
        samplesOutPerMilli += weight * (sent / intervalMillis - samplesOutPerMilli);
        busyShards += weight * (sendingMillis / intervalMillis - busyShards);
        if (failing || samplesOutPerMilli <= 0) {
            return shards;
        }
        double millisPerSample = busyShards / samplesOutPerMilli;
        double neededShards = millisPerSample * (samplesInPerMilli + BACKLOG_FRACTION * pending / intervalMillis);
        if (Math.abs(neededShards - shards) > TOLERANCE * shards) {
            shards = Math.max(1, Math.min(maxShards, (int) Math.ceil(neededShards)));
        }
        return shards;
    }

    public int shards() {
        return shards;
    }
}
