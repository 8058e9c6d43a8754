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
 * Plays one soak. All draws are made on the thread that runs it, so that a seed gives the same troubles in the same order;
 * what takes time is carried out on threads of its own.
 */
public final class Soak implements AutoCloseable {
    private static final int CLIENTS_PER_FRONT_END = 6;
    private static final double DRAIN_GRACE_MILLIS = 500;
    /** The configuration's rule 4; the work is the mean of the executors' draws. */
    private static final ColdStartCheck.ColdStartParameters COLD_START_PARAMETERS = new ColdStartCheck.ColdStartParameters(0.2, 17_000, 3, 3000, 24.5);
    /** Of the configuration's classes. */
    private static final long MAX_DEADLINE_MILLIS = 1500;
    /** A front end may be killed so long after SIGTERM, beyond the longest deadline. */
    private static final long TERMINATION_GRACE_MILLIS = 700;
    private static final long FINAL_ANSWERS_WAIT_MILLIS = 2500;
    private static final long DOWNTIME_MILLIS = 800;
    private static final int MIN_PAUSE_MILLIS = 200;
    private static final int PAUSE_RANGE_MILLIS = 1500;
    private static final int CHANGELOG_COUNT = 2;
    /** An outage takes 15 s at most, the start of a front end 30 s. */
    private static final int MAX_TASK_SECONDS = 60;

    private static final SoakFault[] INJECTED_FAULTS = {SoakFault.OUTAGE, SoakFault.DRAIN, SoakFault.DRAIN, SoakFault.TAKEOVER, SoakFault.TAKEOVER,
        SoakFault.STANDSTILL, SoakFault.TERMINATION, SoakFault.KILL, SoakFault.RELOAD, SoakFault.CROWD, SoakFault.BAD_ANSWERS, SoakFault.LATE_PROBES,
        SoakFault.LATE_PROBES, SoakFault.UNREAD, SoakFault.RESET};

    private final SoakPlan plan;
    private final Path folder;
    private final Random random;
    private final FaultShim shim;
    private final PeerEventLoops loops = new PeerEventLoops();
    private final RequestAuditor auditor = new RequestAuditor(DRAIN_GRACE_MILLIS, loops.lagIntervals(), COLD_START_PARAMETERS);
    private final ChangelogServer changelog;
    private final List<SoakFrontEnd> servingFrontEnds = Collections.synchronizedList(new ArrayList<>());
    /** Front ends that a trouble of theirs is under way at: no second one begins there. */
    private final Set<SoakFrontEnd> busyFrontEnds = ConcurrentHashMap.newKeySet();
    private final List<SoakFrontEnd> allFrontEnds = Collections.synchronizedList(new ArrayList<>());
    private final List<String> crashes = Collections.synchronizedList(new ArrayList<>());
    private final Map<SoakFault, Long> faultCounts = new EnumMap<>(SoakFault.class);
    /** Killed at once where the soak is ended by a signal; what it ends itself has no time to lose. */
    private final ChildProcesses processes = new ChildProcesses(0);
    private final List<String> history = Collections.synchronizedList(new ArrayList<>());
    private final BackgroundTasks tasks = new BackgroundTasks(crashes::add);
    private final ExecutorFaults executorFaults;
    private volatile boolean changelogUnavailable;
    private final List<TimeRange> outages = Collections.synchronizedList(new ArrayList<>());
    private int startedCount;

    private record TimeRange(double from, double to) {
        boolean contains(double time) {
            return from <= time && time < to;
        }
    }

    /** @param folder gets configurations, counts and the compiled shim */
    public Soak(SoakPlan plan, Path folder) throws IOException, InterruptedException {
        this.plan = plan;
        this.folder = folder;
        random = new Random(plan.seed());
        shim = FaultShim.compile(folder);
        changelog = new ChangelogServer(loops, CHANGELOG_COUNT);
        executorFaults = new ExecutorFaults(loops, auditor, changelog, tasks, history);
    }

