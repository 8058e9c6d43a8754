package gradereach.rehearsal.soak;

import gradereach.standins.frames.ChangelogServer;
import gradereach.standins.frames.FrameExecutor;
import gradereach.standins.frames.PeerEventLoops;
import gradereach.standins.frames.RequestAuditor;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/** The executors of a soak and the faults that are injected there. Random draws are made on the caller's thread. */
final class ExecutorFaults {
    private static final int EXECUTORS = 10;
    private static final int MAX_UNAVAILABLE = 5;
    private static final long DOWNTIME_MILLIS = 800;
    private static final int MIN_PROBE_DELAY_MILLIS = 2000;
    private static final int PROBE_DELAY_RANGE_MILLIS = 10_000;
    private static final int MIN_DRAIN_MILLIS = 2000;
    private static final int DRAIN_RANGE_MILLIS = 9000;
    private static final int MIN_READ_PAUSE_MILLIS = 300;
    private static final int READ_PAUSE_RANGE_MILLIS = 1500;
    private static final double MAX_FAULT_RATE = 0.4;

    private final PeerEventLoops loops;
    private final RequestAuditor auditor;
    private final ChangelogServer changelog;
    private final RosterPublisher roster;
    private final BackgroundTasks tasks;
    private final List<FrameExecutor> executors = new CopyOnWriteArrayList<>();
    /** Numbers of the executors that drain, are down or are being replaced. */
    private final Set<Integer> unavailable = ConcurrentHashMap.newKeySet();
    private final List<String> history;
    /** Processes that replaced another one with nothing loaded, and how that was announced. */
    private final Map<FrameExecutor, Takeover.Announcement> startedEmpty = new ConcurrentHashMap<>();
    private int nextId;

    /** @param history gets the faults that last for a while, with their times */
    ExecutorFaults(PeerEventLoops loops, RequestAuditor auditor, ChangelogServer changelog, BackgroundTasks tasks, List<String> history) {
        this.loops = loops;
        this.auditor = auditor;
        this.changelog = changelog;
        roster = new RosterPublisher(changelog);
        this.tasks = tasks;
        this.history = history;
    }

    /** Starts the executors and publishes the full list by the change log. */
    void startExecutors(Random random) throws InterruptedException {
        for (int i = 0; i < EXECUTORS; i++) {
            executors.add(new FrameExecutor(loops, auditor, "s-" + i, random.nextLong()));
        }
        nextId = EXECUTORS;
        roster.publishInitial(executors);
    }

    /**
     * Counts the requests that reached a new process without their model, as a front end took the model for loaded there. The
     * key tells how the takeover was announced.
     */
    Map<String, Integer> missesByAnnouncement() {
        Map<String, Integer> misses = new TreeMap<>();
        startedEmpty.forEach((executor, announcement) -> misses.merge(announcement.name(), executor.missCount(), Integer::sum));
        return misses;
    }

    /** Injects a fault at a random executor; returns whether that was possible. */
    boolean inject(SoakFault fault, Random random) {
        int number = random.nextInt(executors.size());
        FrameExecutor executor = executors.get(number);
        switch (fault) {
            case DRAIN -> {
                return drain(number, random);
            }
            case TAKEOVER -> {
                return takeOver(number, Takeover.draw(random));
            }
            case LATE_PROBES -> delayProbeAnswers(executor, random);
            case BAD_ANSWERS -> executor.faultRate = random.nextInt(3) == 0 ? 0 : random.nextDouble() * MAX_FAULT_RATE;
            case UNREAD -> executor.pauseReading(MIN_READ_PAUSE_MILLIS + random.nextInt(READ_PAUSE_RANGE_MILLIS));
            default -> executor.resetConnections();
        }
        return true;
    }

    /** Delays the probe answers of one executor, or of all of them, as a slow network from them would. */
    private void delayProbeAnswers(FrameExecutor selected, Random random) {
        long durationMillis = MIN_PROBE_DELAY_MILLIS + random.nextInt(PROBE_DELAY_RANGE_MILLIS);
        boolean onlyOne = random.nextBoolean();
        addToHistory((onlyOne ? selected.processName : "all") + " late with probes for " + durationMillis);
        if (onlyOne) {
            selected.delayProbeAnswersFor(durationMillis);
        } else {
            executors.forEach(executor -> executor.delayProbeAnswersFor(durationMillis));
        }
    }

