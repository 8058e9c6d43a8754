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
 * Checks the five rules against the transcripts of the clients and of the stand-in executors. It reads nothing that a
 * front end reports about itself. The rules:
 *
 * <ol>
 * <li>Every inference gets one final answer in time, and nothing is sent to executors after it.
 * <li>No deduped or non-retriable inference is executed twice.
 * <li>Nothing new is sent to an executor that drains or was removed.
 * <li>No executor that has just started is overloaded until it collapses.
 * <li>Load orders keep within their budget.
 * </ol>
 */
public final class Auditor {
    /**
     * Parameters of the rules.
     *
     * @param answerSlackMillis how long after the client's deadline an answer still counts as in time
     * @param drainGraceMillis how long a front end may send to an executor after the first report that it is not ready
     * @param freeLoadOrders load orders that a front end may send in any window
     * @param loadOrdersPerRequest further load orders for each request sent to the front end in the window
     * @param loadOrderWindowMillis 0 where there is no load order budget
     * @param dedupWindowMillis how long after its first forward a deduped message may be sent again
     * @param sharesMessages whether front ends share claims on messages and keep the messages over a restart
     */
    public record RuleParameters(double answerSlackMillis, double drainGraceMillis, double freeLoadOrders,
            double loadOrdersPerRequest, double loadOrderWindowMillis, double dedupWindowMillis, boolean sharesMessages) { }

    /** The result of one rule; each entry of {@code violations} begins with the id that shows the violation. */
    public record RuleResult(int rule, String name, boolean passed, long checked, List<String> violations) {
        @Override
        public String toString() {
            return "rule " + rule + " " + (passed ? "kept  " : "BROKEN") + " " + name + " (" + checked + " looked at)"
                    + (violations.isEmpty() ? "" : ": " + String.join(", ", violations.subList(0, Math.min(5, violations.size())))
                    + (violations.size() > 5 ? " and " + (violations.size() - 5) + " more" : ""));
        }
    }

    /**
     * The report on a rehearsal.
     *
     * @param inconclusiveReasons why the run cannot show whether every rule was kept; empty where it can
     */
    public record AuditReport(List<RuleResult> results, Map<String, Long> counts, List<String> inconclusiveReasons) {
        /** Whether no rule was violated and the run would have shown a violation. */
        public boolean passed() {
            return conclusive() && results.stream().allMatch(RuleResult::passed);
        }

        /** Whether the run shows a violation, or would have shown one. */
        public boolean conclusive() {
            return inconclusiveReasons.isEmpty() || !results.stream().allMatch(RuleResult::passed);
        }
    }

    private record AuditedRequest(String message, int attempt, String frontEnd, String group, double time, double budgetMillis,
            boolean async, boolean forged) { }

    private record ClientOutcome(double time, String outcome, boolean signed, int digest, boolean neverSent) { }

    /** {@code subject} is a message, or a model in a load order; {@code forward} is empty for a load order. */
    private record ExecutorEvent(double time, String executor, String frontEnd, String subject, String forward) { }

    private record ReportedState(double time, boolean ready) { }

    /** Tolerance for the clocks of the transcripts and for late threads on a busy machine. */
    private static final double CLOCK_TOLERANCE_MILLIS = 50;
    /** A load order may wait for a connection up to the connect timeout before it arrives. */
    private static final double CONNECT_TIMEOUT_MILLIS = 250;

    private final RuleParameters parameters;
    private final Map<String, String> retrySafetyByGroup;
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

    /**
     * Creates an auditor that has read no transcript yet.
     *
     * @param retrySafetyByGroup {@code retriable}, {@code deduped} or {@code non-retriable}, by model group
     * @param sloMillisByGroup SLO time by model group
     */
    public Auditor(RuleParameters parameters, Map<String, String> retrySafetyByGroup, Map<String, Double> sloMillisByGroup) {
        this.parameters = parameters;
        this.retrySafetyByGroup = retrySafetyByGroup;
        this.sloMillisByGroup = sloMillisByGroup;
    }

    /** Adds all events of a transcript, a file with one JSON object a line. */
    public void readTranscript(Path transcript) throws IOException {
        try (MappingIterator<JsonNode> lines = new ObjectMapper().readerFor(JsonNode.class)
                .readValues(transcript.toFile())) {
            while (lines.hasNextValue()) {
                addEvent(lines.nextValue());
            }
        }
    }

