package gradereach.api;

/**
 * Whether an inference that may already have run may be forwarded again: always, only to executors that recognize it as a repeat,
 * or never.
 */
public enum RetrySafety { RETRIABLE, DEDUPED, NON_RETRIABLE }
