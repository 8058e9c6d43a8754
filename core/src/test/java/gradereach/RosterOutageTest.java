package gradereach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorState;
import gradereach.api.Outcome;
import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Model;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What is sent to executors while the roster cannot tell whether they are draining (docs/incidents/i1c4c95.md). */
class RosterOutageTest {
    /** When the roster was last confirmed, when it stops being valid, and when the leases based on it expire. */
    private static final double CONFIRMED_AT = 1900;
    private static final double ROSTER_EXPIRES_AT = 5000;
    private static final double LEASES_EXPIRE_AT = ROSTER_EXPIRES_AT + PolicyHarness.DRAIN_GRACE;

    private final Model model = new Model(7);
    private final PolicyHarness frontEnd = new PolicyHarness();

    /** Starts with one loaded copy on each executor, one returned forward, and a roster that expires. */
    private void start(int executorCount) {
        frontEnd.probesAllowed = true;
        frontEnd.start(1, executorCount, 0);
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        int[] copies = new int[executorCount];
        java.util.Arrays.fill(copies, 1);
        frontEnd.answerOrder(2001, model, copies);
        frontEnd.advanceTo(2040);
        frontEnd.endForward(2050, lastForward(), Outcome.RETURNED);
        frontEnd.setRosterValidity(2060, CONFIRMED_AT, ROSTER_EXPIRES_AT);
    }

    private Forward lastForward() {
        return frontEnd.forwards.get(frontEnd.forwards.size() - 1);
    }

    private Executor executor(int number) {
        return frontEnd.executors.get(number - 1);
    }

    /** Guards against probes that a complete roster makes unnecessary. */
    @Test
    void noProbesWhileRosterIsValid() {
        start(1);
        frontEnd.accept(ROSTER_EXPIRES_AT - 1, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.countActions("forward"));
        assertEquals(0, frontEnd.countActions("probe"));
    }

