package gradereach.remotewrite;

import gradereach.remotewrite.SendQueue.DropReason;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The send queues of all shards. A series always maps to the same shard. When the number of shards changes, no new batch is sent
 * until those in flight have ended; then the pending samples are redistributed in their order.
 */
public final class Shards {
    private final SendQueue.Limits limits;
    private final Random random;
    private List<SendQueue> queues = new ArrayList<>();
    private int targetSize = 1;
    // Totals of queues that a resize has replaced.
    private long added;
    private long accepted;
    private final long[] dropped = new long[DropReason.values().length];

    /** @param limits of all shards together */
    public Shards(SendQueue.Limits limits, Random random) {
        this.limits = limits;
        this.random = random;
        queues.add(new SendQueue(limits, random));
    }

    public void add(SeriesSample sample, double now) {
        queues.get(Math.floorMod(sample.labels().hashCode(), queues.size())).add(sample, now);
    }

    /** Sets the number of shards, which takes effect once no batch is in flight. */
    public void resize(int shards) {
        targetSize = shards;
        applyResize();
    }

    /** Redistributes the pending samples to the new number of shards once no batch is in flight. */
    private void applyResize() {
        if (targetSize == queues.size() || queues.stream().anyMatch(SendQueue::hasBatchInFlight)) {
            return;
        }
        record Pending(SeriesSample sample, double addedAt) { }
        List<Pending> all = new ArrayList<>();
        for (SendQueue queue : queues) {
            List<Double> addedAtTimes = new ArrayList<>();
            List<SeriesSample> samples = queue.drain(addedAtTimes);
            for (int i = 0; i < samples.size(); i++) {
                all.add(new Pending(samples.get(i), addedAtTimes.get(i)));
            }
            added += queue.added();
            accepted += queue.accepted();
            for (DropReason reason : DropReason.values()) {
                dropped[reason.ordinal()] += queue.dropped(reason);
            }
        }
        queues = new ArrayList<>();
        for (int i = 0; i < targetSize; i++) {
            queues.add(new SendQueue(new SendQueue.Limits(Math.max(1, limits.maxSamples() / targetSize),
                    Math.max(1, limits.maxBytes() / targetSize), limits.maxBatchSamples(), limits.maxBatchBytes(),
                    limits.maxBatchDelayMillis(), limits.maxAgeMillis(), limits.initialBackoffMillis(), limits.maxBackoffMillis()),
                    random));
        }
        all.forEach(pending -> add(pending.sample, pending.addedAt));
    }

    /** The number of shards at present. */
    public int size() {
        return queues.size();
    }

    /** The next batch of a shard; null if none is due or while a resize is pending. */
    public SendQueue.Batch nextBatch(int shard, double now) {
        return targetSize != queues.size() ? null : queues.get(shard).nextBatch(now);
    }

    public void onSendResult(int shard, SendQueue.SendResult result, double now) {
        queues.get(shard).onSendResult(result, now);
        applyResize();
    }

    /** When a batch of any shard may be due, Double.POSITIVE_INFINITY while none can be. */
    public double dueAt() {
        return queues.stream().mapToDouble(SendQueue::dueAt).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** Makes all batches due at once. */
    public void flush() {
        queues.forEach(SendQueue::flush);
    }

    /** Drops all pending samples. */
    public void stop() {
        queues.forEach(SendQueue::stop);
    }

    public long added() {
        return added + queues.stream().mapToLong(SendQueue::added).sum();
    }

    public long accepted() {
        return accepted + queues.stream().mapToLong(SendQueue::accepted).sum();
    }

    public long dropped(DropReason reason) {
        return dropped[reason.ordinal()] + queues.stream().mapToLong(queue -> queue.dropped(reason)).sum();
    }

    public long pending() {
        return queues.stream().mapToLong(SendQueue::pending).sum();
    }

    /** Estimated size of the pending samples of all shards. */
    public long bytes() {
        return queues.stream().mapToLong(SendQueue::bytes).sum();
    }

    /** When the oldest pending sample was added; NaN if there is none. */
    public double oldestAddedAt() {
        return queues.stream().mapToDouble(SendQueue::oldestAddedAt).filter(t -> !Double.isNaN(t)).min().orElse(Double.NaN);
    }
}
