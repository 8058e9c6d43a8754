package gradereach.delay;

/** How long something may take, from what was seen: the longest delay of late, fading. Any thread. */
public class RecentDelay {
    private final double decayMillis;
    private final double maxMillis;
    private double peakMillis;
    private double peakAt;

    /**
     * @param fadesMillis after which a delay counts for a third (1/e)
     * @param longestMillis above which a longer delay counts no more
     */
    public RecentDelay(double fadesMillis, double longestMillis) {
        this.decayMillis = fadesMillis;
        this.maxMillis = longestMillis;
    }

    /** One that took so many milliseconds. */
    public final synchronized void recordDelay(double millis, double now) {
        peakMillis = Math.max(margin(now), Math.min(maxMillis, millis));
        peakAt = now;
    }

    /** Milliseconds by which to be early. */
    public final synchronized double margin(double now) {
        return peakMillis * Math.exp((peakAt - now) / decayMillis);
    }
}
