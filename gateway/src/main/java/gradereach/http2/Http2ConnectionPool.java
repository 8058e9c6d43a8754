package gradereach.http2;

import gradereach.counts.Counts;
import gradereach.http2.ExchangeListener.ExchangeResult;
import gradereach.http2.StreamAllocator.PooledConnection;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.DefaultHttp2WindowUpdateFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2ResetFrame;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2SettingsFrame;
import io.netty.handler.codec.http2.Http2StreamChannel;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;

/**
 * Connections to one peer over HTTP/2 without TLS, prior knowledge (RFC 9113, 3.3). Everything happens on one event
 * loop; {@link PoolBook} decides. No request is ever sent again by itself.
 */
public final class Http2ConnectionPool {
    /**
     * Bounds of one pool; times in milliseconds, sizes in bytes.
     *
     * @param window of each stream (RFC 9113, 6.9): so much may come before it is read
     */
    public record Limits(int maxConnections, int maxStreamsPerConnection, int connectTimeoutMillis, double idleTimeoutMillis, int maxResponseBytes, int streamWindowBytes) { }

    /** Counters shared by all pools of a kind. */
    public static final class Metrics {
        final LongAdder opened;
        final LongAdder connectFailures;
        final LongAdder closedIdle;
        final LongAdder goAwaysReceived;
        final LongAdder goneSilent;
        final Counts.Limit waitingStreams;

        public Metrics(Counts counts, String kind) {
            opened = counts.counter(kind + "_connections_opened");
            connectFailures = counts.counter(kind + "_connections_failed");
            closedIdle = counts.counter(kind + "_connections_closed_idle");
            goAwaysReceived = counts.counter(kind + "_goaways");
            goneSilent = counts.counter(kind + "_connections_gone_silent");
            waitingStreams = counts.limit(kind + "_streams_waiting", Long.MAX_VALUE);
        }
    }

    /** How often a request whose last byte waits for flow control or for the socket is looked at. */
    private static final long WRITE_CHECK_INTERVAL_MILLIS = 5;
    /** A link silent for this long while a stream on it was given up is no longer used: above any usual pause. */
    private static final double SILENCE_TIMEOUT_MILLIS = 1000;

    private final InetSocketAddress peer;
    private final String authority;
    private final EventLoop eventLoop;
    private final Class<? extends Channel> channelType;
    private final Limits limits;
    private final Metrics metrics;
    private final DoubleSupplier clock;
    private final StreamAllocator<Channel> allocator;
    private final ArrayDeque<Request> waitingRequests = new ArrayDeque<>();
    private boolean closed;

    public Http2ConnectionPool(InetSocketAddress peer, EventLoop loop, Class<? extends Channel> channelType, Limits bounds,
            Metrics tally, DoubleSupplier clock) {
        this.peer = peer;
        this.authority = peer.getHostString() + ":" + peer.getPort();
        this.eventLoop = loop;
        this.channelType = channelType;
        this.limits = bounds;
        this.metrics = tally;
        this.clock = clock;
        allocator = new StreamAllocator<>(bounds.maxConnections, bounds.maxStreamsPerConnection, bounds.idleTimeoutMillis, SILENCE_TIMEOUT_MILLIS);
    }

    /** One request, from asking until its end. Of the event loop, but for creation. */
    public final class Request {
        private final Http2Headers headers;
        private final byte[] body;
        private final ExchangeListener listener;
        private final BooleanSupplier writeCondition;
        private PooledConnection<Channel> connection;
        private Http2StreamChannel streamChannel;
        private double startedAt;
        private boolean writeStarted;
        /** Of its last frame; null before that was handed to the connection. */
        private ChannelFuture lastWrite;
        private boolean finished;

        private Request(Http2Headers headers, byte[] body, ExchangeListener exchange, BooleanSupplier wanted) {
            this.writeCondition = wanted;
            this.headers = headers;
            this.body = body;
            this.listener = exchange;
        }

        /** Reads on, for one whose answer flows. From any thread. */
        public void readMore() {
            if (eventLoop.inEventLoop()) {
                readNext();
            } else {
                eventLoop.execute(this::readNext);
            }
        }

        private void readNext() {
            if (!finished && streamChannel != null) {
                streamChannel.read();
                // Where a read is already under way the window's update is written and not flushed: the peer would wait for ever.
                streamChannel.flush();
            }
        }

