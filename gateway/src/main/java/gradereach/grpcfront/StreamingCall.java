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
 * One streamed call: many inferences, each signed by itself, answered by id in the order in which they end. So many are
 * open at once that the next is read when one has been answered and its answer taken off our hands: a slow reader slows
 * itself and nobody else. One that stops reading is cut after a while.
 *
 * Calls come from the connection's thread, the deciding thread and the timer; a lock keeps them apart, and nothing under
 * it waits.
 */
final class StreamingCall implements StreamObserver<ModelInferRequest> {
    /** Inferences of one stream at once; as many as an executor's connection has streams by default. */
    private static final int MAX_OPEN_INFERENCES = 100;
    /** Beside a part: its number, from 1. */
    static final String PART_NUMBER_PARAMETER = "gradereach-part";
    /** Beside the message that ends an answer in parts: that it does, and how many there were. */
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
    /** Answers that flow, the next to be asked for a part first. */
    private final ArrayDeque<StreamedInference> streamingInferences = new ArrayDeque<>();
    /** Something to be written; {@code end} where it is the last of its inference. */
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

    /** The front end stops: what is open is answered, then the call ends, and its client opens one elsewhere. */
    synchronized void drain() {
        halfClosed = true;
        completeIfDone();
    }

    /** The client's end of the call broke; its cancellation is told as well. */
    @Override
    public void onError(Throwable why) {
        cancelInferences();
    }

    /** Cancelled, or its deadline passed: nothing more can be said. */
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

    /** The end of one inference. */
    private void endInference(StreamedInference one, ModelStreamInferResponse what) {
        synchronized (this) {
            if (!closed && openInferences.remove(one) && enqueue(what, true)) {
                flush();
            }
        }
    }

    /** Something of one inference before its end. */
    private synchronized void sendPart(StreamedInference one, ModelStreamInferResponse what) {
        if (!closed && openInferences.contains(one)) {
            enqueue(what, false);
        }
    }

    private boolean enqueue(ModelStreamInferResponse what, boolean end) {
        int size = what.getSerializedSize();
        if (!service.queuedStreamBytes.tryAcquire(size)) {
            resetStalledStream(); // answers wait for too many slow readers
            return false;
        }
        queuedBytes += size;
        queuedResponses.add(new QueuedResponse(what, end));
        return true;
    }

    /** Writes while the reader takes it; each end written makes room for the next message. */
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

    /** Ends and whole answers first, then a part of each answer that flows, in turn. */
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
            } // else its end is on its way
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

    /** Its inferences go on where others wait for them; what ran stays on record for repeats. */
    private void resetStalledStream() {
        service.stalledReaders.recordRejection();
        Set<StreamedInference> left = close();
        resetStream.run();
        left.forEach(WaitingClient::cancel);
    }

    /** One inference of the stream. */
    private final class StreamedInference extends WaitingClient {
        private final String id;
        /** Guarded by the call, as what follows; null for an answer that does not flow. */
        private AnswerStream<?> answerStream;
        private long partCount;
        /** What tells its end, once that is known and while parts still wait before it. */
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
                        return; // it has left, and the desk ends the flow
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

        /** The library flushes in a task of the connection's event loop, which stands before this one. */
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
                    // On record from before: the same parts again.
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

        /** The protocol has a sentence for it; code, outcome and pause go beside it, as unary calls have them. */
        private void sendError(StatusRuntimeException why) {
            ModelInferResponse.Builder beside = ModelInferResponse.newBuilder().setId(id);
            if (partCount > 0) {
                beside.putParameters(PART_COUNT_PARAMETER, intParameter(partCount)); // so far it came
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
