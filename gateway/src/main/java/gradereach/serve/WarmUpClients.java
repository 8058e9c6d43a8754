package gradereach.serve;

import gradereach.counts.Counts;
import gradereach.http2.Http2Pool;
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
 * Clients of the warm-up: inferences that are returned, and some that end in each other way, by every form in which a
 * client may ask. A form whose first refusal loads its classes answers that one late.
 */
final class WarmUpClients implements AutoCloseable {
    /** Measured: the first answers of a new process take 600 ms, those after some hundred under 2 ms. */
    private static final int SERVED_BY_WEBHOOK = 400;
    private static final int SERVED_BY_GRPC = 200;
    /** For each way to end, form and group; a distrusted executor may keep one from its executor. */
    private static final int UNSERVED_ROUNDS = 3;
    private static final int AT_ONCE = 16;
    private static final long LONGEST_MILLIS = 3000;
    /** Enough for a forward on a new connection, and short: all of them wait that long. */
    private static final int UNSERVED_BUDGET_MILLIS = 150;
    /** After which a client that does not wait to the end leaves. */
    private static final long LEAVES_AFTER_MILLIS = 50;
    private static final List<String> UNSERVED = List.of(EchoExecutor.ERROR, EchoExecutor.SILENT, EchoExecutor.RESET);

    private final EventLoopGroup loops;
    private final InetSocketAddress webhooks;
    private final WebhookKey key;
    private final Http2Pool pool;
    /** Null without a gRPC listener. */
    private final ManagedChannel channel;
    private final Semaphore room = new Semaphore(AT_ONCE);
    private int asked;

    /** @param calls address of the gRPC listener, null without one */
    WarmUpClients(EventLoopGroup loops, InetSocketAddress webhooks, InetSocketAddress calls, WebhookKey key) {
        this.loops = loops;
        this.webhooks = webhooks;
        this.key = key;
        pool = new Http2Pool(webhooks, loops.next(), NioSocketChannel.class,
                new Http2Pool.Bounds(2, 100, 1000, 10_000, 1 << 16, 1 << 20), new Http2Pool.Tally(new Counts(), "warm_up"),
                () -> System.nanoTime() / 1e6);
        channel = calls == null ? null : NettyChannelBuilder.forAddress(calls).usePlaintext().disableRetry().build();
    }

    /** Inferences of one group that are returned; some are forged, so that refusals at the door have been met as well. */
    void served(String group) throws InterruptedException, IOException {
        long until = until();
        for (int i = 0; i < SERVED_BY_WEBHOOK && System.nanoTime() < until; i++) {
            String model = group + "-" + (i % 7 == 0 ? EchoExecutor.TENSOR : "echo") + "-" + i % 5;
            if (i % 20 == 0) {
                postByHttp1(model);
            } else {
                post(model, (int) LONGEST_MILLIS, i % 50 == 49, false);
            }
        }
        awaitEnds(until);
        until = until();
        for (int i = 0; channel != null && i < SERVED_BY_GRPC && System.nanoTime() < until; i++) {
            String model = group + "-" + (i % 7 == 0 ? EchoExecutor.TENSOR : "echo") + "-" + i % 5;
            call(model, LONGEST_MILLIS, i % 2 == 1, i % 50 == 49, false);
        }
        awaitEnds(until);
    }

    /** Inferences that executors fail, reset or never answer, and some whose clients leave. */
    void unserved(List<String> groups) throws InterruptedException {
        long until = until();
        for (int round = 0; round < UNSERVED_ROUNDS && System.nanoTime() < until; round++) {
            for (String end : UNSERVED) {
                for (String group : groups) {
                    String model = group + "-" + end + "-" + round;
                    boolean leaves = round == UNSERVED_ROUNDS - 1 && end.equals(EchoExecutor.SILENT);
                    post(model, UNSERVED_BUDGET_MILLIS, false, leaves);
                    if (channel != null) {
                        call(model, UNSERVED_BUDGET_MILLIS, false, false, leaves);
                        call(model, UNSERVED_BUDGET_MILLIS, true, false, leaves);
                    }
                }
            }
        }
        awaitEnds(until);
    }

