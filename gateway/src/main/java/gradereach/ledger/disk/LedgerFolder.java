package gradereach.ledger.disk;

import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
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
 * The folder of one front end's ledger. It holds the segments {@code NNNNNNNNNNNNNNNN.ledger} (hexadecimal, ascending) and these
 * files: {@code tail}, the position that was durable last; {@code identity} of the ledger; {@code clock} ({@link LedgerClock});
 * {@code forgotten} and {@code forgotten_claims}, the latest signed timestamps of removed messages and claims; {@code files}, the
 * inodes of its files ({@link InodeNumbers}); {@code suspect}, the signed timestamp up to which messages may have been lost by
 * restoring it from a copy ({@link RestoredCopy}); and {@code lock}.
 */
public final class LedgerFolder implements Closeable {
    static final byte[] MAGIC = "gradereach ledger 1\n".getBytes(StandardCharsets.US_ASCII);
    private static final String SEGMENT_SUFFIX = ".ledger";
    static final String IDENTITY_FILE = "identity";
    static final String LOCK_FILE = "lock";
    private static final String FORGOTTEN_FILE = "forgotten";
    private static final String FORGOTTEN_CLAIMS_FILE = "forgotten_claims";
    private static final String SUSPECT_FILE = "suspect";
    private static final String TAIL_FILE = "tail";
    /** Segment number and length of eight bytes each, and a checksum of four. */
    private static final int TAIL_MARK_BYTES = 20;
    private static final int TAIL_MARK_CHECKSUM_OFFSET = 16;

    /**
     * The result of reading a folder.
     *
     * @param damagedAt when the latest damaged segment was last modified, in Unix milliseconds; Long.MIN_VALUE without damage
     * @param bytes total length of all segments
     * @param nextSegment number for the next segment
     */
    public record ReadResult(List<Damage> damage, long damagedAt, long tornBytes, int recordCount, long bytes,
            long nextSegment) { }

    final Path folder;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final String identity;
    private final InodeNumbers inodeNumbers;
    private FileChannel tailMarkFile;

