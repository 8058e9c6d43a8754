package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorState;
import gradereach.api.Outcome;
import gradereach.api.RosterUpdateKind;
import gradereach.desk.CoordinatorHarness.Client;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** A new instance is listed at an address whose old instance was never reported as removed: the new process listens there. */
class AddressTakeoverTest {
    private static final String ADDRESS = "10.0.0.1:80";
    /** Work in milliseconds: three quarters of overload factor x overload time, at the initial share of a cold executor (rule 4). */
    private static final double COLD_BUDGET = 0.75 * 3 * 1000 * 0.2;
    /** Expected milliseconds of one inference of the group: a quarter of its SLO time. */
    private static final double EXPECTED_MILLIS = 100;

    /** How the roster reports the new instance. */
    enum RosterDelivery {
        AN_EVENT, AN_EVENT_WITH_BOTH, A_LIST_OLD_FIRST, A_LIST_NEW_FIRST;

        void deliverTo(CoordinatorHarness harness, double startedAt) {
            RosterEntry old = rosterEntry("s-old", ADDRESS, 0, ExecutorState.READY);
            RosterEntry current = rosterEntry("s-new", ADDRESS, startedAt, ExecutorState.READY);
            switch (this) {
                case AN_EVENT -> harness.updateRoster(RosterUpdateKind.CHANGES, current);
                case AN_EVENT_WITH_BOTH -> harness.updateRoster(RosterUpdateKind.CHANGES, current, old);
                case A_LIST_OLD_FIRST -> harness.updateRoster(RosterUpdateKind.FULL, old, current);
                default -> harness.updateRoster(RosterUpdateKind.FULL, current, old);
            }
        }
    }

    private static RosterEntry rosterEntry(String instance, String address, double startedAt, ExecutorState state) {
        return new RosterEntry(instance, address, 1, startedAt, state, 0, 0, 0);
    }

    private static CoordinatorHarness withOldInstance(CoordinatorHarness harness) {
        harness.updateRoster(RosterUpdateKind.FULL, rosterEntry("s-old", ADDRESS, 0, ExecutorState.READY));
        return harness;
    }

