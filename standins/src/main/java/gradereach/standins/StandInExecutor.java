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
        volatile String fullFor;
        volatile String unanswered;
        volatile boolean refuses;
        volatile String resets;
        /** It is not ready for new work, and the roster does not say so; what comes all the same it takes. */
        volatile boolean drainsUnheard;
        /** Its process runs what comes and answers none of it; a new process does. */
        volatile boolean answersLost;
        /** Milliseconds by which the clock of its machine is ahead, as a process starts there. */
        volatile double clockAhead;
        /** What that clock shows at every start of a process, Unix milliseconds; NaN where it goes on. */
        volatile double shownAtStart = Double.NaN;
    }

    final String zone;
    final Faults faults = new Faults();
    private final EventLoop loop;
    private final Machine.Kind kind;
    private final Store store;
    private final Function<String, Machine.Spec> specs;
    private final Transcript transcript;
    /** Marks of deduped inferences that ran somewhere in the fleet, with their answers. */
    private final Map<String, byte[]> seen;
    private final ChannelGroup open;
    private Channel listener;
    private ReservedPort port = new ReservedPort();
    private volatile Machine machine;
    /** Discovery's name for it, from its first address. */
    private volatile String instance;
    /** Of the present process. */
    private volatile ForwardOutcomes outcomes;
    volatile double startedAt;
    volatile boolean up;

    StandInExecutor(String zone, EventLoop loop, Machine.Kind kind, Store store, Function<String, Machine.Spec> specs,
            Transcript transcript, Map<String, byte[]> seen) {
        this.zone = zone;
        this.loop = loop;
        this.kind = kind;
        this.store = store;
        this.specs = specs;
        this.transcript = transcript;
        this.seen = seen;
        open = new DefaultChannelGroup(loop);
    }

    String address() {
        return "127.0.0.1:" + port.number();
    }

    String instance() {
        return instance;
    }

    void start(boolean cold) throws InterruptedException {
        machine = new Machine(loop, kind, store, cold, word -> {
            transcript.write(word, "ex", address());
            loop.execute(this::down);
        });
        startedAt = cold ? Transcript.now() : 0;
        boolean goesOn = Double.isNaN(faults.shownAtStart);
        outcomes = new ForwardOutcomes(loop, goesOn ? Transcript.now() + faults.clockAhead : faults.shownAtStart);
        faults.answersLost = false;
        listen();
        instance = instance == null ? "ex-" + address().replace(':', '-').replace('.', '-') : instance;
        up = true;
        transcript.write("start", "ex", address(), "cold", cold, "zone", zone);
    }

    private void listen() throws InterruptedException {
        listener = port.listen(loop, new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel ch) {
                if (faults.refuses) {
                    ch.config().setOption(io.netty.channel.ChannelOption.SO_LINGER, 0);
                    ch.close();
                    return;
                }
                open.add(ch);
                ch.pipeline().addLast(Http2FrameCodecBuilder.forServer().initialSettings(
                        Http2Settings.defaultSettings().maxConcurrentStreams(1000)).build());
                ch.pipeline().addLast(new Http2MultiplexHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel stream) {
                        stream.pipeline().addLast(new Http2StreamFrameToHttpObjectCodec(true),
                                new HttpObjectAggregator(16 << 20), new Handler());
                    }
                }));
            }
        });
    }

    /** What comes on the connections that are open now waits unread until {@link #readConnections}. */
    void stopReadingConnections() {
        open.forEach(connection -> connection.config().setAutoRead(false));
    }

    /** What came meanwhile is read, also where its sender has ended since. */
    void readConnections() {
        open.forEach(connection -> connection.config().setAutoRead(true));
    }

    /** The process as it is, with all that it holds, at the address of one that has ended. */
    void takeOver(StandInExecutor ended) throws InterruptedException {
        down();
        listener.closeFuture().sync();
        ended.listener.closeFuture().sync();
        ReservedPort own = port;
        port = ended.port;
        ended.port = own;
        listen();
        up = true;
        transcript.write("start", "ex", address(), "cold", false, "zone", zone);
    }

    /** Ends at once, as a killed process does. */
    void down() {
        up = false;
        listener.close();
        open.close();
        transcript.write("down", "ex", address());
    }

    /** For good: its address is free for anybody. */
    void close() {
        if (up) {
            down();
        }
        port.close();
    }

    void onMachine(java.util.function.Consumer<Machine> change) {
        loop.execute(() -> {
            change.accept(machine);
            machine.step();
        });
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private String forward = "";
        private String mark = "";
        private boolean grpc;
        /** How an answer in parts flows; null for a whole one. */
        private PartsAnswer parts;
        private Machine at;
        private ForwardOutcomes known;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            at = machine;
            known = outcomes;
            String path = request.uri();
            String agent = request.headers().get("user-agent", "").replace("gradereach/", "");
            if (path.startsWith("/v2/outcomes/")) {
                outcome(ctx, URLDecoder.decode(path.substring(13), StandardCharsets.UTF_8));
            } else if (path.equals("/v2/health/ready")) {
                answer(ctx, faults.drainsUnheard ? 503 : 200, "{}", null);
            } else if (path.startsWith("/v2/repository/models/")) {
                order(ctx, path, request, agent);
            } else if (path.startsWith("/v2/models/") && path.endsWith("/infer")) {
                JsonNode input = JSON.readTree(ByteBufUtil.getBytes(request.content()));
                infer(ctx, name(path, 11, 6), input.path("parameters").path("work_ms").asDouble(Double.NaN), request, agent);
            } else if (path.startsWith("/inference.GRPCInferenceService/Model")) {
                grpc = true;
                // One message behind its flag and length.
                ModelInferRequest message = ModelInferRequest.parseFrom(
                        ByteBufUtil.getBytes(request.content(), 5, request.content().readableBytes() - 5));
                InferParameter work = message.getParametersMap().get("work_ms");
                if (path.endsWith("/ModelStreamInfer")) {
                    parts = new PartsAnswer(message, number(message, "parts", 4), number(message, "part_bytes", 32),
                            number(message, "part_ms", 5), loop, faults, transcript);
                }
                infer(ctx, message.getModelName(), work == null ? Double.NaN : work.hasDoubleParam() ? work.getDoubleParam()
                        : work.getInt64Param(), request, agent);
            } else {
                answer(ctx, 404, "{\"error\":\"no such path\"}", null);
            }
        }

        /** What became of a forward: finished (200, its answer), running (202), never seen by this process (404). */
        private void outcome(ChannelHandlerContext ctx, String of) {
            ForwardOutcomes.Found found = known.find(of);
            transcript.write("asked-about", "ex", address(), "fwd", of, "finished", found.status() == 200);
            FullHttpResponse response = response(found.status(), found.output());
            response.headers().set("executor-up-since", known.upSince()).set("executor-process", known.process())
                    .set("forward-fenced", found.fenced() ? "yes" : "no");
            ctx.writeAndFlush(response);
        }

        private String name(String path, int from, int tail) {
            return URLDecoder.decode(path.substring(from, path.length() - tail), StandardCharsets.UTF_8);
        }

        private void order(ChannelHandlerContext ctx, String path, FullHttpRequest request, String agent)
                throws IOException {
            boolean unload = path.endsWith("/unload");
            Machine.Spec spec = specs.apply(name(path, 22, unload ? 7 : 5));
            if (spec == null) {
                answer(ctx, 404, "{\"error\":\"unknown model\"}", null);
                return;
            }
            if (unload) {
                transcript.write("unload", "ex", address(), "fe", agent, "model", spec.name());
                at.unloadIdle(spec.name());
                answer(ctx, 200, "{}", null);
                return;
            }
            JsonNode body = JSON.readTree(ByteBufUtil.getBytes(request.content()));
            int copies = body.path("parameters").path("copies").asInt(1);
            transcript.write("order", "ex", address(), "fe", agent, "model", spec.name(), "copies", copies);
            at.hold(spec, copies, (status, standing) -> answer(ctx, status, "{}", standing));
        }

        private void infer(ChannelHandlerContext ctx, String model, double asked, FullHttpRequest request, String agent)
                throws IOException {
            forward = request.headers().get("x-request-id", "");
            mark = request.headers().get("idempotency-key", "");
            Machine.Spec spec = specs.apply(model);
            transcript.write("arrived", "ex", address(), "fe", agent, "fwd", forward, "mark", mark, "model", model);
            String customer = mark.substring(0, Math.max(0, mark.indexOf('/')));
            if ("before".equals(faults.resets)) {
                reset(ctx);
                return;
            }
            if (spec == null || customer.equals(faults.fullFor)) {
                refuse(ctx, spec == null ? 404 : 503, false);
                return;
            }
            if (spec.group().equals(faults.unanswered)) {
                return;
            }
            double work = Double.isNaN(asked) ? spec.work() : asked;
            boolean deduped = spec.repeat().equals("deduped");
            byte[] before = deduped ? seen.get(mark) : null;
            if (before != null && parts == null) {
                transcript.write("dropped", "ex", address(), "fwd", forward, "mark", mark);
                ctx.writeAndFlush(grpc ? message(model, work) : response(200, new String(before, StandardCharsets.UTF_8)));
                return;
            }
            String output = "{\"model_name\":" + JSON.writeValueAsString(model) + ",\"outputs\":[{\"name\":\"out\","
                    + "\"shape\":[1],\"datatype\":\"FP32\",\"data\":[" + work + "]}]}";
            if (!known.begin(forward)) {
                refuse(ctx, 409, false);
                return;
            }
            at.work(spec, work, new Machine.JobEnd() {
                @Override
                public void ran(String warmth, int crowd) {
                    if (!up || machine != at) {
                        return; // it died with the process
                    }
                    known.finished(forward, output);
                    if (deduped && seen.putIfAbsent(mark, output.getBytes(StandardCharsets.UTF_8)) != null) {
                        transcript.write("dropped", "ex", address(), "fwd", forward, "mark", mark);
                    } else {
                        transcript.write("ran", "ex", address(), "fwd", forward, "mark", mark, "model", model);
                    }
                    if (faults.answersLost) {
                        return;
                    }
                    if ("after".equals(faults.resets)) {
                        reset(ctx);
                        return;
                    }
                    if (parts != null) {
                        parts.begin(ctx, new PartsAnswer.Origin(address(), forward, at, () -> up && machine == at), warmth, crowd);
                        return;
                    }
                    FullHttpResponse response = grpc ? message(model, work) : response(200, output);
                    response.headers().set("model-warmth", warmth);
                    response.headers().set("model-crowd", crowd);
                    ctx.writeAndFlush(response);
                }

                @Override
                public void missed(boolean loadFailed) {
                    known.forget(forward);
                    refuse(ctx, 404, loadFailed);
                }

                @Override
                public void full() {
                    known.forget(forward);
                    refuse(ctx, 503, false);
                }
            });
            if ("within".equals(faults.resets)) {
                reset(ctx); // the work goes on
            }
        }

        private int number(ModelInferRequest in, String name, int otherwise) {
            InferParameter told = in.getParametersMap().get(name);
            return told == null ? otherwise : (int) Math.max(told.getInt64Param(), told.getDoubleParam());
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            if (parts != null) {
                parts.writabilityChanged(ctx);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) throws Exception {
            if (parts != null) {
                parts.left();
            }
            super.channelInactive(ctx);
        }

        private void reset(ChannelHandlerContext ctx) {
            PartsAnswer.reset(ctx, transcript, address(), forward);
        }

        private void refuse(ChannelHandlerContext ctx, int status, boolean loadFailed) {
            transcript.write("refused", "ex", address(), "fwd", forward, "mark", mark, "status", status);
            FullHttpResponse response = grpc ? ended(grpcStatus(status), new byte[0]) : response(status, "{\"error\":\"not begun\"}");
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

        private void answer(ChannelHandlerContext ctx, int status, String body, Integer copies) {
            if (!up || machine != at) {
                return;
            }
            FullHttpResponse response = response(status, body);
            if (copies != null) {
                response.headers().set("model-copies", copies);
            }
            ctx.writeAndFlush(response);
        }

        private FullHttpResponse message(String model, double work) {
            ModelInferResponse.Builder of = ModelInferResponse.newBuilder().setModelName(model);
            of.addOutputsBuilder().setName("out").setDatatype("FP32").addShape(1).getContentsBuilder().addFp32Contents((float) work);
            byte[] message = of.build().toByteArray();
            return ended(0, java.nio.ByteBuffer.allocate(5 + message.length).put((byte) 0).putInt(message.length).put(message).array());
        }

        /** With {@code status} in the trailers, as gRPC has it. */
        private FullHttpResponse ended(int status, byte[] framed) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK,
                    Unpooled.wrappedBuffer(framed));
            response.headers().set("content-type", "application/grpc");
            response.trailingHeaders().set("grpc-status", status).set("endpoint-load-metrics", at.report());
            return response;
        }

        private FullHttpResponse response(int status, String body) {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(bytes));
            response.headers().set("content-type", "application/json").setInt("content-length", bytes.length)
                    .set("endpoint-load-metrics", at.report());
            return response;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    static Map<String, byte[]> memory() {
        return new ConcurrentHashMap<>();
    }
}
