package gradereach.api;

/** What a just-started executor can bear: it falls over when sent fallMultiple x its capacity for fallTime. */
public record ColdStartRule(double initialCapacityFraction, double warmUpTime, double overloadFactor, double overloadTime) { }
