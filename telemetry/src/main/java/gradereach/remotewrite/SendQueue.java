package gradereach.remotewrite;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The samples of one shard that wait to be sent, and counts of those accepted and dropped. No I/O, no clock. One batch is in flight
 * at a time, so that every series stays in order. The queue is bounded in samples and bytes and drops the oldest first, since the
 * newest show the present state. A batch that met a transient failure is sent again after a jittered backoff, or after the
 * delay that the receiver requested, until its samples are too old.
 *
 * Invariant: added = accepted + dropped + pending.
 */
public final class SendQueue {
    /**
     * Limits of a queue.
     *
     * @param maxBatchDelayMillis age of the oldest sample at which a batch is sent although it is not full
     * @param maxAgeMillis age at which a sample is dropped
     */
    public record Limits(int maxSamples, long maxBytes, int maxBatchSamples, long maxBatchBytes, double maxBatchDelayMillis,
            double maxAgeMillis, double initialBackoffMillis, double maxBackoffMillis) { }

    /** Why a sample was dropped; {@code REFUSED}: the receiver rejected it. The constants are label values. */
    public enum DropReason { FULL, TOO_OLD, REFUSED, STOPPED }

    /** The result of sending a batch. */
    public sealed interface SendResult permits Accepted, Retry, Rejected { }

    /** {@code 2xx}; {@code written} samples of the batch, -1 if the receiver does not report it. */
    public record Accepted(int written) implements SendResult { }

    /** {@code 5xx}, {@code 429} or no response: the batch is sent again; the receiver may request a delay, 0 for none. */
    public record Retry(double retryAfterMillis) implements SendResult { }

    /** Any other status: the batch is not sent again, although {@code written} samples of it may have been written. */
    public record Rejected(int written) implements SendResult { }

    private record QueuedSample(SeriesSample sample, double addedAt) { }

    /** A batch in flight. */
    public static final class Batch {
        private final List<QueuedSample> queuedSamples;
        /** Earlier attempts at this batch, all of which failed. */
        public final int failedAttempts;

        private Batch(List<QueuedSample> queuedSamples, int failedAttempts) {
            this.queuedSamples = queuedSamples;
            this.failedAttempts = failedAttempts;
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
    /** The batch that waits to be sent again, null for none. */
    private List<QueuedSample> retryBatch;
    private int failedAttempts;
    private boolean flushing;
    private double notBefore = Double.NEGATIVE_INFINITY;
    private long added;
    private long accepted;
    private final Map<DropReason, Long> dropped = new EnumMap<>(DropReason.class);

    public SendQueue(Limits limits, Random random) {
        this.limits = limits;
        this.random = random;
        for (DropReason reason : DropReason.values()) {
            dropped.put(reason, 0L);
        }
    }

    /** Adds a sample, and drops the oldest ones where a limit is exceeded. */
    public void add(SeriesSample sample, double now) {
        added++;
        queue.add(new QueuedSample(sample, now));
        bytes += sample.estimatedBytes();
        while (sampleCount() > limits.maxSamples || bytes > limits.maxBytes) {
            if (retryBatch != null) {
                drop(retryBatch, DropReason.FULL); // older than all queued samples; a batch in flight cannot be cancelled
                retryBatch = null;
            } else if (queue.size() > 1 || inFlight != null) {
                dropOldest(DropReason.FULL);
            } else {
                break; // a single sample above the byte limit is sent all the same
            }
        }
    }

    private void dropOldest(DropReason reason) {
        QueuedSample oldest = queue.poll();
        if (oldest != null) {
            bytes -= oldest.sample.estimatedBytes();
            dropped.merge(reason, 1L, Long::sum);
        }
    }

    private void drop(List<QueuedSample> samples, DropReason reason) {
        samples.forEach(queued -> bytes -= queued.sample.estimatedBytes());
        dropped.merge(reason, (long) samples.size(), Long::sum);
    }

    private int sampleCount() {
        return queue.size() + (inFlight == null ? 0 : inFlight.size()) + (retryBatch == null ? 0 : retryBatch.size());
    }

    /** The batch to send now, null if none is due. Its result must be reported by {@link #onSendResult}. */
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
        long batchBytes = 0;
        while (!queue.isEmpty() && batch.size() < limits.maxBatchSamples
                && (batch.isEmpty() || batchBytes + queue.peek().sample.estimatedBytes() <= limits.maxBatchBytes)) {
            batchBytes += queue.peek().sample.estimatedBytes();
            batch.add(queue.poll());
        }
        inFlight = batch;
        failedAttempts = 0;
        return new Batch(batch, 0);
    }

