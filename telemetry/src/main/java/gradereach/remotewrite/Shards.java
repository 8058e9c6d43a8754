package gradereach.remotewrite;

import gradereach.remotewrite.SendQueue.DropReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The queues of all shards. A series always goes to the same one; when their number changes, nothing new leaves until all that
 * is out has ended, then what waits is dealt out anew in its order.
 */
public final class Shards {
    private final SendQueue.Limits limits;
    private final Random random;
    private List<SendQueue> queues = new ArrayList<>();
    private int targetSize = 1;
    // Of queues that were given up.
    private long added;
    private long accepted;
    private final long[] dropped = new long[DropReason.values().length];

    /** @param bounds of all shards together */
    public Shards(SendQueue.Limits bounds, Random chance) {
        this.limits = bounds;
        this.random = chance;
        queues.add(new SendQueue(bounds, chance));
    }

    public void add(SeriesSample item, double now) {
        queues.get(Math.floorMod(item.labels().hashCode(), queues.size())).add(item, now);
    }

    public void resize(int shards) {
        targetSize = shards;
        applyResize();
    }

    /** Deals out anew once nothing is out. */
    private void applyResize() {
        if (targetSize == queues.size() || queues.stream().anyMatch(SendQueue::hasBatchInFlight)) {
            return;
        }
        record Waiting(SeriesSample item, double addedAt) { }
        List<Waiting> all = new ArrayList<>();
        for (SendQueue queue : queues) {
            List<Double> times = new ArrayList<>();
            List<SeriesSample> items = queue.drain(times);
            for (int i = 0; i < items.size(); i++) {
                all.add(new Waiting(items.get(i), times.get(i)));
            }
            added += queue.added();
            accepted += queue.accepted();
            for (DropReason why : DropReason.values()) {
                dropped[why.ordinal()] += queue.dropped(why);
            }
        }
        queues = new ArrayList<>();
        for (int i = 0; i < targetSize; i++) {
            queues.add(new SendQueue(new SendQueue.Limits(Math.max(1, limits.maxSamples() / targetSize), Math.max(1, limits.maxBytes() / targetSize),
                    limits.maxBatchSamples(), limits.maxBatchBytes(), limits.maxBatchDelay(), limits.maxAge(), limits.initialBackoff(),
                    limits.maxBackoff()), random));
        }
        all.forEach(waiting -> add(waiting.item, waiting.addedAt));
    }

    public int size() {
        return queues.size();
    }

    /** The next batch of a shard; none while their number is about to change. */
    public SendQueue.Batch nextBatch(int shard, double now) {
        return targetSize != queues.size() ? null : queues.get(shard).nextBatch(now);
    }

    public void onSendResult(int shard, SendQueue.SendResult word, double now) {
        queues.get(shard).onSendResult(word, now);
        applyResize();
    }

    public double dueAt() {
        return queues.stream().mapToDouble(SendQueue::dueAt).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** All that is held may go at once. */
    public void flush() {
        queues.forEach(SendQueue::flush);
    }

    public void stop() {
        queues.forEach(SendQueue::stop);
    }

    public long added() {
        return added + queues.stream().mapToLong(SendQueue::added).sum();
    }

    public long accepted() {
        return accepted + queues.stream().mapToLong(SendQueue::accepted).sum();
    }

    public long dropped(DropReason why) {
        return dropped[why.ordinal()] + queues.stream().mapToLong(q -> q.dropped(why)).sum();
    }

    public long pending() {
        return queues.stream().mapToLong(SendQueue::pending).sum();
    }

    public long bytes() {
        return queues.stream().mapToLong(SendQueue::bytes).sum();
    }

    public double oldestAddedAt() {
        return queues.stream().mapToDouble(SendQueue::oldestAddedAt).filter(t -> !Double.isNaN(t)).min().orElse(Double.NaN);
    }
}
