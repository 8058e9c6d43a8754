package gradereach.standins;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A port on loopback that stays reserved while nothing listens there: no outgoing connection is given it meanwhile. */
final class ReservedPort implements AutoCloseable {
    private static final int MAX_BIND_ATTEMPTS = 400;
    private static final long BIND_RETRY_MILLIS = 5; // milliseconds

    /** Bound and never connected: whoever binds with SO_REUSEADDR as well may listen at the same port. */
    private final Socket reservingSocket = new Socket();

    ReservedPort() {
        try {
            reservingSocket.setReuseAddress(true);
            reservingSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    int number() {
        return reservingSocket.getLocalPort();
    }

    /**
     * Listens here. A listener that was closed lets go of its socket with the next turn of its event loop only, and until
     * then binding fails.
     */
    Channel listen(EventLoop loop, ChannelHandler forConnections) throws InterruptedException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), number());
        ServerBootstrap listener = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childHandler(forConnections);
        ChannelFuture bound = listener.bind(address).await();
        for (int tries = 1; bound.cause() instanceof BindException && tries < MAX_BIND_ATTEMPTS; tries++) {
            Thread.sleep(BIND_RETRY_MILLIS);
            bound = listener.bind(address).await();
        }
        return bound.sync().channel();
    }

    @Override
    public void close() {
        try {
            reservingSocket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
