package gradereach.ledger.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
import gradereach.ledger.Recipient;
import gradereach.message.FinalAnswer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The state of messages after a ledger's folder was restored from a copy, and which folders are taken for a copy. */
class RestoredCopyTest {
    private static final double RECORDED_AT = 1_900_000_000_000d;
    private static final long SIGNED_AT = 1_900_000_000L;
    private static final double REPLAY_WINDOW_MILLIS = 600_000;

    @TempDir
    private Path folder;
    private Path ledger;

    @BeforeEach
    void createLedger() throws IOException {
        ledger = folder.resolve("ledger");
        try (LedgerFolder ledgerFolder = new LedgerFolder(ledger)) {
            append(ledgerFolder, 1, new LedgerRecord.ClaimGranted("yard", "claim", RECORDED_AT, 1, 2, "fe-1/x", SIGNED_AT, 0));
        }
    }

    private static void append(LedgerFolder ledgerFolder, long segment, LedgerRecord... records) throws IOException {
        LedgerFolder.writeSegment(ledgerFolder.segmentPath(segment), List.of(records));
        ledgerFolder.saveInodeNumbers(segment);
    }

    private LedgerState read() throws IOException {
        LedgerState state = new LedgerState();
        assertEquals(List.of(), LedgerFolder.read(ledger, false, (record, segment) -> state.apply(record)).damage());
        return state;
    }

    private static void copy(Path source, Path target) throws IOException {
        Files.createDirectories(target);
        try (var files = Files.list(source)) {
            for (Path file : files.toList()) {
                Files.copy(file, target.resolve(file.getFileName()));
            }
        }
    }

    /** Replaces the folder with a copy of itself, whose files have other inodes. */
    private void replaceWithCopy() throws IOException {
        Path aside = Files.move(ledger, folder.resolve("aside"));
        copy(aside, ledger);
    }

    private static LedgerRecord record(String description) {
        FinalAnswer.Kind kind = description.equals("returned") ? FinalAnswer.Kind.RETURNED : FinalAnswer.Kind.SHED;
        return switch (description) {
            case "promised" -> new LedgerRecord.DeliveryPromised("yard", "m", RECORDED_AT, 1, 2, "book");
            case "intended" -> new LedgerRecord.ForwardIntended("yard", "m", RECORDED_AT, 1, 2, "book", "book-1",
                    new Recipient("s-1", "ex:1", 7), "f", SIGNED_AT);
            case "not run" -> new LedgerRecord.ProvenNotRun("yard", "m", RECORDED_AT + 1);
            default -> new LedgerRecord.Answered("yard", "m", RECORDED_AT + 2, new FinalAnswer(kind, 200, new byte[0], 0, true));
        };
    }

    /** A message that was not returned before the copy was made may have run since, at an unknown executor. */
    @ParameterizedTest
    @CsvSource({"promised, MAY_HAVE_RUN, 1", "intended, MAY_HAVE_RUN, 2", "intended+not run, MAY_HAVE_RUN, 1",
        "promised+intended+not run+shed, MAY_HAVE_RUN, 1", "intended+shed, MAY_HAVE_RUN, 2", "intended+returned, ANSWERED, 1"})
    void messagesThatWereNotReturnedMayHaveRun(String records, LedgerState.MessageState state, int forwards) throws IOException {
        try (LedgerFolder ledgerFolder = new LedgerFolder(ledger)) {
            List<LedgerRecord> all = new ArrayList<>();
            for (String description : records.split("\\+")) {
                all.add(record(description));
            }
            append(ledgerFolder, 2, all.toArray(new LedgerRecord[0]));
            assertEquals(Long.MIN_VALUE, ledgerFolder.suspectUpTo());
        }
        replaceWithCopy();
        for (int start = 0; start < 2; start++) {
            try (LedgerFolder ledgerFolder = new LedgerFolder(ledger)) {
                double latestRepeat = Math.max(RECORDED_AT, System.currentTimeMillis()) + REPLAY_WINDOW_MILLIS;
                assertTrue(ledgerFolder.suspectUpTo() >= latestRepeat / 1000, "a repeat signed by then would be taken for a new message");
            }
            LedgerState.Message message = read().find("yard", "m");
            assertEquals(state, message.state());
            assertEquals(state == LedgerState.MessageState.MAY_HAVE_RUN, message.hasUnknownOutcome());
            assertEquals(forwards, message.unresolvedForwards().size());
            assertEquals(state == LedgerState.MessageState.MAY_HAVE_RUN,
                    message.unresolvedForwards().stream().anyMatch(forward -> !forward.recipient().isKnown()));
            assertTrue(message.lastRecordedAt() <= RECORDED_AT + 2, "it would be remembered for longer than before");
        }
    }

