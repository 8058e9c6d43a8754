package gradereach.api;

/** State of an executor according to the roster. */
public enum ExecutorState { REMOVED, READY, DRAINING }
