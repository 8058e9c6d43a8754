package gradereach.ledger;

/**
 * A position in a ledger as one number that grows with every commit, also across restarts and compactions: the number of the last
 * segment and the bytes in it.
 */
public final class LedgerPosition {
    /** The position is not known; lower than any other. */
    public static final long UNKNOWN = 0;
    private static final int OFFSET_BITS = 40; // leaves room for segments of a terabyte, and eight million of them

    private LedgerPosition() { }

    /** The position at that many bytes of a segment. */
    public static long of(long segment, long bytes) {
        return segment << OFFSET_BITS | bytes;
    }

    /** The number of the segment of a position. */
    public static long segment(long position) {
        return position >>> OFFSET_BITS;
    }
}
