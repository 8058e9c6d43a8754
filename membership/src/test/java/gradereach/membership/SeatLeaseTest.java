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

/** Seat holders and grantors over a network that loses, delays and duplicates, with clock drift, pauses and restarts. */
class SeatLeaseTest {
    private static final int SEATS = 60;
    private static final double LEASE_MILLIS = 3000;

    /** A bug that is injected to show that the test detects it. */
    enum Bug {
        NONE, LEASE_COUNTED_FROM_THE_GRANT, GRANTS_AT_ONCE_AFTER_A_START, ONE_GRANTOR_IS_ENOUGH, SPENDS_RELEASED_SEATS, ACCEPTS_LATE_ROUNDS
    }

    /** An event of the simulation; events that are due at the same time happen in the order in which they were added. */
    private record Event(double dueAt, long order, Runnable action) { }

    /** A simulation in virtual time; every process has a clock with its own rate and origin. */
    private static final class Simulation {
        final Random random;
        final Bug bug;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.dueAt != b.dueAt ? Double.compare(a.dueAt, b.dueAt)
                : Long.compare(a.order, b.order));
        final int frontEnds;
        final SeatGrantor[] grantors;
        final SeatHolder[] holders;
        final double[] clockRates;
        final double[] clockOrigins;
        final double[] pausedUntil;
        final int[] runs;
        final double[] trafficWeights;
        final double[] delayedUntil;
        final BitSet[] releasedSeats;
        double now;
        long order;
        double heldFractionSum;
        int violations;

        Simulation(long seed, int frontEnds, Bug bug) {
            random = new Random(seed);
            this.bug = bug;
            this.frontEnds = frontEnds;
            grantors = new SeatGrantor[frontEnds];
            holders = new SeatHolder[frontEnds];
            clockRates = new double[frontEnds];
            clockOrigins = new double[frontEnds];
            pausedUntil = new double[frontEnds];
            runs = new int[frontEnds];
            trafficWeights = new double[frontEnds];
            delayedUntil = new double[frontEnds];
            java.util.Arrays.fill(trafficWeights, 1);
            releasedSeats = new BitSet[frontEnds];
            for (int i = 0; i < frontEnds; i++) {
                clockRates[i] = 1 + (random.nextDouble() - 0.5) * SeatHolder.MAX_CLOCK_DRIFT;
                clockOrigins[i] = random.nextDouble() * 1e6;
                start(i);
            }
        }

        double clock(int frontEnd) {
            return clockOrigins[frontEnd] + now * clockRates[frontEnd];
        }

        void schedule(double dueAt, Runnable action) {
            events.add(new Event(dueAt, order++, action));
        }

        void start(int frontEnd) {
            runs[frontEnd]++;
            boolean grantsAtOnce = bug == Bug.GRANTS_AT_ONCE_AFTER_A_START;
            grantors[frontEnd] = new SeatGrantor(SEATS, LEASE_MILLIS,
                    grantsAtOnce ? clock(frontEnd) - LEASE_MILLIS : clock(frontEnd));
            holders[frontEnd] = new SeatHolder("fe-" + frontEnd + "." + runs[frontEnd], SEATS,
                    bug == Bug.ONE_GRANTOR_IS_ENOUGH ? 1 : frontEnds, LEASE_MILLIS, new Random(random.nextLong()));
            releasedSeats[frontEnd] = new BitSet();
            int runNumber = runs[frontEnd];
            schedule(now + random.nextDouble() * 500, () -> sendRound(frontEnd, runNumber));
        }

        /** Runs an event at a process; a paused process handles it when it resumes. */
        void deliver(int frontEnd, int runNumber, Runnable action) {
            if (runs[frontEnd] != runNumber) {
                return;
            }
            if (now < pausedUntil[frontEnd]) {
                schedule(pausedUntil[frontEnd], () -> deliver(frontEnd, runNumber, action));
            } else {
                action.run();
            }
        }

        /**
         * Sends a message to another front end, where {@code action} handles it. One message in 20 is duplicated, one in 12 is
         * lost and one in 50 is late by up to four seconds. A front end that is being delayed sends everything more than two
         * seconds late.
         */
        void send(int sender, int receiver, Runnable action) {
            for (int copies = random.nextInt(20) == 0 ? 2 : 1; copies > 0; copies--) {
                if (random.nextInt(12) > 0) {
                    int runNumber = runs[receiver];
                    double delay = now < delayedUntil[sender] ? 2100 + random.nextInt(1500) : 0;
                    schedule(now + Math.exp(random.nextGaussian()) * 5 + delay
                            + (random.nextInt(50) == 0 ? random.nextInt(4000) : 0), () -> deliver(receiver, runNumber, action));
                }
            }
        }

        /** Sends the requests of one round and schedules the next one. */
        void sendRound(int frontEnd, int runNumber) {
            deliver(frontEnd, runNumber, () -> {
                SeatHolder.Request request = holders[frontEnd].startRound(
                        trafficWeights[frontEnd] / java.util.Arrays.stream(trafficWeights).sum(), clock(frontEnd));
                releasedSeats[frontEnd].or(request.released());
                String name = holders[frontEnd].name();
                for (int target = 0; target < frontEnds; target++) {
                    int grantor = target;
                    send(frontEnd, target, () -> {
                        long number = bug == Bug.ACCEPTS_LATE_ROUNDS ? order : request.round();
                        SeatGrantor.Grant grant = grantors[grantor].handleRequest(name, number, request.wanted(), request.released(),
                                clock(grantor));
                        if (grant == null) {
                            return;
                        }
                        send(grantor, frontEnd, () -> {
                            if (runs[frontEnd] == runNumber) {
                                double receivedAt = bug == Bug.LEASE_COUNTED_FROM_THE_GRANT ? clock(frontEnd) : Double.NaN;
                                holders[frontEnd].handleGrant(grantor, request.round(), grant);
                                if (!Double.isNaN(receivedAt)) {
                                    extendLease(frontEnd, receivedAt);
                                }
                            }
                        });
                    });
                }
                schedule(now + LEASE_MILLIS / 3 / clockRates[frontEnd], () -> sendRound(frontEnd, runNumber));
            });
        }

