package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ForwardResult;
import gradereach.api.Outcome;
import gradereach.api.RouterActions;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.ExecutorState;
import gradereach.claims.ClaimCoordinator;
import gradereach.claims.ClaimCoordinator.ReplicaRequest;
import gradereach.claims.ClaimCoordinator.Round;
import gradereach.claims.ClaimTable;
import gradereach.claims.FrontEndSet;
import gradereach.ledger.LedgerState;
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
class ClaimExplorationTest {
    private static final List<String> NAMES = List.of("fe-a", "fe-b", "fe-c");

    /** What can be planted. */
    enum Bug { NONE, ACKNOWLEDGES_EARLY, KEEPER_LOSES_CLAIMS, LISTS_DIFFER, NO_CLAIMS }

    /** Forwards at once and fails at the end of forwards: the decisions are not what is explored here. */
    private static Router forwardAtOnce(RouterActions out, Executor[] ready) {
        List<Inference> waiting = new ArrayList<>();
        return (Router) Proxy.newProxyInstance(Router.class.getClassLoader(), new Class<?>[] {Router.class},
                (proxy, called, args) -> {
                    switch (called.getName()) {
                        case "onInferenceAccepted" -> waiting.add((Inference) args[0]);
                        case "onRosterUpdate" -> ready[0] = ((gradereach.api.ExecutorListing) ((List<?>) args[1]).get(0)).executor();
                        case "onForwardEnded" -> {
                            Forward fwd = (Forward) args[0];
                            if (!((ForwardResult) args[1]).inferenceDone()) {
                                if (fwd.inference.mayHaveRun()) {
                                    out.fail(fwd.inference);
                                } else {
                                    out.shed(fwd.inference, 0);
                                }
                            }
                        }
                        case "endBatch" -> {
                            for (Inference inf : List.copyOf(waiting)) {
                                waiting.remove(inf);
                                if (!inf.done) {
                                    out.sendForward(inf, ready[0], inf.deadlineAt);
                                }
                            }
                        }
                        default -> { }
                    }
                    return null;
                });
    }

    /** A front end with what survives it. */
    private final class FrontEnd {
        final String name;
        final ManualCommitLedger ledger = new ManualCommitLedger();
        CoordinatorHarness stage;
        ClaimTable book;
        ClaimCoordinator rounds;
        int incarnation;
        int forwardsCollected;

        FrontEnd(String name) {
            this.name = name;
            ledger.acknowledgesEarly = bug == Bug.ACKNOWLEDGES_EARLY;
        }

        void start() {
            incarnation++;
            LedgerState read = ledger.replay();
            book = new ClaimTable(100, 1e9);
            if (bug != Bug.KEEPER_LOSES_CLAIMS) {
                read.claims().forEach(c -> book.restore(c.customer(), c.id(), c.claimant(), c.signedAt(), 1e18));
            }
            rounds = new ClaimCoordinator(List.of(new FrontEndSet(bug == Bug.LISTS_DIFFER ? List.of(name) : NAMES, 3)), (long) incarnation << 32);
            Executor[] ready = new Executor[1];
            CoordinatorHarness[] made = new CoordinatorHarness[1];
            made[0] = new CoordinatorHarness(1, 100, 1000, real -> forwardAtOnce(made[0] == null ? outletOfRouter(real) : made[0].coordinator, ready), ledger,
                    bug == Bug.NO_CLAIMS ? ClaimService.ALONE : claims());
            stage = made[0];
            stage.now = now;
            stage.coordinator.recover(read, now, 1e9, CoordinatorHarness.GROUPS, Long.MIN_VALUE, (c, i, of, t) -> null);
            stage.updateRoster(RosterUpdateKind.FULL, CoordinatorHarness.rosterEntry(1, ExecutorState.READY, 0));
            forwardsCollected = 0;
        }

        private ClaimService claims() {
            int mine = incarnation;
            return new ClaimService() {
                @Override
                public void claim(MessageIdentity message, double patience, ClaimCallback then) {
                    List<ReplicaRequest> out = new ArrayList<>();
                    Round round = rounds.startRound(message, out);
                    openRounds.add(new OpenRound(FrontEnd.this, mine, round, then));
                    post(out, round, then);
                }

                private void post(List<ReplicaRequest> out, Round round, ClaimCallback then) {
                    out.forEach(m -> messagesInFlight.add(new PeerMessage(FrontEnd.this, mine, m, round, then)));
                }

                @Override
                public void relayToHolder(IncomingMessage arrival, String holder) {
                    relays++;
                    FrontEnd to = frontEnds.get(holder);
                    if (to == null || to.stage == null) {
                        arrival.observer().onFinalAnswer(FinalAnswer.failed(arrival.id(), 504, "unreached", true));
                    } else {
                        deferred.add(() -> {
                            if (to.stage != null) {
                                to.stage.runBatch(now, () -> to.stage.coordinator.onMessage(arrival));
                            }
                        });
                    }
                }
            };
        }

