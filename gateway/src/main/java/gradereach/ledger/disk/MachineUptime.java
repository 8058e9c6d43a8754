package gradereach.ledger.disk;

/**
 * A reading of the machine's uptime, which includes suspended time, together with a reading of a monotonic clock that excludes it.
 * On HotSpot {@link System#nanoTime} reads Linux's CLOCK_MONOTONIC, which is independent of a container's view of {@code /proc}.
 *
 * @param bootId random id that the machine draws when it boots; empty if it is not known
 * @param uptimeMillis milliseconds since the machine booted
 * @param monotonicMillis reading of the monotonic clock
 */
record MachineUptime(String bootId, double uptimeMillis, double monotonicMillis) {
    /** Stands for a reading that failed or may not be the machine's own uptime; {@link #millisSince} then returns NaN. */
    static final MachineUptime UNKNOWN = new MachineUptime("", Double.NaN, Double.NaN);
    /** Tolerance between two readings, well above the resolution of an uptime, a hundredth of a second. */
    static final double READING_TOLERANCE_MILLIS = 100;

    /** Milliseconds for which the machine was suspended since it booted, as the difference of the two clocks. */
    private double suspendedMillis() {
        return uptimeMillis - monotonicMillis;
    }

    /** Whether the uptime counts from the boot; if it is less than the monotonic time, it counts from a later moment. */
    private boolean countsFromBoot() {
        return !bootId.isEmpty() && suspendedMillis() >= -READING_TOLERANCE_MILLIS;
    }

    /** Milliseconds from the other reading to this one; NaN if the two cannot be compared. */
    double millisSince(MachineUptime other) {
        boolean sameBoot = countsFromBoot() && other.countsFromBoot() && bootId.equals(other.bootId);
        // Suspended time only grows; if it shrank, one of the two uptimes counts from something other than this boot.
        boolean consistent = suspendedMillis() >= other.suspendedMillis() - READING_TOLERANCE_MILLIS;
        return sameBoot && consistent && uptimeMillis >= other.uptimeMillis ? uptimeMillis - other.uptimeMillis : Double.NaN;
    }
}