    void addEvent(JsonNode line) {
        double time = line.path("t").asDouble();
        lastEventTime = Math.max(lastEventTime, time);
        String message = line.path("mark").asText();
        String frontEnd = line.path("fe").asText();
        String executor = line.path("ex").asText();
        String event = line.path("ev").asText();
        switch (event) {
            case "asked" -> {
                AuditedRequest request = new AuditedRequest(message, line.path("n").asInt(), frontEnd, line.path("group").asText(), time,
                        line.path("budget").asDouble(), line.path("async").asBoolean(), line.path("forged").asBoolean());
                requests.put(message + "@" + request.attempt, request);
                requestsByMessage.computeIfAbsent(message, key -> new ArrayList<>()).add(request);
                requestTimes.computeIfAbsent(frontEnd, key -> new ArrayList<>()).add(time);
            }
            // The first part of a streamed answer counts as the answer.
            case "begun" -> firstPartTimes.put(message + "@" + line.path("n").asInt(), time);
            case "heard" -> {
                String outcome = line.path("what").asText();
                outcomes.put(message + "@" + line.path("n").asInt(), new ClientOutcome(time, outcome, line.path("signed").asBoolean(),
                        line.path("digest").asInt(), line.path("never_sent").asBoolean()));
                counts.merge("heard " + outcome, 1L, Long::sum);
            }
            case "arrived" -> {
                ExecutorEvent arrival = new ExecutorEvent(time, executor, frontEnd, message, line.path("fwd").asText());
                arrivals.add(arrival);
                arrivalsByForward.put(arrival.forward, arrival);
            }
            case "ran" -> executions.computeIfAbsent(message, key -> new ArrayList<>())
                    .add(new ExecutorEvent(time, executor, "", message, line.path("fwd").asText()));
            case "told" -> reportedStates.computeIfAbsent(frontEnd + " " + executor, key -> new TreeMap<>())
                    .put(time, new ReportedState(time, line.path("ready").asBoolean()));
            case "order" -> {
                if (line.path("copies").asInt() > 0) {
                    loadOrders.computeIfAbsent(frontEnd, key -> new ArrayList<>())
                            .add(new ExecutorEvent(time, executor, frontEnd, line.path("model").asText(), ""));
                }
            }
            case "killed" -> killTimes.computeIfAbsent(frontEnd, key -> new ArrayList<>()).add(time);
            case "fell" -> collapsedExecutors.add(executor);
            case "lag" -> (line.path("of").asText().equals("clients") ? clientLags : standInLags)
                    .add(line.path("from").asDouble(), time);
            case "cut-short" -> inconclusiveReasons.add(line.path("what").asText());
            case "webhook" -> {
                String id = line.path("id").asText();
                // An answer that allows a safe retry has an id of its own; either id is the answer to its message.
                webhookTimes.merge(id.replaceFirst("\\.(shed|failed)-[0-9a-f]+$", ".answer"), time, Math::min);
                webhookBodies.computeIfAbsent(id, key -> new HashSet<>()).add(line.path("body").asText().hashCode());
            }
            default -> { }
        }
    }

    /** Evaluates all rules over the events that were added. */
    public AuditReport evaluate() {
        counts.put("asked", (long) requests.size());
        counts.put("forwards arrived", (long) arrivals.size());
        counts.put("load orders", loadOrders.values().stream().mapToLong(List::size).sum());
        counts.put("ran", executions.values().stream().mapToLong(List::size).sum());
        counts.put("within the SLO time", countWithinSlo());
        counts.put("clients late by at most, ms", Math.round(clientLags.longestMillis()));
        counts.put("stand-ins late by at most, ms", Math.round(standInLags.longestMillis()));
        List<RuleResult> results = List.of(checkAnswers(), checkSingleExecution(), checkDrains(),
                new RuleResult(4, "no cold executor pushed over", collapsedExecutors.isEmpty(), reportedStates.size(),
                        List.copyOf(collapsedExecutors)), checkLoadOrderBudget());
        return new AuditReport(results, counts, List.copyOf(inconclusiveReasons));
    }

