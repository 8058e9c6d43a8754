package gradereach.ledger.disk;

import gradereach.counts.Counts;
import gradereach.desk.Ledger;
import gradereach.ledger.CarryBook;
import gradereach.ledger.CommitPace;
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
    private static final int BATCH = 2048;
    private static final long TRY_AGAIN_NANOS = 500_000_000L;
    private static final long LOOK_AT_ROOM_NANOS = 1_000_000_000L;

    /**
     * @param segmentBytes size at which the next segment begins
     * @param reserve bytes of free disk below which nothing more is taken
     * @param mostWaiting records that may wait to be written
     */
    public record Bounds(long segmentBytes, long reserve, int mostWaiting) { }

    private record Pending(LedgerRecord record, Then then) { }

    private LedgerFolder folder;
    private final Disk disk;
    private final Bounds bounds;
    private final CarryBook carry;
    private final LedgerTime time;
    /** Takes the answers of one commit to the deciding thread. */
    private final Consumer<Runnable> tell;
    private final MpscArrayQueue<Pending> queue;
    private final CommitPace pace = new CommitPace();
    private final Counts.Limit waitingLimit;
    private final LongAdder records;
    private final LongAdder commits;
    private final LongAdder failures;
    private final LongAdder marksFailed;
    private final LongAdder bytesWritten;
    private final LongAdder compacted;
    private final Counts.Limit openLimit;
    private final Thread thread;
    private final List<Pending> batch = new ArrayList<>();
    private ByteBuffer buffer = ByteBuffer.allocateDirect(1 << 20);
    private Disk.Appender out;
    private long segment;
    private long written;
    private long durable;
    private volatile long position = LedgerPosition.UNKNOWN;
    private volatile boolean usable;
    private volatile boolean closing;
    private volatile boolean asleep;
    private volatile double marginNow;
    private long lookedAtRoom;
    private long failedAt;

    /** @param tell takes the ends of a commit to the deciding thread */
    public DiskLedger(Disk disk, Bounds bounds, CarryBook carry, LedgerTime time, Consumer<Runnable> tell,
            Counts counts) {
        this.disk = disk;
        this.bounds = bounds;
        this.carry = carry;
        this.time = time;
        this.tell = tell;
        queue = new MpscArrayQueue<>(bounds.mostWaiting);
        waitingLimit = counts.limit("ledger_records_waiting", queue.capacity());
        openLimit = counts.limit("ledger_messages_open", Long.MAX_VALUE);
        records = counts.counter("ledger_records");
        commits = counts.counter("ledger_commits");
        failures = counts.counter("ledger_failures");
        marksFailed = counts.counter("ledger_marks_failed");
        bytesWritten = counts.counter("ledger_bytes_written");
        compacted = counts.counter("ledger_segments_compacted");
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
        segment = nextSegment - 1;
        roll();
        thread.start();
    }

    @Override
    public boolean usable() {
        return usable && queue.size() < queue.capacity() / 2;
    }

    @Override
    public double margin() {
        return marginNow;
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
    public void append(LedgerRecord record, Then then) {
        if (!usable || !queue.offer(new Pending(record, then))) {
            waitingLimit.refuse();
            tell.accept(() -> then.done(false));
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
            for (Pending next; batch.size() < BATCH && (next = queue.relaxedPoll()) != null;) {
                batch.add(next);
            }
            if (!batch.isEmpty()) {
                commit();
            } else {
                rest();
            }
            long now = System.nanoTime();
            if (now - lookedAtRoom > LOOK_AT_ROOM_NANOS) {
                lookedAtRoom = now;
                lookAround(now);
            }
        }
    }

    private void rest() {
        asleep = true;
        java.lang.invoke.VarHandle.fullFence();
        if (queue.isEmpty() && !closing) {
            LockSupport.parkNanos(this, LOOK_AT_ROOM_NANOS / 2);
        }
        asleep = false;
    }

    private void commit() {
        boolean durable = out != null;
        long began = System.nanoTime();
        if (durable) {
            try {
                write(batch.stream().map(Pending::record).toList());
            } catch (IOException e) {
                durable = false;
                failed("write", e);
            }
        }
        waitingLimit.present(queue.size());
        List<Pending> told = List.copyOf(batch);
        boolean all = durable;
        double took = (System.nanoTime() - began) / 1e6;
        pace.took(took, began / 1e6);
        marginNow = pace.margin(System.nanoTime() / 1e6);
        tell.accept(() -> told.forEach(p -> p.then.done(all)));
        if (durable && written >= bounds.segmentBytes) {
            roll();
        }
    }

    /** Appends and forces: everything or nothing counts as durable. */
    private void write(List<LedgerRecord> some) throws IOException {
        long before = written;
        buffer.clear();
        for (LedgerRecord record : some) {
            byte[] frame = RecordCodec.frame(record);
            if (frame.length > buffer.remaining()) {
                flush();
            }
            if (frame.length > buffer.capacity()) {
                buffer = ByteBuffer.allocateDirect(frame.length);
            }
            buffer.put(frame);
        }
        flush();
        out.force();
        settled();
        bytesWritten.add(written - before);
        records.add(some.size());
        commits.increment();
        for (LedgerRecord record : some) {
            carry.wrote(record, segment);
        }
        openLimit.present(carry.open());
    }

    private void flush() throws IOException {
        buffer.flip();
        int length = buffer.remaining();
        out.write(buffer);
        written += length;
        buffer.clear();
    }

    private void failed(String what, IOException e) {
        usable = false;
        failures.increment();
        failedAt = System.nanoTime();
        LOG.atError().addKeyValue("segment", segment).log("ledger {} failed, what needs it is shed: {}", what,
                String.valueOf(e.getMessage()));
        if (out != null) {
            giveUp(out);
            out = null;
        }
    }

    /** What was never told durable must not come back as if it had been, and a segment that holds nothing must not stay. */
    private void giveUp(Disk.Appender given) {
        try (given) {
            given.truncate(durable);
            if (durable == 0) {
                Files.deleteIfExists(folder.segment(segment));
            }
            given.force();
        } catch (IOException e) {
            // It is found as damage at the next start, and what it may concern is answered as unknown.
            LOG.atError().addKeyValue("segment", segment).log("ledger: what was not written whole stays: {}",
                    String.valueOf(e.getMessage()));
        }
    }

    /** All that was written is durable. */
    private void settled() {
        durable = written;
        position = LedgerPosition.of(segment, durable);
        mark();
    }

    /** The mark is a help for the next start: what was forced is durable without it. */
    private void mark() {
        try {
            folder.mark(segment, written);
        } catch (IOException e) {
            marksFailed.increment();
        }
    }

    /** The next segment; the present one is whole and forced by now. */
    private void roll() {
        try {
            if (out != null) {
                out.close();
                out = null;
            }
            written = 0;
            durable = 0;
            out = disk.create(folder.segment(++segment));
            buffer.clear().put(LedgerFolder.MAGIC);
            flush();
            out.force();
            folder.keepFileNumbers(segment);
            settled();
            usable = disk.room(folder.folder) >= bounds.reserve;
        } catch (IOException e) {
            failed("segment", e);
        }
    }

    private void lookAround(long now) {
        marginNow = pace.margin(now / 1e6);
        try {
            if (out == null) {
                if (now - failedAt > TRY_AGAIN_NANOS && disk.room(folder.folder) >= bounds.reserve) {
                    roll();
                }
                return;
            }
            boolean room = disk.room(folder.folder) >= bounds.reserve;
            if (usable != room) {
                LOG.warn(room ? "ledger: there is room again" : "ledger: the disk is nearly full, what needs it is shed");
                usable = room;
            }
            compact();
        } catch (IOException e) {
            failed("compaction", e);
        }
    }

    private void compact() throws IOException {
        double now = time.now();
        if (now - carry.kept() < time.knownSince()) {
            return; // nobody knows how old the segments are that were found at the start
        }
        for (long old; (old = carry.mayGo(now, segment)) >= 0;) {
            List<LedgerRecord> carried = carry.carried(old, segment);
            if (!carried.isEmpty()) {
                write(carried);
            }
            folder.forget(carry.signedUpTo(old));
            folder.forgetClaims(carry.claimsSignedUpTo(old));
            Files.deleteIfExists(folder.segment(old));
            carry.gone(old);
            compacted.increment();
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
        if (out != null) {
            out.close();
        }
        folder.close();
    }
}
