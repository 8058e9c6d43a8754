package gradereach.rehearsal.soak;

import java.util.List;
import java.util.Set;

/**
 * The parameters of a soak.
 *
 * @param seed seed of the random draws, which determine every fault
 * @param seconds how long faults are injected
 * @param frontEndCount front ends that run at the same time
 * @param faults the faults that may be injected
 * @param frontEndCommand starts a front end; EDGE_CONFIG names its configuration
 */
public record SoakPlan(long seed, int seconds, int frontEndCount, Set<SoakFault> faults, List<String> frontEndCommand) { }
