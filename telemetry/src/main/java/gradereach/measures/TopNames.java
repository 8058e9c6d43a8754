package gradereach.measures;

import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * Assigns slots to the most frequently used names, up to a maximum; all other names share slot 0. A name without a slot replaces the
 * least used one once it is clearly more frequent, by the estimate of a count-min sketch (Cormode and Muthukrishnan) whose counts
 * are halved periodically. So a scan through a million names evicts nothing. One thread writes; any thread reads and compares
 * {@link #version} before and after.
 *
 * <p>A plain map would grow with the number of names, and an LRU cache would let a scan evict everything.
 */
public final class TopNames {
    /** Is called before a slot is given to another name, so that the counts of the old name can be moved to slot 0. */
    public interface EvictionListener {
        void onEvicted(int slot);
    }

    /** The name of slot 0. */
    public static final String OTHERS = "other";
    private static final int SKETCH_ROWS = 4;

    private final int maxNames;
    private final EvictionListener evictionListener;
    private final int sketchMask;
    private final int[] sketch;
    private final int agingInterval;
    private int usesUntilAging;

    // Hash table with open addressing from a name's hash to its slot; two to four times as many entries as slots.
    private final int tableMask;
    private final int[] slotTable;

    private final String[] names;
    private final long[] hashes;
    private final int[] weights;
    private final AtomicIntegerArray versions;
    private volatile int slotsInUse = 1;
    /** A lower bound of all slots' weights: weights only grow between agings. */
    private int minWeight;

    /** @param maxNames number of slots besides slot 0 */
    public TopNames(int maxNames, EvictionListener evictionListener) {
        this.maxNames = maxNames;
        this.evictionListener = evictionListener;
        int sketchWidth = Integer.highestOneBit(Math.max(256, maxNames * 16) * 2 - 1);
        sketchMask = sketchWidth - 1;
        sketch = new int[SKETCH_ROWS * sketchWidth];
        agingInterval = 10 * sketchWidth; // keeps the error of an estimate at a few counts
        usesUntilAging = agingInterval;
        int tableWidth = Integer.highestOneBit(maxNames * 4 + 3);
        tableMask = tableWidth - 1;
        slotTable = new int[tableWidth];
        names = new String[maxNames + 1];
        hashes = new long[maxNames + 1];
        weights = new int[maxNames + 1];
        versions = new AtomicIntegerArray(maxNames + 1);
        names[0] = OTHERS;
    }

    /** Counts one use of a name and returns its slot, 0 without one. {@code hash} must depend on the name only and be well mixed. */
    public int recordUse(String name, long hash) {
        if (--usesUntilAging == 0) {
            age();
        }
        int estimate = countAndEstimate(hash);
        int slot = findSlot(hash, name);
        if (slot > 0) {
            weights[slot]++;
            return slot;
        }
        if (slotsInUse <= maxNames) {
            beginChange(slotsInUse);
            assignSlot(slotsInUse, name, hash, estimate);
            return slotsInUse++;
        }
        // A margin of a quarter and eight uses exceeds the error of the sketch.
        if (estimate <= minWeight + minWeight / 4 + 8) {
            return 0;
        }
        int leastUsed = 1;
        for (int i = 2; i <= maxNames; i++) {
            leastUsed = weights[i] < weights[leastUsed] ? i : leastUsed;
        }
        minWeight = weights[leastUsed];
        if (estimate <= minWeight + minWeight / 4 + 8) {
            return 0;
        }
        beginChange(leastUsed);
        evictionListener.onEvicted(leastUsed);
        removeFromTable(leastUsed);
        assignSlot(leastUsed, name, hash, estimate);
        return leastUsed;
    }

    private int countAndEstimate(long hash) {
        int estimate = Integer.MAX_VALUE;
        long h = hash;
        for (int row = 0; row < SKETCH_ROWS; row++) {
            int i = row * (sketchMask + 1) + (int) (h & sketchMask);
            estimate = Math.min(estimate, ++sketch[i]);
            h = Long.rotateRight(h, 16) * 0x9e3779b97f4a7c15L;
        }
        return estimate;
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
        versions.set(slot, versions.get(slot) + 1); // even: stable
    }

    /** Removes an entry and closes the gap in its probe sequence (Knuth, 6.4, algorithm R). */
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

    /** Slots in use, slot 0 included. */
    public int slotsInUse() {
        return slotsInUse;
    }

    public String name(int slot) {
        return names[slot];
    }

    /** Version of a slot's name; odd while the name is changing. */
    public int version(int slot) {
        return versions.get(slot);
    }
}
