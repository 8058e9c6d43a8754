package gradereach.client;

import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelStreamInferResponse;
import gradereach.webhook.CallSignature;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ClientStreamTracer;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Calls the Open Inference Protocol's gRPC service. The signature is in the metadata of a unary call, and in the message of a
 * streaming call, which carries one inference. gRPC itself retries only calls that a server proves not to have processed
 * (transparent retries).
 */
final class GrpcTransport implements FrontEndTransport {
    private static final String UNARY_METHOD = GRPCInferenceServiceGrpc.getModelInferMethod().getFullMethodName();
    private static final String STREAMING_METHOD = GRPCInferenceServiceGrpc.getModelStreamInferMethod().getFullMethodName();
    private static final String PART_PARAMETER = "gradereach-part";
    private static final String FINAL_PARAMETER = "gradereach-final";
    private static final Metadata.Key<String> PUSHBACK = key("grpc-retry-pushback-ms");
    private static final Metadata.Key<String> OUTCOME = key("gradereach-outcome");
    private static final Metadata.Key<String> REPEAT_HARMLESS = key("gradereach-repeat-harmless");
    private static final Metadata.Key<String> STOPPING = key("gradereach-stopping");
    private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();
    private final WebhookKey signer;
    private final Function<String, ManagedChannel> channelFactory;

    /** @param channelFactory creates the channel to an address */
    GrpcTransport(WebhookKey signer, Function<String, ManagedChannel> channelFactory) {
        this.signer = signer;
        this.channelFactory = channelFactory;
    }

    private static Metadata.Key<String> key(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    /** No retry policy is set, so gRPC repeats a call only where the server proves not to have processed it. */
    private static NettyChannelBuilder channelBuilder(String address) {
        return NettyChannelBuilder.forTarget(address).usePlaintext();
    }

    static ManagedChannel channel(String address) {
        return channelBuilder(address).build();
    }

    static ManagedChannel channel(String address, EventLoopGroup loops) {
        return channelBuilder(address).eventLoopGroup(loops).channelType(NioSocketChannel.class).directExecutor().build();
    }

    @Override
    public Attempt send(String address, Inference inference, double remainingMillis, Consumer<AttemptOutcome> onOutcome) {
        ModelInferRequest request = (ModelInferRequest) inference.message();
        long timestamp = System.currentTimeMillis() / 1000;
        Metadata headers = new Metadata();
        headers.put(key(CallSignature.ID), inference.id());
        headers.put(key(CallSignature.TIMESTAMP), Long.toString(timestamp));
        headers.put(key(CallSignature.SIGNATURE), KeyRing.signatureHeader(List.of(signer), inference.id(), timestamp,
                CallSignature.signedContent(UNARY_METHOD, CallSignature.digest(request))));
        HeadersSentTracer tracer = new HeadersSentTracer();
        ClientCall<ModelInferRequest, ModelInferResponse> call = channels.computeIfAbsent(address, channelFactory).newCall(
                GRPCInferenceServiceGrpc.getModelInferMethod(),
                CallOptions.DEFAULT.withStreamTracerFactory(tracer)
                        .withDeadlineAfter((long) (remainingMillis * 1000), TimeUnit.MICROSECONDS));
        call.start(new ClientCall.Listener<>() {
            private ModelInferResponse answer;

            @Override
            public void onMessage(ModelInferResponse message) {
                answer = message;
            }

            @Override
            public void onClose(Status status, Metadata trailers) {
                onOutcome.accept(status.isOk() && answer != null ? AttemptOutcome.returned(answer)
                        : toOutcome(status, trailers, tracer.headersSent));
            }
        }, headers);
        call.request(2);
        call.sendMessage(request);
        call.halfClose();
        return () -> call.cancel("the attempt was cancelled", null);
    }

    @Override
    public Attempt stream(String address, Inference inference, double remainingMillis, Consumer<Object> parts,
            Consumer<AttemptOutcome> onOutcome) {
        ModelInferRequest unsigned = ((ModelInferRequest) inference.message()).toBuilder().setId(inference.id()).build();
        long timestamp = System.currentTimeMillis() / 1000;
        ModelInferRequest signed = unsigned.toBuilder().putParameters(CallSignature.TIMESTAMP, stringParameter(Long.toString(timestamp)))
                .putParameters(CallSignature.SIGNATURE, stringParameter(KeyRing.signatureHeader(List.of(signer), inference.id(), timestamp,
                        CallSignature.signedContent(STREAMING_METHOD, CallSignature.digest(unsigned))))).build();
        HeadersSentTracer tracer = new HeadersSentTracer();
        ClientCall<ModelInferRequest, ModelStreamInferResponse> call = channels.computeIfAbsent(address, channelFactory).newCall(
                GRPCInferenceServiceGrpc.getModelStreamInferMethod(),
                CallOptions.DEFAULT.withStreamTracerFactory(tracer)
                        .withDeadlineAfter((long) (remainingMillis * 1000), TimeUnit.MICROSECONDS));
        call.start(new ClientCall.Listener<>() {
            private AttemptOutcome outcome;

            @Override
            public void onMessage(ModelStreamInferResponse message) {
                ModelInferResponse response = message.getInferResponse();
                if (!message.getErrorMessage().isEmpty()) {
                    outcome = toOutcome(parameter(response, "grpc-status"), message.getErrorMessage(),
                            name -> parameter(response, name.name()), true);
                } else if (response.containsParameters(FINAL_PARAMETER)) {
                    outcome = AttemptOutcome.returned(response);
                } else {
                    parts.accept(response);
                    // A message that is not a part is the whole answer.
                    outcome = response.containsParameters(PART_PARAMETER) ? outcome : AttemptOutcome.returned(response);
                }
                call.request(1); // flow control: the next part is read once this one has been processed
            }

            @Override
            public void onClose(Status status, Metadata trailers) {
                onOutcome.accept(outcome != null ? outcome : status.isOk()
                        ? AttemptOutcome.notReturned(AttemptOutcome.Kind.LOST, "the stream closed without a final message")
                        : toOutcome(status, trailers, tracer.headersSent));
            }
        }, new Metadata());
        call.request(1);
        call.sendMessage(signed);
        call.halfClose();
        return () -> call.cancel("the attempt was cancelled", null);
    }

    private static InferParameter stringParameter(String value) {
        return InferParameter.newBuilder().setStringParam(value).build();
    }

    private static String parameter(ModelInferResponse response, String name) {
        return response.containsParameters(name) ? response.getParametersOrThrow(name).getStringParam() : null;
    }

    /**
     * Records whether the headers of a call were written, which gRPC reports for each stream. If they were not, the call did not run,
     * whatever its status, for example when a front end closes its listener while a connection is being set up.
     */
    private static final class HeadersSentTracer extends ClientStreamTracer.Factory {
        private volatile boolean headersSent;

        @Override
        public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
            headersSent = false; // a transparent retry: the previous stream was proven not to have been processed
            return new ClientStreamTracer() {
                @Override
                public void outboundHeaders() {
                    headersSent = true;
                }
            };
        }
    }

