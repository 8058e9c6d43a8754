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
 * All stand-ins of a rehearsal in one process: executors, their store, the roster, a webhook receiver, and a control
 * port that takes faults ({@code POST /fault}, docs/rehearsal.md). They decide nothing of the product's.
 */
public final class StandInFleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, work -> {
        Thread made = new Thread(work, "fleet");
        made.setDaemon(true);
        return made;
    });
    private final Transcript transcript;
    private final SimulatedModelStore modelStore;
    private final RosterServer roster;
    private final HttpServer controlServer;
    private final SimulatedMachine.MachineConfig machineConfig;
    private final Map<String, SimulatedMachine.ModelSpec> modelsByName = new HashMap<>();
    private final List<SimulatedMachine.ModelSpec> modelPatterns = new ArrayList<>();
    private final Map<String, SimulatedMachine.ModelSpec> resolvedModels = new ConcurrentHashMap<>();
    private final Map<String, byte[]> dedupAnswers = StandInExecutor.newDedupStore();
    private final List<StandInExecutor> executors = new ArrayList<>();
    private final double noticeMillis;

    /** {@code fleet}: see docs/rehearsal.md; {@code models} and {@code model_groups} as in a deployment file. */
    public StandInFleet(JsonNode fleet, Path transcriptFile) throws IOException, InterruptedException {
        transcript = new Transcript(transcriptFile);
        JsonNode m = fleet.path("machine");
        machineConfig = new SimulatedMachine.MachineConfig(m.path("cores").asDouble(4), m.path("memory_mb").asDouble(4000),
                m.path("queue").asInt(64), m.path("loads_at_once").asInt(4), m.path("keeps_idle_ms").asDouble(10_000),
                m.path("start_share").asDouble(0.2), m.path("warm_within_ms").asDouble(0),
                m.path("fall_multiple").asDouble(0), m.path("fall_ms").asDouble(3000));
        modelStore = new SimulatedModelStore(fleet.path("store").path("at_full_pace").asInt(8), fleet.path("store").path("most").asInt(40));
        noticeMillis = fleet.path("notice_ms").asDouble(0);
        Map<String, String> repeats = new HashMap<>();
        fleet.path("model_groups").forEach(g -> repeats.put(g.path("name").asText(), g.path("repeat").asText()));
        for (JsonNode model : fleet.path("models")) {
            SimulatedMachine.ModelSpec spec = new SimulatedMachine.ModelSpec(model.path("name").asText(), model.path("group").asText(),
                    repeats.getOrDefault(model.path("group").asText(), "retriable"),
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
        int count = fleet.path("executors").asInt(4);
        int listed = fleet.path("listed").asInt(count);
        for (int i = 0; i < count; i++) {
            StandInExecutor ex = new StandInExecutor(zones.isEmpty() ? "" : zones.path(i % zones.size()).asText(),
                    eventLoops.next(), machineConfig, modelStore, this::findModel, transcript, dedupAnswers);
            ex.faults.clockAheadMillis = fleet.path("clock_ahead_ms").asDouble(0);
            ex.faults.clockAtStart = fleet.path("shown_at_start_ms").asDouble(Double.NaN);
            ex.start(false);
            executors.add(ex);
            if (i < listed) {
                roster.publish(ex, "ready");
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
            for (SimulatedMachine.ModelSpec f : modelPatterns) {
                if (n.startsWith(f.name().substring(0, f.name().length() - 1))) {
                    return new SimulatedMachine.ModelSpec(n, f.group(), f.retrySafety(), f.memoryMb(), f.lanes(), f.loadMillis(), f.workMillis());
                }
            }
            return null;
        });
    }

    public int rosterPort() {
        return roster.port();
    }

    /** Takes faults at {@code /fault} and answers by webhook at {@code /answers}. */
    public int controlPort() {
        return controlServer.getAddress().getPort();
    }

    public List<String> addresses() {
        return executors.stream().map(StandInExecutor::address).toList();
    }

    /** What the transcript has of the next such event in which {@code name} has {@code value}. */
    public CompletableFuture<Map<String, Object>> nextEvent(String event, String name, Object value) {
        return transcript.nextEvent(event, name, value);
    }

    private void receiveWebhook(HttpExchange ask) throws IOException {
        byte[] body = ask.getRequestBody().readAllBytes();
        transcript.write("webhook", "id", String.valueOf(ask.getRequestHeaders().getFirst("webhook-id")), "signature",
                String.valueOf(ask.getRequestHeaders().getFirst("webhook-signature")), "timestamp",
                String.valueOf(ask.getRequestHeaders().getFirst("webhook-timestamp")), "body",
                new String(body, StandardCharsets.UTF_8));
        ask.sendResponseHeaders(204, -1);
        ask.close();
    }

    private void handleFaultRequest(HttpExchange ask) throws IOException {
        int status = 200;
        try {
            injectFault(JSON.readTree(ask.getRequestBody()));
        } catch (IOException | IllegalArgumentException | InterruptedException e) {
            status = 400;
        }
        ask.sendResponseHeaders(status, -1);
        ask.close();
    }

    /**
     * Brings about one fault: {@code kind}, {@code part} of the executors (or one {@code ex} by number),
     * {@code for_ms}, {@code size}.
     */
    public void injectFault(JsonNode fault) throws InterruptedException {
        String what = fault.path("kind").asText();
        long length = fault.path("for_ms").asLong(1000);
        double size = fault.path("size").asDouble(5);
        transcript.write("fault", "kind", what, "for", length, "size", size);
        int first = fault.path("ex").asInt(0);
        int count = fault.has("ex") ? 1 : (int) Math.ceil(fault.path("part").asDouble(1) * executors.size());
        if (first + count > executors.size()) {
            throw new IllegalArgumentException("no such executor");
        }
        List<StandInExecutor> hit = executors.subList(first, first + count);
        switch (what) {
            case "store_slow" -> {
                modelStore.slowdown = size;
                schedule(length, () -> modelStore.slowdown = 1);
            }
            case "flush" -> hit.forEach(ex -> ex.runOnMachine(m -> m.flush(fault.path("models").asDouble(1))));
            case "slow" -> {
                hit.forEach(ex -> ex.runOnMachine(m -> m.slowdown = size));
                schedule(length, () -> hit.forEach(ex -> ex.runOnMachine(m -> m.slowdown = 1)));
            }
            case "stall" -> hit.forEach(ex -> ex.runOnMachine(m -> m.stalledUntil = SimulatedMachine.now() + length));
            case "full_for" -> {
                hit.forEach(ex -> ex.faults.fullForCustomer = fault.path("customer").asText());
                schedule(length, () -> hit.forEach(ex -> ex.faults.fullForCustomer = null));
            }
            case "unanswered" -> {
                hit.forEach(ex -> ex.faults.unansweredGroup = fault.path("group").asText());
                schedule(length, () -> hit.forEach(ex -> ex.faults.unansweredGroup = null));
            }
            case "refuse" -> {
                hit.forEach(ex -> ex.faults.refuseConnections = true);
                schedule(length, () -> hit.forEach(ex -> ex.faults.refuseConnections = false));
            }
            case "reset_before", "reset_within", "reset_after", "reset_head", "reset_part", "reset_status" -> {
                hit.forEach(ex -> ex.faults.resetPoint = what.substring(6));
                schedule(length, () -> hit.forEach(ex -> ex.faults.resetPoint = null));
            }
            case "drain_unheard" -> {
                hit.forEach(ex -> ex.faults.unannouncedDrain = true);
                schedule(length, () -> hit.forEach(ex -> ex.faults.unannouncedDrain = false));
            }
            case "answers_lost" -> {
                hit.forEach(ex -> ex.faults.dropAnswers = true);
                schedule(length, () -> hit.forEach(ex -> ex.faults.dropAnswers = false));
            }
            case "unread" -> hit.forEach(StandInExecutor::stopReadingConnections);
            case "read_on" -> hit.forEach(StandInExecutor::resumeReadingConnections);
            case "clock" -> hit.forEach(ex -> ex.faults.clockAheadMillis = size);
            case "taken_over" -> takeOverAddress(hit.get(0), executors.get(fault.path("by").asInt()));
            case "roster_away" -> {
                roster.unavailable = true;
                schedule(length, () -> roster.unavailable = false);
            }
            case "crash" -> hit.forEach(ex -> crash(ex, length));
            case "drain" -> {
                // One after the other: draining, down, back cold under the same address.
                long gap = length / Math.max(1, hit.size());
                for (int i = 0; i < hit.size(); i++) {
                    StandInExecutor ex = hit.get(i);
                    schedule(i * gap, () -> {
                        roster.publish(ex, "draining");
                        schedule(fault.path("drain_ms").asLong(1500), () -> crash(ex, 200));
                    });
                }
            }
            default -> throw new IllegalArgumentException("unknown fault " + what);
        }
    }

    private void crash(StandInExecutor ex, long length) {
        ex.kill();
        schedule((long) noticeMillis, () -> {
            if (!ex.running) {
                roster.publish(ex, "gone");
            }
        });
        schedule(length + (long) noticeMillis + 50, () -> {
            try {
                ex.start(true);
                roster.publish(ex, "ready");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** One executor dies, and another, with all that it holds, goes on at its address. */
    private void takeOverAddress(StandInExecutor ended, StandInExecutor by) throws InterruptedException {
        ended.kill();
        roster.publish(ended, "gone");
        roster.publish(by, "gone");
        by.takeOverAddress(ended);
        roster.publish(by, "ready");
    }

    private void schedule(long in, Runnable what) {
        timer.schedule(() -> {
            try {
                what.run();
            } catch (Exception e) { // a failed bind is checked, and thrown all the same
                transcript.write("stand-in-failed", "why", String.valueOf(e));
            }
        }, in, TimeUnit.MILLISECONDS);
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
