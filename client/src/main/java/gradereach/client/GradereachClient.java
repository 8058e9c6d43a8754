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
 * Sends inferences to front ends, by webhook or by gRPC. An inference keeps one id over all its attempts, so that front ends
 * recognize a repeat. It is retried only where that is safe, after the requested delay and within its deadline; its future
 * completes at the deadline at the latest. One thread owns the state; all methods may be called from any thread.
 */
public final class GradereachClient implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** How often the effect of an inference may take place. */
    public enum Effect {
        /** The inference has no side effect; it may run any number of times. */
        NONE,
        /** At most once; the front ends have ledgers and so keep ids over restarts: a lost attempt may be repeated. */
        ONCE_REMEMBERED,
        /** At most once, and ids do not survive a restart: a lost attempt is not repeated. */
        ONCE
    }

    /** Open inferences of one client, as many as a front end holds by default. Beyond them, inferences are rejected, not queued. */
    private static final int MAX_OPEN_INFERENCES = 20_000;

    /** An inference without an answer: the outcome of its last attempt, which shows whether it may have taken effect. */
    public static final class NotReturned extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient AttemptOutcome lastOutcome;
        private final int attempts;

        NotReturned(AttemptOutcome lastOutcome, int attempts) {
            super(lastOutcome.kind() + ": " + lastOutcome.detail());
            this.lastOutcome = lastOutcome;
            this.attempts = attempts;
        }

        /**
         * The outcome of the last attempt. An outcome {@code LOST} is kept if later attempts were never sent, since it shows that the
         * inference may have taken effect.
         */
        public AttemptOutcome lastOutcome() {
            return lastOutcome;
        }

        /** Attempts made, the first included. */
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
        Thread thread = new Thread(work, "gradereach-client");
        thread.setDaemon(true);
        return thread;
    });

    private GradereachClient(FrontEndTransport transport, List<String> addresses, Random random) {
        this.transport = transport;
        this.random = random;
        this.frontEnds = new FrontEndSelector(addresses, random);
    }

    /** Creates a client that sends signed webhooks; addresses as {@code host:port}. */
    public static GradereachClient webhooks(WebhookKey key, List<String> addresses) {
        return new GradereachClient(new WebhookTransport(key), addresses, new Random());
    }

    /** Creates a client that calls by gRPC; addresses are {@code host:port} of gRPC listeners. */
    public static GradereachClient grpc(WebhookKey key, List<String> addresses) {
        return new GradereachClient(FrontEndTransport.grpc(key), addresses, new Random());
    }

    /**
     * Sends an inference request of the Open Inference Protocol in JSON; the future holds the response object.
     *
     * @param input the request object
     * @param timeout after which the future fails
     */
    public CompletableFuture<JsonNode> infer(String model, JsonNode input, Effect effect, Duration timeout) {
        ObjectNode message = JSON.createObjectNode().put("type", "inference.requested").put("timestamp", Instant.now().toString());
        message.putObject("data").put("model", model).put("budget_ms", timeout.toMillis()).set("input", input);
        byte[] body = message.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return submit(new Inference(newId(), model, body), effect, timeout).thenApply(answer -> (JsonNode) answer);
    }

    /** Sends a request by gRPC; the future holds the response. */
    public CompletableFuture<ModelInferResponse> infer(ModelInferRequest request, Effect effect, Duration timeout) {
        return submit(new Inference(newId(), request.getModelName(), request), effect, timeout)
                .thenApply(answer -> (ModelInferResponse) answer);
    }

    /**
     * Sends a request for a streamed answer. {@code parts} is called with each part in order; the next part is read after it
     * returns. Retried only until the first part has arrived; the future holds the number of parts.
     */
    public CompletableFuture<Long> stream(ModelInferRequest request, Effect effect, Duration timeout,
            Consumer<ModelInferResponse> parts) {
        AtomicLong count = new AtomicLong();
        Consumer<Object> counted = part -> {
            count.incrementAndGet();
            parts.accept((ModelInferResponse) part);
        };
        return submit(new Inference(newId(), request.getModelName(), request), effect, timeout, counted, count)
                .thenApply(answer -> count.get());
    }

    private static String newId() {
        return UUID.randomUUID().toString();
    }

    /** Monotonic time in milliseconds. */
    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private CompletableFuture<Object> submit(Inference inference, Effect effect, Duration timeout) {
        return submit(inference, effect, timeout, null, new AtomicLong());
    }

    /**
     * Starts an inference; the future completes with the answer, or with {@link NotReturned}.
     *
     * @param parts receives the parts of a streamed answer, null for a unary call
     * @param partsReceived number of parts that have arrived
     */
    private CompletableFuture<Object> submit(Inference inference, Effect effect, Duration timeout, Consumer<Object> parts,
            AtomicLong partsReceived) {
        CompletableFuture<Object> answer = new CompletableFuture<>();
        if (openInferences.incrementAndGet() > MAX_OPEN_INFERENCES) {
            openInferences.decrementAndGet();
            answer.completeExceptionally(new NotReturned(AttemptOutcome.notReturned(AttemptOutcome.Kind.NEVER_SENT,
                    MAX_OPEN_INFERENCES + " inferences are open"), 0));
            return answer;
        }
        answer.whenComplete((returned, failure) -> openInferences.decrementAndGet());
        double deadline = now() + timeout.toNanos() / 1e6;
        scheduler.execute(() -> {
            PendingInference pending = new PendingInference(inference, deadline,
                    new RetryPolicy(effect, deadline, random, retryBudget), answer, parts, partsReceived);
            scheduler.schedule(pending::onDeadline, timeout.toNanos(), TimeUnit.NANOSECONDS);
            pending.send();
        });
        return answer;
    }

    /** One inference over all its attempts. Only the client's thread uses it. */
    private final class PendingInference {
        private final Inference inference;
        private final double deadline;
        private final RetryPolicy retryPolicy;
        private final CompletableFuture<Object> answer;
        private final Consumer<Object> parts;
        private final AtomicLong partsReceived;
        private int attempts;
        private AttemptOutcome lastOutcome = AttemptOutcome.notReturned(AttemptOutcome.Kind.NEVER_SENT,
                "no front end could be reached");
        private FrontEndTransport.Attempt currentAttempt;
        private FrontEndSelector.Target currentFrontEnd;

        PendingInference(Inference inference, double deadline, RetryPolicy retryPolicy, CompletableFuture<Object> answer,
                Consumer<Object> parts, AtomicLong partsReceived) {
            this.parts = parts;
            this.partsReceived = partsReceived;
            this.inference = inference;
            this.deadline = deadline;
            this.retryPolicy = retryPolicy;
            this.answer = answer;
        }

        private void send() {
            if (answer.isDone()) {
                return;
            }
            FrontEndSelector.Target target = frontEnds.next(now());
            if (target == null) {
                scheduleAttempt(frontEnds.nextAvailableAt());
                return;
            }
            currentFrontEnd = target;
            int attemptNumber = ++attempts;
            Consumer<AttemptOutcome> onOutcome = outcome -> scheduler.execute(() -> onAttemptEnded(attemptNumber, target, outcome));
            currentAttempt = parts == null ? transport.send(target.address, inference, deadline - now(), onOutcome)
                    : transport.stream(target.address, inference, deadline - now(), parts, onOutcome);
        }

        private void scheduleAttempt(double attemptAt) {
            if (attemptAt < deadline) {
                scheduler.schedule(this::send, (long) Math.max(0, (attemptAt - now()) * 1e6), TimeUnit.NANOSECONDS);
            } else {
                fail();
            }
        }

        private void onAttemptEnded(int attemptNumber, FrontEndSelector.Target target, AttemptOutcome outcome) {
            if (outcome.frontEndDraining()) {
                frontEnds.markUnavailable(target, now()); // it drains or could not be reached
            } else if (outcome.kind() != AttemptOutcome.Kind.LOST) {
                frontEnds.markReachable(target);
            }
            if (answer.isDone() || attemptNumber != attempts) {
                return;
            }
            currentAttempt = null;
            // A lost attempt may have run; a later one that was never sent does not change that.
            lastOutcome = lastOutcome.kind() == AttemptOutcome.Kind.LOST && outcome.kind() == AttemptOutcome.Kind.NEVER_SENT
                    ? lastOutcome : outcome;
            if (outcome.kind() == AttemptOutcome.Kind.RETURNED) {
                answer.complete(outcome.answer());
                return;
            }
            // No retry after the first part, since the caller would receive parts twice.
            double retryAt = partsReceived.get() > 0 ? Double.NaN : retryPolicy.nextAttemptAt(outcome, now());
            if (Double.isNaN(retryAt)) {
                fail();
            } else {
                scheduleAttempt(retryAt);
            }
        }

        private void onDeadline() {
            if (currentAttempt != null) {
                currentAttempt.cancel();
                // A reachable front end answers in time, at least with an error, so this one is skipped for a while.
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
