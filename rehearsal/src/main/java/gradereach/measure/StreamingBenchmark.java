package gradereach.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.client.AttemptOutcome;
import gradereach.client.FrontEndTransport;
import gradereach.client.Inference;
import gradereach.counts.Counts;
import gradereach.http2.Http2ConnectionPool;
import gradereach.protocol.inference.InferParameter;
import gradereach.protocol.inference.ModelInferRequest;
import gradereach.rehearsal.ChildProcesses;
import gradereach.standins.StandInFleet;
import gradereach.webhook.WebhookKey;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Measures streamed answers, from an executor directly and through one front end in one run: the latency added to the first
 * part, the fairness among competing streams, the effect of one slow reader on others, and the memory of an open stream.
 */
public final class StreamingBenchmark {
    private static final int EXECUTORS = 20;
    /** Clients with one connection each, as a connection carries at most a thousand streams. */
    private static final int CLIENTS = 20;

    /** Before the time of the next stream, the sender busy-waits this long, since a parked thread wakes up late. */
    private static final long BUSY_WAIT_NANOS = 50_000;
    /** Shorter waits are busy-waited as a whole. */
    private static final long MIN_PARK_NANOS = 100_000;

    private final Path folder;
    private final List<String> frontEndCommand;
    private final PrintStream out;
    private final WebhookKey key = WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()));
    private final List<FrontEndTransport> clients = new ArrayList<>();
    private int requestCount;

    /**
     * Creates a benchmark that has not started yet.
     *
     * @param folder gets configurations, logs and the transcript of the stand-ins
     * @param frontEndCommand starts a front end when a deployment file is appended
     */
    public StreamingBenchmark(Path folder, List<String> frontEndCommand, PrintStream out) {
        this.folder = folder;
        this.frontEndCommand = frontEndCommand;
        this.out = out;
    }

    /**
     * Runs all measurements.
     *
     * @param rounds how often each measurement is repeated, except the last one
     * @param streamCount streams that are open at the same time in the last measurement
     */
    public void run(int rounds, int streamCount) throws IOException, InterruptedException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode models = (ObjectNode) json.readTree("""
                {"model_groups": [{"name": "t", "repeat": "retriable", "slo_ms": 2000, "route_timeout_ms": 20000, "streamed": true}],
                 "models": [{"name": "t-*", "group": "t", "lanes": 2000, "load_ms": 20}]}""");
        ObjectNode fleetConfig = models.deepCopy().put("executors", EXECUTORS).put("work_ms", 0.1);
        fleetConfig.putObject("machine").put("cores", 64).put("queue", 4000).put("keeps_idle_ms", 600_000);
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(FrontEndTransport.grpc(key));
        }
        try (StandInFleet fleet = new StandInFleet(fleetConfig, folder.resolve("stand-ins.jsonl"))) {
            ChildProcesses children = new ChildProcesses(TimeUnit.SECONDS.toMillis(10));
            Process frontEnd = children.start(new ProcessBuilder(writeFrontEndCommand(models, fleet.rosterPort())).redirectError(
                    folder.resolve("front-end.log").toFile()));
            try {
                String output = frontEnd.inputReader(StandardCharsets.UTF_8).readLine();
                if (output == null) {
                    throw new IOException("the front end did not start: see " + folder.resolve("front-end.log"));
                }
                String frontEndAddress = "127.0.0.1:" + output.replaceAll(".*:", "");
                runAll(fleet.addresses().get(0), frontEndAddress, frontEnd, rounds, streamCount);
            } finally {
                children.close();
                clients.forEach(FrontEndTransport::close);
            }
        }
    }

    private void runAll(String executorAddress, String frontEndAddress, Process frontEnd, int rounds, int streamCount)
            throws InterruptedException {
        // Loads the model at the executors and warms up the classes of all processes.
        measureFirstParts(frontEndAddress, 500, 5000);
        loadModel(executorAddress);
        measureFirstParts(executorAddress, 500, 2000);
        for (int round = 0; round < rounds; round++) {
            printLatencies("first part, direct", measureFirstParts(executorAddress, 500, 3000));
            printLatencies("first part, through", measureFirstParts(frontEndAddress, 500, 3000));
        }
        for (int round = 0; round < rounds; round++) {
            measureFairness(frontEndAddress);
        }
        for (int round = 0; round < rounds; round++) {
            printLatencies("500 streams alone", measureBesideSlowReader(frontEndAddress, false));
            printLatencies("500 beside one at a crawl", measureBesideSlowReader(frontEndAddress, true));
        }
        measureOpenStreams(frontEndAddress, frontEnd, streamCount);
    }

    private void printLatencies(String label, Histogram latencies) {
        out.println(String.format("%-26s %6d streams  p50 %6.2f ms  p99 %6.2f ms  p99.9 %6.2f ms", label, latencies.getTotalCount(),
                latencies.getValueAtPercentile(50) / 1e6, latencies.getValueAtPercentile(99) / 1e6,
                latencies.getValueAtPercentile(99.9) / 1e6));
    }

    /** Loads the model at an executor that is called directly, as no front end sends load orders there. */
    private static void loadModel(String executorAddress) throws InterruptedException {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        int colon = executorAddress.indexOf(':');
        CountDownLatch loaded = new CountDownLatch(1);
        new Http2ConnectionPool(
                new InetSocketAddress(executorAddress.substring(0, colon), Integer.parseInt(executorAddress.substring(colon + 1))),
                loops.next(), NioSocketChannel.class, new Http2ConnectionPool.Limits(1, 10, 1000, 1000, 1 << 16, 1 << 16),
                new Http2ConnectionPool.Metrics(new Counts(), "hold"), () -> System.nanoTime() / 1e6)
                .send("POST", "/v2/repository/models/t-0/load", "{\"parameters\":{\"copies\":1}}".getBytes(StandardCharsets.UTF_8),
                        (result, status, head, body) -> loaded.countDown());
        loaded.await(5, TimeUnit.SECONDS);
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static InferParameter doubleParameter(double value) {
        return InferParameter.newBuilder().setDoubleParam(value).build();
    }

    /** Opens a stream of {@code parts} parts, each {@code intervalMillis} after the one before. */
    private FrontEndTransport.Attempt openStream(String address, int clientIndex, int parts, int partBytes,
            double intervalMillis, Consumer<Object> onPart, Consumer<AttemptOutcome> onEnd) {
        ModelInferRequest request = ModelInferRequest.newBuilder().setModelName("t-0").putParameters("parts", doubleParameter(parts))
                .putParameters("part_bytes", doubleParameter(partBytes)).putParameters("part_ms", doubleParameter(intervalMillis)).build();
        return clients.get(clientIndex % CLIENTS).stream(address,
                new Inference("s-" + System.nanoTime() + "-" + requestCount++, "t-0", request), 600_000, onPart, onEnd);
    }

    /** Opens {@code rate} streams a second, of five parts each; returns the time of each first part since its stream was due. */
    private Histogram measureFirstParts(String address, int rate, int millis) throws InterruptedException {
        Recorder recorder = new Recorder(TimeUnit.SECONDS.toNanos(60), 3);
        int count = (int) ((long) rate * millis / 1000);
        CountDownLatch unfinishedStreams = new CountDownLatch(count);
        AtomicInteger failed = new AtomicInteger();
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long dueNanos = start + i * 1_000_000_000L / rate;
            for (long now; (now = System.nanoTime()) < dueNanos;) {
                if (dueNanos - now > MIN_PARK_NANOS) {
                    LockSupport.parkNanos(dueNanos - now - BUSY_WAIT_NANOS);
                }
            }
            boolean[] hasFirstPart = new boolean[1];
            openStream(address, i, 5, 256, 2, part -> {
                if (!hasFirstPart[0]) {
                    hasFirstPart[0] = true;
                    recorder.recordValue(System.nanoTime() - dueNanos);
                }
            }, outcome -> {
                failed.addAndGet(outcome.kind() == AttemptOutcome.Kind.RETURNED ? 0 : 1);
                unfinishedStreams.countDown();
            });
        }
        unfinishedStreams.await(30, TimeUnit.SECONDS);
        if (failed.get() + unfinishedStreams.getCount() > 0) {
            out.println(failed.get() + " broke, " + unfinishedStreams.getCount() + " did not end");
        }
        return recorder.getIntervalHistogram();
    }

    /** Counts the parts that each of a hundred streams over one connection gets at full speed in the two seconds after all began. */
    private void measureFairness(String address) throws InterruptedException {
        AtomicInteger[] received = new AtomicInteger[100];
        List<FrontEndTransport.Attempt> streams = new ArrayList<>();
        for (int i = 0; i < received.length; i++) {
            AtomicInteger count = new AtomicInteger();
            received[i] = count;
            streams.add(openStream(address, 0, 1_000_000, 512, 0, part -> count.incrementAndGet(), end -> { }));
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (Arrays.stream(received).anyMatch(n -> n.get() == 0) && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        int[] partsBefore = Arrays.stream(received).mapToInt(AtomicInteger::get).toArray();
        Thread.sleep(2000);
        int[] receivedMeanwhile = new int[received.length];
        for (int i = 0; i < receivedMeanwhile.length; i++) {
            receivedMeanwhile[i] = received[i].get() - partsBefore[i];
        }
        streams.forEach(FrontEndTransport.Attempt::cancel);
        double sum = Arrays.stream(receivedMeanwhile).sum();
        double squares = Arrays.stream(receivedMeanwhile).mapToDouble(n -> (double) n * n).sum();
        Arrays.sort(receivedMeanwhile);
        out.println(String.format("fairness of 100 streams    Jain's index %.3f, parts in two seconds: least %d, median %d, most %d; "
                + "%,.0f parts/s in all", sum * sum / receivedMeanwhile.length / squares,
                receivedMeanwhile[0], receivedMeanwhile[50], receivedMeanwhile[99], sum / 2));
    }

    /** Measures the first parts of 500 streams a second, with or without another stream whose reader takes one part a second. */
    private Histogram measureBesideSlowReader(String address, boolean withSlowReader) throws InterruptedException {
        FrontEndTransport.Attempt slowStream = !withSlowReader ? null : openStream(address, 0, 1_000_000, 1024, 0,
                part -> LockSupport.parkNanos(1_000_000_000L), end -> { });
        Histogram latencies = measureFirstParts(address, 500, 4000);
        if (slowStream != null) {
            slowStream.cancel();
        }
        return latencies;
    }

    /** Measures the memory of the front end without and with open streams, each of which gets a part every two seconds. */
    private void measureOpenStreams(String address, Process frontEnd, int streamCount) throws InterruptedException {
        long memoryBeforeMb = residentMb(frontEnd);
        AtomicInteger started = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        long start = System.nanoTime();
        for (int i = 0; i < streamCount; i++) {
            boolean[] hasFirstPart = new boolean[1];
            openStream(address, i, 1000, 64, 2000, part -> {
                if (!hasFirstPart[0]) {
                    hasFirstPart[0] = true;
                    started.incrementAndGet();
                }
            }, end -> ended.incrementAndGet());
            if (i % 10 == 9) {
                LockSupport.parkNanos(5_000_000); // opens 2,000 streams a second
            }
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (started.get() + ended.get() < streamCount && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        double elapsedSeconds = (System.nanoTime() - start) / 1e9;
        Histogram latenciesMeanwhile = measureFirstParts(address, 100, 5000);
        long memoryWithMb = residentMb(frontEnd);
        out.println(String.format("open at once               %d of %d streams after %.1f s, %d ended; %d MB resident before, %d with: "
                + "%.1f KB each", started.get(), streamCount, elapsedSeconds, ended.get(), memoryBeforeMb, memoryWithMb,
                (memoryWithMb - memoryBeforeMb) * 1024.0 / Math.max(1, started.get())));
        printLatencies("first part beside them", latenciesMeanwhile);
    }

    private static long residentMb(Process process) {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream().filter(l -> l.startsWith("VmRSS"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024).findFirst().orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Writes the configuration of a front end and returns the command that starts it. */
    private List<String> writeFrontEndCommand(ObjectNode models, int rosterPort) throws IOException {
        Path keyFile = folder.resolve("key");
        Files.deleteIfExists(keyFile);
        Files.createFile(keyFile, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(keyFile, key.secretText());
        ObjectNode deployment = models.deepCopy().put("name", "measured").put("listen", "127.0.0.1:0");
        deployment.putObject("grpc").put("listen", "127.0.0.1:0").put("stalled_ms", 60_000);
        deployment.putObject("roster").put("server", "http://127.0.0.1:" + rosterPort);
        deployment.putArray("customers").addObject().put("name", "yard").putArray("keys").addObject().put("file", "key");
        deployment.putObject("executors").put("streams", 1000).putArray("grpc_kinds").add(0);
        deployment.putObject("limits").put("streams", 1000);
        Files.write(folder.resolve("plan.json"), new ObjectMapper().writeValueAsBytes(deployment));
        List<String> command = new ArrayList<>(frontEndCommand);
        command.add(folder.resolve("plan.json").toString());
        return command;
    }
}
