package gradereach.ledger.disk;

import gradereach.counts.Counts;
import gradereach.desk.Ledger;
import gradereach.ledger.CommitDelay;
import gradereach.ledger.CompactionPlanner;
import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerTime;
import gradereach.ledger.RecordCodec;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An append-only ledger with group commit: one thread writes all queued records, forces them once and then notifies their writers.
 * Any disk error makes the ledger unwritable until a new segment can be written. No record that was reported durable depends on a file
 * that failed, because the result of an fsync after a failed one has no meaning.
 */
public final class DiskLedger implements Ledger, Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(DiskLedger.class);
    /** About a megabyte of records in one commit, which takes less time to write than to force. */
    private static final int MAX_BATCH_RECORDS = 2048;
    /** How long after a failure a new segment is tried. */
    private static final long SEGMENT_RETRY_NANOS = 500_000_000L;
    private static final long MAINTENANCE_INTERVAL_NANOS = 1_000_000_000L;

    /**
     * Limits of a ledger.
     *
     * @param segmentBytes size at which the next segment is started
     * @param minFreeBytes free disk space below which the ledger accepts no records
     * @param maxQueuedRecords records that can be queued for writing
     */
    public record Limits(long segmentBytes, long minFreeBytes, int maxQueuedRecords) { }

    /** A queued record. */
    private record Pending(LedgerRecord record, AppendCallback callback) { }

    private LedgerFolder folder;
    private final Disk disk;
    private final Limits limits;
    private final CompactionPlanner compactionPlanner;
    private final LedgerTime time;
    /** Runs callbacks on the decision thread. */
    private final Consumer<Runnable> decisionThread;
    private final MpscArrayQueue<Pending> queue;
    private final CommitDelay commitDelay = new CommitDelay();
    private final Counts.Limit queuedRecords;
    private final LongAdder records;
    private final LongAdder commits;
    private final LongAdder failures;
    private final LongAdder failedTailMarks;
    private final LongAdder bytesWritten;
    private final LongAdder compactedSegments;
    private final Counts.Limit openMessages;
    private final Thread writerThread;
    private final List<Pending> batch = new ArrayList<>();
    private ByteBuffer buffer = ByteBuffer.allocateDirect(1 << 20);
    private Disk.Appender appender;
    private long currentSegment;
    private long writtenBytes;
    private long durableBytes;
    private volatile long position = LedgerPosition.UNKNOWN;
    private volatile boolean writable;
    private volatile boolean closing;
    private volatile boolean isWriterAsleep;
    private volatile double currentMargin;
    private long lastMaintenanceNanos;
    private long failedAtNanos;

    /** @param decisionThread runs the callbacks of a commit on the decision thread */
    public DiskLedger(Disk disk, Limits limits, CompactionPlanner compactionPlanner, LedgerTime time, Consumer<Runnable> decisionThread,
            Counts counts) {
        this.disk = disk;
        this.limits = limits;
        this.compactionPlanner = compactionPlanner;
        this.time = time;
        this.decisionThread = decisionThread;
        queue = new MpscArrayQueue<>(limits.maxQueuedRecords);
        queuedRecords = counts.limit("ledger_records_waiting", queue.capacity());
        openMessages = counts.limit("ledger_messages_open", Long.MAX_VALUE);
        records = counts.counter("ledger_records");
        commits = counts.counter("ledger_commits");
        failures = counts.counter("ledger_failures");
        failedTailMarks = counts.counter("ledger_marks_failed");
        bytesWritten = counts.counter("ledger_bytes_written");
        compactedSegments = counts.counter("ledger_segments_compacted");
        writerThread = new Thread(this::run, "ledger");
        writerThread.setDaemon(true);
    }

    /**
     * Creates the first segment and starts the writer thread. If the segment cannot be created, the ledger is not writable until
     * a retry succeeds.
     *
     * @param nextSegment number of the segment, higher than all existing ones
     */
    public void start(LedgerFolder ledgerFolder, long nextSegment) {
        folder = ledgerFolder;
        currentSegment = nextSegment - 1;
        startNextSegment();
        writerThread.start();
    }

    @Override
    public boolean isWritable() {
        return writable && queue.size() < queue.capacity() / 2;
    }

    @Override
    public double commitMargin() {
        return currentMargin;
    }

    @Override
    public long position() {
        return position;
    }

    @Override
    public LedgerTime time() {
        return time;
    }

    @Override
    public void append(LedgerRecord record, AppendCallback callback) {
        if (!writable || !queue.offer(new Pending(record, callback))) {
            queuedRecords.recordRejection();
            decisionThread.accept(() -> callback.onComplete(false));
            return;
        }
        // With the fence in waitForRecords: either this thread sees that the writer is asleep, or the writer sees the record.
        java.lang.invoke.VarHandle.fullFence();
        if (isWriterAsleep) {
            LockSupport.unpark(writerThread);
        }
    }

    private void run() {
        while (!closing || !queue.isEmpty()) {
            batch.clear();
            for (Pending next; batch.size() < MAX_BATCH_RECORDS && (next = queue.relaxedPoll()) != null;) {
                batch.add(next);
            }
            if (!batch.isEmpty()) {
                commit();
            } else {
                waitForRecords();
            }
            long now = System.nanoTime();
            if (now - lastMaintenanceNanos > MAINTENANCE_INTERVAL_NANOS) {
                lastMaintenanceNanos = now;
                maintain(now);
            }
        }
    }

    /** Sleeps until a record is queued or maintenance is due. */
    private void waitForRecords() {
        isWriterAsleep = true;
        java.lang.invoke.VarHandle.fullFence();
        if (queue.isEmpty() && !closing) {
            LockSupport.parkNanos(this, MAINTENANCE_INTERVAL_NANOS / 2);
        }
        isWriterAsleep = false;
    }

    /** Writes the batch and notifies its callbacks. */
    private void commit() {
        boolean durable = appender != null;
        long startedAt = System.nanoTime();
        if (durable) {
            try {
                write(batch.stream().map(Pending::record).toList());
            } catch (IOException e) {
                durable = false;
                handleFailure("write", e);
            }
        }
        queuedRecords.setInUse(queue.size());
        List<Pending> committed = List.copyOf(batch);
        boolean allDurable = durable;
        double elapsedMillis = (System.nanoTime() - startedAt) / 1e6;
        commitDelay.recordDelay(elapsedMillis, startedAt / 1e6);
        currentMargin = commitDelay.margin(System.nanoTime() / 1e6);
        decisionThread.accept(() -> committed.forEach(pending -> pending.callback.onComplete(allDurable)));
        if (durable && writtenBytes >= limits.segmentBytes) {
            startNextSegment();
        }
    }

    /** Appends the records and forces them; either all of them count as durable or none. */
    private void write(List<LedgerRecord> batchRecords) throws IOException {
        long writtenBefore = writtenBytes;
        buffer.clear();
        for (LedgerRecord record : batchRecords) {
            byte[] frame = RecordCodec.encode(record);
            if (frame.length > buffer.remaining()) {
                flush();
            }
            if (frame.length > buffer.capacity()) {
                buffer = ByteBuffer.allocateDirect(frame.length);
            }
            buffer.put(frame);
        }
        flush();
        appender.force();
        advanceDurable();
        bytesWritten.add(writtenBytes - writtenBefore);
        records.add(batchRecords.size());
        commits.increment();
        for (LedgerRecord record : batchRecords) {
            compactionPlanner.onRecordWritten(record, currentSegment);
        }
        openMessages.setInUse(compactionPlanner.openMessageCount());
    }

    private void flush() throws IOException {
        buffer.flip();
        int length = buffer.remaining();
        appender.write(buffer);
        writtenBytes += length;
        buffer.clear();
    }

    /** Makes the ledger unwritable and abandons the current segment. */
    private void handleFailure(String operation, IOException e) {
        writable = false;
        failures.increment();
        failedAtNanos = System.nanoTime();
        LOG.atError().addKeyValue("segment", currentSegment).log("ledger {} failed, inferences that need the ledger are shed: {}",
                operation, String.valueOf(e.getMessage()));
        if (appender != null) {
            abandonSegment(appender);
            appender = null;
        }
    }

    /** Cuts off records that were not reported durable, so that they are not restored later, and deletes a segment without records. */
    private void abandonSegment(Disk.Appender failed) {
        try (failed) {
            failed.truncate(durableBytes);
            if (durableBytes == 0) {
                Files.deleteIfExists(folder.segmentPath(currentSegment));
            }
            failed.force();
        } catch (IOException e) {
            // The next start reports it as damage and answers the messages that it may affect as unknown.
            LOG.atError().addKeyValue("segment", currentSegment).log("ledger: cannot cut off an incomplete write: {}",
                    String.valueOf(e.getMessage()));
        }
    }

    /** Called when everything that was written is durable. */
    private void advanceDurable() {
        durableBytes = writtenBytes;
        position = LedgerPosition.of(currentSegment, durableBytes);
        updateTailMark();
    }

    /** Updates the tail mark. It only helps the next start: records that were forced are durable without it. */
    private void updateTailMark() {
        try {
            folder.writeTailMark(currentSegment, writtenBytes);
        } catch (IOException e) {
            failedTailMarks.increment();
        }
    }

    /** Starts the next segment; the current one is complete and forced by then. */
    private void startNextSegment() {
        try {
            if (appender != null) {
                appender.close();
                appender = null;
            }
            writtenBytes = 0;
            durableBytes = 0;
            appender = disk.create(folder.segmentPath(++currentSegment));
            buffer.clear().put(LedgerFolder.MAGIC);
            flush();
            appender.force();
            folder.saveInodeNumbers(currentSegment);
            advanceDurable();
            writable = disk.usableSpace(folder.folder) >= limits.minFreeBytes;
        } catch (IOException e) {
            handleFailure("segment", e);
        }
    }

    /** Retries after a failure, checks the disk space and compacts. */
    private void maintain(long now) {
        currentMargin = commitDelay.margin(now / 1e6);
        try {
            if (appender == null) {
                if (now - failedAtNanos > SEGMENT_RETRY_NANOS && disk.usableSpace(folder.folder) >= limits.minFreeBytes) {
                    startNextSegment();
                }
                return;
            }
            boolean enoughSpace = disk.usableSpace(folder.folder) >= limits.minFreeBytes;
            if (writable != enoughSpace) {
                LOG.warn(enoughSpace ? "ledger: enough disk space again"
                        : "ledger: the disk is nearly full, inferences that need the ledger are shed");
                writable = enoughSpace;
            }
            compact();
        } catch (IOException e) {
            handleFailure("compaction", e);
        }
    }

    /** Removes segments that are older than the retention, after their open messages were rewritten. */
    private void compact() throws IOException {
        double now = time.now();
        if (now - compactionPlanner.retention() < time.durationsKnownSince()) {
            return; // the age of the segments that were found at the start is not known yet
        }
        for (long oldest; (oldest = compactionPlanner.oldestRemovableSegment(now, currentSegment)) >= 0;) {
            List<LedgerRecord> rewritten = compactionPlanner.recordsToRewrite(oldest, currentSegment);
            if (!rewritten.isEmpty()) {
                write(rewritten);
            }
            folder.raiseForgottenUpTo(compactionPlanner.latestSignedAt(oldest));
            folder.raiseClaimsForgottenUpTo(compactionPlanner.latestClaimSignedAt(oldest));
            Files.deleteIfExists(folder.segmentPath(oldest));
            compactionPlanner.onSegmentRemoved(oldest);
            compactedSegments.increment();
        }
    }

    @Override
    public void close() throws IOException {
        closing = true;
        if (folder == null) {
            return; // it was never started
        }
        LockSupport.unpark(writerThread);
        try {
            writerThread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (appender != null) {
            appender.close();
        }
        folder.close();
    }
}
