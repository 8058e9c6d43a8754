package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.standins.LagIntervals;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Judges the five rules from what both sides saw pass: the clients' and the stand-ins' transcripts. Nothing that a
 * front end says of itself is read.
 */
public final class Auditor {
    /**
     * Figures of the rules in milliseconds; {@code span} 0 for no ration. {@code sharedMemory} where front ends know of
     * each other's messages and keep them over a restart.
     */
    public record RuleParameters(double answerSlackMillis, double drainGraceMillis, double freeLoadOrders, double loadOrdersPerRequest, double loadOrderWindowMillis,
            double dedupWindowMillis, boolean sharedMemory) { }

    /** One rule's verdict; {@code shown} are ids that show a breach. */
    public record RuleResult(int rule, String name, boolean passed, long checked, List<String> violations) {
        @Override
        public String toString() {
            return "rule " + rule + " " + (passed ? "kept  " : "BROKEN") + " " + name + " (" + checked + " looked at)"
                    + (violations.isEmpty() ? "" : ": " + String.join(", ", violations.subList(0, Math.min(5, violations.size())))
                    + (violations.size() > 5 ? " and " + (violations.size() - 5) + " more" : ""));
        }
    }

    /**
     * All that is reported of a day.
     *
     * @param undecided why the day cannot tell all that it is to tell; empty where it can
     */
    public record AuditReport(List<RuleResult> results, Map<String, Long> counts, List<String> inconclusiveReasons) {
        /** No rule was broken, and the day was such that it would have shown. */
        public boolean passed() {
            return conclusive() && results.stream().allMatch(RuleResult::passed);
        }

        /** Whether it counts: it shows a breach, or nothing stood in the way of seeing one. */
        public boolean conclusive() {
            return inconclusiveReasons.isEmpty() || !results.stream().allMatch(RuleResult::passed);
        }
    }

    private record AuditedRequest(String message, int attempt, String frontEnd, String group, double time, double budgetMillis, boolean async,
            boolean forged) { }

    private record ClientOutcome(double time, String outcome, boolean signed, int digest, boolean neverSent) { }

    private record ExecutorEvent(double time, String executor, String frontEnd, String subject, String forward) { }

    private record ReportedState(double time, boolean ready) { }

    /** What a transcript's clock and a busy machine's threads are off by, milliseconds. */
    private static final double CLOCK_TOLERANCE_MILLIS = 50;
    /** An order may wait for a connection as long as the connect time-out before it arrives. */
    private static final double CONNECT_TIMEOUT_MILLIS = 250;

    private final RuleParameters parameters;
    private final Map<String, String> repeatByGroup;
    private final Map<String, Double> sloMillisByGroup;
    private final Map<String, AuditedRequest> requests = new HashMap<>();
    private final Map<String, ClientOutcome> outcomes = new HashMap<>();
    private final Map<String, Double> firstPartTimes = new HashMap<>();
    private final Map<String, List<AuditedRequest>> requestsByMessage = new HashMap<>();
    private final List<ExecutorEvent> arrivals = new ArrayList<>();
    private final Map<String, ExecutorEvent> arrivalsByForward = new HashMap<>();
    private final Map<String, List<ExecutorEvent>> executions = new HashMap<>();
    private final Map<String, TreeMap<Double, ReportedState>> reportedStates = new HashMap<>();
    private final Map<String, List<ExecutorEvent>> loadOrders = new HashMap<>();
    private final Map<String, List<Double>> killTimes = new HashMap<>();
    private final Map<String, List<Double>> requestTimes = new HashMap<>();
    private final Map<String, Double> webhookTimes = new HashMap<>();
    private final Map<String, Set<Integer>> webhookBodies = new HashMap<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private final Set<String> collapsedExecutors = new LinkedHashSet<>();
    private final List<String> inconclusiveReasons = new ArrayList<>();
    private final LagIntervals clientLags = new LagIntervals();
    private final LagIntervals standInLags = new LagIntervals();
    private double lastEventTime;

