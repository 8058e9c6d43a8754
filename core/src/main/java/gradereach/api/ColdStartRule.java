package gradereach.api;

/**
 * Limits the work for an executor that has just started (rule 4). Such an executor fails if, within {@code overloadTime}, it is
 * sent {@code overloadFactor} times the work that it can do in this time. Times are in milliseconds.
 *
 * @param initialCapacityFraction fraction of its full capacity that it has at the start and that grows linearly
 * @param warmUpTime time after which it has its full capacity; 0 if it has it at once
 * @param overloadFactor 0 means no limit
 */
public record ColdStartRule(double initialCapacityFraction, double warmUpTime, double overloadFactor, double overloadTime) { }
