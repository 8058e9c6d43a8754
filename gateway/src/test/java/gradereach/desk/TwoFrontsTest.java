package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.Answer;
import gradereach.api.Outcome;
import gradereach.api.Outlet;
import gradereach.api.RosterForm;
import gradereach.api.Router;
import gradereach.api.Standing;
import gradereach.claims.ClaimRounds;
import gradereach.claims.ClaimRounds.Message;
import gradereach.claims.ClaimRounds.Round;
import gradereach.claims.KeeperBook;
import gradereach.claims.Members;
import gradereach.ledger.LedgerBook;
import gradereach.ledger.LedgerRecord;
import gradereach.message.FinalAnswer;
import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Inference;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * One reservation at three front ends, explored: every schedule that deviates from the plain one at up to two points
 * (commits, peers' messages, executor, client's repeat to another front end, a crash and its restart, time-outs, lost
 * and cut links). In none may it run twice, and all returned answers are one.
 */
class TwoFrontsTest {
    private static final List<String> NAMES = List.of("fe-a", "fe-b", "fe-c");

    /** What can be planted. */
    enum Bug { NONE, ACKNOWLEDGES_EARLY, KEEPER_FORGETS, LISTS_DIFFER, NO_CLAIMS }

    /** Forwards at once and fails at the end of forwards: the decisions are not what is explored here. */
    private static Router straight(Outlet out, Executor[] ready) {
        List<Inference> waiting = new ArrayList<>();
        return (Router) Proxy.newProxyInstance(Router.class.getClassLoader(), new Class<?>[] {Router.class},
                (proxy, called, args) -> {
                    switch (called.getName()) {
                        case "taken" -> waiting.add((Inference) args[0]);
                        case "roster" -> ready[0] = ((gradereach.api.Listing) ((List<?>) args[1]).get(0)).executor();
                        case "ended" -> {
                            Forward fwd = (Forward) args[0];
                            if (!((Answer) args[1]).inferenceDone()) {
                                if (fwd.inference.mayHaveRun()) {
                                    out.fail(fwd.inference);
                                } else {
                                    out.shed(fwd.inference, 0);
                                }
                            }
                        }
                        case "settle" -> {
                            for (Inference inf : List.copyOf(waiting)) {
                                waiting.remove(inf);
                                if (!inf.done) {
                                    out.forward(inf, ready[0], inf.leavesAt);
                                }
                            }
                        }
                        default -> { }
                    }
                    return null;
                });
    }

    /** A front end with what survives it. */
    private final class Front {
        final String name;
        final PaperLedger ledger = new PaperLedger();
        Stage stage;
        KeeperBook book;
        ClaimRounds rounds;
        int life;
        int seen;

        Front(String name) {
            this.name = name;
            ledger.lies = bug == Bug.ACKNOWLEDGES_EARLY;
        }

        void start() {
            life++;
            LedgerBook read = ledger.read();
            book = new KeeperBook(100, 1e9);
            if (bug != Bug.KEEPER_FORGETS) {
                read.claims().forEach(c -> book.restore(c.customer(), c.id(), c.claimant(), c.signedAt(), 1e18));
            }
            rounds = new ClaimRounds(List.of(new Members(bug == Bug.LISTS_DIFFER ? List.of(name) : NAMES, 3)), (long) life << 32);
            Executor[] ready = new Executor[1];
            Stage[] made = new Stage[1];
            made[0] = new Stage(1, 100, 1000, real -> straight(made[0] == null ? outletOf(real) : made[0].desk, ready), ledger,
                    bug == Bug.NO_CLAIMS ? Claims.ALONE : claims());
            stage = made[0];
            stage.now = now;
            stage.desk.recover(read, now, 1e9, Stage.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
            stage.roster(RosterForm.FULL, Stage.line(1, Standing.READY, 0));
            seen = 0;
        }

        private Claims claims() {
            int mine = life;
            return new Claims() {
                @Override
                public void claim(MessageIdentity message, double patience, Then then) {
                    List<Message> out = new ArrayList<>();
                    Round round = rounds.begin(message, out);
                    open.add(new OpenRound(Front.this, mine, round, then));
                    post(out, round, then);
                }

                private void post(List<Message> out, Round round, Then then) {
                    out.forEach(m -> net.add(new Letter(Front.this, mine, m, round, then)));
                }

                @Override
                public void handOn(Arrival arrival, String holder) {
                    handOns++;
                    Front to = fronts.get(holder);
                    if (to == null || to.stage == null) {
                        arrival.asker().answer(FinalAnswer.failed(arrival.id(), 504, "unreached", true));
                    } else {
                        deferred.add(() -> {
                            if (to.stage != null) {
                                to.stage.at(now, () -> to.stage.desk.arrived(arrival));
                            }
                        });
                    }
                }
            };
        }

        void heard(Letter letter, boolean granted, String holder) {
            List<Message> out = new ArrayList<>();
            boolean was = letter.round.verdict() != null;
            rounds.heard(letter.round, letter.message.keeper(), granted, holder, out);
            out.forEach(m -> net.add(new Letter(this, life, m, letter.round, letter.then)));
            if (!was && letter.round.verdict() != null) {
                stage.at(now, () -> letter.then.done(letter.round.verdict()));
            }
        }
    }

