package gradereach.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.protocol.inference.ModelInferRequest;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http2.DefaultHttp2DataFrame;
import io.netty.handler.codec.http2.DefaultHttp2Headers;
import io.netty.handler.codec.http2.DefaultHttp2HeadersFrame;
import io.netty.handler.codec.http2.Http2FrameCodecBuilder;
import io.netty.handler.codec.http2.Http2MultiplexHandler;
import io.netty.handler.codec.http2.Http2StreamChannelBootstrap;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Sends forwards, load orders and inquiries to a small temporary fleet before the real one starts. Without this warm-up a
 * stand-in loads its classes during the first forwards and, on a busy machine, records their times half a second late.
 */
final class StandInWarmUp {
    private static final int ROUNDS = 40;
    private static final long MAX_WAIT_MILLIS = 5000; // for the responses of one round
    private static final String INPUT_JSON = "{\"inputs\":[],\"parameters\":{\"work_ms\":0.1}}";
    private static final String FLEET_JSON = """
            {"executors": 1, "model_groups": [{"name": "r", "repeat": "retriable"}, {"name": "d", "repeat": "deduped"}],
             "models": [{"name": "r-*", "group": "r", "load_ms": 1}, {"name": "d-*", "group": "d", "load_ms": 1}]}""";

    private StandInWarmUp() { }

    static void run() throws IOException, InterruptedException {
        Path transcript = Files.createTempFile("warm-up", ".jsonl");
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (StandInFleet fleet = new StandInFleet(new ObjectMapper().readTree(FLEET_JSON), transcript)) {
            Channel connection = connect(loops, fleet.addresses().get(0));
            for (int i = 0; i < ROUNDS; i++) {
                sendAll(connection, i);
            }
            connection.close();
        } finally {
            loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
            Files.delete(transcript);
        }
    }

    private static Channel connect(EventLoopGroup loops, String address) throws InterruptedException {
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        return new Bootstrap().group(loops).channel(NioSocketChannel.class).handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(Http2FrameCodecBuilder.forClient().build(),
                        new Http2MultiplexHandler(new ChannelInboundHandlerAdapter()));
            }
        }).connect("127.0.0.1", port).sync().channel();
    }

    private static void sendAll(Channel connection, int round) throws InterruptedException {
        byte[] inputJson = INPUT_JSON.getBytes(StandardCharsets.UTF_8);
        byte[] emptyJson = "{}".getBytes(StandardCharsets.UTF_8);
        byte[] grpc = ModelInferRequest.newBuilder().setModelName("r-0").build().toByteArray();
        byte[] framedGrpc = ByteBuffer.allocate(5 + grpc.length).put((byte) 0).putInt(grpc.length).put(grpc).array();
        List<WarmUpRequest> requests = List.of(new WarmUpRequest("/v2/health/ready", emptyJson),
                new WarmUpRequest("/v2/outcomes/warm-up-" + round, emptyJson),
                new WarmUpRequest("/v2/repository/models/r-0/load", emptyJson),
                new WarmUpRequest("/v2/repository/models/d-0/load", emptyJson),
                new WarmUpRequest("/v2/models/r-0/infer", inputJson), new WarmUpRequest("/v2/models/d-0/infer", inputJson),
                new WarmUpRequest("/v2/models/unknown/infer", inputJson),
                new WarmUpRequest("/v2/repository/models/r-0/unload", emptyJson),
                new WarmUpRequest("/inference.GRPCInferenceService/ModelInfer", framedGrpc),
                new WarmUpRequest("/inference.GRPCInferenceService/ModelStreamInfer", framedGrpc));
        CountDownLatch pendingResponses = new CountDownLatch(requests.size());
        for (WarmUpRequest request : requests) {
            send(connection, request, "warm-up-" + round, pendingResponses);
        }
        pendingResponses.await(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A warm-up request with its path and body. */
    private record WarmUpRequest(String path, byte[] body) { }

    private static void send(Channel connection, WarmUpRequest request, String id, CountDownLatch pendingResponses)
            throws InterruptedException {
        Channel stream = new Http2StreamChannelBootstrap(connection).handler(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext ctx, Object message) {
                ReferenceCountUtil.release(message);
            }

            @Override
            public void channelInactive(ChannelHandlerContext ctx) {
                pendingResponses.countDown();
            }
        }).open().sync().getNow();
        stream.write(new DefaultHttp2HeadersFrame(new DefaultHttp2Headers().method("POST").path(request.path).scheme("http")
                .authority("warm-up").add("x-request-id", id).add("idempotency-key", "nobody/" + id + request.path)
                .add("user-agent", "gradereach/warm-up").addInt("content-length", request.body.length)));
        stream.writeAndFlush(new DefaultHttp2DataFrame(Unpooled.wrappedBuffer(request.body), true));
    }
}
