package gradereach.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.plan.Deployment;
import gradereach.remotewrite.Pusher;
import gradereach.remotewrite.SendQueue.DropReason;
import gradereach.standins.SmallFleet;
import gradereach.standins.prometheus.RemoteWriteServer;
import gradereach.webhook.WebhookKey;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Metrics of inferences received by webhook, pushed to a remote-write receiver. */
@Timeout(60)
class MetricsPushTest {
    private final String secret = WebhookKey.newSecret(new SecureRandom());
    private final HttpClient client = HttpClient.newHttpClient();
    @TempDir
    private Path folder;

    private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(2);
        }
    }

    private int infer(String url, String id, String model, int budgetMillis) throws Exception {
        byte[] body = ("{\"type\":\"inference.requested\",\"timestamp\":\"t\",\"data\":{\"model\":\"" + model
                + "\",\"budget_ms\":" + budgetMillis + ",\"input\":{\"inputs\":[],\"parameters\":{\"work_ms\":1}}}}")
                .getBytes(StandardCharsets.UTF_8);
        long now = System.currentTimeMillis() / 1000;
        return client.send(HttpRequest.newBuilder(URI.create(url)).version(HttpClient.Version.HTTP_1_1)
                .header("content-type", "application/json").header("webhook-id", id)
                .header("webhook-timestamp", Long.toString(now))
                .header("webhook-signature", "v1," + WebhookKey.parse(secret).sign(id, now, body))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /** The series at the receiver match the inferences served, even if it drops half of the requests or takes only version 1. */
    @ParameterizedTest
    @ValueSource(strings = {"none", "drop-half", "only-one"})
    void pushedSeriesMatchTheServedInferences(String fault) throws Exception {
        try (RemoteWriteServer receiver = new RemoteWriteServer(); SmallFleet fleet = new SmallFleet(folder, 2)) {
            receiver.fault = fault;
            ObjectNode deployment = fleet.createDeployment("fe-7", secret);
            deployment.putObject("metrics").putObject("remote_write").put("url", receiver.url()).put("interval_ms", 100)
                    .put("first_pause_ms", 5).put("longest_pause_ms", 50).putObject("labels").put("hall", "halle-a");
            Gateway gateway = new Gateway(Deployment.of(deployment, folder), FaultInjection.NONE);
            String url = "http://127.0.0.1:" + gateway.listen().getPort() + "/v1/inferences";
            waitUntil(gateway::hasRoster);
            for (int i = 0; i < 20; i++) {
                assertEquals(200, infer(url, "m" + i, i % 2 == 0 ? "look-1" : "book-1", 8000));
            }
            String[] labels = {"group", "look", "instance", "fe-7", "job", "gradereach", "hall", "halle-a"};
            waitUntil(() -> receiver.store.lastValue("gradereach_group_inferences_total", labels) == 10);
            // Each series may arrive with a different request.
            waitUntil(() -> receiver.store.lastValue("gradereach_model_inferences_total", "model", "book-1") == 10);
            waitUntil(() -> receiver.store.lastValue("gradereach_customer_value_asked_total", "customer", "yard") == 20);
            waitUntil(() -> receiver.store.lastValue("gradereach_load_orders_sent_total") >= 2);
            waitUntil(() -> receiver.store.lastValue("gradereach_limit_bound", "limit", "inferences_held") > 0);
            assertTrue(receiver.store.lastValue("gradereach_group_value_in_slo_total", labels) <= 10);
            receiver.fault = fault.equals("only-one") ? fault : "none";
            gateway.close();
            Pusher.PushStatistics statistics = gateway.pushStatistics();
            assertEquals(statistics.added(), statistics.accepted() + statistics.dropped(DropReason.STOPPED));
            assertEquals(0, statistics.pending());
        }
    }
}
