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
 * Crashes a front end process at each step of an inference, one run a step, restarts it, and repeats the request until the
 * client gets its answer. Executions are counted at the stand-in executors.
 */
@Timeout(240)
class CrashPointsTest {
    private static final int CONCURRENCY = 8;

    @TempDir
    private Path folder;
    private ReservationTestbed testbed;

    @BeforeEach
    void createTestbed() throws Exception {
        testbed = new ReservationTestbed(folder);
    }

    @AfterEach
    void closeTestbed() throws Exception {
        testbed.close();
    }

    /**
     * Every step of an inference with {@code commits} commits to the ledger and one forward. At {@code heard} the test kills
     * the front end once the client has its answer; the other steps are faults of {@link FaultyFrontEnd}.
     */
    private static List<String> crashSteps(int commits) {
        List<String> steps = new ArrayList<>(List.of("forward:1:before", "forward:1:after", "heard"));
        for (int i = 1; i <= commits; i++) {
            steps.addAll(List.of("write:" + i + ":before", "write:" + i + ":torn", "write:" + i + ":after",
                    "force:" + i + ":after"));
        }
        return steps;
    }

    private static <T> void runAll(List<T> cases, int concurrency, java.util.function.Function<T, Callable<Void>> task)
            throws InterruptedException, ExecutionException {
        ExecutorService pool = Executors.newFixedThreadPool(concurrency);
        try {
            List<Future<Void>> running = new ArrayList<>();
            cases.forEach(testCase -> running.add(pool.submit(task.apply(testCase))));
            for (Future<Void> future : running) {
                future.get();
            }
        } finally {
            pool.shutdownNow();
        }
    }

    /**
     * Guards against a reservation that runs twice or gets two answers. A synchronous request commits an intent and an outcome.
     * An asynchronous one commits the acceptance, the intent, and the outcome, which serves both repeats and the webhook
     * delivery.
     */
    @Test
    void reservationRunsOnceWhenFrontEndCrashesAtAnyStep() throws Exception {
        List<String> cases = new ArrayList<>();
        crashSteps(2).forEach(step -> cases.add("sync-" + step));
        crashSteps(3).forEach(step -> cases.add("async-" + step));
        Map<String, String> answers = new java.util.concurrent.ConcurrentHashMap<>();
        runAll(cases, CONCURRENCY, testCase -> () -> {
            String step = testCase.substring(testCase.indexOf('-') + 1);
            boolean async = testCase.startsWith("async");
            Path directory = folder.resolve(testCase.replace(':', '-'));
            FrontEndTestProcess first = testbed.startFrontEnd(directory, testbed.createDeployment(directory, 0, List.of()),
                    step.equals("heard") ? "none" : step, 0);
            HttpResponse<String> firstResponse = first.send(testCase, "book-1", async);
            if (step.equals("heard")) {
                assertEquals(async ? 202 : 200, firstResponse.statusCode(), testCase);
                first.kill();
            }
            assertTrue(first.process.waitFor(20, TimeUnit.SECONDS), testCase + " was not reached");
            assertEquals(FaultyFrontEnd.KILLED_EXIT_CODE, first.process.exitValue(), testCase);
            FrontEndTestProcess second = testbed.startFrontEnd(directory, testbed.createDeployment(directory, 0, List.of()), "none", 0);
            HttpResponse<String> finalResponse = second.sendUntilReturned(testCase, "book-1");
            if (firstResponse != null && firstResponse.statusCode() == 200) {
                assertEquals(firstResponse.body(), finalResponse.body(), testCase);
            }
            answers.put(testCase, finalResponse.body());
            second.kill();
            return null;
        });
        testbed.fleet.close();
        Map<String, List<JsonNode>> executions = testbed.transcriptEvents("ran", "mark");
        for (String testCase : cases) {
            assertEquals(1, executions.getOrDefault("yard/" + testCase, List.of()).size(), testCase);
        }
        // Every delivery of one webhook id has the same body.
        testbed.transcriptEvents("webhook", "id").forEach((id, deliveries) -> {
            Set<String> bodies = new HashSet<>();
            deliveries.forEach(delivery -> bodies.add(delivery.path("body").asText()));
            assertEquals(1, bodies.size(), id);
        });
    }