        /** Stops waiting for it; the peer hears CANCEL where it heard of the request. From any thread. */
        public void cancel() {
            eventLoop.execute(() -> {
                if (finished) {
                    return;
                }
                if (connection != null) {
                    allocator.onStreamCancelled(connection, startedAt, clock.getAsDouble());
                    if (connection.draining()) {
                        metrics.goneSilent.increment();
                    }
                }
                finish(writeStarted ? ExchangeResult.GIVEN_UP : ExchangeResult.NOT_WRITTEN, 0, null, null);
                if (streamChannel != null && streamChannel.isActive()) {
                    resetStream();
                }
            });
        }

        /**
         * The peer hears that nobody waits. Where the request itself still waits for the socket that word would come after
         * it, and both late: the connection, which its peer does not read, is closed instead.
         */
        private void resetStream() {
            Channel connection = streamChannel.parent();
            boolean waitsForSocket = lastWrite != null && !lastWrite.isDone()
                    && connection.unsafe().outboundBuffer() != null
                    && connection.unsafe().outboundBuffer().totalPendingWriteBytes() > 0;
            if (waitsForSocket) {
                connection.close();
            } else {
                streamChannel.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
            }
        }

        /** Looks at what is not written whole yet: once it may not be sent any more it is withdrawn. */
        private void watchLastWrite() {
            if (finished || lastWrite.isDone()) {
                return;
            }
            if (writeCondition.getAsBoolean()) {
                eventLoop.schedule(this::watchLastWrite, WRITE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            // Without its last frame the peer has no whole request.
            finish(ExchangeResult.NOT_WRITTEN, 0, null, null);
            resetStream();
        }

        private void finish(ExchangeResult end, int status, Http2Headers answer, byte[] content) {
            if (finished) {
                return;
            }
            finished = true;
            if (connection == null) {
                if (waitingRequests.remove(this)) {
                    allocator.onWaitEnded();
                }
            } else {
                allocator.onStreamEnded(connection, clock.getAsDouble());
                PooledConnection<Channel> was = connection;
                closeIfDrained(was);
                startWaitingRequests();
            }
            listener.onEnd(end, status, answer, content);
        }

        private void startOn(PooledConnection<Channel> on) {
            connection = on;
            allocator.onStreamStarted(on);
            startedAt = clock.getAsDouble();
            boolean flows = listener instanceof ExchangeListener.StreamingListener;
            new Http2StreamChannelBootstrap(on.handle).handler(flows ? new StreamingResponseHandler(this) : new ResponseHandler(this))
                    .option(ChannelOption.AUTO_READ, !flows).open().addListener(opened -> {
                if (finished) {
                    if (opened.isSuccess()) {
                        ((Channel) opened.getNow()).close();
                    }
                    return;
                }
                if (!opened.isSuccess() || !writeCondition.getAsBoolean()) {
                    if (opened.isSuccess()) {
                        ((Channel) opened.getNow()).close();
                    }
                    finish(ExchangeResult.NOT_WRITTEN, 0, null, null);
                    return;
                }
                streamChannel = (Http2StreamChannel) opened.getNow();
                // From here on bytes may be under way, whatever becomes of the write.
                writeStarted = true;
                if (flows) {
                    streamChannel.read();
                }
                ChannelFutureListener failed = write -> {
                    if (!write.isSuccess()) {
                        finish(ExchangeResult.LOST, 0, null, null);
                    }
                };
                if (body.length == 0) {
                    lastWrite = streamChannel.writeAndFlush(new DefaultHttp2HeadersFrame(headers, true));
                } else {
                    streamChannel.write(new DefaultHttp2HeadersFrame(headers, false)).addListener(failed);
                    lastWrite = streamChannel.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(body), true));
                }
                lastWrite.addListener(failed);
                watchLastWrite();
            });
        }
    }

    /** From any thread. {@code more} are name, value pairs with lower-case names. */
    public Request send(String method, String path, byte[] body, ExchangeListener exchange, String... more) {
        return send(() -> true, method, path, body, exchange, more);
    }

    /** From any thread. Nothing of it is written where {@code wanted} says no by then; that is asked on the event loop. */
    public Request send(BooleanSupplier wanted, String method, String path, byte[] body, ExchangeListener exchange,
            String... more) {
        Http2Headers headers = new DefaultHttp2Headers(false).method(method).path(path).scheme("http")
                .authority(authority);
        if (body.length > 0) {
            headers.addInt("content-length", body.length);
        }
        for (int i = 0; i < more.length; i += 2) {
            headers.add(more[i], more[i + 1]);
        }
        Request request = new Request(headers, body, exchange, wanted);
        if (eventLoop.inEventLoop()) {
            start(request);
        } else {
            eventLoop.execute(() -> start(request));
        }
        return request;
    }

