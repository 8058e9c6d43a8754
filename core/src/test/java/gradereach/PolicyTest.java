package gradereach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.*;
import gradereach.state.*;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Decisions of {@link Policy}: queueing, selection of executors, load orders, and the rules for sending. */
class PolicyTest {
    private final Model model = new Model(7);

    /** Starts with one executor for each number, which has that many loaded copies. */
    private PolicyHarness startWithCopies(int... copies) {
        PolicyHarness frontEnd = new PolicyHarness().start(1, copies.length, 0);
        reportCopies(frontEnd, model, copies);
        return frontEnd;
    }

    /** Lets the policy learn the loaded copies, by an inference that causes status queries and is returned. */
    private void reportCopies(PolicyHarness frontEnd, Model model, int... copies) {
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(2001, model, copies);
        frontEnd.advanceTo(2010);
        frontEnd.endForward(2020, frontEnd.forwards.get(frontEnd.forwards.size() - 1), Outcome.RETURNED);
    }

    /** Guards against an idle executor that is excluded for longer than a client waits, after one slow answer among few. */
    @ParameterizedTest
    @CsvSource({"1, 600", "3, 600", "1, 1500", "10, 1500"})
    void idleExecutorServesAfterOneSlowAnswer(int usualAnswers, double slowAnswer) {
        PolicyHarness frontEnd = startWithCopies(1);
        double now = 2100;
        for (int i = 0; i < usualAnswers; i++) {
            now = serveAlone(frontEnd, now, 5);
        }
        now = serveAlone(frontEnd, now, slowAnswer);
        Inference next = frontEnd.accept(now + 10, PolicyHarness.RETRIABLE, model);
        frontEnd.advanceTo(now + 10 + PolicyHarness.RETRIABLE.sloTime());
        assertEquals(1, next.forwards.size());
    }

    /** Serves a single inference with that answer time. Returns when the next one can be sent. */
    private double serveAlone(PolicyHarness frontEnd, double time, double answerTime) {
        Inference inference = frontEnd.accept(time, PolicyHarness.RETRIABLE, model);
        frontEnd.advanceTo(time + 5 + answerTime);
        frontEnd.endForward(time + 5 + answerTime, inference.forwards.get(0), Outcome.RETURNED);
        return time + 10 + answerTime;
    }

