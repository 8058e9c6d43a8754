package gradereach.state;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Objects that are due at given times. Objects with equal times are due in the order in which they were scheduled. */
public final class TimerQueue {
    private record Timer(double dueAt, long sequence, Object subject) { }

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::dueAt).thenComparingLong(Timer::sequence));
    private long nextSequence;

    public void schedule(double dueAt, Object subject) {
        queue.add(new Timer(dueAt, nextSequence++, subject));
    }

    /** Removes and returns the next object that is due; null if none is. */
    public Object pollDue(double now) {
        return nextDueAt() <= now ? queue.poll().subject() : null;
    }

    /** Returns when the next object is due; positive infinity if the queue is empty. */
    public double nextDueAt() {
        return queue.isEmpty() ? Double.POSITIVE_INFINITY : queue.peek().dueAt();
    }
}
