package gradereach.rehearsal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.standins.faults.FaultShim;
import gradereach.standins.faults.SystemFault;
import gradereach.webhook.WebhookKey;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A front end process with one injected fault, and a client that sends requests to it. */
final class FrontEndTestProcess {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final long UNLIMITED_MILLIS = 1_000_000; // longer than any test
    private static final int SHED_STATUS = 503;
    /** The time within which every front end must be ready after its start. */
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    final Process process;
    private final long startedAtNanos = System.nanoTime();
    private final URI address;
    private final WebhookKey key;
    private final long clockAheadMillis;

    /**
     * Starts a front end and returns once it listens.
     *
     * @param fault an argument of {@link FaultyFrontEnd}
     * @param processes the processes to kill at the end of the test; this one is added even if its start fails
     * @param clockAheadMillis how far its wall clock is ahead; its client uses that clock too
     */
    FrontEndTestProcess(Path directory, ObjectNode deployment, String fault, WebhookKey key, List<Process> processes, long clockAheadMillis)
            throws IOException, InterruptedException {
        this.key = key;
        this.clockAheadMillis = clockAheadMillis;
        Files.createDirectories(directory);
        Path file = Files.write(Files.createTempFile(directory, "fe", ".json"), JSON.writeValueAsBytes(deployment));
        List<String> command = new ArrayList<>(
                Rehearsal.javaCommand("gradereach.rehearsal.FaultyFrontEnd"));
        command.add(fault);
        command.add(file.toString());
        ProcessBuilder start = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(directory.resolve("log").toFile()));
        if (clockAheadMillis != 0) {
            FaultShim.compile(directory).preload(start,
                    List.of(SystemFault.clockStep(clockAheadMillis, 0, UNLIMITED_MILLIS)), 1,
                    Files.createTempFile(directory, "faults", ""));
        }
        process = start.start();
        processes.add(process);
        BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
        String line = output.readLine();
        assertTrue(line != null && line.startsWith("listening "), "see " + directory.resolve("log"));
        address = URI.create("http://" + line.split(" ")[1] + "/v1/inferences");
    }

    /** Sends one request; returns null where the connection broke. */
    HttpResponse<String> send(String id, String model, boolean async) throws InterruptedException {
        return send(id, model, async, (System.currentTimeMillis() + clockAheadMillis) / 1000);
    }

    /** @param signedAt the signed timestamp, Unix seconds */
    HttpResponse<String> send(String id, String model, boolean async, long signedAt) throws InterruptedException {
        byte[] body = ("{\"type\":\"inference.requested\",\"timestamp\":\"t\",\"data\":{\"model\":\"" + model
                + "\",\"input\":{\"inputs\":[]}}}").getBytes(StandardCharsets.UTF_8);
        HttpRequest request = HttpRequest.newBuilder(address).version(HttpClient.Version.HTTP_1_1)
                .header("content-type", "application/json")
                .header("webhook-id", id).header("webhook-timestamp", Long.toString(signedAt))
                .header("webhook-signature", "v1," + key.sign(id, signedAt, body))
                .header("prefer", async ? "respond-async" : "wait=60")
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            return null;
        }
    }

    /**
     * Repeats a request until it is not shed, as a front end may shed until it is ready after its start. A shed request was
     * not sent to an executor, so each such answer must allow a safe retry. Returns null where the connection broke.
     */
    HttpResponse<String> sendUntilNotShed(String id, String model) throws InterruptedException {
        HttpResponse<String> answer = send(id, model, false);
        while (answer != null && answer.statusCode() == SHED_STATUS) {
            assertTrue(answer.body().contains("\"repeat_harmless\":true"), id + " was shed, and its client got " + answer.body());
            assertTrue(System.nanoTime() - startedAtNanos < READY_TIMEOUT_NANOS, id + " is shed by a front end that should be ready");
            answer = send(id, model, false);
        }
        return answer;
    }

    /** Repeats a request until its answer is returned. */
    HttpResponse<String> sendUntilReturned(String id, String model) throws InterruptedException {
        HttpResponse<String> answer;
        do {
            answer = send(id, model, false);
        } while (answer == null || answer.statusCode() != 200);
        return answer;
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
