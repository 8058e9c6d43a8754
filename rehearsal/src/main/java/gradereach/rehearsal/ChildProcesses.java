package gradereach.rehearsal;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The child processes of one run. Each is registered as soon as it is started, before it is ready to serve. When the run
 * ends, or a signal ends this process, all of them are stopped and no further one is started.
 */
public final class ChildProcesses implements AutoCloseable {
    private final long terminationTimeoutMillis;
    private final Thread shutdownHook = new Thread(this::killAll, "child processes end");
    private final Set<Process> running = new LinkedHashSet<>();
    private boolean closed;

    /** @param terminationTimeoutMillis how long a process may take to exit after SIGTERM before it is killed */
    public ChildProcesses(long terminationTimeoutMillis) {
        this.terminationTimeoutMillis = terminationTimeoutMillis;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a child process and registers it.
     *
     * @throws IOException if it cannot be started or the run has ended
     */
    public synchronized Process start(ProcessBuilder command) throws IOException {
        if (closed) {
            throw new IOException("not started, the run has ended: " + command.command());
        }
        Process process = command.start();
        running.add(process);
        process.onExit().thenRun(() -> remove(process));
        return process;
    }

    private synchronized void remove(Process process) {
        running.remove(process);
    }

    /** Starts no further processes from now on; returns the running ones. */
    private synchronized List<Process> closeAndGetRunning() {
        closed = true;
        return List.copyOf(running);
    }

    private void killAll() {
        closeAndGetRunning().forEach(Process::destroyForcibly);
    }

    /** Stops all processes by SIGTERM, and by SIGKILL those that still run after the termination timeout. */
    @Override
    public void close() {
        List<Process> remaining = closeAndGetRunning();
        remaining.forEach(Process::destroy);
        try {
            for (Process process : remaining) {
                process.waitFor(terminationTimeoutMillis, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        killAll();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // The JVM is shutting down: the hook has run or is running.
        }
    }
}
