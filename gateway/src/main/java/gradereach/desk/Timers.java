package gradereach.desk;

/** Alarms of the deciding thread; due ones come back through {@link Desk#due}. */
public interface Timers {
    /** {@code at} is module time in milliseconds; the result, with the same object, cancels it. */
    long schedule(double at, Object whom);

    /** Without effect where it fired. */
    void cancel(long timer, Object whom);
}
