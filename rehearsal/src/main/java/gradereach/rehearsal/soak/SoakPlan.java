package gradereach.rehearsal.soak;

import java.util.List;
import java.util.Set;

/**
 * What a soak plays.
 *
 * @param seed draws every trouble
 * @param seconds length of its service
 * @param nodes front ends at once
 * @param troubles what it may play
 * @param command starts a front end; EDGE_CONFIG names its configuration
 */
public record SoakPlan(long seed, int seconds, int frontEndCount, Set<SoakFault> faults, List<String> frontEndCommand) { }
