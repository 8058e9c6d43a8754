package gradereach.roster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gradereach.counts.Counts;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RosterWatchTest {
    @TempDir
    Path folder;

    /** An exception on the watch's thread: it goes on, and what could not be told is told again. */
    @Test
    void whatBreaksOneReadingEndsNoWatch() throws Exception {
        Path file = Files.writeString(folder.resolve("slices.json"), "{\"items\":[{\"metadata\":{\"name\":\"a\"},"
                + "\"ports\":[{\"port\":80}],\"endpoints\":[{\"addresses\":[\"10.0.0.1\"]}]}]}");
        BlockingQueue<String> told = new LinkedBlockingQueue<>();
        AtomicBoolean fails = new AtomicBoolean(true);
        RosterBook book = new RosterBook(new EndpointSlices(List.of()), (form, lines) -> {
            if (fails.getAndSet(false)) {
                throw new IllegalStateException("planted");
            }
            told.add(form + " " + lines.get(0).address());
        });
        try (RosterWatch watch = new RosterWatch(book, "test", null, file, new Counts())) {
            watch.start();
            assertEquals("FULL 10.0.0.1:80", told.poll(20, TimeUnit.SECONDS));
        }
    }
}
