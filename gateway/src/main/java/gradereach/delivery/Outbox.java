package gradereach.delivery;

import gradereach.counts.Counts;
import gradereach.delivery.DeliveryScheduler.Delivery;
import gradereach.delivery.DeliveryScheduler.Endpoint;
import gradereach.delivery.DeliveryScheduler.AttemptResult;
import gradereach.desk.AnswerObserver;
import gradereach.desk.Ledger;
import gradereach.desk.InferenceState;
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
 * Final answers that go out as signed webhooks to the customers' registered endpoints. One thread owns the book. With a
 * ledger a promise is durable before it is given and an answer before it goes out, so that both outlive the process;
 * without one they end with it.
 */
public final class Outbox implements AutoCloseable {
    /** Within the specification's advice of 15 to 30 s. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);
    private static final int MAX_IN_FLIGHT_PER_ENDPOINT = 8; // an endpoint serves a few at once; more only deepens its queue

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
    private final ScheduledExecutorService newSchedulerThread;
    private ScheduledFuture<?> nextRun;

    /** One thread of its own, for the book. */
    public static ScheduledExecutorService newSchedulerThread() {
        return Executors.newSingleThreadScheduledExecutor(work -> {
            Thread made = new Thread(work, "outbox");
            made.setDaemon(true);
            return made;
        });
    }

    /**
     * @param urls by customer index, null for customers without an endpoint
     * @param thread a single one, which keeps the time of {@code clock}; shut down with the outbox
     */
    public Outbox(List<String> customers, List<String> urls, List<List<WebhookKey>> answerKeys, Ledger ledger,
            int mostOpen, ScheduledExecutorService thread, DoubleSupplier clock, LongSupplier unixMillis, Counts counts) {
        this.newSchedulerThread = thread;
        endpoints = new java.util.ArrayList<>();
        for (int i = 0; i < urls.size(); i++) {
            endpoints.add(urls.get(i) == null ? null : new Endpoint(i, urls.get(i)));
        }
        this.customerNames = customers;
        this.ledger = ledger;
        this.answerKeys = answerKeys;
        this.clock = clock;
        this.unixMillis = unixMillis;
        capacity = counts.limit("answers_in_outbox", mostOpen);
        delivered = counts.counter("answers_delivered");
        retried = counts.counter("answers_delivered_again");
        givenUp = counts.counter("answers_given_up");
    }

    /** Whether the customer can be answered by webhook at all. */
    public boolean hasEndpoint(int customer) {
        Endpoint endpoint = endpoints.get(customer);
        return endpoint != null && !endpoint.disabled();
    }

    /**
     * One whose answer goes out by webhook once its message is taken. Before that, and where the outbox is full, the
     * connection is answered as if nothing had been preferred.
     */
    public AnswerObserver webhookObserver(int customer, String id, AnswerObserver connection) {
        return new PromisedAnswer(customer, id, connection);
    }

    /** One that was promised before a restart and has had so many tries. */
    public AnswerObserver recoveredObserver(int customer, String id, double of, int tries) {
        PromisedAnswer promise = new PromisedAnswer(customer, id, null);
        promise.accepted = endpoints.get(customer) != null;
        promise.promisedAt = of;
        promise.attempts = tries;
        if (promise.accepted) {
            capacity.tryAcquire(1);
        }
        return promise;
    }

    /** Of the deciding thread. */
    private final class PromisedAnswer implements AnswerObserver {
        private final int customer;
        private final String id;
        private final AnswerObserver connection;
        private boolean accepted;
        private boolean awaitingLedger;
        /** Another asker of the same life has the promise; this one only hears that it was given. */
        private boolean joined;
        private double promisedAt;
        private int attempts;
        private FinalAnswer deferredAnswer;

        PromisedAnswer(int customer, String id, AnswerObserver connection) {
            this.customer = customer;
            this.id = id;
            this.connection = connection;
        }

        @Override
        public void onAccepted(InferenceState life) {
            joined = life.answerPromised;
            if (!joined && !capacity.tryAcquire(1)) {
                return;
            }
            life.answerPromised = true;
            promisedAt = life.acceptedAtLedgerTime();
            if (ledger == Ledger.NONE) {
                accepted = true;
                connection.onAccepted(life);
                return;
            }
            awaitingLedger = true;
            ledger.append(new LedgerRecord.DeliveryPromised(customerNames.get(customer), id, promisedAt,
                    life.digestHigh(), life.digestLow(), life.groupName()), durable -> {
                        awaitingLedger = false;
                        accepted = durable;
                        if (durable) {
                            connection.onAccepted(life);
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
                return; // the one that has the promise keeps it
            } else if (ledger == Ledger.NONE) {
                deliver(answer);
            } else {
                // A second time for what had to be durable anyway; it is the same answer.
                ledger.append(new LedgerRecord.Answered(customerNames.get(customer), id, ledgerNow(), answer),
                        durable -> deliver(answer));
            }
        }

        private void deliver(FinalAnswer answer) {
            newSchedulerThread.execute(() -> {
                scheduler.add(endpoints.get(customer), answer.webhookId(id), answer.body(), promisedAt, attempts, clock.getAsDouble());
                sendDue();
            });
        }

        @Override
        public void onRejected(int status, String word, String why) {
            connection.onRejected(status, word, why);
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
        double next = scheduler.nextDueAt();
        if (next < Double.POSITIVE_INFINITY) {
            nextRun = newSchedulerThread.schedule(this::sendDue, (long) Math.max(1, next - clock.getAsDouble()), TimeUnit.MILLISECONDS);
        }
    }

    private void send(Delivery delivery) {
        long at = unixMillis.getAsLong() / 1000;
        HttpRequest request = HttpRequest.newBuilder(URI.create(delivery.endpoint.url)).timeout(REQUEST_TIMEOUT)
                .header("content-type", "application/json").header("webhook-id", delivery.webhookId)
                .header("webhook-timestamp", Long.toString(at))
                .header("webhook-signature", KeyRing.signatureHeader(answerKeys.get(delivery.endpoint.customer), delivery.webhookId, at,
                        delivery.body))
                .POST(HttpRequest.BodyPublishers.ofByteArray(delivery.body)).build();
        httpClient.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((answer, failure) ->
                newSchedulerThread.execute(() -> recordAttempt(delivery, answer)));
    }

    private void recordAttempt(Delivery delivery, HttpResponse<Void> answer) {
        long pause = 0;
        if (answer != null) {
            String told = answer.headers().firstValue("retry-after").orElse("");
            pause = told.matches("\\d{1,6}") ? Long.parseLong(told) * 1000 : 0;
        }
        AttemptResult fate = scheduler.recordAttempt(delivery, answer == null ? 0 : answer.statusCode(), pause, clock.getAsDouble());
        (fate == AttemptResult.DELIVERED ? delivered : fate == AttemptResult.RETRY ? retried : givenUp).increment();
        if (fate != AttemptResult.RETRY) {
            capacity.release(1);
        }
        if (ledger != Ledger.NONE) {
            String id = FinalAnswer.inferenceId(delivery.webhookId);
            ledger.append(new LedgerRecord.DeliveryAttempted(customerNames.get(delivery.endpoint.customer), id,
                    ledgerNow(), delivery.promisedAt, delivery.attempts(), fate != AttemptResult.RETRY), durable -> { });
        }
        sendDue();
    }

    @Override
    public void close() {
        newSchedulerThread.shutdownNow();
    }
}
