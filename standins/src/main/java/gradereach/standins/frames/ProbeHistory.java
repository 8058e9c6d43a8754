package gradereach.standins.frames;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Probes and status queries received by executors, with their answers. They are quoted in findings about sends after the drain
 * grace and are not checked themselves.
 */
final class ProbeHistory {
    /** Probes received this long before a send are quoted with it. */
    private static final double SHOWN_BEFORE_MILLIS = 3000;

    private final Map<String, List<Probe>> probes = new HashMap<>();

    /** One probe, with the times at which its answer and duplicates of it were written. */
    static final class Probe {
        private final RequestAuditor.Sender sender;
        private final double receivedAt;
        private final String reply;
        private final List<Double> answeredAt = new ArrayList<>(1);

        private Probe(RequestAuditor.Sender sender, double receivedAt, String reply) {
            this.sender = sender;
            this.receivedAt = receivedAt;
            this.reply = reply;
        }

        private String describeRelativeTo(double at) {
            return "asked " + Math.round(receivedAt - at) + " answered " + reply + " "
                    + answeredAt.stream().map(time -> Math.round(time - at) + "").toList();
        }
    }

    /** Records a probe; {@code reply} is the state at its arrival, which may be sent later. */
    synchronized Probe recordProbe(String executor, RequestAuditor.Sender sender, double at, String reply) {
        Probe probe = new Probe(sender, at, reply);
        probes.computeIfAbsent(executor, name -> new ArrayList<>()).add(probe);
        return probe;
    }

    synchronized void recordAnswer(Probe probe, double at) {
        probe.answeredAt.add(at);
    }

    /** Describes the probes of the sender's front end shortly before {@code at}, with times relative to {@code at}. */
    synchronized String describe(String executor, RequestAuditor.Sender sender, double at) {
        return probes.getOrDefault(executor, List.of()).stream()
                .filter(probe -> probe.sender.isSameFrontEnd(sender) && probe.receivedAt <= at
                        && probe.receivedAt > at - SHOWN_BEFORE_MILLIS)
                .map(probe -> probe.describeRelativeTo(at)).collect(Collectors.joining(", ", "; its probes, by ms from then: ", ""));
    }
}
