package gradereach.link;

import gradereach.api.Outcome;
import gradereach.api.ExecutorReport;
import gradereach.api.LoadStatus;
import gradereach.counts.Counts;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InFlightForward;
import gradereach.desk.ExecutorTransport;
import gradereach.desk.LoadOrder;
import gradereach.desk.ExecutorEndpoint;
import gradereach.desk.Probe;
import gradereach.flow.AnswerStream;
import gradereach.http2.ExchangeListener;
import gradereach.http2.Http2ConnectionPool;
import gradereach.inquiry.InquiryScheduler;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http2.Http2Headers;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;

/**
 * Speaks the Open Inference Protocol (V2, HTTP/REST) to executors over HTTP/2: {@code POST /v2/models/NAME/infer};
 * the model repository extension's {@code load} with the copies as a load parameter (0 only asks) and {@code unload};
 * {@code GET /v2/health/ready} as probe. Ends go to the deciding thread as events.
 */
public final class HttpExecutorTransport implements ExecutorTransport {
    private static final byte[] EMPTY_BODY = {};
    private final String userAgent;
    private final EventLoopGroup eventLoops;
    private final Class<? extends Channel> channelType;
    private final Http2ConnectionPool.Limits unaryLimits;
    private final Http2ConnectionPool.Limits streamingLimits;
    private final Http2ConnectionPool.Metrics poolMetrics;
    private final DoubleSupplier clock;
    private final Consumer<Consumer<InferenceCoordinator>> eventSink;
    private final ResponseHeaders responseHeaders;
    private final GrpcForwardSender grpcSender;
    private final Set<Integer> grpcKinds;
    private final Map<String, String> inferPaths = new ConcurrentHashMap<>();

    /**
     * @param name told to executors as the user agent
     * @param grpcKinds executors of these kinds take inferences by gRPC, and all else as the others do
     * @param streamBounds of connections that carry answers in parts
     */
    public HttpExecutorTransport(String name, Set<Integer> grpcKinds, EventLoopGroup loops, Class<? extends Channel> channelType, Http2ConnectionPool.Limits bounds,
            Http2ConnectionPool.Limits streamBounds, AnswerStream.Limits parts, Counts counts, DoubleSupplier clock, Consumer<Consumer<InferenceCoordinator>> toDesk) {
        this.userAgent = "gradereach/" + name;
        this.eventLoops = loops;
        this.channelType = channelType;
        this.unaryLimits = bounds;
        this.streamingLimits = streamBounds;
        this.clock = clock;
        this.eventSink = toDesk;
        poolMetrics = new Http2ConnectionPool.Metrics(counts, "executor");
        this.grpcKinds = grpcKinds;
        responseHeaders = new ResponseHeaders(counts);
        grpcSender = new GrpcForwardSender(userAgent, responseHeaders, bounds.maxResponseBytes(), parts, toDesk, counts);
    }

    /** What is open to one executor. */
    private static final class ExecutorPools {
        final InetSocketAddress address;
        final Http2ConnectionPool unary;
        Http2ConnectionPool streaming;

        ExecutorPools(InetSocketAddress at, Http2ConnectionPool whole) {
            this.address = at;
            this.unary = whole;
        }
    }

    /** Of the deciding thread alone. */
    private ExecutorPools poolsOf(ExecutorEndpoint place) {
        ExecutorPools pools = (ExecutorPools) place.connections;
        if (pools == null) {
            int colon = place.address.lastIndexOf(':');
            String host = place.address.substring(0, colon);
            host = host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
            InetSocketAddress at = new InetSocketAddress(host, Integer.parseInt(place.address.substring(colon + 1)));
            pools = new ExecutorPools(at, new Http2ConnectionPool(at, eventLoops.next(), channelType, unaryLimits, poolMetrics, clock));
            place.connections = pools;
        }
        return pools;
    }

    private Http2ConnectionPool unaryPool(ExecutorEndpoint place) {
        return poolsOf(place).unary;
    }

