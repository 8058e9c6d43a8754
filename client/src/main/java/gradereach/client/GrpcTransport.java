package gradereach.client;

import gradereach.webhook.CallSignature;
import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelStreamInferResponse;
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
 * Unary calls of the Open Inference Protocol's gRPC service, signed in metadata, and streamed calls of one inference, signed in
 * the message; the library repeats nothing itself but what a server proves not to have processed.
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

    /** @param connects makes the channel to an address */
    GrpcTransport(WebhookKey signer, Function<String, ManagedChannel> connects) {
        this.signer = signer;
        this.channelFactory = connects;
    }

    private static Metadata.Key<String> key(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    /** Without a policy the library repeats a call by itself only where the server proves not to have processed it. */
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
    public Attempt send(String address, Inference inference, double left, Consumer<AttemptOutcome> then) {
        ModelInferRequest request = (ModelInferRequest) inference.message();
        long at = System.currentTimeMillis() / 1000;
        Metadata headers = new Metadata();
        headers.put(key(CallSignature.ID), inference.id());
        headers.put(key(CallSignature.TIMESTAMP), Long.toString(at));
        headers.put(key(CallSignature.SIGNATURE), KeyRing.signatureHeader(List.of(signer), inference.id(), at,
                CallSignature.signedContent(UNARY_METHOD, CallSignature.digest(request))));
        HeadersSentTracer head = new HeadersSentTracer();
        ClientCall<ModelInferRequest, ModelInferResponse> call = channels.computeIfAbsent(address, channelFactory).newCall(
                GRPCInferenceServiceGrpc.getModelInferMethod(),
                CallOptions.DEFAULT.withStreamTracerFactory(head)
                        .withDeadlineAfter((long) (left * 1000), TimeUnit.MICROSECONDS));
        call.start(new ClientCall.Listener<>() {
            private ModelInferResponse answer;

            @Override
            public void onMessage(ModelInferResponse message) {
                answer = message;
            }

            @Override
            public void onClose(Status status, Metadata trailers) {
                then.accept(status.isOk() && answer != null ? AttemptOutcome.returned(answer) : toOutcome(status, trailers, head.headersSent));
            }
        }, headers);
        call.request(2);
        call.sendMessage(request);
        call.halfClose();
        return () -> call.cancel("its time is up", null);
    }

    @Override
    public Attempt stream(String address, Inference inference, double left, Consumer<Object> parts, Consumer<AttemptOutcome> then) {
        ModelInferRequest bare = ((ModelInferRequest) inference.message()).toBuilder().setId(inference.id()).build();
        long at = System.currentTimeMillis() / 1000;
        ModelInferRequest signed = bare.toBuilder().putParameters(CallSignature.TIMESTAMP, stringParameter(Long.toString(at)))
                .putParameters(CallSignature.SIGNATURE, stringParameter(KeyRing.signatureHeader(List.of(signer), inference.id(), at,
                        CallSignature.signedContent(STREAMING_METHOD, CallSignature.digest(bare))))).build();
        HeadersSentTracer head = new HeadersSentTracer();
        ClientCall<ModelInferRequest, ModelStreamInferResponse> call = channels.computeIfAbsent(address, channelFactory).newCall(
                GRPCInferenceServiceGrpc.getModelStreamInferMethod(),
                CallOptions.DEFAULT.withStreamTracerFactory(head)
                        .withDeadlineAfter((long) (left * 1000), TimeUnit.MICROSECONDS));
        call.start(new ClientCall.Listener<>() {
            private AttemptOutcome end;

            @Override
            public void onMessage(ModelStreamInferResponse message) {
                ModelInferResponse told = message.getInferResponse();
                if (!message.getErrorMessage().isEmpty()) {
                    end = toOutcome(parameter(told, "grpc-status"), message.getErrorMessage(), name -> parameter(told, name.name()), true);
                } else if (told.containsParameters(FINAL_PARAMETER)) {
                    end = AttemptOutcome.returned(told);
                } else {
                    parts.accept(told);
                    // One that came whole is its own end.
                    end = told.containsParameters(PART_PARAMETER) ? end : AttemptOutcome.returned(told);
                }
                call.request(1); // the next when this one has been dealt with: a slow client slows its own stream
            }

            @Override
            public void onClose(Status status, Metadata trailers) {
                then.accept(end != null ? end : status.isOk() ? AttemptOutcome.notReturned(AttemptOutcome.Kind.LOST, "the stream ended without an end")
                        : toOutcome(status, trailers, head.headersSent));
            }
        }, new Metadata());
        call.request(1);
        call.sendMessage(signed);
        call.halfClose();
        return () -> call.cancel("its time is up", null);
    }

    private static InferParameter stringParameter(String value) {
        return InferParameter.newBuilder().setStringParam(value).build();
    }

    private static String parameter(ModelInferResponse from, String name) {
        return from.containsParameters(name) ? from.getParametersOrThrow(name).getStringParam() : null;
    }

    /**
     * Whether the head of a call was written: the library says so of each stream. Without it nothing ran, whatever the
     * status, as where a front end's listener closed on a connection that was only begun.
     */
    private static final class HeadersSentTracer extends ClientStreamTracer.Factory {
        private volatile boolean headersSent;

        @Override
        public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
            headersSent = false; // whatever was written before is proven not to have been processed
            return new ClientStreamTracer() {
                @Override
                public void outboundHeaders() {
                    headersSent = true;
                }
            };
        }
    }

    /** Statuses without our trailers come from the library or from something between: what is no proof is none. */
    private static AttemptOutcome toOutcome(Status status, Metadata trailers, boolean leftUs) {
        Metadata told = trailers == null ? new Metadata() : trailers;
        return toOutcome(status.getCode().name(), status.getDescription(), told::get, leftUs);
    }

    /** @param told what the front end says beside the status, null for what it does not */
    private static AttemptOutcome toOutcome(String code, String sentence, Function<Metadata.Key<String>, String> told, boolean leftUs) {
        String why = code + " " + sentence;
        String outcome = told.apply(OUTCOME);
        if (outcome != null) {
            AttemptOutcome.Kind kind = outcome.equals("shed") ? AttemptOutcome.Kind.SHED : AttemptOutcome.Kind.FAILED;
            String pause = told.apply(PUSHBACK);
            return new AttemptOutcome(kind, pause != null && pause.matches("\\d{1,8}") ? Long.parseLong(pause) : 0,
                    Boolean.parseBoolean(told.apply(REPEAT_HARMLESS)),
                    kind == AttemptOutcome.Kind.SHED && Boolean.parseBoolean(told.apply(STOPPING)), null, why);
        }
        return switch (String.valueOf(code)) {
            case "INVALID_ARGUMENT", "UNAUTHENTICATED", "NOT_FOUND", "ALREADY_EXISTS", "RESOURCE_EXHAUSTED", "UNIMPLEMENTED" ->
                AttemptOutcome.notReturned(AttemptOutcome.Kind.REFUSED, why);
            default -> AttemptOutcome.notReturned(leftUs ? AttemptOutcome.Kind.LOST : AttemptOutcome.Kind.NEVER_SENT, why);
        };
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }
}
