package gradereach.desk;

import gradereach.api.ColdStartRule;
import gradereach.api.DedupScope;
import gradereach.api.ExecutorListing;
import gradereach.api.ExecutorReport;
import gradereach.api.ExecutorState;
import gradereach.api.ForwardResult;
import gradereach.api.ForwardRules;
import gradereach.api.LoadStatus;
import gradereach.api.LoadingRules;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RetrySafety;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.RouterActions;
import gradereach.counts.Counts;
import gradereach.delay.AnswerDelay;
import gradereach.flow.AnswerStream;
import gradereach.inquiry.InquiryScheduler;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
import gradereach.message.AnswerFormat;
import gradereach.message.FinalAnswer;
import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import gradereach.state.Model;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Function;

/**
 * Coordinates the inferences of one front end. It holds the accepted inferences, their forwards in flight and the executor
 * endpoints, passes events to the router, and carries out the router's actions through the transport and the answer
 * observers. Scheduling decisions are the router's. The coordinator itself keeps track of a message over its repeats,
 * enforces the admission limits and ends inferences correctly when the router throws.
 *
 * <p>Everything here runs on the decision thread, between {@link #beginBatch} and {@link #endBatch}. It does no I/O and has no
 * clock of its own.
 */
public final class InferenceCoordinator implements RouterActions {
    /** Receives ended inferences, router failures and the router's log lines. */
    public interface InferenceListener {
        void onInferenceEnded(InferenceState state, double now);

        /**
         * @param event the event that the router was handling
         * @param inferenceCount inferences that are ended because of the failure
         */
        void onRouterFailed(RuntimeException failure, String event, int inferenceCount);

        void onLogLine(String line);
    }

    /** Converts between Unix time and monotonic time, both in milliseconds. */
    public interface WallClock {
        double toMonotonic(double unixMillis);

        double toUnixMillis(double monotonicTime);

        Instant toInstant(double monotonicTime);
    }

    /**
     * Limits checked before a message is accepted.
     *
     * @param maxInferences inferences in progress at one time
     * @param maxModels models known at one time
     * @param maxObserversPerMessage connections that wait for the answer of one message
     */
    public record AdmissionLimits(int maxInferences, int maxModels, int maxObserversPerMessage) { }

    private final Function<RouterActions, Router> routerFactory;
    private final ExecutorTransport transport;
    private final Timers timers;
    private final InferenceListener listener;
    private final WallClock wallClock;
    private final MessageStore messageStore;
    private final Ledger ledger;
    private final ClaimService claimService;
    private final AnswerFormat answerFormat;
    private final AdmissionLimits limits;
    private final LoadingRules loading;
    private final ForwardRules forwardRules;
    private final ColdStartRule coldStartRule;
    private final String frontEndName;
    private final List<String> customerNames;
    private final AnswerDelay answerDelay = new AnswerDelay();

    private final Counts.Limit inferenceLimit;
    private final Counts.Limit modelLimit;
    private final Counts.Limit messageLimit;
    private final Counts.Limit observerLimit;
    private final LongAdder[] forwardOutcomes = new LongAdder[Outcome.values().length];
    private final LongAdder[] orderOutcomes = new LongAdder[Outcome.values().length];
    private final LongAdder[] statusQueryOutcomes = new LongAdder[Outcome.values().length];
    private final LongAdder[] probeOutcomes = new LongAdder[Outcome.values().length];
    private final LongAdder orderMillis;
    private final LongAdder[] finalAnswers = new LongAdder[FinalAnswer.Kind.values().length];
    private final LongAdder inferencesAccepted;
    private final LongAdder forwardsSent;
    private final LongAdder ordersSent;
    private final LongAdder statusQueriesSent;
    private final LongAdder probesSent;
    private final LongAdder lateAnswers;
    private final LongAdder lateProbeAnswers;
    private final LongAdder answersOverdue;
    private final LongAdder expiredUnread;
    private final LongAdder repeatsJoined;
    private final LongAdder repeatsAnswered;
    private final LongAdder repeatsAwaitingInquiry;
    private final LongAdder bodyMismatches;
    private final LongAdder routerFailures;
    private final LongAdder answersBeforeDurable;
    private final LongAdder ledgerUnwritable;
    private final LongAdder messagesTooOld;
    private final LongAdder messagesInDamagedPeriod;
    private final LongAdder streamsStarted;
    private final LongAdder streamsBroken;

    private Router router;
    private int routerGeneration;
    private String currentEvent = "start";
    private double now;
    private long lastInferenceId;
    /** This front end's share of the shared budgets, 0 to 1; NaN until it was set. */
    private double share = Double.NaN;
    private double shareValidUntil;
    private double rosterConfirmedAt = Double.POSITIVE_INFINITY;
    private double rosterValidUntil = Double.POSITIVE_INFINITY;
    /** Unix seconds up to which a damaged ledger may have lost messages. */
    private long ledgerDamagedUntil = Long.MIN_VALUE;
    /** By id, in order of acceptance, so that a router failure ends them in a fixed order. */
    private final Map<Long, InferenceState> inferences = new LinkedHashMap<>();
    private final Map<String, Model> models = new HashMap<>();
    private final Map<Model, String> modelNames = new HashMap<>();
    private final ArrayDeque<Model> modelCleanupQueue = new ArrayDeque<>();
    private final EndpointRegistry endpoints;
    /** Cold executors that a new router is not told of until what was sent to them has left the overload window of rule 4. */
    private final Set<Executor> deferredExecutors = new LinkedHashSet<>();
    private final OutcomeInquiries inquiries;
    /** Events caused by the router's own actions: passed to it in the next event batch, never while it is acting. */
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

    /** A timer set by the router of that generation. */
    private record RouterWakeup(int routerGeneration, long tag) { }

    /** Timer after which the router of that generation is told of the deferred executors. */
    private record DeferredListing(int routerGeneration) { }

