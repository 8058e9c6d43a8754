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

/** Writes events as JSON lines: {@code t} in Unix milliseconds with fractions, the event type {@code ev}, then key-value pairs. */
public final class Transcript implements Closeable {
    /** A caller that waits for an event. */
    private record EventWaiter(String event, String key, Object value, CompletableFuture<Map<String, Object>> result) { }

    private final JsonGenerator generator;
    private final List<EventWaiter> waiters = new ArrayList<>();

    /** Writes to a new file. */
    public Transcript(Path file) throws IOException {
        this(Files.newBufferedWriter(file));
    }

    private Transcript(Writer writer) throws IOException {
        generator = new JsonFactory().createGenerator(writer);
        generator.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
    }

    /** A transcript that discards all events, for a warm-up that is not recorded. */
    public static Transcript discarding() {
        try {
            return new Transcript(Writer.nullWriter());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Unix milliseconds with microsecond precision, by the clock of the machine, which all transcripts of a rehearsal share. */
    public static double now() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1000d + now.getNano() / 1e6;
    }

    /** Completes with the pairs of the next event of this type whose value for {@code key} equals {@code value}. */
    public synchronized CompletableFuture<Map<String, Object>> nextEvent(String event, String key, Object value) {
        EventWaiter waiter = new EventWaiter(event, key, value, new CompletableFuture<>());
        waiters.add(waiter);
        return waiter.result;
    }

    /** Writes an event with the current time; {@code pairs} are keys and values in turn. */
    public void write(String event, Object... pairs) {
        writeAt(now(), event, pairs);
    }

    /** Writes an event with the given time, in Unix milliseconds. */
    public synchronized void writeAt(double time, String event, Object... pairs) {
        try {
            generator.writeStartObject();
            generator.writeNumberField("t", Math.round(time * 1000) / 1000d);
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
        Map<String, Object> valuesByKey = new HashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            valuesByKey.put((String) pairs[i], pairs[i + 1]);
        }
        waiters.removeIf(waiter -> waiter.event.equals(event) && waiter.value.equals(valuesByKey.get(waiter.key))
                && waiter.result.complete(valuesByKey));
    }

    /** Flushes buffered events to the file. */
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
