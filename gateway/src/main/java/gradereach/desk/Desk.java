package gradereach.desk;

import gradereach.api.Answer;
import gradereach.api.ColdStartRule;
import gradereach.api.DedupScope;
import gradereach.api.ForwardRules;
import gradereach.api.Listing;
import gradereach.api.Loading;
import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.Outlet;
import gradereach.api.Repeat;
import gradereach.api.Report;
import gradereach.api.RosterForm;
import gradereach.api.Router;
import gradereach.api.Standing;
import gradereach.api.Warmth;
import gradereach.counts.Counts;
import gradereach.delay.AnswerDelay;
import gradereach.flow.PartFlow;
import gradereach.inquiry.InquiryBook;
import gradereach.ledger.LedgerBook;
import gradereach.ledger.LedgerRecord;
import gradereach.message.FinalAnswer;
import gradereach.message.Wording;
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
public final class Desk implements Outlet {
    /** What the desk tells of lives and faults, for the log. */
    public interface Chronicle {
        void ended(Life life, double now);

        void moduleFailed(RuntimeException why, String during, int inferences);

        void said(String line);
    }

    /** Module time of a Unix time, both in milliseconds. */
    public interface WallClock {
        double toModule(double unixMillis);

        double toUnix(double moduleTime);

        Instant instant(double moduleTime);
    }

    /** Bounds at the door: inferences taken at once, names of models kept, connections that wait for one message. */
    public record Door(int mostTaken, int mostModels, int mostAskers) { }

    private final Function<Outlet, Router> routers;
    private final Links links;
    private final Timers timers;
    private final Chronicle chronicle;
    private final WallClock wall;
    private final MessageMemory memory;
    private final Ledger ledger;
    private final Claims claims;
    private final Wording words;
    private final Door door;
    private final Loading loading;
    private final ForwardRules forwarding;
    private final ColdStartRule cold;
    private final String name;
    private final List<String> customers;
    private final AnswerDelay answerDelay = new AnswerDelay();

    private final Counts.Limit takenLimit;
    private final Counts.Limit modelLimit;
    private final Counts.Limit memoryLimit;
    private final Counts.Limit askerLimit;
    private final LongAdder[] outcomes = new LongAdder[Outcome.values().length];
    private final LongAdder[] orderOutcomes = new LongAdder[Outcome.values().length];
    private final LongAdder[] questionOutcomes = new LongAdder[Outcome.values().length];
    private final LongAdder[] probeOutcomes = new LongAdder[Outcome.values().length];
    private final LongAdder orderMillis;
    private final LongAdder[] finals = new LongAdder[FinalAnswer.Kind.values().length];
    private final LongAdder taken;
    private final LongAdder forwards;
    private final LongAdder ordersSent;
    private final LongAdder questionsSent;
    private final LongAdder probesSent;
    private final LongAdder lateAnswers;
    private final LongAdder lateProbes;
    private final LongAdder overdue;
    private final LongAdder expired;
    private final LongAdder repeatsJoined;
    private final LongAdder repeatsAnswered;
    private final LongAdder repeatsWaited;
    private final LongAdder otherBodies;
    private final LongAdder moduleFailures;
    private final LongAdder notDurable;
    private final LongAdder ledgerRefusals;
    private final LongAdder tooOld;
    private final LongAdder suspected;
    private final LongAdder streamsStarted;
    private final LongAdder streamsBroken;

    private Router router;
    private int era;
    private String during = "start";
    private double now;
    private long inferences;
    /** NaN until it was told. */
    private double share = Double.NaN;
    private double shareUntil;
    private double rosterConfirmedAt = Double.POSITIVE_INFINITY;
    private double rosterValidUntil = Double.POSITIVE_INFINITY;
    /** Unix seconds up to which a damaged ledger may have lost messages. */
    private long suspectUntil = Long.MIN_VALUE;
    /** In order of coming, so that a fault ends them in one order. */
    private final Map<Long, Life> lives = new LinkedHashMap<>();
    private final Map<String, Model> models = new HashMap<>();
    private final Map<Model, String> names = new HashMap<>();
    private final ArrayDeque<Model> modelsInTurn = new ArrayDeque<>();
    private final Places places;
    /** Executors that a fresh module must not hear of before their cold budget is surely whole again. */
    private final Set<Executor> putOff = new LinkedHashSet<>();
    private final OutcomeInquiries inquiries;
    /** Ends that came about while the module was acting: told to it at the next moment, never within one. */
    private final ArrayDeque<Runnable> afterwards = new ArrayDeque<>();

    /** A wake that the module asked for. */
    private record Wake(int era, long tag) { }

    /** From now on the module of that era hears of the executors that it must not have heard of before. */
    private record Relist(int era) { }