    /** @param repeatOf retriable, deduped or non-retriable, by model group; {@code sloOf} in milliseconds */
    public Auditor(RuleParameters figures, Map<String, String> repeatOf, Map<String, Double> sloOf) {
        this.parameters = figures;
        this.repeatByGroup = repeatOf;
        this.sloMillisByGroup = sloOf;
    }

    public void readTranscript(Path transcript) throws IOException {
        try (MappingIterator<JsonNode> lines = new ObjectMapper().readerFor(JsonNode.class)
                .readValues(transcript.toFile())) {
            while (lines.hasNextValue()) {
                addEvent(lines.nextValue());
            }
        }
    }

    void addEvent(JsonNode l) {
        double t = l.path("t").asDouble();
        lastEventTime = Math.max(lastEventTime, t);
        String mark = l.path("mark").asText();
        String fe = l.path("fe").asText();
        String ex = l.path("ex").asText();
        String event = l.path("ev").asText();
        switch (event) {
            case "asked" -> {
                AuditedRequest asked = new AuditedRequest(mark, l.path("n").asInt(), fe, l.path("group").asText(), t,
                        l.path("budget").asDouble(), l.path("async").asBoolean(), l.path("forged").asBoolean());
                requests.put(mark + "@" + asked.attempt, asked);
                requestsByMessage.computeIfAbsent(mark, m -> new ArrayList<>()).add(asked);
                requestTimes.computeIfAbsent(fe, f -> new ArrayList<>()).add(t);
            }
            // An answer in parts is an answer from its first part on.
            case "begun" -> firstPartTimes.put(mark + "@" + l.path("n").asInt(), t);
            case "heard" -> {
                String what = l.path("what").asText();
                outcomes.put(mark + "@" + l.path("n").asInt(), new ClientOutcome(t, what, l.path("signed").asBoolean(),
                        l.path("digest").asInt(), l.path("never_sent").asBoolean()));
                counts.merge("heard " + what, 1L, Long::sum);
            }
            case "arrived" -> {
                ExecutorEvent seen = new ExecutorEvent(t, ex, fe, mark, l.path("fwd").asText());
                arrivals.add(seen);
                arrivalsByForward.put(seen.forward, seen);
            }
            case "ran" -> executions.computeIfAbsent(mark, m -> new ArrayList<>())
                    .add(new ExecutorEvent(t, ex, "", mark, l.path("fwd").asText()));
            case "told" -> reportedStates.computeIfAbsent(fe + " " + ex, k -> new TreeMap<>())
                    .put(t, new ReportedState(t, l.path("ready").asBoolean()));
            case "order" -> {
                if (l.path("copies").asInt() > 0) {
                    loadOrders.computeIfAbsent(fe, f -> new ArrayList<>())
                            .add(new ExecutorEvent(t, ex, fe, l.path("model").asText(), ""));
                }
            }
            case "killed" -> killTimes.computeIfAbsent(fe, f -> new ArrayList<>()).add(t);
            case "fell" -> collapsedExecutors.add(ex);
            case "lag" -> (l.path("of").asText().equals("clients") ? clientLags : standInLags)
                    .add(l.path("from").asDouble(), t);
            case "cut-short" -> inconclusiveReasons.add(l.path("what").asText());
            case "webhook" -> {
                String id = l.path("id").asText();
                // One after which a repeat is harmless has an id of its own; either is the answer to its message.
                webhookTimes.merge(id.replaceFirst("\\.(shed|failed)-[0-9a-f]+$", ".answer"), t, Math::min);
                webhookBodies.computeIfAbsent(id, i -> new HashSet<>()).add(l.path("body").asText().hashCode());
            }
            default -> { }
        }
    }

    public AuditReport evaluate() {
        counts.put("asked", (long) requests.size());
        counts.put("forwards arrived", (long) arrivals.size());
        counts.put("load orders", loadOrders.values().stream().mapToLong(List::size).sum());
        counts.put("ran", executions.values().stream().mapToLong(List::size).sum());
        counts.put("within the SLO time", countWithinSlo());
        counts.put("clients late by at most, ms", Math.round(clientLags.longestMillis()));
        counts.put("stand-ins late by at most, ms", Math.round(standInLags.longestMillis()));
        List<RuleResult> verdicts = List.of(checkAnswers(), checkSingleExecution(), checkDrains(),
                new RuleResult(4, "no cold executor pushed over", collapsedExecutors.isEmpty(), reportedStates.size(), List.copyOf(collapsedExecutors)), checkLoadOrderBudget());
        return new AuditReport(verdicts, counts, List.copyOf(inconclusiveReasons));
    }

