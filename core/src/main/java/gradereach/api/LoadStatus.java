package gradereach.api;

/** Whether an inference had to wait until a copy of its model was loaded, as its executor reports it. */
public enum LoadStatus { UNKNOWN, ALREADY_LOADED, STARTED_LOAD, WAITED_FOR_LOAD, LOAD_FAILED }
