package gradereach;

import gradereach.api.*;
import gradereach.state.*;
import java.util.*;

/**
 * Runs one policy under test: sends it events in virtual time, in milliseconds, and records its actions as texts.
 * "forward 1 to 2" is a forward of inference 1 to executor 2, "query 2" a status query, "order 1 on 2" a load order for one
 * copy, "probe 2" a probe, "cancel 1/0" the cancellation of the first forward of inference 1, and "shed 1" or "fail 1" its
 * rejection.
 */
final class PolicyHarness implements RouterActions {
    static final ModelGroup RETRIABLE = group("retriable", RetrySafety.RETRIABLE, DedupScope.ALL);
    static final ModelGroup NON_RETRIABLE = group("non-retriable", RetrySafety.NON_RETRIABLE, DedupScope.ALL);
    static final ModelGroup DEDUPED = group("deduped", RetrySafety.DEDUPED, DedupScope.LOCATION);
    static final ModelGroup DEDUPED_ANYWHERE = group("deduped-anywhere", RetrySafety.DEDUPED, DedupScope.ALL);
    static final ModelGroup HIGH_VALUE = new ModelGroup("high-value", RetrySafety.RETRIABLE, DedupScope.ALL, 0, 400, 0, 2000, 9,
            0.2, false);

    static final double DRAIN_GRACE = 500; // milliseconds

    final List<String> actions = new ArrayList<>();
    /** All forwards that were sent, in their order. */
    final List<Forward> forwards = new ArrayList<>();
    final List<Executor> executors = new ArrayList<>();
    LoadOrderBudget loadOrderBudget = new LoadOrderBudget(0, 0, 0);
    double idleUnloadTime = 10_000;
    boolean probesAllowed;
    int frontEndCount = 1;
    private Policy policy;
    private double now;
    private long inferenceCount;

    private static ModelGroup group(String name, RetrySafety retrySafety, DedupScope scope) {
        return new ModelGroup(name, retrySafety, scope, 1500, 400, 0, 2000, 1, 0.2, false);
    }

    /** Starts the policy with ready executors, whose ids are 1 to {@code executorCount}. */
    PolicyHarness start(long seed, int executorCount, double startedAt) {
        policy = new Policy(this, new Random(seed),
                new FrontEndSettings(0, frontEndCount, 0, false, probesAllowed, false, 0, 0, 1),
                List.of(RETRIABLE, NON_RETRIABLE, DEDUPED, DEDUPED_ANYWHERE, HIGH_VALUE), List.of(), 1,
                new ColdStartRule(0.2, 10_000, 3, 3000), loadOrderBudget,
                new LoadingRules(true, true, idleUnloadTime, 10_000, 0.1, List.of(1000.0)),
                new ForwardRules(4, true, true, 250, 8, 1000, true, DRAIN_GRACE));
        for (int i = 0; i < executorCount; i++) {
            executors.add(new Executor(i + 1));
        }
        runBatch(1000, () -> policy.onRosterUpdate(RosterUpdateKind.CACHED,
                executors.stream().map(executor -> listing(executor, ExecutorState.READY, startedAt)).toList()));
        return this;
    }

    static ExecutorListing listing(Executor executor, ExecutorState state, double startedAt) {
        return new ExecutorListing(executor, 1, startedAt, state, (int) executor.id % 2, 0, 0);
    }

    void runBatch(double time, Runnable events) {
        now = time;
        policy.beginBatch(time);
        events.run();
        policy.endBatch();
    }

    void updateRoster(double time, Executor executor, ExecutorState state) {
        runBatch(time, () -> policy.onRosterUpdate(RosterUpdateKind.CHANGES, List.of(listing(executor, state, 0))));
    }

    /** Adds executors to the roster that were started at {@code startedAt}. */
    void addExecutors(double time, double startedAt, Executor... added) {
        executors.addAll(List.of(added));
        runBatch(time, () -> policy.onRosterUpdate(RosterUpdateKind.CHANGES,
                Arrays.stream(added).map(executor -> listing(executor, ExecutorState.READY, startedAt)).toList()));
    }

    /** Lets time pass, with a timer event every 5 ms. */
    void advanceTo(double until) {
        for (double time = now + 5; time <= until; time += 5) {
            runBatch(time, () -> policy.onTimer(0));
        }
    }

    /** Accepts one inference for each model, all in one batch. Returns the first. */
    Inference accept(double time, ModelGroup group, Model... models) {
        List<Inference> accepted = new ArrayList<>();
        for (Model model : models) {
            accepted.add(new Inference(++inferenceCount, group, 0, model, time, time + 2000, Double.NaN, false));
        }
        runBatch(time, () -> accepted.forEach(policy::onInferenceAccepted));
        return accepted.get(0);
    }

