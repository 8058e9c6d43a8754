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

/** What was handed to a connection and waits there is written only as long as it may be. */
@Timeout(60)
class StalledPeerTest {
    private static final String BODY = "a body that must not come late";
    private static final byte[] EMPTY_BODY = new byte[0];
    /** Together more than any socket's buffers hold on loopback (Linux: 6 MB to read, 4 MB to write). */
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

    private Http2ConnectionPool pool(InetSocketAddress at) {
        return new Http2ConnectionPool(at, loops.next(), NioSocketChannel.class, new Http2ConnectionPool.Limits(1, 1000, 500, 60_000, 1000, 1 << 16),
                new Http2ConnectionPool.Metrics(new Counts(), "test"), () -> System.nanoTime() / 1e6);
    }

    /** Returns once the pool has asked whether it is wanted, and has handed it to the connection. */
    private Http2ConnectionPool.Request sendAndAwaitHandover(Http2ConnectionPool pool) throws InterruptedException {
        CountDownLatch handedOver = new CountDownLatch(1);
        Http2ConnectionPool.Request request = pool.send(() -> {
            boolean now = mayWrite.get();
            handedOver.countDown();
            return now;
        }, "POST", "/", BODY.getBytes(StandardCharsets.UTF_8), (end, status, headers, body) -> results.add(end.name()));
        handedOver.await();
        return request;
    }

    /** Writes down the frames of each stream, and answers those without a body. */
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

    /** A peer whose windows are 0. */
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

    /** Guards against a forward whose body goes to an executor after its lease, when that opens its window (rules 1 and 3). */
    @Test
    void bodyWaitingForFlowControlIsWithdrawn() throws Exception {
        Http2ConnectionPool pool = pool(startServerWithZeroWindow());
        // The first one learns the peer's settings, which come before its answer.
        pool.send("GET", "/", EMPTY_BODY, (end, status, headers, body) -> results.add(end.name()));
        assertEquals("ANSWERED", results.poll(20, TimeUnit.SECONDS));
        assertEquals("head", framesSeen.poll(20, TimeUnit.SECONDS));
        sendAndAwaitHandover(pool);
        assertEquals("head", framesSeen.poll(20, TimeUnit.SECONDS));
        mayWrite.set(false);
        assertEquals("NOT_WRITTEN", results.poll(5, TimeUnit.SECONDS));
        connections.take().writeAndFlush(new DefaultHttp2SettingsFrame(Http2Settings.defaultSettings().initialWindowSize(65_535)));
        assertEquals("reset", framesSeen.poll(20, TimeUnit.SECONDS));
    }

    /** Guards against the same where the peer reads nothing for a while: given up, or its lease over. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bodyWaitingForSocketIsNeverWrittenLate(boolean givenUp) throws Exception {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(4096);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            Http2ConnectionPool pool = pool((InetSocketAddress) listener.getLocalSocketAddress());
            for (int i = 0; i < FILLER_REQUESTS; i++) {
                pool.send("GET", "/", EMPTY_BODY, (end, status, headers, body) -> { }, "filler", "f" + i + "x".repeat(FILLER_BYTES));
            }
            try (Socket peer = listener.accept()) {
                peer.setSoTimeout(2000);
                Http2ConnectionPool.Request request = sendAndAwaitHandover(pool);
                if (givenUp) {
                    request.cancel();
                }
                mayWrite.set(false);
                results.poll(5, TimeUnit.SECONDS);
                assertFalse(readAll(peer).contains(BODY));
            }
        }
    }

    /** What comes until the connection ends, or nothing more comes. */
    private static String readAll(Socket peer) throws Exception {
        StringBuilder all = new StringBuilder();
        byte[] some = new byte[1 << 16];
        try {
            InputStream in = peer.getInputStream();
            for (int n = in.read(some); n >= 0; n = in.read(some)) {
                all.append(new String(some, 0, n, StandardCharsets.ISO_8859_1));
            }
        } catch (java.net.SocketTimeoutException | SocketException e) {
            // that was all
        }
        return all.toString();
    }
}
