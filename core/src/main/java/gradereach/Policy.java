package gradereach;

import gradereach.api.*;
import gradereach.state.*;
import java.util.*;

/**
 * Every decision of one front end. The host makes one Policy an instance, calls the events of
 * {@link gradereach.api.Router} on it and then settle(); what it decides leaves through
 * {@link gradereach.api.Outlet}. Types are in gradereach.api, plain state in gradereach.state.
 *
 * The ordinary path (docs/design.md): a queue per model; a held inference goes to the busiest instance with
 * a free lane; one more copy is ordered when the counted lanes run out; idle copies lapse. Events change
 * beliefs, settle() sets what is wanted, emit() sends the difference.
 */
public final class Policy implements Router {
    private final RouterActions actions;
    private final Random random;
    private final SendRules sendRules;
    private final ExecutorHealth health = new ExecutorHealth();
    private final CustomerQuotas customerQuotas;
    private final FrontEndShare frontEndShare;
    private final FrontEndSettings frontEnd;
    private final LoadingRules loadingRules;
    private final ForwardRules forwardRules;
    private final ReadinessLeases leases;
    private final List<ModelGroup> groups;
    private final List<AnswerTimeStats> groupAnswerTimes = new ArrayList<>();

    private final Set<Executor> executors = new LinkedHashSet<>();
    private final Set<Executor> removedExecutors = new LinkedHashSet<>();
    /** Those that may have started anew while the roster could not tell. */
    private final Set<Executor> assumedRestarted = new LinkedHashSet<>();
    private int fleetVersion;
    private final Set<Model> modelsToReview = new LinkedHashSet<>();
    private final Set<Model> queuedModels = new LinkedHashSet<>();
    private final TimerQueue timers = new TimerQueue();
    private double timerScheduledAt = Double.POSITIVE_INFINITY;
    private int ordersInFlight, probeCredit = 10 * PROBE_CREDIT_PER_INFERENCE;
    private boolean rosterSubscribed;
    private double blockedValueDensity, blockedAt = Double.NEGATIVE_INFINITY;
    private double meanLoad, reportCount;
    private double now;

    private final List<Inference> inferencesToForward = new ArrayList<>();
    private final List<Inference> inferencesToReject = new ArrayList<>();
    private final List<Forward> forwardsToCancel = new ArrayList<>();
    private final Set<ModelCopies> ordersToSend = new LinkedHashSet<>();
    private final Set<Executor> executorsToProbe = new LinkedHashSet<>();

    public Policy(RouterActions out, Random chance, FrontEndSettings tier, List<ModelGroup> groups, List<Customer> customers,
            double surplusValue, ColdStartRule coldStarts, LoadOrderBudget ration, LoadingRules loading,
            ForwardRules forwarding) {
        this.actions = out;
        this.random = chance;
        this.frontEnd = tier;
        this.groups = groups;
        this.loadingRules = loading;
        this.forwardRules = forwarding;
        leases = new ReadinessLeases(forwarding.drainGrace());
        frontEndShare = new FrontEndShare(1d / Math.max(1, tier.frontEnds()));
        sendRules = new SendRules(coldStarts, ration, frontEndShare, forwarding, leases, new SlidingWindowSum(), new SlidingWindowSum(), new DecayingSum(),
                executors, chance);
        customerQuotas = new CustomerQuotas(surplusValue, customers.stream().mapToDouble(Customer::quotaPerSecond)
                .toArray(), frontEndShare, customers.stream().map(c -> new DecayingSum()).toList());
        for (ModelGroup group : groups) {
            AnswerTimeStats pace = new AnswerTimeStats();
            // Until answers tell: a quarter of the SLO time, since an SLO leaves room for a wait and a tail.
            pace.mean = pace.lowestMean = group.sloTime() / 4;
            groupAnswerTimes.add(pace);
        }
    }

    // ---- events change beliefs -------------------------------------------------------------------------

    @Override public void beginBatch(double at) {
        now = at;
        // Guards against a halt of this front end itself: what it finds late is no slow executor.
        health.resumedAt = at - timerScheduledAt > STALL_MILLIS ? at : health.resumedAt;
        frontEndShare.startedAt = Double.isNaN(frontEndShare.startedAt) ? at : frontEndShare.startedAt;
    }

    private static final double STALL_MILLIS = 50; // a few batches: less is the grid of the clock

    @Override public void onRosterUpdate(RosterUpdateKind form, List<ExecutorListing> listings) {
        if (form == RosterUpdateKind.FAILED) {
            rosterSubscribed = false;
            // Asked for again a second later: the service is short of capacity.
            timers.schedule(now + 1000, this);
            return;
        }
        if (form != RosterUpdateKind.CHANGES) {
            Set<Executor> missing = new LinkedHashSet<>(executors);
            listings.forEach(line -> missing.remove(line.executor()));
            for (Executor ex : missing) {
                ex.state = ExecutorState.REMOVED;
                ex.beginGeneration(now, modelsToReview);
                removedExecutors.add(ex);
            }
        }
        for (ExecutorListing line : listings) {
            Executor ex = line.executor();
            fleetVersion += executors.add(ex) ? 1 : 0;
            if (line.state() == ExecutorState.REMOVED) {
                removedExecutors.add(ex);
            } else {
                removedExecutors.remove(ex);
            }
            boolean sameStart = line.startedAt() == ex.rosterStartedAt;
            if (line.state() != ExecutorState.READY || !sameStart) {
                ex.beginGeneration(now, modelsToReview);
            }
            if (line.replaces() != null) {
                ex.recentWork.addAll(line.replaces().recentWork); // it may have come to this process already
            }
            ex.state = line.state();
            if (!sameStart || !assumedRestarted.contains(ex)) {
                ex.startedAt = line.startedAt();
                assumedRestarted.remove(ex);
            }
            ex.rosterStartedAt = line.startedAt();
            ex.capacity = line.capacity() > 0 ? line.capacity() : 1;
            ex.location = line.location();
            ex.cell = line.cell();
        }
        if (Double.isNaN(health.fleet.concurrencyLimit) && !executors.isEmpty()) {
            health.fleet.concurrencyLimit = Math.max(ExecutorHealth.INITIAL_CONCURRENCY_LIMIT, INITIAL_FLEET_LIMIT_PER_EXECUTOR * executors.size() * frontEndShare.fraction);
        }
        timers.schedule(now, this);
    }