    /** Counts the messages whose answer was returned within the SLO time, counted from the first attempt. */
    private long countWithinSlo() {
        long count = 0;
        for (List<AuditedRequest> attempts : requestsByMessage.values()) {
            double firstAttemptTime = attempts.stream().mapToDouble(AuditedRequest::time).min().orElse(0);
            for (AuditedRequest request : attempts) {
                ClientOutcome outcome = outcomes.get(request.message + "@" + request.attempt);
                if (outcome != null && outcome.outcome.equals("returned")
                        && outcome.time - firstAttemptTime <= sloMillisByGroup.getOrDefault(request.group, 0d)) {
                    count++;
                    break;
                }
            }
        }
        return count;
    }

    private boolean killedBetween(String frontEnd, double from, double to) {
        return killTimes.getOrDefault(frontEnd, List.of()).stream()
                .anyMatch(time -> time >= from - CLOCK_TOLERANCE_MILLIS && time <= to + CLOCK_TOLERANCE_MILLIS);
    }

    private RuleResult checkAnswers() {
        List<String> violations = new ArrayList<>();
        for (Map.Entry<String, AuditedRequest> entry : requests.entrySet()) {
            AuditedRequest request = entry.getValue();
            ClientOutcome outcome = outcomes.get(entry.getKey());
            double deadline = request.time + request.budgetMillis + parameters.answerSlackMillis + CLOCK_TOLERANCE_MILLIS;
            boolean killed = killedBetween(request.frontEnd, request.time, deadline);
            String violation = null;
            if (outcome == null) {
                violation = lastEventTime > deadline && !killed ? "no answer" : null;
            } else {
                switch (outcome.outcome) {
                    // The client cancelled the request or stopped waiting.
                    case "left" -> violation = killed ? null
                            : violationIfLate("no answer", entry.getKey(), clientLags, outcome.time, deadline);
                    // A client goes on writing to the connection of a killed process until it notices the close.
                    case "lost" -> violation = outcome.neverSent || killed
                            || killedBetween(request.frontEnd, request.time - UNNOTICED_CLOSE_MILLIS, deadline) ? null : "connection lost";
                    case "refused" -> violation = request.forged ? null : "refused";
                    case "accepted" -> {
                        Double deliveryTime = webhookTimes.get(request.message.substring(request.message.indexOf('/') + 1) + ".answer");
                        // With a ledger, an accepted inference survives a restart; only its delivery may be late.
                        boolean excused = killed && !(parameters.sharesMessages && deliveryTime == null
                                && lastEventTime > deadline + DELIVERY_AFTER_RESTART_MILLIS);
                        violation = excused || lastEventTime < deadline + WEBHOOK_DELIVERY_MILLIS ? null
                                : deliveryTime == null ? "no webhook"
                                : deliveryTime > deadline + WEBHOOK_DELIVERY_MILLIS && !killed ? "late webhook" : null;
                    }
                    default -> {
                        String lateAnswer = killed ? null : violationIfLate(
                                "answered " + Math.round(outcome.time - request.time - request.budgetMillis) + " ms late",
                                entry.getKey(), clientLags, firstPartTimes.getOrDefault(entry.getKey(), outcome.time), deadline);
                        violation = request.forged ? "a forged message was answered" : lateAnswer != null ? lateAnswer
                                : !outcome.signed ? "answer not signed" : null;
                    }
                }
            }
            if (violation != null) {
                violations.add(entry.getKey() + " " + violation);
            }
        }
        for (ExecutorEvent arrival : arrivals) {
            boolean clientWaited = false;
            double lastWaitEnd = Double.NEGATIVE_INFINITY;
            for (AuditedRequest request : requestsByMessage.getOrDefault(arrival.subject, List.of())) {
                ClientOutcome outcome = outcomes.get(request.message + "@" + request.attempt);
                double waitEnd = outcome == null || outcome.outcome.equals("lost") || outcome.outcome.equals("accepted")
                        ? request.time + request.budgetMillis : outcome.time;
                clientWaited |= !request.forged && arrival.time >= request.time - CLOCK_TOLERANCE_MILLIS
                        && arrival.time <= waitEnd + CLOCK_TOLERANCE_MILLIS;
                if (!request.forged && arrival.time >= request.time - CLOCK_TOLERANCE_MILLIS) {
                    lastWaitEnd = Math.max(lastWaitEnd, waitEnd + CLOCK_TOLERANCE_MILLIS);
                }
            }
            String violation = clientWaited ? null
                    : violationIfLate("sent while nobody waited", arrival.forward, standInLags, arrival.time, lastWaitEnd);
            if (violation != null) {
                violations.add(arrival.forward + " " + violation);
            }
        }
        webhookBodies.forEach((id, bodies) -> {
            if (bodies.size() > 1) {
                violations.add(id + " has " + bodies.size() + " different answers");
            }
        });
        return new RuleResult(1, "every inference gets one final answer in time, nothing is sent after it",
                violations.isEmpty(), requests.size(), violations);
    }

