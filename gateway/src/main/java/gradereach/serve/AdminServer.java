package gradereach.serve;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.counts.Counts;
import gradereach.members.Membership;
import gradereach.membership.Member;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
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

/** Serves {@code /healthz}, {@code /readyz}, {@code /metrics} and {@code /members} on a separate address with the JDK's HTTP server. */
final class AdminServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private final HttpServer server;
    private final ExecutorService threads = Executors.newFixedThreadPool(2, work -> {
        Thread made = new Thread(work, "admin");
        made.setDaemon(true);
        return made;
    });
    private final Counts counts;
    private final Supplier<Membership.View> members;

    /** @param members supplies null where there is no membership, or none yet */
    AdminServer(InetSocketAddress at, Counts counts, BooleanSupplier healthy, BooleanSupplier ready, Supplier<Membership.View> members)
            throws IOException {
        this.counts = counts;
        this.members = members;
        server = HttpServer.create(at, 16);
        server.setExecutor(threads);
        server.createContext("/healthz", ask -> respond(ask, healthy.getAsBoolean()));
        server.createContext("/readyz", ask -> respond(ask, ready.getAsBoolean()));
        server.createContext("/metrics", this::handleMetrics);
        server.createContext("/members", this::members);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    private static void respond(HttpExchange ask, boolean yes) throws IOException {
        byte[] word = (yes ? "yes\n" : "no\n").getBytes(StandardCharsets.US_ASCII);
        ask.sendResponseHeaders(yes ? 200 : 503, word.length);
        ask.getResponseBody().write(word);
        ask.close();
    }

    private void handleMetrics(HttpExchange ask) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(text, snapshots(counts));
        ask.getResponseHeaders().set("content-type", PrometheusTextFormatWriter.CONTENT_TYPE);
        ask.sendResponseHeaders(200, text.size());
        text.writeTo(ask.getResponseBody());
        ask.close();
    }

    private void members(HttpExchange ask) throws IOException {
        Membership.View view = members.get();
        ObjectNode told = JSON.createObjectNode();
        if (view != null) {
            told.put("present", view.presentCount()).put("share", view.share()).put("ailing", view.healthScore());
            ArrayNode all = told.putArray("members");
            addMember(all, view.self()).put("self", true);
            view.members().stream().sorted(Comparator.comparing(Member::name)).forEach(member -> addMember(all, member));
        }
        byte[] text = JSON.writeValueAsBytes(told);
        ask.getResponseHeaders().set("content-type", "application/json");
        ask.sendResponseHeaders(view == null ? 404 : 200, text.length);
        ask.getResponseBody().write(text);
        ask.close();
    }

    private static ObjectNode addMember(ArrayNode to, Member member) {
        return to.addObject().put("name", member.name()).put("address", member.address())
                .put("state", member.state().name().toLowerCase()).put("incarnation", member.incarnation());
    }

    static MetricSnapshots snapshots(Counts counts) {
        List<MetricSnapshot> all = new ArrayList<>();
        counts.counters().forEach((name, value) -> all.add(CounterSnapshot.builder().name("gradereach_" + name)
                .dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder().value(value.sum()).build()).build()));
        GaugeSnapshot.Builder present = GaugeSnapshot.builder().name("gradereach_limit_present");
        GaugeSnapshot.Builder bound = GaugeSnapshot.builder().name("gradereach_limit_bound");
        CounterSnapshot.Builder refused = CounterSnapshot.builder().name("gradereach_limit_refused");
        for (Counts.Limit limit : counts.limits()) {
            Labels which = Labels.of("limit", limit.name);
            present.dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().labels(which).value(limit.inUse()).build());
            if (limit.capacity < Long.MAX_VALUE) {
                bound.dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().labels(which).value(limit.capacity).build());
            }
            refused.dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder().labels(which).value(limit.rejections())
                    .build());
        }
        all.add(present.build());
        all.add(bound.build());
        all.add(refused.build());
        return new MetricSnapshots(all);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
