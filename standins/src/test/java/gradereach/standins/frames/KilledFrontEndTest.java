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
    private static final long ASKS_AGAIN_WITHIN = 100;
    private static final int TRIES = 20;

    /** Holds every thread of the peers twice: what is due by the second time has not looked at the connection since. */
    private static final class Hold {
        private final CountDownLatch held = new CountDownLatch(2);
        private final CountDownLatch firstOver = new CountDownLatch(1);
        private final CountDownLatch secondBegan = new CountDownLatch(2);
        private final CountDownLatch secondOver = new CountDownLatch(1);

        Hold(PeerLoops loops) {
            for (int i = 0; i < 2; i++) {
                var loop = loops.next();
                loop.execute(() -> {
                    loop.schedule(() -> await(secondBegan, secondOver), 0, TimeUnit.MILLISECONDS);
                    await(held, firstOver);
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
    private static boolean asksAfterTheEnd(List<RequestAuditor.Finding> found) throws Exception {
        ServerSocket frontEnd = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        try (PeerLoops loops = new PeerLoops()) {
            RequestAuditor auditor = new RequestAuditor(500);
            InetSocketAddress address = (InetSocketAddress) frontEnd.getLocalSocketAddress();
            RequestClient client = new RequestClient(loops, auditor, address, 1);
            auditor.listens(address);
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
            Hold hold = new Hold(loops);
            hold.held.await();
            Thread.sleep(ASKS_AGAIN_WITHIN);
            hold.firstOver.countDown();
            hold.secondBegan.await();
            connection.setSoLinger(true, 0);
            connection.close();
            frontEnd.close();
            int before = auditor.requests();
            auditor.killed(address, loops.now());
            auditor.exited(address, loops.now());
            hold.secondOver.countDown();
            for (int i = 0; i < 2; i++) {
                loops.next().submit(() -> { }).sync(); // what was due is done
            }
            client.end();
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
    void whatItsClientAsksAfterItsEndIsOwedByNobody() throws Exception {
        List<RequestAuditor.Finding> found = new ArrayList<>();
        boolean forced = false;
        for (int i = 0; i < TRIES && !forced; i++) {
            forced = asksAfterTheEnd(found);
        }
        assertTrue(forced, "no client asked after the end of its front end");
        assertEquals(List.of(), found);
    }
}
