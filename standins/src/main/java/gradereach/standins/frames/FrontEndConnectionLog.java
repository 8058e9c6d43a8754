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
 * Connection events of one front end, recorded from its system calls: which connections it closed and how much it had read
 * by then, and when its connection to the change log was broken by a fault. Times are those of the peers' clock.
 */
public final class FrontEndConnectionLog {
    /** Protocol: a client sends a request again if the connection is closed at most this long after it wrote the request. */
    private static final double CROSSED_CLOSE_MILLIS = 50;
    /** Protocol: events count as delivered this long after a disconnect, or once the front end requests them again. */
    private static final double DELIVERED_AFTER_DISCONNECT_MILLIS = 2000;
    /** Longest time from a write until the peer has read it, on a busy machine. */
    private static final double MAX_TRANSIT_MILLIS = 300;

    private final List<ConnectionEvent> events;
    private final PeerEventLoops clock;
    private final Set<Integer> changelogPorts;
    private final List<ChangelogServer.ResyncRequest> resyncRequests;

    /**
     * @param changelogPorts ports on which the change log listens
     * @param resyncRequests resync requests of all front ends
     */
    public FrontEndConnectionLog(List<ConnectionEvent> events, PeerEventLoops clock, Set<Integer> changelogPorts,
            List<ChangelogServer.ResyncRequest> resyncRequests) {
        this.events = List.copyOf(events);
        this.clock = clock;
        this.changelogPorts = changelogPorts;
        this.resyncRequests = List.copyOf(resyncRequests);
    }

    private double timeMillis(ConnectionEvent event) {
        return clock.toMillis(event.nanoTime());
    }

    /** A request written by a client, and the end of its connection as seen by the client. */
    record UnansweredRequest(int clientPort, long bytesWrittenBefore, double sentAt, double connectionEndedAt) { }

    /**
     * Whether the front end closed the connection without having read any of the request, and no later than shortly after the
     * request was written.
     */
    boolean isCrossedClose(UnansweredRequest request) {
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
     * When an event counts as delivered to this front end.
     *
     * @param publishedAt when the change log published the event
     * @param bytesByWatch bytes written to each watch up to and including the event, by the port of the watch
     */
    double deliveredAt(double publishedAt, Map<Integer, Long> bytesByWatch) {
        Optional<ConnectionEvent> broken = watchBrokenBefore(publishedAt, bytesByWatch);
        if (broken.isEmpty()) {
            return publishedAt;
        }
        double brokenAt = timeMillis(broken.get());
        double resyncAt = resyncRequests.stream()
                .filter(resync -> resync.receivedAt() > brokenAt && connectedToChangelogFrom(resync.port()))
                .mapToDouble(ChangelogServer.ResyncRequest::receivedAt).min().orElse(Double.POSITIVE_INFINITY);
        return Math.max(publishedAt, Math.min(brokenAt + DELIVERED_AFTER_DISCONNECT_MILLIS, resyncAt));
    }

    /**
     * How long a stop of the process delayed a write on this connection that the peer read at {@code readAt}; 0 if it did not.
     */
    double writeStallMillis(int localPort, double readAt) {
        return latestEvent(event -> event.kind() == Kind.HELD_UP && event.localPort() == localPort && timeMillis(event) <= readAt
                && readAt - timeMillis(event) <= MAX_TRANSIT_MILLIS).map(ConnectionEvent::detail).orElse(0);
    }

    /** The fault that kept the front end from reading the event; empty if it read the event, or if no fault was the cause. */
    private Optional<ConnectionEvent> watchBrokenBefore(double publishedAt, Map<Integer, Long> bytesByWatch) {
        Optional<ConnectionEvent> watch = latestEvent(event -> event.kind() == Kind.CONNECTED && isChangelogConnection(event)
                && bytesByWatch.containsKey(event.localPort()) && timeMillis(event) <= publishedAt);
        if (watch.isPresent()) {
            int port = watch.get().localPort();
            return events.stream().filter(event -> event.kind() == Kind.BROKEN && isChangelogConnection(event)
                    && event.localPort() == port && event.nanoTime() >= watch.get().nanoTime()
                    && event.bytesReceived() < bytesByWatch.get(port)).findFirst();
        }
        Optional<ConnectionEvent> broken = latestEvent(event -> event.kind() == Kind.BROKEN && isChangelogConnection(event)
                && timeMillis(event) <= publishedAt);
        return broken.filter(event -> resyncRequests.stream().noneMatch(resync -> resync.receivedAt() > timeMillis(event)
                && resync.receivedAt() <= publishedAt
                && connectedToChangelogFrom(resync.port())));
    }

    private boolean isChangelogConnection(ConnectionEvent event) {
        return changelogPorts.contains(event.remotePort());
    }

    private boolean connectedToChangelogFrom(int port) {
        return events.stream().anyMatch(event -> event.kind() == Kind.CONNECTED && isChangelogConnection(event)
                && event.localPort() == port);
    }

    private Optional<ConnectionEvent> latestEvent(Predicate<ConnectionEvent> filter) {
        Stream<ConnectionEvent> found = events.stream().filter(filter);
        return found.max(Comparator.comparingLong(ConnectionEvent::nanoTime));
    }
}