    /**
     * Sends ten messages, and returns the load orders and forwards of the next {@code duration} milliseconds; each load order is
     * answered with a loaded copy.
     */
    private static List<String> sentWithin(CoordinatorHarness harness, double duration, String idPrefix) {
        int forwardsBefore = harness.forwards.size();
        List<String> sent = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            harness.sendMessage(idPrefix + i, CoordinatorHarness.RETRIABLE, i);
        }
        for (double until = harness.now + duration; harness.now < until; harness.advanceTo(harness.now + 5)) {
            harness.orders.stream().filter(order -> order.copies > 0).forEach(order -> sent.add("order " + order.endpoint.instance));
            harness.answerLoadOrders(1);
        }
        harness.forwards.stream().skip(forwardsBefore).forEach(forward -> sent.add("forward " + forward.endpoint.instance));
        return sent;
    }

    /** Guards against exceeding the work allowed for a cold process (rule 4) by sending to it as the old, warm instance. */
    @ParameterizedTest
    @CsvSource({"AN_EVENT, nothing", "AN_EVENT_WITH_BOTH, nothing", "A_LIST_OLD_FIRST, nothing", "A_LIST_NEW_FIRST, nothing",
        "AN_EVENT, list repeats it", "A_LIST_NEW_FIRST, list repeats it", "AN_EVENT, event repeats it", "AN_EVENT, gone"})
    void nothingIsSentToTheOldInstance(RosterDelivery delivery, String oldInstanceLater) {
        CoordinatorHarness harness = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        Client client = harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        InFlightForward openForward = harness.awaitForward();
        double startedAt = harness.now;
        delivery.deliverTo(harness, startedAt);
        List<String> sent = new ArrayList<>(sentWithin(harness, 300, "b"));
        harness.endForward(openForward, Outcome.RETURNED);
        assertEquals("1 RETURNED", client.received());
        switch (oldInstanceLater) {
            case "list repeats it" -> RosterDelivery.A_LIST_OLD_FIRST.deliverTo(harness, startedAt);
            case "event repeats it" -> harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-old", ADDRESS, 0,
                    ExecutorState.READY));
            case "gone" -> harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-old", ADDRESS, 0, ExecutorState.REMOVED));
            default -> { }
        }
        sent.addAll(sentWithin(harness, 600, "c"));
        assertEquals(List.of(), sent.stream().filter(item -> item.endsWith("s-old")).toList());
        long forwards = sent.stream().filter("forward s-new"::equals).count();
        assertTrue(forwards > 0 && forwards * EXPECTED_MILLIS <= COLD_BUDGET, forwards + " forwards in the first second");
        assertFalse(harness.maySendTo("s-old"));
        assertTrue(harness.maySendTo("s-new"));
    }

    /** Guards against an answer of the old instance that makes the new one count as holding the copy. */
    @Test
    void answerOfTheOldInstanceReachesItsClientButDoesNotWarmTheNewOne() {
        CoordinatorHarness harness = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        Client client = harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        InFlightForward openForward = harness.awaitForward();
        harness.orders.clear();
        RosterDelivery.AN_EVENT.deliverTo(harness, harness.now);
        harness.endForward(openForward, Outcome.RETURNED);
        assertEquals("1 RETURNED", client.received());
        harness.sendMessage("b", CoordinatorHarness.RETRIABLE, 2);
        assertEquals(List.of(openForward), harness.forwards, "a forward to a copy that was never reported");
        assertEquals(List.of("s-new"), harness.orders.stream().map(order -> order.endpoint.instance).distinct().toList());
    }

    /** Guards against a new process that is probed and proven ready as the old instance while the roster is out of date. */
    @ParameterizedTest
    @EnumSource
    void oldInstanceIsNeitherProbedNorProvenReady(RosterDelivery delivery) {
        CoordinatorHarness harness = withOldInstance(CoordinatorHarness.withProbes(UnaryOperator.identity()));
        harness.expireRoster();
        harness.sendMessage("a", CoordinatorHarness.RETRIABLE, 1);
        for (; harness.probesSent() == 0; harness.advanceTo(harness.now + 5)) {
            harness.answerLoadOrders(0);
        }
        delivery.deliverTo(harness, harness.now);
        harness.answerProbe(0, Outcome.RETURNED, null);
        assertFalse(harness.maySendTo("s-old"), "by the answer to a probe sent before the takeover");
        assertFalse(harness.maySendTo("s-new"), "by the answer to a probe of the old instance");
        for (double until = harness.now + 700; harness.now < until; harness.advanceTo(harness.now + 5)) {
            harness.answerLoadOrders(0);
        }
        List<String> probed = new ArrayList<>();
        for (int n = 1; n < harness.probesSent(); n++) {
            probed.add(harness.probeTarget(n));
        }
        assertEquals(List.of("s-new " + ADDRESS), probed.stream().distinct().toList());
    }

    /** The same, where the new instance was known at another address before, or is first listed as draining. */
    @ParameterizedTest
    @CsvSource({"true, READY", "true, DRAINING", "false, DRAINING"})
    void movedOrDrainingInstanceTakesOverTheAddress(boolean knownElsewhere, ExecutorState state) {
        CoordinatorHarness harness = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        if (knownElsewhere) {
            harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-new", "10.0.0.2:80", 0, ExecutorState.READY));
        }
        harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-new", ADDRESS, harness.now, state));
        assertEquals(List.of(false, state == ExecutorState.READY), List.of(harness.maySendTo("s-old"), harness.maySendTo("s-new")));
    }

    /** An instance listed twice: the entry with the later start is the current process, in whichever order they come. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void duplicateInstanceInAListUsesItsLatestStart(boolean currentFirst) {
        CoordinatorHarness harness = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        RosterEntry previous = rosterEntry("s-old", ADDRESS, 0, ExecutorState.READY);
        RosterEntry current = rosterEntry("s-old", "10.0.0.2:80", harness.now, ExecutorState.READY);
        harness.updateRoster(RosterUpdateKind.FULL, currentFirst ? current : previous, currentFirst ? previous : current);
        assertEquals("10.0.0.2:80", harness.endpointOf("s-old").address);
        assertTrue(harness.maySendTo("s-old"));
    }

    /** Guards against excluding an instance for good: the old one starts again there or elsewhere, or two swap their addresses. */
    @ParameterizedTest
    @CsvSource({"restarts at the address, true, false", "moves to a free address, true, true", "swaps addresses, true, true"})
    void replacedInstanceCanReturn(String returnKind, boolean oldReceives, boolean newReceives) {
        CoordinatorHarness harness = withOldInstance(new CoordinatorHarness(1, 100, 1000, UnaryOperator.identity()));
        if (returnKind.equals("swaps addresses")) {
            harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-new", "10.0.0.2:80", 0, ExecutorState.READY));
            harness.updateRoster(RosterUpdateKind.FULL, rosterEntry("s-new", ADDRESS, 0, ExecutorState.READY),
                    rosterEntry("s-old", "10.0.0.2:80", 0, ExecutorState.READY));
        } else {
            RosterDelivery.AN_EVENT.deliverTo(harness, harness.now);
            harness.advanceTo(harness.now + 2000);
            boolean sameAddress = returnKind.equals("restarts at the address");
            harness.updateRoster(RosterUpdateKind.CHANGES, rosterEntry("s-old", sameAddress ? ADDRESS : "10.0.0.2:80", harness.now,
                    ExecutorState.READY));
        }
        assertEquals(List.of(oldReceives, newReceives), List.of(harness.maySendTo("s-old"), harness.maySendTo("s-new")));
    }
}
