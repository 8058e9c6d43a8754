package gradereach.http2;

import java.util.ArrayList;
import java.util.List;

/**
 * Which connection to one peer takes the next stream, and when another is opened: state and decisions of a pool, no
 * I/O. Streams go to the connection with the most of them that still has room, so that those no longer needed fall
 * idle and close; another is opened only when all are full. A connection that was told to go away, or that has gone
 * silent while streams timed out on it, takes nothing new.
 *
 * @param <C> whatever stands for an open connection
 */
public final class StreamAllocator<C> {
    /** What to do with a stream that wants to begin. */
    public enum Placement { USE_CONNECTION, CONNECT_AND_WAIT, WAIT, FULL }

    /** One open connection. */
    public static final class PooledConnection<C> {
        public final C handle;
        private int activeStreams;
        private int maxStreams;
        private boolean draining;
        private double lastReceivedAt;
        private double idleSince;

        PooledConnection(C connection, int most, double now) {
            this.handle = connection;
            this.maxStreams = most;
            lastReceivedAt = now;
            idleSince = now;
        }

        public int activeStreams() {
            return activeStreams;
        }

        public boolean draining() {
            return draining;
        }
    }

    private final int maxConnections;
    private final int maxStreamsPerConnection;
    private final int maxWaiting;
    private final double idleTimeoutMillis;
    private final double silenceTimeoutMillis;
    private final List<PooledConnection<C>> connections = new ArrayList<>();
    private int connectingCount;
    private int waitingCount;

    /**
     * @param idle milliseconds after which an unused connection is closed
     * @param silence milliseconds without a byte, ending in a stream given up, after which one is no longer used
     */
    public StreamAllocator(int mostConnections, int mostStreams, double idle, double silence) {
        this.maxConnections = mostConnections;
        this.maxStreamsPerConnection = mostStreams;
        this.idleTimeoutMillis = idle;
        this.silenceTimeoutMillis = silence;
        // As many as the connections that are being opened could take.
        maxWaiting = mostConnections * mostStreams;
    }

    /** The connection for a new stream, null for none; it is not yet counted there. */
    public PooledConnection<C> busiestAvailable() {
        PooledConnection<C> best = null;
        for (PooledConnection<C> slot : connections) {
            if (!slot.draining && slot.activeStreams < slot.maxStreams && (best == null || slot.activeStreams > best.activeStreams)) {
                best = slot;
            }
        }
        return best;
    }

    /** Where a new stream goes. For the two waits it is counted as waiting until {@link #waited}. */
    public Placement placeStream() {
        if (busiestAvailable() != null) {
            return Placement.USE_CONNECTION;
        }
        if (waitingCount >= maxWaiting) {
            return Placement.FULL;
        }
        int usable = connectingCount;
        for (PooledConnection<C> slot : connections) {
            usable += slot.draining ? 0 : 1;
        }
        boolean open = usable < maxConnections && waitingCount >= connectingCount * maxStreamsPerConnection;
        if (!open && connectingCount == 0) {
            return Placement.FULL;
        }
        waitingCount++;
        connectingCount += open ? 1 : 0;
        return open ? Placement.CONNECT_AND_WAIT : Placement.WAIT;
    }

    /** One that waited is placed, failed or given up. */
    public void onWaitEnded() {
        waitingCount--;
    }

    public PooledConnection<C> onConnected(C connection, double now) {
        connectingCount--;
        PooledConnection<C> slot = new PooledConnection<>(connection, maxStreamsPerConnection, now);
        connections.add(slot);
        return slot;
    }

    /** True where nothing else is on its way: those that wait have nothing to wait for. */
    public boolean onConnectFailed() {
        connectingCount--;
        return connectingCount == 0 && busiestAvailable() == null;
    }

    public void onStreamStarted(PooledConnection<C> slot) {
        slot.activeStreams++;
    }

    public void onStreamEnded(PooledConnection<C> slot, double now) {
        slot.activeStreams--;
        slot.idleSince = now;
    }

    /** The peer's SETTINGS_MAX_CONCURRENT_STREAMS. */
    public void setPeerStreamLimit(PooledConnection<C> slot, long streams) {
        slot.maxStreams = (int) Math.min(maxStreamsPerConnection, streams);
    }

    public void onReceived(PooledConnection<C> slot, double now) {
        slot.lastReceivedAt = now;
    }

    /** GOAWAY, or the connection is being closed. */
    public void startDraining(PooledConnection<C> slot) {
        slot.draining = true;
    }

    /** A stream begun at {@code begunAt} was given up: guards against a link that swallows everything. */
    public void onStreamCancelled(PooledConnection<C> slot, double begunAt, double now) {
        if (slot.lastReceivedAt < begunAt && now - Math.max(slot.lastReceivedAt, begunAt) >= silenceTimeoutMillis) {
            slot.draining = true;
        }
    }

    public void onConnectionClosed(PooledConnection<C> slot) {
        slot.draining = true;
        connections.remove(slot);
    }

    /** Whether it may be closed now: nothing runs on it, and it leaves or was idle for long. */
    public boolean shouldClose(PooledConnection<C> slot, double now) {
        return slot.activeStreams == 0 && (slot.draining || now - slot.idleSince >= idleTimeoutMillis);
    }

    public List<PooledConnection<C>> connections() {
        return connections;
    }

    public int connectingCount() {
        return connectingCount;
    }
}