    /**
     * @param routerFactory creates the router, and a new one after a failure
     * @param customerNames names by customer index
     */
    public InferenceCoordinator(String frontEndName, Function<RouterActions, Router> routerFactory, ExecutorTransport transport,
            Timers timers, InferenceListener listener, WallClock wallClock, MessageStore messageStore, Ledger ledger,
            ClaimService claimService, InquiryScheduler inquiryScheduler, AnswerFormat answerFormat, AdmissionLimits limits,
            LoadingRules loading, ForwardRules forwardRules, ColdStartRule coldStartRule, List<String> customerNames, Counts counts) {
        this.frontEndName = frontEndName;
        this.routerFactory = routerFactory;
        this.transport = transport;
        this.timers = timers;
        this.listener = listener;
        this.wallClock = wallClock;
        this.messageStore = messageStore;
        this.ledger = ledger;
        this.claimService = claimService;
        this.answerFormat = answerFormat;
        this.limits = limits;
        this.loading = loading;
        this.forwardRules = forwardRules;
        this.coldStartRule = coldStartRule;
        this.customerNames = customerNames;
        inferenceLimit = counts.limit("inferences_held", limits.maxInferences());
        modelLimit = counts.limit("models_known", limits.maxModels());
        observerLimit = counts.limit("waiting_for_one_message", limits.maxObserversPerMessage());
        messageLimit = counts.limit("messages_remembered", Long.MAX_VALUE);
        for (Outcome outcome : Outcome.values()) {
            orderOutcomes[outcome.ordinal()] = counts.counter("load_orders_ended_" + outcome.name().toLowerCase());
            statusQueryOutcomes[outcome.ordinal()] = counts.counter("load_questions_ended_" + outcome.name().toLowerCase());
            probeOutcomes[outcome.ordinal()] = counts.counter("probes_ended_" + outcome.name().toLowerCase());
            forwardOutcomes[outcome.ordinal()] = counts.counter("forwards_ended_" + outcome.name().toLowerCase());
        }
        for (FinalAnswer.Kind kind : FinalAnswer.Kind.values()) {
            finalAnswers[kind.ordinal()] = counts.counter("inferences_" + kind.name().toLowerCase());
        }
        orderMillis = counts.counter("load_orders_milliseconds");
        inferencesAccepted = counts.counter("inferences_taken");
        forwardsSent = counts.counter("forwards_sent");
        ordersSent = counts.counter("load_orders_sent");
        statusQueriesSent = counts.counter("load_questions_sent");
        probesSent = counts.counter("probes_sent");
        lateAnswers = counts.counter("late_answers_dropped");
        lateProbeAnswers = counts.counter("late_probe_answers_dropped");
        answersOverdue = counts.counter("answers_overdue");
        expiredUnread = counts.counter("messages_expired_unread");
        repeatsJoined = counts.counter("repeats_joined");
        repeatsAnswered = counts.counter("repeats_answered_from_memory");
        repeatsAwaitingInquiry = counts.counter("repeats_waiting_for_knowledge");
        bodyMismatches = counts.counter("ids_with_another_body");
        routerFailures = counts.counter("module_failures");
        answersBeforeDurable = counts.counter("answers_sent_before_durable");
        ledgerUnwritable = counts.counter("shed_for_the_ledger");
        messagesTooOld = counts.counter("messages_older_than_memory");
        messagesInDamagedPeriod = counts.counter("messages_in_damaged_time");
        streamsStarted = counts.counter("answers_started");
        streamsBroken = counts.counter("answers_broken_after_their_start");
        endpoints = new EndpointRegistry(transport, wallClock, this::scheduleDiscard);
        inquiries = new OutcomeInquiries(inquiryScheduler, new OutcomeInquiries.Dependencies(transport, timers, endpoints,
                messageStore, ledger, answerFormat, wallClock, customerNames, this::now), counts);
        router = routerFactory.apply(this);
        timers.schedule(0, (Runnable) this::discardUnusedModels); // reschedules itself
    }

    // ---- event batches -----------------------------------------------------------------------------------

    /** Starts an event batch at the given monotonic time; deferred events run first. */
    public void beginBatch(double time) {
        now = time;
        callRouter("moment", () -> router.beginBatch(time));
        for (int remaining = deferredEvents.size(); remaining > 0; remaining--) {
            deferredEvents.poll().run();
        }
    }

    /** Ends the event batch: the router decides and acts. */
    public void endBatch() {
        callRouter("settle", router::endBatch);
        inferenceLimit.setInUse(inferences.size());
        messageLimit.setInUse(messageStore.size());
        modelLimit.setInUse(models.size());
    }

    /** Whether the router has to be told of deferred events: the next event batch must start at once. */
    public boolean hasDeferredEvents() {
        return !deferredEvents.isEmpty();
    }

    public double now() {
        return now;
    }

    /** How late decisions and answers are, as reported by the threads that measure it. */
    public AnswerDelay answerDelay() {
        return answerDelay;
    }

    /** Inferences that are not finished: an answer is due, or a forward is in flight. */
    public int openInferenceCount() {
        return inferences.size();
    }

    // ---- after a restart -------------------------------------------------------------------------------

    /** Delivers answers by webhook that were promised before a restart. */
    public interface PromisedAnswerDelivery {
        /**
         * @param promisedAt ledger time of the promise, which identifies it
         * @param deliveryAttempts delivery attempts made before the restart
         */
        AnswerObserver observerFor(int customer, String id, double promisedAt, int deliveryAttempts);
    }

    /**
     * Restores the messages recorded in the ledger, before the first event batch. Each message has its recorded answer, is
     * proven not to have run, or has an unknown outcome.
     *
     * @param time the present monotonic time
     * @param retention milliseconds for which messages are stored
     * @param damagedUntil Unix seconds up to which a damaged part may have held messages, Long.MIN_VALUE for no damage
     */
    public void recover(LedgerState ledgerState, double time, double retention, List<ModelGroup> groups, long damagedUntil,
            PromisedAnswerDelivery promisedAnswers) {
        now = time;
        this.ledgerDamagedUntil = damagedUntil;
        new LedgerRecovery(ledger, messageStore, answerFormat, inquiries, promisedAnswers, customerNames, groups)
                .recover(ledgerState, time, retention);
        messageLimit.setInUse(messageStore.size());
    }

    // ---- messages ----------------------------------------------------------------------------------------

