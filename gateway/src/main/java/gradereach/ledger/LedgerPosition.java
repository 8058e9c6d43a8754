package gradereach.ledger;

/**
 * How far a ledger has got, as one number that grows with every commit, over restarts and compactions too: the number of its
 * last segment and the bytes in it.
 */
public final class LedgerPosition {
    /** Where nobody knows. */
    public static final long UNKNOWN = 0;
    private static final int OFFSET_BITS = 40; // a terabyte a segment, and eight million segments

    private LedgerPosition() { }

    public static long of(long segment, long bytes) {
        return segment << OFFSET_BITS | bytes;
    }

    public static long segment(long position) {
        return position >>> OFFSET_BITS;
    }
}
