package gradereach.ledger.disk;

/**
 * A moment by the machine's uptime, suspended time included, beside the reading of a monotonic clock that excludes it: on
 * HotSpot {@link System#nanoTime} reads Linux's CLOCK_MONOTONIC, which no container's view of {@code /proc} changes.
 *
 * @param boot the random id of the machine's start; empty where the machine does not tell
 * @param millis since the machine's start
 * @param monotonic milliseconds
 */
record MachineUptime(String bootId, double uptimeMillis, double monotonicMillis) {
    /** Where no uptime can be had that is certainly the machine's: no span to it is known. */
    static final MachineUptime UNKNOWN = new MachineUptime("", Double.NaN, Double.NaN);
    /** Milliseconds by which two readings may differ: an uptime is told in hundredths of a second. */
    static final double READING_TOLERANCE_MILLIS = 100;

    /** Milliseconds for which the machine was suspended since its start, by the two clocks. */
    private double suspendedMillis() {
        return uptimeMillis - monotonicMillis;
    }

    /** An uptime that is less than the time not suspended counts from a later moment than the machine's start. */
    private boolean countsFromBoot() {
        return !bootId.isEmpty() && suspendedMillis() >= -READING_TOLERANCE_MILLIS;
    }

    /** Milliseconds from the other moment to this one; NaN where the two cannot be compared. */
    double since(MachineUptime other) {
        boolean sameStart = countsFromBoot() && other.countsFromBoot() && bootId.equals(other.bootId);
        // Time suspended only grows; where it shrank, one of the two counts another start's uptime.
        boolean sameCount = suspendedMillis() >= other.suspendedMillis() - READING_TOLERANCE_MILLIS;
        return sameStart && sameCount && uptimeMillis >= other.uptimeMillis ? uptimeMillis - other.uptimeMillis : Double.NaN;
    }
}
