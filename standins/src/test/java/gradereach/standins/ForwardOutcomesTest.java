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

    private ForwardOutcomes process(int mostFences) {
        return new ForwardOutcomes(loop, 0, mostFences);
    }

    @Test
    void whatWasAskedAboutBeforeItCameIsRefused() {
        ForwardOutcomes outcomes = process(10);
        assertEquals(new ForwardOutcomes.Found(404, "{}", true), outcomes.find(FORWARD));
        assertFalse(outcomes.begin(FORWARD));
        assertEquals(404, outcomes.find(FORWARD).status(), "a refused one did not run");
        assertTrue(outcomes.begin("yard/a#fe-1-2"), "another life's forward");
    }

    @Test
    void whatRunsIsNotFenced() {
        ForwardOutcomes outcomes = process(10);
        assertTrue(outcomes.begin(FORWARD));
        assertEquals(new ForwardOutcomes.Found(202, "{}", false), outcomes.find(FORWARD));
        outcomes.finished(FORWARD, "done");
        assertEquals(new ForwardOutcomes.Found(200, "done", false), outcomes.find(FORWARD));
    }

    @Test
    void withoutRoomNothingIsPromised() {
        ForwardOutcomes outcomes = process(1);
        assertTrue(outcomes.find("first").fenced());
        assertEquals(new ForwardOutcomes.Found(404, "{}", false), outcomes.find(FORWARD));
        assertTrue(outcomes.begin(FORWARD));
        assertTrue(outcomes.find("first").fenced(), "what was promised stays so");
        assertFalse(outcomes.begin("first"));
    }

    /** A fence ends with its process, and the next one is not the one that promised it. */
    @Test
    void theNextProcessHasAnotherName() {
        ForwardOutcomes ended = process(10);
        assertTrue(ended.find(FORWARD).fenced());
        ForwardOutcomes next = process(10);
        assertTrue(next.begin(FORWARD));
        assertNotEquals(ended.process(), next.process());
    }

    /** A question and the forward come at the same time: it runs, or is said never to. */
    @Test
    void aQuestionAndTheForwardMayCross() throws Exception {
        ForwardOutcomes outcomes = process(CROSSINGS);
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            for (int i = 0; i < CROSSINGS; i++) {
                String forward = "crossing#" + i;
                CountDownLatch both = new CountDownLatch(2);
                Future<Boolean> begun = threads.submit(() -> {
                    both.countDown();
                    both.await();
                    return outcomes.begin(forward);
                });
                Future<ForwardOutcomes.Found> found = threads.submit(() -> {
                    both.countDown();
                    both.await();
                    return outcomes.find(forward);
                });
                assertNotEquals(begun.get(), found.get().fenced(), forward);
            }
        } finally {
            threads.shutdownNow();
        }
    }
}
