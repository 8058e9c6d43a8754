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

    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, work -> {
        Thread made = new Thread(work, "fleet");
        made.setDaemon(true);
        return made;
    });
    private final Transcript transcript;
    private final Store store;
    private final RosterServer roster;
    private final HttpServer control;
    private final Machine.Kind kind;
    private final Map<String, Machine.Spec> exact = new HashMap<>();
    private final List<Machine.Spec> families = new ArrayList<>();
    private final Map<String, Machine.Spec> found = new ConcurrentHashMap<>();
    private final Map<String, byte[]> seen = StandInExecutor.memory();
    private final List<StandInExecutor> executors = new ArrayList<>();
    private final double noticeMs;

    /** {@code fleet}: see docs/rehearsal.md; {@code models} and {@code model_groups} as in a deployment file. */
    public StandInFleet(JsonNode fleet, Path transcriptFile) throws IOException, InterruptedException {
        transcript = new Transcript(transcriptFile);
        JsonNode m = fleet.path("machine");
        kind = new Machine.Kind(m.path("cores").asDouble(4), m.path("memory_mb").asDouble(4000),
                m.path("queue").asInt(64), m.path("loads_at_once").asInt(4), m.path("keeps_idle_ms").asDouble(10_000),
                m.path("start_share").asDouble(0.2), m.path("warm_within_ms").asDouble(0),
                m.path("fall_multiple").asDouble(0), m.path("fall_ms").asDouble(3000));
        store = new Store(fleet.path("store").path("at_full_pace").asInt(8), fleet.path("store").path("most").asInt(40));
        noticeMs = fleet.path("notice_ms").asDouble(0);
        Map<String, String> repeats = new HashMap<>();
        fleet.path("model_groups").forEach(g -> repeats.put(g.path("name").asText(), g.path("repeat").asText()));
        for (JsonNode model : fleet.path("models")) {
            Machine.Spec spec = new Machine.Spec(model.path("name").asText(), model.path("group").asText(),
                    repeats.getOrDefault(model.path("group").asText(), "retriable"),
                    model.path("memory_mb").asDouble(100), model.path("lanes").asInt(1),
                    model.path("load_ms").asDouble(100), fleet.path("work_ms").asDouble(20));
            if (spec.name().endsWith("*")) {
                families.add(spec);
            } else {
                exact.put(spec.name(), spec);
            }
        }
        roster = new RosterServer(transcript);
        roster.tellsUids = fleet.path("uids").asBoolean(false);
        JsonNode zones = fleet.path("zones");
        int count = fleet.path("executors").asInt(4);
        int listed = fleet.path("listed").asInt(count);
        for (int i = 0; i < count; i++) {
            StandInExecutor ex = new StandInExecutor(zones.isEmpty() ? "" : zones.path(i % zones.size()).asText(),
                    loops.next(), kind, store, this::spec, transcript, seen);
            ex.faults.clockAhead = fleet.path("clock_ahead_ms").asDouble(0);
            ex.faults.shownAtStart = fleet.path("shown_at_start_ms").asDouble(Double.NaN);
            ex.start(false);
            executors.add(ex);
            if (i < listed) {
                roster.put(ex, "ready");
            }
        }
        control = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 16);
        control.createContext("/fault", this::fault);
        control.createContext("/answers", this::receive);
        control.start();
        LagWatch.watch(loops, "stand-ins", transcript);
        timer.scheduleWithFixedDelay(transcript::flush, 100, 100, TimeUnit.MILLISECONDS);
    }

    private Machine.Spec spec(String name) {
        Machine.Spec known = exact.get(name);
        return known != null ? known : found.computeIfAbsent(name, n -> {
            for (Machine.Spec f : families) {
                if (n.startsWith(f.name().substring(0, f.name().length() - 1))) {
                    return new Machine.Spec(n, f.group(), f.repeat(), f.memory(), f.lanes(), f.loadTime(), f.work());
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
        return control.getAddress().getPort();
    }

    public List<String> addresses() {
        return executors.stream().map(StandInExecutor::address).toList();
    }

    /** What the transcript has of the next such event in which {@code name} has {@code value}. */
    public CompletableFuture<Map<String, Object>> next(String event, String name, Object value) {
        return transcript.next(event, name, value);
    }

    private void receive(HttpExchange ask) throws IOException {
        byte[] body = ask.getRequestBody().readAllBytes();
        transcript.write("webhook", "id", String.valueOf(ask.getRequestHeaders().getFirst("webhook-id")), "signature",
                String.valueOf(ask.getRequestHeaders().getFirst("webhook-signature")), "timestamp",
                String.valueOf(ask.getRequestHeaders().getFirst("webhook-timestamp")), "body",
                new String(body, StandardCharsets.UTF_8));
        ask.sendResponseHeaders(204, -1);
        ask.close();
    }

    private void fault(HttpExchange ask) throws IOException {
        int status = 200;
        try {
            apply(JSON.readTree(ask.getRequestBody()));
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
    public void apply(JsonNode fault) throws InterruptedException {
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
                store.slower = size;
                later(length, () -> store.slower = 1);
            }
            case "flush" -> hit.forEach(ex -> ex.onMachine(m -> m.flush(fault.path("models").asDouble(1))));
            case "slow" -> {
                hit.forEach(ex -> ex.onMachine(m -> m.slower = size));
                later(length, () -> hit.forEach(ex -> ex.onMachine(m -> m.slower = 1)));
            }
            case "stall" -> hit.forEach(ex -> ex.onMachine(m -> m.stalledUntil = Machine.now() + length));
            case "full_for" -> {
                hit.forEach(ex -> ex.faults.fullFor = fault.path("customer").asText());
                later(length, () -> hit.forEach(ex -> ex.faults.fullFor = null));
            }
            case "unanswered" -> {
                hit.forEach(ex -> ex.faults.unanswered = fault.path("group").asText());
                later(length, () -> hit.forEach(ex -> ex.faults.unanswered = null));
            }
            case "refuse" -> {
                hit.forEach(ex -> ex.faults.refuses = true);
                later(length, () -> hit.forEach(ex -> ex.faults.refuses = false));
            }
            case "reset_before", "reset_within", "reset_after", "reset_head", "reset_part", "reset_status" -> {
                hit.forEach(ex -> ex.faults.resets = what.substring(6));
                later(length, () -> hit.forEach(ex -> ex.faults.resets = null));
            }
            case "drain_unheard" -> {
                hit.forEach(ex -> ex.faults.drainsUnheard = true);
                later(length, () -> hit.forEach(ex -> ex.faults.drainsUnheard = false));
            }
            case "answers_lost" -> {
                hit.forEach(ex -> ex.faults.answersLost = true);
                later(length, () -> hit.forEach(ex -> ex.faults.answersLost = false));
            }
            case "unread" -> hit.forEach(StandInExecutor::stopReadingConnections);
            case "read_on" -> hit.forEach(StandInExecutor::readConnections);
            case "clock" -> hit.forEach(ex -> ex.faults.clockAhead = size);
            case "taken_over" -> takeOver(hit.get(0), executors.get(fault.path("by").asInt()));
            case "roster_away" -> {
                roster.away = true;
                later(length, () -> roster.away = false);
            }
            case "crash" -> hit.forEach(ex -> crash(ex, length));
            case "drain" -> {
                // One after the other: draining, down, back cold under the same address.
                long gap = length / Math.max(1, hit.size());
                for (int i = 0; i < hit.size(); i++) {
                    StandInExecutor ex = hit.get(i);
                    later(i * gap, () -> {
                        roster.put(ex, "draining");
                        later(fault.path("drain_ms").asLong(1500), () -> crash(ex, 200));
                    });
                }
            }
            default -> throw new IllegalArgumentException("unknown fault " + what);
        }
    }

    private void crash(StandInExecutor ex, long length) {
        ex.down();
        later((long) noticeMs, () -> {
            if (!ex.up) {
                roster.put(ex, "gone");
            }
        });
        later(length + (long) noticeMs + 50, () -> {
            try {
                ex.start(true);
                roster.put(ex, "ready");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** One executor dies, and another, with all that it holds, goes on at its address. */
    private void takeOver(StandInExecutor ended, StandInExecutor by) throws InterruptedException {
        ended.down();
        roster.put(ended, "gone");
        roster.put(by, "gone");
        by.takeOver(ended);
        roster.put(by, "ready");
    }

    private void later(long in, Runnable what) {
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
        control.stop(0);
        roster.close();
        timer.shutdownNow();
        executors.forEach(StandInExecutor::close);
        loops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
        transcript.close();
    }
}
