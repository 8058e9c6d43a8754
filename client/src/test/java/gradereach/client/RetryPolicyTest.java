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

/** What a client decides, in a time of the test's. */
class RetryPolicyTest {
    @ParameterizedTest
    @CsvSource({
        // effect, end, harmless, pause; asked again, and not before
        "NONE, SHED, true, 0, true, 0", "NONE, LOST, false, 0, true, 0", "NONE, FAILED, true, 0, true, 0",
        "ONCE, SHED, true, 700, true, 700", "ONCE, NEVER_SENT, true, 0, true, 0", "ONCE, FAILED, false, 0, false, 0",
        "ONCE, FAILED, true, 0, true, 0", "ONCE, LOST, false, 0, false, 0", "ONCE_REMEMBERED, LOST, false, 0, true, 0",
        "ONCE_REMEMBERED, FAILED, false, 0, false, 0", "NONE, REFUSED, true, 0, false, 0", "NONE, RETURNED, true, 0, false, 0",
        "NONE, SHED, true, 1990, false, 0",
    })
    void onlySafeRetriesAndNotBeforeRetryAfter(Effect effect, AttemptOutcome.Kind kind, boolean harmless, double pause,
            boolean again, double notBefore) {
        double at = new RetryPolicy(effect, 2000, new Random(1), new RetryBudget()).nextAttemptAt(new AttemptOutcome(kind, pause, harmless, kind == AttemptOutcome.Kind.NEVER_SENT, null, ""), 0);
        assertEquals(again, !Double.isNaN(at));
        assertTrue(!again || at >= notBefore && at < 2000, "at " + at);
    }

    /** When everything fails, repeats stay at a tenth of first tries. */
    @Test
    void retryBudgetBoundsRetriesOfAllInferences() {
        RetryBudget purse = new RetryBudget();
        Random chance = new Random(2);
        int repeats = 0;
        for (int i = 0; i < 10_000; i++) {
            RetryPolicy one = new RetryPolicy(Effect.NONE, 1e9, chance, purse);
            while (!Double.isNaN(one.nextAttemptAt(new AttemptOutcome(AttemptOutcome.Kind.SHED, 0, true, false, null, ""), 0))) {
                repeats++;
            }
        }
        assertTrue(repeats > 900 && repeats <= 1010, repeats + " repeats");
        assertEquals(10_000, purse.rejected());
    }

    /** A rolling restart sheds everything that is open at a front end: all of it goes elsewhere. */
    @Test
    void drainingFrontEndDoesNotUseTheBudget() {
        RetryBudget purse = new RetryBudget();
        for (int i = 0; i < 1000; i++) {
            RetryPolicy one = new RetryPolicy(Effect.ONCE, 1e9, new Random(i), purse);
            assertTrue(!Double.isNaN(one.nextAttemptAt(new AttemptOutcome(AttemptOutcome.Kind.SHED, 0, true, true, null, ""), 0)));
        }
        assertEquals(0, purse.rejected());
    }

    /** Waits that grow, and are never beyond the deadline, for any run of ends. */
    @Test
    void noRetryAfterTheDeadline() {
        Random chance = new Random(3);
        for (int run = 0; run < 2000; run++) {
            double deadline = chance.nextDouble() * 20_000;
            RetryPolicy one = new RetryPolicy(Effect.NONE, deadline, chance, new RetryBudget());
            double now = 0;
            for (int i = 0; i < 50; i++) {
                boolean leaving = chance.nextBoolean();
                double at = one.nextAttemptAt(new AttemptOutcome(leaving ? AttemptOutcome.Kind.NEVER_SENT : AttemptOutcome.Kind.SHED, chance.nextInt(3) * 500, true,
                        leaving, null, ""), now);
                if (Double.isNaN(at)) {
                    break;
                }
                assertTrue(at >= now && at < deadline);
                now = at;
            }
        }
    }

    /** A thousand clients lose the only front end at one moment: they come back over ten seconds, evenly. */
    @Test
    void reconnectsOfManyClientsAreSpread() {
        int[] perSecond = new int[10];
        for (int i = 0; i < 1000; i++) {
            FrontEndSelector list = new FrontEndSelector(List.of("a"), new Random(i));
            list.markUnavailable(list.next(0), 0);
            assertNull(list.next(list.nextAvailableAt() - 1));
            perSecond[(int) (list.nextAvailableAt() / 1000)]++;
        }
        for (int count : perSecond) {
            assertTrue(count > 50 && count < 150, count + " in a second");
        }
    }

    @Test
    void unavailableFrontEndIsSkippedUntilReachable() {
        FrontEndSelector list = new FrontEndSelector(List.of("a", "b"), new Random(4));
        FrontEndSelector.Target first = list.next(0);
        list.markUnavailable(first, 0);
        FrontEndSelector.Target second = list.next(0);
        assertNotSame(first, second);
        assertSame(second, list.next(0));
        list.markReachable(first);
        assertSame(first, list.next(0));
    }
}
