package gradereach.desk;

import gradereach.api.ExecutorState;

/**
 * One executor as the roster tells of it.
 *
 * @param instance by which it is known; the address, where a roster has no other name for it
 * @param address {@code host:port}
 * @param startedAt Unix time in milliseconds, 0 for long ago
 * @param location index among the deployment's locations, -1 for unknown
 * @param cell executors of one cell share what repeats they have seen, -1 for unknown
 */
public record RosterEntry(String instance, String address, double size, double startedAt, ExecutorState state,
        int location, int kind, int cell) {
    public RosterEntry(String address, double size, double startedAt, ExecutorState standing, int location, int kind,
            int cell) {
        this(address, address, size, startedAt, standing, location, kind, cell);
    }

    /** The same, gone. */
    public RosterEntry asRemoved() {
        return new RosterEntry(instance, address, size, startedAt, ExecutorState.REMOVED, location, kind, cell);
    }
}
