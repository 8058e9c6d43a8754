package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorState;
import gradereach.api.ForwardResult;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.api.Router;
import gradereach.api.RouterActions;
import gradereach.claims.ClaimCoordinator;
import gradereach.claims.ClaimCoordinator.ReplicaRequest;
import gradereach.claims.ClaimCoordinator.Round;
import gradereach.claims.ClaimTable;
import gradereach.claims.FrontEndSet;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
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
 * Explores one non-retriable inference at three front ends: every schedule that deviates from the default one at up to two
 * points (commits, peer messages, the executor, a client's repeat to another front end, a crash and restart, timeouts, lost
 * messages). In no schedule may it run twice, and all returned answers have to be the same.
 */
class ClaimExplorationTest {
    private static final List<String> NAMES = List.of("fe-a", "fe-b", "fe-c");

    /** Bugs that can be injected; the exploration has to find each of them. */
    enum Bug { NONE, ACKNOWLEDGES_EARLY, REPLICA_LOSES_CLAIMS, LISTS_DIFFER, NO_CLAIMS }

    /**
     * A router that forwards at once, and sheds or fails when the forward ends without an answer; its decisions are not tested
     * here.
     *
     * @param readyExecutor array of one element that holds the only executor once the roster lists it
     */
    private static Router forwardAtOnce(RouterActions actions, Executor[] readyExecutor) {
        List<Inference> waiting = new ArrayList<>();
        return (Router) Proxy.newProxyInstance(Router.class.getClassLoader(), new Class<?>[] {Router.class},
                (proxy, invoked, args) -> {
                    switch (invoked.getName()) {
                        case "onInferenceAccepted" -> waiting.add((Inference) args[0]);
                        case "onRosterUpdate" ->
                            readyExecutor[0] = ((gradereach.api.ExecutorListing) ((List<?>) args[1]).get(0)).executor();
                        case "onForwardEnded" -> {
                            Forward forward = (Forward) args[0];
                            if (!((ForwardResult) args[1]).inferenceDone()) {
                                if (forward.inference.mayHaveRun()) {
                                    actions.fail(forward.inference);
                                } else {
                                    actions.shed(forward.inference, 0);
                                }
                            }
                        }
                        case "endBatch" -> {
                            for (Inference inference : List.copyOf(waiting)) {
                                waiting.remove(inference);
                                if (!inference.done) {
                                    actions.sendForward(inference, readyExecutor[0], inference.deadlineAt);
                                }
                            }
                        }
                        default -> { }
                    }
                    return null;
                });
    }

    /** A front end, with its ledger that survives a crash. */
    private final class FrontEnd {
        final String name;
        final ManualCommitLedger ledger = new ManualCommitLedger();
        CoordinatorHarness harness;
        ClaimTable claimTable;
        ClaimCoordinator claimCoordinator;
        int incarnation;
        int forwardsCollected;

        FrontEnd(String name) {
            this.name = name;
            ledger.acknowledgesEarly = bug == Bug.ACKNOWLEDGES_EARLY;
        }

        void start() {
            incarnation++;
            LedgerState recovered = ledger.replay();
            claimTable = new ClaimTable(100, 1e9);
            if (bug != Bug.REPLICA_LOSES_CLAIMS) {
                recovered.claims().forEach(claim -> claimTable.restore(claim.customer(), claim.id(), claim.claimant(), claim.signedAt(),
                        1e18));
            }
            claimCoordinator = new ClaimCoordinator(List.of(new FrontEndSet(bug == Bug.LISTS_DIFFER ? List.of(name) : NAMES, 3)),
                    (long) incarnation << 32);
            Executor[] readyExecutor = new Executor[1];
            CoordinatorHarness[] created = new CoordinatorHarness[1];
            created[0] = new CoordinatorHarness(1, 100, 1000, router ->
                    forwardAtOnce(created[0] == null ? actionsOf(router) : created[0].coordinator, readyExecutor), ledger,
                    bug == Bug.NO_CLAIMS ? ClaimService.ALONE : claimService());
            harness = created[0];
            harness.now = now;
            harness.coordinator.recover(recovered, now, 1e9, CoordinatorHarness.GROUPS, Long.MIN_VALUE,
                    (customer, id, promisedAt, attempts) -> null);
            harness.updateRoster(RosterUpdateKind.FULL, CoordinatorHarness.rosterEntry(1, ExecutorState.READY, 0));
            forwardsCollected = 0;
        }

        private ClaimService claimService() {
            int startedIn = incarnation;
            return new ClaimService() {
                @Override
                public void claim(MessageIdentity identity, double timeout, ClaimCallback callback) {
                    List<ReplicaRequest> outgoing = new ArrayList<>();
                    Round round = claimCoordinator.startRound(identity, outgoing);
                    openRounds.add(new OpenRound(FrontEnd.this, startedIn, round, callback));
                    post(outgoing, round, callback);
                }

                private void post(List<ReplicaRequest> outgoing, Round round, ClaimCallback callback) {
                    outgoing.forEach(replicaRequest -> messagesInFlight.add(new PeerMessage(FrontEnd.this, startedIn, replicaRequest, round,
                            callback)));
                }

                @Override
                public void relayToHolder(IncomingMessage message, String holder) {
                    relays++;
                    FrontEnd receiver = frontEnds.get(holder);
                    if (receiver == null || receiver.harness == null) {
                        message.observer().onFinalAnswer(FinalAnswer.failed(message.id(), 504, "unreachable", true));
                    } else {
                        deferred.add(() -> {
                            if (receiver.harness != null) {
                                receiver.harness.runBatch(now, () -> receiver.harness.coordinator.onMessage(message));
                            }
                        });
                    }
                }
            };
        }