    /** Plays it to its end. */
    public SoakReport run() throws IOException, InterruptedException {
        executorFaults.startExecutors(random);
        for (int i = 0; i < plan.frontEndCount(); i++) {
            startFrontEnd(drawStartParameters());
        }
        double from = loops.now();
        double until = from + TimeUnit.SECONDS.toMillis(plan.seconds());
        while (loops.now() < until) {
            Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(PAUSE_RANGE_MILLIS));
            inject(INJECTED_FAULTS[random.nextInt(INJECTED_FAULTS.length)], new Random(random.nextLong()));
        }
        if (!tasks.awaitCompletion(MAX_TASK_SECONDS)) {
            crashes.add("the soak itself: what it began did not come to its end");
        }
        return finish(from);
    }

    private SoakReport finish(double from) throws IOException, InterruptedException {
        double asked = loops.now();
        allFrontEnds.forEach(node -> node.clients().forEach(RequestClient::stop));
        Thread.sleep(FINAL_ANSWERS_WAIT_MILLIS);
        for (SoakFrontEnd node : allFrontEnds) {
            String crash = node.process().crashReport();
            if (crash != null) {
                crashes.add(crash);
            }
            addFaultCounts(node);
            auditor.addConnectionLog(node.process().address, new FrontEndConnectionLog(node.process().connectionEvents(), loops, changelog.ports(),
                    changelog.resyncRequests()));
        }
        double served = auditor.successRate(time -> time >= from && time < asked && !inOutage(time));
        List<RequestAuditor.Finding> findings = auditor.findings(asked);
        return new SoakReport(auditor.requests(), served, auditor.successRate(this::inOutage), findings, auditor.inconclusive(), auditor.allowanceCounts(),
                List.copyOf(crashes), new TreeMap<>(faultCounts), systemFaults(), loops.longestLagMillis(), auditor.coldStartCheck.highestLoadRatio(),
                executorFaults.misses(), List.copyOf(history));
    }

    private boolean inOutage(double time) {
        return outages.stream().anyMatch(outage -> outage.contains(time));
    }

    private Map<String, String> systemFaults() {
        Map<String, String> faults = new TreeMap<>();
        allFrontEnds.forEach(node -> faults.put(node.process().address.toString(), node.faults().toString()));
        return faults;
    }

    private void addFaultCounts(SoakFrontEnd node) throws IOException {
        long[] met = node.process().faultCounts(node.allFaults());
        int i = 0;
        for (Map.Entry<SoakFault, List<SystemFault>> faults : node.faults().entrySet()) {
            for (int j = 0; j < faults.getValue().size(); j++) {
                faultCounts.merge(faults.getKey(), met[i++], Long::sum);
            }
        }
    }

    /** What a front end is started with. */
    private record StartParameters(int number, long seed, Map<SoakFault, List<SystemFault>> faults) { }

    private StartParameters drawStartParameters() {
        Random own = new Random(random.nextLong());
        Map<SoakFault, List<SystemFault>> faults = new LinkedHashMap<>();
        for (SoakFault trouble : SoakFault.values()) {
            boolean meets = own.nextBoolean();
            List<SystemFault> drawn = trouble.systemFaults(new Random(own.nextLong()));
            if (meets && plan.faults().contains(trouble) && !drawn.isEmpty()) {
                faults.put(trouble, drawn);
            }
        }
        return new StartParameters(startedCount++, own.nextLong(), faults);
    }

    private void startFrontEnd(StartParameters draw) throws IOException, InterruptedException {
        String name = "n" + draw.number;
        List<SystemFault> faults = draw.faults.values().stream().flatMap(List::stream).toList();
        FrontEndProcess process;
        try {
            process = new FrontEndProcess(processes, plan.frontEndCommand(), folder.resolve(name + ".json"), renderConfig(name, 0), shim, faults, draw.seed);
        } catch (FrontEndProcess.NotReadyException e) {
            crashes.add(name + " under " + draw.faults + ": " + e.getMessage());
            return;
        }
        auditor.frontEndListening(process.address);
        List<RequestClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_PER_FRONT_END && !changelogUnavailable; i++) {
            RequestClient client = new RequestClient(loops, auditor, process.address, draw.seed + i);
            clients.add(client);
            client.start();
        }
        SoakFrontEnd node = new SoakFrontEnd(process, clients, draw.faults);
        servingFrontEnds.add(node);
        allFrontEnds.add(node);
    }

    private String renderConfig(String name, int whichChangelog) throws IOException {
        try (InputStream template = Soak.class.getResourceAsStream("front-end.json.template")) {
            return new String(template.readAllBytes(), StandardCharsets.UTF_8).replace("@NAME@", name)
                    .replace("@CHANGELOG@", changelog.addresses.get(whichChangelog)).replace("@KNOWN@", changelog.readableEvents());
        }
    }

    private void inject(SoakFault event, Random own) {
        if (!plan.faults().contains(event)) {
            return;
        }
        if (switch (event) {
            case OUTAGE -> startOutage(own);
            case STANDSTILL -> suspend(own);
            case TERMINATION -> terminate();
            case KILL -> kill();
            case RELOAD -> reload(own);
            case CROWD -> openSilentConnections(own);
            default -> executorFaults.inject(event, own);
        }) {
            faultCounts.merge(event, 1L, Long::sum);
        }
    }

    private boolean startOutage(Random own) {
        if (changelogUnavailable) {
            return false;
        }
        Outage kind = Outage.values()[own.nextInt(Outage.values().length)];
        long lasts = 3000 + own.nextInt(12_000);
        changelogUnavailable = true;
        tasks.start(() -> {
            double from = loops.now();
            changelog.startOutage(kind);
            Thread.sleep(lasts);
            changelog.endOutage();
            outages.add(new TimeRange(from, loops.now()));
            history.add(Math.round(from) + " change log " + kind + " until " + Math.round(loops.now()));
            changelogUnavailable = false;
        });
        return true;
    }

    /** One that nothing else happens to at the moment; null where there is none. */
    private SoakFrontEnd reserveFrontEnd(Random own) {
        List<SoakFrontEnd> free = new ArrayList<>(servingFrontEnds);
        free.removeAll(busyFrontEnds);
        if (free.isEmpty()) {
            return null;
        }
        SoakFrontEnd node = free.get(own.nextInt(free.size()));
        busyFrontEnds.add(node);
        return node;
    }

    private boolean suspend(Random own) {
        SoakFrontEnd node = reserveFrontEnd(own);
        if (node == null) {
            return false;
        }
        long lasts = 300 + own.nextInt(4000);
        tasks.start(() -> {
            double from = loops.now();
            node.process().sendSignal("STOP");
            Thread.sleep(lasts);
            node.process().sendSignal("CONT");
            auditor.frontEndStalled(node.process().address, from, loops.now());
            Thread.sleep(DOWNTIME_MILLIS);
            busyFrontEnds.remove(node);
        });
        return true;
    }

    /** Clients go on on open connections until it ends or is killed. */
    private boolean terminate() {
        SoakFrontEnd node = reserveFrontEnd(random);
        if (node == null) {
            return false;
        }
        StartParameters next = drawStartParameters();
        servingFrontEnds.remove(node);
        tasks.start(() -> {
            long killedAfter = MAX_DEADLINE_MILLIS + TERMINATION_GRACE_MILLIS;
            node.clients().forEach(client -> client.retire(killedAfter));
            node.process().sendSignal("TERM");
            node.process().awaitExit(killedAfter);
            node.process().close();
        });
        tasks.start(() -> startFrontEnd(next));
        return true;
    }

    private boolean kill() {
        SoakFrontEnd node = reserveFrontEnd(random);
        if (node == null) {
            return false;
        }
        StartParameters next = drawStartParameters();
        servingFrontEnds.remove(node);
        tasks.start(() -> {
            node.process().sendSignal("KILL");
            boolean exited = node.process().awaitExit(DOWNTIME_MILLIS);
            auditor.frontEndKilled(node.process().address, loops.now());
            if (exited) {
                auditor.frontEndExited(node.process().address, loops.now());
            }
            node.clients().forEach(RequestClient::stop);
            startFrontEnd(next);
        });
        return true;
    }

    private boolean reload(Random own) {
        SoakFrontEnd node = reserveFrontEnd(own);
        if (node == null) {
            return false;
        }
        int times = 1 + own.nextInt(4);
        List<Integer> pauses = new ArrayList<>();
        for (int i = 0; i < times; i++) {
            pauses.add(own.nextInt(120));
        }
        tasks.start(() -> {
            for (int i = 0; i < times; i++) {
                changelog.recordAddressChange();
                node.process().reconfigure(renderConfig("n", (i + 1) % CHANGELOG_COUNT));
                Thread.sleep(pauses.get(i));
            }
            Thread.sleep(DOWNTIME_MILLIS);
            busyFrontEnds.remove(node);
        });
        return true;
    }

    private boolean openSilentConnections(Random own) {
        SoakFrontEnd node = reserveFrontEnd(own);
        if (node == null) {
            return false;
        }
        busyFrontEnds.remove(node);
        RequestClient.openSilentConnections(loops, node.process().address, 20 + own.nextInt(250), 300 + own.nextInt(2000));
        return true;
    }

    /** What the front ends printed, by name. */
    public Map<String, List<String>> logs() {
        Map<String, List<String>> logs = new LinkedHashMap<>();
        for (SoakFrontEnd node : new HashSet<>(allFrontEnds)) {
            logs.put(node.process().address.toString(), node.process().log());
        }
        return logs;
    }

    @Override
    public void close() {
        tasks.cancelAll();
        allFrontEnds.forEach(node -> node.process().close());
        processes.close();
        loops.close();
    }
}
