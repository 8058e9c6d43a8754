package gradereach.benchmarks;

import gradereach.replay.ExpiringIdTable;
import java.util.HashMap;
import java.util.Map;

/** The wheel of ids beside a plain map, at ten million: bytes an id, time to add and to find. Needs -Xmx6g. */
public final class TenMillionIds {
    private static final int COUNT = 10_000_000;

    private record Key(int customer, String id) { }

    private record Seen(long digestHigh, long digestLow, double until) { }

    private TenMillionIds() { }

    public static void main(String[] args) {
        for (int round = 0; round < 2; round++) {
            wheel();
            plain();
        }
    }

    private static long mix(long i) {
        long h = i * 0x9e3779b97f4a7c15L;
        return (h ^ h >>> 32) * 0xd6e8feb86659fd93L;
    }

    private static void wheel() {
        long before = usedHeapBytes();
        ExpiringIdTable wheel = new ExpiringIdTable(600_000, COUNT);
        long start = System.nanoTime();
        for (int i = 0; i < COUNT; i++) {
            wheel.add(mix(i), mix(~i), i, i * 0.06);
        }
        double add = (System.nanoTime() - start) / (double) COUNT;
        start = System.nanoTime();
        int found = 0;
        for (int i = 0; i < COUNT; i += 10) {
            found += wheel.find(mix(i), mix(~i), i, 599_000) == ExpiringIdTable.Lookup.SAME_DIGEST ? 1 : 0;
        }
        double find = (System.nanoTime() - start) / (COUNT / 10d);
        start = System.nanoTime();
        for (int i = 0; i < COUNT; i += 10) {
            found += wheel.find(mix(-i - 5L), 7, i, 599_000) == ExpiringIdTable.Lookup.SAME_DIGEST ? 1 : 0;
        }
        double miss = (System.nanoTime() - start) / (COUNT / 10d);
        System.out.printf("wheel: %.0f bytes an id, add %.0f ns, find %.0f ns, find nothing %.0f ns (%d found)%n",
                (usedHeapBytes() - before) / (double) COUNT, add, find, miss, found);
        if (wheel.size() != COUNT) {
            throw new IllegalStateException();
        }
    }

    private static void plain() {
        long before = usedHeapBytes();
        Map<Key, Seen> map = new HashMap<>();
        long start = System.nanoTime();
        for (int i = 0; i < COUNT; i++) {
            map.put(new Key(1, "msg-" + mix(i)), new Seen(mix(i), i, i));
        }
        double add = (System.nanoTime() - start) / (double) COUNT;
        start = System.nanoTime();
        int found = 0;
        for (int i = 0; i < COUNT; i += 10) {
            found += map.containsKey(new Key(1, "msg-" + mix(i))) ? 1 : 0;
        }
        double find = (System.nanoTime() - start) / (COUNT / 10d);
        System.out.printf("plain map: %.0f bytes an id, add %.0f ns, find %.0f ns (%d found)%n",
                (usedHeapBytes() - before) / (double) COUNT, add, find, found);
        if (map.size() != COUNT) {
            throw new IllegalStateException();
        }
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