    /** @param customers names by index */
    public Desk(String name, Function<Outlet, Router> routers, Links links, Timers timers, Chronicle chronicle,
            WallClock wall, MessageMemory memory, Ledger ledger, Claims claims, InquiryBook questions, Wording words, Door door, Loading loading, ForwardRules forwarding,
            ColdStartRule cold, List<String> customers, Counts counts) {
        this.name = name;
        this.routers = routers;
        this.links = links;
        this.timers = timers;
        this.chronicle = chronicle;
        this.wall = wall;
        this.memory = memory;
        this.ledger = ledger;
        this.claims = claims;
        this.words = words;
        this.door = door;
        this.loading = loading;
        this.forwarding = forwarding;
        this.cold = cold;
        this.customers = customers;
        takenLimit = counts.limit("inferences_held", door.mostTaken());
        modelLimit = counts.limit("models_known", door.mostModels());
        askerLimit = counts.limit("waiting_for_one_message", door.mostAskers());
        memoryLimit = counts.limit("messages_remembered", Long.MAX_VALUE);
        for (Outcome outcome : Outcome.values()) {
            orderOutcomes[outcome.ordinal()] = counts.counter("load_orders_ended_" + outcome.name().toLowerCase());
            questionOutcomes[outcome.ordinal()] = counts.counter("load_questions_ended_" + outcome.name().toLowerCase());
            probeOutcomes[outcome.ordinal()] = counts.counter("probes_ended_" + outcome.name().toLowerCase());
            outcomes[outcome.ordinal()] = counts.counter("forwards_ended_" + outcome.name().toLowerCase());
        }
        for (FinalAnswer.Kind kind : FinalAnswer.Kind.values()) {
            finals[kind.ordinal()] = counts.counter("inferences_" + kind.name().toLowerCase());
        }
        orderMillis = counts.counter("load_orders_milliseconds");
        taken = counts.counter("inferences_taken");
        forwards = counts.counter("forwards_sent");
        ordersSent = counts.counter("load_orders_sent");
        questionsSent = counts.counter("load_questions_sent");
        probesSent = counts.counter("probes_sent");
        lateAnswers = counts.counter("late_answers_dropped");
        lateProbes = counts.counter("late_probe_answers_dropped");
        overdue = counts.counter("answers_overdue");
        expired = counts.counter("messages_expired_unread");
        repeatsJoined = counts.counter("repeats_joined");
        repeatsAnswered = counts.counter("repeats_answered_from_memory");
        repeatsWaited = counts.counter("repeats_waiting_for_knowledge");
        otherBodies = counts.counter("ids_with_another_body");
        moduleFailures = counts.counter("module_failures");
        notDurable = counts.counter("answers_sent_before_durable");
        ledgerRefusals = counts.counter("shed_for_the_ledger");
        tooOld = counts.counter("messages_older_than_memory");
        suspected = counts.counter("messages_in_damaged_time");
        streamsStarted = counts.counter("answers_started");
        streamsBroken = counts.counter("answers_broken_after_their_start");
        places = new Places(links, wall, this::forgetLater);
        inquiries = new OutcomeInquiries(questions, new OutcomeInquiries.Surroundings(links, timers, places, memory, ledger, words,
                wall, customers, this::now), counts);
        router = routers.apply(this);
        timers.set(0, (Runnable) this::forgetModels); // at the first moment, and from then on
    }

    // ---- a moment ----------------------------------------------------------------------------------------

    public void begin(double at) {
        now = at;
        toModule("moment", () -> router.moment(at));
        for (int n = afterwards.size(); n > 0; n--) {
            afterwards.poll().run();
        }
    }

    public void settle() {
        toModule("settle", router::settle);
        takenLimit.present(lives.size());
        memoryLimit.present(memory.size());
        modelLimit.present(models.size());
    }

    /** Whether something is to be told to the module at once: the next moment must not wait. */
    public boolean hasMore() {
        return !afterwards.isEmpty();
    }

    public double now() {
        return now;
    }

    /** How late answers are, told by those who see it. */
    public AnswerDelay answerDelay() {
        return answerDelay;
    }

    public int owed() {
        return lives.size();
    }

    // ---- after a restart -------------------------------------------------------------------------------

    /** Who delivers an answer that was promised before a restart. */
    public interface Owed {
        /** {@code tries} deliveries of the promise {@code of} were made before. */
        Asker asker(int customer, String id, double of, int tries);
    }

    /**
     * Takes over what the ledger tells, before the first moment. Each message stands as it did: its recorded answer,
     * proven not to have run, or unknown.
     *
     * @param suspectUntil Unix seconds up to which a damaged part may have held messages, Long.MIN_VALUE for no damage
     */
    public void recover(LedgerBook book, double at, double kept, List<ModelGroup> groups, long suspectUntil,
            Owed owed) {
        now = at;
        this.suspectUntil = suspectUntil;
        new LedgerRecovery(ledger, memory, words, inquiries, owed, customers, groups).recover(book, at, kept);
        memoryLimit.present(memory.size());
    }

    // ---- messages ----------------------------------------------------------------------------------------

    /** A message whose signature held. It is a new inference, the same again, or cannot be one. */
    public void arrived(Arrival arrival) {
        try {
            receive(arrival);
        } catch (RuntimeException | Error e) {
            // Whatever broke, it costs this message alone, and whoever waits for it is told.
            MessageMemory.Entry entry = memory.find(arrival.customer(), arrival.id());
            if (entry != null) {
                entry.askers.remove(arrival.asker());
            }
            arrival.asker().refuse(500, "internal-error", "this front end failed to take the message");
            throw e;
        }
    }

