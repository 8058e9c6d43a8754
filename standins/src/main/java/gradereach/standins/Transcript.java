package gradereach.standins;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** What passed, as JSON lines: {@code t} in Unix milliseconds with fractions, {@code ev}, then pairs. */
public final class Transcript implements Closeable {
    /** Somebody who waits for an event. */
    private record EventWaiter(String event, String name, Object value, CompletableFuture<Map<String, Object>> result) { }

    private final JsonGenerator generator;
    private final List<EventWaiter> waiters = new ArrayList<>();

    public Transcript(Path file) throws IOException {
        this(Files.newBufferedWriter(file));
    }

    private Transcript(Writer writer) throws IOException {
        generator = new JsonFactory().createGenerator(writer);
        generator.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
    }

    /** One that keeps nothing, for what passes before a day begins. */
    public static Transcript discarded() {
        try {
            return new Transcript(Writer.nullWriter());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Unix milliseconds with microseconds: one machine's clock for all transcripts of a rehearsal. */
    public static double now() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1000d + now.getNano() / 1e6;
    }

    /** The pairs of the next such event in which {@code name} has {@code value}. */
    public synchronized CompletableFuture<Map<String, Object>> nextEvent(String event, String name, Object value) {
        EventWaiter made = new EventWaiter(event, name, value, new CompletableFuture<>());
        waiters.add(made);
        return made.result;
    }

    public void write(String event, Object... pairs) {
        writeAt(now(), event, pairs);
    }

    public synchronized void writeAt(double t, String event, Object... pairs) {
        try {
            generator.writeStartObject();
            generator.writeNumberField("t", Math.round(t * 1000) / 1000d);
            generator.writeStringField("ev", event);
            for (int i = 0; i < pairs.length; i += 2) {
                generator.writeObjectField((String) pairs[i], pairs[i + 1]);
            }
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (!waiters.isEmpty()) {
            completeWaiters(event, pairs);
        }
    }

    private void completeWaiters(String event, Object[] pairs) {
        Map<String, Object> told = new HashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            told.put((String) pairs[i], pairs[i + 1]);
        }
        waiters.removeIf(one -> one.event.equals(event) && one.value.equals(told.get(one.name)) && one.result.complete(told));
    }

    public synchronized void flush() {
        try {
            generator.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        generator.close();
    }
}
