package gradereach.replay;

/**
 * The ids seen within a retention time, each with the digest of the message that came under it. A ring of time buckets,
 * each an open-addressing hash table of 128-bit fingerprints in one {@code long[]}. A bucket expires as a whole, which
 * costs nothing per id. An id takes 24 bytes divided by the load factor, 38 to 77 bytes in all, regardless of its length. A
 * lookup searches every bucket.
 *
 * <p>Two ids collide only if all 128 bits of their fingerprints are equal. A sender can cause that only among the ids of
 * its own customer, whose signing key it needs; two such ids collide by chance with a probability of 2^-128.
 */
public final class ExpiringIdTable {
    /** The result of a lookup. */
    public enum Lookup { NOT_FOUND, SAME_DIGEST, OTHER_DIGEST }

    private static final int LONGS_PER_SLOT = 3;
    private static final int INITIAL_SLOTS = 1024;
    private static final int BUCKETS_PER_RETENTION = 8;
    private static final double MAX_LOAD_FACTOR = 0.625; // linear probing then takes two to three probes

    private static final class Bucket {
        long[] table = new long[INITIAL_SLOTS * LONGS_PER_SLOT];
        int usedSlots;
        long period = -1;

        /** Index of the slot of an id, or of the empty slot for it. The second long of a used slot is never 0. */
        int findSlot(long high, long low) {
            int slots = table.length / LONGS_PER_SLOT;
            int slot = (int) (high >>> 1) & slots - 1;
            while (table[slot * LONGS_PER_SLOT + 1] != 0
                    && (table[slot * LONGS_PER_SLOT] != high || table[slot * LONGS_PER_SLOT + 1] != low)) {
                slot = slot + 1 & slots - 1;
            }
            return slot * LONGS_PER_SLOT;
        }

        void grow() {
            long[] oldTable = table;
            table = new long[oldTable.length * 2];
            for (int i = 0; i < oldTable.length; i += LONGS_PER_SLOT) {
                if (oldTable[i + 1] != 0) {
                    System.arraycopy(oldTable, i, table, findSlot(oldTable[i], oldTable[i + 1]), LONGS_PER_SLOT);
                }
            }
        }
    }

    private final Bucket[] buckets;
    private final double bucketMillis;
    private final int maxIds;
    private int size;

    /**
     * @param retentionMillis minimum time for which an id is kept; the maximum is an eighth longer
     * @param maxIds ids at one time
     */
    public ExpiringIdTable(double retentionMillis, int maxIds) {
        // One bucket more than the retention time needs: the one that is being filled.
        buckets = new Bucket[BUCKETS_PER_RETENTION + 1];
        bucketMillis = retentionMillis / BUCKETS_PER_RETENTION;
        this.maxIds = maxIds;
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = new Bucket();
        }
    }

    private Bucket currentBucket(double now) {
        long period = (long) Math.floor(now / bucketMillis);
        for (Bucket bucket : buckets) {
            if (bucket.period >= 0 && bucket.period <= period - buckets.length) {
                clear(bucket);
            }
        }
        Bucket bucket = buckets[(int) (period % buckets.length)];
        bucket.period = period;
        return bucket;
    }

    private void clear(Bucket bucket) {
        size -= bucket.usedSlots;
        bucket.usedSlots = 0;
        bucket.period = -1;
        // Releases the memory after a period of high load.
        bucket.table = new long[INITIAL_SLOTS * LONGS_PER_SLOT];
    }

    /**
     * Whether an id was seen, and with the same digest.
     *
     * @param high first half of the id's 128-bit fingerprint
     * @param low second half of the id's fingerprint
     * @param digest of the message that came under the id
     */
    public Lookup find(long high, long low, long digest, double now) {
        currentBucket(now);
        long nonZeroLow = low == 0 ? 1 : low;
        for (Bucket bucket : buckets) {
            if (bucket.usedSlots > 0) {
                int slot = bucket.findSlot(high, nonZeroLow);
                if (bucket.table[slot + 1] != 0) {
                    return bucket.table[slot + 2] == digest ? Lookup.SAME_DIGEST : Lookup.OTHER_DIGEST;
                }
            }
        }
        return Lookup.NOT_FOUND;
    }

    /** Adds an id that {@link #find} did not find, with the same parameters. Returns false if the table is full. */
    public boolean add(long high, long low, long digest, double now) {
        Bucket bucket = currentBucket(now);
        if (size >= maxIds) {
            return false;
        }
        if (bucket.usedSlots >= bucket.table.length / LONGS_PER_SLOT * MAX_LOAD_FACTOR) {
            bucket.grow();
        }
        int slot = bucket.findSlot(high, low == 0 ? 1 : low);
        if (bucket.table[slot + 1] == 0) {
            bucket.usedSlots++;
            size++;
        }
        bucket.table[slot] = high;
        bucket.table[slot + 1] = low == 0 ? 1 : low;
        bucket.table[slot + 2] = digest;
        return true;
    }

    /** Ids in the table. */
    public int size() {
        return size;
    }

    /** Bytes of memory that the tables take. */
    public long memoryBytes() {
        long total = 0;
        for (Bucket bucket : buckets) {
            total += 8L * bucket.table.length;
        }
        return total;
    }
}
