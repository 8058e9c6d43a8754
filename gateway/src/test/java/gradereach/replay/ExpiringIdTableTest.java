package gradereach.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.replay.ExpiringIdTable.Lookup;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ExpiringIdTableTest {
    private record ReferenceEntry(long digest, double addedAt) { }

    /**
     * Compares the table with a map over random operations: ids younger than the retention time must always be found, ids
     * older than it by more than an eighth never.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void agreesWithReferenceMap(long seed) {
        Random random = new Random(seed);
        ExpiringIdTable table = new ExpiringIdTable(800, 1_000_000);
        Map<Long, ReferenceEntry> reference = new HashMap<>();
        double now = 5000;
        for (int i = 0; i < 100_000; i++) {
            now += random.nextInt(1000) == 0 ? random.nextDouble() * 1500 : random.nextDouble() * 0.1;
            long id = random.nextInt(20_000);
            long digest = random.nextInt(2);
            // Many ids share a slot of the table, and the second long may be 0.
            long high = id % 7 * 2;
            Lookup result = table.find(high, id, digest, now);
            ReferenceEntry expected = reference.get(id);
            if (expected != null && now - expected.addedAt < 800) {
                assertEquals(expected.digest == digest ? Lookup.SAME_DIGEST : Lookup.OTHER_DIGEST, result, "step " + i);
            } else if (expected == null || now - expected.addedAt > 900) {
                assertEquals(Lookup.NOT_FOUND, result, "step " + i);
            }
            if (result == Lookup.NOT_FOUND) {
                assertTrue(table.add(high, id, digest, now));
                reference.put(id, new ReferenceEntry(digest, now));
            }
        }
    }

    @Test
    void limitIsEnforcedAndMemoryIsFreedAfterExpiry() {
        ExpiringIdTable table = new ExpiringIdTable(800, 5000);
        for (int i = 0; i < 5000; i++) {
            assertTrue(table.add(i * 0x9e3779b97f4a7c15L, i, 0, 10));
        }
        assertFalse(table.add(1, 2, 0, 20));
        long full = table.memoryBytes();
        assertEquals(Lookup.NOT_FOUND, table.find(1, 2, 0, 10_000));
        assertEquals(0, table.size());
        assertTrue(table.memoryBytes() < full);
        assertTrue(table.add(1, 2, 0, 10_000));
    }
}
