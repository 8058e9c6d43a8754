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

/** A few stand-ins in the current process, with a matching deployment file, for tests on loopback. */
public final class SmallFleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final Path transcriptFile;
    private final StandInFleet fleet;

    /**
     * Starts the stand-ins. Models {@code look-*} are retriable and {@code book-*} non-retriable; {@code tell-*} and
     * {@code sign-*} are the same with streamed answers. Each model loads in 20 ms, and an inference takes 5 ms.
     */
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

    /** Creates the deployment file of a front end with one customer, {@code yard}, whose key is {@code secret}. */
    public ObjectNode createDeployment(String name, String secret) throws JsonProcessingException {
        ObjectNode deployment = modelConfig().put("name", name).put("listen", "127.0.0.1:0");
        deployment.putObject("roster").put("server", "http://127.0.0.1:" + fleet.rosterPort());
        deployment.putArray("customers").addObject().put("name", "yard")
                .put("answers_to", "http://127.0.0.1:" + fleet.controlPort() + "/answers")
                .putArray("keys").addObject().put("inline", secret);
        return deployment;
    }

    /** Injects one fault, in the form of the control port. */
    public void injectFault(JsonNode fault) throws InterruptedException {
        fleet.injectFault(fault);
    }

    /** Addresses of the executors, in their order. */
    public List<String> addresses() {
        return fleet.addresses();
    }

    /** Port of {@link StandInFleet#controlPort}. */
    public int controlPort() {
        return fleet.controlPort();
    }

    /** Closes the stand-ins and returns how often each inference ran, by {@code customer/id}. */
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