    private boolean drain(int number, Random random) {
        if (unavailable.size() >= MAX_UNAVAILABLE || !unavailable.add(number)) {
            return false;
        }
        long drainMillis = MIN_DRAIN_MILLIS + random.nextInt(DRAIN_RANGE_MILLIS);
        tasks.start(() -> {
            FrameExecutor executor = executors.get(number);
            addToHistory(executor.processName + " drains at " + executor.address + " for " + drainMillis);
            executor.startDraining();
            announceUnavailable(executor, () -> roster.publishState(executor, "draining"));
            Thread.sleep(drainMillis);
            executor.stop();
            roster.publishState(executor, "gone");
            Thread.sleep(DOWNTIME_MILLIS);
            auditor.executorReturned(executor.processName);
            executor.restart();
            announceColdStart(executor, () -> roster.publishStarted(executor));
            unavailable.remove(number);
        });
        return true;
    }

    private boolean takeOver(int number, Takeover takeover) {
        if (unavailable.size() >= MAX_UNAVAILABLE || !unavailable.add(number)) {
            return false;
        }
        String name = "s-" + nextId++;
        tasks.start(() -> {
            FrameExecutor old = executors.get(number);
            old.delayAnswersFor(takeover.stalls());
            Thread.sleep(takeover.stalls());
            String id = takeover.telling() == Takeover.Announcement.SAME_ID ? old.instanceId : name;
            FrameExecutor next = old.replaceWith(id, takeover.seed(), takeover.lingers());
            executors.set(number, next);
            startedEmpty.put(next, takeover.telling());
            addToHistory(next.processName + " for " + old.processName + " at " + next.address + ": " + takeover);
            announceStart(takeover, old, next);
            unavailable.remove(number); // the new one may get a fault before the end of the old one is announced
            announceEnd(takeover, old);
        });
        return true;
    }

    private void announceStart(Takeover takeover, FrameExecutor old, FrameExecutor next) {
        switch (takeover.telling()) {
            case GONE_FIRST -> {
                announceUnavailable(old, () -> roster.publishState(old, "gone"));
                announceColdStart(next, () -> roster.publishStarted(next));
            }
            case READY_FIRST -> announceColdStart(next, () -> announceUnavailable(old, () -> roster.publishReplacement(old, next)));
            case KEPT -> announceColdStart(next, () -> roster.publishStartedInFullList(next));
            case UNREADABLE -> {
                announceColdStart(next, () -> roster.publishStarted(next));
                roster.publishUnreadableRemoval(old);
            }
            case GONE_LATER, SAME_ID -> announceColdStart(next, () -> roster.publishStarted(next));
        }
    }

    /**
     * Announces the end of the old process. If the event about it is unreadable, the end counts as announced by the full list
     * that follows. If the new process has the same id, the end is never announced, since the connections to the two processes
     * cannot be told apart.
     */
    private void announceEnd(Takeover takeover, FrameExecutor old) throws InterruptedException {
        switch (takeover.telling()) {
            case GONE_LATER, KEPT -> {
                Thread.sleep(takeover.pause());
                announceUnavailable(old, () -> roster.publishState(old, "gone"));
            }
            case UNREADABLE -> {
                Thread.sleep(takeover.pause());
                announceUnavailable(old, roster::publishFullList);
            }
            case GONE_FIRST, READY_FIRST, SAME_ID -> { }
        }
    }

    /** Adds a fault with the time of its start. */
    private void addToHistory(String description) {
        history.add(Math.round(loops.now()) + " " + description);
    }

    /** Publishes that the executor drains or was removed, and records it with the auditor. */
    private Map<Integer, Long> announceUnavailable(FrameExecutor executor, Supplier<Map<Integer, Long>> publish) {
        auditor.executorDraining(executor.processName, changelog.deliveredAt(loops.now()));
        Map<Integer, Long> bytesByWatch = publish.get();
        auditor.drainAnnounced(executor.processName, bytesByWatch);
        return bytesByWatch;
    }

    /** Records a cold start with the auditor and publishes it. */
    private void announceColdStart(FrameExecutor executor, Supplier<Map<Integer, Long>> publish) {
        double now = loops.now();
        auditor.coldStartCheck.processStarted(executor.processName, now);
        auditor.coldStartCheck.startDelivered(executor.processName, changelog.deliveredAt(now), publish.get());
    }
}
