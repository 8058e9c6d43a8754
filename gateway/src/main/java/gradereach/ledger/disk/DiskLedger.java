package gradereach.ledger.disk;

import gradereach.counts.Counts;
import gradereach.desk.Ledger;
import gradereach.ledger.CompactionPlanner;
import gradereach.ledger.CommitDelay;
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
 * An append-only ledger with group commit: one thread writes whatever waits, forces it once, and then tells all of it.
 * Whatever goes wrong on the disk makes it unusable until a fresh segment can be written; nothing that was told durable
 * depends on a file that failed (an fsync that failed says nothing about what a second one would).
 */
public final class DiskLedger implements Ledger, Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(DiskLedger.class);
    /** Records of one commit at most: about a megabyte, written in less time than a force takes. */
    private static final int MAX_BATCH_RECORDS = 2048;
    private static final long RETRY_NANOS = 500_000_000L;
    private static final long MAINTENANCE_NANOS = 1_000_000_000L;

    /**
     * @param segmentBytes size at which the next segment begins
     * @param reserve bytes of free disk below which nothing more is taken
     * @param mostWaiting records that may wait to be written
     */
    public record Limits(long segmentBytes, long minFreeBytes, int maxQueuedRecords) { }

    private record Pending(LedgerRecord record, AppendCallback then) { }

    private LedgerFolder folder;
    private final Disk disk;
    private final Limits limits;
    private final CompactionPlanner compactionPlanner;
    private final LedgerTime time;
    /** Takes the answers of one commit to the deciding thread. */
    private final Consumer<Runnable> decisionThread;
    private final MpscArrayQueue<Pending> queue;
    private final CommitDelay commitDelay = new CommitDelay();
    private final Counts.Limit waitingLimit;
    private final LongAdder records;
    private final LongAdder commits;
    private final LongAdder failures;
    private final LongAdder marksFailed;
    private final LongAdder bytesWritten;
    private final LongAdder compactedSegments;
    private final Counts.Limit openLimit;
    private final Thread thread;
    private final List<Pending> batch = new ArrayList<>();
    private ByteBuffer buffer = ByteBuffer.allocateDirect(1 << 20);
    private Disk.Appender appender;
    private long currentSegment;
    private long writtenBytes;
    private long durableBytes;
    private volatile long position = LedgerPosition.UNKNOWN;
    private volatile boolean usable;
    private volatile boolean closing;
    private volatile boolean asleep;
    private volatile double currentMargin;
    private long lastMaintenanceAt;
    private long failedAt;

    /** @param tell takes the ends of a commit to the deciding thread */
    public DiskLedger(Disk disk, Limits bounds, CompactionPlanner carry, LedgerTime time, Consumer<Runnable> tell,
            Counts counts) {
        this.disk = disk;
        this.limits = bounds;
        this.compactionPlanner = carry;
        this.time = time;
        this.decisionThread = tell;
        queue = new MpscArrayQueue<>(bounds.maxQueuedRecords);
        waitingLimit = counts.limit("ledger_records_waiting", queue.capacity());
        openLimit = counts.limit("ledger_messages_open", Long.MAX_VALUE);
        records = counts.counter("ledger_records");
        commits = counts.counter("ledger_commits");
        failures = counts.counter("ledger_failures");
        marksFailed = counts.counter("ledger_marks_failed");
        bytesWritten = counts.counter("ledger_bytes_written");
        compactedSegments = counts.counter("ledger_segments_compacted");
        thread = new Thread(this::run, "ledger");
        thread.setDaemon(true);
    }

    /**
     * Makes the first segment; where that fails the ledger is unusable for now and tries on.
     *
     * @param nextSegment its number, above all that are there
     */
    public void start(LedgerFolder opened, long nextSegment) {
        folder = opened;
        currentSegment = nextSegment - 1;
        startNextSegment();
        thread.start();
    }

    @Override
    public boolean isWritable() {
        return usable && queue.size() < queue.capacity() / 2;
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
    public void append(LedgerRecord record, AppendCallback then) {
        if (!usable || !queue.offer(new Pending(record, then))) {
            waitingLimit.recordRejection();
            decisionThread.accept(() -> then.onComplete(false));
            return;
        }
        java.lang.invoke.VarHandle.fullFence();
        if (asleep) {
            LockSupport.unpark(thread);
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
            if (now - lastMaintenanceAt > MAINTENANCE_NANOS) {
                lastMaintenanceAt = now;
                maintain(now);
            }
        }
    }

    private void waitForRecords() {
        asleep = true;
        java.lang.invoke.VarHandle.fullFence();
        if (queue.isEmpty() && !closing) {
            LockSupport.parkNanos(this, MAINTENANCE_NANOS / 2);
        }
        asleep = false;
    }

    private void commit() {
        boolean durable = appender != null;
        long began = System.nanoTime();
        if (durable) {
            try {
                write(batch.stream().map(Pending::record).toList());
            } catch (IOException e) {
                durable = false;
                handleFailure("write", e);
            }
        }
        waitingLimit.inUse(queue.size());
        List<Pending> told = List.copyOf(batch);
        boolean all = durable;
        double took = (System.nanoTime() - began) / 1e6;
        commitDelay.recordDelay(took, began / 1e6);
        currentMargin = commitDelay.margin(System.nanoTime() / 1e6);
        decisionThread.accept(() -> told.forEach(p -> p.then.onComplete(all)));
        if (durable && writtenBytes >= limits.segmentBytes) {
            startNextSegment();
        }
    }

    /** Appends and forces: everything or nothing counts as durable. */
    private void write(List<LedgerRecord> some) throws IOException {
        long before = writtenBytes;
        buffer.clear();
        for (LedgerRecord record : some) {
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
        bytesWritten.add(writtenBytes - before);
        records.add(some.size());
        commits.increment();
        for (LedgerRecord record : some) {
            compactionPlanner.recordWritten(record, currentSegment);
        }
        openLimit.inUse(compactionPlanner.openMessages());
    }

    private void flush() throws IOException {
        buffer.flip();
        int length = buffer.remaining();
        appender.write(buffer);
        writtenBytes += length;
        buffer.clear();
    }

    private void handleFailure(String what, IOException e) {
        usable = false;
        failures.increment();
        failedAt = System.nanoTime();
        LOG.atError().addKeyValue("segment", currentSegment).log("ledger {} failed, what needs it is shed: {}", what,
                String.valueOf(e.getMessage()));
        if (appender != null) {
            abandonSegment(appender);
            appender = null;
        }
    }

    /** What was never told durable must not come back as if it had been, and a segment that holds nothing must not stay. */
    private void abandonSegment(Disk.Appender given) {
        try (given) {
            given.truncate(durableBytes);
            if (durableBytes == 0) {
                Files.deleteIfExists(folder.segmentPath(currentSegment));
            }
            given.force();
        } catch (IOException e) {
            // It is found as damage at the next start, and what it may concern is answered as unknown.
            LOG.atError().addKeyValue("segment", currentSegment).log("ledger: what was not written whole stays: {}",
                    String.valueOf(e.getMessage()));
        }
    }

    /** All that was written is durable. */
    private void advanceDurable() {
        durableBytes = writtenBytes;
        position = LedgerPosition.of(currentSegment, durableBytes);
        updateTailMark();
    }

    /** The mark is a help for the next start: what was forced is durable without it. */
    private void updateTailMark() {
        try {
            folder.tailMark(currentSegment, writtenBytes);
        } catch (IOException e) {
            marksFailed.increment();
        }
    }

    /** The next segment; the present one is whole and forced by now. */
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
            usable = disk.usableSpace(folder.folder) >= limits.minFreeBytes;
        } catch (IOException e) {
            handleFailure("segment", e);
        }
    }

    private void maintain(long now) {
        currentMargin = commitDelay.margin(now / 1e6);
        try {
            if (appender == null) {
                if (now - failedAt > RETRY_NANOS && disk.usableSpace(folder.folder) >= limits.minFreeBytes) {
                    startNextSegment();
                }
                return;
            }
            boolean room = disk.usableSpace(folder.folder) >= limits.minFreeBytes;
            if (usable != room) {
                LOG.warn(room ? "ledger: there is room again" : "ledger: the disk is nearly full, what needs it is shed");
                usable = room;
            }
            compact();
        } catch (IOException e) {
            handleFailure("compaction", e);
        }
    }

    private void compact() throws IOException {
        double now = time.now();
        if (now - compactionPlanner.retention() < time.knownSince()) {
            return; // nobody knows how old the segments are that were found at the start
        }
        for (long old; (old = compactionPlanner.oldestRemovableSegment(now, currentSegment)) >= 0;) {
            List<LedgerRecord> carried = compactionPlanner.recordsToRewrite(old, currentSegment);
            if (!carried.isEmpty()) {
                write(carried);
            }
            folder.raiseForgottenUpTo(compactionPlanner.latestSignedAt(old));
            folder.raiseClaimsForgottenUpTo(compactionPlanner.latestClaimSignedAt(old));
            Files.deleteIfExists(folder.segmentPath(old));
            compactionPlanner.segmentRemoved(old);
            compactedSegments.increment();
        }
    }

    @Override
    public void close() throws IOException {
        closing = true;
        if (folder == null) {
            return; // it never started
        }
        LockSupport.unpark(thread);
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (appender != null) {
            appender.close();
        }
        folder.close();
    }
}
