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
 * A stand-in executor that speaks the Open Inference Protocol over HTTP/2, with the model repository extension, the ready
 * check and ORCA load reports; docs/proofs.md describes its headers and transcript events. Every request that arrives, runs
 * or is answered is written to the transcript.
 */
final class StandInExecutor {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_CONCURRENT_STREAMS = 1000;
    private static final int MAX_REQUEST_BYTES = 16 << 20;
    /** Compression flag and length before each gRPC message. */
    private static final int GRPC_PREFIX_BYTES = 5;
    private static final int OUTCOMES_PATH_LENGTH = 13; // of /v2/outcomes/
    private static final int MODELS_PATH_LENGTH = 11; // of /v2/models/
    private static final int REPOSITORY_PATH_LENGTH = 22; // of /v2/repository/models/
    private static final int INFER_SUFFIX_LENGTH = 6; // of /infer
    private static final int LOAD_SUFFIX_LENGTH = 5; // of /load
    private static final int UNLOAD_SUFFIX_LENGTH = 7; // of /unload

    /** Injected faults of this executor, set through the control port. */
    static final class Faults {
        /** Customer whose inferences are rejected as if the executor were full; null for none. */
        volatile String fullForCustomer;
        /** Model group whose inferences are neither run nor answered; null for none. */
        volatile String unansweredGroup;
        volatile boolean refuseConnections;
        /**
         * When the stream of an inference is reset: {@code before}, {@code within} or {@code after} its run; for a streamed
         * answer after its {@code head} or within a {@code part}, or {@code status} to end it with an error status. Null for
         * never.
         */
        volatile String resetPoint;
        /** Reports itself as not ready, while the roster shows no drain; requests that arrive anyway are accepted. */
        volatile boolean unannouncedDrain;
        /** Runs inferences without answering them, until the next start of the process. */
        volatile boolean dropAnswers;
        /** How far the clock of the machine is ahead when a process starts there. */
        volatile double clockAheadMillis;
        /** Unix time in milliseconds that the clock shows at every process start; NaN for a clock that runs normally. */
        volatile double clockAtStart = Double.NaN;
    }

    final String zone;
    final Faults faults = new Faults();
    private final EventLoop loop;
    private final SimulatedMachine.MachineConfig machineConfig;
    private final SimulatedModelStore modelStore;
    /** Finds a model by its name; null if it is unknown. */
    private final Function<String, SimulatedMachine.ModelSpec> modelLookup;
    private final Transcript transcript;
    /** Answers of the deduped inferences that ran anywhere in the fleet, by dedup key. */
    private final Map<String, byte[]> dedupAnswers;
    private final ChannelGroup openConnections;
    private Channel listener;
    private ReservedPort reservedPort = new ReservedPort();
    private volatile SimulatedMachine machine;
    /** Instance name in discovery, derived from the first address. */
    private volatile String instance;
    /** Forward outcomes of the current process. */
    private volatile ForwardOutcomes forwardOutcomes;
    /** Unix time of the last cold start in milliseconds; 0 for a process that counts as started long ago. */
    volatile double startedAt;
    volatile boolean running;

    StandInExecutor(String zone, EventLoop loop, SimulatedMachine.MachineConfig machineConfig, SimulatedModelStore modelStore,
            Function<String, SimulatedMachine.ModelSpec> modelLookup, Transcript transcript, Map<String, byte[]> dedupAnswers) {
        this.zone = zone;
        this.loop = loop;
        this.machineConfig = machineConfig;
        this.modelStore = modelStore;
        this.modelLookup = modelLookup;
        this.transcript = transcript;
        this.dedupAnswers = dedupAnswers;
        openConnections = new DefaultChannelGroup(loop);
    }

    String address() {
        return "127.0.0.1:" + reservedPort.number();
    }

    String instance() {
        return instance;
    }

