package gradereach.state;

import gradereach.api.ModelGroup;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** An accepted inference, which gets one final answer. */
public final class Inference {
    static final Comparator<Inference> QUEUE_ORDER = Comparator.<Inference>comparingInt(inference -> inference.queueRank)
            .thenComparingDouble(inference -> inference.acceptedAt).thenComparingLong(inference -> inference.id);

    public final long id;
    public final ModelGroup group;
    public final int customerIndex;
    public final Model model;
    public final double acceptedAt;
    /** When its client stops waiting. */
    public final double deadlineAt;
    /** NaN if unknown. Not used by the policy. */
    public final double expectedWork;
    /** Whether it is a repeat by the client. */
    public final boolean isRetry;

    public final List<Forward> forwards = new ArrayList<>(2);
    /** Whether it has its final answer, or needs none any more. */
    public boolean done;
    /** Whether the answer of one of its forwards has started. */
    public boolean answerStarted;
    /** Whether it waits in the queue of its model. */
    public boolean queued;
    /** Rank in the queue of its model; lower ranks are served first. */
    public int queueRank;
    /** Whether it exceeded its customer's quota when it arrived. */
    public boolean overQuota;
    /** The candidates whose load reports are awaited before the inference is sent to one of them; null for none. */
    public ModelCopies firstCandidate;
    public ModelCopies secondCandidate;
    /** The copies that it is about to be sent to; null for none. */
    public ModelCopies target;
    /** The decided rejection; null for none. */
    public Rejection rejection;

    public Inference(long id, ModelGroup group, int customerIndex, Model model, double acceptedAt, double deadlineAt,
            double expectedWork, boolean isRetry) {
        this.id = id;
        this.group = group;
        this.customerIndex = customerIndex;
        this.model = model;
        this.acceptedAt = acceptedAt;
        this.deadlineAt = deadlineAt;
        this.expectedWork = expectedWork;
        this.isRetry = isRetry;
    }

    /** Whether a forward is in flight, or has ended without proof that it did not run. */
    public boolean mayHaveRun() {
        for (Forward forward : forwards) {
            if (forward.outcome == null || !forward.outcome.provesNotRun) {
                return true;
            }
        }
        return false;
    }
}
