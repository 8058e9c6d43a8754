package gradereach.standins.frames;

import gradereach.standins.LagIntervals;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The event loops and the shared clock of all scripted peers of a run. */
public final class PeerEventLoops implements AutoCloseable {
    private static final int THREADS = 2;
    private static final long SHUTDOWN_MILLIS = 500;
    private static final double NANOS_PER_MILLI = 1e6;
    /** Period of the tasks that measure the lag of the event loops. */
    private static final long TICK_NANOS = 5_000_000;
    /** The range lies below the ports that Linux assigns to outgoing connections (32768 and above). */
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    private static final int MAX_PORT_ATTEMPTS = 100;
    private static final long PORT_RETRY_MILLIS = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final long startNanos = System.nanoTime();
    private final LagIntervals lagIntervals = new LagIntervals();

    /** Starts the event loops and monitors their lag. */
    public PeerEventLoops() {
        for (EventExecutor loop : group) {
            long[] lastTick = {System.nanoTime()};
            loop.scheduleAtFixedRate(() -> {
                long now = System.nanoTime();
                if (now - lastTick[0] > 2 * TICK_NANOS) {
                    lagIntervals.add(toMillis(lastTick[0]), toMillis(now));
                }
                lastTick[0] = now;
            }, TICK_NANOS, TICK_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    /** The longest lag of an event loop, in milliseconds. Times reported to the auditor can be late by this much. */
    public double longestLagMillis() {
        return lagIntervals.longestMillis();
    }

    /** The intervals in which event loops lagged. */
    public LagIntervals lagIntervals() {
        return lagIntervals;
    }

    /** Milliseconds on the monotonic clock since the start of the run. */
    public double now() {
        return toMillis(System.nanoTime());
    }

    /** Converts a value of {@link System#nanoTime}, which may come from another process of this machine, to the time of {@link #now}. */
    double toMillis(long nanoTime) {
        return (nanoTime - startNanos) / NANOS_PER_MILLI;
    }

    EventLoopGroup group() {
        return group;
    }

    EventLoop next() {
        return group.next();
    }

    /**
     * Listens on loopback, on a port outside of the range for outgoing connections, so that the port is still free when a peer
     * is restarted.
     */
    Channel listen(ChannelHandler connectionHandler) throws InterruptedException {
        for (int i = 0;; i++) {
            try {
                return listen(FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT), connectionHandler);
            } catch (Exception e) { // Netty throws the checked BindException without declaring it
                if (!(e instanceof BindException) || i == MAX_PORT_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    /** Listens on a port that another peer has just closed; it is free only after an iteration of the event loop of that peer. */
    Channel listenWithRetry(int port, ChannelHandler connectionHandler) throws InterruptedException {
        for (int i = 0;; i++) {
            try {
                return listen(port, connectionHandler);
            } catch (Exception e) { // Netty throws the checked BindException without declaring it
                if (!(e instanceof BindException) || i == MAX_PORT_ATTEMPTS) {
                    throw e;
                }
                Thread.sleep(PORT_RETRY_MILLIS);
            }
        }
    }

    /** Listens on the given loopback port. */
    Channel listen(int port, ChannelHandler connectionHandler) throws InterruptedException {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class).childHandler(connectionHandler)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .bind(new InetSocketAddress("127.0.0.1", port)).sync().channel();
    }

    static int port(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Remote port of a connection; 0 once it is closed. */
    static int remotePort(Channel connection) {
        return connection.remoteAddress() instanceof InetSocketAddress remote ? remote.getPort() : 0;
    }

    static String address(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getHostString() + ":" + port(listener);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
    }
}
