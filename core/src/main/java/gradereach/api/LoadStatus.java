package gradereach.api;

/** What an answer tells of the copy that it ran on. */
public enum LoadStatus { UNKNOWN, ALREADY_LOADED, STARTED_LOAD, WAITED_FOR_LOAD, LOAD_FAILED }
