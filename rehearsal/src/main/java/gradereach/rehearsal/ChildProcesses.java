package gradereach.rehearsal;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The processes of one play. Each is known from its start, whatever is waited for before it serves; when the play ends, or
 * this process is ended by a signal, all of them end and no other is started.
 */
public final class ChildProcesses implements AutoCloseable {
    private final long terminationTimeoutMillis;
    private final Thread shutdownHook = new Thread(this::killAll, "child processes end");
    private final Set<Process> running = new LinkedHashSet<>();
    private boolean closed;

    /** @param endsWithinMillis how long a process may take to end after SIGTERM, before it is killed */
    public ChildProcesses(long endsWithinMillis) {
        this.terminationTimeoutMillis = endsWithinMillis;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Starts one; refused once the play has ended. */
    public synchronized Process start(ProcessBuilder command) throws IOException {
        if (closed) {
            throw new IOException("not started, the play has ended: " + command.command());
        }
        Process process = command.start();
        running.add(process);
        process.onExit().thenRun(() -> remove(process));
        return process;
    }

    private synchronized void remove(Process process) {
        running.remove(process);
    }

    private synchronized List<Process> stopStarting() {
        closed = true;
        return List.copyOf(running);
    }

    private void killAll() {
        stopStarting().forEach(Process::destroyForcibly);
    }

    /** Ends all of them: by SIGTERM, and what is still there after its time by SIGKILL. */
    @Override
    public void close() {
        List<Process> left = stopStarting();
        left.forEach(Process::destroy);
        try {
            for (Process process : left) {
                process.waitFor(terminationTimeoutMillis, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        killAll();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // This process is ending: the hook has run, or does so now.
        }
    }
}
