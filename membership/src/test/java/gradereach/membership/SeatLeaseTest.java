package gradereach.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Holders and keepers over a network that loses, delays, doubles and cuts, with clocks that differ, pauses and restarts. */
class SeatLeaseTest {
    private static final int SEATS = 60;
    private static final double LEASE = 3000;

    /** What is built wrong, to see that it is found. */
    enum Bug { NONE, LEASE_COUNTED_FROM_THE_GRANT, GRANTS_AT_ONCE_AFTER_A_START, ONE_GRANTOR_IS_ENOUGH, SPENDS_RELEASED_SEATS, ACCEPTS_LATE_ROUNDS }

    private record Event(double at, long order, Runnable what) { }

    /** One day of it, in real time; every process has a clock of its own pace and beginning. */
    private static final class Simulation {
        final Random chance;
        final Bug planted;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at)
                : Long.compare(a.order, b.order));
        final int fronts;
        final SeatGrantor[] keepers;
        final SeatHolder[] holders;
        final double[] pace;
        final double[] began;
        final double[] pausedUntil;
        final int[] lives;
        final double[] weight;
        final double[] lateUntil;
        final BitSet[] gaveBack;
        double now;
        long order;
        double used;
        int broken;

        Simulation(long seed, int fronts, Bug planted) {
            chance = new Random(seed);
            this.planted = planted;
            this.fronts = fronts;
            keepers = new SeatGrantor[fronts];
            holders = new SeatHolder[fronts];
            pace = new double[fronts];
            began = new double[fronts];
            pausedUntil = new double[fronts];
            lives = new int[fronts];
            weight = new double[fronts];
            lateUntil = new double[fronts];
            java.util.Arrays.fill(weight, 1);
            gaveBack = new BitSet[fronts];
            for (int i = 0; i < fronts; i++) {
                pace[i] = 1 + (chance.nextDouble() - 0.5) * SeatHolder.MAX_CLOCK_DRIFT;
                began[i] = chance.nextDouble() * 1e6;
                start(i);
            }
        }

        double clock(int i) {
            return began[i] + now * pace[i];
        }

        void at(double when, Runnable what) {
            events.add(new Event(when, order++, what));
        }

        void start(int i) {
            lives[i]++;
            boolean rash = planted == Bug.GRANTS_AT_ONCE_AFTER_A_START;
            keepers[i] = new SeatGrantor(SEATS, LEASE, rash ? clock(i) - LEASE : clock(i));
            holders[i] = new SeatHolder("fe-" + i + "." + lives[i], SEATS, planted == Bug.ONE_GRANTOR_IS_ENOUGH ? 1 : fronts, LEASE,
                    new Random(chance.nextLong()));
            gaveBack[i] = new BitSet();
            int life = lives[i];
            at(now + chance.nextDouble() * 500, () -> round(i, life));
        }

        /** What reaches a process that stands still is dealt with when it goes on. */
        void reach(int i, int life, Runnable what) {
            if (lives[i] != life) {
                return;
            }
            if (now < pausedUntil[i]) {
                at(pausedUntil[i], () -> reach(i, life, what));
            } else {
                what.run();
            }
        }

        void send(int from, int to, Runnable what) {
            for (int copies = chance.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                if (chance.nextInt(12) > 0) {
                    int life = lives[to];
                    double late = now < lateUntil[from] ? 2100 + chance.nextInt(1500) : 0; // all that leaves one machine
                    at(now + Math.exp(chance.nextGaussian()) * 5 + late + (chance.nextInt(50) == 0 ? chance.nextInt(4000) : 0),
                            () -> reach(to, life, what));
                }
            }
        }

        void round(int i, int life) {
            reach(i, life, () -> {
                SeatHolder.Request claim = holders[i].startRound(weight[i] / java.util.Arrays.stream(weight).sum(), clock(i));
                gaveBack[i].or(claim.released());
                String name = holders[i].name();
                for (int k = 0; k < fronts; k++) {
                    int keeper = k;
                    send(i, k, () -> {
                        long number = planted == Bug.ACCEPTS_LATE_ROUNDS ? order : claim.round();
                        SeatGrantor.Grant grant = keepers[keeper].handleRequest(name, number, claim.wanted(), claim.released(), clock(keeper));
                        if (grant == null) {
                            return;
                        }
                        send(keeper, i, () -> {
                            if (lives[i] == life) {
                                double counted = planted == Bug.LEASE_COUNTED_FROM_THE_GRANT ? clock(i) : Double.NaN;
                                holders[i].handleGrant(keeper, claim.round(), grant);
                                if (!Double.isNaN(counted)) {
                                    stretch(i, counted);
                                }
                            }
                        });
                    });
                }
                at(now + LEASE / 3 / pace[i], () -> round(i, life));
            });
        }

        private final java.util.Map<Integer, Double> stretched = new java.util.HashMap<>();

        private void stretch(int i, double to) {
            stretched.put(i, to + LEASE);
        }

        BitSet held(int i) {
            BitSet held = holders[i].heldSeats(clock(i));
            if (planted == Bug.LEASE_COUNTED_FROM_THE_GRANT && clock(i) < stretched.getOrDefault(i, 0.0)) {
                held.or(before[i]);
            }
            if (planted == Bug.SPENDS_RELEASED_SEATS) {
                held.or(gaveBack[i]);
            }
            return held;
        }

        final BitSet[] before = new BitSet[100];

        /** The invariant, at every event: no seat is spent by two. */
        void look() {
            BitSet all = new BitSet(SEATS);
            int sum = 0;
            for (int i = 0; i < fronts; i++) {
                before[i] = before[i] == null ? new BitSet() : before[i];
                BitSet held = held(i);
                before[i] = held;
                sum += held.cardinality();
                broken += held.intersects(all) ? 1 : 0;
                all.or(held);
            }
            used += sum / (double) SEATS;
        }

        double run(double until, boolean troubles) {
            if (troubles) {
                for (double t = 2000; t < until - 20_000; t += 300 + chance.nextInt(1500)) {
                    int who = chance.nextInt(fronts);
                    int what = chance.nextInt(6);
                    double length = chance.nextInt(6000);
                    at(t, () -> {
                        if (what == 0) {
                            start(who);
                        } else if (what == 1) {
                            weight[who] = 0.2 + 3 * chance.nextDouble(); // its traffic changes
                        } else if (what <= 3) {
                            lateUntil[who] = now + 600;
                            weight[who] = 0.2 + 3 * chance.nextDouble();
                            at(now + 1100, () -> weight[who] = 0.2 + 3 * chance.nextDouble());
                        } else {
                            pausedUntil[who] = now + length;
                        }
                    });
                }
            }
            int looks = 0;
            while (!events.isEmpty() && events.peek().at < until) {
                Event next = events.poll();
                now = Math.max(now, next.at);
                next.what.run();
                look();
                looks++;
            }
            return used / looks;
        }
    }

    @ParameterizedTest
    @EnumSource(Bug.class)
    void noSeatIsSpentByTwo(Bug planted) {
        int found = 0;
        for (long seed = 1; seed <= (planted == Bug.NONE ? 60 : 600) && (found == 0); seed++) {
            Simulation day = new Simulation(seed, 3 + (int) (seed % 5), planted);
            day.run(90_000, true);
            found += day.broken > 0 ? 1 : 0;
        }
        if (planted == Bug.NONE) {
            assertEquals(0, found);
        } else {
            assertTrue(found > 0, "not found");
        }
    }

    /** Nothing goes wrong: after a while nearly all is in use, evenly. */
    /** Guards against a front end that restarts at one reading of the clock and is given the seats of its life before. */
    @Test
    void noTwoLivesOfAFrontEndHaveOneName() {
        SecureRandom chance = new SecureRandom();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < 1000; i++) {
            names.add(SeatHolder.uniqueName("fe-0", chance));
        }
        assertEquals(1000, names.size());
    }

    @Test
    void inPeaceNearlyAllSeatsAreUsed() {
        Simulation day = new Simulation(7, 12, Bug.NONE);
        day.run(120_000, false);
        int sum = 0;
        for (int i = 0; i < 12; i++) {
            int own = day.held(i).cardinality();
            assertTrue(own >= 3 && own <= 6, "fe-" + i + " has " + own);
            sum += own;
        }
        assertTrue(sum >= 55, sum + " of 60 in use");
        List<String> holders = new ArrayList<>(day.keepers[0].currentHolders(day.clock(0)));
        assertTrue(holders.stream().filter(h -> !h.isEmpty()).count() >= 55);
    }
}
