package gradereach.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * All stand-ins of a rehearsal in one process: executors, their model store, the roster server, a webhook receiver, and a
 * control port that injects faults ({@code POST /fault}, docs/rehearsal.md). It contains none of the product's logic.
 */
public final class StandInFleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Makes a crashed executor restart after its removal from the roster. */
    private static final long RESTART_MARGIN_MILLIS = 50;
    /** Time between the crash of a drained executor and its restart. */
    private static final long DRAINED_DOWNTIME_MILLIS = 200;
    private static final int RESET_PREFIX_LENGTH = 6; // of the fault kinds reset_*

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, work -> {
        Thread thread = new Thread(work, "fleet");
        thread.setDaemon(true);
        return thread;
    });
    private final Transcript transcript;
    private final SimulatedModelStore modelStore;
    private final RosterServer roster;
    private final HttpServer controlServer;
    private final SimulatedMachine.MachineConfig machineConfig;
    private final Map<String, SimulatedMachine.ModelSpec> modelsByName = new HashMap<>();
    /** Models whose names end with {@code *}; each stands for all models with this prefix. */
    private final List<SimulatedMachine.ModelSpec> modelPatterns = new ArrayList<>();
    /** Models found by a pattern, by their full names. */
    private final Map<String, SimulatedMachine.ModelSpec> resolvedModels = new ConcurrentHashMap<>();
    private final Map<String, byte[]> dedupAnswers = StandInExecutor.newDedupStore();
    private final List<StandInExecutor> executors = new ArrayList<>();
    /** Time from a crash to the removal of the executor from the roster. */
    private final double removalDelayMillis;

    /**
     * Starts the fleet. docs/rehearsal.md describes {@code fleet}; its {@code models} and {@code model_groups} are those of a
     * deployment file.
     */
    public StandInFleet(JsonNode fleet, Path transcriptFile) throws IOException, InterruptedException {
        transcript = new Transcript(transcriptFile);
        JsonNode machine = fleet.path("machine");
        machineConfig = new SimulatedMachine.MachineConfig(machine.path("cores").asDouble(4), machine.path("memory_mb").asDouble(4000),
                machine.path("queue").asInt(64), machine.path("loads_at_once").asInt(4), machine.path("keeps_idle_ms").asDouble(10_000),
                machine.path("start_share").asDouble(0.2), machine.path("warm_within_ms").asDouble(0),
                machine.path("fall_multiple").asDouble(0), machine.path("fall_ms").asDouble(3000));
        modelStore = new SimulatedModelStore(fleet.path("store").path("at_full_pace").asInt(8), fleet.path("store").path("most").asInt(40));
        removalDelayMillis = fleet.path("notice_ms").asDouble(0);
        Map<String, String> retrySafetyByGroup = new HashMap<>();
        fleet.path("model_groups").forEach(g -> retrySafetyByGroup.put(g.path("name").asText(), g.path("repeat").asText()));
        for (JsonNode model : fleet.path("models")) {
            SimulatedMachine.ModelSpec spec = new SimulatedMachine.ModelSpec(model.path("name").asText(), model.path("group").asText(),
                    retrySafetyByGroup.getOrDefault(model.path("group").asText(), "retriable"),
                    model.path("memory_mb").asDouble(100), model.path("lanes").asInt(1),
                    model.path("load_ms").asDouble(100), fleet.path("work_ms").asDouble(20));
            if (spec.name().endsWith("*")) {
                modelPatterns.add(spec);
            } else {
                modelsByName.put(spec.name(), spec);
            }
        }
        roster = new RosterServer(transcript);
        roster.includeUids = fleet.path("uids").asBoolean(false);
        JsonNode zones = fleet.path("zones");
        int executorCount = fleet.path("executors").asInt(4);
        int listedCount = fleet.path("listed").asInt(executorCount);
        for (int i = 0; i < executorCount; i++) {
            StandInExecutor executor = new StandInExecutor(zones.isEmpty() ? "" : zones.path(i % zones.size()).asText(),
                    eventLoops.next(), machineConfig, modelStore, this::findModel, transcript, dedupAnswers);
            executor.faults.clockAheadMillis = fleet.path("clock_ahead_ms").asDouble(0);
            executor.faults.clockAtStart = fleet.path("shown_at_start_ms").asDouble(Double.NaN);
            executor.start(false);
            executors.add(executor);
            if (i < listedCount) {
                roster.publish(executor, "ready");
            }
        }
        controlServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 16);
        controlServer.createContext("/fault", this::handleFaultRequest);
        controlServer.createContext("/answers", this::receiveWebhook);
        controlServer.start();
        EventLoopLagMonitor.watch(eventLoops, "stand-ins", transcript);
        timer.scheduleWithFixedDelay(transcript::flush, 100, 100, TimeUnit.MILLISECONDS);
    }

    private SimulatedMachine.ModelSpec findModel(String name) {
        SimulatedMachine.ModelSpec known = modelsByName.get(name);
        return known != null ? known : resolvedModels.computeIfAbsent(name, n -> {
            for (SimulatedMachine.ModelSpec pattern : modelPatterns) {
                if (n.startsWith(pattern.name().substring(0, pattern.name().length() - 1))) {
                    return new SimulatedMachine.ModelSpec(n, pattern.group(), pattern.retrySafety(), pattern.memoryMb(),
                            pattern.lanes(), pattern.loadMillis(), pattern.workMillis());
                }
            }
            return null;
        });
    }

    /** Port of the roster server. */
    public int rosterPort() {
        return roster.port();
    }

    /** Port that accepts faults at {@code /fault} and answers delivered by webhook at {@code /answers}. */
    public int controlPort() {
        return controlServer.getAddress().getPort();
    }

    /** Addresses of all executors, in their order. */
    public List<String> addresses() {
        return executors.stream().map(StandInExecutor::address).toList();
    }

    /** Completes with the pairs of the next transcript event of this type whose value for {@code key} equals {@code value}. */
    public CompletableFuture<Map<String, Object>> nextEvent(String event, String key, Object value) {
        return transcript.nextEvent(event, key, value);
    }

    private void receiveWebhook(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        transcript.write("webhook", "id", String.valueOf(exchange.getRequestHeaders().getFirst("webhook-id")), "signature",
                String.valueOf(exchange.getRequestHeaders().getFirst("webhook-signature")), "timestamp",
                String.valueOf(exchange.getRequestHeaders().getFirst("webhook-timestamp")), "body",
                new String(body, StandardCharsets.UTF_8));
        exchange.sendResponseHeaders(204, -1);
        exchange.close();
    }

    private void handleFaultRequest(HttpExchange exchange) throws IOException {
        int status = 200;
        try {
            injectFault(JSON.readTree(exchange.getRequestBody()));
        } catch (IOException | IllegalArgumentException | InterruptedException e) {
            status = 400;
        }
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    /**
     * Injects one fault. Fields: {@code kind}, {@code part} (fraction of the executors, or {@code ex} for the index of a
     * single one), {@code for_ms} (duration), and {@code size} (a factor, or milliseconds for the kind {@code clock}). Some kinds
     * have further fields.
     *
     * @throws IllegalArgumentException if the kind or the executor does not exist
     */
    public void injectFault(JsonNode fault) throws InterruptedException {
        String kind = fault.path("kind").asText();
        long durationMillis = fault.path("for_ms").asLong(1000);
        double size = fault.path("size").asDouble(5);
        transcript.write("fault", "kind", kind, "for", durationMillis, "size", size);
        int firstIndex = fault.path("ex").asInt(0);
        int count = fault.has("ex") ? 1 : (int) Math.ceil(fault.path("part").asDouble(1) * executors.size());
        if (firstIndex + count > executors.size()) {
            throw new IllegalArgumentException("the fault addresses an executor that does not exist");
        }
        List<StandInExecutor> affected = executors.subList(firstIndex, firstIndex + count);
        switch (kind) {
            case "store_slow" -> {
                modelStore.slowdown = size;
                schedule(durationMillis, () -> modelStore.slowdown = 1);
            }
            case "flush" -> affected.forEach(executor -> executor.runOnMachine(
                    m -> m.unloadIdleFraction(fault.path("models").asDouble(1))));
            case "slow" -> {
                affected.forEach(executor -> executor.runOnMachine(m -> m.slowdown = size));
                schedule(durationMillis, () -> affected.forEach(executor -> executor.runOnMachine(m -> m.slowdown = 1)));
            }
            case "stall" -> affected.forEach(executor -> executor.runOnMachine(
                    m -> m.stalledUntil = SimulatedMachine.now() + durationMillis));
            case "full_for" -> {
                affected.forEach(executor -> executor.faults.fullForCustomer = fault.path("customer").asText());
                schedule(durationMillis, () -> affected.forEach(executor -> executor.faults.fullForCustomer = null));
            }
            case "unanswered" -> {
                affected.forEach(executor -> executor.faults.unansweredGroup = fault.path("group").asText());
                schedule(durationMillis, () -> affected.forEach(executor -> executor.faults.unansweredGroup = null));
            }
            case "refuse" -> {
                affected.forEach(executor -> executor.faults.refuseConnections = true);
                schedule(durationMillis, () -> affected.forEach(executor -> executor.faults.refuseConnections = false));
            }
            case "reset_before", "reset_within", "reset_after", "reset_head", "reset_part", "reset_status" -> {
                affected.forEach(executor -> executor.faults.resetPoint = kind.substring(RESET_PREFIX_LENGTH));
                schedule(durationMillis, () -> affected.forEach(executor -> executor.faults.resetPoint = null));
            }
            case "drain_unheard" -> {
                affected.forEach(executor -> executor.faults.unannouncedDrain = true);
                schedule(durationMillis, () -> affected.forEach(executor -> executor.faults.unannouncedDrain = false));
            }
            case "answers_lost" -> {
                affected.forEach(executor -> executor.faults.dropAnswers = true);
                schedule(durationMillis, () -> affected.forEach(executor -> executor.faults.dropAnswers = false));
            }
            case "unread" -> affected.forEach(StandInExecutor::stopReadingConnections);
            case "read_on" -> affected.forEach(StandInExecutor::resumeReadingConnections);
            case "clock" -> affected.forEach(executor -> executor.faults.clockAheadMillis = size);
            case "taken_over" -> takeOverAddress(affected.get(0), executors.get(fault.path("by").asInt()));
            case "roster_away" -> {
                roster.unavailable = true;
                schedule(durationMillis, () -> roster.unavailable = false);
            }
            case "crash" -> affected.forEach(executor -> crash(executor, durationMillis));
            case "drain" -> {
                // One executor after the other drains, crashes, and restarts cold at the same address.
                long gapMillis = durationMillis / Math.max(1, affected.size());
                for (int i = 0; i < affected.size(); i++) {
                    StandInExecutor executor = affected.get(i);
                    schedule(i * gapMillis, () -> {
                        roster.publish(executor, "draining");
                        schedule(fault.path("drain_ms").asLong(1500), () -> crash(executor, DRAINED_DOWNTIME_MILLIS));
                    });
                }
            }
            default -> throw new IllegalArgumentException("unknown fault " + kind);
        }
    }

    /** Kills an executor, removes it from the roster after a delay, and restarts it cold after {@code durationMillis} more. */
    private void crash(StandInExecutor executor, long durationMillis) {
        executor.kill();
        schedule((long) removalDelayMillis, () -> {
            if (!executor.running) {
                roster.publish(executor, "gone");
            }
        });
        schedule(durationMillis + (long) removalDelayMillis + RESTART_MARGIN_MILLIS, () -> {
            try {
                executor.start(true);
                roster.publish(executor, "ready");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Kills one executor and moves another one, with its whole state, to the address of the first. */
    private void takeOverAddress(StandInExecutor terminated, StandInExecutor successor) throws InterruptedException {
        terminated.kill();
        roster.publish(terminated, "gone");
        roster.publish(successor, "gone");
        successor.takeOverAddress(terminated);
        roster.publish(successor, "ready");
    }

    private void schedule(long delayMillis, Runnable action) {
        timer.schedule(() -> {
            try {
                action.run();
            } catch (Exception e) { // also a failed bind: Netty throws the checked BindException without declaring it
                transcript.write("stand-in-failed", "why", String.valueOf(e));
            }
        }, delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        controlServer.stop(0);
        roster.close();
        timer.shutdownNow();
        executors.forEach(StandInExecutor::close);
        eventLoops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
        transcript.close();
    }
}
