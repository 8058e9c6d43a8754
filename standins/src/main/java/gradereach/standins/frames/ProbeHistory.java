package gradereach.standins.frames;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Probes and questions that came to executors and how they were answered: shown beside a send past the grace, and judged by nobody. */
final class ProbeHistory {
    /** So long before a send its executor's probes may have to do with it, milliseconds. */
    private static final double SHOWN_BEFORE_MILLIS = 3000;

    private final Map<String, List<Probe>> probes = new HashMap<>();

    /** One probe, and when its answer and further copies of it were written. */
    static final class Probe {
        private final RequestAuditor.Sender sender;
        private final double receivedAt;
        private final String reply;
        private final List<Double> answeredAt = new ArrayList<>(1);

        private Probe(RequestAuditor.Sender sender, double askedAt, String said) {
            this.sender = sender;
            this.receivedAt = askedAt;
            this.reply = said;
        }

        private String describeRelativeTo(double at) {
            return "asked " + Math.round(receivedAt - at) + " answered " + reply + " "
                    + answeredAt.stream().map(time -> Math.round(time - at) + "").toList();
        }
    }

    /** One has come, and {@code said} is what holds now and is said later. */
    synchronized Probe recordProbe(String executor, RequestAuditor.Sender sender, double at, String said) {
        Probe probe = new Probe(sender, at, said);
        probes.computeIfAbsent(executor, name -> new ArrayList<>()).add(probe);
        return probe;
    }

    synchronized void recordAnswer(Probe probe, double at) {
        probe.answeredAt.add(at);
    }

    /** Those of the sender's front end shortly before, with times counted from {@code at}. */
    synchronized String describe(String executor, RequestAuditor.Sender sender, double at) {
        return probes.getOrDefault(executor, List.of()).stream()
                .filter(probe -> probe.sender.isSameFrontEnd(sender) && probe.receivedAt <= at && probe.receivedAt > at - SHOWN_BEFORE_MILLIS)
                .map(probe -> probe.describeRelativeTo(at)).collect(Collectors.joining(", ", "; its probes, by ms from then: ", ""));
    }
}
