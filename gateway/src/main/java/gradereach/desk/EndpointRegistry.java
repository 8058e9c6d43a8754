package gradereach.desk;

import gradereach.api.ExecutorListing;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
import gradereach.state.Executor;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Where executors are met, by the instance's name, by the module's number and by address. One process listens at an address
 * at a time: an instance that discovery tells there has taken it over from the one before, whose end discovery may tell
 * later or never.
 */
final class EndpointRegistry {
    /** Instances remembered to have lost their address: as many as a large fleet replaces within minutes. */
    private static final int MAX_REPLACED = 10_000;

    private final ExecutorTransport transport;
    private final InferenceCoordinator.WallClock wallClock;
    private final Consumer<ExecutorEndpoint> onRemoved;
    private final Map<String, ExecutorEndpoint> byInstance = new LinkedHashMap<>();
    private final Map<Long, ExecutorEndpoint> byId = new HashMap<>();
    private final Map<String, ExecutorEndpoint> byAddress = new HashMap<>();
    /** Discovery's last line of instances whose address another one took over: it may be told once more. */
    private final Map<String, RosterEntry> replaced = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RosterEntry> eldest) {
            return size() > MAX_REPLACED;
        }
    };

    /** @param whenGone told once of each place that has gone; sets since when */
    EndpointRegistry(ExecutorTransport links, InferenceCoordinator.WallClock wall, Consumer<ExecutorEndpoint> whenGone) {
        this.transport = links;
        this.wallClock = wall;
        this.onRemoved = whenGone;
    }

    Collection<ExecutorEndpoint> all() {
        return byInstance.values();
    }

    ExecutorEndpoint endpointOf(Executor executor) {
        return byId.get(executor.id);
    }

    /** Takes in what discovery tells; returns what the module is to hear of it. */
    List<ExecutorListing> update(RosterUpdateKind form, List<RosterEntry> lines) {
        if (form != RosterUpdateKind.CHANGES && form != RosterUpdateKind.FAILED) {
            Map<String, ExecutorEndpoint> missing = new LinkedHashMap<>(byInstance);
            lines.forEach(line -> missing.remove(line.instance()));
            missing.values().forEach(this::markRemoved);
        }
        List<RosterEntry> latest = latestOfEachInstance(lines);
        Map<String, RosterEntry> present = currentEntryByAddress(latest);
        List<ExecutorListing> listings = new ArrayList<>(latest.size());
        for (RosterEntry line : latest) {
            if (claimsAddress(line) && present.get(line.address()) != line) {
                replaced.put(line.instance(), line);
                apply(line.asRemoved(), listings);
            } else {
                apply(line, listings);
            }
        }
        return listings;
    }

    /** Without lines of a start before the latest that is told of the same instance. */
    private static List<RosterEntry> latestOfEachInstance(List<RosterEntry> lines) {
        Map<String, Double> starts = new HashMap<>();
        for (RosterEntry line : lines) {
            if (claimsAddress(line)) {
                starts.merge(line.instance(), line.startedAt(), Math::max);
            }
        }
        return lines.stream().filter(line -> !claimsAddress(line) || line.startedAt() == starts.get(line.instance())).toList();
    }

    private static boolean claimsAddress(RosterEntry line) {
        return line.state() != ExecutorState.REMOVED && !line.address().isEmpty();
    }

    /** Of lines that have the same address, the one whose process listens there. */
    private Map<String, RosterEntry> currentEntryByAddress(List<RosterEntry> lines) {
        Map<String, RosterEntry> present = new HashMap<>();
        for (RosterEntry line : lines) {
            if (claimsAddress(line) && !wasReplaced(line)) {
                present.merge(line.address(), line, this::laterStart);
            }
        }
        return present;
    }

    /** Whether another instance has had this one's address since that start of it. */
    private boolean wasReplaced(RosterEntry line) {
        RosterEntry before = replaced.get(line.instance());
        ExecutorEndpoint holder = byAddress.get(line.address());
        boolean taken = holder != null && !holder.isRemoved() && !holder.instance.equals(line.instance());
        return taken && before != null && before.address().equals(line.address()) && line.startedAt() <= before.startedAt();
    }

    /** The later start; where the starts tell nothing, the instance that was not met there before. */
    private RosterEntry laterStart(RosterEntry one, RosterEntry other) {
        if (one.startedAt() != other.startedAt()) {
            return one.startedAt() > other.startedAt() ? one : other;
        }
        ExecutorEndpoint holder = byAddress.get(one.address());
        return holder != null && holder.instance.equals(other.instance()) ? one : other;
    }

    private void apply(RosterEntry line, List<ExecutorListing> listings) {
        ExecutorEndpoint place = endpointFor(line, listings);
        ExecutorEndpoint before = claimsAddress(line) ? byAddress.put(place.address, place) : null;
        boolean takesOver = before != null && before != place && !before.isRemoved();
        if (takesOver) {
            replaced.put(before.instance, before.rosterEntry);
            markRemoved(before);
            listings.add(listing(before, null));
        }
        if (place.rosterEntry == null || place.rosterEntry.startedAt() != line.startedAt() || place.isRemoved()) {
            place.processIdentity.reset();
        }
        place.rosterEntry = line;
        place.removedAt = line.state() == ExecutorState.REMOVED ? place.removedAt : Double.NaN;
        listings.add(listing(place, takesOver ? before.executor : null));
        if (line.state() == ExecutorState.REMOVED) {
            markRemoved(place);
        }
    }

    /** Its place, or a new one where discovery has it at another address now: nothing more goes to the old one. */
    private ExecutorEndpoint endpointFor(RosterEntry line, List<ExecutorListing> listings) {
        ExecutorEndpoint known = byInstance.get(line.instance());
        if (known == null) {
            return add(new ExecutorEndpoint(line.instance(), line.address()), null);
        }
        if (line.state() == ExecutorState.REMOVED || line.address().isEmpty() || known.address.equals(line.address())) {
            return known;
        }
        if (known.rosterEntry != null) {
            known.rosterEntry = known.rosterEntry.asRemoved();
            listings.add(listing(known, null)); // another address is another process
        }
        transport.closeWhenIdle(known);
        byAddress.remove(known.address, known);
        return add(new ExecutorEndpoint(line.instance(), line.address()), known.executor);
    }

    private ExecutorEndpoint add(ExecutorEndpoint place, Executor executor) {
        place.executor = executor != null ? executor : new Executor(place.id);
        byInstance.put(place.instance, place);
        byId.put(place.id, place);
        return place;
    }

    private void markRemoved(ExecutorEndpoint place) {
        if (place.rosterEntry != null) {
            place.rosterEntry = place.rosterEntry.asRemoved();
        }
        byAddress.remove(place.address, place);
        transport.closeWhenIdle(place);
        if (Double.isNaN(place.removedAt)) {
            onRemoved.accept(place);
        }
    }

    /** Lets go of a place that has gone. */
    void discardRemoved(ExecutorEndpoint place) {
        if (byInstance.remove(place.instance, place)) {
            byId.remove(place.id, place);
        }
    }

    ExecutorListing listing(ExecutorEndpoint place, Executor replaces) {
        RosterEntry line = place.rosterEntry;
        return new ExecutorListing(place.executor, line.size(), place.startedAt(wallClock), line.state(), line.location(), line.kind(),
                line.cell(), replaces);
    }

    /**
     * Where the executor can be asked that was met at that address, null where another one is there now.
     *
     * @param instance its name; empty where it was not recorded
     */
    ExecutorEndpoint inquiryTarget(String instance, String address) {
        ExecutorEndpoint holder = byAddress.get(address);
        if (holder == null || holder.isRemoved()) {
            return new ExecutorEndpoint(instance, address);
        }
        return instance.isEmpty() || holder.instance.equals(instance) ? holder : null;
    }
}
