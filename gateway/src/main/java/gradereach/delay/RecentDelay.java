package gradereach.delay;

/** The longest recently observed delay of some operation, decaying exponentially over time. Thread-safe. */
public class RecentDelay {
    private final double decayMillis;
    private final double maxMillis;
    private double peakMillis;
    private double peakAt;

    /**
     * @param decayMillis time constant: a delay counts for 1/e after this time
     * @param maxMillis longer delays count as this one
     */
    public RecentDelay(double decayMillis, double maxMillis) {
        this.decayMillis = decayMillis;
        this.maxMillis = maxMillis;
    }

    /** Records that an operation was delayed by so many milliseconds. */
    public final synchronized void recordDelay(double millis, double now) {
        peakMillis = Math.max(margin(now), Math.min(maxMillis, millis));
        peakAt = now;
    }

    /** How many milliseconds early to start so as to allow for the delay. */
    public final synchronized double margin(double now) {
        return peakMillis * Math.exp((peakAt - now) / decayMillis);
    }
}
