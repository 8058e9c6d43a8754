package gradereach.rehearsal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Which of a day's events have begun and not ended. Any thread. */
final class EventsUnderWay {
    private final List<JsonNode> begun = new ArrayList<>();
    private long lastEndNanos = System.nanoTime();

    synchronized void begins(JsonNode event) {
        begun.add(event);
    }

    synchronized void ended(JsonNode event) {
        begun.remove(event);
        lastEndNanos = System.nanoTime();
    }

    /** Milliseconds since the last event ended, 0 while one is under way. */
    synchronized double quietFor() {
        return begun.isEmpty() ? (System.nanoTime() - lastEndNanos) / 1e6 : 0;
    }

    synchronized List<String> list() {
        return begun.stream().map(JsonNode::toString).toList();
    }
}
