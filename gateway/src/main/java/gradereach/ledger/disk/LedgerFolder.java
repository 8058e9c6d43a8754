package gradereach.ledger.disk;

import gradereach.ledger.LedgerState;
import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.RecordCodec;
import gradereach.ledger.SegmentScanner.Damage;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;
import java.util.zip.CRC32C;

/**
 * The folder of one front end's ledger: segments {@code NNNNNNNNNNNNNNNN.ledger} (hexadecimal, ascending), the mark
 * {@code tail} of what was durable last, the ledger's own {@code identity}, its {@code clock} ({@link LedgerClock}), what was
 * {@code forgotten} of messages and of claims ({@code forgotten_claims}), the numbers of its {@code files}
 * ({@link FileNumbers}), up to when it is {@code suspect} since it was restored from a copy ({@link RestoredCopy}), and a lock.
 */
public final class LedgerFolder implements Closeable {
    static final byte[] MAGIC = "gradereach ledger 1\n".getBytes(StandardCharsets.US_ASCII);
    private static final String SEGMENT_SUFFIX = ".ledger";
    static final String IDENTITY_FILE = "identity";
    static final String LOCK_FILE = "lock";
    private static final String FORGOTTEN_FILE = "forgotten";
    private static final String FORGOTTEN_CLAIMS_FILE = "forgotten_claims";
    private static final String SUSPECT_FILE = "suspect";
    private static final int TAIL_MARK_BYTES = 20;

    /** What reading it found; {@code damagedAt} is when the youngest damaged segment was last written, Unix milliseconds. */
    public record ReadResult(List<Damage> damage, long damagedAt, long tornBytes, int recordCount, long bytes,
            long nextSegment) { }

    final Path folder;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final String identity;
    private final InodeNumbers inodeNumbers;
    private FileChannel tailMark;

    /** Opens for a front end; one at a time. */
    public LedgerFolder(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        inodeNumbers = new InodeNumbers(folder);
        lockFile = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock got;
        try {
            got = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            got = null;
        }
        if (got == null) {
            lockFile.close();
            throw new IOException(folder + ": another process has this ledger open");
        }
        lock = got;
        try {
            identity = readOrCreateIdentity(folder);
            if (inodeNumbers.haveChanged()) {
                RestoredCopy.recover(this, LedgerPosition.UNKNOWN);
            }
        } catch (IOException | RuntimeException e) {
            close(); // the next attempt must find it free
            throw e;
        }
    }

    private static String readOrCreateIdentity(Path folder) throws IOException {
        String known = AtomicTextFile.read(folder, IDENTITY_FILE);
        if (known != null) {
            return known;
        }
        String fresh = UUID.randomUUID().toString();
        AtomicTextFile.write(folder, IDENTITY_FILE, fresh);
        return fresh;
    }

    /**
     * The latest signed timestamp, Unix seconds, among messages whose segments have been removed: one that was signed no later
     * and is not known may be one of them. Long.MIN_VALUE for none.
     */
    public long forgottenUpTo() throws IOException {
        return readTimestamp(FORGOTTEN_FILE);
    }

    /** The same of claims that this front end kept for others. */
    public long claimsForgottenUpTo() throws IOException {
        return readTimestamp(FORGOTTEN_CLAIMS_FILE);
    }

    /**
     * The latest signed timestamp, Unix seconds, of messages and claims that a restored folder may have lost; Long.MIN_VALUE where
     * it was not restored.
     */
    public long suspectUpTo() throws IOException {
        return readTimestamp(SUSPECT_FILE);
    }

    /** Whether that folder was restored from a copy, and no front end has had it open since. */
    public static boolean isRestoredCopy(Path folder) throws IOException {
        return new InodeNumbers(folder).haveChanged();
    }

    /**
     * Where the ledger had got further than it tells, the folder was restored from a copy, whatever its files look like: as by a
     * snapshot of the file system.
     *
     * @param known how far it had got, as somebody else knows ({@link LedgerPosition})
     */
    public void checkAgainstKnownPosition(long known) throws IOException {
        if (known > position()) {
            RestoredCopy.recover(this, known);
        }
    }

    /** How far it has got, by what is whole. */
    private long position() throws IOException {
        List<Long> numbers = segmentNumbers(folder);
        if (numbers.isEmpty()) {
            return LedgerPosition.UNKNOWN;
        }
        long last = numbers.get(numbers.size() - 1);
        return LedgerPosition.of(last, SegmentFile.read(folder, last, true, tailMark(folder)).result().validLength());
    }

