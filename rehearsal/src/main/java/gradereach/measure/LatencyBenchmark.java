package gradereach.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.counts.Counts;
import gradereach.http2.ExchangeListener.ExchangeResult;
import gradereach.http2.Http2ConnectionPool;
import gradereach.measures.ServiceMetrics;
import gradereach.rehearsal.ChildProcesses;
import gradereach.rehearsal.Rehearsal;
import gradereach.remotewrite.Pusher;
import gradereach.remotewrite.SendQueue;
import gradereach.standins.prometheus.RemoteWriteServer;
import gradereach.webhook.WebhookKey;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Measures the latency that one front end adds: requests go to an executor directly and through the front end, in turn in
 * one run, with an open-loop load. Latency counts from the time at which a request was due, so that a stall shows in all
 * requests that it delayed (no coordinated omission).
 */
public final class LatencyBenchmark {
    /** Executors behind the front end; each answers at once, so that they do not limit the throughput. */
    private static final int EXECUTORS = 4;
    private static final int MODELS = 16;
    /** Connections of the gRPC load. The HTTP load has three pools, each with up to four connections. */
    private static final int GRPC_CONNECTIONS = 6;
    private static final int PUSHER_COUNT = 60;
    /** Before the time of the next request, the sender busy-waits this long, since a parked thread wakes up late. */
    private static final long BUSY_WAIT_NANOS = 50_000;
    /** Shorter waits are busy-waited as a whole. */
    private static final long MIN_PARK_NANOS = 100_000;

    /**
     * One measurement: rates in requests a second, latencies in microseconds.
     *
     * @param path the way of the requests, or the variant of the front end that they went through
     * @param cpuMicros CPU time of the front end for each inference; negative if it is not measured
     * @param memoryMb resident memory of the front end
     */
    public record LoadMeasurement(String path, int requestedRate, double achievedRate, long errors, long p50, long p99, long p999,
            double cpuMicros, long memoryMb) {
        @Override
        public String toString() {
            return String.format("%-8s %6d/s asked %8.0f/s reached %6d errors  p50 %6.2f ms  p99 %6.2f ms  p99.9 %7.2f ms%s",
                    path, requestedRate, achievedRate, errors, p50 / 1e3, p99 / 1e3, p999 / 1e3,
                    cpuMicros < 0 ? "" : String.format("  %5.1f us CPU an inference  %d MB resident", cpuMicros, memoryMb));
        }
    }

