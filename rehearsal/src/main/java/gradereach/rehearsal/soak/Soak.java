package gradereach.rehearsal.soak;

import gradereach.rehearsal.ChildProcesses;
import gradereach.standins.faults.FaultShim;
import gradereach.standins.faults.SystemFault;
import gradereach.standins.frames.ChangelogServer;
import gradereach.standins.frames.ColdStartCheck;
import gradereach.standins.frames.FrontEndConnectionLog;
import gradereach.standins.frames.Outage;
import gradereach.standins.frames.PeerEventLoops;
import gradereach.standins.frames.RequestAuditor;
import gradereach.standins.frames.RequestClient;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Runs one soak. All random draws are made on the thread that runs it, so that a seed gives the same faults in the same
 * order; what takes time is carried out by background tasks.
 */
public final class Soak implements AutoCloseable {
    private static final int CLIENTS_PER_FRONT_END = 6;
    private static final double DRAIN_GRACE_MILLIS = 500;
    /**
     * The values of rule 4 in front-end.json.template. The last one is the mean time in milliseconds that executors take for a
     * request.
     */
    private static final ColdStartCheck.ColdStartParameters COLD_START_PARAMETERS =
            new ColdStartCheck.ColdStartParameters(0.2, 17_000, 3, 3000, 24.5);
    /** The longest deadline in front-end.json.template. */
    private static final long MAX_DEADLINE_MILLIS = 1500;
    /** How long beyond the longest deadline a front end may take to exit after SIGTERM before it is killed. */
    private static final long TERMINATION_GRACE_MILLIS = 700;
    private static final long FINAL_ANSWERS_WAIT_MILLIS = 2500;
    private static final long KILL_TIMEOUT_MILLIS = 800;
    /** How long a front end gets no further fault after one of its own. */
    private static final long RECOVERY_MILLIS = 800;
    private static final int MIN_OUTAGE_MILLIS = 3000;
    private static final int OUTAGE_RANGE_MILLIS = 12_000;
    private static final int MIN_SUSPENSION_MILLIS = 300;
    private static final int SUSPENSION_RANGE_MILLIS = 4000;
    private static final int MAX_RELOADS = 4;
    private static final int MAX_RELOAD_PAUSE_MILLIS = 120;
    private static final int MIN_SILENT_CONNECTIONS = 20;
    private static final int SILENT_CONNECTIONS_RANGE = 250;
    private static final int MIN_SILENCE_MILLIS = 300;
    private static final int SILENCE_RANGE_MILLIS = 2000;
    private static final int MIN_PAUSE_MILLIS = 200;
    private static final int PAUSE_RANGE_MILLIS = 1500;
    private static final int CHANGELOG_COUNT = 2;
    /** Covers the longest tasks: an outage of 15 s, the start of a front end of 30 s. */
    private static final int MAX_TASK_SECONDS = 60;

    /** The faults to draw from; one that is listed twice is drawn twice as often. */
    private static final SoakFault[] INJECTED_FAULTS = {SoakFault.OUTAGE, SoakFault.DRAIN, SoakFault.DRAIN, SoakFault.TAKEOVER,
        SoakFault.TAKEOVER, SoakFault.STANDSTILL, SoakFault.TERMINATION, SoakFault.KILL, SoakFault.RELOAD, SoakFault.CROWD,
        SoakFault.BAD_ANSWERS, SoakFault.LATE_PROBES, SoakFault.LATE_PROBES, SoakFault.UNREAD, SoakFault.RESET};

    private final SoakPlan plan;
    private final Path folder;
    private final Random random;
    private final FaultShim shim;
    private final PeerEventLoops loops = new PeerEventLoops();
    private final RequestAuditor auditor = new RequestAuditor(DRAIN_GRACE_MILLIS, loops.lagIntervals(), COLD_START_PARAMETERS);
    private final ChangelogServer changelog;
    private final List<SoakFrontEnd> servingFrontEnds = Collections.synchronizedList(new ArrayList<>());
    /** Front ends with a running fault of their own; no second fault is injected there meanwhile. */
    private final Set<SoakFrontEnd> busyFrontEnds = ConcurrentHashMap.newKeySet();
    private final List<SoakFrontEnd> allFrontEnds = Collections.synchronizedList(new ArrayList<>());
    private final List<String> crashes = Collections.synchronizedList(new ArrayList<>());
    private final Map<SoakFault, Long> faultCounts = new EnumMap<>(SoakFault.class);
    /** The timeout is 0: processes that still run when the soak ends are killed at once. */
    private final ChildProcesses processes = new ChildProcesses(0);
    private final List<String> history = Collections.synchronizedList(new ArrayList<>());
    private final BackgroundTasks tasks = new BackgroundTasks(crashes::add);
    private final ExecutorFaults executorFaults;
    private volatile boolean changelogUnavailable;
    private final List<TimeRange> outages = Collections.synchronizedList(new ArrayList<>());
    /** The number of the next front end. */
    private int startedCount;

