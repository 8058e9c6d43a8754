package gradereach.desk;

import gradereach.api.ExecutorState;

/**
 * One executor as listed by the roster.
 *
 * @param instance the instance's name; the address where the roster gives no name
 * @param address {@code host:port}
 * @param capacity relative to an executor of capacity 1
 * @param startedAt Unix time in milliseconds, 0 for long ago
 * @param location index among the deployment's locations, -1 for unknown
 * @param machineKind 0 where the roster gives none
 * @param cell executors of one cell share their deduplication state; -1 for unknown
 */
public record RosterEntry(String instance, String address, double capacity, double startedAt, ExecutorState state,
        int location, int machineKind, int cell) {
    /** An executor without an instance name; its address identifies it. */
    public RosterEntry(String address, double capacity, double startedAt, ExecutorState state, int location, int machineKind,
            int cell) {
        this(address, address, capacity, startedAt, state, location, machineKind, cell);
    }

    /** The same executor as removed. */
    public RosterEntry asRemoved() {
        return new RosterEntry(instance, address, capacity, startedAt, ExecutorState.REMOVED, location, machineKind, cell);
    }
}
