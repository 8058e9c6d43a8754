package gradereach.api;

import java.util.List;

/**
 * How executors load and keep models. Times are in milliseconds.
 *
 * @param loadsOnDemand whether an executor loads a missing model when a forward needs it
 * @param idleUnloadTime time after its last use at which an executor unloads a copy
 * @param orderTimeout how long a load order may stay unanswered
 * @param idleCost of a loaded copy that is idle; not used by the policy
 * @param memoryByMachineKind memory of an executor in megabytes, by machine kind; not used by the policy
 */
public record LoadingRules(boolean ordersAllowed, boolean loadsOnDemand, double idleUnloadTime, double orderTimeout,
        double idleCost, List<Double> memoryByMachineKind) { }
