package gradereach.desk;

import gradereach.Policy;
import gradereach.api.ColdStartRule;
import gradereach.api.DedupScope;
import gradereach.api.ExecutorReport;
import gradereach.api.ExecutorState;
import gradereach.api.ForwardRules;
import gradereach.api.FrontEndSettings;
import gradereach.api.LoadOrderBudget;
import gradereach.api.LoadStatus;
import gradereach.api.LoadingRules;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RetrySafety;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.RouterActions;
import gradereach.counts.Counts;
import gradereach.flow.AnswerStream;
import gradereach.inquiry.InquiryScheduler;
import gradereach.message.AnswerFormat;
import gradereach.message.FinalAnswer;
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

/** A coordinator with the real router in virtual time. The test provides the transport, the timers and the clients. */
final class CoordinatorHarness implements ExecutorTransport, Timers, InferenceCoordinator.InferenceListener,
        InferenceCoordinator.WallClock {
    static final ModelGroup RETRIABLE = group("retriable", RetrySafety.RETRIABLE, DedupScope.ALL);
    static final ModelGroup NON_RETRIABLE = group("non-retriable", RetrySafety.NON_RETRIABLE, DedupScope.ALL);
    static final ModelGroup DEDUPED = group("deduped", RetrySafety.DEDUPED, DedupScope.ALL);
    static final ModelGroup DEDUPED_IN_LOCATION = group("deduped-in-location", RetrySafety.DEDUPED, DedupScope.LOCATION);
    static final ModelGroup DEDUPED_IN_CELL = group("deduped-in-cell", RetrySafety.DEDUPED, DedupScope.CELL);
    /** Its dedup window closes before the client's deadline. */
    static final ModelGroup DEDUPED_SHORT_WINDOW = new ModelGroup("deduped-short-window", RetrySafety.DEDUPED, DedupScope.ALL, 100,
            400, 0, 1000, 1, 0.2, false);
    /** Groups with streamed answers; otherwise like {@link #RETRIABLE} and {@link #NON_RETRIABLE}. */
    static final ModelGroup STREAMED_RETRIABLE = new ModelGroup("streamed-retriable", RetrySafety.RETRIABLE, DedupScope.ALL, 0, 400,
            0, 1000, 1, 0.2, true);
    static final ModelGroup STREAMED_NON_RETRIABLE = new ModelGroup("streamed-non-retriable", RetrySafety.NON_RETRIABLE, DedupScope.ALL,
            0, 400, 0, 1000, 1, 0.2, true);
    static final List<ModelGroup> GROUPS = List.of(RETRIABLE, NON_RETRIABLE, DEDUPED, DEDUPED_IN_LOCATION, DEDUPED_IN_CELL,
            DEDUPED_SHORT_WINDOW, STREAMED_RETRIABLE, STREAMED_NON_RETRIABLE);

    private record ScheduledTimer(double dueAt, long id, Object target) { }

    /** A client that waits for an answer, and records what it receives. */
    final class Client implements AnswerObserver {
        final List<FinalAnswer> answers = new ArrayList<>();
        String rejection;
        InferenceState inferenceState;
        double answeredAt;
        boolean disconnected;
        AnswerStream<?> answerStream;

        @Override
        public boolean acceptsStreaming() {
            return true;
        }

        @Override
        public void onStreamStarted(AnswerStream<?> stream) {
            answerStream = stream;
        }

        @Override
        public boolean isDisconnected() {
            return disconnected;
        }

        @Override
        public void onFinalAnswer(FinalAnswer answer) {
            answers.add(answer);
            answeredAt = now;
        }

        @Override
        public void onRejected(int status, String errorCode, String detail) {
            rejection = status + " " + errorCode;
        }

        @Override
        public void onAccepted(InferenceState state) {
            inferenceState = state;
        }

        /** The rejection, or the number of answers with the kind of the first. */
        String received() {
            return rejection != null ? rejection : answers.size() + (answers.isEmpty() ? "" : " " + answers.get(0).kind());
        }
    }

    final Counts counts = new Counts();
    final List<InFlightForward> forwards = new ArrayList<>();
    final List<LoadOrder> orders = new ArrayList<>();
    private final List<Probe> probes = new ArrayList<>();
    final List<String> routerFailures = new ArrayList<>();
    final MessageStore messageStore;
    final InferenceCoordinator coordinator;
    /** Number of forwards that were sent although their inference had its answer. */
    int sentAfterAnswers;
    double now = 1_000_000;
    private final PriorityQueue<ScheduledTimer> timerQueue = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTimer::dueAt).thenComparingLong(ScheduledTimer::id));
    private final Map<Long, ScheduledTimer> activeTimers = new HashMap<>();
    private long nextTimerId;
    /** Milliseconds by which the wall clock differs from the monotonic time. */
    double wallClockOffset;
    /** Makes scheduling the next timer throw, outside the router. */
    boolean nextTimerFails;

    private static ModelGroup group(String name, RetrySafety retrySafety, DedupScope scope) {
        return new ModelGroup(name, retrySafety, scope, 1500, 400, 0, 1000, 1, 0.2, false);
    }

    CoordinatorHarness(long seed, int maxInferences, int maxMessages, UnaryOperator<Router> routerWrapper) {
        this(seed, maxInferences, maxMessages, routerWrapper, Ledger.NONE, ClaimService.ALONE);
    }

    CoordinatorHarness(long seed, int maxInferences, int maxMessages, UnaryOperator<Router> routerWrapper, Ledger ledger,
            ClaimService claimService) {
        this(seed, maxInferences, maxMessages, routerWrapper, ledger, claimService, false);
    }

    /** A harness whose router sends probes, which the test answers. */
    static CoordinatorHarness withProbes(UnaryOperator<Router> routerWrapper) {
        return new CoordinatorHarness(1, 100, 1000, routerWrapper, Ledger.NONE, ClaimService.ALONE, true);
    }

    private CoordinatorHarness(long seed, int maxInferences, int maxMessages, UnaryOperator<Router> routerWrapper, Ledger ledger,
            ClaimService claimService, boolean probes) {
        Random random = new Random(seed);
        messageStore = new MessageStore(maxMessages, 10_000, 600_000, 1000, seed);
        LoadingRules loading = new LoadingRules(true, false, 10_000, 3000, 0, List.of());
        ForwardRules forwardRules = new ForwardRules(4, false, true, 250, 8, 1000, true, 500);
        ColdStartRule coldStartRule = new ColdStartRule(0.2, 5000, 3, 1000);
        coordinator = new InferenceCoordinator("fe", actions -> routerWrapper.apply(createRouter(actions, new Random(random.nextLong()),
                loading, forwardRules, coldStartRule, probes)), this, this, this, this, messageStore, ledger, claimService,
                new InquiryScheduler(30_000, 4, 100), AnswerFormat.WEBHOOK, new InferenceCoordinator.AdmissionLimits(maxInferences, 50, 3),
                loading, forwardRules, coldStartRule, List.of("yard", "shop"), counts);
    }

    private static Router createRouter(RouterActions actions, Random random, LoadingRules loading, ForwardRules forwardRules,
            ColdStartRule coldStartRule, boolean probes) {
        return new Policy(actions, random, new FrontEndSettings(0, 1, 0, false, probes, false, 0, 0, 2), GROUPS,
                List.of(), 1, coldStartRule, new LoadOrderBudget(0, 0, 0), loading, forwardRules);
    }

    static ModelCatalog.Entry model(ModelGroup group, int number) {
        return new ModelCatalog.Entry(group.name() + number, ModelCatalog.hash(group.name() + number), group, 100, 4, 50);
    }

    void runBatch(double time, Runnable events) {
        now = time;
        coordinator.beginBatch(now);
        events.run();
        coordinator.endBatch();
    }

    /** Advances the virtual time, firing the timers one by one. */
    void advanceTo(double until) {
        while (coordinator.hasDeferredEvents() || !timerQueue.isEmpty() && timerQueue.peek().dueAt <= until) {
            if (coordinator.hasDeferredEvents()) {
                runBatch(now, () -> { });
                continue;
            }
            ScheduledTimer next = timerQueue.poll();
            if (activeTimers.remove(next.id) != null) {
                runBatch(Math.max(now, next.dueAt), () -> coordinator.onTimer(next.target));
            }
        }
        now = Math.max(now, until);
    }

    int activeTimerCount() {
        return activeTimers.size();
    }

    void updateRoster(RosterUpdateKind kind, RosterEntry... entries) {
        runBatch(now, () -> coordinator.onRosterUpdate(kind, List.of(entries)));
    }

    static RosterEntry rosterEntry(int number, ExecutorState state, double startedAt) {
        return new RosterEntry("10.0.0." + number + ":80", 1, startedAt, state, number % 2, 0, 0);
    }

    Client sendMessage(String id, ModelGroup group, long digest) {
        Client client = new Client();
        runBatch(now, () -> coordinator.onMessage(incomingMessage(id, group, digest, 0, client)));
        return client;
    }

    IncomingMessage incomingMessage(String id, ModelGroup group, long digest, int model, Client client) {
        return new IncomingMessage(0, id, digest, 0, model(group, model), new InferenceInput(new byte[0], null), 0, now,
                (long) (now / 1000), null, client);
    }

    /** Answers all open load orders and status queries with that number of loaded copies. */
    void answerLoadOrders(int copies) {
        advanceTo(now); // deferred events come before the answers
        for (LoadOrder order : List.copyOf(orders)) {
            orders.remove(order);
            runBatch(now, () -> coordinator.onLoadOrderEnded(order, Outcome.RETURNED, copies));
        }
    }

    /** The first part of its streamed answer arrives. */
    AnswerStream<String> startAnswer(InFlightForward forward) {
        AnswerStream<String> stream = new AnswerStream<>(() -> { }, new AnswerStream.Limits(1000, 100, 1000, counts));
        stream.put("first", 5);
        runBatch(now, () -> coordinator.onAnswerStarted(forward, stream));
        return stream;
    }

    void endForward(InFlightForward forward, Outcome outcome) {
        runBatch(now, () -> coordinator.onForwardEnded(forward, outcome, LoadStatus.ALREADY_LOADED, 0, null, "{}".getBytes()));
    }

    /** The latest forward once all load orders are answered as loaded; null where it has ended. */
    InFlightForward awaitForward() {
        for (int i = 0; i < 20; i++) {
            answerLoadOrders(1);
            advanceTo(now + 5);
        }
        InFlightForward last = forwards.get(forwards.size() - 1);
        return last.ended ? null : last;
    }

    @Override
    public void forward(InFlightForward forward) {
        sentAfterAnswers += forward.inferenceState.answer == null ? 0 : 1;
        forwards.add(forward);
    }

    @Override
    public void cancel(InFlightForward forward) { }

    @Override
    public void sendLoadOrder(LoadOrder order) {
        orders.add(order);
    }

    @Override
    public void unloadIdle(ExecutorEndpoint endpoint, String model) { }

    @Override
    public void sendProbe(Probe probe) {
        probes.add(probe);
    }

    int probesSent() {
        return probes.size();
    }

    /** Instance and address to which the n-th probe was sent. */
    String probeTarget(int number) {
        return probes.get(number).endpoint.instance + " " + probes.get(number).endpoint.address;
    }

    double probeSentAt(int number) {
        return probes.get(number).sentAt;
    }

    /** The n-th probe's answer arrives. */
    void answerProbe(int number, Outcome outcome, ExecutorReport report) {
        Probe sent = probes.get(number);
        runBatch(now, () -> coordinator.onProbeEnded(sent, outcome, report));
    }

    /** The roster is no longer known to be complete: from now on only probes prove that an executor is ready. */
    void expireRoster() {
        runBatch(now, () -> coordinator.onRosterConfirmed(now - 1000, now - 1000));
    }

    /** The current endpoint of an instance; null where it has none. */
    ExecutorEndpoint endpointOf(String instance) {
        return coordinator.endpoints().stream().filter(endpoint -> endpoint.instance.equals(instance)).findFirst().orElse(null);
    }

    boolean maySendTo(String instance) {
        ExecutorEndpoint endpoint = endpointOf(instance);
        return endpoint != null && coordinator.maySendTo(endpoint, now);
    }

    /** Address and forward id of each inquiry sent. */
    final List<String> inquiries = new ArrayList<>();
    /** The callback of the latest inquiry. */
    InquiryCallback lastInquiry;

    @Override
    public void inquire(ExecutorEndpoint endpoint, String forwardId, InquiryCallback callback) {
        inquiries.add(endpoint.address + " " + forwardId);
        lastInquiry = callback;
        openInquiries.add(new SentInquiry(endpoint.address, callback));
    }

    private record SentInquiry(String address, InquiryCallback callback) { }

    private final List<SentInquiry> openInquiries = new ArrayList<>();

    /** Answers all open inquiries sent to that address. */
    void answerInquiries(String address, InquiryScheduler.OutcomeReply reply, double processNumber) {
        List<SentInquiry> toAnswer = openInquiries.stream().filter(inquiry -> inquiry.address.equals(address)).toList();
        openInquiries.removeAll(toAnswer);
        toAnswer.forEach(inquiry -> runBatch(now, () -> inquiry.callback.onReply(reply, processNumber, "{}".getBytes())));
    }

    /** The process number that every executor reports. */
    double processNumber;

    @Override
    public void requestProcessNumber(ExecutorEndpoint endpoint, DoubleConsumer callback) {
        schedule(now, (Runnable) () -> callback.accept(processNumber));
    }

    @Override
    public void closeWhenIdle(ExecutorEndpoint endpoint) { }

    @Override
    public long schedule(double dueAt, Object target) {
        if (nextTimerFails) {
            nextTimerFails = false;
            throw new IllegalStateException("injected");
        }
        ScheduledTimer timer = new ScheduledTimer(Math.max(dueAt, now), nextTimerId++, target);
        timerQueue.add(timer);
        activeTimers.put(timer.id, timer);
        return timer.id;
    }

    @Override
    public void cancel(long id, Object target) {
        ScheduledTimer timer = activeTimers.get(id);
        if (timer != null && timer.target == target) {
            activeTimers.remove(id);
        }
    }

    @Override
    public void onInferenceEnded(InferenceState state, double time) { }

    @Override
    public void onRouterFailed(RuntimeException failure, String event, int inferenceCount) {
        routerFailures.add(event + ": " + failure.getMessage() + ", " + inferenceCount);
    }

    @Override
    public void onLogLine(String line) { }

    @Override
    public double toMonotonic(double unixMillis) {
        return unixMillis - wallClockOffset;
    }

    @Override
    public double toUnixMillis(double monotonicTime) {
        return monotonicTime + wallClockOffset;
    }

    @Override
    public Instant toInstant(double monotonicTime) {
        return Instant.ofEpochMilli((long) toUnixMillis(monotonicTime));
    }
}
