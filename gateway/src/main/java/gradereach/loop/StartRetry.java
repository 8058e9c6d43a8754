package gradereach.loop;

import java.net.BindException;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Retries a failed step of the process's start, such as opening a listener or writing durable state to a disk. The system may be
 * briefly out of file descriptors, buffers or memory, a write may fail for a while, and a process that is ending may still hold
 * the address. Such failures are retried for some seconds before the start fails.
 */
public final class StartRetry {
    /** A restarted process has to be ready within 30 seconds; this leaves time for the warm-up and for reading the ledger. */
    private static final long RETRY_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long RETRY_INTERVAL_MILLIS = 50;
    private static final String ADDRESS_IN_USE = "Address already in use";

    private StartRetry() { }

    /**
     * Returns what {@code step} returns once it succeeds.
     *
     * @param shouldContinue whether to retry; if false, the last failure is thrown
     * @param onFirstFailure receives the first failure that is retried
     */
    public static <T> T run(Callable<T> step, BooleanSupplier shouldContinue, Consumer<Exception> onFirstFailure) throws Exception {
        long startedAt = System.nanoTime();
        boolean reported = false;
        while (true) {
            try {
                return step.call();
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                if (!isTransient(e) || !shouldContinue.getAsBoolean() || System.nanoTime() - startedAt > RETRY_TIMEOUT_NANOS) {
                    throw e;
                }
                if (!reported) {
                    onFirstFailure.accept(e);
                    reported = true;
                }
                Thread.sleep(RETRY_INTERVAL_MILLIS);
            }
        }
    }

    /**
     * Returns whether a retry may succeed. This is true of every failure except that to bind an address that does not belong to
     * this machine or that the process may not use.
     */
    private static boolean isTransient(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException) {
                return String.valueOf(cause.getMessage()).contains(ADDRESS_IN_USE);
            }
        }
        return true;
    }
}