    private static long until() {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_MILLIS);
    }

    private void awaitEnds(long until) throws InterruptedException {
        if (room.tryAcquire(AT_ONCE, Math.max(1, until - System.nanoTime()), TimeUnit.NANOSECONDS)) {
            room.release(AT_ONCE);
        }
    }

    private String nextId() {
        return "warm-up-" + asked++;
    }

    private static byte[] body(String model, int budget) {
        return ("{\"type\":\"inference.requested\",\"timestamp\":\"now\",\"data\":{\"model\":\"" + model + "\",\"budget_ms\":"
                + budget + ",\"input\":{\"inputs\":[]}}}").getBytes(StandardCharsets.UTF_8);
    }

    private static long unixSeconds() {
        return System.currentTimeMillis() / 1000;
    }

    private void post(String model, int budget, boolean forged, boolean leaves) throws InterruptedException {
        room.acquire();
        String id = nextId();
        byte[] body = body(model, budget);
        long time = unixSeconds();
        Http2Pool.Request request = pool.send("POST", "/v1/inferences", body,
                (end, status, headers, content) -> room.release(), "content-type", "application/json", "webhook-id", id,
                "webhook-timestamp", Long.toString(time), "webhook-signature",
                "v1," + key.sign(forged ? "forged" : id, time, body));
        if (leaves) {
            loops.schedule(request::giveUp, LEAVES_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void postByHttp1(String model) throws IOException {
        String id = nextId();
        byte[] body = body(model, (int) LONGEST_MILLIS);
        long time = unixSeconds();
        try (Socket socket = new Socket(webhooks.getAddress(), webhooks.getPort());
                OutputStream out = socket.getOutputStream()) {
            socket.setSoTimeout((int) LONGEST_MILLIS);
            out.write(("POST /v1/inferences HTTP/1.1\r\nhost: warm-up\r\ncontent-type: application/json\r\nwebhook-id: " + id
                    + "\r\nwebhook-timestamp: " + time + "\r\nwebhook-signature: v1," + key.sign(id, time, body)
                    + "\r\ncontent-length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(body);
            out.flush();
            socket.getInputStream().read();
        }
    }

    private void call(String model, long budget, boolean streamed, boolean forged, boolean leaves)
            throws InterruptedException {
        room.acquire();
        ModelInferRequest bare = ModelInferRequest.newBuilder().setModelName(model).setId(nextId())
                .putParameters("gradereach-budget-ms", InferParameter.newBuilder().setInt64Param(budget).build()).build();
        long time = unixSeconds();
        String method = (streamed ? GRPCInferenceServiceGrpc.getModelStreamInferMethod()
                : GRPCInferenceServiceGrpc.getModelInferMethod()).getFullMethodName();
        String signature = "v1," + key.sign(forged ? "forged" : bare.getId(), time,
                CallSignature.signed(method, CallSignature.digest(bare)));
        GRPCInferenceServiceGrpc.GRPCInferenceServiceStub stub = GRPCInferenceServiceGrpc.newStub(channel)
                .withDeadlineAfter(LONGEST_MILLIS, TimeUnit.MILLISECONDS);
        Answer<?> answer;
        if (streamed) {
            Answer<ModelStreamInferResponse> parts = new Answer<>();
            StreamObserver<ModelInferRequest> to = stub.modelStreamInfer(parts);
            to.onNext(bare.toBuilder().putParameters(CallSignature.TIMESTAMP, text(Long.toString(time)))
                    .putParameters(CallSignature.SIGNATURE, text(signature)).build());
            to.onCompleted();
            answer = parts;
        } else {
            Metadata headers = new Metadata();
            Map.of(CallSignature.ID, bare.getId(), CallSignature.TIMESTAMP, Long.toString(time), CallSignature.SIGNATURE,
                    signature).forEach((name, value) -> headers.put(
                            Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER), value));
            Answer<ModelInferResponse> whole = new Answer<>();
            stub.withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers)).modelInfer(bare, whole);
            answer = whole;
        }
        if (leaves) {
            loops.schedule(answer::cancel, LEAVES_AFTER_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static InferParameter text(String value) {
        return InferParameter.newBuilder().setStringParam(value).build();
    }

    /** Makes room when its call has ended. */
    private final class Answer<T> implements ClientResponseObserver<ModelInferRequest, T> {
        private ClientCallStreamObserver<ModelInferRequest> call;

        @Override
        public void beforeStart(ClientCallStreamObserver<ModelInferRequest> started) {
            call = started;
        }

        void cancel() {
            call.cancel("its client leaves", null);
        }

        @Override
        public void onNext(T answer) { }

        @Override
        public void onError(Throwable why) {
            room.release();
        }

        @Override
        public void onCompleted() {
            room.release();
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
