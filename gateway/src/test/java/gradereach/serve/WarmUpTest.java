package gradereach.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelStreamInferResponse;
import gradereach.webhook.CallSignature;
import gradereach.webhook.WebhookKey;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Answers to the first clients of a new process. */
@Timeout(60)
class WarmUpTest {
    private static final double BUDGET_MILLIS = 300;
    /** An executor that did not answer is avoided, so each call needs another one. */
    private static final int EXECUTOR_COUNT = 12;
    /** Matches lines of {@code -Xlog:class+load} for classes of the program and of the libraries used to answer. */
    private static final String LOADED_CLASS_LINE = ".*\\] ?(gradereach|com\\.google|io\\.grpc|io\\.netty)\\..*";

    private final String secret = WebhookKey.newSecret(new SecureRandom());
    private final WebhookKey key = WebhookKey.parse(secret);
    @TempDir
    private Path folder;

    /** Guards against a first rejection that is late because its classes are loaded only then. */
    @Test
    void theFirstRejectionsAndFailuresLoadNoClasses() throws Exception {
        List<ServerSocket> silentExecutors = new ArrayList<>();
        try {
            for (int i = 0; i < EXECUTOR_COUNT; i++) {
                silentExecutors.add(new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
            }
            Process frontEnd = startFrontEnd(deployment(silentExecutors.stream().mapToInt(ServerSocket::getLocalPort).toArray()));
            try (BufferedReader output = frontEnd.inputReader()) {
                // listening HOST:PORT admin HOST:PORT grpc HOST:PORT
                String[] listeningLine = output.readLine().split(" ");
                awaitReady("http://" + listeningLine[3] + "/readyz");
                List<String> before = loadedClasses();
                assertEquals(503, post("http://" + listeningLine[1], "shed-0"));
                assertEquals(504, post("http://" + listeningLine[1], "fail-0"));
                ManagedChannel channel = NettyChannelBuilder.forTarget(listeningLine[5]).usePlaintext().build();
                try {
                    assertEquals("UNAVAILABLE", call(channel, "shed-0"));
                    assertEquals("DEADLINE_EXCEEDED", call(channel, "fail-0"));
                    assertEquals("UNAVAILABLE", stream(channel, "shed-0"));
                    assertEquals("DEADLINE_EXCEEDED", stream(channel, "fail-0"));
                } finally {
                    channel.shutdownNow();
                }
                List<String> after = loadedClasses();
                assertEquals(List.of(), after.subList(before.size(), after.size()));
            } finally {
                frontEnd.destroy();
                assertTrue(frontEnd.waitFor(20, TimeUnit.SECONDS));
            }
        } finally {
            for (ServerSocket executor : silentExecutors) {
                executor.close();
            }
        }
    }

    private Process startFrontEnd(Path deployment) throws Exception {
        return new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load:file=" + folder.resolve("classes.log"), "-cp", System.getProperty("java.class.path"),
                "gradereach.serve.FrontEndProcess", deployment.toString())
                .redirectError(folder.resolve("front-end.log").toFile()).start();
    }

    private Path deployment(int[] executorPorts) throws Exception {
        ObjectNode deployment = (ObjectNode) new ObjectMapper().readTree("""
                {"name": "fe", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "grpc": {"listen": "127.0.0.1:0"},
                 "model_groups": [
                  {"name": "shed", "repeat": "retriable", "slo_ms": 100, "route_timeout_ms": 2000},
                  {"name": "fail", "repeat": "non-retriable", "slo_ms": 100, "route_timeout_ms": 2000}],
                 "models": [{"name": "shed-*", "group": "shed", "lanes": 4}, {"name": "fail-*", "group": "fail", "lanes": 4}]}""");
        deployment.putArray("customers").addObject().put("name", "yard").putArray("keys").addObject().put("inline", secret);
        deployment.putObject("roster").put("file", "roster.json");
        String slices = IntStream.range(0, executorPorts.length).mapToObj(i -> "{\"metadata\":{\"name\":\"slice-" + i
                + "\"},\"ports\":[{\"port\":" + executorPorts[i]
                + "}],\"endpoints\":[{\"addresses\":[\"127.0.0.1\"],\"conditions\":{\"ready\":true}}]}")
                .collect(Collectors.joining(","));
        Files.writeString(folder.resolve("roster.json"), "{\"items\":[" + slices + "]}");
        return Files.write(folder.resolve("deployment.json"), new ObjectMapper().writeValueAsBytes(deployment));
    }

