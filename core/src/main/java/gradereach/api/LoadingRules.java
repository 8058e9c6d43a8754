package gradereach.api;

import java.util.List;

/**
 * How executors load and keep models. Times are in milliseconds.
 *
 * @param loadsOnDemand whether an executor loads a missing model when a forward needs it
 * @param idleUnloadTime time after its last use at which an executor unloads a copy
 */
public record LoadingRules(boolean ordersAllowed, boolean loadsOnDemand, double idleUnloadTime, double orderTimeout,
        double idleCost, List<Double> memoryByMachineKind) { }