    private void receive(Arrival arrival) {
        memory.expire(now);
        MessageMemory.Entry entry = memory.find(arrival.customer(), arrival.id());
        switch (memory.recall(entry, arrival, now)) {
            case OTHER_BODY -> {
                otherBodies.increment();
                arrival.asker().refuse(409, "other-body", "this webhook-id came before with another body");
            }
            case OPEN -> join(entry, arrival);
            case ANSWERED -> {
                if (entry.inQuestion) {
                    awaitKnowledge(entry, arrival);
                } else {
                    repeatsAnswered.increment();
                    arrival.asker().answer(MessageMemory.answerNow(entry, words, now));
                }
            }
            case NEW -> fresh(arrival);
            case CLAIMING -> {
                if (entry.claiming.size() >= door.mostAskers()) {
                    tooMany(arrival);
                } else {
                    entry.claiming.add(arrival);
                }
            }
            case AGAIN -> take(arrival, entry, true);
        }
    }

    /** Not known here: new, or older than what is remembered, or lost with a damaged part of the ledger. */
    private void fresh(Arrival arrival) {
        if (memory.mayBeForgotten(arrival.signedAt())) {
            tooOld.increment();
            arrival.asker().refuse(400, "too-old", "webhook-timestamp is older than what is remembered here");
        } else if (careful(arrival.model().group()) && arrival.signedAt() <= suspectUntil) {
            suspected.increment();
            arrival.asker().answer(words.failed(arrival.id(), 504, LOST, true));
        } else if (claims != Claims.ALONE && careful(arrival.model().group())) {
            claim(arrival);
        } else {
            take(arrival, null, false);
        }
    }

    /** What must not run twice must be ours before it is taken: the same message may have reached another front end. */
    private void claim(Arrival arrival) {
        if (!ledger.usable()) {
            ledgerRefusals.increment();
            arrival.asker().answer(words.failed(arrival.id(), 504, CANNOT_KNOW, true));
            return;
        }
        MessageMemory.Entry entry = memory.open(arrival, now);
        if (entry == null) {
            memoryLimit.refuse();
            arrival.asker().answer(words.failed(arrival.id(), 504, CANNOT_KNOW, true));
            return;
        }
        entry.claiming = new ArrayList<>(List.of(arrival));
        MessageIdentity message = new MessageIdentity(customers.get(arrival.customer()), arrival.id(), arrival.digestHigh(),
                arrival.digestLow(), arrival.signedAt());
        claims.claim(message, CLAIM_PATIENCE, verdict -> claimed(entry, verdict));
    }

    private static final double CLAIM_PATIENCE = 250; // a trip and a commit at each keeper, with a slow one among them
    private static final String CANNOT_KNOW =
            "whether another front end has it cannot be known now; the same message again is harmless";

    private void claimed(MessageMemory.Entry entry, Claims.Verdict verdict) {
        List<Arrival> waited = entry.claiming;
        entry.claiming = null;
        // A client may have left while the keepers were asked: for it nothing may be sent.
        waited.removeIf(arrival -> arrival.asker().gone());
        if (verdict.kind() == Claims.Kind.MINE && !waited.isEmpty()) {
            take(waited.get(0), entry, false);
            waited.subList(1, waited.size()).forEach(this::arrived);
            return;
        }
        memory.forget(entry);
        for (Arrival arrival : waited) {
            if (verdict.kind() == Claims.Kind.OTHERS) {
                claims.handOn(arrival, verdict.holder());
            } else {
                // Not shed: it may have run elsewhere.
                arrival.asker().answer(words.failed(arrival.id(), 504, CANNOT_KNOW, true));
            }
        }
    }

    private static final String LOST = "a part of this front end's ledger cannot be read; whether it ran is unknown";

    /** Whether it must not run twice at will. */
    static boolean careful(ModelGroup group) {
        return group.repeat() != Repeat.RETRIABLE;
    }

    private void join(MessageMemory.Entry entry, Arrival arrival) {
        if (entry.askers.size() >= door.mostAskers()) {
            tooMany(arrival);
            return;
        }
        repeatsJoined.increment();
        entry.askers.add(arrival.asker());
        arrival.asker().taken(entry.life);
    }

    /** Better a true word late than "unknown" at once; but within the time of whoever asks. */
    private void awaitKnowledge(MessageMemory.Entry entry, Arrival arrival) {
        if (entry.askers.size() >= door.mostAskers()) {
            tooMany(arrival);
            return;
        }
        repeatsWaited.increment();
        Asker asker = arrival.asker();
        entry.askers.add(asker);
        double until = arrival.arrivedAt() + budget(arrival) - SAYS_UNKNOWN_BEFORE;
        timers.set(Math.max(now, until), (Runnable) () -> {
            if (entry.askers.remove(asker)) {
                asker.answer(MessageMemory.answerNow(entry, words, now));
            }
        });
    }

