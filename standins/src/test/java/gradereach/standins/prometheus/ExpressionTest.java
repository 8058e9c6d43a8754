package gradereach.standins.prometheus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.alerts.AlertRuleFile;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the PromQL evaluation, and the shipped alert rules against simulated faults. */
class ExpressionTest {
    private final SampleStore store = new SampleStore();

    ExpressionTest() {
        for (int i = 0; i <= 60; i++) {
            long timestamp = 1_000_000 + i * 5000L;
            store.add(Map.of("__name__", "c", "g", "a"), timestamp, i * 5);
            store.add(Map.of("__name__", "c", "g", "b"), timestamp, i <= 30 ? i : i - 30); // counter reset in the middle
            store.add(Map.of("__name__", "v", "g", "a"), timestamp, 7);
        }
        store.add(Map.of("__name__", "gone", "g", "a"), 1_300_000, 1);
        store.add(Map.of("__name__", "gone", "g", "a"), 1_300_001, Double.longBitsToDouble(SampleStore.STALE_MARKER_BITS));
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "rate(c{g=\"a\"}[1m]) | {g=a}=1.0", "increase(c{g=\"a\"}[1m]) | {g=a}=60.0", "sum by (g) (rate(c{g=\"a\"}[1m])) | {g=a}=1.0",
        "sum(v) + 1 | {}=8.0", "v > 6 | {g=a}=7.0", "v > 7 | ", "v{g!=\"a\"} | ", "absent(none) | {}=1.0", "absent(v) | ",
        "absent(gone) | {}=1.0", "v and on (g) c > 299 | {g=a}=7.0", "v and on (g) c > 300 | ", "1 - v / 14 | {g=a}=0.5",
        "max by (g) (c) == 300 | {g=a}=300.0", "(v + v) * 2 | {g=a}=28.0", "rate(c{g=\"b\"}[5m]) > 0.19 and v | ",
    })
    void evaluatesAsDocumented(String text, String result) {
        Map<Map<String, String>, Double> value = new Expression(text, 300_000).evaluate(store, 1_300_000 + (text.contains("gone") ? 1 : 0));
        StringBuilder formatted = new StringBuilder();
        value.forEach((labels, sample) -> formatted.append(labels).append('=').append(Math.round(sample * 1e6) / 1e6));
        assertEquals(result == null ? "" : result, formatted.toString());
    }

    @Test
    void rateHandlesCounterReset() {
        double rate = new Expression("rate(c{g=\"b\"}[5m])", 300_000).evaluate(store, 1_300_000).get(Map.of("g", "b"));
        assertEquals(0.2, rate, 0.01);
    }

    @ParameterizedTest
    @ValueSource(strings = {"histogram_quantile(0.9, c)", "rate(c)", "c[5m]", "c{g=~\"a\"}", "sum without (g) (c)", "c > bool 1", "(c",
        "c c",
        "c offset 5m", "-c"})
    void unsupportedSyntaxIsRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> new Expression(text, 300_000));
    }

    /** The shipped rules can be parsed; a healthy fleet fires no alert, and each fault fires the alerts listed for it. */
    @ParameterizedTest
    @CsvSource({"well, ", "shed, GradereachServiceFastBurn GradereachServiceSlowBurn GradereachSheds",
        "failed, GradereachFails GradereachServiceFastBurn GradereachServiceSlowBurn",
        "late, GradereachServiceFastBurn GradereachServiceSlowBurn", "silent, GradereachSilent",
        "roster, GradereachRosterOld", "store, GradereachStoreSlow",
        "ledger, GradereachLedgerFails", "outbox, GradereachOutboxStuck", "limit, GradereachLimitNear", "module, GradereachModuleFailed"})
    void eachFaultFiresItsAlert(String fault, String alerts) throws Exception {
        SampleStore samples = new SampleStore();
        RuleEvaluator rules = new RuleEvaluator(
                new AlertRuleFile(Map.of("lookup", 0.99), 2000, 60_000, "docs/alerts.md").toYaml(), samples, 300_000);
        double[] totals = new double[10];
        for (long t = 0; t <= 90 * 60_000; t += 15_000) {
            long now = 1_000_000_000 + t;
            boolean faultActive = t > 60 * 60_000;
            if (fault.equals("silent") && faultActive) {
                rules.evaluate(now);
                continue;
            }
            String state = faultActive ? fault : "well";
            totals[0] += 100;
            totals[1] += state.equals("shed") || state.equals("failed") || state.equals("late") ? 20 : 99;
            totals[2] += state.equals("shed") ? 80 : 1;
            totals[3] += state.equals("failed") ? 80 : 0;
            totals[4] += 2;
            totals[5] += state.equals("store") ? 20_000 : 600;
            totals[6] += state.equals("roster") ? 1 : 0;
            totals[7] += state.equals("ledger") ? 1 : 0;
            totals[8] += state.equals("outbox") ? 0 : 1;
            totals[9] += state.equals("module") ? 1 : 0;
            addCounter(samples, now, "gradereach_group_inferences", totals[0], "group", "lookup");
            addCounter(samples, now, "gradereach_group_value_asked", totals[0], "group", "lookup");
            addCounter(samples, now, "gradereach_group_value_in_slo", totals[1], "group", "lookup");
            addCounter(samples, now, "gradereach_group_inferences_ended", totals[2], "group", "lookup", "outcome", "shed");
            addCounter(samples, now, "gradereach_group_inferences_ended", totals[3], "group", "lookup", "outcome", "failed");
            addCounter(samples, now, "gradereach_load_orders_sent", totals[4]);
            addCounter(samples, now, "gradereach_load_orders_milliseconds", totals[5]);
            addCounter(samples, now, "gradereach_inferences_taken", totals[0]);
            addCounter(samples, now, "gradereach_roster_failures", totals[6]);
            addCounter(samples, now, "gradereach_shed_for_the_ledger", totals[7]);
            addCounter(samples, now, "gradereach_answers_delivered", totals[8]);
            addCounter(samples, now, "gradereach_module_failures", totals[9]);
            samples.add(Map.of("__name__", "gradereach_limit_present", "instance", "fe", "limit", "answers_in_outbox"), now, 3);
            samples.add(Map.of("__name__", "gradereach_limit_present", "instance", "fe", "limit", "inferences_held"), now,
                    state.equals("limit") ? 90 : 10);
            samples.add(Map.of("__name__", "gradereach_limit_bound", "instance", "fe", "limit", "inferences_held"), now, 100);
            rules.evaluate(now);
        }
        List<String> fired = rules.firedAlerts().stream().map(RuleEvaluator.FiredAlert::alert).distinct().sorted().toList();
        assertEquals(alerts == null ? "" : alerts, String.join(" ", fired));
        assertTrue(rules.firedAlerts().stream().allMatch(alert -> alert.firedAt() > 1_000_000_000 + 60 * 60_000), "fired before its fault");
    }

    private static void addCounter(SampleStore store, long now, String name, double value, String... labels) {
        Map<String, String> allLabels = new java.util.HashMap<>(Map.of("__name__", name + "_total", "instance", "fe"));
        for (int i = 0; i < labels.length; i += 2) {
            allLabels.put(labels[i], labels[i + 1]);
        }
        store.add(allLabels, now, value);
    }
}
