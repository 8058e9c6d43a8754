package gradereach.api;

/** What may be done with an inference that may already have run. */
public enum RetrySafety { RETRIABLE, DEDUPED, NON_RETRIABLE }