    private record TimeRange(double from, double to) {
        boolean contains(double time) {
            return from <= time && time < to;
        }
    }

    /**
     * Prepares a soak.
     *
     * @param folder gets configurations, fault counts and the compiled shim
     */
    public Soak(SoakPlan plan, Path folder) throws IOException, InterruptedException {
        this.plan = plan;
        this.folder = folder;
        random = new Random(plan.seed());
        shim = FaultShim.compile(folder);
        changelog = new ChangelogServer(loops, CHANGELOG_COUNT);
        executorFaults = new ExecutorFaults(loops, auditor, changelog, tasks, history);
    }

    /** Runs the soak to its end. */
    public SoakReport run() throws IOException, InterruptedException {
        executorFaults.startExecutors(random);
        for (int i = 0; i < plan.frontEndCount(); i++) {
            startFrontEnd(drawStartParameters());
        }
        double startTime = loops.now();
        double endTime = startTime + TimeUnit.SECONDS.toMillis(plan.seconds());
        while (loops.now() < endTime) {
            Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(PAUSE_RANGE_MILLIS));
            inject(INJECTED_FAULTS[random.nextInt(INJECTED_FAULTS.length)], new Random(random.nextLong()));
        }
        if (!tasks.awaitCompletion(MAX_TASK_SECONDS)) {
            crashes.add("the soak itself: its background tasks did not finish in time");
        }
        return finish(startTime);
    }

    private SoakReport finish(double startTime) throws IOException, InterruptedException {
        double clientsStoppedAt = loops.now();
        allFrontEnds.forEach(frontEnd -> frontEnd.clients().forEach(RequestClient::stop));
        Thread.sleep(FINAL_ANSWERS_WAIT_MILLIS);
        for (SoakFrontEnd frontEnd : allFrontEnds) {
            String crash = frontEnd.process().crashReport();
            if (crash != null) {
                crashes.add(crash);
            }
            addFaultCounts(frontEnd);
            auditor.addConnectionLog(frontEnd.process().address, new FrontEndConnectionLog(frontEnd.process().connectionEvents(),
                    loops, changelog.ports(), changelog.resyncRequests()));
        }
        double successRate = auditor.successRate(time -> time >= startTime && time < clientsStoppedAt && !inOutage(time));
        List<RequestAuditor.Finding> findings = auditor.findings(clientsStoppedAt);
        return new SoakReport(auditor.requestCount(), successRate, auditor.successRate(this::inOutage), findings,
                auditor.inconclusiveFindings(), auditor.allowanceCounts(), List.copyOf(crashes), new TreeMap<>(faultCounts),
                systemFaults(), loops.longestLagMillis(),
                auditor.coldStartCheck.highestLoadRatio(), executorFaults.missesByAnnouncement(), List.copyOf(history));
    }

    private boolean inOutage(double time) {
        return outages.stream().anyMatch(outage -> outage.contains(time));
    }

    /** The system call faults of each front end, by its address. */
    private Map<String, String> systemFaults() {
        Map<String, String> faults = new TreeMap<>();
        allFrontEnds.forEach(frontEnd -> faults.put(frontEnd.process().address.toString(), frontEnd.faults().toString()));
        return faults;
    }

    private void addFaultCounts(SoakFrontEnd frontEnd) throws IOException {
        long[] counts = frontEnd.process().faultCounts(frontEnd.allFaults());
        int i = 0;
        for (Map.Entry<SoakFault, List<SystemFault>> faults : frontEnd.faults().entrySet()) {
            for (int j = 0; j < faults.getValue().size(); j++) {
                faultCounts.merge(faults.getKey(), counts[i++], Long::sum);
            }
        }
    }

    /** The randomly drawn parameters that a front end is started with. */
    private record StartParameters(int number, long seed, Map<SoakFault, List<SystemFault>> faults) { }

    private StartParameters drawStartParameters() {
        Random ownRandom = new Random(random.nextLong());
        Map<SoakFault, List<SystemFault>> faults = new LinkedHashMap<>();
        for (SoakFault fault : SoakFault.values()) {
            boolean selected = ownRandom.nextBoolean();
            List<SystemFault> drawnFaults = fault.drawSystemFaults(new Random(ownRandom.nextLong()));
            if (selected && plan.faults().contains(fault) && !drawnFaults.isEmpty()) {
                faults.put(fault, drawnFaults);
            }
        }
        return new StartParameters(startedCount++, ownRandom.nextLong(), faults);
    }

    private void startFrontEnd(StartParameters parameters) throws IOException, InterruptedException {
        String name = "n" + parameters.number;
        List<SystemFault> faults = parameters.faults.values().stream().flatMap(List::stream).toList();
        FrontEndChildProcess process;
        try {
            process = new FrontEndChildProcess(processes, plan.frontEndCommand(), folder.resolve(name + ".json"),
                    renderConfig(name, 0), shim, faults, parameters.seed);
        } catch (FrontEndChildProcess.NotReadyException e) {
            crashes.add(name + " under " + parameters.faults + ": " + e.getMessage());
            return;
        }
        auditor.frontEndListening(process.address);
        List<RequestClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_PER_FRONT_END && !changelogUnavailable; i++) {
            RequestClient client = new RequestClient(loops, auditor, process.address, parameters.seed + i);
            clients.add(client);
            client.start();
        }
        SoakFrontEnd frontEnd = new SoakFrontEnd(process, clients, parameters.faults);
        servingFrontEnds.add(frontEnd);
        allFrontEnds.add(frontEnd);
    }

    private String renderConfig(String name, int changelogIndex) throws IOException {
        try (InputStream template = Soak.class.getResourceAsStream("front-end.json.template")) {
            return new String(template.readAllBytes(), StandardCharsets.UTF_8).replace("@NAME@", name)
                    .replace("@CHANGELOG@", changelog.addresses.get(changelogIndex))
                    .replace("@KNOWN@", changelog.readableEventsJson());
        }
    }

    /** Injects a fault of this plan and counts it, unless it cannot be injected now. */
    private void inject(SoakFault fault, Random ownRandom) {
        if (!plan.faults().contains(fault)) {
            return;
        }
        if (switch (fault) {
            case OUTAGE -> startOutage(ownRandom);
            case STANDSTILL -> suspend(ownRandom);
            case TERMINATION -> terminate();
            case KILL -> kill();
            case RELOAD -> reload(ownRandom);
            case CROWD -> openSilentConnections(ownRandom);
            default -> executorFaults.inject(fault, ownRandom);
        }) {
            faultCounts.merge(fault, 1L, Long::sum);
        }
    }

    /** Like the methods of the other faults, returns whether the fault could be injected. */
    private boolean startOutage(Random ownRandom) {
        if (changelogUnavailable) {
            return false;
        }
        Outage kind = Outage.values()[ownRandom.nextInt(Outage.values().length)];
        long durationMillis = MIN_OUTAGE_MILLIS + ownRandom.nextInt(OUTAGE_RANGE_MILLIS);
        changelogUnavailable = true;
        tasks.start(() -> {
            double from = loops.now();
            changelog.startOutage(kind);
            Thread.sleep(durationMillis);
            changelog.endOutage();
            outages.add(new TimeRange(from, loops.now()));
            history.add(Math.round(from) + " change log " + kind + " until " + Math.round(loops.now()));
            changelogUnavailable = false;
        });
        return true;
    }

    /** Reserves a random front end without a running fault; null where there is none. */
    private SoakFrontEnd reserveFrontEnd(Random ownRandom) {
        List<SoakFrontEnd> free = new ArrayList<>(servingFrontEnds);
        free.removeAll(busyFrontEnds);
        if (free.isEmpty()) {
            return null;
        }
        SoakFrontEnd frontEnd = free.get(ownRandom.nextInt(free.size()));
        busyFrontEnds.add(frontEnd);
        return frontEnd;
    }

    private boolean suspend(Random ownRandom) {
        SoakFrontEnd frontEnd = reserveFrontEnd(ownRandom);
        if (frontEnd == null) {
            return false;
        }
        long durationMillis = MIN_SUSPENSION_MILLIS + ownRandom.nextInt(SUSPENSION_RANGE_MILLIS);
        tasks.start(() -> {
            double from = loops.now();
            frontEnd.process().sendSignal("STOP");
            Thread.sleep(durationMillis);
            frontEnd.process().sendSignal("CONT");
            auditor.frontEndStalled(frontEnd.process().address, from, loops.now());
            Thread.sleep(RECOVERY_MILLIS);
            busyFrontEnds.remove(frontEnd);
        });
        return true;
    }

    /** Stops a front end by SIGTERM; its clients use their open connections until it exits or is killed. */
    private boolean terminate() {
        SoakFrontEnd frontEnd = reserveFrontEnd(random);
        if (frontEnd == null) {
            return false;
        }
        StartParameters successor = drawStartParameters();
        servingFrontEnds.remove(frontEnd);
        tasks.start(() -> {
            long killAfterMillis = MAX_DEADLINE_MILLIS + TERMINATION_GRACE_MILLIS;
            frontEnd.clients().forEach(client -> client.retire(killAfterMillis));
            frontEnd.process().sendSignal("TERM");
            frontEnd.process().awaitExit(killAfterMillis);
            frontEnd.process().close();
        });
        tasks.start(() -> startFrontEnd(successor));
        return true;
    }

    private boolean kill() {
        SoakFrontEnd frontEnd = reserveFrontEnd(random);
        if (frontEnd == null) {
            return false;
        }
        StartParameters successor = drawStartParameters();
        servingFrontEnds.remove(frontEnd);
        tasks.start(() -> {
            frontEnd.process().sendSignal("KILL");
            boolean exited = frontEnd.process().awaitExit(KILL_TIMEOUT_MILLIS);
            auditor.frontEndKilled(frontEnd.process().address, loops.now());
            if (exited) {
                auditor.frontEndExited(frontEnd.process().address, loops.now());
            }
            frontEnd.clients().forEach(RequestClient::stop);
            startFrontEnd(successor);
        });
        return true;
    }

    /** Reloads the configuration several times, each time with another address of the change log. */
    private boolean reload(Random ownRandom) {
        SoakFrontEnd frontEnd = reserveFrontEnd(ownRandom);
        if (frontEnd == null) {
            return false;
        }
        int reloads = 1 + ownRandom.nextInt(MAX_RELOADS);
        List<Integer> pauseMillis = new ArrayList<>();
        for (int i = 0; i < reloads; i++) {
            pauseMillis.add(ownRandom.nextInt(MAX_RELOAD_PAUSE_MILLIS));
        }
        tasks.start(() -> {
            for (int i = 0; i < reloads; i++) {
                changelog.recordAddressChange();
                frontEnd.process().reconfigure(renderConfig("n", (i + 1) % CHANGELOG_COUNT));
                Thread.sleep(pauseMillis.get(i));
            }
            Thread.sleep(RECOVERY_MILLIS);
            busyFrontEnds.remove(frontEnd);
        });
        return true;
    }

    private boolean openSilentConnections(Random ownRandom) {
        SoakFrontEnd frontEnd = reserveFrontEnd(ownRandom);
        if (frontEnd == null) {
            return false;
        }
        busyFrontEnds.remove(frontEnd);
        RequestClient.openSilentConnections(loops, frontEnd.process().address,
                MIN_SILENT_CONNECTIONS + ownRandom.nextInt(SILENT_CONNECTIONS_RANGE),
                MIN_SILENCE_MILLIS + ownRandom.nextInt(SILENCE_RANGE_MILLIS));
        return true;
    }

    /** The output of the front ends, by address. */
    public Map<String, List<String>> logs() {
        Map<String, List<String>> logs = new LinkedHashMap<>();
        for (SoakFrontEnd frontEnd : new HashSet<>(allFrontEnds)) {
            logs.put(frontEnd.process().address.toString(), frontEnd.process().log());
        }
        return logs;
    }

    @Override
    public void close() {
        tasks.cancelAll();
        allFrontEnds.forEach(frontEnd -> frontEnd.process().close());
        processes.close();
        loops.close();
    }
}
