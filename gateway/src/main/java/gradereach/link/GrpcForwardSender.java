package gradereach.link;

import gradereach.api.ExecutorReport;
import gradereach.api.LoadStatus;
import gradereach.api.Outcome;
import gradereach.counts.Counts;
import gradereach.desk.InFlightForward;
import gradereach.desk.InferenceCoordinator;
import gradereach.flow.AnswerStream;
import gradereach.http2.ExchangeListener;
import gradereach.http2.Http2ConnectionPool;
import gradereach.message.InvalidMessageException;
import gradereach.oip.InferenceJsonConverter;
import gradereach.protocol.inference.InferTensorContents;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelStreamInferResponse;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http2.Http2Headers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Sends forwards by gRPC ("gRPC over HTTP2") over {@link Http2ConnectionPool}. It does not use grpc-java, which does not
 * distinguish REFUSED_STREAM and streams above the last id of a GOAWAY from other failures: these two prove that a forward has
 * not run.
 */
final class GrpcForwardSender {
    private static final String UNARY_PATH = "/inference.GRPCInferenceService/ModelInfer";
    private static final String STREAMING_PATH = "/inference.GRPCInferenceService/ModelStreamInfer";

    private final String userAgent;
    private final ResponseHeaders responseHeaders;
    private final int maxResponseBytes;
    private final AnswerStream.Limits streamLimits;
    private final Consumer<Consumer<InferenceCoordinator>> eventSink;
    private final LongAdder unreadableAnswers;

    /**
     * @param userAgent sent to executors
     * @param eventSink passes events to the decision thread
     */
    GrpcForwardSender(String userAgent, ResponseHeaders responseHeaders, int maxResponseBytes, AnswerStream.Limits streamLimits,
            Consumer<Consumer<InferenceCoordinator>> eventSink, Counts counts) {
        this.userAgent = userAgent;
        this.responseHeaders = responseHeaders;
        this.maxResponseBytes = maxResponseBytes;
        this.streamLimits = streamLimits;
        this.eventSink = eventSink;
        unreadableAnswers = counts.counter("answers_unreadable");
    }

