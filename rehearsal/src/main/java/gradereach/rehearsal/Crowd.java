package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.client.Inference;
import gradereach.client.Way;
import gradereach.counts.Counts;
import gradereach.http2.Exchange.End;
import gradereach.http2.Http2Pool;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.standins.LagWatch;
import gradereach.standins.Transcript;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Scripted clients: ask at a rate that does not wait for answers, give up on their own time, repeat as their kind
 * does, and write down what they asked and heard. One thread decides; answers come from the I/O threads.
 */
final class Crowd implements AutoCloseable {
    /** Numbers of tries that are no repeats: the same message played again, and copies of it sent at once. */
    private static final int REPLAY = 100;
    private static final int SAME = 1000;

    private record Customer(String name, WebhookKey key, double share) { }

    private record Kind(String group, String repeat, boolean streamed, double timeout, double share, String[] models,
            double[] upTo, double work) { }

    /** Requests of one kind that each front end refuses before the day. */
    private static final int WARM_UPS = 50;
    private static final double WARM_UP_BUDGET = 1000;
    private static final double WARM_UP_MILLIS = 3000;
    /** What an event leaves behind is asked of as well. */
    private static final double AFTER_EVENTS_MILLIS = 500;
    /** Above every budget of the days, and what a client waits after it. */
    private static final double LAST_ENDS_MILLIS = 15_000;

    private final Transcript transcript;
    private final Transcript warmUps = Transcript.discarded();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Http2Pool[] fronts;
    /** Of their gRPC listeners; empty where there are none. */
    private final List<InetSocketAddress> grpcFronts;
    /** By customer; the library repeats nothing. */
    private final List<Way> byGrpc = new ArrayList<>();
    private final List<Customer> customers = new ArrayList<>();
    private final List<Kind> kinds = new ArrayList<>();
    private final JsonNode habits;
    private final Random chance;
    private final AtomicInteger open = new AtomicInteger();
    private final String run;
    private int asked;
    private volatile double rateTimes = 1;
    private volatile int loud = -1;
    private volatile double louder = 1;

    Crowd(JsonNode day, List<InetSocketAddress> addresses, List<InetSocketAddress> grpcFronts, List<WebhookKey> keys,
            Transcript transcript) {
        this.grpcFronts = grpcFronts;
        this.transcript = transcript;
        habits = day.path("clients");
        chance = new Random(day.path("seed").asLong(1));
        run = Long.toHexString(chance.nextLong() >>> 40);
        for (int i = 0; i < day.path("customers").size(); i++) {
            JsonNode c = day.path("customers").path(i);
            byGrpc.add(Way.grpc(keys.get(i), loops));
            customers.add(new Customer(c.path("name").asText(), keys.get(i), c.path("share").asDouble(1)));
        }
        for (JsonNode g : day.path("model_groups")) {
            JsonNode habit = habits.path("groups").path(g.path("name").asText());
            int count = habit.path("models").asInt(10);
            String[] models = new String[count];
            double[] upTo = new double[count];
            double sum = 0;
            for (int i = 0; i < count; i++) {
                models[i] = g.path("name").asText() + "-" + i;
                sum += 1 / Math.pow(i + 1, habit.path("zipf").asDouble(1.1));
                upTo[i] = sum;
            }
            kinds.add(new Kind(g.path("name").asText(), g.path("repeat").asText(),
                    g.path("streamed").asBoolean(false), g.path("route_timeout_ms").asDouble(), habit.path("share").asDouble(1), models, upTo,
                    habit.path("work_ms").asDouble(20)));
        }
        Counts counts = new Counts();
        fronts = new Http2Pool[addresses.size()];
        for (int i = 0; i < fronts.length; i++) {
            fronts[i] = new Http2Pool(addresses.get(i), loops.next(), NioSocketChannel.class,
                    new Http2Pool.Bounds(8, 500, 500, 10_000, 1 << 20, 1 << 20), new Http2Pool.Tally(counts, "crowd"),
                    () -> System.nanoTime() / 1e6);
        }
    }

