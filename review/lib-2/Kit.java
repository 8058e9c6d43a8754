import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases share: processes, free ports, the record, signed webhooks over a client's own connections. */
final class Kit {
    static final long STARTED_AT = System.nanoTime();
    /** With TROUBLE=0 a case leaves out its disruption. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final Path ROOT = Path.of(System.getProperty("case.root")).toAbsolutePath();
    static final Path TEMP = Path.of(System.getProperty("case.temp")).toAbsolutePath();
    private static final Path RECORD = Path.of(System.getProperty("case.record")).toAbsolutePath();
    private static final List<Process> PROCESSES = new ArrayList<>();
    static final ExecutorService THREADS = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    });

    private Kit() { }

    /** Runs a case: 1 where the rule was broken, 0 where it held, 2 where the case could not run. */
    static void run(Callable<Boolean> held) {
        int code = 2;
        try {
            Files.writeString(RECORD, "");
            record("trouble=" + TROUBLE);
            code = held.call() ? 0 : 1;
        } catch (CannotRun e) {
            record("the case could not run: " + e.getMessage());
        } catch (Throwable e) {
            record("the case could not run: " + e);
            e.printStackTrace();
        }
        endAll();
        record(code == 0 ? "HELD" : code == 1 ? "BROKEN" : "NOT RUN");
        System.out.println(code == 0 ? "HELD" : code == 1 ? "BROKEN" : "NOT RUN");
        Runtime.getRuntime().halt(code);
    }

    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    static synchronized void record(String line) {
        String text = String.format(Locale.ROOT, "%9.3f s  %s%n", (System.nanoTime() - STARTED_AT) / 1e9, line);
        System.out.print(text);
        try {
            Files.writeString(RECORD, text, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleep(long millis) throws InterruptedException {
        Thread.sleep(millis);
    }

    // ---- processes ---------------------------------------------------------------------------------------

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
    }

    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();
    private static final Random RANDOM = new Random();

    /** A port of 127.0.0.1 outside the range of outgoing connections. */
    static synchronized int freePort() {
        for (int i = 0; i < 200; i++) {
            int port = 20_000 + RANDOM.nextInt(12_000);
            if (GIVEN_PORTS.contains(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                GIVEN_PORTS.add(port);
                return port;
            } catch (IOException e) {
                // in use
            }
        }
        throw new CannotRun("no free port");
    }

    /** Starts a process from the project's root, with its output in a file of the temporary folder. */
    static Process start(String log, Map<String, String> environment, boolean pipedOutput, String... command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(ROOT.toFile());
        builder.environment().putAll(environment);
        File file = TEMP.resolve(log + ".log").toFile();
        builder.redirectError(ProcessBuilder.Redirect.appendTo(file));
        if (!pipedOutput) {
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(file));
        }
        Process process = builder.start();
        synchronized (PROCESSES) {
            PROCESSES.add(process);
        }
        return process;
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
    }

    static void endAll() {
        synchronized (PROCESSES) {
            for (Process process : PROCESSES) {
                if (process.isAlive()) {
                    process.descendants().forEach(ProcessHandle::destroyForcibly);
                    process.destroyForcibly();
                }
            }
            for (Process process : PROCESSES) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            PROCESSES.clear();
        }
    }

    // ---- files -------------------------------------------------------------------------------------------

    static void write(String name, String text) throws IOException {
        Path part = TEMP.resolve(name + ".part");
        Files.writeString(part, text);
        Files.move(part, TEMP.resolve(name), java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Writes a key file that only its owner may read, and returns the key. */
    static WebhookKey newKey(String name) throws IOException {
        String secret = WebhookKey.newSecret(new SecureRandom());
        Path file = TEMP.resolve(name);
        Files.deleteIfExists(file);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(file, secret);
        return WebhookKey.parse(secret);
    }

    // ---- the project's own stand-ins ---------------------------------------------------------------------

    /** Executors, roster and receiver of the project, in one process. */
    static final class StandIns {
        final Process process;
        final int rosterPort;
        final int controlPort;
        final Path transcript = TEMP.resolve("stand-ins.jsonl");

        StandIns(String fleetJson) throws IOException {
            write("fleet.json", fleetJson);
            process = start("stand-ins", Map.of(), true, "bin/gradereach", "stand-in", "--transcript=" + transcript,
                    TEMP.resolve("fleet.json").toString());
            var lines = process.inputReader(StandardCharsets.UTF_8);
            String text = lines.readLine() + " " + lines.readLine();
            Matcher ports = Pattern.compile(".*roster\\D+[\\d.]+:(\\d+)\\D+[\\d.]+:(\\d+).*").matcher(text);
            if (!ports.matches()) {
                throw new CannotRun("the stand-ins did not start: " + text);
            }
            rosterPort = Integer.parseInt(ports.group(1));
            controlPort = Integer.parseInt(ports.group(2));
            THREADS.execute(() -> lines.lines().forEach(ignored -> { }));
        }

        void fault(String json) throws IOException, InterruptedException {
            record("stand-in fault " + json);
            HttpResponse<Void> response = HttpClient.newHttpClient().send(HttpRequest.newBuilder(
                    URI.create("http://127.0.0.1:" + controlPort + "/fault")).POST(HttpRequest.BodyPublishers.ofString(json)).build(),
                    HttpResponse.BodyHandlers.discarding());
            if (response.statusCode() != 200) {
                throw new CannotRun("fault not taken: " + json);
            }
        }

        /** Lines of the transcript that have the event. */
        List<String> events(String event) throws IOException {
            try (Stream<String> lines = Files.lines(transcript)) {
                return lines.filter(line -> line.contains("\"ev\":\"" + event + "\"")).toList();
            }
        }

        /** The index, in the stand-ins' order, of the executor that the latest forward of the model reached. */
        int executorOf(String model) throws IOException, InterruptedException {
            sleep(400); // the transcript is flushed every 100 ms
            List<String> addresses = events("start").stream().map(line -> value(line, "ex")).distinct().toList();
            String address = "";
            for (String line : events("arrived")) {
                address = value(line, "model").equals(model) ? value(line, "ex") : address;
            }
            if (!addresses.contains(address)) {
                throw new CannotRun("no executor has " + model);
            }
            return addresses.indexOf(address);
        }

        /** When forwards of each message arrived at executors, Unix milliseconds, by customer/id. */
        Map<String, List<Double>> arrivals() throws IOException, InterruptedException {
            sleep(400);
            Map<String, List<Double>> arrivals = new LinkedHashMap<>();
            for (String line : events("arrived")) {
                record("executor " + value(line, "ex") + ": " + value(line, "fwd") + " arrived from " + value(line, "fe"));
                arrivals.computeIfAbsent(value(line, "mark"), key -> new ArrayList<>()).add(Double.parseDouble(value(line, "t")));
            }
            return arrivals;
        }

        /** How often each message ran, by customer/id. */
        Map<String, Integer> runs() throws IOException, InterruptedException {
            sleep(400); // the transcript is flushed every 100 ms
            Map<String, Integer> runs = new LinkedHashMap<>();
            for (String line : events("ran")) {
                runs.merge(value(line, "mark"), 1, Integer::sum);
            }
            return runs;
        }
    }

    static String value(String jsonLine, String key) {
        Matcher matcher = Pattern.compile("\"" + key + "\":\\s*(?:\"((?:[^\"\\\\]|\\\\.)*)\"|([^,}]*))").matcher(jsonLine);
        return !matcher.find() ? "" : matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
    }

    // ---- front ends --------------------------------------------------------------------------------------

    /** A front end of the webhook form. */
    static final class FrontEnd {
        final String name;
        final int port = freePort();
        final int adminPort = freePort();
        final int peersPort = freePort();
        Process process;

        FrontEnd(String name) {
            this.name = name;
        }

        void start(String deployment) throws IOException {
            write(name + ".json", deployment);
            process = Kit.start(name, Map.of("GRADEREACH_JAVA_OPTIONS", "-Xmx256m -XX:+UseSerialGC -XX:TieredStopAtLevel=1"), false,
                    "bin/gradereach", "serve", TEMP.resolve(name + ".json").toString());
        }

        /** Waits until /readyz says yes. */
        void awaitReady() throws IOException, InterruptedException {
            long until = System.nanoTime() + 30_000_000_000L;
            while (System.nanoTime() < until) {
                if (!process.isAlive()) {
                    throw new CannotRun(name + " ended with " + process.exitValue() + " before it was ready");
                }
                try {
                    HttpResponse<Void> response = HttpClient.newHttpClient().send(HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + adminPort + "/readyz")).timeout(Duration.ofSeconds(1)).build(),
                            HttpResponse.BodyHandlers.discarding());
                    if (response.statusCode() == 200) {
                        record(name + " is ready");
                        return;
                    }
                } catch (IOException e) {
                    // not listening yet
                }
                sleep(20);
            }
            throw new CannotRun(name + " is not ready after 30 s");
        }

        /** SIGTERM, and waits for the end. */
        int stop() throws IOException, InterruptedException {
            record("SIGTERM to " + name);
            signal(process, "TERM");
            if (!process.waitFor(35, TimeUnit.SECONDS)) {
                throw new CannotRun(name + " did not end after SIGTERM");
            }
            record(name + " has ended, exit " + process.exitValue());
            return process.exitValue();
        }

        void kill() throws InterruptedException {
            record("SIGKILL to " + name);
            process.destroyForcibly().waitFor();
        }
    }

    // ---- clients -----------------------------------------------------------------------------------------

    /** What a client got: an HTTP status, or 0 with what happened instead. */
    record Answer(int status, Map<String, String> headers, String body, String failure, double atMillis, long atUnixMillis) {
        boolean returned() {
            return status == 200;
        }

        String outcome() {
            return status == 0 ? failure : status + " " + (status == 200 ? "returned" : value(body, "outcome")
                    + ", repeat_harmless " + value(body, "repeat_harmless") + ", \"" + value(body, "detail") + "\"");
        }
    }

    static double nowMillis() {
        return (System.nanoTime() - STARTED_AT) / 1e6;
    }

    /** A signed message; sent again it is the same bytes under the same id. */
    record Message(String id, String model, byte[] body, long timestamp, String signature) {
        static Message of(WebhookKey key, String id, String model, int budgetMillis, int workMillis) {
            long timestamp = System.currentTimeMillis() / 1000;
            byte[] body = ("{\"type\":\"inference.requested\",\"timestamp\":\"" + java.time.Instant.ofEpochSecond(timestamp)
                    + "\",\"data\":{\"model\":\"" + model + "\",\"budget_ms\":" + budgetMillis
                    + ",\"input\":{\"inputs\":[{\"name\":\"in\",\"shape\":[1],\"datatype\":\"FP32\",\"data\":[1]}],"
                    + "\"parameters\":{\"work_ms\":" + workMillis + "}}}}").getBytes(StandardCharsets.UTF_8);
            return new Message(id, model, body, timestamp, KeyRing.signatureHeader(List.of(key), id, timestamp, body));
        }
    }

    /** A client's connection to a front end: HTTP/1.1, one request at a time, kept alive. */
    static final class Connection implements AutoCloseable {
        final String to;
        final Socket socket = new Socket();
        private final InputStream in;

        Connection(String to, int port) throws IOException {
            this.to = to;
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends the message and waits for its answer; says what happened where none comes. */
        Answer ask(Message message, int timeoutMillis, String... extraHeaders) {
            String head = "POST /v1/inferences HTTP/1.1\r\nhost: front\r\ncontent-type: application/json\r\nwebhook-id: " + message.id()
                    + "\r\nwebhook-timestamp: " + message.timestamp() + "\r\nwebhook-signature: " + message.signature()
                    + "\r\ncontent-length: " + message.body().length + "\r\n" + String.join("", extraHeaders) + "\r\n";
            try {
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
                bytes.writeBytes(message.body());
                record("to " + to + ": " + message.id());
                socket.getOutputStream().write(bytes.toByteArray());
                socket.setSoTimeout(timeoutMillis);
                Answer answer = readAnswer();
                record("from " + to + ": " + message.id() + " " + answer.outcome());
                return answer;
            } catch (SocketTimeoutException e) {
                record("from " + to + ": " + message.id() + " nothing within " + timeoutMillis + " ms");
                return new Answer(0, Map.of(), "", "no answer within " + timeoutMillis + " ms", nowMillis(), System.currentTimeMillis());
            } catch (IOException e) {
                record("from " + to + ": " + message.id() + " connection ended without an answer: " + e.getMessage());
                return new Answer(0, Map.of(), "", "connection ended without an answer", nowMillis(), System.currentTimeMillis());
            }
        }

        CompletableFuture<Answer> askLater(Message message, int timeoutMillis, String... extraHeaders) {
            return CompletableFuture.supplyAsync(() -> ask(message, timeoutMillis, extraHeaders), THREADS);
        }

        private Answer readAnswer() throws IOException {
            String statusLine = line();
            int status = Integer.parseInt(statusLine.split(" ")[1]);
            Map<String, String> headers = new HashMap<>();
            for (String header = line(); !header.isEmpty(); header = line()) {
                int colon = header.indexOf(':');
                headers.put(header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).strip());
            }
            byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
            return new Answer(status, headers, new String(body, StandardCharsets.UTF_8), "", nowMillis(), System.currentTimeMillis());
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("end of stream");
                }
                line.append((char) next);
            }
            return line.toString().strip();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Sends a message on a connection of its own. */
    static Answer ask(FrontEnd frontEnd, Message message, int timeoutMillis, String... extraHeaders) {
        try (Connection connection = new Connection(frontEnd.name, frontEnd.port)) {
            return connection.ask(message, timeoutMillis, extraHeaders);
        } catch (IOException e) {
            record(frontEnd.name + " cannot be reached: " + e.getMessage());
            return new Answer(0, Map.of(), "", "not connected", nowMillis(), System.currentTimeMillis());
        }
    }
}
