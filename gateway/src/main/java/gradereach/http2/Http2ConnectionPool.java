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
 * HTTP/2 connections to one peer, without TLS and with prior knowledge (RFC 9113, 3.3). All state belongs to one event loop;
 * {@link StreamAllocator} decides which connection is used. The pool never retries a request.
 */
public final class Http2ConnectionPool {
    /**
     * Limits of one pool.
     *
     * @param streamWindowBytes initial window of each stream (RFC 9113, 6.9): how much the peer may send before it is read
     */
    public record Limits(int maxConnections, int maxStreamsPerConnection, int connectTimeoutMillis, double idleTimeoutMillis,
            int maxResponseBytes, int streamWindowBytes) { }

    /** Counters shared by all pools of one kind, which is the prefix of their names. */
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

    /** How often a request whose last byte waits for flow control or for the socket is checked. */
    private static final long WRITE_CHECK_INTERVAL_MILLIS = 5;
    /** A connection silent for this long when a stream on it is cancelled takes no new streams. Longer than any usual pause. */
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

    /**
     * Creates a pool without connections; they are opened as requests need them.
     *
     * @param clock monotonic time in milliseconds
     */
    public Http2ConnectionPool(InetSocketAddress peer, EventLoop eventLoop, Class<? extends Channel> channelType, Limits limits,
            Metrics metrics, DoubleSupplier clock) {
        this.peer = peer;
        this.authority = peer.getHostString() + ":" + peer.getPort();
        this.eventLoop = eventLoop;
        this.channelType = channelType;
        this.limits = limits;
        this.metrics = metrics;
        this.clock = clock;
        allocator = new StreamAllocator<>(limits.maxConnections, limits.maxStreamsPerConnection, limits.idleTimeoutMillis,
                SILENCE_TIMEOUT_MILLIS);
    }

    /** One request from its creation to its end. Except for its creation, its state belongs to the event loop. */
    public final class Request {
        private final Http2Headers headers;
        private final byte[] body;
        private final ExchangeListener listener;
        private final BooleanSupplier writeCondition;
        private PooledConnection<Channel> connection;
        private Http2StreamChannel streamChannel;
        private double startedAt;
        private boolean writeStarted;
        /** The write of the last frame; null until that was handed to the connection. */
        private ChannelFuture lastWrite;
        private boolean finished;

        private Request(Http2Headers headers, byte[] body, ExchangeListener listener, BooleanSupplier writeCondition) {
            this.writeCondition = writeCondition;
            this.headers = headers;
            this.body = body;
            this.listener = listener;
        }

