package gradereach;

import gradereach.api.*;
import gradereach.state.*;
import java.util.*;

/**
 * Makes all routing decisions of one front end. The host creates one policy per front end, delivers events through
 * {@link gradereach.api.Router} and then calls {@link #endBatch}. The decisions go out through
 * {@link gradereach.api.RouterActions}. Settings and results are in {@code gradereach.api}, mutable state in
 * {@code gradereach.state}.
 *
 * <p>The usual path, as described in docs/design.md: Each model has a queue. A queued inference goes to the busiest executor that
 * has a free lane for the model. When the known lanes are exhausted, one more copy is ordered. Idle copies are left to expire.
 *
 * <p>Events update the state, {@link #endBatch} decides what to send, and {@link #sendActions} sends it. Times are in
 * milliseconds, and times named {@code ...At} are monotonic times.
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
    /** Executors that may have restarted while the roster was not valid; they count as cold. */
    private final Set<Executor> assumedRestarted = new LinkedHashSet<>();
    /** Changes whenever an executor is added or dropped, which makes the rendezvous orders of all models outdated. */
    private int fleetVersion;
    private final Set<Model> modelsToReview = new LinkedHashSet<>();
    private final Set<Model> queuedModels = new LinkedHashSet<>();
    private final TimerQueue timers = new TimerQueue();
    /** When the requested timer event is due; positive infinity if none is requested. */
    private double timerScheduledAt = Double.POSITIVE_INFINITY;
    private int ordersInFlight, probeCredit = 10 * PROBE_CREDIT_PER_INFERENCE;
    private boolean rosterSubscribed;
    /** Value density of the most valuable inference that recently found no executor, and when it was last blocked. */
    private double blockedValueDensity, blockedAt = Double.NEGATIVE_INFINITY;
    /** Mean relative load by the latest reports, and the number of reports so far. */
    private double meanLoad, reportCount;
    private double now;

    private final List<Inference> inferencesToForward = new ArrayList<>();
    private final List<Inference> inferencesToReject = new ArrayList<>();
    private final List<Forward> forwardsToCancel = new ArrayList<>();
    private final Set<ModelCopies> ordersToSend = new LinkedHashSet<>();
    private final Set<Executor> executorsToProbe = new LinkedHashSet<>();

    /** @param overQuotaValue value of an inference beyond its customer's quota, as a fraction of its usual value */
    public Policy(RouterActions actions, Random random, FrontEndSettings frontEnd, List<ModelGroup> groups,
            List<Customer> customers, double overQuotaValue, ColdStartRule coldStart, LoadOrderBudget loadOrderBudget,
            LoadingRules loadingRules, ForwardRules forwardRules) {
        this.actions = actions;
        this.random = random;
        this.frontEnd = frontEnd;
        this.groups = groups;
        this.loadingRules = loadingRules;
        this.forwardRules = forwardRules;
        leases = new ReadinessLeases(forwardRules.drainGrace());
        frontEndShare = new FrontEndShare(1d / Math.max(1, frontEnd.frontEndCount()));
        sendRules = new SendRules(coldStart, loadOrderBudget, frontEndShare, forwardRules, leases, new SlidingWindowSum(),
                new SlidingWindowSum(), new DecayingSum(), executors, random);
        customerQuotas = new CustomerQuotas(overQuotaValue, customers.stream().mapToDouble(Customer::quotaPerSecond)
                .toArray(), frontEndShare, customers.stream().map(customer -> new DecayingSum()).toList());
        for (ModelGroup group : groups) {
            AnswerTimeStats answerTimes = new AnswerTimeStats();
            // The estimate until answers are measured: an SLO time leaves room for queueing and for slow answers.
            answerTimes.mean = answerTimes.lowestMean = group.sloTime() / 4;
            groupAnswerTimes.add(answerTimes);
        }
    }

    // ---- events: update the state ----------------------------------------------------------------------

    @Override public void beginBatch(double time) {
        now = time;
        // A late timer event shows that this front end itself stalled, and read answers late that came from healthy executors.
        health.resumedAt = time - timerScheduledAt > STALL_MILLIS ? time : health.resumedAt;
        frontEndShare.startedAt = Double.isNaN(frontEndShare.startedAt) ? time : frontEndShare.startedAt;
    }

    private static final double STALL_MILLIS = 50; // a few batches; shorter delays come from the granularity of the clock
    private static final double RESUBSCRIPTION_DELAY_MILLIS = 1000; // the source of the roster fails when it is short of capacity

    @Override public void onRosterUpdate(RosterUpdateKind kind, List<ExecutorListing> listings) {
        if (kind == RosterUpdateKind.FAILED) {
            rosterSubscribed = false;
            timers.schedule(now + RESUBSCRIPTION_DELAY_MILLIS, this);
            return;
        }
        if (kind != RosterUpdateKind.CHANGES) {
            Set<Executor> missing = new LinkedHashSet<>(executors);
            listings.forEach(listing -> missing.remove(listing.executor()));
            for (Executor executor : missing) {
                executor.state = ExecutorState.REMOVED;
                executor.beginGeneration(now, modelsToReview);
                removedExecutors.add(executor);
            }
        }
        for (ExecutorListing listing : listings) {
            Executor executor = listing.executor();
            fleetVersion += executors.add(executor) ? 1 : 0;
            if (listing.state() == ExecutorState.REMOVED) {
                removedExecutors.add(executor);
            } else {
                removedExecutors.remove(executor);
            }
            boolean sameStart = listing.startedAt() == executor.rosterStartedAt;
            if (listing.state() != ExecutorState.READY || !sameStart) {
                executor.beginGeneration(now, modelsToReview);
            }
            if (listing.replacedExecutor() != null) {
                // What was sent to the same address may have reached the new process.
                executor.recentWork.addAll(listing.replacedExecutor().recentWork);
            }
            executor.state = listing.state();
            if (!sameStart || !assumedRestarted.contains(executor)) {
                executor.startedAt = listing.startedAt();
                assumedRestarted.remove(executor);
            }
            executor.rosterStartedAt = listing.startedAt();
            executor.capacity = listing.capacity() > 0 ? listing.capacity() : 1;
            executor.location = listing.location();
            executor.cell = listing.cell();
        }
        if (Double.isNaN(health.fleet.concurrencyLimit) && !executors.isEmpty()) {
            health.fleet.concurrencyLimit = Math.max(ExecutorHealth.INITIAL_CONCURRENCY_LIMIT,
                    INITIAL_FLEET_LIMIT_PER_EXECUTOR * executors.size() * frontEndShare.fraction);
        }
        timers.schedule(now, this);
    }

    @Override public void onRosterValidity(double confirmedAt, double validUntil) {
        leases.setRosterValidity(confirmedAt, validUntil);
        if (leases.isRosterValid(now) && !assumedRestarted.isEmpty()) {
            assumedRestarted.forEach(executor -> executor.startedAt = executor.rosterStartedAt);
            assumedRestarted.clear();
        }
    }

    @Override public boolean maySend(Executor executor, double time) { return leases.maySend(executor, time); }

    @Override public void onConnectionReset(Executor executor) { leases.recordDisconnect(executor, now); }

    private void checkForRestart(Executor executor, double sentAt) {
        if (leases.mayHaveRestarted(executor, sentAt, now)) {
            assumeRestarted(executor, executor.disconnectedAt);
        }
    }

    /**
     * Treats the executor as a new process, which is cold and has nothing loaded. What was sent after {@code endedAt}, when
     * the old process ended, went to the new one.
     */
    private void assumeRestarted(Executor executor, double endedAt) {
        executor.disconnectedAt = Double.NEGATIVE_INFINITY;
        executor.beginGeneration(now, modelsToReview);
        executor.assignToCurrentGeneration(endedAt);
        executor.startedAt = now;
        assumedRestarted.add(executor);
    }

    @Override public void onInferenceAccepted(Inference inference) {
        Model model = inference.model;
        if (model.group == null) {
            model.group = inference.group;
            model.groupAnswerTimes = groupAnswerTimes.get(groups.indexOf(inference.group));
        }
        sendRules.acceptedInferences().add(1, now);
        probeCredit = Math.min(10 * PROBE_CREDIT_PER_INFERENCE, probeCredit + PROBE_CREDIT_PER_INFERENCE);
        inference.overQuota = customerQuotas.recordArrival(inference.customerIndex, now);
        model.acceptedCount++;
        model.recentArrivals.add(1, now, RECENT_DECAY_MILLIS);
        enqueue(inference);
        timers.schedule(lateAfter(inference), inference);
        timers.schedule(giveUpAt(inference), inference);
    }

    /**
     * The SLO time of a streamed answer applies to its start. The rest takes as long as the client reads, and occupies only
     * a lane.
     */
    @Override public void onAnswerStarted(Forward forward, double elapsed) {
        forward.inference.answerStarted = true;
        forward.answerStarted = true;
        addUnanswered(forward, -1);
        forward.executor.unansweredForwards.remove(forward);
        health.fleet.unansweredForwards.remove(forward);
        if (forward.sentAt >= health.resumedAt) {
            health.recordAnswer(health.fleet, elapsed / forward.targetAnswerTime, now);
        }
    }

    @Override public void onForwardEnded(Forward forward, ForwardResult result) {
        Inference inference = forward.inference;
        forward.executor.unansweredForwards.remove(forward);
        health.fleet.unansweredForwards.remove(forward);
        addInFlight(forward.copies, -1);
        // Where the answer had started, onAnswerStarted() had already lowered the counts of unanswered forwards.
        addUnanswered(forward, forward.answerStarted ? 1 : 0);
        modelsToReview.add(inference.model);
        if (forward.isCurrent()) {
            recordReport(forward.executor, result.report());
            updateExecutor(forward, result);
        }
        updateFleetStatistics(forward, result);
        if (result.inferenceDone() || inference.done) {
            onInferenceCancelled(inference);
        } else if (now < giveUpAt(inference) && inference.forwards.size() < forwardRules.maxForwards()
                && (!inference.mayHaveRun() || inference.group.retrySafety() != RetrySafety.NON_RETRIABLE)) {
            enqueue(inference);
        } else {
            reject(inference);
        }
    }

    /** Updates the statistics of the model and of the fleet. A result of an earlier process of the executor counts too. */
    private void updateFleetStatistics(Forward forward, ForwardResult result) {
        switch (result.outcome()) {
            case RETURNED -> {
                forward.inference.model.consecutiveFailedLoads = 0;
                if (usedLoadedCopy(forward, result)) {
                    if (!forward.answerStarted) {
                        health.recordAnswer(health.fleet, result.elapsed() / forward.targetAnswerTime, now);
                    }
                    forward.copies.model.answerTimes.add(result.elapsed(), now, ANSWER_TIME_SAMPLES,
                            ANSWER_TIME_SAMPLES / 5, LOWEST_MEAN_GROWTH_PER_MILLI);
                    forward.copies.model.groupAnswerTimes.add(result.elapsed(), now, ANSWER_TIME_SAMPLES,
                            ANSWER_TIME_SAMPLES / 5, LOWEST_MEAN_GROWTH_PER_MILLI);
                }
            }
            case TIMED_OUT, CANCELLED -> {
                if (!forward.answerStarted) {
                    health.fleet.slowdownSum.add(result.elapsed() / forward.targetAnswerTime, now,
                            ExecutorHealth.STATISTICS_DECAY_MILLIS);
                }
            }
            default -> { }
        }
    }

    /** Whether the answer time is, as far as known, that of a loaded copy and not distorted by a stall of this front end. */
    private boolean usedLoadedCopy(Forward forward, ForwardResult result) {
        return forward.sentAt >= health.resumedAt
                && (result.loadStatus() == LoadStatus.ALREADY_LOADED || result.loadStatus() == LoadStatus.UNKNOWN);
    }

    /** Updates the executor and its copies from a result of its current process. */
    private void updateExecutor(Forward forward, ForwardResult result) {
        ModelCopies copies = forward.copies;
        Executor executor = forward.executor;
        if (result.modelInFlight() >= 0) {
            double othersInFlight = Math.max(0, result.modelInFlight() - forward.ownInFlight);
            double previousOthers = totalInFlight(copies) - copies.inFlight;
            // Averaged per answer and not over time: one of many front ends gets few answers, but the count in each of them is a
            // fair sample.
            copies.othersInFlight.set(previousOthers < 0.01 ? othersInFlight : 0.7 * previousOthers + 0.3 * othersInFlight, now);
            copies.peakInFlight = Math.max(copies.peakInFlight, result.modelInFlight() + 1);
        }
        if (result.outcome() == Outcome.RETURNED || result.outcome() == Outcome.MISS) {
            checkForRestart(executor, forward.sentAt);
        }
        switch (result.outcome()) {
            case RETURNED -> {
                copies.loadedCopies = Math.max(1, copies.loadedCopies);
                copies.lastUsedAt = now;
                copies.loadedUntil = now + loadingRules.idleUnloadTime();
                scheduleReview(copies);
                health.lowerSuspicion(executor, now);
                if (usedLoadedCopy(forward, result)) {
                    health.recordAnswer(executor, result.elapsed() / expectedAnswerTime(copies.model), now);
                }
            }
            case MISS -> {
                copies.loadedCopies = 0;
                if (result.loadStatus() == LoadStatus.LOAD_FAILED) {
                    copies.backoffUntil = now + BACKOFF_MILLIS;
                } else if (!copies.model.hasLoadedCopy()) {
                    requestCopies(copies, 1);
                }
            }
            case FULL -> {
                copies.backoffUntil = now + BACKOFF_MILLIS;
                leases.invalidateProof(executor, forward.sentAt);
                health.recordFull(executor);
                health.raiseSuspicion(executor, 0.3, now);
            }
            // Its copies still count as loaded: a broken connection does not mean that the executor is down.
            case CONNECT_FAILED, RESET -> {
                leases.recordDisconnect(executor, now);
                health.raiseSuspicion(executor, 2, now);
            }
            case ERROR -> health.raiseSuspicion(executor, 0.3, now);
            case TIMED_OUT, CANCELLED -> {
                if (forward.answerStarted) {
                    break; // the client left or read slowly
                }
                // The time of forwards without an answer counts too. Otherwise an executor that never answers would not count as
                // slow.
                executor.slowdownSum.add(result.elapsed() / forward.expectedAnswerTime, now,
                        ExecutorHealth.STATISTICS_DECAY_MILLIS);
                health.raiseSuspicion(executor, result.outcome() == Outcome.CANCELLED ? 0 : 0.3, now);
            }
            default -> { }
        }
    }

    private static final int ANSWER_TIME_SAMPLES = 100; // with fewer, a few fast answers would determine the lowest mean
    private static final double LOWEST_MEAN_GROWTH_PER_MILLI = 0.00001; // 1% per second; follows work that becomes heavier

    @Override public void onTimer(long tag) { timerScheduledAt = Double.POSITIVE_INFINITY; }

    @Override public void onProbeEnded(Executor executor, Outcome outcome, double elapsed, ExecutorReport report) {
        executor.probePending = false;
        if (executor.probeGeneration != executor.generation) {
            return; // sent to an earlier process
        }
        recordReport(executor, report);
        switch (outcome) {
            case RETURNED -> {
                if (leases.mayHaveRestarted(executor, executor.probeSentAt, now)) {
                    assumeRestarted(executor, executor.disconnectedAt);
                } else if (leases.wasDraining(executor, now)) {
                    assumeRestarted(executor, now);
                }
                leases.recordReady(executor, executor.probeSentAt);
            }
            case ERROR, FULL -> leases.recordNotReady(executor, executor.probeSentAt);
            case CONNECT_FAILED, RESET -> {
                leases.recordDisconnect(executor, now);
                health.raiseSuspicion(executor, 2, now);
            }
            default -> { }
        }
    }

    @Override public void onOrderEnded(Executor executor, Model model, Outcome outcome, double elapsed, int loadedCopies) {
        ModelCopies copies = model.copiesOn(executor);
        boolean current = copies.orderIsCurrent();
        boolean isQuery = copies.recordOrderEnded();
        ordersInFlight -= isQuery ? 0 : 1;
        modelsToReview.add(model);
        if (current) {
            updateCopies(copies, outcome, isQuery, loadedCopies);
        }
    }

    /** Updates the copies from the end of an order or a status query that was sent to the current process. */
    private void updateCopies(ModelCopies copies, Outcome outcome, boolean isQuery, int loadedCopies) {
        Executor executor = copies.executor;
        Model model = copies.model;
        copies.backoffUntil = outcome == Outcome.RETURNED ? copies.backoffUntil : now + BACKOFF_MILLIS;
        if (outcome == Outcome.FULL) {
            leases.invalidateProof(executor, copies.orderSentAt);
        } else if (outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED) {
            leases.recordDisconnect(executor, now);
        } else if (outcome == Outcome.RETURNED) {
            checkForRestart(executor, copies.orderSentAt);
        }
        if (outcome == Outcome.RETURNED || outcome == Outcome.FULL || outcome == Outcome.ERROR) {
            copies.loadedCopies = loadedCopies;
            copies.confirmedAt = now;
            // A status query does not restart the idle timer: a loaded copy has, on average, half of its idle time left.
            copies.loadedUntil = Math.max(copies.loadedUntil, now + loadingRules.idleUnloadTime() / (isQuery ? 2 : 1));
            scheduleReview(copies);
        } else {
            health.raiseSuspicion(executor, 0.7, now);
        }
        if (outcome == Outcome.ERROR && !isQuery) {
            model.consecutiveFailedLoads++;
            model.lastFailedLoadAt = now;
        } else if (loadedCopies > 0) {
            model.consecutiveFailedLoads = 0;
        }
    }

    private static final double BACKOFF_MILLIS = 1000; // after a refusal; about the time of one load

    /**
     * Whether the model failed to load wherever it was tried, so that it probably does not exist. Its inferences are rejected
     * at once, and it is not ordered on one executor after the other. One more attempt is made later. Drawback: inferences are
     * also rejected for a model that is first used while no executor can load.
     */
    private boolean cannotLoad(Model model) {
        return model.consecutiveFailedLoads >= MAX_CONSECUTIVE_FAILED_LOADS && !model.hasLoadedCopy() && model.inFlight == 0
                && now - model.lastFailedLoadAt < FAILED_LOAD_RETRY_MILLIS;
    }

    private static final int MAX_CONSECUTIVE_FAILED_LOADS = 3; // loads of existing models hardly ever fail as often in a row
    private static final double FAILED_LOAD_RETRY_MILLIS = 5000; // longer than a burst of clients that retry at once

    @Override public void onPeerMessage(int sender, byte[] message) { }

    @Override public void onShareChanged(double fraction) { frontEndShare.fraction = fraction; }

    // ---- decisions -------------------------------------------------------------------------------------

    /** Drops executors that were removed from the roster, as soon as nothing of this front end is pending there. */
    private void dropIdleRemovedExecutors() {
        for (Executor executor : removedExecutors.isEmpty() ? List.<Executor>of() : List.copyOf(removedExecutors)) {
            if (executor.isIdle()) {
                removedExecutors.remove(executor);
                executors.remove(executor);
                executor.detachFromModels();
                fleetVersion++;
            }
        }
    }

    @Override public boolean tryForgetModel(Model model) {
        boolean forgotten = model.isIdle() && model.recentArrivals.value(now, RECENT_DECAY_MILLIS) < MIN_RECENT_ARRIVALS;
        if (forgotten) {
            model.copies.forEach(copies -> copies.executor.copies.remove(copies));
            modelsToReview.remove(model);
        }
        return forgotten;
    }

    private static final double MIN_RECENT_ARRIVALS = 0.001; // reached seven times RECENT_DECAY_MILLIS after the last inference

    @Override public void endBatch() {
        dropIdleRemovedExecutors();
        for (Object subject = timers.pollDue(now); subject != null; subject = timers.pollDue(now)) {
            if (subject instanceof Inference inference) {
                reviewInference(inference);
            } else if (subject instanceof ModelCopies copies) {
                reviewCopies(copies);
            } else if (subject instanceof Model model) {
                modelsToReview.add(model);
            } else if (frontEnd.subscribesToRoster() && !rosterSubscribed) { // the subject is the policy: time to subscribe
                rosterSubscribed = true;
                actions.setRosterSubscription(true);
            }
        }
        modelsToReview.addAll(queuedModels);
        List<Model> models = new ArrayList<>(modelsToReview);
        modelsToReview.clear();
        // When capacity is short, the queues with the most value for their work are served first.
        models.sort(Comparator.comparingDouble(model -> model.queue.isEmpty() ? 0 : -valueDensity(model.queue.first())));
        for (Model model : models) {
            dispatchQueue(model);
            if (!model.queue.isEmpty() && !leases.isRosterValid(now)) {
                renewLeases(model);
            }
            orderCopyIfNeeded(model);
        }
        sendActions();
    }

    /** The value that an answer would still have, divided by the expected answer time. */
    private double valueDensity(Inference inference) {
        return inference.group.value() * (isLate(inference) ? inference.group.lateValueFraction() : 1)
                / expectedAnswerTime(inference.model) * (inference.overQuota ? customerQuotas.overQuotaValue() : 1);
    }

    /** Whether the inference, if sent now, would probably miss its SLO time. The time of a repeat counts from its first try. */
    private boolean isLate(Inference inference) { return inference.isRetry || now >= lateAfter(inference); }

    private static double lateAfter(Inference inference) {
        return inference.acceptedAt + inference.group.sloTime() - expectedAnswerTime(inference.model);
    }

    /**
     * Adds the inference to the queue of its model. Queues are in order of arrival, with late and over-quota inferences behind
     * the others. This avoids a backlog in which every inference is served just too late, at the expense of the late ones.
     */
    private void enqueue(Inference inference) {
        dequeue(inference);
        inference.queued = true;
        inference.queueRank = (inference.overQuota ? 2 : 0) + (isLate(inference) ? 1 : 0);
        inference.model.queue.add(inference);
        queuedModels.add(inference.model);
    }

    private void dequeue(Inference inference) {
        inference.queued = false;
        if (inference.model.queue.remove(inference) && inference.model.queue.isEmpty()) {
            queuedModels.remove(inference.model);
        }
    }

    /** Half the SLO time. After it, the queue of an executor is likely to serve an inference sooner than a free lane would. */
    private static double maxLaneWait(Inference inference) { return inference.group.sloTime() / 2; }

    /**
     * When a queued inference is rejected: three batch intervals before its deadline, so that the client gets this answer in time
     * even if a batch is late.
     */
    private double giveUpAt(Inference inference) { return inference.deadlineAt - 3 * frontEnd.batchInterval(); }

    private void dispatchQueue(Model model) {
        boolean rosterUnavailable = !frontEnd.probesAllowed() && leases.hasRosterExpiredFor(ROSTER_RECOVERY_MILLIS, now);
        if (cannotLoad(model) || rosterUnavailable) {
            List.copyOf(model.queue).forEach(this::reject);
            return;
        }
        boolean lanesFree = true;
        boolean queueRoom = true;
        // Lanes used by other front ends become free without notice. Without a forward of this front end in flight, there is
        // thus nothing to wait for.
        boolean worthWaiting = model.inFlight > 0 || !model.hasLoadedCopy();
        // Iterates without a copy: only the head of a long queue is examined.
        Inference head = model.queue.isEmpty() ? null : model.queue.first();
        for (Inference inference = head; inference != null; inference = model.queue.higher(inference)) {
            // To keep long queues cheap, one inference that finds no executor stands for all others without earlier forwards.
            boolean firstAttempt = inference.forwards.isEmpty();
            boolean waitedLongEnough = !worthWaiting || now - inference.acceptedAt >= maxLaneWait(inference);
            ModelCopies copies = lanesFree || !firstAttempt ? selectCopies(model, inference, true) : null;
            lanesFree &= copies != null || !firstAttempt;
            if (copies == null && waitedLongEnough && (queueRoom || !firstAttempt)) {
                copies = selectCopies(model, inference, false);
                queueRoom &= copies != null || !firstAttempt;
            }
            if (copies != null) {
                dequeue(inference);
                inference.target = copies;
                addInFlight(copies, 1);
                inferencesToForward.add(inference);
                continue;
            }
            boolean blocked = waitedLongEnough && inference.firstCandidate == null && model.hasLoadedCopy();
            if (blocked && (now - blockedAt > BLOCKED_MILLIS || valueDensity(inference) >= blockedValueDensity)) {
                blockedValueDensity = valueDensity(inference);
                blockedAt = now;
            }
            if (!lanesFree && !queueRoom) {
                return;
            }
        }
    }

    /** Inferences stay queued for this long if executors cannot be probed: a source that recovers reports within a second. */
    private static final double ROSTER_RECOVERY_MILLIS = 1000;

    private void addInFlight(ModelCopies copies, int delta) {
        copies.addInFlight(delta);
        health.fleet.unansweredCount += delta;
    }

    /** The concurrency limits count forwards whose answer has not started. Lanes are occupied until the answer ends. */
    private void addUnanswered(Forward forward, int delta) {
        forward.executor.unansweredCount += delta;
        health.fleet.unansweredCount += delta;
        forward.inference.model.startedAnswers -= delta;
    }

    /** How long clearly less valuable inferences leave half of each limit free, after a more valuable one found no executor. */
    private static final double BLOCKED_MILLIS = 1000;

    /**
     * Inferences in flight on the copies, from all front ends. The estimate for the others decays over the time after which idle
     * copies are unloaded.
     */
    private double totalInFlight(ModelCopies copies) {
        return copies.inFlight + copies.othersInFlight.value(now, loadingRules.idleUnloadTime());
    }

    private boolean canAccept(ModelCopies copies, Inference inference) {
        Executor executor = copies.executor;
        // Every point of suspicion reduces traffic to about a third.
        double suspicion = executor.suspicion.value(now, ExecutorHealth.SUSPICION_DECAY_MILLIS);
        // A clearly less valuable inference gets only half of each limit while a more valuable one is blocked.
        boolean yields = now - blockedAt < BLOCKED_MILLIS && valueDensity(inference) < 0.7 * blockedValueDensity;
        return now >= copies.backoffUntil && sendRules.mayForward(inference, executor, expectedAnswerTime(copies.model), now)
                && estimatedAnswerTime(copies, inference) < inference.deadlineAt - now
                && executor.unansweredCount < health.concurrencyLimit(executor, now) * (yields ? 0.5 : 1)
                && health.fleet.unansweredCount < Math.max(health.concurrencyLimit(health.fleet, now) * (yields ? 0.5 : 1),
                        MIN_FLEET_LIMIT_PER_EXECUTOR * executors.size() * frontEndShare.fraction)
                && (suspicion < 0.02 || random.nextDouble() < Math.exp(-suspicion));
    }

    /**
     * Expected answer time, multiplied by the slowdown of the executor. After {@link #maxLaneWait}, an executor with none of
     * our forwards in flight is tried regardless of its slowdown. Otherwise one slow answer among few, which counts in both
     * factors, would exclude an idle executor for longer than a client waits; the cost is one inference if it stalls.
     */
    private double estimatedAnswerTime(ModelCopies copies, Inference inference) {
        boolean ignoresSlowdown = copies.executor.unansweredCount == 0 && now - inference.acceptedAt >= maxLaneWait(inference);
        return expectedAnswerTime(copies.model) * (ignoresSlowdown ? 1 : health.slowdown(copies.executor, now));
    }

    /** Forwards per executor, from all front ends together, that do not overload the fleet. */
    private static final double MIN_FLEET_LIMIT_PER_EXECUTOR = 4;
    /** Until the first answers. At startup models have to be loaded, and a lower limit would hold back what could already run. */
    private static final double INITIAL_FLEET_LIMIT_PER_EXECUTOR = 16;

    /**
     * Time constant of recent forwards and arrivals; spans a few arrivals of a model with medium traffic. Recent forwards count
     * when the busiest copies are selected. Otherwise all idle copies would be equal and used in turn, and none would expire.
     */
    private static final double RECENT_DECAY_MILLIS = 3000;

    /**
     * Selects the busiest executor with a free lane, or one of them at random; those too slow for the SLO time come last. Without
     * {@code freeLaneOnly}, selects the least busy executor. As the load from other front ends is not known, the load report of
     * a second, random candidate is compared with that of the first. Returns null if no executor can accept the inference, or
     * if the load report of a candidate is still awaited.
     */
    private ModelCopies selectCopies(Model model, Inference inference, boolean freeLaneOnly) {
        if (inference.firstCandidate != null && (isProbeAwaited(inference.firstCandidate.executor)
                || isProbeAwaited(inference.secondCandidate.executor))) {
            return null;
        }
        ModelCopies best = null;
        ModelCopies alternative = null;
        double bestRank = Double.NEGATIVE_INFINITY;
        int alternativesSeen = 0;
        for (ModelCopies copies : model.copies) {
            int copyCount = freeLaneOnly || now - copies.orderSentAt <= ORDER_DELIVERY_MILLIS ? copies.loadedCopies
                    : Math.max(copies.loadedCopies, copies.copiesOnOrder());
            if (copyCount == 0 || freeLaneOnly && totalInFlight(copies) > copies.loadedCopies * model.lanes - 0.5
                    || !canAccept(copies, inference)) {
                continue;
            }
            double answerTime = expectedAnswerTime(model) * health.slowdown(copies.executor, now);
            double rank = !freeLaneOnly ? -(totalInFlight(copies) + 1) / (copyCount * model.lanes) * answerTime
                    : answerTime > maxLaneWait(inference) ? -answerTime
                    : copies.inFlight + copies.recentForwards.value(now, RECENT_DECAY_MILLIS);
            boolean better = rank > bestRank || rank == bestRank && random.nextInt(2) == 0;
            ModelCopies runnerUp = better ? best : copies;
            alternative = runnerUp != null && random.nextInt(++alternativesSeen) == 0 ? runnerUp : alternative;
            best = better ? copies : best;
            bestRank = better ? rank : bestRank;
        }
        if (alternative == null || !frontEnd.probesAllowed()) {
            return best;
        }
        if (inference.firstCandidate == null) {
            inference.firstCandidate = best;
            inference.secondCandidate = alternative;
            if (refreshReport(best.executor) | refreshReport(alternative.executor)) {
                return null;
            }
        }
        ModelCopies first = canStillAccept(inference.firstCandidate, inference) ? inference.firstCandidate : best;
        ModelCopies second = canStillAccept(inference.secondCandidate, inference) ? inference.secondCandidate : first;
        inference.firstCandidate = null;
        // Differences of up to a fifth are within the error of the reports.
        return relativeLoad(first.executor) > 1.2 * relativeLoad(second.executor) ? second : first;
    }

    private boolean canStillAccept(ModelCopies copies, Inference inference) {
        return copies.loadedCopies + copies.copiesOnOrder() > 0 && canAccept(copies, inference);
    }

    /** Probes the executor if its report is old. Returns whether to wait for the answer. */
    private boolean refreshReport(Executor executor) {
        if (!executor.probePending && now - executor.reportedAt > REPORT_FRESH_MILLIS && probeCredit > 0
                && executorsToProbe.add(executor)) {
            probeCredit--;
        }
        return isProbeAwaited(executor);
    }

    /** Probes the executor for readiness if the roster can no longer tell. Returns whether to wait for the answer. */
    private boolean renewLease(Executor executor) {
        if (frontEnd.probesAllowed() && !executor.probePending && leases.shouldProbe(executor, now) && probeCredit > 0
                && executorsToProbe.add(executor)) {
            probeCredit--;
        }
        return isProbeAwaited(executor);
    }

    /** Probes executors without a lease that hold the model, as those with a lease did not accept all queued inferences. */
    private void renewLeases(Model model) {
        int probedCount = 0;
        for (ModelCopies copies : model.copies) {
            if (probedCount < LEASE_PROBES_PER_MODEL && copies.loadedCopies + copies.copiesOnOrder() > 0
                    && !sendRules.maySend(copies.executor, now) && now >= copies.backoffUntil && renewLease(copies.executor)) {
                probedCount++;
            }
        }
    }

    /** As many as the candidates that are compared for one inference. */
    private static final int LEASE_PROBES_PER_MODEL = 2;

    private boolean isProbeAwaited(Executor executor) {
        return executorsToProbe.contains(executor)
                || unansweredProbeAge(executor) > 0 && unansweredProbeAge(executor) <= REPLY_WAIT_MILLIS;
    }

    /** Time since the pending probe was sent, or 0 if no probe is pending or a report has come since. */
    private double unansweredProbeAge(Executor executor) {
        return executor.probePending && executor.reportedAt < executor.probeSentAt ? now - executor.probeSentAt : 0;
    }

    /**
     * Probes and status queries allowed per accepted inference; the credit of ten inferences can be saved up. About three are
     * used in a healthy fleet. The limit prevents that a fleet is probed more and more as it gets worse. Drawback: a front end
     * that restarts with many models may run out of credit.
     */
    private static final int PROBE_CREDIT_PER_INFERENCE = 8;
    private static final double REPORT_FRESH_MILLIS = 300; // a few reports per second

    private static final double ORDER_DELIVERY_MILLIS = 20; // a few network round trips, as a forward may overtake an order

    /** Mean answer time of a loaded copy without queueing: the group's lowest mean, scaled by the model's own mean. */
    private static double expectedAnswerTime(Model model) {
        double ownAnswers = model.answerTimes.count;
        // The model's own mean has half of the weight after eight answers.
        double scale = (8 + ownAnswers * model.answerTimes.mean / model.groupAnswerTimes.mean) / (8 + ownAnswers);
        return Math.max(1, model.groupAnswerTimes.lowestMean * scale);
    }

    /** Orders one more copy when the known lanes are exhausted, after querying likely executors for loaded copies. */
    private void orderCopyIfNeeded(Model model) {
        if (model.ordersInFlight >= MAX_ORDERS_PER_MODEL || ordersInFlight >= MAX_ORDERS || !sendRules.mayOrder(now)
                || cannotLoad(model)) {
            return;
        }
        int loadedLanes = 0;
        int freeLanes = 0;
        int lanesOnOrder = 0;
        double othersInFlight = 0;
        for (ModelCopies copies : model.copies) {
            if (copies.loadedCopies + copies.copiesOnOrder() + copies.inFlight > 0 && isUsable(copies.executor)) {
                double inFlightHere = totalInFlight(copies);
                loadedLanes += copies.loadedCopies * model.lanes;
                freeLanes += Math.max(0, (int) (copies.loadedCopies * model.lanes - inFlightHere + 0.5));
                lanesOnOrder += Math.max(0, copies.copiesOnOrder() - copies.loadedCopies) * model.lanes;
                othersInFlight += inFlightHere - copies.inFlight;
            }
        }
        int queuedCount = model.queue.size();
        // A started answer occupies its lane for as long as the client reads, which the expected answer time does not include.
        double busyLanes = model.recentArrivals.value(now, RECENT_DECAY_MILLIS) / RECENT_DECAY_MILLIS
                * expectedAnswerTime(model) + othersInFlight + model.startedAnswers;
        // Recent arrivals count too, in case the last copy has just been lost with its executor: the next inference would wait
        // for a load.
        boolean inDemand = model.inFlight + othersInFlight + queuedCount > 0
                || model.recentArrivals.value(now, RECENT_DECAY_MILLIS) > 0.5;
        boolean lanesExhausted = freeLanes <= 0 && inDemand && (loadedLanes == 0 || busyLanes > BUSY_LANES_THRESHOLD * loadedLanes
                || queuedCount * expectedAnswerTime(model) / loadedLanes > model.group.sloTime() / 2);
        if (!lanesExhausted || lanesOnOrder > 0 && lanesOnOrder >= queuedCount
                || model.queriesInFlight > 0 && now - model.queriedAt <= REPLY_WAIT_MILLIS) {
            return;
        }
        int candidateCount = 0;
        List<Executor> nearest = rendezvousOrder(model);
        // The more a status query costs, the fewer are sent. Without them the order itself tells, as it is answered at once
        // where a copy is loaded.
        double maxQueries = Math.min(MAX_CANDIDATES, QUERY_COST_LIMIT / frontEnd.probeCost());
        for (int i = 0; i < nearest.size() && candidateCount + 1 <= maxQueries; i++) {
            ModelCopies copies = sendRules.mayQuery(nearest.get(i)) ? model.copiesOn(nearest.get(i)) : null;
            if (copies != null && copies.loadedCopies == 0) {
                candidateCount++;
                if (!copies.orderPending && now - copies.confirmedAt > QUERY_INTERVAL_MILLIS && probeCredit > 0) {
                    probeCredit--;
                    model.queriedAt = now;
                    requestCopies(copies, 0);
                }
            }
        }
        ModelCopies copies = model.queriedAt == now ? null : selectExecutorForOrder(model);
        if (copies != null) {
            requestCopies(copies, copies.loadedCopies + 1);
        }
    }

    /** Limits of load orders in flight. */
    private static final int MAX_ORDERS_PER_MODEL = 2, MAX_ORDERS = 8;
    private static final double BUSY_LANES_THRESHOLD = 0.5; // of loaded lanes; a short lack of lanes ends sooner than a load
    /** Between status queries to an executor: each is cheap compared with a load, but has to be answered. */
    private static final double QUERY_INTERVAL_MILLIS = 8000;
    /** Orders go to the first executors in rendezvous order, so that loaded copies are found on the first few. */
    private static final int MAX_CANDIDATES = 4;
    private static final double QUERY_COST_LIMIT = 0.05; // points: a twentieth of the value of an inference
    private static final double REPLY_WAIT_MILLIS = 15; // a few network round trips; a stalled executor is not waited for

    /** The executors in the model's rendezvous order, sorted again after the fleet has changed. */
    private List<Executor> rendezvousOrder(Model model) {
        if (model.rendezvousFleetVersion != fleetVersion) {
            model.rendezvousFleetVersion = fleetVersion;
            model.rendezvousOrder.clear();
            model.rendezvousOrder.addAll(executors);
            model.rendezvousOrder.sort(Comparator.comparingLong(executor -> rendezvousHash(model, executor)));
        }
        return model.rendezvousOrder;
    }

    /** Selects the first executor in the model's rendezvous order whose load is not far above the mean. */
    private ModelCopies selectExecutorForOrder(Model model) {
        ModelCopies leastLoaded = null;
        int overloadedCount = 0;
        int withoutLeaseCount = 0;
        for (Executor executor : rendezvousOrder(model)) {
            if (!isUsable(executor) || model.copiesOn(executor).orderPending || now < model.copiesOn(executor).backoffUntil) {
                continue;
            }
            if (!sendRules.maySend(executor, now)) {
                if (renewLease(executor)) {
                    timers.schedule(now + REPLY_WAIT_MILLIS, model);
                    return null;
                }
                if (++withoutLeaseCount == MAX_CANDIDATES) {
                    return leastLoaded; // without answers to probes, or without probe credit, the others are not usable either
                }
                continue;
            }
            if (frontEnd.probesAllowed() && now - executor.reportedAt > 4 * REPORT_FRESH_MILLIS && refreshReport(executor)) {
                timers.schedule(now + REPLY_WAIT_MILLIS, model);
                return null;
            }
            // Up to 1.5 times the mean is within the error of the reports.
            if (relativeLoad(executor) <= 1.5 * meanLoad) {
                return model.copiesOn(executor);
            }
            leastLoaded = leastLoaded == null || relativeLoad(executor) < relativeLoad(leastLoaded.executor)
                    ? model.copiesOn(executor) : leastLoaded;
            if (++overloadedCount == MAX_CANDIDATES) {
                return leastLoaded;
            }
        }
        return leastLoaded;
    }

    /** Stores the report and updates the mean over the latest reports, an estimate for the fleet. */
    private void recordReport(Executor executor, ExecutorReport report) {
        executor.recordReport(report, now);
        if (report != null) {
            meanLoad += (relativeLoad(executor) - meanLoad) / Math.min(++reportCount, MEAN_LOAD_SAMPLES);
        }
    }

    private static final double MEAN_LOAD_SAMPLES = 20; // about as many as the executors that a model can choose from

    /** Whether copies on the executor count as usable. An expired lease does not matter, as it is renewed when needed. */
    private boolean isUsable(Executor executor) {
        return executor.state == ExecutorState.READY && !leases.isRefusing(executor, now)
                && executor.suspicion.value(now, ExecutorHealth.SUSPICION_DECAY_MILLIS) <= 0.7;
    }

    /**
     * Inferences in flight divided by the capacity: as reported, or the forwards of this front end if there is no fresh report.
     * An executor that leaves a probe unanswered counts as full.
     */
    private double relativeLoad(Executor executor) {
        ExecutorReport report = now - executor.reportedAt < 4 * REPORT_FRESH_MILLIS ? executor.report : null;
        double load = unansweredProbeAge(executor) > REPLY_WAIT_MILLIS ? 100 // more inferences than most executors hold
                : report == null ? executor.unansweredCount : !Double.isNaN(report.inFlight()) ? report.inFlight()
                // The fraction of busy cores says little near 1, so it is converted to the inferences in flight that it implies.
                : (report.queued() > 0 ? report.queued() : 0)
                + (report.busyFraction() > 0 ? 1 / (1.1 - Math.min(1, report.busyFraction())) : 0);
        return load / executor.capacity / sendRules.capacityFraction(executor, now);
    }

    private static long rendezvousHash(Model model, Executor executor) {
        long hash = (model.id * 0x9e3779b97f4a7c15L ^ executor.id) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ hash >>> 31) * 0x94d049bb133111ebL;
        return hash ^ hash >>> 29;
    }

    /** Requests an order, or a status query if {@code count} is 0. Executors may hold more copies than an order may ask for. */
    private void requestCopies(ModelCopies copies, int count) {
        copies.wantedCopies = Math.min(MAX_COPIES_PER_ORDER, count);
        ordersToSend.add(copies);
    }

    private static final int MAX_COPIES_PER_ORDER = 16;

    private void scheduleReview(ModelCopies copies) {
        if (!copies.reviewScheduled) {
            copies.reviewScheduled = true;
            timers.schedule(Math.max(now + 1, copies.loadedUntil - renewLead()), copies);
        }
    }

    /** How long before their idle time ends copies are renewed: late enough to see a last use, early enough for a slow reply. */
    private double renewLead() { return loadingRules.idleUnloadTime() / 10; }

    /** Renews copies shortly before their idle time ends, if they were used and their model has had more than one inference. */
    private void reviewCopies(ModelCopies copies) {
        copies.reviewScheduled = false;
        copies.loadedCopies = now >= copies.loadedUntil && copies.inFlight == 0 ? 0 : copies.loadedCopies;
        if (copies.loadedCopies == 0) {
            return;
        } else if (now >= copies.loadedUntil - renewLead() - 1) {
            copies.loadedCopies = Math.min(copies.loadedCopies,
                    Math.max(1, (int) Math.ceil(copies.peakInFlight / copies.model.lanes)));
            copies.peakInFlight = copies.inFlight;
            if (copies.inFlight > 0) {
                copies.loadedUntil = now + loadingRules.idleUnloadTime();
            } else if (copies.lastUsedAt > copies.renewedAt && copies.model.acceptedCount > 1
                    && !sendRules.maySend(copies.executor, now) && renewLease(copies.executor)) {
                copies.reviewScheduled = true;
                timers.schedule(now + REPLY_WAIT_MILLIS, copies);
                return;
            } else if (copies.lastUsedAt > copies.renewedAt && copies.model.acceptedCount > 1) {
                copies.renewedAt = now;
                requestCopies(copies, copies.loadedCopies);
            } else {
                copies.reviewScheduled = true;
                timers.schedule(copies.loadedUntil, copies);
                return;
            }
        }
        scheduleReview(copies);
    }

    private void reviewInference(Inference inference) {
        if (inference.queued && now >= giveUpAt(inference) - 0.5) {
            reject(inference);
        } else if (inference.queued && now >= lateAfter(inference)) {
            enqueue(inference);
        }
    }

    private void reject(Inference inference) {
        dequeue(inference);
        inference.rejection = sendRules.mayShed(inference) ? Rejection.SHED : Rejection.FAIL;
        inferencesToReject.add(inference);
    }

    @Override public void onInferenceCancelled(Inference inference) {
        inference.done = true;
        dequeue(inference);
        for (Forward forward : inference.forwards) {
            if (forward.outcome == null && !forward.cancelled && forwardRules.cancellationAllowed() && !inference.answerStarted) {
                forward.cancelled = true;
                forwardsToCancel.add(forward);
            }
        }
    }

    /** With a mean answer time of twice this, slow answers miss the SLO time. A lower value would exclude healthy executors. */
    private static final double TARGET_SLO_FRACTION = 0.375;

    /** Carries out the decisions, after another check of the rules for everything that is sent to an executor. */
    private void sendActions() {
        forwardsToCancel.forEach(actions::cancelForward);
        forwardsToCancel.clear();
        for (Inference inference : inferencesToReject) {
            if (!inference.done && inference.rejection == Rejection.SHED) {
                // An inference that was queued to its deadline would meet the same load if the client repeated it at once.
                actions.shed(inference, forwardRules.sendsRetryAfter() ? forwardRules.maxRetryAfter() : 0);
            } else if (!inference.done) {
                actions.fail(inference);
            }
        }
        inferencesToReject.clear();
        for (ModelCopies copies : ordersToSend) {
            int orderCount = copies.wantedCopies == 0 ? 0 : 1;
            if (loadingRules.ordersAllowed() && !copies.orderPending && (orderCount == 0 ? sendRules.mayQuery(copies.executor)
                    : sendRules.maySend(copies.executor, now) && sendRules.mayOrder(now))) {
                copies.recordOrderSent(now);
                sendRules.orders().add(orderCount, now);
                ordersInFlight += orderCount;
                copies.executor.leaseEndsAt = leases.leaseEnd(copies.executor);
                actions.sendOrder(copies.executor, copies.model, copies.wantedCopies);
            }
        }
        ordersToSend.clear();
        for (Inference inference : inferencesToForward) {
            ModelCopies copies = inference.target;
            inference.target = null;
            if (inference.done || !sendRules.mayForward(inference, copies.executor, expectedAnswerTime(copies.model), now)) {
                addInFlight(copies, -1);
                if (!inference.done) {
                    enqueue(inference);
                }
                continue;
            }
            copies.executor.leaseEndsAt = leases.leaseEnd(copies.executor);
            Forward forward = actions.sendForward(inference, copies.executor,
                    inference.deadlineAt - 2 * frontEnd.batchInterval());
            forward.copies = copies;
            forward.ownInFlight = copies.inFlight - 1;
            forward.expectedAnswerTime = expectedAnswerTime(copies.model) + (copies.loadedCopies > 0 ? 0 : copies.model.loadTime);
            forward.targetAnswerTime = TARGET_SLO_FRACTION * inference.group.sloTime()
                    + (copies.loadedCopies > 0 ? 0 : copies.model.loadTime);
            copies.executor.unansweredForwards.add(forward);
            health.fleet.unansweredForwards.add(forward);
            copies.peakInFlight = Math.max(copies.peakInFlight, totalInFlight(copies));
            copies.recentForwards.add(1, now, RECENT_DECAY_MILLIS);
            sendRules.recordForward(copies.executor, expectedAnswerTime(copies.model), now);
        }
        inferencesToForward.clear();
        for (Executor executor : executorsToProbe) {
            executor.probePending = true;
            executor.probeSentAt = now;
            executor.probeGeneration = executor.generation;
            actions.sendProbe(executor);
        }
        executorsToProbe.clear();
        // While inferences are queued, checks again after 10 ms, or after 1 ms per model with a queue if that is longer, so that
        // at most a thousand models are checked per second.
        double nextReview = queuedModels.isEmpty() ? Double.POSITIVE_INFINITY : now + Math.max(10, queuedModels.size());
        double next = Math.min(timers.nextDueAt(), nextReview);
        if (next < timerScheduledAt) {
            timerScheduledAt = next;
            actions.scheduleTimer(Math.max(0, next - now), 0);
        }
    }
}
