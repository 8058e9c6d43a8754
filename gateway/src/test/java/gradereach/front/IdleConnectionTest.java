package gradereach.front;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.counts.Counts;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Idle timeouts: a connection whose next message is still unread in its socket must not be closed as idle. */
@Timeout(60)
class IdleConnectionTest {
    private static final long IDLE_TIMEOUT_MILLIS = 10_000_000; // so long that only the test itself checks

    private final MultiThreadIoEventLoopGroup server = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MultiThreadIoEventLoopGroup client = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicLong time = new AtomicLong();
    private final CompletableFuture<Channel> accepted = new CompletableFuture<>();

    @AfterEach
    void end() {
        server.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        client.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private InetSocketAddress listen(ChannelHandler... handlers) throws InterruptedException {
        return (InetSocketAddress) new ServerBootstrap().group(server).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(handlers);
                        accepted.complete(channel);
                    }
                }).bind("127.0.0.1", 0).sync().channel().localAddress();
    }

    private <T> T onServer(Callable<T> action) throws Exception {
        return server.next().submit(action).get();
    }

    @Test
    void anUnreadMessageKeepsAConnectionOpen() throws Exception {
        MessageTimeoutHandler timeoutHandler = new MessageTimeoutHandler(IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS, time::get,
                time::get, new Counts().limit("slow", 1));
        InetSocketAddress address = listen(timeoutHandler);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            Channel channel = accepted.get();
            assertFalse(onServer(() -> {
                time.set(IDLE_TIMEOUT_MILLIS);
                socket.getOutputStream().write("POST".getBytes(StandardCharsets.US_ASCII));
                return timeoutHandler.closeIfIdle(channel.pipeline().context(timeoutHandler));
            }));
            assertTrue(channel.isActive());
        }
    }

    @Test
    void anIdleConnectionIsClosed() throws Exception {
        MessageTimeoutHandler timeoutHandler = new MessageTimeoutHandler(IDLE_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS, time::get,
                time::get, new Counts().limit("slow", 1));
        InetSocketAddress address = listen(timeoutHandler);
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            Channel channel = accepted.get();
            assertTrue(onServer(() -> {
                time.set(IDLE_TIMEOUT_MILLIS);
                return timeoutHandler.closeIfIdle(channel.pipeline().context(timeoutHandler));
            }));
            assertTrue(socket.getInputStream().read() < 0);
        }
    }

    @Test
    void anUnreadStreamKeepsAConnectionOpen() throws Exception {
        Http2IdleHandler idleHandler = new Http2IdleHandler(IDLE_TIMEOUT_MILLIS);
        CompletableFuture<Void> settingsReceived = new CompletableFuture<>();
        InetSocketAddress address = listen(Http2FrameCodecBuilder.forServer().build(),
                new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()), idleHandler);
        Channel connection = new Bootstrap().group(client).channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(Http2FrameCodecBuilder.forClient().build(),
                                new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()),
                                new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void channelRead(ChannelHandlerContext ctx, Object frame) {
                                        settingsReceived.complete(null); // the server's SETTINGS frame
                                    }
                                });
                    }
                }).connect(address).sync().channel();
        settingsReceived.get();
        Channel channel = accepted.get();
        assertFalse(onServer(() -> idleHandler.closeIfIdle(channel.pipeline().context(idleHandler))));
        assertFalse(onServer(() -> {
            Channel stream = new Http2StreamChannelBootstrap(connection).handler(new ChannelInboundHandlerAdapter())
                    .open().get();
            stream.writeAndFlush(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().method("POST").path("/")
                    .scheme("http").authority("a"))).get();
            return idleHandler.closeIfIdle(channel.pipeline().context(idleHandler));
        }));
        assertTrue(onServer(() -> channel.pipeline().get(Http2FrameCodec.class).connection().numActiveStreams() == 1));
        connection.close().sync();
    }
}
