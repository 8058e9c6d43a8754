package gradereach.alerts;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import java.io.IOException;
import java.util.Map;

/**
 * Generates the Prometheus rules file: recording rules, and alerts based on them (Prometheus, "Recording rules", "Alerting rules").
 * Burn rates follow the SRE workbook, "Alerting on SLOs": a fast and a slow pair of windows.
 */
public final class AlertRuleFile {
    /** Objective of a model group that sets none: one in twenty may miss the SLO, as the benchmarks allow. */
    public static final double DEFAULT_OBJECTIVE = 0.95;
    /** A load is slow if it takes three times the load time that the models declare. */
    public static final double SLOW_LOAD_FACTOR = 3;
    /** Burn rates that use 2% of a month's error budget in an hour, or 5% in six hours. */
    private static final double FAST_BURN_RATE = 14.4;
    private static final double SLOW_BURN_RATE = 6;
    /** Highest threshold of a miss ratio: for a low objective, the burn rate alone would give one above 1, which is never reached. */
    private static final double MAX_MISSED_RATIO = 0.5;
    /** Ratios above which an alert is raised; the router sheds little unless capacity is short. */
    private static final double SHED_RATIO = 0.05;
    private static final double FAILED_RATIO = 0.02;
    private static final double LOADS_FAILED_RATIO = 0.2;
    private static final double BROKEN_FORWARDS_RATIO = 0.05;
    private static final double LIMIT_USED_RATIO = 0.8;
    private static final double EVALUATION_INTERVAL_MINUTES = 0.5;

    private final Map<String, Double> objectives;
    private final double slowLoadMillis;
    private final double millisPerMinute;
    private final String runbookPage;

    /**
     * @param objectives part of the requested value that is to be returned within the SLO time, by model group
     * @param slowLoadMillis mean load time above which the model store counts as slow
     * @param millisPerMinute length of a minute in the rules: 60,000, or less for a rehearsal in accelerated time
     * @param runbookPage address of the runbook page; each alert links to its section there, whose anchor is the alert's name
     */
    public AlertRuleFile(Map<String, Double> objectives, double slowLoadMillis, double millisPerMinute, String runbookPage) {
        this.objectives = objectives;
        this.slowLoadMillis = slowLoadMillis;
        this.millisPerMinute = millisPerMinute;
        this.runbookPage = runbookPage;
    }

    /** Formats a number of minutes as a Prometheus duration: a whole number of the largest unit that divides it. */
    private String duration(double minutes) {
        long millis = Math.round(minutes * millisPerMinute);
        return millis % 3_600_000 == 0 ? millis / 3_600_000 + "h" : millis % 60_000 == 0 ? millis / 60_000 + "m"
                : millis % 1000 == 0 ? millis / 1000 + "s" : millis + "ms";
    }