    /** Handles a message with a verified signature: a new inference, a repeat, or a message that is rejected. */
    public void onMessage(IncomingMessage message) {
        try {
            handleMessage(message);
        } catch (RuntimeException | Error failure) {
            // The failure affects this message only, and its observer gets an answer.
            MessageStore.Entry entry = messageStore.find(message.customer(), message.id());
            if (entry != null) {
                entry.observers.remove(message.observer());
            }
            message.observer().onRejected(500, "internal-error", "this front end failed to take the message");
            throw failure;
        }
    }

    private void handleMessage(IncomingMessage message) {
        messageStore.removeExpired(now);
        MessageStore.Entry entry = messageStore.find(message.customer(), message.id());
        switch (messageStore.statusOf(entry, message, now)) {
            case BODY_MISMATCH -> {
                bodyMismatches.increment();
                message.observer().onRejected(409, "other-body", "this webhook-id came before with another body");
            }
            case IN_PROGRESS -> joinInference(entry, message);
            case ANSWERED -> {
                if (entry.inquiryOpen) {
                    awaitInquiry(entry, message);
                } else {
                    repeatsAnswered.increment();
                    message.observer().onFinalAnswer(MessageStore.currentAnswer(entry, answerFormat, now));
                }
            }
            case NEW -> handleUnknownMessage(message);
            case CLAIM_PENDING -> {
                if (entry.awaitingClaim.size() >= limits.maxObserversPerMessage()) {
                    rejectTooManyObservers(message);
                } else {
                    entry.awaitingClaim.add(message);
                }
            }
            case MAY_RUN_AGAIN -> accept(message, entry, true);
        }
    }

    /** Handles a message that is not stored: new, older than the retention, or lost with a damaged part of the ledger. */
    private void handleUnknownMessage(IncomingMessage message) {
        if (messageStore.mayHaveExpired(message.signedAt())) {
            messagesTooOld.increment();
            message.observer().onRejected(400, "too-old", "webhook-timestamp is older than what is remembered here");
        } else if (restrictsRepeats(message.model().group()) && message.signedAt() <= ledgerDamagedUntil) {
            messagesInDamagedPeriod.increment();
            message.observer().onFinalAnswer(answerFormat.failed(message.id(), 504, LEDGER_UNREADABLE, true));
        } else if (claimService != ClaimService.ALONE && restrictsRepeats(message.model().group())) {
            claim(message);
        } else {
            accept(message, null, false);
        }
    }

    /** Claims a repeat-restricted message before it is accepted, since it may have reached another front end as well. */
    private void claim(IncomingMessage message) {
        if (!ledger.isWritable()) {
            ledgerUnwritable.increment();
            message.observer().onFinalAnswer(answerFormat.failed(message.id(), 504, HOLDER_UNKNOWN, true));
            return;
        }
        MessageStore.Entry entry = messageStore.createEntry(message, now);
        if (entry == null) {
            messageLimit.recordRejection();
            message.observer().onFinalAnswer(answerFormat.failed(message.id(), 504, HOLDER_UNKNOWN, true));
            return;
        }
        entry.awaitingClaim = new ArrayList<>(List.of(message));
        MessageIdentity identity = new MessageIdentity(customerNames.get(message.customer()), message.id(), message.digestHigh(),
                message.digestLow(), message.signedAt());
        claimService.claim(identity, CLAIM_TIMEOUT, result -> onClaimResult(entry, result));
    }

    private static final double CLAIM_TIMEOUT = 250; // milliseconds: a round trip and a commit at each replica, one of them slow
    private static final String HOLDER_UNKNOWN =
            "whether another front end has it cannot be known now; the same message again is harmless";

    private void onClaimResult(MessageStore.Entry entry, ClaimService.ClaimResult result) {
        List<IncomingMessage> waiting = entry.awaitingClaim;
        entry.awaitingClaim = null;
        // Nothing may be sent for a client that disconnected during the claim.
        waiting.removeIf(message -> message.observer().isDisconnected());
        if (result.status() == ClaimService.ClaimStatus.GRANTED && !waiting.isEmpty()) {
            accept(waiting.get(0), entry, false);
            waiting.subList(1, waiting.size()).forEach(this::onMessage);
            return;
        }
        messageStore.discard(entry);
        for (IncomingMessage message : waiting) {
            if (result.status() == ClaimService.ClaimStatus.HELD_BY_OTHER) {
                claimService.relayToHolder(message, result.holder());
            } else {
                // Not shed, since it may have run at another front end.
                message.observer().onFinalAnswer(answerFormat.failed(message.id(), 504, HOLDER_UNKNOWN, true));
            }
        }
    }

    private static final String LEDGER_UNREADABLE = "a part of this front end's ledger cannot be read; whether it ran is unknown";

    /** Whether inferences of this group must not run again at will. */
    static boolean restrictsRepeats(ModelGroup group) {
        return group.retrySafety() != RetrySafety.RETRIABLE;
    }

    private void joinInference(MessageStore.Entry entry, IncomingMessage message) {
        if (entry.observers.size() >= limits.maxObserversPerMessage()) {
            rejectTooManyObservers(message);
            return;
        }
        repeatsJoined.increment();
        entry.observers.add(message.observer());
        message.observer().onAccepted(entry.openInference);
    }

    /** Waits for the outcome inquiries instead of answering "unknown" at once, but no longer than the client's timeout allows. */
    private void awaitInquiry(MessageStore.Entry entry, IncomingMessage message) {
        if (entry.observers.size() >= limits.maxObserversPerMessage()) {
            rejectTooManyObservers(message);
            return;
        }
        repeatsAwaitingInquiry.increment();
        AnswerObserver observer = message.observer();
        entry.observers.add(observer);
        double answerAt = message.receivedAt() + clientTimeout(message) - UNKNOWN_ANSWER_MARGIN;
        timers.schedule(Math.max(now, answerAt), (Runnable) () -> {
            if (entry.observers.remove(observer)) {
                observer.onFinalAnswer(MessageStore.currentAnswer(entry, answerFormat, now));
            }
        });
    }

    /** Milliseconds left for the answer to reach its client before the client's deadline. */
    private static final double UNKNOWN_ANSWER_MARGIN = 50;

