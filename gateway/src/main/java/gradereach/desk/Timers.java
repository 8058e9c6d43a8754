package gradereach.desk;

/** Timers of the decision thread; those that expire are passed to {@link InferenceCoordinator#onTimer}. */
public interface Timers {
    /**
     * Schedules a timer.
     *
     * @param dueAt monotonic time in milliseconds
     * @return the timer's id, which cancels it together with the same target
     */
    long schedule(double dueAt, Object target);

    /** Cancels a timer; without effect where it has already fired. */
    void cancel(long timerId, Object target);
}