    private static Outlet outletOf(Router real) {
        try {
            var field = real.getClass().getDeclaredField("out");
            field.setAccessible(true);
            return (Outlet) field.get(real);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private record OpenRound(Front of, int life, Round round, Claims.Then then) { }

    private record Letter(Front from, int life, Message message, Round round, Claims.Then then) { }

    private record Reply(Letter to, boolean granted, String holder) { }

    private Bug bug = Bug.NONE;
    private double now;
    private Map<String, Front> fronts;
    private List<Letter> net;
    private List<Reply> replies;
    private List<OpenRound> open;
    private ArrayDeque<Runnable> deferred;
    private List<Flight> atExecutor;
    private List<Flight> ran;
    private List<Stage.Client> clients;
    private List<Integer> sends;
    private int runs;
    private int crashes;
    private int handOns;
    private String violation;

    private void begin() {
        now = 1_000_000;
        fronts = new LinkedHashMap<>();
        net = new ArrayList<>();
        replies = new ArrayList<>();
        open = new ArrayList<>();
        deferred = new ArrayDeque<>();
        atExecutor = new ArrayList<>();
        ran = new ArrayList<>();
        clients = new ArrayList<>();
        sends = new ArrayList<>(List.of(0, 1, 0));
        runs = 0;
        crashes = 0;
        violation = null;
        NAMES.forEach(n -> fronts.put(n, new Front(n)));
        fronts.values().forEach(Front::start);
    }

    /** What can happen now, the plain course first. */
    private List<Runnable> enabled() {
        List<Runnable> can = new ArrayList<>();
        if (!deferred.isEmpty()) {
            can.add(() -> deferred.poll().run());
        }
        for (Front front : fronts.values()) {
            if (front.stage == null) {
                can.add(front::start);
            } else if (front.ledger.waits()) {
                can.add(() -> front.ledger.commit(front.stage, true));
            }
        }
        for (Letter letter : net) {
            can.add(() -> deliver(letter));
        }
        for (Reply reply : replies) {
            can.add(() -> {
                replies.remove(reply);
                Front to = reply.to.from;
                if (to.stage != null && to.life == reply.to.life && !reply.to.message.release()) {
                    to.heard(reply.to, reply.granted, reply.holder);
                }
            });
        }
        for (Flight flight : atExecutor) {
            can.add(() -> {
                atExecutor.remove(flight);
                ran.add(flight);
                runs++;
            });
        }
        for (Flight flight : ran) {
            can.add(() -> {
                ran.remove(flight);
                for (Front front : fronts.values()) {
                    if (front.stage != null && front.stage.flights.contains(flight)) {
                        front.stage.end(flight, Outcome.RETURNED);
                    }
                }
            });
        }
        if (!sends.isEmpty()) {
            can.add(() -> {
                Front to = fronts.get(NAMES.get(sends.remove(0)));
                if (to.stage != null) {
                    Stage.Client client = to.stage.new Client();
                    clients.add(client);
                    to.stage.at(now, () -> to.stage.desk.arrived(to.stage.arrival("a", Stage.NON_RETRIABLE, 1, 0, client)));
                }
            });
        }
        for (Front front : fronts.values()) {
            if (front.stage != null && crashes < 1 && !clients.isEmpty()) {
                can.add(() -> {
                    crashes++;
                    front.stage = null;
                    front.ledger.crash();
                });
            }
        }
        for (Letter letter : net) {
            can.add(() -> net.remove(letter)); // lost
        }
        for (OpenRound o : open) {
            if (o.round.verdict() == null && o.of.stage != null && o.of.life == o.life) {
                can.add(() -> {
                    List<Message> out = new ArrayList<>();
                    o.of.rounds.timeUp(o.round, out);
                    out.forEach(m -> net.add(new Letter(o.of, o.life, m, o.round, o.then)));
                    o.of.stage.at(now, () -> o.then.done(o.round.verdict()));
                });
            }
        }
        return can;
    }

    private void deliver(Letter letter) {
        net.remove(letter);
        Front keeper = fronts.get(letter.message.keeper());
        if (keeper.stage == null) {
            replies.add(new Reply(letter, false, null));
            return;
        }
        Message m = letter.message;
        if (m.release()) {
            keeper.book.release(m.about().customer(), m.about().id(), letter.from.name, m.round());
            return;
        }
        KeeperBook.Word word = keeper.book.claim(m.about(), letter.from.name, m.round(), now, 0);
        if (!word.granted()) {
            replies.add(new Reply(letter, false, word.holder()));
            return;
        }
        keeper.ledger.append(new LedgerRecord.Claimed(m.about().customer(), m.about().id(), now, 0, 0, letter.from.name),
                durable -> replies.add(new Reply(letter, durable, null)));
    }

    private void collect() {
        for (Front front : fronts.values()) {
            if (front.stage != null) {
                for (; front.seen < front.stage.flights.size(); front.seen++) {
                    atExecutor.add(front.stage.flights.get(front.seen));
                }
            }
        }
        List<String> returned = clients.stream().flatMap(c -> c.answers.stream())
                .filter(a -> a.kind() == FinalAnswer.Kind.RETURNED).map(a -> new String(a.body())).distinct().toList();
        boolean shed = clients.stream().flatMap(c -> c.answers.stream()).anyMatch(a -> a.kind() == FinalAnswer.Kind.SHED);
        violation = runs > 1 ? "ran " + runs + " times" : returned.size() > 1 ? "two answers" : shed && runs > 0
                ? "shed and ran" : violation;
    }

    /** Plays a schedule: at the given steps another choice than the first. Returns how many choices each step had. */
    private List<Integer> play(int[] steps, int[] choices) {
        begin();
        List<Integer> width = new ArrayList<>();
        for (int step = 0; step < 60 && violation == null; step++) {
            List<Runnable> can = enabled();
            // A crash or a loss is never the plain course.
            int plain = plainChoices(can);
            width.add(can.size());
            int choice = 0;
            for (int i = 0; i < steps.length; i++) {
                choice = steps[i] == step ? choices[i] : choice;
            }
            if (choice == 0 && plain == 0 || choice >= can.size()) {
                break;
            }
            can.get(choice).run();
            collect();
        }
        return width;
    }

    private int plainChoices(List<Runnable> can) {
        boolean busy = !deferred.isEmpty() || !net.isEmpty() || !replies.isEmpty() || !atExecutor.isEmpty()
                || !ran.isEmpty() || !sends.isEmpty()
                || fronts.values().stream().anyMatch(f -> f.stage == null || f.ledger.waits());
        return busy ? can.size() : 0;
    }

    private String explore() {
        List<Integer> plain = play(new int[0], new int[0]);
        if (violation != null) {
            return violation;
        }
        long schedules = 0;
        for (int first = 0; first < plain.size(); first++) {
            for (int a = 1; a < plain.get(first); a++) {
                List<Integer> width = play(new int[] {first}, new int[] {a});
                schedules++;
                if (violation != null) {
                    return violation + " at " + first + ":" + a;
                }
                for (int second = first + 1; second < width.size(); second++) {
                    for (int b = 1; b < width.get(second); b++) {
                        play(new int[] {first, second}, new int[] {a, b});
                        schedules++;
                        if (violation != null) {
                            return violation + " at " + Arrays.asList(first, a, second, b);
                        }
                    }
                }
            }
        }
        explored = schedules;
        return null;
    }

    private long explored;

    @Test
    void noScheduleRunsAReservationTwice() {
        assertNull(explore());
        assertTrue(explored > 5000, explored + " schedules");
        assertTrue(handOns > 0);
    }

    @ParameterizedTest
    @CsvSource({"ACKNOWLEDGES_EARLY", "KEEPER_FORGETS", "LISTS_DIFFER", "NO_CLAIMS"})
    void aPlantedBugIsFound(Bug planted) {
        bug = planted;
        assertNotNull(explore());
    }

    /** The plain course: one run, one answer at whichever front end it is asked for. */
    @Test
    void theSameMessageAtAnotherFrontEndGetsTheSameAnswer() {
        play(new int[0], new int[0]);
        assertEquals(1, runs);
        assertEquals(List.of("1 RETURNED", "1 RETURNED", "1 RETURNED"), clients.stream().map(Stage.Client::heard).toList());
    }
}
