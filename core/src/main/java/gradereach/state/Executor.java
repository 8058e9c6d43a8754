package gradereach.state;

import gradereach.api.ExecutorReport;
import gradereach.api.ExecutorState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** An executor of the roster, kept until it is removed and nothing of this front end is pending there. */
public final class Executor {
    /** Its address, for hashing and for the host only. */
    public final long id;
    public ExecutorState state = ExecutorState.REMOVED;
    /** 0 means long ago. */
    public double startedAt;
    /** The start that the roster lists; differs if the executor may have restarted while the roster was not valid. */
    public double rosterStartedAt;
    public double capacity = 1;
    public int location;
    public int cell;

    public final List<ModelCopies> copies = new ArrayList<>();
    /** Forwards of this front end whose answer has not started, including those that are about to be sent. */
    public int unansweredCount;
    public final List<Forward> unansweredForwards = new ArrayList<>();

    public ExecutorReport report;
    public double reportedAt = Double.NEGATIVE_INFINITY;
    public double probeSentAt = Double.NEGATIVE_INFINITY;
    public boolean probePending;
    /** The generation that the latest probe was sent to. */
    public int probeGeneration;
    /**
     * Counts the processes behind this executor, as far as they can be told apart: it was removed, restarted or moved to
     * another address. What was sent to an earlier generation says nothing about the current one.
     */
    public int generation;
    /**
     * When the lease ends under which something is being sent to it, monotonic time: for transports whose threads cannot ask
     * the router while they write. Routers without leases leave it as it is.
     */
    public double leaseEndsAt = Double.POSITIVE_INFINITY;
    /** When the latest probe answered as ready was sent, and the latest answered as not ready. */
    public double readyProbeSentAt = Double.NEGATIVE_INFINITY;
    public double notReadyProbeSentAt = Double.NEGATIVE_INFINITY;
    /** When a connection was last reset or could not be made. */
    public double disconnectedAt = Double.NEGATIVE_INFINITY;

    /** Number of recent answers of loaded copies, and the sum of their slowdowns. */
    public final DecayingSum answerCount = new DecayingSum();
    public final DecayingSum slowdownSum = new DecayingSum();
    /** Observed over expected answer time, as computed at {@code slowdownComputedAt}. */
    public double slowdown = 1;
    public double slowdownComputedAt = Double.NaN;
    /** Limit of concurrent forwards of this front end; NaN before the first answer. */
    public double concurrencyLimit = Double.NaN;
    public final DecayingSum suspicion = new DecayingSum();
    /** Random number from 0 to 1 that decides whether a cold executor gets an inference, and until when it holds. */
    public double admissionDraw;
    public double admissionDrawValidUntil = Double.NEGATIVE_INFINITY;
    /** Work sent recently. */
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

    /** The executor was removed or may be a new process: nothing is loaded there. Adds its models to {@code affected}. */
    public void beginGeneration(double now, Set<Model> affected) {
        generation++;
        for (ModelCopies modelCopies : copies) {
            affected.add(modelCopies.model);
            modelCopies.loadedCopies = 0;
            modelCopies.othersInFlight.set(0, now);
        }
        report = null;
    }
}