    private long readTimestamp(String name) throws IOException {
        String text = AtomicTextFile.read(folder, name);
        return text == null ? Long.MIN_VALUE : Long.parseLong(text);
    }

    /** Notes it before the segment goes that still tells of such a message. */
    void raiseForgottenUpTo(long signedAt) throws IOException {
        raiseTimestamp(FORGOTTEN_FILE, signedAt);
    }

    /** Notes it before the segment goes that still tells of such a claim. */
    void raiseClaimsForgottenUpTo(long signedAt) throws IOException {
        raiseTimestamp(FORGOTTEN_CLAIMS_FILE, signedAt);
    }

    void raiseSuspectUpTo(long signedUpTo) throws IOException {
        raiseTimestamp(SUSPECT_FILE, signedUpTo);
    }

    private void raiseTimestamp(String name, long signedAt) throws IOException {
        if (signedAt > readTimestamp(name)) {
            AtomicTextFile.write(folder, name, Long.toString(signedAt));
        }
    }

    /** Tells this ledger from another in the same front end's name: a lost folder has forgotten what it took. */
    public String identity() {
        return identity;
    }

    Path segmentPath(long number) {
        return segmentPath(folder, number);
    }

    static Path segmentPath(Path folder, long number) {
        return folder.resolve(String.format("%016x", number) + SEGMENT_SUFFIX);
    }

    /** Keeps which files the folder consists of, before records are said to be durable in the segment. */
    void saveInodeNumbers(long next) throws IOException {
        inodeNumbers.save(segmentPath(next), segmentPath(next));
    }

    static List<Long> segmentNumbers(Path folder) throws IOException {
        List<Long> numbers = new ArrayList<>();
        try (var files = Files.list(folder)) {
            files.map(f -> f.getFileName().toString()).filter(n -> n.matches("[0-9a-f]{16}\\" + SEGMENT_SUFFIX)).sorted()
                    .forEach(n -> numbers.add(Long.parseUnsignedLong(n.substring(0, 16), 16)));
        }
        return numbers;
    }

    /** Segments read ahead of the one that is taken over: reading and checking costs more than taking over. */
    private static final int READ_AHEAD_SEGMENTS = 3;

    /**
     * Reads all segments, oldest first. With {@code mend} a torn tail of the last one is cut off, so that it is told once.
     *
     * @param each a record and the number of its segment
     */
    public static ReadResult read(Path folder, boolean mend, BiConsumer<LedgerRecord, Long> each) throws IOException {
        List<Damage> damage = new ArrayList<>();
        long torn = 0;
        int records = 0;
        long total = 0;
        long damagedAt = Long.MIN_VALUE;
        List<Long> numbers = segmentNumbers(folder);
        long[] durable = tailMark(folder);
        ExecutorService readers = Executors.newFixedThreadPool(READ_AHEAD_SEGMENTS);
        try {
            ArrayDeque<Future<SegmentFile>> ahead = new ArrayDeque<>();
            int submitted = 0;
            for (int i = 0; i < numbers.size(); i++) {
                while (submitted < numbers.size() && submitted <= i + READ_AHEAD_SEGMENTS) {
                    long number = numbers.get(submitted);
                    boolean last = ++submitted == numbers.size();
                    ahead.add(readers.submit(() -> SegmentFile.read(folder, number, last, durable)));
                }
                SegmentFile segment = await(ahead.poll());
                segment.records().forEach(record -> each.accept(record, segment.number()));
                total += segment.length();
                damage.addAll(segment.result().damage());
                records += segment.result().recordCount();
                torn += segment.result().tornBytes();
                if (!segment.result().damage().isEmpty()) {
                    damagedAt = Math.max(damagedAt, segment.lastModifiedAt());
                } else if (mend && segment.result().validLength() == 0) {
                    Files.delete(folder.resolve(segment.fileName())); // or it would be taken for damage once others follow
                } else if (mend && segment.result().tornBytes() > 0) {
                    SegmentFile.truncate(folder.resolve(segment.fileName()), segment.result().validLength());
                }
            }
        } finally {
            readers.shutdownNow();
        }
        return new ReadResult(damage, damagedAt, torn, records, total, numbers.isEmpty() ? 1 : numbers.get(numbers.size() - 1) + 1);
    }

    private static SegmentFile await(Future<SegmentFile> read) throws IOException {
        try {
            return read.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io ? io : new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while the ledger was read");
        }
    }

