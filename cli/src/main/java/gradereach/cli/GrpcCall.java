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

/** Sends one signed inference, or several in one stream, by gRPC and prints the answers as protobuf text. */
final class GrpcCall {
    private static final String UNARY = GRPCInferenceServiceGrpc.getModelInferMethod().getFullMethodName();
    private static final String STREAMING = GRPCInferenceServiceGrpc.getModelStreamInferMethod().getFullMethodName();

    private final WebhookKey key;
    private final ModelInferRequest request;
    private final String id;
    private final long budgetMillis;
    private final PrintStream out;

    GrpcCall(WebhookKey key, String model, JsonNode input, String id, long budgetMillis, PrintStream out) throws IOException {
        this.key = key;
        request = InferenceJsonConverter.requestFromJson(input, model);
        this.id = id;
        this.budgetMillis = budgetMillis > 0 ? budgetMillis : 60_000;
        this.out = out;
    }

    private String signature(String messageId, long timestamp, String method, ModelInferRequest unsigned) {
        return KeyRing.signatureHeader(List.of(key), messageId, timestamp,
                CallSignature.signedContent(method, CallSignature.digest(unsigned)));
    }

    /**
     * Sends the inferences and returns the exit code.
     *
     * @param streamed number of inferences to send in one stream, with the ids ID-0, ID-1 and so on; 0 for a unary call
     */
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
        long timestamp = System.currentTimeMillis() / 1000;
        Metadata headers = new Metadata();
        put(headers, CallSignature.ID, id);
        put(headers, CallSignature.TIMESTAMP, Long.toString(timestamp));
        put(headers, CallSignature.SIGNATURE, signature(id, timestamp, UNARY, request));
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

    private static void put(Metadata headers, String name, String value) {
        headers.put(Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER), value);
    }

    private int stream(ManagedChannel channel, int count) throws InterruptedException {
        CompletableFuture<Integer> exitCode = new CompletableFuture<>();
        StreamObserver<ModelInferRequest> requests = GRPCInferenceServiceGrpc.newStub(channel)
                .withDeadlineAfter(budgetMillis, TimeUnit.MILLISECONDS).modelStreamInfer(new StreamObserver<>() {
                    private int code;

                    @Override
                    public void onNext(ModelStreamInferResponse answer) {
                        code = answer.getErrorMessage().isEmpty() ? code : 1;
                        out.println(TextFormat.printer().emittingSingleLine(true).printToString(answer));
                    }

                    @Override
                    public void onError(Throwable failure) {
                        out.println(Status.fromThrowable(failure));
                        exitCode.complete(1);
                    }

                    @Override
                    public void onCompleted() {
                        exitCode.complete(code);
                    }
                });
        for (int i = 0; i < count; i++) {
            long timestamp = System.currentTimeMillis() / 1000;
            ModelInferRequest unsigned = request.toBuilder().setId(id + "-" + i).build();
            requests.onNext(unsigned.toBuilder().putParameters(CallSignature.TIMESTAMP, stringParameter(Long.toString(timestamp)))
                    .putParameters(CallSignature.SIGNATURE,
                            stringParameter(signature(unsigned.getId(), timestamp, STREAMING, unsigned))).build());
        }
        requests.onCompleted();
        return exitCode.join();
    }

    private static InferParameter stringParameter(String value) {
        return InferParameter.newBuilder().setStringParam(value).build();
    }
}