        /** Reads more of a streamed response. May be called from any thread. */
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
                // During a read in progress, Netty writes the window update without a flush; the peer would wait for it forever.
                streamChannel.flush();
            }
        }

        /**
         * Cancels the request; if writing had begun, its stream is reset with CANCEL or its connection closed. May be called
         * from any thread.
         */
        public void cancel() {
            eventLoop.execute(() -> {
                if (finished) {
                    return;
                }
                if (connection != null) {
                    allocator.onStreamCancelled(connection, startedAt, clock.getAsDouble());
                    if (connection.isDraining()) {
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
         * Resets the stream. If the request itself still waits for the socket, because the peer does not read, the reset would
         * only be sent after the request, and both too late; the whole connection is closed instead.
         */
        private void resetStream() {
            Channel parent = streamChannel.parent();
            boolean waitsForSocket = lastWrite != null && !lastWrite.isDone()
                    && parent.unsafe().outboundBuffer() != null
                    && parent.unsafe().outboundBuffer().totalPendingWriteBytes() > 0;
            if (waitsForSocket) {
                parent.close();
            } else {
                streamChannel.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
            }
        }

        /** Withdraws a request that is not completely written as soon as its write condition no longer holds. */
        private void watchLastWrite() {
            if (finished || lastWrite.isDone()) {
                return;
            }
            if (writeCondition.getAsBoolean()) {
                eventLoop.schedule(this::watchLastWrite, WRITE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            // Without the last frame the peer has no complete request.
            finish(ExchangeResult.NOT_WRITTEN, 0, null, null);
            resetStream();
        }

        private void finish(ExchangeResult result, int status, Http2Headers responseHeaders, byte[] responseBody) {
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
                PooledConnection<Channel> used = connection;
                closeIfDrained(used);
                startWaitingRequests();
            }
            listener.onEnd(result, status, responseHeaders, responseBody);
        }

        private void startOn(PooledConnection<Channel> chosen) {
            connection = chosen;
            allocator.onStreamStarted(chosen);
            startedAt = clock.getAsDouble();
            boolean streaming = listener instanceof ExchangeListener.StreamingListener;
            new Http2StreamChannelBootstrap(chosen.handle)
                    .handler(streaming ? new StreamingResponseHandler(this) : new ResponseHandler(this))
                    .option(ChannelOption.AUTO_READ, !streaming).open().addListener(opened -> {
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
                // From here on bytes may reach the peer, even if the write fails.
                writeStarted = true;
                if (streaming) {
                    streamChannel.read();
                }
                ChannelFutureListener onWriteFailure = write -> {
                    if (!write.isSuccess()) {
                        finish(ExchangeResult.LOST, 0, null, null);
                    }
                };
                if (body.length == 0) {
                    lastWrite = streamChannel.writeAndFlush(new DefaultHttp2HeadersFrame(headers, true));
                } else {
                    streamChannel.write(new DefaultHttp2HeadersFrame(headers, false)).addListener(onWriteFailure);
                    lastWrite = streamChannel.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(body), true));
                }
                lastWrite.addListener(onWriteFailure);
                watchLastWrite();
            });
        }
    }

    /**
     * Sends a request. May be called from any thread.
     *
     * @param extraHeaders pairs of a lower-case name and a value
     */
    public Request send(String method, String path, byte[] body, ExchangeListener listener, String... extraHeaders) {
        return send(() -> true, method, path, body, listener, extraHeaders);
    }

    /**
     * Sends a request. May be called from any thread.
     *
     * @param writeCondition checked on the event loop before writing and until the last frame is written; if it returns false,
     *        the request is withdrawn
     * @param extraHeaders pairs of a lower-case name and a value
     */
    public Request send(BooleanSupplier writeCondition, String method, String path, byte[] body, ExchangeListener listener,
            String... extraHeaders) {
        Http2Headers headers = new DefaultHttp2Headers(false).method(method).path(path).scheme("http")
                .authority(authority);
        if (body.length > 0) {
            headers.addInt("content-length", body.length);
        }
        for (int i = 0; i < extraHeaders.length; i += 2) {
            headers.add(extraHeaders[i], extraHeaders[i + 1]);
        }
        Request request = new Request(headers, body, listener, writeCondition);
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
        for (PooledConnection<Channel> connection; !waitingRequests.isEmpty() && (connection = allocator.busiestAvailable()) != null;) {
            Request next = waitingRequests.poll();
            allocator.onWaitEnded();
            next.startOn(connection);
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
                }).connect(peer).addListener((ChannelFuture connect) -> {
                    if (eventLoop.inEventLoop()) {
                        onConnectEnded(connect);
                    } else {
                        // If no file descriptor is left, no channel is created and Netty reports the failure on another thread.
                        eventLoop.execute(() -> onConnectEnded(connect));
                    }
                });
    }

    private void onConnectEnded(ChannelFuture connect) {
        if (!connect.isSuccess()) {
            metrics.connectFailures.increment();
            if (allocator.onConnectFailed()) {
                List<Request> failed = new ArrayList<>(waitingRequests);
                failed.forEach(request -> request.finish(ExchangeResult.NOT_CONNECTED, 0, null, null));
            }
            return;
        }
        metrics.opened.increment();
        // Unread streams must not block the others: the connection window is large enough for all stream windows together.
        long connectionWindow = Math.min(1 << 30, (long) limits.maxStreamsPerConnection * limits.streamWindowBytes);
        connect.channel().writeAndFlush(new DefaultHttp2WindowUpdateFrame((int) connectionWindow));
        PooledConnection<Channel> connection = allocator.onConnected(connect.channel(), clock.getAsDouble());
        connect.channel().pipeline().get(ConnectionHandler.class).connection = connection;
        connect.channel().closeFuture().addListener(close -> {
            allocator.onConnectionClosed(connection);
            if (!waitingRequests.isEmpty() && allocator.connectingCount() == 0 && allocator.busiestAvailable() == null) {
                new ArrayList<>(waitingRequests).forEach(request -> request.finish(ExchangeResult.NOT_CONNECTED, 0, null, null));
            }
        });
        if (closed) {
            connect.channel().close();
            return;
        }
        startWaitingRequests();
        scheduleIdleCheck(connection);
    }

    private void scheduleIdleCheck(PooledConnection<Channel> connection) {
        eventLoop.schedule(() -> {
            if (!connection.handle.isActive()) {
                return;
            }
            if (allocator.shouldClose(connection, clock.getAsDouble())) {
                metrics.closedIdle.increment();
                allocator.startDraining(connection);
                connection.handle.close();
            } else {
                scheduleIdleCheck(connection);
            }
        }, (long) Math.max(1, limits.idleTimeoutMillis / 4), TimeUnit.MILLISECONDS);
    }

    private void closeIfDrained(PooledConnection<Channel> connection) {
        if (connection.isDraining() && connection.activeStreams() == 0) {
            connection.handle.close();
        }
    }

    /** Closes each open connection once its streams have ended; later requests open new ones. May be called from any thread. */
    public void drainConnections() {
        eventLoop.execute(() -> {
            for (PooledConnection<Channel> connection : new ArrayList<>(allocator.connections())) {
                allocator.startDraining(connection);
                closeIfDrained(connection);
            }
        });
    }

    /** Accepts no further request; open connections close once their streams have ended. */
    public void close() {
        eventLoop.execute(() -> {
            closed = true;
            for (PooledConnection<Channel> connection : new ArrayList<>(allocator.connections())) {
                allocator.startDraining(connection);
                closeIfDrained(connection);
            }
        });
    }

    /** Handles the frames of a whole connection: SETTINGS and GOAWAY. */
    private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
        private PooledConnection<Channel> connection;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof Http2SettingsFrame settings && connection != null) {
                Long maxStreams = settings.settings().maxConcurrentStreams();
                if (maxStreams != null) {
                    allocator.setPeerStreamLimit(connection, maxStreams);
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

    /** Collects the response of one stream. */
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
                    // Informational (1xx) headers precede the response; trailers follow it.
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
                    request.finish(reset.errorCode() == Http2Error.REFUSED_STREAM.code() ? ExchangeResult.REFUSED
                            : ExchangeResult.RESET, 0, null, null);
                }
            } finally {
                ReferenceCountUtil.release(msg);
            }
        }

        void onData(ChannelHandlerContext ctx, ByteBuf content) throws IOException {
            int length = content.readableBytes();
            if (body == null) {
                body = new ByteArrayOutputStream(Math.max(32, length));
            }
            if (body.size() + length > limits.maxResponseBytes) {
                throw new IOException("response is longer than " + limits.maxResponseBytes);
            }
            byte[] bytes = new byte[length];
            content.readBytes(bytes);
            body.writeBytes(bytes);
        }

        private void onComplete() {
            int status = -1;
            try {
                status = headers == null ? -1 : Integer.parseInt(String.valueOf(headers.status()));
            } catch (NumberFormatException e) {
                // A response without a valid status counts as an error response.
            }
            request.finish(ExchangeResult.ANSWERED, status, headers, body == null ? new byte[0] : body.toByteArray());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof Http2GoAwayFrame goAway) {
                // The multiplexer fires this event only on streams above the last stream id.
                goAway.release();
                request.finish(ExchangeResult.ABOVE_GOAWAY, 0, null, null);
            } else if (event instanceof Http2ResetFrame reset) {
                request.finish(reset.errorCode() == Http2Error.REFUSED_STREAM.code() ? ExchangeResult.REFUSED
                        : ExchangeResult.RESET, 0, null, null);
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

    /** Passes on the response of a stream that is read only on request. */
    private final class StreamingResponseHandler extends ResponseHandler {
        StreamingResponseHandler(Request request) {
            super(request);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            boolean isHeaders = msg instanceof Http2HeadersFrame;
            super.channelRead(ctx, msg);
            if (isHeaders) {
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