    @Override public void onRosterValidity(double confirmedAt, double until) {
        leases.rosterValid(confirmedAt, until);
        if (leases.rosterValid(now) && !assumedRestarted.isEmpty()) {
            assumedRestarted.forEach(ex -> ex.startedAt = ex.rosterStartedAt);
            assumedRestarted.clear();
        }
    }

    @Override public boolean maySend(Executor ex, double at) { return leases.maySend(ex, at); }

    @Override public void onConnectionReset(Executor ex) { leases.recordDisconnect(ex, now); }

    private void checkForRestart(Executor ex, double sentAt) {
        if (leases.mayHaveRestarted(ex, sentAt, now)) {
            assumeRestarted(ex, ex.disconnectedAt);
        }
    }

    /** A process that may be new has nothing loaded and is cold; what was sent since the old one's end went to it. */
    private void assumeRestarted(Executor ex, double endedAt) {
        ex.disconnectedAt = Double.NEGATIVE_INFINITY;
        ex.beginGeneration(now, modelsToReview);
        ex.assignToCurrentGeneration(endedAt);
        ex.startedAt = now;
        assumedRestarted.add(ex);
    }

    @Override public void onInferenceAccepted(Inference inf) {
        Model mdl = inf.model;
        if (mdl.group == null) {
            mdl.group = inf.group;
            mdl.groupAnswerTimes = groupAnswerTimes.get(groups.indexOf(inf.group));
        }
        sendRules.acceptedInferences().add(1, now);
        probeCredit = Math.min(10 * PROBE_CREDIT_PER_INFERENCE, probeCredit + PROBE_CREDIT_PER_INFERENCE);
        inf.overQuota = customerQuotas.recordArrival(inf.customer, now);
        mdl.acceptedCount++;
        mdl.recentArrivals.add(1, now, RECENT_DECAY_MILLIS);
        enqueue(inf);
        timers.schedule(lateAfter(inf), inf);
        timers.schedule(giveUpAt(inf), inf);
    }

    /** Its SLO time is that of the start: the rest lasts while its client reads, and keeps only its lane. */
    @Override public void onAnswerStarted(Forward fwd, double took) {
        fwd.inference.streaming = true;
        fwd.answerStarted = true;
        addUnanswered(fwd, -1);
        fwd.executor.unansweredForwards.remove(fwd);
        health.fleet.unansweredForwards.remove(fwd);
        if (fwd.sentAt >= health.resumedAt) {
            health.recordAnswer(health.fleet, took / fwd.targetAnswerTime, now);
        }
    }

    @Override public void onForwardEnded(Forward fwd, ForwardResult answer) {
        Inference inf = fwd.inference;
        fwd.executor.unansweredForwards.remove(fwd);
        health.fleet.unansweredForwards.remove(fwd);
        addInFlight(fwd.copies, -1);
        addUnanswered(fwd, fwd.answerStarted ? 1 : 0);
        modelsToReview.add(inf.model);
        if (fwd.isCurrent()) {
            recordReport(fwd.executor, answer.report());
            updateExecutor(fwd, answer);
        }
        updateFleetStatistics(fwd, answer);
        if (answer.inferenceDone() || inf.done) {
            onInferenceCancelled(inf);
        } else if (now < giveUpAt(inf) && inf.forwards.size() < forwardRules.maxForwards()
                && (!inf.mayHaveRun() || inf.group.retrySafety() != RetrySafety.NON_RETRIABLE)) {
            enqueue(inf);
        } else {
            reject(inf);
        }
    }

    /** What an answer tells of the model and of all executors as one, whichever process gave it. */
    private void updateFleetStatistics(Forward fwd, ForwardResult answer) {
        switch (answer.outcome()) {
            case RETURNED -> {
                fwd.inference.model.consecutiveFailedLoads = 0;
                if (isWarmAnswer(fwd, answer)) {
                    if (!fwd.answerStarted) {
                        health.recordAnswer(health.fleet, answer.elapsed() / fwd.targetAnswerTime, now);
                    }
                    fwd.copies.model.answerTimes.add(answer.elapsed(), now, ANSWER_TIME_SAMPLES, ANSWER_TIME_SAMPLES / 5, LOWEST_MEAN_GROWTH_PER_MILLI);
                    fwd.copies.model.groupAnswerTimes.add(answer.elapsed(), now, ANSWER_TIME_SAMPLES, ANSWER_TIME_SAMPLES / 5, LOWEST_MEAN_GROWTH_PER_MILLI);
                }
            }
            case TIMED_OUT, CANCELLED -> {
                if (!fwd.answerStarted) {
                    health.fleet.slowdownSum.add(answer.elapsed() / fwd.targetAnswerTime, now, ExecutorHealth.STATISTICS_DECAY_MILLIS);
                }
            }
            default -> { }
        }
    }

    /** Whether its answer time is that of a warm copy, and not of a halt of this front end. */
    private boolean isWarmAnswer(Forward fwd, ForwardResult answer) {
        return fwd.sentAt >= health.resumedAt
                && (answer.loadStatus() == LoadStatus.ALREADY_LOADED || answer.loadStatus() == LoadStatus.UNKNOWN);
    }