    /** Runs the code of a call {@code times} times, so that class loading does not delay the first inferences of a process. */
    static void warmUp(int times) {
        byte[] json = "{\"inputs\":[{\"name\":\"x\",\"shape\":[1],\"datatype\":\"FP32\",\"data\":[1]}],\"parameters\":{\"p\":0.5}}"
                .getBytes(StandardCharsets.UTF_8);
        byte[] answer = ModelInferResponse.newBuilder().setModelName("any").addOutputs(ModelInferResponse.InferOutputTensor
                .newBuilder().setName("x").setDatatype("FP32").addShape(1).setContents(InferTensorContents.newBuilder()
                .addFp32Contents(1))).build().toByteArray();
        try {
            for (int i = 0; i < times; i++) {
                GrpcFraming.frame(InferenceJsonConverter.requestBytesFromJson(json, "any"));
                GrpcFraming.decodeResponse(GrpcFraming.frame(answer));
                ExchangeOutcomes.grpcForwardOutcome(ExchangeListener.ExchangeResult.ANSWERED, "0", null);
            }
        } catch (IOException | InvalidMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a forward as a unary call; nothing is written if {@code writeCondition} is false at the time of writing. */
    void sendUnary(Http2ConnectionPool pool, InFlightForward forward, BooleanSupplier writeCondition) {
        ExchangeListener listener = (result, status, headers, body) -> {
            if (result == ExchangeListener.ExchangeResult.GIVEN_UP
                    || result == ExchangeListener.ExchangeResult.NOT_WRITTEN && forward.cancelled) {
                return; // the coordinator cancelled it and expects no event
            }
            Outcome outcome = ExchangeOutcomes.grpcForwardOutcome(result, ResponseHeaders.header(headers, GrpcFraming.STATUS_TRAILER),
                    ResponseHeaders.header(headers, ExchangeOutcomes.INFERENCE_BEGUN_HEADER));
            byte[] output = null;
            if (outcome == Outcome.RETURNED) {
                try {
                    output = GrpcFraming.decodeResponse(body);
                } catch (IOException e) {
                    unreadableAnswers.increment();
                    outcome = Outcome.ERROR;
                }
            }
            Outcome finalOutcome = outcome;
            byte[] finalOutput = output;
            LoadStatus loadStatus = ResponseHeaders.parseLoadStatus(ResponseHeaders.header(headers, ResponseHeaders.LOAD_STATUS_HEADER));
            int concurrency = ResponseHeaders.parseInt(ResponseHeaders.header(headers, ResponseHeaders.CONCURRENCY_HEADER), -1);
            ExecutorReport report = responseHeaders.loadReport(headers);
            eventSink.accept(coordinator ->
                    coordinator.onForwardEnded(forward, finalOutcome, loadStatus, concurrency, report, finalOutput));
        };
        forward.requestHandle = pool.send(writeCondition, "POST", UNARY_PATH, GrpcFraming.frame(forward.input().protobuf()), listener,
                "content-type", "application/grpc", "te", "trailers", "x-request-id", forward.forwardId(), "idempotency-key",
                forward.dedupKey(), "user-agent", userAgent);
    }

    /** Sends a forward as a streaming call; its answer is read in parts. */
    void sendStreaming(Http2ConnectionPool pool, InFlightForward forward, BooleanSupplier writeCondition) {
        new StreamingForward(forward).send(pool, writeCondition);
    }

    /**
     * A forward sent as a streaming call. The first part starts the streamed answer. Response headers without a part do not,
     * since gRPC libraries send headers before anything has run.
     */
    private final class StreamingForward implements ExchangeListener.StreamingListener, AnswerStream.Source {
        private final InFlightForward forward;
        private final GrpcFraming.MessageDecoder decoder = new GrpcFraming.MessageDecoder(maxResponseBytes);
        private final AnswerStream<ModelStreamInferResponse> answerStream = new AnswerStream<>(this, streamLimits);
        private Http2ConnectionPool.Request request;
        private boolean errorReceived;

        StreamingForward(InFlightForward forward) {
            this.forward = forward;
        }

        void send(Http2ConnectionPool pool, BooleanSupplier writeCondition) {
            request = pool.send(writeCondition, "POST", STREAMING_PATH, GrpcFraming.frame(forward.input().protobuf()), this,
                    "content-type", "application/grpc", "te", "trailers", "x-request-id", forward.forwardId(), "idempotency-key",
                    forward.dedupKey(), "user-agent", userAgent);
            forward.requestHandle = request;
        }

        @Override
        public void requestMore() {
            request.readMore();
        }

        @Override
        public boolean onData(ByteBuf data) throws IOException {
            for (byte[] message; (message = decoder.next(data)) != null;) {
                ModelStreamInferResponse part = ModelStreamInferResponse.parseFrom(message);
                if (!part.getErrorMessage().isEmpty()) {
                    errorReceived = true; // the status that follows adds nothing to it
                    continue;
                }
                if (answerStream.partCount() == 0) {
                    eventSink.accept(coordinator -> coordinator.onAnswerStarted(forward, answerStream));
                }
                if (!answerStream.put(part, message.length)) {
                    throw new IOException("too many answer parts are buffered for slow readers");
                }
            }
            return answerStream.wantsMore();
        }

        @Override
        public void onEnd(ExchangeResult result, int status, Http2Headers headers, byte[] body) {
            boolean started = answerStream.partCount() > 0;
            List<ModelStreamInferResponse> recordedParts = answerStream.complete();
            if (result == ExchangeResult.GIVEN_UP || result == ExchangeResult.NOT_WRITTEN && forward.cancelled) {
                return; // the coordinator cancelled it and expects no event
            }
            Outcome outcome = ExchangeOutcomes.grpcForwardOutcome(result, ResponseHeaders.header(headers, GrpcFraming.STATUS_TRAILER),
                    ResponseHeaders.header(headers, ExchangeOutcomes.INFERENCE_BEGUN_HEADER));
            // An answer that has started proves that the forward ran, whatever its status claims.
            boolean contradictory = started && outcome.provesNotRun;
            boolean truncated = outcome == Outcome.RETURNED && (!started || errorReceived || !decoder.isAtMessageBoundary());
            byte[] output = null;
            if (truncated || contradictory) {
                unreadableAnswers.add(truncated && !errorReceived ? 1 : 0);
                outcome = Outcome.ERROR;
            } else if (outcome == Outcome.RETURNED && recordedParts != null) {
                try {
                    output = InferenceJsonConverter.responsesToJsonArray(recordedParts);
                } catch (IOException e) {
                    unreadableAnswers.increment(); // readers keep the parts they have read; only the recorded output is missing
                }
            }
            Outcome finalOutcome = outcome;
            byte[] finalOutput = output;
            LoadStatus loadStatus = ResponseHeaders.parseLoadStatus(ResponseHeaders.header(headers, ResponseHeaders.LOAD_STATUS_HEADER));
            int concurrency = ResponseHeaders.parseInt(ResponseHeaders.header(headers, ResponseHeaders.CONCURRENCY_HEADER), -1);
            ExecutorReport report = responseHeaders.loadReport(headers);
            eventSink.accept(coordinator ->
                    coordinator.onForwardEnded(forward, finalOutcome, loadStatus, concurrency, report, finalOutput));
        }
    }
}
