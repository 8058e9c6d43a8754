package gradereach.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;

/** Sends inferences as signed webhooks over HTTP/1.1 (Standard Webhooks). */
final class WebhookTransport implements FrontEndTransport {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2)).build();
    private final WebhookKey key;

    WebhookTransport(WebhookKey key) {
        this.key = key;
    }

    @Override
    public Attempt send(String address, Inference inference, double remainingMillis, Consumer<AttemptOutcome> onOutcome) {
        byte[] body = (byte[]) inference.message();
        long timestamp = System.currentTimeMillis() / 1000;
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/inferences"))
                .header("content-type", "application/json").header("webhook-id", inference.id())
                .header("webhook-timestamp", Long.toString(timestamp))
                .header("webhook-signature", KeyRing.signatureHeader(List.of(key), inference.id(), timestamp, body))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
        CompletableFuture<HttpResponse<byte[]>> sent = client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
        sent.whenComplete((answer, failure) -> onOutcome.accept(answer != null ? toOutcome(answer) : toOutcome(failure)));
        return () -> sent.cancel(true);
    }

    private static AttemptOutcome toOutcome(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notSent = cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
        return AttemptOutcome.notReturned(notSent ? AttemptOutcome.Kind.NEVER_SENT : AttemptOutcome.Kind.LOST, String.valueOf(cause));
    }

    private static AttemptOutcome toOutcome(HttpResponse<byte[]> answer) {
        try {
            JsonNode body = JSON.readTree(answer.body());
            if (answer.statusCode() == 200) {
                return AttemptOutcome.returned(body.path("data").path("output"));
            }
            AttemptOutcome.Kind kind = switch (body.path("outcome").asText()) {
                case "shed" -> AttemptOutcome.Kind.SHED;
                case "failed" -> AttemptOutcome.Kind.FAILED;
                default -> AttemptOutcome.Kind.REFUSED;
            };
            return new AttemptOutcome(kind, body.path("retry_after_ms").asDouble(0), body.path("repeat_harmless").asBoolean(),
                    kind == AttemptOutcome.Kind.SHED
                            && answer.headers().firstValue("connection").orElse("").equalsIgnoreCase("close"),
                    null, answer.statusCode() + " " + body.path("detail").asText());
        } catch (IOException e) {
            return AttemptOutcome.notReturned(AttemptOutcome.Kind.LOST, "HTTP " + answer.statusCode() + " with an invalid body");
        }
    }

    @Override
    public void close() { }
}
