package gradereach.standins.frames;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A scripted change log server that publishes instance events to all front ends of a run. */
public final class ChangelogServer {
    private static final long HEARTBEAT_MILLIS = 1000;
    /** Protocol: an event counts as delivered at the latest this long after watches were closed. */
    private static final double DELIVERED_AFTER_DISCONNECT_MILLIS = 2000;
    /** The same after watches became silent or were moved to another address. */
    private static final double DELIVERED_AFTER_SILENCE_MILLIS = 4000;

    /** Addresses at which the server listens. */
    public final List<String> addresses = new ArrayList<>();
    private final PeerEventLoops loops;
    private final List<String> events = new ArrayList<>();
    /** The events without the truncated ones. */
    private final List<String> wellFormedEvents = new ArrayList<>();
    private volatile double disconnectedAt = Double.NEGATIVE_INFINITY;
    private volatile double silencedAt = Double.NEGATIVE_INFINITY;
    private volatile double addressChangedAt = Double.NEGATIVE_INFINITY;
    private final List<Channel> watches = new CopyOnWriteArrayList<>();
    private final List<ResyncRequest> resyncRequests = new CopyOnWriteArrayList<>();
    /** Bytes written to each open watch. */
    private final Map<Channel, Long> bytesWritten = new ConcurrentHashMap<>();
    private final List<PeerListener> listeners = new ArrayList<>();
    private volatile Outage outage;

    /** A request of a front end for the events that it lacks; {@code port} is the local port of its connection. */
    public record ResyncRequest(int port, double receivedAt) { }

    /** Listens on one port. */
    public ChangelogServer(PeerEventLoops loops) throws InterruptedException {
        this(loops, 1);
    }

