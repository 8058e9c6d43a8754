package gradereach.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import gradereach.counts.Counts;
import gradereach.desk.Ledger;
import gradereach.ledger.LedgerState;
import gradereach.ledger.LedgerRecord;
import gradereach.message.FinalAnswer;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers by webhook to receivers on loopback, in a time that runs three thousand times as fast. */
@Timeout(60)
class OutboxTest {
    private static final double SPEEDUP = 3000;
    private static final double HOUR_MILLIS = 3_600_000;
    private final double startNanosAsMillis = System.nanoTime() / 1e6;
    private final List<LedgerRecord> ledgerRecords = java.util.Collections.synchronizedList(new ArrayList<>());
    private final WebhookKey key = WebhookKey.parse(WebhookKey.newSecret(new SecureRandom()));
    private final Map<String, List<String>> received = new ConcurrentHashMap<>();
    private final List<HttpServer> receivers = new ArrayList<>();
    private final Counts counts = new Counts();
    private Outbox outbox;

    private double now() {
        return (System.nanoTime() / 1e6 - startNanosAsMillis) * SPEEDUP;
    }

    /** Waits are as much shorter. */
    private static final class AcceleratedExecutor extends ScheduledThreadPoolExecutor {
        AcceleratedExecutor() {
            super(1);
            setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable work, long delay, TimeUnit unit) {
            return super.schedule(work, (long) (unit.toNanos(delay) / SPEEDUP), TimeUnit.NANOSECONDS);
        }
    }

    private final Ledger ledger = new Ledger() {
        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public double commitMargin() {
            return 0;
        }

        @Override
        public void append(LedgerRecord record, AppendCallback then) {
            ledgerRecords.add(record);
            then.onComplete(true);
        }
    };

    /** Says {@code status} while it is gone, 204 afterwards. */
    private String startReceiver(int status, double goneUntil) throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 16);
        server.createContext("/", ask -> {
            byte[] body = ask.getRequestBody().readAllBytes();
            String id = ask.getRequestHeaders().getFirst("webhook-id");
            String at = ask.getRequestHeaders().getFirst("webhook-timestamp");
            // By the message's own time: the tolerance is a tenth of a second here, and a machine may pause for longer.
            boolean good = new KeyRing(List.of(List.of(key))).verify(id, at,
                    ask.getRequestHeaders().getFirst("webhook-signature"), body, Long.parseLong(at), 0).rejection() == null;
            boolean gone = now() < goneUntil;
            received.computeIfAbsent(id, k -> new java.util.concurrent.CopyOnWriteArrayList<>())
                    .add((gone ? "gone " : "got ") + (good ? "signed " : "forged ") + new String(body));
            ask.sendResponseHeaders(gone ? status : 204, -1);
            ask.close();
        });
        server.start();
        receivers.add(server);
        return "http://127.0.0.1:" + server.getAddress().getPort() + "/";
    }

    private long unixSeconds() {
        return 1_800_000_000L + (long) (now() / 1000);
    }

    private Outbox openOutbox(List<String> urls) {
        List<String> names = new ArrayList<>();
        List<List<WebhookKey>> keys = new ArrayList<>();
        for (int i = 0; i < urls.size(); i++) {
            names.add("c" + i);
            keys.add(List.of(key));
        }
        outbox = new Outbox(names, urls, keys, ledger, 1000, new AcceleratedExecutor(), this::now, () -> unixSeconds() * 1000, counts);
        return outbox;
    }

    @AfterEach
    void tearDown() {
        outbox.close();
        receivers.forEach(r -> r.stop(0));
    }

    private static FinalAnswer answer(String id) {
        return FinalAnswer.returned(id, "m", "{}".getBytes(), Instant.EPOCH);
    }

    private long deliveredCount(String prefix) {
        return received.entrySet().stream().filter(e -> e.getKey().startsWith(prefix))
                .filter(e -> e.getValue().stream().anyMatch(one -> one.startsWith("got signed"))).count();
    }

    private void awaitDelivered(String prefix, long count) throws InterruptedException {
        while (deliveredCount(prefix) < count) {
            Thread.sleep(5);
        }
    }

    /** Gone for an hour, beside one that is there; a restart in the middle; each answer arrives, with one content. */
    @Test
    void receiverDownForAnHourGetsAllAnswersWithoutDelayingOthers() throws Exception {
        List<String> urls = List.of(startReceiver(503, HOUR_MILLIS), startReceiver(503, 0), startReceiver(410, Double.POSITIVE_INFINITY));
        openOutbox(urls);
        for (int i = 0; i < 100; i++) {
            outbox.recoveredObserver(0, "gone-" + i, i, 0).onFinalAnswer(answer("gone-" + i));
            outbox.recoveredObserver(1, "there-" + i, i, 0).onFinalAnswer(answer("there-" + i));
        }
        awaitDelivered("there", 100);
        assertTrue(now() < HOUR_MILLIS || deliveredCount("gone") <= 100);
        outbox.recoveredObserver(2, "never", 1, 0).onFinalAnswer(answer("never"));
        while (outbox.hasEndpoint(2)) {
            Thread.sleep(5);
        }
        // Killed: what the ledger tells goes on where its schedule was.
        outbox.close();
        List<LedgerRecord> read = List.copyOf(ledgerRecords);
        LedgerState book = new LedgerState();
        read.forEach(book::apply);
        Map<String, Integer> tries = new HashMap<>();
        read.forEach(r -> {
            if (r instanceof LedgerRecord.DeliveryAttempted d) {
                tries.merge(d.id(), d.attempts(), Math::max);
            }
        });
        openOutbox(urls);
        for (int i = 0; i < 100; i++) {
            String id = "gone-" + i;
            if (deliveredCount(id + ".") == 0) {
                outbox.recoveredObserver(0, id, i, tries.getOrDefault(id, 0)).onFinalAnswer(book.find("c0", id).answer());
            }
        }
        awaitDelivered("gone", 100);
        received.forEach((id, sent) -> {
            assertEquals(1, sent.stream().map(s -> s.replaceAll("^(gone|got) ", "")).distinct().count(), id);
            assertTrue(sent.get(0).contains("signed"), id);
        });
        assertNull(received.get("never.answer").stream().filter(s -> s.startsWith("got")).findAny().orElse(null));
        assertEquals(0, counts.value("answers_given_up") - 1, "only the one whose endpoint said 410");
    }
}
