package gradereach.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
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
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * An executor on the Open Inference Protocol over HTTP/2, with the model repository extension, the ready check and
 * ORCA reports; see docs/proofs.md for its marks. It writes what came, ran and was answered to the transcript.
 */
final class StandInExecutor {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** What goes wrong here; set by the control port. */
    static final class Faults {
        volatile String fullForCustomer;
        volatile String unansweredGroup;
        volatile boolean refuseConnections;
        volatile String resetPoint;
        /** It is not ready for new work, and the roster does not say so; what comes all the same it takes. */
        volatile boolean unannouncedDrain;
        /** Its process runs what comes and answers none of it; a new process does. */
        volatile boolean dropAnswers;
        /** Milliseconds by which the clock of its machine is ahead, as a process starts there. */
        volatile double clockAheadMillis;
        /** What that clock shows at every start of a process, Unix milliseconds; NaN where it goes on. */
        volatile double clockAtStart = Double.NaN;
    }

    final String zone;
    final Faults faults = new Faults();
    private final EventLoop loop;
    private final SimulatedMachine.MachineConfig machineConfig;
    private final SimulatedModelStore modelStore;
    private final Function<String, SimulatedMachine.ModelSpec> modelSpecs;
    private final Transcript transcript;
    /** Marks of deduped inferences that ran somewhere in the fleet, with their answers. */
    private final Map<String, byte[]> dedupAnswers;
    private final ChannelGroup openConnections;
    private Channel listener;
    private ReservedPort reservedPort = new ReservedPort();
    private volatile SimulatedMachine machine;
    /** Discovery's name for it, from its first address. */
    private volatile String instance;
    /** Of the present process. */
    private volatile ForwardOutcomes forwardOutcomes;
    volatile double startedAt;
    volatile boolean running;

    StandInExecutor(String zone, EventLoop loop, SimulatedMachine.MachineConfig kind, SimulatedModelStore store, Function<String, SimulatedMachine.ModelSpec> specs,
            Transcript transcript, Map<String, byte[]> seen) {
        this.zone = zone;
        this.loop = loop;
        this.machineConfig = kind;
        this.modelStore = store;
        this.modelSpecs = specs;
        this.transcript = transcript;
        this.dedupAnswers = seen;
        openConnections = new DefaultChannelGroup(loop);
    }

    String address() {
        return "127.0.0.1:" + reservedPort.number();
    }

    String instance() {
        return instance;
    }

    void start(boolean cold) throws InterruptedException {
        machine = new SimulatedMachine(loop, machineConfig, modelStore, cold, word -> {
            transcript.write(word, "ex", address());
            loop.execute(this::kill);
        });
        startedAt = cold ? Transcript.now() : 0;
        boolean goesOn = Double.isNaN(faults.clockAtStart);
        forwardOutcomes = new ForwardOutcomes(loop, goesOn ? Transcript.now() + faults.clockAheadMillis : faults.clockAtStart);
        faults.dropAnswers = false;
        listen();
        instance = instance == null ? "ex-" + address().replace(':', '-').replace('.', '-') : instance;
        running = true;
        transcript.write("start", "ex", address(), "cold", cold, "zone", zone);
    }

