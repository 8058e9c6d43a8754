package gradereach.api;

/** Whether an inference that may already have run may be forwarded again: yes, only where it is deduplicated, or no. */
public enum RetrySafety { RETRIABLE, DEDUPED, NON_RETRIABLE }
