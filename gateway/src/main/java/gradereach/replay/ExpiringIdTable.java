package gradereach.replay;

/**
 * Ids that were seen within a time, each with the digest of what came under it: a wheel of time buckets, each an open
 * table of 128-bit fingerprints in one {@code long[]}. A bucket goes as a whole, so forgetting costs nothing, and an id
 * costs 24 bytes over the table's load, 38 to 77 in all, whatever its length. Looking one up tries every bucket.
 *
 * Two ids are taken for one only where their fingerprints agree in 128 bits, which no sender can bring about without
 * the signing key's customer being its own; that its own two ids meet has a chance of one in 2^128 for each pair.
 */
public final class ExpiringIdTable {
    /** What a lookup found. */
    public enum Lookup { NOT_FOUND, SAME_DIGEST, OTHER_DIGEST }

    private static final int LONGS_PER_SLOT = 3;
    private static final int INITIAL_SLOTS = 1024;
    private static final double MAX_LOAD_FACTOR = 0.625; // linear probing stays at two to three looks

    private static final class Bucket {
        long[] table = new long[INITIAL_SLOTS * LONGS_PER_SLOT];
        int usedSlots;
        long period = -1;

        /** Index of its slot, or of the empty one where it belongs. The second word is never 0 in a used slot. */
        int findSlot(long high, long low) {
            int slots = table.length / LONGS_PER_SLOT;
            int at = (int) (high >>> 1) & slots - 1;
            while (table[at * LONGS_PER_SLOT + 1] != 0 && (table[at * LONGS_PER_SLOT] != high || table[at * LONGS_PER_SLOT + 1] != low)) {
                at = at + 1 & slots - 1;
            }
            return at * LONGS_PER_SLOT;
        }

        void grow() {
            long[] old = table;
            table = new long[old.length * 2];
            for (int i = 0; i < old.length; i += LONGS_PER_SLOT) {
                if (old[i + 1] != 0) {
                    System.arraycopy(old, i, table, findSlot(old[i], old[i + 1]), LONGS_PER_SLOT);
                }
            }
        }
    }

    private final Bucket[] buckets;
    private final double bucketMillis;
    private final int maxIds;
    private int size;

    /**
     * @param kept milliseconds for which an id is remembered at least; an eighth more at most
     * @param most ids at one time
     */
    public ExpiringIdTable(double kept, int most) {
        // One bucket more than whole parts of the time: the one being filled.
        buckets = new Bucket[9];
        bucketMillis = kept / 8;
        this.maxIds = most;
        for (int i = 0; i < buckets.length; i++) {
            buckets[i] = new Bucket();
        }
    }

    private Bucket currentBucket(double now) {
        long number = (long) Math.floor(now / bucketMillis);
        for (Bucket bucket : buckets) {
            if (bucket.period >= 0 && bucket.period <= number - buckets.length) {
                clear(bucket);
            }
        }
        Bucket bucket = buckets[(int) (number % buckets.length)];
        bucket.period = number;
        return bucket;
    }

    private void clear(Bucket bucket) {
        size -= bucket.usedSlots;
        bucket.usedSlots = 0;
        bucket.period = -1;
        // A quiet time after a loud one gives the room back.
        bucket.table = new long[INITIAL_SLOTS * LONGS_PER_SLOT];
    }

    /** Whether it was seen, and with the same digest. */
    public Lookup find(long high, long low, long digest, double now) {
        currentBucket(now);
        long second = low == 0 ? 1 : low;
        for (Bucket bucket : buckets) {
            if (bucket.usedSlots > 0) {
                int at = bucket.findSlot(high, second);
                if (bucket.table[at + 1] != 0) {
                    return bucket.table[at + 2] == digest ? Lookup.SAME_DIGEST : Lookup.OTHER_DIGEST;
                }
            }
        }
        return Lookup.NOT_FOUND;
    }

    /** Remembers one that was not seen; false where there is no room. */
    public boolean add(long high, long low, long digest, double now) {
        Bucket bucket = currentBucket(now);
        if (size >= maxIds) {
            return false;
        }
        if (bucket.usedSlots >= bucket.table.length / LONGS_PER_SLOT * MAX_LOAD_FACTOR) {
            bucket.grow();
        }
        int at = bucket.findSlot(high, low == 0 ? 1 : low);
        if (bucket.table[at + 1] == 0) {
            bucket.usedSlots++;
            size++;
        }
        bucket.table[at] = high;
        bucket.table[at + 1] = low == 0 ? 1 : low;
        bucket.table[at + 2] = digest;
        return true;
    }

    public int size() {
        return size;
    }

    /** Bytes of its tables. */
    public long memoryBytes() {
        long sum = 0;
        for (Bucket bucket : buckets) {
            sum += 8L * bucket.table.length;
        }
        return sum;
    }
}