    /** Enough for the answer's way to a client whose time runs out. */
    private static final double SAYS_UNKNOWN_BEFORE = 50;

    private static double budget(Arrival arrival) {
        double most = arrival.model().group().routeTimeout();
        return arrival.budget() > 0 ? Math.min(most, arrival.budget()) : most;
    }

    private void tooMany(Arrival arrival) {
        askerLimit.refuse();
        arrival.asker().refuse(429, "too-many-repeats", "enough connections wait for this message's answer");
    }

    /** @param before its entry, where it has one; {@code repeated} where a life of it has ended before */
    private void take(Arrival arrival, MessageMemory.Entry before, boolean repeated) {
        double clientLeavesAt = arrival.arrivedAt() + budget(arrival);
        if (before == null && clientLeavesAt <= now) {
            // It lay unread while this process stood still. Nothing of it has run.
            expired.increment();
            arrival.asker().answer(words.shed(arrival.id(), "its client's time was up before it was read", 0));
            return;
        }
        if (lives.size() >= door.mostTaken()) {
            takenLimit.refuse();
            atTheDoor(arrival, "this front end holds as many inferences as it may");
            return;
        }
        boolean careful = ledger != Ledger.NONE && careful(arrival.model().group());
        if (careful && !ledger.usable()) {
            ledgerRefusals.increment();
            if (before != null && !Double.isNaN(before.uncertainSince)) {
                arrival.asker().answer(words.failed(arrival.id(), 504, "its ledger cannot be written now", true));
            } else {
                atTheDoor(arrival, "this front end's ledger cannot be written now");
            }
            return;
        }
        Model mdl = models.get(arrival.model().name());
        if (mdl == null && models.size() >= door.mostModels()) {
            modelLimit.refuse();
            atTheDoor(arrival, "this front end knows as many models as it may");
            return;
        }
        MessageMemory.Entry entry = before != null ? before : memory.open(arrival, now);
        if (entry == null) {
            memoryLimit.refuse();
            atTheDoor(arrival, "this front end remembers as many messages as it may");
            return;
        }
        mdl = mdl != null ? mdl : model(arrival.model());
        // The answer must be durable before it leaves, and takes its time to leave: the module has that much less.
        double leavesAt = clientLeavesAt - (careful ? ledger.margin() : 0)
                - answerDelay.margin(clientLeavesAt - arrival.arrivedAt(), now);
        if (!Double.isNaN(entry.uncertainSince) && entry.group.repeat() == Repeat.DEDUPED) {
            // Executors drop repeats only inside the window: nothing of this life may leave after it.
            leavesAt = Math.min(leavesAt, entry.uncertainSince + entry.group.dedupWindow());
        }
        Inference inf = new Inference(++inferences, arrival.model().group(), arrival.customer(), mdl,
                arrival.arrivedAt(), leavesAt, Double.NaN, repeated || arrival.repeated());
        Life life = new Life(inf, arrival.model(), arrival.input(), entry, name,
                customers.get(arrival.customer()) + "/" + arrival.id(), era, clientLeavesAt,
                ledger.time().at(now));
        life.earlierMayHaveRun = !Double.isNaN(entry.uncertainSince);
        entry.life = life;
        entry.lives++;
        entry.askers.add(arrival.asker());
        lives.put(inf.id, life);
        life.timer = timers.set(clientLeavesAt, life);
        taken.increment();
        arrival.asker().taken(life);
        toModule("taken", () -> router.taken(inf));
    }

    /** Before it is taken a message can always be shed: nothing of it has run. */
    private void atTheDoor(Arrival arrival, String why) {
        double pause = forwarding.clientsHearPause() ? forwarding.longestPause() : 0;
        arrival.asker().answer(words.shed(arrival.id(), why, pause));
    }

    private Model model(Catalogue.Entry told) {
        return models.computeIfAbsent(told.name(), n -> {
            Model mdl = new Model(told.id());
            mdl.memory = told.memory();
            mdl.lanes = Math.max(1, told.lanes());
            mdl.loadTime = told.loadTime();
            names.put(mdl, told.name());
            modelsInTurn.add(mdl);
            return mdl;
        });
    }

    /** A connection that waited has gone; the last one takes its inference with it. */
    public void left(Life life, Asker asker) {
        MessageMemory.Entry entry = life.memory;
        if (entry.life != life || !entry.askers.remove(asker)) {
            return;
        }
        if (life.reader == asker) {
            life.reader = null;
            life.flow.discard(); // the others that wait get it from the record
        }
        if (!entry.askers.isEmpty() || life.inference.done) {
            return; // others wait, or its answer is on its way to the ledger and stays for whoever asks again
        }
        life.inference.done = true;
        close(life, null);
        if (life.era == era) {
            toModule("left", () -> router.left(life.inference));
        }
        for (Flight flight : life.flights) {
            if (flight.started && !flight.ended) {
                // The module leaves a started one to its client; its client has left, so the executor is told.
                flight.givenUp = true;
                links.giveUp(flight);
                ended(flight, Outcome.CANCELLED, Warmth.UNTOLD, -1, null, null);
            }
        }
        drop(life);
    }

