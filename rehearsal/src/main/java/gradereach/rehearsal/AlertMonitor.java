package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.alerts.AlertRuleFile;
import gradereach.standins.prometheus.RemoteWriteServer;
import gradereach.standins.prometheus.RuleEvaluator;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Receives the metrics that the front ends of a rehearsal push, and evaluates the shipped alert rules over them while
 * the rehearsal runs.
 * A minute of the rules lasts one second here, so that a rehearsal of one minute covers an hour of the rules.
 */
public final class AlertMonitor implements AutoCloseable {
    private static final double RULE_MINUTE_MILLIS = 1000;
    /** Maximum age of a sample: Prometheus's default of five minutes. */
    private static final long LOOKBACK_MILLIS = (long) (5 * RULE_MINUTE_MILLIS);

    /** An event of the script and the time of its start. */
    private record ScriptEvent(String kind, long timeMillis) { }

    private final RemoteWriteServer receiver = new RemoteWriteServer();
    private final RuleEvaluator rules;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "rules");
        thread.setDaemon(true);
        return thread;
    });
    private final List<ScriptEvent> events = new ArrayList<>();
    private long startedAtMillis;

    /** @param script the rehearsal script, from which the alert rules take objectives and load times */
    public AlertMonitor(JsonNode script) throws IOException {
        Map<String, Double> objectives = new LinkedHashMap<>();
        double maxLoadMillis = 0;
        for (JsonNode group : script.path("model_groups")) {
            objectives.put(group.path("name").asText(), group.path("objective").asDouble(AlertRuleFile.DEFAULT_OBJECTIVE));
        }
        for (JsonNode model : script.path("models")) {
            maxLoadMillis = Math.max(maxLoadMillis, model.path("load_ms").asDouble(100));
        }
        rules = new RuleEvaluator(new AlertRuleFile(objectives, AlertRuleFile.SLOW_LOAD_FACTOR * maxLoadMillis, RULE_MINUTE_MILLIS,
                "docs/alerts.md").toYaml(), receiver.store,
                LOOKBACK_MILLIS);
    }

    String url() {
        return receiver.url();
    }

    /** Starts evaluating the rules; called once the front ends serve. */
    synchronized void start() {
        startedAtMillis = System.currentTimeMillis();
        timer.scheduleAtFixedRate(() -> rules.evaluate(System.currentTimeMillis()), rules.intervalMillis(), rules.intervalMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** Stops evaluating the rules before the front ends are stopped, so that their shutdown fires no alert. */
    void stop() {
        timer.shutdownNow();
    }

    /** Records an event of the script, to report how long after it an alert fired. */
    synchronized void recordEvent(String kind) {
        events.add(new ScriptEvent(kind, System.currentTimeMillis()));
    }

    /** Prints the alerts that fired and totals of the pushed metrics. */
    public synchronized void print(PrintStream out) {
        out.println("alerts (a minute of the rules is a second here): " + (rules.firedAlerts().isEmpty() ? "none" : ""));
        for (RuleEvaluator.FiredAlert fired : rules.firedAlerts()) {
            ScriptEvent precedingEvent = null;
            for (ScriptEvent event : events) {
                precedingEvent = event.timeMillis <= fired.firedAt() ? event : precedingEvent;
            }
            out.println(String.format("  %-28s %-60s at %5.1f s%s", fired.alert(), fired.labels(),
                    (fired.firedAt() - startedAtMillis) / 1e3, precedingEvent == null ? "" : String.format(", %.1f s after %s",
                            (fired.firedAt() - precedingEvent.timeMillis) / 1e3, precedingEvent.kind)));
        }
        out.println("  " + receiver.store.seriesCount() + " series, " + receiver.requestCount() + " writes, "
                + receiver.acceptedSamples() + " samples");
    }

    @Override
    public void close() {
        timer.shutdownNow();
        receiver.close();
    }
}
