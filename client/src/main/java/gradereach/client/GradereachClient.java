package gradereach.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.protocol.inference.ModelInferResponse;
import gradereach.webhook.WebhookKey;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Asks front ends for inferences, by webhook or by gRPC. An inference keeps one id through all its repeats, so that front
 * ends know it again; it is asked again only where that is harmless, after the pause that was asked for, within its
 * deadline, which its future never outlives. One thread owns the state; all methods may be called from any.
 */
public final class GradereachClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** What an inference may do twice. */
    public enum Effect {
        /** Anything, any number of times. */
        NONE,
        /** Once, and the front ends remember ids over restarts (they have ledgers): a lost try may be asked again. */
        ONCE_REMEMBERED,
        /** Once, and nobody remembers: a lost try stays unknown. */
        ONCE
    }

    /** Inferences of one client at once: as many as a front end holds by default; more wait nowhere, they are refused. */
    private static final int MAX_OPEN_INFERENCES = 20_000;

    /** An inference that was not returned: its last end, and whether its effect is known not to have happened. */
    public static final class NotReturned extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient AttemptOutcome lastOutcome;
        private final int attempts;

        NotReturned(AttemptOutcome end, int tries) {
            super(end.kind() + ": " + end.detail());
            this.lastOutcome = end;
            this.attempts = tries;
        }

        public AttemptOutcome lastOutcome() {
            return lastOutcome;
        }

        public int attempts() {
            return attempts;
        }
    }

    private final FrontEndTransport transport;
    private final FrontEndSelector frontEnds;
    private final RetryBudget retryBudget = new RetryBudget();
    private final Random random;
    private final AtomicInteger openInferences = new AtomicInteger();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread made = new Thread(work, "gradereach-client");
        made.setDaemon(true);
        return made;
    });

    private GradereachClient(FrontEndTransport way, List<String> fronts, Random chance) {
        this.transport = way;
        this.random = chance;
        this.frontEnds = new FrontEndSelector(fronts, chance);
    }

    /** By signed webhooks; front ends as {@code host:port}. */
    public static GradereachClient webhooks(WebhookKey key, List<String> fronts) {
        return new GradereachClient(new WebhookTransport(key), fronts, new Random());
    }

    /** By gRPC; front ends as {@code host:port} of their gRPC listeners. */
    public static GradereachClient grpc(WebhookKey key, List<String> fronts) {
        return new GradereachClient(FrontEndTransport.grpc(key), fronts, new Random());
    }

    /** @param input an inference request object of the protocol; the future holds the response object */
    public CompletableFuture<JsonNode> infer(String model, JsonNode input, Effect effect, Duration within) {
        ObjectNode message = JSON.createObjectNode().put("type", "inference.requested").put("timestamp", Instant.now().toString());
        message.putObject("data").put("model", model).put("budget_ms", within.toMillis()).set("input", input);
        byte[] body = message.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return submit(new Inference(newId(), model, body), effect, within).thenApply(answer -> (JsonNode) answer);
    }

    public CompletableFuture<ModelInferResponse> infer(ModelInferRequest request, Effect effect, Duration within) {
        return submit(new Inference(newId(), request.getModelName(), request), effect, within)
                .thenApply(answer -> (ModelInferResponse) answer);
    }

    /**
     * An answer in parts, each given to {@code parts} in order while the next waits. It is asked again only as long as no
     * part has come; the future holds how many came.
     */
    public CompletableFuture<Long> stream(ModelInferRequest request, Effect effect, Duration within,
            Consumer<ModelInferResponse> parts) {
        AtomicLong count = new AtomicLong();
        Consumer<Object> counted = part -> {
            count.incrementAndGet();
            parts.accept((ModelInferResponse) part);
        };
        return submit(new Inference(newId(), request.getModelName(), request), effect, within, counted, count)
                .thenApply(end -> count.get());
    }

    private static String newId() {
        return UUID.randomUUID().toString();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private CompletableFuture<Object> submit(Inference inference, Effect effect, Duration within) {
        return submit(inference, effect, within, null, new AtomicLong());
    }

    /** @param parts null for a whole answer; {@code begun} is above 0 once one has come */
    private CompletableFuture<Object> submit(Inference inference, Effect effect, Duration within, Consumer<Object> parts,
            AtomicLong begun) {
        CompletableFuture<Object> answer = new CompletableFuture<>();
        if (openInferences.incrementAndGet() > MAX_OPEN_INFERENCES) {
            openInferences.decrementAndGet();
            answer.completeExceptionally(new NotReturned(AttemptOutcome.notReturned(AttemptOutcome.Kind.NEVER_SENT, MAX_OPEN_INFERENCES + " inferences are open"), 0));
            return answer;
        }
        answer.whenComplete((returned, failure) -> openInferences.decrementAndGet());
        double deadline = now() + within.toNanos() / 1e6;
        scheduler.execute(() -> {
            PendingInference asked = new PendingInference(inference, deadline, new RetryPolicy(effect, deadline, random, retryBudget), answer,
                    parts, begun);
            scheduler.schedule(asked::onDeadline, within.toNanos(), TimeUnit.NANOSECONDS);
            asked.send();
        });
        return answer;
    }

    /** One inference over its tries. Of the client's thread. */
    private final class PendingInference {
        private final Inference inference;
        private final double deadline;
        private final RetryPolicy retryPolicy;
        private final CompletableFuture<Object> answer;
        private final Consumer<Object> parts;
        private final AtomicLong partsReceived;
        private int attempts;
        private AttemptOutcome lastOutcome = AttemptOutcome.notReturned(AttemptOutcome.Kind.NEVER_SENT, "no front end could be reached");
        private FrontEndTransport.Attempt currentAttempt;
        private FrontEndSelector.Target currentFrontEnd;

        PendingInference(Inference inference, double deadline, RetryPolicy repeats, CompletableFuture<Object> answer, Consumer<Object> parts,
                AtomicLong begun) {
            this.parts = parts;
            this.partsReceived = begun;
            this.inference = inference;
            this.deadline = deadline;
            this.retryPolicy = repeats;
            this.answer = answer;
        }

        private void send() {
            if (answer.isDone()) {
                return;
            }
            FrontEndSelector.Target front = frontEnds.next(now());
            if (front == null) {
                scheduleAttempt(frontEnds.nextAvailableAt());
                return;
            }
            currentFrontEnd = front;
            int number = ++attempts;
            Consumer<AttemptOutcome> then = end -> scheduler.execute(() -> onAttemptEnded(number, front, end));
            currentAttempt = parts == null ? transport.send(front.address, inference, deadline - now(), then)
                    : transport.stream(front.address, inference, deadline - now(), parts, then);
        }

        private void scheduleAttempt(double at) {
            if (at < deadline) {
                scheduler.schedule(this::send, (long) Math.max(0, (at - now()) * 1e6), TimeUnit.NANOSECONDS);
            } else {
                fail();
            }
        }

        private void onAttemptEnded(int number, FrontEndSelector.Target front, AttemptOutcome end) {
            if (end.frontEndDraining()) {
                frontEnds.markUnavailable(front, now());
            } else if (end.kind() != AttemptOutcome.Kind.LOST) {
                frontEnds.markReachable(front);
            }
            if (answer.isDone() || number != attempts) {
                return;
            }
            currentAttempt = null;
            // What may have run before cannot be un-known by a later try that never left.
            lastOutcome = lastOutcome.kind() == AttemptOutcome.Kind.LOST && end.kind() == AttemptOutcome.Kind.NEVER_SENT ? lastOutcome : end;
            if (end.kind() == AttemptOutcome.Kind.RETURNED) {
                answer.complete(end.answer());
                return;
            }
            // What has been read of a first answer cannot be unread.
            double again = partsReceived.get() > 0 ? Double.NaN : retryPolicy.nextAttemptAt(end, now());
            if (Double.isNaN(again)) {
                fail();
            } else {
                scheduleAttempt(again);
            }
        }

        private void onDeadline() {
            if (currentAttempt != null) {
                currentAttempt.cancel();
                // A front end that is there answers in time, if only that it cannot: others are asked first from now on.
                frontEnds.markUnavailable(currentFrontEnd, now());
                lastOutcome = AttemptOutcome.notReturned(AttemptOutcome.Kind.LOST, "no answer within its time");
            }
            fail();
        }

        private void fail() {
            answer.completeExceptionally(new NotReturned(lastOutcome, attempts));
        }
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        transport.close();
    }
}
