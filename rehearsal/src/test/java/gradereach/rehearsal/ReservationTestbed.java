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

/** Front ends as processes, one or some that keep each other's claims, before stand-ins that count what runs. */
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
        ObjectNode told = (ObjectNode) JSON.readTree(MODELS);
        told.put("executors", 2).put("work_ms", 5);
        fleet = new StandInFleet(told, folder.resolve(TRANSCRIPT_FILE));
    }

    /**
     * A front end's deployment.
     *
     * @param at gets its ledger
     * @param me its number
     * @param ports of the fronts, then of the peers; none for a front end without peers
     */
    ObjectNode createDeployment(Path at, int me, List<Integer> ports) throws IOException {
        ObjectNode plan = ((ObjectNode) JSON.readTree(MODELS)).put("name", "fe-" + me)
                .put("listen", "127.0.0.1:" + (ports.isEmpty() ? 0 : ports.get(me)));
        plan.putObject("roster").put("server", "http://127.0.0.1:" + fleet.rosterPort());
        plan.putArray("customers").addObject().put("name", "yard")
                .put("answers_to", "http://127.0.0.1:" + fleet.controlPort() + "/answers")
                .putArray("keys").addObject().put("inline", key.secretText());
        plan.putObject("ledger").put("folder", ledgerFolder(at, me).toString());
        plan.putObject("executors").put("outcomes_kept_ms", 60_000);
        if (!ports.isEmpty()) {
            int count = ports.size() / 2;
            ObjectNode peers = plan.putObject("peers").put("listen", "127.0.0.1:" + ports.get(count + me));
            peers.putObject("key").put("inline", key.secretText());
            ArrayNode members = peers.putArray("members");
            for (int i = 0; i < count; i++) {
                members.addObject().put("name", "fe-" + i).put("peers", "127.0.0.1:" + ports.get(count + i))
                        .put("front", "127.0.0.1:" + ports.get(i));
            }
        }
        return plan;
    }

    static Path ledgerFolder(Path at, int frontEnd) {
        return at.resolve("fe-" + frontEnd + ".ledger");
    }

    /** @param clockAhead milliseconds by which its wall clock is ahead */
    FrontEndTestProcess startFrontEnd(Path at, ObjectNode plan, String fault, long clockAhead) throws IOException, InterruptedException {
        return new FrontEndTestProcess(at, plan, fault, key, processes, clockAhead);
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

    /** Events of the stand-ins by what they are about. */
    Map<String, List<JsonNode>> transcriptEvents(String event, String about) throws IOException {
        Map<String, List<JsonNode>> found = new HashMap<>();
        for (String line : Files.readAllLines(folder.resolve(TRANSCRIPT_FILE))) {
            JsonNode node = JSON.readTree(line);
            if (node.path("ev").asText().equals(event)) {
                found.computeIfAbsent(node.path(about).asText(), k -> new ArrayList<>()).add(node);
            }
        }
        return found;
    }

    @Override
    public void close() throws IOException {
        processes.forEach(Process::destroyForcibly);
        fleet.close();
    }
}