    /**
     * Has every front end refuse some requests, so that neither side's first one pays for loading classes. They take the
     * very path of the day's requests: a first call prepared 188 ms late, on two cores, counted as a late answer.
     */
    void warmUp() {
        for (int front = 0; front < fronts.length; front++) {
            warmUp(front, false, false);
            if (!grpcFronts.isEmpty()) {
                warmUp(front, true, false);
                warmUp(front, true, true);
            }
        }
    }

    private void warmUp(int front, boolean grpc, boolean streamed) {
        Kind unknown = new Kind("warm-up", "non-retriable", streamed, WARM_UP_BUDGET, 0, new String[] {"warm-up"},
                new double[] {1}, 1);
        for (int i = 0; i < WARM_UPS; i++) {
            byte[] body = InferenceMessages.webhook(unknown.models[0], WARM_UP_BUDGET, 1);
            Ask ask = new Ask(customers.get(i % customers.size()), unknown, "warm-up-" + i, body, WARM_UP_BUDGET, front,
                    warmUps);
            ask.grpc = grpc;
            ask.message = InferenceMessages.grpc(unknown.models[0], WARM_UP_BUDGET, 1);
            ask.send(0);
        }
        awaitEnds(WARM_UP_MILLIS);
    }

    /** Until all that was asked is at an end, or {@code millis} are over. */
    private void awaitEnds(double millis) {
        double until = System.nanoTime() / 1e6 + millis;
        while (open.get() > 0 && System.nanoTime() / 1e6 < until) {
            LockSupport.parkNanos(5_000_000);
        }
    }

    /** Rate times {@code size}, for a burst. */
    void burst(double size) {
        rateTimes = size;
    }

    /** One customer sends that many times its share. */
    void burstOf(int customer, double size) {
        loud = customer;
        louder = size;
    }

    /**
     * Asks for {@code millis}, and on until nothing has happened for a while, {@code longest} milliseconds at most; then
     * waits until all asked is at an end.
     *
     * @param quietFor milliseconds since the last event ended, 0 while one is under way
     */
    void run(double millis, double longest, DoubleSupplier quietFor) {
        LagWatch.watch(loops, "clients", transcript);
        double start = System.nanoTime() / 1e6;
        double next = start;
        while (next < start + millis || next < start + millis + longest && quietFor.getAsDouble() < AFTER_EVENTS_MILLIS) {
            double now = System.nanoTime() / 1e6;
            if (next > now) {
                LockSupport.parkNanos((long) ((next - now) * 1e6));
                continue;
            }
            ask();
            next += -Math.log(1 - chance.nextDouble()) * 1000 / (habits.path("rate").asDouble(100) * rateTimes);
        }
        awaitEnds(LAST_ENDS_MILLIS);
    }

    private int drawCustomer() {
        double sum = 0;
        for (int i = 0; i < customers.size(); i++) {
            sum += customers.get(i).share * (i == loud ? louder : 1);
        }
        double at = chance.nextDouble() * sum;
        for (int i = 0; i < customers.size(); i++) {
            at -= customers.get(i).share * (i == loud ? louder : 1);
            if (at < 0) {
                return i;
            }
        }
        return customers.size() - 1;
    }

