package gradereach.link;

import gradereach.api.ExecutorReport;
import gradereach.api.LoadStatus;
import gradereach.api.Outcome;
import gradereach.counts.Counts;
import gradereach.desk.ExecutorEndpoint;
import gradereach.desk.ExecutorTransport;
import gradereach.desk.InFlightForward;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.LoadOrder;
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
 * Sends requests to executors by the Open Inference Protocol (V2, HTTP/REST) over HTTP/2:
 *
 * <ul>
 * <li>a forward is {@code POST /v2/models/NAME/infer}; executors of some kinds get it by gRPC instead;
 * <li>a load order is the model repository extension's {@code load}, with the number of copies as a load parameter (0 for a
 *     status query); idle copies are unloaded by its {@code unload};
 * <li>a probe is {@code GET /v2/health/ready};
 * <li>an outcome inquiry is {@code GET /v2/outcomes/FORWARD}, which is not part of that protocol.
 * </ul>
 *
 * <p>Results go to the decision thread as events.
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
     * @param name name of this front end, sent to executors in the user agent
     * @param grpcKinds executors of these kinds take inferences by gRPC and all other requests by HTTP/REST
     * @param streamingLimits of connections that carry streamed answers
     * @param clock monotonic time in milliseconds
     * @param eventSink passes events to the decision thread
     */
    public HttpExecutorTransport(String name, Set<Integer> grpcKinds, EventLoopGroup eventLoops, Class<? extends Channel> channelType,
            Http2ConnectionPool.Limits unaryLimits, Http2ConnectionPool.Limits streamingLimits, AnswerStream.Limits answerStreamLimits,
            Counts counts, DoubleSupplier clock, Consumer<Consumer<InferenceCoordinator>> eventSink) {
        this.userAgent = "gradereach/" + name;
        this.eventLoops = eventLoops;
        this.channelType = channelType;
        this.unaryLimits = unaryLimits;
        this.streamingLimits = streamingLimits;
        this.clock = clock;
        this.eventSink = eventSink;
        poolMetrics = new Http2ConnectionPool.Metrics(counts, "executor");
        this.grpcKinds = grpcKinds;
        responseHeaders = new ResponseHeaders(counts);
        grpcSender = new GrpcForwardSender(userAgent, responseHeaders, unaryLimits.maxResponseBytes(), answerStreamLimits, eventSink,
                counts);
    }

    /** The connection pools of one executor. */
    private static final class ExecutorPools {
        final InetSocketAddress address;
        final Http2ConnectionPool unary;
        Http2ConnectionPool streaming;

        ExecutorPools(InetSocketAddress address, Http2ConnectionPool unary) {
            this.address = address;
            this.unary = unary;
        }
    }

    /** Returns the pools of an executor, created on first use. Only called on the decision thread. */
    private ExecutorPools poolsOf(ExecutorEndpoint endpoint) {
        ExecutorPools pools = (ExecutorPools) endpoint.connections;
        if (pools == null) {
            int colon = endpoint.address.lastIndexOf(':');
            String host = endpoint.address.substring(0, colon);
            host = host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
            InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(endpoint.address.substring(colon + 1)));
            pools = new ExecutorPools(address,
                    new Http2ConnectionPool(address, eventLoops.next(), channelType, unaryLimits, poolMetrics, clock));
            endpoint.connections = pools;
        }
        return pools;
    }

    private Http2ConnectionPool unaryPool(ExecutorEndpoint endpoint) {
        return poolsOf(endpoint).unary;
    }

    /**
     * Returns the pool for streamed answers, created on first use. It is separate from the unary pool, since streams stay open
     * and their windows are small. Only called on the decision thread.
     */
    private Http2ConnectionPool streamingPool(ExecutorEndpoint endpoint) {
        ExecutorPools pools = poolsOf(endpoint);
        if (pools.streaming == null) {
            pools.streaming = new Http2ConnectionPool(pools.address, eventLoops.next(), channelType, streamingLimits, poolMetrics, clock);
        }
        return pools.streaming;
    }

    @Override
    public void forward(InFlightForward forward) {
        if (grpcKinds.contains(forward.endpoint.machineKind())) {
            if (forward.acceptsStreaming()) {
                grpcSender.sendStreaming(streamingPool(forward.endpoint), forward, writeCondition(forward));
            } else {
                grpcSender.sendUnary(unaryPool(forward.endpoint), forward, writeCondition(forward));
            }
            return;
        }
        ExchangeListener listener = (result, status, headers, body) -> {
            Outcome outcome = ExchangeOutcomes.forwardOutcome(result, status,
                    ResponseHeaders.header(headers, ExchangeOutcomes.INFERENCE_BEGUN_HEADER));
            if (result == ExchangeListener.ExchangeResult.GIVEN_UP
                    || result == ExchangeListener.ExchangeResult.NOT_WRITTEN && forward.cancelled) {
                return; // the coordinator cancelled it and expects no event
            }
            LoadStatus loadStatus = ResponseHeaders.parseLoadStatus(ResponseHeaders.header(headers, ResponseHeaders.LOAD_STATUS_HEADER));
            int concurrency = ResponseHeaders.parseInt(ResponseHeaders.header(headers, ResponseHeaders.CONCURRENCY_HEADER), -1);
            ExecutorReport report = responseHeaders.loadReport(headers);
            eventSink.accept(coordinator -> coordinator.onForwardEnded(forward, outcome, loadStatus, concurrency, report, body));
        };
        forward.requestHandle = unaryPool(forward.endpoint).send(writeCondition(forward), "POST",
                inferPaths.computeIfAbsent(forward.modelName(), model -> "/v2/models/" + urlEncode(model) + "/infer"),
                forward.input().json(), listener, "content-type", "application/json", "x-request-id", forward.forwardId(),
                "idempotency-key", forward.dedupKey(), "user-agent", userAgent);
        if (inferPaths.size() > MAX_CACHED_PATHS) {
            inferPaths.clear();
        }
    }

    /**
     * Whether the forward may still be written after it has waited for a connection or the event loop. Its answer must be
     * awaited, its send deadline must not have passed, and its executor must be the process that it was meant for and must not
     * drain. After the send deadline, the forward has timed out or its executor may have begun to drain unnoticed.
     */
    private BooleanSupplier writeCondition(InFlightForward forward) {
        BooleanSupplier ready = endpointStillReady(forward.endpoint);
        return () -> !forward.cancelled && forward.targetsCurrentProcess() && clock.getAsDouble() < forward.sendDeadline()
                && ready.getAsBoolean();
    }

    /**
     * Whether the load order may still be written: its reply is awaited, its send deadline has not passed, and its executor
     * meets the same conditions as for a forward.
     */
    private BooleanSupplier writeCondition(LoadOrder order) {
        BooleanSupplier ready = endpointStillReady(order.endpoint);
        return () -> order.isAwaited() && order.targetsCurrentProcess() && clock.getAsDouble() < order.sendDeadline()
                && ready.getAsBoolean();
    }

    /**
     * Returns a condition that becomes false when an endpoint that is ready now is no longer ready. For an endpoint that is not
     * ready now, it is always true.
     */
    private static BooleanSupplier endpointStillReady(ExecutorEndpoint endpoint) {
        boolean wasReady = endpoint.isReady();
        return () -> !wasReady || endpoint.isReady();
    }

    /**
     * Runs the code of gRPC forwards {@code times} times, so that class loading does not delay the first inferences of a
     * process.
     */
    public static void warmUp(int times) {
        GrpcForwardSender.warmUp(times);
    }

    private static final int MAX_CACHED_PATHS = 100_000; // as many as the models of a large fleet; beyond it the cache is cleared

    @Override
    public void cancel(InFlightForward forward) {
        if (forward.requestHandle instanceof Http2ConnectionPool.Request request) {
            request.cancel();
        }
    }

    @Override
    public void sendLoadOrder(LoadOrder order) {
        String path = "/v2/repository/models/" + urlEncode(order.modelName) + "/load";
        byte[] body = ("{\"parameters\":{\"copies\":" + order.copies + "}}").getBytes(StandardCharsets.UTF_8);
        unaryPool(order.endpoint).send(writeCondition(order), "POST", path, body, (result, status, headers, content) -> {
            Outcome outcome = ExchangeOutcomes.loadOrderOrProbeOutcome(result, status);
            int loadedCopies = ResponseHeaders.parseInt(ResponseHeaders.header(headers, ResponseHeaders.COPIES_HEADER), 0);
            eventSink.accept(coordinator -> coordinator.onLoadOrderEnded(order, outcome, loadedCopies));
        }, "content-type", "application/json", "user-agent", userAgent);
    }

    @Override
    public void unloadIdle(ExecutorEndpoint endpoint, String model) {
        byte[] body = "{\"parameters\":{\"idle_only\":true}}".getBytes(StandardCharsets.UTF_8);
        unaryPool(endpoint).send("POST", "/v2/repository/models/" + urlEncode(model) + "/unload", body,
                (result, status, headers, content) -> { }, "content-type", "application/json", "user-agent", userAgent);
    }

    @Override
    public void sendProbe(Probe probe) {
        unaryPool(probe.endpoint).send(probe::isAwaited, "GET", "/v2/health/ready", EMPTY_BODY, (result, status, headers, body) -> {
            Outcome outcome = ExchangeOutcomes.loadOrderOrProbeOutcome(result, status);
            ExecutorReport report = responseHeaders.loadReport(headers);
            eventSink.accept(coordinator -> coordinator.onProbeEnded(probe, outcome, report));
        }, "user-agent", userAgent);
    }

    /** The process number of the executor, in its reply to an inquiry: a random number that the process draws at its start. */
    static final String PROCESS_HEADER = "executor-process";
    /** With {@code yes}, the process, which has not seen the forward, rejects it without running it if it still arrives. */
    static final String FENCED_HEADER = "forward-fenced";
    private static final long INQUIRY_TIMEOUT_MILLIS = 2000;
    /**
     * Stands for a forward's id in an inquiry that only asks for the process number, which every reply contains. No forward has
     * this id, since a forward's id always contains a #.
     */
    private static final String NO_FORWARD = "none";

    @Override
    public void inquire(ExecutorEndpoint endpoint, String forwardId, InquiryCallback callback) {
        Http2ConnectionPool.Request request = unaryPool(endpoint).send("GET", "/v2/outcomes/" + urlEncode(forwardId), EMPTY_BODY,
                (result, status, headers, body) -> {
            InquiryScheduler.OutcomeReply reply = result == ExchangeListener.ExchangeResult.ANSWERED ? outcomeReply(status, headers)
                    : InquiryScheduler.OutcomeReply.NOTHING;
            double processNumber = parseProcessNumber(headers);
            eventSink.accept(coordinator -> callback.onReply(reply, processNumber, body));
        }, "user-agent", userAgent);
        eventLoops.next().schedule(request::cancel, INQUIRY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS); // frees the stream
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
        CharSequence value = ResponseHeaders.header(headers, FENCED_HEADER);
        return value != null && "yes".contentEquals(value);
    }

    @Override
    public void requestProcessNumber(ExecutorEndpoint endpoint, DoubleConsumer callback) {
        inquire(endpoint, NO_FORWARD, (reply, processNumber, body) -> callback.accept(processNumber));
    }

    /** Returns the executor's process number, or NaN if the header is missing or malformed. */
    private static double parseProcessNumber(Http2Headers headers) {
        CharSequence value = ResponseHeaders.header(headers, PROCESS_HEADER);
        return value == null || !value.toString().matches("\\d{1,15}") ? Double.NaN : Long.parseLong(value.toString());
    }

    @Override
    public void closeWhenIdle(ExecutorEndpoint endpoint) {
        if (endpoint.connections instanceof ExecutorPools pools) {
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
