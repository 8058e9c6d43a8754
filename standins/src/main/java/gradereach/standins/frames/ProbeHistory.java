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

        private String describeRelativeTo(double sendReceivedAt) {
            return "received " + Math.round(receivedAt - sendReceivedAt) + " answered " + reply + " "
                    + answeredAt.stream().map(time -> Math.round(time - sendReceivedAt) + "").toList();
        }
    }

    /** Records a probe; {@code reply} is the state at its arrival, which may be sent later. */
    synchronized Probe recordProbe(String executor, RequestAuditor.Sender sender, double receivedAt, String reply) {
        Probe probe = new Probe(sender, receivedAt, reply);
        probes.computeIfAbsent(executor, name -> new ArrayList<>()).add(probe);
        return probe;
    }

    synchronized void recordAnswer(Probe probe, double answeredAt) {
        probe.answeredAt.add(answeredAt);
    }

    /** Describes the probes of the sender's front end shortly before a send, with times relative to the send. */
    synchronized String describe(String executor, RequestAuditor.Sender sender, double sendReceivedAt) {
        return probes.getOrDefault(executor, List.of()).stream()
                .filter(probe -> probe.sender.isSameFrontEnd(sender) && probe.receivedAt <= sendReceivedAt
                        && probe.receivedAt > sendReceivedAt - SHOWN_BEFORE_MILLIS)
                .map(probe -> probe.describeRelativeTo(sendReceivedAt))
                .collect(Collectors.joining(", ", "; probes, in ms relative to the send: ", ""));
    }
}
