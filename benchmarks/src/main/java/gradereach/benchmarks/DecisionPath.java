package gradereach.benchmarks;

import gradereach.Policy;
import gradereach.api.ColdStartRule;
import gradereach.api.DedupScope;
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
import gradereach.counts.Counts;
import gradereach.desk.AnswerObserver;
import gradereach.desk.ExecutorEndpoint;
import gradereach.desk.ExecutorTransport;
import gradereach.desk.InFlightForward;
import gradereach.desk.IncomingMessage;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceInput;
import gradereach.desk.InferenceState;
import gradereach.desk.LoadOrder;
import gradereach.desk.MessageStore;
import gradereach.desk.ModelCatalog;
import gradereach.desk.Probe;
import gradereach.desk.RosterEntry;
import gradereach.desk.Timers;
import gradereach.loop.DecisionLoop;
import gradereach.loop.MonotonicClock;
import gradereach.message.FinalAnswer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of the decisions for one inference: from the message to the forward, and from the executor's answer to the
 * client's. No sockets.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionPath {
    @Param({"10", "100"})
    public int executors;

    private final ModelGroup group = new ModelGroup("g", RetrySafety.RETRIABLE, DedupScope.ALL, 0, 500, 0, 5000, 1, 0, false);
    private final ModelCatalog.Entry model = new ModelCatalog.Entry("m", 1, group, 100, 64, 100);
    private final ArrayDeque<InFlightForward> inFlightForwards = new ArrayDeque<>();
    private final List<LoadOrder> orders = new ArrayList<>();
    private final AnswerObserver ignoringObserver = new AnswerObserver() {
        @Override
        public void onFinalAnswer(FinalAnswer answer) { }

        @Override
        public void onRejected(int status, String code, String detail) { }
    };
    private InferenceCoordinator coordinator;
    /** Simulated monotonic time in milliseconds. */
    private double now = 1e9;
    private long nextId;
    private DecisionLoop loop;
    private volatile long handledEvents;

    private InferenceCoordinator coordinator(Timers timers, Counts counts) {
        LoadingRules loading = new LoadingRules(true, false, 1e9, 3000, 0, List.of());
        ForwardRules forwarding = new ForwardRules(4, false, true, 250, 8, 1000, true, 500);
        ColdStartRule coldStart = new ColdStartRule(1, 0, 0, 0);
        ExecutorTransport transport = new ExecutorTransport() {
            @Override
            public void forward(InFlightForward forward) {
                inFlightForwards.add(forward);
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
            public void sendProbe(Probe probe) { }

            @Override
            public void inquire(ExecutorEndpoint endpoint, String forwardId, InquiryCallback callback) { }

            @Override
            public void requestProcessNumber(ExecutorEndpoint endpoint, DoubleConsumer callback) { }

            @Override
            public void closeWhenIdle(ExecutorEndpoint endpoint) { }
        };
        InferenceCoordinator.InferenceListener listener = new InferenceCoordinator.InferenceListener() {
            @Override
            public void onInferenceEnded(InferenceState inference, double endedAt) { }

            @Override
            public void onRouterFailed(RuntimeException cause, String event, int endedInferences) {
                throw cause;
            }

            @Override
            public void onLogLine(String line) { }
        };
        return new InferenceCoordinator("fe", actions -> new Policy(actions, new Random(1),
                new FrontEndSettings(0, 1, 0, false, false, false, 0, 0, 2),
                List.of(group), List.of(), 1, coldStart, new LoadOrderBudget(0, 0, 0), loading, forwarding), transport, timers,
                listener, MonotonicClock.system(), new MessageStore(100_000, 1 << 24, 1e9, 1000, 1), gradereach.desk.Ledger.NONE,
                gradereach.desk.ClaimService.ALONE, new gradereach.inquiry.InquiryScheduler(0, 1, 1),
                gradereach.message.AnswerFormat.WEBHOOK,
                new InferenceCoordinator.AdmissionLimits(10_000, 100, 8), loading, forwarding, coldStart, List.of("yard"), counts);
    }

    @Setup
    public void start() {
        Timers noTimers = new Timers() {
            @Override
            public long schedule(double at, Object event) {
                return 0;
            }

            @Override
            public void cancel(long timer, Object event) { }
        };
        coordinator = coordinator(noTimers, new Counts());
        coordinator.beginBatch(now);
        List<RosterEntry> entries = new ArrayList<>();
        for (int i = 0; i < executors; i++) {
            entries.add(new RosterEntry("10.0.0." + i + ":80", 1, 0, ExecutorState.READY, 0, 0, 0));
        }
        coordinator.onRosterUpdate(RosterUpdateKind.FULL, entries);
        coordinator.endBatch();
        for (int i = 0; i < 100; i++) {
            inference();
        }
        loop = new DecisionLoop("benchmark", MonotonicClock.system(), 1024, new Counts(), timers -> coordinator(timers, new Counts()));
        loop.start();
    }

    @TearDown(Level.Trial)
    public void end() {
        loop.close();
    }

    /** Two event batches: the message is accepted and forwarded, the forward ends and the message is answered. */
    @Benchmark
    public void inference() {
        now += 0.1;
        coordinator.beginBatch(now);
        coordinator.onMessage(new IncomingMessage(0, "i" + nextId++, 1, 1, model, new InferenceInput(new byte[0], null), 0, now, 1000, null,
                ignoringObserver));
        coordinator.endBatch();
        for (LoadOrder order : List.copyOf(orders)) {
            orders.remove(order);
            coordinator.beginBatch(now);
            coordinator.onLoadOrderEnded(order, Outcome.RETURNED, Math.max(1, order.copies));
            coordinator.endBatch();
        }
        for (InFlightForward forward; (forward = inFlightForwards.poll()) != null;) {
            now += 0.1;
            coordinator.beginBatch(now);
            coordinator.onForwardEnded(forward, Outcome.RETURNED, LoadStatus.ALREADY_LOADED, 0, null, new byte[100]);
            coordinator.endBatch();
        }
    }

    /** Posts an event to the loop from another thread and waits until it has run. */
    @Benchmark
    public void postToDecisionThread() {
        long before = handledEvents;
        loop.post(ignored -> handledEvents = before + 1);
        while (handledEvents == before) {
            Thread.onSpinWait();
        }
    }
}
