package gradereach.grpcfront;

import gradereach.counts.Counts;
import gradereach.desk.IncomingMessage;
import gradereach.desk.ModelCatalog;
import gradereach.desk.InferenceInput;
import gradereach.intake.Intake;
import gradereach.intake.WaitingClient;
import gradereach.message.InvalidMessageException;
import gradereach.message.FinalAnswer;
import gradereach.webhook.CallSignature;
import gradereach.oip.AnswerBodyReader;
import gradereach.protocol.inference.GRPCInferenceServiceGrpc;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelMetadataRequest;
import gradereach.protocol.inference.ModelMetadataResponse;
import gradereach.protocol.inference.ModelReadyRequest;
import gradereach.protocol.inference.ModelReadyResponse;
import gradereach.protocol.inference.ModelStreamInferResponse;
import gradereach.protocol.inference.ServerLiveRequest;
import gradereach.protocol.inference.ServerLiveResponse;
import gradereach.protocol.inference.ServerMetadataRequest;
import gradereach.protocol.inference.ServerMetadataResponse;
import gradereach.protocol.inference.ServerReadyRequest;
import gradereach.protocol.inference.ServerReadyResponse;
import gradereach.webhook.KeyRing;
import gradereach.webhook.SignatureRejection;
import io.grpc.Context;
import io.grpc.Deadline;
import io.grpc.Metadata;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Implements {@code inference.GRPCInferenceService}: converts each request to an {@link IncomingMessage} and its final answer to
 * a response message or a status.
 */
final class GrpcInferenceService extends GRPCInferenceServiceGrpc.GRPCInferenceServiceImplBase {
    private static final Metadata.Key<String> ID = asciiKey(CallSignature.ID);
    private static final Metadata.Key<String> TIMESTAMP = asciiKey(CallSignature.TIMESTAMP);
    private static final Metadata.Key<String> SIGNATURE = asciiKey(CallSignature.SIGNATURE);
    static final String UNARY_METHOD = GRPCInferenceServiceGrpc.getModelInferMethod().getFullMethodName();
    static final String STREAMING_METHOD = GRPCInferenceServiceGrpc.getModelStreamInferMethod().getFullMethodName();

    private final Intake intake;
    private final EventLoopGroup eventLoops;
    private final BooleanSupplier ready;
    private final Counts.Limit callLimit;
    final Counts.Limit queuedStreamBytes;
    final Counts.Limit stalledReaders;
    final long stalledReaderTimeoutMillis;
    private final Set<StreamingCall> openStreams = ConcurrentHashMap.newKeySet();

    GrpcInferenceService(Intake intake, EventLoopGroup loops, BooleanSupplier ready, GrpcServer.Limits bounds, Counts counts) {
        this.intake = intake;
        this.eventLoops = loops;
        this.ready = ready;
        stalledReaderTimeoutMillis = bounds.stalledReaderTimeoutMillis();
        callLimit = counts.limit("grpc_calls", bounds.maxCalls());
        queuedStreamBytes = counts.limit("grpc_stream_bytes_waiting", bounds.maxQueuedBytes());
        stalledReaders = counts.limit("grpc_readers_that_stopped", Long.MAX_VALUE);
    }

