package gradereach.desk;

import gradereach.api.ExecutorListing;
import gradereach.api.ExecutorState;
import gradereach.api.RosterUpdateKind;
import gradereach.state.Executor;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The known executor endpoints, by instance name, by the router's executor id and by address. Only one process listens at an
 * address: an instance that is newly listed at an address has taken it over from the previous one, even where the roster
 * reports the end of the previous instance later or never.
 */
final class EndpointRegistry {
    /** Replaced instances that are remembered: as many as a large fleet replaces within minutes. */
    private static final int MAX_REPLACED = 10_000;

    private final ExecutorTransport transport;
    private final InferenceCoordinator.WallClock wallClock;
    private final Consumer<ExecutorEndpoint> onRemoved;
    private final Map<String, ExecutorEndpoint> byInstance = new LinkedHashMap<>();
    private final Map<Long, ExecutorEndpoint> byId = new HashMap<>();
    private final Map<String, ExecutorEndpoint> byAddress = new HashMap<>();
    /** The last roster entry of each instance whose address another one took over: the roster may repeat that entry. */
    private final Map<String, RosterEntry> replacedEntries = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RosterEntry> eldest) {
            return size() > MAX_REPLACED;
        }
    };

    /** @param onRemoved called once for each endpoint that is removed; has to set {@code removedAt} */
    EndpointRegistry(ExecutorTransport transport, InferenceCoordinator.WallClock wallClock, Consumer<ExecutorEndpoint> onRemoved) {
        this.transport = transport;
        this.wallClock = wallClock;
        this.onRemoved = onRemoved;
    }

    Collection<ExecutorEndpoint> all() {
        return byInstance.values();
    }

    ExecutorEndpoint endpointOf(Executor executor) {
        return byId.get(executor.id);
    }

    /** Applies a roster update; returns the listings for the router. */
    List<ExecutorListing> update(RosterUpdateKind kind, List<RosterEntry> entries) {
        if (kind != RosterUpdateKind.CHANGES && kind != RosterUpdateKind.FAILED) {
            Map<String, ExecutorEndpoint> missing = new LinkedHashMap<>(byInstance);
            entries.forEach(entry -> missing.remove(entry.instance()));
            missing.values().forEach(this::markRemoved);
        }
        List<RosterEntry> latest = latestOfEachInstance(entries);
        Map<String, RosterEntry> current = currentEntryByAddress(latest);
        List<ExecutorListing> listings = new ArrayList<>(latest.size());
        for (RosterEntry entry : latest) {
            if (listensAtAddress(entry) && current.get(entry.address()) != entry) {
                replacedEntries.put(entry.instance(), entry);
                apply(entry.asRemoved(), listings);
            } else {
                apply(entry, listings);
            }
        }
        return listings;
    }

    /** The entries without those of an earlier start of the same instance. */
    private static List<RosterEntry> latestOfEachInstance(List<RosterEntry> entries) {
        Map<String, Double> latestStarts = new HashMap<>();
        for (RosterEntry entry : entries) {
            if (listensAtAddress(entry)) {
                latestStarts.merge(entry.instance(), entry.startedAt(), Math::max);
            }
        }
        return entries.stream()
                .filter(entry -> !listensAtAddress(entry) || entry.startedAt() == latestStarts.get(entry.instance())).toList();
    }

    /** Whether the entry lists a process that listens at its address. */
    private static boolean listensAtAddress(RosterEntry entry) {
        return entry.state() != ExecutorState.REMOVED && !entry.address().isEmpty();
    }

    /** For each address, the entry whose process listens there. */
    private Map<String, RosterEntry> currentEntryByAddress(List<RosterEntry> entries) {
        Map<String, RosterEntry> current = new HashMap<>();
        for (RosterEntry entry : entries) {
            if (listensAtAddress(entry) && !wasReplaced(entry)) {
                current.merge(entry.address(), entry, this::laterStart);
            }
        }
        return current;
    }

    /** Whether another instance has taken over the address since the start given in the entry. */
    private boolean wasReplaced(RosterEntry entry) {
        RosterEntry previous = replacedEntries.get(entry.instance());
        ExecutorEndpoint endpointAtAddress = byAddress.get(entry.address());
        boolean takenOver = endpointAtAddress != null && !endpointAtAddress.isRemoved()
                && !endpointAtAddress.instance.equals(entry.instance());
        return takenOver && previous != null && previous.address().equals(entry.address()) && entry.startedAt() <= previous.startedAt();
    }

    /** The entry with the later start; with equal starts, the instance that was not at the address before. */
    private RosterEntry laterStart(RosterEntry one, RosterEntry other) {
        if (one.startedAt() != other.startedAt()) {
            return one.startedAt() > other.startedAt() ? one : other;
        }
        ExecutorEndpoint endpointAtAddress = byAddress.get(one.address());
        return endpointAtAddress != null && endpointAtAddress.instance.equals(other.instance()) ? one : other;
    }

    /** Applies one entry and adds the resulting listings. */
    private void apply(RosterEntry entry, List<ExecutorListing> listings) {
        ExecutorEndpoint endpoint = endpointFor(entry, listings);
        ExecutorEndpoint previous = listensAtAddress(entry) ? byAddress.put(endpoint.address, endpoint) : null;
        boolean takesOver = previous != null && previous != endpoint && !previous.isRemoved();
        if (takesOver) {
            replacedEntries.put(previous.instance, previous.rosterEntry);
            markRemoved(previous);
            listings.add(listing(previous, null));
        }
        if (endpoint.rosterEntry == null || endpoint.rosterEntry.startedAt() != entry.startedAt() || endpoint.isRemoved()) {
            endpoint.processIdentity.reset();
        }
        endpoint.rosterEntry = entry;
        endpoint.removedAt = entry.state() == ExecutorState.REMOVED ? endpoint.removedAt : Double.NaN;
        listings.add(listing(endpoint, takesOver ? previous.executor : null));
        if (entry.state() == ExecutorState.REMOVED) {
            markRemoved(endpoint);
        }
    }

    /** The endpoint of an instance; a new one where its address has changed, and nothing more is sent to the old one. */
    private ExecutorEndpoint endpointFor(RosterEntry entry, List<ExecutorListing> listings) {
        ExecutorEndpoint known = byInstance.get(entry.instance());
        if (known == null) {
            return add(new ExecutorEndpoint(entry.instance(), entry.address()), null);
        }
        if (entry.state() == ExecutorState.REMOVED || entry.address().isEmpty() || known.address.equals(entry.address())) {
            return known;
        }
        if (known.rosterEntry != null) {
            known.rosterEntry = known.rosterEntry.asRemoved();
            listings.add(listing(known, null)); // another address means another process
        }
        transport.closeWhenIdle(known);
        byAddress.remove(known.address, known);
        return add(new ExecutorEndpoint(entry.instance(), entry.address()), known.executor);
    }

    private ExecutorEndpoint add(ExecutorEndpoint endpoint, Executor executor) {
        endpoint.executor = executor != null ? executor : new Executor(endpoint.id);
        byInstance.put(endpoint.instance, endpoint);
        byId.put(endpoint.id, endpoint);
        return endpoint;
    }

    private void markRemoved(ExecutorEndpoint endpoint) {
        if (endpoint.rosterEntry != null) {
            endpoint.rosterEntry = endpoint.rosterEntry.asRemoved();
        }
        byAddress.remove(endpoint.address, endpoint);
        transport.closeWhenIdle(endpoint);
        if (Double.isNaN(endpoint.removedAt)) {
            onRemoved.accept(endpoint);
        }
    }

    /** Discards a removed endpoint. */
    void discardRemoved(ExecutorEndpoint endpoint) {
        if (byInstance.remove(endpoint.instance, endpoint)) {
            byId.remove(endpoint.id, endpoint);
        }
    }

    /** @param replaces the executor whose address this one has taken over, null for none */
    ExecutorListing listing(ExecutorEndpoint endpoint, Executor replaces) {
        RosterEntry entry = endpoint.rosterEntry;
        return new ExecutorListing(endpoint.executor, entry.capacity(), endpoint.startedAt(wallClock), entry.state(), entry.location(),
                entry.machineKind(), entry.cell(), replaces);
    }

    /**
     * The endpoint to send an outcome inquiry to; null where another instance now has the address.
     *
     * @param instance name of the instance; empty where it was not recorded
     */
    ExecutorEndpoint inquiryTarget(String instance, String address) {
        ExecutorEndpoint endpointAtAddress = byAddress.get(address);
        if (endpointAtAddress == null || endpointAtAddress.isRemoved()) {
            return new ExecutorEndpoint(instance, address);
        }
        return instance.isEmpty() || endpointAtAddress.instance.equals(instance) ? endpointAtAddress : null;
    }
}
