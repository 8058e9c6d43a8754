package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.client.Inference;
import gradereach.client.FrontEndTransport;
import gradereach.counts.Counts;
import gradereach.http2.ExchangeListener.ExchangeResult;
import gradereach.http2.Http2ConnectionPool;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.standins.EventLoopLagMonitor;
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
final class ScriptedClients implements AutoCloseable {
    /** Numbers of tries that are no repeats: the same message played again, and copies of it sent at once. */
    private static final int REPLAY_ATTEMPT = 100;
    private static final int DUPLICATE_ATTEMPT = 1000;

    private record Customer(String name, WebhookKey key, double share) { }

    private record InferenceKind(String group, String repeat, boolean streamed, double timeoutMillis, double share, String[] models,
            double[] cumulativeWeights, double workMillis) { }

    /** Requests of one kind that each front end refuses before the day. */
    private static final int WARM_UP_REQUESTS = 50;
    private static final double WARM_UP_BUDGET_MILLIS = 1000;
    private static final double WARM_UP_TIMEOUT_MILLIS = 3000;
    /** What an event leaves behind is asked of as well. */
    private static final double QUIET_PERIOD_MILLIS = 500;
    /** Above every budget of the days, and what a client waits after it. */
    private static final double FINAL_ANSWERS_TIMEOUT_MILLIS = 15_000;

    private final Transcript transcript;
    private final Transcript warmUpTranscript = Transcript.discarded();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Http2ConnectionPool[] frontEndPools;
    /** Of their gRPC listeners; empty where there are none. */
    private final List<InetSocketAddress> grpcAddresses;
    /** By customer; the library repeats nothing. */
    private final List<FrontEndTransport> grpcClients = new ArrayList<>();
    private final List<Customer> customers = new ArrayList<>();
    private final List<InferenceKind> kinds = new ArrayList<>();
    private final JsonNode clientSettings;
    private final Random random;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final String run;
    private int requestCount;
    private volatile double rateMultiplier = 1;
    private volatile int burstCustomer = -1;
    private volatile double customerMultiplier = 1;

    ScriptedClients(JsonNode day, List<InetSocketAddress> addresses, List<InetSocketAddress> grpcFronts, List<WebhookKey> keys,
            Transcript transcript) {
        this.grpcAddresses = grpcFronts;
        this.transcript = transcript;
        clientSettings = day.path("clients");
        random = new Random(day.path("seed").asLong(1));
        run = Long.toHexString(random.nextLong() >>> 40);
        for (int i = 0; i < day.path("customers").size(); i++) {
            JsonNode c = day.path("customers").path(i);
            grpcClients.add(FrontEndTransport.grpc(keys.get(i), loops));
            customers.add(new Customer(c.path("name").asText(), keys.get(i), c.path("share").asDouble(1)));
        }
        for (JsonNode g : day.path("model_groups")) {
            JsonNode habit = clientSettings.path("groups").path(g.path("name").asText());
            int count = habit.path("models").asInt(10);
            String[] models = new String[count];
            double[] upTo = new double[count];
            double sum = 0;
            for (int i = 0; i < count; i++) {
                models[i] = g.path("name").asText() + "-" + i;
                sum += 1 / Math.pow(i + 1, habit.path("zipf").asDouble(1.1));
                upTo[i] = sum;
            }
            kinds.add(new InferenceKind(g.path("name").asText(), g.path("repeat").asText(),
                    g.path("streamed").asBoolean(false), g.path("route_timeout_ms").asDouble(), habit.path("share").asDouble(1), models, upTo,
                    habit.path("work_ms").asDouble(20)));
        }
        Counts counts = new Counts();
        frontEndPools = new Http2ConnectionPool[addresses.size()];
        for (int i = 0; i < frontEndPools.length; i++) {
            frontEndPools[i] = new Http2ConnectionPool(addresses.get(i), loops.next(), NioSocketChannel.class,
                    new Http2ConnectionPool.Limits(8, 500, 500, 10_000, 1 << 20, 1 << 20), new Http2ConnectionPool.Metrics(counts, "crowd"),
                    () -> System.nanoTime() / 1e6);
        }
    }

    /**
     * Has every front end refuse some requests, so that neither side's first one pays for loading classes. They take the
     * very path of the day's requests: a first call prepared 188 ms late, on two cores, counted as a late answer.
     */
    void warmUp() {
        for (int front = 0; front < frontEndPools.length; front++) {
            warmUp(front, false, false);
            if (!grpcAddresses.isEmpty()) {
                warmUp(front, true, false);
                warmUp(front, true, true);
            }
        }
    }

