package gradereach.api;

/** How the executor had, or came by, the copy that an inference ran on. */
public enum LoadStatus { UNKNOWN, ALREADY_LOADED, STARTED_LOAD, WAITED_FOR_LOAD, LOAD_FAILED }