    /** After a crash between the recording of unknown outcomes and the saving of the inodes, the next start recovers again. */
    @Test
    void interruptedRecoveryIsRepeated() throws IOException {
        try (LedgerFolder ledgerFolder = new LedgerFolder(ledger)) {
            append(ledgerFolder, 2, record("promised"));
        }
        replaceWithCopy();
        String inodesBefore = Files.readString(ledger.resolve("files"));
        new LedgerFolder(ledger).close();
        Files.writeString(ledger.resolve("files"), inodesBefore);
        assertTrue(LedgerFolder.isRestoredCopy(ledger));
        new LedgerFolder(ledger).close();
        assertEquals(1, read().find("yard", "m").unresolvedForwards().size());
        assertEquals(List.of(), read().anomalies());
    }

    /** A compaction by hand before the first start must detect the copy as well, since it saves the inodes anew. */
    @Test
    void compactionDoesNotHideTheCopy() throws IOException {
        try (LedgerFolder ledgerFolder = new LedgerFolder(ledger)) {
            append(ledgerFolder, 2, record("promised"));
        }
        replaceWithCopy();
        LedgerFolder.compact(ledger, 0);
        try (LedgerFolder ledgerFolder = new LedgerFolder(ledger)) {
            assertTrue(ledgerFolder.suspectUpTo() > SIGNED_AT);
        }
        assertEquals(LedgerState.MessageState.MAY_HAVE_RUN, read().find("yard", "m").state());
    }

    @ParameterizedTest
    @ValueSource(strings = {"nothing", "renamed", "touched", "mode", "segment gone", "segment begun", "of an earlier version", "compacted"})
    void foldersThatAreNotTakenForACopy(String change) throws IOException {
        Path segment = LedgerFolder.segmentPath(ledger, 1);
        switch (change) {
            case "renamed" -> ledger = Files.move(ledger, folder.resolve("elsewhere"));
            case "touched" -> Files.setLastModifiedTime(segment, java.nio.file.attribute.FileTime.fromMillis(0));
            case "mode" -> Files.setPosixFilePermissions(segment, java.nio.file.attribute.PosixFilePermissions.fromString("rw-------"));
            case "segment gone" -> Files.delete(segment);
            case "segment begun" -> Files.write(LedgerFolder.segmentPath(ledger, 2), LedgerFolder.MAGIC);
            case "of an earlier version" -> Files.delete(ledger.resolve("files"));
            case "compacted" -> LedgerFolder.compact(ledger, 0);
            default -> { }
        }
        assertNotRestored();
    }

    private void assertNotRestored() throws IOException {
        assertEquals(false, LedgerFolder.isRestoredCopy(ledger));
        try (LedgerFolder ledgerFolder = new LedgerFolder(ledger)) {
            assertEquals(Long.MIN_VALUE, ledgerFolder.suspectUpTo());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"all", "segment", "identity", "another segment", "torn"})
    void foldersThatAreTakenForACopy(String change) throws IOException {
        Path segment = LedgerFolder.segmentPath(ledger, 1);
        switch (change) {
            case "all" -> replaceWithCopy();
            case "another segment" -> Files.copy(segment, LedgerFolder.segmentPath(ledger, 2));
            case "torn" -> Files.writeString(ledger.resolve("files"), "iden");
            default -> {
                Path file = change.equals("segment") ? segment : ledger.resolve("identity");
                Files.copy(file, folder.resolve("other"));
                Files.move(folder.resolve("other"), file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        assertTrue(LedgerFolder.isRestoredCopy(ledger));
        try (LedgerFolder ledgerFolder = new LedgerFolder(ledger)) {
            assertTrue(ledgerFolder.suspectUpTo() > SIGNED_AT);
        }
        assertEquals(false, LedgerFolder.isRestoredCopy(ledger), "from then on the folder lists its own inodes");
    }
}
