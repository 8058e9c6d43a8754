package gradereach.front;

import gradereach.counts.Counts;
import gradereach.delivery.Outbox;
import gradereach.intake.Intake;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Listens for signed inferences over HTTP/1.1 and HTTP/2 without TLS; the first bytes tell which (prior knowledge,
 * RFC 9113, 3.3).
 */
public final class WebhookFront implements AutoCloseable {
    /** Bounds of the listener; times in milliseconds, sizes in bytes. */
    public record Bounds(int connections, int headBytes, int bodyBytes, long messageWithin, long idle, int streams) { }

    private static final byte[] PREFACE = "PRI * HTTP/2.0".getBytes(StandardCharsets.US_ASCII);
    /** Resets of its own streams that a client may send in ten seconds (CVE-2023-44487). */
    private static final int RESETS = 400;

    private final Intake intake;
    private final Outbox outbox;
    private final Bounds bounds;
    private final Counts.Limit connections;
    private final Counts.Limit slow;
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    public WebhookFront(Intake intake, Outbox outbox, Bounds bounds, Counts counts) {
        this.intake = intake;
        this.outbox = outbox;
        this.bounds = bounds;
        connections = counts.limit("client_connections", bounds.connections);
        slow = counts.limit("slow_messages", Long.MAX_VALUE);
    }

    /** Returns the address bound, with the port that was chosen for 0. */
    public InetSocketAddress listen(InetSocketAddress at, EventLoopGroup boss, EventLoopGroup workers,
            Class<? extends ServerChannel> type) throws InterruptedException {
        listener = new ServerBootstrap().group(boss, workers).channel(type)
                .option(ChannelOption.SO_BACKLOG, 4096).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        if (!connections.take(1)) {
                            ch.close();
                            return;
                        }
                        open.add(ch);
                        ch.closeFuture().addListener(closed -> connections.give(1));
                        ch.pipeline().addLast(new Sniffer());
                    }
                }).bind(at).sync().channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Tells HTTP/2 from HTTP/1.1 by the connection preface, then steps aside. */
    private final class Sniffer extends ByteToMessageDecoder {
        private MessageClock clock;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            // The clock runs from the first byte, also over bytes that are neither protocol.
            clock = new MessageClock(bounds.messageWithin, bounds.idle, intake.clock(), intake.arrivals(), slow);
            ctx.pipeline().addFirst(clock);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            int n = Math.min(in.readableBytes(), PREFACE.length);
            for (int i = 0; i < n; i++) {
                if (in.getByte(in.readerIndex() + i) != PREFACE[i]) {
                    http1(ctx.pipeline());
                    ctx.pipeline().remove(this);
                    return;
                }
            }
            if (n == PREFACE.length) {
                http2(ctx.pipeline());
                ctx.pipeline().remove(this);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event == MessageClock.TOO_SLOW) {
                ctx.close(); // not even a protocol yet
            } else {
                super.userEventTriggered(ctx, event);
            }
        }

        private void http1(ChannelPipeline pipeline) {
            pipeline.addLast(new HttpServerCodec(new HttpDecoderConfig().setMaxInitialLineLength(4096)
                    .setMaxHeaderSize(bounds.headBytes)));
            HttpPipeliningHandler pipelining = new HttpPipeliningHandler(clock, bounds.bodyBytes);
            pipeline.addLast(pipelining);
            pipeline.addLast(new Whole(bounds.bodyBytes));
            pipeline.addLast(new MessageHandler(intake, outbox, clock, pipelining));
        }

        private void http2(ChannelPipeline pipeline) {
            // Streams are timed one by one; the connection only for idleness.
            pipeline.remove(clock);
            pipeline.addLast(Http2FrameCodecBuilder.forServer()
                    .initialSettings(Http2Settings.defaultSettings().maxConcurrentStreams(bounds.streams)
                            .maxHeaderListSize(bounds.headBytes).initialWindowSize(1 << 18))
                    .decoderEnforceMaxRstFramesPerWindow(RESETS, 10)
                    .decoderEnforceMaxConsecutiveEmptyDataFrames(2)
                    .gracefulShutdownTimeoutMillis(bounds.messageWithin)
                    .build());
            pipeline.addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel stream) {
                    MessageClock streamClock = new MessageClock(bounds.messageWithin, 0, intake.clock(),
                            intake.arrivals(), slow);
                    stream.pipeline().addLast(streamClock);
                    stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true));
                    stream.pipeline().addLast(new Whole(bounds.bodyBytes));
                    stream.pipeline().addLast(new MessageHandler(intake, outbox, streamClock, null));
                }
            }));
            pipeline.addLast(new IdleStreams(bounds.idle));
        }
    }

    /** A message in one piece, or the exception that says it is too large. */
    private static final class Whole extends HttpObjectAggregator {
        Whole(int most) {
            super(most, true);
        }

        /** Refusals are the handler's to write, in their turn: only the leave to go on is given here. */
        @Override
        protected Object newContinueResponse(HttpMessage start, int most, ChannelPipeline pipeline) {
            Object response = super.newContinueResponse(start, most, pipeline);
            boolean goesOn = response instanceof HttpResponse interim && interim.status().equals(HttpResponseStatus.CONTINUE);
            return goesOn ? response : null;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.fireExceptionCaught(new TooLongFrameException("body"));
        }
    }

    /**
     * No new connection, no new message: HTTP/2 clients hear GOAWAY, HTTP/1.1 clients {@code Connection: close} with
     * their next answer. What was taken is still answered.
     */
    public void stopTaking() {
        intake.stop();
        if (listener != null) {
            listener.close();
        }
        for (Channel ch : open) {
            if (ch.pipeline().get(Http2MultiplexHandler.class) != null) {
                ch.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR).setExtraStreamIds(0));
            }
        }
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close().awaitUninterruptibly(1000);
        }
        open.close().awaitUninterruptibly(1000);
    }

}