    /** First tries and their repeats as one: returned within the SLO time from the first asking. */
    private long countWithinSlo() {
        long count = 0;
        for (List<AuditedRequest> tries : requestsByMessage.values()) {
            double first = tries.stream().mapToDouble(AuditedRequest::time).min().orElse(0);
            for (AuditedRequest ask : tries) {
                ClientOutcome end = outcomes.get(ask.message + "@" + ask.attempt);
                if (end != null && end.outcome.equals("returned") && end.time - first <= sloMillisByGroup.getOrDefault(ask.group, 0d)) {
                    count++;
                    break;
                }
            }
        }
        return count;
    }

    private boolean killedBetween(String fe, double from, double to) {
        return killTimes.getOrDefault(fe, List.of()).stream().anyMatch(t -> t >= from - CLOCK_TOLERANCE_MILLIS && t <= to + CLOCK_TOLERANCE_MILLIS);
    }

    private RuleResult checkAnswers() {
        List<String> shown = new ArrayList<>();
        for (Map.Entry<String, AuditedRequest> entry : requests.entrySet()) {
            AuditedRequest ask = entry.getValue();
            ClientOutcome end = outcomes.get(entry.getKey());
            double by = ask.time + ask.budgetMillis + parameters.answerSlackMillis + CLOCK_TOLERANCE_MILLIS;
            boolean killed = killedBetween(ask.frontEnd, ask.time, by);
            String why = null;
            if (end == null) {
                why = lastEventTime > by && !killed ? "no answer" : null;
            } else {
                switch (end.outcome) {
                    case "left" -> why = killed ? null : violationIfLate("no answer", entry.getKey(), clientLags, end.time, by);
                    // A connection that died with its process is written to until its client has seen that.
                    case "lost" -> why = end.neverSent || killed || killedBetween(ask.frontEnd, ask.time - UNNOTICED_CLOSE_MILLIS, by) ? null : "connection lost";
                    case "refused" -> why = ask.forged ? null : "refused";
                    case "accepted" -> {
                        Double delivered = webhookTimes.get(ask.message.substring(ask.message.indexOf('/') + 1) + ".answer");
                        // A promise outlives the process where there is a ledger; only its time does not.
                        boolean excused = killed && !(parameters.sharedMemory && delivered == null && lastEventTime > by + DELIVERY_AFTER_RESTART_MILLIS);
                        why = excused || lastEventTime < by + WEBHOOK_DELIVERY_MILLIS ? null : delivered == null ? "no webhook"
                                : delivered > by + WEBHOOK_DELIVERY_MILLIS && !killed ? "late webhook" : null;
                    }
                    default -> {
                        String late = killed ? null : violationIfLate("answered " + Math.round(end.time - ask.time - ask.budgetMillis) + " ms late",
                                entry.getKey(), clientLags, firstPartTimes.getOrDefault(entry.getKey(), end.time), by);
                        why = ask.forged ? "a forged message was answered" : late != null ? late
                                : !end.signed ? "answer not signed" : null;
                    }
                }
            }
            if (why != null) {
                shown.add(entry.getKey() + " " + why);
            }
        }
        for (ExecutorEvent seen : arrivals) {
            boolean asked = false;
            double lastUntil = Double.NEGATIVE_INFINITY;
            for (AuditedRequest ask : requestsByMessage.getOrDefault(seen.subject, List.of())) {
                ClientOutcome end = outcomes.get(ask.message + "@" + ask.attempt);
                double until = end == null || end.outcome.equals("lost") || end.outcome.equals("accepted")
                        ? ask.time + ask.budgetMillis : end.time;
                asked |= !ask.forged && seen.time >= ask.time - CLOCK_TOLERANCE_MILLIS && seen.time <= until + CLOCK_TOLERANCE_MILLIS;
                if (!ask.forged && seen.time >= ask.time - CLOCK_TOLERANCE_MILLIS) {
                    lastUntil = Math.max(lastUntil, until + CLOCK_TOLERANCE_MILLIS);
                }
            }
            String why = asked ? null : violationIfLate("sent while nobody waited", seen.forward, standInLags, seen.time, lastUntil);
            if (why != null) {
                shown.add(seen.forward + " " + why);
            }
        }
        webhookBodies.forEach((id, bodies) -> {
            if (bodies.size() > 1) {
                shown.add(id + " has " + bodies.size() + " different answers");
            }
        });
        return new RuleResult(1, "every inference gets one final answer in time, nothing is sent after it",
                shown.isEmpty(), requests.size(), shown);
    }