    // ---- ends --------------------------------------------------------------------------------------------

    /**
     * The first part of an answer has come. From here on it is its client's: no time-out runs, nothing else is sent for it,
     * and how it ends is its end.
     */
    public void started(Flight flight, PartFlow<?> flow) {
        Life life = flight.life;
        Inference inf = life.inference;
        if (flight.ended || inf.done || life.flow != null) {
            flow.discard();
            return;
        }
        flight.started = true;
        life.flow = flow;
        life.startedAt = now;
        timers.cancel(flight.timer, flight);
        timers.cancel(life.timer, life);
        streamsStarted.increment();
        life.reader = life.memory.askers.stream().filter(Asker::readsParts).findFirst().orElse(null);
        if (life.reader == null) {
            flow.discard();
        } else {
            life.reader.started(flow);
        }
        if (life.era == era) {
            toModule("started", () -> router.started(flight.forward, now - flight.forward.sentAt));
        }
    }

    /**
     * How a forward ended; what comes after its end is dropped. {@code output} is the executor's answer, null for one in
     * parts that is longer than what is kept.
     */
    public void ended(Flight flight, Outcome outcome, Warmth warmth, int crowd, Report report, byte[] output) {
        if (flight.ended) {
            lateAnswers.increment();
            return;
        }
        flight.ended = true;
        timers.cancel(flight.timer, flight);
        Life life = flight.life;
        Inference inf = life.inference;
        Forward fwd = flight.forward;
        fwd.outcome = outcome;
        outcomes[outcome.ordinal()].increment();
        noteBrokenLink(flight.place, outcome);
        if (outcome == Outcome.RETURNED && !inf.done) {
            inf.done = true;
            life.partsNotKept = output == null;
            finish(life, words.returned(life.memory.id, life.model.name(),
                    output == null ? notKept(life) : output, wall.instant(now)));
        } else if (flight.started && !inf.done) {
            streamsBroken.increment();
            inf.done = true;
            finish(life, unknown(life));
        }
        if (life.era == era) {
            boolean over = inf.done;
            toModule("ended", () -> router.ended(fwd,
                    new Answer(outcome, warmth, crowd, now - fwd.sentAt, over, report)));
        }
        drop(life);
    }

    /** What is on record of an answer in more or longer parts than are kept: that it was given. */
    private static byte[] notKept(Life life) {
        return ("{\"outputs\":[],\"parameters\":{\"gradereach-parts\":" + life.flow.parts()
                + ",\"gradereach-parts-kept\":false}}").getBytes(StandardCharsets.UTF_8);
    }

    /** How much of what all front ends share is ours from now on, 0 to 1; nothing of it after {@code until}. */
    public void share(double part, double until) {
        share = part;
        shareUntil = until;
        toModule("share", () -> router.share(part));
        if (until < Double.POSITIVE_INFINITY) {
            timers.set(until, (Runnable) () -> {
                if (shareUntil == until) {
                    share(0, Double.POSITIVE_INFINITY);
                }
            });
        }
    }

    public void ordered(Order order, Outcome outcome, int standing) {
        if (order.ended) {
            return;
        }
        order.ended = true;
        timers.cancel(order.timer, order);
        if (order.copies > 0) {
            orderOutcomes[outcome.ordinal()].increment();
            orderMillis.add((long) (now - order.sentAt));
        } else {
            questionOutcomes[outcome.ordinal()].increment();
        }
        noteBrokenLink(order.place, outcome);
        if (order.era == era) {
            toModule("ordered", () -> router.ordered(order.place.executor, order.model, outcome, now - order.sentAt,
                    standing));
        }
    }

    /** How a probe ended; what comes after its end is dropped, since another one may be out by then. */
    public void probed(Probe probe, Outcome outcome, Report report) {
        if (!probe.wanted()) {
            lateProbes.increment();
            return;
        }
        probe.end();
        timers.cancel(probe.timer, probe);
        probeOutcomes[outcome.ordinal()].increment();
        noteBrokenLink(probe.place, outcome);
        if (probe.era == era) {
            toModule("probed", () -> router.probed(probe.executor, outcome, now - probe.sentAt, report));
        }
    }

    /** A link that broke may have ended with its process. */
    private static void noteBrokenLink(Place place, Outcome outcome) {
        if (outcome == Outcome.RESET || outcome == Outcome.CONNECT_FAILED) {
            place.process.forget();
        }
    }

    public void due(Object whom) {
        if (whom instanceof Flight flight) {
            flight.givenUp = true;
            links.giveUp(flight);
            ended(flight, flight.sent ? Outcome.TIMED_OUT : Outcome.NEVER_SENT, Warmth.UNTOLD, -1, null, null);
        } else if (whom instanceof Life life) {
            // The module, where this thread is late, has its last moment still to come: it knows what may be shed.
            afterwards.add(() -> timeUp(life));
        } else if (whom instanceof Order order) {
            ordered(order, Outcome.TIMED_OUT, 0);
        } else if (whom instanceof Probe probe) {
            probed(probe, Outcome.TIMED_OUT, null);
        } else if (whom instanceof Runnable work) {
            work.run();
        } else if (whom instanceof Wake wake) {
            if (wake.era == era) {
                toModule("woken", () -> router.woken(wake.tag));
            }
        } else if (whom instanceof Relist relist && relist.era == era) {
            List<Listing> listings = putOff.stream().map(places::of).filter(place -> place != null && !place.gone())
                    .map(place -> places.listing(place, null)).toList();
            putOff.clear();
            toModule("roster", () -> router.roster(RosterForm.CHANGES, listings));
        }
    }

