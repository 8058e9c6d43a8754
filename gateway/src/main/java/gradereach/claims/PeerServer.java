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

/** The HTTP/2 server for claims of other front ends; cleartext with prior knowledge. */
public final class PeerServer implements AutoCloseable {
    static final String CLAIMS_PATH = "/v1/claims";
    static final String POSITIONS_PATH = "/v1/positions";
    private static final int MAX_BODY_BYTES = 8192; // requests hold only names and numbers
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PeerClaims claims;
    private final Counts.Limit connections;
    private final Counts.Limit invalidSignatures;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private Channel listener;

    /** @param maxConnections limit of open connections; further ones are closed at once */
    public PeerServer(PeerClaims claims, int maxConnections, Counts counts) {
        this.claims = claims;
        connections = counts.limit("peer_connections", maxConnections);
        invalidSignatures = counts.limit("peer_messages_not_signed", Long.MAX_VALUE);
    }

    /** Binds the listener and returns the address that it got. */
    public InetSocketAddress listen(InetSocketAddress address, EventLoopGroup boss, EventLoopGroup workers,
            Class<? extends ServerChannel> type) throws InterruptedException {
        listener = new ServerBootstrap().group(boss, workers).channel(type).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true).childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (!connections.tryAcquire(1)) {
                            channel.close();
                            return;
                        }
                        channels.add(channel);
                        channel.closeFuture().addListener(closed -> connections.release(1));
                        channel.pipeline().addLast(Http2FrameCodecBuilder.forServer().initialSettings(
                                Http2Settings.defaultSettings().maxConcurrentStreams(1000).maxHeaderListSize(8192))
                                .build());
                        channel.pipeline().addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel stream) {
                                stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true),
                                        new HttpObjectAggregator(MAX_BODY_BYTES, true), new RequestHandler());
                            }
                        }));
                    }
                }).bind(address).sync().channel();
        return (InetSocketAddress) listener.localAddress();
    }

    /** Checks the signature of a request, passes it to {@link PeerClaims} and writes the response. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            byte[] body = ByteBufUtil.getBytes(request.content());
            boolean isPositionQuery = request.uri().equals(POSITIONS_PATH);
            if (!(request.uri().equals(CLAIMS_PATH) || isPositionQuery)
                    || !claims.hasValidSignature(request.headers().get("webhook-id"), request.headers().get("webhook-timestamp"),
                    request.headers().get("webhook-signature"), body)) {
                invalidSignatures.recordRejection();
                respond(context, 401, "{}");
                return;
            }
            JsonNode message;
            try {
                message = JSON.readTree(body);
            } catch (IOException e) {
                respond(context, 400, "{}");
                return;
            }
            if (isPositionQuery) {
                claims.handlePositionQuery(message, text -> context.executor().execute(() -> respond(context, 200, text)));
                return;
            }
            claims.handleRequest(message, (status, text) -> context.executor().execute(() -> respond(context, status, text)));
        }

        private void respond(ChannelHandlerContext context, int status, String text) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
            response.headers().set("content-type", "application/json").setInt("content-length", bytes.length);
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
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
