package gradereach.state;

import gradereach.api.ModelGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** A model that inferences have asked for, with its queue and its copies. */
public final class Model {
    public final long id;
    public double memoryMegabytes;
    /** Inferences that one copy runs concurrently. */
    public int lanes = 1;
    /** Usual load time in milliseconds, 0 if unknown. */
    public double loadTime;
    public ModelGroup group;
    /** Answer times over the model group. */
    public AnswerTimeStats groupAnswerTimes;
    public final AnswerTimeStats answerTimes = new AnswerTimeStats();

    public final TreeSet<Inference> queue = new TreeSet<>(Inference.QUEUE_ORDER);
    /** The executors in the order in which this model prefers them, by rendezvous hashing. */
    public final List<Executor> rendezvousOrder = new ArrayList<>();
    /** The version of the fleet for which the rendezvous order was computed. */
    public int rendezvousFleetVersion;
    /** One entry per executor, in the order of first use. */
    public final List<ModelCopies> copies = new ArrayList<>();
    /** The number of accepted inferences in total, and of recent ones. */
    public long acceptedCount;
    public final DecayingSum recentArrivals = new DecayingSum();
    /** The number of forwards of this front end in flight. */
    public int inFlight;
    /** The number of forwards in flight whose answer has started. */
    public int startedAnswers;
    public int ordersInFlight;
    public int queriesInFlight;
    /** When a status query for this model was last requested. */
    public double queriedAt = Double.NEGATIVE_INFINITY;
    /** Loads that failed in a row since a copy was last known to be loaded, and when the last one failed. */
    public int consecutiveFailedLoads;
    public double lastFailedLoadAt = Double.NEGATIVE_INFINITY;

    public Model(long id) {
        this.id = id;
    }

    /** Returns the entry for the executor, which is created if missing. */
    public ModelCopies copiesOn(Executor executor) {
        for (ModelCopies modelCopies : copies) {
            if (modelCopies.executor == executor) {
                return modelCopies;
            }
        }
        ModelCopies modelCopies = new ModelCopies(this, executor);
        copies.add(modelCopies);
        executor.copies.add(modelCopies);
        return modelCopies;
    }

    /** Whether nothing is in flight, ordered or queued, and no copy is believed to be loaded. */
    public boolean isIdle() {
        return queue.isEmpty() && inFlight == 0 && ordersInFlight == 0 && queriesInFlight == 0 && !hasLoadedCopy();
    }

    public boolean hasLoadedCopy() {
        for (ModelCopies modelCopies : copies) {
            if (modelCopies.loadedCopies > 0) {
                return true;
            }
        }
        return false;
    }
}
