package gradereach.client;

/**
 * A request, unchanged over all its attempts.
 *
 * @param id the webhook-id; a repeat has the same id
 * @param message a {@code ModelInferRequest} for gRPC, the bytes of the signed body for webhooks
 */
public record Inference(String id, String model, Object message) { }
