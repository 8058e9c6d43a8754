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
public final class FrontEndConnectionLog {
    /** The protocol: a request that crosses the close of a connection within so many milliseconds is sent again. */
    private static final double CROSSED_CLOSE_MILLIS = 50;
    /** The protocol: what the change log would have told counts as told so long after a break, or once it is asked again. */
    private static final double DELIVERED_AFTER_DISCONNECT_MILLIS = 2000;
    /** Milliseconds from a write to when its peer has read it, on a busy machine. */
    private static final double MAX_TRANSIT_MILLIS = 300;

    private final List<ConnectionEvent> events;
    private final PeerEventLoops clock;
    private final Set<Integer> changelogPorts;
    private final List<ChangelogServer.ResyncRequest> resyncRequests;

    /**
     * @param changelogPorts where the change log listens
     * @param asked when it was asked for what is missing, by all front ends
     */
    public FrontEndConnectionLog(List<ConnectionEvent> events, PeerEventLoops clock, Set<Integer> changelogPorts,
            List<ChangelogServer.ResyncRequest> asked) {
        this.events = List.copyOf(events);
        this.clock = clock;
        this.changelogPorts = changelogPorts;
        this.resyncRequests = List.copyOf(asked);
    }

    private double timeMillis(ConnectionEvent event) {
        return clock.toMillis(event.nanoTime());
    }

    /** A request that a client wrote, and the end of its connection as the client saw it. */
    record UnansweredRequest(int clientPort, long bytesWrittenBefore, double sentAt, double connectionEndedAt) { }

    /**
     * Whether the front end closed the connection before it had read anything of the request, and shortly after the request
     * was written at the latest.
     */
    boolean crossedClose(UnansweredRequest request) {
        Optional<ConnectionEvent> accepted = latestEvent(event -> event.kind() == Kind.ACCEPTED
                && event.remotePort() == request.clientPort && timeMillis(event) <= request.connectionEndedAt);
        if (accepted.isEmpty()) {
            return false;
        }
        List<ConnectionEvent> ends = events.stream().filter(event -> event.remotePort() == request.clientPort
                && event.localPort() == accepted.get().localPort() && event.nanoTime() >= accepted.get().nanoTime()
                && (event.kind() == Kind.SHUT_DOWN || event.kind() == Kind.CLOSED)).toList();
        Optional<ConnectionEvent> closed = ends.stream().filter(event -> event.kind() == Kind.CLOSED).findFirst();
        return closed.isPresent() && closed.get().bytesReceived() <= request.bytesWrittenBefore
                && timeMillis(ends.get(0)) - request.sentAt <= CROSSED_CLOSE_MILLIS;
    }

    /**
     * From when on an event counts as told to this front end.
     *
     * @param at when the change log told it
     * @param bytesByWatch bytes that the change log had written with it to each watch, by the watch's port
     */
    double deliveredAt(double at, Map<Integer, Long> bytesByWatch) {
        Optional<ConnectionEvent> broken = watchBrokenBefore(at, bytesByWatch);
        if (broken.isEmpty()) {
            return at;
        }
        double brokenAt = timeMillis(broken.get());
        double askedAgainAt = resyncRequests.stream().filter(ask -> ask.receivedAt() > brokenAt && connectedToChangelogFrom(ask.port()))
                .mapToDouble(ChangelogServer.ResyncRequest::receivedAt).min().orElse(Double.POSITIVE_INFINITY);
        return Math.max(at, Math.min(brokenAt + DELIVERED_AFTER_DISCONNECT_MILLIS, askedAgainAt));
    }

    /** For how long a write on that connection was held up by a stop, just before {@code at}; 0 where none was. */
    double writeStallMillis(int localPort, double at) {
        return latestEvent(event -> event.kind() == Kind.HELD_UP && event.localPort() == localPort && timeMillis(event) <= at
                && at - timeMillis(event) <= MAX_TRANSIT_MILLIS).map(ConnectionEvent::detail).orElse(0);
    }

    /** The break by which the event was not read; none where it was read, or no fault kept it from being read. */
    private Optional<ConnectionEvent> watchBrokenBefore(double at, Map<Integer, Long> bytesByWatch) {
        Optional<ConnectionEvent> watch = latestEvent(event -> event.kind() == Kind.CONNECTED && isChangelogConnection(event)
                && bytesByWatch.containsKey(event.localPort()) && timeMillis(event) <= at);
        if (watch.isPresent()) {
            int port = watch.get().localPort();
            return events.stream().filter(event -> event.kind() == Kind.BROKEN && isChangelogConnection(event) && event.localPort() == port
                    && event.nanoTime() >= watch.get().nanoTime() && event.bytesReceived() < bytesByWatch.get(port)).findFirst();
        }
        Optional<ConnectionEvent> broken = latestEvent(event -> event.kind() == Kind.BROKEN && isChangelogConnection(event) && timeMillis(event) <= at);
        return broken.filter(event -> resyncRequests.stream().noneMatch(ask -> ask.receivedAt() > timeMillis(event) && ask.receivedAt() <= at
                && connectedToChangelogFrom(ask.port())));
    }

    private boolean isChangelogConnection(ConnectionEvent event) {
        return changelogPorts.contains(event.remotePort());
    }

    private boolean connectedToChangelogFrom(int port) {
        return events.stream().anyMatch(event -> event.kind() == Kind.CONNECTED && isChangelogConnection(event) && event.localPort() == port);
    }

    private Optional<ConnectionEvent> latestEvent(Predicate<ConnectionEvent> which) {
        Stream<ConnectionEvent> found = events.stream().filter(which);
        return found.max(Comparator.comparingLong(ConnectionEvent::nanoTime));
    }
}
