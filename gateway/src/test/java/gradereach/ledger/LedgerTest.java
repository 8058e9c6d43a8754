package gradereach.ledger;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.counts.Counts;
import gradereach.ledger.disk.Disk;
import gradereach.ledger.disk.DiskLedger;
import gradereach.ledger.disk.LedgerFolder;
import gradereach.message.FinalAnswer;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
class LedgerTest {
    @TempDir
    private Path folder;
    private final BlockingQueue<Runnable> told = new LinkedBlockingQueue<>();

    private static FinalAnswer answer(String text) {
        return new FinalAnswer(FinalAnswer.Kind.RETURNED, 200, text.getBytes(), 0, true);
    }

    private static LedgerRecord intended(String id, double at) {
        return new LedgerRecord.ForwardIntended("yard", id, at, 1, 2, "book", "book-1", "10.0.0.1:80", "yard/" + id + "#fe-1-0");
    }

    private static List<LedgerRecord> life(String id, double at) {
        return List.of(new LedgerRecord.DeliveryPromised("yard", id, at, 1, 2, "book"), intended(id, at + 1),
                new LedgerRecord.ProvenNotRun("yard", id, at + 2), intended(id, at + 3),
                new LedgerRecord.Answered("yard", id, at + 4, answer("{\"\u00fc\":1}")),
                new LedgerRecord.DeliveryAttempted("yard", id, at + 5, at, 1, true),
                new LedgerRecord.ClaimGranted("yard", id, at + 6, 1, 2, "fe-1/x"));
    }

    private static byte[] bytes(List<LedgerRecord> records) {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        records.forEach(r -> out.writeBytes(RecordCodec.encode(r)));
        return out.toByteArray();
    }

    private static String text(LedgerRecord r) {
        return r instanceof LedgerRecord.Answered a ? a.id() + a.timestamp() + a.answer().kind() + new String(a.answer().body())
                : r.toString();
    }

    @Test
    void everyRecordComesBackAsItWas() {
        List<LedgerRecord> written = life("a", 10);
        List<String> read = new ArrayList<>();
        byte[] bytes = bytes(written);
        SegmentScanner.Result result = SegmentScanner.scan("s", bytes, 0, bytes.length, -1, r -> read.add(text(r)));
        assertEquals(written.stream().map(LedgerTest::text).toList(), read);
        assertTrue(result.damage().isEmpty());
        assertEquals(bytes.length, result.validLength());
    }

    /** Whichever bit flips, it is noticed, named, and costs the one record that it is in. */
    @Test
    void anyFlippedBitIsFoundAndCostsOneRecord() {
        List<LedgerRecord> written = List.of(intended("a", 1), intended("b", 2), intended("c", 3));
        byte[] good = bytes(written);
        Set<String> all = new HashSet<>(written.stream().map(LedgerTest::text).toList());
        for (int bit = 0; bit < good.length * 8; bit++) {
            byte[] bad = good.clone();
            bad[bit / 8] ^= (byte) (1 << bit % 8);
            Set<String> read = new HashSet<>();
            SegmentScanner.Result result = SegmentScanner.scan("s", bad, 0, bad.length, -1, r -> read.add(text(r)));
            assertEquals(1, result.damage().size(), "bit " + bit);
            assertEquals(2, read.size(), "bit " + bit);
            assertTrue(all.containsAll(read), "bit " + bit + " made a record up");
        }
    }

    /** A tail that was never told durable is cut off in silence; one that was is damage. */
    @Test
    void everyTornTailIsToldFromDamageByWhatWasDurable() {
        byte[] good = bytes(List.of(intended("a", 1), intended("b", 2)));
        int first = RecordCodec.encode(intended("a", 1)).length;
        for (int length = 0; length < good.length; length++) {
            byte[] torn = Arrays.copyOf(good, length);
            int whole = length < first ? 0 : first;
            SegmentScanner.Result unsure = SegmentScanner.scan("s", torn, 0, length, 0, r -> { });
            assertEquals(List.of(), unsure.damage());
            assertEquals(whole, unsure.validLength());
            assertEquals(length - whole, unsure.tornBytes());
            assertEquals(1, SegmentScanner.scan("s", torn, 0, length, good.length, r -> { }).damage().size());
        }
    }