    /** Answers a pending status query or order with the number of loaded copies. */
    void answerOrder(double time, Executor executor, Model model, int copies) {
        if (model.copiesOn(executor).orderPending) {
            runBatch(time, () -> policy.onOrderEnded(executor, model, Outcome.RETURNED, 1, copies));
        }
    }

    /** Answers the pending status queries or orders for the model on the first executors, with their numbers of loaded copies. */
    void answerOrder(double time, Model model, int... copies) {
        for (int i = 0; i < copies.length; i++) {
            answerOrder(time, executors.get(i), model, copies[i]);
        }
    }

    void failOrder(double time, Executor executor, Model model) {
        runBatch(time, () -> policy.onOrderEnded(executor, model, Outcome.ERROR, 1, 0));
    }

    double now() {
        return now;
    }

    void endForward(double time, Forward forward, Outcome outcome) { endForward(time, forward, outcome, 0); }

    /** Ends a forward that found {@code otherInferences} of its model in flight when it arrived. */
    void endForward(double time, Forward forward, Outcome outcome, int otherInferences) {
        forward.outcome = outcome;
        forward.inference.done |= outcome == Outcome.RETURNED;
        runBatch(time, () -> policy.onForwardEnded(forward, new ForwardResult(outcome, LoadStatus.ALREADY_LOADED, otherInferences,
                time - forward.sentAt, forward.inference.done, null)));
    }

    void startAnswer(double time, Forward forward) {
        runBatch(time, () -> policy.onAnswerStarted(forward, time - forward.sentAt));
    }

    void changeShare(double time, double fraction) {
        runBatch(time, () -> policy.onShareChanged(fraction));
    }

    boolean tryForgetModel(double time, Model model) {
        boolean[] forgotten = new boolean[1];
        runBatch(time, () -> forgotten[0] = policy.tryForgetModel(model));
        return forgotten[0];
    }

    void cancelInference(double time, Inference inference) {
        runBatch(time, () -> policy.onInferenceCancelled(inference));
    }

    /**
     * Sets the validity of the roster.
     *
     * @param confirmedAt when it was last known to be complete
     * @param validUntil until when a drain that it does not list does not count as announced
     */
    void setRosterValidity(double time, double confirmedAt, double validUntil) {
        runBatch(time, () -> policy.onRosterValidity(confirmedAt, validUntil));
    }

    /** Ends a probe without a load report. */
    void endProbe(double time, Executor executor, Outcome outcome) {
        runBatch(time, () -> policy.onProbeEnded(executor, outcome, 1, null));
    }

    void resetConnection(double time, Executor executor) {
        runBatch(time, () -> policy.onConnectionReset(executor));
    }

    boolean maySend(Executor executor, double time) {
        return policy.maySend(executor, time);
    }

    /** Answers a probe with a load report of that many inferences in flight. */
    void endProbe(double time, Executor executor, int inFlight) {
        double unknown = Double.NaN;
        runBatch(time, () -> policy.onProbeEnded(executor, Outcome.RETURNED, 1,
                new ExecutorReport(inFlight, unknown, unknown, unknown, unknown, unknown, unknown, unknown)));
    }

    /** The actions after the first {@code actionCount} ones. */
    List<String> actionsSince(int actionCount) {
        return actions.subList(actionCount, actions.size());
    }

    /** The number of actions so far whose texts start with the prefix. */
    long countActions(String prefix) {
        return actions.stream().filter(line -> line.startsWith(prefix)).count();
    }

    @Override
    public Forward sendForward(Inference inference, Executor executor, double deadline) {
        Forward forward = new Forward(inference, executor, inference.forwards.size(), now);
        inference.forwards.add(forward);
        forwards.add(forward);
        actions.add("forward " + inference.id + " to " + executor.id);
        return forward;
    }

    @Override
    public void sendOrder(Executor executor, Model model, int copies) {
        actions.add((copies == 0 ? "query " : "order " + copies + " on ") + executor.id);
    }

    @Override
    public void cancelForward(Forward forward) {
        actions.add("cancel " + forward.inference.id + "/" + forward.number);
    }

    @Override
    public void shed(Inference inference, double retryAfter) {
        inference.done = true;
        actions.add("shed " + inference.id);
    }

    @Override
    public void fail(Inference inference) {
        inference.done = true;
        actions.add("fail " + inference.id);
    }

    @Override
    public void unloadIdle(Executor executor, Model model) {
        actions.add("unload on " + executor.id);
    }

    @Override
    public void sendProbe(Executor executor) {
        actions.add("probe " + executor.id);
    }

    @Override
    public void scheduleTimer(double delay, long tag) { }

    @Override
    public void requestRoster() { }

    @Override
    public void setRosterSubscription(boolean subscribed) { }

    @Override
    public void closeConnections(Executor executor) { }

    @Override
    public void sendPeerMessage(int receiver, byte[] message) { }

    @Override
    public void log(String line) { }
}
