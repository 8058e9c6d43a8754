package gradereach.rehearsal.soak;

import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Runs the long-running actions of a soak, each on a thread of its own. */
final class BackgroundTasks {
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Consumer<String> onFailure;

    /** A task that takes time and may be interrupted at the end of the soak. */
    interface BackgroundTask {
        void run() throws IOException, InterruptedException;
    }

    /** @param onFailure gets a description of each task that failed */
    BackgroundTasks(Consumer<String> onFailure) {
        this.onFailure = onFailure;
    }

    /** Starts a task on a thread of its own. */
    void start(BackgroundTask task) {
        threads.submit(() -> {
            try {
                task.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException | RuntimeException e) {
                onFailure.accept("the soak itself: " + e);
            }
        });
    }

    /** Accepts no further tasks and waits for the running ones; returns whether all ended within {@code seconds}. */
    boolean awaitCompletion(int seconds) throws InterruptedException {
        threads.shutdown();
        return threads.awaitTermination(seconds, TimeUnit.SECONDS);
    }

    /** Interrupts the tasks that still run. */
    void cancelAll() {
        threads.shutdownNow();
    }
}
