package gradereach.rehearsal.soak;

import gradereach.standins.frames.ChangelogServer;
import gradereach.standins.frames.FrameExecutor;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Keeps the expected list of executors and publishes its changes by the change log. Thread-safe. */
final class RosterPublisher {
    private final ChangelogServer changelog;
    private final Map<String, String> listedInstances = new LinkedHashMap<>();

    /** An instance in an event of the change log. */
    private record InstanceEntry(String instance, String json, boolean removed) { }

    RosterPublisher(ChangelogServer changelog) {
        this.changelog = changelog;
    }

    /** @param startedAt Unix time in milliseconds; 0 where the start is not reported */
    private static InstanceEntry createEntry(FrameExecutor executor, String state, long startedAt) {
        return new InstanceEntry(executor.instanceId, ChangelogServer.instanceJson(executor.instanceId, executor.address, state, startedAt),
                state.equals("gone"));
    }

    /** Applies the entries to the expected list and returns them as the JSON of one event. */
    private String applyAndJoin(Stream<InstanceEntry> entries) {
        return entries.peek(entry -> {
            if (entry.removed) {
                listedInstances.remove(entry.instance);
            } else {
                listedInstances.put(entry.instance, entry.json);
            }
        }).map(InstanceEntry::json).collect(Collectors.joining(","));
    }

    /** Publishes the full list: these executors, all ready. */
    synchronized void publishInitial(List<FrameExecutor> executors) {
        changelog.publish(applyAndJoin(executors.stream().map(executor -> createEntry(executor, "ready", 0))), true);
    }

    /** Publishes a state of an executor. Like all methods here that return a map, it returns what {@link ChangelogServer#publish} does. */
    synchronized Map<Integer, Long> publishState(FrameExecutor executor, String state) {
        return changelog.publish(applyAndJoin(Stream.of(createEntry(executor, state, 0))), false);
    }

    /** Publishes an executor that has just started as ready. */
    synchronized Map<Integer, Long> publishStarted(FrameExecutor executor) {
        return changelog.publish(applyAndJoin(Stream.of(createEntry(executor, "ready", System.currentTimeMillis()))), false);
    }

    /** Publishes in one event that an executor has started and then that another was removed. */
    synchronized Map<Integer, Long> publishReplacement(FrameExecutor old, FrameExecutor next) {
        return changelog.publish(applyAndJoin(Stream.of(createEntry(next, "ready", System.currentTimeMillis()),
                createEntry(old, "gone", 0))), false);
    }

    /** Publishes a started executor by a full list in which the one it replaces is still ready. */
    synchronized Map<Integer, Long> publishStartedInFullList(FrameExecutor next) {
        applyAndJoin(Stream.of(createEntry(next, "ready", System.currentTimeMillis())));
        return publishFullList();
    }

    /** Publishes a removal by a truncated event that no front end can read. */
    synchronized void publishUnreadableRemoval(FrameExecutor executor) {
        changelog.publishTruncated(applyAndJoin(Stream.of(createEntry(executor, "gone", 0))));
    }

    /** Publishes the full list. */
    synchronized Map<Integer, Long> publishFullList() {
        return changelog.publish(String.join(",", listedInstances.values()), true);
    }
}
