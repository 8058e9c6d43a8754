package gradereach.standins.prometheus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.measures.MetricFamily;
import gradereach.measures.ServiceMetrics;
import gradereach.remotewrite.Pusher;
import gradereach.remotewrite.SendQueue;
import gradereach.remotewrite.SendQueue.DropReason;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the pusher against failing receivers on loopback; accepted, dropped and pending samples always add up to the added ones. */
@Timeout(60)
class PusherTest {
    private static final SendQueue.Limits LIMITS = new SendQueue.Limits(2000, 1 << 20, 50, 1 << 16, 10, 60_000, 5, 50);
    private final AtomicLong counter = new AtomicLong();

    private Pusher newPusher(String name, String url, String version, SendQueue.Limits limits, int intervalMillis,
            MetricFamily.Source... moreSources) {
        MetricFamily.Source counterSource = families -> families.add(new MetricFamily("c", MetricFamily.Type.COUNTER, "", "help",
                List.of(new MetricFamily.Point(List.of("x", "1"), counter.incrementAndGet(), null, 5))));
        List<MetricFamily.Source> sources = new ArrayList<>(List.of(counterSource));
        sources.addAll(List.of(moreSources));
        return new Pusher(new Pusher.Receiver(URI.create(url), version.equals("1.0"), List.of("instance", name, "job", "gradereach"),
                name, intervalMillis, 300, 4, limits, 2000), sources, System::currentTimeMillis, new Random(1));
    }

    private static void waitUntil(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(2);
        }
    }

    private static long dropped(Pusher.PushStatistics statistics) {
        return Arrays.stream(statistics.dropped()).sum();
    }

    private static void assertSamplesAddUp(Pusher.PushStatistics statistics) {
        assertEquals(statistics.added(), statistics.accepted() + dropped(statistics) + statistics.pending(), statistics.toString());
    }

    /** After a temporary fault the receiver has exactly the accepted samples, and every lost sample is counted as dropped. */
    @ParameterizedTest
    @CsvSource({"none, 2.0, 0", "none, 1.0, 0", "drop-half, 2.0, 0", "drop-half, 1.0, 0", "429, 2.0, 0", "500, 2.0, 0", "reset, 2.0, 0",
        "hang, 2.0, 0", "only-one, 2.0, 0", "400-one, 2.0, 1"})
    void everySampleIsAccountedFor(String fault, String version, int losesSome) throws Exception {
        try (RemoteWriteServer receiver = new RemoteWriteServer()) {
            receiver.delayMillis = 1000;
            receiver.rejectedName = "c_total";
            receiver.fault = fault;
            Pusher pusher = newPusher("fe", receiver.url(), version, LIMITS, 20);
            pusher.start();
            waitUntil(() -> pusher.statistics().requests() >= 12 || fault.equals("429") && pusher.statistics().requests() >= 1
                    || fault.equals("hang") && pusher.statistics().failures() >= 2);
            assertSamplesAddUp(pusher.statistics());
            if (!fault.equals("only-one")) {
                receiver.fault = "none";
            }
            long before = receiver.store.sampleCount();
            waitUntil(() -> receiver.store.sampleCount() > before + 50);
            pusher.close();
            Pusher.PushStatistics end = pusher.statistics();
            assertSamplesAddUp(end);
            assertEquals(0, end.pending());
            assertEquals(losesSome > 0, dropped(end) > 0, end.toString());
            assertEquals(end.dropped(DropReason.REFUSED), dropped(end));
            assertEquals(0, receiver.store.outOfOrderCount());
            if (!fault.equals("hang")) { // samples of an answer that came too late were stored as well
                assertEquals(end.accepted(), receiver.acceptedSamples());
            }
            assertEquals(receiver.store.seriesCount(), receiver.store.endedSeriesCount(), "series without a stale marker");
            assertEquals(fault.equals("only-one") || version.equals("1.0"), receiver.requestsByVersion()[0] > 0);
            assertEquals(fault.equals("only-one") || version.equals("1.0") ? 0 : 1, Math.min(1, receiver.requestsByVersion()[1]));
        }
    }

    /**
     * The receiver never reads, or nothing listens: the queue limits hold, the oldest samples are dropped, and closing the pusher is
     * not delayed.
     */
    @ParameterizedTest
    @ValueSource(strings = {"never-reads", "nobody"})
    void unreachableReceiverUsesBoundedMemory(String receiverKind) throws Exception {
        SendQueue.Limits small = new SendQueue.Limits(60, 1 << 14, 50, 1 << 16, 10, 300, 5, 50);
        ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        try {
            String url = "http://127.0.0.1:" + silent.getLocalPort() + "/w";
            if (receiverKind.equals("nobody")) {
                silent.close();
            }
            Pusher pusher = newPusher("fe", url, "2.0", small, 10);
            pusher.start();
            waitUntil(() -> dropped(pusher.statistics()) > 300);
            assertSamplesAddUp(pusher.statistics());
            assertTrue(pusher.statistics().pending() <= 60 + 50 && pusher.statistics().bytes() <= 1 << 15, pusher.statistics().toString());
            pusher.close();
            assertSamplesAddUp(pusher.statistics());
            assertEquals(0, pusher.statistics().pending());
            assertEquals(0, pusher.statistics().accepted());
        } finally {
            silent.close();
        }
    }

    /** A restarted process continues the same series with counters that start anew, and without samples out of order. */
    @Test
    void restartContinuesSameSeries() throws Exception {
        try (RemoteWriteServer receiver = new RemoteWriteServer()) {
            for (int i = 0; i < 2; i++) {
                Pusher pusher = newPusher("fe", receiver.url(), "2.0", LIMITS, 20);
                pusher.start();
                long before = receiver.store.sampleCount();
                waitUntil(() -> receiver.store.sampleCount() > before + 40);
                pusher.close();
                Thread.sleep(5);
            }
            assertEquals(12, receiver.store.seriesCount(), "c, and the metrics of the pusher itself");
            assertEquals(0, receiver.store.outOfOrderCount());
        }
    }

    /** With a million model names only about fifty get series of their own, and the sum over all series is still the total. */
    @Test
    void modelSeriesCountIsBounded() throws Exception {
        ServiceMetrics service = new ServiceMetrics(List.of("g"), 50, System::currentTimeMillis);
        for (int i = 0; i < 1_000_000; i++) {
            long hash = i * 0x9e3779b97f4a7c15L;
            service.recordInference(0, "yard", 7, "m-" + i, (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L, ServiceMetrics.EndReason.RETURNED,
                    1, 1, true, 5, 1, 1);
        }
        try (RemoteWriteServer receiver = new RemoteWriteServer()) {
            Pusher pusher = newPusher("fe", receiver.url(), "2.0", LIMITS, 50, service);
            pusher.start();
            waitUntil(() -> receiver.store.sampleCount() > 1000);
            pusher.close();
            assertTrue(receiver.store.seriesCount() < 51 * 9 + 50, receiver.store.seriesCount() + " series");
            var sum = new Expression("sum(gradereach_model_inferences_total)", 300_000);
            // Search back for the last sample before the end of the series.
            long latest = System.currentTimeMillis();
            double total = Double.NaN;
            for (long t = latest; Double.isNaN(total) && t > latest - 10_000; t--) {
                var value = sum.evaluate(receiver.store, t);
                total = value.isEmpty() ? Double.NaN : value.values().iterator().next();
            }
            assertEquals(1_000_000.0, total);
        }
    }
}
