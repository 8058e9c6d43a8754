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

/** "Never seen" stays true: what an executor's process has said it of does not run there afterwards. */
class ForwardOutcomesTest {
    private static final String FORWARD = "yard/a#fe-1-1";
    private static final int CROSSINGS = 2000;
    private final DefaultEventLoop loop = new DefaultEventLoop();

    @AfterEach
    void end() {
        loop.shutdownGracefully();
    }

    private ForwardOutcomes newProcess(int mostFences) {
        return new ForwardOutcomes(loop, 0, mostFences);
    }

    @Test
    void forwardInquiredBeforeArrivalIsRejected() {
        ForwardOutcomes outcomes = newProcess(10);
        assertEquals(new ForwardOutcomes.ForwardLookup(404, "{}", true), outcomes.findOrFence(FORWARD));
        assertFalse(outcomes.tryStart(FORWARD));
        assertEquals(404, outcomes.findOrFence(FORWARD).status(), "a refused one did not run");
        assertTrue(outcomes.tryStart("yard/a#fe-1-2"), "another life's forward");
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
        assertTrue(outcomes.findOrFence("first").fenced(), "what was promised stays so");
        assertFalse(outcomes.tryStart("first"));
    }

    /** A fence ends with its process, and the next one is not the one that promised it. */
    @Test
    void restartedProcessHasAnotherId() {
        ForwardOutcomes ended = newProcess(10);
        assertTrue(ended.findOrFence(FORWARD).fenced());
        ForwardOutcomes next = newProcess(10);
        assertTrue(next.tryStart(FORWARD));
        assertNotEquals(ended.processId(), next.processId());
    }

    /** A question and the forward come at the same time: it runs, or is said never to. */
    @Test
    void concurrentInquiryAndForwardAgree() throws Exception {
        ForwardOutcomes outcomes = newProcess(CROSSINGS);
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            for (int i = 0; i < CROSSINGS; i++) {
                String forward = "crossing#" + i;
                CountDownLatch both = new CountDownLatch(2);
                Future<Boolean> begun = threads.submit(() -> {
                    both.countDown();
                    both.await();
                    return outcomes.tryStart(forward);
                });
                Future<ForwardOutcomes.ForwardLookup> found = threads.submit(() -> {
                    both.countDown();
                    both.await();
                    return outcomes.findOrFence(forward);
                });
                assertNotEquals(begun.get(), found.get().fenced(), forward);
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
