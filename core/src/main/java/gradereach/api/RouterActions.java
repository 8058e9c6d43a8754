package gradereach.api;

import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;

/** Actions out, taking effect at the moment that is being settled. */
public interface RouterActions {
    /** {@code stopAt} is the time at which the forward is given up. */
    Forward sendForward(Inference inf, Executor ex, double stopAt);

    void cancelForward(Forward fwd);

    /** {@code pause} 0 gives no advice. */
    void shed(Inference inf, double pause);

    void fail(Inference inf);

    /** Hold at least {@code copies}; 0 only asks. */
    void sendOrder(Executor ex, Model mdl, int copies);

    void unloadIdle(Executor ex, Model mdl);

    void sendProbe(Executor ex);

    void scheduleTimer(double in, long tag);

    void requestRoster();

    void setRosterSubscription(boolean on);

    void closeConnections(Executor ex);

    /** {@code to} -1 tells every front end. */
    void sendPeerMessage(int to, byte[] words);

    void log(String line);
}
