package gradereach.state;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Whom to look at again, and when; equal times in the order in which they were set. */
public final class TimerQueue {
    private record Timer(double dueAt, long sequence, Object subject) { }

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long nextSequence;

    public void schedule(double at, Object whom) {
        queue.add(new Timer(at, nextSequence++, whom));
    }

    /** The next one due by now, null if none is. */
    public Object pollDue(double now) {
        return nextDueAt() <= now ? queue.poll().subject() : null;
    }

    public double nextDueAt() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().dueAt();
    }
}
