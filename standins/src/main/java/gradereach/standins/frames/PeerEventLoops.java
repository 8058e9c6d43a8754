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

/** The threads and the one clock of all scripted peers of a run. */
public final class PeerEventLoops implements AutoCloseable {
    private static final int THREADS = 2;
    private static final long SHUTDOWN_MILLIS = 500;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long TICK_NANOS = 5_000_000;
    /** Below those that Linux gives to outgoing connections (from 32768). */
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    private static final int MAX_PORT_ATTEMPTS = 100;
    private static final long PORT_RETRY_MILLIS = 10;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final long startNanos = System.nanoTime();
    private final LagIntervals lagIntervals = new LagIntervals();

    /** Starts the threads, and watches how late they come to their work. */
    public PeerEventLoops() {
        for (EventExecutor loop : group) {
            long[] last = {System.nanoTime()};
            loop.scheduleAtFixedRate(() -> {
                long now = System.nanoTime();
                if (now - last[0] > 2 * TICK_NANOS) {
                    lagIntervals.add(toMillis(last[0]), toMillis(now));
                }
                last[0] = now;
            }, TICK_NANOS, TICK_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    /**
     * The longest time by which the peers were late themselves, milliseconds: what they tell the auditor is wrong by as much.
     */
    public double longestLagMillis() {
        return lagIntervals.longestMillis();
    }

    /** When they were late. */
    public LagIntervals lagIntervals() {
        return lagIntervals;
    }

    /** Milliseconds on the monotonic clock, from the begin of the run. */
    public double now() {
        return toMillis(System.nanoTime());
    }

    /** The same of a reading of {@link System#nanoTime}, also of another process of this machine. */
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
     * Listens on loopback, on a port that no outgoing connection is given by the system: a peer that ends and starts anew finds
     * it free.
     */
    Channel listen(ChannelHandler connections) throws InterruptedException {
        for (int i = 0;; i++) {
            try {
                return listen(FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT), connections);
            } catch (Exception e) {
                if (!(e instanceof BindException) || i == MAX_PORT_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    /** The same on a port that another peer has just left: it is free when its loop has been through once. */
    Channel listenWithRetry(int port, ChannelHandler connections) throws InterruptedException {
        for (int i = 0;; i++) {
            try {
                return listen(port, connections);
            } catch (Exception e) {
                if (!(e instanceof BindException) || i == MAX_PORT_ATTEMPTS) {
                    throw e;
                }
                Thread.sleep(PORT_RETRY_MILLIS);
            }
        }
    }

    /** Listens on loopback. */
    Channel listen(int port, ChannelHandler connections) throws InterruptedException {
        return new ServerBootstrap().group(group).channel(NioServerSocketChannel.class).childHandler(connections)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .bind(new InetSocketAddress("127.0.0.1", port)).sync().channel();
    }

    static int port(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** From which port a connection was made; 0 once it has ended. */
    static int remotePort(Channel connection) {
        return connection.remoteAddress() instanceof InetSocketAddress from ? from.getPort() : 0;
    }

    static String address(Channel listener) {
        return ((InetSocketAddress) listener.localAddress()).getHostString() + ":" + port(listener);
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
    }
}