    /** Makes all batches due at once, whether full or not. */
    public void flush() {
        flushing = true;
    }

    /** When {@link #nextBatch} may return a batch, Double.POSITIVE_INFINITY while it cannot. */
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
        boolean sendAtOnce = flushing || queue.size() >= limits.maxBatchSamples || bytes >= limits.maxBatchBytes;
        return Math.max(notBefore,
                sendAtOnce ? Double.NEGATIVE_INFINITY : queue.peek().addedAt + limits.maxBatchDelayMillis);
    }

    private void dropExpired(double now) {
        if (retryBatch != null) {
            List<QueuedSample> expired = new ArrayList<>();
            List<QueuedSample> remaining = new ArrayList<>();
            retryBatch.forEach(queued -> (now - queued.addedAt > limits.maxAgeMillis ? expired : remaining).add(queued));
            drop(expired, DropReason.TOO_OLD);
            retryBatch = remaining.isEmpty() ? null : remaining;
        }
        while (!queue.isEmpty() && now - queue.peek().addedAt > limits.maxAgeMillis) {
            dropOldest(DropReason.TOO_OLD);
        }
    }

    /** Records the result of the batch in flight. */
    public void onSendResult(SendResult result, double now) {
        List<QueuedSample> batch = inFlight;
        inFlight = null;
        if (result instanceof Retry retry) {
            retryBatch = batch;
            // Exponential backoff with full jitter: front ends that lost one receiver must not all return at once.
            double backoff = Math.min(limits.maxBackoffMillis, limits.initialBackoffMillis * Math.pow(2, Math.min(30, failedAttempts)));
            failedAttempts++;
            notBefore = now + (retry.retryAfterMillis > 0 ? retry.retryAfterMillis * (1 + random.nextDouble() / 4)
                    : backoff * random.nextDouble());
            return;
        }
        failedAttempts = 0;
        notBefore = Double.NEGATIVE_INFINITY;
        int written = result instanceof Accepted acceptedResult ? acceptedResult.written : ((Rejected) result).written;
        long acceptedCount = Math.min(batch.size(), written < 0 ? batch.size() : written);
        batch.forEach(queued -> bytes -= queued.sample.estimatedBytes());
        accepted += acceptedCount;
        dropped.merge(DropReason.REFUSED, batch.size() - acceptedCount, Long::sum);
    }

    /**
     * Removes and returns all pending samples, oldest first, for another queue; no batch may be in flight.
     *
     * @param addedAtTimes receives the time at which each of the samples was added
     */
    List<SeriesSample> drain(List<Double> addedAtTimes) {
        if (inFlight != null) {
            throw new IllegalStateException("a batch is in flight");
        }
        List<QueuedSample> all = new ArrayList<>(retryBatch == null ? List.of() : retryBatch);
        all.addAll(queue);
        queue.clear();
        retryBatch = null;
        bytes = 0;
        added -= all.size();
        all.forEach(queued -> addedAtTimes.add(queued.addedAt));
        return all.stream().map(QueuedSample::sample).toList();
    }

    /** Drops all pending samples; a batch in flight counts as dropped, since its result is no longer awaited. */
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

    /** Samples added, without those that were moved to another queue. */
    public long added() {
        return added;
    }

    public long accepted() {
        return accepted;
    }

    public long dropped(DropReason reason) {
        return dropped.get(reason);
    }

    /** Samples not yet accepted or dropped, those in flight included. */
    public int pending() {
        return sampleCount();
    }

    /** Estimated size of the pending samples. */
    public long bytes() {
        return bytes;
    }

    /** When the oldest pending sample was added; NaN if there is none. */
    public double oldestAddedAt() {
        return inFlight != null ? inFlight.get(0).addedAt : retryBatch != null ? retryBatch.get(0).addedAt
                : queue.isEmpty() ? Double.NaN : queue.peek().addedAt;
    }
}