    /** What an answer tells of the process that gave it, which is the one that the executor stands for now. */
    private void updateExecutor(Forward fwd, ForwardResult answer) {
        ModelCopies c = fwd.copies;
        Executor ex = fwd.executor;
        if (answer.modelInFlight() >= 0) {
            double others = Math.max(0, answer.modelInFlight() - fwd.ownInFlight);
            double before = totalInFlight(c) - c.inFlight;
            // Counted in answers: one of many front ends hears seldom, and each crowd met is a fair sample.
            c.othersInFlight.set(before < 0.01 ? others : 0.7 * before + 0.3 * others, now);
            c.peakInFlight = Math.max(c.peakInFlight, answer.modelInFlight() + 1);
        }
        if (answer.outcome() == Outcome.RETURNED || answer.outcome() == Outcome.MISS) {
            checkForRestart(ex, fwd.sentAt);
        }
        switch (answer.outcome()) {
            case RETURNED -> {
                c.loadedCopies = Math.max(1, c.loadedCopies);
                c.lastUsedAt = now;
                c.loadedUntil = now + loadingRules.idleUnloadTime();
                scheduleReview(c);
                health.lowerSuspicion(ex, now);
                if (isWarmAnswer(fwd, answer)) {
                    health.recordAnswer(ex, answer.elapsed() / expectedAnswerTime(c.model), now);
                }
            }
            case MISS -> {
                c.loadedCopies = 0;
                if (answer.loadStatus() == LoadStatus.LOAD_FAILED) {
                    c.backoffUntil = now + BACKOFF_MILLIS;
                } else if (!c.model.hasLoadedCopy()) {
                    requestCopies(c, 1);
                }
            }
            case FULL -> {
                c.backoffUntil = now + BACKOFF_MILLIS;
                leases.invalidateProof(ex, fwd.sentAt);
                health.recordFull(ex);
                health.raiseSuspicion(ex, 0.3, now);
            }
            // What stands there is not forgotten: a broken link is no dead executor.
            case CONNECT_FAILED, RESET -> {
                leases.recordDisconnect(ex, now);
                health.raiseSuspicion(ex, 2, now);
            }
            case ERROR -> health.raiseSuspicion(ex, 0.3, now);
            case TIMED_OUT, CANCELLED -> {
                if (fwd.answerStarted) {
                    break; // its reader left, or took its time
                }
                // Guards against an executor that never answers: what ended without one still counts as time.
                ex.slowdownSum.add(answer.elapsed() / fwd.expectedAnswerTime, now, ExecutorHealth.STATISTICS_DECAY_MILLIS);
                health.raiseSuspicion(ex, answer.outcome() == Outcome.CANCELLED ? 0 : 0.3, now);
            }
            default -> { }
        }
    }

    private static final int ANSWER_TIME_SAMPLES = 100; // the least of a shorter mean would be the luckiest
    private static final double LOWEST_MEAN_GROWTH_PER_MILLI = 0.00001; // a hundredth a second: work that grew is noticed

    @Override public void onTimer(long tag) { timerScheduledAt = Double.POSITIVE_INFINITY; }

    @Override public void onProbeEnded(Executor ex, Outcome outcome, double took, ExecutorReport report) {
        ex.probePending = false;
        if (ex.probeGeneration != ex.generation) {
            return; // of a process that has gone
        }
        recordReport(ex, report);
        switch (outcome) {
            case RETURNED -> {
                if (leases.mayHaveRestarted(ex, ex.probeSentAt, now)) {
                    assumeRestarted(ex, ex.disconnectedAt);
                } else if (leases.wasDraining(ex, now)) {
                    assumeRestarted(ex, now);
                }
                leases.recordReady(ex, ex.probeSentAt);
            }
            case ERROR, FULL -> leases.recordNotReady(ex, ex.probeSentAt);
            case CONNECT_FAILED, RESET -> {
                leases.recordDisconnect(ex, now);
                health.raiseSuspicion(ex, 2, now);
            }
            default -> { }
        }
    }

    @Override public void onOrderEnded(Executor ex, Model mdl, Outcome outcome, double took, int standing) {
        ModelCopies c = mdl.copiesOn(ex);
        boolean current = c.orderIsCurrent();
        boolean question = c.recordOrderEnded();
        ordersInFlight -= question ? 0 : 1;
        modelsToReview.add(mdl);
        if (current) {
            updateCopies(c, outcome, question, standing);
        }
    }

    /** What the end of an order or a question tells of the process that it was sent to, which is the present one. */
    private void updateCopies(ModelCopies c, Outcome outcome, boolean question, int standing) {
        Executor ex = c.executor;
        Model mdl = c.model;
        c.backoffUntil = outcome == Outcome.RETURNED ? c.backoffUntil : now + BACKOFF_MILLIS;
        if (outcome == Outcome.FULL) {
            leases.invalidateProof(ex, c.orderSentAt);
        } else if (outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED) {
            leases.recordDisconnect(ex, now);
        } else if (outcome == Outcome.RETURNED) {
            checkForRestart(ex, c.orderSentAt);
        }
        if (outcome == Outcome.RETURNED || outcome == Outcome.FULL || outcome == Outcome.ERROR) {
            c.loadedCopies = standing;
            c.confirmedAt = now;
            // A question does not renew: what stands has, on the mean, half its idle time left.
            c.loadedUntil = Math.max(c.loadedUntil, now + loadingRules.idleUnloadTime() / (question ? 2 : 1));
            scheduleReview(c);
        } else {
            health.raiseSuspicion(ex, 0.7, now);
        }
        if (outcome == Outcome.ERROR && !question) {
            mdl.consecutiveFailedLoads++;
            mdl.lastFailedLoadAt = now;
        } else if (standing > 0) {
            mdl.consecutiveFailedLoads = 0;
        }
    }

