package gradereach.flow;

import gradereach.counts.Counts;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A flow-controlled queue of the parts of a streamed answer, from the one thread that reads them from the executor to the
 * one reader that writes them to the client. Nothing more is read from the executor while a part is buffered here, so that
 * a slow reader slows down its own executor stream and no other. One answer buffers at most what was already being read,
 * two flow-control windows of its HTTP/2 stream.
 *
 * <p>The parts are also recorded, up to a limit, for later requests with the same id.
 *
 * @param <T> a part
 */
public final class AnswerStream<T> {
    /** Where the parts come from. Thread-safe. */
    public interface Source {
        /** Continues to read from the executor. */
        void requestMore();
    }

    /** Limits that all answer streams of a front end share. */
    public static final class Limits {
        final int maxRecordBytes;
        final Counts.Limit bufferedBytes;
        final Counts.Limit recordedBytes;

        /**
         * @param maxBufferedBytes bytes of parts that wait for their readers, over all streams
         * @param maxRecordBytes bytes recorded of one answer
         * @param maxRecordedBytes bytes recorded of all unfinished answers
         */
        public Limits(long maxBufferedBytes, int maxRecordBytes, long maxRecordedBytes, Counts counts) {
            this.maxRecordBytes = maxRecordBytes;
            this.bufferedBytes = counts.limit("stream_parts_held_bytes", maxBufferedBytes);
            this.recordedBytes = counts.limit("stream_records_bytes", maxRecordedBytes);
        }
    }

    private record SizedPart<T>(T part, int size) { }

    private static final Runnable NO_READER = () -> { };

    private final Source source;
    private final Limits limits;
    private final Queue<SizedPart<T>> buffered = new ConcurrentLinkedQueue<>();
    private volatile boolean completed;
    private volatile boolean discarding;
    private volatile Runnable onAvailable = NO_READER;

    // Confined to the producing thread.
    /** Null once the parts exceed the limits of the record, and after the end. */
    private List<T> recordedParts = new ArrayList<>(4);
    private int recordBytes;
    private long partCount;

    public AnswerStream(Source source, Limits limits) {
        this.source = source;
        this.limits = limits;
    }

    // ---- producing thread ------------------------------------------------------------------------------------

    /** Adds a part. Returns false if the limit on buffered bytes over all streams is reached; this answer must then end. */
    public boolean put(T part, int size) {
        partCount++;
        addToRecord(part, size);
        if (discarding) {
            return true;
        }
        if (!limits.bufferedBytes.tryAcquire(size)) {
            return false;
        }
        buffered.add(new SizedPart<>(part, size));
        if (discarding) {
            dropBuffered(); // the reader discarded the stream in between
        }
        onAvailable.run();
        return true;
    }

    private void addToRecord(T part, int size) {
        if (recordedParts == null) {
            return;
        }
        if (recordBytes + size > limits.maxRecordBytes || !limits.recordedBytes.tryAcquire(size)) {
            recordedParts = null;
            limits.recordedBytes.release(recordBytes);
            recordBytes = 0;
            return;
        }
        recordedParts.add(part);
        recordBytes += size;
    }

    /** Whether the source should continue to read at once. */
    public boolean wantsMore() {
        return discarding || buffered.isEmpty();
    }

    /** Marks the end of the parts. Returns all of them, or null if they exceeded the limits of the record. */
    public List<T> complete() {
        completed = true;
        onAvailable.run();
        List<T> allParts = recordedParts;
        recordedParts = null;
        limits.recordedBytes.release(recordBytes);
        recordBytes = 0;
        return allParts;
    }

    /** Parts added so far. */
    public long partCount() {
        return partCount;
    }

    // ---- reader: one thread at a time --------------------------------------------------------------------------

    /** Sets the callback that runs, on any thread, after each part and at the end; it should then {@link #poll}. */
    public void subscribe(Runnable onAvailable) {
        this.onAvailable = onAvailable;
        onAvailable.run();
    }

    /** Takes the next part; null if none is buffered. */
    public T poll() {
        SizedPart<T> next = buffered.poll();
        if (next == null) {
            return null;
        }
        limits.bufferedBytes.release(next.size);
        if (buffered.isEmpty() && !completed) {
            source.requestMore();
        }
        return next.part;
    }

    /** Whether {@link #poll} would return a part. */
    public boolean hasBufferedParts() {
        return !buffered.isEmpty();
    }

    /** Whether all parts have been taken and no more will come. */
    public boolean isFinished() {
        return completed && buffered.isEmpty();
    }

    /** Stops delivering parts to the reader; further ones are only recorded. */
    public void discard() {
        discarding = true;
        onAvailable = NO_READER;
        dropBuffered();
        source.requestMore();
    }

    private void dropBuffered() {
        for (SizedPart<T> dropped; (dropped = buffered.poll()) != null;) {
            limits.bufferedBytes.release(dropped.size);
        }
    }
}
