package gradereach.api;

/** Which executors recognize a forward of a deduped inference that they have run before: all, or those of the same location or cell. */
public enum DedupScope { ALL, LOCATION, CELL }
