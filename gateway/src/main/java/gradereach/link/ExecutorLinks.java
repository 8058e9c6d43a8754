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
import gradereach.desk.Probe;
import gradereach.flow.PartFlow;
import gradereach.http2.Exchange;
import gradereach.http2.Http2Pool;
import gradereach.inquiry.InquiryBook;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http2.Http2Headers;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;

/**
 * Speaks the Open Inference Protocol (V2, HTTP/REST) to executors over HTTP/2: {@code POST /v2/models/NAME/infer};
 * the model repository extension's {@code load} with the copies as a load parameter (0 only asks) and {@code unload};
 * {@code GET /v2/health/ready} as probe. Ends go to the deciding thread as events.
 */
public final class ExecutorLinks implements Links {
    private static final byte[] NOTHING = {};
    private final String agent;
    private final EventLoopGroup loops;
    private final Class<? extends Channel> channelType;
    private final Http2Pool.Bounds bounds;
    private final Http2Pool.Bounds streamBounds;
    private final Http2Pool.Tally tally;
    private final DoubleSupplier clock;
    private final Consumer<Consumer<Desk>> toDesk;
    private final AnswerHeads heads;
    private final GrpcForwards grpc;
    private final Set<Integer> grpcKinds;
    private final Map<String, String> inferPaths = new ConcurrentHashMap<>();

    /**
     * @param name told to executors as the user agent
     * @param grpcKinds executors of these kinds take inferences by gRPC, and all else as the others do
     * @param streamBounds of connections that carry answers in parts
     */
    public ExecutorLinks(String name, Set<Integer> grpcKinds, EventLoopGroup loops, Class<? extends Channel> channelType, Http2Pool.Bounds bounds,
            Http2Pool.Bounds streamBounds, PartFlow.Bounds parts, Counts counts, DoubleSupplier clock, Consumer<Consumer<Desk>> toDesk) {
        this.agent = "gradereach/" + name;
        this.loops = loops;
        this.channelType = channelType;
        this.bounds = bounds;
        this.streamBounds = streamBounds;
        this.clock = clock;
        this.toDesk = toDesk;
        tally = new Http2Pool.Tally(counts, "executor");
        this.grpcKinds = grpcKinds;
        heads = new AnswerHeads(counts);
        grpc = new GrpcForwards(agent, heads, bounds.longestAnswer(), parts, toDesk, counts);
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
                grpc.stream(streams(flight.place), flight, stillWanted(flight));
            } else {
                grpc.call(pool(flight.place), flight, stillWanted(flight));
            }
            return;
        }
        Exchange end = (how, status, headers, body) -> {
            Outcome outcome = Proofs.ofForward(how, status, AnswerHeads.header(headers, Proofs.BEGUN));
            if (how == Exchange.End.GIVEN_UP || how == Exchange.End.NOT_WRITTEN && flight.givenUp) {
                return; // the desk gave it up and knows
            }
            Warmth warmth = AnswerHeads.warmth(AnswerHeads.header(headers, AnswerHeads.WARMTH));
            int crowd = AnswerHeads.number(AnswerHeads.header(headers, AnswerHeads.CROWD), -1);
            Report report = heads.report(headers);
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
     * nor may have done so unheard, nor been replaced. It waited for a connection, or for its thread.
     */
    private BooleanSupplier stillWanted(Flight flight) {
        BooleanSupplier ready = stillReady(flight.place);
        return () -> !flight.givenUp && flight.meetsItsProcess() && clock.getAsDouble() < flight.writableUntil() && ready.getAsBoolean();
    }

    private BooleanSupplier stillWanted(Order order) {
        BooleanSupplier ready = stillReady(order.place);
        return () -> order.wanted() && order.meetsItsProcess() && clock.getAsDouble() < order.writableUntil() && ready.getAsBoolean();
    }

    private static BooleanSupplier stillReady(Place place) {
        boolean wasReady = place.ready();
        return () -> !wasReady || place.ready();
    }

    /** Loads what forwards by gRPC need: the first inferences of a process would pay for it otherwise. */
    public static void warmUp(int times) {
        GrpcForwards.warmUp(times);
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
            int standing = AnswerHeads.number(AnswerHeads.header(headers, AnswerHeads.COPIES), 0);
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
    public void probe(Probe probe) {
        pool(probe.place).send(probe::wanted, "GET", "/v2/health/ready", NOTHING, (how, status, headers, body) -> {
            Outcome outcome = Proofs.ofOrder(how, status);
            Report report = heads.report(headers);
            toDesk.accept(desk -> desk.probed(probe, outcome, report));
        }, "user-agent", agent);
    }

    /** By which an executor's process tells itself from any other, in its answer to a question: a number that it drew at its start. */
    static final String PROCESS = "executor-process";
    /** With {@code yes}: the process that answers "never seen" refuses the forward, unrun, should it come from now on. */
    static final String FENCED = "forward-fenced";
    /** Milliseconds after which the answer to a question is not waited for any more. */
    private static final long QUESTION_PATIENCE = 2000;
    /** In place of a forward's name, which has a # in it: asked for what every answer tells of the process. */
    private static final String NO_FORWARD = "none";

    @Override
    public void inquire(Place place, String forward, Told then) {
        Http2Pool.Request request = pool(place).send("GET", "/v2/outcomes/" + encoded(forward), NOTHING, (how, status, headers, body) -> {
            InquiryBook.Told what = how == Exchange.End.ANSWERED ? told(status, headers) : InquiryBook.Told.NOTHING;
            double process = process(headers);
            toDesk.accept(desk -> then.told(what, process, body));
        }, "user-agent", agent);
        loops.next().schedule(request::giveUp, QUESTION_PATIENCE, TimeUnit.MILLISECONDS); // or it would hold its stream for good
    }

    private static InquiryBook.Told told(int status, Http2Headers headers) {
        return switch (status) {
            case 200 -> InquiryBook.Told.FINISHED;
            case 202 -> InquiryBook.Told.RUNNING;
            case 404 -> isFenced(headers) ? InquiryBook.Told.FENCED : InquiryBook.Told.UNSEEN;
            default -> InquiryBook.Told.NOTHING;
        };
    }

    private static boolean isFenced(Http2Headers headers) {
        CharSequence told = AnswerHeads.header(headers, FENCED);
        return told != null && "yes".contentEquals(told);
    }

    @Override
    public void identify(Place place, DoubleConsumer then) {
        inquire(place, NO_FORWARD, (what, process, body) -> then.accept(process));
    }

    /** The number that the executor's process drew at its start, NaN without one that can be read. */
    private static double process(Http2Headers headers) {
        CharSequence told = AnswerHeads.header(headers, PROCESS);
        return told == null || !told.toString().matches("\\d{1,15}") ? Double.NaN : Long.parseLong(told.toString());
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

    private static String encoded(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
