package gradereach.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.delivery.DeliveryScheduler.AttemptResult;
import gradereach.delivery.DeliveryScheduler.Delivery;
import gradereach.delivery.DeliveryScheduler.Endpoint;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DeliverySchedulerTest {
    private final DeliveryScheduler scheduler = new DeliveryScheduler(2, new Random(1));
    private final Endpoint firstEndpoint = new Endpoint(0, "http://one");
    private final Endpoint secondEndpoint = new Endpoint(1, "http://two");

    private Delivery takeOnlyDue(double now) {
        List<Delivery> due = scheduler.takeDue(now);
        assertEquals(1, due.size());
        return due.get(0);
    }

    @Test
    void retryDelaysFollowSpecificationWithJitter() {
        scheduler.add(firstEndpoint, "a", new byte[0], 7, 0, 0);
        double now = 0;
        for (long seconds : DeliveryScheduler.RETRY_DELAYS_SECONDS) {
            AttemptResult result = scheduler.recordAttempt(takeOnlyDue(now), 500, 0, now);
            assertEquals(AttemptResult.RETRY, result);
            double delay = scheduler.nextDueAt() - now;
            assertTrue(delay >= seconds * 1000d && delay <= seconds * 1100d, seconds + " s scheduled, actual delay in ms: " + delay);
            now = scheduler.nextDueAt();
        }
        assertEquals(AttemptResult.GIVEN_UP, scheduler.recordAttempt(takeOnlyDue(now), 500, 0, now));
        assertEquals(0, scheduler.openCount());
    }

    @ParameterizedTest
    @CsvSource({
        // status, Retry-After in ms, result, minimum delay
        "200, 0, DELIVERED, 0", "204, 0, DELIVERED, 0", "410, 0, ENDPOINT_DISABLED, 0", "404, 0, RETRY, 5000",
        "302, 0, RETRY, 5000", "0, 0, RETRY, 5000", "429, 60000, RETRY, 60000", "503, 60000, RETRY, 60000",
        "429, 1000, RETRY, 5000", "503, 999999000, RETRY, 86400000",
    })
    void responseStatusDecidesAttemptResult(int status, long retryAfterMillis, AttemptResult result, double minDelay) {
        scheduler.add(firstEndpoint, "a", new byte[0], 7, 0, 0);
        assertEquals(result, scheduler.recordAttempt(takeOnlyDue(0), status, retryAfterMillis, 0));
        assertEquals(result == AttemptResult.RETRY ? 1 : 0, scheduler.openCount());
        assertTrue(result != AttemptResult.RETRY || scheduler.nextDueAt() >= minDelay && scheduler.nextDueAt() <= Math.max(5500, minDelay));
    }

    /** A failing endpoint uses up only its own limit, and a {@code Retry-After} holds for all deliveries to it. */
    @Test
    void failingEndpointDoesNotDelayOthers() {
        for (int i = 0; i < 5; i++) {
            scheduler.add(firstEndpoint, "a" + i, new byte[0], 7, 0, 0);
            scheduler.add(secondEndpoint, "b" + i, new byte[0], 7, 0, 0);
        }
        List<Delivery> dueAtStart = scheduler.takeDue(0);
        assertEquals(4, dueAtStart.size());
        Delivery toFirst = dueAtStart.stream().filter(delivery -> delivery.endpoint == firstEndpoint).findFirst().orElseThrow();
        Delivery toSecond = dueAtStart.stream().filter(delivery -> delivery.endpoint == secondEndpoint).findFirst().orElseThrow();
        scheduler.recordAttempt(toSecond, 200, 0, 1);
        assertEquals(secondEndpoint, takeOnlyDue(1).endpoint);
        scheduler.recordAttempt(toFirst, 429, 3000, 2);
        assertTrue(scheduler.takeDue(2).isEmpty());
        assertEquals(firstEndpoint, takeOnlyDue(3002).endpoint);
    }

    @Test
    void deliveriesToDisabledEndpointAreDropped() {
        scheduler.add(firstEndpoint, "a", new byte[0], 7, 0, 0);
        scheduler.add(firstEndpoint, "b", new byte[0], 7, 0, 5);
        scheduler.recordAttempt(takeOnlyDue(0), 410, 0, 1);
        assertTrue(scheduler.takeDue(10).isEmpty());
        assertEquals(0, scheduler.openCount());
        assertTrue(firstEndpoint.isDisabled());
    }
}
