package gradereach.rehearsal.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Soaks with front ends as processes that get the JVM options of the deploy file. The build runs fixed seeds; {@code
 * gradereach rehearse soak} runs others. As a soak depends on real time, a fault that it finds gets a deterministic test of its
 * own.
 */
@Timeout(180)
class SoakTest {
    private static final Path OPTIONS = Path.of("..", "deploy", "platform.jvm");
    private static final int SECONDS = 30;
    private static final int FRONT_ENDS = 3;
    /** The success rate during an outage, as a share of the rate otherwise, must be at least this. */
    private static final double MIN_OUTAGE_SUCCESS_SHARE = 0.85;

    @TempDir
    private Path folder;

    static List<String> frontEndCommand() throws IOException {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        for (String option : Files.readAllLines(OPTIONS)) {
            if (option.startsWith("-X") || option.startsWith("-D")) {
                command.add(option);
            }
        }
        command.addAll(List.of("-cp", System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                "gradereach.platform.serve.PlatformProcess"));
        return command;
    }

    private SoakReport runSoak(long seed, Set<SoakFault> faults) throws Exception {
        try (Soak soak = new Soak(new SoakPlan(seed, SECONDS, FRONT_ENDS, faults, frontEndCommand()), folder)) {
            SoakReport report = soak.run();
            System.out.println("seed " + seed + ": " + report);
            return report;
        }
    }

    @Test
    void noRuleIsBrokenUnderAnyTrouble() throws Exception {
        SoakReport report = runSoak(1, EnumSet.allOf(SoakFault.class));
        assertTrue(report.passed(), report::toString);
    }

    /**
     * Guards against front ends that stop serving while the change log is unavailable, although executors drain meanwhile
     * (incident 1c4c95).
     */
    @Test
    void servesWhileChangelogIsUnavailable() throws Exception {
        SoakReport report = runSoak(2, EnumSet.of(SoakFault.OUTAGE, SoakFault.DRAIN, SoakFault.STANDSTILL, SoakFault.TERMINATION,
                SoakFault.RESET));
        assertTrue(report.passed(), report::toString);
        assertTrue(report.outageSuccessRate() >= MIN_OUTAGE_SUCCESS_SHARE * report.successRate(), report::toString);
    }
}
