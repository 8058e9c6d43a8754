package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.api.ExecutorState;
import gradereach.desk.CoordinatorHarness.Client;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** A new id at an address whose old id was never told to be gone: its process is the one that listens there. */
class AddressTakeoverTest {
    private static final String ADDRESS = "10.0.0.1:80";
    /** Three quarters of the fall multiple times the fall time, at the start share of a cold executor (rule 4). */
    private static final double RATION = 0.75 * 3 * 1000 * 0.2;
    /** Milliseconds that an inference of the group is expected to take: a quarter of its SLO time. */
    private static final double EXPECTED = 100;

    /** How discovery tells of the new id. */
    enum RosterDelivery {
        AN_EVENT, AN_EVENT_WITH_BOTH, A_LIST_OLD_FIRST, A_LIST_NEW_FIRST;

        void deliverTo(CoordinatorHarness stage, double startedAt) {
            RosterEntry old = rosterEntry("s-old", ADDRESS, 0, ExecutorState.READY);
            RosterEntry present = rosterEntry("s-new", ADDRESS, startedAt, ExecutorState.READY);
            switch (this) {
                case AN_EVENT -> stage.updateRoster(RosterUpdateKind.CHANGES, present);
                case AN_EVENT_WITH_BOTH -> stage.updateRoster(RosterUpdateKind.CHANGES, present, old);
                case A_LIST_OLD_FIRST -> stage.updateRoster(RosterUpdateKind.FULL, old, present);
                default -> stage.updateRoster(RosterUpdateKind.FULL, present, old);
            }
        }
    }

    private static RosterEntry rosterEntry(String instance, String address, double startedAt, ExecutorState standing) {
        return new RosterEntry(instance, address, 1, startedAt, standing, 0, 0, 0);
    }

    private static CoordinatorHarness withOldInstance(CoordinatorHarness stage) {
        stage.updateRoster(RosterUpdateKind.FULL, rosterEntry("s-old", ADDRESS, 0, ExecutorState.READY));
        return stage;
    }

