package gradereach.rehearsal.soak;

import gradereach.standins.frames.RequestAuditor.Allowance;
import gradereach.standins.frames.RequestAuditor.Finding;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The result of a soak. Its peers are the scripted clients, executors and change log that the front ends are connected to.
 *
 * @param requests number of requests sent
 * @param successRate share of successful answers among the requests sent while the change log was available
 * @param outageSuccessRate the same for the requests sent while it was not; NaN without an outage
 * @param violations of the rules, as the peers observed them
 * @param inconclusiveFindings possible violations that cannot be decided, as the peers were late when they recorded the times
 * @param excused how often the recorded system calls showed that a seeming violation was none, by the reason
 * @param crashes front ends that did not start or exited without having been stopped, and failures of the soak itself
 * @param faultCounts how often each fault took effect; each failed system call counts
 * @param systemFaults the system call faults configured for each front end, by its address
 * @param peerLagMillis the longest delay of the peers themselves; recorded times may be wrong by as much
 * @param coldStartLoad the highest load of an executor that had just started, as a share of what makes it collapse
 * @param misses requests that reached a new process for a model it had not loaded, by how the takeover was announced
 * @param history when executors drained, were taken over or answered late, and when the change log was unavailable
 */
public record SoakReport(int requests, double successRate, double outageSuccessRate, List<Finding> violations,
        List<Finding> inconclusiveFindings, Map<Allowance, Integer> excused, List<String> crashes, Map<SoakFault, Long> faultCounts,
        Map<String, String> systemFaults, double peerLagMillis, double coldStartLoad, Map<String, Integer> misses, List<String> history) {
    /** Limit for each kind of violation, and for all inconclusive findings together. */
    private static final int MAX_SHOWN = 5;

    /** Whether the soak was conclusive, no rule was violated, and no front end crashed. */
    public boolean passed() {
        return conclusive() && violations.isEmpty() && crashes.isEmpty();
    }

    /** Whether the soak shows a violation or a crash, or would have shown one. */
    public boolean conclusive() {
        return inconclusiveFindings.isEmpty() || !violations.isEmpty() || !crashes.isEmpty();
    }

    /**
     * A summary line, then a line for each crash, for the first violations of each kind and for the first inconclusive findings.
     * If the soak did not pass, the history and the system call faults follow.
     */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(("%d requests, served %.3f, in outages %.3f, %d breaches %s, %d undecided, allowed %s, "
                + "%d crashes, cold load %.2f, misses %s, peers late by %.0f ms; played %s").formatted(
                requests, successRate, outageSuccessRate, violations.size(), violations.stream().collect(Collectors.groupingBy(
                        Finding::violation, TreeMap::new, Collectors.counting())), inconclusiveFindings.size(), excused, crashes.size(),
                coldStartLoad, misses, peerLagMillis, faultCounts));
        crashes.forEach(crash -> text.append("\n  crash: ").append(crash));
        violations.stream().collect(Collectors.groupingBy(Finding::violation, TreeMap::new, Collectors.toList()))
                .forEach((violation, findings) -> findings.stream().limit(MAX_SHOWN)
                        .forEach(finding -> text.append("\n  ").append(violation).append(' ').append(finding.description())));
        inconclusiveFindings.stream().limit(MAX_SHOWN).forEach(finding -> text.append("\n  not decided, the peers were late: ")
                .append(finding.violation()).append(' ').append(finding.description()));
        if (!passed()) {
            history.forEach(event -> text.append("\n  at ").append(event));
            systemFaults.forEach((frontEnd, faults) -> text.append("\n  system calls of ").append(frontEnd).append(": ")
                    .append(faults));
        }
        return text.toString();
    }
}
