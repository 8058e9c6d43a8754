package gradereach.delivery;

import gradereach.counts.Counts;
import gradereach.delivery.DeliveryScheduler.AttemptResult;
import gradereach.delivery.DeliveryScheduler.Delivery;
import gradereach.delivery.DeliveryScheduler.Endpoint;
import gradereach.desk.AnswerObserver;
import gradereach.desk.InferenceState;
import gradereach.desk.Ledger;
import gradereach.ledger.LedgerRecord;
import gradereach.message.FinalAnswer;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * Delivers final answers as signed webhooks to the customers' registered endpoints. One thread owns the scheduler.
 *
 * <p>With a ledger, the promise of a delivery is durable before the client gets it, and an answer before it is sent, so
 * that both survive a restart. Without a ledger they are lost with the process.
 */
public final class Outbox implements AutoCloseable {
    /** The specification advises 15 to 30 s. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);
    private static final int MAX_IN_FLIGHT_PER_ENDPOINT = 8; // endpoints serve a few at once; more only lengthen their queue

    private final DeliveryScheduler scheduler = new DeliveryScheduler(MAX_IN_FLIGHT_PER_ENDPOINT, new Random());
    private final List<Endpoint> endpoints;
    private final List<String> customerNames;
    private final Ledger ledger;
    private final List<List<WebhookKey>> answerKeys;
    private final DoubleSupplier clock;
    private final LongSupplier unixMillis;
    private final Counts.Limit capacity;
    private final LongAdder delivered;
    private final LongAdder retried;
    private final LongAdder givenUp;
    private final HttpClient httpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5)).followRedirects(HttpClient.Redirect.NEVER).build();
    private final ScheduledExecutorService schedulerThread;
    private ScheduledFuture<?> nextRun;

    /** Creates the single thread that the scheduler runs on. */
    public static ScheduledExecutorService newSchedulerThread() {
        return Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "outbox");
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * @param urls endpoint URLs by customer index, null for customers without an endpoint
     * @param maxOpen answers that are promised and not yet delivered or given up, at one time
     * @param schedulerThread a single thread whose delays pass at the speed of {@code clock}; shut down with the outbox
     */
    public Outbox(List<String> customerNames, List<String> urls, List<List<WebhookKey>> answerKeys, Ledger ledger,
            int maxOpen, ScheduledExecutorService schedulerThread, DoubleSupplier clock, LongSupplier unixMillis, Counts counts) {
        this.schedulerThread = schedulerThread;
        endpoints = new java.util.ArrayList<>();
        for (int i = 0; i < urls.size(); i++) {
            endpoints.add(urls.get(i) == null ? null : new Endpoint(i, urls.get(i)));
        }
        this.customerNames = customerNames;
        this.ledger = ledger;
        this.answerKeys = answerKeys;
        this.clock = clock;
        this.unixMillis = unixMillis;
        capacity = counts.limit("answers_in_outbox", maxOpen);
        delivered = counts.counter("answers_delivered");
        retried = counts.counter("answers_delivered_again");
        givenUp = counts.counter("answers_given_up");
    }

    /** Whether the customer has an endpoint that still takes deliveries. */
    public boolean hasEndpoint(int customer) {
        Endpoint endpoint = endpoints.get(customer);
        return endpoint != null && !endpoint.isDisabled();
    }

    /**
     * An observer that delivers the final answer by webhook once the message has been accepted. Before that, and while the
     * outbox is full, the connection gets the answer as if no asynchronous one had been preferred.
     */
    public AnswerObserver webhookObserver(int customer, String id, AnswerObserver connection) {
        return new PromisedAnswer(customer, id, connection);
    }

    /**
     * An observer for an answer that was promised before a restart.
     *
     * @param attempts delivery attempts made so far
     */
    public AnswerObserver recoveredObserver(int customer, String id, double promisedAt, int attempts) {
        PromisedAnswer promise = new PromisedAnswer(customer, id, null);
        promise.accepted = endpoints.get(customer) != null;
        promise.promisedAt = promisedAt;
        promise.attempts = attempts;
        if (promise.accepted) {
            capacity.tryAcquire(1);
        }
        return promise;
    }

    /** An answer that is delivered by webhook once the promise of it is durable. Confined to the decision thread. */
    private final class PromisedAnswer implements AnswerObserver {
        private final int customer;
        private final String id;
        /** The observer of the client's connection; null where the promise was made before a restart. */
        private final AnswerObserver connection;
        /** The promise was made; the answer goes to the webhook endpoint. */
        private boolean accepted;
        private boolean awaitingLedger;
        /** Another observer of the same inference owns the delivery; this one only confirms the promise to its client. */
        private boolean joined;
        private double promisedAt;
        private int attempts;
        /** An answer that was decided while the promise was being written to the ledger. */
        private FinalAnswer deferredAnswer;

