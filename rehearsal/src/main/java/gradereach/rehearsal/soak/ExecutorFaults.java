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

/** The executors of a soak, and what befalls them. Draws are made on the caller's thread. */
final class ExecutorFaults {
    private static final int EXECUTORS = 10;
    private static final int MAX_UNAVAILABLE = 5;
    private static final long DOWNTIME_MILLIS = 800;
    private static final int MIN_PROBE_DELAY_MILLIS = 2000;
    private static final int PROBE_DELAY_RANGE_MILLIS = 10_000;

    private final PeerEventLoops loops;
    private final RequestAuditor auditor;
    private final ChangelogServer changelog;
    private final RosterPublisher roster;
    private final BackgroundTasks tasks;
    private final List<FrameExecutor> executors = new CopyOnWriteArrayList<>();
    /** Numbers of those that drain, are down or are taken over. */
    private final Set<Integer> unavailable = ConcurrentHashMap.newKeySet();
    private final List<String> history;
    /** Processes that began with nothing loaded, and what was told of them. */
    private final Map<FrameExecutor, Takeover.Announcement> startedEmpty = new ConcurrentHashMap<>();
    private int nextId;

    /** @param history gets what takes time, as it happens */
    ExecutorFaults(PeerEventLoops loops, RequestAuditor auditor, ChangelogServer changelog, BackgroundTasks scripts, List<String> history) {
        this.loops = loops;
        this.auditor = auditor;
        this.changelog = changelog;
        roster = new RosterPublisher(changelog);
        this.tasks = scripts;
        this.history = history;
    }

    /** They start, and the change log tells the whole list. */
    void startExecutors(Random chance) throws InterruptedException {
        for (int i = 0; i < EXECUTORS; i++) {
            executors.add(new FrameExecutor(loops, auditor, "s-" + i, chance.nextLong()));
        }
        nextId = EXECUTORS;
        roster.publishInitial(executors);
    }

    /** Requests that came to processes without what they asked for, by what was told: a front end thought that it stood there. */
    Map<String, Integer> misses() {
        Map<String, Integer> misses = new TreeMap<>();
        startedEmpty.forEach((executor, telling) -> misses.merge(telling.name(), executor.missCount(), Integer::sum));
        return misses;
    }

    /** Whether it could be played. */
    boolean inject(SoakFault event, Random own) {
        int number = own.nextInt(executors.size());
        FrameExecutor executor = executors.get(number);
        switch (event) {
            case DRAIN -> {
                return drain(number, own);
            }
            case TAKEOVER -> {
                return takeOver(number, Takeover.draw(own));
            }
            case LATE_PROBES -> delayProbeAnswers(executor, own);
            case BAD_ANSWERS -> executor.faultRate = own.nextInt(3) == 0 ? 0 : own.nextDouble() * 0.4;
            case UNREAD -> executor.pauseReading(300 + own.nextInt(1500));
            default -> executor.resetConnections();
        }
        return true;
    }

    /** One of them, or all: the way back from all of them may be slow. */
    private void delayProbeAnswers(FrameExecutor one, Random own) {
        long lasts = MIN_PROBE_DELAY_MILLIS + own.nextInt(PROBE_DELAY_RANGE_MILLIS);
        boolean alone = own.nextBoolean();
        addToHistory((alone ? one.processName : "all") + " late with probes for " + lasts);
        if (alone) {
            one.delayProbeAnswersFor(lasts);
        } else {
            executors.forEach(executor -> executor.delayProbeAnswersFor(lasts));
        }
    }

    private boolean drain(int number, Random own) {
        if (unavailable.size() >= MAX_UNAVAILABLE || !unavailable.add(number)) {
            return false;
        }
        long stays = 2000 + own.nextInt(9000);
        tasks.start(() -> {
            FrameExecutor executor = executors.get(number);
            addToHistory(executor.processName + " drains at " + executor.address + " for " + stays);
            executor.startDraining();
            announceUnavailable(executor, () -> roster.publishState(executor, "draining"));
            Thread.sleep(stays);
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

    private boolean takeOver(int number, Takeover drawn) {
        if (unavailable.size() >= MAX_UNAVAILABLE || !unavailable.add(number)) {
            return false;
        }
        String name = "s-" + nextId++;
        tasks.start(() -> {
            FrameExecutor old = executors.get(number);
            old.delayAnswersFor(drawn.stalls());
            Thread.sleep(drawn.stalls());
            String id = drawn.telling() == Takeover.Announcement.SAME_ID ? old.instanceId : name;
            FrameExecutor next = old.replaceWith(id, drawn.seed(), drawn.lingers());
            executors.set(number, next);
            startedEmpty.put(next, drawn.telling());
            addToHistory(next.processName + " for " + old.processName + " at " + next.address + ": " + drawn);
            announceStart(drawn, old, next);
            unavailable.remove(number); // what befalls the new one may come before the end of the old one is told
            announceEnd(drawn, old);
        });
        return true;
    }

    private void announceStart(Takeover drawn, FrameExecutor old, FrameExecutor next) {
        switch (drawn.telling()) {
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
     * Where the end of the old one is told by nothing that can be read, it counts as told with what follows. That of one whose id
     * goes on is never told: nobody can tell a connection to it from one to the next.
     */
    private void announceEnd(Takeover drawn, FrameExecutor old) throws InterruptedException {
        switch (drawn.telling()) {
            case GONE_LATER, KEPT -> {
                Thread.sleep(drawn.pause());
                announceUnavailable(old, () -> roster.publishState(old, "gone"));
            }
            case UNREADABLE -> {
                Thread.sleep(drawn.pause());
                announceUnavailable(old, roster::publishFullList);
            }
            case GONE_FIRST, READY_FIRST, SAME_ID -> { }
        }
    }

    private void addToHistory(String what) {
        history.add(Math.round(loops.now()) + " " + what);
    }

    /** From now on it counts as told that the executor drains or has gone. */
    private Map<Integer, Long> announceUnavailable(FrameExecutor executor, Supplier<Map<Integer, Long>> telling) {
        auditor.executorDraining(executor.processName, changelog.deliveredAt(loops.now()));
        Map<Integer, Long> bytesByWatch = telling.get();
        auditor.drainAnnounced(executor.processName, bytesByWatch);
        return bytesByWatch;
    }

    /** It has just started, cold, and that is told. */
    private void announceColdStart(FrameExecutor executor, Supplier<Map<Integer, Long>> telling) {
        double now = loops.now();
        auditor.coldStartCheck.processStarted(executor.processName, now);
        auditor.coldStartCheck.startDelivered(executor.processName, changelog.deliveredAt(now), telling.get());
    }
}
