package gradereach.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import gradereach.counts.Counts;
import gradereach.desk.Ledger;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
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

/** Webhook deliveries to receivers on loopback, on a clock that runs three thousand times as fast as real time. */
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

    /** Shortens delays by the same factor. */
    private static final class AcceleratedExecutor extends ScheduledThreadPoolExecutor {
        AcceleratedExecutor() {
            super(1);
            setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            return super.schedule(task, (long) (unit.toNanos(delay) / SPEEDUP), TimeUnit.NANOSECONDS);
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
        public void append(LedgerRecord record, AppendCallback callback) {
            ledgerRecords.add(record);
            callback.onComplete(true);
        }
    };

    /** Starts a receiver that responds with {@code status} until {@code downUntil} and with 204 afterwards. Returns its URL. */
    private String startReceiver(int status, double downUntil) throws Exception {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 16);
        server.createContext("/", exchange -> {
            byte[] body = exchange.getRequestBody().readAllBytes();
            String id = exchange.getRequestHeaders().getFirst("webhook-id");
            String timestamp = exchange.getRequestHeaders().getFirst("webhook-timestamp");
            // Verified at the message's own time: the tolerance is 0.1 s of real time here, and a machine may stall for longer.
            boolean valid = new KeyRing(List.of(List.of(key))).verify(id, timestamp,
                    exchange.getRequestHeaders().getFirst("webhook-signature"), body, Long.parseLong(timestamp), 0).rejection() == null;
            boolean down = now() < downUntil;
            received.computeIfAbsent(id, k -> new java.util.concurrent.CopyOnWriteArrayList<>())
                    .add((down ? "gone " : "got ") + (valid ? "signed " : "forged ") + new String(body));
            exchange.sendResponseHeaders(down ? status : 204, -1);
            exchange.close();
        });
        server.start();
        receivers.add(server);
        return "http://127.0.0.1:" + server.getAddress().getPort() + "/";
    }

    private long unixSeconds() {
        return 1_800_000_000L + (long) (now() / 1000);
    }

    private Outbox openOutbox(List<String> urls) {
        List<String> customerNames = new ArrayList<>();
        List<List<WebhookKey>> keys = new ArrayList<>();
        for (int i = 0; i < urls.size(); i++) {
            customerNames.add("c" + i);
            keys.add(List.of(key));
        }
        outbox = new Outbox(customerNames, urls, keys, ledger, 1000, new AcceleratedExecutor(), this::now,
                () -> unixSeconds() * 1000, counts);
        return outbox;
    }

    @AfterEach
    void tearDown() {
        outbox.close();
        receivers.forEach(receiver -> receiver.stop(0));
    }

    private static FinalAnswer answer(String id) {
        return FinalAnswer.returned(id, "m", "{}".getBytes(), Instant.EPOCH);
    }

    private long deliveredCount(String prefix) {
        return received.entrySet().stream().filter(entry -> entry.getKey().startsWith(prefix))
                .filter(entry -> entry.getValue().stream().anyMatch(body -> body.startsWith("got signed"))).count();
    }

    private void awaitDelivered(String prefix, long count) throws InterruptedException {
        while (deliveredCount(prefix) < count) {
            Thread.sleep(5);
        }
    }

    /**
     * One receiver fails for an hour beside one that works, with a restart in between. Guards against lost answers, answers
     * with different content, and receivers that delay others.
     */
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
        // Restart: deliveries that the ledger has as pending continue at the attempt that they had reached.
        outbox.close();
        List<LedgerRecord> recovered = List.copyOf(ledgerRecords);
        LedgerState ledgerState = new LedgerState();
        recovered.forEach(ledgerState::apply);
        Map<String, Integer> attemptsById = new HashMap<>();
        recovered.forEach(record -> {
            if (record instanceof LedgerRecord.DeliveryAttempted attempt) {
                attemptsById.merge(attempt.id(), attempt.attempts(), Math::max);
            }
        });
        openOutbox(urls);
        for (int i = 0; i < 100; i++) {
            String id = "gone-" + i;
            if (deliveredCount(id + ".") == 0) {
                outbox.recoveredObserver(0, id, i, attemptsById.getOrDefault(id, 0)).onFinalAnswer(ledgerState.find("c0", id).answer());
            }
        }
        awaitDelivered("gone", 100);
        received.forEach((id, bodies) -> {
            assertEquals(1, bodies.stream().map(body -> body.replaceAll("^(gone|got) ", "")).distinct().count(), id);
            assertTrue(bodies.get(0).contains("signed"), id);
        });
        assertNull(received.get("never.answer").stream().filter(body -> body.startsWith("got")).findAny().orElse(null));
        assertEquals(0, counts.value("answers_given_up") - 1, "only the one whose endpoint said 410");
    }
}
