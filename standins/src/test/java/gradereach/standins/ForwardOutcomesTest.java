package gradereach.standins;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against running a forward that the executor process has reported as "never seen" before it arrived. */
class ForwardOutcomesTest {
    private static final String FORWARD = "yard/a#fe-1-1";
    private static final int ROUNDS = 2000;
    private final DefaultEventLoop loop = new DefaultEventLoop();

    @AfterEach
    void shutDownLoop() {
        loop.shutdownGracefully();
    }

    private ForwardOutcomes newProcess(int maxFences) {
        return new ForwardOutcomes(loop, 0, maxFences);
    }

    @Test
    void forwardInquiredBeforeArrivalIsRejected() {
        ForwardOutcomes outcomes = newProcess(10);
        assertEquals(new ForwardOutcomes.ForwardLookup(404, "{}", true), outcomes.findOrFence(FORWARD));
        assertFalse(outcomes.tryStart(FORWARD));
        assertEquals(404, outcomes.findOrFence(FORWARD).status(), "a rejected forward did not run");
        assertTrue(outcomes.tryStart("yard/a#fe-1-2"), "forward with another id");
    }

    @Test
    void runningForwardIsNotFenced() {
        ForwardOutcomes outcomes = newProcess(10);
        assertTrue(outcomes.tryStart(FORWARD));
        assertEquals(new ForwardOutcomes.ForwardLookup(202, "{}", false), outcomes.findOrFence(FORWARD));
        outcomes.complete(FORWARD, "done");
        assertEquals(new ForwardOutcomes.ForwardLookup(200, "done", false), outcomes.findOrFence(FORWARD));
    }

    @Test
    void noFenceIsPromisedBeyondTheLimit() {
        ForwardOutcomes outcomes = newProcess(1);
        assertTrue(outcomes.findOrFence("first").fenced());
        assertEquals(new ForwardOutcomes.ForwardLookup(404, "{}", false), outcomes.findOrFence(FORWARD));
        assertTrue(outcomes.tryStart(FORWARD));
        assertTrue(outcomes.findOrFence("first").fenced(), "an earlier fence stays");
        assertFalse(outcomes.tryStart("first"));
    }

    /** A fence ends with its process; the different id of the next process shows that the promise no longer holds. */
    @Test
    void restartedProcessHasAnotherId() {
        ForwardOutcomes terminated = newProcess(10);
        assertTrue(terminated.findOrFence(FORWARD).fenced());
        ForwardOutcomes next = newProcess(10);
        assertTrue(next.tryStart(FORWARD));
        assertNotEquals(terminated.processId(), next.processId());
    }

    /** An inquiry and its forward arrive concurrently: either the forward runs, or the inquiry fences it, never both. */
    @Test
    void concurrentInquiryAndForwardAgree() throws Exception {
        ForwardOutcomes outcomes = newProcess(ROUNDS);
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            for (int i = 0; i < ROUNDS; i++) {
                String forward = "crossing#" + i;
                CountDownLatch bothStarted = new CountDownLatch(2);
                Future<Boolean> started = threads.submit(() -> {
                    bothStarted.countDown();
                    bothStarted.await();
                    return outcomes.tryStart(forward);
                });
                Future<ForwardOutcomes.ForwardLookup> lookup = threads.submit(() -> {
                    bothStarted.countDown();
                    bothStarted.await();
                    return outcomes.findOrFence(forward);
                });
                assertNotEquals(started.get(), lookup.get().fenced(), forward);
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
