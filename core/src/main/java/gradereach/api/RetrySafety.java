package gradereach.api;

/** Whether an inference that may already have run may be forwarded again. */
public enum RetrySafety { RETRIABLE, DEDUPED, NON_RETRIABLE }