    /** What a compaction came to. */
    public record CompactionResult(ReadResult readResult, int keptRecords, long bytes) { }

    /**
     * Writes anew what is still needed, as one segment, and removes the others; of a ledger that no front end has open.
     * The new segment gets its name when it is whole and durable, so that a cut at any step leaves the old ones or both.
     * A damaged ledger is left as it is: its segments say what is lost.
     *
     * @param youngerThan Unix milliseconds: messages older than this and of known end are let go
     */
    public static CompactionResult compact(Path folder, double youngerThan) throws IOException {
        try (LedgerFolder opened = new LedgerFolder(folder)) {
            List<LedgerRecord> records = new ArrayList<>();
            LedgerState book = new LedgerState();
            List<Long> old = segmentNumbers(folder);
            ReadResult found = read(folder, true, (record, segment) -> {
                records.add(record);
                book.apply(record);
            });
            if (!found.damage().isEmpty()) {
                return new CompactionResult(found, found.recordCount(), found.bytes());
            }
            Path fresh = folder.resolve("compacted.new");
            Files.deleteIfExists(fresh);
            List<LedgerRecord> kept = records.stream().filter(record -> book.isNeeded(record, youngerThan)).toList();
            long bytes = writeSegment(fresh, kept);
            Path segment = opened.segmentPath(found.nextSegment());
            opened.inodeNumbers.save(segment, fresh);
            Files.move(fresh, segment, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            syncFolder(folder);
            opened.tailMark(found.nextSegment(), bytes);
            opened.recordForgotten(kept, records, youngerThan);
            for (long number : old) {
                Files.delete(opened.segmentPath(number));
            }
            return new CompactionResult(found, kept.size(), bytes);
        }
    }

    /** What is left out of a compaction leaves its signed timestamps behind. */
    private void recordForgotten(List<LedgerRecord> kept, List<LedgerRecord> records, double youngerThan) throws IOException {
        Set<LedgerRecord> stays = Collections.newSetFromMap(new IdentityHashMap<>());
        stays.addAll(kept);
        long forgotten = Long.MIN_VALUE;
        long claimsForgotten = Long.MIN_VALUE;
        for (LedgerRecord record : records) {
            if (!stays.contains(record) && record instanceof LedgerRecord.ForwardIntended intended) {
                forgotten = Math.max(forgotten, intended.signedAt());
            } else if (record instanceof LedgerRecord.ClaimGranted claimed && claimed.timestamp() < youngerThan) {
                claimsForgotten = Math.max(claimsForgotten, claimed.signedAt());
            }
        }
        raiseForgottenUpTo(forgotten);
        raiseClaimsForgottenUpTo(claimsForgotten);
    }

    /** A new file of whole frames, durable when it returns; its length. */
    static long writeSegment(Path file, List<LedgerRecord> records) throws IOException {
        long bytes = MAGIC.length;
        try (Disk.Appender out = Disk.FILE_SYSTEM.create(file)) {
            out.write(ByteBuffer.wrap(MAGIC));
            for (LedgerRecord record : records) {
                byte[] frame = RecordCodec.encode(record);
                out.write(ByteBuffer.wrap(frame));
                bytes += frame.length;
            }
            out.force();
        }
        return bytes;
    }

    /** The names in the folder are durable when it returns. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    /** Segment and length that were durable last; null where the mark is missing or cut. */
    private static long[] tailMark(Path folder) throws IOException {
        Path file = folder.resolve("tail");
        if (!Files.exists(file) || Files.size(file) < TAIL_MARK_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
        CRC32C sum = new CRC32C();
        sum.update(in.array(), 0, 16);
        return (int) sum.getValue() == in.getInt(16) ? new long[] {in.getLong(0), in.getLong(8)} : null;
    }

    /**
     * Notes what is durable. The note itself is not forced: it outlives the process, not the machine, and without it the
     * tail is merely taken for torn.
     */
    void tailMark(long segment, long length) throws IOException {
        if (tailMark == null) {
            tailMark = FileChannel.open(folder.resolve("tail"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        ByteBuffer out = ByteBuffer.allocate(TAIL_MARK_BYTES).putLong(segment).putLong(length);
        CRC32C sum = new CRC32C();
        sum.update(out.array(), 0, 16);
        out.putInt((int) sum.getValue()).flip();
        while (out.hasRemaining()) {
            tailMark.write(out, out.position());
        }
    }

    @Override
    public void close() throws IOException {
        if (tailMark != null) {
            tailMark.close();
        }
        lock.close();
        lockFile.close();
    }
}
