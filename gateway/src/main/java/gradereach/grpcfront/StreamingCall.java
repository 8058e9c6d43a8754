package gradereach.grpcfront;

import gradereach.desk.IncomingMessage;
import gradereach.flow.AnswerStream;
import gradereach.grpcfront.GrpcInferenceService.CallRejectedException;
import gradereach.grpcfront.GrpcInferenceService.SignatureFields;
import gradereach.intake.Intake;
import gradereach.intake.WaitingClient;
import gradereach.message.FinalAnswer;
import gradereach.oip.AnswerBodyReader;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelStreamInferResponse;
import gradereach.webhook.CallSignature;
import io.grpc.Deadline;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One streaming call: carries many inferences, each signed individually, and answers them by id in the order in which they
 * end. The number of open inferences is limited: the next request is read only when an answer has been written, so a slow
 * reader delays only itself. A call whose client stops reading is reset after a timeout.
 *
 * <p>Methods are called on the event loop of the connection, on those of the connections to executors and on the decision thread.
 * All state is guarded by the monitor of this object, and nothing blocks while holding it.
 */
final class StreamingCall implements StreamObserver<ModelInferRequest> {
    /** Open inferences of one call; equals the default number of streams on a connection to an executor. */
    private static final int MAX_OPEN_INFERENCES = 100;
    /** Response parameter that holds the number of a part, from 1. */
    static final String PART_NUMBER_PARAMETER = "gradereach-part";
    /** Response parameter that marks the message that ends a streamed answer. */
    static final String FINAL_PARAMETER = "gradereach-final";
    /** Response parameter that holds the number of parts sent, beside {@link #FINAL_PARAMETER} or an error. */
    static final String PART_COUNT_PARAMETER = "gradereach-parts";

    private final GrpcInferenceService service;
    private final Intake intake;
    private final EventLoop eventLoop;
    private final GrpcConnection connection;
    private final Deadline deadline;
    private final Runnable resetStream;
    private final ServerCallStreamObserver<ModelStreamInferResponse> responseObserver;
    private final Set<StreamedInference> openInferences = new HashSet<>();
    private final ArrayDeque<QueuedResponse> queuedResponses = new ArrayDeque<>();
    /** Inferences with a streamed answer, in round-robin order: the head is the next to supply a part. */
    private final ArrayDeque<StreamedInference> streamingInferences = new ArrayDeque<>();
    /** A response to be written; {@code endsInference} if it is the last one of its inference. */
    private record QueuedResponse(ModelStreamInferResponse response, boolean endsInference) { }

    private long queuedBytes;
    private double stalledSince = Double.NaN;
    private boolean halfClosed;
    private boolean closed;
    private Runnable onClosed;

    StreamingCall(GrpcInferenceService service, Intake intake, EventLoop eventLoop, GrpcConnection connection, Deadline deadline,
            Runnable resetStream, ServerCallStreamObserver<ModelStreamInferResponse> responseObserver) {
        this.service = service;
        this.intake = intake;
        this.eventLoop = eventLoop;
        this.connection = connection;
        this.deadline = deadline;
        this.resetStream = resetStream;
        this.responseObserver = responseObserver;
    }

    /** @param onClosed called once when the call ends, holding its monitor */
    void start(Runnable onClosed) {
        this.onClosed = onClosed;
        responseObserver.disableAutoRequest();
        responseObserver.setOnCancelHandler(this::cancelInferences);
        responseObserver.setOnReadyHandler(this::flush);
        responseObserver.request(MAX_OPEN_INFERENCES);
        if (intake.isStopping()) {
            drain();
        }
    }

    @Override
    public void onNext(ModelInferRequest request) {
        StreamedInference inference = new StreamedInference(request.getId());
        synchronized (this) {
            if (closed) {
                return;
            }
            openInferences.add(inference);
        }
        try {
            String id = stringParameter(request, CallSignature.ID);
            SignatureFields signature = new SignatureFields(id == null ? request.getId() : id,
                    stringParameter(request, CallSignature.TIMESTAMP), stringParameter(request, CallSignature.SIGNATURE));
            IncomingMessage incoming = service.toIncomingMessage(connection, GrpcInferenceService.STREAMING_METHOD, signature,
                    CallSignature.withoutSignature(request),
                    deadline == null ? 0 : GrpcInferenceService.remainingMillis(deadline), inference);
            intake.admit(incoming, inference);
        } catch (CallRejectedException e) {
            inference.onRejected(e.httpStatus, e.errorCode, e.getMessage());
        }
    }

    private static String stringParameter(ModelInferRequest request, String name) {
        InferParameter parameter = request.getParametersMap().get(name);
        return parameter == null || !parameter.hasStringParam() ? null : parameter.getStringParam();
    }

    @Override
    public synchronized void onCompleted() {
        halfClosed = true;
        completeIfDone();
    }

    /** Shuts the call down gracefully: open inferences are answered, then the call is completed. */
    synchronized void drain() {
        halfClosed = true;
        completeIfDone();
    }

