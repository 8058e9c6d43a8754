package gradereach.desk;

import gradereach.api.ExecutorState;
import gradereach.ledger.Recipient;
import gradereach.state.Executor;

/** Where an executor is met, and its present object in the module. Of the deciding thread, but for {@code link}. */
public final class ExecutorEndpoint {
    /** By which the roster knows it: its address may become another's once it has gone. */
    public final String instance;
    /** {@code host:port}. */
    public final String address;
    public final long id;
    /** Replaced when the module starts anew. */
    Executor executor;
    /** As discovery told it last; read by the executor link's threads as well. */
    volatile RosterEntry rosterEntry;
    /** Its start as discovery told it, and the same in module time: converted once, since the wall clock may be stepped. */
    private double startedAtUnixMillis;
    private double startedAtMonotonic;
    /** Since when it has gone, module time; NaN where it has not. */
    double removedAt = Double.NaN;
    /** Which process was last heard there. */
    final ProcessIdentity processIdentity = new ProcessIdentity();
    /** The executor link's own; the deciding thread only carries it. */
    public volatile Object connections;

    public ExecutorEndpoint(String instance, String address) {
        this.instance = instance;
        this.address = address;
        this.id = idOf(instance);
    }

    /** As an intention names it: with the process that was last heard there. */
    Recipient asRecipient() {
        return new Recipient(instance, address, processIdentity.number());
    }

    /** The roster's word for what it is, 0 where untold. */
    public int kind() {
        return rosterEntry == null ? 0 : rosterEntry.kind();
    }

    /** Whether the roster has it as one that takes inferences and orders. */
    public boolean ready() {
        return rosterEntry != null && rosterEntry.state() == ExecutorState.READY;
    }

    /** The start of its process as discovery told it, Unix milliseconds; NaN where it told nothing of it. */
    double listedStart() {
        RosterEntry told = rosterEntry;
        return told == null ? Double.NaN : told.startedAt();
    }

    /** When it started, module time; 0 for long ago. */
    double startedAt(InferenceCoordinator.WallClock wall) {
        if (rosterEntry.startedAt() != startedAtUnixMillis) {
            startedAtUnixMillis = rosterEntry.startedAt();
            startedAtMonotonic = startedAtUnixMillis > 0 ? wall.toMonotonic(startedAtUnixMillis) : 0;
        }
        return startedAtMonotonic;
    }

    boolean isRemoved() {
        return rosterEntry == null || rosterEntry.state() == ExecutorState.REMOVED;
    }

    private static long idOf(String instance) {
        return ModelCatalog.hash(instance);
    }
}
