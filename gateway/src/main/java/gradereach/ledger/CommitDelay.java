package gradereach.ledger;

import gradereach.delay.RecentDelay;

/** How long a commit may take. What must be durable before it leaves needs its deadline that much earlier. */
public final class CommitDelay extends RecentDelay {
    private static final double DECAY_MILLIS = 10_000; // a slow spell of a disk lasts seconds; then it is forgotten
    private static final double MAX_MILLIS = 500; // a longer one is not waited for, or nothing would be taken

    public CommitDelay() {
        super(DECAY_MILLIS, MAX_MILLIS);
    }
}
