package gradereach.ledger.disk;

import gradereach.ledger.LedgerBook;
import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.RecordCodec;
import gradereach.ledger.SegmentScan.Damage;
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
    private static final String ENDING = ".ledger";
    static final String IDENTITY = "identity";
    static final String LOCK = "lock";
    private static final String FORGOTTEN = "forgotten";
    private static final String FORGOTTEN_CLAIMS = "forgotten_claims";
    private static final String SUSPECT = "suspect";
    private static final int MARK = 20;

    /** What reading it found; {@code damagedAt} is when the youngest damaged segment was last written, Unix milliseconds. */
    public record Found(List<Damage> damage, long damagedAt, long tornBytes, int records, long bytes,
            long nextSegment) { }

    final Path folder;
    private final FileChannel lockFile;
    private final FileLock lock;
    private final String identity;
    private final FileNumbers fileNumbers;
    private FileChannel mark;

    /** Opens for a front end; one at a time. */
    public LedgerFolder(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
        fileNumbers = new FileNumbers(folder);
        lockFile = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
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
            identity = identityOf(folder);
            if (fileNumbers.differ()) {
                RestoredCopy.takeOver(this, LedgerPosition.UNKNOWN);
            }
        } catch (IOException | RuntimeException e) {
            close(); // the next attempt must find it free
            throw e;
        }
    }

    private static String identityOf(Path folder) throws IOException {
        String known = KeptText.read(folder, IDENTITY);
        if (known != null) {
            return known;
        }
        String fresh = UUID.randomUUID().toString();
        KeptText.write(folder, IDENTITY, fresh);
        return fresh;
    }

    /**
     * The latest signed timestamp, Unix seconds, among messages whose segments have been removed: one that was signed no later
     * and is not known may be one of them. Long.MIN_VALUE for none.
     */
    public long forgottenUpTo() throws IOException {
        return timestamp(FORGOTTEN);
    }

    /** The same of claims that this front end kept for others. */
    public long claimsForgottenUpTo() throws IOException {
        return timestamp(FORGOTTEN_CLAIMS);
    }

    /**
     * The latest signed timestamp, Unix seconds, of messages and claims that a restored folder may have lost; Long.MIN_VALUE where
     * it was not restored.
     */
    public long suspectUpTo() throws IOException {
        return timestamp(SUSPECT);
    }

    /** Whether that folder was restored from a copy, and no front end has had it open since. */
    public static boolean isRestoredCopy(Path folder) throws IOException {
        return new FileNumbers(folder).differ();
    }

    /**
     * Where the ledger had got further than it tells, the folder was restored from a copy, whatever its files look like: as by a
     * snapshot of the file system.
     *
     * @param known how far it had got, as somebody else knows ({@link LedgerPosition})
     */
    public void mustHaveReached(long known) throws IOException {
        if (known > position()) {
            RestoredCopy.takeOver(this, known);
        }
    }

    /** How far it has got, by what is whole. */
    private long position() throws IOException {
        List<Long> numbers = segments(folder);
        if (numbers.isEmpty()) {
            return LedgerPosition.UNKNOWN;
        }
        long last = numbers.get(numbers.size() - 1);
        return LedgerPosition.of(last, SegmentFile.read(folder, last, true, mark(folder)).result().end());
    }

    private long timestamp(String name) throws IOException {
        String text = KeptText.read(folder, name);
        return text == null ? Long.MIN_VALUE : Long.parseLong(text);
    }

    /** Notes it before the segment goes that still tells of such a message. */
    void forget(long signedAt) throws IOException {
        raise(FORGOTTEN, signedAt);
    }

    /** Notes it before the segment goes that still tells of such a claim. */
    void forgetClaims(long signedAt) throws IOException {
        raise(FORGOTTEN_CLAIMS, signedAt);
    }

    void suspect(long signedUpTo) throws IOException {
        raise(SUSPECT, signedUpTo);
    }

    private void raise(String name, long signedAt) throws IOException {
        if (signedAt > timestamp(name)) {
            KeptText.write(folder, name, Long.toString(signedAt));
        }
    }

    /** Tells this ledger from another in the same front end's name: a lost folder has forgotten what it took. */
    public String identity() {
        return identity;
    }

    Path segment(long number) {
        return segment(folder, number);
    }

    static Path segment(Path folder, long number) {
        return folder.resolve(String.format("%016x", number) + ENDING);
    }

    /** Keeps which files the folder consists of, before records are said to be durable in the segment. */
    void keepFileNumbers(long next) throws IOException {
        fileNumbers.keep(segment(next), segment(next));
    }

    static List<Long> segments(Path folder) throws IOException {
        List<Long> numbers = new ArrayList<>();
        try (var files = Files.list(folder)) {
            files.map(f -> f.getFileName().toString()).filter(n -> n.matches("[0-9a-f]{16}\\" + ENDING)).sorted()
                    .forEach(n -> numbers.add(Long.parseUnsignedLong(n.substring(0, 16), 16)));
        }
        return numbers;
    }

    /** Segments read ahead of the one that is taken over: reading and checking costs more than taking over. */
    private static final int AHEAD = 3;

    /**
     * Reads all segments, oldest first. With {@code mend} a torn tail of the last one is cut off, so that it is told once.
     *
     * @param each a record and the number of its segment
     */
    public static Found read(Path folder, boolean mend, BiConsumer<LedgerRecord, Long> each) throws IOException {
        List<Damage> damage = new ArrayList<>();
        long torn = 0;
        int records = 0;
        long total = 0;
        long damagedAt = Long.MIN_VALUE;
        List<Long> numbers = segments(folder);
        long[] durable = mark(folder);
        ExecutorService readers = Executors.newFixedThreadPool(AHEAD);
        try {
            ArrayDeque<Future<SegmentFile>> ahead = new ArrayDeque<>();
            int submitted = 0;
            for (int i = 0; i < numbers.size(); i++) {
                while (submitted < numbers.size() && submitted <= i + AHEAD) {
                    long number = numbers.get(submitted);
                    boolean last = ++submitted == numbers.size();
                    ahead.add(readers.submit(() -> SegmentFile.read(folder, number, last, durable)));
                }
                SegmentFile segment = get(ahead.poll());
                segment.records().forEach(record -> each.accept(record, segment.number()));
                total += segment.length();
                damage.addAll(segment.result().damage());
                records += segment.result().records();
                torn += segment.result().torn();
                if (!segment.result().damage().isEmpty()) {
                    damagedAt = Math.max(damagedAt, segment.writtenAt());
                } else if (mend && segment.result().end() == 0) {
                    Files.delete(folder.resolve(segment.name())); // or it would be taken for damage once others follow
                } else if (mend && segment.result().torn() > 0) {
                    SegmentFile.cutOff(folder.resolve(segment.name()), segment.result().end());
                }
            }
        } finally {
            readers.shutdownNow();
        }
        return new Found(damage, damagedAt, torn, records, total, numbers.isEmpty() ? 1 : numbers.get(numbers.size() - 1) + 1);
    }

    private static SegmentFile get(Future<SegmentFile> read) throws IOException {
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
    public record Compacted(Found found, int kept, long bytes) { }

    /**
     * Writes anew what is still needed, as one segment, and removes the others; of a ledger that no front end has open.
     * The new segment gets its name when it is whole and durable, so that a cut at any step leaves the old ones or both.
     * A damaged ledger is left as it is: its segments say what is lost.
     *
     * @param youngerThan Unix milliseconds: messages older than this and of known end are let go
     */
    public static Compacted compact(Path folder, double youngerThan) throws IOException {
        try (LedgerFolder opened = new LedgerFolder(folder)) {
            List<LedgerRecord> records = new ArrayList<>();
            LedgerBook book = new LedgerBook();
            List<Long> old = segments(folder);
            Found found = read(folder, true, (record, segment) -> {
                records.add(record);
                book.apply(record);
            });
            if (!found.damage().isEmpty()) {
                return new Compacted(found, found.records(), found.bytes());
            }
            Path fresh = folder.resolve("compacted.new");
            Files.deleteIfExists(fresh);
            List<LedgerRecord> kept = records.stream().filter(record -> book.needed(record, youngerThan)).toList();
            long bytes = write(fresh, kept);
            Path segment = opened.segment(found.nextSegment());
            opened.fileNumbers.keep(segment, fresh);
            Files.move(fresh, segment, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            force(folder);
            opened.mark(found.nextSegment(), bytes);
            opened.forgetAllBut(kept, records, youngerThan);
            for (long number : old) {
                Files.delete(opened.segment(number));
            }
            return new Compacted(found, kept.size(), bytes);
        }
    }

    /** What is left out of a compaction leaves its signed timestamps behind. */
    private void forgetAllBut(List<LedgerRecord> kept, List<LedgerRecord> records, double youngerThan) throws IOException {
        Set<LedgerRecord> stays = Collections.newSetFromMap(new IdentityHashMap<>());
        stays.addAll(kept);
        long forgotten = Long.MIN_VALUE;
        long claimsForgotten = Long.MIN_VALUE;
        for (LedgerRecord record : records) {
            if (!stays.contains(record) && record instanceof LedgerRecord.Intended intended) {
                forgotten = Math.max(forgotten, intended.signedAt());
            } else if (record instanceof LedgerRecord.Claimed claimed && claimed.at() < youngerThan) {
                claimsForgotten = Math.max(claimsForgotten, claimed.signedAt());
            }
        }
        forget(forgotten);
        forgetClaims(claimsForgotten);
    }

    /** A new file of whole frames, durable when it returns; its length. */
    static long write(Path file, List<LedgerRecord> records) throws IOException {
        long bytes = MAGIC.length;
        try (Disk.Appender out = Disk.REAL.create(file)) {
            out.write(ByteBuffer.wrap(MAGIC));
            for (LedgerRecord record : records) {
                byte[] frame = RecordCodec.frame(record);
                out.write(ByteBuffer.wrap(frame));
                bytes += frame.length;
            }
            out.force();
        }
        return bytes;
    }

    /** The names in the folder are durable when it returns. */
    static void force(Path folder) throws IOException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        }
    }

    /** Segment and length that were durable last; null where the mark is missing or cut. */
    private static long[] mark(Path folder) throws IOException {
        Path file = folder.resolve("tail");
        if (!Files.exists(file) || Files.size(file) < MARK) {
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
    void mark(long segment, long length) throws IOException {
        if (mark == null) {
            mark = FileChannel.open(folder.resolve("tail"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        }
        ByteBuffer out = ByteBuffer.allocate(MARK).putLong(segment).putLong(length);
        CRC32C sum = new CRC32C();
        sum.update(out.array(), 0, 16);
        out.putInt((int) sum.getValue()).flip();
        while (out.hasRemaining()) {
            mark.write(out, out.position());
        }
    }

    @Override
    public void close() throws IOException {
        if (mark != null) {
            mark.close();
        }
        lock.close();
        lockFile.close();
    }
}
