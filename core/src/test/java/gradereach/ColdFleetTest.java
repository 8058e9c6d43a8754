package gradereach;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.api.Outcome;
import gradereach.api.Standing;
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
    private static final double WORK = 100;
    private static final double SPAN = 3000; // of the rule, as FrontEnd has it
    private static final int WARM = 4;
    private static final long COLD = 99;
    private static final double JOINS = 25_000;
    private static final double ENDS = JOINS + 7000;

    private record Member(FrontEnd fe, Model model, Executor cold) { }

    private final Random random;
    private final List<Member> members = new ArrayList<>();
    private final List<Double> sentCold = new ArrayList<>();
    private long seeds;

    ColdFleetTest() {
        random = new Random(5);
    }

    private Member member(int fleet, double startedAt, double now) {
        FrontEnd fe = new FrontEnd();
        fe.frontEnds = fleet;
        fe.start(++seeds * 0x9e3779b97f4a7c15L, WARM, startedAt);
        Model model = new Model(7);
        model.lanes = 1000;
        return new Member(fe, model, new Executor(COLD));
    }

    /** What is out is answered; what is asked has its answer: copies stand everywhere. */
    private void serve(Member m, double now) {
        for (Executor ex : m.model.group == null ? List.<Executor>of() : m.fe.executors) { // not before its first
            m.fe.standing(now, ex, m.model, 16);
        }
        for (Forward fwd : List.copyOf(m.fe.forwards)) {
            if (fwd.outcome == null && now - fwd.sentAt >= WORK) {
                m.fe.end(now, fwd, Outcome.RETURNED);
                m.fe.forwards.remove(fwd);
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
        double perStep = (WARM + 1) * 5 / WORK;
        for (double now = 2000; now < ENDS; now += 5) {
            if (now == JOINS) {
                for (Member m : members) {
                    join(m, now);
                }
            }
            if (now == JOINS + 1000) {
                for (int i = 0; i < restarted * fleet; i++) {
                    Member anew = member(fleet, 0, now);
                    members.set(i, anew);
                    join(anew, now);
                }
            }
            for (double due = perStep; due > 0; due--) {
                if (random.nextDouble() < due) {
                    int busy = Math.max(1, fleet / 5);
                    Member m = members.get(random.nextDouble() < uneven ? random.nextInt(busy)
                            : busy + random.nextInt(fleet - busy));
                    m.fe.take(now, FrontEnd.RETRIABLE, m.model);
                }
            }
            for (Member m : members) {
                double at = now;
                m.fe.pass(now);
                serve(m, now);
                sentCold.addAll(m.fe.forwards.stream().filter(f -> f.executor.id == COLD && f.sentAt == at)
                        .map(f -> f.sentAt).toList());
            }
        }
        assertTrue(sentCold.size() > 5, "so few were sent that nothing is shown: " + sentCold.size());
        for (double from = JOINS; from < ENDS - SPAN; from += 50) {
            double start = from;
            long sum = sentCold.stream().filter(t -> t >= start && t < start + SPAN).count();
            double share = 0.2 + 0.8 * (start - JOINS) / 10_000;
            double n = 3 * share * SPAN / WORK;
            assertTrue(sum <= n + 2 * Math.sqrt(n) + 2, sum + " from " + (start - JOINS) + " ms on, where N is " + n);
        }
    }

    private void join(Member m, double now) {
        m.fe.join(now, JOINS, m.cold);
        for (Executor ex : List.copyOf(m.fe.executors)) {
            if (ex != m.cold) {
                m.fe.roster(now, ex, Standing.GONE);
            }
        }
    }
}