    private static final double BACKOFF_MILLIS = 1000; // a pair that said no is passed over for about one load

    /**
     * Failed wherever it was tried: there hardly is such a model. What asks for it is given up at once, and
     * not ordered on one executor after the other; later one more try is made. Harms models that come up
     * while no executor can load.
     */
    private boolean cannotLoad(Model mdl) {
        return mdl.consecutiveFailedLoads >= MAX_CONSECUTIVE_FAILED_LOADS && !mdl.hasLoadedCopy() && mdl.inFlight == 0
                && now - mdl.lastFailedLoadAt < FAILED_LOAD_RETRY_MILLIS;
    }

    private static final int MAX_CONSECUTIVE_FAILED_LOADS = 3; // few sound loads fail: hardly one thrice in a row
    private static final double FAILED_LOAD_RETRY_MILLIS = 5000; // longer than a burst of clients that come again at once

    @Override public void onPeerMessage(int from, byte[] words) { }

    @Override public void onShareChanged(double part) { frontEndShare.fraction = part; }

    // ---- what is wanted --------------------------------------------------------------------------------

    /** Lets go of executors that have gone, once nothing of ours is out there. */
    private void dropIdleRemovedExecutors() {
        for (Executor ex : removedExecutors.isEmpty() ? List.<Executor>of() : List.copyOf(removedExecutors)) {
            if (ex.isIdle()) {
                removedExecutors.remove(ex);
                executors.remove(ex);
                ex.detachFromModels();
                fleetVersion++;
            }
        }
    }

    @Override public boolean tryForgetModel(Model mdl) {
        boolean lets = mdl.isIdle() && mdl.recentArrivals.value(now, RECENT_DECAY_MILLIS) < MIN_RECENT_ARRIVALS;
        if (lets) {
            mdl.copies.forEach(c -> c.executor.copies.remove(c));
            modelsToReview.remove(mdl);
        }
        return lets;
    }

    private static final double MIN_RECENT_ARRIVALS = 0.001; // seven times LATELY after its last inference

    @Override public void endBatch() {
        dropIdleRemovedExecutors();
        for (Object whom = timers.pollDue(now); whom != null; whom = timers.pollDue(now)) {
            if (whom instanceof Inference inf) {
                reviewInference(inf);
            } else if (whom instanceof ModelCopies c) {
                reviewCopies(c);
            } else if (whom instanceof Model mdl) {
                modelsToReview.add(mdl);
            } else if (frontEnd.subscribesToRoster() && !rosterSubscribed) {
                rosterSubscribed = true;
                actions.setRosterSubscription(true);
            }
        }
        modelsToReview.addAll(queuedModels);
        List<Model> order = new ArrayList<>(modelsToReview);
        modelsToReview.clear();
        // Where room is short the queues with the most value for their work go first.
        order.sort(Comparator.comparingDouble(mdl -> mdl.queue.isEmpty() ? 0 : -valueDensity(mdl.queue.first())));
        for (Model mdl : order) {
            dispatchQueue(mdl);
            if (!mdl.queue.isEmpty() && !leases.rosterValid(now)) {
                renewLeases(mdl);
            }
            orderCopyIfNeeded(mdl);
        }
        sendActions();
    }

    /** What an answer still brings for its work. */
    private double valueDensity(Inference inf) {
        return inf.group.value() * (isLate(inf) ? inf.group.lateValueFraction() : 1) / expectedAnswerTime(inf.model)
                * (inf.overQuota ? customerQuotas.overQuotaValue() : 1);
    }

    /** Sent now, the mean inference ends past its SLO time; a client's repeat counts from its first try. */
    private boolean isLate(Inference inf) { return inf.isRetry || now >= lateAfter(inf); }

    private static double lateAfter(Inference inf) {
        return inf.acceptedAt + inf.group.sloTime() - expectedAnswerTime(inf.model);
    }

    /**
     * Queues keep the order of coming, those late or beyond their customer's share behind the others. Guards
     * against a backlog in which everything is served just too late; harms the late ones only.
     */
    private void enqueue(Inference inf) {
        dequeue(inf);
        inf.queued = true;
        inf.queueRank = (inf.overQuota ? 2 : 0) + (isLate(inf) ? 1 : 0);
        inf.model.queue.add(inf);
        queuedModels.add(inf.model);
    }

    private void dequeue(Inference inf) {
        inf.queued = false;
        if (inf.model.queue.remove(inf) && inf.model.queue.isEmpty()) {
            queuedModels.remove(inf.model);
        }
    }

    /** Half the SLO time: past it, an instance's queue is the better bet than a lane that may come free. */
    private static double maxLaneWait(Inference inf) { return inf.group.sloTime() / 2; }

    /** The last batch but one before the client leaves. */
    private double giveUpAt(Inference inf) { return inf.deadlineAt - 3 * frontEnd.tick(); }

