package gradereach.api;

/** The roster's word on an executor. */
public enum ExecutorState { REMOVED, READY, DRAINING }
