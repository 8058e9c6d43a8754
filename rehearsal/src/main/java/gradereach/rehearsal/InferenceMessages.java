package gradereach.rehearsal;

import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Builds the requests of scripted clients, as a webhook body and as a gRPC message. */
final class InferenceMessages {
    private InferenceMessages() { }

    /**
     * @param budgetMillis milliseconds that the client waits
     * @param workMillis milliseconds that the executor takes
     */
    static byte[] webhookBody(String model, double budgetMillis, double workMillis) {
        return ("{\"type\":\"inference.requested\",\"timestamp\":\"" + Instant.now() + "\",\"data\":{\"model\":\""
                + model + "\",\"budget_ms\":" + Math.round(budgetMillis) + ",\"input\":{\"inputs\":[],\"parameters\":{\"work_ms\":"
                + workMillis + "}}}}").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * @param budgetMillis milliseconds that the client waits
     * @param workMillis milliseconds that the executor takes
     */
    static ModelInferRequest grpcRequest(String model, double budgetMillis, double workMillis) {
        return ModelInferRequest.newBuilder().setModelName(model).putParameters("work_ms", doubleParameter(workMillis))
                .putParameters("gradereach-budget-ms", doubleParameter(budgetMillis)).build();
    }

    private static InferParameter doubleParameter(double value) {
        return InferParameter.newBuilder().setDoubleParam(value).build();
    }
}
