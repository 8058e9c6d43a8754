package gradereach.benchmarks;

import gradereach.measures.DurationHistogram;
import gradereach.measures.ServiceMetrics;
import gradereach.measures.TopNames;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures what it costs the decision thread to record the end of an inference, and compares the parts with simpler methods. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class Recording {
    private static final int NAMES = 1 << 20;
    private final String[] names = new String[NAMES];
    private final long[] hashes = new long[NAMES];
    private final int[] nameIndexes = new int[1 << 16];
    private int nextDraw;
    private ServiceMetrics serviceMetrics;
    private TopNames frequentNames;
    private Map<String, long[]> plainCounts;
    private DurationHistogram durationHistogram;
    private Histogram prometheusHistogram;

    @Setup
    public void setUp() {
        java.util.Random random = new java.util.Random(1);
        for (int i = 0; i < NAMES; i++) {
            names[i] = "model-" + i;
            long hash = names[i].hashCode() * 0x9e3779b97f4a7c15L;
            hashes[i] = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
        }
        for (int i = 0; i < nameIndexes.length; i++) {
            nameIndexes[i] = (int) Math.min(NAMES - 1, Math.exp(random.nextDouble() * Math.log(NAMES))); // Zipf with exponent 1
        }
        serviceMetrics = new ServiceMetrics(List.of("a", "b"), 50, System::currentTimeMillis);
        frequentNames = new TopNames(50, slot -> { });
        plainCounts = new HashMap<>();
        durationHistogram = new DurationHistogram(0);
        prometheusHistogram = Histogram.builder().name("h").nativeOnly().nativeInitialSchema(2).build();
    }

    private int nextNameIndex() {
        return nameIndexes[nextDraw++ & nameIndexes.length - 1];
    }

    @Benchmark
    public void recordInference() {
        int n = nextNameIndex();
        serviceMetrics.recordInference(n & 1, names[n & 15], hashes[n & 15], names[n], hashes[n],
                ServiceMetrics.EndReason.RETURNED, 1, 1, true, 12.5, 0.4, 1);
    }

    @Benchmark
    public int topNames() {
        int n = nextNameIndex();
        return frequentNames.recordUse(names[n], hashes[n]);
    }

    @Benchmark
    public long plainMapOfNames() {
        return ++plainCounts.computeIfAbsent(names[nextNameIndex()], name -> new long[1])[0];
    }

    @Benchmark
    public void durationHistogram() {
        durationHistogram.record(nextNameIndex() * 0.01);
    }

    @Benchmark
    public void prometheusHistogram() {
        prometheusHistogram.observe(nextNameIndex() * 0.00001);
    }
}
