package gradereach.serve;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.DefaultHttp2ResetFrame;
import io.netty.handler.codec.http2.Http2DataFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2HeadersFrame;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * An executor that has every model loaded and answers at once, used to warm up a front end and to measure its overhead.
 * Inferences of models whose name contains one of the constants below end differently.
 */
public final class EchoExecutor {
    /** The answer contains a tensor. */
    static final String TENSOR = "tensor";
    /** There is no answer. */
    static final String SILENT = "silent";
    /** The answer has status 500. */
    static final String ERROR = "error";
    /** The stream is reset. */
    static final String RESET = "reset";

    private static final byte[] ANSWER = "{\"model_name\":\"m\",\"outputs\":[]}".getBytes(StandardCharsets.UTF_8);
    private static final byte[] TENSOR_ANSWER = ("{\"model_name\":\"m\",\"outputs\":[{\"name\":\"y\",\"datatype\":\"FP32\","
            + "\"shape\":[2],\"data\":[1.5,2]}]}").getBytes(StandardCharsets.UTF_8);

    private EchoExecutor() { }

    /** Runs as a process: prints the port and exits when standard input ends. */
    public static void main(String[] args) throws InterruptedException, IOException {
        System.out.println("port " + listen(new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())));
        while (System.in.read() >= 0) { }
        System.exit(0);
    }

    /** Starts to listen on a free port and returns it. */
    static int listen(EventLoopGroup eventLoops) throws InterruptedException {
        Channel listener = new ServerBootstrap().group(eventLoops).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(Http2FrameCodecBuilder.forServer().build(),
                                new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel stream) {
                                        stream.pipeline().addLast(new EchoHandler());
                                    }
                                }));
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).sync().channel();
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Answers the request of one stream. */
    private static final class EchoHandler extends ChannelInboundHandlerAdapter {
        private String path = "";

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof Http2HeadersFrame head) {
                path = String.valueOf(head.headers().path());
            }
            boolean complete = msg instanceof Http2HeadersFrame head && head.isEndStream()
                    || msg instanceof Http2DataFrame data && data.isEndStream();
            ReferenceCountUtil.release(msg);
            if (complete) {
                respond(ctx);
            }
        }

        private void respond(ChannelHandlerContext ctx) {
            boolean isInference = path.endsWith("/infer");
            if (isInference && path.contains(SILENT)) {
                return;
            }
            if (isInference && path.contains(RESET)) {
                ctx.writeAndFlush(new DefaultHttp2ResetFrame(Http2Error.INTERNAL_ERROR));
                return;
            }
            String status = isInference && path.contains(ERROR) ? "500" : "200";
            byte[] answer = path.contains(TENSOR) ? TENSOR_ANSWER : ANSWER;
            ctx.write(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().status(status).add("model-copies", "8")
                    .add("model-warmth", "loaded").add("model-crowd", "0")
                    .add("endpoint-load-metrics", "TEXT cpu_utilization=0.1,named_metrics.in_flight=1")));
            ctx.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(answer), true));
        }
    }
}