    private static double clientTimeout(IncomingMessage message) {
        double routeTimeout = message.model().group().routeTimeout();
        return message.clientTimeout() > 0 ? Math.min(routeTimeout, message.clientTimeout()) : routeTimeout;
    }

    private void rejectTooManyObservers(IncomingMessage message) {
        observerLimit.recordRejection();
        message.observer().onRejected(429, "too-many-repeats", "enough connections wait for this message's answer");
    }

    /**
     * Accepts a message as an inference, or sheds it where a limit is reached.
     *
     * @param existing its entry, null where it has none
     * @param repeated whether an earlier inference of this message has ended
     */
    private void accept(IncomingMessage message, MessageStore.Entry existing, boolean repeated) {
        double clientDeadline = message.receivedAt() + clientTimeout(message);
        if (existing == null && clientDeadline <= now) {
            // It was received too late, for instance because the process was suspended. Nothing of it has run.
            expiredUnread.increment();
            message.observer().onFinalAnswer(answerFormat.shed(message.id(), "its client's time was up before it was read", 0));
            return;
        }
        if (inferences.size() >= limits.maxInferences()) {
            inferenceLimit.recordRejection();
            shedAtAdmission(message, "this front end holds as many inferences as it may");
            return;
        }
        boolean needsLedger = ledger != Ledger.NONE && restrictsRepeats(message.model().group());
        if (needsLedger && !ledger.isWritable()) {
            ledgerUnwritable.increment();
            if (existing != null && !Double.isNaN(existing.mayHaveRunSince)) {
                message.observer().onFinalAnswer(answerFormat.failed(message.id(), 504, "its ledger cannot be written now", true));
            } else {
                shedAtAdmission(message, "this front end's ledger cannot be written now");
            }
            return;
        }
        Model model = models.get(message.model().name());
        if (model == null && models.size() >= limits.maxModels()) {
            modelLimit.recordRejection();
            shedAtAdmission(message, "this front end knows as many models as it may");
            return;
        }
        MessageStore.Entry entry = existing != null ? existing : messageStore.createEntry(message, now);
        if (entry == null) {
            messageLimit.recordRejection();
            shedAtAdmission(message, "this front end remembers as many messages as it may");
            return;
        }
        model = model != null ? model : modelOf(message.model());
        // The router gets an earlier deadline, since the answer has to be made durable and sent after its decision.
        double routerDeadline = clientDeadline - (needsLedger ? ledger.commitMargin() : 0)
                - answerDelay.margin(clientDeadline - message.receivedAt(), now);
        if (!Double.isNaN(entry.mayHaveRunSince) && entry.group.retrySafety() == RetrySafety.DEDUPED) {
            // Executors drop repeats only within the dedup window: this inference must send nothing after it.
            routerDeadline = Math.min(routerDeadline, entry.mayHaveRunSince + entry.group.dedupWindow());
        }
        Inference inference = new Inference(++lastInferenceId, message.model().group(), message.customer(), model,
                message.receivedAt(), routerDeadline, Double.NaN, repeated || message.markedAsRetry());
        InferenceState state = new InferenceState(inference, message.model(), message.input(), entry, frontEndName,
                customerNames.get(message.customer()) + "/" + message.id(), routerGeneration, clientDeadline,
                ledger.time().fromMonotonic(now));
        state.earlierInferenceMayHaveRun = !Double.isNaN(entry.mayHaveRunSince);
        entry.openInference = state;
        entry.inferenceCount++;
        entry.observers.add(message.observer());
        inferences.put(inference.id, state);
        state.timerId = timers.schedule(clientDeadline, state);
        inferencesAccepted.increment();
        message.observer().onAccepted(state);
        callRouter("taken", () -> router.onInferenceAccepted(inference));
    }

    /** Sheds a message that was not accepted; this is always safe, since nothing of it has run. */
    private void shedAtAdmission(IncomingMessage message, String detail) {
        double retryAfter = forwardRules.sendsRetryAfter() ? forwardRules.maxRetryAfter() : 0;
        message.observer().onFinalAnswer(answerFormat.shed(message.id(), detail, retryAfter));
    }

    private Model modelOf(ModelCatalog.Entry entry) {
        return models.computeIfAbsent(entry.name(), name -> {
            Model model = new Model(entry.id());
            model.memoryMegabytes = entry.memoryMegabytes();
            model.lanes = Math.max(1, entry.lanes());
            model.loadTime = entry.loadMillis();
            modelNames.put(model, entry.name());
            modelCleanupQueue.add(model);
            return model;
        });
    }

    /** Removes an observer that has disconnected; the inference is cancelled with its last observer. */
    public void onClientDisconnected(InferenceState state, AnswerObserver observer) {
        MessageStore.Entry entry = state.entry;
        if (entry.openInference != state || !entry.observers.remove(observer)) {
            return;
        }
        if (state.streamReader == observer) {
            state.streamReader = null;
            state.answerStream.discard(); // other observers get the recorded answer
        }
        if (!entry.observers.isEmpty() || state.inference.done) {
            return; // other observers wait, or the answer is being written to the ledger and is kept for repeats
        }
        state.inference.done = true;
        closeInference(state, null);
        if (state.routerGeneration == routerGeneration) {
            callRouter("left", () -> router.onInferenceCancelled(state.inference));
        }
        for (InFlightForward inFlight : state.forwards) {
            if (inFlight.answerStarted && !inFlight.ended) {
                // The router does not cancel a started answer, so it is cancelled here.
                inFlight.cancelled = true;
                transport.cancel(inFlight);
                onForwardEnded(inFlight, Outcome.CANCELLED, LoadStatus.UNKNOWN, -1, null, null);
            }
        }
        removeIfFinished(state);
    }

    // ---- outcomes ----------------------------------------------------------------------------------------

