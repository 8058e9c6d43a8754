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

    /** Against a plain map: what is younger than the time is always known, what is an eighth older never. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void agreesWithReferenceMap(long seed) {
        Random chance = new Random(seed);
        ExpiringIdTable wheel = new ExpiringIdTable(800, 1_000_000);
        Map<Long, ReferenceEntry> plain = new HashMap<>();
        double now = 5000;
        for (int i = 0; i < 100_000; i++) {
            now += chance.nextInt(1000) == 0 ? chance.nextDouble() * 1500 : chance.nextDouble() * 0.1;
            long id = chance.nextInt(20_000);
            long digest = chance.nextInt(2);
            // Many share their table's place, and the second word may be 0.
            long high = id % 7 * 2;
            Lookup seen = wheel.find(high, id, digest, now);
            ReferenceEntry known = plain.get(id);
            if (known != null && now - known.addedAt < 800) {
                assertEquals(known.digest == digest ? Lookup.SAME_DIGEST : Lookup.OTHER_DIGEST, seen, "step " + i);
            } else if (known == null || now - known.addedAt > 900) {
                assertEquals(Lookup.NOT_FOUND, seen, "step " + i);
            }
            if (seen == Lookup.NOT_FOUND) {
                assertTrue(wheel.add(high, id, digest, now));
                plain.put(id, new ReferenceEntry(digest, now));
            }
        }
    }

    @Test
    void limitIsEnforcedAndMemoryIsFreedAfterExpiry() {
        ExpiringIdTable wheel = new ExpiringIdTable(800, 5000);
        for (int i = 0; i < 5000; i++) {
            assertTrue(wheel.add(i * 0x9e3779b97f4a7c15L, i, 0, 10));
        }
        assertFalse(wheel.add(1, 2, 0, 20));
        long full = wheel.memoryBytes();
        assertEquals(Lookup.NOT_FOUND, wheel.find(1, 2, 0, 10_000));
        assertEquals(0, wheel.size());
        assertTrue(wheel.memoryBytes() < full);
        assertTrue(wheel.add(1, 2, 0, 10_000));
    }
}
