package gradereach.http2;

import gradereach.counts.Counts;
import gradereach.http2.Exchange.End;
import gradereach.http2.PoolBook.Slot;
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
public final class Http2Pool {
    /**
     * Bounds of one pool; times in milliseconds, sizes in bytes.
     *
     * @param window of each stream (RFC 9113, 6.9): so much may come before it is read
     */
    public record Bounds(int connections, int streams, int connectTimeout, double idle, int longestAnswer, int window) { }

    /** Counters shared by all pools of a kind. */
    public static final class Tally {
        final LongAdder opened;
        final LongAdder failed;
        final LongAdder closedIdle;
        final LongAdder goAways;
        final LongAdder silent;
        final Counts.Limit streams;

        public Tally(Counts counts, String kind) {
            opened = counts.counter(kind + "_connections_opened");
            failed = counts.counter(kind + "_connections_failed");
            closedIdle = counts.counter(kind + "_connections_closed_idle");
            goAways = counts.counter(kind + "_goaways");
            silent = counts.counter(kind + "_connections_gone_silent");
            streams = counts.limit(kind + "_streams_waiting", Long.MAX_VALUE);
        }
    }

    /** How often a request whose last byte waits for flow control or for the socket is looked at. */
    private static final long UNWRITTEN_LOOK_MILLIS = 5;
    /** A link silent for this long while a stream on it was given up is no longer used: above any usual pause. */
    private static final double SILENCE = 1000;

    private final InetSocketAddress peer;
    private final String authority;
    private final EventLoop loop;
    private final Class<? extends Channel> channelType;
    private final Bounds bounds;
    private final Tally tally;
    private final DoubleSupplier clock;
    private final PoolBook<Channel> book;
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();
    private boolean closed;

    public Http2Pool(InetSocketAddress peer, EventLoop loop, Class<? extends Channel> channelType, Bounds bounds,
            Tally tally, DoubleSupplier clock) {
        this.peer = peer;
        this.authority = peer.getHostString() + ":" + peer.getPort();
        this.loop = loop;
        this.channelType = channelType;
        this.bounds = bounds;
        this.tally = tally;
        this.clock = clock;
        book = new PoolBook<>(bounds.connections, bounds.streams, bounds.idle, SILENCE);
    }

    /** One request, from asking until its end. Of the event loop, but for creation. */
    public final class Request {
        private final Http2Headers headers;
        private final byte[] body;
        private final Exchange exchange;
        private final BooleanSupplier wanted;
        private Slot<Channel> slot;
        private Http2StreamChannel stream;
        private double begunAt;
        private boolean written;
        /** Of its last frame; null before that was handed to the connection. */
        private ChannelFuture lastWrite;
        private boolean over;

        private Request(Http2Headers headers, byte[] body, Exchange exchange, BooleanSupplier wanted) {
            this.wanted = wanted;
            this.headers = headers;
            this.body = body;
            this.exchange = exchange;
        }

        /** Reads on, for one whose answer flows. From any thread. */
        public void more() {
            if (loop.inEventLoop()) {
                readOn();
            } else {
                loop.execute(this::readOn);
            }
        }

        private void readOn() {
            if (!over && stream != null) {
                stream.read();
                // Where a read is already under way the window's update is written and not flushed: the peer would wait for ever.
                stream.flush();
            }
        }

        /** Stops waiting for it; the peer hears CANCEL where it heard of the request. From any thread. */
        public void giveUp() {
            loop.execute(() -> {
                if (over) {
                    return;
                }
                if (slot != null) {
                    book.givenUp(slot, begunAt, clock.getAsDouble());
                    if (slot.leaving()) {
                        tally.silent.increment();
                    }
                }
                end(written ? End.GIVEN_UP : End.NOT_WRITTEN, 0, null, null);
                if (stream != null && stream.isActive()) {
                    resetStream();
                }
            });
        }

        /**
         * The peer hears that nobody waits. Where the request itself still waits for the socket that word would come after
         * it, and both late: the connection, which its peer does not read, is closed instead.
         */
        private void resetStream() {
            Channel connection = stream.parent();
            boolean waitsForSocket = lastWrite != null && !lastWrite.isDone()
                    && connection.unsafe().outboundBuffer() != null
                    && connection.unsafe().outboundBuffer().totalPendingWriteBytes() > 0;
            if (waitsForSocket) {
                connection.close();
            } else {
                stream.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
            }
        }