    private static void awaitReady(String url) throws Exception {
        HttpClient client = HttpClient.newHttpClient();
        HttpRequest request = HttpRequest.newBuilder(URI.create(url)).build();
        while (client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() != 200) {
            Thread.sleep(5);
        }
    }

    private List<String> loadedClasses() throws Exception {
        return Files.readAllLines(folder.resolve("classes.log")).stream().filter(line -> line.matches(LOADED_CLASS_LINE)).toList();
    }

    private int post(String baseUrl, String model) throws Exception {
        byte[] body = ("{\"type\":\"inference.requested\",\"timestamp\":\"t\",\"data\":{\"model\":\"" + model
                + "\",\"budget_ms\":" + BUDGET_MILLIS + ",\"input\":{\"inputs\":[]}}}").getBytes();
        long now = System.currentTimeMillis() / 1000;
        return HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create(baseUrl + "/v1/inferences"))
                .header("content-type", "application/json").header("webhook-id", model + "-w")
                .header("webhook-timestamp", Long.toString(now)).header("webhook-signature", "v1," + key.sign(model + "-w", now, body))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build(), HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private static ModelInferRequest request(String id, String model) {
        return ModelInferRequest.newBuilder().setId(id).setModelName(model)
                .putParameters("gradereach-budget-ms", InferParameter.newBuilder().setDoubleParam(BUDGET_MILLIS).build()).build();
    }

    private String call(ManagedChannel channel, String model) {
        ModelInferRequest unsignedRequest = request(model + "-u", model);
        long now = System.currentTimeMillis() / 1000;
        Metadata headers = new Metadata();
        headers.put(Metadata.Key.of("webhook-id", Metadata.ASCII_STRING_MARSHALLER), unsignedRequest.getId());
        headers.put(Metadata.Key.of("webhook-timestamp", Metadata.ASCII_STRING_MARSHALLER), Long.toString(now));
        headers.put(Metadata.Key.of("webhook-signature", Metadata.ASCII_STRING_MARSHALLER),
                "v1," + key.sign(unsignedRequest.getId(), now,
                        CallSignature.signedContent("inference.GRPCInferenceService/ModelInfer",
                                CallSignature.digest(unsignedRequest))));
        try {
            GRPCInferenceServiceGrpc.newBlockingStub(channel)
                    .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers)).modelInfer(unsignedRequest);
            return "OK";
        } catch (StatusRuntimeException e) {
            return e.getStatus().getCode().name();
        }
    }

    private String stream(ManagedChannel channel, String model) throws Exception {
        ModelInferRequest unsignedRequest = request(model + "-s", model);
        long now = System.currentTimeMillis() / 1000;
        CompletableFuture<ModelStreamInferResponse> response = new CompletableFuture<>();
        StreamObserver<ModelInferRequest> requests = GRPCInferenceServiceGrpc.newStub(channel).modelStreamInfer(new StreamObserver<>() {
            @Override
            public void onNext(ModelStreamInferResponse answer) {
                response.complete(answer);
            }

            @Override
            public void onError(Throwable cause) {
                response.completeExceptionally(cause);
            }

            @Override
            public void onCompleted() { }
        });
        requests.onNext(unsignedRequest.toBuilder().putParameters("webhook-timestamp", stringParameter(Long.toString(now)))
                .putParameters("webhook-signature", stringParameter("v1," + key.sign(unsignedRequest.getId(), now,
                        CallSignature.signedContent("inference.GRPCInferenceService/ModelStreamInfer",
                                CallSignature.digest(unsignedRequest)))))
                .build());
        requests.onCompleted();
        return response.get(10, TimeUnit.SECONDS).getInferResponse().getParametersOrThrow("grpc-status").getStringParam();
    }

    private static InferParameter stringParameter(String value) {
        return InferParameter.newBuilder().setStringParam(value).build();
    }
}
