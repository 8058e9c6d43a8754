package gradereach.api;

import gradereach.state.Executor;

/**
 * One executor as listed by the roster.
 *
 * @param capacity relative to that of other executors; 0 if unknown
 * @param startedAt monotonic time; 0 means long ago
 * @param location negative if unknown
 * @param machineKind 0 where the roster gives none
 * @param cell executors of one cell share their deduplication state; negative if unknown
 * @param replacedExecutor the executor that had the address before; null if there is none or it was replaced earlier
 */
public record ExecutorListing(Executor executor, double capacity, double startedAt, ExecutorState state, int location,
        int machineKind, int cell, Executor replacedExecutor) {
    public ExecutorListing(Executor executor, double capacity, double startedAt, ExecutorState state, int location,
            int machineKind, int cell) {
        this(executor, capacity, startedAt, state, location, machineKind, cell, null);
    }
}
