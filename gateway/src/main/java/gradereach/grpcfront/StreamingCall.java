package gradereach.grpcfront;

import gradereach.desk.IncomingMessage;
import gradereach.grpcfront.GrpcInferenceService.CallRejectedException;
import gradereach.grpcfront.GrpcInferenceService.SignatureFields;
import gradereach.flow.AnswerStream;
import gradereach.intake.Intake;
import gradereach.intake.WaitingClient;
import gradereach.message.FinalAnswer;
import gradereach.webhook.CallSignature;
import gradereach.oip.AnswerBodyReader;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelStreamInferResponse;
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
 * reader delays only itself. A call whose reader stops reading is reset after a timeout.
 *
 * Methods are called by the event loop of the connection, the decision thread and the stall timer. All state is guarded by the
 * monitor of this object, and nothing blocks while holding it.
 */
final class StreamingCall implements StreamObserver<ModelInferRequest> {
    /** Open inferences of one call; equals the default number of streams on a connection to an executor. */
    private static final int MAX_OPEN_INFERENCES = 100;
    /** Response parameter that holds the number of a part, from 1. */
    static final String PART_NUMBER_PARAMETER = "gradereach-part";
    /** Response parameter that marks the message that ends a streamed answer. */
    static final String FINAL_PARAMETER = "gradereach-final";
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

    StreamingCall(GrpcInferenceService front, Intake intake, EventLoop loop, GrpcConnection caller, Deadline deadline,
            Runnable reset, ServerCallStreamObserver<ModelStreamInferResponse> to) {
        this.service = front;
        this.intake = intake;
        this.eventLoop = loop;
        this.connection = caller;
        this.deadline = deadline;
        this.resetStream = reset;
        this.responseObserver = to;
    }

    void start(Runnable over) {
        onClosed = over;
        responseObserver.disableAutoRequest();
        responseObserver.setOnCancelHandler(this::cancelInferences);
        responseObserver.setOnReadyHandler(this::flush);
        responseObserver.request(MAX_OPEN_INFERENCES);
        if (intake.stopping()) {
            drain();
        }
    }

    @Override
    public void onNext(ModelInferRequest request) {
        StreamedInference one = new StreamedInference(request.getId());
        synchronized (this) {
            if (closed) {
                return;
            }
            openInferences.add(one);
        }
        try {
            String id = stringParameter(request, CallSignature.ID);
            SignatureFields by = new SignatureFields(id == null ? request.getId() : id, stringParameter(request, CallSignature.TIMESTAMP),
                    stringParameter(request, CallSignature.SIGNATURE));
            IncomingMessage arrival = service.toIncomingMessage(connection, GrpcInferenceService.STREAMING_METHOD, by, CallSignature.withoutSignature(request),
                    deadline == null ? 0 : GrpcInferenceService.remainingMillis(deadline), one);
            intake.admit(arrival, one);
        } catch (CallRejectedException e) {
            one.onRejected(e.httpStatus, e.errorCode, e.getMessage());
        }
    }

