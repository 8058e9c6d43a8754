package gradereach.remotewrite;

import gradereach.measures.MetricFamily;
import gradereach.measures.MetricFamily.Point;
import gradereach.measures.MetricFamily.Type;
import gradereach.remotewrite.SendQueue.DropReason;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects the process's metrics and pushes them by Prometheus remote write. It has its own thread, which owns the queues, and its
 * own connections and I/O thread; no other part of the program waits for it or shares a lock with it.
 */
public final class Pusher implements MetricFamily.Source, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Pusher.class);
    private static final String CONTENT_TYPE_V1 = "application/x-protobuf";
    private static final String CONTENT_TYPE_V2 = CONTENT_TYPE_V1 + ";proto=io.prometheus.write.v2.Request";
    private static final long MAX_CONNECT_TIMEOUT_MILLIS = 5000;
    private static final String WRITTEN_HEADER_PREFIX = "X-Prometheus-Remote-Write-";

    /**
     * The remote write receiver and how to push to it.
     *
     * @param commonLabels labels of every series of this front end, alternating names and values
     * @param instance name of this front end, which also determines its push times
     * @param timeoutMillis of one request
     * @param limits of all shards together
     * @param stopTimeoutMillis time that {@link #close} may take to send the pending samples and the stale markers
     */
    public record Receiver(URI uri, boolean onlyVersion1, List<String> commonLabels, String instance, long intervalMillis,
            long timeoutMillis, int maxShards, SendQueue.Limits limits, long stopTimeoutMillis) { }

    private final Receiver receiver;
    private final List<MetricFamily.Source> sources;
    private final LongSupplier unixMillis;
    private final PushSchedule schedule;
    private final Shards shards;
    private final ShardCalculator shardCalculator;
    private final ProtocolVersionSelector versionSelector;
    private final LinkedBlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final ExecutorService httpExecutor = Executors.newSingleThreadExecutor(work -> daemonThread(work, "push-io"));
    private final HttpClient client;
    private final Thread thread = daemonThread(this::run, "push");
    private final long startedMillis;
    /** Samples of the last collection by their labels, to detect series that have ended. */
    private Map<List<String>, SeriesSample> lastSamples = new LinkedHashMap<>();

    // Written by the push thread only; fields that other threads read are volatile.
    /** Timestamp of the last collection, in Unix milliseconds. */
    private long collectedAtMillis;
    private boolean stopping;
    private double stopDeadline;
    /** Time during which batches were in flight since the last collection, summed over all shards. */
    private double sendingMillis;
    /** Whether the last request failed in a way that may pass, so that its batch is sent again. */
    private boolean failing;
    /** Totals at the last collection. */
    private long lastAdded;
    private long lastSent;
    private volatile PushStatistics statistics = new PushStatistics(0, 0, new long[DropReason.values().length], 0, 0, 1, 0, 0);
    private long requests;
    private long failures;
    private volatile long lastSuccessAt;

    /** Totals of samples and requests since the start, and what is pending now. */
    public record PushStatistics(long added, long accepted, long[] dropped, long pending, long bytes, int shards, long requests,
            long failures) {
        public long dropped(DropReason reason) {
            return dropped[reason.ordinal()];
        }
    }

    public Pusher(Receiver receiver, List<MetricFamily.Source> sources, LongSupplier unixMillis, Random random) {
        this.receiver = receiver;
        this.sources = new ArrayList<>(sources);
        this.sources.add(this);
        this.unixMillis = unixMillis;
        schedule = new PushSchedule(receiver.instance, receiver.intervalMillis);
        shards = new Shards(receiver.limits, random);
        shardCalculator = new ShardCalculator(receiver.maxShards);
        versionSelector = new ProtocolVersionSelector(receiver.onlyVersion1);
        startedMillis = unixMillis.getAsLong();
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(httpExecutor)
                .connectTimeout(Duration.ofMillis(Math.min(MAX_CONNECT_TIMEOUT_MILLIS, receiver.timeoutMillis))).build();
    }

    private static Thread daemonThread(Runnable work, String name) {
        Thread daemon = new Thread(work, name);
        daemon.setDaemon(true);
        return daemon;
    }

    /** Starts collecting and pushing. */
    public void start() {
        thread.start();
    }

    /** Monotonic time in milliseconds. */
    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void run() {
        // Push times are wall-clock times, but the wait uses the steady clock: setting the clock does not disturb it.
        double collectAt = now() + schedule.nextPushAt(unixMillis.getAsLong()) - unixMillis.getAsLong();
        try {
            while (!stopping || shards.pending() > 0 && now() < stopDeadline) {
                double wait = Math.min(collectAt, shards.dueAt()) - now();
                Runnable event = events.poll((long) (Math.max(0, Math.min(wait, 1000)) * 1000), TimeUnit.MICROSECONDS);
                for (; event != null; event = events.poll()) {
                    event.run();
                }
                if (!stopping && now() >= collectAt) {
                    collect();
                    collectAt = now() + Math.max(1, schedule.nextPushAt(unixMillis.getAsLong()) - unixMillis.getAsLong());
                }
                sendDueBatches();
                updateStatistics();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        shards.stop();
        updateStatistics();
    }

    private void collect() {
        List<SeriesSample> samples = collectSamples();
        Map<List<String>, SeriesSample> present = new LinkedHashMap<>();
        samples.forEach(sample -> present.put(sample.labels(), sample));
        long timestamp = collectedAtMillis;
        // A series without a sample in this collection has ended, for example that of a model that lost its slot.
        lastSamples.forEach((labels, lastSample) -> {
            if (!present.containsKey(labels)) {
                shards.add(lastSample.toStaleMarker(timestamp), now());
            }
        });
        lastSamples = present;
        samples.forEach(sample -> shards.add(sample, now()));
        long added = shards.added();
        long sent = shards.accepted() + shards.dropped(DropReason.REFUSED);
        shards.resize(shardCalculator.update(receiver.intervalMillis, added - lastAdded, sent - lastSent, sendingMillis,
                shards.pending(), failing));
        lastAdded = added;
        lastSent = sent;
        sendingMillis = 0;
    }

    private List<SeriesSample> collectSamples() {
        List<MetricFamily> families = new ArrayList<>();
        for (MetricFamily.Source source : sources) {
            source.collect(families);
        }
        long timestamp = schedule.nextTimestamp(unixMillis.getAsLong());
        collectedAtMillis = timestamp;
        List<SeriesSample> samples = new ArrayList<>();
        families.forEach(family -> SeriesSample.addSamples(family, receiver.commonLabels, timestamp, samples));
        return samples;
    }

    private void sendDueBatches() {
        for (int shard = 0; shard < shards.size(); shard++) {
            SendQueue.Batch batch = shards.nextBatch(shard, now());
            if (batch != null) {
                post(shard, batch, versionSelector.shouldUseVersion2(now()));
            }
        }
    }

    private void post(int shard, SendQueue.Batch batch, boolean version2) {
        requests++;
        double startedAt = now();
        byte[] body;
        try {
            body = version2 ? RemoteWriteEncoder.encodeV2(batch.samples()) : RemoteWriteEncoder.encodeV1(batch.samples());
        } catch (IOException e) {
            LOG.warn("remote write batch could not be encoded: {}", e.getMessage());
            shards.onSendResult(shard, new SendQueue.Rejected(0), now());
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(receiver.uri).timeout(Duration.ofMillis(receiver.timeoutMillis))
                .header("Content-Encoding", "snappy").header("Content-Type", version2 ? CONTENT_TYPE_V2 : CONTENT_TYPE_V1)
                .header("X-Prometheus-Remote-Write-Version", version2 ? "2.0.0" : "0.1.0")
                .header("User-Agent", "gradereach/" + receiver.instance)
                .header("Retry-Attempt", Integer.toString(batch.failedAttempts))
                .POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((response, failure) ->
                events.add(() -> onResponse(shard, batch, version2, response, now() - startedAt)));
    }

    /** Handles the end of a request; {@code response} is null if there was none. */
    private void onResponse(int shard, SendQueue.Batch batch, boolean version2, HttpResponse<Void> response, double elapsedMillis) {
        sendingMillis += elapsedMillis;
        int status = response == null ? 0 : response.statusCode();
        if (status == 415 && versionSelector.onUnsupportedMediaType(version2, now())) {
            LOG.info("the receiver does not support remote write 2.0; falling back to 1.0");
            post(shard, batch, false);
            return;
        }
        failing = status / 100 != 2 && (status == 0 || status == 429 || status / 100 == 5);
        failures += status / 100 == 2 ? 0 : 1;
        if (status / 100 == 2) {
            lastSuccessAt = unixMillis.getAsLong();
            shards.onSendResult(shard, new SendQueue.Accepted(version2 ? writtenCount(response, -1) : -1), now());
        } else if (failing) {
            shards.onSendResult(shard, new SendQueue.Retry(response == null ? 0 : retryAfterMillis(response)), now());
        } else {
            int written = version2 ? writtenCount(response, 0) : 0;
            LOG.warn("the receiver rejected a batch of {} samples with status {}, {} written", batch.samples().size(), status,
                    written);
            shards.onSendResult(shard, new SendQueue.Rejected(written), now());
        }
    }

    /** Samples and histograms that the receiver reports as written, {@code defaultCount} if it reports none. */
    private static int writtenCount(HttpResponse<Void> response, int defaultCount) {
        int sum = 0;
        boolean reported = false;
        for (String header : List.of("Samples-Written", "Histograms-Written")) {
            String value = response.headers().firstValue(WRITTEN_HEADER_PREFIX + header).orElse("");
            if (value.matches("\\d{1,9}")) {
                reported = true;
                sum += Integer.parseInt(value);
            }
        }
        return reported ? sum : defaultCount;
    }

    /** The delay of the Retry-After header, 0 without one. A date is ignored: receivers of metrics do not send one. */
    private static double retryAfterMillis(HttpResponse<Void> response) {
        String text = response.headers().firstValue("Retry-After").orElse("");
        return text.matches("\\d{1,6}") ? Integer.parseInt(text) * 1000.0 : 0;
    }

    private void updateStatistics() {
        long[] dropped = new long[DropReason.values().length];
        for (DropReason reason : DropReason.values()) {
            dropped[reason.ordinal()] = shards.dropped(reason);
        }
        statistics = new PushStatistics(shards.added(), shards.accepted(), dropped, shards.pending(), shards.bytes(), shards.size(),
                requests, failures);
    }

    /** The latest statistics; for any thread. */
    public PushStatistics statistics() {
        return statistics;
    }

    /** Adds the metrics of the pusher itself. */
    @Override
    public void collect(List<MetricFamily> into) {
        PushStatistics current = statistics;
        into.add(counter("gradereach_push_samples_added", "Samples given to the pusher", current.added));
        into.add(counter("gradereach_push_samples_accepted", "Samples that the receiver took", current.accepted));
        List<Point> dropped = new ArrayList<>();
        for (DropReason reason : DropReason.values()) {
            dropped.add(new Point(List.of("reason", reason.name().toLowerCase()), current.dropped(reason), null, startedMillis));
        }
        into.add(new MetricFamily("gradereach_push_samples_dropped", Type.COUNTER, "", "Samples let go, by reason", dropped));
        into.add(counter("gradereach_push_requests", "Requests to the receiver", current.requests));
        into.add(counter("gradereach_push_failures", "Requests that were not answered with 2xx", current.failures));
        into.add(gauge("gradereach_push_samples_held", "Samples that wait for the receiver", current.pending));
        into.add(gauge("gradereach_push_shards", "Requests that may be out at once", current.shards));
        into.add(gauge("gradereach_push_reached_seconds", "When the receiver last took something, Unix time", lastSuccessAt / 1000.0));
    }

    private MetricFamily counter(String name, String help, double value) {
        return new MetricFamily(name, Type.COUNTER, "", help, List.of(new Point(List.of(), value, null, startedMillis)));
    }

    private static MetricFamily gauge(String name, String help, double value) {
        return new MetricFamily(name, Type.GAUGE, "", help, List.of(new Point(List.of(), value, null, 0)));
    }

    /** Collects once more, ends every series with a stale marker and sends both; drops what is left after the stop timeout. */
    @Override
    public void close() {
        events.add(() -> {
            if (!stopping) {
                List<SeriesSample> finalSamples = collectSamples();
                finalSamples.forEach(sample -> shards.add(sample, now()));
                long timestamp = schedule.nextTimestamp(unixMillis.getAsLong()); // after the last sample of its series
                finalSamples.forEach(sample -> shards.add(sample.toStaleMarker(timestamp), now()));
                stopDeadline = now() + receiver.stopTimeoutMillis;
                shards.flush();
                stopping = true;
            }
        });
        try {
            thread.join(receiver.stopTimeoutMillis + 1000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        thread.interrupt();
        httpExecutor.shutdownNow();
    }
}
