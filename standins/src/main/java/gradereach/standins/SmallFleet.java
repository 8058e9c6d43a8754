package gradereach.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A few stand-ins in this very process, and the deployment file that fits them: for tests on loopback. */
public final class SmallFleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Path transcriptFile;
    private final StandInFleet fleet;

    /** Models {@code look-*} are retriable, {@code book-*} non-retriable, {@code tell-*} and {@code sign-*} the same in parts; each loads in 20 ms and works for 5. */
    public SmallFleet(Path folder, int executors) throws IOException, InterruptedException {
        transcriptFile = folder.resolve("t.jsonl");
        fleet = new StandInFleet(modelConfig().put("executors", executors).put("work_ms", 5), transcriptFile);
    }

    private static ObjectNode modelConfig() throws JsonProcessingException {
        return (ObjectNode) JSON.readTree("""
                {"model_groups": [
                  {"name": "look", "repeat": "retriable", "slo_ms": 400, "route_timeout_ms": 8000},
                  {"name": "book", "repeat": "non-retriable", "slo_ms": 400, "route_timeout_ms": 8000},
                  {"name": "tell", "repeat": "retriable", "slo_ms": 400, "route_timeout_ms": 8000, "streamed": true},
                  {"name": "sign", "repeat": "non-retriable", "slo_ms": 400, "route_timeout_ms": 8000, "streamed": true}],
                 "models": [{"name": "tell-*", "group": "tell", "lanes": 600, "load_ms": 20},
                  {"name": "sign-*", "group": "sign", "lanes": 600, "load_ms": 20},
                  {"name": "look-*", "group": "look", "lanes": 16, "load_ms": 20},
                  {"name": "book-*", "group": "book", "lanes": 16, "load_ms": 20}]}""");
    }

    /** For a front end of that name, with one customer, {@code yard}, whose key is {@code secret}. */
    public ObjectNode createDeployment(String name, String secret) throws JsonProcessingException {
        ObjectNode plan = modelConfig().put("name", name).put("listen", "127.0.0.1:0");
        plan.putObject("roster").put("server", "http://127.0.0.1:" + fleet.rosterPort());
        plan.putArray("customers").addObject().put("name", "yard")
                .put("answers_to", "http://127.0.0.1:" + fleet.controlPort() + "/answers")
                .putArray("keys").addObject().put("inline", secret);
        return plan;
    }

    /** One fault, as the control port takes it. */
    public void injectFault(JsonNode fault) throws InterruptedException {
        fleet.injectFault(fault);
    }

    /** Of the executors, in their order. */
    public List<String> addresses() {
        return fleet.addresses();
    }

    public int controlPort() {
        return fleet.controlPort();
    }

    /** Ends the stand-ins and tells how often each inference ran, by {@code customer/id}. */
    public Map<String, Integer> closeAndCountRuns() throws IOException {
        fleet.close();
        Map<String, Integer> runs = new HashMap<>();
        for (String line : Files.readAllLines(transcriptFile)) {
            JsonNode event = JSON.readTree(line);
            if (event.path("ev").asText().equals("ran")) {
                runs.merge(event.path("mark").asText(), 1, Integer::sum);
            }
        }
        return runs;
    }

    @Override
    public void close() throws IOException {
        fleet.close();
    }
}
