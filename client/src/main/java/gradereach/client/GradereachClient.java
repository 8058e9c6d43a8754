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
    private static final int MOST_OPEN = 20_000;

    /** An inference that was not returned: its last end, and whether its effect is known not to have happened. */
    public static final class NotReturned extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient End end;
        private final int tries;

        NotReturned(End end, int tries) {
            super(end.kind() + ": " + end.why());
            this.end = end;
            this.tries = tries;
        }

        public End end() {
            return end;
        }

        public int tries() {
            return tries;
        }
    }

    private final Way way;
    private final FrontList fronts;
    private final Purse purse = new Purse();
    private final Random chance;
    private final AtomicInteger open = new AtomicInteger();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread made = new Thread(work, "gradereach-client");
        made.setDaemon(true);
        return made;
    });

    private GradereachClient(Way way, List<String> fronts, Random chance) {
        this.way = way;
        this.chance = chance;
        this.fronts = new FrontList(fronts, chance);
    }

    /** By signed webhooks; front ends as {@code host:port}. */
    public static GradereachClient webhooks(WebhookKey key, List<String> fronts) {
        return new GradereachClient(new WebhookWay(key), fronts, new Random());
    }

    /** By gRPC; front ends as {@code host:port} of their gRPC listeners. */
    public static GradereachClient grpc(WebhookKey key, List<String> fronts) {
        return new GradereachClient(Way.grpc(key), fronts, new Random());
    }

    /** @param input an inference request object of the protocol; the future holds the response object */
    public CompletableFuture<JsonNode> infer(String model, JsonNode input, Effect effect, Duration within) {
        ObjectNode message = JSON.createObjectNode().put("type", "inference.requested").put("timestamp", Instant.now().toString());
        message.putObject("data").put("model", model).put("budget_ms", within.toMillis()).set("input", input);
        byte[] body = message.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return ask(new Inference(newId(), model, body), effect, within).thenApply(answer -> (JsonNode) answer);
    }

    public CompletableFuture<ModelInferResponse> infer(ModelInferRequest request, Effect effect, Duration within) {
        return ask(new Inference(newId(), request.getModelName(), request), effect, within)
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
        return ask(new Inference(newId(), request.getModelName(), request), effect, within, counted, count)
                .thenApply(end -> count.get());
    }

    private static String newId() {
        return UUID.randomUUID().toString();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private CompletableFuture<Object> ask(Inference inference, Effect effect, Duration within) {
        return ask(inference, effect, within, null, new AtomicLong());
    }

    /** @param parts null for a whole answer; {@code begun} is above 0 once one has come */
    private CompletableFuture<Object> ask(Inference inference, Effect effect, Duration within, Consumer<Object> parts,
            AtomicLong begun) {
        CompletableFuture<Object> answer = new CompletableFuture<>();
        if (open.incrementAndGet() > MOST_OPEN) {
            open.decrementAndGet();
            answer.completeExceptionally(new NotReturned(End.of(End.Kind.NEVER_SENT, MOST_OPEN + " inferences are open"), 0));
            return answer;
        }
        answer.whenComplete((returned, failure) -> open.decrementAndGet());
        double deadline = now() + within.toNanos() / 1e6;
        thread.execute(() -> {
            Asked asked = new Asked(inference, deadline, new Repeats(effect, deadline, chance, purse), answer,
                    parts, begun);
            thread.schedule(asked::timeUp, within.toNanos(), TimeUnit.NANOSECONDS);
            asked.send();
        });
        return answer;
    }

    /** One inference over its tries. Of the client's thread. */
    private final class Asked {
        private final Inference inference;
        private final double deadline;
        private final Repeats repeats;
        private final CompletableFuture<Object> answer;
        private final Consumer<Object> parts;
        private final AtomicLong begun;
        private int tries;
        private End last = End.of(End.Kind.NEVER_SENT, "no front end could be reached");
        private Way.Try underWay;
        private FrontList.Front asked;

        Asked(Inference inference, double deadline, Repeats repeats, CompletableFuture<Object> answer, Consumer<Object> parts,
                AtomicLong begun) {
            this.parts = parts;
            this.begun = begun;
            this.inference = inference;
            this.deadline = deadline;
            this.repeats = repeats;
            this.answer = answer;
        }

        private void send() {
            if (answer.isDone()) {
                return;
            }
            FrontList.Front front = fronts.next(now());
            if (front == null) {
                later(fronts.nextAt());
                return;
            }
            asked = front;
            int number = ++tries;
            Consumer<End> then = end -> thread.execute(() -> ended(number, front, end));
            underWay = parts == null ? way.send(front.address, inference, deadline - now(), then)
                    : way.stream(front.address, inference, deadline - now(), parts, then);
        }

        private void later(double at) {
            if (at < deadline) {
                thread.schedule(this::send, (long) Math.max(0, (at - now()) * 1e6), TimeUnit.NANOSECONDS);
            } else {
                finish();
            }
        }

        private void ended(int number, FrontList.Front front, End end) {
            if (end.leaving()) {
                fronts.notReached(front, now());
            } else if (end.kind() != End.Kind.LOST) {
                fronts.reached(front);
            }
            if (answer.isDone() || number != tries) {
                return;
            }
            underWay = null;
            // What may have run before cannot be un-known by a later try that never left.
            last = last.kind() == End.Kind.LOST && end.kind() == End.Kind.NEVER_SENT ? last : end;
            if (end.kind() == End.Kind.RETURNED) {
                answer.complete(end.answer());
                return;
            }
            // What has been read of a first answer cannot be unread.
            double again = begun.get() > 0 ? Double.NaN : repeats.after(end, now());
            if (Double.isNaN(again)) {
                finish();
            } else {
                later(again);
            }
        }

        private void timeUp() {
            if (underWay != null) {
                underWay.giveUp();
                // A front end that is there answers in time, if only that it cannot: others are asked first from now on.
                fronts.notReached(asked, now());
                last = End.of(End.Kind.LOST, "no answer within its time");
            }
            finish();
        }

        private void finish() {
            answer.completeExceptionally(new NotReturned(last, tries));
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
        way.close();
    }
}
