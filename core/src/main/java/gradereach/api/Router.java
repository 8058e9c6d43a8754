package gradereach.api;

import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;
import java.util.List;

/** Events in, between {@link #moment} and {@link #settle}. */
public interface Router {
    /** The clock now, before the first event of this moment. */
    void beginBatch(double now);

    void onRosterUpdate(RosterUpdateKind form, List<ExecutorListing> listings);

    /**
     * What the roster's source guarantees. Where it is never called the roster counts as complete for good.
     *
     * @param confirmedAt when the roster was last known to be complete
     * @param until from when on what the roster does not say may count as told all the same
     */
    void onRosterValidity(double confirmedAt, double until);

    /** Whether forwards and load orders may be written to it at that time; asked again when they are. */
    boolean maySend(Executor ex, double at);

    /** A connection to it that carried nothing was reset. */
    void onConnectionReset(Executor ex);

    void onInferenceAccepted(Inference inf);

    /**
     * The answer of a streamed inference has started, {@code took} milliseconds after it was sent: the forward belongs to
     * the client from here on, and no time-out runs for it any longer.
     */
    void onAnswerStarted(Forward fwd, double took);

    void onForwardEnded(Forward fwd, ForwardResult answer);

    /** The client has left, or its time is up: nothing more is owed. */
    void onInferenceCancelled(Inference inf);

    void onTimer(long tag);

    /** {@code report} may be null. */
    void onProbeEnded(Executor ex, Outcome outcome, double took, ExecutorReport report);

    /** A load order has ended; {@code standing} copies stand loaded, 0 where nothing was heard. */
    void onOrderEnded(Executor ex, Model mdl, Outcome outcome, double took, int standing);

    void onPeerMessage(int from, byte[] words);

    /** The part of what all front ends share that is this one's from now on, 0 to 1; one of their number until it is told. */
    void onShareChanged(double part);

    /** Whoever keeps models by name would forget this one: true where nothing is out, stands or waits for it any more. */
    boolean tryForgetModel(Model mdl);

    /** All events of this moment are in: decide and act. */
    void endBatch();
}