    /** The client's time is up. The module answers well before; if it did not, the answer is given here and counted. */
    private void timeUp(Life life) {
        if (life.pending != null) {
            // Its client cannot wait for the disk; what is durable by now says less, and never something else.
            notDurable.increment();
            deliver(life);
            drop(life);
            return;
        }
        if (life.inference.done) {
            return;
        }
        overdue.increment();
        fail(life.inference);
        if (life.era == era) {
            toModule("left", () -> router.left(life.inference));
        }
    }

    // ---- roster ------------------------------------------------------------------------------------------

    public void roster(RosterForm form, List<RosterLine> lines) {
        List<Listing> listings = places.told(form, lines);
        for (Listing listing : listings) {
            if (putOff.contains(listing.replaces())) {
                putOff.add(listing.executor());
            }
        }
        listings.removeIf(listing -> putOff.contains(listing.executor()));
        toModule("roster", () -> router.roster(form, listings));
    }

    /**
     * What the roster's source guarantees: up to when it counts as complete.
     *
     * @param confirmedAt when it was last known to be complete, module time
     * @param until from when on what it does not say may count as told, module time
     */
    public void rosterValid(double confirmedAt, double until) {
        rosterConfirmedAt = confirmedAt;
        rosterValidUntil = until;
        toModule("rosterValid", () -> router.rosterValid(confirmedAt, until));
    }

    /** Whether forwards and load orders may be written to an executor now: asked by the links as they write. */
    public boolean mayBeSentTo(Place place, double at) {
        return place.ready() && router.maySend(place.executor, at);
    }

    /** A connection to an executor that carried nothing was reset. */
    public void disconnected(Place place) {
        place.process.forget();
        toModule("disconnected", () -> router.disconnected(place.executor));
    }

    /** Not forgotten before what was sent to it has left the window of rule 4: it may be listed again, cold as it was. */
    private void forgetLater(Place place) {
        double since = now;
        place.goneSince = since;
        timers.set(now + cold.fallTime() + 1, (Runnable) () -> {
            if (place.goneSince == since) {
                places.forgetGone(place);
            }
        });
    }

    /** Models that were not asked for in a while are forgotten: some are looked at each time, in turn. */
    private void forgetModels() {
        timers.set(now + MODELS_EVERY, (Runnable) this::forgetModels);
        for (int n = Math.min(MODELS_AT_ONCE, modelsInTurn.size()); n > 0; n--) {
            Model mdl = modelsInTurn.poll();
            boolean[] forgotten = {!names.containsKey(mdl)};
            if (!forgotten[0]) {
                toModule("letGo", () -> forgotten[0] = router.letGo(mdl));
            }
            if (!forgotten[0]) {
                modelsInTurn.add(mdl);
            } else if (names.containsKey(mdl)) {
                models.remove(names.remove(mdl));
            }
        }
    }

    private static final double MODELS_EVERY = 1000;
    private static final int MODELS_AT_ONCE = 500; // some 50 microseconds of work

    // ---- the module's actions ----------------------------------------------------------------------------

    @Override
    public Forward forward(Inference inf, Executor ex, double stopAt) {
        Life life = lives.get(inf.id);
        Forward fwd = new Forward(inf, ex, inf.forwards.size(), now);
        inf.forwards.add(fwd);
        Flight flight = new Flight(life, fwd, places.of(ex), Math.min(stopAt, inf.leavesAt), ex.leaseEndsAt);
        life.flights.add(flight);
        flight.timer = timers.set(flight.stopAt, flight);
        forwards.increment();
        if (ledger == Ledger.NONE || !careful(inf.group)) {
            send(flight);
        } else {
            intend(flight);
        }
        return fwd;
    }

    private void send(Flight flight) {
        flight.sent = true;
        links.forward(flight);
    }

    /** What must not run twice leaves only when it is durable that it may have run. */
    private void intend(Flight flight) {
        Life life = flight.life;
        MessageMemory.Entry entry = life.memory;
        flight.intended = true;
        flight.recipient = flight.place.asRecipient();
        inquiries.identify(flight.place); // for the next one, where it is not known yet
        ledger.append(new LedgerRecord.Intended(customers.get(entry.customer), entry.id, ledger.time().at(now),
                entry.digestHigh, entry.digestLow, entry.group.name(), life.model.name(), flight.recipient,
                flight.name(), entry.signedAt), durable -> {
                    if (flight.ended) {
                        return;
                    }
                    if (durable && !life.inference.done && flight.place.ready() && flight.meetsItsProcess()) {
                        send(flight);
                    } else {
                        ended(flight, Outcome.NEVER_SENT, Warmth.UNTOLD, -1, null, null);
                    }
                });
    }

