package gradereach.serve;

import gradereach.counts.Counts;
import gradereach.http2.Http2ConnectionPool;
import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelStreamInferResponse;
import gradereach.webhook.CallSignature;
import gradereach.webhook.WebhookKey;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Clients of the warm-up. They send inferences that succeed and some that end in each other way, over every protocol that
 * clients may use. Without this, the first failure over each protocol would have to load classes, and its answer would be late.
 */
final class WarmUpClients implements AutoCloseable {
    /** The first answers of a new process take 600 ms, those after a few hundred under 2 ms. */
    private static final int SUCCESSFUL_WEBHOOKS = 400;
    private static final int SUCCESSFUL_CALLS = 200;
    /** Rounds over all failures, groups and protocols: an inference may miss an executor that is avoided after an earlier failure. */
    private static final int FAILING_ROUNDS = 3;
    private static final int MAX_IN_FLIGHT = 16;
    private static final long TIMEOUT_MILLIS = 3000;
    /** Enough for a forward over a new connection, but short, since all unanswered inferences wait that long. */
    private static final int FAILING_BUDGET_MILLIS = 150;
    /** Time after which the clients that cancel do so. */
    private static final long CANCEL_AFTER_MILLIS = 50;
    private static final List<String> FAILURES = List.of(EchoExecutor.ERROR, EchoExecutor.SILENT, EchoExecutor.RESET);

    private final EventLoopGroup eventLoops;
    private final InetSocketAddress webhookAddress;
    private final WebhookKey key;
    private final Http2ConnectionPool pool;
    /** Null without a gRPC server. */
    private final ManagedChannel channel;
    private final Semaphore permits = new Semaphore(MAX_IN_FLIGHT);
    private int idCount;

    /** @param grpcAddress address of the gRPC server, null without one */
    WarmUpClients(EventLoopGroup eventLoops, InetSocketAddress webhookAddress, InetSocketAddress grpcAddress, WebhookKey key) {
        this.eventLoops = eventLoops;
        this.webhookAddress = webhookAddress;
        this.key = key;
        pool = new Http2ConnectionPool(webhookAddress, eventLoops.next(), NioSocketChannel.class,
                new Http2ConnectionPool.Limits(2, 100, 1000, 10_000, 1 << 16, 1 << 20),
                new Http2ConnectionPool.Metrics(new Counts(), "warm_up"), () -> System.nanoTime() / 1e6);
        channel = grpcAddress == null ? null : NettyChannelBuilder.forAddress(grpcAddress).usePlaintext().disableRetry().build();
    }

    /**
     * Sends inferences of one group that succeed, and some with bad signatures, so that rejections are warmed up as well. Some
     * answers contain a tensor, and some inferences are sent over HTTP/1.1.
     */
    void runSuccessful(String group) throws InterruptedException, IOException {
        long deadline = newDeadline();
        for (int i = 0; i < SUCCESSFUL_WEBHOOKS && System.nanoTime() < deadline; i++) {
            String model = group + "-" + (i % 7 == 0 ? EchoExecutor.TENSOR : "echo") + "-" + i % 5;
            if (i % 20 == 0) {
                postOverHttp1(model);
            } else {
                post(model, (int) TIMEOUT_MILLIS, i % 50 == 49, false);
            }
        }
        awaitAll(deadline);
        deadline = newDeadline();
        for (int i = 0; channel != null && i < SUCCESSFUL_CALLS && System.nanoTime() < deadline; i++) {
            String model = group + "-" + (i % 7 == 0 ? EchoExecutor.TENSOR : "echo") + "-" + i % 5;
            call(model, TIMEOUT_MILLIS, i % 2 == 1, i % 50 == 49, false);
        }
        awaitAll(deadline);
    }

    /** Sends inferences that executors fail, reset or never answer, and some whose clients cancel. */
    void runFailing(List<String> groups) throws InterruptedException {
        long deadline = newDeadline();
        for (int round = 0; round < FAILING_ROUNDS && System.nanoTime() < deadline; round++) {
            for (String failure : FAILURES) {
                for (String group : groups) {
                    String model = group + "-" + failure + "-" + round;
                    boolean cancels = round == FAILING_ROUNDS - 1 && failure.equals(EchoExecutor.SILENT);
                    post(model, FAILING_BUDGET_MILLIS, false, cancels);
                    if (channel != null) {
                        call(model, FAILING_BUDGET_MILLIS, false, false, cancels);
                        call(model, FAILING_BUDGET_MILLIS, true, false, cancels);
                    }
                }
            }
        }
        awaitAll(deadline);
    }