    /** Opens the folder for a front end, exclusively. */
    public LedgerFolder(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        inodeNumbers = new InodeNumbers(folder);
        lockFile = FileChannel.open(folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock acquired;
        try {
            acquired = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            acquired = null;
        }
        if (acquired == null) {
            lockFile.close();
            throw new IOException(folder + ": another process has this ledger open");
        }
        lock = acquired;
        try {
            identity = readOrCreateIdentity(folder);
            if (inodeNumbers.haveChanged()) {
                RestoredCopy.recover(this, LedgerPosition.UNKNOWN);
            }
        } catch (IOException | RuntimeException e) {
            close(); // otherwise the next attempt would find it locked
            throw e;
        }
    }

    private static String readOrCreateIdentity(Path folder) throws IOException {
        String existing = AtomicTextFile.read(folder, IDENTITY_FILE);
        if (existing != null) {
            return existing;
        }
        String created = UUID.randomUUID().toString();
        AtomicTextFile.write(folder, IDENTITY_FILE, created);
        return created;
    }

    /**
     * The latest signed timestamp, in Unix seconds, among messages whose segments have been removed: an unknown message that was signed
     * no later may be one of them. Long.MIN_VALUE for none.
     */
    public long forgottenUpTo() throws IOException {
        return readTimestamp(FORGOTTEN_FILE);
    }

    /**
     * The latest signed timestamp, in Unix seconds, among removed claims that this front end stored as a replica; Long.MIN_VALUE
     * for none.
     */
    public long claimsForgottenUpTo() throws IOException {
        return readTimestamp(FORGOTTEN_CLAIMS_FILE);
    }

    /**
     * The latest signed timestamp, in Unix seconds, of messages and claims that a restored folder may have lost; Long.MIN_VALUE if it
     * was not restored.
     */
    public long suspectUpTo() throws IOException {
        return readTimestamp(SUSPECT_FILE);
    }

    /** Whether the folder was restored from a copy and has not been opened by a front end since. */
    public static boolean isRestoredCopy(Path folder) throws IOException {
        return new InodeNumbers(folder).haveChanged();
    }

    /**
     * Treats the folder as restored from a copy if the ledger is behind a position that it is known to have reached. A restored
     * snapshot of the file system can only be detected so, because its files keep their inodes.
     *
     * @param knownPosition the position that peers know ({@link LedgerPosition})
     */
    public void checkAgainstKnownPosition(long knownPosition) throws IOException {
        if (knownPosition > position()) {
            RestoredCopy.recover(this, knownPosition);
        }
    }

    /** The position of the end of the last valid frame. */
    private long position() throws IOException {
        List<Long> numbers = segmentNumbers(folder);
        if (numbers.isEmpty()) {
            return LedgerPosition.UNKNOWN;
        }
        long lastSegment = numbers.get(numbers.size() - 1);
        return LedgerPosition.of(lastSegment, SegmentFile.read(folder, lastSegment, true, readTailMark(folder)).result().validLength());
    }

    private long readTimestamp(String name) throws IOException {
        String text = AtomicTextFile.read(folder, name);
        return text == null ? Long.MIN_VALUE : Long.parseLong(text);
    }

    /** Raises the timestamp of removed messages. Called before the segment that holds them is removed. */
    void raiseForgottenUpTo(long signedAt) throws IOException {
        raiseTimestamp(FORGOTTEN_FILE, signedAt);
    }

    /** Raises the timestamp of removed claims. Called before the segment that holds them is removed. */
    void raiseClaimsForgottenUpTo(long signedAt) throws IOException {
        raiseTimestamp(FORGOTTEN_CLAIMS_FILE, signedAt);
    }

    /** Raises the timestamp up to which messages and claims may have been lost. */
    void raiseSuspectUpTo(long signedAt) throws IOException {
        raiseTimestamp(SUSPECT_FILE, signedAt);
    }

    private void raiseTimestamp(String name, long signedAt) throws IOException {
        if (signedAt > readTimestamp(name)) {
            AtomicTextFile.write(folder, name, Long.toString(signedAt));
        }
    }

    /** A unique id, which differs from that of a ledger that the same front end had before and lost. */
    public String identity() {
        return identity;
    }

    /** The path of a segment, whether it exists or not. */
    Path segmentPath(long number) {
        return segmentPath(folder, number);
    }

    static Path segmentPath(Path folder, long number) {
        return folder.resolve(String.format("%016x", number) + SEGMENT_SUFFIX);
    }

    /** Saves the inodes of the folder's files. Called before records in the segment are reported durable. */
    void saveInodeNumbers(long segment) throws IOException {
        inodeNumbers.save(segmentPath(segment), segmentPath(segment));
    }

    /** The numbers of all segments, ascending. */
    static List<Long> segmentNumbers(Path folder) throws IOException {
        List<Long> numbers = new ArrayList<>();
        try (var files = Files.list(folder)) {
            files.map(file -> file.getFileName().toString()).filter(name -> name.matches("[0-9a-f]{16}\\" + SEGMENT_SUFFIX)).sorted()
                    .forEach(name -> numbers.add(Long.parseUnsignedLong(name.substring(0, 16), 16)));
        }
        return numbers;
    }

    /** Segments read ahead of the one whose records are processed, since reading and verifying takes longer than processing. */
    private static final int READ_AHEAD_SEGMENTS = 3;

    /**
     * Reads all segments, oldest first.
     *
     * @param repair whether to cut off a torn tail of the last segment, so that it is reported only once
     * @param consumer receives each valid record and the number of its segment
     */
    public static ReadResult read(Path folder, boolean repair, BiConsumer<LedgerRecord, Long> consumer) throws IOException {
        List<Damage> damage = new ArrayList<>();
        long tornBytes = 0;
        int recordCount = 0;
        long totalBytes = 0;
        long damagedAt = Long.MIN_VALUE;
        List<Long> numbers = segmentNumbers(folder);
        long[] tailMark = readTailMark(folder);
        ExecutorService readers = Executors.newFixedThreadPool(READ_AHEAD_SEGMENTS);
        try {
            ArrayDeque<Future<SegmentFile>> pendingReads = new ArrayDeque<>();
            int submitted = 0;
            for (int i = 0; i < numbers.size(); i++) {
                while (submitted < numbers.size() && submitted <= i + READ_AHEAD_SEGMENTS) {
                    long number = numbers.get(submitted);
                    boolean isLast = ++submitted == numbers.size();
                    pendingReads.add(readers.submit(() -> SegmentFile.read(folder, number, isLast, tailMark)));
                }
                SegmentFile segment = await(pendingReads.poll());
                segment.records().forEach(record -> consumer.accept(record, segment.number()));
                totalBytes += segment.length();
                damage.addAll(segment.result().damage());
                recordCount += segment.result().recordCount();
                tornBytes += segment.result().tornBytes();
                if (!segment.result().damage().isEmpty()) {
                    damagedAt = Math.max(damagedAt, segment.lastModifiedAt());
                } else if (repair && segment.result().validLength() == 0) {
                    Files.delete(folder.resolve(segment.fileName())); // it would count as damage once other segments follow
                } else if (repair && segment.result().tornBytes() > 0) {
                    SegmentFile.truncate(folder.resolve(segment.fileName()), segment.result().validLength());
                }
            }
        } finally {
            readers.shutdownNow();
        }
        return new ReadResult(damage, damagedAt, tornBytes, recordCount, totalBytes,
                numbers.isEmpty() ? 1 : numbers.get(numbers.size() - 1) + 1);
    }

    private static SegmentFile await(Future<SegmentFile> read) throws IOException {
        try {
            return read.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io ? io : new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while reading the ledger");
        }
    }

    /**
     * The result of a compaction.
     *
     * @param readResult what was read before
     * @param keptRecords number of records that were kept
     * @param bytes length of the new segment; of all segments if nothing was changed
     */
    public record CompactionResult(ReadResult readResult, int keptRecords, long bytes) { }

    /**
     * Rewrites the records that are still needed to one segment and removes the others, in a ledger that no front end has open. The
     * new segment is renamed into place once it is complete and durable, so that a crash at any step leaves the old segments or both.
     * A damaged ledger is not changed, since its segments show what was lost.
     *
     * @param cutoff ledger time: earlier messages with a known outcome are removed
     */
    public static CompactionResult compact(Path folder, double cutoff) throws IOException {
        try (LedgerFolder opened = new LedgerFolder(folder)) {
            List<LedgerRecord> records = new ArrayList<>();
            LedgerState state = new LedgerState();
            List<Long> oldSegments = segmentNumbers(folder);
            ReadResult readResult = read(folder, true, (record, segment) -> {
                records.add(record);
                state.apply(record);
            });
            if (!readResult.damage().isEmpty()) {
                return new CompactionResult(readResult, readResult.recordCount(), readResult.bytes());
            }
            Path temporary = folder.resolve("compacted.new");
            Files.deleteIfExists(temporary);
            List<LedgerRecord> kept = records.stream().filter(record -> state.isNeeded(record, cutoff)).toList();
            long bytes = writeSegment(temporary, kept);
            Path segment = opened.segmentPath(readResult.nextSegment());
            opened.inodeNumbers.save(segment, temporary);
            Files.move(temporary, segment, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            syncFolder(folder);
            opened.writeTailMark(readResult.nextSegment(), bytes);
            opened.recordForgotten(kept, records, cutoff);
            for (long number : oldSegments) {
                Files.delete(opened.segmentPath(number));
            }
            return new CompactionResult(readResult, kept.size(), bytes);
        }
    }

    /** Raises the timestamps of removed messages and claims by the records that a compaction left out. */
    private void recordForgotten(List<LedgerRecord> kept, List<LedgerRecord> records, double cutoff) throws IOException {
        Set<LedgerRecord> keptRecords = Collections.newSetFromMap(new IdentityHashMap<>());
        keptRecords.addAll(kept);
        long latestSignedAt = Long.MIN_VALUE;
        long latestClaimSignedAt = Long.MIN_VALUE;
        for (LedgerRecord record : records) {
            if (!keptRecords.contains(record) && record instanceof LedgerRecord.ForwardIntended intent) {
                latestSignedAt = Math.max(latestSignedAt, intent.signedAt());
            } else if (record instanceof LedgerRecord.ClaimGranted claim && claim.timestamp() < cutoff) {
                latestClaimSignedAt = Math.max(latestClaimSignedAt, claim.signedAt());
            }
        }
        raiseForgottenUpTo(latestSignedAt);
        raiseClaimsForgottenUpTo(latestClaimSignedAt);
    }

    /** Writes the records to a new file, which is durable on return, and returns its length. */
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

    /** Makes the names of the folder's files durable. */
    static void syncFolder(Path folder) throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /** The number of the segment that was durable last, and its durable length; null if the mark is missing or incomplete. */
    private static long[] readTailMark(Path folder) throws IOException {
        Path file = folder.resolve(TAIL_FILE);
        if (!Files.exists(file) || Files.size(file) < TAIL_MARK_BYTES) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
        CRC32C checksum = new CRC32C();
        checksum.update(in.array(), 0, TAIL_MARK_CHECKSUM_OFFSET);
        return (int) checksum.getValue() == in.getInt(TAIL_MARK_CHECKSUM_OFFSET)
                ? new long[] {in.getLong(0), in.getLong(8)} : null;
    }

    /**
     * Stores the durable length of a segment. The mark itself is not forced: it survives a crash of the process but not of the machine,
     * and without it the end of the last segment merely counts as torn.
     */
    void writeTailMark(long segment, long length) throws IOException {
        if (tailMarkFile == null) {
            tailMarkFile = FileChannel.open(folder.resolve(TAIL_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        ByteBuffer out = ByteBuffer.allocate(TAIL_MARK_BYTES).putLong(segment).putLong(length);
        CRC32C checksum = new CRC32C();
        checksum.update(out.array(), 0, TAIL_MARK_CHECKSUM_OFFSET);
        out.putInt((int) checksum.getValue()).flip();
        while (out.hasRemaining()) {
            tailMarkFile.write(out, out.position());
        }
    }

    @Override
    public void close() throws IOException {
        if (tailMarkFile != null) {
            tailMarkFile.close();
        }
        lock.close();
        lockFile.close();
    }
}
