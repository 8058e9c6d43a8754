package gradereach.standins;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Serves the roster as Kubernetes EndpointSlices by list and watch, one slice per executor. Every entry sent to a front end is
 * written to the transcript.
 */
final class RosterServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** An open watch, with the events that were not sent yet. */
    private record Watcher(String frontEnd, BlockingQueue<ObjectNode> events) { }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "roster-server");
        thread.setDaemon(true);
        return thread;
    });
    private final Transcript transcript;
    private final Map<String, ObjectNode> slices = new LinkedHashMap<>();
    private final CopyOnWriteArrayList<Watcher> watchers = new CopyOnWriteArrayList<>();
    private long resourceVersion = 1;
    /** Whether open watches end and every request is answered 503. */
    volatile boolean unavailable;
    /** Whether slices contain a uid, which a later executor at the same address does not share. */
    volatile boolean includeUids;

    RosterServer(Transcript transcript) throws IOException {
        this.transcript = transcript;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 64);
        server.setExecutor(threads);
        server.createContext("/apis/discovery.k8s.io/v1/endpointslices", this::handleRequest);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /**
     * Lists an executor with its state, or removes it, and sends the change to all open watches.
     *
     * @param state {@code ready}, {@code draining}, or {@code gone} to remove the executor
     */
    synchronized void publish(StandInExecutor executor, String state) {
        String name = executor.instance();
        ObjectNode slice = JSON.createObjectNode();
        ObjectNode metadata = slice.putObject("metadata").put("name", name).put("namespace", "rehearsal")
                .put("resourceVersion", Long.toString(++resourceVersion));
        if (executor.startedAt > 0) {
            metadata.putObject("annotations").put("gradereach.io/started-at",
                    Instant.ofEpochMilli((long) executor.startedAt).toString());
        }
        slice.put("addressType", "IPv4");
        slice.putArray("ports").addObject().put("name", "http2")
                .put("port", Integer.parseInt(executor.address().substring(executor.address().indexOf(':') + 1)));
        ObjectNode endpoint = slice.putArray("endpoints").addObject();
        endpoint.putArray("addresses").add("127.0.0.1");
        endpoint.putObject("conditions").put("ready", state.equals("ready")).put("serving", true)
                .put("terminating", state.equals("draining"));
        endpoint.put("zone", executor.zone);
        if (includeUids) {
            endpoint.putObject("targetRef").put("uid", name);
        }
        boolean wasListed = slices.containsKey(name);
        if (!wasListed && state.equals("gone")) {
            return;
        }
        if (state.equals("gone")) {
            slices.remove(name);
        } else {
            slices.put(name, slice);
        }
        ObjectNode event = JSON.createObjectNode().put("type",
                state.equals("gone") ? "DELETED" : wasListed ? "MODIFIED" : "ADDED");
        event.set("object", slice);
        watchers.forEach(watcher -> watcher.events.add(event));
    }

    private void handleRequest(HttpExchange exchange) throws IOException {
        String frontEnd = String.valueOf(exchange.getRequestHeaders().getFirst("user-agent")).replace("gradereach/", "");
        if (unavailable) {
            exchange.sendResponseHeaders(503, -1);
            exchange.close();
            return;
        }
        exchange.getResponseHeaders().set("content-type", "application/json");
        if (!String.valueOf(exchange.getRequestURI().getQuery()).contains("watch=1")) {
            byte[] list;
            synchronized (this) {
                ObjectNode endpointSliceList = JSON.createObjectNode().put("kind", "EndpointSliceList");
                endpointSliceList.putObject("metadata").put("resourceVersion", Long.toString(resourceVersion));
                ArrayNode items = endpointSliceList.putArray("items");
                slices.values().forEach(items::add);
                list = JSON.writeValueAsBytes(endpointSliceList);
                slices.values().forEach(slice -> recordSentEntry(frontEnd, "ADDED", slice));
            }
            exchange.sendResponseHeaders(200, list.length);
            exchange.getResponseBody().write(list);
            exchange.close();
            return;
        }
        Watcher watcher = new Watcher(frontEnd, new LinkedBlockingQueue<>());
        synchronized (this) {
            String requestedVersion = exchange.getRequestURI().getQuery().replaceAll(".*resourceVersion=(\\d+).*", "$1");
            if (!requestedVersion.equals(Long.toString(resourceVersion))) {
                ObjectNode expired = JSON.createObjectNode().put("type", "ERROR");
                expired.putObject("object").put("kind", "Status").put("code", 410);
                watcher.events.add(expired);
            }
            watchers.add(watcher);
        }
        exchange.sendResponseHeaders(200, 0);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds(exchange.getRequestURI().getQuery()));
        try (OutputStream out = exchange.getResponseBody()) {
            while (!unavailable && System.nanoTime() < deadline) {
                ObjectNode event = watcher.events.poll(200, TimeUnit.MILLISECONDS);
                if (event == null) {
                    out.write('\n');
                } else {
                    recordSentEntry(frontEnd, event.path("type").asText(), (ObjectNode) event.path("object"));
                    out.write((event + "\n").getBytes(StandardCharsets.UTF_8));
                }
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // the reader closed the connection, or this server is being closed
        } finally {
            watchers.remove(watcher);
        }
    }

    /** The requested duration of a watch in seconds. */
    private static long timeoutSeconds(String query) {
        return query.contains("timeoutSeconds=") ? Long.parseLong(query.replaceAll(".*timeoutSeconds=(\\d+).*", "$1"))
                : DEFAULT_WATCH_SECONDS;
    }

    private static final long DEFAULT_WATCH_SECONDS = 1800; // used if the request has no timeout

    /** Writes an entry sent to a front end to the transcript. */
    private void recordSentEntry(String frontEnd, String type, ObjectNode slice) {
        if (!slice.has("ports")) {
            return;
        }
        boolean ready = slice.path("endpoints").path(0).path("conditions").path("ready").asBoolean()
                && !type.equals("DELETED");
        transcript.write("told", "fe", frontEnd, "ex", "127.0.0.1:" + slice.path("ports").path(0).path("port").asInt(),
                "ready", ready);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
