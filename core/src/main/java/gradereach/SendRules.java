package gradereach;

import gradereach.api.ColdStartRule;
import gradereach.api.DedupScope;
import gradereach.api.ForwardRules;
import gradereach.api.LoadOrderBudget;
import gradereach.api.ModelGroup;
import gradereach.api.RetrySafety;
import gradereach.api.ExecutorState;
import gradereach.state.Executor;
import gradereach.state.DecayingSum;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.SlidingWindowSum;
import gradereach.state.FrontEndShare;
import java.util.Random;
import java.util.Set;

/** What rules 2 to 5 allow to be sent, ordered and answered; holds whatever the rest of the module decides. */
record SendRules(ColdStartRule coldStart, LoadOrderBudget loadOrderBudget, FrontEndShare frontEndShare, ForwardRules forwardRules,
        ReadinessLeases leases, SlidingWindowSum orders, SlidingWindowSum acceptedInferences, DecayingSum sentWorkPerExecutor, Set<Executor> executors, Random random) {
    /** Rule 5. Orders leave the count a little late, inferences a little early: clocks round. */
    boolean mayOrder(double now) {
        double ordered = orders.sumSince(now - loadOrderBudget.window() - 1);
        return ordered + 1 <= loadOrderBudget.baseOrders() + loadOrderBudget.ordersPerInference() * acceptedInferences.sumSince(now - loadOrderBudget.window() + 1)
                || loadOrderBudget.window() <= 0;
    }

    /** Rule 3. Its grace is used only where the roster cannot tell. */
    boolean maySendTo(Executor ex, double now) { return leases.maySend(ex, now); }

    /** What only asks is not under rule 3, but an executor that leaves need not be asked. */
    boolean mayQuery(Executor ex) { return ex.state == ExecutorState.READY; }

    /** Rules 1 to 4. */
    boolean mayForward(Inference inf, Executor ex, double work, double now) {
        return maySendTo(ex, now) && !inf.done && !inf.streaming && now < inf.deadlineAt
                && inf.forwards.size() < forwardRules.maxForwards()
                && mayRetryOn(inf, ex, now) && fitsColdStartLimit(ex, work, now);
    }

    /** Rule 2. */
    private boolean mayRetryOn(Inference inf, Executor ex, double now) {
        ModelGroup group = inf.group;
        for (Forward fwd : inf.forwards) {
            if (fwd.outcome != null && fwd.outcome.provesNotRun) {
                continue;
            }
            boolean inside = fwd.executor == ex || switch (group.dedupScope()) {
                case ALL -> true;
                case LOCATION -> isSameAndKnown(fwd.executor.location, ex.location);
                case CELL -> isSameAndKnown(fwd.executor.cell, ex.cell);
            };
            boolean late = now - fwd.sentAt >= group.dedupWindow();
            if (group.retrySafety() == RetrySafety.NON_RETRIABLE
                    || fwd.outcome == null && !forwardRules.hedgingAllowed()
                    || group.retrySafety() == RetrySafety.DEDUPED && (late || !inside)) {
                return false;
            }
        }
        return true;
    }

    /** Negative where it is not known: two of those need not be the same. */
    private static boolean isSameAndKnown(int one, int other) {
        return one == other && one >= 0;
    }

    /** Rule 2: a shed reply tells the client that trying again is harmless. */
    boolean mayShed(Inference inf) {
        return !inf.mayHaveRun() || inf.group.retrySafety() == RetrySafety.RETRIABLE
                || inf.group.retrySafety() == RetrySafety.DEDUPED && inf.group.dedupScope() == DedupScope.ALL;
    }

    /** The least share of its capacity that an executor can have by now. */
    double capacityFraction(Executor ex, double now) {
        if (ex.startedAt <= 0 || coldStart.warmUpTime() <= 0) {
            return 1;
        }
        double age = Math.max(0, now - ex.startedAt) / coldStart.warmUpTime();
        return Math.min(1, coldStart.initialCapacityFraction() + (1 - coldStart.initialCapacityFraction()) * age);
    }

    /** Rule 4: our part of one core, or of what an executor usually takes; below an inference, a draw. */
    private boolean fitsColdStartLimit(Executor ex, double work, double now) {
        double share = capacityFraction(ex, now - coldStart.overloadTime());
        double sentThere = ex.recentWork.sumSince(now - coldStart.overloadTime());
        if (share >= 1 || coldStart.overloadFactor() <= 0) {
            return true;
        }
        // Over a time longer than a burst, which must not pass for what executors can take.
        double usual = sentWorkPerExecutor.value(now, coldStart.warmUpTime()) / coldStart.warmUpTime();
        // Three quarters of the bearable: the rest is for inferences that turn out longer than the mean.
        double bears = 0.75 * coldStart.overloadFactor() * coldStart.overloadTime() * share;
        // What it is used to beyond its part counts half: the others' parts stand, however little used.
        double part = bears * (frontEndShare.fraction + Math.max(0, usual - frontEndShare.fraction) / 2);
        // The one before a restart may have spent this part just now: half, until that no longer counts.
        part *= now - frontEndShare.startedAt < coldStart.overloadTime() ? 0.5 : 1;
        if (now >= ex.drawValidUntil) {
            ex.drawValidUntil = now + coldStart.overloadTime();
            ex.admissionDraw = random.nextDouble();
        }
        return sentThere + work <= Math.max(part, ex.admissionDraw * work < part ? work : 0);
    }

    void recordForward(Executor ex, double work, double now) {
        // By those there are: divided later, a fleet that shrinks would raise every part.
        sentWorkPerExecutor.add(work / executors.size(), now, coldStart.warmUpTime());
        ex.recentWork.add(work, now);
    }
}