    private void dispatchQueue(Model mdl) {
        boolean nobodyToAsk = !frontEnd.probesAllowed() && leases.rosterExpiredFor(ROSTER_RECOVERY_MILLIS, now);
        if (cannotLoad(mdl) || nobodyToAsk) {
            List.copyOf(mdl.queue).forEach(this::reject);
            return;
        }
        boolean lanes = true;
        boolean room = true;
        // Lanes that others fill come free unseen: without any of ours out, there is nothing to wait for.
        boolean waits = mdl.inFlight > 0 || !mdl.hasLoadedCopy();
        // Step by step, not a copy: a long queue is looked into at its head only.
        Inference head = mdl.queue.isEmpty() ? null : mdl.queue.first();
        for (Inference inf = head; inf != null; inf = mdl.queue.higher(inf)) {
            // In a long queue the first that finds nothing speaks for the rest, but for those with a past.
            boolean fresh = inf.forwards.isEmpty();
            boolean early = !waits || now - inf.acceptedAt >= maxLaneWait(inf);
            ModelCopies c = lanes || !fresh ? selectCopies(mdl, inf, true) : null;
            lanes &= c != null || !fresh;
            if (c == null && early && (room || !fresh)) {
                c = selectCopies(mdl, inf, false);
                room &= c != null || !fresh;
            }
            if (c != null) {
                dequeue(inf);
                inf.target = c;
                addInFlight(c, 1);
                inferencesToForward.add(inf);
                continue;
            }
            boolean stuck = early && inf.firstCandidate == null && mdl.hasLoadedCopy();
            if (stuck && (now - blockedAt > BLOCKED_MILLIS || valueDensity(inf) >= blockedValueDensity)) {
                blockedValueDensity = valueDensity(inf);
                blockedAt = now;
            }
            if (!lanes && !room) {
                return;
            }
        }
    }

    /** Where executors cannot be asked: a source of the roster that is there again tells so within a second. */
    private static final double ROSTER_RECOVERY_MILLIS = 1000;

    private void addInFlight(ModelCopies c, int more) {
        c.addInFlight(more);
        health.fleet.inFlight += more;
    }

    /** In-flight limits count what has not started: they guard the wait for it. Lanes are kept to the end. */
    private void addUnanswered(Forward fwd, int more) {
        fwd.executor.inFlight += more;
        health.fleet.inFlight += more;
        fwd.inference.model.startedAnswers -= more;
    }

    private static final double BLOCKED_MILLIS = 1000; // for so long the clearly less worth leave half of it free

    /** Others' inferences there are forgotten as what stands there is. */
    private double totalInFlight(ModelCopies c) { return c.inFlight + c.othersInFlight.value(now, loadingRules.idleUnloadTime()); }

    private boolean canAccept(ModelCopies c, Inference inf) {
        Executor ex = c.executor;
        // Traffic follows distrust: every point leaves about a third of it.
        double distrust = ex.suspicion.value(now, ExecutorHealth.SUSPICION_DECAY_MILLIS);
        boolean yields = now - blockedAt < BLOCKED_MILLIS && valueDensity(inf) < 0.7 * blockedValueDensity;
        return now >= c.backoffUntil && sendRules.mayForward(inf, ex, expectedAnswerTime(c.model), now)
                && estimatedAnswerTime(c, inf) < inf.deadlineAt - now
                && ex.inFlight < health.concurrencyLimit(ex, now) * (yields ? 0.5 : 1)
                && health.fleet.inFlight < Math.max(health.concurrencyLimit(health.fleet, now) * (yields ? 0.5 : 1),
                        MIN_FLEET_LIMIT_PER_EXECUTOR * executors.size() * frontEndShare.fraction)
                && (distrust < 0.02 || random.nextDouble() < Math.exp(-distrust));
    }

    /**
     * What an answer there is taken to need: as expected, times how slow the executor has been. Past the early point one
     * that has nothing of ours is tried all the same. Guards against one slow answer among few, which counts in both
     * factors, and shuts an idle executor for longer than a client waits; harms one inference at an executor that stalls.
     */
    private double estimatedAnswerTime(ModelCopies c, Inference inf) {
        boolean idle = c.executor.inFlight == 0 && now - inf.acceptedAt >= maxLaneWait(inf);
        return expectedAnswerTime(c.model) * (idle ? 1 : health.slowdown(c.executor, now));
    }

    private static final double MIN_FLEET_LIMIT_PER_EXECUTOR = 4; // so many an executor, from all front ends, are no crowd
    // So many are tried before answers tell: a start meets models to load, a low guess holds what could run.
    private static final double INITIAL_FLEET_LIMIT_PER_EXECUTOR = 16;

    /**
     * Busy counts what is there and what was there lately, or else all idle instances would tie, be used in
     * turn, and none would lapse. A few arrivals of a middling model.
     */
    private static final double RECENT_DECAY_MILLIS = 3000;

    /**
     * The busiest instance with a free lane, ties random; one too slow for the SLO time comes last. Without
     * {@code lanes} the least busy one. Guards against others' crowds: one more is looked at beside it.
     */
    private ModelCopies selectCopies(Model mdl, Inference inf, boolean lanes) {
        if (inf.firstCandidate != null && (isProbeAwaited(inf.firstCandidate.executor) || isProbeAwaited(inf.secondCandidate.executor))) {
            return null;
        }
        ModelCopies best = null;
        ModelCopies other = null;
        double bestRank = Double.NEGATIVE_INFINITY;
        int seen = 0;
        for (ModelCopies c : mdl.copies) {
            int copies = lanes || now - c.orderSentAt <= ORDER_DELIVERY_MILLIS ? c.loadedCopies : Math.max(c.loadedCopies, c.copiesOnOrder());
            if (copies == 0 || lanes && totalInFlight(c) > c.loadedCopies * mdl.lanes - 0.5 || !canAccept(c, inf)) {
                continue;
            }
            double answers = expectedAnswerTime(mdl) * health.slowdown(c.executor, now);
            double rank = !lanes ? -(totalInFlight(c) + 1) / (copies * mdl.lanes) * answers
                    : answers > maxLaneWait(inf) ? -answers : c.inFlight + c.recentForwards.value(now, RECENT_DECAY_MILLIS);
            boolean better = rank > bestRank || rank == bestRank && random.nextInt(2) == 0;
            ModelCopies left = better ? best : c;
            other = left != null && random.nextInt(++seen) == 0 ? left : other;
            best = better ? c : best;
            bestRank = better ? rank : bestRank;
        }
        if (other == null || !frontEnd.probesAllowed()) {
            return best;
        }
        if (inf.firstCandidate == null) {
            inf.firstCandidate = best;
            inf.secondCandidate = other;
            if (refreshReport(best.executor) | refreshReport(other.executor)) {
                return null;
            }
        }
        ModelCopies one = canStillAccept(inf.firstCandidate, inf) ? inf.firstCandidate : best;
        ModelCopies two = canStillAccept(inf.secondCandidate, inf) ? inf.secondCandidate : one;
        inf.firstCandidate = null;
        // A fifth more is what reports are off by.
        return relativeLoad(one.executor) > 1.2 * relativeLoad(two.executor) ? two : one;
    }

