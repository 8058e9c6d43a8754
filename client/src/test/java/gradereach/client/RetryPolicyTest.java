package gradereach.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.client.GradereachClient.Effect;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Retry decisions on a simulated clock. */
class RetryPolicyTest {
    @ParameterizedTest
    @CsvSource({
        // effect, outcome, retry safe, retry after in ms; whether it is retried, and not before which ms
        "NONE, SHED, true, 0, true, 0", "NONE, LOST, false, 0, true, 0", "NONE, FAILED, true, 0, true, 0",
        "ONCE, SHED, true, 700, true, 700", "ONCE, NEVER_SENT, true, 0, true, 0", "ONCE, FAILED, false, 0, false, 0",
        "ONCE, FAILED, true, 0, true, 0", "ONCE, LOST, false, 0, false, 0", "ONCE_REMEMBERED, LOST, false, 0, true, 0",
        "ONCE_REMEMBERED, FAILED, false, 0, false, 0", "NONE, REFUSED, true, 0, false, 0", "NONE, RETURNED, true, 0, false, 0",
        "NONE, SHED, true, 1990, false, 0",
    })
    void onlySafeRetriesAndNotBeforeRetryAfter(Effect effect, AttemptOutcome.Kind kind, boolean retrySafe,
            double retryAfterMillis, boolean retried, double notBefore) {
        double retryAt = new RetryPolicy(effect, 2000, new Random(1), new RetryBudget()).nextAttemptAt(
                new AttemptOutcome(kind, retryAfterMillis, retrySafe, kind == AttemptOutcome.Kind.NEVER_SENT, null, ""), 0);
        assertEquals(retried, !Double.isNaN(retryAt));
        assertTrue(!retried || retryAt >= notBefore && retryAt < 2000, "at " + retryAt);
    }

    /** When every attempt fails, retries stay at a tenth of the first attempts. */
    @Test
    void retryBudgetBoundsRetriesOfAllInferences() {
        RetryBudget retryBudget = new RetryBudget();
        Random random = new Random(2);
        int retries = 0;
        for (int i = 0; i < 10_000; i++) {
            RetryPolicy policy = new RetryPolicy(Effect.NONE, 1e9, random, retryBudget);
            while (!Double.isNaN(policy.nextAttemptAt(new AttemptOutcome(AttemptOutcome.Kind.SHED, 0, true, false, null, ""), 0))) {
                retries++;
            }
        }
        assertTrue(retries > 900 && retries <= 1010, retries + " retries");
        assertEquals(10_000, retryBudget.rejected());
    }

    /** A rolling restart sheds all open inferences of a front end: all of them may be retried elsewhere. */
    @Test
    void drainingFrontEndDoesNotUseTheBudget() {
        RetryBudget retryBudget = new RetryBudget();
        for (int i = 0; i < 1000; i++) {
            RetryPolicy policy = new RetryPolicy(Effect.ONCE, 1e9, new Random(i), retryBudget);
            assertTrue(!Double.isNaN(policy.nextAttemptAt(new AttemptOutcome(AttemptOutcome.Kind.SHED, 0, true, true, null, ""), 0)));
        }
        assertEquals(0, retryBudget.rejected());
    }

    /** For random sequences of outcomes, no retry lies after the deadline. */
    @Test
    void noRetryAfterTheDeadline() {
        Random random = new Random(3);
        for (int run = 0; run < 2000; run++) {
            double deadline = random.nextDouble() * 20_000;
            RetryPolicy policy = new RetryPolicy(Effect.NONE, deadline, random, new RetryBudget());
            double now = 0;
            for (int i = 0; i < 50; i++) {
                boolean draining = random.nextBoolean();
                double retryAt = policy.nextAttemptAt(new AttemptOutcome(
                        draining ? AttemptOutcome.Kind.NEVER_SENT : AttemptOutcome.Kind.SHED, random.nextInt(3) * 500, true,
                        draining, null, ""), now);
                if (Double.isNaN(retryAt)) {
                    break;
                }
                assertTrue(retryAt >= now && retryAt < deadline);
                now = retryAt;
            }
        }
    }

    /** A thousand clients lose their only front end at once: their reconnects are spread evenly over ten seconds. */
    @Test
    void reconnectsOfManyClientsAreSpread() {
        int[] perSecond = new int[10];
        for (int i = 0; i < 1000; i++) {
            FrontEndSelector selector = new FrontEndSelector(List.of("a"), new Random(i));
            selector.markUnavailable(selector.next(0), 0);
            assertNull(selector.next(selector.nextAvailableAt() - 1));
            perSecond[(int) (selector.nextAvailableAt() / 1000)]++;
        }
        for (int count : perSecond) {
            assertTrue(count > 50 && count < 150, count + " in a second");
        }
    }

    @Test
    void unavailableFrontEndIsSkippedUntilReachable() {
        FrontEndSelector selector = new FrontEndSelector(List.of("a", "b"), new Random(4));
        FrontEndSelector.Target first = selector.next(0);
        selector.markUnavailable(first, 0);
        FrontEndSelector.Target second = selector.next(0);
        assertNotSame(first, second);
        assertSame(second, selector.next(0));
        selector.markReachable(first);
        assertSame(first, selector.next(0));
    }
}
