package gradereach.link;

import gradereach.api.Outcome;
import gradereach.api.ExecutorReport;
import gradereach.api.LoadStatus;
import gradereach.counts.Counts;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InFlightForward;
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
 * Forwards by gRPC ("gRPC over HTTP2") on the pool's own HTTP/2: grpc-java does not tell REFUSED_STREAM and the last id of a
 * GOAWAY from other ends, and without them nothing would be proven not to have run.
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
     * @param agent told to executors as the user agent
     * @param longestAnswer bytes
     */
    GrpcForwardSender(String agent, ResponseHeaders heads, int longestAnswer, AnswerStream.Limits parts, Consumer<Consumer<InferenceCoordinator>> toDesk,
            Counts counts) {
        this.userAgent = agent;
        this.responseHeaders = heads;
        this.maxResponseBytes = longestAnswer;
        this.streamLimits = parts;
        this.eventSink = toDesk;
        unreadableAnswers = counts.counter("answers_unreadable");
    }

    /** Loads what a call needs: the first inferences of a process would pay for it otherwise. */
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
                ExchangeOutcomes.ofGrpcForward(ExchangeListener.ExchangeResult.ANSWERED, "0", null);
            }
        } catch (IOException | InvalidMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One inference by the unary call; nothing of it is written where {@code wanted} says no by then. */
    void sendUnary(Http2ConnectionPool pool, InFlightForward flight, BooleanSupplier wanted) {
        ExchangeListener end = (how, status, headers, body) -> {
            if (how == ExchangeListener.ExchangeResult.GIVEN_UP || how == ExchangeListener.ExchangeResult.NOT_WRITTEN && flight.cancelled) {
                return; // the desk gave it up and knows
            }
            Outcome outcome = ExchangeOutcomes.ofGrpcForward(how, ResponseHeaders.header(headers, GrpcFraming.STATUS_TRAILER), ResponseHeaders.header(headers, ExchangeOutcomes.INFERENCE_BEGUN_HEADER));
            byte[] output = null;
            if (outcome == Outcome.RETURNED) {
                try {
                    output = GrpcFraming.decodeResponse(body);
                } catch (IOException e) {
                    unreadableAnswers.increment();
                    outcome = Outcome.ERROR;
                }
            }
            Outcome known = outcome;
            byte[] answer = output;
            LoadStatus warmth = ResponseHeaders.parseLoadStatus(ResponseHeaders.header(headers, ResponseHeaders.LOAD_STATUS_HEADER));
            int crowd = ResponseHeaders.parseInt(ResponseHeaders.header(headers, ResponseHeaders.CONCURRENCY_HEADER), -1);
            ExecutorReport report = responseHeaders.loadReport(headers);
            eventSink.accept(desk -> desk.onForwardEnded(flight, known, warmth, crowd, report, answer));
        };
        flight.stream = pool.send(wanted, "POST", UNARY_PATH, GrpcFraming.frame(flight.input().protobuf()), end,
                "content-type", "application/grpc", "te", "trailers", "x-request-id", flight.forwardId(), "idempotency-key",
                flight.dedupKey(), "user-agent", userAgent);
    }

    /** One inference by the streamed call, read in parts. */
    void sendStreaming(Http2ConnectionPool pool, InFlightForward flight, BooleanSupplier wanted) {
        new StreamingForward(flight).send(pool, wanted);
    }

    /**
     * One inference by the streamed call: its answer comes in parts, of which the first is its start. A head without a part
     * starts nothing, since libraries send heads before anything has run.
     */
    private final class StreamingForward implements ExchangeListener.StreamingListener, AnswerStream.Source {
        private final InFlightForward flight;
        private final GrpcFraming.MessageDecoder decoder = new GrpcFraming.MessageDecoder(maxResponseBytes);
        private final AnswerStream<ModelStreamInferResponse> answerStream = new AnswerStream<>(this, streamLimits);
        private Http2ConnectionPool.Request request;
        private boolean errorReceived;

        StreamingForward(InFlightForward flight) {
            this.flight = flight;
        }

        void send(Http2ConnectionPool pool, BooleanSupplier wanted) {
            request = pool.send(wanted, "POST", STREAMING_PATH, GrpcFraming.frame(flight.input().protobuf()), this,
                    "content-type", "application/grpc", "te", "trailers", "x-request-id", flight.forwardId(), "idempotency-key",
                    flight.dedupKey(), "user-agent", userAgent);
            flight.stream = request;
        }

        @Override
        public void requestMore() {
            request.readMore();
        }

        @Override
        public boolean onData(ByteBuf some) throws IOException {
            for (byte[] message; (message = decoder.next(some)) != null;) {
                ModelStreamInferResponse part = ModelStreamInferResponse.parseFrom(message);
                if (!part.getErrorMessage().isEmpty()) {
                    errorReceived = true; // its status follows, and says no more than this
                    continue;
                }
                if (answerStream.partCount() == 0) {
                    eventSink.accept(desk -> desk.onAnswerStarted(flight, answerStream));
                }
                if (!answerStream.put(part, message.length)) {
                    throw new IOException("too many parts wait for slow readers");
                }
            }
            return answerStream.wantsMore();
        }

        @Override
        public void onEnd(ExchangeResult how, int status, Http2Headers headers, byte[] body) {
            boolean started = answerStream.partCount() > 0;
            List<ModelStreamInferResponse> all = answerStream.complete();
            if (how == ExchangeResult.GIVEN_UP || how == ExchangeResult.NOT_WRITTEN && flight.cancelled) {
                return; // the desk gave it up and knows
            }
            Outcome outcome = ExchangeOutcomes.ofGrpcForward(how, ResponseHeaders.header(headers, GrpcFraming.STATUS_TRAILER), ResponseHeaders.header(headers, ExchangeOutcomes.INFERENCE_BEGUN_HEADER));
            // What has started has run, whatever is said of it afterwards.
            boolean proves = started && outcome.provesNotRun;
            boolean torn = outcome == Outcome.RETURNED && (!started || errorReceived || !decoder.atMessageBoundary());
            byte[] output = null;
            if (torn || proves) {
                unreadableAnswers.add(torn && !errorReceived ? 1 : 0);
                outcome = Outcome.ERROR;
            } else if (outcome == Outcome.RETURNED && all != null) {
                try {
                    output = InferenceJsonConverter.responsesToJsonArray(all);
                } catch (IOException e) {
                    unreadableAnswers.increment(); // what was read stays read; only the record of it says less
                }
            }
            Outcome known = outcome;
            byte[] answer = output;
            LoadStatus warmth = ResponseHeaders.parseLoadStatus(ResponseHeaders.header(headers, ResponseHeaders.LOAD_STATUS_HEADER));
            int crowd = ResponseHeaders.parseInt(ResponseHeaders.header(headers, ResponseHeaders.CONCURRENCY_HEADER), -1);
            ExecutorReport report = responseHeaders.loadReport(headers);
            eventSink.accept(desk -> desk.onForwardEnded(flight, known, warmth, crowd, report, answer));
        }
    }
}
