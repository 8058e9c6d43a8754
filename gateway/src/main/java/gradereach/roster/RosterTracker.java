package gradereach.roster;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.api.ExecutorState;
import gradereach.api.RosterUpdateKind;
import gradereach.desk.RosterEntry;
import gradereach.roster.EndpointSliceParser.MalformedRosterException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Holds the current Kubernetes EndpointSlices, whose union is the roster, and publishes changes. An executor may move from one
 * slice to another or be in two for a while: it is removed only when no slice contains it, and ready if one slice says so.
 *
 * A list replaces all slices, a watch event replaces one. {@link #publish} computes the difference to what was published last.
 * A malformed slice changes nothing: its previous version stays.
 */
public final class RosterTracker {
    /** Receives roster updates: the full roster or the changed entries. */
    public interface RosterUpdateListener {
        void onRosterUpdate(RosterUpdateKind kind, List<RosterEntry> entries);
    }

    private final EndpointSliceParser parser;
    private final RosterUpdateListener listener;
    private final Map<String, List<RosterEntry>> slices = new LinkedHashMap<>();
    private final Map<String, RosterEntry> published = new LinkedHashMap<>();
    private boolean fullRosterPublished;
    private String resourceVersion = "";

    public RosterTracker(EndpointSliceParser parser, RosterUpdateListener listener) {
        this.parser = parser;
        this.listener = listener;
    }

    /** The {@code resourceVersion} to start a watch from. */
    public String resourceVersion() {
        return resourceVersion;
    }

    /** How many executors were published last. */
    public int size() {
        return published.size();
    }

    /**
     * Applies a full list ({@code EndpointSliceList}). If a slice is malformed, the other slices of the list are still applied,
     * since they may report draining executors, and slices that are missing from the list stay.
     */
    public void applyList(JsonNode list) throws MalformedRosterException {
        JsonNode items = list.path("items");
        if (!items.isArray()) {
            throw new MalformedRosterException("items: not an array");
        }
        Map<String, List<RosterEntry>> parsed = new LinkedHashMap<>();
        MalformedRosterException malformed = null;
        for (JsonNode slice : items) {
            try {
                parsed.put(EndpointSliceParser.sliceName(slice), parser.parseExecutors(slice));
            } catch (MalformedRosterException e) {
                malformed = e;
            }
        }
        if (malformed != null) {
            slices.putAll(parsed);
            publish(false);
            throw malformed;
        }
        slices.clear();
        slices.putAll(parsed);
        resourceVersion = list.path("metadata").path("resourceVersion").asText("");
        publish(true);
    }

    /**
     * Applies one event of a watch (Kubernetes API concepts, "Efficient detection of changes"): ADDED, MODIFIED, DELETED or
     * BOOKMARK.
     *
     * @return false if the list must be fetched again before watching further: ERROR, usually 410 Gone
     */
    public boolean applyWatchEvent(JsonNode event) throws MalformedRosterException {
        JsonNode object = event.path("object");
        switch (event.path("type").asText("")) {
            case "ADDED", "MODIFIED" -> slices.put(EndpointSliceParser.sliceName(object), parser.parseExecutors(object));
            case "DELETED" -> slices.remove(EndpointSliceParser.sliceName(object));
            case "BOOKMARK" -> { }
            case "ERROR" -> {
                return false;
            }
            default -> throw new MalformedRosterException("type: not a watch event type");
        }
        resourceVersion = object.path("metadata").path("resourceVersion").asText(resourceVersion);
        publish(false);
        return true;
    }

    /**
     * Notifies the listener of the difference to what was published last.
     *
     * @param isFullList whether a complete list was applied
     */
    private void publish(boolean isFullList) {
        Map<String, RosterEntry> current = new LinkedHashMap<>();
        for (List<RosterEntry> entries : slices.values()) {
            for (RosterEntry entry : entries) {
                current.merge(entry.address(), entry, (a, b) -> a.state() == ExecutorState.READY ? a : b);
            }
        }
        List<RosterEntry> changed = new ArrayList<>();
        for (RosterEntry entry : current.values()) {
            if (!Objects.equals(published.get(entry.address()), entry)) {
                changed.add(entry);
            }
        }
        for (RosterEntry entry : published.values()) {
            if (!current.containsKey(entry.address())) {
                changed.add(entry.asRemoved());
            }
        }
        // The listener is notified first: if it fails, the same changes are published again with the next list.
        if (!fullRosterPublished || isFullList && !changed.isEmpty()) {
            listener.onRosterUpdate(RosterUpdateKind.FULL, List.copyOf(current.values()));
            fullRosterPublished = true;
        } else if (!changed.isEmpty()) {
            listener.onRosterUpdate(RosterUpdateKind.CHANGES, changed);
        }
        published.clear();
        published.putAll(current);
    }
}
