package gradereach.desk;

import gradereach.Policy;
import gradereach.api.ColdStartRule;
import gradereach.api.DedupScope;
import gradereach.api.ForwardRules;
import gradereach.api.LoadOrderBudget;
import gradereach.api.LoadingRules;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RouterActions;
import gradereach.api.RetrySafety;
import gradereach.api.ExecutorReport;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.ExecutorState;
import gradereach.api.FrontEndSettings;
import gradereach.api.LoadStatus;
import gradereach.counts.Counts;
import gradereach.inquiry.InquiryScheduler;
import gradereach.flow.AnswerStream;
import gradereach.message.FinalAnswer;
import gradereach.message.AnswerFormat;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.DoubleConsumer;
import java.util.function.UnaryOperator;

/** A desk with the real module in virtual time: links, timers and clients are the test's. */
final class CoordinatorHarness implements ExecutorTransport, Timers, InferenceCoordinator.InferenceListener, InferenceCoordinator.WallClock {
    static final ModelGroup RETRIABLE = group("quick", RetrySafety.RETRIABLE, DedupScope.ALL);
    static final ModelGroup NON_RETRIABLE = group("booking", RetrySafety.NON_RETRIABLE, DedupScope.ALL);
    static final ModelGroup DEDUPED = group("marked", RetrySafety.DEDUPED, DedupScope.ALL);
    static final ModelGroup DEDUPED_IN_LOCATION = group("marked-there", RetrySafety.DEDUPED, DedupScope.LOCATION);
    static final ModelGroup DEDUPED_IN_CELL = group("marked-in-cell", RetrySafety.DEDUPED, DedupScope.CELL);
    /** Its window closes before its client's time is up. */
    static final ModelGroup DEDUPED_SHORT_WINDOW = new ModelGroup("marked-briefly", RetrySafety.DEDUPED, DedupScope.ALL, 100, 400, 0, 1000, 1, 0.2, false);
    /** Answered in parts; as the two above otherwise. */
    static final ModelGroup STREAMED_RETRIABLE = new ModelGroup("told", RetrySafety.RETRIABLE, DedupScope.ALL, 0, 400, 0, 1000, 1, 0.2, true);
    static final ModelGroup STREAMED_NON_RETRIABLE = new ModelGroup("signed", RetrySafety.NON_RETRIABLE, DedupScope.ALL, 0, 400, 0, 1000, 1, 0.2, true);
    static final List<ModelGroup> GROUPS = List.of(RETRIABLE, NON_RETRIABLE, DEDUPED, DEDUPED_IN_LOCATION, DEDUPED_IN_CELL, DEDUPED_SHORT_WINDOW, STREAMED_RETRIABLE, STREAMED_NON_RETRIABLE);

    private record ScheduledTimer(double at, long id, Object target) { }

    /** A client that waits. */
    final class Client implements AnswerObserver {
        final List<FinalAnswer> answers = new ArrayList<>();
        String rejection;
        InferenceState inferenceState;
        double answeredAt;
        boolean gone;
        AnswerStream<?> answerStream;

        @Override
        public boolean acceptsStreaming() {
            return true;
        }

        @Override
        public void onStreamStarted(AnswerStream<?> begun) {
            answerStream = begun;
        }

        @Override
        public boolean isDisconnected() {
            return gone;
        }

        @Override
        public void onFinalAnswer(FinalAnswer answer) {
            answers.add(answer);
            answeredAt = now;
        }

        @Override
        public void onRejected(int status, String word, String why) {
            rejection = status + " " + word;
        }

        @Override
        public void onAccepted(InferenceState taken) {
            inferenceState = taken;
        }

        String received() {
            return rejection != null ? rejection : answers.size() + (answers.isEmpty() ? "" : " " + answers.get(0).kind());
        }
    }

