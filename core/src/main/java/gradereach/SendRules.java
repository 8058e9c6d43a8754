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
 * @param orders load orders sent recently
 * @param acceptedInferences inferences accepted recently
 * @param sentWorkPerExecutor recent work sent, in milliseconds, averaged over the executors
 * @param executors all executors of the roster
 */
record SendRules(ColdStartRule coldStart, LoadOrderBudget loadOrderBudget, FrontEndShare frontEndShare, ForwardRules forwardRules,
        ReadinessLeases leases, SlidingWindowSum orders, SlidingWindowSum acceptedInferences,
        DecayingSum sentWorkPerExecutor, Set<Executor> executors, Random random) {
    /** Rule 5. As clocks round, orders count a millisecond longer than the window, and inferences a millisecond shorter. */
    boolean mayOrder(double now) {
        double recentOrders = orders.sumSince(now - loadOrderBudget.window() - 1);
        return recentOrders + 1 <= loadOrderBudget.baseOrders()
                + loadOrderBudget.ordersPerInference() * acceptedInferences.sumSince(now - loadOrderBudget.window() + 1)
                || loadOrderBudget.window() <= 0;
    }

    /** Rule 3. Uses the drain grace only while the roster cannot tell whether the executor is draining. */
    boolean maySend(Executor executor, double now) { return leases.maySend(executor, now); }

    /** Status queries are not subject to rule 3, but there is no point in asking an executor that is shutting down. */
    boolean mayQuery(Executor executor) { return executor.state == ExecutorState.READY; }

    /**
     * Rules 1 to 4.
     *
     * @param work expected answer time, in milliseconds
     */
    boolean mayForward(Inference inference, Executor executor, double work, double now) {
        return maySend(executor, now) && !inference.done && !inference.answerStarted && now < inference.deadlineAt
                && inference.forwards.size() < forwardRules.maxForwards()
                && mayRetryOn(inference, executor, now) && fitsColdStartLimit(executor, work, now);
    }

    /** Rule 2. Whether the earlier forwards of the inference allow another one to the executor. */
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

    /** Negative numbers of locations and cells are unknown, and two of them need not be the same. */
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
     * Rule 4. The budget is this front end's share of the work that a cold executor with one core can take, raised where
     * executors usually get more than this share from this front end. If the budget is less than one inference, a random draw
     * decides.
     */
    private boolean fitsColdStartLimit(Executor executor, double work, double now) {
        double fraction = capacityFraction(executor, now - coldStart.overloadTime());
        double recentWork = executor.recentWork.sumSince(now - coldStart.overloadTime());
        if (fraction >= 1 || coldStart.overloadFactor() <= 0) {
            return true;
        }
        // Averaged over the warm-up time, so that a short burst does not raise the budget.
        double usualWork = sentWorkPerExecutor.value(now, coldStart.warmUpTime()) / coldStart.warmUpTime();
        // Three quarters of the maximum. The rest is a reserve for inferences that take longer than the mean.
        double maxWork = 0.75 * coldStart.overloadFactor() * coldStart.overloadTime() * fraction;
        // Usual work above the share counts half: the shares of other front ends hold, however little they are used.
        double budget = maxWork * (frontEndShare.fraction + Math.max(0, usualWork - frontEndShare.fraction) / 2);
        // A process before the restart of this front end may just have used up the budget: half of it, until that work no longer
        // counts.
        budget *= now - frontEndShare.startedAt < coldStart.overloadTime() ? 0.5 : 1;
        if (now >= executor.admissionDrawValidUntil) {
            executor.admissionDrawValidUntil = now + coldStart.overloadTime();
            executor.admissionDraw = random.nextDouble();
        }
        return recentWork + work <= Math.max(budget, executor.admissionDraw * work < budget ? work : 0);
    }

    /**
     * Records a forward that has been sent.
     *
     * @param work expected answer time, in milliseconds
     */
    void recordForward(Executor executor, double work, double now) {
        // Divided now and not when the sum is read, as a shrinking fleet would then raise every budget.
        sentWorkPerExecutor.add(work / executors.size(), now, coldStart.warmUpTime());
        executor.recentWork.add(work, now);
    }
}