    /** Converts a status. One without a front end's trailers comes from gRPC or a proxy and says nothing about the inference. */
    private static AttemptOutcome toOutcome(Status status, Metadata trailers, boolean headersSent) {
        Metadata trailersOrEmpty = trailers == null ? new Metadata() : trailers;
        return toOutcome(status.getCode().name(), status.getDescription(), trailersOrEmpty::get, headersSent);
    }

    /**
     * Converts a status.
     *
     * @param details returns the metadata that a front end adds to the status, null for a key that is absent
     * @param headersSent whether the call's headers were written, so that the front end may have run it
     */
    private static AttemptOutcome toOutcome(String code, String description, Function<Metadata.Key<String>, String> details,
            boolean headersSent) {
        String detail = code + " " + description;
        String outcome = details.apply(OUTCOME);
        if (outcome != null) {
            AttemptOutcome.Kind kind = outcome.equals("shed") ? AttemptOutcome.Kind.SHED : AttemptOutcome.Kind.FAILED;
            String pushback = details.apply(PUSHBACK);
            return new AttemptOutcome(kind, pushback != null && pushback.matches("\\d{1,8}") ? Long.parseLong(pushback) : 0,
                    Boolean.parseBoolean(details.apply(REPEAT_HARMLESS)),
                    kind == AttemptOutcome.Kind.SHED && Boolean.parseBoolean(details.apply(STOPPING)), null, detail);
        }
        return switch (String.valueOf(code)) {
            case "INVALID_ARGUMENT", "UNAUTHENTICATED", "NOT_FOUND", "ALREADY_EXISTS", "RESOURCE_EXHAUSTED", "UNIMPLEMENTED" ->
                AttemptOutcome.notReturned(AttemptOutcome.Kind.REFUSED, detail);
            default -> AttemptOutcome.notReturned(headersSent ? AttemptOutcome.Kind.LOST : AttemptOutcome.Kind.NEVER_SENT, detail);
        };
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }
}
