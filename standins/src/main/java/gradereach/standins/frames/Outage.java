package gradereach.standins.frames;

/** How discovery fails for front ends. */
public enum Outage {
    /** Open and new connections stay open, but no events are sent on them. */
    SILENT,
    /** Open connections are closed; new ones are accepted, but no events are sent on them. */
    BROKEN_OFF,
    /** Open connections are closed, new ones are refused. */
    UNREACHABLE
}
