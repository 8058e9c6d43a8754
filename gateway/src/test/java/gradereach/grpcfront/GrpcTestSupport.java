package gradereach.grpcfront;

import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.InferTensorContents;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelStreamInferResponse;
import gradereach.webhook.CallSignature;
import gradereach.webhook.WebhookKey;
import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Requests and a recording client for tests of the gRPC server. */
final class GrpcTestSupport {
    private GrpcTestSupport() { }

    private static InferParameter stringParameter(String value) {
        return InferParameter.newBuilder().setStringParam(value).build();
    }

    /** Returns an unsigned request with one tensor; the stand-in executor works on it for {@code workMillis}. */
    static ModelInferRequest request(String model, double workMillis) {
        return ModelInferRequest.newBuilder().setModelName(model)
                .putParameters("work_ms", InferParameter.newBuilder().setDoubleParam(workMillis).build())
                .addInputs(ModelInferRequest.InferInputTensor.newBuilder().setName("x").setDatatype("FP32").addShape(2)
                        .setContents(InferTensorContents.newBuilder().addFp32Contents(1.5f).addFp32Contents(2)))
                .build();
    }

    /** Returns a request for a streaming call, which carries its signature in its parameters. */
    static ModelInferRequest signedRequest(WebhookKey key, String id, ModelInferRequest request) {
        ModelInferRequest unsignedRequest = request.toBuilder().setId(id).build();
        long now = System.currentTimeMillis() / 1000;
        return unsignedRequest.toBuilder().putParameters("webhook-timestamp", stringParameter(Long.toString(now)))
                .putParameters("webhook-signature", stringParameter("v1," + key.sign(id, now,
                        CallSignature.signedContent(GrpcInferenceService.STREAMING_METHOD,
                                CallSignature.digest(unsignedRequest))))).build();
    }

    /** Client of a streaming call that records the responses and the final status. It reads either all responses or only one. */
    static final class RecordingClient implements ClientResponseObserver<ModelInferRequest, ModelStreamInferResponse> {
        final List<ModelStreamInferResponse> answers = Collections.synchronizedList(new ArrayList<>());
        final CompletableFuture<Status> endStatus = new CompletableFuture<>();
        private final boolean readsAll;
        ClientCallStreamObserver<ModelInferRequest> call;

        RecordingClient(boolean readsAll) {
            this.readsAll = readsAll;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ModelInferRequest> started) {
            call = started;
            if (!readsAll) {
                started.disableAutoRequestWithInitial(1);
            }
        }

        @Override
        public void onNext(ModelStreamInferResponse answer) {
            answers.add(answer);
        }

        @Override
        public void onError(Throwable cause) {
            endStatus.complete(Status.fromThrowable(cause));
        }

        @Override
        public void onCompleted() {
            endStatus.complete(Status.OK);
        }
    }
}
