package gradereach.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.client.AttemptOutcome;
import gradereach.client.Inference;
import gradereach.client.FrontEndTransport;
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
 * Answers in parts, asked of an executor directly and through one front end in one run: how much later the first part is,
 * how evenly streams that compete are served, what one reader at a crawl does to others, what an open stream costs.
 */
public final class StreamingBenchmark {
    private static final int EXECUTORS = 20;
    /** Ways of one connection each: a connection bears a thousand streams. */
    private static final int CLIENTS = 20;

    private final Path folder;
    private final List<String> frontEndCommand;
    private final PrintStream out;
    private final WebhookKey key = WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()));
    private final List<FrontEndTransport> clients = new ArrayList<>();
    private int requestCount;

    public StreamingBenchmark(Path folder, List<String> frontEndCommand, PrintStream out) {
        this.folder = folder;
        this.frontEndCommand = frontEndCommand;
        this.out = out;
    }

    /** @param open streams held open at once in the last part */
    public void run(int rounds, int open) throws IOException, InterruptedException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode shared = (ObjectNode) json.readTree("""
                {"model_groups": [{"name": "t", "repeat": "retriable", "slo_ms": 2000, "route_timeout_ms": 20000, "streamed": true}],
                 "models": [{"name": "t-*", "group": "t", "lanes": 2000, "load_ms": 20}]}""");
        ObjectNode told = shared.deepCopy().put("executors", EXECUTORS).put("work_ms", 0.1);
        told.putObject("machine").put("cores", 64).put("queue", 4000).put("keeps_idle_ms", 600_000);
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(FrontEndTransport.grpc(key));
        }
        try (StandInFleet fleet = new StandInFleet(told, folder.resolve("stand-ins.jsonl"))) {
            ChildProcesses children = new ChildProcesses(TimeUnit.SECONDS.toMillis(10));
            Process frontEnd = children.start(new ProcessBuilder(writeFrontEndCommand(shared, fleet.rosterPort())).redirectError(
                    folder.resolve("front-end.log").toFile()));
            try {
                String line = frontEnd.inputReader(StandardCharsets.UTF_8).readLine();
                if (line == null) {
                    throw new IOException("the front end did not start: see " + folder.resolve("front-end.log"));
                }
                String through = "127.0.0.1:" + line.replaceAll(".*:", "");
                runAll(fleet.addresses().get(0), through, frontEnd, rounds, open);
            } finally {
                children.close();
                clients.forEach(FrontEndTransport::close);
            }
        }
    }

    private void runAll(String direct, String through, Process frontEnd, int rounds, int open) throws InterruptedException {
        // Loads the model everywhere it will stand, and the classes on all sides.
        measureFirstParts(through, 500, 5000);
        loadModel(direct);
        measureFirstParts(direct, 500, 2000);
        for (int round = 0; round < rounds; round++) {
            printLatencies("first part, direct", measureFirstParts(direct, 500, 3000));
            printLatencies("first part, through", measureFirstParts(through, 500, 3000));
        }
        for (int round = 0; round < rounds; round++) {
            measureFairness(through);
        }
        for (int round = 0; round < rounds; round++) {
            printLatencies("500 streams alone", measureBesideSlowReader(through, false));
            printLatencies("500 beside one at a crawl", measureBesideSlowReader(through, true));
        }
        measureOpenStreams(through, frontEnd, open);
    }

    private void printLatencies(String what, Histogram times) {
        out.println(String.format("%-26s %6d streams  p50 %6.2f ms  p99 %6.2f ms  p99.9 %6.2f ms", what, times.getTotalCount(),
                times.getValueAtPercentile(50) / 1e6, times.getValueAtPercentile(99) / 1e6, times.getValueAtPercentile(99.9) / 1e6));
    }

    /** An executor that is asked directly has nobody who orders for it. */
    private static void loadModel(String executor) throws InterruptedException {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        int colon = executor.indexOf(':');
        CountDownLatch stands = new CountDownLatch(1);
        new Http2ConnectionPool(new InetSocketAddress(executor.substring(0, colon), Integer.parseInt(executor.substring(colon + 1))),
                loops.next(), NioSocketChannel.class, new Http2ConnectionPool.Limits(1, 10, 1000, 1000, 1 << 16, 1 << 16),
                new Http2ConnectionPool.Metrics(new Counts(), "hold"), () -> System.nanoTime() / 1e6)
                .send("POST", "/v2/repository/models/t-0/load", "{\"parameters\":{\"copies\":1}}".getBytes(StandardCharsets.UTF_8),
                        (end, status, head, body) -> stands.countDown());
        stands.await(5, TimeUnit.SECONDS);
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private static InferParameter doubleParameter(double value) {
        return InferParameter.newBuilder().setDoubleParam(value).build();
    }

    private FrontEndTransport.Attempt openStream(String to, int way, int parts, int bytes, double every, Consumer<Object> part, Consumer<AttemptOutcome> then) {
        ModelInferRequest asking = ModelInferRequest.newBuilder().setModelName("t-0").putParameters("parts", doubleParameter(parts))
                .putParameters("part_bytes", doubleParameter(bytes)).putParameters("part_ms", doubleParameter(every)).build();
        return clients.get(way % CLIENTS).stream(to, new Inference("s-" + System.nanoTime() + "-" + requestCount++, "t-0", asking), 600_000,
                part, then);
    }

    /** So many streams a second of five parts each; from when each was due to its first part. */
    private Histogram measureFirstParts(String to, int rate, int millis) throws InterruptedException {
        Recorder times = new Recorder(TimeUnit.SECONDS.toNanos(60), 3);
        int count = (int) ((long) rate * millis / 1000);
        CountDownLatch all = new CountDownLatch(count);
        AtomicInteger bad = new AtomicInteger();
        long start = System.nanoTime();
        for (int i = 0; i < count; i++) {
            long due = start + i * 1_000_000_000L / rate;
            for (long now; (now = System.nanoTime()) < due;) {
                if (due - now > 100_000) {
                    LockSupport.parkNanos(due - now - 50_000);
                }
            }
            boolean[] first = new boolean[1];
            openStream(to, i, 5, 256, 2, part -> {
                if (!first[0]) {
                    first[0] = true;
                    times.recordValue(System.nanoTime() - due);
                }
            }, end -> {
                bad.addAndGet(end.kind() == AttemptOutcome.Kind.RETURNED ? 0 : 1);
                all.countDown();
            });
        }
        all.await(30, TimeUnit.SECONDS);
        if (bad.get() + all.getCount() > 0) {
            out.println(bad.get() + " broke, " + all.getCount() + " did not end");
        }
        return times.getIntervalHistogram();
    }

    /** A hundred streams as fast as they go, over one connection: parts had by each in two seconds in which all flow. */
    private void measureFairness(String to) throws InterruptedException {
        AtomicInteger[] had = new AtomicInteger[100];
        List<FrontEndTransport.Attempt> all = new ArrayList<>();
        for (int i = 0; i < had.length; i++) {
            AtomicInteger own = new AtomicInteger();
            had[i] = own;
            all.add(openStream(to, 0, 1_000_000, 512, 0, part -> own.incrementAndGet(), end -> { }));
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (Arrays.stream(had).anyMatch(n -> n.get() == 0) && System.nanoTime() < until) {
            Thread.sleep(5);
        }
        int[] before = Arrays.stream(had).mapToInt(AtomicInteger::get).toArray();
        Thread.sleep(2000);
        int[] more = new int[had.length];
        for (int i = 0; i < more.length; i++) {
            more[i] = had[i].get() - before[i];
        }
        all.forEach(FrontEndTransport.Attempt::cancel);
        double sum = Arrays.stream(more).sum();
        double squares = Arrays.stream(more).mapToDouble(n -> (double) n * n).sum();
        Arrays.sort(more);
        out.println(String.format("fairness of 100 streams    Jain's index %.3f, parts in two seconds: least %d, median %d, most %d; "
                + "%,.0f parts/s in all", sum * sum / more.length / squares, more[0], more[50], more[99], sum / 2));
    }

    /** First parts of 500 a second, with or without one reader beside them that takes a part a second. */
    private Histogram measureBesideSlowReader(String to, boolean crawl) throws InterruptedException {
        FrontEndTransport.Attempt slow = !crawl ? null : openStream(to, 0, 1_000_000, 1024, 0, part -> LockSupport.parkNanos(1_000_000_000L), end -> { });
        Histogram times = measureFirstParts(to, 500, 4000);
        if (slow != null) {
            slow.cancel();
        }
        return times;
    }

    /** Memory of the front end without and with so many streams open, each with a part every two seconds. */
    private void measureOpenStreams(String to, Process frontEnd, int open) throws InterruptedException {
        long before = residentMb(frontEnd);
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger ended = new AtomicInteger();
        long start = System.nanoTime();
        for (int i = 0; i < open; i++) {
            boolean[] first = new boolean[1];
            openStream(to, i, 1000, 64, 2000, part -> {
                if (!first[0]) {
                    first[0] = true;
                    begun.incrementAndGet();
                }
            }, end -> ended.incrementAndGet());
            if (i % 10 == 9) {
                LockSupport.parkNanos(5_000_000); // 2,000 a second
            }
        }
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (begun.get() + ended.get() < open && System.nanoTime() < until) {
            Thread.sleep(10);
        }
        double took = (System.nanoTime() - start) / 1e9;
        Histogram beside = measureFirstParts(to, 100, 5000);
        long with = residentMb(frontEnd);
        out.println(String.format("open at once               %d of %d streams after %.1f s, %d ended; %d MB resident before, %d with: "
                + "%.1f KB each", begun.get(), open, took, ended.get(), before, with, (with - before) * 1024.0 / Math.max(1, begun.get())));
        printLatencies("first part beside them", beside);
    }

    private static long residentMb(Process process) {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream().filter(l -> l.startsWith("VmRSS"))
                    .mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024).findFirst().orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }

    private List<String> writeFrontEndCommand(ObjectNode shared, int roster) throws IOException {
        Path file = folder.resolve("key");
        Files.deleteIfExists(file);
        Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(file, key.secretText());
        ObjectNode plan = shared.deepCopy().put("name", "measured").put("listen", "127.0.0.1:0");
        plan.putObject("grpc").put("listen", "127.0.0.1:0").put("stalled_ms", 60_000);
        plan.putObject("roster").put("server", "http://127.0.0.1:" + roster);
        plan.putArray("customers").addObject().put("name", "yard").putArray("keys").addObject().put("file", "key");
        plan.putObject("executors").put("streams", 1000).putArray("grpc_kinds").add(0);
        plan.putObject("limits").put("streams", 1000);
        Files.write(folder.resolve("plan.json"), new ObjectMapper().writeValueAsBytes(plan));
        List<String> command = new ArrayList<>(frontEndCommand);
        command.add(folder.resolve("plan.json").toString());
        return command;
    }
}
