package gradereach.ledger.disk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.ledger.LedgerState;
import gradereach.ledger.LedgerRecord;
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

/** What is known of a ledger's messages once its folder was restored from a copy, and what passes for one. */
class RestoredCopyTest {
    private static final double AT = 1_900_000_000_000d;
    private static final long SIGNED_AT = 1_900_000_000L;
    private static final double TEN_MINUTES = 600_000;

    @TempDir
    private Path folder;
    private Path ledger;

    @BeforeEach
    void openedOnce() throws IOException {
        ledger = folder.resolve("ledger");
        try (LedgerFolder opened = new LedgerFolder(ledger)) {
            append(opened, 1, new LedgerRecord.ClaimGranted("yard", "claim", AT, 1, 2, "fe-1/x", SIGNED_AT, 0));
        }
    }

    private static void append(LedgerFolder opened, long segment, LedgerRecord... records) throws IOException {
        LedgerFolder.writeSegment(opened.segmentPath(segment), List.of(records));
        opened.saveInodeNumbers(segment);
    }

    private LedgerState read() throws IOException {
        LedgerState book = new LedgerState();
        assertEquals(List.of(), LedgerFolder.read(ledger, false, (record, segment) -> book.apply(record)).damage());
        return book;
    }

    private static void copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        try (var files = Files.list(from)) {
            for (Path file : files.toList()) {
                Files.copy(file, to.resolve(file.getFileName()));
            }
        }
    }

    private void restore() throws IOException {
        Path aside = Files.move(ledger, folder.resolve("aside"));
        copy(aside, ledger);
    }

    private static LedgerRecord record(String what) {
        FinalAnswer.Kind kind = what.equals("returned") ? FinalAnswer.Kind.RETURNED : FinalAnswer.Kind.SHED;
        return switch (what) {
            case "promised" -> new LedgerRecord.DeliveryPromised("yard", "m", AT, 1, 2, "book");
            case "intended" -> new LedgerRecord.ForwardIntended("yard", "m", AT, 1, 2, "book", "book-1", new Recipient("s-1", "ex:1", 7),
                    "f", SIGNED_AT);
            case "not run" -> new LedgerRecord.ProvenNotRun("yard", "m", AT + 1);
            default -> new LedgerRecord.Answered("yard", "m", AT + 2, new FinalAnswer(kind, 200, new byte[0], 0, true));
        };
    }

    /** What was not returned by the time of the copy may have run since, at an executor that nobody knows. */
    @ParameterizedTest
    @CsvSource({"promised, MAY_HAVE_RUN, 1", "intended, MAY_HAVE_RUN, 2", "intended+not run, MAY_HAVE_RUN, 1",
        "promised+intended+not run+shed, MAY_HAVE_RUN, 1", "intended+shed, MAY_HAVE_RUN, 2", "intended+returned, ANSWERED, 1"})
    void whatWasNotReturnedMayHaveRun(String records, LedgerState.MessageState state, int forwards) throws IOException {
        try (LedgerFolder opened = new LedgerFolder(ledger)) {
            List<LedgerRecord> all = new ArrayList<>();
            for (String what : records.split("\\+")) {
                all.add(record(what));
            }
            append(opened, 2, all.toArray(new LedgerRecord[0]));
            assertEquals(Long.MIN_VALUE, opened.suspectUpTo());
        }
        restore();
        for (int start = 0; start < 2; start++) {
            try (LedgerFolder opened = new LedgerFolder(ledger)) {
                double until = Math.max(AT, System.currentTimeMillis()) + TEN_MINUTES;
                assertTrue(opened.suspectUpTo() >= until / 1000, "signed by then, a repeat would be taken for new");
            }
            LedgerState.Message message = read().find("yard", "m");
            assertEquals(state, message.state());
            assertEquals(state == LedgerState.MessageState.MAY_HAVE_RUN, message.hasUnknownOutcome());
            assertEquals(forwards, message.unresolvedForwards().size());
            assertEquals(state == LedgerState.MessageState.MAY_HAVE_RUN, message.unresolvedForwards().stream().anyMatch(open -> !open.recipient().isKnown()));
            assertTrue(message.lastRecordedAt() <= AT + 2, "it would be remembered for longer than it was");
        }
    }

    /** Cut after its messages were recorded as unknown, and before its files were told to be its own. */
    @Test
    void aTakeoverThatWasCutShortIsMadeAgain() throws IOException {
        try (LedgerFolder opened = new LedgerFolder(ledger)) {
            append(opened, 2, record("promised"));
        }
        restore();
        String told = Files.readString(ledger.resolve("files"));
        new LedgerFolder(ledger).close();
        Files.writeString(ledger.resolve("files"), told);
        assertTrue(LedgerFolder.isRestoredCopy(ledger));
        new LedgerFolder(ledger).close();
        assertEquals(1, read().find("yard", "m").unresolvedForwards().size());
        assertEquals(List.of(), read().anomalies());
    }

    /** Compacted by hand before it is started: the copy is found by that as well. */
    @Test
    void aCompactionDoesNotHideTheCopy() throws IOException {
        try (LedgerFolder opened = new LedgerFolder(ledger)) {
            append(opened, 2, record("promised"));
        }
        restore();
        LedgerFolder.compact(ledger, 0);
        try (LedgerFolder opened = new LedgerFolder(ledger)) {
            assertTrue(opened.suspectUpTo() > SIGNED_AT);
        }
        assertEquals(LedgerState.MessageState.MAY_HAVE_RUN, read().find("yard", "m").state());
    }

    @ParameterizedTest
    @ValueSource(strings = {"nothing", "renamed", "touched", "mode", "segment gone", "segment begun", "of an earlier version", "compacted"})
    void whatPassesForNoCopy(String what) throws IOException {
        Path segment = LedgerFolder.segmentPath(ledger, 1);
        switch (what) {
            case "renamed" -> ledger = Files.move(ledger, folder.resolve("elsewhere"));
            case "touched" -> Files.setLastModifiedTime(segment, java.nio.file.attribute.FileTime.fromMillis(0));
            case "mode" -> Files.setPosixFilePermissions(segment, java.nio.file.attribute.PosixFilePermissions.fromString("rw-------"));
            case "segment gone" -> Files.delete(segment);
            case "segment begun" -> Files.write(LedgerFolder.segmentPath(ledger, 2), LedgerFolder.MAGIC);
            case "of an earlier version" -> Files.delete(ledger.resolve("files"));
            case "compacted" -> LedgerFolder.compact(ledger, 0);
            default -> { }
        }
        isNoCopy();
    }

    private void isNoCopy() throws IOException {
        assertEquals(false, LedgerFolder.isRestoredCopy(ledger));
        try (LedgerFolder opened = new LedgerFolder(ledger)) {
            assertEquals(Long.MIN_VALUE, opened.suspectUpTo());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"all", "segment", "identity", "another segment", "torn"})
    void whatPassesForACopy(String what) throws IOException {
        Path segment = LedgerFolder.segmentPath(ledger, 1);
        switch (what) {
            case "all" -> restore();
            case "another segment" -> Files.copy(segment, LedgerFolder.segmentPath(ledger, 2));
            case "torn" -> Files.writeString(ledger.resolve("files"), "iden");
            default -> {
                Path file = what.equals("segment") ? segment : ledger.resolve("identity");
                Files.copy(file, folder.resolve("other"));
                Files.move(folder.resolve("other"), file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            }
        }
        assertTrue(LedgerFolder.isRestoredCopy(ledger));
        try (LedgerFolder opened = new LedgerFolder(ledger)) {
            assertTrue(opened.suspectUpTo() > SIGNED_AT);
        }
        assertEquals(false, LedgerFolder.isRestoredCopy(ledger), "the folder is its own from then on");
    }
}