    /** Listens on several ports, so that a front end can be reconfigured to another address. */
    public ChangelogServer(PeerEventLoops loops, int portCount) throws InterruptedException {
        this.loops = loops;
        for (int i = 0; i < portCount; i++) {
            PeerListener listener = new PeerListener(loops, connection -> new WatchHandler());
            listeners.add(listener);
            addresses.add(listener.address());
        }
        loops.next().scheduleAtFixedRate(this::sendHeartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** One instance of an event, as JSON. */
    public static String instanceJson(String id, String address, String state) {
        return instanceJson(id, address, state, 0);
    }

    /** One instance of an event, as JSON, with the Unix time of its start in milliseconds. */
    public static String instanceJson(String id, String address, String state, long startedAt) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + address + "\",\"zone\":\"hall a\",\"machineType\":\"std\","
                + "\"cell\":2,\"lifecycle\":\"" + state + "\",\"weight\":4,\"startedAtMs\":" + startedAt + "}";
    }

    /** Makes the change log unavailable to all front ends until {@link #endOutage}. */
    public void startOutage(Outage newOutage) throws InterruptedException {
        outage = newOutage;
        watches.clear();
        if (newOutage == Outage.UNREACHABLE) {
            for (PeerListener listener : listeners) {
                listener.stop();
            }
        }
        if (newOutage == Outage.SILENT) {
            silencedAt = loops.now();
        } else {
            disconnectedAt = loops.now();
            closeConnections();
        }
    }

    /** Makes the change log available again. */
    public void endOutage() throws InterruptedException {
        Outage endedOutage = outage;
        outage = null;
        closeConnections();
        if (endedOutage == Outage.UNREACHABLE) {
            for (PeerListener listener : listeners) {
                listener.restart();
            }
        }
    }

    private void closeConnections() {
        listeners.forEach(listener -> listener.connections().forEach(Channel::close));
    }

    /** All well-formed events so far and the last sequence number, as JSON for the configuration of a front end. */
    public synchronized String readableEventsJson() {
        return "{\"seq\":" + events.size() + ",\"results\":[" + String.join(",", wellFormedEvents) + "]}";
    }

    /** All resync requests of all front ends. */
    public List<ResyncRequest> resyncRequests() {
        return List.copyOf(resyncRequests);
    }

    /** The ports on which it listens. */
    public Set<Integer> ports() {
        return listeners.stream().map(PeerListener::port).collect(Collectors.toSet());
    }

    /**
     * Publishes an event with the next sequence number.
     *
     * @param reset whether the event lists all instances and replaces the earlier ones
     * @return bytes written to each open watch up to and including the event, by the remote port of the watch
     */
    public synchronized Map<Integer, Long> publish(String instances, boolean reset) {
        String event = nextEventJson(instances, reset);
        wellFormedEvents.add(event);
        return publish(event);
    }

    /** Publishes an event that is cut off in the middle, also when it is requested again. */
    public synchronized void publishTruncated(String instances) {
        String event = nextEventJson(instances, false);
        publish(event.substring(0, event.length() / 2));
    }

    private String nextEventJson(String instances, boolean reset) {
        return "{\"seq\":" + (events.size() + 1) + ",\"fleet\":{\"generation\":1,\"reset\":" + reset
                + ",\"instances\":[" + instances + "]}}";
    }

    private Map<Integer, Long> publish(String event) {
        events.add(event);
        Map<Integer, Long> bytesByWatch = new HashMap<>();
        watches.forEach(watch -> bytesByWatch.put(PeerEventLoops.remotePort(watch), writeLine(watch, event)));
        return bytesByWatch;
    }

    /** Records that a front end was reconfigured to another address of this server. */
    public void recordAddressChange() {
        addressChangedAt = loops.now();
    }

    /**
     * The time at which an event counts as delivered. It is later than {@code publishedAt} if watches were closed, became silent
     * or moved to another address shortly before.
     */
    public double deliveredAt(double publishedAt) {
        double deliveryRestoredAt = Math.max(disconnectedAt + DELIVERED_AFTER_DISCONNECT_MILLIS,
                Math.max(silencedAt, addressChangedAt) + DELIVERED_AFTER_SILENCE_MILLIS);
        return Math.max(publishedAt, deliveryRestoredAt);
    }

    /** Keeps the open watches open without sending anything more to them. */
    public void silenceWatches() {
        silencedAt = loops.now();
        watches.clear();
    }

    /** Closes the open watches. */
    public void closeWatches() {
        disconnectedAt = loops.now();
        watches.forEach(Channel::close);
    }

    /** Sends the last sequence number as JSON, in the form that the simulator uses. */
    private synchronized void sendHeartbeat() {
        watches.forEach(watch -> writeLine(watch, "{\"seq\":" + events.size() + "}"));
    }

    /** Sends the events after a sequence number and the current sequence number, then all later events. */
    private synchronized void startWatch(Channel watch, int lastSequenceNumber) {
        for (String event : events.subList(Math.min(lastSequenceNumber, events.size()), events.size())) {
            writeLine(watch, event);
        }
        writeLine(watch, events.size() + "");
        watches.add(watch);
        watch.closeFuture().addListener(closed -> {
            watches.remove(watch);
            bytesWritten.remove(watch);
        });
    }

    /** Returns the total number of bytes written to the watch, including this line. */
    private long writeLine(Channel watch, String line) {
        ByteBuf bytes = Unpooled.copiedBuffer(line + "\n", StandardCharsets.US_ASCII);
        long total = bytesWritten.merge(watch, (long) bytes.readableBytes(), Long::sum);
        watch.writeAndFlush(bytes);
        return total;
    }

    /** Reads resync requests from a connection and starts its watch. */
    private final class WatchHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder received = new StringBuilder();

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            received.append(bytes.toString(StandardCharsets.US_ASCII));
            int end = received.indexOf("\n");
            if (end < 0) {
                return; // the line is not complete yet
            }
            String line = received.substring(0, end).strip();
            received.delete(0, end + 1);
            if (outage == null) {
                resyncRequests.add(new ResyncRequest(PeerEventLoops.remotePort(ctx.channel()), loops.now()));
                ChangelogServer.this.startWatch(ctx.channel(), Integer.parseInt(line.substring(line.indexOf(' ') + 1)));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
