package gradereach.api;

/**
 * Which executors recognize a repeated forward of a deduped inference: all, or those in the location or cell of the executor that
 * ran it first.
 */
public enum DedupScope { ALL, LOCATION, CELL }
