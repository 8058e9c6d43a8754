package gradereach.state;

import gradereach.api.ExecutorReport;
import gradereach.api.ExecutorState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** An executor of the roster, kept until it is removed and nothing of this front end is pending there. */
public final class Executor {
    /** Identifies it to the host, as its address or a hash of its name; the policy only hashes it. */
    public final long id;
    public ExecutorState state = ExecutorState.REMOVED;
    /** When its process started, as far as known, monotonic time; 0 means long ago. */
    public double startedAt;
    /** The start that the roster lists. Differs if the executor may have restarted while the roster was not valid. */
    public double rosterStartedAt;
    /** Relative to that of other executors. */
    public double capacity = 1;
    /** Location and cell are negative if unknown. */
    public int location;
    public int cell;

    public final List<ModelCopies> copies = new ArrayList<>();
    /**
     * The number of forwards of this front end whose answer has not started. It includes those that are about to be sent and are
     * not in {@link #unansweredForwards} yet.
     */
    public int unansweredCount;
    /** Forwards of this front end that were sent and whose answer has not started. */
    public final List<Forward> unansweredForwards = new ArrayList<>();

    public ExecutorReport report;
    public double reportedAt = Double.NEGATIVE_INFINITY;
    public double probeSentAt = Double.NEGATIVE_INFINITY;
    public boolean probePending;
    /** The generation that the latest probe was sent to. */
    public int probeGeneration;
    /**
     * Counts the processes behind this executor, as far as they can be told apart. A new generation begins when it drains, is
     * removed, restarts or moves to another address. What was sent to an earlier generation says nothing about the current one.
     */
    public int generation;
    /**
     * When the lease ends under which something is being sent to it, monotonic time. For transports whose threads cannot ask the
     * router while they write. Routers without leases do not set it.
     */
    public double leaseEndsAt = Double.POSITIVE_INFINITY;
    /** When the latest probe was sent that was answered as ready, and the latest that was answered as not ready. */
    public double readyProbeSentAt = Double.NEGATIVE_INFINITY;
    public double notReadyProbeSentAt = Double.NEGATIVE_INFINITY;
    /** When a connection was last reset or could not be made. */
    public double disconnectedAt = Double.NEGATIVE_INFINITY;

    /** The number of recent answers of loaded copies, and the sum of their slowdowns. */
    public final DecayingSum answerCount = new DecayingSum();
    public final DecayingSum slowdownSum = new DecayingSum();
    /** Observed over expected answer time, as computed at {@code slowdownComputedAt}. */
    public double slowdown = 1;
    public double slowdownComputedAt = Double.NaN;
    /** Limit of concurrent forwards of this front end; NaN before the first answer. */
    public double concurrencyLimit = Double.NaN;
    /** How likely it is faulty, in points. Each point reduces its traffic to about a third. */
    public final DecayingSum suspicion = new DecayingSum();
    /** Random number from 0 to 1 that decides whether a cold executor gets an inference, and until when the number is used. */
    public double admissionDraw;
    public double admissionDrawValidUntil = Double.NEGATIVE_INFINITY;
    /** Work sent to it recently, in milliseconds of expected answer time. */
    public final SlidingWindowSum recentWork = new SlidingWindowSum();

    public Executor(long id) {
        this.id = id;
    }

    /** Treats everything sent after that time, and still pending, as sent to the current process. */
    public void assignToCurrentGeneration(double time) {
        unansweredForwards.stream().filter(forward -> forward.sentAt > time).forEach(Forward::assignToCurrentGeneration);
        copies.stream().filter(modelCopies -> modelCopies.orderPending && modelCopies.orderSentAt > time)
                .forEach(ModelCopies::assignOrderToCurrentGeneration);
        probeGeneration = probePending && probeSentAt > time ? generation : probeGeneration;
    }

    /** @param newReport null if there was none */
    public void recordReport(ExecutorReport newReport, double now) {
        if (newReport != null) {
            report = newReport;
            reportedAt = now;
        }
    }

    /** Whether nothing of this front end is pending there. */
    public boolean isIdle() {
        for (ModelCopies modelCopies : copies) {
            if (modelCopies.orderPending || modelCopies.inFlight > 0) {
                return false;
            }
        }
        return unansweredForwards.isEmpty() && !probePending;
    }

    /** Removes the executor from all models. */
    public void detachFromModels() {
        copies.forEach(modelCopies -> modelCopies.model.copies.remove(modelCopies));
        copies.clear();
    }

    /**
     * The executor drains, was removed or may be a new process: from now on nothing counts as loaded there.
     *
     * @param affectedModels gets the models that had entries for the executor
     */
    public void beginGeneration(double now, Set<Model> affectedModels) {
        generation++;
        for (ModelCopies modelCopies : copies) {
            affectedModels.add(modelCopies.model);
            modelCopies.loadedCopies = 0;
            modelCopies.othersInFlight.set(0, now);
        }
        report = null;
    }
}