    /**
     * {@code what} where something dated {@code time} came after {@code bound}; null where it did not, and where it may not
     * have, since who dated it was late: then the day cannot tell.
     */
    private String violationIfLate(String what, String whose, LagIntervals lags, double time, double bound) {
        if (time <= bound) {
            return null;
        }
        if (lags.earliestArrival(time) <= bound) {
            inconclusiveReasons.add(whose + " " + what + ", by clocks that were read late");
            return null;
        }
        return what;
    }

    private static final double UNNOTICED_CLOSE_MILLIS = 500;
    private static final double DELIVERY_AFTER_RESTART_MILLIS = 15_000; // a restart, a second delivery by the schedule, and some
    private static final double WEBHOOK_DELIVERY_MILLIS = 2000; // a webhook goes out after the answer is known; a busy machine's pace

    private RuleResult checkSingleExecution() {
        List<String> shown = new ArrayList<>();
        for (Map.Entry<String, List<ExecutorEvent>> entry : executions.entrySet()) {
            List<AuditedRequest> tries = requestsByMessage.getOrDefault(entry.getKey(), List.of());
            String repeat = tries.isEmpty() ? "retriable" : repeatByGroup.getOrDefault(tries.get(0).group, "retriable");
            List<ExecutorEvent> runs = entry.getValue();
            if (!repeat.equals("retriable") && runs.size() > 1) {
                shown.add(entry.getKey() + " ran " + runs.size() + " times");
            }
            for (AuditedRequest ask : tries) {
                ClientOutcome end = outcomes.get(ask.message + "@" + ask.attempt);
                // A shed says that a repeat is harmless: false where it ran, but for those whose repeats are harmless.
                if (repeat.equals("non-retriable") && end != null && end.outcome.equals("shed")
                        && runs.stream().anyMatch(run -> belongsToAttempt(ask, end, tries, run.forward))) {
                    shown.add(ask.message + " ran and was shed");
                }
            }
        }
        Map<String, Double> firstSeen = new HashMap<>();
        for (ExecutorEvent seen : arrivals) {
            List<AuditedRequest> tries = requestsByMessage.getOrDefault(seen.subject, List.of());
            if (!tries.isEmpty() && "deduped".equals(repeatByGroup.get(tries.get(0).group))) {
                double first = firstSeen.merge(seen.subject, seen.time, Math::min);
                if (executions.containsKey(seen.subject) && seen.time > first + parameters.dedupWindowMillis + CLOCK_TOLERANCE_MILLIS) {
                    shown.add(seen.forward + " sent after the window");
                }
            }
        }
        requestsByMessage.forEach((mark, tries) -> {
            boolean careful = !"retriable".equals(repeatByGroup.get(tries.get(0).group));
            boolean shared = parameters.sharedMemory && careful;
            boolean returned = tries.stream().anyMatch(ask -> outcomes.containsKey(mark + "@" + ask.attempt)
                    && outcomes.get(mark + "@" + ask.attempt).outcome.equals("returned"));
            if (returned && careful && !executions.containsKey(mark)) {
                shown.add(mark + " was returned and never ran");
            }
            Set<Integer> answers = new HashSet<>();
            for (AuditedRequest ask : tries) {
                ClientOutcome end = outcomes.get(mark + "@" + ask.attempt);
                if (end != null && end.outcome.equals("returned") && (shared || ask.frontEnd.equals(
                        tries.get(0).frontEnd) && killTimes.getOrDefault(ask.frontEnd, List.of()).isEmpty())) {
                    answers.add(end.digest);
                }
            }
            if (answers.size() > 1) {
                shown.add(mark + " got " + answers.size() + " different answers");
            }
        });
        return new RuleResult(2, "no effect happens twice", shown.isEmpty(), executions.size(), shown);
    }

