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

/** Many instances at once on the same cold executors: what they send it together, within any time of the rule. */
class ColdFleetTest {
    private static final double WORK_MILLIS = 100;
    private static final double WINDOW_MILLIS = 3000; // of the rule, as FrontEnd has it
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

    private Member member(int fleet, double startedAt, double now) {
        PolicyHarness fe = new PolicyHarness();
        fe.frontEnds = fleet;
        fe.start(++seeds * 0x9e3779b97f4a7c15L, WARM_EXECUTORS, startedAt);
        Model model = new Model(7);
        model.lanes = 1000;
        return new Member(fe, model, new Executor(COLD_EXECUTOR_ID));
    }

    /** What is out is answered; what is asked has its answer: copies stand everywhere. */
    private void answerAll(Member m, double now) {
        for (Executor ex : m.model.group == null ? List.<Executor>of() : m.frontEnd.executors) { // not before its first
            m.frontEnd.answerOrder(now, ex, m.model, 16);
        }
        for (Forward fwd : List.copyOf(m.frontEnd.forwards)) {
            if (fwd.outcome == null && now - fwd.sentAt >= WORK_MILLIS) {
                m.frontEnd.endForward(now, fwd, Outcome.RETURNED);
                m.frontEnd.forwards.remove(fwd);
            }
        }
    }

    /**
     * Some seconds of ordinary traffic, of one core's work for each executor; then a cold executor joins, and all the
     * others leave, so that everything presses on it.
     *
     * @param uneven the share of all inferences that the first fifth of the front ends take
     * @param restarted the share of the front ends that begin anew one second after it has joined
     */
    @ParameterizedTest
    @CsvSource({"20, 0.2, 0", "30, 0.2, 0", "30, 0.8, 0", "30, 0.2, 0.9", "30, 0.8, 0.9", "100, 0.2, 0", "100, 0.8, 0",
        "100, 0.2, 0.9", "100, 0.8, 0.9"})
    void theSumOfWhatAllSendStaysWithinTheRule(int fleet, double uneven, double restarted) {
        for (int i = 0; i < fleet; i++) {
            members.add(member(fleet, 0, 1000));
        }
        double perStep = (WARM_EXECUTORS + 1) * 5 / WORK_MILLIS;
        for (double now = 2000; now < ENDED_AT; now += 5) {
            if (now == JOINED_AT) {
                for (Member m : members) {
                    addColdAndRemoveOthers(m, now);
                }
            }
            if (now == JOINED_AT + 1000) {
                for (int i = 0; i < restarted * fleet; i++) {
                    Member anew = member(fleet, 0, now);
                    members.set(i, anew);
                    addColdAndRemoveOthers(anew, now);
                }
            }
            for (double due = perStep; due > 0; due--) {
                if (random.nextDouble() < due) {
                    int busy = Math.max(1, fleet / 5);
                    Member m = members.get(random.nextDouble() < uneven ? random.nextInt(busy)
                            : busy + random.nextInt(fleet - busy));
                    m.frontEnd.accept(now, PolicyHarness.RETRIABLE, m.model);
                }
            }
            for (Member m : members) {
                double at = now;
                m.frontEnd.advanceTo(now);
                answerAll(m, now);
                sentCold.addAll(m.frontEnd.forwards.stream().filter(f -> f.executor.id == COLD_EXECUTOR_ID && f.sentAt == at)
                        .map(f -> f.sentAt).toList());
            }
        }
        assertTrue(sentCold.size() > 5, "so few were sent that nothing is shown: " + sentCold.size());
        for (double from = JOINED_AT; from < ENDED_AT - WINDOW_MILLIS; from += 50) {
            double start = from;
            long sum = sentCold.stream().filter(t -> t >= start && t < start + WINDOW_MILLIS).count();
            double share = 0.2 + 0.8 * (start - JOINED_AT) / 10_000;
            double n = 3 * share * WINDOW_MILLIS / WORK_MILLIS;
            assertTrue(sum <= n + 2 * Math.sqrt(n) + 2, sum + " from " + (start - JOINED_AT) + " ms on, where N is " + n);
        }
    }

    private void addColdAndRemoveOthers(Member m, double now) {
        m.frontEnd.addExecutors(now, JOINED_AT, m.cold);
        for (Executor ex : List.copyOf(m.frontEnd.executors)) {
            if (ex != m.cold) {
                m.frontEnd.updateRoster(now, ex, ExecutorState.REMOVED);
            }
        }
    }
}