    /** Beside the other, since streams stay open and their windows are small. Of the deciding thread alone. */
    private Http2ConnectionPool streamingPool(ExecutorEndpoint place) {
        ExecutorPools pools = poolsOf(place);
        if (pools.streaming == null) {
            pools.streaming = new Http2ConnectionPool(pools.address, eventLoops.next(), channelType, streamingLimits, poolMetrics, clock);
        }
        return pools.streaming;
    }

    @Override
    public void forward(InFlightForward flight) {
        if (grpcKinds.contains(flight.endpoint.kind())) {
            if (flight.acceptsStreaming()) {
                grpcSender.sendStreaming(streamingPool(flight.endpoint), flight, writeCondition(flight));
            } else {
                grpcSender.sendUnary(unaryPool(flight.endpoint), flight, writeCondition(flight));
            }
            return;
        }
        ExchangeListener end = (how, status, headers, body) -> {
            Outcome outcome = ExchangeOutcomes.ofForward(how, status, ResponseHeaders.header(headers, ExchangeOutcomes.INFERENCE_BEGUN_HEADER));
            if (how == ExchangeListener.ExchangeResult.GIVEN_UP || how == ExchangeListener.ExchangeResult.NOT_WRITTEN && flight.cancelled) {
                return; // the desk gave it up and knows
            }
            LoadStatus warmth = ResponseHeaders.parseLoadStatus(ResponseHeaders.header(headers, ResponseHeaders.LOAD_STATUS_HEADER));
            int crowd = ResponseHeaders.parseInt(ResponseHeaders.header(headers, ResponseHeaders.CONCURRENCY_HEADER), -1);
            ExecutorReport report = responseHeaders.loadReport(headers);
            eventSink.accept(desk -> desk.onForwardEnded(flight, outcome, warmth, crowd, report, body));
        };
        flight.stream = unaryPool(flight.endpoint).send(writeCondition(flight), "POST",
                inferPaths.computeIfAbsent(flight.modelName(), m -> "/v2/models/" + urlEncode(m) + "/infer"), flight.input().json(),
                end, "content-type", "application/json", "x-request-id", flight.forwardId(), "idempotency-key",
                flight.dedupKey(), "user-agent", userAgent);
        if (inferPaths.size() > MAX_CACHED_PATHS) {
            inferPaths.clear();
        }
    }

    /**
     * Whether it may still be written: somebody waits for it, its time is not up, and its executor has neither begun to drain
     * nor may have done so unheard, nor been replaced. It waited for a connection, or for its thread.
     */
    private BooleanSupplier writeCondition(InFlightForward flight) {
        BooleanSupplier ready = endpointStillReady(flight.endpoint);
        return () -> !flight.cancelled && flight.targetsCurrentProcess() && clock.getAsDouble() < flight.sendDeadline() && ready.getAsBoolean();
    }

    private BooleanSupplier writeCondition(LoadOrder order) {
        BooleanSupplier ready = endpointStillReady(order.endpoint);
        return () -> order.isAwaited() && order.targetsCurrentProcess() && clock.getAsDouble() < order.sendDeadline() && ready.getAsBoolean();
    }

    private static BooleanSupplier endpointStillReady(ExecutorEndpoint place) {
        boolean wasReady = place.ready();
        return () -> !wasReady || place.ready();
    }

    /** Loads what forwards by gRPC need: the first inferences of a process would pay for it otherwise. */
    public static void warmUp(int times) {
        GrpcForwardSender.warmUp(times);
    }

    private static final int MAX_CACHED_PATHS = 100_000; // as many as a large fleet's models; made again when cleared

    @Override
    public void cancel(InFlightForward flight) {
        if (flight.stream instanceof Http2ConnectionPool.Request request) {
            request.cancel();
        }
    }

    @Override
    public void sendLoadOrder(LoadOrder order) {
        String path = "/v2/repository/models/" + urlEncode(order.modelName) + "/load";
        byte[] body = ("{\"parameters\":{\"copies\":" + order.copies + "}}").getBytes(StandardCharsets.UTF_8);
        unaryPool(order.endpoint).send(writeCondition(order), "POST", path, body, (how, status, headers, content) -> {
            Outcome outcome = ExchangeOutcomes.ofLoadOrderOrProbe(how, status);
            int standing = ResponseHeaders.parseInt(ResponseHeaders.header(headers, ResponseHeaders.COPIES_HEADER), 0);
            eventSink.accept(desk -> desk.onLoadOrderEnded(order, outcome, standing));
        }, "content-type", "application/json", "user-agent", userAgent);
    }