        void onReply(PeerMessage letter, boolean granted, String holder) {
            List<ReplicaRequest> out = new ArrayList<>();
            boolean was = letter.round.result() != null;
            rounds.handleReply(letter.round, letter.message.replica(), granted, holder, out);
            out.forEach(m -> messagesInFlight.add(new PeerMessage(this, incarnation, m, letter.round, letter.callback)));
            if (!was && letter.round.result() != null) {
                stage.runBatch(now, () -> letter.callback.onResult(letter.round.result()));
            }
        }
    }

    private static RouterActions outletOfRouter(Router real) {
        try {
            var field = real.getClass().getDeclaredField("actions");
            field.setAccessible(true);
            return (RouterActions) field.get(real);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private record OpenRound(FrontEnd frontEnd, int incarnation, Round round, ClaimService.ClaimCallback callback) { }

    private record PeerMessage(FrontEnd sender, int incarnation, ReplicaRequest message, Round round, ClaimService.ClaimCallback callback) { }

    private record Reply(PeerMessage request, boolean granted, String holder) { }

    private Bug bug = Bug.NONE;
    private double now;
    private Map<String, FrontEnd> frontEnds;
    private List<PeerMessage> messagesInFlight;
    private List<Reply> replies;
    private List<OpenRound> openRounds;
    private ArrayDeque<Runnable> deferred;
    private List<InFlightForward> atExecutor;
    private List<InFlightForward> runAtExecutor;
    private List<CoordinatorHarness.Client> clients;
    private List<Integer> clientSends;
    private int runs;
    private int crashes;
    private int relays;
    private String violation;

    private void reset() {
        now = 1_000_000;
        frontEnds = new LinkedHashMap<>();
        messagesInFlight = new ArrayList<>();
        replies = new ArrayList<>();
        openRounds = new ArrayList<>();
        deferred = new ArrayDeque<>();
        atExecutor = new ArrayList<>();
        runAtExecutor = new ArrayList<>();
        clients = new ArrayList<>();
        clientSends = new ArrayList<>(List.of(0, 1, 0));
        runs = 0;
        crashes = 0;
        violation = null;
        NAMES.forEach(n -> frontEnds.put(n, new FrontEnd(n)));
        frontEnds.values().forEach(FrontEnd::start);
    }

    /** What can happen now, the plain course first. */
    private List<Runnable> enabledSteps() {
        List<Runnable> can = new ArrayList<>();
        if (!deferred.isEmpty()) {
            can.add(() -> deferred.poll().run());
        }
        for (FrontEnd front : frontEnds.values()) {
            if (front.stage == null) {
                can.add(front::start);
            } else if (front.ledger.hasPending()) {
                can.add(() -> front.ledger.commit(front.stage, true));
            }
        }
        for (PeerMessage letter : messagesInFlight) {
            can.add(() -> deliver(letter));
        }
        for (Reply reply : replies) {
            can.add(() -> {
                replies.remove(reply);
                FrontEnd to = reply.request.sender;
                if (to.stage != null && to.incarnation == reply.request.incarnation && !reply.request.message.release()) {
                    to.onReply(reply.request, reply.granted, reply.holder);
                }
            });
        }
        for (InFlightForward flight : atExecutor) {
            can.add(() -> {
                atExecutor.remove(flight);
                runAtExecutor.add(flight);
                runs++;
            });
        }
        for (InFlightForward flight : runAtExecutor) {
            can.add(() -> {
                runAtExecutor.remove(flight);
                for (FrontEnd front : frontEnds.values()) {
                    if (front.stage != null && front.stage.forwards.contains(flight)) {
                        front.stage.endForward(flight, Outcome.RETURNED);
                    }
                }
            });
        }
        if (!clientSends.isEmpty()) {
            can.add(() -> {
                FrontEnd to = frontEnds.get(NAMES.get(clientSends.remove(0)));
                if (to.stage != null) {
                    CoordinatorHarness.Client client = to.stage.new Client();
                    clients.add(client);
                    to.stage.runBatch(now, () -> to.stage.coordinator.onMessage(to.stage.incomingMessage("a", CoordinatorHarness.NON_RETRIABLE, 1, 0, client)));
                }
            });
        }
        for (FrontEnd front : frontEnds.values()) {
            if (front.stage != null && crashes < 1 && !clients.isEmpty()) {
                can.add(() -> {
                    crashes++;
                    front.stage = null;
                    front.ledger.crash();
                });
            }
        }
        for (PeerMessage letter : messagesInFlight) {
            can.add(() -> messagesInFlight.remove(letter)); // lost
        }
        for (OpenRound o : openRounds) {
            if (o.round.result() == null && o.frontEnd.stage != null && o.frontEnd.incarnation == o.incarnation) {
                can.add(() -> {
                    List<ReplicaRequest> out = new ArrayList<>();
                    o.frontEnd.rounds.handleTimeout(o.round, out);
                    out.forEach(m -> messagesInFlight.add(new PeerMessage(o.frontEnd, o.incarnation, m, o.round, o.callback)));
                    o.frontEnd.stage.runBatch(now, () -> o.callback.onResult(o.round.result()));
                });
            }
        }
        return can;
    }

    private void deliver(PeerMessage letter) {
        messagesInFlight.remove(letter);
        FrontEnd keeper = frontEnds.get(letter.message.replica());
        if (keeper.stage == null) {
            replies.add(new Reply(letter, false, null));
            return;
        }
        ReplicaRequest m = letter.message;
        if (m.release()) {
            keeper.book.release(m.message().customer(), m.message().id(), letter.sender.name, m.round());
            return;
        }
        ClaimTable.ClaimReply word = keeper.book.claim(m.message(), letter.sender.name, m.round(), now, 0);
        if (!word.granted()) {
            replies.add(new Reply(letter, false, word.holder()));
            return;
        }
        keeper.ledger.append(new LedgerRecord.ClaimGranted(m.message().customer(), m.message().id(), now, 0, 0, letter.sender.name),
                durable -> replies.add(new Reply(letter, durable, null)));
    }

    private void collectAndCheck() {
        for (FrontEnd front : frontEnds.values()) {
            if (front.stage != null) {
                for (; front.forwardsCollected < front.stage.forwards.size(); front.forwardsCollected++) {
                    atExecutor.add(front.stage.forwards.get(front.forwardsCollected));
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
    private List<Integer> runSchedule(int[] steps, int[] choices) {
        reset();
        List<Integer> width = new ArrayList<>();
        for (int step = 0; step < 60 && violation == null; step++) {
            List<Runnable> can = enabledSteps();
            // A crash or a loss is never the plain course.
            int plain = defaultChoices(can);
            width.add(can.size());
            int choice = 0;
            for (int i = 0; i < steps.length; i++) {
                choice = steps[i] == step ? choices[i] : choice;
            }
            if (choice == 0 && plain == 0 || choice >= can.size()) {
                break;
            }
            can.get(choice).run();
            collectAndCheck();
        }
        return width;
    }

    private int defaultChoices(List<Runnable> can) {
        boolean busy = !deferred.isEmpty() || !messagesInFlight.isEmpty() || !replies.isEmpty() || !atExecutor.isEmpty()
                || !runAtExecutor.isEmpty() || !clientSends.isEmpty()
                || frontEnds.values().stream().anyMatch(f -> f.stage == null || f.ledger.hasPending());
        return busy ? can.size() : 0;
    }

    private String explore() {
        List<Integer> plain = runSchedule(new int[0], new int[0]);
        if (violation != null) {
            return violation;
        }
        long schedules = 0;
        for (int first = 0; first < plain.size(); first++) {
            for (int a = 1; a < plain.get(first); a++) {
                List<Integer> width = runSchedule(new int[] {first}, new int[] {a});
                schedules++;
                if (violation != null) {
                    return violation + " at " + first + ":" + a;
                }
                for (int second = first + 1; second < width.size(); second++) {
                    for (int b = 1; b < width.get(second); b++) {
                        runSchedule(new int[] {first, second}, new int[] {a, b});
                        schedules++;
                        if (violation != null) {
                            return violation + " at " + Arrays.asList(first, a, second, b);
                        }
                    }
                }
            }
        }
        schedulesExplored = schedules;
        return null;
    }

    private long schedulesExplored;

    @Test
    void noScheduleRunsAReservationTwice() {
        assertNull(explore());
        assertTrue(schedulesExplored > 5000, schedulesExplored + " schedules");
        assertTrue(relays > 0);
    }

    @ParameterizedTest
    @CsvSource({"ACKNOWLEDGES_EARLY", "KEEPER_LOSES_CLAIMS", "LISTS_DIFFER", "NO_CLAIMS"})
    void injectedBugIsFound(Bug planted) {
        bug = planted;
        assertNotNull(explore());
    }

    /** The plain course: one run, one answer at whichever front end it is asked for. */
    @Test
    void theSameMessageAtAnotherFrontEndGetsTheSameAnswer() {
        runSchedule(new int[0], new int[0]);
        assertEquals(1, runs);
        assertEquals(List.of("1 RETURNED", "1 RETURNED", "1 RETURNED"), clients.stream().map(CoordinatorHarness.Client::received).toList());
    }
}
