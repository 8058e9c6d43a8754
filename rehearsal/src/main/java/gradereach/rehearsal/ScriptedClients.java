package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.client.FrontEndTransport;
import gradereach.client.Inference;
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
 * Scripted clients: they send at a rate that does not depend on the answers, cancel after their own timeout, retry as
 * their kind of inference allows, and record requests and outcomes in a transcript. One thread decides what is sent;
 * answers are handled on the I/O threads.
 */
final class ScriptedClients implements AutoCloseable {
    /** Attempt numbers that are no retries: the same message replayed, and duplicates sent at about the same time. */
    private static final int REPLAY_ATTEMPT = 100;
    private static final int DUPLICATE_ATTEMPT = 1000;

    /** A customer, with its share of the requests. */
    private record Customer(String name, WebhookKey key, double share) { }

    /**
     * The inferences of one model group.
     *
     * @param repeat retry safety of the group
     * @param timeoutMillis the longest budget
     * @param share share of the requests
     * @param cumulativeWeights how often each model is drawn, added up over the models before it
     * @param workMillis how long an executor works on an inference on average
     */
    private record InferenceKind(String group, String repeat, boolean streamed, double timeoutMillis, double share, String[] models,
            double[] cumulativeWeights, double workMillis) { }

    /** Requests of each protocol that each front end rejects before the scripted traffic starts. */
    private static final int WARM_UP_REQUESTS = 50;
    private static final double WARM_UP_BUDGET_MILLIS = 1000;
    private static final double WARM_UP_TIMEOUT_MILLIS = 3000;
    /** Requests go on this long after the last event of the script, so that its after-effects are tested too. */
    private static final double QUIET_PERIOD_MILLIS = 500;
    /** How long a client waits after its budget, so that a late answer is still received. */
    private static final double WAIT_AFTER_BUDGET_MILLIS = 1000;
    private static final int MAX_REPLAY_DELAY_MILLIS = 400;
    private static final int MAX_DUPLICATE_DELAY_MILLIS = 300;
    /** Longer than every budget of the scripts plus the time that a client waits after it. */
    private static final double FINAL_ANSWERS_TIMEOUT_MILLIS = 15_000;

    private final Transcript transcript;
    private final Transcript warmUpTranscript = Transcript.discarding();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final Http2ConnectionPool[] frontEndPools;
    /** Addresses of the gRPC listeners; empty where there are none. */
    private final List<InetSocketAddress> grpcAddresses;
    /** gRPC clients, one for each customer. At this level the client library retries nothing. */
    private final List<FrontEndTransport> grpcClients = new ArrayList<>();
    private final List<Customer> customers = new ArrayList<>();
    private final List<InferenceKind> kinds = new ArrayList<>();
    private final JsonNode clientSettings;
    private final Random random;
    private final AtomicInteger openRequests = new AtomicInteger();
    private final String runId;
    private int requestCount;
    private volatile double rateMultiplier = 1;
    private volatile int burstCustomer = -1;
    private volatile double customerMultiplier = 1;