    @ParameterizedTest
    @CsvSource({"'', TAKEN, false", "i, MAY_HAVE_RUN, true", "in, PROVEN_NOT_RUN, false", "ini, MAY_HAVE_RUN, true",
        "ia, ANSWERED, false", "if, ANSWERED, true", "ifa, ANSWERED, false", "iaf, ANSWERED, false",
        "inia, ANSWERED, false", "ifi, MAY_HAVE_RUN, true"})
    void theStateIsThatOfTheTable(String steps, LedgerState.MessageState state, boolean unknown) {
        LedgerState book = new LedgerState();
        book.apply(new LedgerRecord.DeliveryPromised("yard", "a", 0, 1, 2, "book"));
        for (char step : steps.toCharArray()) {
            book.apply(switch (step) {
                case 'i' -> intended("a", 1);
                case 'n' -> new LedgerRecord.ProvenNotRun("yard", "a", 2);
                case 'a' -> new LedgerRecord.Answered("yard", "a", 3, answer("x"));
                default -> new LedgerRecord.Answered("yard", "a", 3, FinalAnswer.failed("a", 504, "w", false));
            });
        }
        LedgerState.Message message = book.find("yard", "a");
        assertEquals(state, message.state());
        assertEquals(unknown, message.hasUnknownOutcome());
        assertNull(book.find("shop", "a"));
    }

    /** What is carried and what is left, read again, is what all of it would have been. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void compactionLosesNothingOpenAndNothingYoung(long seed) {
        Random chance = new Random(seed);
        CompactionPlanner carry = new CompactionPlanner(1000, 10_000);
        List<List<LedgerRecord>> segments = new ArrayList<>();
        LedgerState all = new LedgerState();
        int removed = 0;
        double now = 0;
        for (int segment = 0; segment < 60; segment++) {
            segments.add(new ArrayList<>());
            for (int i = 0; i < 30; i++) {
                now += chance.nextDouble() * 5;
                String id = "m" + (segment * 5 + chance.nextInt(15));
                LedgerRecord record = switch (chance.nextInt(4)) {
                    case 0, 1 -> intended(id, now);
                    case 2 -> new LedgerRecord.ProvenNotRun("yard", id, now);
                    default -> new LedgerRecord.Answered("yard", id, now, chance.nextBoolean() ? answer("x" + id)
                            : FinalAnswer.failed(id, 504, "w", false));
                };
                segments.get(segment).add(record);
                carry.recordWritten(record, segment);
                all.apply(record);
            }
            for (long old; (old = carry.oldestRemovableSegment(now, segment)) >= 0; removed++) {
                List<LedgerRecord> carried = carry.recordsToRewrite(old, segment);
                segments.get(segment).addAll(carried);
                for (LedgerRecord record : carried) {
                    carry.recordWritten(record, segment);
                }
                segments.get((int) old).clear();
                carry.segmentRemoved(old);
            }
        }
        assertTrue(removed > 20, removed + " segments went");
        LedgerState left = new LedgerState();
        segments.forEach(s -> s.forEach(left::apply));
        for (LedgerState.Message m : all.messages()) {
            if (m.hasUnknownOutcome() || m.lastRecordedAt() > now - 1000) {
                LedgerState.Message again = left.find(m.customer, m.id);
                assertEquals(m.hasUnknownOutcome(), again != null && again.hasUnknownOutcome(), m.id);
                assertTrue(m.hasUnknownOutcome() || again.state() == m.state(), m.id);
            }
        }
    }

    // ---- on the disk -----------------------------------------------------------------------------------

    /** A disk with faults. */
    private static final class FaultyDisk implements Disk {
        volatile boolean full;
        volatile boolean forceFails;
        /** A new file still gets its name, as it does on most full disks. */
        volatile boolean createSucceeds;
        final AtomicInteger failedWrites = new AtomicInteger();
        volatile long room = Long.MAX_VALUE;

