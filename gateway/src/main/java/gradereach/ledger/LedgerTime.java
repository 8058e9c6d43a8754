package gradereach.ledger;

/** The time that a ledger's records carry, in milliseconds, and what is known of spans between them. */
@FunctionalInterface
public interface LedgerTime {
    /** Of a ledger that does not outlive the process: module time itself. */
    LedgerTime MONOTONIC = () -> Double.NaN;

    /** The time now; may be asked by any thread. */
    double now();

    /** Since when spans are known: what is dated earlier may be of any age. */
    default double knownSince() {
        return Double.NEGATIVE_INFINITY;
    }

    /** The time of a record that is written at that module time. */
    default double fromMonotonic(double moduleTime) {
        return moduleTime;
    }

    /** Module time of a record's time; NaN where the span since then is not known. */
    default double toMonotonic(double time) {
        return time;
    }
}