    /** Whether a forward belongs to this try: from its front end, before it was answered and was tried there again. */
    private boolean belongsToAttempt(AuditedRequest ask, ClientOutcome end, List<AuditedRequest> tries, String forward) {
        ExecutorEvent came = arrivalsByForward.get(forward);
        if (came == null || !came.frontEnd.equals(ask.frontEnd) || came.time < ask.time || came.time > end.time + CLOCK_TOLERANCE_MILLIS) {
            return false;
        }
        return tries.stream().noneMatch(later -> later.attempt != ask.attempt && later.frontEnd.equals(ask.frontEnd) && later.time >= end.time
                && later.time <= came.time);
    }

    private RuleResult checkDrains() {
        List<String> shown = new ArrayList<>();
        long looked = 0;
        List<ExecutorEvent> sent = new ArrayList<>(arrivals);
        loadOrders.values().forEach(sent::addAll);
        for (ExecutorEvent seen : sent) {
            TreeMap<Double, ReportedState> words = reportedStates.get(seen.frontEnd + " " + seen.executor);
            if (words == null) {
                continue;
            }
            looked++;
            Map.Entry<Double, ReportedState> now = words.floorEntry(seen.time);
            if (now == null || now.getValue().ready) {
                continue;
            }
            // Told not ready at that time; several such words in a row count from the first.
            double since = now.getKey();
            for (Map.Entry<Double, ReportedState> before = words.lowerEntry(since); before != null
                    && !before.getValue().ready; before = words.lowerEntry(since)) {
                since = before.getKey();
            }
            String why = violationIfLate("to " + seen.executor + " " + Math.round(seen.time - since) + " ms after",
                    seen.forward.isEmpty() ? "order for " + seen.subject : seen.forward, standInLags, seen.time,
                    since + parameters.drainGraceMillis + CLOCK_TOLERANCE_MILLIS);
            if (why != null) {
                shown.add((seen.forward.isEmpty() ? "order for " + seen.subject : seen.forward) + " " + why);
            }
        }
        return new RuleResult(3, "nothing new to what drains or is gone", shown.isEmpty(), looked, shown);
    }

    private RuleResult checkLoadOrderBudget() {
        List<String> shown = new ArrayList<>();
        long looked = 0;
        if (parameters.loadOrderWindowMillis > 0) {
            for (Map.Entry<String, List<ExecutorEvent>> entry : loadOrders.entrySet()) {
                List<ExecutorEvent> own = new ArrayList<>(entry.getValue());
                own.sort((a, b) -> Double.compare(a.time, b.time));
                double[] taken = requestTimes.getOrDefault(entry.getKey(), List.of()).stream().mapToDouble(t -> t).sorted()
                        .toArray();
                int from = 0;
                int low = 0;
                int high = 0;
                for (int i = 0; i < own.size(); i++) {
                    double t = own.get(i).time;
                    while (own.get(from).time < t - parameters.loadOrderWindowMillis + CONNECT_TIMEOUT_MILLIS) {
                        from++;
                    }
                    while (high < taken.length && taken[high] <= t) {
                        high++;
                    }
                    while (low < taken.length && taken[low] < t - parameters.loadOrderWindowMillis - CLOCK_TOLERANCE_MILLIS) {
                        low++;
                    }
                    looked++;
                    double most = parameters.freeLoadOrders + parameters.loadOrdersPerRequest * (high - low);
                    if (i - from + 1 > most && !killedBetween(entry.getKey(), t - parameters.loadOrderWindowMillis, t)) {
                        shown.add(entry.getKey() + " ordered " + (i - from + 1) + " where " + most + " were allowed");
                    }
                }
            }
        }
        return new RuleResult(5, "load orders keep within the ration", shown.isEmpty(), looked, shown);
    }
}
