import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * What the cases share: the project's processes on loopback, a client that signs webhooks (Standard Webhooks, v1), the record of
 * what passed, and the end of everything that was started. Times in the record are milliseconds since the start of the case.
 */
final class Lab implements AutoCloseable {
    /** A process of the project, started by {@code bin/gradereach}. */
    final class Running {
        final String name;
        final Process process;
        private final java.util.concurrent.BlockingQueue<String> lines = new java.util.concurrent.LinkedBlockingQueue<>();

        Running(String name, List<String> arguments) throws IOException {
            this.name = name;
            List<String> command = new ArrayList<>(List.of(root.resolve("bin/gradereach").toString()));
            command.addAll(arguments);
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("GRADEREACH_JAVA_OPTIONS", "-Xmx256m -XX:TieredStopAtLevel=1 -XX:+UseSerialGC");
            builder.redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            processes.add(process);
            Thread reader = new Thread(() -> {
                try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8)) {
                    for (String line; (line = output.readLine()) != null;) {
                        lines.add(line);
                    }
                } catch (IOException e) {
                    // ended
                }
                lines.add("");
            });
            reader.setDaemon(true);
            reader.start();
        }

        /** Waits for the line of its standard output that begins with this word, and returns it. */
        String awaitLine(String word) throws Exception {
            for (String line; (line = lines.poll(30, TimeUnit.SECONDS)) != null && !line.isEmpty();) {
                if (line.startsWith(word)) {
                    return line;
                }
            }
            throw new IOException(name + " did not start: " + tail(folder.resolve(name + ".log")));
        }

        /** Waits until a front end listens. */
        void started() throws Exception {
            String line = awaitLine("listening");
            record(name + " is up (pid " + process.pid() + "): " + line);
        }

        /** Sends a signal, as STOP, CONT, TERM or KILL. */
        void signal(String signal) throws Exception {
            record(name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Waits for its end; its exit code, -1 where it has not ended in time. */
        int awaitExit(long millis) throws InterruptedException {
            int code = process.waitFor(millis, TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
            record(name + (code < 0 ? " has not ended" : " has ended, exit code " + code));
            return code;
        }
    }

    /**
     * An answer; {@code status} is 0 where there was no whole one, and {@code detail} then says why. {@code taken}: the last byte of the
     * request was written to a connection that had been accepted; without that nothing is owed.
     */
    record Answer(int status, boolean taken, String detail, String body, double at) {
        @Override
        public String toString() {
            return status == 0 ? "NO ANSWER (" + detail + (taken ? ")" : "; not taken)") : status + " " + body;
        }
    }

    /** A case runs for 120 seconds at most. */
    private static final long MAX_MILLIS = 115_000;

    final Path root;
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();
    final List<Process> processes = java.util.Collections.synchronizedList(new ArrayList<>());
    final String secret;
    int rosterPort;
    int controlPort;

    /** @param caseFolder the folder of the case, where record.txt is written */
    Lab(Path caseFolder) throws IOException {
        root = caseFolder.toRealPath().getParent().getParent();
        folder = Files.createTempDirectory("gradereach-case-");
        out = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        byte[] key = new byte[32];
        new java.security.SecureRandom().nextBytes(key);
        secret = "whsec_" + Base64.getEncoder().encodeToString(key);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(MAX_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
            record("not over after " + MAX_MILLIS + " ms: nothing to judge, exit 2");
            endProcesses();
            Runtime.getRuntime().halt(2);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        writeKey("yard.key", secret);
        new java.security.SecureRandom().nextBytes(key);
        writeKey("peers.key", "whsec_" + Base64.getEncoder().encodeToString(key));
        record(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    }

    private void writeKey(String name, String key) throws IOException {
        Path file = Files.createFile(folder.resolve(name),
                PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(file, key);
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e6;
    }

    void record(String line) {
        String text = String.format(java.util.Locale.ROOT, "%9.1f  %s", now(), line);
        synchronized (out) {
            out.println(text);
        }
        System.out.println(text);
    }

    static String tail(Path file) throws IOException {
        List<String> lines = Files.exists(file) ? Files.readAllLines(file) : List.of();
        return String.join(" | ", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    }

    private static final List<Integer> GIVEN_PORTS = new ArrayList<>();

    /** A free port below the range of outgoing connections. */
    static synchronized int freePort() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 1000; i++) {
            int port = 20_000 + random.nextInt(12_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (!GIVEN_PORTS.contains(port)) {
                    GIVEN_PORTS.add(port);
                    return port;
                }
            } catch (IOException e) {
                // taken
            }
        }
        throw new IOException("no free port");
    }

    /** Starts the project's stand-ins: executors, roster and receiver of webhooks. */
    Running startStandIns(String fleet) throws Exception {
        Path file = Files.writeString(folder.resolve("fleet.json"), fleet);
        Running standIns = new Running("stand-ins", List.of("stand-in", "--transcript",
                folder.resolve("stand-ins.jsonl").toString(), file.toString()));
        rosterPort = port(standIns.awaitLine("roster"));
        controlPort = port(standIns.awaitLine("control"));
        record("stand-ins are up: roster at port " + rosterPort + ", control at port " + controlPort);
        return standIns;
    }

    private static int port(String line) {
        Matcher matcher = Pattern.compile("127\\.0\\.0\\.1:(\\d+)").matcher(line);
        if (!matcher.find()) {
            throw new IllegalStateException("no port in " + line);
        }
        return Integer.parseInt(matcher.group(1));
    }

    /** Starts a front end of the webhook form from a deployment file. */
    Running startFrontEnd(String name, String deployment) throws Exception {
        Path file = Files.writeString(folder.resolve(name + ".json"), deployment);
        return new Running(name, List.of("serve", file.toString()));
    }

    /** A fault of the stand-ins (docs/rehearsal.md). */
    void fault(String json) throws IOException {
        record("stand-ins: " + json);
        post(controlPort, "/fault", Map.of("content-type", "application/json"), json.getBytes(StandardCharsets.UTF_8), 3000);
    }

    /** The headers of a signed webhook. */
    Map<String, String> signed(String id, byte[] body) throws Exception {
        long timestamp = Instant.now().getEpochSecond();
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(Base64.getDecoder().decode(secret.substring(6)), "HmacSHA256"));
        mac.update((id + "." + timestamp + ".").getBytes(StandardCharsets.UTF_8));
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("content-type", "application/json");
        headers.put("webhook-id", id);
        headers.put("webhook-timestamp", Long.toString(timestamp));
        headers.put("webhook-signature", "v1," + Base64.getEncoder().encodeToString(mac.doFinal(body)));
        return headers;
    }

    /** The body of an inference; the stand-in executors work on it for {@code workMillis}. */
    static byte[] inference(String model, int budgetMillis, int workMillis) {
        return ("{\"type\":\"inference.requested\",\"timestamp\":\"2026-12-01T13:10:28Z\",\"data\":{\"model\":\"" + model
                + "\",\"budget_ms\":" + budgetMillis + ",\"input\":{\"parameters\":{\"work_ms\":" + workMillis
                + "},\"inputs\":[]}}}").getBytes(StandardCharsets.UTF_8);
    }

    /** Sends one signed message on a connection of its own and waits for the answer. */
    Answer send(String to, int port, String id, byte[] body, Map<String, String> extraHeaders, int waitMillis) throws Exception {
        Map<String, String> headers = signed(id, body);
        headers.putAll(extraHeaders);
        record("client -> " + to + " " + id + (extraHeaders.isEmpty() ? "" : " " + extraHeaders));
        Answer answer = post(port, "/v1/inferences", headers, body, waitMillis);
        record("client <- " + to + " " + id + ": " + answer);
        return answer;
    }

    /** One POST on a connection of its own. */
    Answer post(int port, String path, Map<String, String> headers, byte[] body, int waitMillis) {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        String detail = "connection closed";
        boolean taken = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            StringBuilder head = new StringBuilder("POST " + path + " HTTP/1.1\r\nhost: 127.0.0.1:" + port + "\r\ncontent-length: "
                    + body.length + "\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
            byte[] request = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
            System.arraycopy(body, 0, request, headBytes.length, body.length);
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            taken = true;
            long deadline = System.nanoTime() + waitMillis * 1_000_000L;
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[8192];
            while (true) {
                Answer whole = parse(received);
                if (whole != null) {
                    return whole;
                }
                long left = (deadline - System.nanoTime()) / 1_000_000L;
                if (left <= 0) {
                    detail = "none within " + waitMillis + " ms, connection open";
                    break;
                }
                socket.setSoTimeout((int) left);
                int n = in.read(buffer);
                if (n < 0) {
                    break;
                }
                received.write(buffer, 0, n);
            }
        } catch (SocketTimeoutException e) {
            detail = "none within " + waitMillis + " ms, connection open";
        } catch (IOException e) {
            detail = e.getMessage();
        }
        return new Answer(0, taken, detail, "", now());
    }

    private Answer parse(ByteArrayOutputStream received) {
        String text = received.toString(StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return null;
        }
        Matcher length = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)").matcher(text.substring(0, end));
        int bodyLength = length.find() ? Integer.parseInt(length.group(1)) : 0;
        if (text.length() < end + 4 + bodyLength) {
            return null;
        }
        return new Answer(Integer.parseInt(text.substring(9, 12)), true, "", text.substring(end + 4, end + 4 + bodyLength), now());
    }

    /** The lines of the stand-ins' transcript of one kind, as they were written. */
    List<String> transcript(String event) throws Exception {
        Thread.sleep(300); // it is flushed every 100 ms
        List<String> lines = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve("stand-ins.jsonl"))) {
            if (line.contains("\"ev\":\"" + event + "\"")) {
                lines.add(line);
            }
        }
        return lines;
    }

    /** The value of a field of a line of the transcript. */
    static String field(String line, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(?:\"((?:[^\"\\\\]|\\\\.)*)\"|([^,}]*))").matcher(line);
        return !matcher.find() ? "" : matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
    }

    private void endProcesses() {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
        }
    }

    /** Ends everything that was started, waits for it and removes the temporary folder. */
    @Override
    public void close() throws IOException {
        endProcesses();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(folder)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println("kept " + folder);
        }
    }
}
