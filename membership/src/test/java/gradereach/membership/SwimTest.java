package gradereach.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.membership.Member.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** SWIM members in virtual time over a network that loses, delays, duplicates and partitions. */
class SwimTest {
    private static final Swim.Timing TIMING = new Swim.Timing(500, 200, 3, 4, 15_000, 120_000);

    /** An event of the simulation; events that are due at the same time happen in the order in which they were added. */
    private record Event(double dueAt, long order, Runnable action) { }

    /** The simulated network with its members. */
    private static final class Network {
        final Random random;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.dueAt != b.dueAt ? Double.compare(a.dueAt, b.dueAt)
                : Long.compare(a.order, b.order));
        final Map<String, Swim> running = new HashMap<>();
        final Map<String, Double> pausedUntil = new HashMap<>();
        final Map<String, Map<String, Member>> views = new HashMap<>();
        final Map<String, Integer> partitionSides = new HashMap<>();
        double loss;
        double now;
        long order;
        long messages;
        long deathReports;
        /** How often a member that was up and not paused was declared dead. */
        long falseDeathReports;

        Network(long seed) {
            random = new Random(seed);
        }

        void schedule(double dueAt, Runnable action) {
            events.add(new Event(dueAt, order++, action));
        }

        void start(String name, long incarnation) {
            Map<String, Member> view = new HashMap<>();
            views.put(name, view);
            Swim swim = new Swim(name, name, incarnation, TIMING, new Random(random.nextLong()), now, new Swim.Environment() {
                @Override
                public void send(String address, Message message) {
                    transmit(name, address, message);
                }

                @Override
                public void onMemberChanged(Member member) {
                    Member previous = view.put(member.name(), member);
                    assertTrue(previous == null || member.overrides(previous),
                            "an update without precedence was applied: " + previous + " then " + member);
                    if (member.state() == State.DEAD) {
                        deathReports++;
                        falseDeathReports += running.containsKey(member.name())
                                && now >= pausedUntil.getOrDefault(member.name(), 0.0) ? 1 : 0;
                    }
                }
            });
            running.put(name, swim);
            List<String> seeds = running.keySet().stream().sorted().limit(3).toList();
            join(swim, seeds);
            scheduleTick(name, swim);
        }

        /** Repeats the join until a member has replied, as Membership does. */
        private void join(Swim swim, List<String> seeds) {
            swim.join(seeds);
            schedule(now + 2000, () -> {
                if (swim.presentCount() == 1 && running.get(swim.self().name()) == swim) {
                    join(swim, seeds);
                }
            });
        }

        void scheduleTick(String name, Swim swim) {
            schedule(Math.max(now + 1, Math.min(swim.nextTickAt(), now + 1000)), () -> {
                if (running.get(name) != swim) {
                    return;
                }
                if (now < pausedUntil.getOrDefault(name, 0.0)) {
                    schedule(pausedUntil.get(name), () -> scheduleTick(name, swim));
                    return;
                }
                swim.tick(now);
                scheduleTick(name, swim);
            });
        }

        /** Sends a message. One in 100 is duplicated, and one in 200 is late by 100 ms. */
        void transmit(String sender, String receiver, Message message) {
            messages++;
            assertTrue(message instanceof Message.Sync || message.gossip().size() <= 12, "more updates than a packet holds");
            boolean partitioned = !partitionSides.getOrDefault(sender, 0).equals(partitionSides.getOrDefault(receiver, 0));
            for (int copies = random.nextInt(100) == 0 ? 2 : 1; copies > 0; copies--) {
                if (partitioned || random.nextDouble() < loss) {
                    continue;
                }
                schedule(now + 0.5 + random.nextDouble() * 3 + (random.nextInt(200) == 0 ? 100 : 0),
                        () -> deliver(receiver, message));
            }
        }

        private void deliver(String name, Message message) {
            Swim receiver = running.get(name);
            if (receiver == null) {
                return;
            }
            if (now < pausedUntil.getOrDefault(name, 0.0)) {
                schedule(pausedUntil.get(name), () -> deliver(name, message));
                return;
            }
            receiver.handleMessage(message, now);
        }

        void run(double until) {
            while (!events.isEmpty() && events.peek().dueAt <= until) {
                Event next = events.poll();
                now = Math.max(now, next.dueAt);
                next.action.run();
            }
            now = until;
        }

        /** The number of members that count that many members as present. */
        long membersCounting(int present) {
            return running.values().stream().filter(swim -> swim.presentCount() == present).count();
        }

