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
 * Beside a rehearsal: a receiver that every front end pushes to, and the shipped rules evaluated over it while the day is played.
 * A minute of the rules lasts a second, so that a day of a minute is an hour of theirs.
 */
public final class AlertMonitor implements AutoCloseable {
    private static final double RULE_MINUTE_MILLIS = 1000;
    private static final long LOOKBACK_MILLIS = (long) (5 * RULE_MINUTE_MILLIS);

    private record ScriptEvent(String kind, long timeMillis) { }

    private final RemoteWriteServer receiver = new RemoteWriteServer();
    private final RuleEvaluator rules;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread made = new Thread(work, "rules");
        made.setDaemon(true);
        return made;
    });
    private final List<ScriptEvent> events = new ArrayList<>();
    private long startedAt;

    public AlertMonitor(JsonNode day) throws IOException {
        Map<String, Double> objectives = new LinkedHashMap<>();
        double loads = 0;
        for (JsonNode group : day.path("model_groups")) {
            objectives.put(group.path("name").asText(), group.path("objective").asDouble(AlertRuleFile.DEFAULT_OBJECTIVE));
        }
        for (JsonNode model : day.path("models")) {
            loads = Math.max(loads, model.path("load_ms").asDouble(100));
        }
        rules = new RuleEvaluator(new AlertRuleFile(objectives, AlertRuleFile.SLOW_LOAD_FACTOR * loads, RULE_MINUTE_MILLIS, "docs/alerts.md").toYaml(), receiver.store,
                LOOKBACK_MILLIS);
    }

    String url() {
        return receiver.url();
    }

    /** Front ends are up: alerts count from here. */
    synchronized void start() {
        startedAt = System.currentTimeMillis();
        timer.scheduleAtFixedRate(() -> rules.evaluate(System.currentTimeMillis()), rules.intervalMillis(), rules.intervalMillis(),
                TimeUnit.MILLISECONDS);
    }

    /** The day is over: what stops from here on is no trouble. */
    void stop() {
        timer.shutdownNow();
    }

    synchronized void recordEvent(String what) {
        events.add(new ScriptEvent(what, System.currentTimeMillis()));
    }

    public synchronized void print(PrintStream out) {
        out.println("alerts (a minute of the rules is a second here): " + (rules.fired().isEmpty() ? "none" : ""));
        for (RuleEvaluator.FiredAlert fired : rules.fired()) {
            ScriptEvent last = null;
            for (ScriptEvent event : events) {
                last = event.timeMillis <= fired.firedAt() ? event : last;
            }
            out.println(String.format("  %-28s %-60s at %5.1f s%s", fired.alert(), fired.labels(), (fired.firedAt() - startedAt) / 1e3,
                    last == null ? "" : String.format(", %.1f s after %s", (fired.firedAt() - last.timeMillis) / 1e3, last.kind)));
        }
        out.println("  " + receiver.store.seriesCount() + " series, " + receiver.requestCount() + " writes, " + receiver.acceptedSamples() + " samples");
    }

    @Override
    public void close() {
        timer.shutdownNow();
        receiver.close();
    }
}
