package gradereach.ledger;

import gradereach.delay.RecentDelay;

/** How long a commit may take. What must be durable before it leaves needs its deadline that much earlier. */
public final class CommitPace extends RecentDelay {
    private static final double FADES_MILLIS = 10_000; // a slow spell of a disk lasts seconds; then it is forgotten
    private static final double LONGEST_MILLIS = 500; // a longer one is not waited for, or nothing would be taken

    public CommitPace() {
        super(FADES_MILLIS, LONGEST_MILLIS);
    }
}
