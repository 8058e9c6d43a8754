package gradereach.remotewrite;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.measures.MetricFamily;
import gradereach.remotewrite.SendQueue.Limits;
import gradereach.remotewrite.SendQueue.DropReason;
import gradereach.remotewrite.SendQueue.Retry;
import gradereach.remotewrite.SendQueue.Rejected;
import gradereach.remotewrite.SendQueue.Accepted;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SendQueueTest {
    private static final Limits LIMITS = new Limits(100, 10_000, 10, 1000, 50, 5000, 100, 2000);

    private static SeriesSample sample(String series, long at) {
        return new SeriesSample(List.of("__name__", series), MetricFamily.Type.COUNTER, "", "", at, at, null, 0, 40);
    }

    private static SendQueue queueWithSamples(int count) {
        SendQueue queue = new SendQueue(LIMITS, new Random(1));
        for (int i = 0; i < count; i++) {
            queue.add(sample("a", i), 0);
        }
        return queue;
    }

    /** What the receiver says of a batch of ten, and what becomes of its items. */
    @ParameterizedTest
    @CsvSource({"taken, -1, 10, 0, 0", "taken, 10, 10, 0, 0", "taken, 7, 7, 3, 0", "refused, 0, 0, 10, 0", "refused, 9, 9, 1, 0",
        "later, 0, 0, 0, 10"})
    void everyResultIsAccountedFor(String word, int written, long accepted, long refused, long held) {
        SendQueue queue = queueWithSamples(10);
        assertEquals(10, queue.nextBatch(0).samples().size());
        queue.onSendResult(word.equals("taken") ? new Accepted(written) : word.equals("refused") ? new Rejected(written) : new Retry(0), 5);
        assertEquals(List.of(accepted, refused, held), List.of(queue.accepted(), queue.dropped(DropReason.REFUSED), (long) queue.pending()));
    }

    @Test
    void batchIsSentWhenFullOrOldEnough() {
        SendQueue queue = queueWithSamples(3);
        assertNull(queue.nextBatch(49));
        assertEquals(3, queue.nextBatch(50).samples().size());
        assertNull(queue.nextBatch(1000), "one is out");
        SendQueue full = queueWithSamples(25);
        assertEquals(10, full.nextBatch(0).samples().size());
        SendQueue hurried = queueWithSamples(3);
        hurried.flush();
        assertEquals(3, hurried.nextBatch(0).samples().size());
    }

    @Test
    void retryAfterIsHonouredAndBackoffGrows() {
        SendQueue queue = queueWithSamples(10);
        queue.nextBatch(0);
        queue.onSendResult(new Retry(1000), 0);
        assertTrue(queue.dueAt() >= 1000 && queue.dueAt() <= 1250);
        assertNull(queue.nextBatch(queue.dueAt() - 1));
        double before = queue.dueAt();
        assertNotNull(queue.nextBatch(before));
        double most = 0;
        for (int i = 0; i < 4; i++) {
            queue.onSendResult(new Retry(0), before);
            most = Math.max(most, queue.dueAt() - before);
            assertTrue(queue.dueAt() - before <= 200 * Math.pow(2, i));
            before = queue.dueAt();
            assertNotNull(queue.nextBatch(before));
        }
        assertTrue(most > 0);
    }

    @Test
    void oldestSamplesAreDroppedFirst() {
        SendQueue queue = queueWithSamples(150);
        assertEquals(100, queue.pending());
        assertEquals(50, queue.dropped(DropReason.FULL));
        assertEquals(50, queue.nextBatch(0).samples().get(0).timestampMillis());
        queue.onSendResult(new Retry(0), 0);
        assertNull(queue.nextBatch(6000));
        assertEquals(100, queue.dropped(DropReason.TOO_OLD));
        assertEquals(0, queue.pending() + queue.bytes());
    }

    /** Random receivers and random resharding: nothing is lost unaccounted, every series stays in order, bounds hold. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void addedEqualsAcceptedDroppedAndPending(long seed) {
        Random chance = new Random(seed);
        Shards shards = new Shards(LIMITS, new Random(seed));
        Map<String, Long> last = new HashMap<>();
        Map<Integer, SendQueue.Batch> out = new HashMap<>();
        double now = 0;
        long at = 0;
        long received = 0;
        for (int step = 0; step < 20_000; step++) {
            now += chance.nextInt(20);
            for (int i = chance.nextInt(3); i > 0; i--) {
                shards.add(sample("s" + chance.nextInt(12), ++at), now);
            }
            if (chance.nextInt(200) == 0) {
                shards.resize(1 + chance.nextInt(4));
            }
            for (int shard = 0; shard < shards.size(); shard++) {
                SendQueue.Batch next = out.containsKey(shard) ? null : shards.nextBatch(shard, now);
                if (next != null) {
                    out.put(shard, next);
                }
            }
            for (int shard : new TreeSet<>(out.keySet())) {
                if (chance.nextInt(3) > 0) {
                    continue;
                }
                SendQueue.Batch batch = out.remove(shard);
                switch (chance.nextInt(step % 5000 > 4000 ? 40 : 5)) {
                    case 0, 1, 2 -> {
                        for (SeriesSample item : batch.samples()) {
                            String name = item.labels().get(1);
                            assertTrue(last.getOrDefault(name, 0L) < item.timestampMillis(), "out of order");
                            last.put(name, item.timestampMillis());
                        }
                        received += batch.samples().size();
                        shards.onSendResult(shard, new Accepted(-1), now);
                    }
                    case 3 -> shards.onSendResult(shard, new Rejected(0), now);
                    default -> shards.onSendResult(shard, new Retry(chance.nextInt(2) * 100), now);
                }
            }
            long dropped = 0;
            for (DropReason why : DropReason.values()) {
                dropped += shards.dropped(why);
            }
            assertEquals(shards.added(), shards.accepted() + dropped + shards.pending());
            assertEquals(at, shards.added());
            assertTrue(shards.pending() <= 104 && shards.bytes() <= 10_200, shards.pending() + " held, " + shards.bytes());
        }
        assertEquals(received, shards.accepted());
        assertTrue(received > 1000);
        shards.stop();
        assertEquals(0, shards.pending());
    }

    /** A receiver that takes so long for each sample: as many shards as that needs, not more, and no swinging. */
    @ParameterizedTest
    @CsvSource({"1000, 0.1, 1", "1000, 20, 2", "10000, 4, 4", "10000, 100, 16"})
    void shardCountFollowsSendTime(int samples, double millisEach, int wanted) {
        ShardCalculator pace = new ShardCalculator(16);
        int changes = 0;
        int before = 1;
        double held = 0;
        for (int i = 0; i < 100; i++) {
            double most = pace.shards() * 10_000 / millisEach;
            double sent = Math.min(most, samples + held);
            held += samples - sent;
            int now = pace.update(10_000, samples, (long) sent, sent * millisEach, (long) held, false);
            changes += now == before ? 0 : 1;
            before = now;
        }
        assertTrue(Math.abs(before - wanted) <= Math.max(1, wanted / 4), before + " shards");
        assertTrue(changes < 12, changes + " changes");
    }

    @Test
    void failingReceiverGetsNoMoreShards() {
        ShardCalculator pace = new ShardCalculator(16);
        for (int i = 0; i < 50; i++) {
            assertEquals(1, pace.update(10_000, 10_000, 10, 10_000, 10_000L * i, true));
        }
    }

    /** What the clock says, and what a collection is stamped with: never the same twice, and a clock set back far is followed. */
    @ParameterizedTest
    @CsvSource({"1000 1000 1000, 1000 1001 1002", "1000 990 2000, 1000 1001 2000", "100000 1000 1000, 100000 1000 1001",
        "1000 90000 90001, 1000 90000 90001"})
    void timestampsIncrease(String clock, String stamps) {
        PushSchedule turns = new PushSchedule("fe", 15_000);
        StringBuilder told = new StringBuilder();
        for (String now : clock.split(" ")) {
            told.append(told.length() == 0 ? "" : " ").append(turns.nextTimestamp(Long.parseLong(now)));
        }
        assertEquals(stamps, told.toString());
    }

    /** Sixty that start at once push at sixty points of the interval, and each keeps its own over a restart. */
    @Test
    void pushTimesAreSpread() {
        int[] perSecond = new int[15];
        List<Long> all = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            long next = new PushSchedule("fe-" + i, 15_000).nextPushAt(1_000_000_007L);
            assertEquals(next, new PushSchedule("fe-" + i, 15_000).nextPushAt(next - 1));
            assertEquals(next + 15_000, new PushSchedule("fe-" + i, 15_000).nextPushAt(next));
            perSecond[(int) (next - 1_000_000_007L - 1) / 1000]++;
            all.add(next);
        }
        // Four a second in the mean; drawn evenly, ten in one would be seen once in some hundred such fleets.
        for (int count : perSecond) {
            assertTrue(count <= 12, count + " in one second");
        }
        assertEquals(60, new TreeSet<>(all).size());
    }
}