    private boolean canStillAccept(ModelCopies c, Inference inf) { return c.loadedCopies + c.copiesOnOrder() > 0 && canAccept(c, inf); }

    /** Probes it where its report is old; whether the answer is worth a wait. */
    private boolean refreshReport(Executor ex) {
        if (!ex.probePending && now - ex.reportedAt > REPORT_FRESH_MILLIS && probeCredit > 0 && executorsToProbe.add(ex)) {
            probeCredit--;
        }
        return isProbeAwaited(ex);
    }

    /** Asks it whether it is ready where the roster can no longer tell; whether the answer is worth a wait. */
    private boolean renewLease(Executor ex) {
        if (frontEnd.probesAllowed() && !ex.probePending && leases.shouldProbe(ex, now) && probeCredit > 0 && executorsToProbe.add(ex)) {
            probeCredit--;
        }
        return isProbeAwaited(ex);
    }

    /** Something is held that none of the executors with a lease takes: others that hold its model are asked. */
    private void renewLeases(Model mdl) {
        int asked = 0;
        for (ModelCopies c : mdl.copies) {
            if (asked < LEASE_PROBES_PER_MODEL && c.loadedCopies + c.copiesOnOrder() > 0 && !sendRules.maySendTo(c.executor, now)
                    && now >= c.backoffUntil && renewLease(c.executor)) {
                asked++;
            }
        }
    }

    /** As many as are looked at for one inference. */
    private static final int LEASE_PROBES_PER_MODEL = 2;

    private boolean isProbeAwaited(Executor ex) {
        return executorsToProbe.contains(ex) || unansweredProbeAge(ex) > 0 && unansweredProbeAge(ex) <= REPLY_WAIT_MILLIS;
    }

    /** How long a probe has been out without any report since; 0 where none is. */
    private double unansweredProbeAge(Executor ex) {
        return ex.probePending && ex.reportedAt < ex.probeSentAt ? now - ex.probeSentAt : 0;
    }

    /**
     * Looks and questions an inference taken pays for, ten's at once; three are used when all is well. Guards
     * against a fleet that is asked more the worse it is; harms a front end that restarts into many models.
     */
    private static final int PROBE_CREDIT_PER_INFERENCE = 8;
    private static final double REPORT_FRESH_MILLIS = 300; // reports are refreshed a few times a second

    private static final double ORDER_DELIVERY_MILLIS = 20; // a forward may overtake an order: a few network trips

    /** Mean answer time of a warm, unhurried copy: the group's shortest, shaped by the model's own mean. */
    private static double expectedAnswerTime(Model mdl) {
        double own = mdl.answerTimes.count;
        // Eight answers of its own weigh as much as the group's.
        double shape = (8 + own * mdl.answerTimes.mean / mdl.groupAnswerTimes.mean) / (8 + own);
        return Math.max(1, mdl.groupAnswerTimes.lowestMean * shape);
    }

    /** Orders one more when the counted lanes run out. */
    private void orderCopyIfNeeded(Model mdl) {
        if (mdl.ordersInFlight >= MAX_ORDERS_PER_MODEL || ordersInFlight >= MAX_ORDERS || !sendRules.mayOrder(now)
                || cannotLoad(mdl)) {
            return;
        }
        int lanes = 0;
        int free = 0;
        int coming = 0;
        double others = 0;
        for (ModelCopies c : mdl.copies) {
            if (c.loadedCopies + c.copiesOnOrder() + c.inFlight > 0 && isUsable(c.executor)) {
                double here = totalInFlight(c);
                lanes += c.loadedCopies * mdl.lanes;
                free += Math.max(0, (int) (c.loadedCopies * mdl.lanes - here + 0.5));
                coming += Math.max(0, c.copiesOnOrder() - c.loadedCopies) * mdl.lanes;
                others += here - c.inFlight;
            }
        }
        int held = mdl.queue.size();
        // What flows holds its lane for as long as its client reads, which no mean answer time tells.
        double busy = mdl.recentArrivals.value(now, RECENT_DECAY_MILLIS) / RECENT_DECAY_MILLIS * expectedAnswerTime(mdl) + others + mdl.startedAnswers;
        // Also where the last instance has just left with its executor: the next would wait for a load.
        boolean wished = mdl.inFlight + others + held > 0 || mdl.recentArrivals.value(now, RECENT_DECAY_MILLIS) > 0.5;
        boolean out = free <= 0 && wished && (lanes == 0 || busy > BUSY_LANES_THRESHOLD * lanes
                || held * expectedAnswerTime(mdl) / lanes > mdl.group.sloTime() / 2);
        if (!out || coming > 0 && coming >= held || mdl.queriesInFlight > 0 && now - mdl.queriedAt <= REPLY_WAIT_MILLIS) {
            return;
        }
        int depth = 0;
        List<Executor> near = rendezvousOrder(mdl);
        // Where asking costs more, fewer are asked, or none: an order is answered at once where one stands.
        double asks = Math.min(MAX_CANDIDATES, QUERY_COST_LIMIT / frontEnd.probeCost());
        for (int i = 0; i < near.size() && depth + 1 <= asks; i++) {
            ModelCopies c = sendRules.mayQuery(near.get(i)) ? mdl.copiesOn(near.get(i)) : null;
            if (c != null && c.loadedCopies == 0) {
                depth++;
                if (!c.orderPending && now - c.confirmedAt > QUERY_INTERVAL_MILLIS && probeCredit > 0) {
                    probeCredit--;
                    mdl.queriedAt = now;
                    requestCopies(c, 0);
                }
            }
        }
        ModelCopies c = mdl.queriedAt == now ? null : selectExecutorForOrder(mdl);
        if (c != null) {
            requestCopies(c, c.loadedCopies + 1);
        }
    }