    /** Guards against an outage that stops all forwards: a probe answered as ready allows them for the drain grace. */
    @Test
    void readyProbeGivesLeaseForTheDrainGrace() {
        start(1);
        assertTrue(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT - 50));
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT));
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        assertEquals(1, frontEnd.countActions("forward"));
        assertEquals(1, frontEnd.countActions("probe 1"));
        frontEnd.endProbe(LEASES_EXPIRE_AT + 3, executor(1), Outcome.RETURNED);
        assertEquals(2, frontEnd.countActions("forward"));
        assertTrue(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT + PolicyHarness.DRAIN_GRACE - 50));
        // The lease counts from the sending of the probe, not from its answer.
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT + PolicyHarness.DRAIN_GRACE));
    }

    /** Draining executors return forwards for a while, so only probes prove readiness. */
    @Test
    void returnedForwardDoesNotProveReadiness() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT - 100, PolicyHarness.RETRIABLE, model);
        frontEnd.endForward(LEASES_EXPIRE_AT - 50, lastForward(), Outcome.RETURNED);
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT));
    }

    /** Guards against forwards to an executor whose probe was answered as not ready, and against probing it all the time. */
    @Test
    void drainingExecutorGetsNothingAndIsProbedAgainLater() {
        start(2);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.countActions("probe"));
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.ERROR);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 2, executor(2), Outcome.RETURNED);
        assertEquals(2, frontEnd.countActions("forward"));
        assertEquals(executor(2), lastForward().executor);
        for (double time = LEASES_EXPIRE_AT + 10; time < LEASES_EXPIRE_AT + 990; time += 10) {
            frontEnd.accept(time, PolicyHarness.RETRIABLE, model);
        }
        assertEquals(1, frontEnd.countActions("probe 1"));
        frontEnd.accept(LEASES_EXPIRE_AT + 1010, PolicyHarness.RETRIABLE, model);
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 1100);
        assertEquals(2, frontEnd.countActions("probe 1"));
        assertEquals(0, frontEnd.forwards.stream().skip(1).filter(forward -> forward.executor == executor(1)).count());
    }

    /** An executor that refuses a forward may have started to drain since its last probe, and has to be probed again. */
    @Test
    void executorThatRefusesAForwardIsProbedFirst() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.RETURNED);
        frontEnd.endForward(LEASES_EXPIRE_AT + 10, lastForward(), Outcome.FULL);
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT + 11));
    }

    /** A probe sent before the roster expired gives a lease too, counted from when it was sent. */
    @Test
    void probeFromBeforeTheOutageGivesALease() {
        start(2);
        frontEnd.accept(ROSTER_EXPIRES_AT + 300, PolicyHarness.RETRIABLE, model); // has both probed for load reports
        frontEnd.endProbe(ROSTER_EXPIRES_AT + 301, executor(1), 0);
        frontEnd.endProbe(ROSTER_EXPIRES_AT + 302, executor(2), 0);
        assertTrue(frontEnd.maySend(executor(1), ROSTER_EXPIRES_AT + 300 + PolicyHarness.DRAIN_GRACE - 50));
        assertFalse(frontEnd.maySend(executor(1), ROSTER_EXPIRES_AT + 300 + PolicyHarness.DRAIN_GRACE));
    }

    /** Guards against load orders to executors that may be draining. An answered status query does not prove readiness. */
    @Test
    void noOrderWithoutProofOfReadiness() {
        start(3);
        Model other = new Model(8);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, other);
        frontEnd.executors.forEach(executor -> frontEnd.answerOrder(LEASES_EXPIRE_AT + 1, executor, other, 0));
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 200);
        assertEquals(0, frontEnd.countActions("order"));
        frontEnd.executors.forEach(executor -> frontEnd.endProbe(LEASES_EXPIRE_AT + 201, executor, Outcome.RETURNED));
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 400);
        assertEquals(1, frontEnd.countActions("order"));
    }

    /** After a reset, an executor that answers again may be a new process, which is cold and has nothing loaded. */
    @ParameterizedTest
    @EnumSource(value = Outcome.class, names = {"RESET", "CONNECT_FAILED"})
    void executorThatMayHaveRestartedIsColdAndEmpty(Outcome outcome) {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.RETURNED);
        frontEnd.endForward(LEASES_EXPIRE_AT + 2, lastForward(), outcome);
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 600);
        frontEnd.accept(LEASES_EXPIRE_AT + 1000, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.countActions("probe 1"));
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1001, executor(1), Outcome.RETURNED);
        assertEquals(LEASES_EXPIRE_AT + 1001, executor(1).startedAt);
        assertEquals(0, model.copiesOn(executor(1)).loadedCopies);
        // The roster is valid again and lists no restart.
        frontEnd.setRosterValidity(LEASES_EXPIRE_AT + 1100, LEASES_EXPIRE_AT + 1100, LEASES_EXPIRE_AT + 5100);
        assertEquals(0, executor(1).startedAt);
    }

    /** Draining ends only with the process, even if no connection was open that could be reset. */
    @Test
    void executorThatIsReadyAfterDrainingIsColdAndEmpty() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.ERROR);
        frontEnd.accept(LEASES_EXPIRE_AT + 1100, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.countActions("probe 1"));
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1101, executor(1), Outcome.RETURNED);
        assertEquals(LEASES_EXPIRE_AT + 1101, executor(1).startedAt);
        assertEquals(0, model.copiesOn(executor(1)).loadedCopies);
    }

    /** Draining executors still confirm loaded copies. Only a probe answered as ready shows a new process. */
    @Test
    void answeredStatusQueryIsNoRestart() {
        start(1);
        Model other = new Model(8);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.ERROR);
        frontEnd.accept(LEASES_EXPIRE_AT + 10, PolicyHarness.RETRIABLE, other);
        assertTrue(other.copiesOn(executor(1)).orderPending);
        frontEnd.answerOrder(LEASES_EXPIRE_AT + 11, executor(1), other, 1);
        assertEquals(0, executor(1).startedAt);
        assertEquals(1, model.copiesOn(executor(1)).loadedCopies);
    }

    /**
     * Guards against a running executor that is treated as restarted after one of its connections was reset. An answer to a
     * forward from before the reset proves that the process still runs.
     */
    @Test
    void answerToAnOldForwardShowsThatTheProcessStillRuns() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.RETURNED);
        frontEnd.resetConnection(LEASES_EXPIRE_AT + 2, executor(1));
        frontEnd.endForward(LEASES_EXPIRE_AT + 30, lastForward(), Outcome.RETURNED); // on another connection
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 600);
        frontEnd.accept(LEASES_EXPIRE_AT + 610, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 611, executor(1), Outcome.RETURNED);
        assertEquals(0, executor(1).startedAt);
        assertEquals(1, model.copiesOn(executor(1)).loadedCopies);
    }

    /** A reset while the roster is valid is no evidence of a restart, since the roster would list it. */
    @Test
    void resetBeforeTheOutageIsNoRestart() {
        start(1);
        frontEnd.resetConnection(2100, executor(1));
        frontEnd.setRosterValidity(2500, 2500, ROSTER_EXPIRES_AT);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.RETURNED);
        assertEquals(0, executor(1).startedAt);
    }

    /** If probes are not allowed, queued inferences are shed a second after the leases expire, and not only at their deadline. */
    @Test
    void inferencesAreShedEarlyWithoutProbes() {
        start(1);
        PolicyHarness withoutProbes = new PolicyHarness().start(1, 1, 0);
        withoutProbes.setRosterValidity(2060, CONFIRMED_AT, ROSTER_EXPIRES_AT);
        withoutProbes.accept(LEASES_EXPIRE_AT + 10, PolicyHarness.RETRIABLE, model);
        withoutProbes.advanceTo(LEASES_EXPIRE_AT + 990);
        assertEquals(0, withoutProbes.countActions("shed"));
        withoutProbes.advanceTo(LEASES_EXPIRE_AT + 1050);
        assertEquals(1, withoutProbes.countActions("shed"));
        withoutProbes.accept(LEASES_EXPIRE_AT + 1100, PolicyHarness.RETRIABLE, model);
        assertEquals(2, withoutProbes.countActions("shed"));
        assertEquals(0, withoutProbes.countActions("forward"));
    }

    /** A confirmed roster counts more than an earlier probe, and later drains come from it again. */
    @Test
    void confirmedRosterEndsTheOutage() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.ERROR);
        frontEnd.setRosterValidity(LEASES_EXPIRE_AT + 100, LEASES_EXPIRE_AT + 100, LEASES_EXPIRE_AT + 4100);
        assertEquals(2, frontEnd.countActions("forward"));
        frontEnd.updateRoster(LEASES_EXPIRE_AT + 200, executor(1), ExecutorState.DRAINING);
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT + 201));
    }
}
