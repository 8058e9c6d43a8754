package gradereach.roster;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.api.RosterForm;
import gradereach.api.Standing;
import gradereach.desk.RosterLine;
import gradereach.roster.EndpointSlices.BadRoster;
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
public final class RosterBook {
    /** Goes to the desk: a form and its lines. */
    public interface Hearer {
        void hear(RosterForm form, List<RosterLine> lines);
    }

    private final EndpointSlices format;
    private final Hearer hearer;
    private final Map<String, List<RosterLine>> slices = new LinkedHashMap<>();
    private final Map<String, RosterLine> told = new LinkedHashMap<>();
    private boolean toldAll;
    private String version = "";

    public RosterBook(EndpointSlices format, Hearer hearer) {
        this.format = format;
        this.hearer = hearer;
    }

    /** The {@code resourceVersion} to watch from. */
    public String version() {
        return version;
    }

    public int size() {
        return told.size();
    }

    /**
     * A whole list ({@code EndpointSliceList}). Where a slice of it is bad, the good ones are used, since they may tell of
     * executors that drain, and whatever the list lacks stays as it was.
     */
    public void list(JsonNode list) throws BadRoster {
        JsonNode items = list.path("items");
        if (!items.isArray()) {
            throw new BadRoster("items: no list");
        }
        Map<String, List<RosterLine>> fresh = new LinkedHashMap<>();
        BadRoster bad = null;
        for (JsonNode slice : items) {
            try {
                fresh.put(EndpointSlices.name(slice), format.lines(slice));
            } catch (BadRoster e) {
                bad = e;
            }
        }
        if (bad != null) {
            slices.putAll(fresh);
            tell(false);
            throw bad;
        }
        slices.clear();
        slices.putAll(fresh);
        version = list.path("metadata").path("resourceVersion").asText("");
        tell(true);
    }

    /**
     * One event of a watch (API concepts, "Efficient detection of changes"): ADDED, MODIFIED, DELETED, BOOKMARK.
     *
     * @return false where the watch must be begun anew with a list: ERROR, most often 410 Gone
     */
    public boolean watched(JsonNode event) throws BadRoster {
        JsonNode object = event.path("object");
        switch (event.path("type").asText("")) {
            case "ADDED", "MODIFIED" -> slices.put(EndpointSlices.name(object), format.lines(object));
            case "DELETED" -> slices.remove(EndpointSlices.name(object));
            case "BOOKMARK" -> { }
            case "ERROR" -> {
                return false;
            }
            default -> throw new BadRoster("type: none of the watch's");
        }
        version = object.path("metadata").path("resourceVersion").asText(version);
        tell(false);
        return true;
    }

    private void tell(boolean all) {
        Map<String, RosterLine> wanted = new LinkedHashMap<>();
        for (List<RosterLine> lines : slices.values()) {
            for (RosterLine line : lines) {
                wanted.merge(line.address(), line, (a, b) -> a.standing() == Standing.READY ? a : b);
            }
        }
        List<RosterLine> changed = new ArrayList<>();
        for (RosterLine line : wanted.values()) {
            if (!Objects.equals(told.get(line.address()), line)) {
                changed.add(line);
            }
        }
        for (RosterLine line : told.values()) {
            if (!wanted.containsKey(line.address())) {
                changed.add(line.gone());
            }
        }
        // Told first: where the hearer fails, it is told again with the next list.
        if (!toldAll || all && !changed.isEmpty()) {
            hearer.hear(RosterForm.FULL, List.copyOf(wanted.values()));
            toldAll = true;
        } else if (!changed.isEmpty()) {
            hearer.hear(RosterForm.CHANGES, changed);
        }
        told.clear();
        told.putAll(wanted);
    }
}
