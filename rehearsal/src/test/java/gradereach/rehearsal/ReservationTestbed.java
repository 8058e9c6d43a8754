package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.standins.StandInFleet;
import gradereach.webhook.WebhookKey;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Front ends as processes, with or without peers that replicate claims, and stand-in executors that record executions. */
final class ReservationTestbed implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String MODELS = """
            {"model_groups": [
              {"name": "look", "repeat": "retriable", "slo_ms": 1000, "route_timeout_ms": 10000},
              {"name": "book", "repeat": "non-retriable", "slo_ms": 1000, "route_timeout_ms": 10000}],
             "models": [{"name": "look-*", "group": "look", "lanes": 8, "load_ms": 10},
              {"name": "book-*", "group": "book", "lanes": 8, "load_ms": 10}]}""";
    private static final String TRANSCRIPT_FILE = "t.jsonl";

    final StandInFleet fleet;
    private final Path folder;
    private final WebhookKey key = WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()));
    private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());

    /** @param folder gets the transcript */
    ReservationTestbed(Path folder) throws IOException, InterruptedException {
        this.folder = folder;
        ObjectNode fleetConfig = (ObjectNode) JSON.readTree(MODELS);
        fleetConfig.put("executors", 2).put("work_ms", 5);
        fleet = new StandInFleet(fleetConfig, folder.resolve(TRANSCRIPT_FILE));
    }

    /**
     * Creates the deployment of a front end.
     *
     * @param directory gets its ledger
     * @param index the number of the front end
     * @param ports the client ports of all front ends, then their peer ports; empty for a front end without peers
     */
    ObjectNode createDeployment(Path directory, int index, List<Integer> ports) throws IOException {
        ObjectNode deployment = ((ObjectNode) JSON.readTree(MODELS)).put("name", "fe-" + index)
                .put("listen", "127.0.0.1:" + (ports.isEmpty() ? 0 : ports.get(index)));
        deployment.putObject("roster").put("server", "http://127.0.0.1:" + fleet.rosterPort());
        deployment.putArray("customers").addObject().put("name", "yard")
                .put("answers_to", "http://127.0.0.1:" + fleet.controlPort() + "/answers")
                .putArray("keys").addObject().put("inline", key.secretText());
        deployment.putObject("ledger").put("folder", ledgerFolder(directory, index).toString());
        deployment.putObject("executors").put("outcomes_kept_ms", 60_000);
        if (!ports.isEmpty()) {
            int count = ports.size() / 2;
            ObjectNode peers = deployment.putObject("peers").put("listen", "127.0.0.1:" + ports.get(count + index));
            peers.putObject("key").put("inline", key.secretText());
            ArrayNode members = peers.putArray("members");
            for (int i = 0; i < count; i++) {
                members.addObject().put("name", "fe-" + i).put("peers", "127.0.0.1:" + ports.get(count + i))
                        .put("front", "127.0.0.1:" + ports.get(i));
            }
        }
        return deployment;
    }

    static Path ledgerFolder(Path directory, int frontEnd) {
        return directory.resolve("fe-" + frontEnd + ".ledger");
    }

    /**
     * Starts a front end and returns once it listens.
     *
     * @param fault an argument of {@link FaultyFrontEnd}
     * @param clockAheadMillis how far its wall clock is ahead
     */
    FrontEndTestProcess startFrontEnd(Path directory, ObjectNode deployment, String fault, long clockAheadMillis)
            throws IOException, InterruptedException {
        return new FrontEndTestProcess(directory, deployment, fault, key, processes, clockAheadMillis);
    }

    static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            ports.add(sockets.get(i).getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** The events of one kind in the transcript of the stand-ins, grouped by the value of {@code keyField}. */
    Map<String, List<JsonNode>> transcriptEvents(String event, String keyField) throws IOException {
        Map<String, List<JsonNode>> events = new HashMap<>();
        for (String line : Files.readAllLines(folder.resolve(TRANSCRIPT_FILE))) {
            JsonNode node = JSON.readTree(line);
            if (node.path("ev").asText().equals(event)) {
                events.computeIfAbsent(node.path(keyField).asText(), value -> new ArrayList<>()).add(node);
            }
        }
        return events;
    }

    @Override
    public void close() throws IOException {
        processes.forEach(Process::destroyForcibly);
        fleet.close();
    }
}
