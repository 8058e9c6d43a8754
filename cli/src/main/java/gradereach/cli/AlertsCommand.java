package gradereach.cli;

import gradereach.alerts.AlertRuleFile;
import gradereach.plan.Deployment;
import gradereach.plan.InvalidDeploymentException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints and checks the Prometheus rules file of a deployment. */
@Command(name = "alerts", mixinStandardHelpOptions = true, description = "Alert rules for a deployment's objectives (docs/alerts.md).")
final class AlertsCommand {
    private static final double MILLIS_PER_MINUTE = 60_000;

    @Option(names = "--page", defaultValue = "docs/alerts.md", scope = picocli.CommandLine.ScopeType.INHERIT,
            description = "where the operators' page is served: alerts link to it (${DEFAULT-VALUE})")
    private String page;

    /** Returns the text of the rules file. */
    private String ruleFileFor(Path file) throws InvalidDeploymentException {
        Deployment deployment = Deployment.read(file);
        return new AlertRuleFile(deployment.objectives(), AlertRuleFile.SLOW_LOAD_FACTOR * deployment.maxLoadMillis(),
                MILLIS_PER_MINUTE, page).toYaml();
    }

    @Command(name = "print", mixinStandardHelpOptions = true, description = "Print the rules file.")
    int print(@Parameters(paramLabel = "FILE") Path file) {
        try {
            System.out.print(ruleFileFor(file));
            return 0;
        } catch (InvalidDeploymentException e) {
            e.errors().forEach(System.err::println);
            return 2;
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Say whether a rules file is the one for a deployment.")
    int check(@Parameters(paramLabel = "FILE") Path file, @Parameters(paramLabel = "RULES") Path rules) throws IOException {
        try {
            String expected = ruleFileFor(file);
            if (!Files.isReadable(rules)) {
                System.err.println(rules + ": cannot be read");
                return 2;
            }
            String[] actualLines = Files.readString(rules).split("\n", -1);
            String[] expectedLines = expected.split("\n", -1);
            for (int i = 0; i < Math.max(actualLines.length, expectedLines.length); i++) {
                if (i >= actualLines.length || i >= expectedLines.length || !actualLines[i].equals(expectedLines[i])) {
                    System.out.println(rules + ":" + (i + 1) + ": differs from what " + file + " gives: "
                            + (i < expectedLines.length ? expectedLines[i].strip() : "no more lines"));
                    return 1;
                }
            }
            System.out.println(rules + ": good");
            return 0;
        } catch (InvalidDeploymentException e) {
            e.errors().forEach(System.err::println);
            return 2;
        }
    }
}
