package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** The events of a rehearsal that have started and not ended. Thread-safe. */
final class RunningEvents {
    private final List<JsonNode> running = new ArrayList<>();
    private long lastEndNanos = System.nanoTime();

    synchronized void eventStarted(JsonNode event) {
        running.add(event);
    }

    synchronized void eventEnded(JsonNode event) {
        running.remove(event);
        lastEndNanos = System.nanoTime();
    }

    /** Milliseconds since the last event ended, 0 while one is running. */
    synchronized double millisSinceLastEnd() {
        return running.isEmpty() ? (System.nanoTime() - lastEndNanos) / 1e6 : 0;
    }

    /** The running events, each as its JSON text. */
    synchronized List<String> descriptions() {
        return running.stream().map(JsonNode::toString).toList();
    }
}
