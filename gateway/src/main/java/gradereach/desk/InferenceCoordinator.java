package gradereach.desk;

import gradereach.api.ForwardResult;
import gradereach.api.ColdStartRule;
import gradereach.api.DedupScope;
import gradereach.api.ForwardRules;
import gradereach.api.ExecutorListing;
import gradereach.api.LoadingRules;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.RouterActions;
import gradereach.api.RetrySafety;
import gradereach.api.ExecutorReport;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.ExecutorState;
import gradereach.api.LoadStatus;
import gradereach.counts.Counts;
import gradereach.delay.AnswerDelay;
import gradereach.flow.AnswerStream;
import gradereach.inquiry.InquiryScheduler;
import gradereach.ledger.LedgerState;
import gradereach.ledger.LedgerRecord;
import gradereach.message.FinalAnswer;
import gradereach.message.AnswerFormat;
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
 * One front end's state around its module: what was taken and is owed an answer, what is out, who is there. It
 * decides nothing of the ordinary path: events go to the module, its actions to the links and to who asked. It does
 * keep what the module cannot see: the life of a message over repeats, the bounds at the door, and the rules when
 * the module itself breaks.
 *
 * One thread calls everything here, between {@link #begin} and {@link #settle}. No I/O, no clock of its own.
 */
public final class InferenceCoordinator implements RouterActions {
    /** What the desk tells of lives and faults, for the log. */
    public interface InferenceListener {
        void onInferenceEnded(InferenceState life, double now);

        void onRouterFailed(RuntimeException why, String during, int inferences);

        void onLogLine(String line);
    }

    /** Module time of a Unix time, both in milliseconds. */
    public interface WallClock {
        double toMonotonic(double unixMillis);

        double toUnixMillis(double moduleTime);

        Instant toInstant(double moduleTime);
    }

    /** Bounds at the door: inferences taken at once, names of models kept, connections that wait for one message. */
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
    private final String name;
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
    /** NaN until it was told. */
    private double share = Double.NaN;
    private double shareUntil;
    private double rosterConfirmedAt = Double.POSITIVE_INFINITY;
    private double rosterValidUntil = Double.POSITIVE_INFINITY;
    /** Unix seconds up to which a damaged ledger may have lost messages. */
    private long ledgerDamagedUntil = Long.MIN_VALUE;
    /** In order of coming, so that a fault ends them in one order. */
    private final Map<Long, InferenceState> inferences = new LinkedHashMap<>();
    private final Map<String, Model> models = new HashMap<>();
    private final Map<Model, String> modelNames = new HashMap<>();
    private final ArrayDeque<Model> modelCleanupQueue = new ArrayDeque<>();
    private final EndpointRegistry endpoints;
    /** Executors that a fresh module must not hear of before their cold budget is surely whole again. */
    private final Set<Executor> deferredExecutors = new LinkedHashSet<>();
    private final OutcomeInquiries inquiries;
    /** Ends that came about while the module was acting: told to it at the next moment, never within one. */
    private final ArrayDeque<Runnable> deferredEvents = new ArrayDeque<>();

    /** A wake that the module asked for. */
    private record RouterWakeup(int routerGeneration, long tag) { }

    /** From now on the module of that era hears of the executors that it must not have heard of before. */
    private record DeferredListing(int routerGeneration) { }

    /** @param customers names by index */
    public InferenceCoordinator(String name, Function<RouterActions, Router> routers, ExecutorTransport links, Timers timers, InferenceListener chronicle,
            WallClock wall, MessageStore memory, Ledger ledger, ClaimService claims, InquiryScheduler questions, AnswerFormat words, AdmissionLimits door, LoadingRules loading, ForwardRules forwarding,
            ColdStartRule cold, List<String> customers, Counts counts) {
        this.name = name;
        this.routerFactory = routers;
        this.transport = links;
        this.timers = timers;
        this.listener = chronicle;
        this.wallClock = wall;
        this.messageStore = memory;
        this.ledger = ledger;
        this.claimService = claims;
        this.answerFormat = words;
        this.limits = door;
        this.loading = loading;
        this.forwardRules = forwarding;
        this.coldStartRule = cold;
        this.customerNames = customers;
        inferenceLimit = counts.limit("inferences_held", door.maxInferences());
        modelLimit = counts.limit("models_known", door.maxModels());
        observerLimit = counts.limit("waiting_for_one_message", door.maxObserversPerMessage());
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
        endpoints = new EndpointRegistry(links, wall, this::scheduleDiscard);
        inquiries = new OutcomeInquiries(questions, new OutcomeInquiries.Dependencies(links, timers, endpoints, memory, ledger, words,
                wall, customers, this::now), counts);
        router = routers.apply(this);
        timers.schedule(0, (Runnable) this::discardUnusedModels); // at the first moment, and from then on
    }

    // ---- a moment ----------------------------------------------------------------------------------------

    public void beginBatch(double at) {
        now = at;
        callRouter("moment", () -> router.beginBatch(at));
        for (int n = deferredEvents.size(); n > 0; n--) {
            deferredEvents.poll().run();
        }
    }

    public void endBatch() {
        callRouter("settle", router::endBatch);
        inferenceLimit.inUse(inferences.size());
        messageLimit.inUse(messageStore.size());
        modelLimit.inUse(models.size());
    }

    /** Whether something is to be told to the module at once: the next moment must not wait. */
    public boolean hasDeferredEvents() {
        return !deferredEvents.isEmpty();
    }

    public double now() {
        return now;
    }

    /** How late answers are, told by those who see it. */
    public AnswerDelay answerDelay() {
        return answerDelay;
    }

    public int openInferenceCount() {
        return inferences.size();
    }

    // ---- after a restart -------------------------------------------------------------------------------

    /** Who delivers an answer that was promised before a restart. */
    public interface PromisedAnswerDelivery {
        /** {@code tries} deliveries of the promise {@code of} were made before. */
        AnswerObserver observerFor(int customer, String id, double of, int tries);
    }

    /**
     * Takes over what the ledger tells, before the first moment. Each message stands as it did: its recorded answer,
     * proven not to have run, or unknown.
     *
     * @param suspectUntil Unix seconds up to which a damaged part may have held messages, Long.MIN_VALUE for no damage
     */
    public void recover(LedgerState book, double at, double kept, List<ModelGroup> groups, long suspectUntil,
            PromisedAnswerDelivery owed) {
        now = at;
        this.ledgerDamagedUntil = suspectUntil;
        new LedgerRecovery(ledger, messageStore, answerFormat, inquiries, owed, customerNames, groups).recover(book, at, kept);
        messageLimit.inUse(messageStore.size());
    }

    // ---- messages ----------------------------------------------------------------------------------------

    /** A message whose signature held. It is a new inference, the same again, or cannot be one. */
    public void onMessage(IncomingMessage arrival) {
        try {
            handleMessage(arrival);
        } catch (RuntimeException | Error e) {
            // Whatever broke, it costs this message alone, and whoever waits for it is told.
            MessageStore.Entry entry = messageStore.find(arrival.customer(), arrival.id());
            if (entry != null) {
                entry.observers.remove(arrival.observer());
            }
            arrival.observer().onRejected(500, "internal-error", "this front end failed to take the message");
            throw e;
        }
    }

    private void handleMessage(IncomingMessage arrival) {
        messageStore.removeExpired(now);
        MessageStore.Entry entry = messageStore.find(arrival.customer(), arrival.id());
        switch (messageStore.statusOf(entry, arrival, now)) {
            case BODY_MISMATCH -> {
                bodyMismatches.increment();
                arrival.observer().onRejected(409, "other-body", "this webhook-id came before with another body");
            }
            case IN_PROGRESS -> joinInference(entry, arrival);
            case ANSWERED -> {
                if (entry.inquiryOpen) {
                    awaitInquiry(entry, arrival);
                } else {
                    repeatsAnswered.increment();
                    arrival.observer().onFinalAnswer(MessageStore.currentAnswer(entry, answerFormat, now));
                }
            }
            case NEW -> handleUnknownMessage(arrival);
            case CLAIM_PENDING -> {
                if (entry.awaitingClaim.size() >= limits.maxObserversPerMessage()) {
                    rejectTooManyObservers(arrival);
                } else {
                    entry.awaitingClaim.add(arrival);
                }
            }
            case MAY_RUN_AGAIN -> accept(arrival, entry, true);
        }
    }

    /** Not known here: new, or older than what is remembered, or lost with a damaged part of the ledger. */
    private void handleUnknownMessage(IncomingMessage arrival) {
        if (messageStore.mayHaveExpired(arrival.signedAt())) {
            messagesTooOld.increment();
            arrival.observer().onRejected(400, "too-old", "webhook-timestamp is older than what is remembered here");
        } else if (restrictsRepeats(arrival.model().group()) && arrival.signedAt() <= ledgerDamagedUntil) {
            messagesInDamagedPeriod.increment();
            arrival.observer().onFinalAnswer(answerFormat.failed(arrival.id(), 504, LEDGER_UNREADABLE, true));
        } else if (claimService != ClaimService.ALONE && restrictsRepeats(arrival.model().group())) {
            claim(arrival);
        } else {
            accept(arrival, null, false);
        }
    }

    /** What must not run twice must be ours before it is taken: the same message may have reached another front end. */
    private void claim(IncomingMessage arrival) {
        if (!ledger.isWritable()) {
            ledgerUnwritable.increment();
            arrival.observer().onFinalAnswer(answerFormat.failed(arrival.id(), 504, HOLDER_UNKNOWN, true));
            return;
        }
        MessageStore.Entry entry = messageStore.createEntry(arrival, now);
        if (entry == null) {
            messageLimit.recordRejection();
            arrival.observer().onFinalAnswer(answerFormat.failed(arrival.id(), 504, HOLDER_UNKNOWN, true));
            return;
        }
        entry.awaitingClaim = new ArrayList<>(List.of(arrival));
        MessageIdentity message = new MessageIdentity(customerNames.get(arrival.customer()), arrival.id(), arrival.digestHigh(),
                arrival.digestLow(), arrival.signedAt());
        claimService.claim(message, CLAIM_TIMEOUT, verdict -> onClaimResult(entry, verdict));
    }

    private static final double CLAIM_TIMEOUT = 250; // a trip and a commit at each keeper, with a slow one among them
    private static final String HOLDER_UNKNOWN =
            "whether another front end has it cannot be known now; the same message again is harmless";

    private void onClaimResult(MessageStore.Entry entry, ClaimService.ClaimResult verdict) {
        List<IncomingMessage> waited = entry.awaitingClaim;
        entry.awaitingClaim = null;
        // A client may have left while the keepers were asked: for it nothing may be sent.
        waited.removeIf(arrival -> arrival.observer().isDisconnected());
        if (verdict.status() == ClaimService.ClaimStatus.GRANTED && !waited.isEmpty()) {
            accept(waited.get(0), entry, false);
            waited.subList(1, waited.size()).forEach(this::onMessage);
            return;
        }
        messageStore.discard(entry);
        for (IncomingMessage arrival : waited) {
            if (verdict.status() == ClaimService.ClaimStatus.HELD_BY_OTHER) {
                claimService.relayToHolder(arrival, verdict.holder());
            } else {
                // Not shed: it may have run elsewhere.
                arrival.observer().onFinalAnswer(answerFormat.failed(arrival.id(), 504, HOLDER_UNKNOWN, true));
            }
        }
    }

    private static final String LEDGER_UNREADABLE = "a part of this front end's ledger cannot be read; whether it ran is unknown";

    /** Whether it must not run twice at will. */
    static boolean restrictsRepeats(ModelGroup group) {
        return group.retrySafety() != RetrySafety.RETRIABLE;
    }

    private void joinInference(MessageStore.Entry entry, IncomingMessage arrival) {
        if (entry.observers.size() >= limits.maxObserversPerMessage()) {
            rejectTooManyObservers(arrival);
            return;
        }
        repeatsJoined.increment();
        entry.observers.add(arrival.observer());
        arrival.observer().onAccepted(entry.openInference);
    }

    /** Better a true word late than "unknown" at once; but within the time of whoever asks. */
    private void awaitInquiry(MessageStore.Entry entry, IncomingMessage arrival) {
        if (entry.observers.size() >= limits.maxObserversPerMessage()) {
            rejectTooManyObservers(arrival);
            return;
        }
        repeatsAwaitingInquiry.increment();
        AnswerObserver asker = arrival.observer();
        entry.observers.add(asker);
        double until = arrival.receivedAt() + clientTimeout(arrival) - UNKNOWN_ANSWER_MARGIN;
        timers.schedule(Math.max(now, until), (Runnable) () -> {
            if (entry.observers.remove(asker)) {
                asker.onFinalAnswer(MessageStore.currentAnswer(entry, answerFormat, now));
            }
        });
    }

    /** Enough for the answer's way to a client whose time runs out. */
    private static final double UNKNOWN_ANSWER_MARGIN = 50;

    private static double clientTimeout(IncomingMessage arrival) {
        double most = arrival.model().group().routeTimeout();
        return arrival.clientTimeout() > 0 ? Math.min(most, arrival.clientTimeout()) : most;
    }

    private void rejectTooManyObservers(IncomingMessage arrival) {
        observerLimit.recordRejection();
        arrival.observer().onRejected(429, "too-many-repeats", "enough connections wait for this message's answer");
    }

    /** @param before its entry, where it has one; {@code repeated} where a life of it has ended before */
    private void accept(IncomingMessage arrival, MessageStore.Entry before, boolean repeated) {
        double clientLeavesAt = arrival.receivedAt() + clientTimeout(arrival);
        if (before == null && clientLeavesAt <= now) {
            // It lay unread while this process stood still. Nothing of it has run.
            expiredUnread.increment();
            arrival.observer().onFinalAnswer(answerFormat.shed(arrival.id(), "its client's time was up before it was read", 0));
            return;
        }
        if (inferences.size() >= limits.maxInferences()) {
            inferenceLimit.recordRejection();
            shedAtAdmission(arrival, "this front end holds as many inferences as it may");
            return;
        }
        boolean careful = ledger != Ledger.NONE && restrictsRepeats(arrival.model().group());
        if (careful && !ledger.isWritable()) {
            ledgerUnwritable.increment();
            if (before != null && !Double.isNaN(before.mayHaveRunSince)) {
                arrival.observer().onFinalAnswer(answerFormat.failed(arrival.id(), 504, "its ledger cannot be written now", true));
            } else {
                shedAtAdmission(arrival, "this front end's ledger cannot be written now");
            }
            return;
        }
        Model mdl = models.get(arrival.model().name());
        if (mdl == null && models.size() >= limits.maxModels()) {
            modelLimit.recordRejection();
            shedAtAdmission(arrival, "this front end knows as many models as it may");
            return;
        }
        MessageStore.Entry entry = before != null ? before : messageStore.createEntry(arrival, now);
        if (entry == null) {
            messageLimit.recordRejection();
            shedAtAdmission(arrival, "this front end remembers as many messages as it may");
            return;
        }
        mdl = mdl != null ? mdl : modelOf(arrival.model());
        // The answer must be durable before it leaves, and takes its time to leave: the module has that much less.
        double leavesAt = clientLeavesAt - (careful ? ledger.commitMargin() : 0)
                - answerDelay.margin(clientLeavesAt - arrival.receivedAt(), now);
        if (!Double.isNaN(entry.mayHaveRunSince) && entry.group.retrySafety() == RetrySafety.DEDUPED) {
            // Executors drop repeats only inside the window: nothing of this life may leave after it.
            leavesAt = Math.min(leavesAt, entry.mayHaveRunSince + entry.group.dedupWindow());
        }
        Inference inf = new Inference(++lastInferenceId, arrival.model().group(), arrival.customer(), mdl,
                arrival.receivedAt(), leavesAt, Double.NaN, repeated || arrival.markedAsRetry());
        InferenceState life = new InferenceState(inf, arrival.model(), arrival.input(), entry, name,
                customerNames.get(arrival.customer()) + "/" + arrival.id(), routerGeneration, clientLeavesAt,
                ledger.time().fromMonotonic(now));
        life.earlierInferenceMayHaveRun = !Double.isNaN(entry.mayHaveRunSince);
        entry.openInference = life;
        entry.inferenceCount++;
        entry.observers.add(arrival.observer());
        inferences.put(inf.id, life);
        life.timer = timers.schedule(clientLeavesAt, life);
        inferencesAccepted.increment();
        arrival.observer().onAccepted(life);
        callRouter("taken", () -> router.onInferenceAccepted(inf));
    }

    /** Before it is taken a message can always be shed: nothing of it has run. */
    private void shedAtAdmission(IncomingMessage arrival, String why) {
        double pause = forwardRules.sendsRetryAfter() ? forwardRules.maxRetryAfter() : 0;
        arrival.observer().onFinalAnswer(answerFormat.shed(arrival.id(), why, pause));
    }

    private Model modelOf(ModelCatalog.Entry told) {
        return models.computeIfAbsent(told.name(), n -> {
            Model mdl = new Model(told.id());
            mdl.memory = told.memoryMegabytes();
            mdl.lanes = Math.max(1, told.lanes());
            mdl.loadTime = told.loadMillis();
            modelNames.put(mdl, told.name());
            modelCleanupQueue.add(mdl);
            return mdl;
        });
    }

    /** A connection that waited has gone; the last one takes its inference with it. */
    public void onClientDisconnected(InferenceState life, AnswerObserver asker) {
        MessageStore.Entry entry = life.entry;
        if (entry.openInference != life || !entry.observers.remove(asker)) {
            return;
        }
        if (life.streamReader == asker) {
            life.streamReader = null;
            life.answerStream.discard(); // the others that wait get it from the record
        }
        if (!entry.observers.isEmpty() || life.inference.done) {
            return; // others wait, or its answer is on its way to the ledger and stays for whoever asks again
        }
        life.inference.done = true;
        closeInference(life, null);
        if (life.routerGeneration == routerGeneration) {
            callRouter("left", () -> router.onInferenceCancelled(life.inference));
        }
        for (InFlightForward flight : life.forwards) {
            if (flight.answerStarted && !flight.ended) {
                // The module leaves a started one to its client; its client has left, so the executor is told.
                flight.cancelled = true;
                transport.cancel(flight);
                onForwardEnded(flight, Outcome.CANCELLED, LoadStatus.UNKNOWN, -1, null, null);
            }
        }
        removeIfFinished(life);
    }

    // ---- ends --------------------------------------------------------------------------------------------

    /**
     * The first part of an answer has come. From here on it is its client's: no time-out runs, nothing else is sent for it,
     * and how it ends is its end.
     */
    public void onAnswerStarted(InFlightForward flight, AnswerStream<?> flow) {
        InferenceState life = flight.inferenceState;
        Inference inf = life.inference;
        if (flight.ended || inf.done || life.answerStream != null) {
            flow.discard();
            return;
        }
        flight.answerStarted = true;
        life.answerStream = flow;
        life.answerStartedAt = now;
        timers.cancel(flight.timer, flight);
        timers.cancel(life.timer, life);
        streamsStarted.increment();
        life.streamReader = life.entry.observers.stream().filter(AnswerObserver::acceptsStreaming).findFirst().orElse(null);
        if (life.streamReader == null) {
            flow.discard();
        } else {
            life.streamReader.onStreamStarted(flow);
        }
        if (life.routerGeneration == routerGeneration) {
            callRouter("started", () -> router.onAnswerStarted(flight.forward, now - flight.forward.sentAt));
        }
    }

    /**
     * How a forward ended; what comes after its end is dropped. {@code output} is the executor's answer, null for one in
     * parts that is longer than what is kept.
     */
    public void onForwardEnded(InFlightForward flight, Outcome outcome, LoadStatus warmth, int crowd, ExecutorReport report, byte[] output) {
        if (flight.ended) {
            lateAnswers.increment();
            return;
        }
        flight.ended = true;
        timers.cancel(flight.timer, flight);
        InferenceState life = flight.inferenceState;
        Inference inf = life.inference;
        Forward fwd = flight.forward;
        fwd.outcome = outcome;
        forwardOutcomes[outcome.ordinal()].increment();
        resetIdentityIfBroken(flight.endpoint, outcome);
        if (outcome == Outcome.RETURNED && !inf.done) {
            inf.done = true;
            life.streamTooLongToRecord = output == null;
            finishInference(life, answerFormat.returned(life.entry.id, life.model.name(),
                    output == null ? placeholderOutput(life) : output, wallClock.toInstant(now)));
        } else if (flight.answerStarted && !inf.done) {
            streamsBroken.increment();
            inf.done = true;
            finishInference(life, failureAnswer(life));
        }
        if (life.routerGeneration == routerGeneration) {
            boolean over = inf.done;
            callRouter("ended", () -> router.onForwardEnded(fwd,
                    new ForwardResult(outcome, warmth, crowd, now - fwd.sentAt, over, report)));
        }
        removeIfFinished(life);
    }

    /** What is on record of an answer in more or longer parts than are kept: that it was given. */
    private static byte[] placeholderOutput(InferenceState life) {
        return ("{\"outputs\":[],\"parameters\":{\"gradereach-parts\":" + life.answerStream.partCount()
                + ",\"gradereach-parts-kept\":false}}").getBytes(StandardCharsets.UTF_8);
    }

    /** How much of what all front ends share is ours from now on, 0 to 1; nothing of it after {@code until}. */
    public void share(double part, double until) {
        share = part;
        shareUntil = until;
        callRouter("share", () -> router.onShareChanged(part));
        if (until < Double.POSITIVE_INFINITY) {
            timers.schedule(until, (Runnable) () -> {
                if (shareUntil == until) {
                    share(0, Double.POSITIVE_INFINITY);
                }
            });
        }
    }

    public void onLoadOrderEnded(LoadOrder order, Outcome outcome, int standing) {
        if (order.ended) {
            return;
        }
        order.ended = true;
        timers.cancel(order.timer, order);
        if (order.copies > 0) {
            orderOutcomes[outcome.ordinal()].increment();
            orderMillis.add((long) (now - order.sentAt));
        } else {
            statusQueryOutcomes[outcome.ordinal()].increment();
        }
        resetIdentityIfBroken(order.endpoint, outcome);
        if (order.routerGeneration == routerGeneration) {
            callRouter("ordered", () -> router.onOrderEnded(order.endpoint.executor, order.model, outcome, now - order.sentAt,
                    standing));
        }
    }

    /** How a probe ended; what comes after its end is dropped, since another one may be out by then. */
    public void onProbeEnded(Probe probe, Outcome outcome, ExecutorReport report) {
        if (!probe.isAwaited()) {
            lateProbeAnswers.increment();
            return;
        }
        probe.markEnded();
        timers.cancel(probe.timer, probe);
        probeOutcomes[outcome.ordinal()].increment();
        resetIdentityIfBroken(probe.endpoint, outcome);
        if (probe.routerGeneration == routerGeneration) {
            callRouter("probed", () -> router.onProbeEnded(probe.executor, outcome, now - probe.sentAt, report));
        }
    }

    /** A link that broke may have ended with its process. */
    private static void resetIdentityIfBroken(ExecutorEndpoint place, Outcome outcome) {
        if (outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED) {
            place.processIdentity.reset();
        }
    }

    public void onTimer(Object whom) {
        if (whom instanceof InFlightForward flight) {
            flight.cancelled = true;
            transport.cancel(flight);
            onForwardEnded(flight, flight.sent ? Outcome.TIMED_OUT : Outcome.NEVER_SENT, LoadStatus.UNKNOWN, -1, null, null);
        } else if (whom instanceof InferenceState life) {
            // The module, where this thread is late, has its last moment still to come: it knows what may be shed.
            deferredEvents.add(() -> onClientDeadline(life));
        } else if (whom instanceof LoadOrder order) {
            onLoadOrderEnded(order, Outcome.TIMED_OUT, 0);
        } else if (whom instanceof Probe probe) {
            onProbeEnded(probe, Outcome.TIMED_OUT, null);
        } else if (whom instanceof Runnable work) {
            work.run();
        } else if (whom instanceof RouterWakeup wake) {
            if (wake.routerGeneration == routerGeneration) {
                callRouter("woken", () -> router.onTimer(wake.tag));
            }
        } else if (whom instanceof DeferredListing relist && relist.routerGeneration == routerGeneration) {
            List<ExecutorListing> listings = deferredExecutors.stream().map(endpoints::endpointOf).filter(place -> place != null && !place.isRemoved())
                    .map(place -> endpoints.listing(place, null)).toList();
            deferredExecutors.clear();
            callRouter("roster", () -> router.onRosterUpdate(RosterUpdateKind.CHANGES, listings));
        }
    }

    /** The client's time is up. The module answers well before; if it did not, the answer is given here and counted. */
    private void onClientDeadline(InferenceState life) {
        if (life.pendingAnswer != null) {
            // Its client cannot wait for the disk; what is durable by now says less, and never something else.
            answersBeforeDurable.increment();
            deliverAnswer(life);
            removeIfFinished(life);
            return;
        }
        if (life.inference.done) {
            return;
        }
        answersOverdue.increment();
        fail(life.inference);
        if (life.routerGeneration == routerGeneration) {
            callRouter("left", () -> router.onInferenceCancelled(life.inference));
        }
    }

    // ---- roster ------------------------------------------------------------------------------------------

    public void onRosterUpdate(RosterUpdateKind form, List<RosterEntry> lines) {
        List<ExecutorListing> listings = endpoints.update(form, lines);
        for (ExecutorListing listing : listings) {
            if (deferredExecutors.contains(listing.replaces())) {
                deferredExecutors.add(listing.executor());
            }
        }
        listings.removeIf(listing -> deferredExecutors.contains(listing.executor()));
        callRouter("roster", () -> router.onRosterUpdate(form, listings));
    }

    /**
     * What the roster's source guarantees: up to when it counts as complete.
     *
     * @param confirmedAt when it was last known to be complete, module time
     * @param until from when on what it does not say may count as told, module time
     */
    public void onRosterConfirmed(double confirmedAt, double until) {
        rosterConfirmedAt = confirmedAt;
        rosterValidUntil = until;
        callRouter("rosterValid", () -> router.onRosterValidity(confirmedAt, until));
    }

    /** Whether forwards and load orders may be written to an executor now: asked by the links as they write. */
    public boolean maySendTo(ExecutorEndpoint place, double at) {
        return place.ready() && router.maySend(place.executor, at);
    }

    /** A connection to an executor that carried nothing was reset. */
    public void onExecutorDisconnected(ExecutorEndpoint place) {
        place.processIdentity.reset();
        callRouter("disconnected", () -> router.onConnectionReset(place.executor));
    }

    /** Not forgotten before what was sent to it has left the window of rule 4: it may be listed again, cold as it was. */
    private void scheduleDiscard(ExecutorEndpoint place) {
        double since = now;
        place.removedAt = since;
        timers.schedule(now + coldStartRule.overloadTime() + 1, (Runnable) () -> {
            if (place.removedAt == since) {
                endpoints.discardRemoved(place);
            }
        });
    }

    /** Models that were not asked for in a while are forgotten: some are looked at each time, in turn. */
    private void discardUnusedModels() {
        timers.schedule(now + MODEL_CLEANUP_INTERVAL, (Runnable) this::discardUnusedModels);
        for (int n = Math.min(MODEL_CLEANUP_BATCH, modelCleanupQueue.size()); n > 0; n--) {
            Model mdl = modelCleanupQueue.poll();
            boolean[] forgotten = {!modelNames.containsKey(mdl)};
            if (!forgotten[0]) {
                callRouter("letGo", () -> forgotten[0] = router.tryForgetModel(mdl));
            }
            if (!forgotten[0]) {
                modelCleanupQueue.add(mdl);
            } else if (modelNames.containsKey(mdl)) {
                models.remove(modelNames.remove(mdl));
            }
        }
    }

    private static final double MODEL_CLEANUP_INTERVAL = 1000;
    private static final int MODEL_CLEANUP_BATCH = 500; // some 50 microseconds of work

    // ---- the module's actions ----------------------------------------------------------------------------

    @Override
    public Forward sendForward(Inference inf, Executor ex, double stopAt) {
        InferenceState life = inferences.get(inf.id);
        Forward fwd = new Forward(inf, ex, inf.forwards.size(), now);
        inf.forwards.add(fwd);
        InFlightForward flight = new InFlightForward(life, fwd, endpoints.endpointOf(ex), Math.min(stopAt, inf.deadlineAt), ex.leaseEndsAt);
        life.forwards.add(flight);
        flight.timer = timers.schedule(flight.deadline, flight);
        forwardsSent.increment();
        if (ledger == Ledger.NONE || !restrictsRepeats(inf.group)) {
            sendForward(flight);
        } else {
            recordIntent(flight);
        }
        return fwd;
    }

    private void sendForward(InFlightForward flight) {
        flight.sent = true;
        transport.forward(flight);
    }

    /** What must not run twice leaves only when it is durable that it may have run. */
    private void recordIntent(InFlightForward flight) {
        InferenceState life = flight.inferenceState;
        MessageStore.Entry entry = life.entry;
        flight.intentRecorded = true;
        flight.recipient = flight.endpoint.asRecipient();
        inquiries.requestProcessId(flight.endpoint); // for the next one, where it is not known yet
        ledger.append(new LedgerRecord.ForwardIntended(customerNames.get(entry.customer), entry.id, ledger.time().fromMonotonic(now),
                entry.digestHigh, entry.digestLow, entry.group.name(), life.model.name(), flight.recipient,
                flight.forwardId(), entry.signedAt), durable -> {
                    if (flight.ended) {
                        return;
                    }
                    if (durable && !life.inference.done && flight.endpoint.ready() && flight.targetsCurrentProcess()) {
                        sendForward(flight);
                    } else {
                        onForwardEnded(flight, Outcome.NEVER_SENT, LoadStatus.UNKNOWN, -1, null, null);
                    }
                });
    }

    @Override
    public void cancelForward(Forward fwd) {
        InferenceState life = inferences.get(fwd.inference.id);
        if (life == null) {
            return;
        }
        InFlightForward flight = life.forwards.get(fwd.number);
        flight.cancelled = true;
        transport.cancel(flight);
        // The module is acting: it hears of the end at the next moment, unless an answer was faster.
        deferredEvents.add(() -> {
            if (!flight.ended) {
                onForwardEnded(flight, flight.sent ? Outcome.CANCELLED : Outcome.NEVER_SENT, LoadStatus.UNKNOWN, -1, null, null);
            }
        });
    }

    private static final String NO_ROOM = "no room for it within its time";
    private static final String NO_ANSWER_HARMLESS = "no answer from an executor within its time; a repeat is harmless";

    @Override
    public void shed(Inference inf, double pause) {
        InferenceState life = inferences.get(inf.id);
        if (life == null || inf.done) {
            return;
        }
        inf.done = true;
        boolean earlierMayHaveRun = !Double.isNaN(life.entry.mayHaveRunSince) && inf.group.retrySafety() != RetrySafety.RETRIABLE;
        if (earlierMayHaveRun || life.dedupWindowClosed(now)) {
            // No word that a repeat is harmless.
            finishInference(life, failureAnswer(life));
        } else {
            boolean sent = life.forwards.stream().anyMatch(flight -> flight.sent);
            finishInference(life, answerFormat.shed(life.entry.id, sent ? NO_ANSWER_HARMLESS : NO_ROOM, pause));
        }
        removeIfFinished(life);
    }

    @Override
    public void fail(Inference inf) {
        InferenceState life = inferences.get(inf.id);
        if (life == null || inf.done) {
            return;
        }
        inf.done = true;
        finishInference(life, failureAnswer(life));
        removeIfFinished(life);
    }

    /** A failure by what is known of the last forward. */
    private FinalAnswer failureAnswer(InferenceState life) {
        noteMayHaveRun(life);
        MessageStore.Entry entry = life.entry;
        boolean harmless = MessageStore.isRepeatHarmless(entry, now);
        Outcome last = life.forwards.isEmpty() ? null : life.forwards.get(life.forwards.size() - 1).forward.outcome;
        boolean answered = last == Outcome.ERROR || last == Outcome.RESET;
        String why = Double.isNaN(entry.mayHaveRunSince) ? "it never ran"
                : last == Outcome.ERROR ? "the executor answered with an error; whether it took effect is unknown"
                : last == Outcome.RESET ? "the executor's connection broke; whether it took effect is unknown"
                : "no answer within its time; whether it took effect is unknown";
        return answerFormat.failed(entry.id, answered ? 502 : 504, why, harmless);
    }

    private void noteMayHaveRun(InferenceState life) {
        double since = life.mayHaveRunSince();
        MessageStore.Entry entry = life.entry;
        if (Double.isNaN(entry.mayHaveRunSince)) {
            entry.mayHaveRunSince = since;
        }
    }

    /** Its answer is decided. Where something of it was intended, the answer leaves when it is durable. */
    private void finishInference(InferenceState life, FinalAnswer answer) {
        boolean intended = life.forwards.stream().anyMatch(f -> f.intentRecorded);
        MessageStore.Entry entry = life.entry;
        life.pendingAnswer = answer;
        if (!intended) {
            deliverAnswer(life);
            return;
        }
        noteMayHaveRun(life);
        LedgerRecord record = answer.kind() == FinalAnswer.Kind.SHED && Double.isNaN(entry.mayHaveRunSince)
                ? new LedgerRecord.ProvenNotRun(customerNames.get(entry.customer), entry.id, ledger.time().fromMonotonic(now))
                : new LedgerRecord.Answered(customerNames.get(entry.customer), entry.id, ledger.time().fromMonotonic(now), answer);
        ledger.append(record, durable -> {
            if (life.pendingAnswer != null) {
                answersBeforeDurable.add(durable ? 0 : 1);
                deliverAnswer(life);
                removeIfFinished(life);
            }
        });
    }

    private void deliverAnswer(InferenceState life) {
        FinalAnswer answer = life.pendingAnswer;
        life.pendingAnswer = null;
        List<AnswerObserver> askers = List.copyOf(life.entry.observers);
        closeInference(life, answer);
        finalAnswers[answer.kind().ordinal()].increment();
        for (AnswerObserver asker : askers) {
            asker.onFinalAnswer(answer);
        }
    }

    /** Ends a life in the memory: with its answer, or, its client gone, with what is known of it. */
    private void closeInference(InferenceState life, FinalAnswer answer) {
        MessageStore.Entry entry = life.entry;
        timers.cancel(life.timer, life);
        noteMayHaveRun(life);
        entry.observers.clear();
        if (life.streamTooLongToRecord && !restrictsRepeats(entry.group)) {
            life.answer = answer;
            messageStore.discard(entry); // whoever asks again has it run again
            listener.onInferenceEnded(life, now);
            return;
        }
        FinalAnswer record = answer;
        if (record == null && !Double.isNaN(entry.mayHaveRunSince)) {
            record = failureAnswer(life);
        }
        life.answer = record;
        if (record == null) {
            messageStore.discard(entry);
        } else {
            messageStore.recordAnswer(entry, record);
            if (ledger != Ledger.NONE && restrictsRepeats(entry.group) && record.kind() == FinalAnswer.Kind.FAILED
                    && !Double.isNaN(entry.mayHaveRunSince)) {
                inquiries.startInquiries(entry, life.model.name(), life.unresolvedForwards(), !life.earlierInferenceMayHaveRun);
            }
        }
        listener.onInferenceEnded(life, now);
    }

    private void removeIfFinished(InferenceState life) {
        if (life.isFinished()) {
            inferences.remove(life.inference.id);
        }
    }

    @Override
    public void sendOrder(Executor ex, Model mdl, int copies) {
        ExecutorEndpoint place = endpoints.endpointOf(ex);
        inquiries.requestProcessId(place);
        String modelName = modelNames.get(mdl);
        LoadOrder order = new LoadOrder(place, modelName, mdl, copies, routerGeneration, now, loading.orderTimeout(), ex.leaseEndsAt);
        order.timer = timers.schedule(now + loading.orderTimeout(), order);
        (copies > 0 ? ordersSent : statusQueriesSent).increment();
        transport.sendLoadOrder(order);
    }

    @Override
    public void unloadIdle(Executor ex, Model mdl) {
        transport.unloadIdle(endpoints.endpointOf(ex), modelNames.get(mdl));
    }

    @Override
    public void sendProbe(Executor ex) {
        Probe probe = new Probe(endpoints.endpointOf(ex), routerGeneration, now);
        probe.timer = timers.schedule(now + PROBE_TIMEOUT, probe);
        probesSent.increment();
        transport.sendProbe(probe);
    }

    private static final double PROBE_TIMEOUT = 1000; // the module passes it over long before; this ends the wait

    @Override
    public void scheduleTimer(double in, long tag) {
        timers.schedule(now + in, new RouterWakeup(routerGeneration, tag));
    }

    /** Rosters come unasked here. */
    @Override
    public void requestRoster() { }

    @Override
    public void setRosterSubscription(boolean on) { }

    @Override
    public void closeConnections(Executor ex) {
        transport.closeWhenIdle(endpoints.endpointOf(ex));
    }

    /** Front ends share nothing yet. */
    @Override
    public void sendPeerMessage(int to, byte[] words) { }

    @Override
    public void log(String line) {
        listener.onLogLine(line);
    }

    // ---- when the module breaks --------------------------------------------------------------------------

    private void callRouter(String event, Runnable call) {
        String before = currentEvent;
        currentEvent = event;
        try {
            call.run();
        } catch (RuntimeException e) {
            replaceRouter(e, event);
        }
        currentEvent = before;
    }

    /**
     * The module threw: what it thinks cannot be trusted. Every inference of its is ended as rules 1 and 2 say, and a
     * fresh one goes on from the roster. It does not know what was sent to cold executors just now, so it hears of
     * those only when that has left the window of rule 4.
     */
    private void replaceRouter(RuntimeException why, String event) {
        routerFailures.increment();
        List<InferenceState> open = new ArrayList<>();
        for (InferenceState life : inferences.values()) {
            if (life.routerGeneration == routerGeneration && !life.inference.done && life.answerStream == null) {
                open.add(life); // one that has started needs no more decisions
            }
        }
        listener.onRouterFailed(why, event, open.size());
        routerGeneration++;
        open.forEach(life -> endWithoutRouter(life, "this front end starts its decisions anew"));
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
        List<ExecutorListing> warm = new ArrayList<>();
        deferredExecutors.clear();
        for (ExecutorEndpoint place : endpoints.all()) {
            place.executor = new Executor(place.id);
            if (place.isRemoved()) {
                continue;
            }
            double startedAt = place.startedAt(wallClock);
            if (startedAt > 0 && now - startedAt < coldStartRule.warmUpTime() + coldStartRule.overloadTime()) {
                deferredExecutors.add(place.executor);
            } else {
                warm.add(endpoints.listing(place, null));
            }
        }
        router.onRosterUpdate(RosterUpdateKind.FULL, warm);
        if (!deferredExecutors.isEmpty()) {
            timers.schedule(now + coldStartRule.overloadTime() + 1, new DeferredListing(routerGeneration));
        }
    }

    /** Ends what is owed an answer still, as rules 1 and 2 say: this front end cannot wait for it. */
    public void endAllInferences(String why) {
        for (InferenceState life : List.copyOf(inferences.values())) {
            if (!life.inference.done && life.answerStream == null) {
                endWithoutRouter(life, why);
                if (life.routerGeneration == routerGeneration) {
                    callRouter("left", () -> router.onInferenceCancelled(life.inference));
                }
            }
        }
        inferences.values().removeIf(InferenceState::isFinished);
    }

    private void endWithoutRouter(InferenceState life, String why) {
        Inference inf = life.inference;
        inf.done = true;
        boolean harmless = !inf.mayHaveRun() || inf.group.retrySafety() == RetrySafety.RETRIABLE
                || inf.group.retrySafety() == RetrySafety.DEDUPED && inf.group.dedupScope() == DedupScope.ALL && !life.dedupWindowClosed(now);
        for (InFlightForward flight : life.forwards) {
            if (!flight.ended) {
                flight.cancelled = true;
                transport.cancel(flight);
                flight.ended = true;
                timers.cancel(flight.timer, flight);
                flight.forward.outcome = flight.sent ? Outcome.CANCELLED : Outcome.NEVER_SENT;
            }
        }
        if (harmless && Double.isNaN(life.entry.mayHaveRunSince)) {
            finishInference(life, answerFormat.shed(life.entry.id, why,
                    forwardRules.sendsRetryAfter() ? forwardRules.maxRetryAfter() : 0));
        } else {
            finishInference(life, failureAnswer(life));
        }
    }

    public Collection<ExecutorEndpoint> endpoints() {
        return endpoints.all();
    }
}
