package gradereach.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import gradereach.counts.Counts;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2SettingsFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.ReferenceCountUtil;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request that was handed to a connection and waits there must not be written once its write condition no longer holds. */
@Timeout(60)
class StalledPeerTest {
    private static final String BODY = "a body that must not come late";
    private static final byte[] EMPTY_BODY = new byte[0];
    /** Together more than the socket buffers hold on loopback (Linux: 6 MB to read, 4 MB to write). */
    private static final int FILLER_REQUESTS = 900;
    private static final int FILLER_BYTES = 15_000;

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final BlockingQueue<String> framesSeen = new LinkedBlockingQueue<>();
    private final BlockingQueue<Channel> connections = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private final AtomicBoolean mayWrite = new AtomicBoolean(true);

    @AfterEach
    void shutDown() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private Http2ConnectionPool pool(InetSocketAddress peer) {
        return new Http2ConnectionPool(peer, loops.next(), NioSocketChannel.class,
                new Http2ConnectionPool.Limits(1, 1000, 500, 60_000, 1000, 1 << 16),
                new Http2ConnectionPool.Metrics(new Counts(), "test"), () -> System.nanoTime() / 1e6);
    }

    /** Returns once the pool has checked the write condition and is about to hand the request to the connection. */
    private Http2ConnectionPool.Request sendAndAwaitHandover(Http2ConnectionPool pool) throws InterruptedException {
        CountDownLatch handedOver = new CountDownLatch(1);
        Http2ConnectionPool.Request request = pool.send(() -> {
            boolean allowed = mayWrite.get();
            handedOver.countDown();
            return allowed;
        }, "POST", "/", BODY.getBytes(StandardCharsets.UTF_8), (result, status, headers, body) -> results.add(result.name()));
        handedOver.await();
        return request;
    }

    /** Records the frames of each stream and responds to requests without a body. */
    private final class FrameRecorder extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object frame) {
            framesSeen.add(frame instanceof Http2HeadersFrame ? "head" : frame instanceof Http2DataFrame ? "body"
                    : frame instanceof Http2ResetFrame ? "reset" : "other");
            if (frame instanceof Http2HeadersFrame head && head.isEndStream()) {
                ctx.writeAndFlush(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status("200"), true));
            }
            ReferenceCountUtil.release(frame);
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof Http2ResetFrame) {
                framesSeen.add("reset");
            }
        }
    }

    /** The server's flow-control windows are 0, so it accepts no body. */
    private InetSocketAddress startServerWithZeroWindow() throws InterruptedException {
        return (InetSocketAddress) new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel connection) {
                        connection.pipeline().addLast(Http2FrameCodecBuilder.forServer()
                                .initialSettings(Http2Settings.defaultSettings().initialWindowSize(0)).build(),
                                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel stream) {
                                        stream.pipeline().addLast(new FrameRecorder());
                                    }
                                }));
                        connections.add(connection);
                    }
                }).bind("127.0.0.1", 0).sync().channel().localAddress();
    }

    /**
     * Guards against a forward whose body is sent to an executor after the deadline for sending it, when the executor opens its
     * flow-control window late (rules 1 and 3).
     */
    @Test
    void bodyWaitingForFlowControlIsWithdrawn() throws Exception {
        Http2ConnectionPool pool = pool(startServerWithZeroWindow());
        // After the first request the peer's settings are known, since they are sent before its response.
        pool.send("GET", "/", EMPTY_BODY, (result, status, headers, body) -> results.add(result.name()));
        assertEquals("ANSWERED", results.poll(20, TimeUnit.SECONDS));
        assertEquals("head", framesSeen.poll(20, TimeUnit.SECONDS));
        sendAndAwaitHandover(pool);
        assertEquals("head", framesSeen.poll(20, TimeUnit.SECONDS));
        mayWrite.set(false);
        assertEquals("NOT_WRITTEN", results.poll(5, TimeUnit.SECONDS));
        connections.take().writeAndFlush(new DefaultHttp2SettingsFrame(Http2Settings.defaultSettings().initialWindowSize(65_535)));
        assertEquals("reset", framesSeen.poll(20, TimeUnit.SECONDS));
    }

    /**
     * Guards against a body that is written late because the peer did not read from its socket for a while. Meanwhile the
     * request is cancelled, or its deadline passes.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bodyWaitingForSocketIsNeverWrittenLate(boolean cancelled) throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(4096);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Http2ConnectionPool pool = pool((InetSocketAddress) listener.getLocalSocketAddress());
            for (int i = 0; i < FILLER_REQUESTS; i++) {
                pool.send("GET", "/", EMPTY_BODY, (result, status, headers, body) -> { }, "filler", "f" + i + "x".repeat(FILLER_BYTES));
            }
            try (Socket peer = listener.accept()) {
                peer.setSoTimeout(2000);
                Http2ConnectionPool.Request request = sendAndAwaitHandover(pool);
                if (cancelled) {
                    request.cancel();
                }
                mayWrite.set(false);
                results.poll(5, TimeUnit.SECONDS);
                assertFalse(readAll(peer).contains(BODY));
            }
        }
    }

    /** Reads until the connection ends or nothing more arrives. */
    private static String readAll(Socket peer) throws Exception {
        StringBuilder received = new StringBuilder();
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = peer.getInputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                received.append(new String(buffer, 0, n, StandardCharsets.ISO_8859_1));
            }
        } catch (java.net.SocketTimeoutException | SocketException e) {
            // the end of what the peer received
        }
        return received.toString();
    }
}
