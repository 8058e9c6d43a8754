package gradereach.roster;

import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.core.JsonFactory;
import gradereach.counts.Counts;
import gradereach.roster.EndpointSlices.BadRoster;
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
import java.util.concurrent.atomic.LongAdder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps a {@link RosterBook} up to date from an API server (list, then watch) or from a file that is replaced. One
 * daemon thread; whatever fails is said, counted and tried again, while the old roster stays.
 */
public final class RosterWatch implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(RosterWatch.class);
    private static final String SLICES = "/apis/discovery.k8s.io/v1/endpointslices";
    private static final ObjectMapper JSON = JsonMapper.builder(JsonFactory.builder().streamReadConstraints(
            StreamReadConstraints.builder().maxNestingDepth(64).build()).build()).build();
    /** First wait after a failure, doubled up to the longest: a roster that is away is not beaten on. */
    private static final long FIRST_WAIT = 200;
    private static final long LONGEST_WAIT = 5000;
    /** A file is looked at this often: as fast as a watch would tell. */
    private static final long FILE_EVERY = 100;

    private final RosterBook book;
    private final String agent;
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
    private volatile InputStream open;
    private volatile long heardAt;

    /** Either {@code server} or {@code file} is null. */
    public RosterWatch(RosterBook book, String name, URI server, Path file, Counts counts) {
        this.book = book;
        agent = "gradereach/" + name;
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

    /** Unix milliseconds of the last word from the roster, 0 before the first. */
    public long heardAt() {
        return heardAt;
    }

    private void run() {
        long wait = FIRST_WAIT;
        while (!closing) {
            try {
                if (file != null) {
                    followFile();
                } else {
                    list();
                    wait = FIRST_WAIT;
                    watch();
                }
            } catch (IOException | BadRoster | RuntimeException e) {
                // Whatever breaks: this thread goes on, or nobody would hear of a change again.
                if (closing) {
                    return;
                }
                failures.increment();
                LOG.atWarn().addKeyValue("from", file != null ? file : server).addKeyValue("wait_ms", wait)
                        .log("roster not read, the old one stays: {}", String.valueOf(e.getMessage()));
                wait = Math.min(LONGEST_WAIT, wait * 2);
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

    private void list() throws IOException, InterruptedException, BadRoster {
        HttpResponse<InputStream> answer = get("", Duration.ofSeconds(5));
        try (InputStream body = answer.body()) {
            book.list(JSON.readTree(body));
        }
        heard(lists);
    }

    /** Returns where the server ended the watch or it has to be begun anew. */
    private void watch() throws IOException, InterruptedException {
        HttpResponse<InputStream> answer = get("?watch=1&allowWatchBookmarks=true&resourceVersion=" + book.version(),
                Duration.ofSeconds(5));
        try (InputStream body = answer.body();
                MappingIterator<JsonNode> events = JSON.readerFor(JsonNode.class).readValues(body)) {
            open = body;
            while (!closing && events.hasNextValue()) {
                try {
                    if (!book.watched(events.nextValue())) {
                        return;
                    }
                    heard(watchEvents);
                } catch (BadRoster e) {
                    badSlices.increment();
                    LOG.warn("a slice was passed over, its earlier self stays: {}", e.getMessage());
                }
            }
        } finally {
            open = null;
        }
    }

    private HttpResponse<InputStream> get(String query, Duration patience) throws IOException, InterruptedException {
        // The time-out runs until the head of the answer; a watch's body then stays open.
        HttpResponse<InputStream> answer = client.send(HttpRequest.newBuilder(server.resolve(SLICES + query))
                .timeout(patience).header("accept", "application/json").header("user-agent", agent).build(),
                HttpResponse.BodyHandlers.ofInputStream());
        if (answer.statusCode() != 200) {
            answer.body().close();
            throw new IOException("roster answered " + answer.statusCode());
        }
        return answer;
    }

    private void followFile() throws IOException, InterruptedException, BadRoster {
        FileTime seen = null;
        long size = -1;
        while (!closing) {
            FileTime changed = Files.getLastModifiedTime(file);
            if (!changed.equals(seen) || Files.size(file) != size) {
                JsonNode list = JSON.readTree(file.toFile());
                book.list(list);
                seen = changed;
                size = Files.size(file);
                heard(lists);
            }
            Thread.sleep(FILE_EVERY);
        }
    }

    private void heard(LongAdder what) {
        what.increment();
        heardAt = System.currentTimeMillis();
    }

    @Override
    public void close() {
        closing = true;
        thread.interrupt();
        InputStream body = open;
        if (body != null) {
            try {
                body.close();
            } catch (IOException e) {
                // it is let go of either way
            }
        }
    }
}
