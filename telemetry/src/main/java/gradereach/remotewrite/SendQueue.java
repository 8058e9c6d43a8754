package gradereach.remotewrite;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * What waits for the receiver on one shard, and what becomes of it: no I/O, no clock. One batch is out at a time, so that every
 * series stays in order. Bounded in items and bytes; the oldest go first, since the newest tell what is the matter now. A batch that
 * the receiver could not take is sent again after a jittered back-off, or when it asked to, until its items are too old.
 *
 * At each moment: added = accepted + dropped + held.
 */
public final class SendQueue {
    /**
     * Times in milliseconds.
     *
     * @param batchAge after which a batch is sent though it is not full
     * @param keptFor after which an item is let go
     */
    public record Limits(int maxSamples, long maxBytes, int maxBatchSamples, long maxBatchBytes, double maxBatchDelay, double maxAge, double initialBackoff,
            double maxBackoff) { }

    /** Why an item was let go. */
    public enum DropReason { FULL, TOO_OLD, REFUSED, STOPPED }

    /** What the receiver said, or did not. */
    public sealed interface SendResult permits Accepted, Retry, Rejected { }

    /** {@code 2xx}. {@code written} items of it, -1 where it does not say. */
    public record Accepted(int written) implements SendResult { }

    /** {@code 5xx}, {@code 429}, no answer: again, not before {@code after} milliseconds (0 where it did not say). */
    public record Retry(double retryAfterMillis) implements SendResult { }

    /** Any other: not again. {@code written} items of it were taken all the same. */
    public record Rejected(int written) implements SendResult { }

    private record QueuedSample(SeriesSample sample, double addedAt) { }

    /** Items that are out, or about to be. */
    public static final class Batch {
        private final List<QueuedSample> queuedSamples;
        public final int failedAttempts;

        private Batch(List<QueuedSample> held, int tries) {
            this.queuedSamples = held;
            this.failedAttempts = tries;
        }

        public List<SeriesSample> samples() {
            return queuedSamples.stream().map(QueuedSample::sample).toList();
        }
    }

    private final Limits limits;
    private final Random random;
    private final ArrayDeque<QueuedSample> queue = new ArrayDeque<>();
    private long bytes;
    private List<QueuedSample> inFlight;
    /** The batch that is to be sent again, null for none. */
    private List<QueuedSample> retryBatch;
    private int failedAttempts;
    private boolean flushing;
    private double notBefore = Double.NEGATIVE_INFINITY;
    private long added;
    private long accepted;
    private final Map<DropReason, Long> dropped = new EnumMap<>(DropReason.class);

    public SendQueue(Limits bounds, Random chance) {
        this.limits = bounds;
        this.random = chance;
        for (DropReason why : DropReason.values()) {
            dropped.put(why, 0L);
        }
    }

    public void add(SeriesSample item, double now) {
        added++;
        queue.add(new QueuedSample(item, now));
        bytes += item.estimatedBytes();
        while (sampleCount() > limits.maxSamples || bytes > limits.maxBytes) {
            if (retryBatch != null) {
                drop(retryBatch, DropReason.FULL); // older than whatever is queued; what is out cannot be called back
                retryBatch = null;
            } else if (queue.size() > 1 || inFlight != null) {
                dropOldest(DropReason.FULL);
            } else {
                break; // one item alone is more than all: it may try
            }
        }
    }

    private void dropOldest(DropReason why) {
        QueuedSample oldest = queue.poll();
        if (oldest != null) {
            bytes -= oldest.sample.estimatedBytes();
            dropped.merge(why, 1L, Long::sum);
        }
    }

    private void drop(List<QueuedSample> some, DropReason why) {
        some.forEach(held -> bytes -= held.sample.estimatedBytes());
        dropped.merge(why, (long) some.size(), Long::sum);
    }

    private int sampleCount() {
        return queue.size() + (inFlight == null ? 0 : inFlight.size()) + (retryBatch == null ? 0 : retryBatch.size());
    }

    /** The batch to be sent now, null where none is due. It must be told of by {@link #ended}. */
    public Batch nextBatch(double now) {
        if (inFlight != null || now < notBefore) {
            return null;
        }
        dropExpired(now);
        if (retryBatch != null) {
            inFlight = retryBatch;
            retryBatch = null;
            return new Batch(inFlight, failedAttempts);
        }
        if (queue.isEmpty() || now < dueAt()) {
            return null;
        }
        List<QueuedSample> batch = new ArrayList<>();
        long size = 0;
        while (!queue.isEmpty() && batch.size() < limits.maxBatchSamples
                && (batch.isEmpty() || size + queue.peek().sample.estimatedBytes() <= limits.maxBatchBytes)) {
            size += queue.peek().sample.estimatedBytes();
            batch.add(queue.poll());
        }
        inFlight = batch;
        failedAttempts = 0;
        return new Batch(batch, 0);
    }

