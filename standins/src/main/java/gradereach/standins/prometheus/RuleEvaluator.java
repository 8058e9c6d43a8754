package gradereach.standins.prometheus;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Evaluates a Prometheus rules file over the samples of a store. Recorded series are added to the store, and an alert fires once
 * it has been pending for its {@code for} duration.
 */
public final class RuleEvaluator {
    /**
     * A recording rule or an alert.
     *
     * @param record name of the recorded series; null for an alert
     * @param alert name of the alert; null for a recording rule
     * @param forMillis how long an alert is pending before it fires
     */
    private record Rule(String record, String alert, Expression expression, long forMillis) { }

    /** An alert, with the time in milliseconds at which it first fired. */
    public record FiredAlert(String alert, Map<String, String> labels, long firedAt) { }

    private final List<Rule> rules = new ArrayList<>();
    private final long intervalMillis;
    /** Time since which each alert is pending, by the name of the alert and by labels. */
    private final Map<String, Map<Map<String, String>, Long>> pendingSince = new HashMap<>();
    private final Map<String, FiredAlert> firedAlerts = new LinkedHashMap<>();
    private final SampleStore store;

    /**
     * Parses the rules.
     *
     * @param yaml text of the rules file
     * @param lookbackMillis maximum age of a sample in instant selectors: five minutes, or less if all durations of the rules are
     *        scaled down
     */
    public RuleEvaluator(String yaml, SampleStore store, long lookbackMillis) throws IOException {
        this.store = store;
        JsonNode file = new ObjectMapper(new YAMLFactory()).readTree(yaml);
        long minIntervalMillis = Long.MAX_VALUE;
        for (JsonNode group : file.path("groups")) {
            minIntervalMillis = Math.min(minIntervalMillis, Expression.parseDurationMillis(group.path("interval").asText("1m")));
            for (JsonNode rule : group.path("rules")) {
                rules.add(new Rule(rule.path("record").asText(null), rule.path("alert").asText(null),
                        new Expression(rule.path("expr").asText(), lookbackMillis),
                        rule.has("for") ? Expression.parseDurationMillis(rule.path("for").asText()) : 0));
            }
        }
        intervalMillis = minIntervalMillis;
    }

    /** The shortest evaluation interval of the rule groups. */
    public long intervalMillis() {
        return intervalMillis;
    }

    /** Evaluates all rules in their order for the time {@code now}. */
    public void evaluate(long now) {
        for (Rule rule : rules) {
            Map<Map<String, String>, Double> result = rule.expression.evaluate(store, now);
            if (rule.record != null) {
                result.forEach((labels, value) -> {
                    Map<String, String> named = new TreeMap<>(labels);
                    named.put("__name__", rule.record);
                    store.add(named, now, value);
                });
                continue;
            }
            Map<Map<String, String>, Long> pending = pendingSince.computeIfAbsent(rule.alert, a -> new HashMap<>());
            pending.keySet().retainAll(result.keySet());
            result.keySet().forEach(labels -> {
                long pendingFrom = pending.computeIfAbsent(labels, l -> now);
                if (now - pendingFrom >= rule.forMillis) {
                    firedAlerts.putIfAbsent(rule.alert + labels, new FiredAlert(rule.alert, labels, now));
                }
            });
        }
    }

    /** All alerts that fired so far, in the order of their first firing. */
    public List<FiredAlert> firedAlerts() {
        return List.copyOf(firedAlerts.values());
    }
}
