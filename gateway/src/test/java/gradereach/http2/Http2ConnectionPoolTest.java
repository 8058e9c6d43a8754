package gradereach.http2;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.counts.Counts;
import gradereach.http2.ExchangeListener.ExchangeResult;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A pool against a server that does to a stream what its path says. */
@Timeout(30)
class Http2ConnectionPoolTest {
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Counts counts = new Counts();
    private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
    private Channel server;
    private Http2ConnectionPool pool;

    @BeforeEach
    void start() throws InterruptedException {
        server = new ServerBootstrap().group(loops).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(Http2FrameCodecBuilder.forServer()
                                .initialSettings(Http2Settings.defaultSettings().maxConcurrentStreams(2)).build(),
                                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel stream) {
                                        stream.pipeline().addLast(new ScriptedStreamHandler());
                                    }
                                }));
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).sync().channel();
        pool = pool((InetSocketAddress) server.localAddress(), 60_000);
    }

    private Http2ConnectionPool pool(InetSocketAddress at, double idle) {
        return new Http2ConnectionPool(at, loops.next(), NioSocketChannel.class, new Http2ConnectionPool.Limits(2, 4, 500, idle, 1000, 1 << 16),
                new Http2ConnectionPool.Metrics(counts, "test"), () -> System.nanoTime() / 1e6);
    }

    /** No descriptor is left for it. */
    public static final class FailingSocketChannel extends NioSocketChannel {
        public FailingSocketChannel() {
            throw new ChannelException("Too many open files");
        }
    }

    /** Netty tells of a channel that could not be made on a thread of its own; all of a pool is its event loop's. */
    @Test
    void channelCreationFailureEndsRequestsOnEventLoop() throws Exception {
        EventLoop loop = loops.next();
        Http2ConnectionPool none = new Http2ConnectionPool((InetSocketAddress) server.localAddress(), loop, FailingSocketChannel.class,
                new Http2ConnectionPool.Limits(2, 4, 500, 60_000, 1000, 1 << 16), new Http2ConnectionPool.Metrics(counts, "test"),
                () -> System.nanoTime() / 1e6);
        for (int i = 0; i < 3; i++) {
            none.send("GET", "/", new byte[0], (end, status, headers, body) -> results.add(end + " " + loop.inEventLoop()));
            assertEquals("NOT_CONNECTED true", results.poll(5, TimeUnit.SECONDS));
        }
    }

    @AfterEach
    void shutDown() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static final class ScriptedStreamHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof Http2HeadersFrame head) {
                respond(ctx, head.headers().path().toString());
            }
            ReferenceCountUtil.release(msg);
        }

        private void respond(ChannelHandlerContext ctx, String path) {
            switch (path) {
                case "/refuse" -> ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.REFUSED_STREAM));
                case "/reset" -> ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.INTERNAL_ERROR));
                case "/close" -> ctx.channel().parent().close();
                case "/half" -> {
                    ctx.write(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status("200")));
                    ctx.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(new byte[10])))
                            .addListener(w -> ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL)));
                }
                case "/goaway" -> ctx.channel().parent().writeAndFlush(
                        new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR).setExtraStreamIds(0));
                case "/long" -> sendResponse(ctx, 2000);
                case "/early" -> {
                    ctx.write(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status("103")));
                    sendResponse(ctx, 3);
                }
                case "/never" -> { }
                default -> sendResponse(ctx, 3);
            }
        }

        private void sendResponse(ChannelHandlerContext ctx, int bytes) {
            ctx.write(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status("200")));
            ctx.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(new byte[bytes]), true));
        }
    }

    private Http2ConnectionPool.Request send(Http2ConnectionPool to, String path) {
        return to.send("GET", path, new byte[0], (end, status, headers, body) ->
                results.add(path + " " + end + (end == ExchangeResult.ANSWERED ? " " + status + " " + body.length : "")));
    }

    @ParameterizedTest
    @CsvSource({"/x, ANSWERED 200 3", "/early, ANSWERED 200 3", "/refuse, REFUSED", "/reset, RESET", "/close, LOST",
        "/half, RESET", "/long, TOO_LONG"})
    void reportsEachResultExactlyOnce(String path, String end) throws InterruptedException {
        send(pool, path);
        assertEquals(path + " " + end, results.take());
        // The pool goes on after each of them.
        send(pool, "/again");
        assertEquals("/again ANSWERED 200 3", results.take());
        assertEquals(0, results.size());
    }

    /** While its connection came up, its executor began to drain or its client left. */
    @Test
    void requestNotWrittenWhenWriteConditionIsFalse() throws InterruptedException {
        pool.send(() -> false, "GET", "/ok", new byte[0], (end, status, headers, body) -> results.add(end + ""));
        assertEquals("NOT_WRITTEN", results.poll(20, TimeUnit.SECONDS));
        pool.send(() -> true, "GET", "/ok", new byte[0], (end, status, headers, body) -> results.add(end + ""));
        assertEquals("ANSWERED", results.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void reportsCancellationAndFailedConnect() throws InterruptedException {
        Http2ConnectionPool.Request request = send(pool, "/never");
        send(pool, "/x");
        assertEquals("/x ANSWERED 200 3", results.take());
        request.cancel();
        assertEquals("/never GIVEN_UP", results.take());
        // Nobody listens there: it waits for a connection when it is given up, or has just failed.
        Http2ConnectionPool blocked = pool(new InetSocketAddress("127.0.0.1", 1), 60_000);
        send(blocked, "/y");
        assertEquals("/y NOT_CONNECTED", results.take());
    }

    /** The server says with GOAWAY that it takes nothing after the first stream: others go to a new connection. */
    @Test
    void goAwayMovesNewStreamsToNewConnection() throws InterruptedException {
        send(pool, "/x");
        results.take();
        Http2ConnectionPool.Request open = send(pool, "/never");
        send(pool, "/goaway");
        while (counts.value("test_goaways") == 0) {
            Thread.onSpinWait();
        }
        send(pool, "/x");
        assertEquals("/x ANSWERED 200 3", results.take());
        assertEquals(2, counts.value("test_connections_opened"));
        open.cancel();
        assertEquals("/never GIVEN_UP", results.take());
    }

    /** Two streams a connection by the peer's word, two connections by ours: the rest waits, and some is turned away. */
    @Test
    void respectsLimitsOfPeerAndPool() throws InterruptedException {
        send(pool, "/x");
        results.take();
        List<Http2ConnectionPool.Request> open = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            open.add(send(pool, "/never"));
        }
        while (counts.value("test_connections_opened") < 2) {
            Thread.onSpinWait();
        }
        send(pool, "/full");
        // The second connection's SETTINGS may still be on their way: then the peer says it. Either proves it never ran.
        assertTrue(Set.of("/full NO_STREAM", "/full REFUSED").contains(results.take()));
        open.get(0).cancel();
        assertEquals("/never GIVEN_UP", results.take());
        send(pool, "/x");
        assertEquals("/x ANSWERED 200 3", results.take());
    }

    @Test
    void idleConnectionsClose() throws InterruptedException {
        Http2ConnectionPool brief = pool((InetSocketAddress) server.localAddress(), 40);
        send(brief, "/x");
        results.take();
        while (counts.value("test_connections_closed_idle") == 0) {
            Thread.sleep(5);
        }
        send(brief, "/x");
        assertEquals("/x ANSWERED 200 3", results.take());
    }

    /** A server that accepts and says nothing: no answer proves nothing, and the link is not used again. */
    @Test
    void silentConnectionIsReplaced() throws Exception {
        try (ServerSocket mute = new ServerSocket(0, 10, java.net.InetAddress.getLoopbackAddress())) {
            Http2ConnectionPool muted = pool(new InetSocketAddress("127.0.0.1", mute.getLocalPort()), 60_000);
            Http2ConnectionPool.Request first = send(muted, "/x");
            Thread.sleep(1200);
            first.cancel();
            assertEquals("/x GIVEN_UP", results.take());
            assertEquals(1, counts.value("test_connections_gone_silent"));
            send(muted, "/y").cancel();
            results.take();
        }
    }
}
