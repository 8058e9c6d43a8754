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

/** Runs a pool against a server that treats each stream as its path requests. */
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

    private Http2ConnectionPool pool(InetSocketAddress peer, double idleTimeoutMillis) {
        return new Http2ConnectionPool(peer, loops.next(), NioSocketChannel.class,
                new Http2ConnectionPool.Limits(2, 4, 500, idleTimeoutMillis, 1000, 1 << 16),
                new Http2ConnectionPool.Metrics(counts, "test"), () -> System.nanoTime() / 1e6);
    }

    /** Fails as when no file descriptor is left. */
    public static final class FailingSocketChannel extends NioSocketChannel {
        public FailingSocketChannel() {
            throw new ChannelException("Too many open files");
        }
    }

    /** Netty reports a failure to create a channel on another thread, but the state of a pool belongs to its event loop. */
    @Test
    void channelCreationFailureEndsRequestsOnEventLoop() throws Exception {
        EventLoop loop = loops.next();
        Http2ConnectionPool failingPool = new Http2ConnectionPool((InetSocketAddress) server.localAddress(), loop,
                FailingSocketChannel.class, new Http2ConnectionPool.Limits(2, 4, 500, 60_000, 1000, 1 << 16),
                new Http2ConnectionPool.Metrics(counts, "test"), () -> System.nanoTime() / 1e6);
        for (int i = 0; i < 3; i++) {
            failingPool.send("GET", "/", new byte[0], (result, status, headers, body) -> results.add(result + " " + loop.inEventLoop()));
            assertEquals("NOT_CONNECTED true", results.poll(5, TimeUnit.SECONDS));
        }
    }

    @AfterEach
    void shutDown() {
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Responds to the request of one stream as its path tells. */
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
                            .addListener(write -> ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL)));
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

    private Http2ConnectionPool.Request send(Http2ConnectionPool target, String path) {
        return target.send("GET", path, new byte[0], (result, status, headers, body) ->
                results.add(path + " " + result + (result == ExchangeResult.ANSWERED ? " " + status + " " + body.length : "")));
    }

    @ParameterizedTest
    @CsvSource({"/x, ANSWERED 200 3", "/early, ANSWERED 200 3", "/refuse, REFUSED", "/reset, RESET", "/close, LOST",
        "/half, RESET", "/long, TOO_LONG"})
    void reportsEachResultExactlyOnce(String path, String result) throws InterruptedException {
        send(pool, path);
        assertEquals(path + " " + result, results.take());
        // The pool still works after each of them.
        send(pool, "/again");
        assertEquals("/again ANSWERED 200 3", results.take());
        assertEquals(0, results.size());
    }

    /** As if the executor had begun to drain, or the client had disconnected, while the connection was being established. */
    @Test
    void requestNotWrittenWhenWriteConditionIsFalse() throws InterruptedException {
        pool.send(() -> false, "GET", "/ok", new byte[0], (result, status, headers, body) -> results.add(result + ""));
        assertEquals("NOT_WRITTEN", results.poll(20, TimeUnit.SECONDS));
        pool.send(() -> true, "GET", "/ok", new byte[0], (result, status, headers, body) -> results.add(result + ""));
        assertEquals("ANSWERED", results.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void reportsCancellationAndFailedConnect() throws InterruptedException {
        Http2ConnectionPool.Request request = send(pool, "/never");
        send(pool, "/x");
        assertEquals("/x ANSWERED 200 3", results.take());
        request.cancel();
        assertEquals("/never GIVEN_UP", results.take());
        // Nothing listens on this port.
        Http2ConnectionPool unreachable = pool(new InetSocketAddress("127.0.0.1", 1), 60_000);
        send(unreachable, "/y");
        assertEquals("/y NOT_CONNECTED", results.take());
    }

    /** After a GOAWAY, new streams go to a new connection, while streams at or below its last id continue. */
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

    /**
     * The peer allows two streams per connection and the pool two connections. A request beyond that fails, and its result
     * proves that it has not run.
     */
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
        // The peer refuses the stream if the second connection's SETTINGS have not arrived yet. Both prove that it never ran.
        assertTrue(Set.of("/full NO_STREAM", "/full REFUSED").contains(results.take()));
        open.get(0).cancel();
        assertEquals("/never GIVEN_UP", results.take());
        send(pool, "/x");
        assertEquals("/x ANSWERED 200 3", results.take());
    }

    @Test
    void idleConnectionsClose() throws InterruptedException {
        Http2ConnectionPool shortIdlePool = pool((InetSocketAddress) server.localAddress(), 40);
        send(shortIdlePool, "/x");
        results.take();
        while (counts.value("test_connections_closed_idle") == 0) {
            Thread.sleep(5);
        }
        send(shortIdlePool, "/x");
        assertEquals("/x ANSWERED 200 3", results.take());
    }

    /** The server accepts and never sends anything: the request may have run, and the connection takes no new streams. */
    @Test
    void silentConnectionIsReplaced() throws Exception {
        try (ServerSocket silentServer = new ServerSocket(0, 10, java.net.InetAddress.getLoopbackAddress())) {
            Http2ConnectionPool silentPool = pool(new InetSocketAddress("127.0.0.1", silentServer.getLocalPort()), 60_000);
            Http2ConnectionPool.Request first = send(silentPool, "/x");
            Thread.sleep(1200);
            first.cancel();
            assertEquals("/x GIVEN_UP", results.take());
            assertEquals(1, counts.value("test_connections_gone_silent"));
            send(silentPool, "/y").cancel();
            results.take();
        }
    }
}
