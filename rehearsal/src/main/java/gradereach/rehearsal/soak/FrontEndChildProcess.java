package gradereach.rehearsal.soak;

import gradereach.rehearsal.ChildProcesses;
import gradereach.standins.faults.ConnectionEvent;
import gradereach.standins.faults.FaultShim;
import gradereach.standins.faults.SystemFault;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A front end as a child process that is controlled by signals. */
public final class FrontEndChildProcess implements AutoCloseable {
    private static final int READY_SECONDS = 30;
    private static final String LISTENING_PREFIX = "listening /";

    /** The address at which it listens. */
    public final InetSocketAddress address;
    private final List<String> log = new ArrayList<>();
    private final Path configFile;
    private final Path faultCountsFile;
    private final Process process;
    private volatile boolean stopRequested;

    /** The front end did not become ready; the message ends with its last output. */
    public static final class NotReadyException extends Exception {
        private static final long serialVersionUID = 1L;

        NotReadyException(String message) {
            super(message);
        }
    }

    /**
     * Starts a front end and returns once it serves, or kills it if that takes too long.
     *
     * @param processes the child processes of the soak; this one is added as soon as it is started
     * @param command starts the front end; EDGE_CONFIG names its configuration
     * @param config the configuration file, written with {@code json}
     * @param shim makes the system calls of the process fail as given by {@code faults}
     */
    public FrontEndChildProcess(ChildProcesses processes, List<String> command, Path config, String json, FaultShim shim,
            List<SystemFault> faults, long seed) throws IOException, InterruptedException, NotReadyException {
        this.configFile = Files.writeString(config, json);
        faultCountsFile = Path.of(config + ".faults");
        ProcessBuilder start = new ProcessBuilder(command).redirectErrorStream(true);
        start.environment().put("EDGE_CONFIG", config.toString());
        shim.preload(start, faults, seed, faultCountsFile); // also without faults, as the shim records the connections
        process = processes.start(start);
        CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();
        Thread reader = new Thread(() -> readOutput(listening), "log of " + config.getFileName());
        reader.setDaemon(true);
        reader.start();
        address = awaitReady(listening);
    }

    private InetSocketAddress awaitReady(CompletableFuture<InetSocketAddress> listening) throws InterruptedException, NotReadyException {
        try {
            return listening.get(READY_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            process.destroyForcibly();
            throw e;
        } catch (ExecutionException e) {
            throw new NotReadyException(e.getCause().getMessage());
        } catch (TimeoutException e) {
            process.destroyForcibly();
            throw new NotReadyException("not ready within " + READY_SECONDS + " s: " + lastLines());
        }
    }

    private void readOutput(CompletableFuture<InetSocketAddress> listening) {
        try (BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                synchronized (log) {
                    log.add(line);
                }
                int index = line.indexOf(LISTENING_PREFIX);
                if (index >= 0) {
                    String[] parts = line.substring(index + LISTENING_PREFIX.length()).split("[: ]");
                    listening.complete(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
                }
            }
        } catch (IOException e) {
            listening.completeExceptionally(e);
        }
        listening.completeExceptionally(new IOException("ended before it served: " + lastLines()));
    }

    /** Its output so far. */
    public List<String> log() {
        synchronized (log) {
            return List.copyOf(log);
        }
    }

    private String lastLines() {
        List<String> all = log();
        return String.join(" | ", all.subList(Math.max(0, all.size() - 5), all.size()));
    }

    /** Replaces the configuration file and has the process reload it by SIGHUP. */
    public void reconfigure(String json) throws IOException, InterruptedException {
        Files.writeString(configFile, json);
        sendSignal("HUP");
    }

    /** Sends a signal, given by its name without SIG. */
    public void sendSignal(String name) throws IOException, InterruptedException {
        stopRequested |= name.equals("TERM") || name.equals("KILL");
        new ProcessBuilder("kill", "-" + name, process.pid() + "").start().waitFor();
    }

    /** Waits for the process to exit; returns whether it did within {@code millis}. */
    public boolean awaitExit(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    /** How the process exited without having been stopped; null where it did not. */
    public String crashReport() {
        return stopRequested || process.isAlive() ? null : "exit code " + process.exitValue() + ": " + lastLines();
    }

    /** How often each of the faults took effect. */
    public long[] faultCounts(List<SystemFault> faults) throws IOException {
        return FaultShim.faultCounts(faultCountsFile, faults);
    }

    /** The recorded events of its connections. */
    public List<ConnectionEvent> connectionEvents() throws IOException {
        return FaultShim.connectionEvents(faultCountsFile);
    }

    @Override
    public void close() {
        stopRequested = true;
        process.destroyForcibly();
    }
}