    /** Ten inferences come; where anything of them goes within that time, orders and questions answered with a copy. */
    private static List<String> sentFor(CoordinatorHarness stage, double span, String ids) {
        int before = stage.forwards.size();
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            stage.sendMessage(ids + i, CoordinatorHarness.RETRIABLE, i);
        }
        for (double until = stage.now + span; stage.now < until; stage.advanceTo(stage.now + 5)) {
            stage.orders.stream().filter(order -> order.copies > 0).forEach(order -> sent.add("order " + order.endpoint.instance));
            stage.answerLoadOrders(1);
        }
        stage.forwards.stream().skip(before).forEach(flight -> sent.add("forward " + flight.endpoint.instance));
        return sent;
    }

    /** Guards against work for a cold process outside its ration (rule 4), sent to it under the id of a warm one. */
    @ParameterizedTest
    @CsvSource({"AN_EVENT, nothing", "AN_EVENT_WITH_BOTH, nothing", "A_LIST_OLD_FIRST, nothing", "A_LIST_NEW_FIRST, nothing",
        "AN_EVENT, list repeats it", "A_LIST_NEW_FIRST, list repeats it", "AN_EVENT, event repeats it", "AN_EVENT, gone"})
    void nothingIsSentToTheOldInstance(RosterDelivery told, String oldIdLater) {
        CoordinatorHarness stage = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        Client client = stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        InFlightForward out = stage.awaitForward();
        double startedAt = stage.now;
        told.deliverTo(stage, startedAt);
        List<String> sent = new ArrayList<>(sentFor(stage, 300, "b"));
        stage.endForward(out, Outcome.RETURNED);
        assertEquals("1 RETURNED", client.received());
        switch (oldIdLater) {
            case "list repeats it" -> RosterDelivery.A_LIST_OLD_FIRST.deliverTo(stage, startedAt);
            case "event repeats it" -> stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-old", ADDRESS, 0, ExecutorState.READY));
            case "gone" -> stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-old", ADDRESS, 0, ExecutorState.REMOVED));
            default -> { }
        }
        sent.addAll(sentFor(stage, 600, "c"));
        assertEquals(List.of(), sent.stream().filter(what -> what.endsWith("s-old")).toList());
        long forwards = sent.stream().filter("forward s-new"::equals).count();
        assertTrue(forwards > 0 && forwards * EXPECTED <= RATION, forwards + " forwards in the first second");
        assertFalse(stage.maySendTo("s-old"));
        assertTrue(stage.maySendTo("s-new"));
    }

    /** Guards against an answer of the old id's process that makes the new one count as holding its copy. */
    @Test
    void answerOfTheOldInstanceReachesItsClientButDoesNotWarmTheNewOne() {
        CoordinatorHarness stage = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        Client client = stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        InFlightForward out = stage.awaitForward();
        stage.orders.clear();
        RosterDelivery.AN_EVENT.deliverTo(stage, stage.now);
        stage.endForward(out, Outcome.RETURNED);
        assertEquals("1 RETURNED", client.received());
        stage.sendMessage("b", CoordinatorHarness.RETRIABLE, 2);
        assertEquals(List.of(out), stage.forwards, "a forward to a copy that nobody has told of");
        assertEquals(List.of("s-new"), stage.orders.stream().map(order -> order.endpoint.instance).distinct().toList());
    }

    /** Guards against a new process that is probed, and proven ready, under the old id while the roster cannot tell. */
    @ParameterizedTest
    @EnumSource
    void oldInstanceIsNeitherProbedNorProvenReady(RosterDelivery told) {
        CoordinatorHarness stage = withOldInstance(CoordinatorHarness.withProbes(UnaryOperator.identity()));
        stage.expireRoster();
        stage.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        for (; stage.probesSent() == 0; stage.advanceTo(stage.now + 5)) {
            stage.answerLoadOrders(0);
        }
        told.deliverTo(stage, stage.now);
        stage.answerProbe(0, Outcome.RETURNED, null);
        assertFalse(stage.maySendTo("s-old"), "by the answer to a probe from before");
        assertFalse(stage.maySendTo("s-new"), "by the answer to a probe of the old id");
        for (double until = stage.now + 700; stage.now < until; stage.advanceTo(stage.now + 5)) {
            stage.answerLoadOrders(0);
        }
        List<String> probed = new ArrayList<>();
        for (int n = 1; n < stage.probesSent(); n++) {
            probed.add(stage.probeTarget(n));
        }
        assertEquals(List.of("s-new " + ADDRESS), probed.stream().distinct().toList());
    }

    /** Guards against the same where the new id is known from elsewhere, or is first told of as it drains. */
    @ParameterizedTest
    @CsvSource({"true, READY", "true, DRAINING", "false, DRAINING"})
    void movedOrDrainingInstanceTakesOverTheAddress(boolean moves, ExecutorState standing) {
        CoordinatorHarness stage = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        if (moves) {
            stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-new", "10.0.0.2:80", 0, ExecutorState.READY));
        }
        stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-new", ADDRESS, stage.now, standing));
        assertEquals(List.of(false, standing == ExecutorState.READY), List.of(stage.maySendTo("s-old"), stage.maySendTo("s-new")));
    }

    /** Guards against one id twice in a list: its later start is the present process, whichever line comes last. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void duplicateInstanceInAListUsesItsLatestStart(boolean presentFirst) {
        CoordinatorHarness stage = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        RosterEntry before = rosterEntry("s-old", ADDRESS, 0, ExecutorState.READY);
        RosterEntry present = rosterEntry("s-old", "10.0.0.2:80", stage.now, ExecutorState.READY);
        stage.updateRoster(RosterUpdateKind.FULL, presentFirst ? present : before, presentFirst ? before : present);
        assertEquals("10.0.0.2:80", stage.endpointOf("s-old").address);
        assertTrue(stage.maySendTo("s-old"));
    }

    /** Guards against ids that are shut out for good: the old one starts anew there, or elsewhere, or two are exchanged. */
    @ParameterizedTest
    @CsvSource({"starts again there, true, false", "moves to a free address, true, true", "exchange, true, true"})
    void replacedInstanceCanReturn(String how, boolean old, boolean present) {
        CoordinatorHarness stage = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        if (how.equals("exchange")) {
            stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-new", "10.0.0.2:80", 0, ExecutorState.READY));
            stage.updateRoster(RosterUpdateKind.FULL, rosterEntry("s-new", ADDRESS, 0, ExecutorState.READY), rosterEntry("s-old", "10.0.0.2:80", 0, ExecutorState.READY));
        } else {
            RosterDelivery.AN_EVENT.deliverTo(stage, stage.now);
            stage.advanceTo(stage.now + 2000);
            boolean there = how.equals("starts again there");
            stage.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-old", there ? ADDRESS : "10.0.0.2:80", stage.now, ExecutorState.READY));
        }
        assertEquals(List.of(old, present), List.of(stage.maySendTo("s-old"), stage.maySendTo("s-new")));
    }
}