        void startMembers(int count) {
            for (int i = 0; i < count; i++) {
                String name = String.format("fe-%04d", i);
                schedule(i * 2.0, () -> start(name, 1));
            }
        }
    }

    /** Number of members, and the fraction of messages that is lost. */
    @ParameterizedTest
    @CsvSource({"3, 0", "10, 0", "100, 0", "30, 0.1", "300, 0.1"})
    void membersFindEachOtherAndDetectADeadOne(int count, double loss) {
        Network network = new Network(count);
        network.loss = loss;
        network.startMembers(count);
        network.run(60_000);
        assertEquals(count, network.membersCounting(count), "not all members have found each other");
        network.running.remove("fe-0001");
        network.run(network.now + 60_000);
        assertEquals(count - 1, network.membersCounting(count - 1), "not all members have detected the dead one");
    }

    /** With 10% message loss and short pauses, no healthy member is declared dead. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void healthyMembersAreNotDeclaredDead(long seed) {
        Network network = new Network(seed);
        network.loss = 0.1;
        network.startMembers(40);
        for (int i = 0; i < 20; i++) {
            String name = String.format("fe-%04d", network.random.nextInt(40));
            network.schedule(10_000 + i * 4000, () -> network.pausedUntil.put(name, network.now + 1500));
        }
        network.run(150_000);
        assertEquals(0, network.falseDeathReports, "of " + network.deathReports);
        assertEquals(40, network.membersCounting(40));
    }

    /** The sides of a partition declare each other dead, and merge again after it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void partitionsMergeAgain(long seed) {
        Network network = new Network(seed);
        network.startMembers(20);
        network.run(20_000);
        for (int i = 0; i < 8; i++) {
            network.partitionSides.put(String.format("fe-%04d", i), 1);
        }
        network.run(80_000);
        assertEquals(8, network.membersCounting(8));
        assertEquals(12, network.membersCounting(12));
        network.partitionSides.clear();
        // SWIM does not ping dead members: former members join again, as every front end does with its configured list.
        network.running.values().forEach(swim -> swim.join(List.of("fe-0000", "fe-0019")));
        network.run(140_000);
        assertEquals(20, network.membersCounting(20));
    }

    /** 90% of the members restart one after the other under their old names; then 44% die at once. */
    @Test
    void rollingRestartsAndMassFailuresAreDetected() {
        Network network = new Network(5);
        network.startMembers(50);
        network.run(20_000);
        for (int i = 0; i < 45; i++) {
            String name = String.format("fe-%04d", i);
            network.schedule(20_000 + i * 1000, () -> network.running.remove(name));
            network.schedule(20_600 + i * 1000, () -> network.start(name, 2));
        }
        network.run(120_000);
        assertEquals(50, network.membersCounting(50));
        for (int i = 0; i < 22; i++) {
            network.running.remove(String.format("fe-%04d", i * 2));
        }
        network.run(200_000);
        assertEquals(28, network.membersCounting(28));
    }

    /** A member that leaves in order is not suspected, and its name can join again. */
    @Test
    void leavingIsNotReportedAsDeath() {
        Network network = new Network(9);
        network.startMembers(20);
        network.run(20_000);
        network.running.get("fe-0003").leave();
        network.running.remove("fe-0003");
        network.run(30_000);
        assertEquals(19, network.membersCounting(19));
        assertEquals(0, network.deathReports);
        network.start("fe-0003", 2);
        network.run(60_000);
        assertEquals(20, network.membersCounting(20));
    }

    /** The rate of messages of a member does not grow with the number of members. */
    @Test
    void messageRateOfAMemberIsConstant() {
        double[] rates = new double[2];
        for (int run = 0; run < 2; run++) {
            int count = run == 0 ? 20 : 200;
            Network network = new Network(3);
            network.startMembers(count);
            network.run(30_000);
            long messagesBefore = network.messages;
            network.run(60_000);
            rates[run] = (network.messages - messagesBefore) / 30.0 / count;
        }
        assertTrue(rates[1] < rates[0] * 1.2, rates[0] + " and " + rates[1] + " messages per member and second");
    }

    @Test
    void sameSeedGivesTheSameRun() {
        List<String> outcomes = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Network network = new Network(77);
            network.loss = 0.2;
            network.startMembers(15);
            network.run(30_000);
            outcomes.add(network.messages + " " + network.deathReports + " " + network.order);
        }
        assertEquals(outcomes.get(0), outcomes.get(1));
    }
}
