package gradereach.delay;

/**
 * How long a final answer takes from when it is due until its bytes are handed to the socket: the deciding thread comes
 * late to a deadline, and the event loop comes late to the answer. A front end on a busy machine plans its refusals that
 * much earlier. Any thread.
 */
public final class AnswerDelay {
    private static final double FADES_MILLIS = 10_000; // as long as a busy spell of a machine lasts
    /** Of either part. Both together stay within the slack of a deadline that is passed on (150 ms). */
    private static final double LONGEST_MILLIS = 60;
    /** A client with little time keeps most of it. */
    private static final double LARGEST_SHARE = 0.25;

    private final RecentDelay decisions = new RecentDelay(FADES_MILLIS, LONGEST_MILLIS);
    private final RecentDelay writes = new RecentDelay(FADES_MILLIS, LONGEST_MILLIS);

    /** The deciding thread was done with what was due so many milliseconds before. */
    public void decided(double late, double now) {
        decisions.took(late, now);
    }

    /** An answer was handed to its socket so many milliseconds after it was decided. */
    public void written(double took, double now) {
        writes.took(took, now);
    }

    /** Milliseconds by which to be early with the answer to a client that waits {@code budget} milliseconds. */
    public double margin(double budget, double now) {
        return Math.min(LARGEST_SHARE * budget, decisions.margin(now) + writes.margin(now));
    }
}
