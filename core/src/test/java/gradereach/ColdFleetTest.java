package gradereach;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.ExecutorState;
import gradereach.api.Outcome;
import gradereach.state.Executor;
import gradereach.state.Forward;
import gradereach.state.Model;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What many front ends together send to the same cold executor, within any time window of the cold start rule. */
class ColdFleetTest {
    private static final double WORK_MILLIS = 100;
    private static final double WINDOW_MILLIS = 3000; // overloadTime of the cold start rule, as in PolicyHarness
    private static final int WARM_EXECUTORS = 4;
    private static final long COLD_EXECUTOR_ID = 99;
    /** When the cold executor joins, and when the test ends. */
    private static final double JOINED_AT = 25_000;
    private static final double ENDED_AT = JOINED_AT + 7000;

    /** One front end, with its own objects for the model and the cold executor. */
    private record Member(PolicyHarness frontEnd, Model model, Executor coldExecutor) { }

    private final Random random;
    private final List<Member> members = new ArrayList<>();
    /** When each forward to the cold executor was sent, by any front end. */
    private final List<Double> sentToColdAt = new ArrayList<>();
    private long seedCount;

    ColdFleetTest() {
        random = new Random(5);
    }

    private Member startMember(int frontEndCount, double startedAt, double now) {
        PolicyHarness frontEnd = new PolicyHarness();
        frontEnd.frontEndCount = frontEndCount;
        frontEnd.start(++seedCount * 0x9e3779b97f4a7c15L, WARM_EXECUTORS, startedAt);
        Model model = new Model(7);
        model.lanes = 1000;
        return new Member(frontEnd, model, new Executor(COLD_EXECUTOR_ID));
    }

    /** Ends the forwards that are due, and answers all orders as if copies were loaded on every executor. */
    private void answerAll(Member member, double now) {
        // There are no orders before the first inference of the model.
        for (Executor executor : member.model.group == null ? List.<Executor>of() : member.frontEnd.executors) {
            member.frontEnd.answerOrder(now, executor, member.model, 16);
        }
        for (Forward forward : List.copyOf(member.frontEnd.forwards)) {
            if (forward.outcome == null && now - forward.sentAt >= WORK_MILLIS) {
                member.frontEnd.endForward(now, forward, Outcome.RETURNED);
                member.frontEnd.forwards.remove(forward);
            }
        }
    }

    /**
     * Guards against front ends that together overload a cold executor, although each stays within its own budget. After some
     * seconds of traffic worth one core per executor, a cold executor joins and all others are removed, so that all traffic goes
     * to it.
     *
     * @param busyShare fraction of all inferences that the first fifth of the front ends gets
     * @param restartedShare fraction of the front ends that restart one second after the executor has joined
     */
    @ParameterizedTest
    @CsvSource({"20, 0.2, 0", "30, 0.2, 0", "30, 0.8, 0", "30, 0.2, 0.9", "30, 0.8, 0.9", "100, 0.2, 0", "100, 0.8, 0",
        "100, 0.2, 0.9", "100, 0.8, 0.9"})
    void allFrontEndsTogetherStayWithinTheColdStartLimit(int frontEnds, double busyShare, double restartedShare) {
        for (int i = 0; i < frontEnds; i++) {
            members.add(startMember(frontEnds, 0, 1000));
        }
        double arrivalsPerStep = (WARM_EXECUTORS + 1) * 5 / WORK_MILLIS;
        for (double now = 2000; now < ENDED_AT; now += 5) {
            if (now == JOINED_AT) {
                for (Member member : members) {
                    addColdAndRemoveOthers(member, now);
                }
            }
            if (now == JOINED_AT + 1000) {
                for (int i = 0; i < restartedShare * frontEnds; i++) {
                    Member restartedMember = startMember(frontEnds, 0, now);
                    members.set(i, restartedMember);
                    addColdAndRemoveOthers(restartedMember, now);
                }
            }
            for (double expected = arrivalsPerStep; expected > 0; expected--) {
                if (random.nextDouble() < expected) {
                    int busyCount = Math.max(1, frontEnds / 5);
                    Member member = members.get(random.nextDouble() < busyShare ? random.nextInt(busyCount)
                            : busyCount + random.nextInt(frontEnds - busyCount));
                    member.frontEnd.accept(now, PolicyHarness.RETRIABLE, member.model);
                }
            }
            for (Member member : members) {
                double time = now;
                member.frontEnd.advanceTo(now);
                answerAll(member, now);
                sentToColdAt.addAll(member.frontEnd.forwards.stream()
                        .filter(f -> f.executor.id == COLD_EXECUTOR_ID && f.sentAt == time).map(f -> f.sentAt).toList());
            }
        }
        assertTrue(sentToColdAt.size() > 5, "too few forwards to the cold executor for a conclusion: " + sentToColdAt.size());
        for (double start = JOINED_AT; start < ENDED_AT - WINDOW_MILLIS; start += 50) {
            double windowStart = start;
            long sentInWindow = sentToColdAt.stream()
                    .filter(sentAt -> sentAt >= windowStart && sentAt < windowStart + WINDOW_MILLIS).count();
            // The cold start rule of PolicyHarness: from 0.2 to 1 within 10 s, overload at 3 times the capacity.
            double capacityFraction = 0.2 + 0.8 * (windowStart - JOINED_AT) / 10_000;
            double limit = 3 * capacityFraction * WINDOW_MILLIS / WORK_MILLIS;
            // With some slack for random draws.
            assertTrue(sentInWindow <= limit + 2 * Math.sqrt(limit) + 2,
                    sentInWindow + " forwards in the window from " + (windowStart - JOINED_AT) + " ms on, limit " + limit);
        }
    }

    private void addColdAndRemoveOthers(Member member, double now) {
        member.frontEnd.addExecutors(now, JOINED_AT, member.coldExecutor);
        for (Executor executor : List.copyOf(member.frontEnd.executors)) {
            if (executor != member.coldExecutor) {
                member.frontEnd.updateRoster(now, executor, ExecutorState.REMOVED);
            }
        }
    }
}
