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

/** Membership over real datagrams on loopback, and the encryption of its datagrams. */
@Timeout(60)
class MembershipTest {
    private static final byte[] KEY = {1, 2, 3};
    private static final byte[] OTHER_KEY = {4, 5, 6};

    /** Waits until the condition holds. */
    private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(2);
        }
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    /** A front end that records its share. */
    private static final class TestFrontEnd {
        private volatile double share;
        private volatile double validUntil;
        Counts counts = new Counts();
        Membership membership;

        TestFrontEnd(Membership.Config config, DatagramSocket socket) {
            membership = new Membership(config, socket, new Random(1), MembershipTest::now, () -> 0, this::shareChanged, counts);
            membership.start();
        }

        private synchronized void shareChanged(double newShare, double newValidUntil) {
            share = newShare;
            validUntil = newValidUntil;
        }

        /** The share that it may spend now. */
        synchronized double currentShare() {
            return now() < validUntil ? share : 0;
        }
    }

    private static List<TestFrontEnd> startFrontEnds(int count) throws IOException {
        List<DatagramSocket> sockets = new ArrayList<>();
        List<String> grantors = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            sockets.add(socket);
            grantors.add("127.0.0.1:" + socket.getLocalPort());
        }
        List<TestFrontEnd> frontEnds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            frontEnds.add(new TestFrontEnd(new Membership.Config("fe-" + i, null, "c", List.of(KEY), grantors, 30, 600), sockets.get(i)));
        }
        return frontEnds;
    }

    /** Shares grow to nearly all, the share of a front end that leaves goes to the others, and the sum never exceeds all. */
    @Test
    void sharesFollowThePresentMembers() throws Exception {
        List<TestFrontEnd> frontEnds = startFrontEnds(5);
        try {
            waitUntil(() -> frontEnds.stream()
                    .allMatch(frontEnd -> frontEnd.membership.view() != null && frontEnd.membership.view().presentCount() == 5));
            waitUntil(() -> sum(frontEnds) > 0.9);
            frontEnds.get(4).membership.close();
            double[] maxSum = new double[1];
            waitUntil(() -> {
                double sum = sum(frontEnds);
                maxSum[0] = Math.max(maxSum[0], sum);
                return frontEnds.subList(0, 4).stream().allMatch(frontEnd -> frontEnd.currentShare() >= 6 / 30.0)
                        && frontEnds.get(4).currentShare() == 0;
            });
            assertTrue(maxSum[0] <= 1 + 1e-9, "sum of all shares: " + maxSum[0]);
            waitUntil(() -> frontEnds.get(0).membership.view().presentCount() == 4);
            assertEquals(0, frontEnds.get(0).counts.value("members_strangers"));
        } finally {
            frontEnds.forEach(frontEnd -> frontEnd.membership.close());
        }
    }

    /** Shares may change while they are summed: a moving seat counts at most once, since it is released before it is granted again. */
    private static double sum(List<TestFrontEnd> frontEnds) {
        return frontEnds.stream().mapToDouble(TestFrontEnd::currentShare).sum();
    }

    /**
     * Datagrams of other clusters, or without a valid key, change nothing; authentic ones that cannot be decoded are counted
     * apart.
     */
    @Test
    void unauthenticatedDatagramsAreOnlyCounted() throws Exception {
        List<TestFrontEnd> frontEnds = startFrontEnds(2);
        try (DatagramSocket stranger = new DatagramSocket()) {
            int port = Integer.parseInt(frontEnds.get(0).membership.address().split(":")[1]);
            for (byte[] datagram : List.of(new byte[0], new byte[100], new DatagramCipher("other", List.of(KEY)).encrypt(new byte[] {1}),
                    new DatagramCipher("c", List.of(OTHER_KEY)).encrypt(new byte[] {1}))) {
                stranger.send(new DatagramPacket(datagram, datagram.length, InetAddress.getLoopbackAddress(), port));
            }
            byte[] undecodable = new DatagramCipher("c", List.of(KEY)).encrypt(new byte[] {99, 0, 0});
            stranger.send(new DatagramPacket(undecodable, undecodable.length, InetAddress.getLoopbackAddress(), port));
            waitUntil(() -> frontEnds.get(0).counts.value("members_strangers") == 4
                    && frontEnds.get(0).counts.value("members_datagrams_unreadable") == 1);
            waitUntil(() -> frontEnds.get(0).membership.view().presentCount() == 2);
        } finally {
            frontEnds.forEach(frontEnd -> frontEnd.membership.close());
        }
    }

    /** A number from 1 on is the index of a byte in which a bit is flipped; 0 leaves the datagram as it is. */
    @ParameterizedTest
    @CsvSource({"0, true", "1, false", "5, false", "20, false", "last, false", "cut, false", "rotated, true", "other-cluster, false"})
    void onlyCompleteDatagramsOfTheClusterAreDecrypted(String change, boolean decrypted) {
        byte[] message = {7, 8, 9};
        byte[] datagram = new DatagramCipher(change.equals("other-cluster") ? "d" : "c", List.of(KEY)).encrypt(message);
        byte[] received = switch (change) {
            case "cut" -> Arrays.copyOf(datagram, datagram.length - 1);
            case "0", "rotated", "other-cluster" -> datagram;
            default -> {
                datagram[change.equals("last") ? datagram.length - 1 : Integer.parseInt(change)] ^= 1;
                yield datagram;
            }
        };
        byte[] decryptedMessage = new DatagramCipher("c", change.equals("rotated") ? List.of(OTHER_KEY, KEY) : List.of(KEY))
                .decrypt(received);
        if (decrypted) {
            assertArrayEquals(message, decryptedMessage);
        } else {
            assertNull(decryptedMessage);
        }
    }

    static Stream<Object> messages() {
        List<Member> gossip = List.of(new Member("a", "h:1", 7, Member.State.SUSPECT), new Member("b", "h:2", 1, Member.State.LEFT));
        BitSet bits = BitSet.valueOf(new long[] {0x8000000000000001L, 5});
        return Stream.of(new Message.Ping("x", "h:3", 4, gossip), new Message.Ack("x", 4, List.of()),
                new Message.PingRequest("x", "h:3", 4, "y", "h:4", gossip), new Message.Sync("x", "h:3", true, gossip),
                new MembershipCodec.SeatRequest("x.1", "h:3", 9, 12.5, bits, new BitSet()),
                new MembershipCodec.SeatResponse("h:3", 9, 100, 3, new BitSet(), bits));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void messagesSurviveEncodingAndDecoding(Object message) throws IOException {
        byte[] bytes = MembershipCodec.encode(message);
        assertEquals(message, MembershipCodec.decode(bytes));
        assertThrows(IOException.class, () -> MembershipCodec.decode(Arrays.copyOf(bytes, bytes.length + 1)));
        for (int cut = 0; cut < bytes.length - 1; cut++) {
            int length = cut;
            assertThrows(IOException.class, () -> MembershipCodec.decode(Arrays.copyOf(bytes, length)), "cut at " + cut);
        }
    }
}
