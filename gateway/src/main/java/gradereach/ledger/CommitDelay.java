package gradereach.ledger;

import gradereach.delay.RecentDelay;

/** Estimates how long a commit may take. Whatever must be durable before it is sent has to be decided earlier by this margin. */
public final class CommitDelay extends RecentDelay {
    private static final double DECAY_MILLIS = 10_000; // a disk is slow for some seconds at a time
    private static final double MAX_MILLIS = 500; // with a larger margin no message could be accepted

    public CommitDelay() {
        super(DECAY_MILLIS, MAX_MILLIS);
    }
}
