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

/** What goes to executors once the roster can no longer tell whether they drain (incident 1c4c95). */
class RosterOutageTest {
    /** When the roster was last confirmed, from when on it may lack a drain, and from when on that counts for sends. */
    private static final double CONFIRMED_AT = 1900;
    private static final double ROSTER_EXPIRES_AT = 5000;
    private static final double LEASES_EXPIRE_AT = ROSTER_EXPIRES_AT + PolicyHarness.GRACE;

    private final Model model = new Model(7);
    private final PolicyHarness frontEnd = new PolicyHarness();

    /** One copy on each of so many executors, and a roster that runs out. */
    private void start(int executors) {
        frontEnd.probesAllowed = true;
        frontEnd.start(1, executors, 0);
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        int[] copies = new int[executors];
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

    @Test
    void aRosterThatIsValidIsTrustedAndNobodyIsAsked() {
        start(1);
        frontEnd.accept(ROSTER_EXPIRES_AT - 1, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.count("forward"));
        assertEquals(0, frontEnd.count("probe"));
    }

    @Test
    void anExecutorIsSentToForTheGraceAfterTheProbeThatItAnsweredAsReady() {
        start(1);
        assertTrue(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT - 50));
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT));
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        assertEquals(1, frontEnd.count("forward"));
        assertEquals(1, frontEnd.count("probe 1"));
        frontEnd.endProbe(LEASES_EXPIRE_AT + 3, executor(1), Outcome.RETURNED);
        assertEquals(2, frontEnd.count("forward"));
        assertTrue(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT + PolicyHarness.GRACE - 50));
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT + PolicyHarness.GRACE)); // from the sending of the probe, not from its answer
    }

    /** Executors that drain return forwards for a while: only probes tell. */
    @Test
    void aReturnedForwardProvesNothing() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT - 100, PolicyHarness.RETRIABLE, model);
        frontEnd.endForward(LEASES_EXPIRE_AT - 50, lastForward(), Outcome.RETURNED);
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT));
    }

    @Test
    void anExecutorThatSaysItDrainsGetsNothingAndIsAskedAgainALittleLater() {
        start(2);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.count("probe"));
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.ERROR);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 2, executor(2), Outcome.RETURNED);
        assertEquals(2, frontEnd.count("forward"));
        assertEquals(executor(2), lastForward().executor);
        for (double at = LEASES_EXPIRE_AT + 10; at < LEASES_EXPIRE_AT + 990; at += 10) {
            frontEnd.accept(at, PolicyHarness.RETRIABLE, model);
        }
        assertEquals(1, frontEnd.count("probe 1"));
        frontEnd.accept(LEASES_EXPIRE_AT + 1010, PolicyHarness.RETRIABLE, model);
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 1100);
        assertEquals(2, frontEnd.count("probe 1"));
        assertEquals(0, frontEnd.forwards.stream().skip(1).filter(fwd -> fwd.executor == executor(1)).count());
    }

    /** It was ready a moment ago: whoever turns something away is asked before anything else goes there. */
    @Test
    void anExecutorThatTurnsAForwardAwayIsAskedFirst() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.RETURNED);
        frontEnd.endForward(LEASES_EXPIRE_AT + 10, lastForward(), Outcome.FULL);
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT + 11));
    }

    /** What a probe found that was sent before the roster ran out counts by when it was sent. */
    @Test
    void aProbeOfBeforeTheOutageIsALeaseToo() {
        start(2);
        frontEnd.accept(ROSTER_EXPIRES_AT + 300, PolicyHarness.RETRIABLE, model); // looks at both
        frontEnd.endProbe(ROSTER_EXPIRES_AT + 301, executor(1), 0);
        frontEnd.endProbe(ROSTER_EXPIRES_AT + 302, executor(2), 0);
        assertTrue(frontEnd.maySend(executor(1), ROSTER_EXPIRES_AT + 300 + PolicyHarness.GRACE - 50));
        assertFalse(frontEnd.maySend(executor(1), ROSTER_EXPIRES_AT + 300 + PolicyHarness.GRACE));
    }

    @Test
    void noOrderGoesWhereNothingProvesReadiness() {
        start(3);
        Model other = new Model(8);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, other);
        frontEnd.executors.forEach(ex -> frontEnd.answerOrder(LEASES_EXPIRE_AT + 1, ex, other, 0));
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 200);
        assertEquals(0, frontEnd.count("hold"));
        frontEnd.executors.forEach(ex -> frontEnd.endProbe(LEASES_EXPIRE_AT + 201, ex, Outcome.RETURNED));
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 400);
        assertEquals(1, frontEnd.count("hold"));
    }

    /** It was reset and answers again: by what the roster would tell, a new process, cold and empty. */
    @ParameterizedTest
    @EnumSource(value = Outcome.class, names = {"RESET", "CONNECT_FAILED"})
    void anExecutorThatMayHaveStartedAnewIsColdAndEmpty(Outcome end) {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.RETURNED);
        frontEnd.endForward(LEASES_EXPIRE_AT + 2, lastForward(), end);
        frontEnd.advanceTo(LEASES_EXPIRE_AT + 600);
        frontEnd.accept(LEASES_EXPIRE_AT + 1000, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.count("probe 1"));
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1001, executor(1), Outcome.RETURNED);
        assertEquals(LEASES_EXPIRE_AT + 1001, executor(1).startedAt);
        assertEquals(0, model.copiesOn(executor(1)).loadedCopies);
        frontEnd.setRosterValidity(LEASES_EXPIRE_AT + 1100, LEASES_EXPIRE_AT + 1100, LEASES_EXPIRE_AT + 5100); // and nothing was told of a new start
        assertEquals(0, executor(1).startedAt);
    }

    /** Draining ends with the process, whether or not a connection to it was there to be reset. */
    @Test
    void anExecutorThatDrainedAndIsReadyIsColdAndEmpty() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.ERROR);
        frontEnd.accept(LEASES_EXPIRE_AT + 1100, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.count("probe 1"));
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1101, executor(1), Outcome.RETURNED);
        assertEquals(LEASES_EXPIRE_AT + 1101, executor(1).startedAt);
        assertEquals(0, model.copiesOn(executor(1)).loadedCopies);
    }

    /** Executors that drain confirm what stands there: only their word that they are ready shows a new process. */
    @Test
    void anAnswerToAQuestionIsNoNewStart() {
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

    @Test
    void anAnswerOfTheOldProcessShowsThatItWentOn() {
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

    /** A reset while the roster is valid tells nothing: it would say so. */
    @Test
    void aResetBeforeTheOutageIsNoNewStart() {
        start(1);
        frontEnd.resetConnection(2100, executor(1));
        frontEnd.setRosterValidity(2500, 2500, ROSTER_EXPIRES_AT);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.RETURNED);
        assertEquals(0, executor(1).startedAt);
    }

    /** Where nobody can be asked, what is held is refused early, once the roster's source had its time to come back. */
    @Test
    void whereNobodyCanBeAskedInferencesAreRefusedEarly() {
        start(1);
        PolicyHarness silent = new PolicyHarness().start(1, 1, 0);
        silent.setRosterValidity(2060, CONFIRMED_AT, ROSTER_EXPIRES_AT);
        silent.accept(LEASES_EXPIRE_AT + 10, PolicyHarness.RETRIABLE, model);
        silent.advanceTo(LEASES_EXPIRE_AT + 990);
        assertEquals(0, silent.count("shed"));
        silent.advanceTo(LEASES_EXPIRE_AT + 1050);
        assertEquals(1, silent.count("shed"));
        silent.accept(LEASES_EXPIRE_AT + 1100, PolicyHarness.RETRIABLE, model);
        assertEquals(2, silent.count("shed"));
        assertEquals(0, silent.count("forward"));
    }

    @Test
    void aRosterThatIsConfirmedAgainEndsTheOutage() {
        start(1);
        frontEnd.accept(LEASES_EXPIRE_AT, PolicyHarness.RETRIABLE, model);
        frontEnd.endProbe(LEASES_EXPIRE_AT + 1, executor(1), Outcome.ERROR);
        frontEnd.setRosterValidity(LEASES_EXPIRE_AT + 100, LEASES_EXPIRE_AT + 100, LEASES_EXPIRE_AT + 4100);
        assertEquals(2, frontEnd.count("forward"));
        frontEnd.updateRoster(LEASES_EXPIRE_AT + 200, executor(1), ExecutorState.DRAINING);
        assertFalse(frontEnd.maySend(executor(1), LEASES_EXPIRE_AT + 201));
    }
}
