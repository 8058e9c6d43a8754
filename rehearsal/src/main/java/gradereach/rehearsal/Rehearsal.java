package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import gradereach.standins.Transcript;
import gradereach.webhook.WebhookKey;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Plays a scripted day: stand-ins and front ends as processes of their own, clients here, then the auditor. */
public final class Rehearsal {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FRONT_END_STOP_SECONDS = 20; // to answer what they hold
    private static final long STAND_IN_STOP_SECONDS = 10;
    private static final long EVENT_STOP_SECONDS = 5;
    /** A day lasts until its events have come to their end, the start of a front end included: 30 s at most. */
    private static final double MAX_EVENT_MILLIS = 30_000;

    /** A script that cannot be played; the message names the place. */
    public static final class InvalidScriptException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidScriptException(String what) {
            super(what);
        }
    }

    private final JsonNode day;
    private final Path folder;
    private final List<String> frontEndCommand;
    private final PrintStream out;
    private final HttpClient httpClient = HttpClient.newHttpClient();
    private final ChildProcesses standInProcesses = new ChildProcesses(TimeUnit.SECONDS.toMillis(STAND_IN_STOP_SECONDS));
    private final ChildProcesses frontEnds = new ChildProcesses(TimeUnit.SECONDS.toMillis(FRONT_END_STOP_SECONDS));
    /** By number; one that was killed stands here until its next process serves. */
    private final List<Process> frontEndProcesses = new ArrayList<>();
    private final RunningEvents runningEvents = new RunningEvents();
    private double maxEventMillis = MAX_EVENT_MILLIS;
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<InetSocketAddress> grpcAddresses = new ArrayList<>();
    private final List<WebhookKey> customerKeys = new ArrayList<>();
    /** With peers: the fronts' ports, then the peers'. They name each other, so they must be known before. */
    private final List<Integer> ports = new ArrayList<>();
    private Transcript transcript;
    /** Null where nobody watches. */
    private AlertMonitor alertMonitor;

    /** @param frontEndCommand starts a front end when a deployment file is added to it */
    public Rehearsal(JsonNode day, Path folder, List<String> frontEndCommand, PrintStream out) {
        this.day = day;
        this.folder = folder;
        this.frontEndCommand = frontEndCommand;
        this.out = out;
    }

    /** Has every front end push to this watch. */
    public Rehearsal withAlertMonitor(AlertMonitor watch) {
        alertMonitor = watch;
        return this;
    }

    /** Has the day wait so long for events that are under way at its end. */
    Rehearsal withMaxEventMillis(double millis) {
        maxEventMillis = millis;
        return this;
    }

    /** A day shipped with the program by its name, or a file; checked against the schema. */
    public static JsonNode loadScript(String nameOrFile) throws InvalidScriptException {
        JsonNode day = readScript(nameOrFile);
        Set<String> like = new HashSet<>();
        while (day.has("like")) {
            String base = day.path("like").asText();
            if (!like.add(base)) {
                throw new InvalidScriptException(nameOrFile + ": /like: " + base + " is like itself");
            }
            day = merge(readScript(base), ((ObjectNode) day.deepCopy()).without("like"));
        }
        try (InputStream schema = Rehearsal.class.getResourceAsStream("day.schema.json")) {
            StringBuilder errors = new StringBuilder();
            SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(JSON.readTree(schema))
                    .validate(day).forEach(e -> errors.append(errors.length() == 0 ? "" : "\n").append(nameOrFile)
                            .append(": ").append(e.getInstanceLocation()).append(": ").append(e.getMessage()));
            if (errors.length() > 0) {
                throw new InvalidScriptException(errors.toString());
            }
        } catch (IOException e) {
            throw new IllegalStateException("schema not in the jar", e);
        }
        return day;
    }

    private static JsonNode readScript(String nameOrFile) throws InvalidScriptException {
        try (InputStream shipped = Rehearsal.class.getResourceAsStream(nameOrFile + ".json")) {
            return shipped != null ? JSON.readTree(shipped) : JSON.readTree(Path.of(nameOrFile).toFile());
        } catch (IOException e) {
            throw new InvalidScriptException(nameOrFile + ": no shipped day and no readable JSON file: " + e.getMessage());
        }
    }

    /** A day that is like another but for what it says itself: objects by member, all else as a whole. */
    private static JsonNode merge(JsonNode like, JsonNode own) {
        ObjectNode day = like.deepCopy();
        own.properties().forEach(field -> {
            JsonNode there = day.path(field.getKey());
            boolean both = there.isObject() && field.getValue().isObject();
            day.set(field.getKey(), both ? merge(there, field.getValue()) : field.getValue());
        });
        return day;
    }

    /**
     * The command that starts a main class of this very program. A rehearsal's processes live a minute and share one
     * machine: the optimising compiler would take the cores that they need.
     */
    public static List<String> javaCommand(String mainClass) {
        return List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx512m",
                "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), mainClass);
    }

    public Auditor.AuditReport run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        deleteLedgers();
        SecureRandom chance = new SecureRandom();
        for (int i = 0; i < day.path("customers").size(); i++) {
            customerKeys.add(WebhookKey.parse(WebhookKey.newSecret(chance)));
        }
        transcript = new Transcript(folder.resolve("clients.jsonl"));
        Process standIns = startStandIns();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        try (BufferedReader said = standIns.inputReader(StandardCharsets.UTF_8)) {
            String[] words = String.valueOf(said.readLine()).split(" ");
            if (words.length != 4) {
                throw new IOException("stand-ins did not start: see " + folder.resolve("stand-ins.log"));
            }
            int roster = Integer.parseInt(words[1]);
            int control = Integer.parseInt(words[3]);
            int count = day.path("front_ends").asInt(3);
            writeKeys();
            if (day.path("peers").asBoolean()) {
                for (int i = 0; i < 2 * count; i++) {
                    ports.add(freePort());
                }
            }
            for (int i = 0; i < count; i++) {
                Files.write(folder.resolve("fe-" + i + ".json"), JSON.writerWithDefaultPrettyPrinter()
                        .writeValueAsBytes(createDeployment(i, count, roster, control, ports.isEmpty() ? 0 : ports.get(i))));
                startFrontEnd(i);
            }
            try (ScriptedClients crowd = new ScriptedClients(day, addresses, grpcAddresses, customerKeys, transcript)) {
                crowd.warmUp();
                if (alertMonitor != null) {
                    alertMonitor.start();
                }
                for (JsonNode event : day.path("events")) {
                    timer.schedule(() -> playEvent(event, crowd, control, timer), event.path("at_ms").asLong(),
                            TimeUnit.MILLISECONDS);
                }
                crowd.run(day.path("length_ms").asDouble(), maxEventMillis, runningEvents::millisSinceLastEnd);
                if (alertMonitor != null) {
                    alertMonitor.stop();
                }
            }
            Thread.sleep(day.path("clients").path("async").asDouble(0) > 0 ? 1500 : 200);
        } finally {
            for (String event : runningEvents.descriptions()) {
                transcript.write("cut-short", "what", "not at its end when the day was: " + event);
            }
            timer.shutdownNow();
            frontEnds.close();
            timer.awaitTermination(EVENT_STOP_SECONDS, TimeUnit.SECONDS);
            standIns.getOutputStream().close();
            standIns.waitFor(STAND_IN_STOP_SECONDS, TimeUnit.SECONDS);
            standInProcesses.close();
            transcript.close();
        }
        Auditor auditor = createAuditor();
        auditor.readTranscript(folder.resolve("clients.jsonl"));
        auditor.readTranscript(folder.resolve("stand-ins.jsonl"));
        return auditor.evaluate();
    }

    private Auditor createAuditor() {
        Map<String, String> repeatOf = new HashMap<>();
        Map<String, Double> sloOf = new HashMap<>();
        double window = 0;
        for (JsonNode group : day.path("model_groups")) {
            repeatOf.put(group.path("name").asText(), group.path("repeat").asText());
            sloOf.put(group.path("name").asText(), group.path("slo_ms").asDouble());
            window = Math.max(window, group.path("dedup_window_ms").asDouble(0));
        }
        JsonNode ration = day.path("rules").path("load_ration");
        return new Auditor(new Auditor.RuleParameters(day.path("rules").path("answer_slack_ms").asDouble(10),
                day.path("drain_grace_ms").asDouble(500), ration.path("free").asDouble(0),
                ration.path("share").asDouble(0), ration.path("span_ms").asDouble(0), window, day.path("peers").asBoolean()), repeatOf, sloOf);
    }

    private Process startStandIns() throws IOException {
        ObjectNode fleet = JSON.createObjectNode();
        fleet.setAll((ObjectNode) day.path("fleet").deepCopy());
        fleet.set("models", day.path("models"));
        fleet.set("model_groups", day.path("model_groups"));
        Path file = folder.resolve("fleet.json");
        Files.write(file, JSON.writeValueAsBytes(fleet));
        List<String> command = new ArrayList<>(javaCommand("gradereach.standins.StandInProcess"));
        command.add(file.toString());
        command.add(folder.resolve("stand-ins.jsonl").toString());
        return standInProcesses.start(new ProcessBuilder(command).redirectError(folder.resolve("stand-ins.log").toFile()));
    }

    private ObjectNode createDeployment(int me, int count, int roster, int control, int port) {
        ObjectNode plan = JSON.createObjectNode();
        plan.put("name", "fe-" + me).put("listen", "127.0.0.1:" + port);
        ObjectNode tier = plan.putObject("tier").put("me", me).put("front_ends", count);
        JsonNode zones = day.path("fleet").path("zones");
        if (!zones.isEmpty()) {
            tier.put("location", zones.path(me % zones.size()).asText());
            tier.set("locations", zones);
        }
        plan.putObject("roster").put("server", "http://127.0.0.1:" + roster);
        ArrayNode customers = plan.putArray("customers");
        for (int i = 0; i < customerKeys.size(); i++) {
            JsonNode told = day.path("customers").path(i);
            ObjectNode customer = customers.addObject().put("name", told.path("name").asText());
            if (told.has("quota_per_second")) {
                customer.set("quota_per_second", told.path("quota_per_second"));
            }
            customer.putArray("keys").addObject().put("file", "customer-" + i + ".key");
            customer.put("answers_to", "http://127.0.0.1:" + control + "/answers");
        }
        if (day.path("clients").path("grpc").asDouble(0) > 0) {
            plan.putObject("grpc").put("listen", "127.0.0.1:0");
        }
        if (alertMonitor != null) {
            plan.putObject("metrics").putObject("remote_write").put("url", alertMonitor.url()).put("interval_ms", 250);
        }
        if (day.path("ledger").asBoolean()) {
            plan.putObject("ledger").put("folder", "fe-" + me + ".ledger");
        }
        if (!ports.isEmpty()) {
            ObjectNode peers = plan.putObject("peers").put("listen", "127.0.0.1:" + ports.get(count + me));
            peers.putObject("key").put("file", "peers.key");
            ArrayNode members = peers.putArray("members");
            for (int i = 0; i < count; i++) {
                members.addObject().put("name", "fe-" + i).put("peers", "127.0.0.1:" + ports.get(count + i))
                        .put("front", "127.0.0.1:" + ports.get(i));
            }
        }
        for (String part : List.of("model_groups", "models", "rules", "loading", "forwards", "limits", "executors")) {
            if (day.has(part)) {
                plan.set(part, day.path(part));
            }
        }
        return plan;
    }

    private void writeKeys() throws IOException {
        for (int c = 0; c < customerKeys.size(); c++) {
            writeKey("customer-" + c + ".key", customerKeys.get(c).secretText());
        }
        writeKey("peers.key", WebhookKey.newSecret(new SecureRandom()));
    }

    private void writeKey(String name, String key) throws IOException {
        Path file = folder.resolve(name);
        Files.deleteIfExists(file);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(file, key);
    }

    /** Ports below those that systems give to outgoing connections (Linux: from 32768). */
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    private static final int PORT_ATTEMPTS = 100;

    /**
     * A port on which a process of this rehearsal will listen in a moment. Of those that the system gives itself any
     * connection of the machine could take it until then.
     */
    private static int freePort() throws IOException {
        for (int i = 0; i < PORT_ATTEMPTS; i++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, java.net.InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                // another one is tried
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    /** A day begins without a past, also in a folder that has been used. */
    private void deleteLedgers() throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                if (folder.relativize(file).toString().matches("fe-\\d+\\.ledger(/.*)?")) {
                    Files.delete(file);
                }
            }
        }
    }

    private void startFrontEnd(int i) throws IOException {
        List<String> command = new ArrayList<>(frontEndCommand);
        if (day.has("front_end_fault")) {
            command = new ArrayList<>(javaCommand("gradereach.rehearsal.FaultyFrontEnd"));
            command.addAll(List.of(day.path("front_end_fault").asText(), "warm"));
        }
        command.add(folder.resolve("fe-" + i + ".json").toString());
        Process made = frontEnds.start(new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve("fe-" + i + ".log").toFile())));
        BufferedReader said = made.inputReader(StandardCharsets.UTF_8);
        String line = said.readLine();
        if (line == null || !line.startsWith("listening ")) {
            throw new IOException("front end did not start: see " + folder.resolve("fe-" + i + ".log"));
        }
        String[] words = line.split(" ");
        InetSocketAddress at = parseAddress(words[1]);
        InetSocketAddress grpc = line.contains(" grpc ") ? parseAddress(words[words.length - 1]) : null;
        Thread drain = new Thread(() -> said.lines().forEach(l -> { }), "front-end-output");
        drain.setDaemon(true);
        drain.start();
        synchronized (this) {
            if (i < frontEndProcesses.size()) {
                frontEndProcesses.set(i, made);
            } else {
                frontEndProcesses.add(made);
                addresses.add(at);
                if (grpc != null) {
                    grpcAddresses.add(grpc);
                }
            }
        }
    }

    private static InetSocketAddress parseAddress(String text) {
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)));
    }

    /** The whole process stands still, or goes on. What it could not do meanwhile is not held against it. */
    private void signalFrontEnd(int fe, String what) throws IOException, InterruptedException {
        transcript.write("killed", "fe", "fe-" + fe, "signal", what);
        new ProcessBuilder("kill", "-" + what, Long.toString(frontEndProcesses.get(fe).pid())).start().waitFor();
    }

    private void playEvent(JsonNode event, ScriptedClients crowd, int control, ScheduledExecutorService timer) {
        String kind = event.path("kind").asText();
        long length = event.path("for_ms").asLong(1000);
        if (alertMonitor != null) {
            alertMonitor.recordEvent(kind);
        }
        runningEvents.eventStarted(event);
        out.println(String.format("%6.1f s  %s %s", event.path("at_ms").asDouble() / 1000, kind,
                event.toString().replaceAll(".*\"kind\":\"[^\"]*\",?", "").replace("}", "").replace("\"", "")));
        try {
            switch (kind) {
                case "burst" -> {
                    crowd.setRateMultiplier(event.path("size").asDouble(2));
                    timer.schedule(() -> crowd.setRateMultiplier(1), length, TimeUnit.MILLISECONDS);
                }
                case "customer_burst" -> {
                    crowd.setCustomerMultiplier(event.path("customer").asInt(0), event.path("size").asDouble(4));
                    timer.schedule(() -> crowd.setCustomerMultiplier(-1, 1), length, TimeUnit.MILLISECONDS);
                }
                case "kill_front_end" -> {
                    int fe = event.path("fe").asInt(0);
                    Path file = folder.resolve("fe-" + fe + ".json");
                    // It comes back where its clients look for it.
                    ObjectNode plan = (ObjectNode) JSON.readTree(file.toFile());
                    plan.put("listen", "127.0.0.1:" + addresses.get(fe).getPort());
                    if (!grpcAddresses.isEmpty()) {
                        plan.putObject("grpc").put("listen", "127.0.0.1:" + grpcAddresses.get(fe).getPort());
                    }
                    Files.write(file, JSON.writeValueAsBytes(plan));
                    transcript.write("killed", "fe", "fe-" + fe);
                    frontEndProcesses.get(fe).destroyForcibly().waitFor();
                    transcript.write("killed", "fe", "fe-" + fe);
                    Thread.sleep(length);
                    startFrontEnd(fe);
                    transcript.write("restarted", "fe", "fe-" + fe);
                }
                case "stall_front_end" -> {
                    int fe = event.path("fe").asInt(0);
                    signalFrontEnd(fe, "STOP");
                    Thread.sleep(length);
                    signalFrontEnd(fe, "CONT");
                }
                default -> {
                    HttpResponse<Void> answer = httpClient.send(HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + control + "/fault"))
                            .POST(HttpRequest.BodyPublishers.ofString(event.toString())).build(),
                            HttpResponse.BodyHandlers.discarding());
                    if (answer.statusCode() != 200) {
                        throw new IOException("stand-ins refused " + event);
                    }
                }
            }
        } catch (IOException | InterruptedException e) {
            out.println("event failed: " + e.getMessage());
            transcript.write("event-failed", "kind", kind);
        } finally {
            runningEvents.eventEnded(event);
        }
    }
}
