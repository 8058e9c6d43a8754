package gradereach.benchlink;

/** Objects by id, without boxing: open addressing, never iterated. */
final class LongMap<V> {
    private long[] keys = new long[64];
    private Object[] values = new Object[64];
    private int size;

    private static int hash(long key) {
        long h = key * 0x9e3779b97f4a7c15L;
        return (int) (h >>> 32);
    }

    private int slotOf(long key) {
        int mask = keys.length - 1;
        int i = hash(key) & mask;
        while (values[i] != null && keys[i] != key) {
            i = i + 1 & mask;
        }
        return i;
    }

    @SuppressWarnings("unchecked")
    V get(long key) {
        return (V) values[slotOf(key)];
    }

    void put(long key, V value) {
        int i = slotOf(key);
        if (values[i] == null && ++size * 2 > keys.length) {
            long[] oldKeys = keys;
            Object[] oldValues = values;
            keys = new long[oldKeys.length * 2];
            values = new Object[oldKeys.length * 2];
            for (int j = 0; j < oldKeys.length; j++) {
                if (oldValues[j] != null) {
                    int to = slotOf(oldKeys[j]);
                    keys[to] = oldKeys[j];
                    values[to] = oldValues[j];
                }
            }
            i = slotOf(key);
        }
        keys[i] = key;
        values[i] = value;
    }

    void remove(long key) {
        int i = slotOf(key);
        if (values[i] == null) {
            return;
        }
        size--;
        int mask = keys.length - 1;
        int hole = i;
        for (int j = i + 1 & mask; values[j] != null; j = j + 1 & mask) {
            int home = hash(keys[j]) & mask;
            if ((j - home & mask) >= (j - hole & mask)) {
                keys[hole] = keys[j];
                values[hole] = values[j];
                hole = j;
            }
        }
        values[hole] = null;
    }
}
