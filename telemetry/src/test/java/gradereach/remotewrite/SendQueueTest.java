package gradereach.remotewrite;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.measures.MetricFamily;
import gradereach.remotewrite.SendQueue.Accepted;
import gradereach.remotewrite.SendQueue.DropReason;
import gradereach.remotewrite.SendQueue.Limits;
import gradereach.remotewrite.SendQueue.Rejected;
import gradereach.remotewrite.SendQueue.Retry;
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

/** Tests {@link SendQueue}, {@link Shards}, {@link ShardCalculator} and {@link PushSchedule} on a simulated clock. */
class SendQueueTest {
    /** Batches of 10 samples or 1000 bytes, or after 50 ms; samples are kept for 5 s; backoff of 100 ms to 2 s. */
    private static final Limits LIMITS = new Limits(100, 10_000, 10, 1000, 50, 5000, 100, 2000);

    private static SeriesSample sample(String series, long timestamp) {
        return new SeriesSample(List.of("__name__", series), MetricFamily.Type.COUNTER, "", "", timestamp, timestamp, null, 0, 40);
    }

    private static SendQueue queueWithSamples(int count) {
        SendQueue queue = new SendQueue(LIMITS, new Random(1));
        for (int i = 0; i < count; i++) {
            queue.add(sample("a", i), 0);
        }
        return queue;
    }

    /** Each result of a batch of ten, and what becomes of its samples. */
    @ParameterizedTest
    @CsvSource({"accepted, -1, 10, 0, 0", "accepted, 10, 10, 0, 0", "accepted, 7, 7, 3, 0", "rejected, 0, 0, 10, 0",
        "rejected, 9, 9, 1, 0", "retry, 0, 0, 0, 10"})
    void everyResultIsAccountedFor(String result, int written, long accepted, long rejected, long pending) {
        SendQueue queue = queueWithSamples(10);
        assertEquals(10, queue.nextBatch(0).samples().size());
        queue.onSendResult(result.equals("accepted") ? new Accepted(written) : result.equals("rejected") ? new Rejected(written)
                : new Retry(0), 5);
        assertEquals(List.of(accepted, rejected, pending),
                List.of(queue.accepted(), queue.dropped(DropReason.REFUSED), (long) queue.pending()));
    }

    @Test
    void batchIsSentWhenFullOrOldEnough() {
        SendQueue queue = queueWithSamples(3);
        assertNull(queue.nextBatch(49));
        assertEquals(3, queue.nextBatch(50).samples().size());
        assertNull(queue.nextBatch(1000), "a batch is in flight");
        SendQueue full = queueWithSamples(25);
        assertEquals(10, full.nextBatch(0).samples().size());
        SendQueue flushed = queueWithSamples(3);
        flushed.flush();
        assertEquals(3, flushed.nextBatch(0).samples().size());
    }