    /**
     * The first part of a streamed answer was received. From here on the inference has no timeout, no other forward is sent
     * for it, and it ends as this forward ends.
     */
    public void onAnswerStarted(InFlightForward inFlight, AnswerStream<?> stream) {
        InferenceState state = inFlight.inferenceState;
        Inference inference = state.inference;
        if (inFlight.ended || inference.done || state.answerStream != null) {
            stream.discard();
            return;
        }
        inFlight.answerStarted = true;
        state.answerStream = stream;
        state.answerStartedAt = now;
        timers.cancel(inFlight.timerId, inFlight);
        timers.cancel(state.timerId, state);
        streamsStarted.increment();
        state.streamReader = state.entry.observers.stream().filter(AnswerObserver::acceptsStreaming).findFirst().orElse(null);
        if (state.streamReader == null) {
            stream.discard();
        } else {
            state.streamReader.onStreamStarted(stream);
        }
        if (state.routerGeneration == routerGeneration) {
            callRouter("started", () -> router.onAnswerStarted(inFlight.forward, now - inFlight.forward.sentAt));
        }
    }

    /**
     * Records how a forward ended; a later outcome of the same forward is dropped.
     *
     * @param output the executor's answer; null for a streamed answer that is too long to be recorded
     */
    public void onForwardEnded(InFlightForward inFlight, Outcome outcome, LoadStatus loadStatus, int modelInFlight,
            ExecutorReport report, byte[] output) {
        if (inFlight.ended) {
            lateAnswers.increment();
            return;
        }
        inFlight.ended = true;
        timers.cancel(inFlight.timerId, inFlight);
        InferenceState state = inFlight.inferenceState;
        Inference inference = state.inference;
        Forward forward = inFlight.forward;
        forward.outcome = outcome;
        forwardOutcomes[outcome.ordinal()].increment();
        resetIdentityIfBroken(inFlight.endpoint, outcome);
        if (outcome == Outcome.RETURNED && !inference.done) {
            inference.done = true;
            state.streamTooLongToRecord = output == null;
            finishInference(state, answerFormat.returned(state.entry.id, state.model.name(),
                    output == null ? placeholderOutput(state) : output, wallClock.toInstant(now)));
        } else if (inFlight.answerStarted && !inference.done) {
            streamsBroken.increment();
            inference.done = true;
            finishInference(state, failureAnswer(state));
        }
        if (state.routerGeneration == routerGeneration) {
            boolean inferenceDone = inference.done;
            callRouter("ended", () -> router.onForwardEnded(forward,
                    new ForwardResult(outcome, loadStatus, modelInFlight, now - forward.sentAt, inferenceDone, report)));
        }
        removeIfFinished(state);
    }

    /** The record of a streamed answer that is too long to be kept: only that it was given, and its number of parts. */
    private static byte[] placeholderOutput(InferenceState state) {
        return ("{\"outputs\":[],\"parameters\":{\"gradereach-parts\":" + state.answerStream.partCount()
                + ",\"gradereach-parts-kept\":false}}").getBytes(StandardCharsets.UTF_8);
    }

    /** Sets this front end's share of the shared budgets, 0 to 1; after {@code validUntil} it is 0. */
    public void setShare(double fraction, double validUntil) {
        share = fraction;
        shareValidUntil = validUntil;
        callRouter("share", () -> router.onShareChanged(fraction));
        if (validUntil < Double.POSITIVE_INFINITY) {
            timers.schedule(validUntil, (Runnable) () -> {
                if (shareValidUntil == validUntil) {
                    setShare(0, Double.POSITIVE_INFINITY);
                }
            });
        }
    }

    /** Records how a load order or status query ended; later outcomes of it are dropped. */
    public void onLoadOrderEnded(LoadOrder order, Outcome outcome, int loadedCopies) {
        if (order.ended) {
            return;
        }
        order.ended = true;
        timers.cancel(order.timerId, order);
        if (order.copies > 0) {
            orderOutcomes[outcome.ordinal()].increment();
            orderMillis.add((long) (now - order.sentAt));
        } else {
            statusQueryOutcomes[outcome.ordinal()].increment();
        }
        resetIdentityIfBroken(order.endpoint, outcome);
        if (order.routerGeneration == routerGeneration) {
            callRouter("ordered", () -> router.onOrderEnded(order.endpoint.executor, order.model, outcome, now - order.sentAt,
                    loadedCopies));
        }
    }

    /** Records how a probe ended; a later answer is dropped, since another probe may be in flight by then. */
    public void onProbeEnded(Probe probe, Outcome outcome, ExecutorReport report) {
        if (!probe.isAwaited()) {
            lateProbeAnswers.increment();
            return;
        }
        probe.markEnded();
        timers.cancel(probe.timerId, probe);
        probeOutcomes[outcome.ordinal()].increment();
        resetIdentityIfBroken(probe.endpoint, outcome);
        if (probe.routerGeneration == routerGeneration) {
            callRouter("probed", () -> router.onProbeEnded(probe.executor, outcome, now - probe.sentAt, report));
        }
    }

    /** A broken connection may mean that the executor's process has ended. */
    private static void resetIdentityIfBroken(ExecutorEndpoint endpoint, Outcome outcome) {
        if (outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED) {
            endpoint.processIdentity.reset();
        }
    }

    /** A timer set through {@link Timers} has expired. */
    public void onTimer(Object target) {
        if (target instanceof InFlightForward inFlight) {
            inFlight.cancelled = true;
            transport.cancel(inFlight);
            onForwardEnded(inFlight, inFlight.sent ? Outcome.TIMED_OUT : Outcome.NEVER_SENT, LoadStatus.UNKNOWN, -1, null, null);
        } else if (target instanceof InferenceState state) {
            // Deferred: where this thread is late, the router can still decide in this batch, and knows what may be shed.
            deferredEvents.add(() -> onClientDeadline(state));
        } else if (target instanceof LoadOrder order) {
            onLoadOrderEnded(order, Outcome.TIMED_OUT, 0);
        } else if (target instanceof Probe probe) {
            onProbeEnded(probe, Outcome.TIMED_OUT, null);
        } else if (target instanceof Runnable work) {
            work.run();
        } else if (target instanceof RouterWakeup wakeup) {
            if (wakeup.routerGeneration == routerGeneration) {
                callRouter("woken", () -> router.onTimer(wakeup.tag));
            }
        } else if (target instanceof DeferredListing deferred && deferred.routerGeneration == routerGeneration) {
            List<ExecutorListing> listings = deferredExecutors.stream().map(endpoints::endpointOf)
                    .filter(endpoint -> endpoint != null && !endpoint.isRemoved())
                    .map(endpoint -> endpoints.listing(endpoint, null)).toList();
            deferredExecutors.clear();
            callRouter("roster", () -> router.onRosterUpdate(RosterUpdateKind.CHANGES, listings));
        }
    }

