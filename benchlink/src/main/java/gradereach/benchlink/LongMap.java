package gradereach.benchlink;

/** A hash map with primitive long keys and open addressing, at most half full. It cannot be iterated. */
final class LongMap<V> {
    private long[] keys = new long[64];
    private Object[] values = new Object[64];
    private int size;

    private static int hash(long key) {
        long hash = key * 0x9e3779b97f4a7c15L;
        return (int) (hash >>> 32);
    }

    /** Returns the slot that holds the key, or the empty slot where it belongs. */
    private int slotOf(long key) {
        int mask = keys.length - 1;
        int slot = hash(key) & mask;
        while (values[slot] != null && keys[slot] != key) {
            slot = slot + 1 & mask;
        }
        return slot;
    }

    @SuppressWarnings("unchecked")
    V get(long key) {
        return (V) values[slotOf(key)];
    }

    void put(long key, V value) {
        int slot = slotOf(key);
        if (values[slot] == null && ++size * 2 > keys.length) {
            long[] oldKeys = keys;
            Object[] oldValues = values;
            keys = new long[oldKeys.length * 2];
            values = new Object[oldKeys.length * 2];
            for (int old = 0; old < oldKeys.length; old++) {
                if (oldValues[old] != null) {
                    int target = slotOf(oldKeys[old]);
                    keys[target] = oldKeys[old];
                    values[target] = oldValues[old];
                }
            }
            slot = slotOf(key);
        }
        keys[slot] = key;
        values[slot] = value;
    }

    void remove(long key) {
        int slot = slotOf(key);
        if (values[slot] == null) {
            return;
        }
        size--;
        int mask = keys.length - 1;
        // Moves later entries of the probe sequence back, so that no empty slot separates a key from its home slot.
        int hole = slot;
        for (int next = slot + 1 & mask; values[next] != null; next = next + 1 & mask) {
            int home = hash(keys[next]) & mask;
            if ((next - home & mask) >= (next - hole & mask)) {
                keys[hole] = keys[next];
                values[hole] = values[next];
                hole = next;
            }
        }
        values[hole] = null;
    }
}
