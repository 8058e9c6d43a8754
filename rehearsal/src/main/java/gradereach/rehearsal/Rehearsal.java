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
import java.net.BindException;
import java.net.InetSocketAddress;
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

/**
 * Runs a scripted rehearsal: it starts the stand-in executors and the front ends as processes of their own, runs the
 * scripted clients in this process, runs the events of the script, and has the auditor check the transcripts.
 */
public final class Rehearsal {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long FRONT_END_STOP_SECONDS = 20; // for the answers to their open requests
    private static final long STAND_IN_STOP_SECONDS = 10;
    private static final long EVENT_STOP_SECONDS = 5;
    private static final int LAST_WEBHOOKS_WAIT_MILLIS = 1500;
    private static final int LAST_EVENTS_WAIT_MILLIS = 200;
    /** How long a rehearsal goes on for events that are running at its end, such as the start of a front end. */
    private static final double MAX_EVENT_MILLIS = 30_000;

    /** The script cannot be read or does not match the schema; the message names the place in the script. */
    public static final class InvalidScriptException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidScriptException(String message) {
            super(message);
        }
    }

    private final JsonNode script;
    private final Path folder;
    private final List<String> frontEndCommand;
    private final PrintStream out;
    private final HttpClient httpClient = HttpClient.newHttpClient();
    private final ChildProcesses standInProcesses = new ChildProcesses(TimeUnit.SECONDS.toMillis(STAND_IN_STOP_SECONDS));
    private final ChildProcesses frontEnds = new ChildProcesses(TimeUnit.SECONDS.toMillis(FRONT_END_STOP_SECONDS));
    /** By number; a killed process stays in the list until its successor serves. */
    private final List<Process> frontEndProcesses = new ArrayList<>();
    private final RunningEvents runningEvents = new RunningEvents();
    private double maxEventMillis = MAX_EVENT_MILLIS;
    /** Where the front ends listen for webhooks, by number. */
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    /** Where the front ends listen for gRPC, by number; empty where they don't. */
    private final List<InetSocketAddress> grpcAddresses = new ArrayList<>();
    private final List<WebhookKey> customerKeys = new ArrayList<>();
    /**
     * With peers, the client ports of the front ends, then their peer ports; otherwise empty. They are chosen before the first
     * start, since each configuration names them all.
     */
    private final List<Integer> ports = new ArrayList<>();
    private Transcript transcript;
    /** Null where no alert rules are evaluated. */
    private AlertMonitor alertMonitor;

    /**
     * Creates a rehearsal that has not started yet.
     *
     * @param folder gets the configurations, logs and transcripts
     * @param frontEndCommand starts a front end when a deployment file is appended
     */
    public Rehearsal(JsonNode script, Path folder, List<String> frontEndCommand, PrintStream out) {
        this.script = script;
        this.folder = folder;
        this.frontEndCommand = frontEndCommand;
        this.out = out;
    }

    /** Has every front end push its metrics to this monitor. */
    public Rehearsal withAlertMonitor(AlertMonitor monitor) {
        alertMonitor = monitor;
        return this;
    }

    /** Sets how long the rehearsal waits for events that are running at its end. */
    Rehearsal withMaxEventMillis(double millis) {
        maxEventMillis = millis;
        return this;
    }

    /** Loads a script and checks it against the schema: a shipped script by its name, otherwise a file. */
    public static JsonNode loadScript(String nameOrFile) throws InvalidScriptException {
        JsonNode script = readScript(nameOrFile);
        Set<String> visitedBases = new HashSet<>();
        while (script.has("like")) {
            String base = script.path("like").asText();
            if (!visitedBases.add(base)) {
                throw new InvalidScriptException(nameOrFile + ": /like: " + base + " inherits from itself");
            }
            script = merge(readScript(base), ((ObjectNode) script.deepCopy()).without("like"));
        }
        try (InputStream schema = Rehearsal.class.getResourceAsStream("day.schema.json")) {
            StringBuilder errors = new StringBuilder();
            SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(JSON.readTree(schema))
                    .validate(script).forEach(e -> errors.append(errors.length() == 0 ? "" : "\n").append(nameOrFile)
                            .append(": ").append(e.getInstanceLocation()).append(": ").append(e.getMessage()));
            if (errors.length() > 0) {
                throw new InvalidScriptException(errors.toString());
            }
        } catch (IOException e) {
            throw new IllegalStateException("cannot read the script schema day.schema.json", e);
        }
        return script;
    }

    private static JsonNode readScript(String nameOrFile) throws InvalidScriptException {
        try (InputStream shipped = Rehearsal.class.getResourceAsStream(nameOrFile + ".json")) {
            return shipped != null ? JSON.readTree(shipped) : JSON.readTree(Path.of(nameOrFile).toFile());
        } catch (IOException e) {
            throw new InvalidScriptException(nameOrFile + ": no shipped day and no readable JSON file: " + e.getMessage());
        }
    }

    /** Overrides a base script: objects are merged member by member, any other value is replaced as a whole. */
    private static JsonNode merge(JsonNode base, JsonNode overrides) {
        ObjectNode script = base.deepCopy();
        overrides.properties().forEach(field -> {
            JsonNode existing = script.path(field.getKey());
            boolean bothObjects = existing.isObject() && field.getValue().isObject();
            script.set(field.getKey(), bothObjects ? merge(existing, field.getValue()) : field.getValue());
        });
        return script;
    }

    /**
     * The command that starts a main class of this program in a JVM of its own. The processes of a rehearsal run for about
     * a minute and share one machine; without the limit to tier 1, the optimising compiler takes the cores that they need.
     */
    public static List<String> javaCommand(String mainClass) {
        return List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx512m",
                "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp",
                System.getProperty("java.class.path"), mainClass);
    }

    /** Runs the rehearsal to its end and returns what the auditor found. */
    public Auditor.AuditReport run() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        deleteLedgers();
        SecureRandom random = new SecureRandom();
        for (int i = 0; i < script.path("customers").size(); i++) {
            customerKeys.add(WebhookKey.parse(WebhookKey.newSecret(random)));
        }
        transcript = new Transcript(folder.resolve("clients.jsonl"));
        Process standIns = startStandIns();
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        try (BufferedReader output = standIns.inputReader(StandardCharsets.UTF_8)) {
            String[] words = String.valueOf(output.readLine()).split(" ");
            if (words.length != 4) {
                throw new IOException("stand-ins did not start: see " + folder.resolve("stand-ins.log"));
            }
            int rosterPort = Integer.parseInt(words[1]);
            int controlPort = Integer.parseInt(words[3]);
            int frontEndCount = script.path("front_ends").asInt(3);
            writeKeys();
            if (script.path("peers").asBoolean()) {
                for (int i = 0; i < 2 * frontEndCount; i++) {
                    ports.add(freePort());
                }
            }
            for (int i = 0; i < frontEndCount; i++) {
                Files.write(folder.resolve("fe-" + i + ".json"), JSON.writerWithDefaultPrettyPrinter()
                        .writeValueAsBytes(createDeployment(i, frontEndCount, rosterPort, controlPort,
                                ports.isEmpty() ? 0 : ports.get(i))));
                startFrontEnd(i);
            }
            try (ScriptedClients clients = new ScriptedClients(script, addresses, grpcAddresses, customerKeys, transcript)) {
                clients.warmUp();
                if (alertMonitor != null) {
                    alertMonitor.start();
                }
                for (JsonNode event : script.path("events")) {
                    timer.schedule(() -> runEvent(event, clients, controlPort, timer), event.path("at_ms").asLong(),
                            TimeUnit.MILLISECONDS);
                }
                clients.run(script.path("length_ms").asDouble(), maxEventMillis, runningEvents::millisSinceLastEnd);
                if (alertMonitor != null) {
                    alertMonitor.stop();
                }
            }
            // Leaves time for the last webhooks, or else the last events of the stand-ins, to reach the transcripts.
            Thread.sleep(script.path("clients").path("async").asDouble(0) > 0 ? LAST_WEBHOOKS_WAIT_MILLIS : LAST_EVENTS_WAIT_MILLIS);
        } finally {
            for (String event : runningEvents.descriptions()) {
                transcript.write("cut-short", "what", "event still running at the end of the rehearsal: " + event);
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
        Map<String, String> retrySafetyByGroup = new HashMap<>();
        Map<String, Double> sloMillisByGroup = new HashMap<>();
        double maxDedupWindowMillis = 0;
        for (JsonNode group : script.path("model_groups")) {
            retrySafetyByGroup.put(group.path("name").asText(), group.path("repeat").asText());
            sloMillisByGroup.put(group.path("name").asText(), group.path("slo_ms").asDouble());
            maxDedupWindowMillis = Math.max(maxDedupWindowMillis, group.path("dedup_window_ms").asDouble(0));
        }
        JsonNode loadOrderBudget = script.path("rules").path("load_ration");
        return new Auditor(new Auditor.RuleParameters(script.path("rules").path("answer_slack_ms").asDouble(10),
                script.path("drain_grace_ms").asDouble(500), loadOrderBudget.path("free").asDouble(0),
                loadOrderBudget.path("share").asDouble(0), loadOrderBudget.path("span_ms").asDouble(0), maxDedupWindowMillis,
                script.path("peers").asBoolean()), retrySafetyByGroup, sloMillisByGroup);
    }

    private Process startStandIns() throws IOException {
        ObjectNode fleet = JSON.createObjectNode();
        fleet.setAll((ObjectNode) script.path("fleet").deepCopy());
        fleet.set("models", script.path("models"));
        fleet.set("model_groups", script.path("model_groups"));
        Path file = folder.resolve("fleet.json");
        Files.write(file, JSON.writeValueAsBytes(fleet));
        List<String> command = new ArrayList<>(javaCommand("gradereach.standins.StandInProcess"));
        command.add(file.toString());
        command.add(folder.resolve("stand-ins.jsonl").toString());
        return standInProcesses.start(new ProcessBuilder(command).redirectError(folder.resolve("stand-ins.log").toFile()));
    }

    private ObjectNode createDeployment(int index, int count, int rosterPort, int controlPort, int port) {
        ObjectNode deployment = JSON.createObjectNode();
        deployment.put("name", "fe-" + index).put("listen", "127.0.0.1:" + port);
        ObjectNode tier = deployment.putObject("tier").put("me", index).put("front_ends", count);
        JsonNode zones = script.path("fleet").path("zones");
        if (!zones.isEmpty()) {
            tier.put("location", zones.path(index % zones.size()).asText());
            tier.set("locations", zones);
        }
        deployment.putObject("roster").put("server", "http://127.0.0.1:" + rosterPort);
        ArrayNode customers = deployment.putArray("customers");
        for (int i = 0; i < customerKeys.size(); i++) {
            JsonNode customerScript = script.path("customers").path(i);
            ObjectNode customer = customers.addObject().put("name", customerScript.path("name").asText());
            if (customerScript.has("quota_per_second")) {
                customer.set("quota_per_second", customerScript.path("quota_per_second"));
            }
            customer.putArray("keys").addObject().put("file", "customer-" + i + ".key");
            customer.put("answers_to", "http://127.0.0.1:" + controlPort + "/answers");
        }
        if (script.path("clients").path("grpc").asDouble(0) > 0) {
            deployment.putObject("grpc").put("listen", "127.0.0.1:0");
        }
        if (alertMonitor != null) {
            deployment.putObject("metrics").putObject("remote_write").put("url", alertMonitor.url()).put("interval_ms", 250);
        }
        if (script.path("ledger").asBoolean()) {
            deployment.putObject("ledger").put("folder", "fe-" + index + ".ledger");
        }
        if (!ports.isEmpty()) {
            ObjectNode peers = deployment.putObject("peers").put("listen", "127.0.0.1:" + ports.get(count + index));
            peers.putObject("key").put("file", "peers.key");
            ArrayNode members = peers.putArray("members");
            for (int i = 0; i < count; i++) {
                members.addObject().put("name", "fe-" + i).put("peers", "127.0.0.1:" + ports.get(count + i))
                        .put("front", "127.0.0.1:" + ports.get(i));
            }
        }
        for (String section : List.of("model_groups", "models", "rules", "loading", "forwards", "limits", "executors")) {
            if (script.has(section)) {
                deployment.set(section, script.path(section));
            }
        }
        return deployment;
    }

    private void writeKeys() throws IOException {
        for (int i = 0; i < customerKeys.size(); i++) {
            writeKey("customer-" + i + ".key", customerKeys.get(i).secretText());
        }
        writeKey("peers.key", WebhookKey.newSecret(new SecureRandom()));
    }

    private void writeKey(String name, String key) throws IOException {
        Path file = folder.resolve(name);
        Files.deleteIfExists(file);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(file, key);
    }

    /** The ports lie below the ephemeral range of outgoing connections (Linux: from 32768). */
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    private static final int PORT_ATTEMPTS = 100;

    /**
     * Selects a port on which a process of this rehearsal will listen shortly. It lies outside the ephemeral range, where any
     * outgoing connection of the machine could take it before.
     */
    private static int freePort() throws IOException {
        for (int i = 0; i < PORT_ATTEMPTS; i++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            try (ServerSocket socket = new ServerSocket(port, 1, java.net.InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // The port is in use: try another one.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + (FIRST_PORT + PORT_COUNT - 1));
    }

    /** Deletes the ledgers of earlier runs in the same folder. */
    private void deleteLedgers() throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                if (folder.relativize(file).toString().matches("fe-\\d+\\.ledger(/.*)?")) {
                    Files.delete(file);
                }
            }
        }
    }

    private void startFrontEnd(int index) throws IOException {
        List<String> command = new ArrayList<>(frontEndCommand);
        if (script.has("front_end_fault")) {
            command = new ArrayList<>(javaCommand("gradereach.rehearsal.FaultyFrontEnd"));
            command.addAll(List.of(script.path("front_end_fault").asText(), "warm"));
        }
        command.add(folder.resolve("fe-" + index + ".json").toString());
        Process process = frontEnds.start(new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve("fe-" + index + ".log").toFile())));
        BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
        String line = output.readLine();
        if (line == null || !line.startsWith("listening ")) {
            throw new IOException("front end did not start: see " + folder.resolve("fe-" + index + ".log"));
        }
        String[] words = line.split(" ");
        InetSocketAddress address = parseAddress(words[1]);
        InetSocketAddress grpcAddress = line.contains(" grpc ") ? parseAddress(words[words.length - 1]) : null;
        Thread outputReader = new Thread(() -> output.lines().forEach(l -> { }), "front-end-output");
        outputReader.setDaemon(true);
        outputReader.start();
        synchronized (this) {
            if (index < frontEndProcesses.size()) {
                frontEndProcesses.set(index, process);
            } else {
                frontEndProcesses.add(process);
                addresses.add(address);
                if (grpcAddress != null) {
                    grpcAddresses.add(grpcAddress);
                }
            }
        }
    }

    private static InetSocketAddress parseAddress(String text) {
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(text.substring(text.lastIndexOf(':') + 1)));
    }

    /**
     * Sends a signal that suspends or resumes a whole front end. It is recorded as {@code killed}, so that the auditor
     * excuses what the front end could not do meanwhile.
     */
    private void signalFrontEnd(int frontEnd, String signal) throws IOException, InterruptedException {
        transcript.write("killed", "fe", "fe-" + frontEnd, "signal", signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(frontEndProcesses.get(frontEnd).pid())).start().waitFor();
    }

    private void runEvent(JsonNode event, ScriptedClients clients, int controlPort, ScheduledExecutorService timer) {
        String kind = event.path("kind").asText();
        long durationMillis = event.path("for_ms").asLong(1000);
        if (alertMonitor != null) {
            alertMonitor.recordEvent(kind);
        }
        runningEvents.eventStarted(event);
        out.println(String.format("%6.1f s  %s %s", event.path("at_ms").asDouble() / 1000, kind,
                event.toString().replaceAll(".*\"kind\":\"[^\"]*\",?", "").replace("}", "").replace("\"", "")));
        try {
            switch (kind) {
                case "burst" -> {
                    clients.setRateMultiplier(event.path("size").asDouble(2));
                    timer.schedule(() -> clients.setRateMultiplier(1), durationMillis, TimeUnit.MILLISECONDS);
                }
                case "customer_burst" -> {
                    clients.setCustomerMultiplier(event.path("customer").asInt(0), event.path("size").asDouble(4));
                    timer.schedule(() -> clients.setCustomerMultiplier(-1, 1), durationMillis, TimeUnit.MILLISECONDS);
                }
                case "kill_front_end" -> {
                    int frontEnd = event.path("fe").asInt(0);
                    Path file = folder.resolve("fe-" + frontEnd + ".json");
                    // It restarts on the same ports, which its clients go on using.
                    ObjectNode deployment = (ObjectNode) JSON.readTree(file.toFile());
                    deployment.put("listen", "127.0.0.1:" + addresses.get(frontEnd).getPort());
                    if (!grpcAddresses.isEmpty()) {
                        deployment.putObject("grpc").put("listen", "127.0.0.1:" + grpcAddresses.get(frontEnd).getPort());
                    }
                    Files.write(file, JSON.writeValueAsBytes(deployment));
                    // Recorded before and after the kill: the process ends at some time in between.
                    transcript.write("killed", "fe", "fe-" + frontEnd);
                    frontEndProcesses.get(frontEnd).destroyForcibly().waitFor();
                    transcript.write("killed", "fe", "fe-" + frontEnd);
                    Thread.sleep(durationMillis);
                    startFrontEnd(frontEnd);
                    transcript.write("restarted", "fe", "fe-" + frontEnd);
                }
                case "stall_front_end" -> {
                    int frontEnd = event.path("fe").asInt(0);
                    signalFrontEnd(frontEnd, "STOP");
                    Thread.sleep(durationMillis);
                    signalFrontEnd(frontEnd, "CONT");
                }
                // The stand-ins inject all other kinds of faults.
                default -> {
                    HttpResponse<Void> response = httpClient.send(HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + controlPort + "/fault"))
                            .POST(HttpRequest.BodyPublishers.ofString(event.toString())).build(),
                            HttpResponse.BodyHandlers.discarding());
                    if (response.statusCode() != 200) {
                        throw new IOException("stand-ins refused the event " + event);
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
