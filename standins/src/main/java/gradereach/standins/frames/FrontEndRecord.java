package gradereach.standins.frames;

import gradereach.standins.faults.ConnectionEvent;
import gradereach.standins.faults.ConnectionEvent.Kind;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * What the system calls of one front end show of its connections: which of them it closed and how much it had read of them
 * by then, and when its connection to the change log was broken by a fault. Times are those of the peers' clock.
 */
public final class FrontEndRecord {
    /** The protocol: a request that crosses the close of a connection within so many milliseconds is sent again. */
    private static final double CROSSING = 50;
    /** The protocol: what the change log would have told counts as told so long after a break, or once it is asked again. */
    private static final double TOLD_AFTER_BREAK = 2000;
    /** Milliseconds from a write to when its peer has read it, on a busy machine. */
    private static final double WAY = 300;

    private final List<ConnectionEvent> events;
    private final PeerLoops clock;
    private final Set<Integer> changelogPorts;
    private final List<ChangelogServer.Asked> asked;

    /**
     * @param changelogPorts where the change log listens
     * @param asked when it was asked for what is missing, by all front ends
     */
    public FrontEndRecord(List<ConnectionEvent> events, PeerLoops clock, Set<Integer> changelogPorts,
            List<ChangelogServer.Asked> asked) {
        this.events = List.copyOf(events);
        this.clock = clock;
        this.changelogPorts = changelogPorts;
        this.asked = List.copyOf(asked);
    }

    private double time(ConnectionEvent event) {
        return clock.timeOf(event.nanos());
    }

    /** A request that a client wrote, and the end of its connection as the client saw it. */
    record UnansweredRequest(int clientPort, long writtenBefore, double askedAt, double endedAt) { }

    /**
     * Whether the front end closed the connection before it had read anything of the request, and shortly after the request
     * was written at the latest.
     */
    boolean crossedClose(UnansweredRequest request) {
        Optional<ConnectionEvent> accepted = last(event -> event.kind() == Kind.ACCEPTED
                && event.remotePort() == request.clientPort && time(event) <= request.endedAt);
        if (accepted.isEmpty()) {
            return false;
        }
        List<ConnectionEvent> ends = events.stream().filter(event -> event.remotePort() == request.clientPort
                && event.localPort() == accepted.get().localPort() && event.nanos() >= accepted.get().nanos()
                && (event.kind() == Kind.SHUT_DOWN || event.kind() == Kind.CLOSED)).toList();
        Optional<ConnectionEvent> closed = ends.stream().filter(event -> event.kind() == Kind.CLOSED).findFirst();
        return closed.isPresent() && closed.get().received() <= request.writtenBefore
                && time(ends.get(0)) - request.askedAt <= CROSSING;
    }

    /**
     * From when on an event counts as told to this front end.
     *
     * @param at when the change log told it
     * @param bytesByWatch bytes that the change log had written with it to each watch, by the watch's port
     */
    double toldAt(double at, Map<Integer, Long> bytesByWatch) {
        Optional<ConnectionEvent> broken = watchBrokenBefore(at, bytesByWatch);
        if (broken.isEmpty()) {
            return at;
        }
        double brokenAt = time(broken.get());
        double askedAgainAt = asked.stream().filter(ask -> ask.at() > brokenAt && connectedFrom(ask.port()))
                .mapToDouble(ChangelogServer.Asked::at).min().orElse(Double.POSITIVE_INFINITY);
        return Math.max(at, Math.min(brokenAt + TOLD_AFTER_BREAK, askedAgainAt));
    }

    /** For how long a write on that connection was held up by a stop, just before {@code at}; 0 where none was. */
    double heldUp(int localPort, double at) {
        return last(event -> event.kind() == Kind.HELD_UP && event.localPort() == localPort && time(event) <= at
                && at - time(event) <= WAY).map(ConnectionEvent::detail).orElse(0);
    }

    /** The break by which the event was not read; none where it was read, or no fault kept it from being read. */
    private Optional<ConnectionEvent> watchBrokenBefore(double at, Map<Integer, Long> bytesByWatch) {
        Optional<ConnectionEvent> watch = last(event -> event.kind() == Kind.CONNECTED && toChangelog(event)
                && bytesByWatch.containsKey(event.localPort()) && time(event) <= at);
        if (watch.isPresent()) {
            int port = watch.get().localPort();
            return events.stream().filter(event -> event.kind() == Kind.BROKEN && toChangelog(event) && event.localPort() == port
                    && event.nanos() >= watch.get().nanos() && event.received() < bytesByWatch.get(port)).findFirst();
        }
        Optional<ConnectionEvent> broken = last(event -> event.kind() == Kind.BROKEN && toChangelog(event) && time(event) <= at);
        return broken.filter(event -> asked.stream().noneMatch(ask -> ask.at() > time(event) && ask.at() <= at
                && connectedFrom(ask.port())));
    }

    private boolean toChangelog(ConnectionEvent event) {
        return changelogPorts.contains(event.remotePort());
    }

    private boolean connectedFrom(int port) {
        return events.stream().anyMatch(event -> event.kind() == Kind.CONNECTED && toChangelog(event) && event.localPort() == port);
    }

    private Optional<ConnectionEvent> last(Predicate<ConnectionEvent> which) {
        Stream<ConnectionEvent> found = events.stream().filter(which);
        return found.max(Comparator.comparingLong(ConnectionEvent::nanos));
    }
}
