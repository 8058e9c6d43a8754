package gradereach.grpcfront;

import gradereach.counts.Counts;
import gradereach.desk.IncomingMessage;
import gradereach.desk.InferenceInput;
import gradereach.desk.ModelCatalog;
import gradereach.intake.Intake;
import gradereach.intake.WaitingClient;
import gradereach.message.FinalAnswer;
import gradereach.message.InvalidMessageException;
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
import gradereach.webhook.CallSignature;
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

    GrpcInferenceService(Intake intake, EventLoopGroup eventLoops, BooleanSupplier ready, GrpcServer.Limits limits, Counts counts) {
        this.intake = intake;
        this.eventLoops = eventLoops;
        this.ready = ready;
        stalledReaderTimeoutMillis = limits.stalledReaderTimeoutMillis();
        callLimit = counts.limit("grpc_calls", limits.maxCalls());
        queuedStreamBytes = counts.limit("grpc_stream_bytes_waiting", limits.maxQueuedBytes());
        stalledReaders = counts.limit("grpc_readers_that_stopped", Long.MAX_VALUE);
    }

    private static Metadata.Key<String> asciiKey(String name) {
        return Metadata.Key.of(name, Metadata.ASCII_STRING_MARSHALLER);
    }

    // ---- calls answered without an executor ------------------------------------------------------------------

    private static <T> void respond(StreamObserver<T> observer, T response) {
        observer.onNext(response);
        observer.onCompleted();
    }

    @Override
    public void serverLive(ServerLiveRequest request, StreamObserver<ServerLiveResponse> observer) {
        respond(observer, ServerLiveResponse.newBuilder().setLive(true).build());
    }

    @Override
    public void serverReady(ServerReadyRequest request, StreamObserver<ServerReadyResponse> observer) {
        respond(observer, ServerReadyResponse.newBuilder().setReady(ready.getAsBoolean()).build());
    }

    /** Models are loaded on demand, so every model of the deployment counts as ready. */
    @Override
    public void modelReady(ModelReadyRequest request, StreamObserver<ModelReadyResponse> observer) {
        respond(observer, ModelReadyResponse.newBuilder().setReady(ready.getAsBoolean() && intake.findModel(request.getName()) != null)
                .build());
    }

    @Override
    public void serverMetadata(ServerMetadataRequest request, StreamObserver<ServerMetadataResponse> observer) {
        String version = GrpcInferenceService.class.getPackage().getImplementationVersion();
        respond(observer, ServerMetadataResponse.newBuilder().setName("gradereach").setVersion(version == null ? "" : version).build());
    }

    @Override
    public void modelMetadata(ModelMetadataRequest request, StreamObserver<ModelMetadataResponse> observer) {
        ModelCatalog.Entry model = intake.findModel(request.getName());
        if (model == null) {
            observer.onError(GrpcStatuses.rejection(404, "unknown-model", "not in this deployment").asRuntimeException());
            return;
        }
        respond(observer, ModelMetadataResponse.newBuilder().setName(model.name()).setPlatform("gradereach").build());
    }

    // ---- inferences ------------------------------------------------------------------------------------------

    /** Thrown for a request that is not a valid inference. */
    static final class CallRejectedException extends Exception {
        private static final long serialVersionUID = 1L;
        final int httpStatus;
        final String errorCode;

        CallRejectedException(int httpStatus, String errorCode, String detail) {
            super(detail, null, false, false);
            this.httpStatus = httpStatus;
            this.errorCode = errorCode;
        }
    }

    /** Fields of a request that authenticate it. */
    record SignatureFields(String id, String timestamp, String signature) { }

    /**
     * Authenticates and validates a request.
     *
     * @param unsignedRequest the request without the parameters that carry its signature
     * @param budgetMillis time until the deadline of the call, 0 for none
     */
    IncomingMessage toIncomingMessage(GrpcConnection connection, String method, SignatureFields signature,
            ModelInferRequest unsignedRequest, double budgetMillis, WaitingClient client) throws CallRejectedException {
        if (unsignedRequest == LenientRequestParsing.MALFORMED_REQUEST) {
            throw new CallRejectedException(400, "bad-message", "no message of this method");
        }
        double arrivedAt = intake.earliestArrival().getAsDouble();
        byte[] digest = CallSignature.digest(unsignedRequest);
        if (connection.hasTooManyBadSignatures()) {
            throw new CallRejectedException(401, "not-signed", "too many bad signatures on this connection");
        }
        KeyRing.VerificationResult verification = intake.authenticate(signature.id, signature.timestamp, signature.signature,
                CallSignature.signedContent(method, digest), connection.likelyCustomer());
        if (verification.rejection() != null) {
            boolean badSignature = verification.rejection() == SignatureRejection.NOT_SIGNED;
            if (badSignature) {
                connection.recordBadSignature();
            }
            throw new CallRejectedException(badSignature ? 401 : 400, verification.rejection().name().toLowerCase().replace('_', '-'),
                    verification.rejection().detail);
        }
        connection.setLikelyCustomer(verification.customer());
        ModelCatalog.Entry model = intake.findModel(unsignedRequest.getModelName());
        if (model == null) {
            throw new CallRejectedException(404, "unknown-model", "model_name: not in this deployment");
        }
        InferenceInput input;
        try {
            input = intake.toInput(unsignedRequest);
        } catch (InvalidMessageException e) {
            throw new CallRejectedException(400, "bad-message", e.getMessage());
        }
        return new IncomingMessage(verification.customer(), signature.id, Intake.longAt(digest, 0), Intake.longAt(digest, 8), model, input,
                shorterBudget(budgetMillis, budgetParameter(unsignedRequest)), arrivedAt, Long.parseLong(signature.timestamp),
                null, client);
    }

    /** Returns the shorter of two budgets, where 0 means none. */
    private static double shorterBudget(double budgetMillis, double otherBudgetMillis) {
        return budgetMillis <= 0 ? otherBudgetMillis : otherBudgetMillis <= 0 ? budgetMillis
                : Math.min(budgetMillis, otherBudgetMillis);
    }

    /** Returns the budget of a single inference, which may be shorter than the deadline of its call; 0 for none. */
    private static double budgetParameter(ModelInferRequest unsignedRequest) throws CallRejectedException {
        InferParameter parameter = unsignedRequest.getParametersMap().get(BUDGET_PARAMETER);
        if (parameter == null) {
            return 0;
        }
        double budgetMillis = parameter.hasDoubleParam() ? parameter.getDoubleParam() : parameter.getInt64Param();
        if (!(budgetMillis > 0 && budgetMillis < Double.MAX_VALUE)) {
            throw new CallRejectedException(400, "bad-message", "parameters." + BUDGET_PARAMETER + ": no number above 0");
        }
        return budgetMillis;
    }

    /** Request parameter for the milliseconds that a client waits for one inference, like {@code data.budget_ms} of a webhook. */
    private static final String BUDGET_PARAMETER = "gradereach-budget-ms";

    /** Returns the milliseconds until a deadline, at least 1; 0 for none. */
    private static double remainingBudget(Deadline deadline) {
        return deadline == null ? 0 : Math.max(1, deadline.timeRemaining(TimeUnit.MICROSECONDS) / 1000d);
    }

    @Override
    public void modelInfer(ModelInferRequest request, StreamObserver<ModelInferResponse> observer) {
        ServerCallStreamObserver<ModelInferResponse> responseObserver = (ServerCallStreamObserver<ModelInferResponse>) observer;
        if (!callLimit.tryAcquire(1)) {
            responseObserver.onError(GrpcStatuses.rejection(429, "too-many-calls", "this front end has as many calls open as it may")
                    .asRuntimeException());
            return;
        }
        UnaryCall call = new UnaryCall(responseObserver);
        responseObserver.setOnCancelHandler(() -> {
            call.closeOnce();
            call.onDisconnected();
        });
        Metadata headers = GrpcConnection.HEADERS.get();
        try {
            SignatureFields signature = new SignatureFields(headers.get(ID), headers.get(TIMESTAMP), headers.get(SIGNATURE));
            call.id = signature.id;
            intake.admit(toIncomingMessage(GrpcConnection.CURRENT_CONNECTION.get(), UNARY_METHOD, signature,
                    CallSignature.withoutSignature(request), remainingBudget(Context.current().getDeadline()), call), call);
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

    /** A client that waits for the answer to a unary call. */
    private final class UnaryCall extends WaitingClient {
        private final ServerCallStreamObserver<ModelInferResponse> responseObserver;
        private final EventLoop eventLoop = connectionEventLoop();
        private final java.util.concurrent.atomic.AtomicBoolean open = new java.util.concurrent.atomic.AtomicBoolean(true);
        private String id;

        UnaryCall(ServerCallStreamObserver<ModelInferResponse> responseObserver) {
            super(intake);
            this.responseObserver = responseObserver;
        }

        /** Closes the call and returns whether it was open. */
        boolean closeOnce() {
            boolean wasOpen = open.getAndSet(false);
            if (wasOpen) {
                callLimit.release(1);
            }
            return wasOpen;
        }

        @Override
        public void onFinalAnswer(FinalAnswer answer) {
            double decidedAt = intake.now();
            eventLoop.execute(() -> {
                if (!closeOnce()) {
                    return; // the client has cancelled the call
                }
                writeAnswer(answer);
                // grpc-java flushes in a task that is queued on this event loop before this one.
                eventLoop.execute(() -> intake.recordAnswerWritten(decidedAt));
            });
        }

        private void writeAnswer(FinalAnswer answer) {
            if (answer.kind() != FinalAnswer.Kind.RETURNED) {
                responseObserver.onError(GrpcStatuses.toException(answer, intake.isStopping()));
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
        public void onRejected(int httpStatus, String errorCode, String detail) {
            intake.countRejectedMessage(errorCode);
            eventLoop.execute(() -> {
                if (closeOnce()) {
                    responseObserver.onError(GrpcStatuses.rejection(httpStatus, errorCode, detail).asRuntimeException());
                }
            });
        }
    }

    /** Returns the status for an inference that ran but whose output is not an inference response of the protocol. */
    static StatusRuntimeException unconvertibleAnswer(IOException cause) {
        return Status.UNKNOWN.withDescription("the executor's answer is no inference response: " + cause.getMessage())
                .asRuntimeException();
    }

    @Override
    public StreamObserver<ModelInferRequest> modelStreamInfer(StreamObserver<ModelStreamInferResponse> observer) {
        ServerCallStreamObserver<ModelStreamInferResponse> responseObserver =
                (ServerCallStreamObserver<ModelStreamInferResponse>) observer;
        if (!callLimit.tryAcquire(1)) {
            responseObserver.onError(GrpcStatuses.rejection(429, "too-many-calls", "this front end has as many calls open as it may")
                    .asRuntimeException());
            return new DiscardingObserver();
        }
        StreamingCall call = new StreamingCall(this, intake, connectionEventLoop(), GrpcConnection.CURRENT_CONNECTION.get(),
                Context.current().getDeadline(), GrpcConnection.RESET_STREAM.get(), responseObserver);
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
        public void onError(Throwable cause) { }

        @Override
        public void onCompleted() { }
    }

    /** Stops all streaming calls from accepting requests; each ends with its last answer. */
    void drainStreams() {
        openStreams.forEach(StreamingCall::drain);
    }

    /** Returns the milliseconds until a deadline, at least 1; 0 for none. */
    static double remainingMillis(Deadline deadline) {
        return remainingBudget(deadline);
    }
}
