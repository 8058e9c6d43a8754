package gradereach.cli;

import gradereach.rehearsal.Rehearsal;
import gradereach.rehearsal.soak.Soak;
import gradereach.rehearsal.soak.SoakFault;
import gradereach.rehearsal.soak.SoakPlan;
import gradereach.rehearsal.soak.SoakReport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs soak tests, one seed after the other. */
@Command(name = "soak", mixinStandardHelpOptions = true,
        description = "Play front ends of the platform's form under drawn faults of peers, signals and system calls.",
        footer = {"", "Exits with 0 only when no rule was broken and nothing crashed; with 3 where that is so and not all can be told. "
            + "Needs a C compiler (cc)."})
final class SoakCommand implements Callable<Integer> {
    private static final String FRONT_END_CLASS = "gradereach.platform.serve.PlatformProcess";

    @Option(names = "--seed", defaultValue = "1", description = "the first one (${DEFAULT-VALUE})")
    private long seed;
    @Option(names = "--seeds", defaultValue = "1", description = "how many in a row (${DEFAULT-VALUE})")
    private int seeds;
    @Option(names = "--seconds", defaultValue = "40", description = "of each soak (${DEFAULT-VALUE})")
    private int seconds;
    @Option(names = "--nodes", defaultValue = "3", description = "front ends at once (${DEFAULT-VALUE})")
    private int nodes;
    @Option(names = "--only", split = ",", description = "troubles to play: ${COMPLETION-CANDIDATES}")
    private List<SoakFault> only;
    @Option(names = "--without", split = ",", description = "troubles to leave out")
    private List<SoakFault> without;
    @Option(names = "--reduce", description = "cut a failing seed down: leave out each trouble without which it still fails")
    private boolean reduce;
    @Option(names = "--logs", description = "print what the front ends printed, where a seed fails")
    private boolean logs;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (seconds < 1 || nodes < 1 || seeds < 1) {
            System.err.println("--seconds, --nodes and --seeds: at least 1");
            return 2;
        }
        Set<SoakFault> faults = only == null ? EnumSet.allOf(SoakFault.class) : EnumSet.copyOf(only);
        if (without != null) {
            faults.removeAll(without);
        }
        if (faults.isEmpty()) {
            System.err.println("--only, --without: nothing is left to be played");
            return 2;
        }
        boolean failed = false;
        boolean conclusive = true;
        for (long currentSeed = seed; currentSeed < seed + seeds; currentSeed++) {
            SoakReport report = runSoak(currentSeed, faults);
            conclusive &= report.conclusive();
            if (!report.passed() && report.conclusive()) {
                failed = true;
                if (reduce) {
                    reduce(currentSeed, faults);
                }
            }
        }
        System.out.println(failed ? "FAIL" : conclusive ? "PASS" : "VOID");
        return failed ? 1 : conclusive ? 0 : Main.EXIT_INCONCLUSIVE;
    }

    private SoakReport runSoak(long seed, Set<SoakFault> faults) throws IOException, InterruptedException {
        SoakPlan plan = new SoakPlan(seed, seconds, nodes, faults, Rehearsal.javaCommand(FRONT_END_CLASS));
        try (Soak soak = new Soak(plan, Files.createTempDirectory("soak"))) {
            SoakReport report = soak.run();
            System.out.println("seed " + seed + ": " + report);
            if (logs && !report.passed()) {
                soak.logs().forEach((name, lines) -> lines.forEach(line -> System.out.println(name + " " + line)));
            }
            return report;
        }
    }

    private void reduce(long seed, Set<SoakFault> faults) throws IOException, InterruptedException {
        Set<SoakFault> needed = EnumSet.copyOf(faults);
        for (SoakFault fault : faults) {
            Set<SoakFault> fewer = EnumSet.copyOf(needed);
            fewer.remove(fault);
            SoakReport report = fewer.isEmpty() ? null : runSoak(seed, fewer);
            if (report != null && report.conclusive() && !report.passed()) {
                needed = fewer;
            }
        }
        System.out.println("seed " + seed + " still fails with --only " + needed.stream().map(Enum::name)
                .reduce((a, b) -> a + "," + b).orElse(""));
    }
}