    @Test
    void retryAfterIsHonouredAndBackoffGrows() {
        SendQueue queue = queueWithSamples(10);
        queue.nextBatch(0);
        queue.onSendResult(new Retry(1000), 0);
        assertTrue(queue.dueAt() >= 1000 && queue.dueAt() <= 1250);
        assertNull(queue.nextBatch(queue.dueAt() - 1));
        double retryAt = queue.dueAt();
        assertNotNull(queue.nextBatch(retryAt));
        double longestWait = 0;
        for (int i = 0; i < 4; i++) {
            queue.onSendResult(new Retry(0), retryAt);
            longestWait = Math.max(longestWait, queue.dueAt() - retryAt);
            assertTrue(queue.dueAt() - retryAt <= 200 * Math.pow(2, i));
            retryAt = queue.dueAt();
            assertNotNull(queue.nextBatch(retryAt));
        }
        assertTrue(longestWait > 0);
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

    /** Random results and random resharding: every sample is accounted for, every series stays in order, the limits hold. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void addedEqualsAcceptedDroppedAndPending(long seed) {
        Random random = new Random(seed);
        Shards shards = new Shards(LIMITS, new Random(seed));
        Map<String, Long> lastTimestamps = new HashMap<>();
        Map<Integer, SendQueue.Batch> inFlight = new HashMap<>();
        double now = 0;
        long timestamp = 0;
        long received = 0;
        for (int step = 0; step < 20_000; step++) {
            now += random.nextInt(20);
            for (int i = random.nextInt(3); i > 0; i--) {
                shards.add(sample("s" + random.nextInt(12), ++timestamp), now);
            }
            if (random.nextInt(200) == 0) {
                shards.resize(1 + random.nextInt(4));
            }
            for (int shard = 0; shard < shards.size(); shard++) {
                SendQueue.Batch next = inFlight.containsKey(shard) ? null : shards.nextBatch(shard, now);
                if (next != null) {
                    inFlight.put(shard, next);
                }
            }
            for (int shard : new TreeSet<>(inFlight.keySet())) {
                if (random.nextInt(3) > 0) {
                    continue;
                }
                SendQueue.Batch batch = inFlight.remove(shard);
                switch (random.nextInt(step % 5000 > 4000 ? 40 : 5)) {
                    case 0, 1, 2 -> {
                        for (SeriesSample sample : batch.samples()) {
                            String name = sample.labels().get(1);
                            assertTrue(lastTimestamps.getOrDefault(name, 0L) < sample.timestampMillis(), "out of order");
                            lastTimestamps.put(name, sample.timestampMillis());
                        }
                        received += batch.samples().size();
                        shards.onSendResult(shard, new Accepted(-1), now);
                    }
                    case 3 -> shards.onSendResult(shard, new Rejected(0), now);
                    default -> shards.onSendResult(shard, new Retry(random.nextInt(2) * 100), now);
                }
            }
            long dropped = 0;
            for (DropReason reason : DropReason.values()) {
                dropped += shards.dropped(reason);
            }
            assertEquals(shards.added(), shards.accepted() + dropped + shards.pending());
            assertEquals(timestamp, shards.added());
            assertTrue(shards.pending() <= 104 && shards.bytes() <= 10_200, shards.pending() + " pending, " + shards.bytes());
        }
        assertEquals(received, shards.accepted());
        assertTrue(received > 1000);
        shards.stop();
        assertEquals(0, shards.pending());
    }

    /** The number of shards follows the send time of a sample without oscillating. */
    @ParameterizedTest
    @CsvSource({"1000, 0.1, 1", "1000, 20, 2", "10000, 4, 4", "10000, 100, 16"})
    void shardCountFollowsSendTime(int samples, double millisPerSample, int expectedShards) {
        ShardCalculator calculator = new ShardCalculator(16);
        int changes = 0;
        int shards = 1;
        double backlog = 0;
        for (int i = 0; i < 100; i++) {
            double maxSent = calculator.shards() * 10_000 / millisPerSample;
            double sent = Math.min(maxSent, samples + backlog);
            backlog += samples - sent;
            int updated = calculator.update(10_000, samples, (long) sent, sent * millisPerSample, (long) backlog, false);
            changes += updated == shards ? 0 : 1;
            shards = updated;
        }
        assertTrue(Math.abs(shards - expectedShards) <= Math.max(1, expectedShards / 4), shards + " shards");
        assertTrue(changes < 12, changes + " changes");
    }

    @Test
    void failingReceiverGetsNoMoreShards() {
        ShardCalculator calculator = new ShardCalculator(16);
        for (int i = 0; i < 50; i++) {
            assertEquals(1, calculator.update(10_000, 10_000, 10, 10_000, 10_000L * i, true));
        }
    }

    /** Clock readings and the timestamps of collections: no timestamp repeats, and a clock that was set back far is followed. */
    @ParameterizedTest
    @CsvSource({"1000 1000 1000, 1000 1001 1002", "1000 990 2000, 1000 1001 2000", "100000 1000 1000, 100000 1000 1001",
        "1000 90000 90001, 1000 90000 90001"})
    void timestampsIncrease(String clock, String expectedTimestamps) {
        PushSchedule schedule = new PushSchedule("fe", 15_000);
        StringBuilder timestamps = new StringBuilder();
        for (String now : clock.split(" ")) {
            timestamps.append(timestamps.length() == 0 ? "" : " ").append(schedule.nextTimestamp(Long.parseLong(now)));
        }
        assertEquals(expectedTimestamps, timestamps.toString());
    }

    /** Sixty front ends that start together push at sixty times within the interval, and each keeps its time over a restart. */
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
        // The mean is 4 per second; with uniform offsets, about one fleet in a hundred has a second with 10.
        for (int count : perSecond) {
            assertTrue(count <= 12, count + " in one second");
        }
        assertEquals(60, new TreeSet<>(all).size());
    }
}
