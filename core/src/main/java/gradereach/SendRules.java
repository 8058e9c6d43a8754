package gradereach;

import gradereach.api.ColdStartRule;
import gradereach.api.DedupScope;
import gradereach.api.ExecutorState;
import gradereach.api.ForwardRules;
import gradereach.api.LoadOrderBudget;
import gradereach.api.ModelGroup;
import gradereach.api.RetrySafety;
import gradereach.state.DecayingSum;
import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.FrontEndShare;
import gradereach.state.Inference;
import gradereach.state.SlidingWindowSum;
import java.util.Random;
import java.util.Set;

/**
 * Checks rules 1 to 5 for everything that is sent, whatever the rest of the policy decides:
 *
 * <ol>
 * <li>every inference gets one final answer in time, and nothing is sent after it;
 * <li>no effect happens twice;
 * <li>nothing new is sent to executors that are draining or removed;
 * <li>no cold executor is overloaded;
 * <li>load orders stay within their budget.
 * </ol>
 *
 * @param sentWorkPerExecutor recent work, averaged over the executors
 */
record SendRules(ColdStartRule coldStart, LoadOrderBudget loadOrderBudget, FrontEndShare frontEndShare, ForwardRules forwardRules,
        ReadinessLeases leases, SlidingWindowSum orders, SlidingWindowSum acceptedInferences,
        DecayingSum sentWorkPerExecutor, Set<Executor> executors, Random random) {
    /** Rule 5. Orders count a little longer than the window, inferences a little shorter, since clocks round. */
    boolean mayOrder(double now) {
        double recentOrders = orders.sumSince(now - loadOrderBudget.window() - 1);
        return recentOrders + 1 <= loadOrderBudget.baseOrders()
                + loadOrderBudget.ordersPerInference() * acceptedInferences.sumSince(now - loadOrderBudget.window() + 1)
                || loadOrderBudget.window() <= 0;
    }

    /** Rule 3. Uses the grace of the rule only when the roster cannot tell. */
    boolean maySend(Executor executor, double now) { return leases.maySend(executor, now); }

    /** Status queries are not subject to rule 3, but there is no point in asking an executor that is shutting down. */
    boolean mayQuery(Executor executor) { return executor.state == ExecutorState.READY; }

    /** Rules 1 to 4. */
    boolean mayForward(Inference inference, Executor executor, double work, double now) {
        return maySend(executor, now) && !inference.done && !inference.answerStarted && now < inference.deadlineAt
                && inference.forwards.size() < forwardRules.maxForwards()
                && mayRetryOn(inference, executor, now) && fitsColdStartLimit(executor, work, now);
    }

    /** Rule 2. */
    private boolean mayRetryOn(Inference inference, Executor executor, double now) {
        ModelGroup group = inference.group;
        for (Forward forward : inference.forwards) {
            if (forward.outcome != null && forward.outcome.provesNotRun) {
                continue;
            }
            boolean inDedupScope = forward.executor == executor || switch (group.dedupScope()) {
                case ALL -> true;
                case LOCATION -> isSameAndKnown(forward.executor.location, executor.location);
                case CELL -> isSameAndKnown(forward.executor.cell, executor.cell);
            };
            boolean windowClosed = now - forward.sentAt >= group.dedupWindow();
            if (group.retrySafety() == RetrySafety.NON_RETRIABLE
                    || forward.outcome == null && !forwardRules.hedgingAllowed()
                    || group.retrySafety() == RetrySafety.DEDUPED && (windowClosed || !inDedupScope)) {
                return false;
            }
        }
        return true;
    }

    /** Negative values are unknown: two of them need not be the same. */
    private static boolean isSameAndKnown(int first, int second) {
        return first == second && first >= 0;
    }

    /** Rule 2: a shed reply tells the client that a repeat is harmless. */
    boolean mayShed(Inference inference) {
        return !inference.mayHaveRun() || inference.group.retrySafety() == RetrySafety.RETRIABLE
                || inference.group.retrySafety() == RetrySafety.DEDUPED && inference.group.dedupScope() == DedupScope.ALL;
    }

    /** The lowest fraction of its capacity that an executor can have reached by now. */
    double capacityFraction(Executor executor, double now) {
        if (executor.startedAt <= 0 || coldStart.warmUpTime() <= 0) {
            return 1;
        }
        double age = Math.max(0, now - executor.startedAt) / coldStart.warmUpTime();
        return Math.min(1, coldStart.initialCapacityFraction() + (1 - coldStart.initialCapacityFraction()) * age);
    }

    /**
     * Rule 4. The budget is this front end's share of one core, or of what an executor usually gets. If it is less than one
     * inference, a random draw decides.
     */
    private boolean fitsColdStartLimit(Executor executor, double work, double now) {
        double fraction = capacityFraction(executor, now - coldStart.overloadTime());
        double recentWork = executor.recentWork.sumSince(now - coldStart.overloadTime());
        if (fraction >= 1 || coldStart.overloadFactor() <= 0) {
            return true;
        }
        // Averaged over longer than a burst, which must not count as what executors can take.
        double usualWork = sentWorkPerExecutor.value(now, coldStart.warmUpTime()) / coldStart.warmUpTime();
        // Three quarters of the maximum; the rest is for inferences that take longer than the mean.
        double maxWork = 0.75 * coldStart.overloadFactor() * coldStart.overloadTime() * fraction;
        // Usual work above the share counts half: the shares of other front ends hold, however little they are used.
        double budget = maxWork * (frontEndShare.fraction + Math.max(0, usualWork - frontEndShare.fraction) / 2);
        // Before a restart, this front end may just have used up its budget: half, until that work no longer counts.
        budget *= now - frontEndShare.startedAt < coldStart.overloadTime() ? 0.5 : 1;
        if (now >= executor.admissionDrawValidUntil) {
            executor.admissionDrawValidUntil = now + coldStart.overloadTime();
            executor.admissionDraw = random.nextDouble();
        }
        return recentWork + work <= Math.max(budget, executor.admissionDraw * work < budget ? work : 0);
    }

    /** Records the work of a forward that has been sent. */
    void recordForward(Executor executor, double work, double now) {
        // Divided by the present number of executors: divided later, a shrinking fleet would raise every budget.
        sentWorkPerExecutor.add(work / executors.size(), now, coldStart.warmUpTime());
        executor.recentWork.add(work, now);
    }
}
