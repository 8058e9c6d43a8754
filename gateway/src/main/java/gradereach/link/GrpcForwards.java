package gradereach.link;

import gradereach.api.Outcome;
import gradereach.api.Report;
import gradereach.api.Warmth;
import gradereach.counts.Counts;
import gradereach.desk.Desk;
import gradereach.desk.Flight;
import gradereach.flow.PartFlow;
import gradereach.http2.Exchange;
import gradereach.http2.Http2Pool;
import gradereach.message.BadMessage;
import gradereach.oip.InferJson;
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
final class GrpcForwards {
    private static final String CALL = "/inference.GRPCInferenceService/ModelInfer";
    private static final String STREAM = "/inference.GRPCInferenceService/ModelStreamInfer";

    private final String agent;
    private final AnswerHeads heads;
    private final int longestAnswer;
    private final PartFlow.Bounds parts;
    private final Consumer<Consumer<Desk>> toDesk;
    private final LongAdder badAnswers;

    /**
     * @param agent told to executors as the user agent
     * @param longestAnswer bytes
     */
    GrpcForwards(String agent, AnswerHeads heads, int longestAnswer, PartFlow.Bounds parts, Consumer<Consumer<Desk>> toDesk,
            Counts counts) {
        this.agent = agent;
        this.heads = heads;
        this.longestAnswer = longestAnswer;
        this.parts = parts;
        this.toDesk = toDesk;
        badAnswers = counts.counter("answers_unreadable");
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
                GrpcForm.framed(InferJson.message(json, "any"));
                GrpcForm.output(GrpcForm.framed(answer));
                Proofs.ofGrpc(Exchange.End.ANSWERED, "0", null);
            }
        } catch (IOException | BadMessage e) {
            throw new IllegalStateException(e);
        }
    }

    /** One inference by the unary call; nothing of it is written where {@code wanted} says no by then. */
    void call(Http2Pool pool, Flight flight, BooleanSupplier wanted) {
        Exchange end = (how, status, headers, body) -> {
            if (how == Exchange.End.GIVEN_UP || how == Exchange.End.NOT_WRITTEN && flight.givenUp) {
                return; // the desk gave it up and knows
            }
            Outcome outcome = Proofs.ofGrpc(how, AnswerHeads.header(headers, GrpcForm.STATUS), AnswerHeads.header(headers, Proofs.BEGUN));
            byte[] output = null;
            if (outcome == Outcome.RETURNED) {
                try {
                    output = GrpcForm.output(body);
                } catch (IOException e) {
                    badAnswers.increment();
                    outcome = Outcome.ERROR;
                }
            }
            Outcome known = outcome;
            byte[] answer = output;
            Warmth warmth = AnswerHeads.warmth(AnswerHeads.header(headers, AnswerHeads.WARMTH));
            int crowd = AnswerHeads.number(AnswerHeads.header(headers, AnswerHeads.CROWD), -1);
            Report report = heads.report(headers);
            toDesk.accept(desk -> desk.ended(flight, known, warmth, crowd, report, answer));
        };
        flight.stream = pool.send(wanted, "POST", CALL, GrpcForm.framed(flight.input().message()), end,
                "content-type", "application/grpc", "te", "trailers", "x-request-id", flight.name(), "idempotency-key",
                flight.mark(), "user-agent", agent);
    }

    /** One inference by the streamed call, read in parts. */
    void stream(Http2Pool pool, Flight flight, BooleanSupplier wanted) {
        new Streamed(flight).send(pool, wanted);
    }

    /**
     * One inference by the streamed call: its answer comes in parts, of which the first is its start. A head without a part
     * starts nothing, since libraries send heads before anything has run.
     */
    private final class Streamed implements Exchange.Flowing, PartFlow.Source {
        private final Flight flight;
        private final GrpcForm.Messages messages = new GrpcForm.Messages(longestAnswer);
        private final PartFlow<ModelStreamInferResponse> flow = new PartFlow<>(this, parts);
        private Http2Pool.Request request;
        private boolean failed;

        Streamed(Flight flight) {
            this.flight = flight;
        }

        void send(Http2Pool pool, BooleanSupplier wanted) {
            request = pool.send(wanted, "POST", STREAM, GrpcForm.framed(flight.input().message()), this,
                    "content-type", "application/grpc", "te", "trailers", "x-request-id", flight.name(), "idempotency-key",
                    flight.mark(), "user-agent", agent);
            flight.stream = request;
        }

        @Override
        public void more() {
            request.more();
        }

        @Override
        public boolean bytes(ByteBuf some) throws IOException {
            for (byte[] message; (message = messages.next(some)) != null;) {
                ModelStreamInferResponse part = ModelStreamInferResponse.parseFrom(message);
                if (!part.getErrorMessage().isEmpty()) {
                    failed = true; // its status follows, and says no more than this
                    continue;
                }
                if (flow.parts() == 0) {
                    toDesk.accept(desk -> desk.started(flight, flow));
                }
                if (!flow.put(part, message.length)) {
                    throw new IOException("too many parts wait for slow readers");
                }
            }
            return flow.wantsMore();
        }

        @Override
        public void ended(End how, int status, Http2Headers headers, byte[] body) {
            boolean started = flow.parts() > 0;
            List<ModelStreamInferResponse> all = flow.end();
            if (how == End.GIVEN_UP || how == End.NOT_WRITTEN && flight.givenUp) {
                return; // the desk gave it up and knows
            }
            Outcome outcome = Proofs.ofGrpc(how, AnswerHeads.header(headers, GrpcForm.STATUS), AnswerHeads.header(headers, Proofs.BEGUN));
            // What has started has run, whatever is said of it afterwards.
            boolean proves = started && outcome.provesNotRun;
            boolean torn = outcome == Outcome.RETURNED && (!started || failed || !messages.between());
            byte[] output = null;
            if (torn || proves) {
                badAnswers.add(torn && !failed ? 1 : 0);
                outcome = Outcome.ERROR;
            } else if (outcome == Outcome.RETURNED && all != null) {
                try {
                    output = InferJson.parts(all);
                } catch (IOException e) {
                    badAnswers.increment(); // what was read stays read; only the record of it says less
                }
            }
            Outcome known = outcome;
            byte[] answer = output;
            Warmth warmth = AnswerHeads.warmth(AnswerHeads.header(headers, AnswerHeads.WARMTH));
            int crowd = AnswerHeads.number(AnswerHeads.header(headers, AnswerHeads.CROWD), -1);
            Report report = heads.report(headers);
            toDesk.accept(desk -> desk.ended(flight, known, warmth, crowd, report, answer));
        }
    }
}
