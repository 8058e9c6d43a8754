package gradereach.rehearsal.soak;

import gradereach.standins.frames.ChangelogServer;
import gradereach.standins.frames.FrameExecutor;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The list of executors as it should be known, and its telling by the change log. Any thread. */
final class RosterPublisher {
    private final ChangelogServer changelog;
    private final Map<String, String> listedInstances = new LinkedHashMap<>();

    /** One instance of an event. */
    private record InstanceEntry(String instance, String json, boolean removed) { }

    RosterPublisher(ChangelogServer changelog) {
        this.changelog = changelog;
    }

    private static InstanceEntry createEntry(FrameExecutor executor, String state, long startedAt) {
        return new InstanceEntry(executor.instanceId, ChangelogServer.instanceJson(executor.instanceId, executor.address, state, startedAt),
                state.equals("gone"));
    }

    private String applyAndJoin(Stream<InstanceEntry> lines) {
        return lines.peek(line -> {
            if (line.removed) {
                listedInstances.remove(line.instance);
            } else {
                listedInstances.put(line.instance, line.json);
            }
        }).map(InstanceEntry::json).collect(Collectors.joining(","));
    }

    /** They are ready, and nothing else is there. */
    synchronized void publishInitial(List<FrameExecutor> executors) {
        changelog.publish(applyAndJoin(executors.stream().map(executor -> createEntry(executor, "ready", 0))), true);
    }

    /** Returns what was written with the event, as the change log does. */
    synchronized Map<Integer, Long> publishState(FrameExecutor executor, String state) {
        return changelog.publish(applyAndJoin(Stream.of(createEntry(executor, state, 0))), false);
    }

    /** One that has just started is ready. */
    synchronized Map<Integer, Long> publishStarted(FrameExecutor executor) {
        return changelog.publish(applyAndJoin(Stream.of(createEntry(executor, "ready", System.currentTimeMillis()))), false);
    }

    /** One has started, then another has gone, in one event. */
    synchronized Map<Integer, Long> publishReplacement(FrameExecutor old, FrameExecutor next) {
        return changelog.publish(applyAndJoin(Stream.of(createEntry(next, "ready", System.currentTimeMillis()), createEntry(old, "gone", 0))), false);
    }

    /** One has started, told by a whole list in which the other is still ready. */
    synchronized Map<Integer, Long> publishStartedInFullList(FrameExecutor next) {
        applyAndJoin(Stream.of(createEntry(next, "ready", System.currentTimeMillis())));
        return publishFullList();
    }

    /** One has gone, told by an event that nobody can read. */
    synchronized void publishUnreadableRemoval(FrameExecutor executor) {
        changelog.publishTruncated(applyAndJoin(Stream.of(createEntry(executor, "gone", 0))));
    }

    /** The whole list. */
    synchronized Map<Integer, Long> publishFullList() {
        return changelog.publish(String.join(",", listedInstances.values()), true);
    }
}