    /** Guards against load orders for a model that has loaded copies which only other front ends know of. */
    @Test
    void queriesLoadedCopiesBeforeOrdering() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 3, 0);
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        assertEquals(List.of("query 1", "query 2", "query 3"), frontEnd.actions.stream().sorted().toList());
        frontEnd.answerOrder(2002, model, 0, 1, 0);
        assertEquals(List.of("forward 1 to 2"), frontEnd.actionsSince(3).subList(0, 1));
    }

    /** Guards against forwards to executors that are known to hold no copy. */
    @Test
    void ordersCopyAndQueuesInferenceWhenNoneIsLoaded() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 3, 0);
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(2002, model, 0, 0, 0);
        assertEquals(1, frontEnd.countActions("order 1 on"));
        assertEquals(0, frontEnd.countActions("forward"));
        for (Executor executor : frontEnd.executors) {
            if (model.copiesOn(executor).orderedCopies > 0) {
                frontEnd.answerOrder(2500, executor, model, 1);
            }
        }
        assertEquals(1, frontEnd.countActions("forward"));
    }

    /** Guards against ordering an unknown model on all executors one after the other, or queueing it to the deadline. */
    @Test
    void modelThatFailsToLoadEverywhereIsShedAtOnceAndRetriedLater() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 20, 0);
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        failOrdersUntil(frontEnd, 2400);
        assertEquals(3, frontEnd.countActions("order"));
        assertEquals(List.of("shed 1"), frontEnd.actions.stream().filter(line -> line.startsWith("shed")).toList());
        frontEnd.accept(2500, PolicyHarness.RETRIABLE, model);
        assertEquals(1, frontEnd.countActions("shed 2"));
        frontEnd.accept(8000, PolicyHarness.RETRIABLE, model);
        failOrdersUntil(frontEnd, 8400);
        assertEquals(4, frontEnd.countActions("order"));
    }

    /** Answers status queries with no loaded copies, and fails every order. */
    private void failOrdersUntil(PolicyHarness frontEnd, double until) {
        for (double next = frontEnd.now() + 5; next < until; next += 5) {
            double time = next;
            frontEnd.advanceTo(next);
            for (Executor executor : frontEnd.executors) {
                if (model.copiesOn(executor).orderPending && model.copiesOn(executor).orderedCopies > 0) {
                    frontEnd.failOrder(time, executor, model);
                }
                frontEnd.answerOrder(time, executor, model, 0);
            }
        }
    }

    /**
     * Guards against a new front end that holds back most inferences until its first answers, whatever the size of the fleet. It
     * may send its share of 16 forwards per executor.
     */
    @ParameterizedTest
    @CsvSource({"3, 3, 16", "3, 6, 8", "6, 3, 32"})
    void newFrontEndUsesItsShareOfTheInitialFleetLimit(int executorCount, int frontEndCount, int forwardCount) {
        model.lanes = 8;
        PolicyHarness frontEnd = new PolicyHarness();
        frontEnd.frontEndCount = frontEndCount;
        frontEnd.start(1, executorCount, 0);
        Model[] models = new Model[60];
        java.util.Arrays.fill(models, model);
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, models);
        int[] copies = new int[executorCount];
        java.util.Arrays.fill(copies, 1);
        frontEnd.answerOrder(2001, model, copies);
        frontEnd.advanceTo(2010);
        assertEquals(forwardCount, frontEnd.forwards.size());
    }

    /** Guards against removed executors that are kept for ever, or dropped while a forward is in flight. */
    @Test
    void removedExecutorIsForgottenOnceIdle() {
        PolicyHarness frontEnd = startWithCopies(1, 1, 1);
        Inference inference = frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
        Executor removed = inference.forwards.get(0).executor;
        frontEnd.updateRoster(2101, removed, ExecutorState.REMOVED);
        assertTrue(model.copies.stream().anyMatch(copies -> copies.executor == removed));
        frontEnd.endForward(2110, inference.forwards.get(0), Outcome.RESET);
        frontEnd.advanceTo(2115);
        assertFalse(model.copies.stream().anyMatch(copies -> copies.executor == removed));
        assertTrue(removed.copies.isEmpty());
        frontEnd.updateRoster(2200, removed, ExecutorState.READY);
        frontEnd.accept(2201, PolicyHarness.RETRIABLE, new Model(8));
        assertTrue(frontEnd.actionsSince(0).contains("query " + removed.id));
    }

    /** Guards against models that are kept for ever, or dropped while a copy is loaded or the model was used recently. */
    @ParameterizedTest
    @CsvSource({"5000, false", "15000, false", "40000, true"})
    void modelIsForgottenOnlyWhenIdle(double time, boolean forgotten) {
        PolicyHarness frontEnd = startWithCopies(1, 0);
        frontEnd.advanceTo(time);
        assertEquals(forgotten, frontEnd.tryForgetModel(time, model));
        assertEquals(!forgotten, frontEnd.executors.get(0).copies.stream().anyMatch(copies -> copies.model == model));
    }

    /** Guards against traffic that is spread over all copies, so that none of them becomes idle and is unloaded. */
    @Test
    void busiestExecutorWithAFreeLaneIsSelected() {
        model.lanes = 2;
        PolicyHarness frontEnd = startWithCopies(1, 1, 1);
        Executor used = frontEnd.forwards.get(0).executor;
        frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
        frontEnd.accept(2101, PolicyHarness.RETRIABLE, model);
        frontEnd.accept(2102, PolicyHarness.RETRIABLE, model);
        assertEquals(List.of(used, used), frontEnd.forwards.subList(1, 3).stream().map(f -> f.executor).toList());
        assertFalse(frontEnd.forwards.get(3).executor == used);
    }

    /** The arrivals keep the only lane busy nearly all the time, although no inference is queued at the end. */
    @Test
    void ordersOneMoreCopyWhenLanesAreExhausted() {
        PolicyHarness frontEnd = startWithCopies(1, 0, 0);
        for (int i = 0; i < 100; i++) {
            frontEnd.accept(2100 + 50 * i, PolicyHarness.RETRIABLE, model);
            frontEnd.endForward(2146 + 50 * i, frontEnd.forwards.get(frontEnd.forwards.size() - 1), Outcome.RETURNED);
        }
        frontEnd.accept(7200, PolicyHarness.RETRIABLE, model);
        assertTrue(model.queue.isEmpty());
        frontEnd.answerOrder(7201, model, 1, 0, 0);
        assertTrue(frontEnd.countActions("order") >= 1);
    }

    /** Guards against copies in use that are unloaded, and against unused copies that are renewed again and again. */
    @Test
    void usedCopiesAreRenewedOnceAndThenExpire() {
        PolicyHarness frontEnd = startWithCopies(1, 0);
        frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
        frontEnd.endForward(2150, frontEnd.forwards.get(1), Outcome.RETURNED);
        int actionsBefore = frontEnd.actions.size();
        frontEnd.advanceTo(11_500);
        assertEquals(List.of("order 1 on 1"), frontEnd.actionsSince(actionsBefore));
        frontEnd.answerOrder(11_501, model, 1, 0);
        frontEnd.advanceTo(30_000);
        assertEquals(1, frontEnd.actionsSince(actionsBefore).size());
        assertEquals(0, model.copiesOn(frontEnd.executors.get(0)).loadedCopies);
    }

    /** Guards against a second effect of an inference that may have run, on an executor that would not recognize the repeat. */
    @ParameterizedTest
    @CsvSource({
        // group, outcome of the first forward, whether it is retried, final answer if it is not
        "retriable, MISS, true, shed", "retriable, ERROR, true, shed", "retriable, RESET, true, shed",
        "non-retriable, FULL, true, shed", "non-retriable, CONNECT_FAILED, true, shed", "non-retriable, NEVER_SENT, true, shed",
        "non-retriable, ERROR, false, fail", "non-retriable, TIMED_OUT, false, fail", "non-retriable, RESET, false, fail",
        "non-retriable, CANCELLED, false, fail", "deduped-anywhere, ERROR, true, shed", "deduped, ERROR, false, fail",
        "deduped, FULL, true, shed"})
    void retriesOnlyWhenSafe(String group, Outcome outcome, boolean retried, String answer) {
        PolicyHarness frontEnd = startWithCopies(1, 1);
        ModelGroup modelGroup = List.of(PolicyHarness.RETRIABLE, PolicyHarness.NON_RETRIABLE, PolicyHarness.DEDUPED,
                PolicyHarness.DEDUPED_ANYWHERE).stream().filter(candidate -> candidate.name().equals(group)).findFirst().get();
        Inference inference = frontEnd.accept(2100, modelGroup, model);
        Forward first = inference.forwards.get(0);
        // The first executor is removed; the other one is in another location.
        frontEnd.updateRoster(2101, first.executor, ExecutorState.REMOVED);
        frontEnd.endForward(2110, first, outcome);
        frontEnd.advanceTo(2200);
        assertEquals(retried ? 2 : 1, inference.forwards.size());
        if (!retried) {
            frontEnd.advanceTo(4200);
            assertEquals(1, frontEnd.countActions(answer + " " + inference.id));
        }
    }

    @ParameterizedTest
    @CsvSource({"DRAINING", "REMOVED"})
    void nothingIsSentToDrainingOrRemovedExecutor(ExecutorState state) {
        PolicyHarness frontEnd = startWithCopies(1, 1);
        Executor unavailable = frontEnd.forwards.get(0).executor;
        frontEnd.updateRoster(2090, unavailable, state);
        int actionsBefore = frontEnd.actions.size();
        for (int i = 0; i < 20; i++) {
            frontEnd.accept(2100 + i, PolicyHarness.RETRIABLE, model);
        }
        frontEnd.advanceTo(3000);
        assertTrue(frontEnd.actionsSince(actionsBefore).stream().noneMatch(line -> line.endsWith(" " + unavailable.id)),
                frontEnd.actions::toString);
    }

    /** Guards against queued inferences without an answer at their deadline, as no executor is left. */
    @Test
    void everyInferenceIsAnsweredBeforeItsDeadline() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 2, 0);
        frontEnd.executors.forEach(executor -> frontEnd.updateRoster(1500, executor, ExecutorState.REMOVED));
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        frontEnd.accept(2000, PolicyHarness.NON_RETRIABLE, new Model(8));
        frontEnd.advanceTo(4000);
        assertEquals(2, frontEnd.countActions("shed"));
        assertEquals(0, frontEnd.countActions("forward"));
    }

    @Test
    void coldExecutorIsNotOverloaded() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 1, 1999);
        model.lanes = 100;
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(2001, model, 16);
        for (int i = 0; i < 300; i++) {
            frontEnd.accept(2010 + 3 * i, PolicyHarness.RETRIABLE, model);
        }
        // 3 x 0.2 of one core for 3 s is 1800 ms of work, less a quarter in reserve; an inference is expected to take 100 ms.
        assertTrue(frontEnd.forwards.size() >= 5 && frontEnd.forwards.size() <= 13, () -> "" + frontEnd.forwards.size());
    }

    /** Guards against front ends that each send one inference, as their budget is less than one, and overload it together. */
    @ParameterizedTest
    @CsvSource({"1, 6, 6", "40, 5, 24", "400, 5, 24"})
    void allFrontEndsTogetherDoNotOverloadAColdExecutor(int frontEndCount, int atLeast, int atMost) {
        int sentCount = 0;
        for (int i = 1; i <= frontEndCount; i++) {
            Model model = new Model(7);
            model.lanes = 100;
            PolicyHarness frontEnd = new PolicyHarness();
            frontEnd.frontEndCount = frontEndCount;
            frontEnd.start(i * 0x9e3779b97f4a7c15L, 1, 1999).accept(2000, PolicyHarness.RETRIABLE, model);
            frontEnd.answerOrder(2001, model, 16);
            for (int n = 0; n < 5; n++) {
                frontEnd.accept(2010 + 500 * n, PolicyHarness.RETRIABLE, model);
            }
            sentCount += frontEnd.forwards.size();
        }
        // 1800 ms of work within 3 s is 18 inferences of 100 ms, with some slack for randomness.
        assertTrue(sentCount >= atLeast && sentCount <= atMost, "" + sentCount);
    }

    /**
     * Guards against a share that was set and has no effect. It replaces the initial share of 1 / 40, and applies to the 13
     * inferences that a cold executor gets at most.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 0", "0.25, 1, 4", "1, 5, 13"})
    void coldExecutorGetsTheShareOfThisFrontEnd(double fraction, int atLeast, int atMost) {
        PolicyHarness frontEnd = new PolicyHarness();
        frontEnd.frontEndCount = 40;
        frontEnd.start(1, 1, 1999);
        model.lanes = 100;
        frontEnd.changeShare(1999.5, fraction);
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(2001, model, 16);
        for (int i = 0; i < 100; i++) {
            frontEnd.accept(2010 + 3 * i, PolicyHarness.RETRIABLE, model);
        }
        assertTrue(frontEnd.forwards.size() >= atLeast && frontEnd.forwards.size() <= atMost,
                () -> "" + frontEnd.forwards.size());
    }

    /** Guards against an order for each of many new models. The budget is 2 orders and a tenth of the 30 inferences. */
    @Test
    void loadOrdersStayWithinTheirBudget() {
        PolicyHarness frontEnd = new PolicyHarness();
        frontEnd.loadOrderBudget = new LoadOrderBudget(2, 0.1, 5000);
        frontEnd.start(1, 4, 0);
        for (int i = 0; i < 30; i++) {
            Model other = new Model(100 + i);
            frontEnd.accept(2000 + 10 * i, PolicyHarness.RETRIABLE, other);
            frontEnd.answerOrder(2001 + 10 * i, other, 0, 0, 0, 0);
        }
        frontEnd.advanceTo(2500);
        assertTrue(frontEnd.countActions("order") >= 3 && frontEnd.countActions("order") <= 5,
                () -> "" + frontEnd.countActions("order"));
    }

    /** Guards against decisions that depend on the order of an unordered set, so that a run cannot be repeated. */
    @Test
    void sameEventsGiveSameActions() {
        String first = startWithCopies(2, 2, 2).actions.toString();
        Model otherModel = new Model(7);
        PolicyHarness frontEnd = new PolicyHarness().start(1, 3, 0);
        reportCopies(frontEnd, otherModel, 2, 2, 2);
        assertEquals(first, frontEnd.actions.toString());
    }

    /** Guards against reloading every copy that was unloaded, which would have other models unloaded. */
    @Test
    void missOrdersACopyOnlyIfNoneIsLoadedElsewhere() {
        PolicyHarness frontEnd = startWithCopies(1, 1);
        int actionsBefore = frontEnd.actions.size();
        Inference inference = frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
        frontEnd.endForward(2102, inference.forwards.get(0), Outcome.MISS);
        assertEquals(0, frontEnd.actionsSince(actionsBefore).stream().filter(line -> line.startsWith("order")).count());
        frontEnd.endForward(2104, inference.forwards.get(1), Outcome.MISS);
        assertEquals(1, frontEnd.actionsSince(actionsBefore).stream().filter(line -> line.startsWith("order")).count());
    }

    /** Guards against a long answer that has started and makes its executor count as slow, or is cancelled or retried. */
    @Test
    void startedAnswerIsNeitherCancelledNorRetried() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 1, 0);
        Inference inference = frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(2001, model, 1);
        Forward forward = inference.forwards.get(0);
        frontEnd.startAnswer(2050, forward);
        frontEnd.advanceTo(12_000);
        assertEquals(List.of(), forward.executor.unansweredForwards);
        assertEquals(List.of(0, 1), List.of(forward.executor.unansweredCount, forward.copies.inFlight));
        assertEquals(1, frontEnd.forwards.size());
        frontEnd.cancelInference(12_000, inference);
        assertEquals(0, frontEnd.countActions("cancel") + frontEnd.countActions("shed") + frontEnd.countActions("fail"));
        frontEnd.endForward(12_001, forward, Outcome.CANCELLED);
        assertEquals(List.of(0, 0), List.of(forward.executor.unansweredCount, forward.copies.inFlight));
        Inference next = frontEnd.accept(12_002, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(12_003, model, 1);
        assertEquals(1, next.forwards.size(), "the executor counts as slow");
    }

    /**
     * Guards against lanes that are occupied by started answers and counted as free, so that the next inferences wait for
     * half their SLO time.
     */
    @Test
    void lanesOccupiedByStartedAnswersDoNotCountAsFree() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 2, 0);
        model.lanes = 2;
        for (int i = 0; i < 2; i++) {
            frontEnd.accept(2000 + i * 100, PolicyHarness.RETRIABLE, model);
            frontEnd.answerOrder(2001 + i * 100, model, 1);
            frontEnd.startAnswer(2050 + i * 100, frontEnd.forwards.get(i));
        }
        assertEquals(2, model.startedAnswers);
        int actionsBefore = frontEnd.actions.size();
        frontEnd.accept(9000, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(9001, model, 1, 0);
        assertTrue(frontEnd.actionsSince(actionsBefore).stream().anyMatch(line -> line.startsWith("order")));
    }

    /** Guards against a concurrency limit that counts only forwards of earlier batches. */
    @Test
    void forwardsOfOneBatchCountAgainstTheLimit() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 1, 0);
        model.lanes = 100;
        for (int i = 0; i < 60; i++) {
            frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        }
        frontEnd.answerOrder(2001, model, 16);
        assertEquals(8, frontEnd.forwards.size());
    }

    /** Guards against a backlog in which every inference is served just too late. */
    @Test
    void inferencesInTimeGoBeforeLateOnes() {
        PolicyHarness frontEnd = new PolicyHarness().start(1, 1, 0);
        Inference late = frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        frontEnd.advanceTo(2390);
        Inference inTime = frontEnd.accept(2391, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(2392, model, 1);
        assertEquals(List.of(inTime), frontEnd.forwards.subList(0, 1).stream().map(f -> f.inference).toList());
        assertFalse(late.done);
    }

    /** Guards against forwards that an executor refuses again and again, as it has just refused one. */
    @Test
    void fullExecutorIsNotRetriedAtOnce() {
        PolicyHarness frontEnd = startWithCopies(16);
        int forwardsBefore = frontEnd.forwards.size();
        for (int i = 0; i < 50; i++) {
            frontEnd.accept(2100 + i, PolicyHarness.RETRIABLE, model);
            for (Forward forward : List.copyOf(frontEnd.forwards)) {
                if (forward.outcome == null) {
                    frontEnd.endForward(2100 + i, forward, Outcome.FULL);
                }
            }
        }
        int sentCount = frontEnd.forwards.size() - forwardsBefore;
        assertTrue(sentCount < 30, () -> "" + sentCount);
    }

    /** Guards against low-value inferences that take all capacity as it becomes free, while a high-value one finds none. */
    @Test
    void lowValueInferencesLeaveCapacityToHighValueOnes() {
        Model highValue = new Model(8);
        model.lanes = highValue.lanes = 100;
        PolicyHarness frontEnd = new PolicyHarness().start(1, 1, 0);
        for (int i = 0; i < 8; i++) {
            frontEnd.accept(2000, PolicyHarness.RETRIABLE, model);
        }
        frontEnd.answerOrder(2001, model, 16);
        frontEnd.accept(2001, PolicyHarness.HIGH_VALUE, highValue);
        frontEnd.answerOrder(2002, highValue, 16);
        assertEquals(8, frontEnd.forwards.size());
        // The high-value inference is blocked from half its SLO time on; then all earlier forwards return.
        frontEnd.advanceTo(2203);
        List.copyOf(frontEnd.forwards).forEach(forward -> frontEnd.endForward(2204, forward, Outcome.RETURNED));
        int forwardsBefore = frontEnd.forwards.size();
        for (int i = 0; i < 8; i++) {
            frontEnd.accept(2205, PolicyHarness.RETRIABLE, model);
        }
        int lowValueCount = frontEnd.forwards.size() - forwardsBefore;
        for (int i = 0; i < 8; i++) {
            frontEnd.accept(2206, PolicyHarness.HIGH_VALUE, highValue);
        }
        int totalCount = frontEnd.forwards.size() - forwardsBefore;
        assertTrue(lowValueCount >= 1 && totalCount >= 2 * lowValueCount, () -> lowValueCount + " of " + totalCount);
    }

    /** The peak of 20 inferences would otherwise have all 20 copies renewed. */
    @Test
    void noOrderAsksForMoreThanSixteenCopies() {
        PolicyHarness frontEnd = startWithCopies(20);
        model.copiesOn(frontEnd.executors.get(0)).peakInFlight = 20;
        frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
        frontEnd.endForward(2150, frontEnd.forwards.get(1), Outcome.RETURNED);
        frontEnd.advanceTo(11_500);
        assertEquals(List.of("order 16 on 1"), frontEnd.actions.stream().filter(line -> line.startsWith("order")).toList());
    }

    /** Guards against loading copies again after a connection broke, and against full traffic to an executor that may be down. */
    @Test
    void brokenConnectionKeepsCopiesButReducesTraffic() {
        int retriedOnBroken = 0;
        for (int seed = 1; seed <= 40; seed++) {
            Model model = new Model(7);
            PolicyHarness frontEnd = new PolicyHarness().start(seed, 2, 0);
            reportCopies(frontEnd, model, 1, 1);
            Inference inference = frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
            Executor broken = inference.forwards.get(0).executor;
            frontEnd.endForward(2101, inference.forwards.get(0), Outcome.RESET);
            assertEquals(1, model.copiesOn(broken).loadedCopies);
            retriedOnBroken += inference.forwards.get(1).executor == broken ? 1 : 0;
        }
        assertTrue(retriedOnBroken < 15, "of 40: " + retriedOnBroken);
    }

    /** Guards against an inference that has to wait for a load, as the last copy was lost while none was in flight. */
    @Test
    void modelThatLosesItsLastCopyIsOrderedBeforeTheNextInference() {
        PolicyHarness frontEnd = startWithCopies(1, 0, 0);
        frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
        frontEnd.endForward(2150, frontEnd.forwards.get(1), Outcome.RETURNED);
        frontEnd.advanceTo(2200);
        long ordersBefore = frontEnd.countActions("order");
        frontEnd.updateRoster(2201, frontEnd.executors.get(0), ExecutorState.DRAINING);
        frontEnd.advanceTo(2300);
        assertEquals(ordersBefore + 1, frontEnd.countActions("order"));
    }

    /** Starts two executors with loaded copies and has both probed for one inference. Returns the busiest executor first. */
    private List<Executor> startWithBothProbed(PolicyHarness frontEnd) {
        frontEnd.probesAllowed = true;
        reportCopies(frontEnd.start(1, 2, 0), model, 1, 1);
        assertEquals(0, frontEnd.countActions("probe"));
        frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
        assertEquals(2, frontEnd.countActions("probe"));
        assertEquals(1, frontEnd.forwards.size());
        Executor busiest = frontEnd.forwards.get(0).executor;
        return List.of(busiest, frontEnd.executors.get(busiest.id == 1 ? 1 : 0));
    }

    /** Guards against an executor that is overloaded by other front ends and looks best by this one's own forwards. */
    @ParameterizedTest
    @CsvSource({"9, 1, 1", "1, 9, 0", "4, 4, 0"})
    void lessLoadedExecutorIsPreferredToTheBusiestCopies(int firstLoad, int secondLoad, int selected) {
        PolicyHarness frontEnd = new PolicyHarness();
        List<Executor> both = startWithBothProbed(frontEnd);
        frontEnd.endProbe(2102, both.get(0), firstLoad);
        frontEnd.endProbe(2103, both.get(1), secondLoad);
        assertEquals(both.get(selected), frontEnd.forwards.get(1).executor);
    }

    /** Guards against an inference that waits for the load report of a stalled executor. */
    @Test
    void unansweredProbeIsNotWaitedFor() {
        PolicyHarness frontEnd = new PolicyHarness();
        List<Executor> both = startWithBothProbed(frontEnd);
        frontEnd.endProbe(2102, both.get(1), 5);
        frontEnd.advanceTo(2130);
        assertEquals(both.get(1), frontEnd.forwards.get(1).executor);
    }

    @ParameterizedTest
    @CsvSource({"30, 1, 1", "2, 1, 1", "1, 9, 0"})
    void newCopyIsNotOrderedOnALoadedExecutor(int nearestLoad, int nextLoad, int selected) {
        PolicyHarness frontEnd = new PolicyHarness();
        frontEnd.probesAllowed = true;
        frontEnd.start(1, 2, 0);
        for (int i = 0; i < 20; i++) {
            frontEnd.endProbe(1010 + i, frontEnd.executors.get(i % 2), 1);
        }
        frontEnd.accept(4000, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(4001, model, 0, 0);
        Executor nearest = frontEnd.executors.get(frontEnd.actions.contains("probe 1") ? 0 : 1);
        Executor next = frontEnd.executors.get(nearest.id == 1 ? 1 : 0);
        frontEnd.endProbe(4002, nearest, nearestLoad);
        frontEnd.endProbe(4003, next, nextLoad);
        frontEnd.advanceTo(4020);
        assertEquals(1, frontEnd.countActions("order 1 on " + (selected == 0 ? nearest : next).id), frontEnd.actions::toString);
    }

    /** Guards against a second probe of an executor, or an order before the probe is answered, for another model. */
    @Test
    void pendingProbeIsAwaitedByAllModels() {
        PolicyHarness frontEnd = new PolicyHarness();
        frontEnd.probesAllowed = true;
        frontEnd.start(1, 2, 0);
        Model sameIdModel = new Model(7);
        for (Executor executor : frontEnd.executors) {
            model.copiesOn(executor).confirmedAt = sameIdModel.copiesOn(executor).confirmedAt = 2000;
        }
        // Both models need a copy in the same batch, and have the same first executor in rendezvous order.
        frontEnd.accept(2000, PolicyHarness.RETRIABLE, model, sameIdModel);
        assertEquals(1, frontEnd.actions.size(), frontEnd.actions::toString);
        assertEquals(1, frontEnd.countActions("probe"));
    }

    /** Guards against lanes that count as free again soon after an answer reported inferences of other front ends in them. */
    @Test
    void lanesOccupiedByOtherFrontEndsCountForSeconds() {
        PolicyHarness frontEnd = startWithCopies(1, 0, 0);
        frontEnd.accept(2100, PolicyHarness.RETRIABLE, model);
        frontEnd.endForward(2150, frontEnd.forwards.get(1), Outcome.RETURNED, 3);
        assertEquals(1, frontEnd.countActions("order"), frontEnd.actions::toString);
        // No forward of our own is in flight there, so there is no waiting for lanes that become free unnoticed.
        frontEnd.accept(3500, PolicyHarness.RETRIABLE, model);
        assertEquals(3, frontEnd.forwards.size());
        assertFalse(frontEnd.forwards.get(2).executor == frontEnd.forwards.get(1).executor);
    }

    /** Guards against overload by many front ends, each of which has too few forwards for the limits of the executors to act. */
    @ParameterizedTest
    @CsvSource({"50, false", "1200, true"})
    void manyFrontEndsReduceLoadOnASlowFleet(double answerTime, boolean reduced) {
        model.lanes = 100;
        PolicyHarness frontEnd = new PolicyHarness();
        frontEnd.frontEndCount = 200;
        frontEnd.start(1, 8, 0).accept(2000, PolicyHarness.RETRIABLE, model);
        frontEnd.answerOrder(2001, model, 9, 9, 9, 9, 9, 9, 9, 9);
        for (int i = 0; i < 40; i++) {
            int lastForward = frontEnd.forwards.size() - 1;
            double sentAt = frontEnd.forwards.get(lastForward).sentAt;
            frontEnd.advanceTo(sentAt + answerTime - 2);
            frontEnd.endForward(sentAt + answerTime, frontEnd.forwards.get(lastForward), Outcome.RETURNED);
            frontEnd.accept(sentAt + answerTime + 1, PolicyHarness.RETRIABLE, model);
        }
        double now = frontEnd.forwards.get(frontEnd.forwards.size() - 1).sentAt;
        int forwardsBefore = frontEnd.forwards.size();
        for (int i = 0; i < 20; i++) {
            frontEnd.accept(now + i, PolicyHarness.RETRIABLE, model);
        }
        int sentCount = frontEnd.forwards.size() - forwardsBefore;
        assertTrue(reduced ? sentCount <= 2 : sentCount >= 5, () -> "" + sentCount);
    }

    /** Guards against executors that count as slow since this front end stalled and read their answers late. */
    @ParameterizedTest
    @CsvSource({"true, 0, 2", "false, 3, 40"})
    void answersReadAfterOwnStallAreIgnored(boolean stalled, double atLeast, double atMost) {
        PolicyHarness frontEnd = startWithCopies(4);
        for (int i = 0; i < 4; i++) {
            frontEnd.accept(2100 + i, PolicyHarness.RETRIABLE, model);
        }
        if (!stalled) {
            frontEnd.advanceTo(3900);
        }
        for (Forward forward : frontEnd.forwards) {
            if (forward.outcome == null) {
                frontEnd.endForward(3900, forward, Outcome.RETURNED);
            }
        }
        Executor executor = frontEnd.executors.get(0);
        double slowdown = executor.slowdownSum.value(3900, 3000) / executor.answerCount.value(3900, 3000);
        assertTrue(slowdown >= atLeast && slowdown <= atMost, () -> "" + slowdown);
    }
}
