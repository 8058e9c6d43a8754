package gradereach.delivery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Decides when each webhook delivery is attempted and retried. Holds state only and does no I/O.
 *
 * <p>The delays are the retry schedule of the Standard Webhooks specification, each with up to ten percent of jitter, so
 * that deliveries that failed together are not retried together. The deliveries in flight to one endpoint are limited, so
 * that an unreachable one does not delay others. An endpoint that answers 410 is disabled (specification, "Disabling
 * endpoints"). {@code Retry-After} is honored if it is longer than the scheduled delay.
 */
public final class DeliveryScheduler {
    /** Delay before each retry; the delivery is given up after the last one. */
    static final long[] RETRY_DELAYS_SECONDS = {5, 300, 1800, 7200, 18_000, 36_000, 50_400, 72_000, 86_400};
    /** One day, the longest delay of the schedule. A longer {@code Retry-After} is cut to it. */
    private static final long MAX_RETRY_AFTER_MILLIS = 86_400_000;

    /** A final answer to be delivered to an endpoint, with the state of its attempts. */
    public static final class Delivery {
        public final Endpoint endpoint;
        public final String webhookId;
        public final byte[] body;
        /** Ledger time of the promise that this delivery fulfills; identifies the promise. */
        public final double promisedAt;
        int attempts;
        double dueAt;
        /** Order in which deliveries that are due at the same time are taken. */
        long sequence;

        Delivery(Endpoint endpoint, String webhookId, byte[] body, double promisedAt) {
            this.endpoint = endpoint;
            this.webhookId = webhookId;
            this.body = body;
            this.promisedAt = promisedAt;
        }

        /** Attempts made so far. */
        public int attempts() {
            return attempts;
        }
    }

    /** A customer's registered webhook receiver. */
    public static final class Endpoint {
        public final int customer;
        public final String url;
        /** Deliveries that wait for an earlier one to this endpoint to end, since too many are in flight. */
        private final ArrayDeque<Delivery> queued = new ArrayDeque<>();
        private int inFlight;
        private boolean disabled;
        /** No delivery to this endpoint is attempted before this time; set by {@code Retry-After}. */
        private double notBefore;

        public Endpoint(int customer, String url) {
            this.customer = customer;
            this.url = url;
        }

        /** Whether the endpoint has answered 410 and gets no further deliveries. */
        public boolean isDisabled() {
            return disabled;
        }
    }

    /** What follows from a delivery attempt. */
    public enum AttemptResult { DELIVERED, RETRY, GIVEN_UP, ENDPOINT_DISABLED }

    private final int maxInFlightPerEndpoint;
    private final Random random;
    private final PriorityQueue<Delivery> scheduled = new PriorityQueue<>(
            Comparator.<Delivery>comparingDouble(delivery -> delivery.dueAt).thenComparingLong(delivery -> delivery.sequence));
    private long nextSequence;
    private int openCount;

    public DeliveryScheduler(int maxInFlightPerEndpoint, Random random) {
        this.maxInFlightPerEndpoint = maxInFlightPerEndpoint;
        this.random = random;
    }

    /**
     * Adds a delivery that is due at once.
     *
     * @param attempts attempts made before a restart; the retry schedule continues after them
     */
    public Delivery add(Endpoint endpoint, String webhookId, byte[] body, double promisedAt, int attempts, double now) {
        Delivery delivery = new Delivery(endpoint, webhookId, body, promisedAt);
        delivery.attempts = attempts;
        openCount++;
        schedule(delivery, now);
        return delivery;
    }

    private void schedule(Delivery delivery, double dueAt) {
        delivery.dueAt = dueAt;
        delivery.sequence = nextSequence++;
        scheduled.add(delivery);
    }

    /** Returns the deliveries to be sent now. Each of them must come back through {@link #recordAttempt}. */
    public List<Delivery> takeDue(double now) {
        List<Delivery> due = new ArrayList<>();
        while (!scheduled.isEmpty() && scheduled.peek().dueAt <= now) {
            Delivery next = scheduled.poll();
            if (next.endpoint.disabled) {
                openCount--;
            } else if (now < next.endpoint.notBefore) {
                schedule(next, next.endpoint.notBefore);
            } else if (next.endpoint.inFlight >= maxInFlightPerEndpoint) {
                next.endpoint.queued.add(next);
            } else {
                next.endpoint.inFlight++;
                due.add(next);
            }
        }
        return due;
    }

    /** When {@link #takeDue} has something again; infinite if nothing is scheduled. */
    public double nextDueAt() {
        return scheduled.isEmpty() ? Double.POSITIVE_INFINITY : scheduled.peek().dueAt;
    }

    /**
     * Records the result of an attempt and schedules a retry if there is one.
     *
     * @param status the HTTP status, 0 for no response
     * @param retryAfterMillis what {@code Retry-After} asked for, 0 without one
     */
    public AttemptResult recordAttempt(Delivery delivery, int status, long retryAfterMillis, double now) {
        Endpoint endpoint = delivery.endpoint;
        endpoint.inFlight--;
        delivery.attempts++;
        AttemptResult result;
        if (status >= 200 && status < 300) {
            result = AttemptResult.DELIVERED;
        } else if (status == 410) {
            endpoint.disabled = true;
            result = AttemptResult.ENDPOINT_DISABLED;
        } else if (delivery.attempts > RETRY_DELAYS_SECONDS.length) {
            result = AttemptResult.GIVEN_UP;
        } else {
            double scheduledDelay = RETRY_DELAYS_SECONDS[delivery.attempts - 1] * 1000d * (1 + random.nextDouble() / 10);
            double requestedDelay = Math.min(MAX_RETRY_AFTER_MILLIS, retryAfterMillis);
            if (status == 429 || status == 503) {
                // These statuses apply to the whole endpoint.
                endpoint.notBefore = Math.max(endpoint.notBefore, now + requestedDelay);
            }
            schedule(delivery, now + Math.max(scheduledDelay, requestedDelay));
            result = AttemptResult.RETRY;
        }
        openCount -= result == AttemptResult.RETRY ? 0 : 1;
        Delivery next = endpoint.queued.poll();
        if (next != null) {
            schedule(next, now);
        }
        return result;
    }

    /** Deliveries that have neither succeeded nor been given up. */
    public int openCount() {
        return openCount;
    }
}
