package gradereach.api;

import gradereach.state.Executor;

/**
 * One line of the roster.
 *
 * @param startedAt module time; 0 means long ago
 * @param replaces the executor that was met at its address before; null for none, or where that is not new
 */
public record ExecutorListing(Executor executor, double capacity, double startedAt, ExecutorState state, int location, int machineKind,
        int cell, Executor replaces) {
    public ExecutorListing(Executor executor, double size, double startedAt, ExecutorState standing, int location, int kind,
            int cell) {
        this(executor, size, startedAt, standing, location, kind, cell, null);
    }
}
