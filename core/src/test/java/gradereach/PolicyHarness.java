package gradereach;

import gradereach.api.*;
import gradereach.state.*;
import java.util.*;

/** One instance under test: sends it events and notes what it does, without ids or a wire. */
final class PolicyHarness implements RouterActions {
    static final ModelGroup RETRIABLE = group("quick", RetrySafety.RETRIABLE, DedupScope.ALL);
    static final ModelGroup NON_RETRIABLE = group("booking", RetrySafety.NON_RETRIABLE, DedupScope.ALL);
    static final ModelGroup DEDUPED = group("marked", RetrySafety.DEDUPED, DedupScope.LOCATION);
    static final ModelGroup DEDUPED_ANYWHERE = group("marked-anywhere", RetrySafety.DEDUPED, DedupScope.ALL);
    static final ModelGroup HIGH_VALUE = new ModelGroup("dear", RetrySafety.RETRIABLE, DedupScope.ALL, 0, 400, 0, 2000, 9, 0.2,
            false);

    static final double GRACE = 500;

    final List<String> actions = new ArrayList<>();
    final List<Forward> forwards = new ArrayList<>();
    final List<Executor> executors = new ArrayList<>();
    LoadOrderBudget loadOrderBudget = new LoadOrderBudget(0, 0, 0);
    double idleUnloadTime = 10_000;
    boolean probesAllowed;
    int frontEnds = 1;
    private Policy policy;
    private double now;
    private long inferenceCount;

    private static ModelGroup group(String name, RetrySafety repeat, DedupScope scope) {
        return new ModelGroup(name, repeat, scope, 1500, 400, 0, 2000, 1, 0.2, false);
    }

    PolicyHarness start(long seed, int count, double startedAt) {
        policy = new Policy(this, new Random(seed), new FrontEndSettings(0, frontEnds, 0, false, probesAllowed, false, 0, 0, 1),
                List.of(RETRIABLE, NON_RETRIABLE, DEDUPED, DEDUPED_ANYWHERE, HIGH_VALUE), List.of(), 1,
                new ColdStartRule(0.2, 10_000, 3, 3000), loadOrderBudget,
                new LoadingRules(true, true, idleUnloadTime, 10_000, 0.1, List.of(1000.0)),
                new ForwardRules(4, true, true, 250, 8, 1000, true, GRACE));
        for (int i = 0; i < count; i++) {
            executors.add(new Executor(i + 1));
        }
        at(1000, () -> policy.onRosterUpdate(RosterUpdateKind.CACHED,
                executors.stream().map(ex -> listing(ex, ExecutorState.READY, startedAt)).toList()));
        return this;
    }

    static ExecutorListing listing(Executor ex, ExecutorState standing, double startedAt) {
        return new ExecutorListing(ex, 1, startedAt, standing, (int) ex.id % 2, 0, 0);
    }

    void at(double time, Runnable events) {
        now = time;
        policy.beginBatch(time);
        events.run();
        policy.endBatch();
    }

    void updateRoster(double time, Executor ex, ExecutorState standing) {
        at(time, () -> policy.onRosterUpdate(RosterUpdateKind.CHANGES, List.of(listing(ex, standing, 0))));
    }

    /** Executors that are new to it and have started then. */
    void addExecutors(double time, double startedAt, Executor... fresh) {
        executors.addAll(List.of(fresh));
        at(time, () -> policy.onRosterUpdate(RosterUpdateKind.CHANGES,
                Arrays.stream(fresh).map(ex -> listing(ex, ExecutorState.READY, startedAt)).toList()));
    }

    /** Lets time pass; wakes as often as an instance may ask. */
    void advanceTo(double until) {
        for (double t = now + 5; t <= until; t += 5) {
            at(t, () -> policy.onTimer(0));
        }
    }

    Inference accept(double time, ModelGroup group, Model... models) {
        List<Inference> taken = new ArrayList<>();
        for (Model mdl : models) {
            taken.add(new Inference(++inferenceCount, group, 0, mdl, time, time + 2000, Double.NaN, false));
        }
        at(time, () -> taken.forEach(policy::onInferenceAccepted));
        return taken.get(0);
    }

