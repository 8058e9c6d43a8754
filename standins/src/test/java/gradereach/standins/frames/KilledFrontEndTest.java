package gradereach.standins.frames;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A client that is late asks once more on its connection after its front end was killed, the end of the connection not read
 * yet: that reached nobody, and nobody owes an answer.
 */
@Timeout(60)
class KilledFrontEndTest {
    private static final byte[] ANSWER = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** Milliseconds after an answer by which a client has asked again, where it is not held. */
    private static final long NEXT_REQUEST_WITHIN_MILLIS = 100;
    private static final int MAX_ATTEMPTS = 20;

    /** Holds every thread of the peers twice: what is due by the second time has not looked at the connection since. */
    private static final class EventLoopBlock {
        private final CountDownLatch firstBlocked = new CountDownLatch(2);
        private final CountDownLatch firstReleased = new CountDownLatch(1);
        private final CountDownLatch secondBlocked = new CountDownLatch(2);
        private final CountDownLatch secondReleased = new CountDownLatch(1);

        EventLoopBlock(PeerEventLoops loops) {
            for (int i = 0; i < 2; i++) {
                var loop = loops.next();
                loop.execute(() -> {
                    loop.schedule(() -> await(secondBlocked, secondReleased), 0, TimeUnit.MILLISECONDS);
                    await(firstBlocked, firstReleased);
                });
            }
        }

        private static void await(CountDownLatch began, CountDownLatch over) {
            began.countDown();
            try {
                over.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void readRequest(Socket connection) throws IOException {
        InputStream in = connection.getInputStream();
        StringBuilder read = new StringBuilder();
        while (read.indexOf("\r\n\r\n") < 0) {
            read.append((char) in.read());
        }
        int length = Integer.parseInt(read.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
        in.readNBytes(length);
    }

    /** Whether the client asked after the end: not where it had asked again already before it was held. */
    private static boolean sendsRequestAfterExit(List<RequestAuditor.Finding> found) throws Exception {
        ServerSocket frontEnd = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        try (PeerEventLoops loops = new PeerEventLoops()) {
            RequestAuditor auditor = new RequestAuditor(500);
            InetSocketAddress address = (InetSocketAddress) frontEnd.getLocalSocketAddress();
            RequestClient client = new RequestClient(loops, auditor, address, 1);
            auditor.frontEndListening(address);
            client.start();
            Socket connection = frontEnd.accept();
            readRequest(connection);
            connection.getOutputStream().write(ANSWER);
            while (!answered(auditor)) {
                if (auditor.requests() > 1) {
                    return false; // it has asked again before it was held
                }
                Thread.sleep(1);
            }
            EventLoopBlock hold = new EventLoopBlock(loops);
            hold.firstBlocked.await();
            Thread.sleep(NEXT_REQUEST_WITHIN_MILLIS);
            hold.firstReleased.countDown();
            hold.secondBlocked.await();
            connection.setSoLinger(true, 0);
            connection.close();
            frontEnd.close();
            int before = auditor.requests();
            auditor.frontEndKilled(address, loops.now());
            auditor.frontEndExited(address, loops.now());
            hold.secondReleased.countDown();
            for (int i = 0; i < 2; i++) {
                loops.next().submit(() -> { }).sync(); // what was due is done
            }
            client.stop();
            found.addAll(auditor.findings(Double.POSITIVE_INFINITY));
            return auditor.requests() > before;
        } finally {
            frontEnd.close();
        }
    }

    private static boolean answered(RequestAuditor auditor) {
        return auditor.findings(Double.POSITIVE_INFINITY).isEmpty();
    }

    @Test
    void requestSentAfterFrontEndWasKilledNeedsNoAnswer() throws Exception {
        List<RequestAuditor.Finding> found = new ArrayList<>();
        boolean forced = false;
        for (int i = 0; i < MAX_ATTEMPTS && !forced; i++) {
            forced = sendsRequestAfterExit(found);
        }
        assertTrue(forced, "no client asked after the end of its front end");
        assertEquals(List.of(), found);
    }
}