    private void warmUp(int front, boolean grpc, boolean streamed) {
        InferenceKind unknown = new InferenceKind("warm-up", "non-retriable", streamed, WARM_UP_BUDGET_MILLIS, 0, new String[] {"warm-up"},
                new double[] {1}, 1);
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            byte[] body = InferenceMessages.webhook(unknown.models[0], WARM_UP_BUDGET_MILLIS, 1);
            ScriptedRequest ask = new ScriptedRequest(customers.get(i % customers.size()), unknown, "warm-up-" + i, body, WARM_UP_BUDGET_MILLIS, front,
                    warmUpTranscript);
            ask.grpc = grpc;
            ask.grpcMessage = InferenceMessages.grpc(unknown.models[0], WARM_UP_BUDGET_MILLIS, 1);
            ask.send(0);
        }
        awaitAnswers(WARM_UP_TIMEOUT_MILLIS);
    }

    /** Until all that was asked is at an end, or {@code millis} are over. */
    private void awaitAnswers(double millis) {
        double until = System.nanoTime() / 1e6 + millis;
        while (openRequests.get() > 0 && System.nanoTime() / 1e6 < until) {
            LockSupport.parkNanos(5_000_000);
        }
    }

    /** Rate times {@code size}, for a burst. */
    void setRateMultiplier(double size) {
        rateMultiplier = size;
    }

    /** One customer sends that many times its share. */
    void setCustomerMultiplier(int customer, double size) {
        burstCustomer = customer;
        customerMultiplier = size;
    }

    /**
     * Asks for {@code millis}, and on until nothing has happened for a while, {@code longest} milliseconds at most; then
     * waits until all asked is at an end.
     *
     * @param quietFor milliseconds since the last event ended, 0 while one is under way
     */
    void run(double millis, double longest, DoubleSupplier quietFor) {
        EventLoopLagMonitor.watch(loops, "clients", transcript);
        double start = System.nanoTime() / 1e6;
        double next = start;
        while (next < start + millis || next < start + millis + longest && quietFor.getAsDouble() < QUIET_PERIOD_MILLIS) {
            double now = System.nanoTime() / 1e6;
            if (next > now) {
                LockSupport.parkNanos((long) ((next - now) * 1e6));
                continue;
            }
            sendNext();
            next += -Math.log(1 - random.nextDouble()) * 1000 / (clientSettings.path("rate").asDouble(100) * rateMultiplier);
        }
        awaitAnswers(FINAL_ANSWERS_TIMEOUT_MILLIS);
    }

    private int drawCustomer() {
        double sum = 0;
        for (int i = 0; i < customers.size(); i++) {
            sum += customers.get(i).share * (i == burstCustomer ? customerMultiplier : 1);
        }
        double at = random.nextDouble() * sum;
        for (int i = 0; i < customers.size(); i++) {
            at -= customers.get(i).share * (i == burstCustomer ? customerMultiplier : 1);
            if (at < 0) {
                return i;
            }
        }
        return customers.size() - 1;
    }

    private InferenceKind drawKind() {
        double sum = kinds.stream().mapToDouble(InferenceKind::share).sum();
        double at = random.nextDouble() * sum;
        for (InferenceKind kind : kinds) {
            at -= kind.share;
            if (at < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }

    private void sendNext() {
        Customer customer = customers.get(drawCustomer());
        InferenceKind kind = drawKind();
        double draw = random.nextDouble() * kind.cumulativeWeights[kind.cumulativeWeights.length - 1];
        int model = 0;
        while (kind.cumulativeWeights[model] < draw) {
            model++;
        }
        double work = kind.workMillis * (0.5 + random.nextDouble());
        double budget = kind.timeoutMillis * (0.5 + 0.5 * random.nextDouble());
        byte[] body = InferenceMessages.webhook(kind.models[model], budget, work);
        ScriptedRequest ask = new ScriptedRequest(customer, kind, "m-" + run + "-" + requestCount, body, Math.round(budget),
                requestCount++ % frontEndPools.length, transcript);
        double lot = random.nextDouble();
        double forged = clientSettings.path("forged").asDouble(0);
        double replayed = clientSettings.path("replayed").asDouble(0);
        double leaving = clientSettings.path("leaving").asDouble(0);
        ask.forged = lot < forged;
        ask.replayed = lot >= forged && lot < forged + replayed;
        ask.cancelAfterMillis = lot > 1 - leaving ? budget * random.nextDouble() : -1;
        ask.async = !ask.replayed && ask.cancelAfterMillis < 0 && random.nextDouble() < clientSettings.path("async").asDouble(0);
        ask.grpc = !ask.forged && !ask.async && !grpcAddresses.isEmpty() && random.nextDouble() < clientSettings.path("grpc").asDouble(0);
        if (ask.grpc) {
            ask.grpcMessage = InferenceMessages.grpc(kind.models[model], Math.round(budget), work);
        }
        ask.send(0);
        for (int i = 1; i < clientSettings.path("copies").asInt(1); i++) {
            int n = DUPLICATE_ATTEMPT + i;
            ask.sendAfter(n, random.nextInt(300));
        }
    }

    /** One message of one client, over its repeats. */
    private final class ScriptedRequest {
        final Customer customer;
        final InferenceKind kind;
        final String id;
        final byte[] body;
        final double budget;
        final int firstFrontEnd;
        final Transcript transcript;
        boolean forged;
        boolean replayed;
        boolean async;
        boolean grpc;
        ModelInferRequest grpcMessage;
        double cancelAfterMillis = -1;
        private volatile int lastFrontEnd;

        ScriptedRequest(Customer customer, InferenceKind kind, String id, byte[] body, double budget, int first,
                Transcript transcript) {
            this.customer = customer;
            this.kind = kind;
            this.id = id;
            this.body = body;
            this.budget = budget;
            this.firstFrontEnd = first;
            this.transcript = transcript;
        }

        /**
         * A replayed message comes where the message went last: what another front end can know of it is shared only by claims.
         * Found by a bad day: a first try that never left, its repeat elsewhere, and the replay where nobody had heard of it.
         */
        private int selectFrontEnd(int n) {
            if (n != REPLAY_ATTEMPT) {
                lastFrontEnd = (firstFrontEnd + n) % frontEndPools.length;
            }
            return lastFrontEnd;
        }

        /** What is still to be sent is open: the day is not over before. */
        void sendAfter(int n, long wait) {
            openRequests.incrementAndGet();
            loops.schedule(() -> {
                send(n);
                openRequests.decrementAndGet();
            }, wait, TimeUnit.MILLISECONDS);
        }

        private void send(int n) {
            if (grpc) {
                sendGrpc(n);
            } else {
                sendWebhook(n);
            }
        }

        /** By gRPC, one try, in parts where the model answers so. */
        private void sendGrpc(int n) {
            int front = selectFrontEnd(n);
            InetSocketAddress to = grpcAddresses.get(front);
            openRequests.incrementAndGet();
            transcript.write("asked", "mark", customer.name + "/" + id, "n", n, "fe", "fe-" + front, "group", kind.group,
                    "budget", budget, "async", false, "forged", false, "grpc", true);
            boolean[] left = new boolean[1];
            int[] digest = {1};
            Inference inference = new Inference(id, grpcMessage.getModelName(), grpcMessage);
            Consumer<Object> parts = part -> {
                if (digest[0] == 1) {
                    transcript.write("begun", "mark", customer.name + "/" + id, "n", n);
                }
                digest[0] = 31 * digest[0] + part.hashCode();
            };
            Consumer<gradereach.client.AttemptOutcome> then = end -> {
                openRequests.decrementAndGet();
                boolean neverSent = end.kind() == gradereach.client.AttemptOutcome.Kind.NEVER_SENT;
                String what = left[0] ? "left" : neverSent ? "lost" : end.kind().name().toLowerCase();
                transcript.write("heard", "mark", customer.name + "/" + id, "n", n, "what", what, "end", String.valueOf(end.detail()),
                        "signed", true, "digest", kind.streamed ? digest[0] : String.valueOf(end.answer()).hashCode(), "never_sent",
                        neverSent, "grpc", true);
                boolean again = what.equals("shed") || neverSent || end.retrySafe() && what.equals("failed")
                        || what.equals("lost") && kind.repeat.equals("retriable");
                retry(n, again, end.retryAfterMillis());
            };
            FrontEndTransport way = grpcClients.get(customers.indexOf(customer));
            String address = to.getHostString() + ":" + to.getPort();
            // As by webhook: closed well after its time, so that a late answer is heard.
            FrontEndTransport.Attempt sent = kind.streamed ? way.stream(address, inference, budget + 1000, parts, then)
                    : way.send(address, inference, budget + 1000, then);
            scheduleReplayAndCancel(n, () -> {
                left[0] = true;
                sent.cancel();
            });
        }

        private void sendWebhook(int n) {
            int front = selectFrontEnd(n);
            long at = System.currentTimeMillis() / 1000;
            String signature = "v1," + customer.key.sign(forged ? id + "x" : id, at, body);
            openRequests.incrementAndGet();
            double t = Transcript.now();
            transcript.writeAt(t, "asked", "mark", customer.name + "/" + id, "n", n, "fe", "fe-" + front, "group",
                    kind.group, "budget", budget, "async", async, "forged", forged);
            String[] headers = {"content-type", "application/json", "webhook-id", id, "webhook-timestamp",
                Long.toString(at), "webhook-signature", signature, "prefer", async ? "respond-async" : "wait=60"};
            Http2ConnectionPool.Request[] request = new Http2ConnectionPool.Request[1];
            request[0] = frontEndPools[front].send("POST", "/v1/inferences", body, (end, status, head, content) -> {
                openRequests.decrementAndGet();
                String text = content == null ? "" : new String(content, StandardCharsets.UTF_8);
                String what = end == ExchangeResult.GIVEN_UP ? "left" : end != ExchangeResult.ANSWERED ? "lost"
                        : status == 200 ? "returned" : status == 202 ? "accepted"
                        : text.contains("\"outcome\":\"shed\"") ? "shed"
                        : text.contains("\"outcome\":\"failed\"") ? "failed" : "refused";
                boolean signed = end == ExchangeResult.ANSWERED && signatureValid(head, content);
                transcript.write("heard", "mark", customer.name + "/" + id, "n", n, "what", what, "status", status,
                        "end", end.name(), "signed", signed, "digest", java.util.Arrays.hashCode(content),
                        "never_sent", end == ExchangeResult.NOT_CONNECTED || end == ExchangeResult.NOT_WRITTEN || end == ExchangeResult.REFUSED
                                || end == ExchangeResult.ABOVE_GOAWAY);
                retryAfterAnswer(n, what, end, head == null ? null : head.get("retry-after"), text);
            }, headers);
            scheduleReplayAndCancel(n, () -> request[0].cancel());
        }

        private void scheduleReplayAndCancel(int n, Runnable leave) {
            if (replayed && n == 0) {
                sendAfter(REPLAY_ATTEMPT, randomBelow(400));
            }
            // A client's own clock: it closes what is not answered well after its time, or when it has had enough.
            if (cancelAfterMillis >= 0 || !grpc) {
                loops.schedule(leave, (long) (cancelAfterMillis >= 0 ? cancelAfterMillis : budget + 1000), TimeUnit.MILLISECONDS);
            }
        }

        private long randomBelow(int bound) {
            return java.util.concurrent.ThreadLocalRandom.current().nextInt(bound);
        }

        private boolean signatureValid(io.netty.handler.codec.http2.Http2Headers head, byte[] content) {
            KeyRing ring = new KeyRing(List.of(List.of(customer.key)));
            return ring.verify(String.valueOf(head.get("webhook-id")), String.valueOf(head.get("webhook-timestamp")),
                    String.valueOf(head.get("webhook-signature")), content, System.currentTimeMillis() / 1000, 0)
                    .rejection() == null;
        }

        /** Repeats as the users' clients do: what is harmless, and what never left. */
        private void retryAfterAnswer(int n, String what, ExchangeResult end, CharSequence pause, String text) {
            boolean neverSent = end == ExchangeResult.NOT_CONNECTED || end == ExchangeResult.NOT_WRITTEN || end == ExchangeResult.REFUSED
                    || end == ExchangeResult.ABOVE_GOAWAY;
            boolean again = what.equals("shed") || neverSent
                    || text.contains("\"repeat_harmless\":true") && what.equals("failed")
                    || what.equals("lost") && kind.repeat.equals("retriable");
            retry(n, again, pause == null ? 0 : 1000.0 * Integer.parseInt(pause.toString()));
        }

        private void retry(int n, boolean again, double pause) {
            if (forged || n >= clientSettings.path("repeats").asInt(2) || !again || async) {
                return;
            }
            boolean heeds = clientSettings.path("heeds_pause").asDouble(0.5) > Math.abs(id.hashCode() % 100) / 100.0;
            long wait = heeds ? (long) pause : 0;
            sendAfter(n + 1, wait);
        }
    }

    @Override
    public void close() {
        grpcClients.forEach(FrontEndTransport::close);
        loops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
}