        @Override
        public Appender create(Path file) throws IOException {
            if (full && !createSucceeds) {
                throw new IOException("No space left on device");
            }
            Appender real = Disk.FILE_SYSTEM.create(file);
            return new Appender() {
                @Override
                public void write(ByteBuffer bytes) throws IOException {
                    if (full) {
                        // As a disk does: a part of it still fits.
                        bytes.limit(bytes.position() + bytes.remaining() / 2);
                        real.write(bytes);
                        failedWrites.incrementAndGet();
                        throw new IOException("No space left on device");
                    }
                    real.write(bytes);
                }

                @Override
                public void force() throws IOException {
                    if (forceFails) {
                        throw new IOException("Input/output error");
                    }
                    real.force();
                }

                @Override
                public void truncate(long length) throws IOException {
                    real.truncate(length);
                }

                @Override
                public void close() throws IOException {
                    real.close();
                }
            };
        }

        @Override
        public long usableSpace(Path at) {
            return room;
        }
    }

    private DiskLedger open(Disk disk, long segmentBytes, LedgerState into) throws IOException {
        LedgerFolder opened = new LedgerFolder(folder);
        CompactionPlanner carry = new CompactionPlanner(600_000, 1000);
        LedgerFolder.ReadResult found = LedgerFolder.read(folder, true, (r, s) -> {
            into.apply(r);
            carry.recordWritten(r, s);
        });
        assertEquals(List.of(), found.damage());
        DiskLedger ledger = new DiskLedger(disk, new DiskLedger.Limits(segmentBytes, 100, 1024), carry, () -> 1000,
                told::add, new Counts());
        ledger.start(opened, found.nextSegment());
        return ledger;
    }

    private boolean append(DiskLedger ledger, LedgerRecord record) throws InterruptedException {
        boolean[] durable = new boolean[1];
        ledger.append(record, yes -> durable[0] = yes);
        told.take().run();
        return durable[0];
    }