    /** Returns a deadline by {@link System#nanoTime}. */
    private static long newDeadline() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    }

    /** Waits until all requests have ended, or until the deadline. */
    private void awaitAll(long deadline) throws InterruptedException {
        if (permits.tryAcquire(MAX_IN_FLIGHT, Math.max(1, deadline - System.nanoTime()), TimeUnit.NANOSECONDS)) {
            permits.release(MAX_IN_FLIGHT);
        }
    }

    private String nextId() {
        return "warm-up-" + idCount++;
    }

    private static byte[] body(String model, int budgetMillis) {
        return ("{\"type\":\"inference.requested\",\"timestamp\":\"now\",\"data\":{\"model\":\"" + model + "\",\"budget_ms\":"
                + budgetMillis + ",\"input\":{\"inputs\":[]}}}").getBytes(StandardCharsets.UTF_8);
    }

    private static long unixSeconds() {
        return System.currentTimeMillis() / 1000;
    }

    private void post(String model, int budgetMillis, boolean badSignature, boolean cancels) throws InterruptedException {
        permits.acquire();
        String id = nextId();
        byte[] body = body(model, budgetMillis);
        long timestamp = unixSeconds();
        Http2ConnectionPool.Request request = pool.send("POST", "/v1/inferences", body,
                (result, status, headers, content) -> permits.release(), "content-type", "application/json", "webhook-id", id,
                "webhook-timestamp", Long.toString(timestamp), "webhook-signature",
                "v1," + key.sign(badSignature ? "forged" : id, timestamp, body));
        if (cancels) {
            eventLoops.schedule(request::cancel, CANCEL_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void postOverHttp1(String model) throws IOException {
        String id = nextId();
        byte[] body = body(model, (int) TIMEOUT_MILLIS);
        long timestamp = unixSeconds();
        try (Socket socket = new Socket(webhookAddress.getAddress(), webhookAddress.getPort());
                OutputStream out = socket.getOutputStream()) {
            socket.setSoTimeout((int) TIMEOUT_MILLIS);
            out.write(("POST /v1/inferences HTTP/1.1\r\nhost: warm-up\r\ncontent-type: application/json\r\nwebhook-id: " + id
                    + "\r\nwebhook-timestamp: " + timestamp + "\r\nwebhook-signature: v1," + key.sign(id, timestamp, body)
                    + "\r\ncontent-length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            socket.getInputStream().read();
        }
    }

    private void call(String model, long budgetMillis, boolean streamed, boolean badSignature, boolean cancels)
            throws InterruptedException {
        permits.acquire();
        ModelInferRequest unsignedRequest = ModelInferRequest.newBuilder().setModelName(model).setId(nextId())
                .putParameters("gradereach-budget-ms", InferParameter.newBuilder().setInt64Param(budgetMillis).build()).build();
        long timestamp = unixSeconds();
        String method = (streamed ? GRPCInferenceServiceGrpc.getModelStreamInferMethod()
                : GRPCInferenceServiceGrpc.getModelInferMethod()).getFullMethodName();
        String signature = "v1," + key.sign(badSignature ? "forged" : unsignedRequest.getId(), timestamp,
                CallSignature.signedContent(method, CallSignature.digest(unsignedRequest)));
        GRPCInferenceServiceGrpc.GRPCInferenceServiceStub stub = GRPCInferenceServiceGrpc.newStub(channel)
                .withDeadlineAfter(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        CallObserver<?> observer;
        if (streamed) {
            CallObserver<ModelStreamInferResponse> streamObserver = new CallObserver<>();
            StreamObserver<ModelInferRequest> requests = stub.modelStreamInfer(streamObserver);
            requests.onNext(unsignedRequest.toBuilder()
                    .putParameters(CallSignature.TIMESTAMP, stringParameter(Long.toString(timestamp)))
                    .putParameters(CallSignature.SIGNATURE, stringParameter(signature)).build());
            requests.onCompleted();
            observer = streamObserver;
        } else {
            Metadata headers = new Metadata();
            Map.of(CallSignature.ID, unsignedRequest.getId(), CallSignature.TIMESTAMP, Long.toString(timestamp),
                    CallSignature.SIGNATURE, signature).forEach((name, value) -> headers.put(
                            Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER), value));
            CallObserver<ModelInferResponse> unaryObserver = new CallObserver<>();
            stub.withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers)).modelInfer(unsignedRequest, unaryObserver);
            observer = unaryObserver;
        }
        if (cancels) {
            eventLoops.schedule(observer::cancel, CANCEL_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static InferParameter stringParameter(String value) {
        return InferParameter.newBuilder().setStringParam(value).build();
    }

    /** Releases a permit when its call has ended. */
    private final class CallObserver<T> implements ClientResponseObserver<ModelInferRequest, T> {
        private ClientCallStreamObserver<ModelInferRequest> call;

        @Override
        public void beforeStart(ClientCallStreamObserver<ModelInferRequest> started) {
            call = started;
        }

        void cancel() {
            call.cancel("the client cancels", null);
        }

        @Override
        public void onNext(T response) { }

        @Override
        public void onError(Throwable cause) {
            permits.release();
        }

        @Override
        public void onCompleted() {
            permits.release();
        }
    }

    @Override
    public void close() {
        pool.close();
        if (channel != null) {
            channel.shutdownNow();
        }
    }
}
