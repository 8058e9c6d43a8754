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

class RosterWatchTest {
    private static final RosterWatch.Timing TIMING =
            new RosterWatch.Timing(Duration.ofSeconds(1), Duration.ofMillis(200), Duration.ofMillis(100));

    @TempDir
    Path folder;

    /** An exception on the watch's thread: it goes on, and what could not be told is told again. */
    @Test
    void failedReadDoesNotEndTheWatch() throws Exception {
        Path file = Files.writeString(folder.resolve("slices.json"), "{\"items\":[{\"metadata\":{\"name\":\"a\"},"
                + "\"ports\":[{\"port\":80}],\"endpoints\":[{\"addresses\":[\"10.0.0.1\"]}]}]}");
        BlockingQueue<String> told = new LinkedBlockingQueue<>();
        AtomicBoolean fails = new AtomicBoolean(true);
        RosterTracker book = new RosterTracker(new EndpointSliceParser(List.of()), (form, lines) -> {
            if (fails.getAndSet(false)) {
                throw new IllegalStateException("planted");
            }
            told.add(form + " " + lines.get(0).address());
        });
        try (RosterWatch watch = new RosterWatch(book, "test", null, file, () -> 0, (at, until) -> { }, new Counts())) {
            watch.start();
            assertEquals("FULL 10.0.0.1:80", told.poll(20, TimeUnit.SECONDS));
        }
    }

    /** Guards against "null" as the cause that an operator reads: a refused connection of the platform's client has no message. */
    @Test
    void logsCauseWhenServerIsUnreachable() throws Exception {
        int nobody;
        try (ServerSocket socket = new ServerSocket(0)) {
            nobody = socket.getLocalPort();
        }
        Logger logger = (Logger) LoggerFactory.getLogger(RosterWatch.class);
        BlockingQueue<String> said = new LinkedBlockingQueue<>();
        AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                said.add(event.getFormattedMessage());
            }
        };
        appender.start();
        logger.addAppender(appender);
        try (RosterWatch watch = new RosterWatch(new RosterTracker(new EndpointSliceParser(List.of()), (form, lines) -> { }), "test",
                URI.create("http://127.0.0.1:" + nobody), null, () -> 0, (at, until) -> { }, new Counts())) {
            watch.start();
            String line = said.poll(20, TimeUnit.SECONDS);
            assertTrue(line.contains("ConnectException"), line);
            assertFalse(line.contains("null"), line);
        } finally {
            logger.detachAppender(appender);
        }
    }

    /** A watch on which nothing comes any more is begun anew, and the roster counts as complete no longer than was told. */
    @Test
    void silentWatchIsRestarted() throws Exception {
        BlockingQueue<Double> confirmed = new LinkedBlockingQueue<>();
        AtomicBoolean reachable = new AtomicBoolean(true);
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/", ask -> {
            if (!reachable.get()) {
                ask.close();
            } else if (String.valueOf(ask.getRequestURI().getQuery()).contains("watch=1")) {
                ask.sendResponseHeaders(200, 0); // and nothing ever after
            } else {
                byte[] list = "{\"items\":[]}".getBytes(StandardCharsets.US_ASCII);
                ask.sendResponseHeaders(200, list.length);
                ask.getResponseBody().write(list);
                ask.close();
            }
        });
        server.start();
        Counts counts = new Counts();
        URI at = URI.create("http://127.0.0.1:" + server.getAddress().getPort());
        try (RosterWatch watch = new RosterWatch(new RosterTracker(new EndpointSliceParser(List.of()), (form, lines) -> { }), "test", at,
                null, () -> 1000, (confirmedAt, until) -> confirmed.add(until), TIMING, counts)) {
            watch.start();
            assertEquals(2200, confirmed.poll(20, TimeUnit.SECONDS));
            assertEquals(1100, confirmed.poll(20, TimeUnit.SECONDS)); // the watch is given up
            assertEquals(2200, confirmed.poll(20, TimeUnit.SECONDS)); // and the list asked for again
            assertEquals(1, counts.value("roster_silent_watches"));
            reachable.set(false);
            assertEquals(1100, confirmed.poll(20, TimeUnit.SECONDS)); // cannot be read any more
        } finally {
            server.stop(0);
        }
    }
}
