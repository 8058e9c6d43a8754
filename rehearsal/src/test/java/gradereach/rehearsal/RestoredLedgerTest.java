package gradereach.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import gradereach.ledger.disk.LedgerFolder;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A front end's ledger is restored from a copy that was made before a reservation, which must not be executed again. */
@Timeout(60)
class RestoredLedgerTest {
    private static final String MODEL = "book-1";
    /** Enough requests to fill more than one segment of the minimum size. */
    private static final int SEGMENT_FILL_REQUESTS = 20;
    private static final int MIN_SEGMENT_BYTES = 4096;
    private static final int REPEATS = 5;

    /** What the front end did between the copy and the reservation, or after it. */
    enum LedgerActivity { NOTHING, A_SEGMENT, A_COMPACTION }

    /** How the copy replaces the folder. */
    enum RestoreMethod { AFTER_DELETING_IT, AFTER_RENAMING_IT, REPLACING_WHAT_DIFFERS }

    @TempDir
    private Path folder;
    private ReservationTestbed testbed;
    private List<Integer> ports = List.of();

    @BeforeEach
    void createTestbed() throws Exception {
        testbed = new ReservationTestbed(folder);
    }

    @AfterEach
    void closeTestbed() throws Exception {
        testbed.close();
    }

    private FrontEndTestProcess startFrontEnd(int number) throws IOException, InterruptedException {
        var deployment = testbed.createDeployment(folder, number, ports);
        deployment.withObject("/ledger").put("segment_bytes", MIN_SEGMENT_BYTES);
        return testbed.startFrontEnd(folder, deployment, "none", 0);
    }

    private static List<Path> listFiles(Path directory) throws IOException {
        try (var files = Files.list(directory)) {
            return files.sorted(Comparator.reverseOrder()).toList();
        }
    }

    /** Copies new files and replaces those whose bytes differ, as rsync does; returns the target. */
    private static Path copyChangedFiles(Path source, Path destination) throws IOException {
        Files.createDirectories(destination);
        for (Path file : listFiles(source)) {
            Path target = destination.resolve(file.getFileName());
            if (!Files.exists(target) || Files.mismatch(file, target) >= 0) {
                Path temporary = Files.copy(file, destination.resolve("." + file.getFileName()));
                Files.move(temporary, target, StandardCopyOption.REPLACE_EXISTING);
            }
        }
        return destination;
    }

    private static void restore(Path copy, Path ledger, RestoreMethod method) throws IOException {
        if (method == RestoreMethod.AFTER_RENAMING_IT) {
            Files.move(ledger, ledger.resolveSibling("aside"));
        } else {
            for (Path file : listFiles(ledger)) {
                if (method == RestoreMethod.AFTER_DELETING_IT || !Files.exists(copy.resolve(file.getFileName()))) {
                    Files.delete(file);
                }
            }
        }
        copyChangedFiles(copy, ledger);
    }