    private void start(Request request) {
        if (request.finished) {
            return;
        }
        if (closed) {
            request.finish(ExchangeResult.NOT_WRITTEN, 0, null, null);
            return;
        }
        switch (allocator.placeStream()) {
            case USE_CONNECTION -> request.startOn(allocator.busiestAvailable());
            case CONNECT_AND_WAIT -> {
                waitingRequests.add(request);
                connect();
            }
            case WAIT -> waitingRequests.add(request);
            case FULL -> {
                metrics.waitingStreams.recordRejection();
                request.finish(ExchangeResult.NO_STREAM, 0, null, null);
            }
        }
    }

    private void startWaitingRequests() {
        for (PooledConnection<Channel> slot; !waitingRequests.isEmpty() && (slot = allocator.busiestAvailable()) != null;) {
            Request next = waitingRequests.poll();
            allocator.onWaitEnded();
            next.startOn(slot);
        }
    }

    private void connect() {
        new Bootstrap().group(eventLoop).channel(channelType)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(Http2FrameCodecBuilder.forClient()
                                .initialSettings(Http2Settings.defaultSettings().pushEnabled(false)
                                        .initialWindowSize(limits.streamWindowBytes)).build());
                        ch.pipeline().addLast(new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
                        ch.pipeline().addLast(new ConnectionHandler());
                    }
                }).connect(peer).addListener((ChannelFuture done) -> {
                    if (eventLoop.inEventLoop()) {
                        onConnectEnded(done);
                    } else {
                        // Where no descriptor is left there is no channel, and its failure is told by a thread not ours.
                        eventLoop.execute(() -> onConnectEnded(done));
                    }
                });
    }

    private void onConnectEnded(ChannelFuture done) {
        if (!done.isSuccess()) {
            metrics.connectFailures.increment();
            if (allocator.onConnectFailed()) {
                List<Request> lost = new ArrayList<>(waitingRequests);
                lost.forEach(request -> request.finish(ExchangeResult.NOT_CONNECTED, 0, null, null));
            }
            return;
        }
        metrics.opened.increment();
        // Streams that are not read must not hold up the others: the connection bears all of them full.
        long all = Math.min(1 << 30, (long) limits.maxStreamsPerConnection * limits.streamWindowBytes);
        done.channel().writeAndFlush(new DefaultHttp2WindowUpdateFrame((int) all));
        PooledConnection<Channel> slot = allocator.onConnected(done.channel(), clock.getAsDouble());
        done.channel().pipeline().get(ConnectionHandler.class).connection = slot;
        done.channel().closeFuture().addListener(end -> {
            allocator.onConnectionClosed(slot);
            if (!waitingRequests.isEmpty() && allocator.connectingCount() == 0 && allocator.busiestAvailable() == null) {
                new ArrayList<>(waitingRequests).forEach(r -> r.finish(ExchangeResult.NOT_CONNECTED, 0, null, null));
            }
        });
        if (closed) {
            done.channel().close();
            return;
        }
        startWaitingRequests();
        scheduleIdleCheck(slot);
    }

    private void scheduleIdleCheck(PooledConnection<Channel> slot) {
        eventLoop.schedule(() -> {
            if (!slot.handle.isActive()) {
                return;
            }
            if (allocator.shouldClose(slot, clock.getAsDouble())) {
                metrics.closedIdle.increment();
                allocator.startDraining(slot);
                slot.handle.close();
            } else {
                scheduleIdleCheck(slot);
            }
        }, (long) Math.max(1, limits.idleTimeoutMillis / 4), TimeUnit.MILLISECONDS);
    }

    private void closeIfDrained(PooledConnection<Channel> slot) {
        if (slot.draining() && slot.activeStreams() == 0) {
            slot.handle.close();
        }
    }

    /** Closes connections that nothing runs on; from any thread. */
    public void drainConnections() {
        eventLoop.execute(() -> {
            for (PooledConnection<Channel> slot : new ArrayList<>(allocator.connections())) {
                allocator.startDraining(slot);
                closeIfDrained(slot);
            }
        });
    }

    /** No further request; open connections close when their streams have ended. */
    public void close() {
        eventLoop.execute(() -> {
            closed = true;
            for (PooledConnection<Channel> slot : new ArrayList<>(allocator.connections())) {
                allocator.startDraining(slot);
                closeIfDrained(slot);
            }
        });
    }

    /** What concerns a whole connection. */
    private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
        private PooledConnection<Channel> connection;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof Http2SettingsFrame settings && connection != null) {
                Long most = settings.settings().maxConcurrentStreams();
                if (most != null) {
                    allocator.setPeerStreamLimit(connection, most);
                }
            } else if (msg instanceof Http2GoAwayFrame && connection != null) {
                metrics.goAwaysReceived.increment();
                allocator.startDraining(connection);
                closeIfDrained(connection);
            }
            ReferenceCountUtil.release(msg);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** One stream's answer. */
    private class ResponseHandler extends ChannelInboundHandlerAdapter {
        final Request request;
        private Http2Headers headers;
        private ByteArrayOutputStream body;

        ResponseHandler(Request request) {
            this.request = request;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            allocator.onReceived(request.connection, clock.getAsDouble());
            try {
                if (msg instanceof Http2HeadersFrame head) {
                    CharSequence status = head.headers().status();
                    // 1xx go before the answer; trailers come after it.
                    if (headers == null && (status == null || status.charAt(0) != '1')) {
                        headers = head.headers();
                    } else if (headers != null) {
                        head.headers().forEach(field -> headers.set(field.getKey(), field.getValue()));
                    }
                    if (head.isEndStream()) {
                        onComplete();
                    }
                } else if (msg instanceof Http2DataFrame data) {
                    try {
                        onData(ctx, data.content());
                    } catch (IOException e) {
                        ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
                        request.finish(ExchangeResult.TOO_LONG, 0, null, null);
                        return;
                    }
                    if (data.isEndStream()) {
                        onComplete();
                    }
                } else if (msg instanceof Http2ResetFrame reset) {
                    request.finish(reset.errorCode() == Http2Error.REFUSED_STREAM.code() ? ExchangeResult.REFUSED : ExchangeResult.RESET, 0,
                            null, null);
                }
            } finally {
                ReferenceCountUtil.release(msg);
            }
        }

        void onData(ChannelHandlerContext ctx, ByteBuf content) throws IOException {
            int more = content.readableBytes();
            if (body == null) {
                body = new ByteArrayOutputStream(Math.max(32, more));
            }
            if (body.size() + more > limits.maxResponseBytes) {
                throw new IOException("longer than " + limits.maxResponseBytes);
            }
            byte[] bytes = new byte[more];
            content.readBytes(bytes);
            body.writeBytes(bytes);
        }

        private void onComplete() {
            int status = -1;
            try {
                status = headers == null ? -1 : Integer.parseInt(String.valueOf(headers.status()));
            } catch (NumberFormatException e) {
                // an answer without a proper status is an error answer
            }
            request.finish(ExchangeResult.ANSWERED, status, headers, body == null ? new byte[0] : body.toByteArray());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof Http2GoAwayFrame goAway) {
                // Fired by the multiplexer on streams above the last id only.
                goAway.release();
                request.finish(ExchangeResult.ABOVE_GOAWAY, 0, null, null);
            } else if (event instanceof Http2ResetFrame reset) {
                request.finish(reset.errorCode() == Http2Error.REFUSED_STREAM.code() ? ExchangeResult.REFUSED : ExchangeResult.RESET, 0, null,
                        null);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            request.finish(request.writeStarted ? ExchangeResult.LOST : ExchangeResult.NOT_WRITTEN, 0, null, null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            request.finish(request.writeStarted ? ExchangeResult.LOST : ExchangeResult.NOT_WRITTEN, 0, null, null);
            ctx.close();
        }
    }

    /** The answer of a stream that is read only as asked. */
    private final class StreamingResponseHandler extends ResponseHandler {
        StreamingResponseHandler(Request request) {
            super(request);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            boolean head = msg instanceof Http2HeadersFrame;
            super.channelRead(ctx, msg);
            if (head) {
                ctx.read();
            }
        }

        @Override
        void onData(ChannelHandlerContext ctx, ByteBuf content) throws IOException {
            if (!request.finished && ((ExchangeListener.StreamingListener) request.listener).onData(content)) {
                ctx.read();
            }
        }
    }
}
