package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.standins.Lags;
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
    public record Figures(double answerSlack, double drainGrace, double free, double share, double span,
            double dedupWindow, boolean sharedMemory) { }

    /** One rule's verdict; {@code shown} are ids that show a breach. */
    public record Verdict(int rule, String name, boolean kept, long looked, List<String> shown) {
        @Override
        public String toString() {
            return "rule " + rule + " " + (kept ? "kept  " : "BROKEN") + " " + name + " (" + looked + " looked at)"
                    + (shown.isEmpty() ? "" : ": " + String.join(", ", shown.subList(0, Math.min(5, shown.size())))
                    + (shown.size() > 5 ? " and " + (shown.size() - 5) + " more" : ""));
        }
    }

    /**
     * All that is reported of a day.
     *
     * @param undecided why the day cannot tell all that it is to tell; empty where it can
     */
    public record Findings(List<Verdict> verdicts, Map<String, Long> counts, List<String> undecided) {
        /** No rule was broken, and the day was such that it would have shown. */
        public boolean kept() {
            return decided() && verdicts.stream().allMatch(Verdict::kept);
        }

        /** Whether it counts: it shows a breach, or nothing stood in the way of seeing one. */
        public boolean decided() {
            return undecided.isEmpty() || !verdicts.stream().allMatch(Verdict::kept);
        }
    }

    private record Asked(String mark, int n, String fe, String group, double t, double budget, boolean async,
            boolean forged) { }

    private record Heard(double t, String what, boolean signed, int digest, boolean neverSent) { }

    private record Seen(double t, String ex, String fe, String mark, String forward) { }

    private record Word(double t, boolean ready) { }

    /** What a transcript's clock and a busy machine's threads are off by, milliseconds. */
    private static final double CLOCKS = 50;
    /** An order may wait for a connection as long as the connect time-out before it arrives. */
    private static final double LINK = 250;

    private final Figures figures;
    private final Map<String, String> repeatOf;
    private final Map<String, Double> sloOf;
    private final Map<String, Asked> asks = new HashMap<>();
    private final Map<String, Heard> heard = new HashMap<>();
    private final Map<String, Double> begun = new HashMap<>();
    private final Map<String, List<Asked>> byMark = new HashMap<>();
    private final List<Seen> arrived = new ArrayList<>();
    private final Map<String, Seen> arrivedAs = new HashMap<>();
    private final Map<String, List<Seen>> ran = new HashMap<>();
    private final Map<String, TreeMap<Double, Word>> told = new HashMap<>();
    private final Map<String, List<Seen>> orders = new HashMap<>();
    private final Map<String, List<Double>> kills = new HashMap<>();
    private final Map<String, List<Double>> asksAt = new HashMap<>();
    private final Map<String, Double> webhooks = new HashMap<>();
    private final Map<String, Set<Integer>> webhookBodies = new HashMap<>();
    private final Map<String, Long> counts = new TreeMap<>();
    private final Set<String> fell = new LinkedHashSet<>();
    private final List<String> undecided = new ArrayList<>();
    private final Lags clientLags = new Lags();
    private final Lags standInLags = new Lags();
    private double last;

    /** @param repeatOf retriable, deduped or non-retriable, by model group; {@code sloOf} in milliseconds */
    public Auditor(Figures figures, Map<String, String> repeatOf, Map<String, Double> sloOf) {
        this.figures = figures;
        this.repeatOf = repeatOf;
        this.sloOf = sloOf;
    }

    public void read(Path transcript) throws IOException {
        try (MappingIterator<JsonNode> lines = new ObjectMapper().readerFor(JsonNode.class)
                .readValues(transcript.toFile())) {
            while (lines.hasNextValue()) {
                line(lines.nextValue());
            }
        }
    }

    void line(JsonNode l) {
        double t = l.path("t").asDouble();
        last = Math.max(last, t);
        String mark = l.path("mark").asText();
        String fe = l.path("fe").asText();
        String ex = l.path("ex").asText();
        String event = l.path("ev").asText();
        switch (event) {
            case "asked" -> {
                Asked asked = new Asked(mark, l.path("n").asInt(), fe, l.path("group").asText(), t,
                        l.path("budget").asDouble(), l.path("async").asBoolean(), l.path("forged").asBoolean());
                asks.put(mark + "@" + asked.n, asked);
                byMark.computeIfAbsent(mark, m -> new ArrayList<>()).add(asked);
                asksAt.computeIfAbsent(fe, f -> new ArrayList<>()).add(t);
            }
            // An answer in parts is an answer from its first part on.
            case "begun" -> begun.put(mark + "@" + l.path("n").asInt(), t);
            case "heard" -> {
                String what = l.path("what").asText();
                heard.put(mark + "@" + l.path("n").asInt(), new Heard(t, what, l.path("signed").asBoolean(),
                        l.path("digest").asInt(), l.path("never_sent").asBoolean()));
                counts.merge("heard " + what, 1L, Long::sum);
            }
            case "arrived" -> {
                Seen seen = new Seen(t, ex, fe, mark, l.path("fwd").asText());
                arrived.add(seen);
                arrivedAs.put(seen.forward, seen);
            }
            case "ran" -> ran.computeIfAbsent(mark, m -> new ArrayList<>())
                    .add(new Seen(t, ex, "", mark, l.path("fwd").asText()));
            case "told" -> told.computeIfAbsent(fe + " " + ex, k -> new TreeMap<>())
                    .put(t, new Word(t, l.path("ready").asBoolean()));
            case "order" -> {
                if (l.path("copies").asInt() > 0) {
                    orders.computeIfAbsent(fe, f -> new ArrayList<>())
                            .add(new Seen(t, ex, fe, l.path("model").asText(), ""));
                }
            }
            case "killed" -> kills.computeIfAbsent(fe, f -> new ArrayList<>()).add(t);
            case "fell" -> fell.add(ex);
            case "lag" -> (l.path("of").asText().equals("clients") ? clientLags : standInLags)
                    .add(l.path("from").asDouble(), t);
            case "cut-short" -> undecided.add(l.path("what").asText());
            case "webhook" -> {
                String id = l.path("id").asText();
                // One after which a repeat is harmless has an id of its own; either is the answer to its message.
                webhooks.merge(id.replaceFirst("\\.(shed|failed)-[0-9a-f]+$", ".answer"), t, Math::min);
                webhookBodies.computeIfAbsent(id, i -> new HashSet<>()).add(l.path("body").asText().hashCode());
            }
            default -> { }
        }
    }

    public Findings judge() {
        counts.put("asked", (long) asks.size());
        counts.put("forwards arrived", (long) arrived.size());
        counts.put("load orders", orders.values().stream().mapToLong(List::size).sum());
        counts.put("ran", ran.values().stream().mapToLong(List::size).sum());
        counts.put("within the SLO time", withinSlo());
        counts.put("clients late by at most, ms", Math.round(clientLags.longest()));
        counts.put("stand-ins late by at most, ms", Math.round(standInLags.longest()));
        List<Verdict> verdicts = List.of(answered(), effects(), drains(),
                new Verdict(4, "no cold executor pushed over", fell.isEmpty(), told.size(), List.copyOf(fell)), rationed());
        return new Findings(verdicts, counts, List.copyOf(undecided));
    }

    /** First tries and their repeats as one: returned within the SLO time from the first asking. */
    private long withinSlo() {
        long count = 0;
        for (List<Asked> tries : byMark.values()) {
            double first = tries.stream().mapToDouble(Asked::t).min().orElse(0);
            for (Asked ask : tries) {
                Heard end = heard.get(ask.mark + "@" + ask.n);
                if (end != null && end.what.equals("returned") && end.t - first <= sloOf.getOrDefault(ask.group, 0d)) {
                    count++;
                    break;
                }
            }
        }
        return count;
    }

    private boolean killedBetween(String fe, double from, double to) {
        return kills.getOrDefault(fe, List.of()).stream().anyMatch(t -> t >= from - CLOCKS && t <= to + CLOCKS);
    }

    private Verdict answered() {
        List<String> shown = new ArrayList<>();
        for (Map.Entry<String, Asked> entry : asks.entrySet()) {
            Asked ask = entry.getValue();
            Heard end = heard.get(entry.getKey());
            double by = ask.t + ask.budget + figures.answerSlack + CLOCKS;
            boolean killed = killedBetween(ask.fe, ask.t, by);
            String why = null;
            if (end == null) {
                why = last > by && !killed ? "no answer" : null;
            } else {
                switch (end.what) {
                    case "left" -> why = killed ? null : later("no answer", entry.getKey(), clientLags, end.t, by);
                    // A connection that died with its process is written to until its client has seen that.
                    case "lost" -> why = end.neverSent || killed || killedBetween(ask.fe, ask.t - UNSEEN, by) ? null : "connection lost";
                    case "refused" -> why = ask.forged ? null : "refused";
                    case "accepted" -> {
                        Double delivered = webhooks.get(ask.mark.substring(ask.mark.indexOf('/') + 1) + ".answer");
                        // A promise outlives the process where there is a ledger; only its time does not.
                        boolean excused = killed && !(figures.sharedMemory && delivered == null && last > by + AFTER);
                        why = excused || last < by + DELIVERY ? null : delivered == null ? "no webhook"
                                : delivered > by + DELIVERY && !killed ? "late webhook" : null;
                    }
                    default -> {
                        String late = killed ? null : later("answered " + Math.round(end.t - ask.t - ask.budget) + " ms late",
                                entry.getKey(), clientLags, begun.getOrDefault(entry.getKey(), end.t), by);
                        why = ask.forged ? "a forged message was answered" : late != null ? late
                                : !end.signed ? "answer not signed" : null;
                    }
                }
            }
            if (why != null) {
                shown.add(entry.getKey() + " " + why);
            }
        }
        for (Seen seen : arrived) {
            boolean asked = false;
            double lastUntil = Double.NEGATIVE_INFINITY;
            for (Asked ask : byMark.getOrDefault(seen.mark, List.of())) {
                Heard end = heard.get(ask.mark + "@" + ask.n);
                double until = end == null || end.what.equals("lost") || end.what.equals("accepted")
                        ? ask.t + ask.budget : end.t;
                asked |= !ask.forged && seen.t >= ask.t - CLOCKS && seen.t <= until + CLOCKS;
                if (!ask.forged && seen.t >= ask.t - CLOCKS) {
                    lastUntil = Math.max(lastUntil, until + CLOCKS);
                }
            }
            String why = asked ? null : later("sent while nobody waited", seen.forward, standInLags, seen.t, lastUntil);
            if (why != null) {
                shown.add(seen.forward + " " + why);
            }
        }
        webhookBodies.forEach((id, bodies) -> {
            if (bodies.size() > 1) {
                shown.add(id + " has " + bodies.size() + " different answers");
            }
        });
        return new Verdict(1, "every inference gets one final answer in time, nothing is sent after it",
                shown.isEmpty(), asks.size(), shown);
    }

    /**
     * {@code what} where something dated {@code time} came after {@code bound}; null where it did not, and where it may not
     * have, since who dated it was late: then the day cannot tell.
     */
    private String later(String what, String whose, Lags lags, double time, double bound) {
        if (time <= bound) {
            return null;
        }
        if (lags.earliest(time) <= bound) {
            undecided.add(whose + " " + what + ", by clocks that were read late");
            return null;
        }
        return what;
    }

    private static final double UNSEEN = 500;
    private static final double AFTER = 15_000; // a restart, a second delivery by the schedule, and some
    private static final double DELIVERY = 2000; // a webhook goes out after the answer is known; a busy machine's pace

    private Verdict effects() {
        List<String> shown = new ArrayList<>();
        for (Map.Entry<String, List<Seen>> entry : ran.entrySet()) {
            List<Asked> tries = byMark.getOrDefault(entry.getKey(), List.of());
            String repeat = tries.isEmpty() ? "retriable" : repeatOf.getOrDefault(tries.get(0).group, "retriable");
            List<Seen> runs = entry.getValue();
            if (!repeat.equals("retriable") && runs.size() > 1) {
                shown.add(entry.getKey() + " ran " + runs.size() + " times");
            }
            for (Asked ask : tries) {
                Heard end = heard.get(ask.mark + "@" + ask.n);
                // A shed says that a repeat is harmless: false where it ran, but for those whose repeats are harmless.
                if (repeat.equals("non-retriable") && end != null && end.what.equals("shed")
                        && runs.stream().anyMatch(run -> sentBy(ask, end, tries, run.forward))) {
                    shown.add(ask.mark + " ran and was shed");
                }
            }
        }
        Map<String, Double> firstSeen = new HashMap<>();
        for (Seen seen : arrived) {
            List<Asked> tries = byMark.getOrDefault(seen.mark, List.of());
            if (!tries.isEmpty() && "deduped".equals(repeatOf.get(tries.get(0).group))) {
                double first = firstSeen.merge(seen.mark, seen.t, Math::min);
                if (ran.containsKey(seen.mark) && seen.t > first + figures.dedupWindow + CLOCKS) {
                    shown.add(seen.forward + " sent after the window");
                }
            }
        }
        byMark.forEach((mark, tries) -> {
            boolean careful = !"retriable".equals(repeatOf.get(tries.get(0).group));
            boolean shared = figures.sharedMemory && careful;
            boolean returned = tries.stream().anyMatch(ask -> heard.containsKey(mark + "@" + ask.n)
                    && heard.get(mark + "@" + ask.n).what.equals("returned"));
            if (returned && careful && !ran.containsKey(mark)) {
                shown.add(mark + " was returned and never ran");
            }
            Set<Integer> answers = new HashSet<>();
            for (Asked ask : tries) {
                Heard end = heard.get(mark + "@" + ask.n);
                if (end != null && end.what.equals("returned") && (shared || ask.fe.equals(
                        tries.get(0).fe) && kills.getOrDefault(ask.fe, List.of()).isEmpty())) {
                    answers.add(end.digest);
                }
            }
            if (answers.size() > 1) {
                shown.add(mark + " got " + answers.size() + " different answers");
            }
        });
        return new Verdict(2, "no effect happens twice", shown.isEmpty(), ran.size(), shown);
    }

    /** Whether a forward belongs to this try: from its front end, before it was answered and was tried there again. */
    private boolean sentBy(Asked ask, Heard end, List<Asked> tries, String forward) {
        Seen came = arrivedAs.get(forward);
        if (came == null || !came.fe.equals(ask.fe) || came.t < ask.t || came.t > end.t + CLOCKS) {
            return false;
        }
        return tries.stream().noneMatch(later -> later.n != ask.n && later.fe.equals(ask.fe) && later.t >= end.t
                && later.t <= came.t);
    }

    private Verdict drains() {
        List<String> shown = new ArrayList<>();
        long looked = 0;
        List<Seen> sent = new ArrayList<>(arrived);
        orders.values().forEach(sent::addAll);
        for (Seen seen : sent) {
            TreeMap<Double, Word> words = told.get(seen.fe + " " + seen.ex);
            if (words == null) {
                continue;
            }
            looked++;
            Map.Entry<Double, Word> now = words.floorEntry(seen.t);
            if (now == null || now.getValue().ready) {
                continue;
            }
            // Told not ready at that time; several such words in a row count from the first.
            double since = now.getKey();
            for (Map.Entry<Double, Word> before = words.lowerEntry(since); before != null
                    && !before.getValue().ready; before = words.lowerEntry(since)) {
                since = before.getKey();
            }
            String why = later("to " + seen.ex + " " + Math.round(seen.t - since) + " ms after",
                    seen.forward.isEmpty() ? "order for " + seen.mark : seen.forward, standInLags, seen.t,
                    since + figures.drainGrace + CLOCKS);
            if (why != null) {
                shown.add((seen.forward.isEmpty() ? "order for " + seen.mark : seen.forward) + " " + why);
            }
        }
        return new Verdict(3, "nothing new to what drains or is gone", shown.isEmpty(), looked, shown);
    }

    private Verdict rationed() {
        List<String> shown = new ArrayList<>();
        long looked = 0;
        if (figures.span > 0) {
            for (Map.Entry<String, List<Seen>> entry : orders.entrySet()) {
                List<Seen> own = new ArrayList<>(entry.getValue());
                own.sort((a, b) -> Double.compare(a.t, b.t));
                double[] taken = asksAt.getOrDefault(entry.getKey(), List.of()).stream().mapToDouble(t -> t).sorted()
                        .toArray();
                int from = 0;
                int low = 0;
                int high = 0;
                for (int i = 0; i < own.size(); i++) {
                    double t = own.get(i).t;
                    while (own.get(from).t < t - figures.span + LINK) {
                        from++;
                    }
                    while (high < taken.length && taken[high] <= t) {
                        high++;
                    }
                    while (low < taken.length && taken[low] < t - figures.span - CLOCKS) {
                        low++;
                    }
                    looked++;
                    double most = figures.free + figures.share * (high - low);
                    if (i - from + 1 > most && !killedBetween(entry.getKey(), t - figures.span, t)) {
                        shown.add(entry.getKey() + " ordered " + (i - from + 1) + " where " + most + " were allowed");
                    }
                }
            }
        }
        return new Verdict(5, "load orders keep within the ration", shown.isEmpty(), looked, shown);
    }
}
