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
    private static final int FILL_A_SEGMENT = 20;
    private static final int LEAST_SEGMENT = 4096;
    private static final int REPEATS = 5;

    /** What the front end did between the copy and the reservation, or after it. */
    enum Since { NOTHING, A_SEGMENT, A_COMPACTION }

    /** How the copy takes the place of the folder. */
    enum Restored { AFTER_DELETING_IT, AFTER_RENAMING_IT, REPLACING_WHAT_DIFFERS }

    @TempDir
    private Path folder;
    private ReservationSite site;
    private List<Integer> ports = List.of();

    @BeforeEach
    void start() throws Exception {
        site = new ReservationSite(folder);
    }

    @AfterEach
    void end() throws Exception {
        site.close();
    }

    private FrontEndChild front(int number) throws IOException, InterruptedException {
        var plan = site.plan(folder, number, ports);
        plan.withObject("/ledger").put("segment_bytes", LEAST_SEGMENT);
        return site.front(folder, plan, "none", 0);
    }

    private static List<Path> files(Path of) throws IOException {
        try (var files = Files.list(of)) {
            return files.sorted(Comparator.reverseOrder()).toList();
        }
    }

    /** Files that are there are replaced where their bytes differ, as rsync does. */
    private static Path copy(Path from, Path to) throws IOException {
        Files.createDirectories(to);
        for (Path file : files(from)) {
            Path there = to.resolve(file.getFileName());
            if (!Files.exists(there) || Files.mismatch(file, there) >= 0) {
                Path fresh = Files.copy(file, to.resolve("." + file.getFileName()));
                Files.move(fresh, there, StandardCopyOption.REPLACE_EXISTING);
            }
        }
        return to;
    }

    private static void restore(Path copy, Path ledger, Restored how) throws IOException {
        if (how == Restored.AFTER_RENAMING_IT) {
            Files.move(ledger, ledger.resolveSibling("aside"));
        } else {
            for (Path file : files(ledger)) {
                if (how == Restored.AFTER_DELETING_IT || !Files.exists(copy.resolve(file.getFileName()))) {
                    Files.delete(file);
                }
            }
        }
        copy(copy, ledger);
    }

    private List<Integer> repeats(FrontEndChild front, String id) throws InterruptedException {
        List<Integer> heard = new ArrayList<>();
        for (int i = 0; i < REPEATS; i++) {
            heard.add(front.ask(id, MODEL, false).statusCode());
        }
        return heard;
    }

    private void ranOnce(String id, List<Integer> heard) throws IOException {
        site.fleet.close();
        assertEquals(1, site.transcript("ran", "mark").get("yard/" + id).size(), "it ran; its repeats heard " + heard);
        assertFalse(heard.contains(200), "its answer is in no ledger, and its repeats heard " + heard);
    }

    @ParameterizedTest
    @CsvSource({"1, NOTHING, AFTER_DELETING_IT", "1, A_SEGMENT, AFTER_DELETING_IT", "1, A_COMPACTION, AFTER_DELETING_IT",
        "1, NOTHING, AFTER_RENAMING_IT", "1, A_SEGMENT, REPLACING_WHAT_DIFFERS", "1, A_COMPACTION, REPLACING_WHAT_DIFFERS",
        "3, NOTHING, AFTER_DELETING_IT", "3, A_SEGMENT, AFTER_RENAMING_IT", "3, A_COMPACTION, AFTER_DELETING_IT"})
    void whatRanSinceTheCopyDoesNotRunAgain(int frontEnds, Since since, Restored how) throws Exception {
        ports = frontEnds == 1 ? List.of() : ReservationSite.freePorts(2 * frontEnds);
        List<FrontEndChild> peers = new ArrayList<>();
        for (int i = 1; i < frontEnds; i++) {
            peers.add(front(i));
        }
        FrontEndChild first = front(0);
        HttpResponse<String> before = first.askOn("before", MODEL);
        first.kill();
        Path ledger = ReservationSite.ledger(folder, 0);
        Path copy = copy(ledger, folder.resolve("copy"));
        FrontEndChild second = front(0);
        for (int i = 0; since == Since.A_SEGMENT && i < FILL_A_SEGMENT; i++) {
            second.askOn("filler-" + i, MODEL);
        }
        second.askOn("since", MODEL);
        second.kill();
        if (since == Since.A_COMPACTION) {
            LedgerFolder.compact(ledger, 0);
        }
        restore(copy, ledger, how);
        FrontEndChild third = front(0);
        List<Integer> heard = repeats(third, "since");
        for (FrontEndChild peer : peers) {
            heard.addAll(repeats(peer, "since"));
        }
        assertEquals(before.body(), third.askOn("before", MODEL).body(), "what is in the copy is known");
        third.kill();
        heard.addAll(repeats(front(0), "since"));
        ranOnce("since", heard);
    }

    /**
     * Put back with the numbers of its files, as by a snapshot of the file system: the folder cannot tell, the peers can. A
     * snapshot that was taken while it ran lacks a reservation, and one after it that the peers heard of.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void peersKnowHowFarItHadGot(boolean takenWhileItRan) throws Exception {
        ports = ReservationSite.freePorts(6);
        FrontEndChild peer = front(1);
        front(2);
        FrontEndChild running = front(0);
        running.askOn("before", MODEL);
        Path ledger = ReservationSite.ledger(folder, 0);
        Path copy;
        if (takenWhileItRan) {
            copy = copy(ledger, folder.resolve("copy"));
        } else {
            running.kill();
            copy = copy(ledger, folder.resolve("copy"));
            running = front(0);
        }
        running.askOn("since", MODEL);
        running.askOn("after", MODEL);
        running.kill();
        restore(copy, ledger, Restored.AFTER_DELETING_IT);
        tellOwnNumbers(ledger);
        FrontEndChild restored = front(0);
        List<Integer> heard = repeats(restored, "since");
        heard.addAll(repeats(peer, "since"));
        restored.kill();
        heard.addAll(repeats(front(0), "since"));
        ranOnce("since", heard);
        assertFalse(LedgerFolder.isRestoredCopy(ledger));
    }

    private static void tellOwnNumbers(Path ledger) throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(ledger.resolve("files"))) {
            Path file = ledger.resolve(line.split(" ")[0]);
            lines.add(file.getFileName() + " " + Files.getAttribute(file, "unix:ino"));
        }
        Files.write(ledger.resolve("files"), lines);
    }

    /** As a keeper: it granted the reservation to another front end after the copy, and the third one was away then. */
    @Test
    void whatItGrantedSinceTheCopyIsNotGrantedAgain() throws Exception {
        ports = ReservationSite.freePorts(6);
        FrontEndChild restored = front(0);
        FrontEndChild holder = front(1);
        restored.askOn("before", MODEL);
        restored.kill();
        Path ledger = ReservationSite.ledger(folder, 0);
        Path copy = copy(ledger, folder.resolve("copy"));
        restored = front(0);
        holder.askOn("since", MODEL);
        restored.kill();
        holder.kill();
        restore(copy, ledger, Restored.AFTER_DELETING_IT);
        front(0);
        ranOnce("since", repeats(front(2), "since"));
    }

    /** A front end that was stopped, whose folder was renamed, and that is started there goes on as before. */
    @Test
    void aFolderThatWasRenamedIsNoCopy() throws Exception {
        FrontEndChild first = front(0);
        HttpResponse<String> answer = first.askOn("before", MODEL);
        first.kill();
        Path ledger = ReservationSite.ledger(folder, 0);
        Path elsewhere = Files.move(ledger, folder.resolve("elsewhere"));
        var plan = site.plan(folder, 0, ports);
        plan.withObject("/ledger").put("folder", elsewhere.toString());
        FrontEndChild second = site.front(folder, plan, "none", 0);
        assertEquals(answer.body(), second.askOn("before", MODEL).body());
        assertEquals(200, second.askOn("new", MODEL).statusCode());
    }
}
