package gradereach.state;

import gradereach.api.ExecutorReport;
import gradereach.api.ExecutorState;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** An executor that the roster has named: kept until it has gone and nothing of ours is out there. */
public final class Executor {
    /** Its address, for hashing and the door only. */
    public final long id;
    public ExecutorState state = ExecutorState.REMOVED;
    /** 0 means long ago. */
    public double startedAt;
    /** The same by the roster's word: another where it may have started anew and the roster could not tell. */
    public double rosterStartedAt;
    public double capacity = 1;
    public int location;
    public int cell;

    public final List<ModelCopies> copies = new ArrayList<>();
    /** Our forwards there, those just decided included. */
    public int inFlight;
    public final List<Forward> unansweredForwards = new ArrayList<>();

    public ExecutorReport report;
    public double reportedAt = Double.NEGATIVE_INFINITY;
    public double probeSentAt = Double.NEGATIVE_INFINITY;
    public boolean probePending;
    /** The generation that the latest probe was sent to. */
    public int probeGeneration;
    /**
     * Counts the processes that this executor stood for, as far as they are told apart: it went away, started anew or is met
     * at another address. What was sent to an earlier generation tells nothing of the present one.
     */
    public int generation;
    /**
     * When the lease ends under which something is being sent to it, module time: for links whose threads cannot ask as they
     * write. A module that knows no leases leaves it.
     */
    public double leaseEndsAt = Double.POSITIVE_INFINITY;
    /** When the latest probe was sent that it answered as ready, and the latest that it answered as not. */
    public double readyProbeSentAt = Double.NEGATIVE_INFINITY;
    public double notReadyProbeSentAt = Double.NEGATIVE_INFINITY;
    /** When a connection to it was last reset or could not be made. */
    public double disconnectedAt = Double.NEGATIVE_INFINITY;

    /** Warm answers: how many, and what they took in expected answer times. */
    public final DecayingSum answerCount = new DecayingSum();
    public final DecayingSum slowdownSum = new DecayingSum();
    /** Present over expected answer time, as worked out at {@code stretchAt}. */
    public double slowdown = 1;
    public double slowdownComputedAt = Double.NaN;
    /** Most of our forwards at once; NaN before the first answer. */
    public double concurrencyLimit = Double.NaN;
    public final DecayingSum suspicion = new DecayingSum();
    /** Drawn from 0 to 1 for our turn while it is cold, and until when that holds. */
    public double admissionDraw;
    public double drawValidUntil = Double.NEGATIVE_INFINITY;
    /** Work sent lately. */
    public final SlidingWindowSum recentWork = new SlidingWindowSum();

    public Executor(long id) {
        this.id = id;
    }

    /** What was sent after that time, and is still out, went to the present process. */
    public void assignToCurrentGeneration(double time) {
        unansweredForwards.stream().filter(fwd -> fwd.sentAt > time).forEach(Forward::assignToCurrentGeneration);
        copies.stream().filter(c -> c.orderPending && c.orderSentAt > time).forEach(ModelCopies::assignOrderToCurrentGeneration);
        probeGeneration = probePending && probeSentAt > time ? generation : probeGeneration;
    }

    /** {@code news} may be null: nothing was attached. */
    public void recordReport(ExecutorReport news, double now) {
        if (news != null) {
            report = news;
            reportedAt = now;
        }
    }

    /** Nothing of ours is out there. */
    public boolean isIdle() {
        for (ModelCopies c : copies) {
            if (c.orderPending || c.inFlight > 0) {
                return false;
            }
        }
        return unansweredForwards.isEmpty() && !probePending;
    }

    /** It has gone for good: no model deals with it any more. */
    public void detachFromModels() {
        copies.forEach(c -> c.model.copies.remove(c));
        copies.clear();
    }

    /** It went away or may be a new process: nothing stands there. Adds the models concerned to {@code concerned}. */
    public void beginGeneration(double now, Set<Model> concerned) {
        generation++;
        for (ModelCopies c : copies) {
            concerned.add(c.model);
            c.loadedCopies = 0;
            c.othersInFlight.set(0, now);
        }
        report = null;
    }
}