        private final java.util.Map<Integer, Double> extendedUntil = new java.util.HashMap<>();

        private void extendLease(int frontEnd, double receivedAt) {
            extendedUntil.put(frontEnd, receivedAt + LEASE_MILLIS);
        }

        /** The seats that a front end may spend; more than it holds where a bug is injected. */
        BitSet held(int frontEnd) {
            BitSet held = holders[frontEnd].heldSeats(clock(frontEnd));
            if (bug == Bug.LEASE_COUNTED_FROM_THE_GRANT && clock(frontEnd) < extendedUntil.getOrDefault(frontEnd, 0.0)) {
                held.or(heldBefore[frontEnd]);
            }
            if (bug == Bug.SPENDS_RELEASED_SEATS) {
                held.or(releasedSeats[frontEnd]);
            }
            return held;
        }

        /** The seats that each front end held at the last check; longer than the number of front ends. */
        final BitSet[] heldBefore = new BitSet[100];

        /** Checks the invariant after every event: no seat is held by two front ends. */
        void checkInvariant() {
            BitSet all = new BitSet(SEATS);
            int sum = 0;
            for (int i = 0; i < frontEnds; i++) {
                heldBefore[i] = heldBefore[i] == null ? new BitSet() : heldBefore[i];
                BitSet held = held(i);
                heldBefore[i] = held;
                sum += held.cardinality();
                violations += held.intersects(all) ? 1 : 0;
                all.or(held);
            }
            heldFractionSum += sum / (double) SEATS;
        }

        /** Runs the simulation until a time and returns the mean fraction of the seats that was held at its events. */
        double run(double until, boolean withFaults) {
            if (withFaults) {
                for (double time = 2000; time < until - 20_000; time += 300 + random.nextInt(1500)) {
                    int affected = random.nextInt(frontEnds);
                    int fault = random.nextInt(6);
                    double pauseLength = random.nextInt(6000);
                    schedule(time, () -> {
                        if (fault == 0) {
                            start(affected);
                        } else if (fault == 1) {
                            trafficWeights[affected] = 0.2 + 3 * random.nextDouble(); // its share of the traffic changes
                        } else if (fault <= 3) {
                            delayedUntil[affected] = now + 600;
                            trafficWeights[affected] = 0.2 + 3 * random.nextDouble();
                            schedule(now + 1100, () -> trafficWeights[affected] = 0.2 + 3 * random.nextDouble());
                        } else {
                            pausedUntil[affected] = now + pauseLength;
                        }
                    });
                }
            }
            int checks = 0;
            while (!events.isEmpty() && events.peek().dueAt < until) {
                Event next = events.poll();
                now = Math.max(now, next.dueAt);
                next.action.run();
                checkInvariant();
                checks++;
            }
            return heldFractionSum / checks;
        }
    }

    /**
     * Seats must never be spent twice through lost, late or repeated messages, restarts, pauses and clock drift. That the
     * simulation would show it is checked by bugs that are injected: one of the seeds must detect each.
     */
    @ParameterizedTest
    @EnumSource(Bug.class)
    void noSeatIsHeldByTwo(Bug bug) {
        int violatingSeeds = 0;
        for (long seed = 1; seed <= (bug == Bug.NONE ? 60 : 600) && (violatingSeeds == 0); seed++) {
            Simulation simulation = new Simulation(seed, 3 + (int) (seed % 5), bug);
            simulation.run(90_000, true);
            violatingSeeds += simulation.violations > 0 ? 1 : 0;
        }
        if (bug == Bug.NONE) {
            assertEquals(0, violatingSeeds);
        } else {
            assertTrue(violatingSeeds > 0, "the injected bug was not detected");
        }
    }

    /** Guards against a front end that restarts at the same clock reading and is granted the seats of its earlier run. */
    @Test
    void eachRunOfAFrontEndHasAUniqueName() {
        SecureRandom random = new SecureRandom();
        Set<String> names = new HashSet<>();
        for (int i = 0; i < 1000; i++) {
            names.add(SeatHolder.uniqueName("fe-0", random));
        }
        assertEquals(1000, names.size());
    }

    /** Without faults, nearly all seats are in use and evenly distributed after a while. */
    @Test
    void withoutFaultsNearlyAllSeatsAreUsed() {
        Simulation simulation = new Simulation(7, 12, Bug.NONE);
        simulation.run(120_000, false);
        int sum = 0;
        for (int i = 0; i < 12; i++) {
            int ownSeats = simulation.held(i).cardinality();
            assertTrue(ownSeats >= 3 && ownSeats <= 6, "fe-" + i + " has " + ownSeats);
            sum += ownSeats;
        }
        assertTrue(sum >= 55, sum + " of 60 in use");
        List<String> holders = new ArrayList<>(simulation.grantors[0].currentHolders(simulation.clock(0)));
        assertTrue(holders.stream().filter(holder -> !holder.isEmpty()).count() >= 55);
    }
}
