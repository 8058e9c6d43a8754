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

/** Members in virtual time over a network that loses, delays, doubles and cuts. */
class SwimTest {
    private static final Swim.Timing TIMING = new Swim.Timing(500, 200, 3, 4, 15_000, 120_000);

    private record Event(double at, long order, Runnable what) { }

    private static final class Network {
        final Random chance;
        final PriorityQueue<Event> events = new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at)
                : Long.compare(a.order, b.order));
        final Map<String, Swim> up = new HashMap<>();
        final Map<String, Double> pausedUntil = new HashMap<>();
        final Map<String, Map<String, Member>> believed = new HashMap<>();
        final Map<String, Integer> halves = new HashMap<>();
        double loss;
        double now;
        long order;
        long messages;
        long deaths;
        /** Deaths that somebody believed of a member that was up and well. */
        long falseDeaths;

        Network(long seed) {
            chance = new Random(seed);
        }

        void at(double when, Runnable what) {
            events.add(new Event(when, order++, what));
        }

        void start(String name, long incarnation) {
            Map<String, Member> view = new HashMap<>();
            believed.put(name, view);
            Swim made = new Swim(name, name, incarnation, TIMING, new Random(chance.nextLong()), now, new Swim.Environment() {
                @Override
                public void send(String address, Message message) {
                    pass(name, address, message);
                }

                @Override
                public void memberChanged(Member member) {
                    Member before = view.put(member.name(), member);
                    assertTrue(before == null || member.overrides(before), "a word that does not hold: " + before + " then " + member);
                    if (member.state() == State.DEAD) {
                        deaths++;
                        falseDeaths += up.containsKey(member.name()) && now >= pausedUntil.getOrDefault(member.name(), 0.0) ? 1 : 0;
                    }
                }
            });
            up.put(name, made);
            List<String> seeds = up.keySet().stream().sorted().limit(3).toList();
            join(made, seeds);
            wake(name, made);
        }

        /** Until somebody has answered, as the carrier does. */
        private void join(Swim made, List<String> seeds) {
            made.join(seeds);
            at(now + 2000, () -> {
                if (made.presentCount() == 1 && up.get(made.self().name()) == made) {
                    join(made, seeds);
                }
            });
        }

        void wake(String name, Swim of) {
            at(Math.max(now + 1, Math.min(of.nextTickAt(), now + 1000)), () -> {
                if (up.get(name) != of) {
                    return;
                }
                if (now < pausedUntil.getOrDefault(name, 0.0)) {
                    at(pausedUntil.get(name), () -> wake(name, of));
                    return;
                }
                of.tick(now);
                wake(name, of);
            });
        }

        void pass(String from, String to, Message message) {
            messages++;
            assertTrue(message instanceof Message.Sync || message.gossip().size() <= 12, "too long for a packet");
            boolean cut = !halves.getOrDefault(from, 0).equals(halves.getOrDefault(to, 0));
            for (int copies = chance.nextInt(100) == 0 ? 2 : 1; copies > 0; copies--) {
                if (cut || chance.nextDouble() < loss) {
                    continue;
                }
                at(now + 0.5 + chance.nextDouble() * 3 + (chance.nextInt(200) == 0 ? 100 : 0), () -> deliver(to, message));
            }
        }

        private void deliver(String to, Message message) {
            Swim there = up.get(to);
            if (there == null) {
                return;
            }
            if (now < pausedUntil.getOrDefault(to, 0.0)) {
                at(pausedUntil.get(to), () -> deliver(to, message));
                return;
            }
            there.handleMessage(message, now);
        }

        void run(double until) {
            while (!events.isEmpty() && events.peek().at <= until) {
                Event next = events.poll();
                now = Math.max(now, next.at);
                next.what.run();
            }
            now = until;
        }

        /** How many believe that so many are present. */
        long agree(int present) {
            return up.values().stream().filter(s -> s.presentCount() == present).count();
        }

        void fleet(int count) {
            for (int i = 0; i < count; i++) {
                String name = String.format("fe-%04d", i);
                at(i * 2.0, () -> start(name, 1));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"3, 0", "10, 0", "100, 0", "30, 0.1", "300, 0.1"})
    void allFindEachOtherAndADeadOneIsFoundOut(int count, double loss) {
        Network net = new Network(count);
        net.loss = loss;
        net.fleet(count);
        net.run(60_000);
        assertEquals(count, net.agree(count), "not all have found all");
        net.up.remove("fe-0001");
        net.run(net.now + 60_000);
        assertEquals(count - 1, net.agree(count - 1), "not all have found out the dead one");
    }

    /** Ten in a hundred messages lost, pauses, and one that flaps: nobody who is well is held dead. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void whoIsWellIsNotHeldDead(long seed) {
        Network net = new Network(seed);
        net.loss = 0.1;
        net.fleet(40);
        for (int i = 0; i < 20; i++) {
            String name = String.format("fe-%04d", net.chance.nextInt(40));
            net.at(10_000 + i * 4000, () -> net.pausedUntil.put(name, net.now + 1500));
        }
        net.run(150_000);
        assertEquals(0, net.falseDeaths, "of " + net.deaths);
        assertEquals(40, net.agree(40));
    }

    /** Halves that do not hear each other hold the others dead, and are one again afterwards. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void halvesHeal(long seed) {
        Network net = new Network(seed);
        net.fleet(20);
        net.run(20_000);
        for (int i = 0; i < 8; i++) {
            net.halves.put(String.format("fe-%04d", i), 1);
        }
        net.run(80_000);
        assertEquals(8, net.agree(8));
        assertEquals(12, net.agree(12));
        net.halves.clear();
        // Nobody pings the dead: who was there before asks again, as every front end does for its configured list.
        net.up.values().forEach(s -> s.join(List.of("fe-0000", "fe-0019")));
        net.run(140_000);
        assertEquals(20, net.agree(20));
    }

    /** Nine in ten restart one after the other under their old names; 44 in a hundred die at once. */
    @Test
    void rollingRestartsAndMassDeathsAreSeen() {
        Network net = new Network(5);
        net.fleet(50);
        net.run(20_000);
        for (int i = 0; i < 45; i++) {
            String name = String.format("fe-%04d", i);
            net.at(20_000 + i * 1000, () -> net.up.remove(name));
            net.at(20_600 + i * 1000, () -> net.start(name, 2));
        }
        net.run(120_000);
        assertEquals(50, net.agree(50));
        for (int i = 0; i < 22; i++) {
            net.up.remove(String.format("fe-%04d", i * 2));
        }
        net.run(200_000);
        assertEquals(28, net.agree(28));
    }

    /** Who leaves in good order is not suspected, and its name may come back. */
    @Test
    void aGoodbyeIsNoDeath() {
        Network net = new Network(9);
        net.fleet(20);
        net.run(20_000);
        net.up.get("fe-0003").leave();
        net.up.remove("fe-0003");
        net.run(30_000);
        assertEquals(19, net.agree(19));
        assertEquals(0, net.deaths);
        net.start("fe-0003", 2);
        net.run(60_000);
        assertEquals(20, net.agree(20));
    }

    /** Messages of a member and second do not grow with the members. */
    @Test
    void theCostOfAMemberIsFlat() {
        double[] each = new double[2];
        for (int n = 0; n < 2; n++) {
            int count = n == 0 ? 20 : 200;
            Network net = new Network(3);
            net.fleet(count);
            net.run(30_000);
            long before = net.messages;
            net.run(60_000);
            each[n] = (net.messages - before) / 30.0 / count;
        }
        assertTrue(each[1] < each[0] * 1.2, each[0] + " and " + each[1] + " messages a member and second");
    }

    @Test
    void theSameSeedGivesTheSameDay() {
        List<String> days = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Network net = new Network(77);
            net.loss = 0.2;
            net.fleet(15);
            net.run(30_000);
            days.add(net.messages + " " + net.deaths + " " + net.order);
        }
        assertEquals(days.get(0), days.get(1));
    }
}
