package gradereach.api;

/** What a roster update contains. */
public enum RosterUpdateKind { CHANGES, FULL, CACHED, FAILED }