    private final Path folder;
    private final List<String> frontEndCommand;
    private final boolean usesLedger;
    private final PrintStream out;
    private final WebhookKey key = WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()));
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final ChildProcesses children = new ChildProcesses(TimeUnit.SECONDS.toMillis(10));
    /** The started processes, in the order of their start. */
    private final List<Process> processes = new ArrayList<>();
    private Histogram lastLatencies;

    /**
     * Creates a benchmark that has not started yet.
     *
     * @param folder gets configurations and logs
     * @param frontEndCommand starts a front end when a deployment file is appended
     * @param usesLedger whether the inferences are non-retriable, so that every one is recorded in a ledger
     */
    public LatencyBenchmark(Path folder, List<String> frontEndCommand, boolean usesLedger, PrintStream out) {
        this.usesLedger = usesLedger;
        this.folder = folder;
        this.frontEndCommand = frontEndCommand;
        this.out = out;
    }

    /**
     * Runs each rate directly, through the front end by webhook and through it by gRPC, {@code rounds} times.
     *
     * @param rates requests a second
     * @param seconds length of each measurement
     * @param openConnections idle connections that the front end holds open meanwhile
     */
    public List<LoadMeasurement> run(int[] rates, int seconds, int rounds, int openConnections)
            throws IOException, InterruptedException {
        List<LoadMeasurement> measurements = new ArrayList<>();
        List<Socket> idleConnections = new ArrayList<>();
        try {
            List<Integer> ports = new ArrayList<>();
            for (int i = 0; i < EXECUTORS; i++) {
                ports.add(Integer.parseInt(startProcess(Rehearsal.javaCommand("gradereach.serve.EchoExecutor")).split(" ")[1]));
            }
            String frontEndOutput = startProcess(writeFrontEndCommand(ports, null, "plan"));
            Process frontEnd = processes.get(processes.size() - 1);
            InetSocketAddress frontEndAddress = new InetSocketAddress("127.0.0.1",
                    Integer.parseInt(frontEndOutput.split(" ")[1].replaceAll(".*:", "")));
            InetSocketAddress executorAddress = new InetSocketAddress("127.0.0.1", ports.get(0));
            InetSocketAddress grpcAddress = new InetSocketAddress("127.0.0.1",
                    Integer.parseInt(frontEndOutput.split(" ")[3].replaceAll(".*:", "")));
            runLoad("warm-up", frontEndAddress, 1000, 5, null);
            runLoad("grpc", grpcAddress, 1000, 5, null);
            runLoad("direct", executorAddress, 1000, 2, null);
            for (int i = 0; i < openConnections; i++) {
                idleConnections.add(new Socket(frontEndAddress.getAddress(), frontEndAddress.getPort()));
            }
            if (openConnections > 0) {
                out.println(openConnections + " further connections are open");
            }
            for (int round = 0; round < rounds; round++) {
                for (int rate : rates) {
                    measurements.add(print(runLoad("direct", executorAddress, rate, seconds, null)));
                    measurements.add(print(runLoad("through", frontEndAddress, rate, seconds, frontEnd)));
                    measurements.add(print(runLoad("grpc", grpcAddress, rate, seconds, frontEnd)));
                }
            }
        } finally {
            for (Socket socket : idleConnections) {
                socket.close();
            }
            stopProcesses();
        }
        return measurements;
    }

    /**
     * Measures what remote write costs, by the same load on five front ends. Three of them push: to a healthy receiver, to one
     * that drops every second write, and to one that answers after half a minute. Two do not push; their difference is the
     * noise of the measurement.
     */
    public void runRemoteWrite(int rate, int seconds, int rounds) throws IOException, InterruptedException {
        Map<String, RemoteWriteServer> receivers = new LinkedHashMap<>();
        for (String fault : new String[] {"", "drop-half", "hang"}) {
            RemoteWriteServer receiver = new RemoteWriteServer();
            receiver.fault = fault;
            receivers.put(fault, receiver);
        }
        try {
            List<Integer> ports = new ArrayList<>();
            for (int i = 0; i < EXECUTORS; i++) {
                ports.add(Integer.parseInt(startProcess(Rehearsal.javaCommand("gradereach.serve.EchoExecutor")).split(" ")[1]));
            }
            Map<String, InetSocketAddress> addressByVariant = new LinkedHashMap<>();
            Map<String, Process> processByVariant = new HashMap<>();
            for (String variant : new String[] {"off", "off too", "healthy", "dropping", "hanging"}) {
                RemoteWriteServer target = receivers.get(variant.equals("healthy") ? "" : variant.equals("dropping") ? "drop-half"
                        : variant.equals("hanging") ? "hang" : "none");
                String output = startProcess(writeFrontEndCommand(ports, target == null ? null : target.url(), variant.replace(' ', '-')));
                processByVariant.put(variant, processes.get(processes.size() - 1));
                addressByVariant.put(variant, new InetSocketAddress("127.0.0.1",
                        Integer.parseInt(output.split(" ")[1].replaceAll(".*:", ""))));
            }
            for (int i = 0; i < 2; i++) {
                for (InetSocketAddress address : addressByVariant.values()) {
                    runLoad("warm-up", address, rate, 4, null);
                }
            }
            Map<String, Histogram> latenciesByVariant = new LinkedHashMap<>();
            for (int round = 0; round < rounds; round++) {
                for (String variant : addressByVariant.keySet()) {
                    LoadMeasurement measurement = runLoad(variant, addressByVariant.get(variant), rate, seconds,
                            processByVariant.get(variant));
                    print(measurement);
                    latenciesByVariant.computeIfAbsent(variant, name -> new Histogram(TimeUnit.SECONDS.toNanos(60), 3))
                            .add(lastLatencies);
                }
            }
            out.println();
            latenciesByVariant.forEach((variant, latencies) -> out.println(String.format(
                    "%-8s all rounds: p50 %6.2f ms  p90 %6.2f ms  p99 %6.2f ms  p99.9 %6.2f ms" + "  most %7.2f ms  of %d",
                    variant, latencies.getValueAtPercentile(50) / 1e6, latencies.getValueAtPercentile(90) / 1e6,
                    latencies.getValueAtPercentile(99) / 1e6, latencies.getValueAtPercentile(99.9) / 1e6, latencies.getMaxValue() / 1e6,
                    latencies.getTotalCount())));
            receivers.forEach((fault, receiver) -> out.println(String.format("receiver %-10s %4d requests, %6d samples accepted, "
                    + "%5.1f bytes a sample, %d series", fault.isEmpty() ? "healthy" : fault, receiver.requestCount(),
                    receiver.acceptedSamples(),
                    receiver.acceptedBytes() / (double) Math.max(1, receiver.acceptedSamples()), receiver.store.seriesCount())));
        } finally {
            stopProcesses();
            receivers.values().forEach(RemoteWriteServer::close);
        }
    }

    /** Starts the pushers of sixty front ends at once in this process and counts the writes to one receiver by second. */
    public void runSimultaneousPushers() throws IOException, InterruptedException {
        int intervalMillis = 15_000;
        List<Pusher> pushers = new ArrayList<>();
        try (RemoteWriteServer receiver = new RemoteWriteServer()) {
            for (int i = 0; i < PUSHER_COUNT; i++) {
                ServiceMetrics service = new ServiceMetrics(List.of("a", "b", "c"), 50, System::currentTimeMillis);
                for (int n = 0; n < 100; n++) {
                    service.recordInference(n % 3, "c-" + n % 7, n % 7, "m-" + n, n * 0x9e3779b97f4a7c15L,
                            ServiceMetrics.EndReason.RETURNED, 1, 1, true, 20, 1, 1);
                }
                pushers.add(new Pusher(new Pusher.Receiver(URI.create(receiver.url()), false,
                        List.of("instance", "fe-" + i, "job", "gradereach"),
                        "fe-" + i, intervalMillis, 10_000, 4, new SendQueue.Limits(200_000, 32 << 20, 2000, 512 << 10, 1000, 600_000, 500,
                        30_000), 1000), List.of(service), System::currentTimeMillis, new Random(i)));
            }
            long startMillis = System.nanoTime() / 1_000_000;
            pushers.forEach(Pusher::start);
            Thread.sleep(3 * intervalMillis + 1000);
            int[] writesBySecond = new int[3 * intervalMillis / 1000];
            for (long arrivedAt : receiver.arrivalTimes()) {
                int second = (int) ((arrivedAt - startMillis) / 1000);
                if (second < writesBySecond.length) {
                    writesBySecond[second]++;
                }
            }
            double meanRate = PUSHER_COUNT * 1000.0 / intervalMillis;
            out.println(String.format(
                    "sixty that start at once: %.0f writes a second in the mean, most in one second of the first interval %d,"
                    + " of the next two %d; %d series, %.1f bytes a sample", meanRate,
                    Arrays.stream(writesBySecond, 0, intervalMillis / 1000).max().orElse(0),
                    Arrays.stream(writesBySecond, intervalMillis / 1000, writesBySecond.length).max().orElse(0),
                    receiver.store.seriesCount(),
                    receiver.acceptedBytes() / (double) receiver.acceptedSamples()));
        } finally {
            pushers.parallelStream().forEach(Pusher::close);
        }
    }

    private void stopProcesses() throws InterruptedException {
        children.close();
        loops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    private LoadMeasurement print(LoadMeasurement measurement) {
        out.println(measurement);
        return measurement;
    }

    /**
     * Writes the configuration of a front end and returns the command that starts it.
     *
     * @param receiverUrl null for no remote write; the front end pushes every 200 ms, so that a run of seconds has many pushes
     */
    private List<String> writeFrontEndCommand(List<Integer> ports, String receiverUrl, String name) throws IOException {
        ObjectMapper json = new ObjectMapper();
        ObjectNode endpointSlices = json.createObjectNode();
        ArrayNode items = endpointSlices.putArray("items");
        for (int port : ports) {
            ObjectNode slice = items.addObject();
            slice.putObject("metadata").put("name", "ex-" + port);
            slice.putArray("ports").addObject().put("port", port);
            slice.putArray("endpoints").addObject().putArray("addresses").add("127.0.0.1");
        }
        Files.write(folder.resolve("roster.json"), json.writeValueAsBytes(endpointSlices));
        Path keyFile = folder.resolve("key");
        Files.deleteIfExists(keyFile);
        Files.createFile(keyFile, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
        Files.writeString(keyFile, key.secretText());
        ObjectNode deployment = json.createObjectNode().put("name", "measured").put("listen", "127.0.0.1:0");
        deployment.putObject("grpc").put("listen", "127.0.0.1:0");
        deployment.putObject("roster").put("file", "roster.json");
        deployment.putArray("customers").addObject().put("name", "yard").putArray("keys").addObject().put("file", "key");
        deployment.putArray("model_groups").addObject().put("name", "g")
                .put("repeat", usesLedger ? "non-retriable" : "retriable").put("slo_ms", 500).put("route_timeout_ms", 5000);
        deployment.putArray("models").addObject().put("name", "m-*").put("group", "g").put("lanes", 64);
        if (usesLedger) {
            deployment.putObject("ledger").put("folder", "ledger");
        }
        deployment.putObject("limits").put("remembered", 2_000_000).put("remembered_bytes", 256L << 20)
                .put("idle_ms", 600_000).put("connections", 20_000);
        if (receiverUrl != null) {
            deployment.putObject("metrics").putObject("remote_write").put("url", receiverUrl).put("interval_ms", 200);
        }
        Files.write(folder.resolve(name + ".json"), json.writeValueAsBytes(deployment));
        List<String> command = new ArrayList<>(frontEndCommand);
        command.add(folder.resolve(name + ".json").toString());
        return command;
    }

    private String startProcess(List<String> command) throws IOException {
        Process process = children.start(new ProcessBuilder(command).redirectError(
                ProcessBuilder.Redirect.appendTo(folder.resolve("processes.log").toFile())));
        processes.add(process);
        String line = process.inputReader(StandardCharsets.UTF_8).readLine();
        if (line == null) {
            throw new IOException("a process did not start: see " + folder.resolve("processes.log"));
        }
        return line;
    }

    /**
     * Sends {@code rate} requests a second and waits until they have ended.
     *
     * @param path {@code direct} for requests to an executor, {@code grpc} for calls to a front end; otherwise webhooks to one
     * @param measured the process whose CPU time and memory are measured; null for none
     */
    private LoadMeasurement runLoad(String path, InetSocketAddress address, int rate, int seconds, Process measured)
            throws InterruptedException {
        Http2ConnectionPool[] pools = new Http2ConnectionPool[3];
        for (int i = 0; i < pools.length; i++) {
            pools[i] = new Http2ConnectionPool(address, loops.next(), NioSocketChannel.class,
                    new Http2ConnectionPool.Limits(4, 1000, 1000, 60_000, 1 << 20, 1 << 20),
                    new Http2ConnectionPool.Metrics(new Counts(), "load"),
                    () -> System.nanoTime() / 1e6);
        }
        boolean direct = path.equals("direct");
        GrpcLoadGenerator grpcLoad = path.equals("grpc") ? new GrpcLoadGenerator(address, key, GRPC_CONNECTIONS) : null;
        Recorder recorder = new Recorder(TimeUnit.SECONDS.toNanos(60), 3);
        AtomicLong errors = new AtomicLong();
        AtomicLong openRequests = new AtomicLong();
        AtomicLong completed = new AtomicLong();
        long cpuBefore = cpuNanos(measured);
        long count = (long) rate * seconds;
        long start = System.nanoTime();
        double intervalNanos = 1e9 / rate;
        String runId = Long.toHexString(start);
        for (long i = 0; i < count; i++) {
            long dueNanos = start + (long) (i * intervalNanos);
            for (long now; (now = System.nanoTime()) < dueNanos;) {
                if (dueNanos - now > MIN_PARK_NANOS) {
                    LockSupport.parkNanos(dueNanos - now - BUSY_WAIT_NANOS);
                } else {
                    Thread.onSpinWait();
                }
            }
            openRequests.incrementAndGet();
            String model = "m-" + i % MODELS;
            Http2ConnectionPool pool = pools[(int) (i % pools.length)];
            gradereach.http2.ExchangeListener listener = (result, status, head, content) -> {
                recorder.recordValue(Math.max(1, System.nanoTime() - dueNanos));
                if (result != ExchangeResult.ANSWERED || status != 200) {
                    errors.incrementAndGet();
                }
                completed.incrementAndGet();
                openRequests.decrementAndGet();
            };
            if (grpcLoad != null) {
                grpcLoad.send("r" + runId + "-" + i, model,
                        returned -> listener.onEnd(returned ? ExchangeResult.ANSWERED : ExchangeResult.LOST, 200, null, null));
            } else if (direct) {
                pool.send("POST", "/v2/models/" + model + "/infer", INPUT, listener, "content-type", "application/json");
            } else {
                String id = "r" + runId + "-" + i;
                byte[] body = ("{\"type\":\"inference.requested\",\"timestamp\":\"t\",\"data\":{\"model\":\"" + model
                        + "\",\"input\":" + INPUT_TEXT + "}}").getBytes(StandardCharsets.UTF_8);
                long timestamp = System.currentTimeMillis() / 1000;
                pool.send("POST", "/v1/inferences", body, listener, "content-type", "application/json", "webhook-id", id,
                        "webhook-timestamp", Long.toString(timestamp), "webhook-signature", "v1," + key.sign(id, timestamp, body));
            }
        }
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (openRequests.get() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(1);
        }
        double elapsedSeconds = (System.nanoTime() - start) / 1e9;
        errors.addAndGet(openRequests.get());
        if (grpcLoad != null) {
            grpcLoad.close();
        }
        Histogram latencies = recorder.getIntervalHistogram();
        lastLatencies = latencies;
        for (Http2ConnectionPool pool : pools) {
            pool.close();
        }
        return new LoadMeasurement(path, rate, completed.get() / elapsedSeconds, errors.get(), latencies.getValueAtPercentile(50) / 1000,
                latencies.getValueAtPercentile(99) / 1000, latencies.getValueAtPercentile(99.9) / 1000,
                measured == null ? -1 : (cpuNanos(measured) - cpuBefore) / 1e3 / count, residentMb(measured));
    }

    /** A tensor of 64 numbers, a typical input of a small model. */
    private static final String INPUT_TEXT = "{\"inputs\":[{\"name\":\"x\",\"shape\":[64],\"datatype\":\"FP32\",\"data\":["
            + "0.125,".repeat(63) + "0.125]}]}";
    private static final byte[] INPUT = INPUT_TEXT.getBytes(StandardCharsets.UTF_8);

    private static long cpuNanos(Process process) {
        return process == null ? 0 : process.toHandle().info().totalCpuDuration().map(d -> d.toNanos()).orElse(0L);
    }

    private static long residentMb(Process process) {
        try {
            return process == null ? 0 : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(l -> l.startsWith("VmRSS")).mapToLong(l -> Long.parseLong(l.replaceAll("\\D", "")) / 1024)
                    .findFirst().orElse(0);
        } catch (IOException e) {
            return 0;
        }
    }
}
