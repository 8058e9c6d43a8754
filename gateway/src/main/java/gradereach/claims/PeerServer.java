package gradereach.claims;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.counts.Counts;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2Settings;
import io.netty.handler.codec.http2.Http2StreamFrameToHttpObjectCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** Listens for other front ends' claims; HTTP/2 without TLS, prior knowledge. */
public final class PeerServer implements AutoCloseable {
    static final String CLAIMS_PATH = "/v1/claims";
    static final String POSITIONS_PATH = "/v1/positions";
    private static final int MAX_BODY_BYTES = 8192; // names and numbers only
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PeerClaims claims;
    private final Counts.Limit connections;
    private final Counts.Limit invalidSignatures;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    public PeerServer(PeerClaims claims, int mostConnections, Counts counts) {
        this.claims = claims;
        connections = counts.limit("peer_connections", mostConnections);
        invalidSignatures = counts.limit("peer_messages_not_signed", Long.MAX_VALUE);
    }

    public InetSocketAddress listen(InetSocketAddress at, EventLoopGroup boss, EventLoopGroup workers,
            Class<? extends ServerChannel> type) throws InterruptedException {
        listener = new ServerBootstrap().group(boss, workers).channel(type).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        if (!connections.tryAcquire(1)) {
                            ch.close();
                            return;
                        }
                        channels.add(ch);
                        ch.closeFuture().addListener(closed -> connections.release(1));
                        ch.pipeline().addLast(Http2FrameCodecBuilder.forServer().initialSettings(
                                Http2Settings.defaultSettings().maxConcurrentStreams(1000).maxHeaderListSize(8192))
                                .build());
                        ch.pipeline().addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true),
                                        new HttpObjectAggregator(MAX_BODY_BYTES, true), new RequestHandler());
                            }
                        }));
                    }
                }).bind(at).sync().channel();
        return (InetSocketAddress) listener.localAddress();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            byte[] body = ByteBufUtil.getBytes(request.content());
            boolean asksForPosition = request.uri().equals(POSITIONS_PATH);
            if (!(request.uri().equals(CLAIMS_PATH) || asksForPosition) || !claims.hasValidSignature(request.headers().get("webhook-id"),
                    request.headers().get("webhook-timestamp"), request.headers().get("webhook-signature"), body)) {
                invalidSignatures.recordRejection();
                respond(ctx, 401, "{}");
                return;
            }
            JsonNode message;
            try {
                message = JSON.readTree(body);
            } catch (IOException e) {
                respond(ctx, 400, "{}");
                return;
            }
            if (asksForPosition) {
                claims.handlePositionQuery(message, text -> ctx.executor().execute(() -> respond(ctx, 200, text)));
                return;
            }
            claims.handleRequest(message, (status, text) -> ctx.executor().execute(() -> respond(ctx, status, text)));
        }

        private void respond(ChannelHandlerContext ctx, int status, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
            response.headers().set("content-type", "application/json").setInt("content-length", bytes.length);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        if (listener != null) {
            listener.close().awaitUninterruptibly(1000);
        }
        channels.close();
    }
}
