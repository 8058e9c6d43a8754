package gradereach.rehearsal;

import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Creates the requests of scripted clients. */
final class InferenceMessages {
    private InferenceMessages() { }

    /**
     * Creates the body of a webhook that requests an inference.
     *
     * @param budgetMillis how long the client waits
     * @param workMillis how long the executor works on it
     */
    static byte[] webhookBody(String model, double budgetMillis, double workMillis) {
        return ("{\"type\":\"inference.requested\",\"timestamp\":\"" + Instant.now() + "\",\"data\":{\"model\":\""
                + model + "\",\"budget_ms\":" + Math.round(budgetMillis) + ",\"input\":{\"inputs\":[],\"parameters\":{\"work_ms\":"
                + workMillis + "}}}}").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Creates the gRPC message that requests an inference.
     *
     * @param budgetMillis how long the client waits
     * @param workMillis how long the executor works on it
     */
    static ModelInferRequest grpcRequest(String model, double budgetMillis, double workMillis) {
        return ModelInferRequest.newBuilder().setModelName(model).putParameters("work_ms", doubleParameter(workMillis))
                .putParameters("gradereach-budget-ms", doubleParameter(budgetMillis)).build();
    }

    private static InferParameter doubleParameter(double value) {
        return InferParameter.newBuilder().setDoubleParam(value).build();
    }
}
