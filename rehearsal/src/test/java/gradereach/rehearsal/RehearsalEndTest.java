package gradereach.rehearsal;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The end of a rehearsal in which a front end is killed and the process that replaces it never becomes ready. */
@Timeout(120)
class RehearsalEndTest {
    @TempDir
    private Path folder;

    /** Runs the rehearsal of this test in the given folder, as a process that the test can terminate. */
    public static void main(String[] args) throws Exception {
        runRehearsal(Path.of(args[0]));
    }

    private static Auditor.AuditReport runRehearsal(Path folder) throws Exception {
        Path command = folder.resolve("front-end.sh");
        Files.writeString(command, """
                #!/bin/sh
                if mkdir %1$s/started-once; then
                  exec %2$s "$1"
                fi
                echo $$ > %1$s/starting.tmp
                mv %1$s/starting.tmp %1$s/starting
                exec sleep 60
                """.formatted(folder, String.join(" ", Rehearsal.javaCommand("gradereach.serve.FrontEndProcess"))));
        ObjectNode script = (ObjectNode) Rehearsal.loadScript("quick").deepCopy();
        script.put("length_ms", 1500).put("front_ends", 1);
        script.putArray("events").addObject().put("at_ms", 300).put("kind", "kill_front_end").put("fe", 0).put("for_ms", 100);
        return new Rehearsal(script, folder.resolve("run"), List.of("sh", command.toString()),
                new PrintStream(PrintStream.nullOutputStream())).withMaxEventMillis(500).run();
    }

    private ProcessHandle startingProcess() throws Exception {
        return ProcessHandle.of(Long.parseLong(Files.readString(folder.resolve("starting")).strip())).orElse(null);
    }

    private static boolean awaitExit(ProcessHandle process) throws Exception {
        for (int i = 0; i < 500 && process != null && process.isAlive(); i++) {
            Thread.sleep(10);
        }
        return process == null || !process.isAlive();
    }

    @AfterEach
    void killStartingProcess() throws Exception {
        ProcessHandle process = Files.exists(folder.resolve("starting")) ? startingProcess() : null;
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Guards against front ends that outlive the rehearsal, and against a report that hides that the rehearsal was cut short. */
    @Test
    void startingFrontEndStopsWithRehearsalAndReportIsInconclusive() throws Exception {
        Auditor.AuditReport report = runRehearsal(folder);
        assertTrue(awaitExit(startingProcess()));
        assertFalse(report.conclusive(), report.toString());
    }

    /** Guards against a front end that outlives a rehearsal which a signal terminates while the front end starts. */
    @Test
    void startingFrontEndStopsWhenRehearsalIsTerminated() throws Exception {
        Process rehearsal = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                RehearsalEndTest.class.getName(), folder.toString()).redirectErrorStream(true)
                .redirectOutput(folder.resolve("rehearsal.log").toFile()).start();
        try {
            while (rehearsal.isAlive() && !Files.exists(folder.resolve("starting"))) {
                Thread.sleep(5);
            }
            rehearsal.destroy();
            assertTrue(rehearsal.waitFor(60, TimeUnit.SECONDS));
            assertTrue(awaitExit(startingProcess()));
        } finally {
            rehearsal.destroyForcibly();
        }
    }
}
