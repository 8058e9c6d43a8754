package gradereach.intake;

import gradereach.desk.AnswerObserver;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceState;

/**
 * A client that waits for its answer at one of the servers. It may disconnect at any time, also while its message is still
 * in the queue of the decision thread.
 */
public abstract class WaitingClient implements AnswerObserver {
    private final Intake intake;
    /** The state of the accepted inference, null before. Confined to the decision thread, as is {@code disconnected}. */
    private InferenceState inference;
    private boolean disconnected;

    protected WaitingClient(Intake intake) {
        this.intake = intake;
    }

    @Override
    public void onAccepted(InferenceState accepted) {
        inference = accepted;
    }

    @Override
    public final boolean isDisconnected() {
        return disconnected;
    }

    /** The client has disconnected or cancelled its request. Thread-safe. */
    public final void onDisconnected() {
        intake.submit(coordinator -> {
            disconnected = true;
            notifyIfDisconnected(coordinator);
        });
    }

    /** Disconnecting and being accepted may happen in either order: whichever is second notifies the coordinator. */
    final void notifyIfDisconnected(InferenceCoordinator coordinator) {
        if (disconnected && inference != null) {
            coordinator.onClientDisconnected(inference, this);
        }
    }
}
