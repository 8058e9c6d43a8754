package gradereach.counts;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/** Named counters and limits of one front end. Thread-safe and non-blocking. */
public final class Counts {
    /** A bounded resource: its capacity, the amount in use and the number of rejections. */
    public static final class Limit {
        /** Value of the label {@code limit} in the metrics. */
        public final String name;
        /** {@link Long#MAX_VALUE} for a resource that is only counted. */
        public final long capacity;
        private final AtomicLong inUse = new AtomicLong();
        private final LongAdder rejections = new LongAdder();

        private Limit(String name, long capacity) {
            this.name = name;
            this.capacity = capacity;
        }

        /** Acquires {@code amount} if all of it is available; otherwise counts a rejection and returns false. */
        public boolean tryAcquire(long amount) {
            if (inUse.addAndGet(amount) > capacity) {
                inUse.addAndGet(-amount);
                rejections.increment();
                return false;
            }
            return true;
        }

        /** Returns an amount acquired before. */
        public void release(long amount) {
            inUse.addAndGet(-amount);
        }

        /** Counts a rejection by a check that is made elsewhere. */
        public void recordRejection() {
            rejections.increment();
        }

        /** Sets the amount in use, for a resource that a single thread counts itself. */
        public void setInUse(long amount) {
            inUse.lazySet(amount);
        }

        /** Returns the amount in use. */
        public long inUse() {
            return inUse.get();
        }

        /** Returns the number of rejections so far. */
        public long rejections() {
            return rejections.sum();
        }
    }

    private final Map<String, LongAdder> counters = new ConcurrentHashMap<>();
    private final Map<String, Limit> limits = new ConcurrentHashMap<>();

    /** Returns the counter of this name, created on first use. Hot paths should keep the reference instead of looking it up. */
    public LongAdder counter(String name) {
        return counters.computeIfAbsent(name, key -> new LongAdder());
    }

    /** Returns the limit of this name, created with {@code capacity} on first use. */
    public Limit limit(String name, long capacity) {
        return limits.computeIfAbsent(name, key -> new Limit(key, capacity));
    }

    /** Returns the value of a counter, 0 if nothing has been counted under this name. */
    public long value(String counter) {
        LongAdder adder = counters.get(counter);
        return adder == null ? 0 : adder.sum();
    }

    /** Returns all counters by name. */
    public Map<String, LongAdder> counters() {
        return counters;
    }

    /** Returns all limits. */
    public Collection<Limit> limits() {
        return limits.values();
    }
}
