package gradereach.api;

/**
 * What a roster update contains: the executors that have changed, all executors, all executors as last cached, or nothing, as the
 * source of the roster could not answer.
 */
public enum RosterUpdateKind { CHANGES, FULL, CACHED, FAILED }
