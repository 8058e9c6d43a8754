package gradereach.api;

/** What a roster message holds. */
public enum RosterUpdateKind { CHANGES, FULL, CACHED, FAILED }
