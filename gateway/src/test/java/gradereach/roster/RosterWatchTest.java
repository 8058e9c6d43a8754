package gradereach.roster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import com.sun.net.httpserver.HttpServer;
import gradereach.counts.Counts;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

/**
 * Failures of a roster watch: an exception on its thread, an unreachable server, and a watch without events that does not end.
 */
class RosterWatchTest {
    private static final RosterWatch.Timing TIMING =
            new RosterWatch.Timing(Duration.ofSeconds(1), Duration.ofMillis(200), Duration.ofMillis(100));

    @TempDir
    Path folder;

    /** After an exception on its thread the watch continues and publishes again what could not be published. */
    @Test
    void failedReadDoesNotEndTheWatch() throws Exception {
        Path file = Files.writeString(folder.resolve("slices.json"), "{\"items\":[{\"metadata\":{\"name\":\"a\"},"
                + "\"ports\":[{\"port\":80}],\"endpoints\":[{\"addresses\":[\"10.0.0.1\"]}]}]}");
        BlockingQueue<String> published = new LinkedBlockingQueue<>();
        AtomicBoolean failNext = new AtomicBoolean(true);
        RosterTracker tracker = new RosterTracker(new EndpointSliceParser(List.of()), (kind, entries) -> {
            if (failNext.getAndSet(false)) {
                throw new IllegalStateException("planted");
            }
            published.add(kind + " " + entries.get(0).address());
        });
        try (RosterWatch watch = new RosterWatch(tracker, "test", null, file, () -> 0, (confirmedAt, validUntil) -> { }, new Counts())) {
            watch.start();
            assertEquals("FULL 10.0.0.1:80", published.poll(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against "null" as the logged cause: the exception of the JDK's client for a refused connection has no message. */
    @Test
    void logsCauseWhenServerIsUnreachable() throws Exception {
        int unusedPort;
        try (ServerSocket socket = new ServerSocket(0)) {
            unusedPort = socket.getLocalPort();
        }
        Logger logger = (Logger) LoggerFactory.getLogger(RosterWatch.class);
        BlockingQueue<String> logged = new LinkedBlockingQueue<>();
        AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                logged.add(event.getFormattedMessage());
            }
        };
        appender.start();
        logger.addAppender(appender);
        try (RosterWatch watch = new RosterWatch(new RosterTracker(new EndpointSliceParser(List.of()), (kind, entries) -> { }), "test",
                URI.create("http://127.0.0.1:" + unusedPort), null, () -> 0, (confirmedAt, validUntil) -> { }, new Counts())) {
            watch.start();
            String line = logged.poll(20, TimeUnit.SECONDS);
            assertTrue(line.contains("ConnectException"), line);
            assertFalse(line.contains("null"), line);
        } finally {
            logger.detachAppender(appender);
        }
    }

    /** A watch without events that the server does not end is restarted; the roster counts as complete only as long as announced. */
    @Test
    void silentWatchIsRestarted() throws Exception {
        BlockingQueue<Double> validities = new LinkedBlockingQueue<>();
        AtomicBoolean reachable = new AtomicBoolean(true);
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", exchange -> {
            if (!reachable.get()) {
                exchange.close();
            } else if (String.valueOf(exchange.getRequestURI().getQuery()).contains("watch=1")) {
                exchange.sendResponseHeaders(200, 0); // headers only, the body stays open
            } else {
                byte[] list = "{\"items\":[]}".getBytes(StandardCharsets.US_ASCII);
                exchange.sendResponseHeaders(200, list.length);
                exchange.getResponseBody().write(list);
                exchange.close();
            }
        });
        server.start();
        Counts counts = new Counts();
        URI serverUri = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
        try (RosterWatch watch = new RosterWatch(new RosterTracker(new EndpointSliceParser(List.of()), (kind, entries) -> { }), "test",
                serverUri, null, () -> 1000, (confirmedAt, validUntil) -> validities.add(validUntil), TIMING, counts)) {
            watch.start();
            assertEquals(2200, validities.poll(20, TimeUnit.SECONDS));
            assertEquals(1100, validities.poll(20, TimeUnit.SECONDS)); // the watch is closed as silent
            assertEquals(2200, validities.poll(20, TimeUnit.SECONDS)); // the list is fetched again
            assertEquals(1, counts.value("roster_silent_watches"));
            reachable.set(false);
            assertEquals(1100, validities.poll(20, TimeUnit.SECONDS)); // the server is unreachable
        } finally {
            server.stop(0);
        }
    }
}
