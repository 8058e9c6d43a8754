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

/** Many front ends with the same cold executor: what they send to it in total, in any window of the cold start rule. */
class ColdFleetTest {
    private static final double WORK_MILLIS = 100;
    private static final double WINDOW_MILLIS = 3000; // overloadTime of the cold start rule, as in PolicyHarness
    private static final int WARM_EXECUTORS = 4;
    private static final long COLD_EXECUTOR_ID = 99;
    private static final double JOINED_AT = 25_000;
    private static final double ENDED_AT = JOINED_AT + 7000;

    private record Member(PolicyHarness frontEnd, Model model, Executor cold) { }

    private final Random random;
    private final List<Member> members = new ArrayList<>();
    private final List<Double> sentCold = new ArrayList<>();
    private long seeds;

    ColdFleetTest() {
        random = new Random(5);
    }

    private Member member(int frontEnds, double startedAt, double now) {
        PolicyHarness frontEnd = new PolicyHarness();
        frontEnd.frontEndCount = frontEnds;
        frontEnd.start(++seeds * 0x9e3779b97f4a7c15L, WARM_EXECUTORS, startedAt);
        Model model = new Model(7);
        model.lanes = 1000;
        return new Member(frontEnd, model, new Executor(COLD_EXECUTOR_ID));
    }

    /** Ends the forwards that are due, and answers all orders: copies are loaded everywhere. */
    private void answerAll(Member member, double now) {
        // Not before the first inference of the model.
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
     * Guards against front ends that together overload a cold executor. After some seconds of traffic worth one core per
     * executor, a cold executor joins and all others are removed, so that all traffic goes to it.
     *
     * @param busyShare fraction of all inferences that the first fifth of the front ends gets
     * @param restartedShare fraction of the front ends that restart one second after the executor has joined
     */
    @ParameterizedTest
    @CsvSource({"20, 0.2, 0", "30, 0.2, 0", "30, 0.8, 0", "30, 0.2, 0.9", "30, 0.8, 0.9", "100, 0.2, 0", "100, 0.8, 0",
        "100, 0.2, 0.9", "100, 0.8, 0.9"})
    void allFrontEndsTogetherStayWithinTheColdStartLimit(int frontEnds, double busyShare, double restartedShare) {
        for (int i = 0; i < frontEnds; i++) {
            members.add(member(frontEnds, 0, 1000));
        }
        double perStep = (WARM_EXECUTORS + 1) * 5 / WORK_MILLIS;
        for (double now = 2000; now < ENDED_AT; now += 5) {
            if (now == JOINED_AT) {
                for (Member member : members) {
                    addColdAndRemoveOthers(member, now);
                }
            }
            if (now == JOINED_AT + 1000) {
                for (int i = 0; i < restartedShare * frontEnds; i++) {
                    Member restartedMember = member(frontEnds, 0, now);
                    members.set(i, restartedMember);
                    addColdAndRemoveOthers(restartedMember, now);
                }
            }
            for (double expected = perStep; expected > 0; expected--) {
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
                sentCold.addAll(member.frontEnd.forwards.stream().filter(f -> f.executor.id == COLD_EXECUTOR_ID && f.sentAt == time)
                        .map(f -> f.sentAt).toList());
            }
        }
        assertTrue(sentCold.size() > 5, "so few were sent that nothing is shown: " + sentCold.size());
        for (double from = JOINED_AT; from < ENDED_AT - WINDOW_MILLIS; from += 50) {
            double windowStart = from;
            long sentInWindow = sentCold.stream().filter(sentAt -> sentAt >= windowStart && sentAt < windowStart + WINDOW_MILLIS).count();
            double capacityFraction = 0.2 + 0.8 * (windowStart - JOINED_AT) / 10_000;
            double limit = 3 * capacityFraction * WINDOW_MILLIS / WORK_MILLIS;
            assertTrue(sentInWindow <= limit + 2 * Math.sqrt(limit) + 2,
                    sentInWindow + " from " + (windowStart - JOINED_AT) + " ms on, where N is " + limit);
        }
    }

    private void addColdAndRemoveOthers(Member member, double now) {
        member.frontEnd.addExecutors(now, JOINED_AT, member.cold);
        for (Executor executor : List.copyOf(member.frontEnd.executors)) {
            if (executor != member.cold) {
                member.frontEnd.updateRoster(now, executor, ExecutorState.REMOVED);
            }
        }
    }
}
