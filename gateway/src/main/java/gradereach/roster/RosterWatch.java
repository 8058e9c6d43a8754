package gradereach.roster;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
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
 * Keeps a {@link RosterTracker} up to date from an API server (list, then watch) or from a file that is replaced. Uses one
 * daemon thread; a failure is logged, counted and retried, while the previous roster stays. A {@link ValidityListener} is
 * notified of how long the roster counts as complete. The server ends a watch after the requested time; a watch that it does
 * not end, for instance because the server vanished without closing the connection, is closed here, since no more events
 * would arrive on it.
 */
public final class RosterWatch implements AutoCloseable {
    /** Notified of when the roster counts as complete; monotonic time in milliseconds. */
    @FunctionalInterface
    public interface ValidityListener {
        /**
         * @param confirmedAt when the roster was last known to be complete
         * @param validUntil from when on a change may have been missed
         */
        void onValidityChanged(double confirmedAt, double validUntil);
    }

    private static final Logger LOG = LoggerFactory.getLogger(RosterWatch.class);
    private static final String SLICES_PATH = "/apis/discovery.k8s.io/v1/endpointslices";
    private static final ObjectMapper JSON = JsonMapper.builder(JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(64).build()).build()).build();
    /** Backoff after a failure, doubled up to the maximum so that an unavailable server is not overloaded. */
    private static final long INITIAL_BACKOFF_MILLIS = 200;
    private static final long MAX_BACKOFF_MILLIS = 5000;
    /**
     * Durations of watches and of the roster's validity.
     *
     * @param watchDuration requested duration of a watch, after which the server ends it
     * @param watchGracePeriod how long after {@code watchDuration} a live server has ended the watch at the latest
     * @param validAfterFailure how long the roster counts as complete after it could not be read
     */
    record Timing(Duration watchDuration, Duration watchGracePeriod, Duration validAfterFailure) {
        long maxWatchMillis() {
            return watchDuration.plus(watchGracePeriod).toMillis();
        }
    }

    /** The last of these durations allows for a few retries after a failure. */
    private static final Timing DEFAULT_TIMING = new Timing(Duration.ofSeconds(30), Duration.ofSeconds(5), Duration.ofSeconds(4));
    /** Short, so that changes of a file are noticed about as fast as those of a watch. */
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
     * Reads the roster from {@code server} or from {@code file}; the other one is null.
     *
     * @param clock monotonic time in milliseconds
     */
    public RosterWatch(RosterTracker tracker, String name, URI server, Path file, DoubleSupplier clock, ValidityListener validityListener,
            Counts counts) {
        this(tracker, name, server, file, clock, validityListener, DEFAULT_TIMING, counts);
    }

    RosterWatch(RosterTracker tracker, String name, URI server, Path file, DoubleSupplier clock, ValidityListener validityListener,
            Timing timing, Counts counts) {
        this.clock = clock;
        this.validityListener = validityListener;
        this.timing = timing;
        silentWatches = counts.counter("roster_silent_watches");
        this.tracker = tracker;
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
        long backoffMillis = INITIAL_BACKOFF_MILLIS;
        while (!closing) {
            try {
                if (file != null) {
                    pollFile();
                } else {
                    fetchList();
                    backoffMillis = INITIAL_BACKOFF_MILLIS;
                    followWatch();
                }
            } catch (IOException | MalformedRosterException | RuntimeException e) {
                // The thread continues after any failure; otherwise no change would be noticed any more.
                if (closing) {
                    return;
                }
                failures.increment();
                limitValidity(clock.getAsDouble() + timing.validAfterFailure.toMillis());
                LOG.atWarn().addKeyValue("from", file != null ? file : server).addKeyValue("wait_ms", backoffMillis)
                        .log("could not read the roster, keeping the previous one: {}", FailureText.describe(e));
                backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
            } catch (InterruptedException e) {
                return;
            }
            try {
                Thread.sleep(backoffMillis / 2 + jitter.nextInt((int) backoffMillis));
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void fetchList() throws IOException, InterruptedException, MalformedRosterException {
        double requestedAt = clock.getAsDouble();
        HttpResponse<InputStream> response = get("", Duration.ofSeconds(5));
        try (InputStream body = response.body()) {
            tracker.applyList(JSON.readTree(body));
        }
        lists.increment();
        confirm(requestedAt, timing.maxWatchMillis());
    }

    /** Applies watch events; returns when the server has ended the watch or the list must be fetched again. */
    private void followWatch() throws IOException, InterruptedException {
        HttpResponse<InputStream> response = get("?watch=1&allowWatchBookmarks=true&timeoutSeconds=" + timing.watchDuration.toSeconds()
                + "&resourceVersion=" + tracker.resourceVersion(), Duration.ofSeconds(5));
        Future<?> silenceTimeout = watchdog.schedule(() -> endSilentWatch(response.body()), timing.maxWatchMillis(),
                TimeUnit.MILLISECONDS);
        try (InputStream body = response.body();
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
                    LOG.warn("ignoring a malformed slice, keeping its previous version: {}", e.getMessage());
                }
            }
        } finally {
            openWatch = null;
            silenceTimeout.cancel(false);
        }
    }

    /** Closes a watch that the server should have ended by now, since events may have been missed. */
    private void endSilentWatch(InputStream body) {
        silentWatches.increment();
        LOG.warn("the server did not end the roster watch in time, restarting it");
        closeQuietly(body);
    }

    private HttpResponse<InputStream> get(String query, Duration timeout) throws IOException, InterruptedException {
        // The timeout covers the time until the response headers; the body of a watch stays open.
        HttpResponse<InputStream> response = client.send(HttpRequest.newBuilder(server.resolve(SLICES_PATH + query))
                .timeout(timeout).header("accept", "application/json").header("user-agent", userAgent).build(),
                HttpResponse.BodyHandlers.ofInputStream());
        if (response.statusCode() != 200) {
            response.body().close();
            throw new IOException("the roster server answered with status " + response.statusCode());
        }
        return response;
    }

    private void pollFile() throws IOException, InterruptedException, MalformedRosterException {
        FileTime lastModified = null;
        long lastSize = -1;
        while (!closing) {
            FileTime modified = Files.getLastModifiedTime(file);
            if (!modified.equals(lastModified) || Files.size(file) != lastSize) {
                JsonNode list = JSON.readTree(file.toFile());
                tracker.applyList(list);
                lastModified = modified;
                lastSize = Files.size(file);
                lists.increment();
            }
            confirm(clock.getAsDouble(), timing.validAfterFailure.toMillis());
            Thread.sleep(FILE_POLL_INTERVAL_MILLIS);
        }
    }

    /** Records that the roster was complete at {@code confirmedTime} and counts as complete for {@code validMillis}. */
    private void confirm(double confirmedTime, double validMillis) {
        confirmedAt = confirmedTime;
        validUntil = confirmedTime + validMillis;
        validityListener.onValidityChanged(confirmedAt, validUntil);
    }

    /** Lets the roster count as complete until {@code latest} at most. */
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
            // nothing more can be done to close it
        }
    }
}
