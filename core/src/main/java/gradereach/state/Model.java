package gradereach.state;

import gradereach.api.ModelGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** A model that an inference has named: lives as long as the instance. */
public final class Model {
    public final long id;
    public double memory;
    public int lanes = 1;
    /** Usual load time, 0 where untold. */
    public double loadTime;
    public ModelGroup group;
    /** Its group's answer times. */
    public AnswerTimeStats groupAnswerTimes;
    public final AnswerTimeStats answerTimes = new AnswerTimeStats();

    public final TreeSet<Inference> queue = new TreeSet<>(Inference.QUEUE_ORDER);
    /** The executors that the roster named, nearest first. */
    public final List<Executor> rendezvousOrder = new ArrayList<>();
    /** Of which fleet, by the module's count of its changes. */
    public int rendezvousFleetVersion;
    /** With the executors dealt with so far, in the order in which that began. */
    public final List<ModelCopies> copies = new ArrayList<>();
    /** Inferences taken: in all, and lately. */
    public long acceptedCount;
    public final DecayingSum recentArrivals = new DecayingSum();
    /** Our own forwards of it. */
    public int inFlight;
    /** Those of them whose answers have started. */
    public int startedAnswers;
    public int ordersInFlight;
    public int queriesInFlight;
    public double queriedAt = Double.NEGATIVE_INFINITY;
    /** Loads that failed in a row, since one of it was last known to stand; and when the last did. */
    public int consecutiveFailedLoads;
    public double lastFailedLoadAt = Double.NEGATIVE_INFINITY;

    public Model(long id) {
        this.id = id;
    }

    public ModelCopies copiesOn(Executor ex) {
        for (ModelCopies c : copies) {
            if (c.executor == ex) {
                return c;
            }
        }
        ModelCopies c = new ModelCopies(this, ex);
        copies.add(c);
        ex.copies.add(c);
        return c;
    }

    /** Nothing is out, ordered, asked or held, and nothing is believed to stand. */
    public boolean isIdle() {
        return queue.isEmpty() && inFlight == 0 && ordersInFlight == 0 && queriesInFlight == 0 && !hasLoadedCopy();
    }

    public boolean hasLoadedCopy() {
        for (ModelCopies c : copies) {
            if (c.loadedCopies > 0) {
                return true;
            }
        }
        return false;
    }
}
