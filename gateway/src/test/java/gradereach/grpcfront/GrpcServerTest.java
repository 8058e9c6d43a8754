package gradereach.grpcfront;

import static gradereach.grpcfront.GrpcTestSupport.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import gradereach.grpcfront.GrpcTestSupport.RecordingClient;
import gradereach.plan.Deployment;
import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import gradereach.protocol.inference.InferTensorContents;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelMetadataRequest;
import gradereach.protocol.inference.ModelReadyRequest;
import gradereach.protocol.inference.ModelStreamInferResponse;
import gradereach.protocol.inference.ServerLiveRequest;
import gradereach.protocol.inference.ServerMetadataRequest;
import gradereach.protocol.inference.ServerReadyRequest;
import gradereach.serve.FaultInjection;
import gradereach.serve.Gateway;
import gradereach.standins.SmallFleet;
import gradereach.webhook.CallSignature;
import gradereach.webhook.WebhookKey;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.health.v1.HealthCheckRequest;
import io.grpc.health.v1.HealthCheckResponse;
import io.grpc.health.v1.HealthGrpc;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.protobuf.StatusProto;
import io.grpc.stub.MetadataUtils;
import io.grpc.stub.StreamObserver;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The gRPC server on loopback sockets, with grpc-java's own client and stand-in executors. */
@Timeout(60)
class GrpcServerTest {
    private final String secret = WebhookKey.newSecret(new SecureRandom());
    private final WebhookKey key = WebhookKey.parse(secret);
    private final WebhookKey unregisteredKey = WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()));
    @TempDir
    private Path folder;
    private SmallFleet fleet;
    private Gateway gateway;
    private InetSocketAddress webhookAddress;
    private ManagedChannel channel;

    @BeforeEach
    void start() throws Exception {
        fleet = new SmallFleet(folder, 2);
        ObjectNode deployment = fleet.createDeployment("fe", secret);
        deployment.putObject("grpc").put("listen", "127.0.0.1:0").put("stalled_ms", 300).put("stream_bytes", 4 << 20);
        deployment.putObject("ledger").put("folder", folder.resolve("ledger").toString());
        deployment.putObject("limits").put("body_bytes", 1 << 16).put("streams", 600);
        gateway = new Gateway(Deployment.of(deployment, folder), FaultInjection.NONE);
        webhookAddress = gateway.listen();
        waitUntil(gateway::hasRoster);
        channel = NettyChannelBuilder.forAddress("127.0.0.1", gateway.grpcAddress().getPort()).usePlaintext().disableRetry()
                .build();
    }

    @AfterEach
    void end() throws Exception {
        channel.shutdownNow();
        gateway.close();
        fleet.close();
    }

    private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(2);
        }
    }

    private static <T> Metadata.Key<T> metadataKey(String name, Metadata.AsciiMarshaller<T> marshaller) {
        return Metadata.Key.of(name, marshaller);
    }

    private GRPCInferenceServiceGrpc.GRPCInferenceServiceBlockingStub signedStub(String id, ModelInferRequest request,
            WebhookKey signingKey) {
        long now = System.currentTimeMillis() / 1000;
        Metadata headers = new Metadata();
        headers.put(metadataKey("webhook-id", Metadata.ASCII_STRING_MARSHALLER), id);
        headers.put(metadataKey("webhook-timestamp", Metadata.ASCII_STRING_MARSHALLER), Long.toString(now));
        headers.put(metadataKey("webhook-signature", Metadata.ASCII_STRING_MARSHALLER), "v1," + signingKey.sign(id, now,
                CallSignature.signedContent(GrpcInferenceService.UNARY_METHOD, CallSignature.digest(request))));
        return GRPCInferenceServiceGrpc.newBlockingStub(channel)
                .withInterceptors(MetadataUtils.newAttachHeadersInterceptor(headers));
    }

    private ModelInferResponse infer(String id, ModelInferRequest request) {
        return signedStub(id, request, key).modelInfer(request);
    }

    private StatusRuntimeException inferAndFail(String id, ModelInferRequest request) {
        try {
            infer(id, request);
        } catch (StatusRuntimeException e) {
            return e;
        }
        throw new AssertionError("the call succeeded");
    }

    private long runCount(String id) throws Exception {
        return fleet.closeAndCountRuns().getOrDefault("yard/" + id, 0);
    }

    @Test
    void aRepeatGetsTheSameAnswer() throws Exception {
        ModelInferResponse first = infer("m1", request("book-1", 5));
        assertEquals("book-1", first.getModelName());
        assertEquals("m1", first.getId());
        assertEquals(first, infer("m1", request("book-1", 5)));
        assertEquals(Status.Code.ALREADY_EXISTS, inferAndFail("m1", request("book-1", 6)).getStatus().getCode());
        assertEquals(1, runCount("m1"));
    }

    /** Guards against running a message twice because its repeat comes through the other server: both share one message store. */
    @Test
    void anIdReceivedByOneServerDoesNotRunThroughTheOther() throws Exception {
        infer("both", request("book-1", 5));
        byte[] body = ("{\"type\":\"inference.requested\",\"timestamp\":\"t\",\"data\":{\"model\":\"book-1\",\"input\":{\"inputs\":[]}}}")
                .getBytes(StandardCharsets.UTF_8);
        long now = System.currentTimeMillis() / 1000;
        HttpResponse<String> answer = HttpClient.newHttpClient().send(HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + webhookAddress.getPort() + "/v1/inferences")).version(HttpClient.Version.HTTP_1_1)
                .header("content-type", "application/json").header("webhook-id", "both")
                .header("webhook-timestamp", Long.toString(now)).header("webhook-signature", "v1," + key.sign("both", now, body))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(409, answer.statusCode());
        assertEquals(1, runCount("both"));
    }

    @ParameterizedTest
    @CsvSource({
        "stranger, UNAUTHENTICATED, not-signed", "other-message, UNAUTHENTICATED, not-signed", "unsigned, INVALID_ARGUMENT, no-id",
        "unknown-model, NOT_FOUND, unknown-model", "half-filled, INVALID_ARGUMENT, 'inputs[0].contents: 1 elements where the shape says 2'",
        "no-datatype, INVALID_ARGUMENT, 'inputs[0].datatype: missing'", "raw-too-short, INVALID_ARGUMENT, raw_input_contents[0]: 3 bytes",
        "raw-beside, INVALID_ARGUMENT, beside raw", "huge-shape, INVALID_ARGUMENT, inputs[0].shape: more than",
        "nan, INVALID_ARGUMENT, no finite number", "too-large, RESOURCE_EXHAUSTED, exceeds maximum",
    })
    void invalidRequestsGetASpecificStatus(String kind, Status.Code code, String expected) throws Exception {
        ModelInferRequest valid = request("look-1", 5);
        ModelInferRequest.InferInputTensor tensor = valid.getInputs(0);
        ModelInferRequest request = switch (kind) {
            case "unknown-model" -> valid.toBuilder().setModelName("none").build();
            case "half-filled" -> valid.toBuilder().setInputs(0, tensor.toBuilder().setContents(
                    InferTensorContents.newBuilder().addFp32Contents(1))).build();
            case "no-datatype" -> valid.toBuilder().setInputs(0, tensor.toBuilder().clearDatatype()).build();
            case "raw-too-short" -> valid.toBuilder().setInputs(0, tensor.toBuilder().clearContents())
                    .addRawInputContents(ByteString.copyFrom(new byte[3])).build();
            case "raw-beside" -> valid.toBuilder().addRawInputContents(ByteString.copyFrom(new byte[8])).build();
            case "huge-shape" -> valid.toBuilder().setInputs(0, tensor.toBuilder().addShape(Long.MAX_VALUE)).build();
            case "nan" -> valid.toBuilder().setInputs(0, tensor.toBuilder().setContents(
                    InferTensorContents.newBuilder().addFp32Contents(1).addFp32Contents(Float.NaN))).build();
            case "too-large" -> valid.toBuilder().addRawInputContents(ByteString.copyFrom(new byte[1 << 17])).build();
            default -> valid;
        };
        Status status;
        try {
            switch (kind) {
                case "stranger" -> signedStub("x", request, unregisteredKey).modelInfer(request);
                case "other-message" -> signedStub("x", request("look-1", 6), key).modelInfer(request);
                case "unsigned" -> GRPCInferenceServiceGrpc.newBlockingStub(channel).modelInfer(request);
                default -> infer("x", request);
            }
            throw new AssertionError("the call succeeded");
        } catch (StatusRuntimeException e) {
            status = e.getStatus();
        }
        assertEquals(code, status.getCode(), status.toString());
        assertTrue(status.getDescription().contains(expected), status.toString());
        // It leaves no open call, and the connection remains usable.
        assertNotNull(infer("after", request("look-1", 5)));
        assertEquals(0, inUse("grpc_calls"));
        assertEquals(0, runCount("x"));
    }

    private long rejections(String name) {
        return gateway.counts().limits().stream().filter(limit -> limit.name.equals(name)).findFirst().orElseThrow().rejections();
    }

    private long inUse(String name) {
        return gateway.counts().limits().stream().filter(limit -> limit.name.equals(name)).findFirst().orElseThrow().inUse();
    }

    @Test
    void malformedBytesGetInvalidArgument() throws Exception {
        MethodDescriptor<byte[], byte[]> method = MethodDescriptor.<byte[], byte[]>newBuilder()
                .setType(MethodDescriptor.MethodType.UNARY).setFullMethodName(GrpcInferenceService.UNARY_METHOD)
                .setRequestMarshaller(BYTE_ARRAY_MARSHALLER).setResponseMarshaller(BYTE_ARRAY_MARSHALLER).build();
        CompletableFuture<Status> endStatus = new CompletableFuture<>();
        ClientCall<byte[], byte[]> call = channel.newCall(method, CallOptions.DEFAULT);
        call.start(new ClientCall.Listener<>() {
            @Override
            public void onClose(Status status, Metadata trailers) {
                endStatus.complete(status);
            }
        }, new Metadata());
        call.sendMessage(new byte[] {(byte) 0xff, (byte) 0xff, 1, 2});
        call.halfClose();
        call.request(1);
        assertEquals(Status.Code.INVALID_ARGUMENT, endStatus.get().getCode(), endStatus.get().toString());
    }

    private static final MethodDescriptor.Marshaller<byte[]> BYTE_ARRAY_MARSHALLER = new MethodDescriptor.Marshaller<>() {
        @Override
        public InputStream stream(byte[] value) {
            return new java.io.ByteArrayInputStream(value);
        }

        @Override
        public byte[] parse(InputStream in) {
            try {
                return in.readAllBytes();
            } catch (java.io.IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }
    };

    /** The deadline of the call is the budget: the client is answered in time, and the non-retriable inference stays recorded. */
    @Test
    void theDeadlineLimitsTheInference() throws Exception {
        infer("warm", request("book-1", 1));
        ModelInferRequest slow = request("book-1", 1500);
        try {
            signedStub("slow", slow, key).withDeadlineAfter(300, TimeUnit.MILLISECONDS).modelInfer(slow);
            throw new AssertionError("the call succeeded");
        } catch (StatusRuntimeException e) {
            assertEquals(Status.Code.DEADLINE_EXCEEDED, e.getStatus().getCode());
        }
        waitUntil(() -> inUse("grpc_calls") == 0);
        StatusRuntimeException repeat = inferAndFail("slow", slow);
        assertEquals(Status.Code.DEADLINE_EXCEEDED, repeat.getStatus().getCode());
        assertEquals("false", repeat.getTrailers().get(GrpcStatuses.REPEAT_HARMLESS));
        assertTrue(runCount("slow") <= 1);
    }

    @ParameterizedTest
    @CsvSource({"SHED, 503, true, UNAVAILABLE", "FAILED, 504, false, DEADLINE_EXCEEDED", "FAILED, 502, false, UNKNOWN",
        "FAILED, 504, true, ABORTED", "FAILED, 502, true, ABORTED"})
    void finalAnswersMapToStatusCodes(gradereach.message.FinalAnswer.Kind kind, int status, boolean harmless, Status.Code code) {
        assertEquals(code, GrpcStatuses.toException(new gradereach.message.FinalAnswer(kind, status, new byte[0], 0, harmless)).getStatus()
                .getCode());
    }

    /** The status is UNAVAILABLE, with the retry delay as a trailer and as status details. */
    @Test
    void shedInferencesCarryARetryDelay() throws Exception {
        StatusRuntimeException shed = GrpcStatuses.toException(gradereach.message.FinalAnswer.shed("a", "no room", 1250));
        assertEquals(Status.Code.UNAVAILABLE, shed.getStatus().getCode());
        assertEquals("1250", shed.getTrailers().get(GrpcStatuses.PUSHBACK));
        com.google.rpc.RetryInfo retryInfo = StatusProto.fromThrowable(shed).getDetails(0).unpack(com.google.rpc.RetryInfo.class);
        assertEquals(1_250_000_000L, retryInfo.getRetryDelay().getSeconds() * 1_000_000_000L + retryInfo.getRetryDelay().getNanos());
    }

    @Test
    void metadataAndHealthAreServed() {
        GRPCInferenceServiceGrpc.GRPCInferenceServiceBlockingStub stub = GRPCInferenceServiceGrpc.newBlockingStub(channel);
        assertTrue(stub.serverLive(ServerLiveRequest.getDefaultInstance()).getLive());
        assertTrue(stub.serverReady(ServerReadyRequest.getDefaultInstance()).getReady());
        assertTrue(stub.modelReady(ModelReadyRequest.newBuilder().setName("look-7").build()).getReady());
        assertTrue(!stub.modelReady(ModelReadyRequest.newBuilder().setName("none").build()).getReady());
        assertEquals("gradereach", stub.serverMetadata(ServerMetadataRequest.getDefaultInstance()).getName());
        assertEquals("look-7", stub.modelMetadata(ModelMetadataRequest.newBuilder().setName("look-7").build()).getName());
        assertEquals(HealthCheckResponse.ServingStatus.SERVING, HealthGrpc.newBlockingStub(channel).check(
                HealthCheckRequest.newBuilder().setService(GRPCInferenceServiceGrpc.SERVICE_NAME).build()).getStatus());
    }

    // ---- streams ---------------------------------------------------------------------------------------------

    private ModelInferRequest signedStreamRequest(String id, String model, double workMillis) {
        return GrpcTestSupport.signedRequest(key, id, request(model, workMillis));
    }

    private StreamObserver<ModelInferRequest> openStream(RecordingClient client) {
        return GRPCInferenceServiceGrpc.newStub(channel).modelStreamInfer(client);
    }

    @Test
    void inferencesOfOneStreamAreAnsweredInOrderOfCompletion() throws Exception {
        infer("warm", request("look-1", 1));
        RecordingClient client = new RecordingClient(true);
        StreamObserver<ModelInferRequest> stream = openStream(client);
        stream.onNext(signedStreamRequest("slow", "look-1", 400));
        Set<String> sent = new HashSet<>(Set.of("slow"));
        for (int i = 0; i < 300; i++) {
            stream.onNext(signedStreamRequest("s" + i, "look-1", 1));
            sent.add("s" + i);
        }
        stream.onNext(signedStreamRequest("none", "none", 1));
        ModelInferRequest badlySigned = signedStreamRequest("forged", "look-1", 1);
        stream.onNext(badlySigned.toBuilder().setModelName("look-2").build());
        stream.onCompleted();
        assertEquals(Status.Code.OK, client.endStatus.get().getCode());
        Set<String> returned = new HashSet<>();
        List<String> failed = new ArrayList<>();
        for (ModelStreamInferResponse answer : client.answers) {
            if (answer.getErrorMessage().isEmpty()) {
                assertTrue(returned.add(answer.getInferResponse().getId()), "answered twice");
            } else {
                failed.add(answer.getInferResponse().getId() + " "
                        + answer.getInferResponse().getParametersOrThrow("grpc-status").getStringParam());
            }
        }
        assertEquals(sent, returned);
        assertEquals(List.of("forged UNAUTHENTICATED", "none NOT_FOUND"), failed.stream().sorted().toList());
        assertTrue(client.answers.indexOf(client.answers.stream().filter(answered -> answered.getInferResponse().getId().equals("slow"))
                .findFirst().orElseThrow()) > 10, "answered in the order of the requests");
        waitUntil(() -> inUse("grpc_calls") == 0 && inUse("inferences_held") == 0);
    }

    @ParameterizedTest
    @ValueSource(strings = {"cancel", "deadline", "connection"})
    void clientSideTerminationReleasesEverything(String cause) throws Exception {
        infer("warm", request("look-1", 1));
        RecordingClient client = new RecordingClient(true);
        GRPCInferenceServiceGrpc.GRPCInferenceServiceStub stub = GRPCInferenceServiceGrpc.newStub(channel);
        StreamObserver<ModelInferRequest> stream = (cause.equals("deadline") ? stub.withDeadlineAfter(200, TimeUnit.MILLISECONDS)
                : stub).modelStreamInfer(client);
        for (int i = 0; i < 20; i++) {
            stream.onNext(signedStreamRequest("s" + i, "look-1", 3000));
        }
        waitUntil(() -> gateway.counts().value("inferences_taken") >= 5);
        if (cause.equals("cancel")) {
            client.call.cancel("enough", null);
        } else if (cause.equals("connection")) {
            channel.shutdownNow();
        }
        assertTrue(client.endStatus.get().getCode() != Status.Code.OK);
        waitUntil(() -> inUse("grpc_calls") == 0 && inUse("grpc_stream_bytes_waiting") == 0);
    }

    /** A client that reads nothing is reset after the timeout, and other clients are served meanwhile. */
    @Test
    void aStalledReaderIsResetAndDelaysNobody() throws Exception {
        infer("warm", request("look-1", 1));
        ManagedChannel smallWindowChannel = NettyChannelBuilder.forAddress("127.0.0.1", gateway.grpcAddress().getPort()).usePlaintext()
                .flowControlWindow(1024).build();
        RecordingClient stalled = new RecordingClient(false);
        StreamObserver<ModelInferRequest> stream = GRPCInferenceServiceGrpc.newStub(smallWindowChannel).modelStreamInfer(stalled);
        for (int i = 0; rejections("grpc_readers_that_stopped") == 0; i++) {
            if (stalled.call.isReady()) {
                stream.onNext(signedStreamRequest("stopped" + i, "look-1", 1));
            } else {
                assertNotNull(infer("fast" + i, request("look-1", 1)));
            }
        }
        // The client sees the reset once it has read what was sent before.
        stalled.call.request(Integer.MAX_VALUE);
        assertEquals(Status.Code.CANCELLED, stalled.endStatus.get().getCode(), stalled.endStatus.get().toString());
        waitUntil(() -> inUse("grpc_calls") == 0 && inUse("grpc_stream_bytes_waiting") == 0);
        smallWindowChannel.shutdownNow();
    }

    /** On shutdown each open inference is answered and each stream ends with OK. */
    @Test
    void openStreamsAreAnsweredOnShutdown() throws Exception {
        infer("warm", request("look-1", 1));
        List<RecordingClient> clients = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            RecordingClient client = new RecordingClient(true);
            StreamObserver<ModelInferRequest> stream = openStream(client);
            stream.onNext(signedStreamRequest("stop" + i, "look-1", 200));
            clients.add(client);
        }
        waitUntil(() -> gateway.counts().value("inferences_taken") == 101);
        assertTrue(gateway.stop());
        for (RecordingClient client : clients) {
            assertEquals(Status.Code.OK, client.endStatus.get().getCode(), client.endStatus.get().toString());
            assertEquals(1, client.answers.size());
        }
    }

    @Test
    void manyStreamsCanBeOpenAtOnce() throws Exception {
        infer("warm", request("look-1", 1));
        List<StreamObserver<ModelInferRequest>> streams = new ArrayList<>();
        List<RecordingClient> clients = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            RecordingClient client = new RecordingClient(true);
            StreamObserver<ModelInferRequest> stream = openStream(client);
            stream.onNext(signedStreamRequest("many" + i, "look-1", 1));
            streams.add(stream);
            clients.add(client);
        }
        waitUntil(() -> clients.stream().allMatch(client -> client.answers.size() == 1 || client.endStatus.isDone()));
        assertEquals(500, inUse("grpc_calls"));
        streams.forEach(StreamObserver::onCompleted);
        for (RecordingClient client : clients) {
            assertEquals(Status.Code.OK, client.endStatus.get().getCode());
        }
    }
}