    @Override
    public void cancel(Forward fwd) {
        Life life = lives.get(fwd.inference.id);
        if (life == null) {
            return;
        }
        Flight flight = life.flights.get(fwd.number);
        flight.givenUp = true;
        links.giveUp(flight);
        // The module is acting: it hears of the end at the next moment, unless an answer was faster.
        afterwards.add(() -> {
            if (!flight.ended) {
                ended(flight, flight.sent ? Outcome.CANCELLED : Outcome.NEVER_SENT, Warmth.UNTOLD, -1, null, null);
            }
        });
    }

    private static final String NO_ROOM = "no room for it within its time";
    private static final String NO_ANSWER_HARMLESS = "no answer from an executor within its time; a repeat is harmless";

    @Override
    public void shed(Inference inf, double pause) {
        Life life = lives.get(inf.id);
        if (life == null || inf.done) {
            return;
        }
        inf.done = true;
        boolean earlierMayHaveRun = !Double.isNaN(life.memory.uncertainSince) && inf.group.repeat() != Repeat.RETRIABLE;
        if (earlierMayHaveRun || life.windowClosed(now)) {
            // No word that a repeat is harmless.
            finish(life, unknown(life));
        } else {
            boolean sent = life.flights.stream().anyMatch(flight -> flight.sent);
            finish(life, words.shed(life.memory.id, sent ? NO_ANSWER_HARMLESS : NO_ROOM, pause));
        }
        drop(life);
    }

    @Override
    public void fail(Inference inf) {
        Life life = lives.get(inf.id);
        if (life == null || inf.done) {
            return;
        }
        inf.done = true;
        finish(life, unknown(life));
        drop(life);
    }

    /** A failure by what is known of the last forward. */
    private FinalAnswer unknown(Life life) {
        noteUncertain(life);
        MessageMemory.Entry entry = life.memory;
        boolean harmless = MessageMemory.isRepeatHarmless(entry, now);
        Outcome last = life.flights.isEmpty() ? null : life.flights.get(life.flights.size() - 1).forward.outcome;
        boolean answered = last == Outcome.ERROR || last == Outcome.RESET;
        String why = Double.isNaN(entry.uncertainSince) ? "it never ran"
                : last == Outcome.ERROR ? "the executor answered with an error; whether it took effect is unknown"
                : last == Outcome.RESET ? "the executor's connection broke; whether it took effect is unknown"
                : "no answer within its time; whether it took effect is unknown";
        return words.failed(entry.id, answered ? 502 : 504, why, harmless);
    }

    private void noteUncertain(Life life) {
        double since = life.mayHaveRunSince();
        MessageMemory.Entry entry = life.memory;
        if (Double.isNaN(entry.uncertainSince)) {
            entry.uncertainSince = since;
        }
    }

    /** Its answer is decided. Where something of it was intended, the answer leaves when it is durable. */
    private void finish(Life life, FinalAnswer answer) {
        boolean intended = life.flights.stream().anyMatch(f -> f.intended);
        MessageMemory.Entry entry = life.memory;
        life.pending = answer;
        if (!intended) {
            deliver(life);
            return;
        }
        noteUncertain(life);
        LedgerRecord record = answer.kind() == FinalAnswer.Kind.SHED && Double.isNaN(entry.uncertainSince)
                ? new LedgerRecord.NotRun(customers.get(entry.customer), entry.id, ledger.time().at(now))
                : new LedgerRecord.Answered(customers.get(entry.customer), entry.id, ledger.time().at(now), answer);
        ledger.append(record, durable -> {
            if (life.pending != null) {
                notDurable.add(durable ? 0 : 1);
                deliver(life);
                drop(life);
            }
        });
    }

    private void deliver(Life life) {
        FinalAnswer answer = life.pending;
        life.pending = null;
        List<Asker> askers = List.copyOf(life.memory.askers);
        close(life, answer);
        finals[answer.kind().ordinal()].increment();
        for (Asker asker : askers) {
            asker.answer(answer);
        }
    }

    /** Ends a life in the memory: with its answer, or, its client gone, with what is known of it. */
    private void close(Life life, FinalAnswer answer) {
        MessageMemory.Entry entry = life.memory;
        timers.cancel(life.timer, life);
        noteUncertain(life);
        entry.askers.clear();
        if (life.partsNotKept && !careful(entry.group)) {
            life.answer = answer;
            memory.forget(entry); // whoever asks again has it run again
            chronicle.ended(life, now);
            return;
        }
        FinalAnswer record = answer;
        if (record == null && !Double.isNaN(entry.uncertainSince)) {
            record = unknown(life);
        }
        life.answer = record;
        if (record == null) {
            memory.forget(entry);
        } else {
            memory.answered(entry, record);
            if (ledger != Ledger.NONE && careful(entry.group) && record.kind() == FinalAnswer.Kind.FAILED
                    && !Double.isNaN(entry.uncertainSince)) {
                inquiries.inquire(entry, life.model.name(), life.openForwards(), !life.earlierMayHaveRun);
            }
        }
        chronicle.ended(life, now);
    }

