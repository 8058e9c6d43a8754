package gradereach.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.plan.Deployment;
import gradereach.standins.SmallFleet;
import gradereach.standins.Transcript;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A front end whose roster is unavailable while one of its executors drains: it uses only the other one. */
@Timeout(60)
class GatewayRosterOutageTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MODELS = 6;
    /** How long the roster stays valid after it could not be read. */
    private static final double ROSTER_VALIDITY_MILLIS = 4000;
    /** How long an executor may still be used after its drain was announced. */
    private static final double DRAIN_GRACE_MILLIS = 500;
    /** How long the front end tries to read the roster before the attempt fails. */
    private static final double FAILED_ATTEMPT_MILLIS = 600;
    private static final double OUTAGE_MILLIS = 8000;
    /** Time for the last forward to arrive and for the recording of both events, which use the clock of the same machine. */
    private static final double SLACK_MILLIS = 50;

    private final String secret = WebhookKey.newSecret(new SecureRandom());
    private final WebhookKey key = WebhookKey.parse(secret);
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    @TempDir
    private Path folder;
    private SmallFleet fleet;
    private Gateway gateway;
    private InetSocketAddress address;
    private int requestCount;

    @BeforeEach
    void start() throws Exception {
        fleet = new SmallFleet(folder, 2);
        gateway = new Gateway(Deployment.of(fleet.createDeployment("fe", secret), folder), FaultInjection.NONE);
        address = gateway.listen();
        while (!gateway.hasRoster()) {
            Thread.onSpinWait();
        }
    }

    @AfterEach
    void end() throws IOException {
        gateway.close();
        fleet.close();
    }

    private int infer() throws IOException, InterruptedException {
        String id = "o" + requestCount++;
        byte[] body = ("{\"type\":\"inference.requested\",\"timestamp\":\"t\",\"data\":{\"model\":\"look-" + requestCount % MODELS
                + "\",\"input\":{\"inputs\":[],\"parameters\":{\"work_ms\":1}}}}").getBytes(StandardCharsets.UTF_8);
        long now = System.currentTimeMillis() / 1000;
        return client.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + address.getPort() + "/v1/inferences"))
                .header("content-type", "application/json").header("webhook-id", id)
                .header("webhook-timestamp", Long.toString(now))
                .header("webhook-signature", KeyRing.signatureHeader(List.of(key), id, now, body))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private List<JsonNode> transcript() throws IOException {
        List<JsonNode> events = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve("t.jsonl"))) {
            events.add(JSON.readTree(line));
        }
        return events;
    }

    /** Guards against using a draining executor while the roster is unavailable (rule 3), and against serving nothing at all. */
    @Test
    void aDrainingExecutorGetsNothingDuringARosterOutage() throws Exception {
        for (int i = 0; i < 2 * MODELS; i++) {
            assertEquals(200, infer());
        }
        fleet.injectFault(JSON.readTree("{\"kind\":\"roster_away\",\"for_ms\":60000}"));
        fleet.injectFault(JSON.readTree("{\"kind\":\"drain_unheard\",\"ex\":0,\"for_ms\":60000}"));
        double outageStart = Transcript.now();
        double drainDeadline = outageStart + FAILED_ATTEMPT_MILLIS + ROSTER_VALIDITY_MILLIS + DRAIN_GRACE_MILLIS + SLACK_MILLIS;
        int lateRequests = 0;
        int servedLateRequests = 0;
        while (Transcript.now() < outageStart + OUTAGE_MILLIS) {
            boolean isLate = Transcript.now() > drainDeadline;
            int status = infer();
            lateRequests += isLate ? 1 : 0;
            servedLateRequests += isLate && status == 200 ? 1 : 0;
        }
        String draining = fleet.addresses().get(0);
        gateway.close();
        fleet.close();
        List<String> violations = transcript().stream().filter(event -> event.path("t").asDouble() > drainDeadline)
                .filter(event -> event.path("ex").asText().equals(draining))
                .filter(event -> event.path("ev").asText().equals("arrived")
                        || event.path("ev").asText().equals("order") && event.path("copies").asInt() > 0)
                .map(JsonNode::toString).toList();
        assertEquals(List.of(), violations);
        assertTrue(lateRequests > 0 && servedLateRequests >= 0.9 * lateRequests, servedLateRequests + " of " + lateRequests + " served");
    }
}