    /** Answers a question or an order with the copies that stand. */
    void answerOrder(double time, Executor ex, Model mdl, int copies) {
        if (mdl.copiesOn(ex).orderPending) {
            at(time, () -> policy.onOrderEnded(ex, mdl, Outcome.RETURNED, 1, copies));
        }
    }

    void answerOrder(double time, Model mdl, int... copies) {
        for (int i = 0; i < copies.length; i++) {
            answerOrder(time, executors.get(i), mdl, copies[i]);
        }
    }

    void failOrder(double time, Executor ex, Model mdl) {
        at(time, () -> policy.onOrderEnded(ex, mdl, Outcome.ERROR, 1, 0));
    }

    double now() {
        return now;
    }

    void endForward(double time, Forward fwd, Outcome outcome) { endForward(time, fwd, outcome, 0); }

    /** Answers a forward as if it had met {@code crowd} others of its model. */
    void endForward(double time, Forward fwd, Outcome outcome, int crowd) {
        fwd.outcome = outcome;
        fwd.inference.done |= outcome == Outcome.RETURNED;
        at(time, () -> policy.onForwardEnded(fwd, new ForwardResult(outcome, LoadStatus.ALREADY_LOADED, crowd, time - fwd.sentAt,
                fwd.inference.done, null)));
    }

    void startAnswer(double time, Forward fwd) {
        at(time, () -> policy.onAnswerStarted(fwd, time - fwd.sentAt));
    }

    void changeShare(double time, double part) {
        at(time, () -> policy.onShareChanged(part));
    }

    boolean tryForgetModel(double time, Model mdl) {
        boolean[] lets = new boolean[1];
        at(time, () -> lets[0] = policy.tryForgetModel(mdl));
        return lets[0];
    }

    void cancelInference(double time, Inference inf) {
        at(time, () -> policy.onInferenceCancelled(inf));
    }

    /** Last known to be complete then, and until when that counts. */
    void setRosterValidity(double time, double confirmedAt, double until) {
        at(time, () -> policy.onRosterValidity(confirmedAt, until));
    }

    /** Answers a probe without a report. */
    void endProbe(double time, Executor ex, Outcome outcome) {
        at(time, () -> policy.onProbeEnded(ex, outcome, 1, null));
    }

    void resetConnection(double time, Executor ex) {
        at(time, () -> policy.onConnectionReset(ex));
    }

    boolean maySend(Executor ex, double time) {
        return policy.maySend(ex, time);
    }

    /** A probe is answered: so many in flight there. */
    void endProbe(double time, Executor ex, int inFlight) {
        double no = Double.NaN;
        at(time, () -> policy.onProbeEnded(ex, Outcome.RETURNED, 1, new ExecutorReport(inFlight, no, no, no, no, no, no, no)));
    }

    List<String> actionsSince(int mark) {
        return actions.subList(mark, actions.size());
    }

    long count(String prefix) {
        return actions.stream().filter(line -> line.startsWith(prefix)).count();
    }

    @Override
    public Forward sendForward(Inference inf, Executor ex, double stopAt) {
        Forward fwd = new Forward(inf, ex, inf.forwards.size(), now);
        inf.forwards.add(fwd);
        forwards.add(fwd);
        actions.add("forward " + inf.id + " to " + ex.id);
        return fwd;
    }

    @Override
    public void sendOrder(Executor ex, Model mdl, int copies) {
        actions.add((copies == 0 ? "ask " : "hold " + copies + " on ") + ex.id);
    }

    @Override
    public void cancelForward(Forward fwd) {
        actions.add("cancel " + fwd.inference.id + "/" + fwd.number);
    }

    @Override
    public void shed(Inference inf, double pause) {
        inf.done = true;
        actions.add("shed " + inf.id);
    }

    @Override
    public void fail(Inference inf) {
        inf.done = true;
        actions.add("fail " + inf.id);
    }

    @Override
    public void unloadIdle(Executor ex, Model mdl) {
        actions.add("unload on " + ex.id);
    }

    @Override
    public void sendProbe(Executor ex) {
        actions.add("probe " + ex.id);
    }

    @Override
    public void scheduleTimer(double in, long tag) { }

    @Override
    public void requestRoster() { }

    @Override
    public void setRosterSubscription(boolean on) { }

    @Override
    public void closeConnections(Executor ex) { }

    @Override
    public void sendPeerMessage(int to, byte[] words) { }

    @Override
    public void log(String line) { }
}
