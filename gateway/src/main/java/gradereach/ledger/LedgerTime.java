package gradereach.ledger;

/** The clock of a ledger's records (ledger time), in milliseconds, and its relation to the monotonic time of this process. */
@FunctionalInterface
public interface LedgerTime {
    /** Timestamps that are monotonic time itself, for a ledger that does not outlive the process; {@link #now} returns NaN. */
    LedgerTime MONOTONIC = () -> Double.NaN;

    /** The present ledger time. Called from any thread. */
    double now();

    /** The ledger time from which on durations are known: an earlier record may be of any age. */
    default double durationsKnownSince() {
        return Double.NEGATIVE_INFINITY;
    }

    /** The timestamp of a record that is written at that monotonic time. */
    default double fromMonotonic(double monotonicTime) {
        return monotonicTime;
    }

    /** The monotonic time of a record's timestamp; NaN if the duration since then is not known. */
    default double toMonotonic(double timestamp) {
        return timestamp;
    }
}
