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

/**
 * The ledger's records, their encoding and compaction, and the ledger on a disk that is full, failing or damaged: what was
 * reported durable is restored, and what was not is neither restored nor taken for damage.
 */
@Timeout(60)
class LedgerTest {
    @TempDir
    private Path folder;
    private final BlockingQueue<Runnable> callbacks = new LinkedBlockingQueue<>();

    private static FinalAnswer answer(String body) {
        return new FinalAnswer(FinalAnswer.Kind.RETURNED, 200, body.getBytes(), 0, true);
    }

    private static LedgerRecord intent(String id, double timestamp) {
        return new LedgerRecord.ForwardIntended("yard", id, timestamp, 1, 2, "book", "book-1", "10.0.0.1:80",
                "yard/" + id + "#fe-1-0");
    }

    /** Records of each type about a message, a millisecond apart, in the order in which they are written. */
    private static List<LedgerRecord> messageRecords(String id, double timestamp) {
        return List.of(new LedgerRecord.DeliveryPromised("yard", id, timestamp, 1, 2, "book"), intent(id, timestamp + 1),
                new LedgerRecord.ProvenNotRun("yard", id, timestamp + 2), intent(id, timestamp + 3),
                new LedgerRecord.Answered("yard", id, timestamp + 4, answer("{\"\u00fc\":1}")),
                new LedgerRecord.DeliveryAttempted("yard", id, timestamp + 5, timestamp, 1, true),
                new LedgerRecord.ClaimGranted("yard", id, timestamp + 6, 1, 2, "fe-1/x"));
    }

    private static byte[] bytes(List<LedgerRecord> records) {
        java.io.ByteArrayOutputStream out = new java.io.ByteArrayOutputStream();
        records.forEach(record -> out.writeBytes(RecordCodec.encode(record)));
        return out.toByteArray();
    }

    private static String describe(LedgerRecord record) {
        return record instanceof LedgerRecord.Answered answered
                ? answered.id() + answered.timestamp() + answered.answer().kind() + new String(answered.answer().body())
                : record.toString();
    }

    @Test
    void recordsSurviveEncodingAndDecoding() {
        List<LedgerRecord> written = messageRecords("a", 10);
        List<String> read = new ArrayList<>();
        byte[] bytes = bytes(written);
        SegmentScanner.Result result = SegmentScanner.scan("s", bytes, 0, bytes.length, -1, r -> read.add(describe(r)));
        assertEquals(written.stream().map(LedgerTest::describe).toList(), read);
        assertTrue(result.damage().isEmpty());
        assertEquals(bytes.length, result.validLength());
    }

    /** Any flipped bit is detected, reported as damage, and loses only the record that it is in. */
    @Test
    void anyFlippedBitIsDetectedAndLosesOneRecord() {
        List<LedgerRecord> written = List.of(intent("a", 1), intent("b", 2), intent("c", 3));
        byte[] valid = bytes(written);
        Set<String> all = new HashSet<>(written.stream().map(LedgerTest::describe).toList());
        for (int bit = 0; bit < valid.length * 8; bit++) {
            byte[] damaged = valid.clone();
            damaged[bit / 8] ^= (byte) (1 << bit % 8);
            Set<String> read = new HashSet<>();
            SegmentScanner.Result result = SegmentScanner.scan("s", damaged, 0, damaged.length, -1, r -> read.add(describe(r)));
            assertEquals(1, result.damage().size(), "bit " + bit);
            assertEquals(2, read.size(), "bit " + bit);
            assertTrue(all.containsAll(read), "bit " + bit + ": a record that was never written");
        }
    }

    /** An incomplete tail is a torn tail if it was never reported durable, and damage if it was. */
    @Test
    void tornTailsAreDistinguishedFromDamageByTheDurableLength() {
        byte[] complete = bytes(List.of(intent("a", 1), intent("b", 2)));
        int firstLength = RecordCodec.encode(intent("a", 1)).length;
        for (int length = 0; length < complete.length; length++) {
            byte[] torn = Arrays.copyOf(complete, length);
            int validLength = length < firstLength ? 0 : firstLength;
            SegmentScanner.Result notDurable = SegmentScanner.scan("s", torn, 0, length, 0, r -> { });
            assertEquals(List.of(), notDurable.damage());
            assertEquals(validLength, notDurable.validLength());
            assertEquals(length - validLength, notDurable.tornBytes());
            assertEquals(1, SegmentScanner.scan("s", torn, 0, length, complete.length, r -> { }).damage().size());
        }
    }