    /** The design's starting values: two loads under way for a model, and a small total. */
    private static final int MAX_ORDERS_PER_MODEL = 2, MAX_ORDERS = 8;
    private static final double BUSY_LANES_THRESHOLD = 0.5; // lanes out for a moment are worth a wait, not a load
    private static final double QUERY_INTERVAL_MILLIS = 8000; // cheap beside a load, but each one asked must answer
    /** Orders go to the first in rendezvous order, so what stands does so on the first few. */
    private static final int MAX_CANDIDATES = 4;
    private static final double QUERY_COST_LIMIT = 0.05; // points: a twentieth of what an inference brings pays for questions
    private static final double REPLY_WAIT_MILLIS = 15; // a few network trips; one that stalls is not waited for

    /** The executors in a model's rendezvous order; sorted anew where the fleet has changed. */
    private List<Executor> rendezvousOrder(Model mdl) {
        if (mdl.rendezvousFleetVersion != fleetVersion) {
            mdl.rendezvousFleetVersion = fleetVersion;
            mdl.rendezvousOrder.clear();
            mdl.rendezvousOrder.addAll(executors);
            mdl.rendezvousOrder.sort(Comparator.comparingLong(ex -> rendezvousHash(mdl, ex)));
        }
        return mdl.rendezvousOrder;
    }

    /** First in the model's rendezvous order whose use, looked at, is not far above the mean. */
    private ModelCopies selectExecutorForOrder(Model mdl) {
        ModelCopies least = null;
        int seen = 0;
        int unproven = 0;
        for (Executor ex : rendezvousOrder(mdl)) {
            if (!isUsable(ex) || mdl.copiesOn(ex).orderPending || now < mdl.copiesOn(ex).backoffUntil) {
                continue;
            }
            if (!sendRules.maySendTo(ex, now)) {
                if (renewLease(ex)) {
                    timers.schedule(now + REPLY_WAIT_MILLIS, mdl);
                    return null;
                }
                if (++unproven == MAX_CANDIDATES) {
                    return least; // nobody answers, or nothing pays for more questions: the others would not either
                }
                continue;
            }
            if (frontEnd.probesAllowed() && now - ex.reportedAt > 4 * REPORT_FRESH_MILLIS && refreshReport(ex)) {
                timers.schedule(now + REPLY_WAIT_MILLIS, mdl);
                return null;
            }
            // Half above the mean is within the reports' noise.
            if (relativeLoad(ex) <= 1.5 * meanLoad) {
                return mdl.copiesOn(ex);
            }
            least = least == null || relativeLoad(ex) < relativeLoad(least.executor) ? mdl.copiesOn(ex) : least;
            if (++seen == MAX_CANDIDATES) {
                return least;
            }
        }
        return least;
    }

    /** A mean over the last reports heard: the fleet, seen through what we deal with. */
    private void recordReport(Executor ex, ExecutorReport report) {
        ex.recordReport(report, now);
        if (report != null) {
            meanLoad += (relativeLoad(ex) - meanLoad) / Math.min(++reportCount, MEAN_LOAD_SAMPLES);
        }
    }

    private static final double MEAN_LOAD_SAMPLES = 20; // as many executors as a model may choose from

    /** Whether what stands there counts: a lease that ran out is renewed when it is needed. */
    private boolean isUsable(Executor ex) {
        return ex.state == ExecutorState.READY && !leases.isRefusing(ex, now)
                && ex.suspicion.value(now, ExecutorHealth.SUSPICION_DECAY_MILLIS) <= 0.7;
    }

    /** What it has to do: as reported, or else our own part; one that leaves a probe unheard is full. */
    private double relativeLoad(Executor ex) {
        ExecutorReport r = now - ex.reportedAt < 4 * REPORT_FRESH_MILLIS ? ex.report : null;
        double use = unansweredProbeAge(ex) > REPLY_WAIT_MILLIS ? 100 // more than most executors hold
                : r == null ? ex.inFlight : !Double.isNaN(r.inFlight()) ? r.inFlight()
                // A share of busy cores says little near 1: turned into what would be there.
                : (r.queued() > 0 ? r.queued() : 0) + (r.busyFraction() > 0 ? 1 / (1.1 - Math.min(1, r.busyFraction())) : 0);
        return use / ex.capacity / sendRules.capacityFraction(ex, now);
    }

