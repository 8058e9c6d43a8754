package gradereach.api;

import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;

/** What a router can do. Actions take effect at the time of the current batch. */
public interface RouterActions {
    /** @param deadline when the forward is cancelled if it has not been answered */
    Forward sendForward(Inference inference, Executor executor, double deadline);

    void cancelForward(Forward forward);

    /**
     * Answers the inference with the advice to repeat it later, which is harmless.
     *
     * @param retryAfter milliseconds after which the client should repeat; 0 for no advice on the time
     */
    void shed(Inference inference, double retryAfter);

    /** Answers the inference with a failure. */
    void fail(Inference inference);

    /** Orders the executor to hold at least this many copies; 0 is a status query. */
    void sendOrder(Executor executor, Model model, int copies);

    /** Asks the executor to unload idle copies of the model. */
    void unloadIdle(Executor executor, Model model);

    void sendProbe(Executor executor);

    /**
     * Has {@link Router#onTimer} called with this tag after the delay.
     *
     * @param delay milliseconds
     */
    void scheduleTimer(double delay, long tag);

    void requestRoster();

    void setRosterSubscription(boolean subscribed);

    void closeConnections(Executor executor);

    /** @param receiver index of the front end, -1 for all */
    void sendPeerMessage(int receiver, byte[] message);

    void log(String line);
}