    private void drop(Life life) {
        if (life.over()) {
            lives.remove(life.inference.id);
        }
    }

    @Override
    public void order(Executor ex, Model mdl, int copies) {
        Place place = places.of(ex);
        inquiries.identify(place);
        String modelName = names.get(mdl);
        Order order = new Order(place, modelName, mdl, copies, era, now, loading.orderTimeout(), ex.leaseEndsAt);
        order.timer = timers.set(now + loading.orderTimeout(), order);
        (copies > 0 ? ordersSent : questionsSent).increment();
        links.order(order);
    }

    @Override
    public void unloadIdle(Executor ex, Model mdl) {
        links.unloadIdle(places.of(ex), names.get(mdl));
    }

    @Override
    public void probe(Executor ex) {
        Probe probe = new Probe(places.of(ex), era, now);
        probe.timer = timers.set(now + PROBE_PATIENCE, probe);
        probesSent.increment();
        links.probe(probe);
    }

    private static final double PROBE_PATIENCE = 1000; // the module passes it over long before; this ends the wait

    @Override
    public void wake(double in, long tag) {
        timers.set(now + in, new Wake(era, tag));
    }

    /** Rosters come unasked here. */
    @Override
    public void askRoster() { }

    @Override
    public void followRoster(boolean on) { }

    @Override
    public void hangUp(Executor ex) {
        links.hangUp(places.of(ex));
    }

    /** Front ends share nothing yet. */
    @Override
    public void tell(int to, byte[] words) { }

    @Override
    public void log(String line) {
        chronicle.said(line);
    }

    // ---- when the module breaks --------------------------------------------------------------------------

    private void toModule(String event, Runnable call) {
        String before = during;
        during = event;
        try {
            call.run();
        } catch (RuntimeException e) {
            startAnew(e, event);
        }
        during = before;
    }

    /**
     * The module threw: what it thinks cannot be trusted. Every inference of its is ended as rules 1 and 2 say, and a
     * fresh one goes on from the roster. It does not know what was sent to cold executors just now, so it hears of
     * those only when that has left the window of rule 4.
     */
    private void startAnew(RuntimeException why, String event) {
        moduleFailures.increment();
        List<Life> open = new ArrayList<>();
        for (Life life : lives.values()) {
            if (life.era == era && !life.inference.done && life.flow == null) {
                open.add(life); // one that has started needs no more decisions
            }
        }
        chronicle.moduleFailed(why, event, open.size());
        era++;
        open.forEach(life -> endHere(life, "this front end starts its decisions anew"));
        lives.values().removeIf(Life::over);
        models.clear();
        names.clear();
        modelsInTurn.clear();
        router = routers.apply(this);
        router.moment(now);
        if (!Double.isNaN(share)) {
            router.share(share);
        }
        router.rosterValid(rosterConfirmedAt, rosterValidUntil);
        List<Listing> warm = new ArrayList<>();
        putOff.clear();
        for (Place place : places.all()) {
            place.executor = new Executor(place.id);
            if (place.gone()) {
                continue;
            }
            double startedAt = place.startedAt(wall);
            if (startedAt > 0 && now - startedAt < cold.warmWithin() + cold.fallTime()) {
                putOff.add(place.executor);
            } else {
                warm.add(places.listing(place, null));
            }
        }
        router.roster(RosterForm.FULL, warm);
        if (!putOff.isEmpty()) {
            timers.set(now + cold.fallTime() + 1, new Relist(era));
        }
    }

    /** Ends what is owed an answer still, as rules 1 and 2 say: this front end cannot wait for it. */
    public void endAll(String why) {
        for (Life life : List.copyOf(lives.values())) {
            if (!life.inference.done && life.flow == null) {
                endHere(life, why);
                if (life.era == era) {
                    toModule("left", () -> router.left(life.inference));
                }
            }
        }
        lives.values().removeIf(Life::over);
    }

    private void endHere(Life life, String why) {
        Inference inf = life.inference;
        inf.done = true;
        boolean harmless = !inf.mayHaveRun() || inf.group.repeat() == Repeat.RETRIABLE
                || inf.group.repeat() == Repeat.DEDUPED && inf.group.dedupScope() == DedupScope.ALL && !life.windowClosed(now);
        for (Flight flight : life.flights) {
            if (!flight.ended) {
                flight.givenUp = true;
                links.giveUp(flight);
                flight.ended = true;
                timers.cancel(flight.timer, flight);
                flight.forward.outcome = flight.sent ? Outcome.CANCELLED : Outcome.NEVER_SENT;
            }
        }
        if (harmless && Double.isNaN(life.memory.uncertainSince)) {
            finish(life, words.shed(life.memory.id, why,
                    forwarding.clientsHearPause() ? forwarding.longestPause() : 0));
        } else {
            finish(life, unknown(life));
        }
    }

    public Collection<Place> places() {
        return places.all();
    }
}
