package gradereach.measure;

import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import gradereach.protocol.inference.InferTensorContents;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.webhook.CallSignature;
import gradereach.webhook.WebhookKey;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Sends signed unary gRPC calls, each with a tensor of 64 numbers, over several connections in turn. */
final class GrpcLoadGenerator implements AutoCloseable {
    private static final String METHOD_NAME = GRPCInferenceServiceGrpc.getModelInferMethod().getFullMethodName();
    private static final Metadata.Key<String> ID = asciiKey(CallSignature.ID);
    private static final Metadata.Key<String> TIMESTAMP = asciiKey(CallSignature.TIMESTAMP);
    private static final Metadata.Key<String> SIGNATURE = asciiKey(CallSignature.SIGNATURE);
    private static final int TENSOR_SIZE = 64;
    private final List<ManagedChannel> channels = new ArrayList<>();
    private final WebhookKey key;
    /** Requests by model. */
    private final Map<String, ModelInferRequest> requests = new HashMap<>();
    /** The content that the signature of a request covers, by model. */
    private final Map<String, byte[]> signedContents = new HashMap<>();
    private int nextChannel;

    GrpcLoadGenerator(InetSocketAddress address, WebhookKey key, int connections) {
        this.key = key;
        for (int i = 0; i < connections; i++) {
            channels.add(NettyChannelBuilder.forAddress(address).usePlaintext().disableRetry().directExecutor().build());
        }
    }

    private static Metadata.Key<String> asciiKey(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    private static ModelInferRequest createRequest(String model) {
        InferTensorContents.Builder numbers = InferTensorContents.newBuilder();
        for (int i = 0; i < TENSOR_SIZE; i++) {
            numbers.addFp32Contents(0.125f);
        }
        return ModelInferRequest.newBuilder().setModelName(model).addInputs(ModelInferRequest.InferInputTensor.newBuilder()
                .setName("x").setDatatype("FP32").addShape(TENSOR_SIZE).setContents(numbers)).build();
    }

    /**
     * Sends one call. Not thread-safe.
     *
     * @param onEnd gets, on an I/O thread, whether the call returned an answer
     */
    void send(String id, String model, Consumer<Boolean> onEnd) {
        ModelInferRequest request = requests.computeIfAbsent(model, GrpcLoadGenerator::createRequest);
        byte[] content = signedContents.computeIfAbsent(model,
                name -> CallSignature.signedContent(METHOD_NAME, CallSignature.digest(request)));
        long timestamp = System.currentTimeMillis() / 1000;
        Metadata headers = new Metadata();
        headers.put(ID, id);
        headers.put(TIMESTAMP, Long.toString(timestamp));
        headers.put(SIGNATURE, "v1," + key.sign(id, timestamp, content));
        ClientCall<ModelInferRequest, ModelInferResponse> call = channels.get(nextChannel++ % channels.size())
                .newCall(GRPCInferenceServiceGrpc.getModelInferMethod(), CallOptions.DEFAULT);
        call.start(new ClientCall.Listener<>() {
            @Override
            public void onClose(Status status, Metadata trailers) {
                onEnd.accept(status.isOk());
            }
        }, headers);
        call.request(2); // as generated stubs do for a unary call
        call.sendMessage(request);
        call.halfClose();
    }

    @Override
    public void close() {
        channels.forEach(ManagedChannel::shutdownNow);
    }
}
