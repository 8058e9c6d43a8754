package gradereach.rehearsal.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.rehearsal.ChildProcesses;
import gradereach.standins.faults.FaultShim;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(60)
class FrontEndChildProcessTest {
    @TempDir
    private Path folder;

    /** Guards against a soak that is interrupted while a front end starts and leaves it running. */
    @Test
    void interruptedStartLeavesNoProcess() throws Exception {
        Path starting = folder.resolve("starting");
        ChildProcesses processes = new ChildProcesses(0);
        FaultShim shim = FaultShim.compile(folder);
        CompletableFuture<Throwable> ended = new CompletableFuture<>();
        Thread starter = new Thread(() -> {
            try {
                new FrontEndChildProcess(processes, List.of("sh", "-c", "echo $$ > " + starting + ".tmp; mv " + starting + ".tmp "
                        + starting + "; exec sleep 60"), folder.resolve("config.json"), "{}", shim, List.of(), 1);
                ended.complete(null);
            } catch (Exception e) {
                ended.complete(e);
            }
        });
        starter.start();
        while (!Files.exists(starting)) {
            Thread.sleep(5);
        }
        ProcessHandle process = ProcessHandle.of(Long.parseLong(Files.readString(starting).strip())).orElseThrow();
        try {
            starter.interrupt();
            assertTrue(ended.get(20, TimeUnit.SECONDS) instanceof InterruptedException);
            process.onExit().get(20, TimeUnit.SECONDS);
            assertFalse(process.isAlive());
        } finally {
            process.destroyForcibly();
            processes.close();
        }
    }
}