    private static Metadata.Key<String> asciiKey(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    // ---- calls answered without an executor ------------------------------------------------------------------

    private static <T> void respond(StreamObserver<T> to, T what) {
        to.onNext(what);
        to.onCompleted();
    }

    @Override
    public void serverLive(ServerLiveRequest request, StreamObserver<ServerLiveResponse> to) {
        respond(to, ServerLiveResponse.newBuilder().setLive(true).build());
    }

    @Override
    public void serverReady(ServerReadyRequest request, StreamObserver<ServerReadyResponse> to) {
        respond(to, ServerReadyResponse.newBuilder().setReady(ready.getAsBoolean()).build());
    }

    /** Models are loaded on demand, so every model of the deployment counts as ready. */
    @Override
    public void modelReady(ModelReadyRequest request, StreamObserver<ModelReadyResponse> to) {
        respond(to, ModelReadyResponse.newBuilder().setReady(ready.getAsBoolean() && intake.findModel(request.getName()) != null)
                .build());
    }

    @Override
    public void serverMetadata(ServerMetadataRequest request, StreamObserver<ServerMetadataResponse> to) {
        String version = GrpcInferenceService.class.getPackage().getImplementationVersion();
        respond(to, ServerMetadataResponse.newBuilder().setName("gradereach").setVersion(version == null ? "" : version).build());
    }

    @Override
    public void modelMetadata(ModelMetadataRequest request, StreamObserver<ModelMetadataResponse> to) {
        ModelCatalog.Entry model = intake.findModel(request.getName());
        if (model == null) {
            to.onError(GrpcStatuses.rejection(404, "unknown-model", "not in this deployment").asRuntimeException());
            return;
        }
        respond(to, ModelMetadataResponse.newBuilder().setName(model.name()).setPlatform("gradereach").build());
    }

    // ---- inferences ------------------------------------------------------------------------------------------

    /** Thrown for a request that is no valid inference. */
    static final class CallRejectedException extends Exception {
        private static final long serialVersionUID = 1L;
        final int httpStatus;
        final String errorCode;

        CallRejectedException(int status, String word, String why) {
            super(why, null, false, false);
            this.httpStatus = status;
            this.errorCode = word;
        }
    }

    /** Fields of a request that authenticate it. */
    record SignatureFields(String id, String timestamp, String signature) { }

    /**
     * Authenticates and validates a request.
     *
     * @param bare the request without the parameters that carry its signature
     * @param budgetMillis time until the deadline of the call, 0 for none
     */
    IncomingMessage toIncomingMessage(GrpcConnection caller, String method, SignatureFields by, ModelInferRequest bare, double budget, WaitingClient waiter)
            throws CallRejectedException {
        if (bare == LenientRequestParsing.MALFORMED_REQUEST) {
            throw new CallRejectedException(400, "bad-message", "no message of this method");
        }
        double arrivedAt = intake.earliestArrival().getAsDouble();
        byte[] digest = CallSignature.digest(bare);
        if (caller.hasTooManyBadSignatures()) {
            throw new CallRejectedException(401, "not-signed", "too many bad signatures on this connection");
        }
        KeyRing.VerificationResult verdict = intake.authenticate(by.id, by.timestamp, by.signature, CallSignature.signedContent(method, digest),
                caller.likelyCustomer());
        if (verdict.rejection() != null) {
            boolean forged = verdict.rejection() == SignatureRejection.NOT_SIGNED;
            if (forged) {
                caller.forged();
            }
            throw new CallRejectedException(forged ? 401 : 400, verdict.rejection().name().toLowerCase().replace('_', '-'),
                    verdict.rejection().detail);
        }
        caller.setLikelyCustomer(verdict.customer());
        ModelCatalog.Entry model = intake.findModel(bare.getModelName());
        if (model == null) {
            throw new CallRejectedException(404, "unknown-model", "model_name: not in this deployment");
        }
        InferenceInput input;
        try {
            input = intake.toInput(bare);
        } catch (InvalidMessageException e) {
            throw new CallRejectedException(400, "bad-message", e.getMessage());
        }
        return new IncomingMessage(verdict.customer(), by.id, Intake.longAt(digest, 0), Intake.longAt(digest, 8), model, input,
                shorterBudget(budget, budgetParameter(bare)),
                arrivedAt, Long.parseLong(by.timestamp), null, waiter);
    }

    private static double shorterBudget(double one, double other) {
        return one <= 0 ? other : other <= 0 ? one : Math.min(one, other);
    }

    /** Returns the budget of a single inference, which may be shorter than the deadline of its call; 0 for none. */
    private static double budgetParameter(ModelInferRequest bare) throws CallRejectedException {
        InferParameter told = bare.getParametersMap().get(BUDGET_PARAMETER);
        if (told == null) {
            return 0;
        }
        double budget = told.hasDoubleParam() ? told.getDoubleParam() : told.getInt64Param();
        if (!(budget > 0 && budget < Double.MAX_VALUE)) {
            throw new CallRejectedException(400, "bad-message", "parameters." + BUDGET_PARAMETER + ": no number above 0");
        }
        return budget;
    }

    /** Request parameter for the milliseconds that a client waits for one inference, like {@code data.budget_ms} of a webhook. */
    private static final String BUDGET_PARAMETER = "gradereach-budget-ms";

    private static double remainingBudget(Deadline deadline) {
        return deadline == null ? 0 : Math.max(1, deadline.timeRemaining(TimeUnit.MICROSECONDS) / 1000d);
    }

    @Override
    public void modelInfer(ModelInferRequest request, StreamObserver<ModelInferResponse> observer) {
        ServerCallStreamObserver<ModelInferResponse> to = (ServerCallStreamObserver<ModelInferResponse>) observer;
        if (!callLimit.tryAcquire(1)) {
            to.onError(GrpcStatuses.rejection(429, "too-many-calls", "this front end has as many calls open as it may")
                    .asRuntimeException());
            return;
        }
        UnaryCall call = new UnaryCall(to);
        to.setOnCancelHandler(() -> {
            call.closeOnce();
            call.cancel();
        });
        Metadata headers = GrpcConnection.HEADERS.get();
        try {
            SignatureFields by = new SignatureFields(headers.get(ID), headers.get(TIMESTAMP), headers.get(SIGNATURE));
            call.id = by.id;
            intake.admit(toIncomingMessage(GrpcConnection.CURRENT_CONNECTION.get(), UNARY_METHOD, by, CallSignature.withoutSignature(request),
                    remainingBudget(Context.current().getDeadline()), call), call);
        } catch (CallRejectedException e) {
            call.onRejected(e.httpStatus, e.errorCode, e.getMessage());
        }
    }

    /**
     * Returns the event loop of the connection that the current call was read from, so that its answers are written without a
     * change of thread. Calls start on it because the server uses a direct executor.
     */
    private EventLoop connectionEventLoop() {
        for (EventExecutor loop : eventLoops) {
            if (loop.inEventLoop()) {
                return (EventLoop) loop;
            }
        }
        return eventLoops.next();
    }

    private final class UnaryCall extends WaitingClient {
        private final ServerCallStreamObserver<ModelInferResponse> responseObserver;
        private final EventLoop eventLoop = connectionEventLoop();
        private final java.util.concurrent.atomic.AtomicBoolean open = new java.util.concurrent.atomic.AtomicBoolean(true);
        private String id;

        UnaryCall(ServerCallStreamObserver<ModelInferResponse> to) {
            super(intake);
            this.responseObserver = to;
        }

        boolean closeOnce() {
            boolean was = open.getAndSet(false);
            if (was) {
                callLimit.release(1);
            }
            return was;
        }

        @Override
        public void onFinalAnswer(FinalAnswer answer) {
            double decidedAt = intake.now();
            eventLoop.execute(() -> {
                if (!closeOnce()) {
                    return; // the client has cancelled the call
                }
                writeAnswer(answer);
                // The library flushes in a task that is queued on this event loop before this one.
                eventLoop.execute(() -> intake.recordAnswerWritten(decidedAt));
            });
        }

        private void writeAnswer(FinalAnswer answer) {
            if (answer.kind() != FinalAnswer.Kind.RETURNED) {
                responseObserver.onError(GrpcStatuses.toException(answer, intake.stopping()));
                return;
            }
            try {
                responseObserver.onNext(AnswerBodyReader.response(answer.body(), id));
                responseObserver.onCompleted();
            } catch (IOException e) {
                responseObserver.onError(unconvertibleAnswer(e));
            }
        }

        @Override
        public void onRejected(int status, String word, String why) {
            intake.countRefusal(word);
            eventLoop.execute(() -> {
                if (closeOnce()) {
                    responseObserver.onError(GrpcStatuses.rejection(status, word, why).asRuntimeException());
                }
            });
        }
    }

    /** Returns the status for an inference that ran but whose output is no inference response of the protocol. */
    static StatusRuntimeException unconvertibleAnswer(IOException why) {
        return Status.UNKNOWN.withDescription("the executor's answer is no inference response: " + why.getMessage())
                .asRuntimeException();
    }

    @Override
    public StreamObserver<ModelInferRequest> modelStreamInfer(StreamObserver<ModelStreamInferResponse> observer) {
        ServerCallStreamObserver<ModelStreamInferResponse> to = (ServerCallStreamObserver<ModelStreamInferResponse>) observer;
        if (!callLimit.tryAcquire(1)) {
            to.onError(GrpcStatuses.rejection(429, "too-many-calls", "this front end has as many calls open as it may")
                    .asRuntimeException());
            return new DiscardingObserver();
        }
        StreamingCall call = new StreamingCall(this, intake, connectionEventLoop(), GrpcConnection.CURRENT_CONNECTION.get(),
                Context.current().getDeadline(), GrpcConnection.RESET_STREAM.get(), to);
        openStreams.add(call);
        call.start(() -> {
            openStreams.remove(call);
            callLimit.release(1);
        });
        return call;
    }

    /** Discards the messages of a call that was rejected. */
    private static final class DiscardingObserver implements StreamObserver<ModelInferRequest> {
        @Override
        public void onNext(ModelInferRequest request) { }

        @Override
        public void onError(Throwable why) { }

        @Override
        public void onCompleted() { }
    }

    /** Stops all streaming calls from accepting requests; each ends with its last answer. */
    void drainStreams() {
        openStreams.forEach(StreamingCall::drain);
    }

    static double remainingMillis(Deadline deadline) {
        return remainingBudget(deadline);
    }
}
