package gradereach.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Front ends as processes that end at a step of their work, one run for every step there is; then started anew, and
 * asked again until the client has a true word. Executions are counted at the stand-ins.
 */
@Timeout(240)
class CrashPointsTest {
    private static final int CONCURRENCY = 8;

    @TempDir
    private Path folder;
    private ReservationTestbed site;

    @BeforeEach
    void start() throws Exception {
        site = new ReservationTestbed(folder);
    }

    @AfterEach
    void end() throws Exception {
        site.close();
    }

    /** Every step of a path with so many commits and one forward. */
    private static List<String> crashSteps(int commits) {
        List<String> steps = new ArrayList<>(List.of("forward:1:before", "forward:1:after", "heard"));
        for (int i = 1; i <= commits; i++) {
            steps.addAll(List.of("write:" + i + ":before", "write:" + i + ":torn", "write:" + i + ":after",
                    "force:" + i + ":after"));
        }
        return steps;
    }

    private static <T> void runAll(List<T> cases, int atOnce, java.util.function.Function<T, Callable<Void>> run)
            throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(atOnce);
        try {
            List<Future<Void>> running = new ArrayList<>();
            cases.forEach(one -> running.add(pool.submit(run.apply(one))));
            for (Future<Void> one : running) {
                one.get();
            }
        } finally {
            pool.shutdownNow();
        }
    }

    /** An intent and an outcome; a promise, an intent, and an outcome once for who asked and once for the outbox. */
    @Test
    void reservationRunsOnceWhenFrontEndCrashesAtAnyStep() throws Exception {
        List<String> cases = new ArrayList<>();
        crashSteps(2).forEach(step -> cases.add("sync-" + step));
        crashSteps(3).forEach(step -> cases.add("async-" + step));
        Map<String, String> told = new java.util.concurrent.ConcurrentHashMap<>();
        runAll(cases, CONCURRENCY, what -> () -> {
            String step = what.substring(what.indexOf('-') + 1);
            boolean async = what.startsWith("async");
            Path at = folder.resolve(what.replace(':', '-'));
            FrontEndTestProcess first = site.startFrontEnd(at, site.createDeployment(at, 0, List.of()), step.equals("heard") ? "none" : step, 0);
            HttpResponse<String> heard = first.send(what, "book-1", async);
            if (step.equals("heard")) {
                assertEquals(async ? 202 : 200, heard.statusCode(), what);
                first.kill();
            }
            assertTrue(first.process.waitFor(20, TimeUnit.SECONDS), what + " was not reached");
            assertEquals(FaultyFrontEnd.KILLED_EXIT_CODE, first.process.exitValue(), what);
            FrontEndTestProcess second = site.startFrontEnd(at, site.createDeployment(at, 0, List.of()), "none", 0);
            HttpResponse<String> answer = second.sendUntilReturned(what, "book-1");
            if (heard != null && heard.statusCode() == 200) {
                assertEquals(heard.body(), answer.body(), what);
            }
            told.put(what, answer.body());
            second.kill();
            return null;
        });
        site.fleet.close();
        Map<String, List<JsonNode>> ran = site.transcriptEvents("ran", "mark");
        for (String what : cases) {
            assertEquals(1, ran.getOrDefault("yard/" + what, List.of()).size(), what);
        }
        // One content for one id, however often it went out.
        site.transcriptEvents("webhook", "id").forEach((id, sent) -> {
            Set<String> bodies = new HashSet<>();
            sent.forEach(one -> bodies.add(one.path("body").asText()));
            assertEquals(1, bodies.size(), id);
        });
    }

    /** Claims among three: whoever is asked ends at a step; the repeat goes to another, which must not run it anew. */
    @Test
    void reservationRunsOnceWhenOneOfThreeFrontEndsCrashesAtAnyStep() throws Exception {
        List<String> cases = crashSteps(3);
        runAll(cases, CONCURRENCY / 2, step -> () -> {
            Path at = folder.resolve("three-" + step.replace(':', '-'));
            List<Integer> ports = ReservationTestbed.freePorts(6);
            FrontEndTestProcess[] fronts = new FrontEndTestProcess[3];
            for (int i = 0; i < 3; i++) {
                fronts[i] = site.startFrontEnd(at, site.createDeployment(at, i, ports), i == 0 && !step.equals("heard") ? step : "none", 0);
            }
            HttpResponse<String> heard = null;
            if (step.equals("heard")) {
                heard = fronts[0].sendUntilReturned("three-" + step, "book-1");
                fronts[0].kill();
            } else {
                // Its peers may not be up to a claim in their first moment: that is said, and the claim tried anew.
                do {
                    heard = fronts[0].send("three-" + step, "book-1", false);
                } while (heard != null && heard.statusCode() != 200);
                assertTrue(fronts[0].process.waitFor(20, TimeUnit.SECONDS), step + " was not reached");
            }
            HttpResponse<String> elsewhere = fronts[1].send("three-" + step, "book-1", false);
            assertNotEquals(null, elsewhere);
            fronts[0] = site.startFrontEnd(at, site.createDeployment(at, 0, ports), "none", 0);
            String answer = fronts[2].sendUntilReturned("three-" + step, "book-1").body();
            assertEquals(answer, fronts[0].sendUntilReturned("three-" + step, "book-1").body(), step);
            if (heard != null && heard.statusCode() == 200) {
                assertEquals(heard.body(), answer, step);
            }
            for (FrontEndTestProcess front : fronts) {
                front.kill();
            }
            return null;
        });
        site.fleet.close();
        Map<String, List<JsonNode>> ran = site.transcriptEvents("ran", "mark");
        for (String step : cases) {
            assertEquals(1, ran.getOrDefault("yard/three-" + step, List.of()).size(), step);
        }
    }

    /** Two keepers whose clocks are an hour ahead for one life still know whose it was. */
    @Test
    void claimsSurviveWrongReplicaClocks() throws Exception {
        List<Integer> ports = ReservationTestbed.freePorts(6);
        FrontEndTestProcess[] fronts = new FrontEndTestProcess[3];
        for (int i = 0; i < 3; i++) {
            fronts[i] = site.startFrontEnd(folder, site.createDeployment(folder, i, ports), "none", 0);
        }
        String answer = fronts[0].sendUntilReturned("kept", "book-1").body();
        for (FrontEndTestProcess front : fronts) {
            front.kill();
        }
        for (long ahead : new long[] {3_600_000, 0}) {
            for (int i = 1; i < 3; i++) {
                fronts[i] = site.startFrontEnd(folder, site.createDeployment(folder, i, ports), "none", ahead);
            }
            fronts[1].sendUntilReturned("other-" + ahead, "book-1");
            if (ahead == 0) {
                assertEquals(504, fronts[1].send("kept", "book-1", false).statusCode());
                assertEquals(504, fronts[2].send("kept", "book-1", false).statusCode());
                fronts[0] = site.startFrontEnd(folder, site.createDeployment(folder, 0, ports), "none", 0);
                assertEquals(answer, fronts[1].sendUntilReturned("kept", "book-1").body());
                fronts[0].kill();
            }
            fronts[1].kill();
            fronts[2].kill();
        }
        site.fleet.close();
        assertEquals(1, site.transcriptEvents("ran", "mark").get("yard/kept").size());
    }

    /** What needs the ledger is shed while the disk is full, the rest is returned; then all is. */
    @Test
    void fullDiskShedsOnlyInferencesThatNeedTheLedger() throws Exception {
        FrontEndTestProcess front = site.startFrontEnd(folder, site.createDeployment(folder, 0, List.of()), "full:2500", 0);
        assertEquals(503, front.send("first", "book-1", false).statusCode(), "its intent could not be durable");
        assertEquals(503, front.send("second", "book-1", false).statusCode());
        assertEquals(200, front.send("free", "look-1", false).statusCode());
        assertEquals(200, front.sendUntilReturned("first", "book-1").statusCode());
        front.kill();
        FrontEndTestProcess again = site.startFrontEnd(folder, site.createDeployment(folder, 0, List.of()), "none", 0);
        assertEquals(200, again.sendUntilReturned("first", "book-1").statusCode());
        site.fleet.close();
        assertEquals(1, site.transcriptEvents("ran", "mark").get("yard/first").size());
        assertEquals(null, site.transcriptEvents("ran", "mark").get("yard/second"));
    }

    /** One force serves all that waits: many at once take no longer than a few. */
    @Test
    void slowDiskCommitsWaitingRecordsTogether() throws Exception {
        FrontEndTestProcess front = site.startFrontEnd(folder, site.createDeployment(folder, 0, List.of()), "slow:50", 0);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            ids.add("slow-" + i);
        }
        runAll(ids, 50, id -> () -> {
            assertEquals(200, front.send(id, "book-" + id.hashCode() % 4, false).statusCode(), id);
            return null;
        });
        Path ledger = folder.resolve("fe-0.ledger");
        front.kill();
        int[] records = new int[1];
        gradereach.ledger.disk.LedgerFolder.read(ledger, false, (record, segment) -> records[0]++);
        assertEquals(400, records[0]);
        site.fleet.close();
        site.transcriptEvents("ran", "mark").forEach((mark, runs) -> assertEquals(1, runs.size(), mark));
    }

    /** A signature played again after a restart, under the same id with another body, and under another's id. */
    @Test
    void replayAfterRestartIsNotExecuted() throws Exception {
        FrontEndTestProcess first = site.startFrontEnd(folder, site.createDeployment(folder, 0, List.of()), "none", 0);
        String answer = first.sendUntilReturned("once", "book-1").body();
        first.kill();
        FrontEndTestProcess second = site.startFrontEnd(folder, site.createDeployment(folder, 0, List.of()), "none", 0);
        for (int i = 0; i < 5; i++) {
            assertEquals(answer, second.send("once", "book-1", false).body());
        }
        assertEquals(409, second.send("once", "book-2", false).statusCode());
        second.kill();
        site.fleet.close();
        assertEquals(1, site.transcriptEvents("ran", "mark").get("yard/once").size());
    }

    /** The ledger of a front end that is down is told that so much time has passed, by both clocks that it goes by. */
    private void advanceLedgerClock(int frontEnd, long millis) throws IOException {
        Path clock = folder.resolve("fe-" + frontEnd + ".ledger").resolve("clock");
        String[] words = Files.readString(clock).strip().split(" ");
        for (int word : new int[] {1, 4}) { // uptime, monotonic clock
            words[word] = Double.toString(Double.parseDouble(words[word]) - millis);
        }
        Files.writeString(clock, String.join(" ", words) + "\n");
    }

    /**
     * Forgotten for its age, its segment gone; then our clock is set back: its signature would pass again. The ledger's clock
     * is told that eleven minutes have passed, the wall clock of the second life shows it.
     */
    @Test
    void replayAfterClockRollbackIsNotExecuted() throws Exception {
        long elevenMinutes = 660_000;
        FrontEndTestProcess first = site.startFrontEnd(folder, site.createDeployment(folder, 0, List.of()), "none", 0);
        long signedAt = System.currentTimeMillis() / 1000;
        HttpResponse<String> answer;
        do {
            answer = first.send("old", "book-1", false, signedAt);
        } while (answer.statusCode() == 503); // discovery was not heard in its time: it never left
        assertEquals(200, answer.statusCode());
        first.kill();
        advanceLedgerClock(0, elevenMinutes);
        FrontEndTestProcess second = site.startFrontEnd(folder, site.createDeployment(folder, 0, List.of()), "none", elevenMinutes);
        second.sendUntilReturned("other", "book-1");
        second.kill();
        FrontEndTestProcess third = site.startFrontEnd(folder, site.createDeployment(folder, 0, List.of()), "none", 0);
        HttpResponse<String> replayed = third.send("old", "book-1", false, signedAt);
        third.kill();
        site.fleet.close();
        assertEquals(1, site.transcriptEvents("ran", "mark").get("yard/old").size(), "it ran; the replay heard " + replayed.statusCode());
        assertEquals(400, replayed.statusCode());
    }

    /**
     * Keepers have forgotten whose it was, and its holder is away; then their clocks are set back, and its signature would pass
     * again at them.
     */
    @Test
    void expiredClaimIsNotGrantedAgainAfterClockRollback() throws Exception {
        long elevenMinutes = 660_000;
        List<Integer> ports = ReservationTestbed.freePorts(6);
        FrontEndTestProcess[] fronts = new FrontEndTestProcess[3];
        for (int i = 0; i < 3; i++) {
            fronts[i] = site.startFrontEnd(folder, site.createDeployment(folder, i, ports), "none", 0);
        }
        long signedAt = System.currentTimeMillis() / 1000;
        assertEquals(200, sendUntilAccepted(fronts[0], signedAt).statusCode());
        for (int i = 0; i < 3; i++) {
            fronts[i].kill();
            advanceLedgerClock(i, elevenMinutes);
        }
        for (long ahead : new long[] {elevenMinutes, 0}) {
            for (int i = 1; i < 3; i++) {
                fronts[i] = site.startFrontEnd(folder, site.createDeployment(folder, i, ports), "none", ahead);
            }
            if (ahead > 0) {
                fronts[1].sendUntilReturned("other", "book-1");
                fronts[1].kill();
                fronts[2].kill();
            }
        }
        List<Integer> heard = new ArrayList<>();
        for (int i = 0; i < REPLAYS; i++) {
            heard.add(fronts[1 + i % 2].send("old", "book-1", false, signedAt).statusCode());
        }
        site.fleet.close();
        assertEquals(1, site.transcriptEvents("ran", "mark").get("yard/old").size(), "it ran; its replays heard " + heard);
        assertEquals(java.util.Collections.nCopies(REPLAYS, 504), heard);
    }

    private static final int REPLAYS = 10;

    /** Peers may not be up to a claim in their first moment, and discovery is not heard in it: then nothing has left. */
    private HttpResponse<String> sendUntilAccepted(FrontEndTestProcess front, long signedAt) throws InterruptedException {
        HttpResponse<String> answer;
        do {
            answer = front.send("old", "book-1", false, signedAt);
        } while (answer.statusCode() >= 503);
        return answer;
    }
}