    private void listen() throws InterruptedException {
        listener = reservedPort.listen(loop, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                if (faults.refuseConnections) {
                    ch.config().setOption(io.netty.channel.ChannelOption.SO_LINGER, 0);
                    ch.close();
                    return;
                }
                openConnections.add(ch);
                ch.pipeline().addLast(Http2FrameCodecBuilder.forServer().initialSettings(
                        Http2Settings.defaultSettings().maxConcurrentStreams(1000)).build());
                ch.pipeline().addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel stream) {
                        stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true),
                                new HttpObjectAggregator(16 << 20), new InferenceStreamHandler());
                    }
                }));
            }
        });
    }

    /** What comes on the connections that are open now waits unread until {@link #readConnections}. */
    void stopReadingConnections() {
        openConnections.forEach(connection -> connection.config().setAutoRead(false));
    }

    /** What came meanwhile is read, also where its sender has ended since. */
    void resumeReadingConnections() {
        openConnections.forEach(connection -> connection.config().setAutoRead(true));
    }

    /** The process as it is, with all that it holds, at the address of one that has ended. */
    void takeOverAddress(StandInExecutor ended) throws InterruptedException {
        kill();
        listener.closeFuture().sync();
        ended.listener.closeFuture().sync();
        ReservedPort own = reservedPort;
        reservedPort = ended.reservedPort;
        ended.reservedPort = own;
        listen();
        running = true;
        transcript.write("start", "ex", address(), "cold", false, "zone", zone);
    }

    /** Ends at once, as a killed process does. */
    void kill() {
        running = false;
        listener.close();
        openConnections.close();
        transcript.write("down", "ex", address());
    }

    /** For good: its address is free for anybody. */
    void close() {
        if (running) {
            kill();
        }
        reservedPort.close();
    }

    void runOnMachine(java.util.function.Consumer<SimulatedMachine> change) {
        loop.execute(() -> {
            change.accept(machine);
            machine.completeFinishedJobs();
        });
    }

    private final class InferenceStreamHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private String forward = "";
        private String dedupKey = "";
        private boolean grpc;
        /** How an answer in parts flows; null for a whole one. */
        private StreamedAnswer streamedAnswer;
        private SimulatedMachine servingMachine;
        private ForwardOutcomes servingOutcomes;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            servingMachine = machine;
            servingOutcomes = forwardOutcomes;
            String path = request.uri();
            String agent = request.headers().get("user-agent", "").replace("gradereach/", "");
            if (path.startsWith("/v2/outcomes/")) {
                answerInquiry(ctx, URLDecoder.decode(path.substring(13), StandardCharsets.UTF_8));
            } else if (path.equals("/v2/health/ready")) {
                respond(ctx, faults.unannouncedDrain ? 503 : 200, "{}", null);
            } else if (path.startsWith("/v2/repository/models/")) {
                handleLoadOrder(ctx, path, request, agent);
            } else if (path.startsWith("/v2/models/") && path.endsWith("/infer")) {
                JsonNode input = JSON.readTree(ByteBufUtil.getBytes(request.content()));
                handleInference(ctx, modelName(path, 11, 6), input.path("parameters").path("work_ms").asDouble(Double.NaN), request, agent);
            } else if (path.startsWith("/inference.GRPCInferenceService/Model")) {
                grpc = true;
                // One message behind its flag and length.
                ModelInferRequest message = ModelInferRequest.parseFrom(
                        ByteBufUtil.getBytes(request.content(), 5, request.content().readableBytes() - 5));
                InferParameter work = message.getParametersMap().get("work_ms");
                if (path.endsWith("/ModelStreamInfer")) {
                    streamedAnswer = new StreamedAnswer(message, intParameter(message, "parts", 4), intParameter(message, "part_bytes", 32),
                            intParameter(message, "part_ms", 5), loop, faults, transcript);
                }
                handleInference(ctx, message.getModelName(), work == null ? Double.NaN : work.hasDoubleParam() ? work.getDoubleParam()
                        : work.getInt64Param(), request, agent);
            } else {
                respond(ctx, 404, "{\"error\":\"no such path\"}", null);
            }
        }

        /** What became of a forward: finished (200, its answer), running (202), never seen by this process (404). */
        private void answerInquiry(ChannelHandlerContext ctx, String of) {
            ForwardOutcomes.ForwardLookup found = servingOutcomes.findOrFence(of);
            transcript.write("asked-about", "ex", address(), "fwd", of, "finished", found.status() == 200);
            FullHttpResponse response = jsonResponse(found.status(), found.output());
            response.headers().set("executor-up-since", servingOutcomes.upSince()).set("executor-process", servingOutcomes.processId())
                    .set("forward-fenced", found.fenced() ? "yes" : "no");
            ctx.writeAndFlush(response);
        }

        private String modelName(String path, int from, int tail) {
            return URLDecoder.decode(path.substring(from, path.length() - tail), StandardCharsets.UTF_8);
        }

        private void handleLoadOrder(ChannelHandlerContext ctx, String path, FullHttpRequest request, String agent)
                throws IOException {
            boolean unload = path.endsWith("/unload");
            SimulatedMachine.ModelSpec spec = modelSpecs.apply(modelName(path, 22, unload ? 7 : 5));
            if (spec == null) {
                respond(ctx, 404, "{\"error\":\"unknown model\"}", null);
                return;
            }
            if (unload) {
                transcript.write("unload", "ex", address(), "fe", agent, "model", spec.name());
                servingMachine.unloadIdle(spec.name());
                respond(ctx, 200, "{}", null);
                return;
            }
            JsonNode body = JSON.readTree(ByteBufUtil.getBytes(request.content()));
            int copies = body.path("parameters").path("copies").asInt(1);
            transcript.write("order", "ex", address(), "fe", agent, "model", spec.name(), "copies", copies);
            servingMachine.ensureLoaded(spec, copies, (status, standing) -> respond(ctx, status, "{}", standing));
        }

        private void handleInference(ChannelHandlerContext ctx, String model, double asked, FullHttpRequest request, String agent)
                throws IOException {
            forward = request.headers().get("x-request-id", "");
            dedupKey = request.headers().get("idempotency-key", "");
            SimulatedMachine.ModelSpec spec = modelSpecs.apply(model);
            transcript.write("arrived", "ex", address(), "fe", agent, "fwd", forward, "mark", dedupKey, "model", model);
            String customer = dedupKey.substring(0, Math.max(0, dedupKey.indexOf('/')));
            if ("before".equals(faults.resetPoint)) {
                resetStream(ctx);
                return;
            }
            if (spec == null || customer.equals(faults.fullForCustomer)) {
                reject(ctx, spec == null ? 404 : 503, false);
                return;
            }
            if (spec.group().equals(faults.unansweredGroup)) {
                return;
            }
            double work = Double.isNaN(asked) ? spec.workMillis() : asked;
            boolean deduped = spec.retrySafety().equals("deduped");
            byte[] before = deduped ? dedupAnswers.get(dedupKey) : null;
            if (before != null && streamedAnswer == null) {
                transcript.write("dropped", "ex", address(), "fwd", forward, "mark", dedupKey);
                ctx.writeAndFlush(grpc ? grpcInferResponse(model, work) : jsonResponse(200, new String(before, StandardCharsets.UTF_8)));
                return;
            }
            String output = "{\"model_name\":" + JSON.writeValueAsString(model) + ",\"outputs\":[{\"name\":\"out\","
                    + "\"shape\":[1],\"datatype\":\"FP32\",\"data\":[" + work + "]}]}";
            if (!servingOutcomes.tryStart(forward)) {
                reject(ctx, 409, false);
                return;
            }
            servingMachine.submit(spec, work, new SimulatedMachine.JobListener() {
                @Override
                public void onCompleted(String warmth, int crowd) {
                    if (!running || machine != servingMachine) {
                        return; // it died with the process
                    }
                    servingOutcomes.complete(forward, output);
                    if (deduped && dedupAnswers.putIfAbsent(dedupKey, output.getBytes(StandardCharsets.UTF_8)) != null) {
                        transcript.write("dropped", "ex", address(), "fwd", forward, "mark", dedupKey);
                    } else {
                        transcript.write("ran", "ex", address(), "fwd", forward, "mark", dedupKey, "model", model);
                    }
                    if (faults.dropAnswers) {
                        return;
                    }
                    if ("after".equals(faults.resetPoint)) {
                        resetStream(ctx);
                        return;
                    }
                    if (streamedAnswer != null) {
                        streamedAnswer.start(ctx, new StreamedAnswer.AnswerSource(address(), forward, servingMachine, () -> running && machine == servingMachine), warmth, crowd);
                        return;
                    }
                    FullHttpResponse response = grpc ? grpcInferResponse(model, work) : jsonResponse(200, output);
                    response.headers().set("model-warmth", warmth);
                    response.headers().set("model-crowd", crowd);
                    ctx.writeAndFlush(response);
                }

                @Override
                public void onModelUnavailable(boolean loadFailed) {
                    servingOutcomes.remove(forward);
                    reject(ctx, 404, loadFailed);
                }

                @Override
                public void onQueueFull() {
                    servingOutcomes.remove(forward);
                    reject(ctx, 503, false);
                }
            });
            if ("within".equals(faults.resetPoint)) {
                resetStream(ctx); // the work goes on
            }
        }

        private int intParameter(ModelInferRequest in, String name, int otherwise) {
            InferParameter told = in.getParametersMap().get(name);
            return told == null ? otherwise : (int) Math.max(told.getInt64Param(), told.getDoubleParam());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (streamedAnswer != null) {
                streamedAnswer.writabilityChanged(ctx);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            if (streamedAnswer != null) {
                streamedAnswer.connectionClosed();
            }
            super.channelInactive(ctx);
        }

        private void resetStream(ChannelHandlerContext ctx) {
            StreamedAnswer.reset(ctx, transcript, address(), forward);
        }

        private void reject(ChannelHandlerContext ctx, int status, boolean loadFailed) {
            transcript.write("refused", "ex", address(), "fwd", forward, "mark", dedupKey, "status", status);
            FullHttpResponse response = grpc ? grpcResponse(grpcStatus(status), new byte[0]) : jsonResponse(status, "{\"error\":\"not begun\"}");
            response.headers().set("inference-begun", "no");
            if (loadFailed) {
                response.headers().set("model-warmth", "load-failed");
            }
            ctx.writeAndFlush(response);
        }

        /** NOT_FOUND, FAILED_PRECONDITION or UNAVAILABLE. */
        private static int grpcStatus(int status) {
            return switch (status) {
                case 404 -> 5;
                case 409 -> 9;
                default -> 14;
            };
        }

        private void respond(ChannelHandlerContext ctx, int status, String body, Integer copies) {
            if (!running || machine != servingMachine) {
                return;
            }
            FullHttpResponse response = jsonResponse(status, body);
            if (copies != null) {
                response.headers().set("model-copies", copies);
            }
            ctx.writeAndFlush(response);
        }

        private FullHttpResponse grpcInferResponse(String model, double work) {
            ModelInferResponse.Builder of = ModelInferResponse.newBuilder().setModelName(model);
            of.addOutputsBuilder().setName("out").setDatatype("FP32").addShape(1).getContentsBuilder().addFp32Contents((float) work);
            byte[] message = of.build().toByteArray();
            return grpcResponse(0, java.nio.ByteBuffer.allocate(5 + message.length).put((byte) 0).putInt(message.length).put(message).array());
        }

        /** With {@code status} in the trailers, as gRPC has it. */
        private FullHttpResponse grpcResponse(int status, byte[] framed) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                    Unpooled.wrappedBuffer(framed));
            response.headers().set("content-type", "application/grpc");
            response.trailingHeaders().set("grpc-status", status).set("endpoint-load-metrics", servingMachine.loadReport());
            return response;
        }

        private FullHttpResponse jsonResponse(int status, String body) {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
            response.headers().set("content-type", "application/json").setInt("content-length", bytes.length)
                    .set("endpoint-load-metrics", servingMachine.loadReport());
            return response;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    static Map<String, byte[]> newDedupStore() {
        return new ConcurrentHashMap<>();
    }
}