    private static long rendezvousHash(Model mdl, Executor ex) {
        long h = (mdl.id * 0x9e3779b97f4a7c15L ^ ex.id) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 31) * 0x94d049bb133111ebL;
        return h ^ h >>> 29;
    }

    /** No order may ask for more than 16, though executors may hold more of their own accord. */
    private void requestCopies(ModelCopies c, int count) {
        c.wantedCopies = Math.min(16, count);
        ordersToSend.add(c);
    }

    private void scheduleReview(ModelCopies c) {
        if (!c.reviewScheduled) {
            c.reviewScheduled = true;
            timers.schedule(Math.max(now + 1, c.loadedUntil - renewLead()), c);
        }
    }

    /** A tenth of the idle time: late enough to see a last use, early enough for a slow trip. */
    private double renewLead() { return loadingRules.idleUnloadTime() / 10; }

    /** Near its idle time's end an instance is renewed if it was used and its model came more than once. */
    private void reviewCopies(ModelCopies c) {
        c.reviewScheduled = false;
        c.loadedCopies = now >= c.loadedUntil && c.inFlight == 0 ? 0 : c.loadedCopies;
        if (c.loadedCopies == 0) {
            return;
        } else if (now >= c.loadedUntil - renewLead() - 1) {
            c.loadedCopies = Math.min(c.loadedCopies, Math.max(1, (int) Math.ceil(c.peakInFlight / c.model.lanes)));
            c.peakInFlight = c.inFlight;
            if (c.inFlight > 0) {
                c.loadedUntil = now + loadingRules.idleUnloadTime();
            } else if (c.lastUsedAt > c.renewedAt && c.model.acceptedCount > 1 && !sendRules.maySendTo(c.executor, now)
                    && renewLease(c.executor)) {
                c.reviewScheduled = true;
                timers.schedule(now + REPLY_WAIT_MILLIS, c);
                return;
            } else if (c.lastUsedAt > c.renewedAt && c.model.acceptedCount > 1) {
                c.renewedAt = now;
                requestCopies(c, c.loadedCopies);
            } else {
                c.reviewScheduled = true;
                timers.schedule(c.loadedUntil, c);
                return;
            }
        }
        scheduleReview(c);
    }

    private void reviewInference(Inference inf) {
        if (inf.queued && now >= giveUpAt(inf) - 0.5) {
            reject(inf);
        } else if (inf.queued && now >= lateAfter(inf)) {
            enqueue(inf);
        }
    }

    private void reject(Inference inf) {
        dequeue(inf);
        inf.rejection = sendRules.mayShed(inf) ? Rejection.SHED : Rejection.FAIL;
        inferencesToReject.add(inf);
    }

    @Override public void onInferenceCancelled(Inference inf) {
        inf.done = true;
        dequeue(inf);
        for (Forward fwd : inf.forwards) {
            if (fwd.outcome == null && !fwd.cancelled && forwardRules.cancellationAllowed() && !inf.streaming) {
                fwd.cancelled = true;
                forwardsToCancel.add(fwd);
            }
        }
    }

    /** Sends what is wanted and not yet so; every rule is asked once more at this door. */
    private void sendActions() {
        forwardsToCancel.forEach(actions::cancelForward);
        forwardsToCancel.clear();
        for (Inference inf : inferencesToReject) {
            if (!inf.done && inf.rejection == Rejection.SHED) {
                // It was held to the last: what comes back at once finds the same crowd.
                actions.shed(inf, forwardRules.sendsRetryAfter() ? forwardRules.maxRetryAfter() : 0);
            } else if (!inf.done) {
                actions.fail(inf);
            }
        }
        inferencesToReject.clear();
        for (ModelCopies c : ordersToSend) {
            int orders = c.wantedCopies == 0 ? 0 : 1;
            if (loadingRules.ordersAllowed() && !c.orderPending && (orders == 0 ? sendRules.mayQuery(c.executor)
                    : sendRules.maySendTo(c.executor, now) && sendRules.mayOrder(now))) {
                c.recordOrderSent(now);
                sendRules.orders().add(orders, now);
                ordersInFlight += orders;
                c.executor.leaseEndsAt = leases.leaseEnd(c.executor);
                actions.sendOrder(c.executor, c.model, c.wantedCopies);
            }
        }
        ordersToSend.clear();
        for (Inference inf : inferencesToForward) {
            ModelCopies c = inf.target;
            inf.target = null;
            if (inf.done || !sendRules.mayForward(inf, c.executor, expectedAnswerTime(c.model), now)) {
                addInFlight(c, -1);
                if (!inf.done) {
                    enqueue(inf);
                }
                continue;
            }
            c.executor.leaseEndsAt = leases.leaseEnd(c.executor);
            Forward fwd = actions.sendForward(inf, c.executor, inf.deadlineAt - 2 * frontEnd.tick());
            fwd.copies = c;
            fwd.ownInFlight = c.inFlight - 1;
            fwd.expectedAnswerTime = expectedAnswerTime(c.model) + (c.loadedCopies > 0 ? 0 : c.model.loadTime);
            // Where the mean is twice this, the tail misses the SLO; less shuts out healthy executors.
            fwd.targetAnswerTime = 0.375 * inf.group.sloTime() + (c.loadedCopies > 0 ? 0 : c.model.loadTime);
            c.executor.unansweredForwards.add(fwd);
            health.fleet.unansweredForwards.add(fwd);
            c.peakInFlight = Math.max(c.peakInFlight, totalInFlight(c));
            c.recentForwards.add(1, now, RECENT_DECAY_MILLIS);
            sendRules.recordForward(c.executor, expectedAnswerTime(c.model), now);
        }
        inferencesToForward.clear();
        for (Executor ex : executorsToProbe) {
            ex.probePending = true;
            ex.probeSentAt = now;
            ex.probeGeneration = ex.generation;
            actions.sendProbe(ex);
        }
        executorsToProbe.clear();
        // While something is held, look again soon, but no more than a thousand models a second.
        double again = queuedModels.isEmpty() ? Double.POSITIVE_INFINITY : now + Math.max(10, queuedModels.size());
        double next = Math.min(timers.nextDueAt(), again);
        if (next < timerScheduledAt) {
            timerScheduledAt = next;
            actions.scheduleTimer(Math.max(0, next - now), 0);
        }
    }
}