    final Counts counts = new Counts();
    final List<InFlightForward> forwards = new ArrayList<>();
    final List<LoadOrder> orders = new ArrayList<>();
    private final List<Probe> probes = new ArrayList<>();
    final List<String> said = new ArrayList<>();
    final MessageStore messageStore;
    final InferenceCoordinator coordinator;
    int sentAfterAnswers;
    double now = 1_000_000;
    private final PriorityQueue<ScheduledTimer> timerQueue = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTimer::at).thenComparingLong(ScheduledTimer::id));
    private final Map<Long, ScheduledTimer> activeTimers = new HashMap<>();
    private long nextTimerId;
    /** Milliseconds by which the wall clock was stepped. */
    double wallClockOffset;
    /** The next timer cannot be set: an exception where no module is at work. */
    boolean nextTimerFails;

    private static ModelGroup group(String name, RetrySafety repeat, DedupScope scope) {
        return new ModelGroup(name, repeat, scope, 1500, 400, 0, 1000, 1, 0.2, false);
    }

    CoordinatorHarness(long seed, int held, int remembered, UnaryOperator<Router> around) {
        this(seed, held, remembered, around, Ledger.NONE, ClaimService.ALONE);
    }

    CoordinatorHarness(long seed, int held, int remembered, UnaryOperator<Router> around, Ledger ledger,
            ClaimService claims) {
        this(seed, held, remembered, around, ledger, claims, false);
    }

    /** Executors may be probed, and the test answers the probes. */
    static CoordinatorHarness withProbes(UnaryOperator<Router> around) {
        return new CoordinatorHarness(1, 100, 1000, around, Ledger.NONE, ClaimService.ALONE, true);
    }

    private CoordinatorHarness(long seed, int held, int remembered, UnaryOperator<Router> around, Ledger ledger,
            ClaimService claims, boolean probes) {
        Random chance = new Random(seed);
        messageStore = new MessageStore(remembered, 10_000, 600_000, 1000, seed);
        LoadingRules loading = new LoadingRules(true, false, 10_000, 3000, 0, List.of());
        ForwardRules forwarding = new ForwardRules(4, false, true, 250, 8, 1000, true, 500);
        ColdStartRule cold = new ColdStartRule(0.2, 5000, 3, 1000);
        coordinator = new InferenceCoordinator("fe", outlet -> around.apply(createRouter(outlet, new Random(chance.nextLong()), loading, forwarding,
                cold, probes)), this, this, this, this, messageStore, ledger, claims,
                new InquiryScheduler(30_000, 4, 100), AnswerFormat.WEBHOOK, new InferenceCoordinator.AdmissionLimits(held, 50, 3), loading, forwarding, cold,
                List.of("yard", "shop"), counts);
    }

    private static Router createRouter(RouterActions outlet, Random chance, LoadingRules loading, ForwardRules forwarding,
            ColdStartRule cold, boolean probes) {
        return new Policy(outlet, chance, new FrontEndSettings(0, 1, 0, false, probes, false, 0, 0, 2), GROUPS,
                List.of(), 1, cold, new LoadOrderBudget(0, 0, 0), loading, forwarding);
    }

    static ModelCatalog.Entry model(ModelGroup group, int n) {
        return new ModelCatalog.Entry(group.name() + n, ModelCatalog.hash(group.name() + n), group, 100, 4, 50);
    }

    void runBatch(double time, Runnable events) {
        now = time;
        coordinator.beginBatch(now);
        events.run();
        coordinator.endBatch();
    }

    /** Lets time pass, timer by timer. */
    void advanceTo(double until) {
        while (coordinator.hasDeferredEvents() || !timerQueue.isEmpty() && timerQueue.peek().at <= until) {
            if (coordinator.hasDeferredEvents()) {
                runBatch(now, () -> { });
                continue;
            }
            ScheduledTimer next = timerQueue.poll();
            if (activeTimers.remove(next.id) != null) {
                runBatch(Math.max(now, next.at), () -> coordinator.onTimer(next.target));
            }
        }
        now = Math.max(now, until);
    }

    int activeTimerCount() {
        return activeTimers.size();
    }

    void updateRoster(RosterUpdateKind form, RosterEntry... lines) {
        runBatch(now, () -> coordinator.onRosterUpdate(form, List.of(lines)));
    }

    static RosterEntry rosterEntry(int n, ExecutorState standing, double startedAt) {
        return new RosterEntry("10.0.0." + n + ":80", 1, startedAt, standing, n % 2, 0, 0);
    }

    Client sendMessage(String id, ModelGroup group, long body) {
        Client client = new Client();
        runBatch(now, () -> coordinator.onMessage(incomingMessage(id, group, body, 0, client)));
        return client;
    }

    IncomingMessage incomingMessage(String id, ModelGroup group, long body, int model, Client client) {
        return new IncomingMessage(0, id, body, 0, model(group, model), new InferenceInput(new byte[0], null), 0, now, (long) (now / 1000), null, client);
    }

    /** Every load order and question is answered with that many copies. */
    void answerLoadOrders(int copies) {
        advanceTo(now); // what was asked for before an order is told before its answer
        for (LoadOrder order : List.copyOf(orders)) {
            orders.remove(order);
            runBatch(now, () -> coordinator.onLoadOrderEnded(order, Outcome.RETURNED, copies));
        }
    }

    /** Its first part has come. */
    AnswerStream<String> startAnswer(InFlightForward flight) {
        AnswerStream<String> flow = new AnswerStream<>(() -> { }, new AnswerStream.Limits(1000, 100, 1000, counts));
        flow.put("first", 5);
        runBatch(now, () -> coordinator.onAnswerStarted(flight, flow));
        return flow;
    }

    void endForward(InFlightForward flight, Outcome outcome) {
        runBatch(now, () -> coordinator.onForwardEnded(flight, outcome, LoadStatus.ALREADY_LOADED, 0, null, "{}".getBytes()));
    }

    /** The one flight out, after everything asked has been said to stand. */
    InFlightForward awaitForward() {
        for (int i = 0; i < 20; i++) {
            answerLoadOrders(1);
            advanceTo(now + 5);
        }
        InFlightForward last = forwards.get(forwards.size() - 1);
        return last.ended ? null : last;
    }

    @Override
    public void forward(InFlightForward flight) {
        sentAfterAnswers += flight.inferenceState.answer == null ? 0 : 1;
        forwards.add(flight);
    }

    @Override
    public void cancel(InFlightForward flight) { }

    @Override
    public void sendLoadOrder(LoadOrder order) {
        orders.add(order);
    }

    @Override
    public void unloadIdle(ExecutorEndpoint place, String model) { }

    @Override
    public void sendProbe(Probe probe) {
        probes.add(probe);
    }

    int probesSent() {
        return probes.size();
    }

    /** Where the n-th probe went: instance and address. */
    String probeTarget(int n) {
        return probes.get(n).endpoint.instance + " " + probes.get(n).endpoint.address;
    }

    double probeSentAt(int n) {
        return probes.get(n).sentAt;
    }

    /** The n-th probe's answer comes in. */
    void answerProbe(int n, Outcome outcome, ExecutorReport report) {
        Probe sent = probes.get(n);
        runBatch(now, () -> coordinator.onProbeEnded(sent, outcome, report));
    }

    /** The roster no longer tells who is ready: from now on only probes prove it. */
    void expireRoster() {
        runBatch(now, () -> coordinator.onRosterConfirmed(now - 1000, now - 1000));
    }

    /** The present place of an instance; null where it has none. */
    ExecutorEndpoint endpointOf(String instance) {
        return coordinator.endpoints().stream().filter(place -> place.instance.equals(instance)).findFirst().orElse(null);
    }

    boolean maySendTo(String instance) {
        ExecutorEndpoint place = endpointOf(instance);
        return place != null && coordinator.maySendTo(place, now);
    }

    final List<String> inquiries = new ArrayList<>();
    InquiryCallback lastInquiry;

    @Override
    public void inquire(ExecutorEndpoint place, String forward, InquiryCallback then) {
        inquiries.add(place.address + " " + forward);
        lastInquiry = then;
        openInquiries.add(new SentInquiry(place.address, then));
    }

    private record SentInquiry(String address, InquiryCallback callback) { }

    private final List<SentInquiry> openInquiries = new ArrayList<>();

    /** What executors at that address were asked since is answered; {@code upSince} as their clock has it. */
    void answerInquiries(String address, InquiryScheduler.OutcomeReply what, double upSince) {
        List<SentInquiry> open = openInquiries.stream().filter(question -> question.address.equals(address)).toList();
        openInquiries.removeAll(open);
        open.forEach(question -> runBatch(now, () -> question.callback.onReply(what, upSince, "{}".getBytes())));
    }

    /** The start that every executor's process tells of itself. */
    double processNumber;

    @Override
    public void requestProcessId(ExecutorEndpoint place, DoubleConsumer then) {
        schedule(now, (Runnable) () -> then.accept(processNumber));
    }

    @Override
    public void closeWhenIdle(ExecutorEndpoint place) { }

    @Override
    public long schedule(double at, Object whom) {
        if (nextTimerFails) {
            nextTimerFails = false;
            throw new IllegalStateException("planted");
        }
        ScheduledTimer alarm = new ScheduledTimer(Math.max(at, now), nextTimerId++, whom);
        timerQueue.add(alarm);
        activeTimers.put(alarm.id, alarm);
        return alarm.id;
    }

    @Override
    public void cancel(long timer, Object whom) {
        ScheduledTimer alarm = activeTimers.get(timer);
        if (alarm != null && alarm.target == whom) {
            activeTimers.remove(timer);
        }
    }

    @Override
    public void onInferenceEnded(InferenceState life, double at) { }

    @Override
    public void onRouterFailed(RuntimeException why, String during, int inferences) {
        said.add(during + ": " + why.getMessage() + ", " + inferences);
    }

    @Override
    public void onLogLine(String line) { }

    @Override
    public double toMonotonic(double unixMillis) {
        return unixMillis - wallClockOffset;
    }

    @Override
    public double toUnixMillis(double moduleTime) {
        return moduleTime + wallClockOffset;
    }

    @Override
    public Instant toInstant(double moduleTime) {
        return Instant.ofEpochMilli((long) toUnixMillis(moduleTime));
    }
}
