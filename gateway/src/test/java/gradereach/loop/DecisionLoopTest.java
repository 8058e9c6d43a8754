package gradereach.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.Router;
import gradereach.counts.Counts;
import gradereach.desk.ClaimService;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.Ledger;
import gradereach.desk.MessageStore;
import gradereach.desk.Timers;
import gradereach.inquiry.InquiryScheduler;
import gradereach.message.AnswerFormat;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DecisionLoopTest {
    @Test
    void failingEventDoesNotStopTheLoop() throws InterruptedException {
        Counts counts = new Counts();
        BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();
        try (DecisionLoop loop = new DecisionLoop("test", MonotonicClock.system(), 16, counts, timers -> idleCoordinator(timers, counts))) {
            loop.setFailureListener(failures::add);
            loop.start();
            loop.post(coordinator -> {
                throw new AssertionError("planted");
            });
            CountDownLatch laterEvents = new CountDownLatch(2);
            loop.post(coordinator -> laterEvents.countDown());
            assertTrue(loop.offer(coordinator -> laterEvents.countDown()));
            assertTrue(laterEvents.await(20, TimeUnit.SECONDS));
            assertNull(loop.fatalError());
            assertEquals("planted", failures.poll(20, TimeUnit.SECONDS).getMessage());
            assertEquals(1, counts.value("event_failures"));
        }
    }

    /** Guards against an idle front end whose decision thread keeps waking up and uses a part of a core. */
    @Test
    void sleepsWhileOnlyDistantTimersAreSet() throws InterruptedException {
        Counts counts = new Counts();
        MonotonicClock clock = MonotonicClock.system();
        try (DecisionLoop loop = new DecisionLoop("test", clock, 16, counts, timers -> idleCoordinator(timers, counts))) {
            loop.start();
            CountDownLatch timerSet = new CountDownLatch(1);
            loop.post(coordinator -> {
                loop.schedule(clock.now() + 60_000, (Runnable) () -> { });
                timerSet.countDown();
            });
            assertTrue(timerSet.await(20, TimeUnit.SECONDS));
            long before = counts.value("decision_wake_ups");
            Thread.sleep(500);
            assertTrue(counts.value("decision_wake_ups") - before <= 500 / SHORTEST_IDLE_SLEEP_MILLIS,
                    () -> counts.value("decision_wake_ups") - before + " wake-ups");
        }
    }

    /** The loop sleeps for up to 50 ms at a time; twice as many wake-ups as that needs still cost almost nothing. */
    private static final int SHORTEST_IDLE_SLEEP_MILLIS = 25;

    /** A coordinator that is given no work. */
    private static InferenceCoordinator idleCoordinator(Timers timers, Counts counts) {
        Router router = (Router) Proxy.newProxyInstance(Router.class.getClassLoader(), new Class<?>[] {Router.class},
                (proxy, method, arguments) -> method.getReturnType() == boolean.class ? false : null);
        return new InferenceCoordinator("test", actions -> router, null, timers, null, MonotonicClock.system(),
                new MessageStore(10, 1000, 0, 16, 1), Ledger.NONE, ClaimService.ALONE, new InquiryScheduler(0, 1, 1),
                AnswerFormat.WEBHOOK, new InferenceCoordinator.AdmissionLimits(10, 10, 1), null, null, null, List.of(), counts);
    }
}
