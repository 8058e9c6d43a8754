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

/** A front end's ledger is restored from a copy that was made before a reservation: it must not run a second time. */
@Timeout(60)
class RestoredLedgerTest {
    private static final String MODEL = "book-1";
    /** Their records fill more than one segment of the least size. */
    private static final int SEGMENT_FILL_REQUESTS = 20;
    private static final int MIN_SEGMENT_BYTES = 4096;
    private static final int REPEATS = 5;

    /** What the front end did between the copy and the reservation, or after it. */
    enum LedgerActivity { NOTHING, A_SEGMENT, A_COMPACTION }

    /** How the copy takes the place of the folder. */
    enum RestoreMethod { AFTER_DELETING_IT, AFTER_RENAMING_IT, REPLACING_WHAT_DIFFERS }

    @TempDir
    private Path folder;
    private ReservationTestbed site;
    private List<Integer> ports = List.of();

    @BeforeEach
    void start() throws Exception {
        site = new ReservationTestbed(folder);
    }

    @AfterEach
    void end() throws Exception {
        site.close();
    }

    private FrontEndTestProcess startFrontEnd(int number) throws IOException, InterruptedException {
        var plan = site.createDeployment(folder, number, ports);
        plan.withObject("/ledger").put("segment_bytes", MIN_SEGMENT_BYTES);
        return site.startFrontEnd(folder, plan, "none", 0);
    }

    private static List<Path> listFiles(Path of) throws IOException {
        try (var files = Files.list(of)) {
            return files.sorted(Comparator.reverseOrder()).toList();
        }
    }

    /** Files that are there are replaced where their bytes differ, as rsync does. */
    private static Path copyChangedFiles(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        for (Path file : listFiles(from)) {
            Path there = to.resolve(file.getFileName());
            if (!Files.exists(there) || Files.mismatch(file, there) >= 0) {
                Path fresh = Files.copy(file, to.resolve("." + file.getFileName()));
                Files.move(fresh, there, StandardCopyOption.REPLACE_EXISTING);
            }
        }
        return to;
    }

    private static void restore(Path copy, Path ledger, RestoreMethod how) throws IOException {
        if (how == RestoreMethod.AFTER_RENAMING_IT) {
            Files.move(ledger, ledger.resolveSibling("aside"));
        } else {
            for (Path file : listFiles(ledger)) {
                if (how == RestoreMethod.AFTER_DELETING_IT || !Files.exists(copy.resolve(file.getFileName()))) {
                    Files.delete(file);
                }
            }
        }
        copyChangedFiles(copy, ledger);
    }

    private List<Integer> sendRepeats(FrontEndTestProcess front, String id) throws InterruptedException {
        List<Integer> heard = new ArrayList<>();
        for (int i = 0; i < REPEATS; i++) {
            heard.add(front.send(id, MODEL, false).statusCode());
        }
        return heard;
    }

    private void assertRanOnce(String id, List<Integer> heard) throws IOException {
        site.fleet.close();
        assertEquals(1, site.transcriptEvents("ran", "mark").get("yard/" + id).size(), "it ran; its repeats heard " + heard);
        assertFalse(heard.contains(200), "its answer is in no ledger, and its repeats heard " + heard);
    }

