package gradereach.measures;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * An exponential histogram of durations with four buckets per power of two (schema 2), from a microsecond to an hour. One thread
 * records without allocating, any thread reads. The bucket of a duration is found from its binary exponent and a few comparisons. The
 * Prometheus client's own histogram is made for many writers, which costs more (the benchmark Recording compares the two).
 */
public final class DurationHistogram {
    /** Schema of a Prometheus native histogram: 2^2 buckets per power of two. */
    public static final int SCHEMA = 2;
    /** Shorter durations are counted as zero. */
    public static final double ZERO_THRESHOLD_SECONDS = 1e-6;
    private static final int BUCKETS_PER_DOUBLING = 1 << SCHEMA;
    /** Buckets end at 2^(i/4) seconds: from 2^-20 (a microsecond) to 2^12 (an hour and more). */
    private static final int FIRST_BUCKET = -20 * BUCKETS_PER_DOUBLING;
    private static final int BUCKET_COUNT = 32 * BUCKETS_PER_DOUBLING;
    /** 2^(1/4), 2^(2/4), 2^(3/4): upper bounds of the buckets within [1, 2). */
    private static final double[] BUCKET_BOUNDS = {1, Math.pow(2, 0.25), Math.pow(2, 0.5), Math.pow(2, 0.75)};

    private final AtomicLongArray counts = new AtomicLongArray(BUCKET_COUNT);
    private final AtomicLong zeroCount = new AtomicLong();
    private final AtomicLong sumNanos = new AtomicLong();
    private final long createdMillis;

    public DurationHistogram(long nowMillis) {
        createdMillis = nowMillis;
    }

    /** Records one duration. */
    public void record(double millis) {
        double seconds = millis / 1000;
        sumNanos.lazySet(sumNanos.getPlain() + (long) (millis * 1e6));
        if (seconds < ZERO_THRESHOLD_SECONDS) {
            zeroCount.lazySet(zeroCount.getPlain() + 1);
            return;
        }
        int i = Math.max(0, Math.min(BUCKET_COUNT - 1, bucketIndex(seconds) - FIRST_BUCKET));
        counts.lazySet(i, counts.getPlain(i) + 1);
    }

    /** The index i of the bucket (2^((i-1)/4), 2^(i/4)] that contains a value. */
    static int bucketIndex(double value) {
        int exponent = Math.getExponent(value);
        double mantissa = value / Math.scalb(1.0, exponent);
        int offset = mantissa > BUCKET_BOUNDS[2] ? mantissa > BUCKET_BOUNDS[3] ? 4 : 3
                : mantissa > BUCKET_BOUNDS[1] ? 2 : mantissa > BUCKET_BOUNDS[0] ? 1 : 0;
        return exponent * BUCKETS_PER_DOUBLING + offset;
    }

    /** The buckets from the first to the last that is not empty. */
    public MetricFamily.Buckets snapshot() {
        long[] all = new long[BUCKET_COUNT];
        long count = zeroCount.get();
        int firstNonEmpty = BUCKET_COUNT;
        int endNonEmpty = 0;
        for (int i = 0; i < BUCKET_COUNT; i++) {
            all[i] = counts.get(i);
            count += all[i];
            if (all[i] > 0) {
                firstNonEmpty = Math.min(firstNonEmpty, i);
                endNonEmpty = i + 1;
            }
        }
        long[] nonEmptyRange = firstNonEmpty < endNonEmpty ? java.util.Arrays.copyOfRange(all, firstNonEmpty, endNonEmpty)
                : new long[0];
        return new MetricFamily.Buckets(SCHEMA, count, sumNanos.get() / 1e9,
                firstNonEmpty < endNonEmpty ? FIRST_BUCKET + firstNonEmpty : 0, nonEmptyRange, zeroCount.get());
    }

    /** Unix time at which counting began. */
    public long createdMillis() {
        return createdMillis;
    }
}
