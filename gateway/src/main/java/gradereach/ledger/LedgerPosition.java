package gradereach.ledger;

/**
 * How far a ledger has got, as one number that grows with every commit, over restarts and compactions too: the number of its
 * last segment and the bytes in it.
 */
public final class LedgerPosition {
    /** Where nobody knows. */
    public static final long UNKNOWN = 0;
    private static final int BITS_OF_BYTES = 40; // a terabyte a segment, and eight million segments

    private LedgerPosition() { }

    public static long of(long segment, long bytes) {
        return segment << BITS_OF_BYTES | bytes;
    }

    public static long segment(long position) {
        return position >>> BITS_OF_BYTES;
    }
}
