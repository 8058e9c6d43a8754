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

/** Tests {@link TopNames} with a {@link CounterTable}, and {@link DurationHistogram}. */
class TopNamesTest {
    private static long hash(String name) {
        long hash = name.hashCode() * 0x9e3779b97f4a7c15L;
        return (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
    }

    private final CounterTable counters = new CounterTable(51, 1, 0);
    private final TopNames names = new TopNames(50, slot -> counters.moveToOthers(slot, 1));

    private int recordUse(String name) {
        int slot = names.recordUse(name, hash(name));
        counters.add(slot, 0, 1);
        return slot;
    }

    private Set<String> namesWithSlots() {
        Set<String> slotNames = new HashSet<>();
        for (int i = 1; i < names.slotsInUse(); i++) {
            slotNames.add(names.name(i));
        }
        return slotNames;
    }

    private long sum() {
        long sum = 0;
        for (int i = 0; i <= 50; i++) {
            sum += counters.get(i, 0);
        }
        return sum;
    }

    /** A scan through a million names, each used once, evicts none of fifty names in regular use. */
    @Test
    void scanOfManyNamesEvictsNothing() {
        Random random = new Random(1);
        long count = 0;
        for (int i = 0; i < 20_000; i++, count++) {
            recordUse("used-" + random.nextInt(50));
        }
        Set<String> before = namesWithSlots();
        assertEquals(50, before.size());
        for (int i = 0; i < 1_000_000; i++, count++) {
            recordUse("scan-" + i);
            if (i % 10 == 0) {
                recordUse("used-" + random.nextInt(50));
                count++;
            }
        }
        assertEquals(before, namesWithSlots());
        assertEquals(count, sum());
    }

    /** Names that are frequent now replace formerly frequent ones, and no count is lost or duplicated. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void frequentlyUsedNamesGetSlots(long seed) {
        Random random = new Random(seed);
        long count = 0;
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 400_000; i++, count++) {
                int n = (int) Math.min(4999, Math.floor(Math.exp(random.nextDouble() * Math.log(5000))));
                recordUse("m-" + round + "-" + n);
            }
            Set<String> slotNames = namesWithSlots();
            for (int n = 1; n <= 20; n++) {
                assertTrue(slotNames.contains("m-" + round + "-" + n), n + " of round " + round + " has no slot");
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
        DurationHistogram histogram = new DurationHistogram(0);
        double[] millis = {0, 0.0001, 1, 10, 10, 5000, 1e9};
        for (double duration : millis) {
            histogram.record(duration);
        }
        MetricFamily.Buckets buckets = histogram.snapshot();
        assertEquals(millis.length, buckets.count());
        assertEquals(2, buckets.zeroCount());
        assertEquals(1_000_005.021, buckets.sum(), 0.001);
        assertEquals(millis.length - 2, java.util.Arrays.stream(buckets.counts()).sum());
    }
}
