package gradereach.serve;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import gradereach.counts.Counts;
import gradereach.members.Membership;
import gradereach.membership.Member;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Serves {@code /healthz}, {@code /readyz}, {@code /metrics} and {@code /members} on an address of its own, with the JDK's HTTP
 * server.
 */
final class AdminServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newFixedThreadPool(2, task -> {
        Thread thread = new Thread(task, "admin");
        thread.setDaemon(true);
        return thread;
    });
    private final Counts counts;
    private final Supplier<Membership.View> membership;

    /** @param membership supplies null where there is no membership, or none yet */
    AdminServer(InetSocketAddress address, Counts counts, BooleanSupplier healthy, BooleanSupplier ready,
            Supplier<Membership.View> membership) throws IOException {
        this.counts = counts;
        this.membership = membership;
        server = HttpServer.create(address, 16);
        server.setExecutor(threads);
        server.createContext("/healthz", exchange -> respond(exchange, healthy.getAsBoolean()));
        server.createContext("/readyz", exchange -> respond(exchange, ready.getAsBoolean()));
        server.createContext("/metrics", this::handleMetrics);
        server.createContext("/members", this::handleMembers);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    private static void respond(HttpExchange exchange, boolean yes) throws IOException {
        byte[] body = (yes ? "yes\n" : "no\n").getBytes(StandardCharsets.US_ASCII);
        exchange.sendResponseHeaders(yes ? 200 : 503, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private void handleMetrics(HttpExchange exchange) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(body, snapshots(counts));
        exchange.getResponseHeaders().set("content-type", PrometheusTextFormatWriter.CONTENT_TYPE);
        exchange.sendResponseHeaders(200, body.size());
        body.writeTo(exchange.getResponseBody());
        exchange.close();
    }

    private void handleMembers(HttpExchange exchange) throws IOException {
        Membership.View view = membership.get();
        ObjectNode json = JSON.createObjectNode();
        if (view != null) {
            json.put("present", view.presentCount()).put("share", view.share()).put("ailing", view.healthScore());
            ArrayNode members = json.putArray("members");
            addMember(members, view.self()).put("self", true);
            view.members().stream().sorted(Comparator.comparing(Member::name)).forEach(member -> addMember(members, member));
        }
        byte[] body = JSON.writeValueAsBytes(json);
        exchange.getResponseHeaders().set("content-type", "application/json");
        exchange.sendResponseHeaders(view == null ? 404 : 200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private static ObjectNode addMember(ArrayNode members, Member member) {
        return members.addObject().put("name", member.name()).put("address", member.address())
                .put("state", member.state().name().toLowerCase()).put("incarnation", member.incarnation());
    }

    static MetricSnapshots snapshots(Counts counts) {
        List<MetricSnapshot> snapshots = new ArrayList<>();
        counts.counters().forEach((name, value) -> snapshots.add(CounterSnapshot.builder().name("gradereach_" + name)
                .dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder().value(value.sum()).build()).build()));
        GaugeSnapshot.Builder inUse = GaugeSnapshot.builder().name("gradereach_limit_present");
        GaugeSnapshot.Builder capacity = GaugeSnapshot.builder().name("gradereach_limit_bound");
        CounterSnapshot.Builder rejections = CounterSnapshot.builder().name("gradereach_limit_refused");
        for (Counts.Limit limit : counts.limits()) {
            Labels labels = Labels.of("limit", limit.name);
            inUse.dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().labels(labels).value(limit.inUse()).build());
            if (limit.capacity < Long.MAX_VALUE) {
                capacity.dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().labels(labels).value(limit.capacity).build());
            }
            rejections.dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder().labels(labels).value(limit.rejections())
                    .build());
        }
        snapshots.add(inUse.build());
        snapshots.add(capacity.build());
        snapshots.add(rejections.build());
        return new MetricSnapshots(snapshots);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
