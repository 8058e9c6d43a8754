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

/** A loopback port that stays reserved while nothing listens on it, so that it is not assigned to an outgoing connection. */
final class ReservedPort implements AutoCloseable {
    private static final int MAX_BIND_ATTEMPTS = 400;
    private static final long BIND_RETRY_MILLIS = 5;

    /** Bound but never connected; a listener that also sets SO_REUSEADDR can bind the same port. */
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
     * Listens on this port. A closed listener releases its socket only in the next iteration of its event loop; binding fails
     * until then and is retried.
     */
    Channel listen(EventLoop loop, ChannelHandler connectionHandler) throws InterruptedException {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), number());
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childHandler(connectionHandler);
        ChannelFuture bindFuture = bootstrap.bind(address).await();
        for (int attempts = 1; bindFuture.cause() instanceof BindException && attempts < MAX_BIND_ATTEMPTS; attempts++) {
            Thread.sleep(BIND_RETRY_MILLIS);
            bindFuture = bootstrap.bind(address).await();
        }
        return bindFuture.sync().channel();
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
