package gradereach.benchmarks;

import gradereach.replay.ExpiringIdTable;
import java.util.HashMap;
import java.util.Map;

/** Compares {@link ExpiringIdTable} with a hash map at ten million ids: bytes per id, time to add and to find. Needs -Xmx6g. */
public final class TenMillionIds {
    private static final int COUNT = 10_000_000;
    private static final double RETENTION_MILLIS = 600_000;
    /** Ten million ids in ten minutes. */
    private static final double MILLIS_PER_ID = 0.06;
    /** Time of the lookups, before the first id expires. */
    private static final double LOOKUP_MILLIS = 599_000;

    private record Key(int customer, String id) { }

    private record StoredId(long digestHigh, long digestLow, double expiresAt) { }

    private TenMillionIds() { }

    public static void main(String[] args) {
        for (int round = 0; round < 2; round++) {
            measureIdTable();
            measureHashMap();
        }
    }

    private static long mix(long i) {
        long hash = i * 0x9e3779b97f4a7c15L;
        return (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
    }

    private static void measureIdTable() {
        long before = usedHeapBytes();
        ExpiringIdTable table = new ExpiringIdTable(RETENTION_MILLIS, COUNT);
        long start = System.nanoTime();
        for (int i = 0; i < COUNT; i++) {
            table.add(mix(i), mix(~i), i, i * MILLIS_PER_ID);
        }
        double addNanos = (System.nanoTime() - start) / (double) COUNT;
        start = System.nanoTime();
        int found = 0;
        for (int i = 0; i < COUNT; i += 10) {
            found += table.find(mix(i), mix(~i), i, LOOKUP_MILLIS) == ExpiringIdTable.Lookup.SAME_DIGEST ? 1 : 0;
        }
        double findNanos = (System.nanoTime() - start) / (COUNT / 10d);
        start = System.nanoTime();
        for (int i = 0; i < COUNT; i += 10) {
            found += table.find(mix(-i - 5L), 7, i, LOOKUP_MILLIS) == ExpiringIdTable.Lookup.SAME_DIGEST ? 1 : 0;
        }
        double missNanos = (System.nanoTime() - start) / (COUNT / 10d);
        System.out.printf("id table: %.0f bytes an id, add %.0f ns, find %.0f ns, find nothing %.0f ns (%d found)%n",
                (usedHeapBytes() - before) / (double) COUNT, addNanos, findNanos, missNanos, found);
        if (table.size() != COUNT) {
            throw new IllegalStateException();
        }
    }

    private static void measureHashMap() {
        long before = usedHeapBytes();
        Map<Key, StoredId> map = new HashMap<>();
        long start = System.nanoTime();
        for (int i = 0; i < COUNT; i++) {
            map.put(new Key(1, "msg-" + mix(i)), new StoredId(mix(i), i, i));
        }
        double addNanos = (System.nanoTime() - start) / (double) COUNT;
        start = System.nanoTime();
        int found = 0;
        for (int i = 0; i < COUNT; i += 10) {
            found += map.containsKey(new Key(1, "msg-" + mix(i))) ? 1 : 0;
        }
        double findNanos = (System.nanoTime() - start) / (COUNT / 10d);
        System.out.printf("plain map: %.0f bytes an id, add %.0f ns, find %.0f ns (%d found)%n",
                (usedHeapBytes() - before) / (double) COUNT, addNanos, findNanos, found);
        if (map.size() != COUNT) {
            throw new IllegalStateException();
        }
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