    private List<Integer> sendRepeats(FrontEndTestProcess frontEnd, String id) throws InterruptedException {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REPEATS; i++) {
            statuses.add(frontEnd.send(id, MODEL, false).statusCode());
        }
        return statuses;
    }

    private void assertRanOnce(String id, List<Integer> statuses) throws IOException {
        testbed.fleet.close();
        assertEquals(1, testbed.transcriptEvents("ran", "mark").get("yard/" + id).size(),
                "executions; statuses of its repeats: " + statuses);
        assertFalse(statuses.contains(200), "its answer is in no ledger; statuses of its repeats: " + statuses);
    }

    @ParameterizedTest
    @CsvSource({"1, NOTHING, AFTER_DELETING_IT", "1, A_SEGMENT, AFTER_DELETING_IT", "1, A_COMPACTION, AFTER_DELETING_IT",
        "1, NOTHING, AFTER_RENAMING_IT", "1, A_SEGMENT, REPLACING_WHAT_DIFFERS", "1, A_COMPACTION, REPLACING_WHAT_DIFFERS",
        "3, NOTHING, AFTER_DELETING_IT", "3, A_SEGMENT, AFTER_RENAMING_IT", "3, A_COMPACTION, AFTER_DELETING_IT"})
    void whatRanSinceTheCopyDoesNotRunAgain(int frontEnds, LedgerActivity activitySinceCopy, RestoreMethod method) throws Exception {
        ports = frontEnds == 1 ? List.of() : ReservationTestbed.freePorts(2 * frontEnds);
        List<FrontEndTestProcess> peers = new ArrayList<>();
        for (int i = 1; i < frontEnds; i++) {
            peers.add(startFrontEnd(i));
        }
        FrontEndTestProcess first = startFrontEnd(0);
        HttpResponse<String> answerBefore = first.sendUntilReturned("before", MODEL);
        first.kill();
        Path ledger = ReservationTestbed.ledgerFolder(folder, 0);
        Path copy = copyChangedFiles(ledger, folder.resolve("copy"));
        FrontEndTestProcess second = startFrontEnd(0);
        for (int i = 0; activitySinceCopy == LedgerActivity.A_SEGMENT && i < SEGMENT_FILL_REQUESTS; i++) {
            second.sendUntilReturned("filler-" + i, MODEL);
        }
        second.sendUntilReturned("since", MODEL);
        second.kill();
        if (activitySinceCopy == LedgerActivity.A_COMPACTION) {
            LedgerFolder.compact(ledger, 0);
        }
        restore(copy, ledger, method);
        FrontEndTestProcess third = startFrontEnd(0);
        List<Integer> statuses = sendRepeats(third, "since");
        for (FrontEndTestProcess peer : peers) {
            statuses.addAll(sendRepeats(peer, "since"));
        }
        assertEquals(answerBefore.body(), third.sendUntilReturned("before", MODEL).body(), "what is in the copy is known");
        third.kill();
        statuses.addAll(sendRepeats(startFrontEnd(0), "since"));
        assertRanOnce("since", statuses);
    }

    /**
     * Guards against a restored ledger that passes for the latest one. It is restored with its inode numbers, as by a file
     * system snapshot, so that only the peers can detect it. The snapshot lacks a reservation and a later one that the peers
     * know of.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void peersDetectRestoredLedger(boolean copiedWhileRunning) throws Exception {
        ports = ReservationTestbed.freePorts(6);
        FrontEndTestProcess peer = startFrontEnd(1);
        startFrontEnd(2);
        FrontEndTestProcess running = startFrontEnd(0);
        running.sendUntilReturned("before", MODEL);
        Path ledger = ReservationTestbed.ledgerFolder(folder, 0);
        Path copy;
        if (copiedWhileRunning) {
            copy = copyChangedFiles(ledger, folder.resolve("copy"));
        } else {
            running.kill();
            copy = copyChangedFiles(ledger, folder.resolve("copy"));
            running = startFrontEnd(0);
        }
        running.sendUntilReturned("since", MODEL);
        running.sendUntilReturned("after", MODEL);
        running.kill();
        restore(copy, ledger, RestoreMethod.AFTER_DELETING_IT);
        writeCurrentInodes(ledger);
        FrontEndTestProcess restored = startFrontEnd(0);
        List<Integer> statuses = sendRepeats(restored, "since");
        statuses.addAll(sendRepeats(peer, "since"));
        restored.kill();
        statuses.addAll(sendRepeats(startFrontEnd(0), "since"));
        assertRanOnce("since", statuses);
        assertFalse(LedgerFolder.isRestoredCopy(ledger));
    }

    /** Records the current inode numbers, so that the ledger does not notice that its files were copied. */
    private static void writeCurrentInodes(Path ledger) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(ledger.resolve("files"))) {
            Path file = ledger.resolve(line.split(" ")[0]);
            lines.add(file.getFileName() + " " + Files.getAttribute(file, "unix:ino"));
        }
        Files.write(ledger.resolve("files"), lines);
    }

    /**
     * Guards against a second grant of a claim. The restored front end is a replica that granted the claim to another front end
     * after the copy was made, while the third one was down.
     */
    @Test
    void claimGrantedSinceTheCopyIsNotGrantedAgain() throws Exception {
        ports = ReservationTestbed.freePorts(6);
        FrontEndTestProcess restored = startFrontEnd(0);
        FrontEndTestProcess holder = startFrontEnd(1);
        restored.sendUntilReturned("before", MODEL);
        restored.kill();
        Path ledger = ReservationTestbed.ledgerFolder(folder, 0);
        Path copy = copyChangedFiles(ledger, folder.resolve("copy"));
        restored = startFrontEnd(0);
        holder.sendUntilReturned("since", MODEL);
        restored.kill();
        holder.kill();
        restore(copy, ledger, RestoreMethod.AFTER_DELETING_IT);
        startFrontEnd(0);
        assertRanOnce("since", sendRepeats(startFrontEnd(2), "since"));
    }

    /** Guards against taking a ledger for a restored copy after its folder was renamed while the front end was stopped. */
    @Test
    void renamedFolderIsNotARestoredCopy() throws Exception {
        FrontEndTestProcess first = startFrontEnd(0);
        HttpResponse<String> answer = first.sendUntilReturned("before", MODEL);
        first.kill();
        Path ledger = ReservationTestbed.ledgerFolder(folder, 0);
        Path renamed = Files.move(ledger, folder.resolve("elsewhere"));
        var deployment = testbed.createDeployment(folder, 0, ports);
        deployment.withObject("/ledger").put("folder", renamed.toString());
        FrontEndTestProcess second = testbed.startFrontEnd(folder, deployment, "none", 0);
        assertEquals(answer.body(), second.sendUntilReturned("before", MODEL).body());
        assertEquals(200, second.sendUntilReturned("new", MODEL).statusCode());
    }
}
