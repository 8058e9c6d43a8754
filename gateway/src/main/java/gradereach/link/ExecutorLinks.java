package gradereach.link;

import gradereach.api.Outcome;
import gradereach.api.Report;
import gradereach.api.Warmth;
import gradereach.counts.Counts;
import gradereach.desk.Desk;
import gradereach.desk.Flight;
import gradereach.desk.Links;
import gradereach.desk.Order;
import gradereach.desk.Place;
import gradereach.flow.PartFlow;
import gradereach.http2.Exchange;
import gradereach.http2.Http2Pool;
import gradereach.inquiry.InquiryBook;
import gradereach.message.BadMessage;
import gradereach.oip.InferJson;
import gradereach.protocol.inference.InferTensorContents;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.protocol.inference.ModelStreamInferResponse;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http2.Http2Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Speaks the Open Inference Protocol (V2, HTTP/REST) to executors over HTTP/2: {@code POST /v2/models/NAME/infer};
 * the model repository extension's {@code load} with the copies as a load parameter (0 only asks) and {@code unload};
 * {@code GET /v2/health/ready} as probe. Ends go to the deciding thread as events.
 */
public final class ExecutorLinks implements Links {
    private static final byte[] NOTHING = {};
    /** How many copies stand, in an answer to a load order. */
    static final String COPIES = "model-copies";
    /** On what a forward ran: {@code loaded}, {@code began-load}, {@code waited-for-load}, {@code load-failed}. */
    static final String WARMTH = "model-warmth";
    /** How many of the same model the executor held when this one came. */
    static final String CROWD = "model-crowd";

    private final String agent;
    private final EventLoopGroup loops;
    private final Class<? extends Channel> channelType;
    private final Http2Pool.Bounds bounds;
    private final Http2Pool.Bounds streamBounds;
    private final PartFlow.Bounds parts;
    private final Http2Pool.Tally tally;
    private final DoubleSupplier clock;
    private final Desk.WallClock wall;
    private final Consumer<Consumer<Desk>> toDesk;
    private final LongAdder badReports;
    private final LongAdder badAnswers;
    private final Set<Integer> grpcKinds;
    private final Map<String, String> inferPaths = new ConcurrentHashMap<>();

    /**
     * @param name told to executors as the user agent
     * @param grpcKinds executors of these kinds take inferences by gRPC, and all else as the others do
     * @param streamBounds of connections that carry answers in parts
     */
    public ExecutorLinks(String name, Set<Integer> grpcKinds, EventLoopGroup loops, Class<? extends Channel> channelType, Http2Pool.Bounds bounds,
            Http2Pool.Bounds streamBounds, PartFlow.Bounds parts, Counts counts, DoubleSupplier clock, Desk.WallClock wall, Consumer<Consumer<Desk>> toDesk) {
        this.agent = "gradereach/" + name;
        this.loops = loops;
        this.channelType = channelType;
        this.bounds = bounds;
        this.streamBounds = streamBounds;
        this.parts = parts;
        this.clock = clock;
        this.wall = wall;
        this.toDesk = toDesk;
        tally = new Http2Pool.Tally(counts, "executor");
        this.grpcKinds = grpcKinds;
        badAnswers = counts.counter("answers_unreadable");
        badReports = counts.counter("load_reports_unreadable");
    }

    /** What is open to one executor. */
    private static final class Pools {
        final InetSocketAddress at;
        final Http2Pool whole;
        Http2Pool streams;

        Pools(InetSocketAddress at, Http2Pool whole) {
            this.at = at;
            this.whole = whole;
        }
    }

    /** Of the deciding thread alone. */
    private Pools pools(Place place) {
        Pools pools = (Pools) place.link;
        if (pools == null) {
            int colon = place.address.lastIndexOf(':');
            String host = place.address.substring(0, colon);
            host = host.startsWith("[") ? host.substring(1, host.length() - 1) : host;
            InetSocketAddress at = new InetSocketAddress(host, Integer.parseInt(place.address.substring(colon + 1)));
            pools = new Pools(at, new Http2Pool(at, loops.next(), channelType, bounds, tally, clock));
            place.link = pools;
        }
        return pools;
    }

    private Http2Pool pool(Place place) {
        return pools(place).whole;
    }

