package gradereach.state;

/** A final answer given by the front end itself. */
public enum Rejection { SHED, FAIL }
