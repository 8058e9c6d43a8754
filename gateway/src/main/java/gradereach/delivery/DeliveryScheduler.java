package gradereach.delivery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * When each answer that goes out by webhook is sent, and sent again: state and decisions, no I/O. The waits are the
 * Standard Webhooks specification's schedule ("Retry schedule"), each stretched by up to a tenth so that what failed
 * together does not come back together. An endpoint has so many under way at most, so that a dead one holds nobody
 * else up; one that answers 410 is given up (specification, "Disabling endpoints"); {@code Retry-After} is obeyed
 * where it is longer than the schedule's own wait.
 */
public final class DeliveryScheduler {
    /** Seconds to wait before each further try; after the last the delivery is given up. */
    static final long[] RETRY_DELAYS_SECONDS = {5, 300, 1800, 7200, 18_000, 36_000, 50_400, 72_000, 86_400};
    /** Obeyed no further than this: a day, the schedule's own longest wait. */
    private static final long MAX_RETRY_AFTER_MILLIS = 86_400_000;

    /** One answer on its way. */
    public static final class Delivery {
        public final Endpoint endpoint;
        public final String webhookId;
        public final byte[] body;
        /** Names the promise that it keeps, Unix milliseconds. */
        public final double promisedAt;
        int attempts;
        double dueAt;
        long sequence;

        Delivery(Endpoint endpoint, String id, byte[] body, double of) {
            this.endpoint = endpoint;
            this.webhookId = id;
            this.body = body;
            this.promisedAt = of;
        }

        public int attempts() {
            return attempts;
        }
    }

    /** One customer's registered receiver. */
    public static final class Endpoint {
        public final int customer;
        public final String url;
        private final ArrayDeque<Delivery> queued = new ArrayDeque<>();
        private int inFlight;
        private boolean disabled;
        private double notBefore;

        public Endpoint(int customer, String url) {
            this.customer = customer;
            this.url = url;
        }

        public boolean disabled() {
            return disabled;
        }
    }

    /** What became of a delivery that was tried. */
    public enum AttemptResult { DELIVERED, RETRY, GIVEN_UP, ENDPOINT_DISABLED }

    private final int maxInFlightPerEndpoint;
    private final Random random;
    private final PriorityQueue<Delivery> scheduled = new PriorityQueue<>(
            Comparator.<Delivery>comparingDouble(d -> d.dueAt).thenComparingLong(d -> d.sequence));
    private long nextSequence;
    private int openCount;

    public DeliveryScheduler(int mostUnderWay, Random chance) {
        this.maxInFlightPerEndpoint = mostUnderWay;
        this.random = chance;
    }

    /** {@code tries} were made before a restart; the schedule goes on from there, at once. */
    public Delivery add(Endpoint endpoint, String id, byte[] body, double of, int tries, double now) {
        Delivery made = new Delivery(endpoint, id, body, of);
        made.attempts = tries;
        openCount++;
        schedule(made, now);
        return made;
    }

    private void schedule(Delivery delivery, double until) {
        delivery.dueAt = until;
        delivery.sequence = nextSequence++;
        scheduled.add(delivery);
    }

    /** Those to be sent now. Each must come back through {@link #tried}. */
    public List<Delivery> takeDue(double now) {
        List<Delivery> out = new ArrayList<>();
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
                out.add(next);
            }
        }
        return out;
    }

    /** When {@link #due} has something again, infinity for never. */
    public double nextDueAt() {
        return scheduled.isEmpty() ? Double.POSITIVE_INFINITY : scheduled.peek().dueAt;
    }

    /**
     * @param status the HTTP status, 0 for no answer
     * @param pause what {@code Retry-After} asked for in milliseconds, 0 for nothing
     */
    public AttemptResult recordAttempt(Delivery delivery, int status, long pause, double now) {
        Endpoint endpoint = delivery.endpoint;
        endpoint.inFlight--;
        delivery.attempts++;
        AttemptResult fate;
        if (status >= 200 && status < 300) {
            fate = AttemptResult.DELIVERED;
        } else if (status == 410) {
            endpoint.disabled = true;
            fate = AttemptResult.ENDPOINT_DISABLED;
        } else if (delivery.attempts > RETRY_DELAYS_SECONDS.length) {
            fate = AttemptResult.GIVEN_UP;
        } else {
            double wait = RETRY_DELAYS_SECONDS[delivery.attempts - 1] * 1000d * (1 + random.nextDouble() / 10);
            double asked = Math.min(MAX_RETRY_AFTER_MILLIS, pause);
            if (status == 429 || status == 503) {
                // It speaks for the whole endpoint.
                endpoint.notBefore = Math.max(endpoint.notBefore, now + asked);
            }
            schedule(delivery, now + Math.max(wait, asked));
            fate = AttemptResult.RETRY;
        }
        openCount -= fate == AttemptResult.RETRY ? 0 : 1;
        Delivery next = endpoint.queued.poll();
        if (next != null) {
            schedule(next, now);
        }
        return fate;
    }

    /** Deliveries not yet at an end. */
    public int openCount() {
        return openCount;
    }
}