    /** Beside the other, since streams stay open and their windows are small. Of the deciding thread alone. */
    private Http2Pool streams(Place place) {
        Pools pools = pools(place);
        if (pools.streams == null) {
            pools.streams = new Http2Pool(pools.at, loops.next(), channelType, streamBounds, tally, clock);
        }
        return pools.streams;
    }

    @Override
    public void forward(Flight flight) {
        if (grpcKinds.contains(flight.place.kind())) {
            if (flight.readsParts()) {
                new Streamed(flight).send();
            } else {
                call(flight);
            }
            return;
        }
        Exchange end = (how, status, headers, body) -> {
            Outcome outcome = Proofs.ofForward(how, status, header(headers, Proofs.BEGUN));
            if (how == Exchange.End.GIVEN_UP || how == Exchange.End.NOT_WRITTEN && flight.givenUp) {
                return; // the desk gave it up and knows
            }
            Warmth warmth = warmth(header(headers, WARMTH));
            int crowd = number(header(headers, CROWD), -1);
            Report report = report(headers);
            toDesk.accept(desk -> desk.ended(flight, outcome, warmth, crowd, report, body));
        };
        flight.stream = pool(flight.place).send(stillWanted(flight), "POST",
                inferPaths.computeIfAbsent(flight.model(), m -> "/v2/models/" + encoded(m) + "/infer"), flight.input().json(),
                end, "content-type", "application/json", "x-request-id", flight.name(), "idempotency-key",
                flight.mark(), "user-agent", agent);
        if (inferPaths.size() > MOST_PATHS) {
            inferPaths.clear();
        }
    }

    /**
     * Whether it may still be written: somebody waits for it, its time is not up, and its executor has neither begun to drain
     * nor may have done so unheard. It waited for a connection, or for its thread.
     */
    private BooleanSupplier stillWanted(Flight flight) {
        BooleanSupplier ready = stillReady(flight.place);
        return () -> !flight.givenUp && clock.getAsDouble() < flight.writableUntil() && ready.getAsBoolean();
    }

    private BooleanSupplier stillWanted(Order order) {
        BooleanSupplier ready = stillReady(order.place);
        return () -> order.wanted() && clock.getAsDouble() < order.writableUntil() && ready.getAsBoolean();
    }

    private static BooleanSupplier stillReady(Place place) {
        boolean wasReady = place.ready();
        return () -> !wasReady || place.ready();
    }

