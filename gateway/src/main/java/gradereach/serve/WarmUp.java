package gradereach.serve;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.plan.Deployment;
import gradereach.plan.InvalidDeploymentException;
import gradereach.webhook.WebhookKey;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs some inferences through a temporary front end before the real one listens, so that all classes are loaded. Without it,
 * class loading would take about half a second of the budget of each of the first inferences.
 */
final class WarmUp {
    private static final Logger LOG = LoggerFactory.getLogger(WarmUp.class);
    /** An executor that failed is avoided for a while, so several are needed for the following inferences. */
    private static final int EXECUTOR_COUNT = 8;
    /** Model groups, named after their retry safety, which decides whether an unanswered inference is shed or fails. */
    private static final List<String> GROUPS = List.of("retriable", "deduped", "non-retriable");

    private WarmUp() { }

    /** Runs the warm-up, over gRPC as well if {@code usesGrpc}. A failure is logged and has no other effect. */
    static void run(boolean usesGrpc) {
        long startedAt = System.nanoTime();
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Path rosterFile = null;
        try {
            rosterFile = Files.createTempFile("warm-up", ".json");
            Files.writeString(rosterFile, startExecutors(eventLoops));
            String key = WebhookKey.newSecret(new SecureRandom());
            Gateway gateway = new Gateway(Deployment.of(deployment(rosterFile, key, usesGrpc), rosterFile.getParent()),
                    FaultInjection.NONE);
            try {
                InetSocketAddress address = gateway.listen();
                try (WarmUpClients clients = new WarmUpClients(eventLoops, address, gateway.grpcAddress(), WebhookKey.parse(key))) {
                    clients.runSuccessful(GROUPS.get(0));
                    clients.runFailing(GROUPS);
                }
            } finally {
                gateway.close();
            }
        } catch (IOException | InvalidDeploymentException e) {
            LOG.atWarn().setCause(e).log("warm-up failed");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
            try {
                if (rosterFile != null) {
                    Files.deleteIfExists(rosterFile);
                }
            } catch (IOException e) {
                LOG.debug("temporary roster of the warm-up not deleted: {}", rosterFile);
            }
            LOG.atInfo().addKeyValue("took_ms", (System.nanoTime() - startedAt) / 1_000_000).log("warm-up ended");
        }
    }

    private static ObjectNode deployment(Path rosterFile, String key, boolean usesGrpc) {
        ObjectNode deployment = new ObjectMapper().createObjectNode();
        deployment.put("name", "warm-up").put("listen", "127.0.0.1:0").putObject("roster").put("file", rosterFile.toString());
        deployment.putArray("customers").addObject().put("name", "nobody").putArray("keys").addObject().put("inline", key);
        ArrayNode groups = deployment.putArray("model_groups");
        ArrayNode models = deployment.putArray("models");
        for (String group : GROUPS) {
            ObjectNode settings = groups.addObject().put("name", group).put("repeat", group).put("slo_ms", 1000)
                    .put("route_timeout_ms", 2000);
            if (group.equals("deduped")) {
                settings.put("dedup_scope", "all").put("dedup_window_ms", 5000);
            }
            models.addObject().put("name", group + "-*").put("group", group).put("lanes", 8);
        }
        if (usesGrpc) {
            deployment.putObject("grpc").put("listen", "127.0.0.1:0");
        }
        return deployment;
    }

    /** Starts the executors and returns a roster of them as JSON. */
    private static String startExecutors(EventLoopGroup eventLoops) throws InterruptedException {
        List<String> slices = new ArrayList<>();
        for (int i = 0; i < EXECUTOR_COUNT; i++) {
            slices.add("{\"metadata\":{\"name\":\"slice-" + i + "\"},\"ports\":[{\"port\":" + EchoExecutor.listen(eventLoops)
                    + "}],\"endpoints\":[{\"addresses\":[\"127.0.0.1\"],\"conditions\":{\"ready\":true}}]}");
        }
        return slices.stream().collect(Collectors.joining(",", "{\"items\":[", "]}"));
    }
}