    /** Each letter is a record after the promise: intent, proven not run, returned answer, failed answer. */
    @ParameterizedTest
    @CsvSource({"'', TAKEN, false", "i, MAY_HAVE_RUN, true", "in, PROVEN_NOT_RUN, false", "ini, MAY_HAVE_RUN, true",
        "ia, ANSWERED, false", "if, ANSWERED, true", "ifa, ANSWERED, false", "iaf, ANSWERED, false",
        "inia, ANSWERED, false", "ifi, MAY_HAVE_RUN, true"})
    void recordsGiveTheDocumentedState(String steps, LedgerState.MessageState state, boolean unknownOutcome) {
        LedgerState ledgerState = new LedgerState();
        ledgerState.apply(new LedgerRecord.DeliveryPromised("yard", "a", 0, 1, 2, "book"));
        for (char step : steps.toCharArray()) {
            ledgerState.apply(switch (step) {
                case 'i' -> intent("a", 1);
                case 'n' -> new LedgerRecord.ProvenNotRun("yard", "a", 2);
                case 'a' -> new LedgerRecord.Answered("yard", "a", 3, answer("x"));
                default -> new LedgerRecord.Answered("yard", "a", 3, FinalAnswer.failed("a", 504, "w", false));
            });
        }
        LedgerState.Message message = ledgerState.find("yard", "a");
        assertEquals(state, message.state());
        assertEquals(unknownOutcome, message.hasUnknownOutcome());
        assertNull(ledgerState.find("shop", "a"));
    }

    /** Compacted segments give the same state of open and recent messages as all records together. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void compactionKeepsOpenAndRecentMessages(long seed) {
        Random random = new Random(seed);
        CompactionPlanner planner = new CompactionPlanner(1000, 10_000);
        List<List<LedgerRecord>> segments = new ArrayList<>();
        LedgerState all = new LedgerState();
        int removed = 0;
        double now = 0;
        for (int segment = 0; segment < 60; segment++) {
            segments.add(new ArrayList<>());
            for (int i = 0; i < 30; i++) {
                now += random.nextDouble() * 5;
                String id = "m" + (segment * 5 + random.nextInt(15));
                LedgerRecord record = switch (random.nextInt(4)) {
                    case 0, 1 -> intent(id, now);
                    case 2 -> new LedgerRecord.ProvenNotRun("yard", id, now);
                    default -> new LedgerRecord.Answered("yard", id, now, random.nextBoolean() ? answer("x" + id)
                            : FinalAnswer.failed(id, 504, "w", false));
                };
                segments.get(segment).add(record);
                planner.onRecordWritten(record, segment);
                all.apply(record);
            }
            for (long oldest; (oldest = planner.oldestRemovableSegment(now, segment)) >= 0; removed++) {
                List<LedgerRecord> rewritten = planner.recordsToRewrite(oldest, segment);
                segments.get(segment).addAll(rewritten);
                for (LedgerRecord record : rewritten) {
                    planner.onRecordWritten(record, segment);
                }
                segments.get((int) oldest).clear();
                planner.onSegmentRemoved(oldest);
            }
        }
        assertTrue(removed > 20, removed + " segments were removed");
        LedgerState compacted = new LedgerState();
        segments.forEach(s -> s.forEach(compacted::apply));
        for (LedgerState.Message message : all.messages()) {
            if (message.hasUnknownOutcome() || message.lastRecordedAt() > now - 1000) {
                LedgerState.Message kept = compacted.find(message.customer, message.id);
                assertEquals(message.hasUnknownOutcome(), kept != null && kept.hasUnknownOutcome(), message.id);
                assertTrue(message.hasUnknownOutcome() || kept.state() == message.state(), message.id);
            }
        }
    }

    // ---- on disk ---------------------------------------------------------------------------------------

    /** A disk that injects faults. */
    private static final class FaultyDisk implements Disk {
        volatile boolean full;
        volatile boolean forceFails;
        /** Files can still be created when the disk is full, as on most file systems. */
        volatile boolean createSucceeds;
        final AtomicInteger failedWrites = new AtomicInteger();
        volatile long usableBytes = Long.MAX_VALUE;

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
                        // As on a real disk, a part of the bytes is still written.
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
        public long usableSpace(Path path) {
            return usableBytes;
        }
    }

