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

/** The change log of all front ends of a run. */
public final class ChangelogServer {
    private static final long HEARTBEAT_MILLIS = 1000;
    private static final double DELIVERED_AFTER_DISCONNECT_MILLIS = 2000;
    private static final double DELIVERED_AFTER_SILENCE_MILLIS = 4000;

    /** It is reached at each of them. */
    public final List<String> addresses = new ArrayList<>();
    private final PeerEventLoops loops;
    private final List<String> events = new ArrayList<>();
    /** Those of them that can be read. */
    private final List<String> readableEventList = new ArrayList<>();
    private volatile double disconnectedAt = Double.NEGATIVE_INFINITY;
    private volatile double silencedAt = Double.NEGATIVE_INFINITY;
    private volatile double addressChangedAt = Double.NEGATIVE_INFINITY;
    private final List<Channel> watches = new CopyOnWriteArrayList<>();
    private final List<ResyncRequest> resyncRequests = new CopyOnWriteArrayList<>();
    /** Bytes written to each watch that is open. */
    private final Map<Channel, Long> bytesWritten = new ConcurrentHashMap<>();
    private final List<PeerListener> listeners = new ArrayList<>();
    private volatile Outage outage;

    /** A front end has asked for what is missing, on a connection from that port. */
    public record ResyncRequest(int port, double receivedAt) { }

    /** Listens on one port. */
    public ChangelogServer(PeerEventLoops loops) throws InterruptedException {
        this(loops, 1);
    }

    /** Listens on so many ports: a front end may be told to go from one to another. */
    public ChangelogServer(PeerEventLoops loops, int ports) throws InterruptedException {
        this.loops = loops;
        for (int i = 0; i < ports; i++) {
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

    /** Out of reach for every front end, until {@link #restore}. */
    public void startOutage(Outage kind) throws InterruptedException {
        outage = kind;
        watches.clear();
        if (kind == Outage.UNREACHABLE) {
            for (PeerListener listener : listeners) {
                listener.stop();
            }
        }
        if (kind == Outage.SILENT) {
            silencedAt = loops.now();
        } else {
            disconnectedAt = loops.now();
            closeConnections();
        }
    }

    /** Within reach again. */
    public void endOutage() throws InterruptedException {
        Outage was = outage;
        outage = null;
        closeConnections();
        if (was == Outage.UNREACHABLE) {
            for (PeerListener listener : listeners) {
                listener.restart();
            }
        }
    }

    private void closeConnections() {
        listeners.forEach(listener -> listener.connections().forEach(Channel::close));
    }

    /** All events so far that can be read, as the configuration of a front end holds them. */
    public synchronized String readableEvents() {
        return "{\"seq\":" + events.size() + ",\"results\":[" + String.join(",", readableEventList) + "]}";
    }

    /** When it was asked for what is missing, by all front ends. */
    public List<ResyncRequest> resyncRequests() {
        return List.copyOf(resyncRequests);
    }

    /** The ports on which it listens. */
    public Set<Integer> ports() {
        return listeners.stream().map(PeerListener::port).collect(Collectors.toSet());
    }

    /**
     * Tells an event, under the next number. Returns how many bytes were written with it to each open watch, by the port from
     * which the watch was connected.
     */
    public synchronized Map<Integer, Long> publish(String instances, boolean whole) {
        String event = nextEventJson(instances, whole);
        readableEventList.add(event);
        return publish(event);
    }

    /** The same of an event that ends in its middle, whenever it is asked for. */
    public synchronized void publishTruncated(String instances) {
        String event = nextEventJson(instances, false);
        publish(event.substring(0, event.length() / 2));
    }

    private String nextEventJson(String instances, boolean whole) {
        return "{\"seq\":" + (events.size() + 1) + ",\"fleet\":{\"generation\":1,\"reset\":" + whole
                + ",\"instances\":[" + instances + "]}}";
    }

    private Map<Integer, Long> publish(String event) {
        events.add(event);
        Map<Integer, Long> bytesByWatch = new HashMap<>();
        watches.forEach(watch -> bytesByWatch.put(PeerEventLoops.remotePort(watch), writeLine(watch, event)));
        return bytesByWatch;
    }

    /** A front end is told to go to another of its addresses. */
    public void recordAddressChange() {
        addressChangedAt = loops.now();
    }

    /** From when on what is told at {@code at} counts as told: later where watches have broken off, fallen silent or moved. */
    public double deliveredAt(double at) {
        double heardAgain = Math.max(disconnectedAt + DELIVERED_AFTER_DISCONNECT_MILLIS, Math.max(silencedAt, addressChangedAt) + DELIVERED_AFTER_SILENCE_MILLIS);
        return Math.max(at, heardAgain);
    }

    /** Open watches stay open and tell nothing more. */
    public void silenceWatches() {
        silencedAt = loops.now();
        watches.clear();
    }

    /** Open watches end. */
    public void closeWatches() {
        disconnectedAt = loops.now();
        watches.forEach(Channel::close);
    }

    /** The last number alone, in the form that the bench uses. */
    private synchronized void sendHeartbeat() {
        watches.forEach(watch -> writeLine(watch, "{\"seq\":" + events.size() + "}"));
    }

    private synchronized void startOutage(Channel watch, int since) {
        for (String event : events.subList(Math.min(since, events.size()), events.size())) {
            writeLine(watch, event);
        }
        writeLine(watch, events.size() + "");
        watches.add(watch);
        watch.closeFuture().addListener(end -> {
            watches.remove(watch);
            bytesWritten.remove(watch);
        });
    }

    /** Returns how many bytes were written to the watch with this line. */
    private long writeLine(Channel watch, String line) {
        ByteBuf bytes = Unpooled.copiedBuffer(line + "\n", StandardCharsets.US_ASCII);
        long total = bytesWritten.merge(watch, (long) bytes.readableBytes(), Long::sum);
        watch.writeAndFlush(bytes);
        return total;
    }

    private final class WatchHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder received = new StringBuilder();

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            received.append(bytes.toString(StandardCharsets.US_ASCII));
            int end = received.indexOf("\n");
            if (end < 0) {
                return; // it may come in pieces
            }
            String line = received.substring(0, end).strip();
            received.delete(0, end + 1);
            if (outage == null) {
                resyncRequests.add(new ResyncRequest(PeerEventLoops.remotePort(ctx.channel()), loops.now()));
                ChangelogServer.this.startOutage(ctx.channel(), Integer.parseInt(line.substring(line.indexOf(' ') + 1)));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