    /** The request stream failed; the cancellation handler is called as well. */
    @Override
    public void onError(Throwable cause) {
        cancelInferences();
    }

    /** The call was cancelled or its deadline passed: nothing more can be sent, so all open inferences are cancelled. */
    private void cancelInferences() {
        Set<StreamedInference> open;
        synchronized (this) {
            if (closed) {
                return;
            }
            open = close();
        }
        open.forEach(WaitingClient::onDisconnected);
    }

    /** Closes the call and returns the inferences that were open. */
    private Set<StreamedInference> close() {
        closed = true;
        Set<StreamedInference> open = Set.copyOf(openInferences);
        openInferences.clear();
        queuedResponses.clear();
        streamingInferences.clear();
        service.queuedStreamBytes.release(queuedBytes);
        queuedBytes = 0;
        onClosed.run();
        return open;
    }

    private void completeIfDone() {
        if (!closed && halfClosed && openInferences.isEmpty() && queuedResponses.isEmpty()) {
            close();
            responseObserver.onCompleted();
        }
    }

    /** Queues the last response of an inference. */
    private void endInference(StreamedInference inference, ModelStreamInferResponse response) {
        synchronized (this) {
            if (!closed && openInferences.remove(inference) && enqueue(response, true)) {
                flush();
            }
        }
    }

    /** Queues a response of an inference that is not its last. */
    private synchronized void sendPart(StreamedInference inference, ModelStreamInferResponse response) {
        if (!closed && openInferences.contains(inference)) {
            enqueue(response, false);
        }
    }

    /** Queues a response and returns true, or resets the call where too many bytes are queued. */
    private boolean enqueue(ModelStreamInferResponse response, boolean endsInference) {
        int size = response.getSerializedSize();
        if (!service.queuedStreamBytes.tryAcquire(size)) {
            resetStalledStream();
            return false;
        }
        queuedBytes += size;
        queuedResponses.add(new QueuedResponse(response, endsInference));
        return true;
    }

    /** Writes responses while the transport is ready; each inference that ends lets one more request be read. */
    private synchronized void flush() {
        while (!closed && responseObserver.isReady()) {
            ModelStreamInferResponse next = nextResponse();
            if (next == null) {
                break;
            }
            responseObserver.onNext(next);
            stalledSince = Double.NaN;
        }
        if (!closed && Double.isNaN(stalledSince) && !responseObserver.isReady() && hasQueuedResponse()) {
            stalledSince = intake.now();
            eventLoop.schedule(this::checkStalledReader, service.stalledReaderTimeoutMillis, TimeUnit.MILLISECONDS);
        }
        completeIfDone();
    }

    private boolean hasQueuedResponse() {
        return !queuedResponses.isEmpty() || streamingInferences.stream()
                .anyMatch(inference -> inference.answerStream.hasBufferedParts());
    }

    /** Returns the next response to write: queued ones first, then parts of the streamed answers, round-robin. */
    private ModelStreamInferResponse nextResponse() {
        QueuedResponse queued = queuedResponses.poll();
        if (queued != null) {
            int size = queued.response.getSerializedSize();
            queuedBytes -= size;
            service.queuedStreamBytes.release(size);
            if (queued.endsInference) {
                responseObserver.request(1);
            }
            return queued.response;
        }
        for (int remaining = streamingInferences.size(); remaining > 0; remaining--) {
            StreamedInference inference = streamingInferences.poll();
            ModelStreamInferResponse part = (ModelStreamInferResponse) inference.answerStream.poll();
            if (part != null) {
                streamingInferences.add(inference);
                return inference.withPartNumber(part);
            }
            if (!inference.answerStream.isFinished()) {
                streamingInferences.add(inference);
            } else if (inference.pendingEnd != null) {
                inference.pendingEnd.run();
                return nextResponse();
            } // otherwise its final answer is not decided yet and is sent once it is
        }
        return null;
    }

    private synchronized void checkStalledReader() {
        if (closed || Double.isNaN(stalledSince)) {
            return;
        }
        double remainingMillis = stalledSince + service.stalledReaderTimeoutMillis - intake.now();
        if (remainingMillis > 0) {
            eventLoop.schedule(this::checkStalledReader, (long) Math.ceil(remainingMillis), TimeUnit.MILLISECONDS);
        } else {
            resetStalledStream();
        }
    }

    /**
     * Resets the call of a client that does not read. Its inferences continue if other clients wait for them, and what has run
     * stays recorded for repeats.
     */
    private void resetStalledStream() {
        service.stalledReaders.recordRejection();
        Set<StreamedInference> open = close();
        resetStream.run();
        open.forEach(WaitingClient::onDisconnected);
    }

    /** One inference of the call. */
    private final class StreamedInference extends WaitingClient {
        private final String id;
        /** Null for an answer that is not streamed. This field and the following ones are guarded by the call. */
        private AnswerStream<?> answerStream;
        private long partCount;
        /** Sends the final answer; set while parts are still queued before it. */
        private Runnable pendingEnd;

