package gradereach.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class StartRetryTest {
    private final List<Exception> reportedFailures = new ArrayList<>();

    /** A process that is ending still holds the address and releases it after the first attempt has failed. */
    @Test
    void bindsAddressInUseOnceItIsReleased() throws Exception {
        ServerSocket holder = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        int port = holder.getLocalPort();
        try (ServerSocket bound = StartRetry.run(() -> new ServerSocket(port, 1, InetAddress.getLoopbackAddress()),
                () -> true, failure -> {
                    reportedFailures.add(failure);
                    close(holder);
                })) {
            assertEquals(port, bound.getLocalPort());
        }
        assertEquals(1, reportedFailures.size());
    }

    private static void close(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void retriesTransientFailureAndReportsItOnce() throws Exception {
        int[] attempts = {0};
        assertEquals("open", StartRetry.run(() -> {
            if (++attempts[0] < 4) {
                throw new IOException("Too many open files");
            }
            return "open";
        }, () -> true, reportedFailures::add));
        assertEquals(4, attempts[0]);
        assertEquals(1, reportedFailures.size());
    }

    @Test
    void doesNotRetryUnassignableAddress() {
        assertThrows(BindException.class, () -> StartRetry.run(() -> {
            throw new BindException("Cannot assign requested address");
        }, () -> true, reportedFailures::add));
        assertEquals(0, reportedFailures.size());
    }

    @Test
    void stopsRetryingWhenNoLongerWanted() {
        assertThrows(IOException.class, () -> StartRetry.run(() -> {
            throw new IOException("Too many open files");
        }, () -> false, reportedFailures::add));
    }

    /** Guards against Netty's default, a listener that accepts nothing for a second after a failed accept. */
    @Test
    void listenerResumesSoonAfterFailedAccept() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            CountDownLatch accepted = new CountDownLatch(1);
            Channel listener = new ServerBootstrap().group(group).channel(RetryingServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel connection) {
                            accepted.countDown();
                        }
                    }).bind(new InetSocketAddress("127.0.0.1", 0)).sync().channel();
            listener.eventLoop().submit(() -> listener.pipeline().fireExceptionCaught(new IOException("Too many open files"))).sync();
            new Bootstrap().group(group).channel(NioSocketChannel.class).handler(new ChannelInboundHandlerAdapter())
                    .connect(listener.localAddress()).sync();
            assertTrue(accepted.await(500, TimeUnit.MILLISECONDS));
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }
}
