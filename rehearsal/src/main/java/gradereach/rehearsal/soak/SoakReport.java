package gradereach.rehearsal.soak;

import gradereach.standins.frames.RequestAuditor.Allowance;
import gradereach.standins.frames.RequestAuditor.Finding;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * What came of a soak.
 *
 * @param requests asked in all
 * @param served the share of them that was answered with success, of those asked while the change log was within reach
 * @param servedInOutages the same of those asked while it was not; NaN without an outage
 * @param breaches of the rules, as the peers saw them
 * @param undecided what may be one, and may be none: the peers were late when they dated it
 * @param allowed what looked like a breach and was none, by what system calls show
 * @param crashes front ends that did not start, or ended when nobody had told them to
 * @param played how often each trouble was met; of system calls, each failed one counts
 * @param systemFaults what each front end's system calls were to meet, by its address
 * @param peersLate by how many milliseconds the peers were late themselves at worst: times are wrong by as much
 * @param coldLoad the most that an executor that had just started had to take, as a share of what makes it fall
 * @param misses requests that came to a new process for what it had not loaded, by what was told of it
 * @param history when executors drained, were taken over or answered late, and when the change log was out of reach
 */
public record SoakReport(int requests, double successRate, double outageSuccessRate, List<Finding> violations, List<Finding> inconclusive,
        Map<Allowance, Integer> excused, List<String> crashes, Map<SoakFault, Long> faultCounts, Map<String, String> systemFaults, double peerLagMillis,
        double coldStartLoad, Map<String, Integer> misses, List<String> history) {
    private static final int MAX_SHOWN_PER_KIND = 5;

    /** Whether all rules were kept as far as can be told, all can be told, and no front end crashed. */
    public boolean passed() {
        return conclusive() && violations.isEmpty() && crashes.isEmpty();
    }

    /** Whether it counts: it shows a fault, or nothing stood in the way of seeing one. */
    public boolean conclusive() {
        return inconclusive.isEmpty() || !violations.isEmpty() || !crashes.isEmpty();
    }

    /** One line, and one for each of the first breaches of a kind. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("%d requests, served %.3f, in outages %.3f, %d breaches %s, %d undecided, allowed %s, %d crashes, cold load %.2f, misses %s, peers late by %.0f ms; played %s".formatted(
                requests, successRate, outageSuccessRate, violations.size(), violations.stream().collect(Collectors.groupingBy(Finding::violation,
                        TreeMap::new, Collectors.counting())), inconclusive.size(), excused, crashes.size(), coldStartLoad, misses, peerLagMillis, faultCounts));
        crashes.forEach(crash -> text.append("\n  crash: ").append(crash));
        violations.stream().collect(Collectors.groupingBy(Finding::violation, TreeMap::new, Collectors.toList()))
                .forEach((breach, found) -> found.stream().limit(MAX_SHOWN_PER_KIND)
                        .forEach(finding -> text.append("\n  ").append(breach).append(' ').append(finding.description())));
        inconclusive.stream().limit(MAX_SHOWN_PER_KIND).forEach(finding -> text.append("\n  not decided, the peers were late: ")
                .append(finding.violation()).append(' ').append(finding.description()));
        if (!passed()) {
            history.forEach(event -> text.append("\n  at ").append(event));
            systemFaults.forEach((frontEnd, faults) -> text.append("\n  system calls of ").append(frontEnd).append(": ")
                    .append(faults));
        }
        return text.toString();
    }
}
