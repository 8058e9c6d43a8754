package gradereach.state;

import gradereach.api.ModelGroup;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** An inference that was taken and is owed one final answer. */
public final class Inference {
    static final Comparator<Inference> QUEUE_ORDER = Comparator.<Inference>comparingInt(inf -> inf.queueRank)
            .thenComparingDouble(inf -> inf.acceptedAt).thenComparingLong(inf -> inf.id);

    public final long id;
    public final ModelGroup group;
    /** Index of its customer. */
    public final int customer;
    public final Model model;
    public final double acceptedAt;
    /** When its client gives up. */
    public final double deadlineAt;
    /** Expected work, NaN where untold. */
    public final double expectedWork;
    public final boolean isRetry;

    public final List<Forward> forwards = new ArrayList<>(2);
    public boolean done;
    public boolean streaming;
    public boolean queued;
    /** Its place behind others in its queue; 0 is the front. */
    public int queueRank;
    /** Beyond its customer's share when it came. */
    public boolean overQuota;
    /** The two instances whose executors are looked at before it goes to one of them. */
    public ModelCopies firstCandidate;
    public ModelCopies secondCandidate;
    /** Where it should go next, null for nowhere. */
    public ModelCopies target;
    /** Its final answer as decided; null while there is none. */
    public Rejection rejection;

    public Inference(long id, ModelGroup group, int customer, Model model, double takenAt, double leavesAt,
            double work, boolean repeated) {
        this.id = id;
        this.group = group;
        this.customer = customer;
        this.model = model;
        this.acceptedAt = takenAt;
        this.deadlineAt = leavesAt;
        this.expectedWork = work;
        this.isRetry = repeated;
    }

    /** Whether a forward is out or ended without proof that it never ran. */
    public boolean mayHaveRun() {
        for (Forward fwd : forwards) {
            if (fwd.outcome == null || !fwd.outcome.provesNotRun) {
                return true;
            }
        }
        return false;
    }
}
