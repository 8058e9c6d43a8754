package gradereach.state;

/** Final answers that the front end gives itself, without an executor. */
public enum Rejection { SHED, FAIL }
