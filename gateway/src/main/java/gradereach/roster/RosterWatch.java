package gradereach.roster;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.core.JsonFactory;
import gradereach.counts.Counts;
import gradereach.counts.FailureText;
import gradereach.roster.EndpointSliceParser.MalformedRosterException;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a {@link RosterBook} up to date from an API server (list, then watch) or from a file that is replaced. One
 * daemon thread; whatever fails is said, counted and tried again, while the old roster stays. Until when that counts as
 * complete is told to a {@link ValidityListener}. A watch ends after a stated time by itself: one that does not, or whose
 * server has gone without a word, is ended here, since nothing would be heard on it any more.
 */
public final class RosterWatch implements AutoCloseable {
    /** Told up to when the roster counts as complete; module time in milliseconds. */
    @FunctionalInterface
    public interface ValidityListener {
        /**
         * @param confirmedAt when it was last known to be complete
         * @param until from when on a change may have been missed
         */
        void onValidityChanged(double confirmedAt, double until);
    }

    private static final Logger LOG = LoggerFactory.getLogger(RosterWatch.class);
    private static final String SLICES_PATH = "/apis/discovery.k8s.io/v1/endpointslices";
    private static final ObjectMapper JSON = JsonMapper.builder(JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(64).build()).build()).build();
    /** First wait after a failure, doubled up to the longest: a roster that is away is not beaten on. */
    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5000;
    /**
     * For how long something is relied on.
     *
     * @param watchLasts for how long a watch is asked: a server that is alive ends it then
     * @param watchLate how much later that end has come, were the server alive
     * @param validAfterFailure how long the roster counts as complete once it cannot be read
     */
    record Timing(Duration watchDuration, Duration watchGracePeriod, Duration validAfterFailure) {
        long maxWatchMillis() {
            return watchDuration.plus(watchGracePeriod).toMillis();
        }
    }

    /** After a failure a few tries. */
    private static final Timing DEFAULT_TIMING = new Timing(Duration.ofSeconds(30), Duration.ofSeconds(5), Duration.ofSeconds(4));
    /** A file is looked at this often: as fast as a watch would tell. */
    private static final long FILE_POLL_INTERVAL_MILLIS = 100;

    private final RosterTracker tracker;
    private final String userAgent;
    private final URI server;
    private final Path file;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2)).build();
    private final LongAdder failures;
    private final LongAdder lists;
    private final LongAdder watchEvents;
    private final LongAdder badSlices;
    private final Random jitter = new Random();
    private final Thread thread;
    private volatile boolean closing;
    private volatile InputStream openWatch;
    private final DoubleSupplier clock;
    private final ValidityListener validityListener;
    private final Timing timing;
    private final LongAdder silentWatches;
    private final ScheduledExecutorService watchdog = Executors.newSingleThreadScheduledExecutor(work -> {
        Thread timer = new Thread(work, "roster-watchdog");
        timer.setDaemon(true);
        return timer;
    });
    private double confirmedAt = Double.NEGATIVE_INFINITY;
    private double validUntil = Double.POSITIVE_INFINITY;

    /**
     * Either {@code server} or {@code file} is null.
     *
     * @param clock module time in milliseconds
     */
    public RosterWatch(RosterTracker book, String name, URI server, Path file, DoubleSupplier clock, ValidityListener validity,
            Counts counts) {
        this(book, name, server, file, clock, validity, DEFAULT_TIMING, counts);
    }

    RosterWatch(RosterTracker book, String name, URI server, Path file, DoubleSupplier clock, ValidityListener validity,
            Timing timing, Counts counts) {
        this.clock = clock;
        this.validityListener = validity;
        this.timing = timing;
        silentWatches = counts.counter("roster_silent_watches");
        this.tracker = book;
        userAgent = "gradereach/" + name;
        this.server = server;
        this.file = file;
        failures = counts.counter("roster_failures");
        lists = counts.counter("roster_lists");
        watchEvents = counts.counter("roster_watch_events");
        badSlices = counts.counter("roster_bad_slices");
        thread = new Thread(this::run, "roster");
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    private void run() {
        long wait = INITIAL_BACKOFF_MILLIS;
        while (!closing) {
            try {
                if (file != null) {
                    pollFile();
                } else {
                    fetchList();
                    wait = INITIAL_BACKOFF_MILLIS;
                    followWatch();
                }
            } catch (IOException | MalformedRosterException | RuntimeException e) {
                // Whatever breaks: this thread goes on, or nobody would hear of a change again.
                if (closing) {
                    return;
                }
                failures.increment();
                limitValidity(clock.getAsDouble() + timing.validAfterFailure.toMillis());
                LOG.atWarn().addKeyValue("from", file != null ? file : server).addKeyValue("wait_ms", wait)
                        .log("roster not read, the old one stays: {}", FailureText.describe(e));
                wait = Math.min(MAX_BACKOFF_MILLIS, wait * 2);
            } catch (InterruptedException e) {
                return;
            }
            try {
                Thread.sleep(wait / 2 + jitter.nextInt((int) wait));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void fetchList() throws IOException, InterruptedException, MalformedRosterException {
        double askedAt = clock.getAsDouble();
        HttpResponse<InputStream> answer = get("", Duration.ofSeconds(5));
        try (InputStream body = answer.body()) {
            tracker.applyList(JSON.readTree(body));
        }
        lists.increment();
        confirm(askedAt, timing.maxWatchMillis());
    }

    /** Returns where the server ended the watch or it has to be begun anew. */
    private void followWatch() throws IOException, InterruptedException {
        HttpResponse<InputStream> answer = get("?watch=1&allowWatchBookmarks=true&timeoutSeconds=" + timing.watchDuration.toSeconds()
                + "&resourceVersion=" + tracker.resourceVersion(), Duration.ofSeconds(5));
        Future<?> silentEnd = watchdog.schedule(() -> endSilentWatch(answer.body()), timing.maxWatchMillis(), TimeUnit.MILLISECONDS);
        try (InputStream body = answer.body();
                MappingIterator<JsonNode> events = JSON.readerFor(JsonNode.class).readValues(body)) {
            openWatch = body;
            while (!closing && events.hasNextValue()) {
                try {
                    if (!tracker.applyWatchEvent(events.nextValue())) {
                        return;
                    }
                    watchEvents.increment();
                } catch (MalformedRosterException e) {
                    badSlices.increment();
                    LOG.warn("a slice was passed over, its earlier self stays: {}", e.getMessage());
                }
            }
        } finally {
            openWatch = null;
            silentEnd.cancel(false);
        }
    }

    /** Its server should have ended it by now: what it would have told has not come. */
    private void endSilentWatch(InputStream body) {
        silentWatches.increment();
        LOG.warn("a watch of the roster was not ended by its server in time and is begun anew");
        closeQuietly(body);
    }

    private HttpResponse<InputStream> get(String query, Duration patience) throws IOException, InterruptedException {
        // The time-out runs until the head of the answer; a watch's body then stays open.
        HttpResponse<InputStream> answer = client.send(HttpRequest.newBuilder(server.resolve(SLICES_PATH + query))
                .timeout(patience).header("accept", "application/json").header("user-agent", userAgent).build(),
                HttpResponse.BodyHandlers.ofInputStream());
        if (answer.statusCode() != 200) {
            answer.body().close();
            throw new IOException("roster answered " + answer.statusCode());
        }
        return answer;
    }

    private void pollFile() throws IOException, InterruptedException, MalformedRosterException {
        FileTime seen = null;
        long size = -1;
        while (!closing) {
            FileTime changed = Files.getLastModifiedTime(file);
            if (!changed.equals(seen) || Files.size(file) != size) {
                JsonNode list = JSON.readTree(file.toFile());
                tracker.applyList(list);
                seen = changed;
                size = Files.size(file);
                lists.increment();
            }
            confirm(clock.getAsDouble(), timing.validAfterFailure.toMillis());
            Thread.sleep(FILE_POLL_INTERVAL_MILLIS);
        }
    }

    private void confirm(double at, double lasts) {
        confirmedAt = at;
        validUntil = at + lasts;
        validityListener.onValidityChanged(confirmedAt, validUntil);
    }

    private void limitValidity(double latest) {
        if (latest < validUntil) {
            validUntil = latest;
            validityListener.onValidityChanged(confirmedAt, validUntil);
        }
    }

    @Override
    public void close() {
        closing = true;
        thread.interrupt();
        watchdog.shutdownNow();
        InputStream body = openWatch;
        if (body != null) {
            closeQuietly(body);
        }
    }

    private static void closeQuietly(InputStream body) {
        try {
            body.close();
        } catch (IOException e) {
            // it is let go of either way
        }
    }
}