        /** Looks at what is not written whole yet: once it may not be sent any more it is withdrawn. */
        private void watchLastWrite() {
            if (over || lastWrite.isDone()) {
                return;
            }
            if (wanted.getAsBoolean()) {
                loop.schedule(this::watchLastWrite, UNWRITTEN_LOOK_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            // Without its last frame the peer has no whole request.
            end(End.NOT_WRITTEN, 0, null, null);
            resetStream();
        }

        private void end(End end, int status, Http2Headers answer, byte[] content) {
            if (over) {
                return;
            }
            over = true;
            if (slot == null) {
                if (waiting.remove(this)) {
                    book.waited();
                }
            } else {
                book.ended(slot, clock.getAsDouble());
                Slot<Channel> was = slot;
                closeIfDone(was);
                placeWaiting();
            }
            exchange.ended(end, status, answer, content);
        }

        private void beginOn(Slot<Channel> on) {
            slot = on;
            book.began(on);
            begunAt = clock.getAsDouble();
            boolean flows = exchange instanceof Exchange.Flowing;
            new Http2StreamChannelBootstrap(on.connection).handler(flows ? new Flow(this) : new Answer(this))
                    .option(ChannelOption.AUTO_READ, !flows).open().addListener(opened -> {
                if (over) {
                    if (opened.isSuccess()) {
                        ((Channel) opened.getNow()).close();
                    }
                    return;
                }
                if (!opened.isSuccess() || !wanted.getAsBoolean()) {
                    if (opened.isSuccess()) {
                        ((Channel) opened.getNow()).close();
                    }
                    end(End.NOT_WRITTEN, 0, null, null);
                    return;
                }
                stream = (Http2StreamChannel) opened.getNow();
                // From here on bytes may be under way, whatever becomes of the write.
                written = true;
                if (flows) {
                    stream.read();
                }
                ChannelFutureListener failed = write -> {
                    if (!write.isSuccess()) {
                        end(End.LOST, 0, null, null);
                    }
                };
                if (body.length == 0) {
                    lastWrite = stream.writeAndFlush(new DefaultHttp2HeadersFrame(headers, true));
                } else {
                    stream.write(new DefaultHttp2HeadersFrame(headers, false)).addListener(failed);
                    lastWrite = stream.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(body), true));
                }
                lastWrite.addListener(failed);
                watchLastWrite();
            });
        }
    }

    /** From any thread. {@code more} are name, value pairs with lower-case names. */
    public Request send(String method, String path, byte[] body, Exchange exchange, String... more) {
        return send(() -> true, method, path, body, exchange, more);
    }

    /** From any thread. Nothing of it is written where {@code wanted} says no by then; that is asked on the event loop. */
    public Request send(BooleanSupplier wanted, String method, String path, byte[] body, Exchange exchange,
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
        if (loop.inEventLoop()) {
            begin(request);
        } else {
            loop.execute(() -> begin(request));
        }
        return request;
    }

    private void begin(Request request) {
        if (request.over) {
            return;
        }
        if (closed) {
            request.end(End.NOT_WRITTEN, 0, null, null);
            return;
        }
        switch (book.place()) {
            case ON_CONNECTION -> request.beginOn(book.fullest());
            case OPEN_AND_WAIT -> {
                waiting.add(request);
                connect();
            }
            case WAIT -> waiting.add(request);
            case FULL -> {
                tally.streams.refuse();
                request.end(End.NO_STREAM, 0, null, null);
            }
        }
    }

    private void placeWaiting() {
        for (Slot<Channel> slot; !waiting.isEmpty() && (slot = book.fullest()) != null;) {
            Request next = waiting.poll();
            book.waited();
            next.beginOn(slot);
        }
    }

