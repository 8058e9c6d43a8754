package gradereach.loop;

import java.net.BindException;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Repeats a step of a process's start that failed: opening a listener, or what lasts on a disk. The system may be out of
 * descriptors, buffers or memory for a moment, a write may fail for a while, and a process that is ending may still hold the
 * address: that is tried again for some seconds before the start fails.
 */
public final class StartRetry {
    /** Of the 30 seconds within which a restarted process has to be ready, warm-up and reading of a ledger come first. */
    private static final long RETRY_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long RETRY_INTERVAL_MILLIS = 50;
    private static final String ADDRESS_IN_USE = "Address already in use";

    private StartRetry() { }

    /**
     * Returns what {@code step} returns once it succeeds.
     *
     * @param wanted whether it goes on; the last failure is thrown otherwise
     * @param firstFailure told the first one that is tried again
     */
    public static <T> T run(Callable<T> step, BooleanSupplier wanted, Consumer<Exception> firstFailure) throws Exception {
        long begun = System.nanoTime();
        boolean told = false;
        while (true) {
            try {
                return step.call();
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                if (!isTransient(e) || !wanted.getAsBoolean() || System.nanoTime() - begun > RETRY_TIMEOUT_NANOS) {
                    throw e;
                }
                if (!told) {
                    firstFailure.accept(e);
                    told = true;
                }
                Thread.sleep(RETRY_INTERVAL_MILLIS);
            }
        }
    }

    /** An address that is not this machine's, or that the process may not take, stays so. */
    private static boolean isTransient(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof BindException) {
                return String.valueOf(cause.getMessage()).contains(ADDRESS_IN_USE);
            }
        }
        return true;
    }
}
