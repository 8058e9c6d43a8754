package gradereach.measures;

import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Which names have a slot of their own: the most used lately, so many at most; all others share slot 0. A name that is not
 * known must be seen clearly more often than the least used one before it takes that one's slot, by the estimate of a
 * count-min sketch (Cormode and Muthukrishnan) that is halved now and then, so that a scan through a million names changes
 * nothing. One thread writes; any thread reads, by {@link #stamp} before and after.
 *
 * Made for the job: a plain map of names grows with the names, an LRU lets a scan evict everything.
 */
public final class TopNames {
    /** Told before a slot changes its name: what it holds belongs to the others from here on. */
    public interface EvictionListener {
        void onEvicted(int slot);
    }

    public static final String OTHERS = "other";
    private static final int SKETCH_ROWS = 4;

    private final int maxNames;
    private final EvictionListener evictionListener;
    private final int sketchMask;
    private final int[] sketch;
    private final int agingInterval;
    private int usesUntilAging;

    // Open addressing from a name's hash to its slot; twice to four times as wide as the slots.
    private final int tableMask;
    private final int[] slotTable;

    private final String[] names;
    private final long[] hashes;
    private final int[] weights;
    private final AtomicIntegerArray versions;
    private volatile int slotsInUse = 1;
    /** No slot's weight is below this: weights only grow between agings. */
    private int minWeight;

    /** @param most slots beside the one of the others */
    public TopNames(int most, EvictionListener leaving) {
        this.maxNames = most;
        this.evictionListener = leaving;
        int width = Integer.highestOneBit(Math.max(256, most * 16) * 2 - 1);
        sketchMask = width - 1;
        sketch = new int[SKETCH_ROWS * width];
        agingInterval = 10 * width; // an estimate's error stays a few in so many
        usesUntilAging = agingInterval;
        int wide = Integer.highestOneBit(most * 4 + 3);
        tableMask = wide - 1;
        slotTable = new int[wide];
        names = new String[most + 1];
        hashes = new long[most + 1];
        weights = new int[most + 1];
        versions = new AtomicIntegerArray(most + 1);
        names[0] = OTHERS;
    }

    /** The slot of a name that is used now, 0 for the others'. {@code hash} must be of the name alone, and well mixed. */
    public int recordUse(String name, long hash) {
        if (--usesUntilAging == 0) {
            age();
        }
        int estimate = countAndEstimate(hash);
        int at = findSlot(hash, name);
        if (at > 0) {
            weights[at]++;
            return at;
        }
        if (slotsInUse <= maxNames) {
            beginChange(slotsInUse);
            assignSlot(slotsInUse, name, hash, estimate);
            return slotsInUse++;
        }
        // A quarter more and eight: clearly, not by the sketch's error.
        if (estimate <= minWeight + minWeight / 4 + 8) {
            return 0;
        }
        int least = 1;
        for (int i = 2; i <= maxNames; i++) {
            least = weights[i] < weights[least] ? i : least;
        }
        minWeight = weights[least];
        if (estimate <= minWeight + minWeight / 4 + 8) {
            return 0;
        }
        beginChange(least);
        evictionListener.onEvicted(least);
        removeFromTable(least);
        assignSlot(least, name, hash, estimate);
        return least;
    }

    private int countAndEstimate(long hash) {
        int least = Integer.MAX_VALUE;
        long h = hash;
        for (int row = 0; row < SKETCH_ROWS; row++) {
            int i = row * (sketchMask + 1) + (int) (h & sketchMask);
            least = Math.min(least, ++sketch[i]);
            h = Long.rotateRight(h, 16) * 0x9e3779b97f4a7c15L;
        }
        return least;
    }

    private void age() {
        usesUntilAging = agingInterval;
        for (int i = 0; i < sketch.length; i++) {
            sketch[i] >>>= 1;
        }
        for (int i = 1; i < slotsInUse; i++) {
            weights[i] >>>= 1;
        }
        minWeight >>>= 1;
    }

    private int findSlot(long hash, String name) {
        for (int i = (int) hash & tableMask; slotTable[i] != 0; i = i + 1 & tableMask) {
            int slot = slotTable[i];
            if (hashes[slot] == hash && names[slot].equals(name)) {
                return slot;
            }
        }
        return 0;
    }

    private void beginChange(int slot) {
        versions.set(slot, versions.get(slot) + 1); // odd: changing
    }

    private void assignSlot(int slot, String name, long hash, int weight) {
        names[slot] = name;
        hashes[slot] = hash;
        weights[slot] = weight;
        int i = (int) hash & tableMask;
        while (slotTable[i] != 0) {
            i = i + 1 & tableMask;
        }
        slotTable[i] = slot;
        versions.set(slot, versions.get(slot) + 1);
    }

    /** Closes the gap that a removed entry leaves in its run (Knuth, 6.4, algorithm R). */
    private void removeFromTable(int slot) {
        int i = (int) hashes[slot] & tableMask;
        while (slotTable[i] != slot) {
            i = i + 1 & tableMask;
        }
        slotTable[i] = 0;
        for (int j = i + 1 & tableMask; slotTable[j] != 0; j = j + 1 & tableMask) {
            int home = (int) hashes[slotTable[j]] & tableMask;
            boolean stays = i <= j ? home > i && home <= j : home > i || home <= j;
            if (!stays) {
                slotTable[i] = slotTable[j];
                slotTable[j] = 0;
                i = j;
            }
        }
    }

    /** Slots in use, the others' included. */
    public int slotsInUse() {
        return slotsInUse;
    }

    public String name(int slot) {
        return names[slot];
    }

    /** Changes when a slot changes its name, and is odd meanwhile. */
    public int version(int slot) {
        return versions.get(slot);
    }
}