    ScriptedClients(JsonNode script, List<InetSocketAddress> addresses, List<InetSocketAddress> grpcAddresses, List<WebhookKey> keys,
            Transcript transcript) {
        this.grpcAddresses = grpcAddresses;
        this.transcript = transcript;
        clientSettings = script.path("clients");
        random = new Random(script.path("seed").asLong(1));
        runId = Long.toHexString(random.nextLong() >>> 40);
        for (int i = 0; i < script.path("customers").size(); i++) {
            JsonNode customer = script.path("customers").path(i);
            grpcClients.add(FrontEndTransport.grpc(keys.get(i), loops));
            customers.add(new Customer(customer.path("name").asText(), keys.get(i), customer.path("share").asDouble(1)));
        }
        for (JsonNode group : script.path("model_groups")) {
            JsonNode groupSettings = clientSettings.path("groups").path(group.path("name").asText());
            int count = groupSettings.path("models").asInt(10);
            String[] models = new String[count];
            double[] cumulativeWeights = new double[count];
            double sum = 0;
            for (int i = 0; i < count; i++) {
                models[i] = group.path("name").asText() + "-" + i;
                sum += 1 / Math.pow(i + 1, groupSettings.path("zipf").asDouble(1.1));
                cumulativeWeights[i] = sum;
            }
            kinds.add(new InferenceKind(group.path("name").asText(), group.path("repeat").asText(),
                    group.path("streamed").asBoolean(false), group.path("route_timeout_ms").asDouble(),
                    groupSettings.path("share").asDouble(1), models, cumulativeWeights, groupSettings.path("work_ms").asDouble(20)));
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
     * Sends every front end some requests that it rejects, so that classes are loaded on both sides before the scripted
     * traffic. They take the same path as that traffic. Without them, the first call was prepared 188 ms late on two cores,
     * which counted as a late answer.
     */
    void warmUp() {
        for (int frontEnd = 0; frontEnd < frontEndPools.length; frontEnd++) {
            warmUp(frontEnd, false, false);
            if (!grpcAddresses.isEmpty()) {
                warmUp(frontEnd, true, false);
                warmUp(frontEnd, true, true);
            }
        }
    }

    private void warmUp(int frontEnd, boolean grpc, boolean streamed) {
        InferenceKind unknown = new InferenceKind("warm-up", "non-retriable", streamed, WARM_UP_BUDGET_MILLIS, 0, new String[] {"warm-up"},
                new double[] {1}, 1);
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            byte[] body = InferenceMessages.webhookBody(unknown.models[0], WARM_UP_BUDGET_MILLIS, 1);
            ScriptedRequest request = new ScriptedRequest(customers.get(i % customers.size()), unknown, "warm-up-" + i, body,
                    WARM_UP_BUDGET_MILLIS, frontEnd, warmUpTranscript);
            request.grpc = grpc;
            request.grpcMessage = InferenceMessages.grpcRequest(unknown.models[0], WARM_UP_BUDGET_MILLIS, 1);
            request.send(0);
        }
        awaitAnswers(WARM_UP_TIMEOUT_MILLIS);
    }

    /** Waits until every request has ended, for {@code millis} at most. */
    private void awaitAnswers(double millis) {
        double deadline = System.nanoTime() / 1e6 + millis;
        while (openRequests.get() > 0 && System.nanoTime() / 1e6 < deadline) {
            LockSupport.parkNanos(5_000_000);
        }
    }

    /** Multiplies the request rate, for a burst. */
    void setRateMultiplier(double multiplier) {
        rateMultiplier = multiplier;
    }

    /** Lets one customer send a multiple of its share; {@code customer} -1 for none. */
    void setCustomerMultiplier(int customer, double multiplier) {
        burstCustomer = customer;
        customerMultiplier = multiplier;
    }

    /**
     * Sends requests for {@code millis} and then until the events of the script have ended and a quiet period is over; then waits
     * until every request has ended.
     *
     * @param maxExtraMillis how long it may go on sending after {@code millis}
     * @param millisSinceLastEvent milliseconds since the last event ended, 0 while one is running
     */
    void run(double millis, double maxExtraMillis, DoubleSupplier millisSinceLastEvent) {
        EventLoopLagMonitor.watch(loops, "clients", transcript);
        double startTime = System.nanoTime() / 1e6;
        double nextSendTime = startTime;
        while (nextSendTime < startTime + millis || nextSendTime < startTime + millis + maxExtraMillis
                && millisSinceLastEvent.getAsDouble() < QUIET_PERIOD_MILLIS) {
            double now = System.nanoTime() / 1e6;
            if (nextSendTime > now) {
                LockSupport.parkNanos((long) ((nextSendTime - now) * 1e6));
                continue;
            }
            sendNext();
            // Exponentially distributed intervals.
            nextSendTime += -Math.log(1 - random.nextDouble()) * 1000 / (clientSettings.path("rate").asDouble(100) * rateMultiplier);
        }
        awaitAnswers(FINAL_ANSWERS_TIMEOUT_MILLIS);
    }

    private int drawCustomer() {
        double sum = 0;
        for (int i = 0; i < customers.size(); i++) {
            sum += customers.get(i).share * (i == burstCustomer ? customerMultiplier : 1);
        }
        double remaining = random.nextDouble() * sum;
        for (int i = 0; i < customers.size(); i++) {
            remaining -= customers.get(i).share * (i == burstCustomer ? customerMultiplier : 1);
            if (remaining < 0) {
                return i;
            }
        }
        return customers.size() - 1;
    }

    private InferenceKind drawKind() {
        double sum = kinds.stream().mapToDouble(InferenceKind::share).sum();
        double remaining = random.nextDouble() * sum;
        for (InferenceKind kind : kinds) {
            remaining -= kind.share;
            if (remaining < 0) {
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
        double workMillis = kind.workMillis * (0.5 + random.nextDouble());
        double budgetMillis = kind.timeoutMillis * (0.5 + 0.5 * random.nextDouble());
        byte[] body = InferenceMessages.webhookBody(kind.models[model], budgetMillis, workMillis);
        ScriptedRequest request = new ScriptedRequest(customer, kind, "m-" + runId + "-" + requestCount, body, Math.round(budgetMillis),
                requestCount++ % frontEndPools.length, transcript);
        double choice = random.nextDouble();
        double forgedShare = clientSettings.path("forged").asDouble(0);
        double replayedShare = clientSettings.path("replayed").asDouble(0);
        double cancelledShare = clientSettings.path("leaving").asDouble(0);
        request.forged = choice < forgedShare;
        request.replayed = choice >= forgedShare && choice < forgedShare + replayedShare;
        request.cancelAfterMillis = choice > 1 - cancelledShare ? budgetMillis * random.nextDouble() : -1;
        request.async = !request.replayed && request.cancelAfterMillis < 0
                && random.nextDouble() < clientSettings.path("async").asDouble(0);
        request.grpc = !request.forged && !request.async && !grpcAddresses.isEmpty()
                && random.nextDouble() < clientSettings.path("grpc").asDouble(0);
        if (request.grpc) {
            request.grpcMessage = InferenceMessages.grpcRequest(kind.models[model], Math.round(budgetMillis), workMillis);
        }
        request.send(0);
        for (int i = 1; i < clientSettings.path("copies").asInt(1); i++) {
            int attempt = DUPLICATE_ATTEMPT + i;
            request.sendAfter(attempt, random.nextInt(MAX_DUPLICATE_DELAY_MILLIS));
        }
    }

    /** One message of one client, with its retries. */
    private final class ScriptedRequest {
        final Customer customer;
        final InferenceKind kind;
        final String id;
        final byte[] body;
        final double budgetMillis;
        final int firstFrontEnd;
        final Transcript transcript;
        boolean forged;
        boolean replayed;
        boolean async;
        boolean grpc;
        ModelInferRequest grpcMessage;
        double cancelAfterMillis = -1;
        private volatile int lastFrontEnd;

        ScriptedRequest(Customer customer, InferenceKind kind, String id, byte[] body, double budgetMillis,
                int firstFrontEnd, Transcript transcript) {
            this.customer = customer;
            this.kind = kind;
            this.id = id;
            this.body = body;
            this.budgetMillis = budgetMillis;
            this.firstFrontEnd = firstFrontEnd;
            this.transcript = transcript;
        }

        /**
         * Selects the front end of an attempt. A replay goes to the front end of the last attempt, as the others know the
         * message only by its claim. If it went to the front end of a first attempt that was never sent, while a retry went
         * elsewhere, the replay would be new to that front end and look like a violation.
         */
        private int selectFrontEnd(int attempt) {
            if (attempt != REPLAY_ATTEMPT) {
                lastFrontEnd = (firstFrontEnd + attempt) % frontEndPools.length;
            }
            return lastFrontEnd;
        }

        /** Sends an attempt after a delay; the request counts as open meanwhile, so that the run does not end before it is sent. */
        void sendAfter(int attempt, long delayMillis) {
            openRequests.incrementAndGet();
            loops.schedule(() -> {
                send(attempt);
                openRequests.decrementAndGet();
            }, delayMillis, TimeUnit.MILLISECONDS);
        }

        private void send(int attempt) {
            if (grpc) {
                sendGrpc(attempt);
            } else {
                sendWebhook(attempt);
            }
        }

        /** Sends one attempt by gRPC, as a stream where the model streams its answers. */
        private void sendGrpc(int attempt) {
            int frontEnd = selectFrontEnd(attempt);
            InetSocketAddress socketAddress = grpcAddresses.get(frontEnd);
            openRequests.incrementAndGet();
            transcript.write("asked", "mark", customer.name + "/" + id, "n", attempt, "fe", "fe-" + frontEnd, "group", kind.group,
                    "budget", budgetMillis, "async", false, "forged", false, "grpc", true);
            boolean[] cancelled = new boolean[1];
            int[] digest = {1}; // 1 until the first part
            Inference inference = new Inference(id, grpcMessage.getModelName(), grpcMessage);
            Consumer<Object> onPart = part -> {
                if (digest[0] == 1) {
                    transcript.write("begun", "mark", customer.name + "/" + id, "n", attempt);
                }
                digest[0] = 31 * digest[0] + part.hashCode();
            };
            Consumer<gradereach.client.AttemptOutcome> onEnd = attemptOutcome -> {
                openRequests.decrementAndGet();
                boolean neverSent = attemptOutcome.kind() == gradereach.client.AttemptOutcome.Kind.NEVER_SENT;
                String outcome = cancelled[0] ? "left" : neverSent ? "lost" : attemptOutcome.kind().name().toLowerCase();
                transcript.write("heard", "mark", customer.name + "/" + id, "n", attempt, "what", outcome,
                        "end", String.valueOf(attemptOutcome.detail()), "signed", true,
                        "digest", kind.streamed ? digest[0] : String.valueOf(attemptOutcome.answer()).hashCode(), "never_sent",
                        neverSent, "grpc", true);
                boolean retryAllowed = outcome.equals("shed") || neverSent || attemptOutcome.retrySafe() && outcome.equals("failed")
                        || outcome.equals("lost") && kind.repeat.equals("retriable");
                retry(attempt, retryAllowed, attemptOutcome.retryAfterMillis());
            };
            FrontEndTransport transport = grpcClients.get(customers.indexOf(customer));
            String address = socketAddress.getHostString() + ":" + socketAddress.getPort();
            // As by webhook, the call ends well after its budget.
            FrontEndTransport.Attempt call = kind.streamed
                    ? transport.stream(address, inference, budgetMillis + WAIT_AFTER_BUDGET_MILLIS, onPart, onEnd)
                    : transport.send(address, inference, budgetMillis + WAIT_AFTER_BUDGET_MILLIS, onEnd);
            scheduleReplayAndCancel(attempt, () -> {
                cancelled[0] = true;
                call.cancel();
            });
        }

        private void sendWebhook(int attempt) {
            int frontEnd = selectFrontEnd(attempt);
            long timestamp = System.currentTimeMillis() / 1000;
            String signature = "v1," + customer.key.sign(forged ? id + "x" : id, timestamp, body);
            openRequests.incrementAndGet();
            double time = Transcript.now();
            transcript.writeAt(time, "asked", "mark", customer.name + "/" + id, "n", attempt, "fe", "fe-" + frontEnd, "group",
                    kind.group, "budget", budgetMillis, "async", async, "forged", forged);
            String[] headers = {"content-type", "application/json", "webhook-id", id, "webhook-timestamp",
                Long.toString(timestamp), "webhook-signature", signature, "prefer", async ? "respond-async" : "wait=60"};
            Http2ConnectionPool.Request[] request = new Http2ConnectionPool.Request[1];
            request[0] = frontEndPools[frontEnd].send("POST", "/v1/inferences", body, (result, status, responseHeaders, responseBody) -> {
                openRequests.decrementAndGet();
                String responseText = responseBody == null ? "" : new String(responseBody, StandardCharsets.UTF_8);
                String outcome = result == ExchangeResult.GIVEN_UP ? "left" : result != ExchangeResult.ANSWERED ? "lost"
                        : status == 200 ? "returned" : status == 202 ? "accepted"
                        : responseText.contains("\"outcome\":\"shed\"") ? "shed"
                        : responseText.contains("\"outcome\":\"failed\"") ? "failed" : "refused";
                boolean signed = result == ExchangeResult.ANSWERED && signatureValid(responseHeaders, responseBody);
                transcript.write("heard", "mark", customer.name + "/" + id, "n", attempt, "what", outcome, "status", status,
                        "end", result.name(), "signed", signed, "digest", java.util.Arrays.hashCode(responseBody),
                        "never_sent", result == ExchangeResult.NOT_CONNECTED || result == ExchangeResult.NOT_WRITTEN
                                || result == ExchangeResult.REFUSED || result == ExchangeResult.ABOVE_GOAWAY);
                retryAfterAnswer(attempt, outcome, result,
                        responseHeaders == null ? null : responseHeaders.get("retry-after"), responseText);
            }, headers);
            scheduleReplayAndCancel(attempt, () -> request[0].cancel());
        }

        private void scheduleReplayAndCancel(int attempt, Runnable cancel) {
            if (replayed && attempt == 0) {
                sendAfter(REPLAY_ATTEMPT, randomBelow(MAX_REPLAY_DELAY_MILLIS));
            }
            // The client cancels a request that is not answered well after its budget, or earlier where the script says so.
            if (cancelAfterMillis >= 0 || !grpc) {
                loops.schedule(cancel, (long) (cancelAfterMillis >= 0 ? cancelAfterMillis : budgetMillis + WAIT_AFTER_BUDGET_MILLIS),
                        TimeUnit.MILLISECONDS);
            }
        }

        private long randomBelow(int bound) {
            return java.util.concurrent.ThreadLocalRandom.current().nextInt(bound);
        }

        private boolean signatureValid(io.netty.handler.codec.http2.Http2Headers headers, byte[] content) {
            KeyRing keyRing = new KeyRing(List.of(List.of(customer.key)));
            return keyRing.verify(String.valueOf(headers.get("webhook-id")), String.valueOf(headers.get("webhook-timestamp")),
                    String.valueOf(headers.get("webhook-signature")), content, System.currentTimeMillis() / 1000, 0)
                    .rejection() == null;
        }

        /** Retries as real clients do: where a retry is safe or the request was never sent. */
        private void retryAfterAnswer(int attempt, String outcome, ExchangeResult result, CharSequence retryAfter, String responseText) {
            boolean neverSent = result == ExchangeResult.NOT_CONNECTED || result == ExchangeResult.NOT_WRITTEN
                    || result == ExchangeResult.REFUSED || result == ExchangeResult.ABOVE_GOAWAY;
            boolean retryAllowed = outcome.equals("shed") || neverSent
                    || responseText.contains("\"repeat_harmless\":true") && outcome.equals("failed")
                    || outcome.equals("lost") && kind.repeat.equals("retriable");
            retry(attempt, retryAllowed, retryAfter == null ? 0 : 1000.0 * Integer.parseInt(retryAfter.toString()));
        }

        private void retry(int attempt, boolean retryAllowed, double retryAfterMillis) {
            if (forged || attempt >= clientSettings.path("repeats").asInt(2) || !retryAllowed || async) {
                return;
            }
            // Depends on the message id: the retries of one message all wait as long as the front end asks, or none does.
            boolean honorsRetryAfter = clientSettings.path("heeds_pause").asDouble(0.5) > Math.abs(id.hashCode() % 100) / 100.0;
            long delayMillis = honorsRetryAfter ? (long) retryAfterMillis : 0;
            sendAfter(attempt + 1, delayMillis);
        }
    }

    @Override
    public void close() {
        grpcClients.forEach(FrontEndTransport::close);
        loops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
}