    private static String stringParameter(ModelInferRequest request, String parameter) {
        InferParameter told = request.getParametersMap().get(parameter);
        return told == null || !told.hasStringParam() ? null : told.getStringParam();
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
    public void onError(Throwable why) {
        cancelInferences();
    }

    /** The call was cancelled or its deadline passed: nothing more can be sent, so all open inferences are cancelled. */
    private void cancelInferences() {
        Set<StreamedInference> left;
        synchronized (this) {
            if (closed) {
                return;
            }
            left = close();
        }
        left.forEach(WaitingClient::cancel);
    }

    private Set<StreamedInference> close() {
        closed = true;
        Set<StreamedInference> left = Set.copyOf(openInferences);
        openInferences.clear();
        queuedResponses.clear();
        streamingInferences.clear();
        service.queuedStreamBytes.release(queuedBytes);
        queuedBytes = 0;
        onClosed.run();
        return left;
    }

    private void completeIfDone() {
        if (!closed && halfClosed && openInferences.isEmpty() && queuedResponses.isEmpty()) {
            close();
            responseObserver.onCompleted();
        }
    }

    /** Queues the last response of an inference. */
    private void endInference(StreamedInference one, ModelStreamInferResponse what) {
        synchronized (this) {
            if (!closed && openInferences.remove(one) && enqueue(what, true)) {
                flush();
            }
        }
    }

    /** Queues a response of an inference that is not its last. */
    private synchronized void sendPart(StreamedInference one, ModelStreamInferResponse what) {
        if (!closed && openInferences.contains(one)) {
            enqueue(what, false);
        }
    }

    private boolean enqueue(ModelStreamInferResponse what, boolean end) {
        int size = what.getSerializedSize();
        if (!service.queuedStreamBytes.tryAcquire(size)) {
            resetStalledStream(); // too many bytes are queued for slow readers
            return false;
        }
        queuedBytes += size;
        queuedResponses.add(new QueuedResponse(what, end));
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
        return !queuedResponses.isEmpty() || streamingInferences.stream().anyMatch(one -> one.answerStream.hasBufferedParts());
    }

    /** Returns the next response to write: queued ones first, then parts of the streamed answers, round-robin. */
    private ModelStreamInferResponse nextResponse() {
        QueuedResponse whole = queuedResponses.poll();
        if (whole != null) {
            int size = whole.response.getSerializedSize();
            queuedBytes -= size;
            service.queuedStreamBytes.release(size);
            if (whole.endsInference) {
                responseObserver.request(1);
            }
            return whole.response;
        }
        for (int n = streamingInferences.size(); n > 0; n--) {
            StreamedInference one = streamingInferences.poll();
            ModelStreamInferResponse part = (ModelStreamInferResponse) one.answerStream.poll();
            if (part != null) {
                streamingInferences.add(one);
                return one.withPartNumber(part);
            }
            if (!one.answerStream.isFinished()) {
                streamingInferences.add(one);
            } else if (one.pendingEnd != null) {
                one.pendingEnd.run();
                return nextResponse();
            } // otherwise its end follows
        }
        return null;
    }

    private synchronized void checkStalledReader() {
        if (closed || Double.isNaN(stalledSince)) {
            return;
        }
        double left = stalledSince + service.stalledReaderTimeoutMillis - intake.now();
        if (left > 0) {
            eventLoop.schedule(this::checkStalledReader, (long) Math.ceil(left), TimeUnit.MILLISECONDS);
        } else {
            resetStalledStream();
        }
    }

    /** Resets the call of a reader that does not read. Inferences that other clients wait for continue, and answers stay recorded. */
    private void resetStalledStream() {
        service.stalledReaders.recordRejection();
        Set<StreamedInference> left = close();
        resetStream.run();
        left.forEach(WaitingClient::cancel);
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
        public void onStreamStarted(AnswerStream<?> begun) {
            eventLoop.execute(() -> {
                synchronized (StreamingCall.this) {
                    if (closed) {
                        return; // the call is over, and the coordinator ends the answer stream
                    }
                    answerStream = begun;
                    streamingInferences.add(this);
                }
                begun.subscribe(StreamingCall.this::flush);
            });
        }

        private ModelStreamInferResponse withPartNumber(ModelStreamInferResponse part) {
            ModelInferResponse.Builder told = part.getInferResponse().toBuilder().setId(id);
            return ModelStreamInferResponse.newBuilder().setInferResponse(told.putParameters(PART_NUMBER_PARAMETER, intParameter(++partCount))).build();
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

        /** The library flushes in a task that is queued on the event loop before this one. */
        private void recordWrittenAfterFlush(double decidedAt) {
            eventLoop.execute(() -> intake.recordAnswerWritten(decidedAt));
        }

        private void sendAnswer(FinalAnswer answer) {
            if (answer.kind() != FinalAnswer.Kind.RETURNED) {
                sendError(GrpcStatuses.toException(answer, intake.stopping()));
                return;
            }
            try {
                if (answerStream == null && !AnswerBodyReader.isStreamed(answer.body())) {
                    endInference(this, ModelStreamInferResponse.newBuilder().setInferResponse(AnswerBodyReader.response(answer.body(), id))
                            .build());
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

        private static InferParameter intParameter(long n) {
            return InferParameter.newBuilder().setInt64Param(n).build();
        }

        @Override
        public void onRejected(int status, String word, String why) {
            intake.countRefusal(word);
            sendError(GrpcStatuses.rejection(status, word, why).asRuntimeException());
        }

        /** The protocol's error message is plain text, so code, outcome and retry delay are sent as parameters, as unary calls have them. */
        private void sendError(StatusRuntimeException why) {
            ModelInferResponse.Builder beside = ModelInferResponse.newBuilder().setId(id);
            if (partCount > 0) {
                beside.putParameters(PART_COUNT_PARAMETER, intParameter(partCount)); // number of parts sent before the error
            }
            putStringParameter(beside, "grpc-status", why.getStatus().getCode().name());
            if (why.getTrailers() != null) {
                putStringParameter(beside, GrpcStatuses.OUTCOME.name(), why.getTrailers().get(GrpcStatuses.OUTCOME));
                putStringParameter(beside, GrpcStatuses.REPEAT_HARMLESS.name(), why.getTrailers().get(GrpcStatuses.REPEAT_HARMLESS));
                putStringParameter(beside, GrpcStatuses.PUSHBACK.name(), why.getTrailers().get(GrpcStatuses.PUSHBACK));
                putStringParameter(beside, GrpcStatuses.STOPPING.name(), why.getTrailers().get(GrpcStatuses.STOPPING));
            }
            endInference(this, ModelStreamInferResponse.newBuilder().setErrorMessage(String.valueOf(why.getStatus().getDescription()))
                    .setInferResponse(beside).build());
        }

        private static void putStringParameter(ModelInferResponse.Builder to, String name, String value) {
            if (value != null) {
                to.putParameters(name, InferParameter.newBuilder().setStringParam(value).build());
            }
        }
    }
}
