package gradereach.delay;

/** How long something may take, from what was seen: the longest delay of late, fading. Any thread. */
public class RecentDelay {
    private final double fadesMillis;
    private final double longestMillis;
    private double slowest;
    private double at;

    /**
     * @param fadesMillis after which a delay counts for a third (1/e)
     * @param longestMillis above which a longer delay counts no more
     */
    public RecentDelay(double fadesMillis, double longestMillis) {
        this.fadesMillis = fadesMillis;
        this.longestMillis = longestMillis;
    }

    /** One that took so many milliseconds. */
    public final synchronized void took(double millis, double now) {
        slowest = Math.max(margin(now), Math.min(longestMillis, millis));
        at = now;
    }

    /** Milliseconds by which to be early. */
    public final synchronized double margin(double now) {
        return slowest * Math.exp((at - now) / fadesMillis);
    }
}