        void onReply(PeerMessage request, boolean granted, String holder) {
            List<ReplicaRequest> outgoing = new ArrayList<>();
            boolean alreadyDecided = request.round.result() != null;
            claimCoordinator.handleReply(request.round, request.message.replica(), granted, holder, outgoing);
            outgoing.forEach(replicaRequest -> messagesInFlight.add(new PeerMessage(this, incarnation, replicaRequest, request.round,
                    request.callback)));
            if (!alreadyDecided && request.round.result() != null) {
                harness.runBatch(now, () -> request.callback.onResult(request.round.result()));
            }
        }
    }

    private static RouterActions actionsOf(Router router) {
        try {
            var field = router.getClass().getDeclaredField("actions");
            field.setAccessible(true);
            return (RouterActions) field.get(router);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    private record OpenRound(FrontEnd frontEnd, int incarnation, Round round, ClaimService.ClaimCallback callback) { }

    private record PeerMessage(FrontEnd sender, int incarnation, ReplicaRequest message, Round round,
            ClaimService.ClaimCallback callback) { }

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
        NAMES.forEach(name -> frontEnds.put(name, new FrontEnd(name)));
        frontEnds.values().forEach(FrontEnd::start);
    }

    /** The steps that are possible now, those of the default schedule first. */
    private List<Runnable> enabledSteps() {
        List<Runnable> steps = new ArrayList<>();
        if (!deferred.isEmpty()) {
            steps.add(() -> deferred.poll().run());
        }
        for (FrontEnd frontEnd : frontEnds.values()) {
            if (frontEnd.harness == null) {
                steps.add(frontEnd::start);
            } else if (frontEnd.ledger.hasPending()) {
                steps.add(() -> frontEnd.ledger.commit(frontEnd.harness, true));
            }
        }
        for (PeerMessage request : messagesInFlight) {
            steps.add(() -> deliver(request));
        }
        for (Reply reply : replies) {
            steps.add(() -> {
                replies.remove(reply);
                FrontEnd receiver = reply.request.sender;
                if (receiver.harness != null && receiver.incarnation == reply.request.incarnation && !reply.request.message.isRelease()) {
                    receiver.onReply(reply.request, reply.granted, reply.holder);
                }
            });
        }
        for (InFlightForward forward : atExecutor) {
            steps.add(() -> {
                atExecutor.remove(forward);
                runAtExecutor.add(forward);
                runs++;
            });
        }
        for (InFlightForward forward : runAtExecutor) {
            steps.add(() -> {
                runAtExecutor.remove(forward);
                for (FrontEnd frontEnd : frontEnds.values()) {
                    if (frontEnd.harness != null && frontEnd.harness.forwards.contains(forward)) {
                        frontEnd.harness.endForward(forward, Outcome.RETURNED);
                    }
                }
            });
        }
        if (!clientSends.isEmpty()) {
            steps.add(() -> {
                FrontEnd receiver = frontEnds.get(NAMES.get(clientSends.remove(0)));
                if (receiver.harness != null) {
                    CoordinatorHarness.Client client = receiver.harness.new Client();
                    clients.add(client);
                    receiver.harness.runBatch(now, () -> receiver.harness.coordinator.onMessage(receiver.harness.incomingMessage("a",
                            CoordinatorHarness.NON_RETRIABLE, 1, 0, client)));
                }
            });
        }
        for (FrontEnd frontEnd : frontEnds.values()) {
            if (frontEnd.harness != null && crashes < 1 && !clients.isEmpty()) {
                steps.add(() -> {
                    crashes++;
                    frontEnd.harness = null;
                    frontEnd.ledger.crash();
                });
            }
        }
        for (PeerMessage request : messagesInFlight) {
            steps.add(() -> messagesInFlight.remove(request)); // the message is lost
        }
        for (OpenRound openRound : openRounds) {
            if (openRound.round.result() == null && openRound.frontEnd.harness != null
                    && openRound.frontEnd.incarnation == openRound.incarnation) {
                steps.add(() -> {
                    List<ReplicaRequest> outgoing = new ArrayList<>();
                    openRound.frontEnd.claimCoordinator.handleTimeout(openRound.round, outgoing);
                    outgoing.forEach(message -> messagesInFlight.add(new PeerMessage(openRound.frontEnd, openRound.incarnation, message,
                            openRound.round, openRound.callback)));
                    openRound.frontEnd.harness.runBatch(now, () -> openRound.callback.onResult(openRound.round.result()));
                });
            }
        }
        return steps;
    }

    private void deliver(PeerMessage request) {
        messagesInFlight.remove(request);
        FrontEnd replica = frontEnds.get(request.message.replica());
        if (replica.harness == null) {
            replies.add(new Reply(request, false, null));
            return;
        }
        ReplicaRequest message = request.message;
        if (message.isRelease()) {
            replica.claimTable.release(message.message().customer(), message.message().id(), request.sender.name, message.round());
            return;
        }
        ClaimTable.ClaimReply grant = replica.claimTable.claim(message.message(), request.sender.name, message.round(), now, 0);
        if (!grant.granted()) {
            replies.add(new Reply(request, false, grant.holder()));
            return;
        }
        replica.ledger.append(new LedgerRecord.ClaimGranted(message.message().customer(), message.message().id(), now, 0, 0,
                request.sender.name), durable -> replies.add(new Reply(request, durable, null)));
    }

    private void collectAndCheck() {
        for (FrontEnd frontEnd : frontEnds.values()) {
            if (frontEnd.harness != null) {
                for (; frontEnd.forwardsCollected < frontEnd.harness.forwards.size(); frontEnd.forwardsCollected++) {
                    atExecutor.add(frontEnd.harness.forwards.get(frontEnd.forwardsCollected));
                }
            }
        }
        List<String> returned = clients.stream().flatMap(client -> client.answers.stream())
                .filter(answer -> answer.kind() == FinalAnswer.Kind.RETURNED).map(answer -> new String(answer.body())).distinct().toList();
        boolean shed = clients.stream().flatMap(client -> client.answers.stream())
                .anyMatch(answer -> answer.kind() == FinalAnswer.Kind.SHED);
        violation = runs > 1 ? "ran " + runs + " times" : returned.size() > 1 ? "two answers" : shed && runs > 0
                ? "shed and ran" : violation;
    }

    /** Runs a schedule that takes another choice than the first at the given steps. Returns the number of choices at each step. */
    private List<Integer> runSchedule(int[] deviatingSteps, int[] choices) {
        reset();
        List<Integer> choiceCounts = new ArrayList<>();
        for (int step = 0; step < 60 && violation == null; step++) {
            List<Runnable> steps = enabledSteps();
            // A crash or a loss is never part of the default schedule.
            int defaultSteps = defaultChoices(steps);
            choiceCounts.add(steps.size());
            int choice = 0;
            for (int i = 0; i < deviatingSteps.length; i++) {
                choice = deviatingSteps[i] == step ? choices[i] : choice;
            }
            if (choice == 0 && defaultSteps == 0 || choice >= steps.size()) {
                break;
            }
            steps.get(choice).run();
            collectAndCheck();
        }
        return choiceCounts;
    }

    /** The number of possible steps; 0 where only faults (a crash, a lost message, a timeout) are left. */
    private int defaultChoices(List<Runnable> steps) {
        boolean busy = !deferred.isEmpty() || !messagesInFlight.isEmpty() || !replies.isEmpty() || !atExecutor.isEmpty()
                || !runAtExecutor.isEmpty() || !clientSends.isEmpty()
                || frontEnds.values().stream().anyMatch(frontEnd -> frontEnd.harness == null || frontEnd.ledger.hasPending());
        return busy ? steps.size() : 0;
    }

    private String explore() {
        List<Integer> defaultCounts = runSchedule(new int[0], new int[0]);
        if (violation != null) {
            return violation;
        }
        long schedules = 0;
        for (int first = 0; first < defaultCounts.size(); first++) {
            for (int firstChoice = 1; firstChoice < defaultCounts.get(first); firstChoice++) {
                List<Integer> choiceCounts = runSchedule(new int[] {first}, new int[] {firstChoice});
                schedules++;
                if (violation != null) {
                    return violation + " at " + first + ":" + firstChoice;
                }
                for (int second = first + 1; second < choiceCounts.size(); second++) {
                    for (int secondChoice = 1; secondChoice < choiceCounts.get(second); secondChoice++) {
                        runSchedule(new int[] {first, second}, new int[] {firstChoice, secondChoice});
                        schedules++;
                        if (violation != null) {
                            return violation + " at " + Arrays.asList(first, firstChoice, second, secondChoice);
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
    void noScheduleRunsANonRetriableMessageTwice() {
        assertNull(explore());
        assertTrue(schedulesExplored > 5000, schedulesExplored + " schedules");
        assertTrue(relays > 0);
    }

    @ParameterizedTest
    @CsvSource({"ACKNOWLEDGES_EARLY", "REPLICA_LOSES_CLAIMS", "LISTS_DIFFER", "NO_CLAIMS"})
    void injectedBugIsFound(Bug injected) {
        bug = injected;
        assertNotNull(explore());
    }

    /** The default schedule: one run, and one answer at whichever front end receives the message. */
    @Test
    void theSameMessageAtAnotherFrontEndGetsTheSameAnswer() {
        runSchedule(new int[0], new int[0]);
        assertEquals(1, runs);
        assertEquals(List.of("1 RETURNED", "1 RETURNED", "1 RETURNED"), clients.stream().map(CoordinatorHarness.Client::received).toList());
    }
}
