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
    private final long endsWithinMillis;
    private final Thread shutdownHook = new Thread(this::kill, "child processes end");
    private final Set<Process> running = new LinkedHashSet<>();
    private boolean closed;

    /** @param endsWithinMillis how long a process may take to end after SIGTERM, before it is killed */
    public ChildProcesses(long endsWithinMillis) {
        this.endsWithinMillis = endsWithinMillis;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Starts one; refused once the play has ended. */
    public synchronized Process start(ProcessBuilder command) throws IOException {
        if (closed) {
            throw new IOException("not started, the play has ended: " + command.command());
        }
        Process process = command.start();
        running.add(process);
        process.onExit().thenRun(() -> forget(process));
        return process;
    }

    private synchronized void forget(Process process) {
        running.remove(process);
    }

    private synchronized List<Process> end() {
        closed = true;
        return List.copyOf(running);
    }

    private void kill() {
        end().forEach(Process::destroyForcibly);
    }

    /** Ends all of them: by SIGTERM, and what is still there after its time by SIGKILL. */
    @Override
    public void close() {
        List<Process> left = end();
        left.forEach(Process::destroy);
        try {
            for (Process process : left) {
                process.waitFor(endsWithinMillis, TimeUnit.MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        kill();
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // This process is ending: the hook has run, or does so now.
        }
    }
}
