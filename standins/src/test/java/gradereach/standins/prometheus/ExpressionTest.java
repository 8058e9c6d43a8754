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

class ExpressionTest {
    private final SampleStore store = new SampleStore();

    ExpressionTest() {
        for (int i = 0; i <= 60; i++) {
            long at = 1_000_000 + i * 5000L;
            store.add(Map.of("__name__", "c", "g", "a"), at, i * 5);
            store.add(Map.of("__name__", "c", "g", "b"), at, i <= 30 ? i : i - 30); // starts anew in the middle
            store.add(Map.of("__name__", "v", "g", "a"), at, 7);
        }
        store.add(Map.of("__name__", "gone", "g", "a"), 1_300_000, 1);
        store.add(Map.of("__name__", "gone", "g", "a"), 1_300_001, Double.longBitsToDouble(SampleStore.STALE));
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
        StringBuilder told = new StringBuilder();
        value.forEach((labels, one) -> told.append(labels).append('=').append(Math.round(one * 1e6) / 1e6));
        assertEquals(result == null ? "" : result, told.toString());
    }

    @Test
    void rateHandlesCounterReset() {
        double rate = new Expression("rate(c{g=\"b\"}[5m])", 300_000).evaluate(store, 1_300_000).get(Map.of("g", "b"));
        assertEquals(0.2, rate, 0.01);
    }

    @ParameterizedTest
    @ValueSource(strings = {"histogram_quantile(0.9, c)", "rate(c)", "c[5m]", "c{g=~\"a\"}", "sum without (g) (c)", "c > bool 1", "(c", "c c",
        "c offset 5m", "-c"})
    void unsupportedSyntaxIsRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> new Expression(text, 300_000));
    }

    /** The shipped rules are understood; a fleet that is well fires nothing, each trouble its alert. */
    @ParameterizedTest
    @CsvSource({"well, ", "shed, GradereachServiceFastBurn GradereachServiceSlowBurn GradereachSheds",
        "failed, GradereachFails GradereachServiceFastBurn GradereachServiceSlowBurn",
        "late, GradereachServiceFastBurn GradereachServiceSlowBurn", "silent, GradereachSilent", "roster, GradereachRosterOld", "store, GradereachStoreSlow",
        "ledger, GradereachLedgerFails", "outbox, GradereachOutboxStuck", "limit, GradereachLimitNear", "module, GradereachModuleFailed"})
    void eachFaultFiresItsAlert(String trouble, String alerts) throws Exception {
        SampleStore told = new SampleStore();
        RuleEvaluator rules = new RuleEvaluator(new AlertRuleFile(Map.of("lookup", 0.99), 2000, 60_000, "docs/alerts.md").toYaml(), told, 300_000);
        double[] c = new double[10];
        for (long t = 0; t <= 90 * 60_000; t += 15_000) {
            long now = 1_000_000_000 + t;
            boolean bad = t > 60 * 60_000;
            if (trouble.equals("silent") && bad) {
                rules.evaluate(now);
                continue;
            }
            String what = bad ? trouble : "well";
            c[0] += 100;
            c[1] += what.equals("shed") || what.equals("failed") || what.equals("late") ? 20 : 99;
            c[2] += what.equals("shed") ? 80 : 1;
            c[3] += what.equals("failed") ? 80 : 0;
            c[4] += 2;
            c[5] += what.equals("store") ? 20_000 : 600;
            c[6] += what.equals("roster") ? 1 : 0;
            c[7] += what.equals("ledger") ? 1 : 0;
            c[8] += what.equals("outbox") ? 0 : 1;
            c[9] += what.equals("module") ? 1 : 0;
            counter(told, now, "gradereach_group_inferences", c[0], "group", "lookup");
            counter(told, now, "gradereach_group_value_asked", c[0], "group", "lookup");
            counter(told, now, "gradereach_group_value_in_slo", c[1], "group", "lookup");
            counter(told, now, "gradereach_group_inferences_ended", c[2], "group", "lookup", "outcome", "shed");
            counter(told, now, "gradereach_group_inferences_ended", c[3], "group", "lookup", "outcome", "failed");
            counter(told, now, "gradereach_load_orders_sent", c[4]);
            counter(told, now, "gradereach_load_orders_milliseconds", c[5]);
            counter(told, now, "gradereach_inferences_taken", c[0]);
            counter(told, now, "gradereach_roster_failures", c[6]);
            counter(told, now, "gradereach_shed_for_the_ledger", c[7]);
            counter(told, now, "gradereach_answers_delivered", c[8]);
            counter(told, now, "gradereach_module_failures", c[9]);
            told.add(Map.of("__name__", "gradereach_limit_present", "instance", "fe", "limit", "answers_in_outbox"), now, 3);
            told.add(Map.of("__name__", "gradereach_limit_present", "instance", "fe", "limit", "inferences_held"), now,
                    what.equals("limit") ? 90 : 10);
            told.add(Map.of("__name__", "gradereach_limit_bound", "instance", "fe", "limit", "inferences_held"), now, 100);
            rules.evaluate(now);
        }
        List<String> fired = rules.fired().stream().map(RuleEvaluator.FiredAlert::alert).distinct().sorted().toList();
        assertEquals(alerts == null ? "" : alerts, String.join(" ", fired));
        assertTrue(rules.fired().stream().allMatch(f -> f.firedAt() > 1_000_000_000 + 60 * 60_000), "before its trouble");
    }

    private static void counter(SampleStore to, long now, String name, double value, String... labels) {
        Map<String, String> all = new java.util.HashMap<>(Map.of("__name__", name + "_total", "instance", "fe"));
        for (int i = 0; i < labels.length; i += 2) {
            all.put(labels[i], labels[i + 1]);
        }
        to.add(all, now, value);
    }
}
