package gradereach.remotewrite;

/**
 * How many shards send at once: as many as it takes to send what comes in, and a little of what has piled up, at the time that a
 * sample has taken lately. After Prometheus' own sender, as its documentation of remote write tuning describes it. No I/O, no clock.
 */
public final class ShardCalculator {
    /** Each new figure counts a fifth: some ten intervals remember. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** A twentieth of what has piled up is to be gone in an interval. */
    private static final double BACKLOG_FRACTION = 0.05;
    /** Within this of the present number nothing changes: each change stops sending for a moment. */
    private static final double TOLERANCE = 0.3;

    private final int maxShards;
    private int shards = 1;
    private double samplesInPerMilli;
    private double samplesOutPerMilli;
    private double busyShards;
    private boolean initialized;

    public ShardCalculator(int most) {
        this.maxShards = most;
    }

    /**
     * One interval has passed.
     *
     * @param millis how long it was
     * @param added samples that came in
     * @param sent samples that were accepted or refused
     * @param sending milliseconds during which batches were out, over all shards
     * @param held samples that wait
     * @param failing whether the receiver failed last: more shards would only fail more often
     * @return shards from now on
     */
    public int update(double millis, long added, long sent, double sending, long held, boolean failing) {
        double weight = initialized ? SMOOTHING_FACTOR : 1;
        initialized = true;
        samplesInPerMilli += weight * (added / millis - samplesInPerMilli);
        samplesOutPerMilli += weight * (sent / millis - samplesOutPerMilli);
        busyShards += weight * (sending / millis - busyShards);
        if (failing || samplesOutPerMilli <= 0) {
            return shards;
        }
        double each = busyShards / samplesOutPerMilli;
        double wanted = each * (samplesInPerMilli + BACKLOG_FRACTION * held / millis);
        if (Math.abs(wanted - shards) > TOLERANCE * shards) {
            shards = Math.max(1, Math.min(maxShards, (int) Math.ceil(wanted)));
        }
        return shards;
    }

    public int shards() {
        return shards;
    }
}