    @Override
    public void unloadIdle(ExecutorEndpoint place, String model) {
        byte[] body = "{\"parameters\":{\"idle_only\":true}}".getBytes(StandardCharsets.UTF_8);
        unaryPool(place).send("POST", "/v2/repository/models/" + urlEncode(model) + "/unload", body, (h, s, hd, b) -> { },
                "content-type", "application/json", "user-agent", userAgent);
    }

    @Override
    public void sendProbe(Probe probe) {
        unaryPool(probe.endpoint).send(probe::isAwaited, "GET", "/v2/health/ready", EMPTY_BODY, (how, status, headers, body) -> {
            Outcome outcome = ExchangeOutcomes.ofLoadOrderOrProbe(how, status);
            ExecutorReport report = responseHeaders.loadReport(headers);
            eventSink.accept(desk -> desk.onProbeEnded(probe, outcome, report));
        }, "user-agent", userAgent);
    }

    /** By which an executor's process tells itself from any other, in its answer to a question: a number that it drew at its start. */
    static final String PROCESS_HEADER = "executor-process";
    /** With {@code yes}: the process that answers "never seen" refuses the forward, unrun, should it come from now on. */
    static final String FENCED_HEADER = "forward-fenced";
    /** Milliseconds after which the answer to a question is not waited for any more. */
    private static final long INQUIRY_TIMEOUT_MILLIS = 2000;
    /** In place of a forward's name, which has a # in it: asked for what every answer tells of the process. */
    private static final String NO_FORWARD = "none";

    @Override
    public void inquire(ExecutorEndpoint place, String forward, InquiryCallback then) {
        Http2ConnectionPool.Request request = unaryPool(place).send("GET", "/v2/outcomes/" + urlEncode(forward), EMPTY_BODY, (how, status, headers, body) -> {
            InquiryScheduler.OutcomeReply what = how == ExchangeListener.ExchangeResult.ANSWERED ? outcomeReply(status, headers) : InquiryScheduler.OutcomeReply.NOTHING;
            double process = parseProcessIdentity(headers);
            eventSink.accept(desk -> then.onReply(what, process, body));
        }, "user-agent", userAgent);
        eventLoops.next().schedule(request::cancel, INQUIRY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS); // or it would hold its stream for good
    }

    private static InquiryScheduler.OutcomeReply outcomeReply(int status, Http2Headers headers) {
        return switch (status) {
            case 200 -> InquiryScheduler.OutcomeReply.FINISHED;
            case 202 -> InquiryScheduler.OutcomeReply.RUNNING;
            case 404 -> isFenced(headers) ? InquiryScheduler.OutcomeReply.FENCED : InquiryScheduler.OutcomeReply.UNSEEN;
            default -> InquiryScheduler.OutcomeReply.NOTHING;
        };
    }

    private static boolean isFenced(Http2Headers headers) {
        CharSequence told = ResponseHeaders.header(headers, FENCED_HEADER);
        return told != null && "yes".contentEquals(told);
    }

    @Override
    public void requestProcessId(ExecutorEndpoint place, DoubleConsumer then) {
        inquire(place, NO_FORWARD, (what, process, body) -> then.accept(process));
    }

    /** The number that the executor's process drew at its start, NaN without one that can be read. */
    private static double parseProcessIdentity(Http2Headers headers) {
        CharSequence told = ResponseHeaders.header(headers, PROCESS_HEADER);
        return told == null || !told.toString().matches("\\d{1,15}") ? Double.NaN : Long.parseLong(told.toString());
    }

    @Override
    public void closeWhenIdle(ExecutorEndpoint place) {
        if (place.connections instanceof ExecutorPools pools) {
            pools.unary.drainConnections();
            if (pools.streaming != null) {
                pools.streaming.drainConnections();
            }
        }
    }

    private static String urlEncode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