    /**
     * Starts a new process.
     *
     * @param cold whether its machine has just started; false for one that has been running for long
     */
    void start(boolean cold) throws InterruptedException {
        machine = new SimulatedMachine(loop, machineConfig, modelStore, cold, event -> {
            transcript.write(event, "ex", address());
            loop.execute(this::kill);
        });
        startedAt = cold ? Transcript.now() : 0;
        boolean clockRunsNormally = Double.isNaN(faults.clockAtStart);
        forwardOutcomes = new ForwardOutcomes(loop,
                clockRunsNormally ? Transcript.now() + faults.clockAheadMillis : faults.clockAtStart);
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
                        Http2Settings.defaultSettings().maxConcurrentStreams(MAX_CONCURRENT_STREAMS)).build());
                ch.pipeline().addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel stream) {
                        stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true),
                                new HttpObjectAggregator(MAX_REQUEST_BYTES), new InferenceStreamHandler());
                    }
                }));
            }
        });
    }

    /** Stops reading from all open connections until {@link #resumeReadingConnections}. */
    void stopReadingConnections() {
        openConnections.forEach(connection -> connection.config().setAutoRead(false));
    }

    /** Resumes reading; data that arrived meanwhile is read even if its sender has exited since. */
    void resumeReadingConnections() {
        openConnections.forEach(connection -> connection.config().setAutoRead(true));
    }

    /** Moves this process with its whole state to the address of an executor that has terminated. */
    void takeOverAddress(StandInExecutor terminated) throws InterruptedException {
        kill();
        listener.closeFuture().sync();
        terminated.listener.closeFuture().sync();
        ReservedPort ownPort = reservedPort;
        reservedPort = terminated.reservedPort;
        terminated.reservedPort = ownPort;
        listen();
        running = true;
        transcript.write("start", "ex", address(), "cold", false, "zone", zone);
    }

    /** Closes the listener and all connections at once, like a killed process. */
    void kill() {
        running = false;
        listener.close();
        openConnections.close();
        transcript.write("down", "ex", address());
    }

    /** Terminates permanently and releases the address. */
    void close() {
        if (running) {
            kill();
        }
        reservedPort.close();
    }

    /** Changes the machine on its event loop. */
    void runOnMachine(java.util.function.Consumer<SimulatedMachine> change) {
        loop.execute(() -> {
            change.accept(machine);
            machine.completeFinishedJobs();
        });
    }

    /** Handles the request of one HTTP/2 stream. */
    private final class InferenceStreamHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private String forwardId = "";
        private String dedupKey = "";
        private boolean grpc;
        /** The streamed answer; null if the answer is a single message. */
        private StreamedAnswer streamedAnswer;
        /** Machine and outcomes of the process that received the request; a restart gives the executor new ones. */
        private SimulatedMachine servingMachine;
        private ForwardOutcomes servingOutcomes;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            servingMachine = machine;
            servingOutcomes = forwardOutcomes;
            String path = request.uri();
            String frontEnd = request.headers().get("user-agent", "").replace("gradereach/", "");
            if (path.startsWith("/v2/outcomes/")) {
                answerInquiry(ctx, URLDecoder.decode(path.substring(OUTCOMES_PATH_LENGTH), StandardCharsets.UTF_8));
            } else if (path.equals("/v2/health/ready")) {
                respond(ctx, faults.unannouncedDrain ? 503 : 200, "{}", null);
            } else if (path.startsWith("/v2/repository/models/")) {
                handleLoadOrder(ctx, path, request, frontEnd);
            } else if (path.startsWith("/v2/models/") && path.endsWith("/infer")) {
                JsonNode input = JSON.readTree(ByteBufUtil.getBytes(request.content()));
                handleInference(ctx, modelName(path, MODELS_PATH_LENGTH, INFER_SUFFIX_LENGTH),
                        input.path("parameters").path("work_ms").asDouble(Double.NaN), request, frontEnd);
            } else if (path.startsWith("/inference.GRPCInferenceService/Model")) {
                grpc = true;
                ModelInferRequest message = ModelInferRequest.parseFrom(
                        ByteBufUtil.getBytes(request.content(), GRPC_PREFIX_BYTES,
                                request.content().readableBytes() - GRPC_PREFIX_BYTES));
                InferParameter work = message.getParametersMap().get("work_ms");
                if (path.endsWith("/ModelStreamInfer")) {
                    streamedAnswer = new StreamedAnswer(message, intParameter(message, "parts", 4), intParameter(message, "part_bytes", 32),
                            intParameter(message, "part_ms", 5), loop, faults, transcript);
                }
                handleInference(ctx, message.getModelName(), work == null ? Double.NaN : work.hasDoubleParam() ? work.getDoubleParam()
                        : work.getInt64Param(), request, frontEnd);
            } else {
                respond(ctx, 404, "{\"error\":\"no such path\"}", null);
            }
        }

        /** Answers an inquiry about a forward: finished (200, with its answer), running (202) or unknown to this process (404). */
        private void answerInquiry(ChannelHandlerContext ctx, String inquiredForwardId) {
            ForwardOutcomes.ForwardLookup found = servingOutcomes.findOrFence(inquiredForwardId);
            transcript.write("asked-about", "ex", address(), "fwd", inquiredForwardId, "finished", found.status() == 200);
            FullHttpResponse response = jsonResponse(found.status(), found.output());
            response.headers().set("executor-up-since", servingOutcomes.upSince()).set("executor-process", servingOutcomes.processId())
                    .set("forward-fenced", found.fenced() ? "yes" : "no");
            ctx.writeAndFlush(response);
        }

        private String modelName(String path, int prefixLength, int suffixLength) {
            return URLDecoder.decode(path.substring(prefixLength, path.length() - suffixLength), StandardCharsets.UTF_8);
        }

        private void handleLoadOrder(ChannelHandlerContext ctx, String path, FullHttpRequest request, String frontEnd)
                throws IOException {
            boolean unload = path.endsWith("/unload");
            SimulatedMachine.ModelSpec spec = modelLookup.apply(modelName(path, REPOSITORY_PATH_LENGTH,
                    unload ? UNLOAD_SUFFIX_LENGTH : LOAD_SUFFIX_LENGTH));
            if (spec == null) {
                respond(ctx, 404, "{\"error\":\"unknown model\"}", null);
                return;
            }
            if (unload) {
                transcript.write("unload", "ex", address(), "fe", frontEnd, "model", spec.name());
                servingMachine.unloadIdle(spec.name());
                respond(ctx, 200, "{}", null);
                return;
            }
            JsonNode body = JSON.readTree(ByteBufUtil.getBytes(request.content()));
            int copies = body.path("parameters").path("copies").asInt(1);
            transcript.write("order", "ex", address(), "fe", frontEnd, "model", spec.name(), "copies", copies);
            servingMachine.ensureLoaded(spec, copies, (status, loadedCopies) -> respond(ctx, status, "{}", loadedCopies));
        }

        private void handleInference(ChannelHandlerContext ctx, String model, double requestedWorkMillis, FullHttpRequest request,
                String frontEnd) throws IOException {
            forwardId = request.headers().get("x-request-id", "");
            dedupKey = request.headers().get("idempotency-key", "");
            SimulatedMachine.ModelSpec spec = modelLookup.apply(model);
            transcript.write("arrived", "ex", address(), "fe", frontEnd, "fwd", forwardId, "mark", dedupKey, "model", model);
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
            double workMillis = Double.isNaN(requestedWorkMillis) ? spec.workMillis() : requestedWorkMillis;
            boolean deduped = spec.retrySafety().equals("deduped");
            byte[] earlierAnswer = deduped ? dedupAnswers.get(dedupKey) : null;
            if (earlierAnswer != null && streamedAnswer == null) {
                transcript.write("dropped", "ex", address(), "fwd", forwardId, "mark", dedupKey);
                ctx.writeAndFlush(grpc ? grpcInferResponse(model, workMillis)
                        : jsonResponse(200, new String(earlierAnswer, StandardCharsets.UTF_8)));
                return;
            }
            String output = "{\"model_name\":" + JSON.writeValueAsString(model) + ",\"outputs\":[{\"name\":\"out\","
                    + "\"shape\":[1],\"datatype\":\"FP32\",\"data\":[" + workMillis + "]}]}";
            if (!servingOutcomes.tryStart(forwardId)) {
                reject(ctx, 409, false);
                return;
            }
            servingMachine.submit(spec, workMillis, new SimulatedMachine.JobListener() {
                @Override
                public void onCompleted(String loadStatus, int concurrency) {
                    if (!running || machine != servingMachine) {
                        return; // the process was killed meanwhile
                    }
                    servingOutcomes.complete(forwardId, output);
                    if (deduped && dedupAnswers.putIfAbsent(dedupKey, output.getBytes(StandardCharsets.UTF_8)) != null) {
                        transcript.write("dropped", "ex", address(), "fwd", forwardId, "mark", dedupKey);
                    } else {
                        transcript.write("ran", "ex", address(), "fwd", forwardId, "mark", dedupKey, "model", model);
                    }
                    if (faults.dropAnswers) {
                        return;
                    }
                    if ("after".equals(faults.resetPoint)) {
                        resetStream(ctx);
                        return;
                    }
                    if (streamedAnswer != null) {
                        streamedAnswer.start(ctx, new StreamedAnswer.AnswerSource(address(), forwardId, servingMachine,
                                () -> running && machine == servingMachine), loadStatus, concurrency);
                        return;
                    }
                    FullHttpResponse response = grpc ? grpcInferResponse(model, workMillis) : jsonResponse(200, output);
                    response.headers().set("model-warmth", loadStatus);
                    response.headers().set("model-crowd", concurrency);
                    ctx.writeAndFlush(response);
                }

                @Override
                public void onModelUnavailable(boolean loadFailed) {
                    servingOutcomes.remove(forwardId);
                    reject(ctx, 404, loadFailed);
                }

                @Override
                public void onQueueFull() {
                    servingOutcomes.remove(forwardId);
                    reject(ctx, 503, false);
                }
            });
            if ("within".equals(faults.resetPoint)) {
                resetStream(ctx); // the machine continues the work
            }
        }

        private int intParameter(ModelInferRequest request, String name, int defaultValue) {
            InferParameter value = request.getParametersMap().get(name);
            return value == null ? defaultValue : (int) Math.max(value.getInt64Param(), value.getDoubleParam());
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
            StreamedAnswer.reset(ctx, transcript, address(), forwardId);
        }

        private void reject(ChannelHandlerContext ctx, int status, boolean loadFailed) {
            transcript.write("refused", "ex", address(), "fwd", forwardId, "mark", dedupKey, "status", status);
            FullHttpResponse response = grpc ? grpcResponse(grpcStatus(status), new byte[0])
                    : jsonResponse(status, "{\"error\":\"not begun\"}");
            response.headers().set("inference-begun", "no");
            if (loadFailed) {
                response.headers().set("model-warmth", "load-failed");
            }
            ctx.writeAndFlush(response);
        }

        /** Maps an HTTP status to the gRPC status NOT_FOUND, FAILED_PRECONDITION or UNAVAILABLE. */
        private static int grpcStatus(int status) {
            return switch (status) {
                case 404 -> 5;
                case 409 -> 9;
                default -> 14;
            };
        }

        /** @param loadedCopies value of the {@code model-copies} header; null for none */
        private void respond(ChannelHandlerContext ctx, int status, String body, Integer loadedCopies) {
            if (!running || machine != servingMachine) {
                return;
            }
            FullHttpResponse response = jsonResponse(status, body);
            if (loadedCopies != null) {
                response.headers().set("model-copies", loadedCopies);
            }
            ctx.writeAndFlush(response);
        }

        private FullHttpResponse grpcInferResponse(String model, double workMillis) {
            ModelInferResponse.Builder builder = ModelInferResponse.newBuilder().setModelName(model);
            builder.addOutputsBuilder().setName("out").setDatatype("FP32").addShape(1).getContentsBuilder()
                    .addFp32Contents((float) workMillis);
            byte[] message = builder.build().toByteArray();
            return grpcResponse(0,
                    java.nio.ByteBuffer.allocate(GRPC_PREFIX_BYTES + message.length).put((byte) 0).putInt(message.length)
                            .put(message).array());
        }

        /** A gRPC response, with {@code status} in the trailers. */
        private FullHttpResponse grpcResponse(int status, byte[] framedMessage) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                    Unpooled.wrappedBuffer(framedMessage));
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

    /** Creates the store of answers by dedup key that all executors of a fleet share. */
    static Map<String, byte[]> newDedupStore() {
        return new ConcurrentHashMap<>();
    }
}
