package gradereach.rehearsal.soak;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** What a soak does that takes time, each script on a thread of its own. */
final class BackgroundTasks {
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Consumer<String> onFailure;

    /** Something that takes time, and may be cut short at the end. */
    interface BackgroundTask {
        void run() throws IOException, InterruptedException;
    }

    /** @param failures hears of the scripts that broke */
    BackgroundTasks(Consumer<String> failures) {
        this.onFailure = failures;
    }

    void start(BackgroundTask script) {
        threads.submit(() -> {
            try {
                script.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException | RuntimeException e) {
                onFailure.accept("the soak itself: " + e);
            }
        });
    }

    /** Whether all came to their end within so long; none begins any more. */
    boolean awaitCompletion(int seconds) throws InterruptedException {
        threads.shutdown();
        return threads.awaitTermination(seconds, TimeUnit.SECONDS);
    }

    /** Cuts short what still runs. */
    void cancelAll() {
        threads.shutdownNow();
    }
}
