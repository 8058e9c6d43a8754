package gradereach.rehearsal.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.rehearsal.ChildProcesses;
import gradereach.standins.faults.FaultShim;
import gradereach.standins.frames.ChangelogServer;
import gradereach.standins.frames.FrameExecutor;
import gradereach.standins.frames.Outage;
import gradereach.standins.frames.PeerEventLoops;
import gradereach.standins.frames.RequestAuditor;
import gradereach.standins.frames.RequestClient;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A front end loses its watch of the change log, an executor drains right after, and its probe answers come up to 4 s late,
 * the last of them still "ready". Guards against requests that are sent to it after the drain grace because of such an answer.
 */
@Timeout(60)
class HeldProbesTest {
    private static final int EXECUTORS = 3;
    private static final int CLIENTS = 6;
    private static final double DRAIN_GRACE_MILLIS = 500;
    private static final long INITIAL_SERVICE_MILLIS = 3000;
    /** Executors are probed at least once a second, so that each gets a probe within this time. */
    private static final long FIRST_PROBE_WAIT_MILLIS = 1500;
    /** Lets the front end notice the broken watch before the drain. */
    private static final long DRAIN_DELAY_MILLIS = 50;
    /** Longer than the protocol's 2 s after a broken watch, the grace and the answer to the last probe together. */
    private static final long SERVICE_AFTER_DRAIN_MILLIS = 5000;
    private static final long FINAL_ANSWERS_WAIT_MILLIS = 2500;

    @TempDir
    private Path folder;

    private String config(ChangelogServer changelog) throws IOException {
        try (InputStream template = Soak.class.getResourceAsStream("front-end.json.template")) {
            return new String(template.readAllBytes(), StandardCharsets.UTF_8).replace("@NAME@", "n0")
                    .replace("@CHANGELOG@", changelog.addresses.get(0)).replace("@KNOWN@", changelog.readableEventsJson());
        }
    }

    private static List<FrameExecutor> executors(PeerEventLoops loops, RequestAuditor auditor, ChangelogServer changelog)
            throws InterruptedException {
        List<FrameExecutor> executors = new ArrayList<>();
        List<String> listed = new ArrayList<>();
        for (int i = 0; i < EXECUTORS; i++) {
            FrameExecutor executor = new FrameExecutor(loops, auditor, "s-" + i, i);
            executors.add(executor);
            listed.add(ChangelogServer.instanceJson(executor.instanceId, executor.address, "ready"));
        }
        changelog.publish(String.join(",", listed), true);
        return executors;
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1200, 2500, 3100, 4000})
    void lateProbeAnswerAllowsNoRequestAfterDrain(long probeDelayMillis) throws Exception {
        try (PeerEventLoops loops = new PeerEventLoops(); ChildProcesses processes = new ChildProcesses(0)) {
            RequestAuditor auditor = new RequestAuditor(DRAIN_GRACE_MILLIS, loops.lagIntervals());
            ChangelogServer changelog = new ChangelogServer(loops);
            List<FrameExecutor> executors = executors(loops, auditor, changelog);
            FrontEndChildProcess frontEnd = new FrontEndChildProcess(processes, SoakTest.frontEndCommand(), folder.resolve("n0.json"),
                    config(changelog),
                    FaultShim.compile(folder), List.of(), 1);
            List<RequestClient> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new RequestClient(loops, auditor, frontEnd.address, i));
            }
            clients.forEach(RequestClient::start);
            Thread.sleep(INITIAL_SERVICE_MILLIS);
            executors.forEach(executor -> executor.setProbeDelay(probeDelayMillis));
            Thread.sleep(FIRST_PROBE_WAIT_MILLIS);
            changelog.startOutage(Outage.BROKEN_OFF);
            Thread.sleep(DRAIN_DELAY_MILLIS);
            FrameExecutor draining = executors.get(1);
            draining.startDraining();
            auditor.executorDraining(draining.instanceId, changelog.deliveredAt(loops.now()));
            Thread.sleep(SERVICE_AFTER_DRAIN_MILLIS);
            clients.forEach(RequestClient::stop);
            double stoppedAt = loops.now();
            Thread.sleep(FINAL_ANSWERS_WAIT_MILLIS);
            frontEnd.close();
            assertEquals(List.of(), auditor.findings(stoppedAt));
            assertTrue(auditor.successRate(time -> true) > 0, "nothing was served");
        }
    }
}