    /** The client's deadline has passed. The router decides well before; where it did not, the answer is given and counted here. */
    private void onClientDeadline(InferenceState state) {
        if (state.pendingAnswer != null) {
            // The client cannot wait for the disk. What is durable so far says less than this answer, but never contradicts it.
            answersBeforeDurable.increment();
            deliverAnswer(state);
            removeIfFinished(state);
            return;
        }
        if (state.inference.done) {
            return;
        }
        answersOverdue.increment();
        fail(state.inference);
        if (state.routerGeneration == routerGeneration) {
            callRouter("left", () -> router.onInferenceCancelled(state.inference));
        }
    }

    // ---- roster ------------------------------------------------------------------------------------------

    /** Applies a roster update and passes it to the router, without the deferred executors. */
    public void onRosterUpdate(RosterUpdateKind kind, List<RosterEntry> entries) {
        List<ExecutorListing> listings = endpoints.update(kind, entries);
        for (ExecutorListing listing : listings) {
            if (deferredExecutors.contains(listing.replacedExecutor())) {
                deferredExecutors.add(listing.executor());
            }
        }
        listings.removeIf(listing -> deferredExecutors.contains(listing.executor()));
        callRouter("roster", () -> router.onRosterUpdate(kind, listings));
    }

    /**
     * The roster's source has confirmed that the roster is complete.
     *
     * @param confirmedAt when it was last known to be complete, monotonic time
     * @param validUntil until when it counts as complete, monotonic time; an executor may drain unnoticed after that
     */
    public void onRosterConfirmed(double confirmedAt, double validUntil) {
        rosterConfirmedAt = confirmedAt;
        rosterValidUntil = validUntil;
        callRouter("rosterValid", () -> router.onRosterValidity(confirmedAt, validUntil));
    }

    /** Whether forwards and load orders may be written to an executor now; the transport checks this before each write. */
    public boolean maySendTo(ExecutorEndpoint endpoint, double time) {
        return endpoint.isReady() && router.maySend(endpoint.executor, time);
    }

    /** An idle connection to an executor was reset. */
    public void onExecutorDisconnected(ExecutorEndpoint endpoint) {
        endpoint.processIdentity.reset();
        callRouter("disconnected", () -> router.onConnectionReset(endpoint.executor));
    }

    /**
     * Discards a removed endpoint once the work sent to it has left the overload window of rule 4. It may be listed again
     * before that, still cold.
     */
    private void scheduleDiscard(ExecutorEndpoint endpoint) {
        double removedAt = now;
        endpoint.removedAt = removedAt;
        timers.schedule(now + coldStartRule.overloadTime() + 1, (Runnable) () -> {
            if (endpoint.removedAt == removedAt) {
                endpoints.discardRemoved(endpoint);
            }
        });
    }

    /** Discards models that have not been requested for a while; checks a batch of them at a time, round robin. */
    private void discardUnusedModels() {
        timers.schedule(now + MODEL_CLEANUP_INTERVAL, (Runnable) this::discardUnusedModels);
        for (int remaining = Math.min(MODEL_CLEANUP_BATCH, modelCleanupQueue.size()); remaining > 0; remaining--) {
            Model model = modelCleanupQueue.poll();
            boolean[] discardable = {!modelNames.containsKey(model)};
            if (!discardable[0]) {
                callRouter("letGo", () -> discardable[0] = router.tryForgetModel(model));
            }
            if (!discardable[0]) {
                modelCleanupQueue.add(model);
            } else if (modelNames.containsKey(model)) {
                models.remove(modelNames.remove(model));
            }
        }
    }

    private static final double MODEL_CLEANUP_INTERVAL = 1000; // milliseconds
    private static final int MODEL_CLEANUP_BATCH = 500; // models; checking them takes about 50 microseconds

    // ---- the router's actions ----------------------------------------------------------------------------

    @Override
    public Forward sendForward(Inference inference, Executor executor, double deadline) {
        InferenceState state = inferences.get(inference.id);
        Forward forward = new Forward(inference, executor, inference.forwards.size(), now);
        inference.forwards.add(forward);
        InFlightForward inFlight = new InFlightForward(state, forward, endpoints.endpointOf(executor),
                Math.min(deadline, inference.deadlineAt), executor.leaseEndsAt);
        state.forwards.add(inFlight);
        inFlight.timerId = timers.schedule(inFlight.deadline, inFlight);
        forwardsSent.increment();
        if (ledger == Ledger.NONE || !restrictsRepeats(inference.group)) {
            sendForward(inFlight);
        } else {
            recordIntent(inFlight);
        }
        return forward;
    }

    private void sendForward(InFlightForward inFlight) {
        inFlight.sent = true;
        transport.forward(inFlight);
    }

    /** Records the intent of a forward in the ledger, and sends a repeat-restricted inference only when that is durable. */
    private void recordIntent(InFlightForward inFlight) {
        InferenceState state = inFlight.inferenceState;
        MessageStore.Entry entry = state.entry;
        inFlight.intentRecorded = true;
        inFlight.recipient = inFlight.endpoint.asRecipient();
        inquiries.requestProcessNumberIfUnknown(inFlight.endpoint); // for later forwards, where it is not known yet
        ledger.append(new LedgerRecord.ForwardIntended(customerNames.get(entry.customer), entry.id, ledger.time().fromMonotonic(now),
                entry.digestHigh, entry.digestLow, entry.group.name(), state.model.name(), inFlight.recipient,
                inFlight.forwardId(), entry.signedAt), durable -> {
                    if (inFlight.ended) {
                        return;
                    }
                    if (durable && !state.inference.done && inFlight.endpoint.isReady() && inFlight.targetsCurrentProcess()) {
                        sendForward(inFlight);
                    } else {
                        onForwardEnded(inFlight, Outcome.NEVER_SENT, LoadStatus.UNKNOWN, -1, null, null);
                    }
                });
    }

