package gradereach.intake;

import gradereach.desk.AnswerObserver;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.InferenceState;

/** A client that waits at one of the fronts and may leave, also while its message still waits at the door. */
public abstract class WaitingClient implements AnswerObserver {
    private final Intake intake;
    /** Of the deciding thread, as is {@code gone}. */
    private InferenceState life;
    private boolean gone;

    protected WaitingClient(Intake intake) {
        this.intake = intake;
    }

    @Override
    public void onAccepted(InferenceState taken) {
        life = taken;
    }

    @Override
    public final boolean isDisconnected() {
        return gone;
    }

    /** Its client has gone. Any thread. */
    public final void cancel() {
        intake.submit(desk -> {
            gone = true;
            notifyIfCancelled(desk);
        });
    }

    /** Leaving and being taken may come in either order: whichever comes second tells the desk. */
    final void notifyIfCancelled(InferenceCoordinator desk) {
        if (gone && life != null) {
            desk.onClientDisconnected(life, this);
        }
    }
}
