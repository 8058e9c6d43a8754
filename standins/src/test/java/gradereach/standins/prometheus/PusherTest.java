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

/** The pusher on loopback against receivers that fail: what is sent, accepted, let go and held always adds up. */
@Timeout(60)
class PusherTest {
    private static final SendQueue.Limits LIMITS = new SendQueue.Limits(2000, 1 << 20, 50, 1 << 16, 10, 60_000, 5, 50);
    private final AtomicLong counter = new AtomicLong();

    private Pusher pusher(String name, String url, String version, SendQueue.Limits bounds, int interval, MetricFamily.Source... more) {
        MetricFamily.Source own = into -> into.add(new MetricFamily("c", MetricFamily.Type.COUNTER, "", "help",
                List.of(new MetricFamily.Point(List.of("x", "1"), counter.incrementAndGet(), null, 5))));
        List<MetricFamily.Source> all = new ArrayList<>(List.of(own));
        all.addAll(List.of(more));
        return new Pusher(new Pusher.Receiver(URI.create(url), version.equals("1.0"), List.of("instance", name, "job", "gradereach"),
                name, interval, 300, 4, bounds, 2000), all, System::currentTimeMillis, new Random(1));
    }

    private static void waitUntil(BooleanSupplier holds) throws InterruptedException {
        while (!holds.getAsBoolean()) {
            Thread.sleep(2);
        }
    }

    private static long dropped(Pusher.PushStatistics tally) {
        return Arrays.stream(tally.dropped()).sum();
    }

    private static void assertSamplesAddUp(Pusher.PushStatistics tally) {
        assertEquals(tally.added(), tally.accepted() + dropped(tally) + tally.pending(), tally.toString());
    }

    /** A fault for a while, then none: what the receiver has is what was accepted, and what is lost is accounted for. */
    @ParameterizedTest
    @CsvSource({"none, 2.0, 0", "none, 1.0, 0", "drop-half, 2.0, 0", "drop-half, 1.0, 0", "429, 2.0, 0", "500, 2.0, 0", "reset, 2.0, 0",
        "hang, 2.0, 0", "only-one, 2.0, 0", "400-one, 2.0, 1"})
    void everySampleIsAccountedFor(String fault, String version, int losesSome) throws Exception {
        try (RemoteWriteServer receiver = new RemoteWriteServer()) {
            receiver.delayMillis = 1000;
            receiver.rejectedName = "c_total";
            receiver.fault = fault;
            Pusher pusher = pusher("fe", receiver.url(), version, LIMITS, 20);
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
            if (!fault.equals("hang")) { // an answer that came too late was a write all the same
                assertEquals(end.accepted(), receiver.acceptedSamples());
            }
            assertEquals(receiver.store.seriesCount(), receiver.store.endedSeriesCount(), "series without an end");
            assertEquals(fault.equals("only-one") || version.equals("1.0"), receiver.requestsByVersion()[0] > 0);
            assertEquals(fault.equals("only-one") || version.equals("1.0") ? 0 : 1, Math.min(1, receiver.requestsByVersion()[1]));
        }
    }

    /** Accepts connections and never reads; or nobody is there: bounds hold, the oldest are let go, and a stop is not held up. */
    @ParameterizedTest
    @ValueSource(strings = {"never-reads", "nobody"})
    void unreachableReceiverUsesBoundedMemory(String how) throws Exception {
        SendQueue.Limits small = new SendQueue.Limits(60, 1 << 14, 50, 1 << 16, 10, 300, 5, 50);
        ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        try {
            String url = "http://127.0.0.1:" + silent.getLocalPort() + "/w";
            if (how.equals("nobody")) {
                silent.close();
            }
            Pusher pusher = pusher("fe", url, "2.0", small, 10);
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

    /** A restart goes on with the same series, and says that they count anew. */
    @Test
    void restartContinuesSameSeries() throws Exception {
        try (RemoteWriteServer receiver = new RemoteWriteServer()) {
            for (int i = 0; i < 2; i++) {
                Pusher pusher = pusher("fe", receiver.url(), "2.0", LIMITS, 20);
                pusher.start();
                long before = receiver.store.sampleCount();
                waitUntil(() -> receiver.store.sampleCount() > before + 40);
                pusher.close();
                Thread.sleep(5);
            }
            assertEquals(12, receiver.store.seriesCount(), "c, and what is said of the pushing itself");
            assertEquals(0, receiver.store.outOfOrderCount());
        }
    }

    /** A million model names: some fifty have series, the sum over all is what was counted. */
    @Test
    void modelSeriesCountIsBounded() throws Exception {
        ServiceMetrics service = new ServiceMetrics(List.of("g"), 50, System::currentTimeMillis);
        for (int i = 0; i < 1_000_000; i++) {
            long hash = i * 0x9e3779b97f4a7c15L;
            service.recordInference(0, "yard", 7, "m-" + i, (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L, ServiceMetrics.EndReason.RETURNED, 1, 1, true, 5, 1, 1);
        }
        try (RemoteWriteServer receiver = new RemoteWriteServer()) {
            Pusher pusher = pusher("fe", receiver.url(), "2.0", LIMITS, 50, service);
            pusher.start();
            waitUntil(() -> receiver.store.sampleCount() > 1000);
            pusher.close();
            assertTrue(receiver.store.seriesCount() < 51 * 9 + 50, receiver.store.seriesCount() + " series");
            var sum = new Expression("sum(gradereach_model_inferences_total)", 300_000);
            // The last sample before the series' end.
            long at = System.currentTimeMillis();
            double all = Double.NaN;
            for (long t = at; Double.isNaN(all) && t > at - 10_000; t--) {
                var value = sum.evaluate(receiver.store, t);
                all = value.isEmpty() ? Double.NaN : value.values().iterator().next();
            }
            assertEquals(1_000_000.0, all);
        }
    }
}
