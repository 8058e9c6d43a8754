package gradereach.members;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.counts.Counts;
import gradereach.membership.Member;
import gradereach.membership.Message;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Members over real datagrams on loopback, and what makes them readable to members alone. */
@Timeout(60)
class MembershipTest {
    private static final byte[] KEY = {1, 2, 3};
    private static final byte[] OTHER = {4, 5, 6};

    private static void until(BooleanSupplier holds) throws InterruptedException {
        while (!holds.getAsBoolean()) {
            Thread.sleep(2);
        }
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /** One front end: what it may spend by its own clock. */
    private static final class TestFrontEnd {
        private volatile double part;
        private volatile double until;
        Counts counts = new Counts();
        Membership membership;

        TestFrontEnd(Membership.Config terms, DatagramSocket socket) {
            membership = new Membership(terms, socket, new Random(1), MembershipTest::now, () -> 0, this::share, counts);
            membership.start();
        }

        private synchronized void share(double ofAll, double lasts) {
            part = ofAll;
            until = lasts;
        }

        synchronized double spends() {
            return now() < until ? part : 0;
        }
    }

    private static List<TestFrontEnd> fleet(int count) throws IOException {
        List<DatagramSocket> sockets = new ArrayList<>();
        List<String> keepers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            sockets.add(socket);
            keepers.add("127.0.0.1:" + socket.getLocalPort());
        }
        List<TestFrontEnd> fronts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            fronts.add(new TestFrontEnd(new Membership.Config("fe-" + i, null, "c", List.of(KEY), keepers, 30, 600), sockets.get(i)));
        }
        return fronts;
    }

    /** Together they come to spend nearly all; when one goes, the others take over what it had; never more than all. */
    @Test
    void sharesFollowWhoIsThere() throws Exception {
        List<TestFrontEnd> fronts = fleet(5);
        try {
            until(() -> fronts.stream().allMatch(f -> f.membership.view() != null && f.membership.view().presentCount() == 5));
            until(() -> sum(fronts) > 0.9);
            fronts.get(4).membership.close();
            double[] most = new double[1];
            until(() -> {
                double spent = sum(fronts);
                most[0] = Math.max(most[0], spent);
                return fronts.subList(0, 4).stream().allMatch(f -> f.spends() >= 6 / 30.0) && fronts.get(4).spends() == 0;
            });
            assertTrue(most[0] <= 1 + 1e-9, "spent together: " + most[0]);
            until(() -> fronts.get(0).membership.view().presentCount() == 4);
            assertEquals(0, fronts.get(0).counts.value("members_strangers"));
        } finally {
            fronts.forEach(f -> f.membership.close());
        }
    }

    /** Parts may change while they are read: seats that move are in neither sum, since they are let go before they are taken. */
    private static double sum(List<TestFrontEnd> fronts) {
        return fronts.stream().mapToDouble(TestFrontEnd::spends).sum();
    }

    @Test
    void whatStrangersSendIsCountedAndNoMore() throws Exception {
        List<TestFrontEnd> fronts = fleet(2);
        try (DatagramSocket stranger = new DatagramSocket()) {
            int port = Integer.parseInt(fronts.get(0).membership.address().split(":")[1]);
            for (byte[] what : List.of(new byte[0], new byte[100], new DatagramCipher("other", List.of(KEY)).seal(new byte[] {1}),
                    new DatagramCipher("c", List.of(OTHER)).seal(new byte[] {1}))) {
                stranger.send(new DatagramPacket(what, what.length, InetAddress.getLoopbackAddress(), port));
            }
            byte[] broken = new DatagramCipher("c", List.of(KEY)).seal(new byte[] {99, 0, 0});
            stranger.send(new DatagramPacket(broken, broken.length, InetAddress.getLoopbackAddress(), port));
            until(() -> fronts.get(0).counts.value("members_strangers") == 4
                    && fronts.get(0).counts.value("members_datagrams_unreadable") == 1);
            until(() -> fronts.get(0).membership.view().presentCount() == 2);
        } finally {
            fronts.forEach(f -> f.membership.close());
        }
    }

    @ParameterizedTest
    @CsvSource({"0, true", "1, false", "5, false", "20, false", "last, false", "cut, false", "rotated, true", "other-cluster, false"})
    void onlyWholeDatagramsOfTheClusterAreOpened(String what, boolean opens) {
        byte[] message = {7, 8, 9};
        byte[] sealed = new DatagramCipher(what.equals("other-cluster") ? "d" : "c", List.of(KEY)).seal(message);
        byte[] sent = switch (what) {
            case "cut" -> Arrays.copyOf(sealed, sealed.length - 1);
            case "0", "rotated", "other-cluster" -> sealed;
            default -> {
                sealed[what.equals("last") ? sealed.length - 1 : Integer.parseInt(what)] ^= 1;
                yield sealed;
            }
        };
        byte[] opened = new DatagramCipher("c", what.equals("rotated") ? List.of(OTHER, KEY) : List.of(KEY)).open(sent);
        if (opens) {
            assertArrayEquals(message, opened);
        } else {
            assertNull(opened);
        }
    }

    static Stream<Object> words() {
        List<Member> gossip = List.of(new Member("a", "h:1", 7, Member.State.SUSPECT), new Member("b", "h:2", 1, Member.State.LEFT));
        BitSet bits = BitSet.valueOf(new long[] {0x8000000000000001L, 5});
        return Stream.of(new Message.Ping("x", "h:3", 4, gossip), new Message.Ack("x", 4, List.of()),
                new Message.PingRequest("x", "h:3", 4, "y", "h:4", gossip), new Message.Sync("x", "h:3", true, gossip),
                new MembershipCodec.SeatRequest("x.1", "h:3", 9, 12.5, bits, new BitSet()), new MembershipCodec.SeatResponse("h:3", 9, 100, 3, new BitSet(), bits));
    }

    @ParameterizedTest
    @MethodSource("words")
    void messagesComeAsTheyWent(Object message) throws IOException {
        byte[] bytes = MembershipCodec.encode(message);
        assertEquals(message, MembershipCodec.decode(bytes));
        assertThrows(IOException.class, () -> MembershipCodec.decode(Arrays.copyOf(bytes, bytes.length + 1)));
        for (int cut = 0; cut < bytes.length - 1; cut++) {
            int length = cut;
            assertThrows(IOException.class, () -> MembershipCodec.decode(Arrays.copyOf(bytes, length)), "cut at " + cut);
        }
    }
}
