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

/** A front end with one fault as a process of its own, and a client that asks it. */
final class FrontEndTestProcess {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static final long ALWAYS_MILLIS = 1_000_000; // milliseconds
    private static final int SHED_STATUS = 503;
    /** In which every front end is ready after its start, by the operators' terms. */
    private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    final Process process;
    private final long startedAt = System.nanoTime();
    private final URI address;
    private final WebhookKey key;
    private final long clockAheadMillis;

    /**
     * Listens when this returns.
     *
     * @param processes to be ended with the test: this one is among them whatever becomes of its start
     * @param clockAhead milliseconds by which its wall clock is ahead; its client goes by that clock as well
     */
    FrontEndTestProcess(Path at, ObjectNode plan, String fault, WebhookKey key, List<Process> processes, long clockAhead)
            throws IOException, InterruptedException {
        this.key = key;
        this.clockAheadMillis = clockAhead;
        Files.createDirectories(at);
        Path file = Files.write(Files.createTempFile(at, "fe", ".json"), JSON.writeValueAsBytes(plan));
        List<String> command = new ArrayList<>(
                Rehearsal.javaCommand("gradereach.rehearsal.FaultyFrontEnd"));
        command.add(fault);
        command.add(file.toString());
        ProcessBuilder start = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(at.resolve("log").toFile()));
        if (clockAhead != 0) {
            FaultShim.compile(at).preload(start, List.of(SystemFault.clockStep(clockAhead, 0, ALWAYS_MILLIS)), 1, Files.createTempFile(at, "faults", ""));
        }
        process = start.start();
        processes.add(process);
        BufferedReader said = process.inputReader(StandardCharsets.UTF_8);
        String line = said.readLine();
        assertTrue(line != null && line.startsWith("listening "), "see " + at.resolve("log"));
        address = URI.create("http://" + line.split(" ")[1] + "/v1/inferences");
    }

    /** Null where the connection broke. */
    HttpResponse<String> send(String id, String model, boolean async) throws InterruptedException {
        return send(id, model, async, (System.currentTimeMillis() + clockAheadMillis) / 1000);
    }

    /** @param signedAt its signed timestamp, Unix seconds */
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
     * Asks until it is not shed any more, which a front end that has just started may do until it is ready. Nothing of what is
     * shed has left, so that each time its client must be told that a repeat is harmless. Null where the connection broke.
     */
    HttpResponse<String> sendUntilNotShed(String id, String model) throws InterruptedException {
        HttpResponse<String> answer = send(id, model, false);
        while (answer != null && answer.statusCode() == SHED_STATUS) {
            assertTrue(answer.body().contains("\"repeat_harmless\":true"), id + " was shed, and its client told " + answer.body());
            assertTrue(System.nanoTime() - startedAt < READY_TIMEOUT_NANOS, id + " is shed by a front end that should be ready");
            answer = send(id, model, false);
        }
        return answer;
    }

    /** Asks until it is told what came of it. */
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