        StreamedInference(String id) {
            super(intake);
            this.id = id;
        }

        @Override
        public boolean acceptsStreaming() {
            return true;
        }

        @Override
        public void onStreamStarted(AnswerStream<?> stream) {
            eventLoop.execute(() -> {
                synchronized (StreamingCall.this) {
                    if (closed) {
                        return; // the call is over, and the coordinator ends the answer stream
                    }
                    answerStream = stream;
                    streamingInferences.add(this);
                }
                stream.subscribe(StreamingCall.this::flush);
            });
        }

        private ModelStreamInferResponse withPartNumber(ModelStreamInferResponse part) {
            ModelInferResponse.Builder response = part.getInferResponse().toBuilder().setId(id);
            return ModelStreamInferResponse.newBuilder()
                    .setInferResponse(response.putParameters(PART_NUMBER_PARAMETER, intParameter(++partCount))).build();
        }

        @Override
        public void onFinalAnswer(FinalAnswer answer) {
            double decidedAt = intake.now();
            eventLoop.execute(() -> {
                synchronized (StreamingCall.this) {
                    if (answerStream != null && !answerStream.isFinished()) {
                        pendingEnd = () -> sendAnswer(answer);
                        return;
                    }
                    sendAnswer(answer);
                }
                recordWrittenAfterFlush(decidedAt);
            });
        }

        /** Records the answer as written. grpc-java flushes in a task that is queued on the event loop before this one. */
        private void recordWrittenAfterFlush(double decidedAt) {
            eventLoop.execute(() -> intake.recordAnswerWritten(decidedAt));
        }

        private void sendAnswer(FinalAnswer answer) {
            if (answer.kind() != FinalAnswer.Kind.RETURNED) {
                sendError(GrpcStatuses.toException(answer, intake.isStopping()));
                return;
            }
            try {
                if (answerStream == null && !AnswerBodyReader.isStreamed(answer.body())) {
                    endInference(this, ModelStreamInferResponse.newBuilder()
                            .setInferResponse(AnswerBodyReader.response(answer.body(), id)).build());
                    return;
                }
                if (answerStream == null) {
                    // A recorded answer to a repeated message: sends the same parts again.
                    for (ModelInferResponse part : AnswerBodyReader.responseParts(answer.body(), id)) {
                        sendPart(this, withPartNumber(ModelStreamInferResponse.newBuilder().setInferResponse(part).build()));
                    }
                }
                endInference(this, ModelStreamInferResponse.newBuilder().setInferResponse(ModelInferResponse.newBuilder().setId(id)
                        .putParameters(FINAL_PARAMETER, InferParameter.newBuilder().setBoolParam(true).build())
                        .putParameters(PART_COUNT_PARAMETER, intParameter(partCount))).build());
            } catch (IOException e) {
                sendError(GrpcInferenceService.unconvertibleAnswer(e));
            }
        }

        private static InferParameter intParameter(long value) {
            return InferParameter.newBuilder().setInt64Param(value).build();
        }

        @Override
        public void onRejected(int httpStatus, String errorCode, String detail) {
            intake.countRejectedMessage(errorCode);
            sendError(GrpcStatuses.rejection(httpStatus, errorCode, detail).asRuntimeException());
        }

        /**
         * Ends the inference with an error. The protocol's error message is plain text, so code, outcome and retry delay, which
         * are trailers of unary calls, are sent as parameters.
         */
        private void sendError(StatusRuntimeException error) {
            ModelInferResponse.Builder response = ModelInferResponse.newBuilder().setId(id);
            if (partCount > 0) {
                response.putParameters(PART_COUNT_PARAMETER, intParameter(partCount)); // number of parts sent before the error
            }
            putStringParameter(response, "grpc-status", error.getStatus().getCode().name());
            if (error.getTrailers() != null) {
                putStringParameter(response, GrpcStatuses.OUTCOME.name(), error.getTrailers().get(GrpcStatuses.OUTCOME));
                putStringParameter(response, GrpcStatuses.REPEAT_HARMLESS.name(), error.getTrailers().get(GrpcStatuses.REPEAT_HARMLESS));
                putStringParameter(response, GrpcStatuses.PUSHBACK.name(), error.getTrailers().get(GrpcStatuses.PUSHBACK));
                putStringParameter(response, GrpcStatuses.STOPPING.name(), error.getTrailers().get(GrpcStatuses.STOPPING));
            }
            endInference(this, ModelStreamInferResponse.newBuilder().setErrorMessage(String.valueOf(error.getStatus().getDescription()))
                    .setInferResponse(response).build());
        }

        private static void putStringParameter(ModelInferResponse.Builder response, String name, String value) {
            if (value != null) {
                response.putParameters(name, InferParameter.newBuilder().setStringParam(value).build());
            }
        }
    }
}
