package gradereach.api;

import java.util.List;

/** How executors load and keep models. */
public record LoadingRules(boolean ordersAllowed, boolean loadsOnDemand, double idleUnloadTime, double orderTimeout,
        double idleCost, List<Double> memoryByMachineKind) { }