    @Override
    public void cancelForward(Forward forward) {
        InferenceState state = inferences.get(forward.inference.id);
        if (state == null) {
            return;
        }
        InFlightForward inFlight = state.forwards.get(forward.number);
        inFlight.cancelled = true;
        transport.cancel(inFlight);
        // The router is acting: it is notified in the next event batch, unless an answer arrives before.
        deferredEvents.add(() -> {
            if (!inFlight.ended) {
                onForwardEnded(inFlight, inFlight.sent ? Outcome.CANCELLED : Outcome.NEVER_SENT, LoadStatus.UNKNOWN, -1, null, null);
            }
        });
    }

    private static final String NO_ROOM = "no room for it within its time";
    private static final String NO_ANSWER_HARMLESS = "no answer from an executor within its time; a repeat is harmless";

    @Override
    public void shed(Inference inference, double retryAfter) {
        InferenceState state = inferences.get(inference.id);
        if (state == null || inference.done) {
            return;
        }
        inference.done = true;
        boolean earlierMayHaveRun = !Double.isNaN(state.entry.mayHaveRunSince) && inference.group.retrySafety() != RetrySafety.RETRIABLE;
        if (earlierMayHaveRun || state.isDedupWindowClosed(now)) {
            // The answer must not say that a repeat is harmless.
            finishInference(state, failureAnswer(state));
        } else {
            boolean sent = state.forwards.stream().anyMatch(inFlight -> inFlight.sent);
            finishInference(state, answerFormat.shed(state.entry.id, sent ? NO_ANSWER_HARMLESS : NO_ROOM, retryAfter));
        }
        removeIfFinished(state);
    }

    @Override
    public void fail(Inference inference) {
        InferenceState state = inferences.get(inference.id);
        if (state == null || inference.done) {
            return;
        }
        inference.done = true;
        finishInference(state, failureAnswer(state));
        removeIfFinished(state);
    }

    /** A failure answer, worded by the outcome of the last forward. */
    private FinalAnswer failureAnswer(InferenceState state) {
        noteMayHaveRun(state);
        MessageStore.Entry entry = state.entry;
        boolean repeatHarmless = MessageStore.isRepeatHarmless(entry, now);
        Outcome lastOutcome = state.forwards.isEmpty() ? null : state.forwards.get(state.forwards.size() - 1).forward.outcome;
        boolean endedByExecutor = lastOutcome == Outcome.ERROR || lastOutcome == Outcome.RESET;
        String detail = Double.isNaN(entry.mayHaveRunSince) ? "it never ran"
                : lastOutcome == Outcome.ERROR ? "the executor answered with an error; whether it took effect is unknown"
                : lastOutcome == Outcome.RESET ? "the executor's connection broke; whether it took effect is unknown"
                : "no answer within its time; whether it took effect is unknown";
        return answerFormat.failed(entry.id, endedByExecutor ? 502 : 504, detail, repeatHarmless);
    }

    /** Records in the message's entry since when it may have run, unless an earlier inference already has. */
    private void noteMayHaveRun(InferenceState state) {
        double since = state.mayHaveRunSince();
        MessageStore.Entry entry = state.entry;
        if (Double.isNaN(entry.mayHaveRunSince)) {
            entry.mayHaveRunSince = since;
        }
    }

    /** Finishes an inference with its answer; where a forward intent was recorded, the answer is delivered once it is durable. */
    private void finishInference(InferenceState state, FinalAnswer answer) {
        boolean intended = state.forwards.stream().anyMatch(f -> f.intentRecorded);
        MessageStore.Entry entry = state.entry;
        state.pendingAnswer = answer;
        if (!intended) {
            deliverAnswer(state);
            return;
        }
        noteMayHaveRun(state);
        LedgerRecord record = answer.kind() == FinalAnswer.Kind.SHED && Double.isNaN(entry.mayHaveRunSince)
                ? new LedgerRecord.ProvenNotRun(customerNames.get(entry.customer), entry.id, ledger.time().fromMonotonic(now))
                : new LedgerRecord.Answered(customerNames.get(entry.customer), entry.id, ledger.time().fromMonotonic(now), answer);
        ledger.append(record, durable -> {
            if (state.pendingAnswer != null) {
                answersBeforeDurable.add(durable ? 0 : 1);
                deliverAnswer(state);
                removeIfFinished(state);
            }
        });
    }

    private void deliverAnswer(InferenceState state) {
        FinalAnswer answer = state.pendingAnswer;
        state.pendingAnswer = null;
        List<AnswerObserver> observers = List.copyOf(state.entry.observers);
        closeInference(state, answer);
        finalAnswers[answer.kind().ordinal()].increment();
        for (AnswerObserver observer : observers) {
            observer.onFinalAnswer(answer);
        }
    }

    /**
     * Records the end of an inference in the message store.
     *
     * @param answer null where its last client has disconnected; what is known of its outcome is recorded then
     */
    private void closeInference(InferenceState state, FinalAnswer answer) {
        MessageStore.Entry entry = state.entry;
        timers.cancel(state.timerId, state);
        noteMayHaveRun(state);
        entry.observers.clear();
        if (state.streamTooLongToRecord && !restrictsRepeats(entry.group)) {
            state.answer = answer;
            messageStore.discard(entry); // a repeat runs it again
            listener.onInferenceEnded(state, now);
            return;
        }
        FinalAnswer record = answer;
        if (record == null && !Double.isNaN(entry.mayHaveRunSince)) {
            record = failureAnswer(state);
        }
        state.answer = record;
        if (record == null) {
            messageStore.discard(entry);
        } else {
            messageStore.recordAnswer(entry, record);
            if (ledger != Ledger.NONE && restrictsRepeats(entry.group) && record.kind() == FinalAnswer.Kind.FAILED
                    && !Double.isNaN(entry.mayHaveRunSince)) {
                inquiries.startInquiries(entry, state.model.name(), state.unresolvedForwards(), !state.earlierInferenceMayHaveRun);
            }
        }
        listener.onInferenceEnded(state, now);
    }

    private void removeIfFinished(InferenceState state) {
        if (state.isFinished()) {
            inferences.remove(state.inference.id);
        }
    }

