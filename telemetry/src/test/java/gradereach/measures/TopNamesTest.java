package gradereach.measures;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class TopNamesTest {
    private static long hash(String name) {
        long h = name.hashCode() * 0x9e3779b97f4a7c15L;
        return (h ^ h >>> 32) * 0xd6e8feb86659fd93L;
    }

    private final CounterTable counters = new CounterTable(51, 1, 0);
    private final TopNames names = new TopNames(50, slot -> counters.moveToOthers(slot, 1));

    private int recordUse(String name) {
        int slot = names.recordUse(name, hash(name));
        counters.add(slot, 0, 1);
        return slot;
    }

    private Set<String> namesWithSlots() {
        Set<String> known = new HashSet<>();
        for (int i = 1; i < names.slotsInUse(); i++) {
            known.add(names.name(i));
        }
        return known;
    }

    private long sum() {
        long sum = 0;
        for (int i = 0; i <= 50; i++) {
            sum += counters.get(i, 0);
        }
        return sum;
    }

    /** A scan through a million names, each met once, beside fifty that are used: none of those loses its slot. */
    @Test
    void scanOfManyNamesEvictsNothing() {
        Random chance = new Random(1);
        long count = 0;
        for (int i = 0; i < 20_000; i++, count++) {
            recordUse("used-" + chance.nextInt(50));
        }
        Set<String> before = namesWithSlots();
        assertEquals(50, before.size());
        for (int i = 0; i < 1_000_000; i++, count++) {
            recordUse("scan-" + i);
            if (i % 10 == 0) {
                recordUse("used-" + chance.nextInt(50));
                count++;
            }
        }
        assertEquals(before, namesWithSlots());
        assertEquals(count, sum());
    }

    /** What is used now takes the slots of what was used once, and nothing is counted twice or lost. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void frequentlyUsedNamesGetSlots(long seed) {
        Random chance = new Random(seed);
        long count = 0;
        for (int turn = 0; turn < 3; turn++) {
            for (int i = 0; i < 400_000; i++, count++) {
                int n = (int) Math.min(4999, Math.floor(Math.exp(chance.nextDouble() * Math.log(5000))));
                recordUse("m-" + turn + "-" + n);
            }
            Set<String> known = namesWithSlots();
            for (int n = 1; n <= 20; n++) {
                assertTrue(known.contains("m-" + turn + "-" + n), n + " of turn " + turn + " has no slot");
            }
        }
        assertEquals(count, sum());
        assertEquals(0, names.version(1) & 1);
    }

    @ParameterizedTest
    @CsvSource({"1.0, 0", "1.0001, 1", "1.18, 1", "1.19, 2", "1.42, 3", "1.9, 4", "2.0, 4", "2.1, 5", "0.5, -4", "0.001, -39"})
    void durationsFallIntoTheBucketOfTheFormat(double value, int bucket) {
        assertEquals(bucket, DurationHistogram.bucketIndex(value));
        assertTrue(value <= Math.pow(2, bucket / 4.0) * 1.0000001 && value > Math.pow(2, (bucket - 1) / 4.0));
    }

    @Test
    void durationsAreCountedAndSummed() {
        DurationHistogram times = new DurationHistogram(0);
        double[] millis = {0, 0.0001, 1, 10, 10, 5000, 1e9};
        for (double one : millis) {
            times.record(one);
        }
        MetricFamily.Buckets read = times.snapshot();
        assertEquals(millis.length, read.count());
        assertEquals(2, read.zeroCount());
        assertEquals(1_000_005.021, read.sum(), 0.001);
        assertEquals(millis.length - 2, java.util.Arrays.stream(read.counts()).sum());
    }
}