        PromisedAnswer(int customer, String id, AnswerObserver connection) {
            this.customer = customer;
            this.id = id;
            this.connection = connection;
        }

        @Override
        public void onAccepted(InferenceState inference) {
            joined = inference.answerPromised;
            if (!joined && !capacity.tryAcquire(1)) {
                return;
            }
            inference.answerPromised = true;
            promisedAt = inference.acceptedAtLedgerTime();
            if (ledger == Ledger.NONE) {
                accepted = true;
                connection.onAccepted(inference);
                return;
            }
            awaitingLedger = true;
            ledger.append(new LedgerRecord.DeliveryPromised(customerNames.get(customer), id, promisedAt,
                    inference.digestHigh(), inference.digestLow(), inference.groupName()), durable -> {
                        awaitingLedger = false;
                        accepted = durable;
                        if (durable) {
                            connection.onAccepted(inference);
                        } else if (!joined) {
                            capacity.release(1);
                        }
                        if (deferredAnswer != null) {
                            onFinalAnswer(deferredAnswer);
                        }
                    });
        }

        @Override
        public void onFinalAnswer(FinalAnswer answer) {
            if (awaitingLedger) {
                deferredAnswer = answer;
            } else if (!accepted) {
                if (connection != null) {
                    connection.onFinalAnswer(answer);
                }
            } else if (joined) {
                return; // the observer that owns the delivery sends it
            } else if (ledger == Ledger.NONE) {
                deliver(answer);
            } else {
                // Answers that must be durable in any case are recorded a second time here, with the same content.
                ledger.append(new LedgerRecord.Answered(customerNames.get(customer), id, ledgerNow(), answer),
                        durable -> deliver(answer));
            }
        }

        private void deliver(FinalAnswer answer) {
            schedulerThread.execute(() -> {
                scheduler.add(endpoints.get(customer), answer.webhookId(id), answer.body(), promisedAt, attempts, clock.getAsDouble());
                sendDue();
            });
        }

        @Override
        public void onRejected(int status, String errorCode, String detail) {
            connection.onRejected(status, errorCode, detail);
        }
    }

    private double ledgerNow() {
        return ledger.time().fromMonotonic(clock.getAsDouble());
    }

    private void sendDue() {
        for (Delivery delivery : scheduler.takeDue(clock.getAsDouble())) {
            send(delivery);
        }
        if (nextRun != null) {
            nextRun.cancel(false);
            nextRun = null;
        }
        double nextDueAt = scheduler.nextDueAt();
        if (nextDueAt < Double.POSITIVE_INFINITY) {
            nextRun = schedulerThread.schedule(this::sendDue, (long) Math.max(1, nextDueAt - clock.getAsDouble()),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void send(Delivery delivery) {
        long timestamp = unixMillis.getAsLong() / 1000;
        HttpRequest request = HttpRequest.newBuilder(URI.create(delivery.endpoint.url)).timeout(REQUEST_TIMEOUT)
                .header("content-type", "application/json").header("webhook-id", delivery.webhookId)
                .header("webhook-timestamp", Long.toString(timestamp))
                .header("webhook-signature", KeyRing.signatureHeader(answerKeys.get(delivery.endpoint.customer),
                        delivery.webhookId, timestamp, delivery.body))
                .POST(HttpRequest.BodyPublishers.ofByteArray(delivery.body)).build();
        httpClient.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((response, failure) ->
                schedulerThread.execute(() -> recordAttempt(delivery, response)));
    }

    private void recordAttempt(Delivery delivery, HttpResponse<Void> response) {
        long retryAfterMillis = 0;
        if (response != null) {
            String retryAfter = response.headers().firstValue("retry-after").orElse("");
            retryAfterMillis = retryAfter.matches("\\d{1,6}") ? Long.parseLong(retryAfter) * 1000 : 0;
        }
        AttemptResult result = scheduler.recordAttempt(delivery, response == null ? 0 : response.statusCode(), retryAfterMillis,
                clock.getAsDouble());
        (result == AttemptResult.DELIVERED ? delivered : result == AttemptResult.RETRY ? retried : givenUp).increment();
        if (result != AttemptResult.RETRY) {
            capacity.release(1);
        }
        if (ledger != Ledger.NONE) {
            String id = FinalAnswer.messageIdFromWebhookId(delivery.webhookId);
            ledger.append(new LedgerRecord.DeliveryAttempted(customerNames.get(delivery.endpoint.customer), id,
                    ledgerNow(), delivery.promisedAt, delivery.attempts(), result != AttemptResult.RETRY), durable -> { });
        }
        sendDue();
    }

    @Override
    public void close() {
        schedulerThread.shutdownNow();
    }
}