    @Override
    public void sendOrder(Executor executor, Model model, int copies) {
        ExecutorEndpoint endpoint = endpoints.endpointOf(executor);
        inquiries.requestProcessNumberIfUnknown(endpoint);
        String modelName = modelNames.get(model);
        LoadOrder order = new LoadOrder(endpoint, modelName, model, copies, routerGeneration, now, loading.orderTimeout(),
                executor.leaseEndsAt);
        order.timerId = timers.schedule(now + loading.orderTimeout(), order);
        (copies > 0 ? ordersSent : statusQueriesSent).increment();
        transport.sendLoadOrder(order);
    }

    @Override
    public void unloadIdle(Executor executor, Model model) {
        transport.unloadIdle(endpoints.endpointOf(executor), modelNames.get(model));
    }

    @Override
    public void sendProbe(Executor executor) {
        Probe probe = new Probe(endpoints.endpointOf(executor), routerGeneration, now);
        probe.timerId = timers.schedule(now + PROBE_TIMEOUT, probe);
        probesSent.increment();
        transport.sendProbe(probe);
    }

    private static final double PROBE_TIMEOUT = 1000; // milliseconds; the router stops waiting much earlier, this only releases the probe

    @Override
    public void scheduleTimer(double delay, long tag) {
        timers.schedule(now + delay, new RouterWakeup(routerGeneration, tag));
    }

    /** Does nothing: roster updates are pushed to this front end. */
    @Override
    public void requestRoster() { }

    @Override
    public void setRosterSubscription(boolean subscribed) { }

    @Override
    public void closeConnections(Executor executor) {
        transport.closeWhenIdle(endpoints.endpointOf(executor));
    }

    /** Does nothing: routers of different front ends exchange no messages. */
    @Override
    public void sendPeerMessage(int frontEnd, byte[] payload) { }

    @Override
    public void log(String line) {
        listener.onLogLine(line);
    }

    // ---- router failures ---------------------------------------------------------------------------------

    private void callRouter(String event, Runnable call) {
        String outerEvent = currentEvent;
        currentEvent = event;
        try {
            call.run();
        } catch (RuntimeException failure) {
            replaceRouter(failure, event);
        }
        currentEvent = outerEvent;
    }

    /**
     * Replaces a router that threw, since its state cannot be trusted. All its inferences are ended according to rules 1 and
     * 2, and a new router starts from the roster. The new router does not know what was just sent to cold executors, so it
     * is told of them only once that has left the overload window of rule 4.
     */
    private void replaceRouter(RuntimeException failure, String event) {
        routerFailures.increment();
        List<InferenceState> unfinished = new ArrayList<>();
        for (InferenceState state : inferences.values()) {
            if (state.routerGeneration == routerGeneration && !state.inference.done && state.answerStream == null) {
                unfinished.add(state); // a started answer needs no further decisions
            }
        }
        listener.onRouterFailed(failure, event, unfinished.size());
        routerGeneration++;
        unfinished.forEach(state -> endWithoutRouter(state, "this front end starts its decisions anew"));
        inferences.values().removeIf(InferenceState::isFinished);
        models.clear();
        modelNames.clear();
        modelCleanupQueue.clear();
        router = routerFactory.apply(this);
        router.beginBatch(now);
        if (!Double.isNaN(share)) {
            router.onShareChanged(share);
        }
        router.onRosterValidity(rosterConfirmedAt, rosterValidUntil);
        List<ExecutorListing> listings = new ArrayList<>();
        deferredExecutors.clear();
        for (ExecutorEndpoint endpoint : endpoints.all()) {
            endpoint.executor = new Executor(endpoint.id);
            if (endpoint.isRemoved()) {
                continue;
            }
            double startedAt = endpoint.startedAt(wallClock);
            if (startedAt > 0 && now - startedAt < coldStartRule.warmUpTime() + coldStartRule.overloadTime()) {
                deferredExecutors.add(endpoint.executor);
            } else {
                listings.add(endpoints.listing(endpoint, null));
            }
        }
        router.onRosterUpdate(RosterUpdateKind.FULL, listings);
        if (!deferredExecutors.isEmpty()) {
            timers.schedule(now + coldStartRule.overloadTime() + 1, new DeferredListing(routerGeneration));
        }
    }

    /** Ends all inferences whose answer has not started, according to rules 1 and 2, because this front end stops. */
    public void endAllInferences(String detail) {
        for (InferenceState state : List.copyOf(inferences.values())) {
            if (!state.inference.done && state.answerStream == null) {
                endWithoutRouter(state, detail);
                if (state.routerGeneration == routerGeneration) {
                    callRouter("left", () -> router.onInferenceCancelled(state.inference));
                }
            }
        }
        inferences.values().removeIf(InferenceState::isFinished);
    }

    /** Ends an inference without asking the router: shed where a repeat is harmless, failed otherwise. */
    private void endWithoutRouter(InferenceState state, String detail) {
        Inference inference = state.inference;
        inference.done = true;
        boolean repeatHarmless = !inference.mayHaveRun() || inference.group.retrySafety() == RetrySafety.RETRIABLE
                || inference.group.retrySafety() == RetrySafety.DEDUPED && inference.group.dedupScope() == DedupScope.ALL
                        && !state.isDedupWindowClosed(now);
        for (InFlightForward inFlight : state.forwards) {
            if (!inFlight.ended) {
                inFlight.cancelled = true;
                transport.cancel(inFlight);
                inFlight.ended = true;
                timers.cancel(inFlight.timerId, inFlight);
                inFlight.forward.outcome = inFlight.sent ? Outcome.CANCELLED : Outcome.NEVER_SENT;
            }
        }
        if (repeatHarmless && Double.isNaN(state.entry.mayHaveRunSince)) {
            finishInference(state, answerFormat.shed(state.entry.id, detail,
                    forwardRules.sendsRetryAfter() ? forwardRules.maxRetryAfter() : 0));
        } else {
            finishInference(state, failureAnswer(state));
        }
    }

    /** All known endpoints, removed ones included until they are discarded. */
    public Collection<ExecutorEndpoint> endpoints() {
        return endpoints.all();
    }
}
