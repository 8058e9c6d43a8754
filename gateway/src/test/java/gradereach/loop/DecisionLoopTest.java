package gradereach.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.Router;
import gradereach.counts.Counts;
import gradereach.desk.Claims;
import gradereach.desk.Desk;
import gradereach.desk.Ledger;
import gradereach.desk.MessageMemory;
import gradereach.desk.Timers;
import gradereach.inquiry.InquiryBook;
import gradereach.message.Wording;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DecisionLoopTest {
    @Test
    void whatOneEventBreaksCostsThatEventAlone() throws InterruptedException {
        Counts counts = new Counts();
        BlockingQueue<Throwable> told = new LinkedBlockingQueue<>();
        try (DecisionLoop loop = new DecisionLoop("test", Clock.system(), 16, counts, timers -> desk(timers, counts))) {
            loop.onFailure(told::add);
            loop.start();
            loop.pass(desk -> {
                throw new AssertionError("planted");
            });
            CountDownLatch later = new CountDownLatch(2);
            loop.pass(desk -> later.countDown());
            assertTrue(loop.offer(desk -> later.countDown()));
            assertTrue(later.await(20, TimeUnit.SECONDS));
            assertNull(loop.death());
            assertEquals("planted", told.poll(20, TimeUnit.SECONDS).getMessage());
            assertEquals(1, counts.value("event_failures"));
        }
    }

    /** Guards against an idle front end that takes a part of a core from whatever runs beside it. */
    @Test
    void oneThatHasOnlyFarTimersSleeps() throws InterruptedException {
        Counts counts = new Counts();
        Clock clock = Clock.system();
        try (DecisionLoop loop = new DecisionLoop("test", clock, 16, counts, timers -> desk(timers, counts))) {
            loop.start();
            CountDownLatch set = new CountDownLatch(1);
            loop.pass(desk -> {
                loop.set(clock.now() + 60_000, (Runnable) () -> { });
                set.countDown();
            });
            assertTrue(set.await(20, TimeUnit.SECONDS));
            long before = counts.value("decision_wake_ups");
            Thread.sleep(500);
            assertTrue(counts.value("decision_wake_ups") - before <= 500 / SHORTEST_IDLE_SLEEP_MILLIS,
                    () -> counts.value("decision_wake_ups") - before + " times awake");
        }
    }

    /** Ten wake-ups a second cost nothing to speak of; the loop's own bound is 50 ms. */
    private static final int SHORTEST_IDLE_SLEEP_MILLIS = 25;

    /** One that is asked for nothing. */
    private static Desk desk(Timers timers, Counts counts) {
        Router router = (Router) Proxy.newProxyInstance(Router.class.getClassLoader(), new Class<?>[] {Router.class},
                (proxy, method, arguments) -> method.getReturnType() == boolean.class ? false : null);
        return new Desk("test", outlet -> router, null, timers, null, Clock.system(),
                new MessageMemory(10, 1000, 0, 16, 1), Ledger.NONE, Claims.ALONE, new InquiryBook(0, 1, 1),
                Wording.WEBHOOK, new Desk.Door(10, 10, 1), null, null, null, List.of(), counts);
    }
}
