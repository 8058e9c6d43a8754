package gradereach.api;

import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;
import java.util.List;

/**
 * Decides what is sent to which executor. Takes events, in batches between {@link #beginBatch} and {@link #endBatch}, and acts
 * through {@link RouterActions}. Times are in milliseconds.
 */
public interface Router {
    /** Sets the time of the batch, before its first event. */
    void beginBatch(double now);

    /** @param listings the executors that the update lists; ignored if the update failed */
    void onRosterUpdate(RosterUpdateKind kind, List<ExecutorListing> listings);

    /**
     * Sets the validity of the roster. Unless this is called, the roster always counts as complete.
     *
     * @param confirmedAt when the roster was last known to be complete
     * @param validUntil from then on, a drain may count as announced although the roster does not list it
     */
    void onRosterValidity(double confirmedAt, double validUntil);

    /** Whether forwards and load orders may be written to the executor at that time; checked again when they are written. */
    boolean maySend(Executor executor, double time);

    /** A connection to the executor with nothing in flight was reset. */
    void onConnectionReset(Executor executor);

    void onInferenceAccepted(Inference inference);

    /**
     * The answer of a streamed inference has started, {@code elapsed} milliseconds after the forward was sent. From then on
     * the forward lasts as long as its client, without a timeout.
     */
    void onAnswerStarted(Forward forward, double elapsed);

    void onForwardEnded(Forward forward, ForwardResult result);

    /** The client disconnected or its deadline has passed: it needs no answer any more. */
    void onInferenceCancelled(Inference inference);

    /** A timer of {@link RouterActions#scheduleTimer} is due. */
    void onTimer(long tag);

    /** @param report null if there was none */
    void onProbeEnded(Executor executor, Outcome outcome, double elapsed, ExecutorReport report);

    /** A load order or a status query has ended. {@code loadedCopies} is the number of copies loaded now, 0 without an answer. */
    void onOrderEnded(Executor executor, Model model, Outcome outcome, double elapsed, int loadedCopies);

    /** @param sender index of the front end that sent the message */
    void onPeerMessage(int sender, byte[] message);

    /** Sets the fraction of shared limits that this front end may use, 0 to 1. Until then it is 1 / number of front ends. */
    void onShareChanged(double fraction);

    /** Drops the state of a model if it is no longer used. Returns whether it was dropped. */
    boolean tryForgetModel(Model model);

    /** Decides and acts, after the last event of the batch. */
    void endBatch();
}
