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

/** EndpointSlices by list and watch, one slice an executor; writes to the transcript what each front end was told. */
final class RosterServer implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Watcher(String frontEnd, BlockingQueue<ObjectNode> events) { }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread made = new Thread(work, "roster-server");
        made.setDaemon(true);
        return made;
    });
    private final Transcript transcript;
    private final Map<String, ObjectNode> slices = new LinkedHashMap<>();
    private final CopyOnWriteArrayList<Watcher> watchers = new CopyOnWriteArrayList<>();
    private long version = 1;
    /** Open watches end, and whatever is asked is answered 503. */
    volatile boolean unavailable;
    /** Each executor has a uid, which the next one at its address does not have. */
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

    /** {@code state}: ready, draining or gone. */
    synchronized void publish(StandInExecutor ex, String state) {
        String name = ex.instance();
        ObjectNode slice = JSON.createObjectNode();
        ObjectNode meta = slice.putObject("metadata").put("name", name).put("namespace", "rehearsal")
                .put("resourceVersion", Long.toString(++version));
        if (ex.startedAt > 0) {
            meta.putObject("annotations").put("gradereach.io/started-at",
                    Instant.ofEpochMilli((long) ex.startedAt).toString());
        }
        slice.put("addressType", "IPv4");
        slice.putArray("ports").addObject().put("name", "http2")
                .put("port", Integer.parseInt(ex.address().substring(ex.address().indexOf(':') + 1)));
        ObjectNode endpoint = slice.putArray("endpoints").addObject();
        endpoint.putArray("addresses").add("127.0.0.1");
        endpoint.putObject("conditions").put("ready", state.equals("ready")).put("serving", true)
                .put("terminating", state.equals("draining"));
        endpoint.put("zone", ex.zone);
        if (includeUids) {
            endpoint.putObject("targetRef").put("uid", name);
        }
        boolean known = slices.containsKey(name);
        if (!known && state.equals("gone")) {
            return;
        }
        if (state.equals("gone")) {
            slices.remove(name);
        } else {
            slices.put(name, slice);
        }
        ObjectNode event = JSON.createObjectNode().put("type",
                state.equals("gone") ? "DELETED" : known ? "MODIFIED" : "ADDED");
        event.set("object", slice);
        watchers.forEach(w -> w.events.add(event));
    }

    private void handleRequest(HttpExchange ask) throws IOException {
        String agent = String.valueOf(ask.getRequestHeaders().getFirst("user-agent")).replace("gradereach/", "");
        if (unavailable) {
            ask.sendResponseHeaders(503, -1);
            ask.close();
            return;
        }
        ask.getResponseHeaders().set("content-type", "application/json");
        if (!String.valueOf(ask.getRequestURI().getQuery()).contains("watch=1")) {
            byte[] list;
            synchronized (this) {
                ObjectNode all = JSON.createObjectNode().put("kind", "EndpointSliceList");
                all.putObject("metadata").put("resourceVersion", Long.toString(version));
                ArrayNode items = all.putArray("items");
                slices.values().forEach(items::add);
                list = JSON.writeValueAsBytes(all);
                slices.values().forEach(slice -> recordTold(agent, "ADDED", slice));
            }
            ask.sendResponseHeaders(200, list.length);
            ask.getResponseBody().write(list);
            ask.close();
            return;
        }
        Watcher watcher = new Watcher(agent, new LinkedBlockingQueue<>());
        synchronized (this) {
            String since = ask.getRequestURI().getQuery().replaceAll(".*resourceVersion=(\\d+).*", "$1");
            if (!since.equals(Long.toString(version))) {
                ObjectNode gone = JSON.createObjectNode().put("type", "ERROR");
                gone.putObject("object").put("kind", "Status").put("code", 410);
                watcher.events.add(gone);
            }
            watchers.add(watcher);
        }
        ask.sendResponseHeaders(200, 0);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds(ask.getRequestURI().getQuery()));
        try (OutputStream out = ask.getResponseBody()) {
            while (!unavailable && System.nanoTime() < end) {
                ObjectNode event = watcher.events.poll(200, TimeUnit.MILLISECONDS);
                if (event == null) {
                    out.write('\n');
                } else {
                    recordTold(agent, event.path("type").asText(), (ObjectNode) event.path("object"));
                    out.write((event + "\n").getBytes(StandardCharsets.UTF_8));
                }
                out.flush();
            }
        } catch (IOException | InterruptedException e) {
            // its reader has gone, or this server ends
        } finally {
            watchers.remove(watcher);
        }
    }

    /** How long a watch is asked to last. */
    private static long timeoutSeconds(String query) {
        return query.contains("timeoutSeconds=") ? Long.parseLong(query.replaceAll(".*timeoutSeconds=(\\d+).*", "$1")) : DEFAULT_WATCH_SECONDS;
    }

    private static final long DEFAULT_WATCH_SECONDS = 1800; // seconds; where no time is asked for

    private void recordTold(String agent, String type, ObjectNode slice) {
        if (!slice.has("ports")) {
            return;
        }
        boolean ready = slice.path("endpoints").path(0).path("conditions").path("ready").asBoolean()
                && !type.equals("DELETED");
        transcript.write("told", "fe", agent, "ex", "127.0.0.1:" + slice.path("ports").path(0).path("port").asInt(),
                "ready", ready);
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
