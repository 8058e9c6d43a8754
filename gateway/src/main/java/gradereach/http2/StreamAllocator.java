package gradereach.http2;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which connection to one peer takes the next stream and when another connection is opened. Holds the state of a
 * pool and does no I/O. A stream goes to the connection with the most streams that can still take one, so that connections
 * no longer needed become idle and close; another is opened only when all are full. A connection that received GOAWAY, or
 * that was silent while streams timed out on it, takes no new streams.
 *
 * @param <C> the pool's object for an open connection
 */
public final class StreamAllocator<C> {
    /** What to do with a new stream; FULL: it can neither start nor wait. */
    public enum Placement { USE_CONNECTION, CONNECT_AND_WAIT, WAIT, FULL }

    /** One open connection. */
    public static final class PooledConnection<C> {
        public final C handle;
        private int activeStreams;
        private int maxStreams;
        private boolean draining;
        private double lastReceivedAt;
        private double idleSince;

        PooledConnection(C handle, int maxStreams, double now) {
            this.handle = handle;
            this.maxStreams = maxStreams;
            lastReceivedAt = now;
            idleSince = now;
        }

        /** Returns the number of open streams. */
        public int activeStreams() {
            return activeStreams;
        }

        /** Returns whether the connection takes no new streams and closes once it has none. */
        public boolean isDraining() {
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
     * Creates an allocator without connections.
     *
     * @param idleTimeoutMillis how long a connection without streams stays open
     * @param silenceTimeoutMillis a connection takes no new streams once a stream on it is cancelled that was open for at least
     *        this long and nothing was received on the connection meanwhile
     */
    public StreamAllocator(int maxConnections, int maxStreamsPerConnection, double idleTimeoutMillis, double silenceTimeoutMillis) {
        this.maxConnections = maxConnections;
        this.maxStreamsPerConnection = maxStreamsPerConnection;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.silenceTimeoutMillis = silenceTimeoutMillis;
        // As many streams may wait as all connections together could take.
        maxWaiting = maxConnections * maxStreamsPerConnection;
    }

    /** Returns the connection for a new stream, or null if there is none. Does not count the stream yet. */
    public PooledConnection<C> busiestAvailable() {
        PooledConnection<C> best = null;
        for (PooledConnection<C> connection : connections) {
            if (!connection.draining && connection.activeStreams < connection.maxStreams
                    && (best == null || connection.activeStreams > best.activeStreams)) {
                best = connection;
            }
        }
        return best;
    }

    /** Decides where a new stream goes. If it has to wait, it counts as waiting until {@link #onWaitEnded}. */
    public Placement placeStream() {
        if (busiestAvailable() != null) {
            return Placement.USE_CONNECTION;
        }
        if (waitingCount >= maxWaiting) {
            return Placement.FULL;
        }
        int usable = connectingCount;
        for (PooledConnection<C> connection : connections) {
            usable += connection.draining ? 0 : 1;
        }
        // Another connection is opened only if those being opened cannot take all waiting streams and this one.
        boolean opensConnection = usable < maxConnections && waitingCount >= connectingCount * maxStreamsPerConnection;
        if (!opensConnection && connectingCount == 0) {
            return Placement.FULL;
        }
        waitingCount++;
        connectingCount += opensConnection ? 1 : 0;
        return opensConnection ? Placement.CONNECT_AND_WAIT : Placement.WAIT;
    }

    /** A waiting stream was placed, failed or was cancelled. */
    public void onWaitEnded() {
        waitingCount--;
    }

    /** A connection attempt succeeded. */
    public PooledConnection<C> onConnected(C handle, double now) {
        connectingCount--;
        PooledConnection<C> connection = new PooledConnection<>(handle, maxStreamsPerConnection, now);
        connections.add(connection);
        return connection;
    }

    /** A connection attempt failed. Returns true if the waiting streams have no other connection to wait for. */
    public boolean onConnectFailed() {
        connectingCount--;
        return connectingCount == 0 && busiestAvailable() == null;
    }

    /** A stream was started on the connection. */
    public void onStreamStarted(PooledConnection<C> connection) {
        connection.activeStreams++;
    }

    /** A stream on the connection has ended, for whatever reason. */
    public void onStreamEnded(PooledConnection<C> connection, double now) {
        connection.activeStreams--;
        connection.idleSince = now;
    }

    /** Applies the peer's SETTINGS_MAX_CONCURRENT_STREAMS. */
    public void setPeerStreamLimit(PooledConnection<C> connection, long streams) {
        connection.maxStreams = (int) Math.min(maxStreamsPerConnection, streams);
    }

    /** Something was received on the connection. */
    public void onReceived(PooledConnection<C> connection, double now) {
        connection.lastReceivedAt = now;
    }

    /** The connection takes no new streams: it received GOAWAY or is being closed. */
    public void startDraining(PooledConnection<C> connection) {
        connection.draining = true;
    }

    /**
     * A stream started at {@code startedAt} was cancelled. Drains the connection if the stream was open for the silence timeout
     * and nothing was received on the connection since its start, as the peer or the network then probably drops everything.
     */
    public void onStreamCancelled(PooledConnection<C> connection, double startedAt, double now) {
        if (connection.lastReceivedAt < startedAt && now - Math.max(connection.lastReceivedAt, startedAt) >= silenceTimeoutMillis) {
            connection.draining = true;
        }
    }

    /** The connection was closed, by either side. */
    public void onConnectionClosed(PooledConnection<C> connection) {
        connection.draining = true;
        connections.remove(connection);
    }

    /** Whether the connection can be closed now: it has no streams and is draining or was idle for the idle timeout. */
    public boolean shouldClose(PooledConnection<C> connection, double now) {
        return connection.activeStreams == 0 && (connection.draining || now - connection.idleSince >= idleTimeoutMillis);
    }

    /** Returns the open connections, including draining ones. */
    public List<PooledConnection<C>> connections() {
        return connections;
    }

    /** Returns the number of connection attempts in progress. */
    public int connectingCount() {
        return connectingCount;
    }
}