    /**
     * Returns {@code violation} where an event at {@code time} came after {@code bound}, otherwise null. If the process that
     * recorded the time was so late that the event may have come before, the result is null and an inconclusive reason is added.
     */
    private String violationIfLate(String violation, String subject, LagIntervals lags, double time, double bound) {
        if (time <= bound) {
            return null;
        }
        if (lags.earliestArrival(time) <= bound) {
            inconclusiveReasons.add(subject + " " + violation + ", by clocks that were read late");
            return null;
        }
        return violation;
    }

    /** How long a client may not notice that the process at the other end was killed. */
    private static final double UNNOTICED_CLOSE_MILLIS = 500;
    /** Covers a restart and a second delivery attempt by the schedule. */
    private static final double DELIVERY_AFTER_RESTART_MILLIS = 15_000;
    /** A webhook is sent after the answer is known, and a busy machine sends it later. */
    private static final double WEBHOOK_DELIVERY_MILLIS = 2000;

    private RuleResult checkSingleExecution() {
        List<String> violations = new ArrayList<>();
        for (Map.Entry<String, List<ExecutorEvent>> entry : executions.entrySet()) {
            List<AuditedRequest> attempts = requestsByMessage.getOrDefault(entry.getKey(), List.of());
            String retrySafety = attempts.isEmpty() ? "retriable" : retrySafetyByGroup.getOrDefault(attempts.get(0).group, "retriable");
            List<ExecutorEvent> runs = entry.getValue();
            if (!retrySafety.equals("retriable") && runs.size() > 1) {
                violations.add(entry.getKey() + " ran " + runs.size() + " times");
            }
            for (AuditedRequest request : attempts) {
                ClientOutcome outcome = outcomes.get(request.message + "@" + request.attempt);
                // A shed answer promises that a retry is safe. That is wrong where a non-retriable inference was executed.
                if (retrySafety.equals("non-retriable") && outcome != null && outcome.outcome.equals("shed")
                        && runs.stream().anyMatch(run -> belongsToAttempt(request, outcome, attempts, run.forward))) {
                    violations.add(request.message + " ran and was shed");
                }
            }
        }
        Map<String, Double> firstArrivals = new HashMap<>();
        for (ExecutorEvent arrival : arrivals) {
            List<AuditedRequest> attempts = requestsByMessage.getOrDefault(arrival.subject, List.of());
            if (!attempts.isEmpty() && "deduped".equals(retrySafetyByGroup.get(attempts.get(0).group))) {
                double firstTime = firstArrivals.merge(arrival.subject, arrival.time, Math::min);
                if (executions.containsKey(arrival.subject)
                        && arrival.time > firstTime + parameters.dedupWindowMillis + CLOCK_TOLERANCE_MILLIS) {
                    violations.add(arrival.forward + " sent after the window");
                }
            }
        }
        requestsByMessage.forEach((message, attempts) -> {
            boolean notRetriable = !"retriable".equals(retrySafetyByGroup.get(attempts.get(0).group));
            boolean answerIsShared = parameters.sharesMessages && notRetriable;
            boolean returned = attempts.stream().anyMatch(request -> outcomes.containsKey(message + "@" + request.attempt)
                    && outcomes.get(message + "@" + request.attempt).outcome.equals("returned"));
            if (returned && notRetriable && !executions.containsKey(message)) {
                violations.add(message + " was returned and never ran");
            }
            // Without shared messages, only a front end that was never killed must repeat its own answer.
            Set<Integer> answerDigests = new HashSet<>();
            for (AuditedRequest request : attempts) {
                ClientOutcome outcome = outcomes.get(message + "@" + request.attempt);
                if (outcome != null && outcome.outcome.equals("returned") && (answerIsShared || request.frontEnd.equals(
                        attempts.get(0).frontEnd) && killTimes.getOrDefault(request.frontEnd, List.of()).isEmpty())) {
                    answerDigests.add(outcome.digest);
                }
            }
            if (answerDigests.size() > 1) {
                violations.add(message + " got " + answerDigests.size() + " different answers");
            }
        });
        return new RuleResult(2, "no effect happens twice", violations.isEmpty(), executions.size(), violations);
    }

