package gradereach.api;

/**
 * What an executor that has just started can take. It fails when sent overloadFactor times its capacity during overloadTime.
 * Times are in milliseconds.
 *
 * @param initialCapacityFraction fraction of its capacity at the start, which grows linearly
 * @param warmUpTime time after which it has its full capacity
 */
public record ColdStartRule(double initialCapacityFraction, double warmUpTime, double overloadFactor, double overloadTime) { }
