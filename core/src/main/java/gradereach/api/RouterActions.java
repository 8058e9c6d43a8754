package gradereach.api;

import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;

/** The actions of a router. They take effect at the time of the current batch. */
public interface RouterActions {
    /** @param deadline when the forward is cancelled */
    Forward sendForward(Inference inference, Executor executor, double deadline);

    void cancelForward(Forward forward);

    /** @param retryAfter milliseconds after which the client should repeat; 0 for no advice */
    void shed(Inference inference, double retryAfter);

    void fail(Inference inference);

    /** Orders the executor to hold at least this many copies; 0 is a status query. */
    void sendOrder(Executor executor, Model model, int copies);

    void unloadIdle(Executor executor, Model model);

    void sendProbe(Executor executor);

    /** @param delay milliseconds */
    void scheduleTimer(double delay, long tag);

    void requestRoster();

    void setRosterSubscription(boolean on);

    void closeConnections(Executor executor);

    /** @param to index of the front end, -1 for all */
    void sendPeerMessage(int to, byte[] message);

    void log(String line);
}
