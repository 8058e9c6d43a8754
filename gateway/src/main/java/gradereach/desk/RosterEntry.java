package gradereach.desk;

import gradereach.api.ExecutorState;

/**
 * One executor as listed by the roster.
 *
 * @param instance the instance's name; the address where the roster gives no name
 * @param address {@code host:port}
 * @param startedAt Unix time in milliseconds, 0 for long ago
 * @param location index among the deployment's locations, -1 for unknown
 * @param cell executors of one cell share their deduplication state; -1 for unknown
 */
public record RosterEntry(String instance, String address, double capacity, double startedAt, ExecutorState state,
        int location, int machineKind, int cell) {
    public RosterEntry(String address, double size, double startedAt, ExecutorState state, int location, int kind,
            int cell) {
        this(address, address, size, startedAt, state, location, kind, cell);
    }

    /** The same executor as removed. */
    public RosterEntry asRemoved() {
        return new RosterEntry(instance, address, capacity, startedAt, ExecutorState.REMOVED, location, machineKind, cell);
    }
}