    /**
     * Three front ends that share claims: the first one crashes at a step, and the repeat goes to another one, which must not
     * execute the reservation again.
     */
    @Test
    void reservationRunsOnceWhenOneOfThreeFrontEndsCrashesAtAnyStep() throws Exception {
        List<String> cases = crashSteps(3);
        runAll(cases, CONCURRENCY / 2, step -> () -> {
            Path directory = folder.resolve("three-" + step.replace(':', '-'));
            List<Integer> ports = ReservationTestbed.freePorts(6);
            FrontEndTestProcess[] frontEnds = new FrontEndTestProcess[3];
            for (int i = 0; i < 3; i++) {
                frontEnds[i] = testbed.startFrontEnd(directory, testbed.createDeployment(directory, i, ports),
                        i == 0 && !step.equals("heard") ? step : "none", 0);
            }
            HttpResponse<String> firstResponse = null;
            if (step.equals("heard")) {
                firstResponse = frontEnds[0].sendUntilReturned("three-" + step, "book-1");
                frontEnds[0].kill();
            } else {
                // Right after their start the peers may not grant claims yet: the request is rejected and sent again.
                do {
                    firstResponse = frontEnds[0].send("three-" + step, "book-1", false);
                } while (firstResponse != null && firstResponse.statusCode() != 200);
                assertTrue(frontEnds[0].process.waitFor(20, TimeUnit.SECONDS), step + " was not reached");
            }
            HttpResponse<String> otherResponse = frontEnds[1].send("three-" + step, "book-1", false);
            assertNotEquals(null, otherResponse);
            frontEnds[0] = testbed.startFrontEnd(directory, testbed.createDeployment(directory, 0, ports), "none", 0);
            String answer = frontEnds[2].sendUntilReturned("three-" + step, "book-1").body();
            assertEquals(answer, frontEnds[0].sendUntilReturned("three-" + step, "book-1").body(), step);
            if (firstResponse != null && firstResponse.statusCode() == 200) {
                assertEquals(firstResponse.body(), answer, step);
            }
            for (FrontEndTestProcess frontEnd : frontEnds) {
                frontEnd.kill();
            }
            return null;
        });
        testbed.fleet.close();
        Map<String, List<JsonNode>> executions = testbed.transcriptEvents("ran", "mark");
        for (String step : cases) {
            assertEquals(1, executions.getOrDefault("yard/three-" + step, List.of()).size(), step);
        }
    }