    /** From now on batches need not be full, nor old. */
    public void flush() {
        flushing = true;
    }

    /** When {@link #next} may have something, Double.POSITIVE_INFINITY while it cannot. */
    public double dueAt() {
        if (inFlight != null) {
            return Double.POSITIVE_INFINITY;
        }
        if (retryBatch != null) {
            return notBefore;
        }
        if (queue.isEmpty()) {
            return Double.POSITIVE_INFINITY;
        }
        boolean full = flushing || queue.size() >= limits.maxBatchSamples || bytes >= limits.maxBatchBytes;
        return Math.max(notBefore, full ? Double.NEGATIVE_INFINITY : queue.peek().addedAt + limits.maxBatchDelay);
    }

    private void dropExpired(double now) {
        if (retryBatch != null) {
            List<QueuedSample> old = new ArrayList<>();
            List<QueuedSample> young = new ArrayList<>();
            retryBatch.forEach(held -> (now - held.addedAt > limits.maxAge ? old : young).add(held));
            drop(old, DropReason.TOO_OLD);
            retryBatch = young.isEmpty() ? null : young;
        }
        while (!queue.isEmpty() && now - queue.peek().addedAt > limits.maxAge) {
            dropOldest(DropReason.TOO_OLD);
        }
    }

    /** What became of the batch that is out. */
    public void onSendResult(SendResult word, double now) {
        List<QueuedSample> batch = inFlight;
        inFlight = null;
        if (word instanceof Retry later) {
            retryBatch = batch;
            // Full jitter over a time that doubles: many front ends that lost one receiver must not meet there again.
            double most = Math.min(limits.maxBackoff, limits.initialBackoff * Math.pow(2, Math.min(30, failedAttempts)));
            failedAttempts++;
            notBefore = now + (later.retryAfterMillis > 0 ? later.retryAfterMillis * (1 + random.nextDouble() / 4) : most * random.nextDouble());
            return;
        }
        failedAttempts = 0;
        notBefore = Double.NEGATIVE_INFINITY;
        int written = word instanceof Accepted taken ? taken.written : ((Rejected) word).written;
        long good = Math.min(batch.size(), written < 0 ? batch.size() : written);
        batch.forEach(held -> bytes -= held.sample.estimatedBytes());
        accepted += good;
        dropped.merge(DropReason.REFUSED, batch.size() - good, Long::sum);
    }

    /** All that is held, oldest first, for another queue; nothing may be out. */
    List<SeriesSample> drain(List<Double> addedAt) {
        if (inFlight != null) {
            throw new IllegalStateException("a batch is out");
        }
        List<QueuedSample> all = new ArrayList<>(retryBatch == null ? List.of() : retryBatch);
        all.addAll(queue);
        queue.clear();
        retryBatch = null;
        bytes = 0;
        added -= all.size();
        all.forEach(held -> addedAt.add(held.addedAt));
        return all.stream().map(QueuedSample::sample).toList();
    }

    /** What is still held is let go; a batch that is out counts as lost, for nobody waits for its end. */
    public void stop() {
        if (inFlight != null) {
            drop(inFlight, DropReason.STOPPED);
            inFlight = null;
        }
        if (retryBatch != null) {
            drop(retryBatch, DropReason.STOPPED);
            retryBatch = null;
        }
        while (!queue.isEmpty()) {
            dropOldest(DropReason.STOPPED);
        }
    }

    public boolean hasBatchInFlight() {
        return inFlight != null;
    }

    public long added() {
        return added;
    }

    public long accepted() {
        return accepted;
    }

    public long dropped(DropReason why) {
        return dropped.get(why);
    }

    public int pending() {
        return sampleCount();
    }

    public long bytes() {
        return bytes;
    }

    /** Since when the oldest waits; NaN where none does. */
    public double oldestAddedAt() {
        return inFlight != null ? inFlight.get(0).addedAt : retryBatch != null ? retryBatch.get(0).addedAt
                : queue.isEmpty() ? Double.NaN : queue.peek().addedAt;
    }
}
