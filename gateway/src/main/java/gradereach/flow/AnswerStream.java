package gradereach.flow;

import gradereach.counts.Counts;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * An answer on its way in parts, from the one thread that reads it off its executor to the one side that writes it to its
 * client. Nothing is read on while a part waits here, so that a slow reader slows its executor and nobody else; what one
 * flow holds is what was already being read, at most two of its stream's windows.
 *
 * Beside that the parts are kept, up to a bound, for whoever asks with the same id afterwards.
 *
 * @param <T> a part
 */
public final class AnswerStream<T> {
    /** Where the parts come from. Any thread. */
    public interface Source {
        /** Read on. */
        void requestMore();
    }

    /** What all flows of a front end share. */
    public static final class Limits {
        final int maxRecordBytes;
        final Counts.Limit bufferedBytes;
        final Counts.Limit recordedBytes;

        /**
         * @param held bytes of parts that wait for their readers, over all flows
         * @param mostKept bytes of one answer that are kept for its record
         * @param kept the same over all answers that are under way
         */
        public Limits(long held, int mostKept, long kept, Counts counts) {
            this.maxRecordBytes = mostKept;
            this.bufferedBytes = counts.limit("stream_parts_held_bytes", held);
            this.recordedBytes = counts.limit("stream_records_bytes", kept);
        }
    }

    private record SizedPart<T>(T part, int size) { }

    private static final Runnable NO_READER = () -> { };

    private final Source source;
    private final Limits bounds;
    private final Queue<SizedPart<T>> buffered = new ConcurrentLinkedQueue<>();
    private volatile boolean completed;
    private volatile boolean discarding;
    private volatile Runnable onAvailable = NO_READER;

    // Of the producing thread.
    private List<T> recordedParts = new ArrayList<>(4);
    private int recordBytes;
    private long partCount;

    public AnswerStream(Source source, Limits bounds) {
        this.source = source;
        this.bounds = bounds;
    }

    // ---- the producing thread --------------------------------------------------------------------------------

    /** False where all flows together hold as much as they may: this one must end. */
    public boolean put(T part, int size) {
        partCount++;
        addToRecord(part, size);
        if (discarding) {
            return true;
        }
        if (!bounds.bufferedBytes.tryAcquire(size)) {
            return false;
        }
        buffered.add(new SizedPart<>(part, size));
        if (discarding) {
            dropBuffered(); // the reader left in between
        }
        onAvailable.run();
        return true;
    }

    private void addToRecord(T part, int size) {
        if (recordedParts == null) {
            return;
        }
        if (recordBytes + size > bounds.maxRecordBytes || !bounds.recordedBytes.tryAcquire(size)) {
            recordedParts = null;
            bounds.recordedBytes.release(recordBytes);
            recordBytes = 0;
            return;
        }
        recordedParts.add(part);
        recordBytes += size;
    }

    /** Whether to read on at once. */
    public boolean wantsMore() {
        return discarding || buffered.isEmpty();
    }

    /** No part comes any more. Returns all that came, or null where that was more than is kept. */
    public List<T> complete() {
        completed = true;
        onAvailable.run();
        List<T> all = recordedParts;
        recordedParts = null;
        bounds.recordedBytes.release(recordBytes);
        recordBytes = 0;
        return all;
    }

    public long partCount() {
        return partCount;
    }

    // ---- the reading side: one thread at a time ----------------------------------------------------------------

    /** From now on {@code onMore} is told of each part and of the end, by any thread; it should come and look. */
    public void subscribe(Runnable onMore) {
        onAvailable = onMore;
        onMore.run();
    }

    /** The next part, null where none waits now. */
    public T poll() {
        SizedPart<T> next = buffered.poll();
        if (next == null) {
            return null;
        }
        bounds.bufferedBytes.release(next.size);
        if (buffered.isEmpty() && !completed) {
            source.requestMore();
        }
        return next.part;
    }

    public boolean hasBufferedParts() {
        return !buffered.isEmpty();
    }

    /** Whether all parts have been taken and none will come. */
    public boolean isFinished() {
        return completed && buffered.isEmpty();
    }

    /** Nobody reads any more: what comes is kept for the record alone. */
    public void discard() {
        discarding = true;
        onAvailable = NO_READER;
        dropBuffered();
        source.requestMore();
    }

    private void dropBuffered() {
        for (SizedPart<T> left; (left = buffered.poll()) != null;) {
            bounds.bufferedBytes.release(left.size);
        }
    }
}
