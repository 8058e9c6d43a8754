package gradereach.rehearsal;

import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import java.nio.charset.StandardCharsets;
import java.time.Instant;

/** Requests of scripted clients, as a webhook's body and as a gRPC message. */
final class InferenceMessages {
    private InferenceMessages() { }

    /**
     * @param budget milliseconds that the client waits
     * @param work milliseconds that the executor is to take
     */
    static byte[] webhook(String model, double budget, double work) {
        return ("{\"type\":\"inference.requested\",\"timestamp\":\"" + Instant.now() + "\",\"data\":{\"model\":\""
                + model + "\",\"budget_ms\":" + Math.round(budget) + ",\"input\":{\"inputs\":[],\"parameters\":{\"work_ms\":"
                + work + "}}}}").getBytes(StandardCharsets.UTF_8);
    }

    /**
     * @param budget milliseconds that the client waits
     * @param work milliseconds that the executor is to take
     */
    static ModelInferRequest grpc(String model, double budget, double work) {
        return ModelInferRequest.newBuilder().setModelName(model).putParameters("work_ms", doubleParameter(work))
                .putParameters("gradereach-budget-ms", doubleParameter(budget)).build();
    }

    private static InferParameter doubleParameter(double value) {
        return InferParameter.newBuilder().setDoubleParam(value).build();
    }
}
