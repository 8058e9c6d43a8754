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
 * Takes Prometheus remote write 1.0 and 2.0 by their specifications into a {@link SampleStore}, or fails in a way that is set:
 * {@code drop-half} (every second request is answered 500 and kept nowhere), {@code hang} (answers after {@link #delay}),
 * {@code 429} (with Retry-After), {@code 400-one} (refuses the series of one name and takes the rest), {@code only-one} (415 for
 * 2.0), {@code reset} (ends the connection without an answer), {@code 500}.
 */
public final class RemoteWriteServer implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread made = new Thread(work, "receiver");
        made.setDaemon(true);
        return made;
    });
    public final SampleStore store = new SampleStore();
    public volatile String fault = "";
    public volatile long delayMillis = 30_000;
    public volatile String rejectedName = "";
    public volatile int retryAfterSeconds = 1;
    private final AtomicInteger requestCount = new AtomicInteger();
    private final List<long[]> arrivalTimes = new ArrayList<>();
    private long acceptedBytes;
    private long acceptedSamples;
    private long version1Requests;
    private long version2Requests;

    public RemoteWriteServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1024);
        server.setExecutor(threads);
        server.createContext("/api/v1/write", this::handleWrite);
        server.start();
    }

    public String url() {
        return "http://127.0.0.1:" + server.getAddress().getPort() + "/api/v1/write";
    }

    private void handleWrite(HttpExchange ask) throws IOException {
        int number = requestCount.incrementAndGet();
        byte[] body = ask.getRequestBody().readAllBytes();
        synchronized (this) {
            arrivalTimes.add(new long[] {System.nanoTime() / 1_000_000, body.length});
        }
        String now = fault;
        boolean two = ask.getRequestHeaders().getFirst("Content-Type").contains("io.prometheus.write.v2.Request");
        if (now.equals("hang")) {
            try {
                Thread.sleep(delayMillis);
            } catch (InterruptedException e) {
                ask.close();
                return;
            }
        }
        if (now.equals("reset")) {
            ask.close();
            return;
        }
        if (now.equals("429")) {
            ask.getResponseHeaders().set("Retry-After", Integer.toString(retryAfterSeconds));
        }
        int status = switch (now) {
            case "drop-half" -> number % 2 == 0 ? 500 : 204;
            case "429" -> 429;
            case "500" -> 500;
            case "only-one" -> two ? 415 : 204;
            default -> 204;
        };
        if (!"snappy".equals(ask.getRequestHeaders().getFirst("Content-Encoding"))) {
            status = 415;
        }
        if (status == 204) {
            int refused = two ? storeVersion2(ask, body) : storeVersion1(body);
            status = refused > 0 ? 400 : 204;
            synchronized (this) {
                acceptedBytes += body.length;
                version1Requests += two ? 0 : 1;
                version2Requests += two ? 1 : 0;
            }
        }
        ask.sendResponseHeaders(status, -1);
        ask.close();
    }

    private int storeVersion1(byte[] body) throws IOException {
        int refused = 0;
        for (TimeSeries series : WriteRequest.parseFrom(Snappy.uncompress(body)).getTimeseriesList()) {
            Map<String, String> labels = new TreeMap<>();
            series.getLabelsList().forEach(label -> labels.put(label.getName(), label.getValue()));
            for (var sample : series.getSamplesList()) {
                refused += addSample(labels, sample.getTimestamp(), sample.getValue()) ? 0 : 1;
            }
        }
        return refused;
    }

    private int storeVersion2(HttpExchange ask, byte[] body) throws IOException {
        Request request = Request.parseFrom(Snappy.uncompress(body));
        int samples = 0;
        int histograms = 0;
        int refused = 0;
        for (var series : request.getTimeseriesList()) {
            Map<String, String> labels = new TreeMap<>();
            for (int i = 0; i < series.getLabelsRefsCount(); i += 2) {
                labels.put(request.getSymbols(series.getLabelsRefs(i)), request.getSymbols(series.getLabelsRefs(i + 1)));
            }
            for (var sample : series.getSamplesList()) {
                boolean kept = addSample(labels, sample.getTimestamp(), sample.getValue());
                samples += kept ? 1 : 0;
                refused += kept ? 0 : 1;
            }
            for (Histogram histogram : series.getHistogramsList()) {
                // Kept as its count, which is enough to see that it came whole.
                long sum = histogram.getZeroCountInt();
                long last = 0;
                for (long delta : histogram.getPositiveDeltasList()) {
                    last += delta;
                    sum += last;
                }
                boolean kept = sum == histogram.getCountInt() && addSample(labels, histogram.getTimestamp(), histogram.getCountInt());
                histograms += kept ? 1 : 0;
                refused += kept ? 0 : 1;
            }
        }
        ask.getResponseHeaders().set("X-Prometheus-Remote-Write-Samples-Written", Integer.toString(samples));
        ask.getResponseHeaders().set("X-Prometheus-Remote-Write-Histograms-Written", Integer.toString(histograms));
        ask.getResponseHeaders().set("X-Prometheus-Remote-Write-Exemplars-Written", "0");
        return refused;
    }

    private boolean addSample(Map<String, String> labels, long at, double value) {
        if (fault.equals("400-one") && rejectedName.equals(labels.get("__name__")) || !store.add(labels, at, value)) {
            return false;
        }
        synchronized (this) {
            acceptedSamples++;
        }
        return true;
    }

    public int requestCount() {
        return requestCount.get();
    }

    public synchronized long acceptedSamples() {
        return acceptedSamples;
    }

    public synchronized long acceptedBytes() {
        return acceptedBytes;
    }

    /** Requests taken in version 1.0, and in 2.0. */
    public synchronized long[] requestsByVersion() {
        return new long[] {version1Requests, version2Requests};
    }

    /** When each request came, in milliseconds of the machine's own clock. */
    public synchronized long[] arrivalTimes() {
        return arrivalTimes.stream().mapToLong(a -> a[0]).toArray();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