    /** Loads what {@link #call} needs: the first inferences of a process would pay for it otherwise. */
    public static void warmUp(int times) {
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

    private static final String CALL = "/inference.GRPCInferenceService/ModelInfer";

    /**
     * The same by gRPC ("gRPC over HTTP2"), on the pool's own HTTP/2: grpc-java does not tell REFUSED_STREAM and the last
     * id of a GOAWAY from other ends, and without them nothing would be proven not to have run.
     */
    private void call(Flight flight) {
        Exchange end = (how, status, headers, body) -> {
            if (how == Exchange.End.GIVEN_UP || how == Exchange.End.NOT_WRITTEN && flight.givenUp) {
                return; // the desk gave it up and knows
            }
            Outcome outcome = Proofs.ofGrpc(how, header(headers, GrpcForm.STATUS), header(headers, Proofs.BEGUN));
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
            Warmth warmth = warmth(header(headers, WARMTH));
            int crowd = number(header(headers, CROWD), -1);
            Report report = report(headers);
            toDesk.accept(desk -> desk.ended(flight, known, warmth, crowd, report, answer));
        };
        flight.stream = pool(flight.place).send(stillWanted(flight), "POST", CALL, GrpcForm.framed(flight.input().message()), end,
                "content-type", "application/grpc", "te", "trailers", "x-request-id", flight.name(), "idempotency-key",
                flight.mark(), "user-agent", agent);
    }

    private static final String STREAM = "/inference.GRPCInferenceService/ModelStreamInfer";

    /**
     * One inference by the streamed call: its answer comes in parts, of which the first is its start. A head without a part
     * starts nothing, since libraries send heads before anything has run.
     */
    private final class Streamed implements Exchange.Flowing, PartFlow.Source {
        private final Flight flight;
        private final GrpcForm.Messages messages = new GrpcForm.Messages(bounds.longestAnswer());
        private final PartFlow<ModelStreamInferResponse> flow = new PartFlow<>(this, parts);
        private Http2Pool.Request request;
        private boolean failed;

        Streamed(Flight flight) {
            this.flight = flight;
        }

        void send() {
            request = streams(flight.place).send(stillWanted(flight), "POST", STREAM, GrpcForm.framed(flight.input().message()), this,
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
            Outcome outcome = Proofs.ofGrpc(how, header(headers, GrpcForm.STATUS), header(headers, Proofs.BEGUN));
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
            Warmth warmth = warmth(header(headers, WARMTH));
            int crowd = number(header(headers, CROWD), -1);
            Report report = report(headers);
            toDesk.accept(desk -> desk.ended(flight, known, warmth, crowd, report, answer));
        }
    }

    private static final int MOST_PATHS = 100_000; // as many as a large fleet's models; made again when cleared

    @Override
    public void giveUp(Flight flight) {
        if (flight.stream instanceof Http2Pool.Request request) {
            request.giveUp();
        }
    }

    @Override
    public void order(Order order) {
        String path = "/v2/repository/models/" + encoded(order.modelName) + "/load";
        byte[] body = ("{\"parameters\":{\"copies\":" + order.copies + "}}").getBytes(StandardCharsets.UTF_8);
        pool(order.place).send(stillWanted(order), "POST", path, body, (how, status, headers, content) -> {
            Outcome outcome = Proofs.ofOrder(how, status);
            int standing = number(header(headers, COPIES), 0);
            toDesk.accept(desk -> desk.ordered(order, outcome, standing));
        }, "content-type", "application/json", "user-agent", agent);
    }

    @Override
    public void unloadIdle(Place place, String model) {
        byte[] body = "{\"parameters\":{\"idle_only\":true}}".getBytes(StandardCharsets.UTF_8);
        pool(place).send("POST", "/v2/repository/models/" + encoded(model) + "/unload", body, (h, s, hd, b) -> { },
                "content-type", "application/json", "user-agent", agent);
    }

    @Override
    public void probe(Place place) {
        double sentAt = clock.getAsDouble();
        pool(place).send("GET", "/v2/health/ready", NOTHING, (how, status, headers, body) -> {
            Outcome outcome = Proofs.ofOrder(how, status);
            Report report = report(headers);
            double took = clock.getAsDouble() - sentAt;
            toDesk.accept(desk -> desk.probed(place, outcome, took, report));
        }, "user-agent", agent);
    }

    /** Since when the executor's process runs, Unix milliseconds; in its answer to a question. */
    static final String UP_SINCE = "executor-up-since";

    @Override
    public void inquire(Place place, String forward, Told then) {
        pool(place).send("GET", "/v2/outcomes/" + encoded(forward), NOTHING, (how, status, headers, body) -> {
            InquiryBook.Told what = how != Exchange.End.ANSWERED ? InquiryBook.Told.NOTHING
                    : status == 200 ? InquiryBook.Told.FINISHED : status == 202 ? InquiryBook.Told.RUNNING
                    : status == 404 ? InquiryBook.Told.UNSEEN : InquiryBook.Told.NOTHING;
            CharSequence since = header(headers, UP_SINCE);
            double upSince = since == null || !since.toString().matches("\\d{1,15}") ? Double.NaN
                    : wall.toModule(Long.parseLong(since.toString()));
            toDesk.accept(desk -> then.told(what, upSince, body));
        }, "user-agent", agent);
    }

    @Override
    public void hangUp(Place place) {
        if (place.link instanceof Pools pools) {
            pools.whole.hangUp();
            if (pools.streams != null) {
                pools.streams.hangUp();
            }
        }
    }

    private Report report(Http2Headers headers) {
        CharSequence text = header(headers, LoadReport.HEADER);
        Report report = LoadReport.parse(text);
        if (text != null && report == null) {
            badReports.increment();
        }
        return report;
    }

    private static CharSequence header(Http2Headers headers, String name) {
        return headers == null ? null : headers.get(name);
    }

    private static int number(CharSequence text, int otherwise) {
        try {
            return text == null ? otherwise : Integer.parseInt(text.toString());
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    private static Warmth warmth(CharSequence text) {
        if (text == null) {
            return Warmth.UNTOLD;
        }
        return switch (text.toString()) {
            case "loaded" -> Warmth.FOUND_LOADED;
            case "began-load" -> Warmth.BEGAN_LOAD;
            case "waited-for-load" -> Warmth.WAITED_FOR_LOAD;
            case "load-failed" -> Warmth.LOAD_FAILED;
            default -> Warmth.UNTOLD;
        };
    }

    private static String encoded(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
