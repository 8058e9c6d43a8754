package gradereach.counts;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** Named counters and limits of one front end: any thread counts, any thread reads, nobody waits. */
public final class Counts {
    /** Something bounded: its bound, how much of it is in use, how often it said no. */
    public static final class Limit {
        public final String name;
        public final long capacity;
        private final AtomicLong inUse = new AtomicLong();
        private final LongAdder rejections = new LongAdder();

        private Limit(String name, long bound) {
            this.name = name;
            this.capacity = bound;
        }

        /** Takes {@code amount} if there is room for all of it; counts a refusal otherwise. */
        public boolean tryAcquire(long amount) {
            if (inUse.addAndGet(amount) > capacity) {
                inUse.addAndGet(-amount);
                rejections.increment();
                return false;
            }
            return true;
        }

        public void release(long amount) {
            inUse.addAndGet(-amount);
        }

        /** For what is bounded elsewhere: counts a no. */
        public void recordRejection() {
            rejections.increment();
        }

        /** For what one thread keeps count of by itself. */
        public void inUse(long amount) {
            inUse.lazySet(amount);
        }

        public long inUse() {
            return inUse.get();
        }

        public long rejections() {
            return rejections.sum();
        }
    }

    private final Map<String, LongAdder> counters = new ConcurrentHashMap<>();
    private final Map<String, Limit> limits = new ConcurrentHashMap<>();

    /** The counter of that name, made when first asked for; keep it, do not look it up on a hot path. */
    public LongAdder counter(String name) {
        return counters.computeIfAbsent(name, n -> new LongAdder());
    }

    public Limit limit(String name, long bound) {
        return limits.computeIfAbsent(name, n -> new Limit(n, bound));
    }

    public long value(String counter) {
        LongAdder adder = counters.get(counter);
        return adder == null ? 0 : adder.sum();
    }

    public Map<String, LongAdder> counters() {
        return counters;
    }

    public Collection<Limit> limits() {
        return limits.values();
    }
}
