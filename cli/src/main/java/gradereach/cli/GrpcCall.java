package gradereach.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.TextFormat;
import gradereach.oip.InferenceJsonConverter;
import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelStreamInferResponse;
import gradereach.webhook.CallSignature;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** One signed inference, or several in one stream, by gRPC; answers are printed as protobuf text. */
final class GrpcCall {
    private static final String UNARY = GRPCInferenceServiceGrpc.getModelInferMethod().getFullMethodName();
    private static final String STREAMING = GRPCInferenceServiceGrpc.getModelStreamInferMethod().getFullMethodName();

    private final WebhookKey key;
    private final ModelInferRequest request;
    private final String id;
    private final long budgetMillis;
    private final PrintStream out;

    GrpcCall(WebhookKey key, String model, JsonNode input, String id, long budget, PrintStream out) throws IOException {
        this.key = key;
        request = InferenceJsonConverter.requestFromJson(input, model);
        this.id = id;
        this.budgetMillis = budget > 0 ? budget : 60_000;
        this.out = out;
    }

    private String signature(String of, long at, String method, ModelInferRequest bare) {
        return KeyRing.signatureHeader(List.of(key), of, at, CallSignature.signedContent(method, CallSignature.digest(bare)));
    }

    /** The exit code. With {@code streamed} above 0 so many inferences go in one stream, as ID-0, ID-1 ... */
    int run(URI url, int streamed) throws InterruptedException {
        ManagedChannel channel = NettyChannelBuilder.forAddress(url.getHost(), url.getPort()).usePlaintext().disableRetry()
                .build();
        try {
            return streamed > 0 ? stream(channel, streamed) : unary(channel);
        } finally {
            channel.shutdownNow().awaitTermination(1, TimeUnit.SECONDS);
        }
    }

    private int unary(ManagedChannel channel) {
        long at = System.currentTimeMillis() / 1000;
        Metadata headers = new Metadata();
        put(headers, CallSignature.ID, id);
        put(headers, CallSignature.TIMESTAMP, Long.toString(at));
        put(headers, CallSignature.SIGNATURE, signature(id, at, UNARY, request));
        try {
            out.print(TextFormat.printer().printToString(GRPCInferenceServiceGrpc.newBlockingStub(channel)
                    .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers))
                    .withDeadlineAfter(budgetMillis, TimeUnit.MILLISECONDS).modelInfer(request)));
            return 0;
        } catch (StatusRuntimeException e) {
            out.println(e.getStatus().getCode() + ": " + e.getStatus().getDescription());
            if (e.getTrailers() != null) {
                for (String name : e.getTrailers().keys()) {
                    if (name.startsWith("gradereach-") || name.startsWith("grpc-retry")) {
                        out.println(name + ": " + e.getTrailers().get(Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER)));
                    }
                }
            }
            return 1;
        }
    }

    private static void put(Metadata to, String name, String value) {
        to.put(Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER), value);
    }

    private int stream(ManagedChannel channel, int count) throws InterruptedException {
        CompletableFuture<Integer> end = new CompletableFuture<>();
        StreamObserver<ModelInferRequest> to = GRPCInferenceServiceGrpc.newStub(channel)
                .withDeadlineAfter(budgetMillis, TimeUnit.MILLISECONDS).modelStreamInfer(new StreamObserver<>() {
                    private int code;

                    @Override
                    public void onNext(ModelStreamInferResponse answer) {
                        code = answer.getErrorMessage().isEmpty() ? code : 1;
                        out.println(TextFormat.printer().emittingSingleLine(true).printToString(answer));
                    }

                    @Override
                    public void onError(Throwable why) {
                        out.println(Status.fromThrowable(why));
                        end.complete(1);
                    }

                    @Override
                    public void onCompleted() {
                        end.complete(code);
                    }
                });
        for (int i = 0; i < count; i++) {
            long at = System.currentTimeMillis() / 1000;
            ModelInferRequest bare = request.toBuilder().setId(id + "-" + i).build();
            to.onNext(bare.toBuilder().putParameters(CallSignature.TIMESTAMP, stringParameter(Long.toString(at)))
                    .putParameters(CallSignature.SIGNATURE, stringParameter(signature(bare.getId(), at, STREAMING, bare))).build());
        }
        to.onCompleted();
        return end.join();
    }

    private static InferParameter stringParameter(String value) {
        return InferParameter.newBuilder().setStringParam(value).build();
    }
}
