package gradereach.desk;

import gradereach.api.ExecutorState;
import gradereach.ledger.Recipient;
import gradereach.state.Executor;

/** An executor's instance and address, with its current {@link Executor} in the router. Confined to the decision thread unless noted. */
public final class ExecutorEndpoint {
    /** Its name in the roster. Its address may be reused by another instance after it is removed. */
    public final String instance;
    /** {@code host:port}. */
    public final String address;
    /** The router's id of the executor, a hash of the instance. */
    public final long id;
    /** Replaced together with the router. */
    Executor executor;
    /** Its latest roster entry; also read by the transport's threads. */
    volatile RosterEntry rosterEntry;
    /** The listed start time, and the same in monotonic time: converted once, since the wall clock may be stepped. */
    private double startedAtUnixMillis;
    private double startedAtMonotonic;
    /** When it was removed, monotonic time; NaN where it is not removed. */
    double removedAt = Double.NaN;
    /** The process that last replied from this address. */
    final ProcessIdentity processIdentity = new ProcessIdentity();
    /** The transport's connections to this endpoint; used by the transport only. */
    public volatile Object connections;

    public ExecutorEndpoint(String instance, String address) {
        this.instance = instance;
        this.address = address;
        this.id = idOf(instance);
    }

    /** The recipient recorded with a forward intent: the endpoint, with the process that last replied from it. */
    Recipient asRecipient() {
        return new Recipient(instance, address, processIdentity.number());
    }

    /** The machine kind given by the roster, 0 where it gives none. */
    public int machineKind() {
        return rosterEntry == null ? 0 : rosterEntry.machineKind();
    }

    /** Whether the roster lists it as accepting inferences and load orders. Any thread. */
    public boolean isReady() {
        return rosterEntry != null && rosterEntry.state() == ExecutorState.READY;
    }

    /** The listed start time of its process, Unix milliseconds; NaN where it was never listed. */
    double listedStart() {
        RosterEntry entry = rosterEntry;
        return entry == null ? Double.NaN : entry.startedAt();
    }

    /** When it started, monotonic time; 0 for long ago. */
    double startedAt(InferenceCoordinator.WallClock wallClock) {
        if (rosterEntry.startedAt() != startedAtUnixMillis) {
            startedAtUnixMillis = rosterEntry.startedAt();
            startedAtMonotonic = startedAtUnixMillis > 0 ? wallClock.toMonotonic(startedAtUnixMillis) : 0;
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