    @ParameterizedTest
    @CsvSource({"1, NOTHING, AFTER_DELETING_IT", "1, A_SEGMENT, AFTER_DELETING_IT", "1, A_COMPACTION, AFTER_DELETING_IT",
        "1, NOTHING, AFTER_RENAMING_IT", "1, A_SEGMENT, REPLACING_WHAT_DIFFERS", "1, A_COMPACTION, REPLACING_WHAT_DIFFERS",
        "3, NOTHING, AFTER_DELETING_IT", "3, A_SEGMENT, AFTER_RENAMING_IT", "3, A_COMPACTION, AFTER_DELETING_IT"})
    void whatRanSinceTheCopyDoesNotRunAgain(int frontEnds, LedgerActivity since, RestoreMethod how) throws Exception {
        ports = frontEnds == 1 ? List.of() : ReservationTestbed.freePorts(2 * frontEnds);
        List<FrontEndTestProcess> peers = new ArrayList<>();
        for (int i = 1; i < frontEnds; i++) {
            peers.add(startFrontEnd(i));
        }
        FrontEndTestProcess first = startFrontEnd(0);
        HttpResponse<String> before = first.sendUntilReturned("before", MODEL);
        first.kill();
        Path ledger = ReservationTestbed.ledgerFolder(folder, 0);
        Path copy = copyChangedFiles(ledger, folder.resolve("copy"));
        FrontEndTestProcess second = startFrontEnd(0);
        for (int i = 0; since == LedgerActivity.A_SEGMENT && i < SEGMENT_FILL_REQUESTS; i++) {
            second.sendUntilReturned("filler-" + i, MODEL);
        }
        second.sendUntilReturned("since", MODEL);
        second.kill();
        if (since == LedgerActivity.A_COMPACTION) {
            LedgerFolder.compact(ledger, 0);
        }
        restore(copy, ledger, how);
        FrontEndTestProcess third = startFrontEnd(0);
        List<Integer> heard = sendRepeats(third, "since");
        for (FrontEndTestProcess peer : peers) {
            heard.addAll(sendRepeats(peer, "since"));
        }
        assertEquals(before.body(), third.sendUntilReturned("before", MODEL).body(), "what is in the copy is known");
        third.kill();
        heard.addAll(sendRepeats(startFrontEnd(0), "since"));
        assertRanOnce("since", heard);
    }

    /**
     * Put back with the numbers of its files, as by a snapshot of the file system: the folder cannot tell, the peers can. A
     * snapshot that was taken while it ran lacks a reservation, and one after it that the peers heard of.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void peersDetectRestoredLedger(boolean takenWhileItRan) throws Exception {
        ports = ReservationTestbed.freePorts(6);
        FrontEndTestProcess peer = startFrontEnd(1);
        startFrontEnd(2);
        FrontEndTestProcess running = startFrontEnd(0);
        running.sendUntilReturned("before", MODEL);
        Path ledger = ReservationTestbed.ledgerFolder(folder, 0);
        Path copy;
        if (takenWhileItRan) {
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
        List<Integer> heard = sendRepeats(restored, "since");
        heard.addAll(sendRepeats(peer, "since"));
        restored.kill();
        heard.addAll(sendRepeats(startFrontEnd(0), "since"));
        assertRanOnce("since", heard);
        assertFalse(LedgerFolder.isRestoredCopy(ledger));
    }

    private static void writeCurrentInodes(Path ledger) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(ledger.resolve("files"))) {
            Path file = ledger.resolve(line.split(" ")[0]);
            lines.add(file.getFileName() + " " + Files.getAttribute(file, "unix:ino"));
        }
        Files.write(ledger.resolve("files"), lines);
    }

    /** As a keeper: it granted the reservation to another front end after the copy, and the third one was away then. */
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

    /** A front end that was stopped, whose folder was renamed, and that is started there goes on as before. */
    @Test
    void renamedFolderIsNotARestoredCopy() throws Exception {
        FrontEndTestProcess first = startFrontEnd(0);
        HttpResponse<String> answer = first.sendUntilReturned("before", MODEL);
        first.kill();
        Path ledger = ReservationTestbed.ledgerFolder(folder, 0);
        Path elsewhere = Files.move(ledger, folder.resolve("elsewhere"));
        var plan = site.createDeployment(folder, 0, ports);
        plan.withObject("/ledger").put("folder", elsewhere.toString());
        FrontEndTestProcess second = site.startFrontEnd(folder, plan, "none", 0);
        assertEquals(answer.body(), second.sendUntilReturned("before", MODEL).body());
        assertEquals(200, second.sendUntilReturned("new", MODEL).statusCode());
    }
}