    /** Guards against two claim replicas that drop a claim early, after a process run in which their clocks were an hour ahead. */
    @Test
    void claimsSurviveWrongReplicaClocks() throws Exception {
        List<Integer> ports = ReservationTestbed.freePorts(6);
        FrontEndTestProcess[] frontEnds = new FrontEndTestProcess[3];
        for (int i = 0; i < 3; i++) {
            frontEnds[i] = testbed.startFrontEnd(folder, testbed.createDeployment(folder, i, ports), "none", 0);
        }
        String answer = frontEnds[0].sendUntilReturned("kept", "book-1").body();
        for (FrontEndTestProcess frontEnd : frontEnds) {
            frontEnd.kill();
        }
        for (long aheadMillis : new long[] {3_600_000, 0}) {
            for (int i = 1; i < 3; i++) {
                frontEnds[i] = testbed.startFrontEnd(folder, testbed.createDeployment(folder, i, ports), "none", aheadMillis);
            }
            frontEnds[1].sendUntilReturned("other-" + aheadMillis, "book-1");
            if (aheadMillis == 0) {
                assertEquals(504, frontEnds[1].send("kept", "book-1", false).statusCode());
                assertEquals(504, frontEnds[2].send("kept", "book-1", false).statusCode());
                frontEnds[0] = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, ports), "none", 0);
                assertEquals(answer, frontEnds[1].sendUntilReturned("kept", "book-1").body());
                frontEnds[0].kill();
            }
            frontEnds[1].kill();
            frontEnds[2].kill();
        }
        testbed.fleet.close();
        assertEquals(1, testbed.transcriptEvents("ran", "mark").get("yard/kept").size());
    }

    /** While the disk is full, inferences that need the ledger are shed and others are answered; afterwards all are answered. */
    @Test
    void fullDiskShedsOnlyInferencesThatNeedTheLedger() throws Exception {
        FrontEndTestProcess frontEnd = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, List.of()), "full:2500", 0);
        assertEquals(503, frontEnd.send("first", "book-1", false).statusCode(), "its intent could not be made durable");
        assertEquals(503, frontEnd.send("second", "book-1", false).statusCode());
        assertEquals(200, frontEnd.send("free", "look-1", false).statusCode());
        assertEquals(200, frontEnd.sendUntilReturned("first", "book-1").statusCode());
        frontEnd.kill();
        FrontEndTestProcess restarted = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, List.of()), "none", 0);
        assertEquals(200, restarted.sendUntilReturned("first", "book-1").statusCode());
        testbed.fleet.close();
        assertEquals(1, testbed.transcriptEvents("ran", "mark").get("yard/first").size());
        assertEquals(null, testbed.transcriptEvents("ran", "mark").get("yard/second"));
    }

    /** Guards against one force for each record: many concurrent requests would not be answered in time on a slow disk. */
    @Test
    void slowDiskCommitsWaitingRecordsTogether() throws Exception {
        FrontEndTestProcess frontEnd = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, List.of()), "slow:50", 0);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            ids.add("slow-" + i);
        }
        runAll(ids, 50, id -> () -> {
            assertEquals(200, frontEnd.send(id, "book-" + id.hashCode() % 4, false).statusCode(), id);
            return null;
        });
        Path ledger = folder.resolve("fe-0.ledger");
        frontEnd.kill();
        int[] records = new int[1];
        gradereach.ledger.disk.LedgerFolder.read(ledger, false, (record, segment) -> records[0]++);
        assertEquals(400, records[0]);
        testbed.fleet.close();
        testbed.transcriptEvents("ran", "mark").forEach((message, runs) -> assertEquals(1, runs.size(), message));
    }

    /** Guards against executing a signed message that is replayed after a restart, as it was or with another body. */
    @Test
    void replayAfterRestartIsNotExecuted() throws Exception {
        FrontEndTestProcess first = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, List.of()), "none", 0);
        String answer = first.sendUntilReturned("once", "book-1").body();
        first.kill();
        FrontEndTestProcess second = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, List.of()), "none", 0);
        for (int i = 0; i < 5; i++) {
            assertEquals(answer, second.send("once", "book-1", false).body());
        }
        assertEquals(409, second.send("once", "book-2", false).statusCode());
        second.kill();
        testbed.fleet.close();
        assertEquals(1, testbed.transcriptEvents("ran", "mark").get("yard/once").size());
    }

    /** Makes a stopped front end believe that {@code millis} have passed, by setting back both clocks stored in its ledger. */
    private void advanceLedgerClock(int frontEnd, long millis) throws IOException {
        Path clock = folder.resolve("fe-" + frontEnd + ".ledger").resolve("clock");
        String[] fields = Files.readString(clock).strip().split(" ");
        for (int index : new int[] {1, 4}) { // uptime, monotonic clock
            fields[index] = Double.toString(Double.parseDouble(fields[index]) - millis);
        }
        Files.writeString(clock, String.join(" ", fields) + "\n");
    }

    /**
     * Guards against executing an old message again. The front end forgets the message for its age and deletes its segment.
     * Then the wall clock is set back, so that the signature is valid again. Eleven minutes pass by the ledger's clock and by
     * the wall clock of the second process run.
     */
    @Test
    void replayAfterClockRollbackIsNotExecuted() throws Exception {
        long elevenMinutesMillis = 660_000;
        FrontEndTestProcess first = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, List.of()), "none", 0);
        long signedAt = System.currentTimeMillis() / 1000;
        HttpResponse<String> answer;
        do {
            answer = first.send("old", "book-1", false, signedAt);
        } while (answer.statusCode() == 503); // no executor was known in time, so it was never forwarded
        assertEquals(200, answer.statusCode());
        first.kill();
        advanceLedgerClock(0, elevenMinutesMillis);
        FrontEndTestProcess second = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, List.of()), "none",
                elevenMinutesMillis);
        second.sendUntilReturned("other", "book-1");
        second.kill();
        FrontEndTestProcess third = testbed.startFrontEnd(folder, testbed.createDeployment(folder, 0, List.of()), "none", 0);
        HttpResponse<String> replayed = third.send("old", "book-1", false, signedAt);
        third.kill();
        testbed.fleet.close();
        assertEquals(1, testbed.transcriptEvents("ran", "mark").get("yard/old").size(),
                "executions; status of the replay: " + replayed.statusCode());
        assertEquals(400, replayed.statusCode());
    }

    /**
     * Guards against a second grant of an old claim. The claim has expired at its replicas, and the owner is down. Then the
     * clocks of the replicas are set back, so that the signature is valid there again.
     */
    @Test
    void expiredClaimIsNotGrantedAgainAfterClockRollback() throws Exception {
        long elevenMinutesMillis = 660_000;
        List<Integer> ports = ReservationTestbed.freePorts(6);
        FrontEndTestProcess[] frontEnds = new FrontEndTestProcess[3];
        for (int i = 0; i < 3; i++) {
            frontEnds[i] = testbed.startFrontEnd(folder, testbed.createDeployment(folder, i, ports), "none", 0);
        }
        long signedAt = System.currentTimeMillis() / 1000;
        assertEquals(200, sendUntilAccepted(frontEnds[0], signedAt).statusCode());
        for (int i = 0; i < 3; i++) {
            frontEnds[i].kill();
            advanceLedgerClock(i, elevenMinutesMillis);
        }
        for (long aheadMillis : new long[] {elevenMinutesMillis, 0}) {
            for (int i = 1; i < 3; i++) {
                frontEnds[i] = testbed.startFrontEnd(folder, testbed.createDeployment(folder, i, ports), "none", aheadMillis);
            }
            if (aheadMillis > 0) {
                frontEnds[1].sendUntilReturned("other", "book-1");
                frontEnds[1].kill();
                frontEnds[2].kill();
            }
        }
        List<Integer> replayStatuses = new ArrayList<>();
        for (int i = 0; i < REPLAYS; i++) {
            replayStatuses.add(frontEnds[1 + i % 2].send("old", "book-1", false, signedAt).statusCode());
        }
        testbed.fleet.close();
        assertEquals(1, testbed.transcriptEvents("ran", "mark").get("yard/old").size(),
                "executions; statuses of the replays: " + replayStatuses);
        assertEquals(java.util.Collections.nCopies(REPLAYS, 504), replayStatuses);
    }

    private static final int REPLAYS = 10;

    /** Repeats a request that is rejected after the start, while peers grant no claims yet or no executors are known. */
    private HttpResponse<String> sendUntilAccepted(FrontEndTestProcess frontEnd, long signedAt) throws InterruptedException {
        HttpResponse<String> answer;
        do {
            answer = frontEnd.send("old", "book-1", false, signedAt);
        } while (answer.statusCode() >= 503);
        return answer;
    }
}