    private DiskLedger open(Disk disk, long segmentBytes, LedgerState state) throws IOException {
        LedgerFolder ledgerFolder = new LedgerFolder(folder);
        CompactionPlanner planner = new CompactionPlanner(600_000, 1000);
        LedgerFolder.ReadResult readResult = LedgerFolder.read(folder, true, (record, segment) -> {
            state.apply(record);
            planner.onRecordWritten(record, segment);
        });
        assertEquals(List.of(), readResult.damage());
        DiskLedger ledger = new DiskLedger(disk, new DiskLedger.Limits(segmentBytes, 100, 1024), planner, () -> 1000,
                callbacks::add, new Counts());
        ledger.start(ledgerFolder, readResult.nextSegment());
        return ledger;
    }

    private boolean append(DiskLedger ledger, LedgerRecord record) throws InterruptedException {
        boolean[] durable = new boolean[1];
        ledger.append(record, success -> durable[0] = success);
        callbacks.take().run();
        return durable[0];
    }

    /** Also, no second process can open the folder meanwhile. */
    @Test
    void durableRecordsAreRestoredFromManySegments() throws Exception {
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 500, new LedgerState())) {
            for (int i = 0; i < 50; i++) {
                assertTrue(append(ledger, intent("m" + i, i)));
            }
            assertThrows(IOException.class, () -> new LedgerFolder(folder));
        }
        LedgerState restored = new LedgerState();
        open(Disk.FILE_SYSTEM, 500, restored).close();
        assertEquals(50, restored.size());
        try (var files = Files.list(folder)) {
            assertTrue(files.filter(f -> f.toString().endsWith(".ledger")).count() > 5);
        }
    }

    /** While the disk is full or failing, no record is reported durable or restored later; afterwards it is writable again. */
    @ParameterizedTest
    @ValueSource(strings = {"full", "force"})
    void failingDiskMakesTheLedgerUnwritableUntilItRecovers(String failure) throws Exception {
        FaultyDisk disk = new FaultyDisk();
        try (DiskLedger ledger = open(disk, 1 << 20, new LedgerState())) {
            assertTrue(append(ledger, intent("before", 1)));
            disk.full = failure.equals("full");
            disk.forceFails = !disk.full;
            assertFalse(append(ledger, intent("lost", 2)));
            assertFalse(ledger.isWritable());
            assertFalse(append(ledger, intent("refused", 3)));
            disk.full = false;
            disk.forceFails = false;
            while (!ledger.isWritable()) {
                Thread.sleep(5);
            }
            assertTrue(append(ledger, intent("after", 4)));
        }
        LedgerState restored = new LedgerState();
        open(Disk.FILE_SYSTEM, 1 << 20, restored).close();
        assertEquals(Set.of("before", "after"), ids(restored));
    }

    /** Empty segment files that a full disk left behind must not count as damage at the next start. */
    @Test
    void emptySegmentsOfAFullDiskAreNoDamage() throws Exception {
        FaultyDisk disk = new FaultyDisk();
        disk.createSucceeds = true;
        try (DiskLedger ledger = open(disk, 1 << 20, new LedgerState())) {
            assertTrue(append(ledger, intent("before", 1)));
            disk.full = true;
            assertFalse(append(ledger, intent("lost", 2)));
            while (disk.failedWrites.get() < 3) { // the record, and two segments
                Thread.sleep(5);
            }
            disk.full = false;
            while (!ledger.isWritable()) {
                Thread.sleep(5);
            }
            assertTrue(append(ledger, intent("after", 4)));
        }
        LedgerState restored = new LedgerState();
        open(Disk.FILE_SYSTEM, 1 << 20, restored).close();
        assertEquals(Set.of("before", "after"), ids(restored));
    }

    /** The tail mark only tells a torn tail from damage: forced records are durable even if it cannot be written. */
    @Test
    void forcedRecordsAreDurableWithoutATailMark() throws Exception {
        Files.createSymbolicLink(folder.resolve("tail"), Path.of("/dev/full"));
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 1 << 20, new LedgerState())) {
            assertTrue(append(ledger, intent("a", 1)));
            assertTrue(append(ledger, intent("b", 2)));
        }
        LedgerState restored = new LedgerState();
        open(Disk.FILE_SYSTEM, 1 << 20, restored).close();
        assertEquals(Set.of("a", "b"), ids(restored));
    }

    private static Set<String> ids(LedgerState state) {
        Set<String> ids = new HashSet<>();
        state.messages().forEach(m -> ids.add(m.id));
        return ids;
    }

    /** The ledger accepts no records below 100 free bytes, and accepts them again above. */
    @Test
    void nearlyFullDiskMakesTheLedgerUnwritable() throws Exception {
        FaultyDisk disk = new FaultyDisk();
        try (DiskLedger ledger = open(disk, 1 << 20, new LedgerState())) {
            disk.usableBytes = 50;
            while (ledger.isWritable()) {
                Thread.sleep(5);
            }
            disk.usableBytes = 500;
            while (!ledger.isWritable()) {
                Thread.sleep(5);
            }
        }
    }

    /** A record that was being written at a crash is cut off; a record that is missing although it was durable is damage. */
    @Test
    void tornTailIsCutOffOnceAndDamageIsReported() throws Exception {
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 1 << 20, new LedgerState())) {
            append(ledger, intent("a", 1));
            append(ledger, intent("b", 2));
        }
        Path segment;
        try (var files = Files.list(folder)) {
            segment = files.filter(f -> f.toString().endsWith(".ledger")).findFirst().orElseThrow();
        }
        byte[] complete = Files.readAllBytes(segment);
        // Half a record beyond the tail mark: written, but never reported durable.
        byte[] torn = Arrays.copyOf(complete, complete.length + 30);
        System.arraycopy(RecordCodec.encode(intent("c", 3)), 0, torn, complete.length, 30);
        Files.write(segment, torn);
        LedgerFolder.ReadResult readResult = LedgerFolder.read(folder, true, (r, s) -> { });
        assertEquals(List.of(), readResult.damage());
        assertEquals(30, readResult.tornBytes());
        assertArrayEquals(complete, Files.readAllBytes(segment));
        // The tail mark covers it, so a cut is damage and is reported with its location.
        Files.write(segment, Arrays.copyOf(complete, complete.length - 5));
        readResult = LedgerFolder.read(folder, false, (r, s) -> { });
        assertEquals(1, readResult.damage().size());
        assertTrue(readResult.damage().get(0).toString().contains(segment.getFileName().toString()));
        assertTrue(readResult.damagedAt() > 0);
    }

    private LedgerState readState() throws IOException {
        LedgerState state = new LedgerState();
        LedgerFolder.read(folder, false, (record, segment) -> state.apply(record));
        return state;
    }

    /** Compaction keeps the state of open and recent messages, also if it is interrupted before the old segments are deleted. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void compactionOfAClosedLedgerKeepsNeededRecords(long seed) throws Exception {
        Random random = new Random(seed);
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 4096, new LedgerState())) {
            for (int i = 0; i < 600; i++) {
                List<LedgerRecord> messageRecords = messageRecords("m" + i, 1000 * i);
                for (LedgerRecord record : messageRecords.subList(0, 1 + random.nextInt(messageRecords.size()))) {
                    assertTrue(append(ledger, record));
                }
            }
        }
        LedgerState before = readState();
        Path oldSegments = Files.createDirectory(folder.resolveSibling(folder.getFileName() + "-old"));
        try (var files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".ledger")).toList()) {
                Files.copy(file, oldSegments.resolve(file.getFileName()));
            }
        }
        LedgerFolder.CompactionResult result = LedgerFolder.compact(folder, 500_000);
        assertTrue(result.keptRecords() < result.readResult().recordCount());
        for (int round = 0; round < 2; round++) {
            LedgerState after = readState();
            assertEquals(List.of(), after.anomalies());
            int neededMessages = 0;
            for (LedgerState.Message message : before.messages()) {
                LedgerState.Message kept = after.find(message.customer, message.id);
                if (message.lastRecordedAt() >= 500_000 || message.hasUnknownOutcome() || message.isDeliveryPending()) {
                    neededMessages++;
                    assertEquals(message.state() + " " + message.unresolvedForwards() + message.isDeliveryPending()
                                    + message.deliveryAttempts() + message.mayHaveRunSince(),
                            kept.state() + " " + kept.unresolvedForwards() + kept.isDeliveryPending()
                                    + kept.deliveryAttempts() + kept.mayHaveRunSince());
                } else if (round == 0) {
                    assertNull(kept);
                }
            }
            assertTrue(neededMessages > 300);
            // As after a crash before the old segments were deleted.
            try (var files = Files.list(oldSegments)) {
                for (Path file : files.toList()) {
                    Files.copy(file, folder.resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (LedgerFolder ledgerFolder = new LedgerFolder(folder)) {
            assertThrows(IOException.class, () -> LedgerFolder.compact(folder, 0), ledgerFolder.identity());
        }
    }

    /** A claim record of a version that stored no signed timestamp gets the latest one that the message can have carried. */
    @Test
    void claimRecordOfAnEarlierVersionIsRead() throws Exception {
        byte[] payload = java.nio.ByteBuffer.allocate(100).put((byte) 6).putDouble(5000).putShort((short) 4).put("yard".getBytes())
                .putShort((short) 1).put("m".getBytes()).putLong(1).putLong(2).putShort((short) 6).put("fe-1/x".getBytes()).array();
        byte[] frame = java.nio.ByteBuffer.allocate(108).putInt(100).putInt(0).put(payload).array();
        java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
        checksum.update(frame, 0, 4);
        checksum.update(frame, 8, 100);
        java.nio.ByteBuffer.wrap(frame).putInt(4, (int) checksum.getValue());
        List<LedgerRecord> read = new ArrayList<>();
        SegmentScanner.scan("s", frame, 0, frame.length, -1, read::add);
        assertEquals(List.of(new LedgerRecord.ClaimGranted("yard", "m", 5000, 1, 2, "fe-1/x", 305, 0)), read);
    }

    /** A segment file left incomplete by a kill during its creation is no damage at the next start or the one after. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 19})
    void incompleteNewSegmentIsNoDamage(int bytes) throws Exception {
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 4096, new LedgerState())) {
            append(ledger, intent("a", 1));
        }
        Files.write(folder.resolve("00000000000000ff.ledger"), Arrays.copyOf("gradereach ledger 1\n".getBytes(), bytes));
        for (int i = 0; i < 2; i++) {
            LedgerState restored = new LedgerState();
            open(Disk.FILE_SYSTEM, 4096, restored).close();
            assertEquals(1, restored.size());
        }
    }

    /** A damaged ledger stays as it is, since its segments show what was lost. */
    @Test
    void damagedLedgerIsNotCompacted() throws Exception {
        try (DiskLedger ledger = open(Disk.FILE_SYSTEM, 4096, new LedgerState())) {
            assertTrue(append(ledger, intent("a", 0)));
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
    void commitMarginFollowsASlowDiskAndDecays() {
        CommitDelay commitDelay = new CommitDelay();
        commitDelay.recordDelay(2, 0);
        commitDelay.recordDelay(50, 100);
        commitDelay.recordDelay(2, 200);
        assertEquals(50, commitDelay.margin(200), 1);
        assertTrue(commitDelay.margin(60_000) < 1);
        commitDelay.recordDelay(10_000, 60_000);
        assertEquals(500, commitDelay.margin(60_000), 1e-9);
    }
}