    /** Returns the rules file. */
    public String toYaml() {
        ObjectMapper yaml = new ObjectMapper(new YAMLFactory().enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER).disable(YAMLGenerator.Feature.SPLIT_LINES));
        ObjectNode file = yaml.createObjectNode();
        ArrayNode groups = file.putArray("groups");
        ObjectNode recorded = groups.addObject().put("name", "gradereach-recorded")
                .put("interval", duration(EVALUATION_INTERVAL_MINUTES));
        addRecordingRules(recorded.putArray("rules"));
        ObjectNode alerts = groups.addObject().put("name", "gradereach-alerts")
                .put("interval", duration(EVALUATION_INTERVAL_MINUTES));
        addAlerts(alerts.putArray("rules"));
        try {
            return yaml.writeValueAsString(file);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void addRecordingRules(ArrayNode rules) {
        for (double windowMinutes : new double[] {5, 30, 60, 360}) {
            rules.addObject().put("record", "gradereach:missed:ratio_" + (int) windowMinutes + "m").put("expr",
                    "1 - sum by (group) (rate(gradereach_group_value_in_slo_total[" + duration(windowMinutes) + "])) / "
                    + "sum by (group) (rate(gradereach_group_value_asked_total[" + duration(windowMinutes) + "]))");
        }
        for (String outcome : new String[] {"shed", "failed"}) {
            rules.addObject().put("record", "gradereach:" + outcome + ":ratio_5m").put("expr",
                    "sum by (group) (rate(gradereach_group_inferences_ended_total{outcome=\"" + outcome + "\"}[" + duration(5) + "])) / "
                    + "sum by (group) (rate(gradereach_group_inferences_total[" + duration(5) + "]))");
        }
        rules.addObject().put("record", "gradereach:load_milliseconds:mean_5m").put("expr",
                "sum(rate(gradereach_load_orders_milliseconds_total[" + duration(5) + "])) / sum(rate(gradereach_load_orders_sent_total["
                + duration(5) + "]))");
        rules.addObject().put("record", "gradereach:loads_failed:ratio_5m").put("expr",
                "(sum(rate(gradereach_load_orders_ended_full_total[" + duration(5)
                + "])) + sum(rate(gradereach_load_orders_ended_error_total[" + duration(5)
                + "])) + sum(rate(gradereach_load_orders_ended_timed_out_total[" + duration(5) + "]))) / "
                + "sum(rate(gradereach_load_orders_sent_total[" + duration(5) + "]))");
        rules.addObject().put("record", "gradereach:forwards_broken:ratio_5m").put("expr",
                "(sum(rate(gradereach_forwards_ended_reset_total[" + duration(5) + "])) + "
                + "sum(rate(gradereach_forwards_ended_connect_failed_total[" + duration(5) + "])) + "
                + "sum(rate(gradereach_forwards_ended_timed_out_total[" + duration(5) + "]))) / "
                + "sum(rate(gradereach_forwards_sent_total[" + duration(5) + "]))");
        rules.addObject().put("record", "gradereach:limit_used:ratio").put("expr",
                "max by (instance, limit) (gradereach_limit_present / gradereach_limit_bound)");
    }

    private void addAlerts(ArrayNode rules) {
        objectives.forEach((group, objective) -> {
            addBurnRateAlert(rules, group, objective, "Fast", 5, 60, FAST_BURN_RATE, 2, "critical");
            addBurnRateAlert(rules, group, objective, "Slow", 30, 360, SLOW_BURN_RATE, 15, "warning");
        });
        addAlert(rules, "GradereachSheds", "gradereach:shed:ratio_5m > " + SHED_RATIO, 2, "warning",
                "more than " + SHED_RATIO + " of {{ $labels.group }} is shed");
        addAlert(rules, "GradereachFails", "gradereach:failed:ratio_5m > " + FAILED_RATIO, 2, "critical",
                "more than " + FAILED_RATIO + " of {{ $labels.group }} fails");
        addAlert(rules, "GradereachLoadsFail", "gradereach:loads_failed:ratio_5m > " + LOADS_FAILED_RATIO, 2, "warning",
                "more than " + LOADS_FAILED_RATIO + " of the load orders do not end with what was ordered");
        addAlert(rules, "GradereachStoreSlow", "gradereach:load_milliseconds:mean_5m > " + slowLoadMillis, 2, "warning",
                "loads take longer than " + slowLoadMillis + " ms on the mean");
        addAlert(rules, "GradereachExecutorsBreak", "gradereach:forwards_broken:ratio_5m > " + BROKEN_FORWARDS_RATIO, 1, "warning",
                "more than " + BROKEN_FORWARDS_RATIO + " of the forwards meet broken or silent executors");
        addAlert(rules, "GradereachLimitNear", "gradereach:limit_used:ratio{limit!=\"grpc_connections\"} > " + LIMIT_USED_RATIO, 2,
                "warning", "{{ $labels.limit }} on {{ $labels.instance }} is over " + LIMIT_USED_RATIO + " of its bound");
        addAlert(rules, "GradereachRosterOld", "sum by (instance) (increase(gradereach_roster_failures_total[" + duration(5) + "])) > 0", 5,
                "warning", "{{ $labels.instance }} cannot read its roster");
        addAlert(rules, "GradereachOutboxStuck", "gradereach_limit_present{limit=\"answers_in_outbox\"} > 0 and on (instance) "
                + "increase(gradereach_answers_delivered_total[" + duration(10) + "]) == 0", 10, "warning",
                "promised answers of {{ $labels.instance }} are not taken by their receivers");
        addAlert(rules, "GradereachLedgerFails",
                "sum by (instance) (increase(gradereach_shed_for_the_ledger_total[" + duration(5) + "])) > 0", 0, "critical",
                "{{ $labels.instance }} sheds what needs its ledger");
        addAlert(rules, "GradereachModuleFailed",
                "sum by (instance) (increase(gradereach_module_failures_total[" + duration(10) + "])) > 0", 0, "critical",
                "the decisions of {{ $labels.instance }} broke and began anew");
        addAlert(rules, "GradereachHalts", "sum by (instance) (rate(gradereach_decision_turns_slow_total[" + duration(5) + "])) > 1", 2,
                "warning", "{{ $labels.instance }} stands still now and then");
        addAlert(rules, "GradereachPushLoses",
                "sum by (instance) (increase(gradereach_push_samples_dropped_total[" + duration(10) + "])) > 0", 0, "warning",
                "{{ $labels.instance }} lets samples go that the receiver did not take");
        addAlert(rules, "GradereachSilent", "absent(gradereach_inferences_taken_total)", 2, "critical", "no front end is heard");
    }

    private void addBurnRateAlert(ArrayNode rules, String group, double objective, String pace, int shortWindowMinutes,
            int longWindowMinutes, double burnRate, double forMinutes, String severity) {
        String threshold = String.format(java.util.Locale.ROOT, "%.6f", Math.min(MAX_MISSED_RATIO, burnRate * (1 - objective)));
        addAlert(rules, "GradereachService" + pace + "Burn",
                "gradereach:missed:ratio_" + shortWindowMinutes + "m{group=\"" + group + "\"} > " + threshold
                + " and gradereach:missed:ratio_" + longWindowMinutes + "m{group=\"" + group + "\"} > " + threshold,
                forMinutes, severity,
                "{{ $labels.group }} misses its objective of " + objective + " at " + burnRate + " times the allowed rate");
    }

    private void addAlert(ArrayNode rules, String name, String expr, double forMinutes, String severity, String summary) {
        ObjectNode rule = rules.addObject().put("alert", name).put("expr", expr);
        if (forMinutes > 0) {
            rule.put("for", duration(forMinutes));
        }
        rule.putObject("labels").put("severity", severity);
        rule.putObject("annotations").put("summary", summary).put("runbook_url", runbookPage + "#" + name.toLowerCase());
    }
}
