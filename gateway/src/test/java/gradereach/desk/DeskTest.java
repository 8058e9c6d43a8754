package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ModelGroup;
import gradereach.api.Outcome;
import gradereach.api.Repeat;
import gradereach.api.RosterForm;
import gradereach.api.Router;
import gradereach.api.Standing;
import gradereach.desk.Stage.Client;
import gradereach.flow.PartFlow;
import gradereach.message.FinalAnswer;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DeskTest {
    private final Stage stage = stage(UnaryOperator.identity());

    private static Stage stage(UnaryOperator<Router> around) {
        Stage made = new Stage(1, 100, 1000, around);
        made.roster(RosterForm.FULL, Stage.line(1, Standing.READY, 0), Stage.line(2, Standing.READY, 0));
        return made;
    }

    private static ModelGroup group(String name) {
        return Stage.GROUPS.stream().filter(g -> g.name().equals(name)).findFirst().orElseThrow();
    }

    /** Throws on the n-th call of a method. */
    static Router failing(Router real, String method, int n) {
        int[] calls = {0};
        return (Router) Proxy.newProxyInstance(Router.class.getClassLoader(), new Class<?>[] {Router.class},
                (proxy, called, args) -> {
                    if (called.getName().equals(method) && ++calls[0] == n) {
                        throw new IllegalStateException("planted");
                    }
                    return called.invoke(real, args);
                });
    }

    /** Guards against refusals that are planned for a quiet machine and reach their clients late from a busy one. */
    @Test
    void aRefusalComesEarlierWhereAnswersLeaveLate() {
        stage.roster(RosterForm.FULL);
        stage.desk.answerDelay().written(40, stage.now);
        Client client = stage.ask("a", Stage.RETRIABLE, 1);
        double clientLeavesAt = stage.now + Stage.RETRIABLE.routeTimeout();
        stage.pass(clientLeavesAt);
        assertEquals("1 SHED", client.heard());
        assertTrue(client.answeredAt <= clientLeavesAt - 40, client.answeredAt + " of " + clientLeavesAt);
    }

    /** Guards against telling a caller of missing room where an executor had its inference and did not answer in time. */
    @ParameterizedTest
    @CsvSource({"true, no answer from an executor within its time", "false, no room for it within its time"})
    void aShedInferenceIsToldWhetherItWasOut(boolean out, String detail) {
        Client client = stage.ask("a", Stage.RETRIABLE, 1);
        if (out) {
            assertNotNull(stage.out());
        }
        stage.pass(stage.now + Stage.RETRIABLE.routeTimeout());
        assertEquals("1 SHED", client.heard());
        assertTrue(new String(client.answers.get(0).body()).contains(detail), new String(client.answers.get(0).body()));
    }

    @Test
    void whatHasGoneAndWhatNobodyAsksForIsDropped() {
        stage.ask("a", Stage.RETRIABLE, 1);
        stage.end(stage.out(), Outcome.RETURNED);
        assertEquals(1, stage.counts.limit("models_known", 0).present());
        stage.roster(RosterForm.CHANGES, Stage.line(1, Standing.GONE, 0));
        assertEquals(2, stage.desk.places().size());
        stage.pass(stage.now + 2000);
        assertEquals(1, stage.desk.places().size());
        stage.pass(stage.now + 60_000);
        stage.at(stage.now, () -> { });
        assertEquals(0, stage.counts.limit("models_known", 0).present());
        stage.roster(RosterForm.CHANGES, Stage.line(1, Standing.READY, 0));
        assertEquals(2, stage.desk.places().size());
    }

    /** Discovery has the same instance at another address: nothing more goes to the old one. */
    @Test
    void anInstanceThatHasMovedIsMetAtItsNewAddress() {
        stage.roster(RosterForm.FULL, new RosterLine("s-1", "10.0.0.1:80", 1, 0, Standing.READY, 0, 0, 0));
        stage.ask("a", Stage.RETRIABLE, 1);
        Flight before = stage.out();
        stage.roster(RosterForm.CHANGES, new RosterLine("s-1", "10.0.0.9:80", 1, 0, Standing.READY, 0, 0, 0));
        stage.ask("b", Stage.RETRIABLE, 1);
        Flight after = stage.out();
        assertEquals(List.of("10.0.0.1:80", "10.0.0.9:80"), List.of(before.place.address, after.place.address));
        assertFalse(before.place.ready());
        assertEquals(1, stage.desk.places().stream().filter(Place::ready).count());
        stage.end(before, Outcome.RETURNED);
        stage.end(after, Outcome.RETURNED);
        assertEquals(0, stage.desk.owed());
    }

    /** Its start is converted once: a step of the wall clock, or a rounding, is no new start. */
    @Test
    void aStepOfTheWallClockIsNoNewStartOfAnExecutor() {
        stage.roster(RosterForm.CHANGES, Stage.line(1, Standing.READY, stage.now - 500));
        double startedAt = stage.desk.places().iterator().next().executor.startedAt;
        stage.wallStep = 30_000;
        stage.roster(RosterForm.CHANGES, Stage.line(1, Standing.READY, stage.now - 500));
        assertEquals(startedAt, stage.desk.places().iterator().next().executor.startedAt);
    }

    @Test
    void whatBreaksTheTakingOfAMessageCostsThatMessageAlone() {
        Client broken = stage.new Client();
        stage.timersFail = true;
        assertThrows(IllegalStateException.class, () -> stage.at(stage.now,
                () -> stage.desk.arrived(stage.arrival("a", Stage.RETRIABLE, 1, 0, broken))));
        assertEquals("500 internal-error", broken.heard());
        Client next = stage.ask("b", Stage.RETRIABLE, 1);
        stage.end(stage.out(), Outcome.RETURNED);
        assertEquals("1 RETURNED", next.heard());
        stage.pass(stage.now + 2000);
        assertEquals(List.of(), broken.answers);
    }

    /** It lay unread while the process stood still: nothing of it is sent any more. */
    @Test
    void aMessageWhoseTimeWasUpBeforeItWasReadIsShedAtOnce() {
        Client late = stage.new Client();
        Arrival arrival = stage.arrival("a", Stage.RETRIABLE, 1, 0, late);
        stage.now += 1000;
        stage.at(stage.now, () -> stage.desk.arrived(arrival));
        assertEquals("1 SHED", late.heard());
        assertEquals(0, stage.desk.owed());
        assertEquals(List.of(), stage.flights);
    }

    /** A late thread: the module's last moment and the client's time come at once. What never ran is shed, not failed. */
    @Test
    void aLateTimeOutLeavesTheModuleItsLastMoment() {
        stage.roster(RosterForm.FULL);
        Client client = stage.ask("a", Stage.NON_RETRIABLE, 1);
        stage.now += 5000;
        stage.at(stage.now, () -> stage.desk.due(client.life));
        stage.pass(stage.now + 10);
        assertEquals("1 SHED", client.heard());
        assertEquals(0, stage.desk.owed());
    }

    @Test
    void theSameMessageIsOneInferenceWithOneAnswer() {
        Client first = stage.ask("a", Stage.NON_RETRIABLE, 1);
        Client joins = stage.ask("a", Stage.NON_RETRIABLE, 1);
        Client other = stage.ask("a", Stage.NON_RETRIABLE, 2);
        stage.end(stage.out(), Outcome.RETURNED);
        Client after = stage.ask("a", Stage.NON_RETRIABLE, 1);
        assertEquals(List.of("1 RETURNED", "1 RETURNED", "409 other-body", "1 RETURNED"),
                List.of(first.heard(), joins.heard(), other.heard(), after.heard()));
        assertSame(first.answers.get(0), after.answers.get(0));
        assertEquals(1, stage.flights.size());
        assertEquals(0, stage.desk.owed());
    }

    @ParameterizedTest
    @CsvSource({
        // group, how its only forward ends, later, what the same message is then: run again, answered as before or as unknown
        "quick, TIMED_OUT, 0, again", "quick, TIMED_OUT, 30000, again", "booking, TIMED_OUT, 0, recorded",
        "booking, TIMED_OUT, 30000, recorded", "marked, TIMED_OUT, 0, again", "marked, TIMED_OUT, 2000, unknown",
        "marked-there, TIMED_OUT, 0, recorded", "booking, RETURNED, 0, recorded", "quick, RETURNED, 30000, recorded",
        "quick, RETURNED, 601000, again", "booking, RETURNED, 601000, again",
    })
    void aRepeatRunsAgainOnlyWhereRule2Allows(String name, Outcome outcome, double later, String what) {
        Client first = stage.ask("a", group(name), 1);
        Flight flight = stage.out();
        if (outcome == Outcome.RETURNED) {
            stage.end(flight, outcome);
        } else {
            stage.pass(stage.now + 1100);
        }
        assertEquals(1, first.answers.size());
        stage.now += later;
        Client again = stage.ask("a", group(name), 1);
        assertEquals(what.equals("again"), again.answers.isEmpty());
        if (what.equals("unknown")) {
            assertTrue(first.answers.get(0).repeatHarmless(), "its window was open");
            assertEquals("1 FAILED", again.heard());
            assertFalse(again.answers.get(0).repeatHarmless(), "its window has closed");
        } else {
            assertTrue(again.answers.isEmpty() || again.answers.get(0) == first.answers.get(0));
        }
    }

    /** What a deduped message's second life may do ends with the window of its first forward. */
    @Test
    void aSecondLifeKeepsInsideTheWindowOfTheFirst() {
        stage.ask("a", Stage.DEDUPED, 1);
        double first = stage.out().forward.sentAt;
        stage.pass(stage.now + 1100);
        Client again = stage.ask("a", Stage.DEDUPED, 1);
        assertEquals(first + 1500, again.life.inference.leavesAt, 1e-6);
        stage.roster(RosterForm.FULL);
        stage.pass(stage.now + 2000);
        // Nothing of it ran, but its first life may have: no word that a repeat is harmless.
        assertEquals("1 FAILED", again.heard());
        stage.pass(stage.now + 10);
        assertSame(again.answers.get(0), stage.ask("a", Stage.DEDUPED, 1).answers.get(0));
    }

    @ParameterizedTest
    @CsvSource({
        // group, whether its forward is out, what the same message is after its client left
        "quick, true, again", "booking, true, recorded", "booking, false, again", "marked, true, again",
    })
    void aClientThatLeavesTakesItsInferenceWithIt(String name, boolean out, String what) {
        Client client = stage.ask("a", group(name), 1);
        Client second = stage.ask("a", group(name), 1);
        if (out) {
            stage.out();
        }
        stage.at(stage.now, () -> stage.desk.left(client.life, client));
        assertEquals(1, stage.desk.owed());
        stage.at(stage.now, () -> stage.desk.left(second.life, second));
        stage.pass(stage.now + 1);
        assertEquals(0, stage.desk.owed());
        assertEquals(out ? 1 : 0, stage.counts.value("forwards_ended_cancelled"));
        Client again = stage.ask("a", group(name), 1);
        assertEquals(what.equals("again") ? "0" : "1 FAILED", again.heard());
        assertTrue(client.answers.isEmpty());
    }

    @Test
    void boundsAtTheDoorShedBeforeAnythingIsTaken() {
        Stage small = new Stage(1, 2, 3, UnaryOperator.identity());
        assertEquals("0", small.ask("a", Stage.NON_RETRIABLE, 1).heard());
        assertEquals("0", small.ask("b", Stage.RETRIABLE, 1).heard());
        Client held = small.ask("c", Stage.NON_RETRIABLE, 1);
        assertEquals("1 SHED", held.heard());
        assertEquals(1000, held.answers.get(0).pause());
        small.ask("a", Stage.NON_RETRIABLE, 1);
        small.ask("a", Stage.NON_RETRIABLE, 1);
        assertEquals("429 too-many-repeats", small.ask("a", Stage.NON_RETRIABLE, 1).heard());
        small.pass(small.now + 1100);
        // Three remembered at most: what is retriable is forgotten first, what is not never.
        for (String id : List.of("d", "e")) {
            small.ask(id, Stage.NON_RETRIABLE, 1);
            small.pass(small.now + 1100);
        }
        assertEquals(3, small.memory.size());
        assertEquals(1, small.memory.forgottenEarly());
        assertEquals("409 other-body", small.ask("b", Stage.RETRIABLE, 2).heard());
        assertEquals("1 SHED", small.ask("f", Stage.NON_RETRIABLE, 1).heard());
        assertEquals("1 SHED", small.ask("f", Stage.RETRIABLE, 1).heard());
    }

    @Test
    void anAnswerAfterItsEndIsCountedAndDropped() {
        Client client = stage.ask("a", Stage.RETRIABLE, 1);
        Flight flight = stage.out();
        stage.pass(stage.now + 1100);
        FinalAnswer given = client.answers.get(0);
        stage.end(flight, Outcome.RETURNED);
        assertEquals(1, stage.counts.value("late_answers_dropped"));
        assertEquals(List.of(given), client.answers);
    }

    /** A module that forgets an inference: the desk still answers it in time. */
    @Test
    void whatTheModuleForgetsIsAnsweredAtItsTime() {
        Stage deaf = stage(real -> (Router) Proxy.newProxyInstance(Router.class.getClassLoader(),
                new Class<?>[] {Router.class}, (p, called, args) ->
                        called.getName().equals("taken") ? null : called.invoke(real, args)));
        double start = deaf.now;
        Client client = deaf.ask("a", Stage.RETRIABLE, 1);
        deaf.pass(start + 5000);
        assertEquals("1 FAILED", client.heard());
        assertEquals(start + 1000, client.answeredAt, 1e-6);
        assertEquals(1, deaf.counts.value("answers_overdue"));
    }

    @ParameterizedTest
    @CsvSource({"quick, false, 1 SHED", "quick, true, 1 SHED", "booking, false, 1 SHED", "booking, true, 1 FAILED",
        "marked, true, 1 SHED", "marked-there, true, 1 FAILED"})
    void whenTheModuleFailsItsInferencesEndByTheRules(String name, boolean out, String heard) {
        int[] made = {0};
        Stage breaking = stage(real -> made[0]++ == 0 ? failing(real, "probed", 1) : real);
        Client client = breaking.ask("a", group(name), 1);
        Flight flight = out ? breaking.out() : null;
        breaking.at(breaking.now, () -> {
            Place place = breaking.desk.places().iterator().next();
            breaking.desk.probed(new Probe(place, 0, breaking.now), Outcome.RETURNED, null);
        });
        assertEquals(List.of("probed: planted, 1"), breaking.said);
        assertEquals(heard, client.heard());
        assertEquals(0, breaking.desk.owed());
        if (flight != null) {
            breaking.end(flight, Outcome.RETURNED);
            assertEquals(1, client.answers.size());
        }
        breaking.ask("b", Stage.RETRIABLE, 1);
        assertNotNull(breaking.out());
    }

    /** A fresh module does not know what its predecessor sent to cold executors: it hears of them later. */
    @Test
    void afterAFailureColdExecutorsAreListedOnlyWhenTheirWindowIsOver() {
        int[] made = {0};
        Stage breaking = new Stage(1, 100, 1000, real -> made[0]++ == 0 ? failing(real, "left", 1) : real);
        breaking.roster(RosterForm.FULL, Stage.line(1, Standing.READY, breaking.now - 10));
        Client client = breaking.ask("a", Stage.RETRIABLE, 1);
        breaking.at(breaking.now, () -> breaking.desk.left(client.life, client));
        breaking.orders.clear();
        breaking.ask("b", Stage.RETRIABLE, 1);
        breaking.pass(breaking.now + 900);
        assertTrue(breaking.orders.isEmpty());
        breaking.ask("c", Stage.RETRIABLE, 1);
        breaking.pass(breaking.now + 200);
        assertEquals(1, breaking.orders.size());
    }

    /**
     * Random executors, clients, repeats, leavers, rosters and module failures, with the real module: every message
     * taken has one answer in time, nothing is sent after it, what must not run twice does not, nothing is left over.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void rulesHoldWhateverHappens(long seed) {
        Random chance = new Random(seed);
        Stage all = new Stage(seed, 200, 400, real -> seed % 4 == 0 ? failing(real, "ended", 60) : real);
        Map<String, Integer> runs = new HashMap<>();
        Map<Client, Double> deadline = new HashMap<>();
        List<Client> gone = new ArrayList<>();
        List<Client> clients = new ArrayList<>();
        List<Flight> open = new ArrayList<>();
        Map<Flight, Boolean> ran = new HashMap<>();
        RosterLine[] lines = new RosterLine[6];
        for (int i = 0; i < lines.length; i++) {
            lines[i] = Stage.line(i, Standing.READY, chance.nextBoolean() ? 0 : all.now);
        }
        all.roster(RosterForm.FULL, lines);
        int seen = 0;
        int messages = 0;
        for (int step = 0; step < 6000; step++) {
            all.pass(all.now + chance.nextDouble() * 4);
            for (; seen < all.flights.size(); seen++) {
                Flight flight = all.flights.get(seen);
                open.add(flight);
                boolean begins = chance.nextInt(5) > 0;
                ran.put(flight, begins);
                if (begins) {
                    int count = runs.merge(flight.mark(), 1, Integer::sum);
                    assertTrue(count == 1 || flight.life.inference.group.repeat() != Repeat.NON_RETRIABLE,
                            flight.mark() + " ran twice");
                }
            }
            int what = chance.nextInt(20);
            if (what < 7) {
                ModelGroup group = Stage.GROUPS.get(chance.nextInt(4));
                String id = group.name() + (chance.nextInt(6) == 0 ? chance.nextInt(messages + 1) : messages++);
                Client client = all.new Client();
                all.at(all.now, () -> all.desk.arrived(all.arrival(id, group, 1, chance.nextInt(5), client)));
                clients.add(client);
                deadline.put(client, all.now + 1000);
            } else if (what < 14 && !open.isEmpty()) {
                Flight flight = open.remove(chance.nextInt(open.size()));
                Outcome outcome = !ran.get(flight)
                        ? List.of(Outcome.FULL, Outcome.MISS, Outcome.CONNECT_FAILED, Outcome.NEVER_SENT)
                                .get(chance.nextInt(4))
                        : List.of(Outcome.RETURNED, Outcome.RETURNED, Outcome.RETURNED, Outcome.ERROR, Outcome.RESET)
                                .get(chance.nextInt(5));
                all.end(flight, outcome);
            } else if (what < 17 && !all.orders.isEmpty()) {
                Order order = all.orders.remove(chance.nextInt(all.orders.size()));
                Outcome outcome = chance.nextInt(4) == 0 ? Outcome.FULL : Outcome.RETURNED;
                all.at(all.now, () -> all.desk.ordered(order, outcome, Math.max(order.copies, chance.nextInt(2))));
            } else if (what == 17 && !clients.isEmpty()) {
                Client client = clients.get(chance.nextInt(clients.size()));
                if (client.life != null && client.answers.isEmpty()) {
                    gone.add(client);
                    all.at(all.now, () -> all.desk.left(client.life, client));
                }
            } else if (what == 18) {
                int i = chance.nextInt(lines.length);
                Standing standing = Standing.values()[chance.nextInt(3)];
                lines[i] = Stage.line(i, standing, standing == Standing.READY ? all.now : lines[i].startedAt());
                all.roster(RosterForm.CHANGES, lines[i]);
            } else if (what == 19 && chance.nextInt(50) == 0) {
                all.pass(all.now + 5000);
            }
        }
        all.pass(all.now + 20_000);
        for (Client client : clients) {
            assertTrue(client.answers.size() + (client.refused == null ? 0 : 1) == 1 || gone.contains(client),
                    "an inference without its one answer: " + client.heard());
            assertTrue(client.answers.isEmpty() || client.answeredAt <= deadline.get(client), "late");
        }
        assertEquals(0, all.sentAfterAnswers);
        assertEquals(0, all.desk.owed());
        assertEquals(0, all.counts.value("answers_overdue"));
        assertTrue(all.memory.size() <= 400);
        assertTrue(all.timersSet() < 60, all.timersSet() + " timers are left");
        assertEquals(seed % 4 == 0, all.counts.value("module_failures") > 0);
        assertNull(all.flights.stream().filter(f -> !f.ended).findAny().orElse(null));
    }

    /** Found by bad-day-kills: a client left while keepers were asked, and its forward left 55 ms later. */
    @ParameterizedTest
    @CsvSource({"MINE, true, 0", "MINE, false, 1", "OTHERS, true, 0", "UNKNOWN, true, 0"})
    void whoLeavesWhileKeepersAreAskedIsNotServed(Claims.Kind kind, boolean leaves, int forwards) {
        Claims.Then[] asked = new Claims.Then[1];
        Claims claims = new Claims() {
            @Override
            public void claim(MessageIdentity message, double patience, Then then) {
                asked[0] = then;
            }

            @Override
            public void handOn(Arrival arrival, String holder) {
                throw new AssertionError("handed on for nobody");
            }
        };
        Stage stage = new Stage(1, 100, 1000, UnaryOperator.identity(), Ledger.NONE, claims);
        stage.roster(RosterForm.FULL, Stage.line(1, Standing.READY, 0));
        Client client = stage.ask("a", Stage.NON_RETRIABLE, 1);
        client.gone = leaves;
        stage.at(stage.now, () -> asked[0].done(new Claims.Verdict(kind, "fe-2/x")));
        for (int i = 0; i < 5; i++) {
            stage.standing(1);
            stage.pass(stage.now + 2);
        }
        assertEquals(forwards, stage.flights.size());
        assertEquals(forwards, stage.desk.owed());
    }

    /** An answer that has started has no time-out: it ends as it ends, and nothing else is sent for it. */
    @ParameterizedTest
    @CsvSource({"told, RETURNED, 1 RETURNED", "told, RESET, 1 FAILED", "told, ERROR, 1 FAILED", "signed, RETURNED, 1 RETURNED",
        "signed, RESET, 1 FAILED"})
    void anAnswerThatHasStartedIsItsClients(String name, Outcome outcome, String heard) {
        Client client = stage.ask("a", group(name), 1);
        Flight flight = stage.out();
        PartFlow<String> flow = stage.start(flight);
        assertSame(flow, client.flow);
        stage.pass(stage.now + 30_000);
        assertEquals("0", client.heard());
        stage.end(flight, outcome);
        assertEquals(heard, client.heard());
        stage.pass(stage.now + 5000);
        assertEquals(List.of(1, 0L, 0), List.of(stage.flights.size(), stage.counts.value("answers_overdue"), stage.desk.owed()));
    }

    /** Who reads may leave: alone, its executor is told; beside others, the parts go on to the record. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void whoReadsMayLeave(boolean others) {
        Client reader = stage.ask("a", Stage.TOLD, 1);
        Flight flight = stage.out();
        PartFlow<String> flow = stage.start(flight);
        Client joins = others ? stage.ask("a", Stage.TOLD, 1) : null;
        stage.at(stage.now, () -> stage.desk.left(reader.life, reader));
        assertTrue(flow.wantsMore() && !flow.waits(), "parts wait for nobody");
        assertEquals(!others, flight.ended);
        assertEquals(!others, flight.givenUp);
        if (others) {
            stage.end(flight, Outcome.RETURNED);
            assertEquals("1 RETURNED", joins.heard());
        }
        assertEquals(0, stage.desk.owed());
    }

    /** The first part of one that has ended meanwhile, or of a second one, starts nothing. */
    @Test
    void aStartThatComesTooLateStartsNothing() {
        Client client = stage.ask("a", Stage.TOLD, 1);
        Flight first = stage.out();
        stage.end(first, Outcome.ERROR);
        PartFlow<String> late = stage.start(first);
        Flight second = stage.out();
        PartFlow<String> flow = stage.start(second);
        assertTrue(late.wantsMore() && !late.waits());
        assertSame(flow, client.flow);
        assertEquals(1, stage.counts.value("answers_started"));
    }

    /** A part that was told holds until its time and over a module's fall; then nothing of what is shared is ours. */
    @Test
    void aPartIsSpentUntilItsTime() {
        List<Double> told = new ArrayList<>();
        UnaryOperator<Router> noting = real -> (Router) Proxy.newProxyInstance(Router.class.getClassLoader(), new Class<?>[] {Router.class},
                (proxy, called, args) -> {
                    if (called.getName().equals("share")) {
                        told.add((Double) args[0]);
                    }
                    return called.invoke(real, args);
                });
        Stage shared = stage(real -> noting.apply(failing(real, "taken", 2)));
        shared.at(shared.now, () -> shared.desk.share(0.25, shared.now + 500));
        shared.pass(shared.now + 400);
        shared.at(shared.now, () -> shared.desk.share(0.5, shared.now + 500));
        shared.pass(shared.now + 300);
        shared.ask("a", Stage.RETRIABLE, 1);
        shared.ask("b", Stage.RETRIABLE, 1);
        assertEquals(List.of(0.25, 0.5, 0.5), told, "told anew to the fresh module");
        shared.pass(shared.now + 300);
        assertEquals(List.of(0.25, 0.5, 0.5, 0.0), told);
    }

    /** The module breaks: what has started needs no more of it. */
    @Test
    void aStartedAnswerOutlivesItsModule() {
        Stage broken = stage(real -> failing(real, "taken", 3));
        Client client = broken.ask("a", Stage.TOLD, 1);
        Flight flight = broken.out();
        broken.start(flight);
        broken.ask("b", Stage.RETRIABLE, 1);
        broken.ask("c", Stage.RETRIABLE, 1);
        assertEquals(1, broken.counts.value("module_failures"));
        assertEquals("0", client.heard());
        broken.end(flight, Outcome.RETURNED);
        assertEquals("1 RETURNED", client.heard());
    }
}
