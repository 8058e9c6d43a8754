package gradereach.standins.prometheus;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import gradereach.protocol.remotewrite1.TimeSeries;
import gradereach.protocol.remotewrite1.WriteRequest;
import gradereach.protocol.remotewrite2.Histogram;
import gradereach.protocol.remotewrite2.Request;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.xerial.snappy.Snappy;

/**
 * A stand-in Prometheus that receives remote write 1.0 and 2.0 as specified and stores the samples in a {@link SampleStore}.
 * {@link #fault} injects a failure: {@code drop-half} (every second request is answered 500 and its samples are dropped),
 * {@code hang} (answers after {@link #delayMillis}), {@code 429} (with Retry-After), {@code 400-one} (rejects the series with
 * {@link #rejectedName} and stores the others), {@code only-one} (415 for version 2.0), {@code reset} (closes the connection
 * without an answer), {@code 500}.
 */
public final class RemoteWriteServer implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(work, "receiver");
        thread.setDaemon(true);
        return thread;
    });
    /** The accepted samples. */
    public final SampleStore store = new SampleStore();
    /** The injected fault, or another text for none. */
    public volatile String fault = "";
    /** Delay of the answers with the fault {@code hang}. */
    public volatile long delayMillis = 30_000;
    /** Metric name that is rejected with the fault {@code 400-one}. */
    public volatile String rejectedName = "";
    /** Retry-After of the answers with the fault {@code 429}. */
    public volatile int retryAfterSeconds = 1;
    private final AtomicInteger requestCount = new AtomicInteger();
    /** Arrival time in milliseconds and body length in bytes of each request. */
    private final List<long[]> arrivals = new ArrayList<>();
    private long acceptedBytes;
    private long acceptedSamples;
    private long version1Requests;
    private long version2Requests;

    /** Listens on a free loopback port. */
    public RemoteWriteServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        server.setExecutor(threads);
        server.createContext("/api/v1/write", this::handleWrite);
        server.start();
    }

    /** URL of the remote write endpoint. */
    public String url() {
        return "http://127.0.0.1:" + server.getAddress().getPort() + "/api/v1/write";
    }

    private void handleWrite(HttpExchange exchange) throws IOException {
        int requestNumber = requestCount.incrementAndGet();
        byte[] body = exchange.getRequestBody().readAllBytes();
        synchronized (this) {
            arrivals.add(new long[] {System.nanoTime() / 1_000_000, body.length});
        }
        String currentFault = fault;
        boolean isVersion2 = exchange.getRequestHeaders().getFirst("Content-Type").contains("io.prometheus.write.v2.Request");
        if (currentFault.equals("hang")) {
            try {
                Thread.sleep(delayMillis);
            } catch (InterruptedException e) {
                exchange.close();
                return;
            }
        }
        if (currentFault.equals("reset")) {
            exchange.close();
            return;
        }
        if (currentFault.equals("429")) {
            exchange.getResponseHeaders().set("Retry-After", Integer.toString(retryAfterSeconds));
        }
        int status = switch (currentFault) {
            case "drop-half" -> requestNumber % 2 == 0 ? 500 : 204;
            case "429" -> 429;
            case "500" -> 500;
            case "only-one" -> isVersion2 ? 415 : 204;
            default -> 204;
        };
        if (!"snappy".equals(exchange.getRequestHeaders().getFirst("Content-Encoding"))) {
            status = 415;
        }
        if (status == 204) {
            int rejected = isVersion2 ? storeVersion2(exchange, body) : storeVersion1(body);
            status = rejected > 0 ? 400 : 204;
            synchronized (this) {
                acceptedBytes += body.length;
                version1Requests += isVersion2 ? 0 : 1;
                version2Requests += isVersion2 ? 1 : 0;
            }
        }
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    /** Stores the samples of a request of version 1.0 and returns the number of rejected ones. */
    private int storeVersion1(byte[] body) throws IOException {
        int rejected = 0;
        for (TimeSeries series : WriteRequest.parseFrom(Snappy.uncompress(body)).getTimeseriesList()) {
            Map<String, String> labels = new TreeMap<>();
            series.getLabelsList().forEach(label -> labels.put(label.getName(), label.getValue()));
            for (var sample : series.getSamplesList()) {
                rejected += addSample(labels, sample.getTimestamp(), sample.getValue()) ? 0 : 1;
            }
        }
        return rejected;
    }

    /** Stores the samples of a request of version 2.0 and returns the number of rejected ones. */
    private int storeVersion2(HttpExchange exchange, byte[] body) throws IOException {
        Request request = Request.parseFrom(Snappy.uncompress(body));
        int writtenSamples = 0;
        int writtenHistograms = 0;
        int rejected = 0;
        for (var series : request.getTimeseriesList()) {
            Map<String, String> labels = new TreeMap<>();
            for (int i = 0; i < series.getLabelsRefsCount(); i += 2) {
                labels.put(request.getSymbols(series.getLabelsRefs(i)), request.getSymbols(series.getLabelsRefs(i + 1)));
            }
            for (var sample : series.getSamplesList()) {
                boolean accepted = addSample(labels, sample.getTimestamp(), sample.getValue());
                writtenSamples += accepted ? 1 : 0;
                rejected += accepted ? 0 : 1;
            }
            for (Histogram histogram : series.getHistogramsList()) {
                // Stored as its count only, which is enough to show that the histogram arrived complete.
                long totalCount = histogram.getZeroCountInt();
                long bucketCount = 0;
                for (long delta : histogram.getPositiveDeltasList()) {
                    bucketCount += delta;
                    totalCount += bucketCount;
                }
                boolean accepted = totalCount == histogram.getCountInt()
                        && addSample(labels, histogram.getTimestamp(), histogram.getCountInt());
                writtenHistograms += accepted ? 1 : 0;
                rejected += accepted ? 0 : 1;
            }
        }
        exchange.getResponseHeaders().set("X-Prometheus-Remote-Write-Samples-Written", Integer.toString(writtenSamples));
        exchange.getResponseHeaders().set("X-Prometheus-Remote-Write-Histograms-Written", Integer.toString(writtenHistograms));
        exchange.getResponseHeaders().set("X-Prometheus-Remote-Write-Exemplars-Written", "0");
        return rejected;
    }

    /** Stores a sample; returns false if it is rejected. */
    private boolean addSample(Map<String, String> labels, long timestamp, double value) {
        if (fault.equals("400-one") && rejectedName.equals(labels.get("__name__")) || !store.add(labels, timestamp, value)) {
            return false;
        }
        synchronized (this) {
            acceptedSamples++;
        }
        return true;
    }

    /** Number of requests received, including failed ones. */
    public int requestCount() {
        return requestCount.get();
    }

    /** Number of accepted samples. */
    public synchronized long acceptedSamples() {
        return acceptedSamples;
    }

    /** Compressed size in bytes of the requests whose samples were read, also if some samples were rejected. */
    public synchronized long acceptedBytes() {
        return acceptedBytes;
    }

    /** Numbers of the requests of version 1.0 and of version 2.0 whose samples were read, also if some were rejected. */
    public synchronized long[] requestsByVersion() {
        return new long[] {version1Requests, version2Requests};
    }

    /** Arrival time of each request, in milliseconds of {@link System#nanoTime}. */
    public synchronized long[] arrivalTimes() {
        return arrivals.stream().mapToLong(arrival -> arrival[0]).toArray();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