    private void connect() {
        new Bootstrap().group(loop).channel(channelType)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, bounds.connectTimeout)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel ch) {
                        ch.pipeline().addLast(Http2FrameCodecBuilder.forClient()
                                .initialSettings(Http2Settings.defaultSettings().pushEnabled(false)
                                        .initialWindowSize(bounds.window)).build());
                        ch.pipeline().addLast(new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
                        ch.pipeline().addLast(new Connection());
                    }
                }).connect(peer).addListener((ChannelFuture done) -> {
                    if (loop.inEventLoop()) {
                        connectEnded(done);
                    } else {
                        // Where no descriptor is left there is no channel, and its failure is told by a thread not ours.
                        loop.execute(() -> connectEnded(done));
                    }
                });
    }

    private void connectEnded(ChannelFuture done) {
        if (!done.isSuccess()) {
            tally.failed.increment();
            if (book.connectFailed()) {
                List<Request> lost = new ArrayList<>(waiting);
                lost.forEach(request -> request.end(End.NOT_CONNECTED, 0, null, null));
            }
            return;
        }
        tally.opened.increment();
        // Streams that are not read must not hold up the others: the connection bears all of them full.
        long all = Math.min(1 << 30, (long) bounds.streams * bounds.window);
        done.channel().writeAndFlush(new DefaultHttp2WindowUpdateFrame((int) all));
        Slot<Channel> slot = book.connected(done.channel(), clock.getAsDouble());
        done.channel().pipeline().get(Connection.class).slot = slot;
        done.channel().closeFuture().addListener(end -> {
            book.closed(slot);
            if (!waiting.isEmpty() && book.connecting() == 0 && book.fullest() == null) {
                new ArrayList<>(waiting).forEach(r -> r.end(End.NOT_CONNECTED, 0, null, null));
            }
        });
        if (closed) {
            done.channel().close();
            return;
        }
        placeWaiting();
        checkIdle(slot);
    }

    private void checkIdle(Slot<Channel> slot) {
        loop.schedule(() -> {
            if (!slot.connection.isActive()) {
                return;
            }
            if (book.closes(slot, clock.getAsDouble())) {
                tally.closedIdle.increment();
                book.leaves(slot);
                slot.connection.close();
            } else {
                checkIdle(slot);
            }
        }, (long) Math.max(1, bounds.idle / 4), TimeUnit.MILLISECONDS);
    }

    private void closeIfDone(Slot<Channel> slot) {
        if (slot.leaving() && slot.active() == 0) {
            slot.connection.close();
        }
    }

    /** Closes connections that nothing runs on; from any thread. */
    public void hangUp() {
        loop.execute(() -> {
            for (Slot<Channel> slot : new ArrayList<>(book.slots())) {
                book.leaves(slot);
                closeIfDone(slot);
            }
        });
    }

    /** No further request; open connections close when their streams have ended. */
    public void close() {
        loop.execute(() -> {
            closed = true;
            for (Slot<Channel> slot : new ArrayList<>(book.slots())) {
                book.leaves(slot);
                closeIfDone(slot);
            }
        });
    }

    /** What concerns a whole connection. */
    private final class Connection extends ChannelInboundHandlerAdapter {
        private Slot<Channel> slot;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof Http2SettingsFrame settings && slot != null) {
                Long most = settings.settings().maxConcurrentStreams();
                if (most != null) {
                    book.peerAllows(slot, most);
                }
            } else if (msg instanceof Http2GoAwayFrame && slot != null) {
                tally.goAways.increment();
                book.leaves(slot);
                closeIfDone(slot);
            }
            ReferenceCountUtil.release(msg);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** One stream's answer. */
    private class Answer extends ChannelInboundHandlerAdapter {
        final Request request;
        private Http2Headers headers;
        private ByteArrayOutputStream body;

        Answer(Request request) {
            this.request = request;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            book.heard(request.slot, clock.getAsDouble());
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
                        whole();
                    }
                } else if (msg instanceof Http2DataFrame data) {
                    try {
                        bytes(ctx, data.content());
                    } catch (IOException e) {
                        ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.CANCEL));
                        request.end(End.TOO_LONG, 0, null, null);
                        return;
                    }
                    if (data.isEndStream()) {
                        whole();
                    }
                } else if (msg instanceof Http2ResetFrame reset) {
                    request.end(reset.errorCode() == Http2Error.REFUSED_STREAM.code() ? End.REFUSED : End.RESET, 0,
                            null, null);
                }
            } finally {
                ReferenceCountUtil.release(msg);
            }
        }

        void bytes(ChannelHandlerContext ctx, ByteBuf content) throws IOException {
            int more = content.readableBytes();
            if (body == null) {
                body = new ByteArrayOutputStream(Math.max(32, more));
            }
            if (body.size() + more > bounds.longestAnswer) {
                throw new IOException("longer than " + bounds.longestAnswer);
            }
            byte[] bytes = new byte[more];
            content.readBytes(bytes);
            body.writeBytes(bytes);
        }

        private void whole() {
            int status = -1;
            try {
                status = headers == null ? -1 : Integer.parseInt(String.valueOf(headers.status()));
            } catch (NumberFormatException e) {
                // an answer without a proper status is an error answer
            }
            request.end(End.ANSWERED, status, headers, body == null ? new byte[0] : body.toByteArray());
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof Http2GoAwayFrame goAway) {
                // Fired by the multiplexer on streams above the last id only.
                goAway.release();
                request.end(End.ABOVE_GOAWAY, 0, null, null);
            } else if (event instanceof Http2ResetFrame reset) {
                request.end(reset.errorCode() == Http2Error.REFUSED_STREAM.code() ? End.REFUSED : End.RESET, 0, null,
                        null);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            request.end(request.written ? End.LOST : End.NOT_WRITTEN, 0, null, null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            request.end(request.written ? End.LOST : End.NOT_WRITTEN, 0, null, null);
            ctx.close();
        }
    }

    /** The answer of a stream that is read only as asked. */
    private final class Flow extends Answer {
        Flow(Request request) {
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
        void bytes(ChannelHandlerContext ctx, ByteBuf content) throws IOException {
            if (!request.over && ((Exchange.Flowing) request.exchange).bytes(content)) {
                ctx.read();
            }
        }
    }
}
