package gradereach.roster;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
import gradereach.desk.RosterEntry;
import gradereach.roster.EndpointSliceParser.MalformedRosterException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * What the roster says now, kept by slices, told on by differences. An executor may move from one slice to another,
 * or stand in two for a while: it is gone only when no slice names it, and ready only if one says so.
 *
 * Lists replace all; a watch's events replace slices. What is wanted is the union of the slices; {@link #tell} works
 * out the difference to what was told last. A bad slice changes nothing: its earlier self stays.
 */
public final class RosterTracker {
    /** Goes to the desk: a form and its lines. */
    public interface RosterUpdateListener {
        void onRosterUpdate(RosterUpdateKind form, List<RosterEntry> lines);
    }

    private final EndpointSliceParser parser;
    private final RosterUpdateListener listener;
    private final Map<String, List<RosterEntry>> slices = new LinkedHashMap<>();
    private final Map<String, RosterEntry> published = new LinkedHashMap<>();
    private boolean fullRosterPublished;
    private String resourceVersion = "";

    public RosterTracker(EndpointSliceParser format, RosterUpdateListener hearer) {
        this.parser = format;
        this.listener = hearer;
    }

    /** The {@code resourceVersion} to watch from. */
    public String resourceVersion() {
        return resourceVersion;
    }

    public int size() {
        return published.size();
    }

    /**
     * A whole list ({@code EndpointSliceList}). Where a slice of it is bad, the good ones are used, since they may tell of
     * executors that drain, and whatever the list lacks stays as it was.
     */
    public void applyList(JsonNode list) throws MalformedRosterException {
        JsonNode items = list.path("items");
        if (!items.isArray()) {
            throw new MalformedRosterException("items: no list");
        }
        Map<String, List<RosterEntry>> fresh = new LinkedHashMap<>();
        MalformedRosterException bad = null;
        for (JsonNode slice : items) {
            try {
                fresh.put(EndpointSliceParser.sliceName(slice), parser.parseExecutors(slice));
            } catch (MalformedRosterException e) {
                bad = e;
            }
        }
        if (bad != null) {
            slices.putAll(fresh);
            publish(false);
            throw bad;
        }
        slices.clear();
        slices.putAll(fresh);
        resourceVersion = list.path("metadata").path("resourceVersion").asText("");
        publish(true);
    }

    /**
     * One event of a watch (API concepts, "Efficient detection of changes"): ADDED, MODIFIED, DELETED, BOOKMARK.
     *
     * @return false where the watch must be begun anew with a list: ERROR, most often 410 Gone
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
            default -> throw new MalformedRosterException("type: none of the watch's");
        }
        resourceVersion = object.path("metadata").path("resourceVersion").asText(resourceVersion);
        publish(false);
        return true;
    }

    private void publish(boolean all) {
        Map<String, RosterEntry> wanted = new LinkedHashMap<>();
        for (List<RosterEntry> lines : slices.values()) {
            for (RosterEntry line : lines) {
                wanted.merge(line.address(), line, (a, b) -> a.state() == ExecutorState.READY ? a : b);
            }
        }
        List<RosterEntry> changed = new ArrayList<>();
        for (RosterEntry line : wanted.values()) {
            if (!Objects.equals(published.get(line.address()), line)) {
                changed.add(line);
            }
        }
        for (RosterEntry line : published.values()) {
            if (!wanted.containsKey(line.address())) {
                changed.add(line.asRemoved());
            }
        }
        // Told first: where the hearer fails, it is told again with the next list.
        if (!fullRosterPublished || all && !changed.isEmpty()) {
            listener.onRosterUpdate(RosterUpdateKind.FULL, List.copyOf(wanted.values()));
            fullRosterPublished = true;
        } else if (!changed.isEmpty()) {
            listener.onRosterUpdate(RosterUpdateKind.CHANGES, changed);
        }
        published.clear();
        published.putAll(wanted);
    }
}
