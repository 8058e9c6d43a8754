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
 * A client whose event loop lags may send another request after its front end was killed, because it has not yet read the end of
 * the connection. Guards against a finding for such a request, which reached no process and needs no answer.
 */
@Timeout(60)
class KilledFrontEndTest {
    private static final byte[] ANSWER = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** A client whose event loop is not blocked sends its next request within this time after an answer. */
    private static final long NEXT_REQUEST_WITHIN_MILLIS = 100;
    private static final int MAX_ATTEMPTS = 20;
    /** Number of event loops of {@link PeerEventLoops}. */
    private static final int EVENT_LOOPS = 2;

    /**
     * Blocks every event loop of the peers twice. Tasks that are due at the second time run before the event loop reads from the
     * connection again.
     */
    private static final class EventLoopBlock {
        private final CountDownLatch firstBlocked = new CountDownLatch(EVENT_LOOPS);
        private final CountDownLatch firstReleased = new CountDownLatch(1);
        private final CountDownLatch secondBlocked = new CountDownLatch(EVENT_LOOPS);
        private final CountDownLatch secondReleased = new CountDownLatch(1);

        EventLoopBlock(PeerEventLoops loops) {
            for (int i = 0; i < EVENT_LOOPS; i++) {
                var loop = loops.next();
                loop.execute(() -> {
                    loop.schedule(() -> await(secondBlocked, secondReleased), 0, TimeUnit.MILLISECONDS);
                    await(firstBlocked, firstReleased);
                });
            }
        }

        private static void await(CountDownLatch blocked, CountDownLatch released) {
            blocked.countDown();
            try {
                released.await();
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

    /** Whether the client sent a request after the exit; false if it sent its next request before its event loop was blocked. */
    private static boolean sendsRequestAfterExit(List<RequestAuditor.Finding> findings) throws Exception {
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
            while (!allAnswered(auditor)) {
                if (auditor.requestCount() > 1) {
                    return false; // the next request was sent before the event loop was blocked
                }
                Thread.sleep(1);
            }
            EventLoopBlock block = new EventLoopBlock(loops);
            block.firstBlocked.await();
            Thread.sleep(NEXT_REQUEST_WITHIN_MILLIS);
            block.firstReleased.countDown();
            block.secondBlocked.await();
            connection.setSoLinger(true, 0);
            connection.close();
            frontEnd.close();
            int requestsBefore = auditor.requestCount();
            auditor.frontEndKilled(address, loops.now());
            auditor.frontEndExited(address, loops.now());
            block.secondReleased.countDown();
            for (int i = 0; i < EVENT_LOOPS; i++) {
                loops.next().submit(() -> { }).sync(); // wait until the due tasks have run
            }
            client.stop();
            findings.addAll(auditor.findings(Double.POSITIVE_INFINITY));
            return auditor.requestCount() > requestsBefore;
        } finally {
            frontEnd.close();
        }
    }

    /** Whether every request so far has its answer; a missing answer is a finding. */
    private static boolean allAnswered(RequestAuditor auditor) {
        return auditor.findings(Double.POSITIVE_INFINITY).isEmpty();
    }

    @Test
    void requestSentAfterFrontEndWasKilledNeedsNoAnswer() throws Exception {
        List<RequestAuditor.Finding> findings = new ArrayList<>();
        boolean sentAfterExit = false;
        for (int i = 0; i < MAX_ATTEMPTS && !sentAfterExit; i++) {
            sentAfterExit = sendsRequestAfterExit(findings);
        }
        assertTrue(sentAfterExit, "no client sent a request after the exit of its front end");
        assertEquals(List.of(), findings);
    }
}