    /** Whether a forward belongs to this attempt: it came from its front end, before its answer and before the next attempt there. */
    private boolean belongsToAttempt(AuditedRequest request, ClientOutcome outcome, List<AuditedRequest> attempts, String forward) {
        ExecutorEvent arrival = arrivalsByForward.get(forward);
        if (arrival == null || !arrival.frontEnd.equals(request.frontEnd) || arrival.time < request.time
                || arrival.time > outcome.time + CLOCK_TOLERANCE_MILLIS) {
            return false;
        }
        return attempts.stream().noneMatch(later -> later.attempt != request.attempt && later.frontEnd.equals(request.frontEnd)
                && later.time >= outcome.time && later.time <= arrival.time);
    }

    private RuleResult checkDrains() {
        List<String> violations = new ArrayList<>();
        long checked = 0;
        List<ExecutorEvent> sent = new ArrayList<>(arrivals);
        loadOrders.values().forEach(sent::addAll);
        for (ExecutorEvent event : sent) {
            TreeMap<Double, ReportedState> states = reportedStates.get(event.frontEnd + " " + event.executor);
            if (states == null) {
                continue;
            }
            checked++;
            Map.Entry<Double, ReportedState> current = states.floorEntry(event.time);
            if (current == null || current.getValue().ready) {
                continue;
            }
            // The executor was reported as not ready at that time. Of several such reports in a row, the first one counts.
            double since = current.getKey();
            for (Map.Entry<Double, ReportedState> previous = states.lowerEntry(since); previous != null
                    && !previous.getValue().ready; previous = states.lowerEntry(since)) {
                since = previous.getKey();
            }
            String violation = violationIfLate("to " + event.executor + " " + Math.round(event.time - since) + " ms after",
                    event.forward.isEmpty() ? "order for " + event.subject : event.forward, standInLags, event.time,
                    since + parameters.drainGraceMillis + CLOCK_TOLERANCE_MILLIS);
            if (violation != null) {
                violations.add((event.forward.isEmpty() ? "order for " + event.subject : event.forward) + " " + violation);
            }
        }
        return new RuleResult(3, "nothing new to what drains or is gone", violations.isEmpty(), checked, violations);
    }

    private RuleResult checkLoadOrderBudget() {
        List<String> violations = new ArrayList<>();
        long checked = 0;
        if (parameters.loadOrderWindowMillis > 0) {
            for (Map.Entry<String, List<ExecutorEvent>> entry : loadOrders.entrySet()) {
                List<ExecutorEvent> orders = new ArrayList<>(entry.getValue());
                orders.sort((a, b) -> Double.compare(a.time, b.time));
                double[] requestTimesSorted = requestTimes.getOrDefault(entry.getKey(), List.of()).stream().mapToDouble(t -> t).sorted()
                        .toArray();
                // The window before the current order: its first order, and its first and past its last request.
                int firstOrder = 0;
                int firstRequest = 0;
                int endRequest = 0;
                for (int i = 0; i < orders.size(); i++) {
                    double orderTime = orders.get(i).time;
                    while (orders.get(firstOrder).time < orderTime - parameters.loadOrderWindowMillis + CONNECT_TIMEOUT_MILLIS) {
                        firstOrder++;
                    }
                    while (endRequest < requestTimesSorted.length && requestTimesSorted[endRequest] <= orderTime) {
                        endRequest++;
                    }
                    while (firstRequest < requestTimesSorted.length
                            && requestTimesSorted[firstRequest] < orderTime - parameters.loadOrderWindowMillis - CLOCK_TOLERANCE_MILLIS) {
                        firstRequest++;
                    }
                    checked++;
                    double allowed = parameters.freeLoadOrders + parameters.loadOrdersPerRequest * (endRequest - firstRequest);
                    if (i - firstOrder + 1 > allowed
                            && !killedBetween(entry.getKey(), orderTime - parameters.loadOrderWindowMillis, orderTime)) {
                        violations.add(entry.getKey() + " ordered " + (i - firstOrder + 1) + " where " + allowed + " were allowed");
                    }
                }
            }
        }
        return new RuleResult(5, "load orders keep within the ration", violations.isEmpty(), checked, violations);
    }
}
