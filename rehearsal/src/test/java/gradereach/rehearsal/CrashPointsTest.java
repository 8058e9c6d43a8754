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
    private static final int AT_ONCE = 8;

    @TempDir
    private Path folder;
    private ReservationSite site;

    @BeforeEach
    void start() throws Exception {
        site = new ReservationSite(folder);
    }

    @AfterEach
    void end() throws Exception {
        site.close();
    }

    /** Every step of a path with so many commits and one forward. */
    private static List<String> steps(int commits) {
        List<String> steps = new ArrayList<>(List.of("forward:1:before", "forward:1:after", "heard"));
        for (int i = 1; i <= commits; i++) {
            steps.addAll(List.of("write:" + i + ":before", "write:" + i + ":torn", "write:" + i + ":after",
                    "force:" + i + ":after"));
        }
        return steps;
    }

    private static <T> void all(List<T> cases, int atOnce, java.util.function.Function<T, Callable<Void>> run)
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
    void endedAtEveryStepAReservationRunsOnceAndIsToldSo() throws Exception {
        List<String> cases = new ArrayList<>();
        steps(2).forEach(step -> cases.add("sync-" + step));
        steps(3).forEach(step -> cases.add("async-" + step));
        Map<String, String> told = new java.util.concurrent.ConcurrentHashMap<>();
        all(cases, AT_ONCE, what -> () -> {
            String step = what.substring(what.indexOf('-') + 1);
            boolean async = what.startsWith("async");
            Path at = folder.resolve(what.replace(':', '-'));
            FrontEndChild first = site.front(at, site.plan(at, 0, List.of()), step.equals("heard") ? "none" : step, 0);
            HttpResponse<String> heard = first.ask(what, "book-1", async);
            if (step.equals("heard")) {
                assertEquals(async ? 202 : 200, heard.statusCode(), what);
                first.kill();
            }
            assertTrue(first.process.waitFor(20, TimeUnit.SECONDS), what + " was not reached");
            assertEquals(FaultyFrontEnd.KILLED, first.process.exitValue(), what);
            FrontEndChild second = site.front(at, site.plan(at, 0, List.of()), "none", 0);
            HttpResponse<String> answer = second.askOn(what, "book-1");
            if (heard != null && heard.statusCode() == 200) {
                assertEquals(heard.body(), answer.body(), what);
            }
            told.put(what, answer.body());
            second.kill();
            return null;
        });
        site.fleet.close();
        Map<String, List<JsonNode>> ran = site.transcript("ran", "mark");
        for (String what : cases) {
            assertEquals(1, ran.getOrDefault("yard/" + what, List.of()).size(), what);
        }
        // One content for one id, however often it went out.
        site.transcript("webhook", "id").forEach((id, sent) -> {
            Set<String> bodies = new HashSet<>();
            sent.forEach(one -> bodies.add(one.path("body").asText()));
            assertEquals(1, bodies.size(), id);
        });
    }

    /** Claims among three: whoever is asked ends at a step; the repeat goes to another, which must not run it anew. */
    @Test
    void endedAtEveryStepAmongThreeItRunsOnce() throws Exception {
        List<String> cases = steps(3);
        all(cases, AT_ONCE / 2, step -> () -> {
            Path at = folder.resolve("three-" + step.replace(':', '-'));
            List<Integer> ports = ReservationSite.freePorts(6);
            FrontEndChild[] fronts = new FrontEndChild[3];
            for (int i = 0; i < 3; i++) {
                fronts[i] = site.front(at, site.plan(at, i, ports), i == 0 && !step.equals("heard") ? step : "none", 0);
            }
            HttpResponse<String> heard = null;
            if (step.equals("heard")) {
                heard = fronts[0].askOn("three-" + step, "book-1");
                fronts[0].kill();
            } else {
                // Its peers may not be up to a claim in their first moment: that is said, and the claim tried anew.
                do {
                    heard = fronts[0].ask("three-" + step, "book-1", false);
                } while (heard != null && heard.statusCode() != 200);
                assertTrue(fronts[0].process.waitFor(20, TimeUnit.SECONDS), step + " was not reached");
            }
            HttpResponse<String> elsewhere = fronts[1].ask("three-" + step, "book-1", false);
            assertNotEquals(null, elsewhere);
            fronts[0] = site.front(at, site.plan(at, 0, ports), "none", 0);
            String answer = fronts[2].askOn("three-" + step, "book-1").body();
            assertEquals(answer, fronts[0].askOn("three-" + step, "book-1").body(), step);
            if (heard != null && heard.statusCode() == 200) {
                assertEquals(heard.body(), answer, step);
            }
            for (FrontEndChild front : fronts) {
                front.kill();
            }
            return null;
        });
        site.fleet.close();
        Map<String, List<JsonNode>> ran = site.transcript("ran", "mark");
        for (String step : cases) {
            assertEquals(1, ran.getOrDefault("yard/three-" + step, List.of()).size(), step);
        }
    }

    /** Two keepers whose clocks are an hour ahead for one life still know whose it was. */
    @Test
    void whatKeepersHoldOutlastsAWrongClock() throws Exception {
        List<Integer> ports = ReservationSite.freePorts(6);
        FrontEndChild[] fronts = new FrontEndChild[3];
        for (int i = 0; i < 3; i++) {
            fronts[i] = site.front(folder, site.plan(folder, i, ports), "none", 0);
        }
        String answer = fronts[0].askOn("kept", "book-1").body();
        for (FrontEndChild front : fronts) {
            front.kill();
        }
        for (long ahead : new long[] {3_600_000, 0}) {
            for (int i = 1; i < 3; i++) {
                fronts[i] = site.front(folder, site.plan(folder, i, ports), "none", ahead);
            }
            fronts[1].askOn("other-" + ahead, "book-1");
            if (ahead == 0) {
                assertEquals(504, fronts[1].ask("kept", "book-1", false).statusCode());
                assertEquals(504, fronts[2].ask("kept", "book-1", false).statusCode());
                fronts[0] = site.front(folder, site.plan(folder, 0, ports), "none", 0);
                assertEquals(answer, fronts[1].askOn("kept", "book-1").body());
                fronts[0].kill();
            }
            fronts[1].kill();
            fronts[2].kill();
        }
        site.fleet.close();
        assertEquals(1, site.transcript("ran", "mark").get("yard/kept").size());
    }

    /** What needs the ledger is shed while the disk is full, the rest is returned; then all is. */
    @Test
    void aFullDiskShedsWhatNeedsItAndNothingElse() throws Exception {
        FrontEndChild front = site.front(folder, site.plan(folder, 0, List.of()), "full:2500", 0);
        assertEquals(503, front.ask("first", "book-1", false).statusCode(), "its intent could not be durable");
        assertEquals(503, front.ask("second", "book-1", false).statusCode());
        assertEquals(200, front.ask("free", "look-1", false).statusCode());
        assertEquals(200, front.askOn("first", "book-1").statusCode());
        front.kill();
        FrontEndChild again = site.front(folder, site.plan(folder, 0, List.of()), "none", 0);
        assertEquals(200, again.askOn("first", "book-1").statusCode());
        site.fleet.close();
        assertEquals(1, site.transcript("ran", "mark").get("yard/first").size());
        assertEquals(null, site.transcript("ran", "mark").get("yard/second"));
    }

    /** One force serves all that waits: many at once take no longer than a few. */
    @Test
    void aSlowDiskIsSharedByAllThatWait() throws Exception {
        FrontEndChild front = site.front(folder, site.plan(folder, 0, List.of()), "slow:50", 0);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            ids.add("slow-" + i);
        }
        all(ids, 50, id -> () -> {
            assertEquals(200, front.ask(id, "book-" + id.hashCode() % 4, false).statusCode(), id);
            return null;
        });
        Path ledger = folder.resolve("fe-0.ledger");
        front.kill();
        int[] records = new int[1];
        gradereach.ledger.disk.LedgerFolder.read(ledger, false, (record, segment) -> records[0]++);
        assertEquals(400, records[0]);
        site.fleet.close();
        site.transcript("ran", "mark").forEach((mark, runs) -> assertEquals(1, runs.size(), mark));
    }

    /** A signature played again after a restart, under the same id with another body, and under another's id. */
    @Test
    void aReplayAfterARestartRunsNothing() throws Exception {
        FrontEndChild first = site.front(folder, site.plan(folder, 0, List.of()), "none", 0);
        String answer = first.askOn("once", "book-1").body();
        first.kill();
        FrontEndChild second = site.front(folder, site.plan(folder, 0, List.of()), "none", 0);
        for (int i = 0; i < 5; i++) {
            assertEquals(answer, second.ask("once", "book-1", false).body());
        }
        assertEquals(409, second.ask("once", "book-2", false).statusCode());
        second.kill();
        site.fleet.close();
        assertEquals(1, site.transcript("ran", "mark").get("yard/once").size());
    }

    /** The ledger of a front end that is down is told that so much time has passed, by both clocks that it goes by. */
    private void passes(int frontEnd, long millis) throws IOException {
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
    void aReplayBehindAClockThatWasSetBackRunsNothing() throws Exception {
        long elevenMinutes = 660_000;
        FrontEndChild first = site.front(folder, site.plan(folder, 0, List.of()), "none", 0);
        long signedAt = System.currentTimeMillis() / 1000;
        HttpResponse<String> answer;
        do {
            answer = first.ask("old", "book-1", false, signedAt);
        } while (answer.statusCode() == 503); // discovery was not heard in its time: it never left
        assertEquals(200, answer.statusCode());
        first.kill();
        passes(0, elevenMinutes);
        FrontEndChild second = site.front(folder, site.plan(folder, 0, List.of()), "none", elevenMinutes);
        second.askOn("other", "book-1");
        second.kill();
        FrontEndChild third = site.front(folder, site.plan(folder, 0, List.of()), "none", 0);
        HttpResponse<String> replayed = third.ask("old", "book-1", false, signedAt);
        third.kill();
        site.fleet.close();
        assertEquals(1, site.transcript("ran", "mark").get("yard/old").size(), "it ran; the replay heard " + replayed.statusCode());
        assertEquals(400, replayed.statusCode());
    }

    /**
     * Keepers have forgotten whose it was, and its holder is away; then their clocks are set back, and its signature would pass
     * again at them.
     */
    @Test
    void whatKeepersForgotIsNotTakenAnew() throws Exception {
        long elevenMinutes = 660_000;
        List<Integer> ports = ReservationSite.freePorts(6);
        FrontEndChild[] fronts = new FrontEndChild[3];
        for (int i = 0; i < 3; i++) {
            fronts[i] = site.front(folder, site.plan(folder, i, ports), "none", 0);
        }
        long signedAt = System.currentTimeMillis() / 1000;
        assertEquals(200, askUntilAnswered(fronts[0], signedAt).statusCode());
        for (int i = 0; i < 3; i++) {
            fronts[i].kill();
            passes(i, elevenMinutes);
        }
        for (long ahead : new long[] {elevenMinutes, 0}) {
            for (int i = 1; i < 3; i++) {
                fronts[i] = site.front(folder, site.plan(folder, i, ports), "none", ahead);
            }
            if (ahead > 0) {
                fronts[1].askOn("other", "book-1");
                fronts[1].kill();
                fronts[2].kill();
            }
        }
        List<Integer> heard = new ArrayList<>();
        for (int i = 0; i < REPLAYS; i++) {
            heard.add(fronts[1 + i % 2].ask("old", "book-1", false, signedAt).statusCode());
        }
        site.fleet.close();
        assertEquals(1, site.transcript("ran", "mark").get("yard/old").size(), "it ran; its replays heard " + heard);
        assertEquals(java.util.Collections.nCopies(REPLAYS, 504), heard);
    }

    private static final int REPLAYS = 10;

    /** Peers may not be up to a claim in their first moment, and discovery is not heard in it: then nothing has left. */
    private HttpResponse<String> askUntilAnswered(FrontEndChild front, long signedAt) throws InterruptedException {
        HttpResponse<String> answer;
        do {
            answer = front.ask("old", "book-1", false, signedAt);
        } while (answer.statusCode() >= 503);
        return answer;
    }
}
