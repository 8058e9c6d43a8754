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

/** Evaluates a rules file over what a receiver has: recorded series go back into it, alerts wait for their {@code for}. */
public final class RuleEvaluator {
    private record Rule(String record, String alert, Expression expression, long forMillis) { }

    /** An alert that fired, and when it first did, milliseconds. */
    public record FiredAlert(String alert, Map<String, String> labels, long firedAt) { }

    private final List<Rule> rules = new ArrayList<>();
    private final long intervalMillis;
    private final Map<String, Map<Map<String, String>, Long>> pendingSince = new HashMap<>();
    private final Map<String, FiredAlert> fired = new LinkedHashMap<>();
    private final SampleStore store;

    /** @param lookback milliseconds: five minutes, or less where rules play fast */
    public RuleEvaluator(String yaml, SampleStore store, long lookback) throws IOException {
        this.store = store;
        JsonNode file = new ObjectMapper(new YAMLFactory()).readTree(yaml);
        long least = Long.MAX_VALUE;
        for (JsonNode group : file.path("groups")) {
            least = Math.min(least, Expression.parseDurationMillis(group.path("interval").asText("1m")));
            for (JsonNode rule : group.path("rules")) {
                rules.add(new Rule(rule.path("record").asText(null), rule.path("alert").asText(null),
                        new Expression(rule.path("expr").asText(), lookback),
                        rule.has("for") ? Expression.parseDurationMillis(rule.path("for").asText()) : 0));
            }
        }
        intervalMillis = least;
    }

    public long intervalMillis() {
        return intervalMillis;
    }

    /** All rules in their order, at one moment. */
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
                long begun = pending.computeIfAbsent(labels, l -> now);
                if (now - begun >= rule.forMillis) {
                    fired.putIfAbsent(rule.alert + labels, new FiredAlert(rule.alert, labels, now));
                }
            });
        }
    }

    public List<FiredAlert> fired() {
        return List.copyOf(fired.values());
    }
}
