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
 * Accepts signed inferences over HTTP/1.1 and HTTP/2 without TLS. The protocol is detected by the first bytes of a connection
 * (HTTP/2 with prior knowledge, RFC 9113, 3.3).
 */
public final class WebhookServer implements AutoCloseable {
    /**
     * Limits of the listener.
     *
     * @param messageTimeoutMillis time within which a message must be received completely
     * @param idleTimeoutMillis time after which a connection is closed on which nothing is received or answered
     * @param maxConcurrentStreams open streams of one HTTP/2 connection
     */
    public record Limits(int maxConnections, int maxHeaderBytes, int maxBodyBytes, long messageTimeoutMillis,
            long idleTimeoutMillis, int maxConcurrentStreams) { }

    private static final byte[] HTTP2_PREFACE = "PRI * HTTP/2.0".getBytes(StandardCharsets.US_ASCII);
    /** Stream resets that a client may send in {@link #RESET_WINDOW_SECONDS}; more is a rapid reset attack (CVE-2023-44487). */
    private static final int MAX_RESETS_PER_WINDOW = 400;
    private static final int RESET_WINDOW_SECONDS = 10;
    /** Initial window of one stream (RFC 9113, 6.9): a message of usual size fits without a window update. */
    private static final int FLOW_CONTROL_WINDOW_BYTES = 1 << 18;
    /** Empty DATA frames in a row that a client may send; more is an empty frames flood (CVE-2019-9518). */
    private static final int MAX_CONSECUTIVE_EMPTY_DATA_FRAMES = 2;
    private static final int MAX_REQUEST_LINE_BYTES = 4096;

    private final Intake intake;
    private final Outbox outbox;
    private final Limits limits;
    private final Counts.Limit connectionLimit;
    private final Counts.Limit messageTimeouts;
    private final ChannelGroup openConnections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    /** Creates a server; {@link #listen} starts it. */
    public WebhookServer(Intake intake, Outbox outbox, Limits limits, Counts counts) {
        this.intake = intake;
        this.outbox = outbox;
        this.limits = limits;
        connectionLimit = counts.limit("client_connections", limits.maxConnections);
        messageTimeouts = counts.limit("slow_messages", Long.MAX_VALUE);
    }

    /** Starts to listen and returns the bound address, with the actual port where port 0 was requested. */
    public InetSocketAddress listen(InetSocketAddress address, EventLoopGroup boss, EventLoopGroup workers,
            Class<? extends ServerChannel> channelType) throws InterruptedException {
        listener = new ServerBootstrap().group(boss, workers).channel(channelType)
                .option(ChannelOption.SO_BACKLOG, 4096).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (!connectionLimit.tryAcquire(1)) {
                            channel.close();
                            return;
                        }
                        openConnections.add(channel);
                        channel.closeFuture().addListener(closed -> connectionLimit.release(1));
                        channel.pipeline().addLast(new ProtocolDetector());
                    }
                }).bind(address).sync().channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Detects HTTP/2 by its connection preface, configures the pipeline for the protocol and removes itself. */
    private final class ProtocolDetector extends ByteToMessageDecoder {
        private MessageTimeoutHandler timeoutHandler;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            // The timeout counts from the first byte, also for bytes of neither protocol.
            timeoutHandler = new MessageTimeoutHandler(limits.messageTimeoutMillis, limits.idleTimeoutMillis, intake.clock(),
                    intake.earliestArrival(), messageTimeouts);
            ctx.pipeline().addFirst(timeoutHandler);
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            int comparable = Math.min(in.readableBytes(), HTTP2_PREFACE.length);
            for (int i = 0; i < comparable; i++) {
                if (in.getByte(in.readerIndex() + i) != HTTP2_PREFACE[i]) {
                    configureHttp1(ctx.pipeline());
                    ctx.pipeline().remove(this);
                    return;
                }
            }
            if (comparable == HTTP2_PREFACE.length) {
                configureHttp2(ctx.pipeline());
                ctx.pipeline().remove(this);
            }
        }

        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
            if (event == MessageTimeoutHandler.TIMEOUT_EVENT) {
                ctx.close(); // the protocol is still unknown, so no response can be sent
            } else {
                super.userEventTriggered(ctx, event);
            }
        }

        private void configureHttp1(ChannelPipeline pipeline) {
            pipeline.addLast(new HttpServerCodec(new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                    .setMaxHeaderSize(limits.maxHeaderBytes)));
            HttpPipeliningHandler pipelining = new HttpPipeliningHandler(timeoutHandler, limits.maxBodyBytes);
            pipeline.addLast(pipelining);
            pipeline.addLast(new MessageAggregator(limits.maxBodyBytes));
            pipeline.addLast(new WebhookRequestHandler(intake, outbox, timeoutHandler, pipelining));
        }

        private void configureHttp2(ChannelPipeline pipeline) {
            // Each stream has a timeout handler of its own; the connection only has an idle timeout.
            pipeline.remove(timeoutHandler);
            pipeline.addLast(Http2FrameCodecBuilder.forServer()
                    .initialSettings(Http2Settings.defaultSettings().maxConcurrentStreams(limits.maxConcurrentStreams)
                            .maxHeaderListSize(limits.maxHeaderBytes).initialWindowSize(FLOW_CONTROL_WINDOW_BYTES))
                    .decoderEnforceMaxRstFramesPerWindow(MAX_RESETS_PER_WINDOW, RESET_WINDOW_SECONDS)
                    .decoderEnforceMaxConsecutiveEmptyDataFrames(MAX_CONSECUTIVE_EMPTY_DATA_FRAMES)
                    .gracefulShutdownTimeoutMillis(limits.messageTimeoutMillis)
                    .build());
            pipeline.addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel stream) {
                    MessageTimeoutHandler streamTimeoutHandler = new MessageTimeoutHandler(limits.messageTimeoutMillis, 0,
                            intake.clock(), intake.earliestArrival(), messageTimeouts);
                    stream.pipeline().addLast(streamTimeoutHandler);
                    stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true));
                    stream.pipeline().addLast(new MessageAggregator(limits.maxBodyBytes));
                    stream.pipeline().addLast(new WebhookRequestHandler(intake, outbox, streamTimeoutHandler, null));
                }
            }));
            pipeline.addLast(new Http2IdleHandler(limits.idleTimeoutMillis));
        }
    }

    /** Aggregates a message, and fires an exception if its body is too large. */
    private static final class MessageAggregator extends HttpObjectAggregator {
        MessageAggregator(int maxContentLength) {
            super(maxContentLength, true);
        }

        /** Returns only 100 Continue; rejections are left to {@link WebhookRequestHandler}, which sends them in order. */
        @Override
        protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
            Object response = super.newContinueResponse(start, maxContentLength, pipeline);
            boolean isContinue = response instanceof HttpResponse interim && interim.status().equals(HttpResponseStatus.CONTINUE);
            return isContinue ? response : null;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            ctx.fireExceptionCaught(new TooLongFrameException("body"));
        }
    }

    /**
     * Stops accepting connections and messages. HTTP/2 clients receive GOAWAY, HTTP/1.1 clients {@code Connection: close} with
     * their next answer. Accepted inferences are still answered.
     */
    public void stopAccepting() {
        intake.stop();
        if (listener != null) {
            listener.close();
        }
        for (Channel channel : openConnections) {
            if (channel.pipeline().get(Http2MultiplexHandler.class) != null) {
                channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR).setExtraStreamIds(0));
            }
        }
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close().awaitUninterruptibly(1000);
        }
        openConnections.close().awaitUninterruptibly(1000);
    }

}