    @Test
    void whatWasToldDurableIsThereAfterwardsOverManySegments() throws Exception {
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 500, new LedgerState())) {
            for (int i = 0; i < 50; i++) {
                assertTrue(append(ledger, intended("m" + i, i)));
            }
            assertThrows(IOException.class, () -> new LedgerFolder(folder));
        }
        LedgerState again = new LedgerState();
        open(Disk.FILE_SYSTEM, 500, again).close();
        assertEquals(50, again.size());
        try (var files = Files.list(folder)) {
            assertTrue(files.filter(f -> f.toString().endsWith(".ledger")).count() > 5);
        }
    }

    /** Full or failing: nothing is told durable, nothing untold comes back, and it goes on when the disk does. */
    @ParameterizedTest
    @ValueSource(strings = {"full", "force"})
    void aFailingDiskMakesItUnusableUntilItIsMended(String how) throws Exception {
        FaultyDisk disk = new FaultyDisk();
        try (DiskLedger ledger = open(disk, 1 << 20, new LedgerState())) {
            assertTrue(append(ledger, intended("before", 1)));
            disk.full = how.equals("full");
            disk.forceFails = !disk.full;
            assertFalse(append(ledger, intended("lost", 2)));
            assertFalse(ledger.isWritable());
            assertFalse(append(ledger, intended("refused", 3)));
            disk.full = false;
            disk.forceFails = false;
            while (!ledger.isWritable()) {
                Thread.sleep(5);
            }
            assertTrue(append(ledger, intended("after", 4)));
        }
        LedgerState again = new LedgerState();
        open(Disk.FILE_SYSTEM, 1 << 20, again).close();
        assertEquals(Set.of("before", "after"), ids(again));
    }

    /** Segments that got a name and no more, before one that could be written: nothing was lost, and no start says so. */
    @Test
    void segmentsThatCouldNotBeBegunAreNoDamage() throws Exception {
        FaultyDisk disk = new FaultyDisk();
        disk.createSucceeds = true;
        try (DiskLedger ledger = open(disk, 1 << 20, new LedgerState())) {
            assertTrue(append(ledger, intended("before", 1)));
            disk.full = true;
            assertFalse(append(ledger, intended("lost", 2)));
            while (disk.failedWrites.get() < 3) { // that of the record, and two segments
                Thread.sleep(5);
            }
            disk.full = false;
            while (!ledger.isWritable()) {
                Thread.sleep(5);
            }
            assertTrue(append(ledger, intended("after", 4)));
        }
        LedgerState again = new LedgerState();
        open(Disk.FILE_SYSTEM, 1 << 20, again).close();
        assertEquals(Set.of("before", "after"), ids(again));
    }

    /** The mark only helps to tell a torn tail from damage: where it cannot be written, what is forced is durable all the same. */
    @Test
    void whatIsForcedIsDurableWithoutItsMark() throws Exception {
        Files.createSymbolicLink(folder.resolve("tail"), Path.of("/dev/full"));
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 1 << 20, new LedgerState())) {
            assertTrue(append(ledger, intended("a", 1)));
            assertTrue(append(ledger, intended("b", 2)));
        }
        LedgerState again = new LedgerState();
        open(Disk.FILE_SYSTEM, 1 << 20, again).close();
        assertEquals(Set.of("a", "b"), ids(again));
    }

    private static Set<String> ids(LedgerState book) {
        Set<String> ids = new HashSet<>();
        book.messages().forEach(m -> ids.add(m.id));
        return ids;
    }

    @Test
    void aDiskThatIsNearlyFullIsNotFilled() throws Exception {
        FaultyDisk disk = new FaultyDisk();
        try (DiskLedger ledger = open(disk, 1 << 20, new LedgerState())) {
            disk.room = 50;
            while (ledger.isWritable()) {
                Thread.sleep(5);
            }
            disk.room = 500;
            while (!ledger.isWritable()) {
                Thread.sleep(5);
            }
        }
    }

    @Test
    void aTornTailIsCutOffOnceAndDamageIsNamed() throws Exception {
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 1 << 20, new LedgerState())) {
            append(ledger, intended("a", 1));
            append(ledger, intended("b", 2));
        }
        Path segment;
        try (var files = Files.list(folder)) {
            segment = files.filter(f -> f.toString().endsWith(".ledger")).findFirst().orElseThrow();
        }
        byte[] whole = Files.readAllBytes(segment);
        // Half a record after what the mark covers: written, never told.
        byte[] torn = Arrays.copyOf(whole, whole.length + 30);
        System.arraycopy(RecordCodec.encode(intended("c", 3)), 0, torn, whole.length, 30);
        Files.write(segment, torn);
        LedgerFolder.ReadResult found = LedgerFolder.read(folder, true, (r, s) -> { });
        assertEquals(List.of(), found.damage());
        assertEquals(30, found.tornBytes());
        assertArrayEquals(whole, Files.readAllBytes(segment));
        // The mark covers it, so a cut is damage and is named by its place.
        Files.write(segment, Arrays.copyOf(whole, whole.length - 5));
        found = LedgerFolder.read(folder, false, (r, s) -> { });
        assertEquals(1, found.damage().size());
        assertTrue(found.damage().get(0).toString().contains(segment.getFileName().toString()));
        assertTrue(found.damagedAt() > 0);
    }

    private LedgerState book() throws IOException {
        LedgerState book = new LedgerState();
        LedgerFolder.read(folder, false, (record, segment) -> book.apply(record));
        return book;
    }

    /** Random lives over many segments: what is open or young stands as it did, also where the old segments stayed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void compactionOfAClosedLedgerKeepsWhatIsNeeded(long seed) throws Exception {
        Random chance = new Random(seed);
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 4096, new LedgerState())) {
            for (int i = 0; i < 600; i++) {
                List<LedgerRecord> life = life("m" + i, 1000 * i);
                for (LedgerRecord record : life.subList(0, 1 + chance.nextInt(life.size()))) {
                    assertTrue(append(ledger, record));
                }
            }
        }
        LedgerState before = book();
        Path old = Files.createDirectory(folder.resolveSibling(folder.getFileName() + "-old"));
        try (var files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".ledger")).toList()) {
                Files.copy(file, old.resolve(file.getFileName()));
            }
        }
        LedgerFolder.CompactionResult done = LedgerFolder.compact(folder, 500_000);
        assertTrue(done.keptRecords() < done.readResult().recordCount());
        for (int left = 0; left < 2; left++) {
            LedgerState after = book();
            assertEquals(List.of(), after.anomalies());
            int open = 0;
            for (LedgerState.Message m : before.messages()) {
                LedgerState.Message again = after.find(m.customer, m.id);
                if (m.lastRecordedAt() >= 500_000 || m.hasUnknownOutcome() || m.isDeliveryPending()) {
                    open++;
                    assertEquals(m.state() + " " + m.unresolvedForwards() + m.isDeliveryPending() + m.deliveryAttempts() + m.uncertainSince(),
                            again.state() + " " + again.unresolvedForwards() + again.isDeliveryPending() + again.deliveryAttempts() + again.uncertainSince());
                } else if (left == 0) {
                    assertNull(again);
                }
            }
            assertTrue(open > 300);
            // Cut short before the old segments went.
            try (var files = Files.list(old)) {
                for (Path file : files.toList()) {
                    Files.copy(file, folder.resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (LedgerFolder held = new LedgerFolder(folder)) {
            assertThrows(IOException.class, () -> LedgerFolder.compact(folder, 0), held.identity());
        }
    }

    /** A claim as versions wrote it that kept no timestamp: signed at the latest when it can have been. */
    @Test
    void aClaimOfAnEarlierVersionIsRead() throws Exception {
        byte[] payload = java.nio.ByteBuffer.allocate(100).put((byte) 6).putDouble(5000).putShort((short) 4).put("yard".getBytes())
                .putShort((short) 1).put("m".getBytes()).putLong(1).putLong(2).putShort((short) 6).put("fe-1/x".getBytes()).array();
        byte[] frame = java.nio.ByteBuffer.allocate(108).putInt(100).putInt(0).put(payload).array();
        java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
        sum.update(frame, 0, 4);
        sum.update(frame, 8, 100);
        java.nio.ByteBuffer.wrap(frame).putInt(4, (int) sum.getValue());
        List<LedgerRecord> read = new ArrayList<>();
        SegmentScanner.scan("s", frame, 0, frame.length, -1, read::add);
        assertEquals(List.of(new LedgerRecord.ClaimGranted("yard", "m", 5000, 1, 2, "fe-1/x", 305, 0)), read);
    }

    /** Killed while the next segment was made: no damage, neither at the next start nor at the one after. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 19})
    void aSegmentThatWasOnlyBegunIsNoDamage(int bytes) throws Exception {
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 4096, new LedgerState())) {
            append(ledger, intended("a", 1));
        }
        Files.write(folder.resolve("00000000000000ff.ledger"), Arrays.copyOf("gradereach ledger 1\n".getBytes(), bytes));
        for (int i = 0; i < 2; i++) {
            LedgerState again = new LedgerState();
            open(Disk.FILE_SYSTEM, 4096, again).close();
            assertEquals(1, again.size());
        }
    }

    @Test
    void aDamagedLedgerIsNotCompacted() throws Exception {
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 4096, new LedgerState())) {
            assertTrue(append(ledger, intended("a", 0)));
        }
        Path segment;
        try (var files = Files.list(folder)) {
            segment = files.filter(f -> f.toString().endsWith(".ledger")).findFirst().orElseThrow();
        }
        byte[] bytes = Files.readAllBytes(segment);
        bytes[40] ^= 1;
        Files.write(segment, bytes);
        assertEquals(1, LedgerFolder.compact(folder, 0).readResult().damage().size());
        assertArrayEquals(bytes, Files.readAllBytes(segment));
    }

    @Test
    void aSlowDiskMakesDeadlinesEarlierAndFades() {
        CommitDelay pace = new CommitDelay();
        pace.recordDelay(2, 0);
        pace.recordDelay(50, 100);
        pace.recordDelay(2, 200);
        assertEquals(50, pace.margin(200), 1);
        assertTrue(pace.margin(60_000) < 1);
        pace.recordDelay(10_000, 60_000);
        assertEquals(500, pace.margin(60_000), 1e-9);
    }
}
