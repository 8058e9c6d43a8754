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
 * Collects what is measured and pushes it by Prometheus remote write. It has a thread of its own, which owns the queues, and
 * connections and I/O threads of its own; nobody in the program ever waits for it or shares a lock with it.
 */
public final class Pusher implements MetricFamily.Source, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Pusher.class);
    private static final String CONTENT_TYPE_V1 = "application/x-protobuf";
    private static final String CONTENT_TYPE_V2 = CONTENT_TYPE_V1 + ";proto=io.prometheus.write.v2.Request";
    private static final String WRITTEN_HEADER_PREFIX = "X-Prometheus-Remote-Write-";

    /**
     * Where and how.
     *
     * @param common labels of every series of this front end, names and values in turn
     * @param timeout of one request, milliseconds
     * @param stopPatience how long a stop may take for what is held and the stale markers, milliseconds
     */
    public record Receiver(URI uri, boolean onlyVersionOne, List<String> commonLabels, String instance, long intervalMillis, long timeoutMillis,
            int maxShards, SendQueue.Limits limits, long stopTimeoutMillis) { }

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
    /** Series of the last collection, for their end. */
    private Map<List<String>, SeriesSample> lastSamples = new LinkedHashMap<>();

    // Of the thread; what others read is volatile.
    private long collectedAt;
    private boolean stopping;
    private double stopDeadline;
    private double sendingMillis;
    private boolean failing;
    private long lastAdded;
    private long lastSent;
    private volatile PushStatistics statistics = new PushStatistics(0, 0, new long[DropReason.values().length], 0, 0, 1, 0, 0);
    private long requests;
    private long failures;
    private volatile long lastSuccessAt;

    /** What became of all samples so far. */
    public record PushStatistics(long added, long accepted, long[] dropped, long pending, long bytes, int shards, long requests, long failures) {
        public long dropped(DropReason why) {
            return dropped[why.ordinal()];
        }
    }

    public Pusher(Receiver to, List<MetricFamily.Source> sources, LongSupplier unixMillis, Random chance) {
        this.receiver = to;
        this.sources = new ArrayList<>(sources);
        this.sources.add(this);
        this.unixMillis = unixMillis;
        schedule = new PushSchedule(to.instance, to.intervalMillis);
        shards = new Shards(to.limits, chance);
        shardCalculator = new ShardCalculator(to.maxShards);
        versionSelector = new ProtocolVersionSelector(to.onlyVersionOne);
        startedMillis = unixMillis.getAsLong();
        client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(httpExecutor)
                .connectTimeout(Duration.ofMillis(Math.min(5000, to.timeoutMillis))).build();
    }

    private static Thread daemonThread(Runnable work, String name) {
        Thread made = new Thread(work, name);
        made.setDaemon(true);
        return made;
    }

    public void start() {
        thread.start();
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private void run() {
        // A turn is a point of wall time; the wait for it is not, so that a clock that is set does no harm.
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
        List<SeriesSample> items = collectSamples();
        Map<List<String>, SeriesSample> present = new LinkedHashMap<>();
        items.forEach(item -> present.put(item.labels(), item));
        long at = collectedAt;
        // A series that is no longer there has ended: a model that lost its slot, say.
        lastSamples.forEach((labels, last) -> {
            if (!present.containsKey(labels)) {
                shards.add(last.toStaleMarker(at), now());
            }
        });
        lastSamples = present;
        items.forEach(item -> shards.add(item, now()));
        long added = shards.added();
        long sent = shards.accepted() + shards.dropped(DropReason.REFUSED);
        shards.resize(shardCalculator.update(receiver.intervalMillis, added - lastAdded, sent - lastSent, sendingMillis, shards.pending(), failing));
        lastAdded = added;
        lastSent = sent;
        sendingMillis = 0;
    }

    private List<SeriesSample> collectSamples() {
        List<MetricFamily> families = new ArrayList<>();
        for (MetricFamily.Source source : sources) {
            source.collect(families);
        }
        long at = schedule.nextTimestamp(unixMillis.getAsLong());
        collectedAt = at;
        List<SeriesSample> items = new ArrayList<>();
        families.forEach(family -> SeriesSample.addSamples(family, receiver.commonLabels, at, items));
        return items;
    }

    private void sendDueBatches() {
        for (int shard = 0; shard < shards.size(); shard++) {
            SendQueue.Batch batch = shards.nextBatch(shard, now());
            if (batch != null) {
                post(shard, batch, versionSelector.useVersion2(now()));
            }
        }
    }

    private void post(int shard, SendQueue.Batch batch, boolean two) {
        requests++;
        double began = now();
        byte[] body;
        try {
            body = two ? RemoteWriteEncoder.encodeV2(batch.samples()) : RemoteWriteEncoder.encodeV1(batch.samples());
        } catch (IOException e) {
            LOG.warn("a batch could not be written: {}", e.getMessage());
            shards.onSendResult(shard, new SendQueue.Rejected(0), now());
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(receiver.uri).timeout(Duration.ofMillis(receiver.timeoutMillis))
                .header("Content-Encoding", "snappy").header("Content-Type", two ? CONTENT_TYPE_V2 : CONTENT_TYPE_V1)
                .header("X-Prometheus-Remote-Write-Version", two ? "2.0.0" : "0.1.0").header("User-Agent", "gradereach/" + receiver.instance)
                .header("Retry-Attempt", Integer.toString(batch.failedAttempts)).POST(HttpRequest.BodyPublishers.ofByteArray(body)).build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((answer, failure) ->
                events.add(() -> onResponse(shard, batch, two, answer, now() - began)));
    }

    /** {@code answer} null where none came. */
    private void onResponse(int shard, SendQueue.Batch batch, boolean two, HttpResponse<Void> answer, double took) {
        sendingMillis += took;
        int status = answer == null ? 0 : answer.statusCode();
        if (status == 415 && versionSelector.onUnsupportedMediaType(two, now())) {
            LOG.info("the receiver does not know remote write 2.0; 1.0 from now on");
            post(shard, batch, false);
            return;
        }
        failing = status / 100 != 2 && (status == 0 || status == 429 || status / 100 == 5);
        failures += status / 100 == 2 ? 0 : 1;
        if (status / 100 == 2) {
            lastSuccessAt = unixMillis.getAsLong();
            shards.onSendResult(shard, new SendQueue.Accepted(two ? writtenCount(answer, -1) : -1), now());
        } else if (failing) {
            shards.onSendResult(shard, new SendQueue.Retry(answer == null ? 0 : retryAfterMillis(answer)), now());
        } else {
            int written = two ? writtenCount(answer, 0) : 0;
            LOG.warn("the receiver refused a batch of {} with {}, {} written", batch.samples().size(), status, written);
            shards.onSendResult(shard, new SendQueue.Rejected(written), now());
        }
    }

    /** Samples and histograms that the receiver says it wrote. */
    private static int writtenCount(HttpResponse<Void> answer, int otherwise) {
        int sum = 0;
        boolean told = false;
        for (String what : List.of("Samples-Written", "Histograms-Written")) {
            String text = answer.headers().firstValue(WRITTEN_HEADER_PREFIX + what).orElse("");
            if (text.matches("\\d{1,9}")) {
                told = true;
                sum += Integer.parseInt(text);
            }
        }
        return told ? sum : otherwise;
    }

    /** Milliseconds; a date is not used by receivers of metrics, and is no figure here. */
    private static double retryAfterMillis(HttpResponse<Void> answer) {
        String text = answer.headers().firstValue("Retry-After").orElse("");
        return text.matches("\\d{1,6}") ? Integer.parseInt(text) * 1000.0 : 0;
    }

    private void updateStatistics() {
        long[] dropped = new long[DropReason.values().length];
        for (DropReason why : DropReason.values()) {
            dropped[why.ordinal()] = shards.dropped(why);
        }
        statistics = new PushStatistics(shards.added(), shards.accepted(), dropped, shards.pending(), shards.bytes(), shards.size(), requests, failures);
    }

    public PushStatistics statistics() {
        return statistics;
    }

    /** What is said of the pushing itself. */
    @Override
    public void collect(List<MetricFamily> into) {
        PushStatistics now = statistics;
        into.add(counter("gradereach_push_samples_added", "Samples given to the pusher", now.added));
        into.add(counter("gradereach_push_samples_accepted", "Samples that the receiver took", now.accepted));
        List<Point> dropped = new ArrayList<>();
        for (DropReason why : DropReason.values()) {
            dropped.add(new Point(List.of("reason", why.name().toLowerCase()), now.dropped(why), null, startedMillis));
        }
        into.add(new MetricFamily("gradereach_push_samples_dropped", Type.COUNTER, "", "Samples let go, by reason", dropped));
        into.add(counter("gradereach_push_requests", "Requests to the receiver", now.requests));
        into.add(counter("gradereach_push_failures", "Requests that were not answered with 2xx", now.failures));
        into.add(gauge("gradereach_push_samples_held", "Samples that wait for the receiver", now.pending));
        into.add(gauge("gradereach_push_shards", "Requests that may be out at once", now.shards));
        into.add(gauge("gradereach_push_reached_seconds", "When the receiver last took something, Unix time", lastSuccessAt / 1000.0));
    }

    private MetricFamily counter(String name, String help, double value) {
        return new MetricFamily(name, Type.COUNTER, "", help, List.of(new Point(List.of(), value, null, startedMillis)));
    }

    private static MetricFamily gauge(String name, String help, double value) {
        return new MetricFamily(name, Type.GAUGE, "", help, List.of(new Point(List.of(), value, null, 0)));
    }

    /** A last collection and the end of every series, within the patience that was set; what is then still held is lost. */
    @Override
    public void close() {
        events.add(() -> {
            if (!stopping) {
                List<SeriesSample> last = collectSamples();
                last.forEach(item -> shards.add(item, now()));
                long at = schedule.nextTimestamp(unixMillis.getAsLong()); // after the last sample of its series
                last.forEach(item -> shards.add(item.toStaleMarker(at), now()));
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