    private Kind drawKind() {
        double sum = kinds.stream().mapToDouble(Kind::share).sum();
        double at = chance.nextDouble() * sum;
        for (Kind kind : kinds) {
            at -= kind.share;
            if (at < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private void ask() {
        Customer customer = customers.get(drawCustomer());
        Kind kind = drawKind();
        double draw = chance.nextDouble() * kind.upTo[kind.upTo.length - 1];
        int model = 0;
        while (kind.upTo[model] < draw) {
            model++;
        }
        double work = kind.work * (0.5 + chance.nextDouble());
        double budget = kind.timeout * (0.5 + 0.5 * chance.nextDouble());
        byte[] body = InferenceMessages.webhook(kind.models[model], budget, work);
        Ask ask = new Ask(customer, kind, "m-" + run + "-" + asked, body, Math.round(budget),
                asked++ % fronts.length, transcript);
        double lot = chance.nextDouble();
        double forged = habits.path("forged").asDouble(0);
        double replayed = habits.path("replayed").asDouble(0);
        double leaving = habits.path("leaving").asDouble(0);
        ask.forged = lot < forged;
        ask.replays = lot >= forged && lot < forged + replayed;
        ask.leavesAfter = lot > 1 - leaving ? budget * chance.nextDouble() : -1;
        ask.async = !ask.replays && ask.leavesAfter < 0 && chance.nextDouble() < habits.path("async").asDouble(0);
        ask.grpc = !ask.forged && !ask.async && !grpcFronts.isEmpty() && chance.nextDouble() < habits.path("grpc").asDouble(0);
        if (ask.grpc) {
            ask.message = InferenceMessages.grpc(kind.models[model], Math.round(budget), work);
        }
        ask.send(0);
        for (int i = 1; i < habits.path("copies").asInt(1); i++) {
            int n = SAME + i;
            ask.sendIn(n, chance.nextInt(300));
        }
    }

    /** One message of one client, over its repeats. */
    private final class Ask {
        final Customer customer;
        final Kind kind;
        final String id;
        final byte[] body;
        final double budget;
        final int first;
        final Transcript transcript;
        boolean forged;
        boolean replays;
        boolean async;
        boolean grpc;
        ModelInferRequest message;
        double leavesAfter = -1;
        private volatile int went;

        Ask(Customer customer, Kind kind, String id, byte[] body, double budget, int first,
                Transcript transcript) {
            this.customer = customer;
            this.kind = kind;
            this.id = id;
            this.body = body;
            this.budget = budget;
            this.first = first;
            this.transcript = transcript;
        }

        /**
         * A replayed message comes where the message went last: what another front end can know of it is shared only by claims.
         * Found by a bad day: a first try that never left, its repeat elsewhere, and the replay where nobody had heard of it.
         */
        private int front(int n) {
            if (n != REPLAY) {
                went = (first + n) % fronts.length;
            }
            return went;
        }

        /** What is still to be sent is open: the day is not over before. */
        void sendIn(int n, long wait) {
            open.incrementAndGet();
            loops.schedule(() -> {
                send(n);
                open.decrementAndGet();
            }, wait, TimeUnit.MILLISECONDS);
        }

        private void send(int n) {
            if (grpc) {
                call(n);
            } else {
                post(n);
            }
        }

        /** By gRPC, one try, in parts where the model answers so. */
        private void call(int n) {
            int front = front(n);
            InetSocketAddress to = grpcFronts.get(front);
            open.incrementAndGet();
            transcript.write("asked", "mark", customer.name + "/" + id, "n", n, "fe", "fe-" + front, "group", kind.group,
                    "budget", budget, "async", false, "forged", false, "grpc", true);
            boolean[] left = new boolean[1];
            int[] digest = {1};
            Inference inference = new Inference(id, message.getModelName(), message);
            Consumer<Object> parts = part -> {
                if (digest[0] == 1) {
                    transcript.write("begun", "mark", customer.name + "/" + id, "n", n);
                }
                digest[0] = 31 * digest[0] + part.hashCode();
            };
            Consumer<gradereach.client.End> then = end -> {
                open.decrementAndGet();
                boolean neverSent = end.kind() == gradereach.client.End.Kind.NEVER_SENT;
                String what = left[0] ? "left" : neverSent ? "lost" : end.kind().name().toLowerCase();
                transcript.write("heard", "mark", customer.name + "/" + id, "n", n, "what", what, "end", String.valueOf(end.why()),
                        "signed", true, "digest", kind.streamed ? digest[0] : String.valueOf(end.answer()).hashCode(), "never_sent",
                        neverSent, "grpc", true);
                boolean again = what.equals("shed") || neverSent || end.harmless() && what.equals("failed")
                        || what.equals("lost") && kind.repeat.equals("retriable");
                repeat(n, again, end.pause());
            };
            Way way = byGrpc.get(customers.indexOf(customer));
            String address = to.getHostString() + ":" + to.getPort();
            // As by webhook: closed well after its time, so that a late answer is heard.
            Way.Try sent = kind.streamed ? way.stream(address, inference, budget + 1000, parts, then)
                    : way.send(address, inference, budget + 1000, then);
            replayAndLeave(n, () -> {
                left[0] = true;
                sent.giveUp();
            });
        }

        private void post(int n) {
            int front = front(n);
            long at = System.currentTimeMillis() / 1000;
            String signature = "v1," + customer.key.sign(forged ? id + "x" : id, at, body);
            open.incrementAndGet();
            double t = Transcript.now();
            transcript.writeAt(t, "asked", "mark", customer.name + "/" + id, "n", n, "fe", "fe-" + front, "group",
                    kind.group, "budget", budget, "async", async, "forged", forged);
            String[] headers = {"content-type", "application/json", "webhook-id", id, "webhook-timestamp",
                Long.toString(at), "webhook-signature", signature, "prefer", async ? "respond-async" : "wait=60"};
            Http2Pool.Request[] request = new Http2Pool.Request[1];
            request[0] = fronts[front].send("POST", "/v1/inferences", body, (end, status, head, content) -> {
                open.decrementAndGet();
                String text = content == null ? "" : new String(content, StandardCharsets.UTF_8);
                String what = end == End.GIVEN_UP ? "left" : end != End.ANSWERED ? "lost"
                        : status == 200 ? "returned" : status == 202 ? "accepted"
                        : text.contains("\"outcome\":\"shed\"") ? "shed"
                        : text.contains("\"outcome\":\"failed\"") ? "failed" : "refused";
                boolean signed = end == End.ANSWERED && checked(head, content);
                transcript.write("heard", "mark", customer.name + "/" + id, "n", n, "what", what, "status", status,
                        "end", end.name(), "signed", signed, "digest", java.util.Arrays.hashCode(content),
                        "never_sent", end == End.NOT_CONNECTED || end == End.NOT_WRITTEN || end == End.REFUSED
                                || end == End.ABOVE_GOAWAY);
                after(n, what, end, head == null ? null : head.get("retry-after"), text);
            }, headers);
            replayAndLeave(n, () -> request[0].giveUp());
        }

        private void replayAndLeave(int n, Runnable leave) {
            if (replays && n == 0) {
                sendIn(REPLAY, chance(400));
            }
            // A client's own clock: it closes what is not answered well after its time, or when it has had enough.
            if (leavesAfter >= 0 || !grpc) {
                loops.schedule(leave, (long) (leavesAfter >= 0 ? leavesAfter : budget + 1000), TimeUnit.MILLISECONDS);
            }
        }

        private long chance(int bound) {
            return java.util.concurrent.ThreadLocalRandom.current().nextInt(bound);
        }

        private boolean checked(io.netty.handler.codec.http2.Http2Headers head, byte[] content) {
            KeyRing ring = new KeyRing(List.of(List.of(customer.key)));
            return ring.judge(String.valueOf(head.get("webhook-id")), String.valueOf(head.get("webhook-timestamp")),
                    String.valueOf(head.get("webhook-signature")), content, System.currentTimeMillis() / 1000, 0)
                    .refusal() == null;
        }

        /** Repeats as the users' clients do: what is harmless, and what never left. */
        private void after(int n, String what, End end, CharSequence pause, String text) {
            boolean neverSent = end == End.NOT_CONNECTED || end == End.NOT_WRITTEN || end == End.REFUSED
                    || end == End.ABOVE_GOAWAY;
            boolean again = what.equals("shed") || neverSent
                    || text.contains("\"repeat_harmless\":true") && what.equals("failed")
                    || what.equals("lost") && kind.repeat.equals("retriable");
            repeat(n, again, pause == null ? 0 : 1000.0 * Integer.parseInt(pause.toString()));
        }

        private void repeat(int n, boolean again, double pause) {
            if (forged || n >= habits.path("repeats").asInt(2) || !again || async) {
                return;
            }
            boolean heeds = habits.path("heeds_pause").asDouble(0.5) > Math.abs(id.hashCode() % 100) / 100.0;
            long wait = heeds ? (long) pause : 0;
            sendIn(n + 1, wait);
        }
    }

    @Override
    public void close() {
        byGrpc.forEach(Way::close);
        loops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
}
