package gradereach.rehearsal.soak;

import gradereach.rehearsal.ChildProcesses;
import gradereach.standins.faults.FaultShim;
import gradereach.standins.faults.SystemFault;
import gradereach.standins.frames.ChangelogServer;
import gradereach.standins.frames.ColdStartCheck;
import gradereach.standins.frames.FrontEndRecord;
import gradereach.standins.frames.Outage;
import gradereach.standins.frames.PeerLoops;
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
    private static final int CLIENTS_EACH = 6;
    private static final double DRAIN_GRACE = 500;
    /** The configuration's rule 4; the work is the mean of the executors' draws. */
    private static final ColdStartCheck.Figures COLD_START = new ColdStartCheck.Figures(0.2, 17_000, 3, 3000, 24.5);
    /** Of the configuration's classes. */
    private static final long LONGEST_DEADLINE = 1500;
    /** A front end may be killed so long after SIGTERM, beyond the longest deadline. */
    private static final long KILLED_AFTER = 700;
    private static final long LAST_ANSWERS_MILLIS = 2500;
    private static final long DOWN_MILLIS = 800;
    private static final int SHORTEST_PAUSE = 200;
    private static final int PAUSE_SPREAD = 1500;
    private static final int CHANGELOGS = 2;
    /** An outage takes 15 s at most, the start of a front end 30 s. */
    private static final int LONGEST_SCRIPT_SECONDS = 60;

    private static final Trouble[] EVENTS = {Trouble.OUTAGE, Trouble.DRAIN, Trouble.DRAIN, Trouble.TAKEOVER, Trouble.TAKEOVER,
        Trouble.STANDSTILL, Trouble.TERMINATION, Trouble.KILL, Trouble.RELOAD, Trouble.CROWD, Trouble.BAD_ANSWERS, Trouble.LATE_PROBES,
        Trouble.LATE_PROBES, Trouble.UNREAD, Trouble.RESET};

    private final SoakPlan plan;
    private final Path folder;
    private final Random chance;
    private final FaultShim shim;
    private final PeerLoops loops = new PeerLoops();
    private final RequestAuditor auditor = new RequestAuditor(DRAIN_GRACE, loops.lags(), COLD_START);
    private final ChangelogServer changelog;
    private final List<Node> nodes = Collections.synchronizedList(new ArrayList<>());
    /** Front ends that a trouble of theirs is under way at: no second one begins there. */
    private final Set<Node> busy = ConcurrentHashMap.newKeySet();
    private final List<Node> all = Collections.synchronizedList(new ArrayList<>());
    private final List<String> crashes = Collections.synchronizedList(new ArrayList<>());
    private final Map<Trouble, Long> played = new EnumMap<>(Trouble.class);
    /** Killed at once where the soak is ended by a signal; what it ends itself has no time to lose. */
    private final ChildProcesses processes = new ChildProcesses(0);
    private final List<String> history = Collections.synchronizedList(new ArrayList<>());
    private final Scripts scripts = new Scripts(crashes::add);
    private final ExecutorTroubles executors;
    private volatile boolean out;
    private final List<Span> outages = Collections.synchronizedList(new ArrayList<>());
    private int started;

    private record Span(double from, double to) {
        boolean holds(double time) {
            return from <= time && time < to;
        }
    }

    /** @param folder gets configurations, counts and the compiled shim */
    public Soak(SoakPlan plan, Path folder) throws IOException, InterruptedException {
        this.plan = plan;
        this.folder = folder;
        chance = new Random(plan.seed());
        shim = FaultShim.compile(folder);
        changelog = new ChangelogServer(loops, CHANGELOGS);
        executors = new ExecutorTroubles(loops, auditor, changelog, scripts, history);
    }

    /** Plays it to its end. */
    public SoakReport run() throws IOException, InterruptedException {
        executors.begin(chance);
        for (int i = 0; i < plan.nodes(); i++) {
            begin(draw());
        }
        double from = loops.now();
        double until = from + TimeUnit.SECONDS.toMillis(plan.seconds());
        while (loops.now() < until) {
            Thread.sleep(SHORTEST_PAUSE + chance.nextInt(PAUSE_SPREAD));
            play(EVENTS[chance.nextInt(EVENTS.length)], new Random(chance.nextLong()));
        }
        if (!scripts.ended(LONGEST_SCRIPT_SECONDS)) {
            crashes.add("the soak itself: what it began did not come to its end");
        }
        return end(from);
    }

    private SoakReport end(double from) throws IOException, InterruptedException {
        double asked = loops.now();
        all.forEach(node -> node.clients().forEach(RequestClient::end));
        Thread.sleep(LAST_ANSWERS_MILLIS);
        for (Node node : all) {
            String crash = node.process().crash();
            if (crash != null) {
                crashes.add(crash);
            }
            countFaults(node);
            auditor.recorded(node.process().address, new FrontEndRecord(node.process().connectionEvents(), loops, changelog.ports(),
                    changelog.asked()));
        }
        double served = auditor.served(time -> time >= from && time < asked && !inOutage(time));
        List<RequestAuditor.Finding> findings = auditor.findings(asked);
        return new SoakReport(auditor.requests(), served, auditor.served(this::inOutage), findings, auditor.undecided(), auditor.allowed(),
                List.copyOf(crashes), new TreeMap<>(played), systemFaults(), loops.longestLag(), auditor.coldStarts.highest(),
                executors.misses(), List.copyOf(history));
    }

    private boolean inOutage(double time) {
        return outages.stream().anyMatch(outage -> outage.holds(time));
    }

    private Map<String, String> systemFaults() {
        Map<String, String> faults = new TreeMap<>();
        all.forEach(node -> faults.put(node.process().address.toString(), node.faults().toString()));
        return faults;
    }

    private void countFaults(Node node) throws IOException {
        long[] met = node.process().met(node.allFaults());
        int i = 0;
        for (Map.Entry<Trouble, List<SystemFault>> faults : node.faults().entrySet()) {
            for (int j = 0; j < faults.getValue().size(); j++) {
                played.merge(faults.getKey(), met[i++], Long::sum);
            }
        }
    }

    /** What a front end is started with. */
    private record Draw(int number, long seed, Map<Trouble, List<SystemFault>> faults) { }

    private Draw draw() {
        Random own = new Random(chance.nextLong());
        Map<Trouble, List<SystemFault>> faults = new LinkedHashMap<>();
        for (Trouble trouble : Trouble.values()) {
            boolean meets = own.nextBoolean();
            List<SystemFault> drawn = trouble.systemFaults(new Random(own.nextLong()));
            if (meets && plan.troubles().contains(trouble) && !drawn.isEmpty()) {
                faults.put(trouble, drawn);
            }
        }
        return new Draw(started++, own.nextLong(), faults);
    }

    private void begin(Draw draw) throws IOException, InterruptedException {
        String name = "n" + draw.number;
        List<SystemFault> faults = draw.faults.values().stream().flatMap(List::stream).toList();
        FrontEndProcess process;
        try {
            process = new FrontEndProcess(processes, plan.command(), folder.resolve(name + ".json"), config(name, 0), shim, faults, draw.seed);
        } catch (FrontEndProcess.NotReady e) {
            crashes.add(name + " under " + draw.faults + ": " + e.getMessage());
            return;
        }
        auditor.listens(process.address);
        List<RequestClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS_EACH && !out; i++) {
            RequestClient client = new RequestClient(loops, auditor, process.address, draw.seed + i);
            clients.add(client);
            client.start();
        }
        Node node = new Node(process, clients, draw.faults);
        nodes.add(node);
        all.add(node);
    }

    private String config(String name, int whichChangelog) throws IOException {
        try (InputStream template = Soak.class.getResourceAsStream("front-end.json.template")) {
            return new String(template.readAllBytes(), StandardCharsets.UTF_8).replace("@NAME@", name)
                    .replace("@CHANGELOG@", changelog.addresses.get(whichChangelog)).replace("@KNOWN@", changelog.known());
        }
    }

    private void play(Trouble event, Random own) {
        if (!plan.troubles().contains(event)) {
            return;
        }
        if (switch (event) {
            case OUTAGE -> outage(own);
            case STANDSTILL -> standStill(own);
            case TERMINATION -> terminate();
            case KILL -> kill();
            case RELOAD -> reload(own);
            case CROWD -> crowd(own);
            default -> executors.play(event, own);
        }) {
            played.merge(event, 1L, Long::sum);
        }
    }

    private boolean outage(Random own) {
        if (out) {
            return false;
        }
        Outage kind = Outage.values()[own.nextInt(Outage.values().length)];
        long lasts = 3000 + own.nextInt(12_000);
        out = true;
        scripts.begin(() -> {
            double from = loops.now();
            changelog.begin(kind);
            Thread.sleep(lasts);
            changelog.restore();
            outages.add(new Span(from, loops.now()));
            history.add(Math.round(from) + " change log " + kind + " until " + Math.round(loops.now()));
            out = false;
        });
        return true;
    }

    /** One that nothing else happens to at the moment; null where there is none. */
    private Node take(Random own) {
        List<Node> free = new ArrayList<>(nodes);
        free.removeAll(busy);
        if (free.isEmpty()) {
            return null;
        }
        Node node = free.get(own.nextInt(free.size()));
        busy.add(node);
        return node;
    }

    private boolean standStill(Random own) {
        Node node = take(own);
        if (node == null) {
            return false;
        }
        long lasts = 300 + own.nextInt(4000);
        scripts.begin(() -> {
            double from = loops.now();
            node.process().signal("STOP");
            Thread.sleep(lasts);
            node.process().signal("CONT");
            auditor.stoodStill(node.process().address, from, loops.now());
            Thread.sleep(DOWN_MILLIS);
            busy.remove(node);
        });
        return true;
    }

    /** Clients go on on open connections until it ends or is killed. */
    private boolean terminate() {
        Node node = take(chance);
        if (node == null) {
            return false;
        }
        Draw next = draw();
        nodes.remove(node);
        scripts.begin(() -> {
            long killedAfter = LONGEST_DEADLINE + KILLED_AFTER;
            node.clients().forEach(client -> client.retire(killedAfter));
            node.process().signal("TERM");
            node.process().ended(killedAfter);
            node.process().close();
        });
        scripts.begin(() -> begin(next));
        return true;
    }

    private boolean kill() {
        Node node = take(chance);
        if (node == null) {
            return false;
        }
        Draw next = draw();
        nodes.remove(node);
        scripts.begin(() -> {
            node.process().signal("KILL");
            boolean exited = node.process().ended(DOWN_MILLIS);
            auditor.killed(node.process().address, loops.now());
            if (exited) {
                auditor.exited(node.process().address, loops.now());
            }
            node.clients().forEach(RequestClient::end);
            begin(next);
        });
        return true;
    }

    private boolean reload(Random own) {
        Node node = take(own);
        if (node == null) {
            return false;
        }
        int times = 1 + own.nextInt(4);
        List<Integer> pauses = new ArrayList<>();
        for (int i = 0; i < times; i++) {
            pauses.add(own.nextInt(120));
        }
        scripts.begin(() -> {
            for (int i = 0; i < times; i++) {
                changelog.moved();
                node.process().reconfigure(config("n", (i + 1) % CHANGELOGS));
                Thread.sleep(pauses.get(i));
            }
            Thread.sleep(DOWN_MILLIS);
            busy.remove(node);
        });
        return true;
    }

    private boolean crowd(Random own) {
        Node node = take(own);
        if (node == null) {
            return false;
        }
        busy.remove(node);
        RequestClient.silentCrowd(loops, node.process().address, 20 + own.nextInt(250), 300 + own.nextInt(2000));
        return true;
    }

    /** What the front ends printed, by name. */
    public Map<String, List<String>> logs() {
        Map<String, List<String>> logs = new LinkedHashMap<>();
        for (Node node : new HashSet<>(all)) {
            logs.put(node.process().address.toString(), node.process().log());
        }
        return logs;
    }

    @Override
    public void close() {
        scripts.cutShort();
        all.forEach(node -> node.process().close());
        processes.close();
        loops.close();
    }
}
