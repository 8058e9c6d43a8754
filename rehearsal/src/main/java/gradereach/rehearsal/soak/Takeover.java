package gradereach.rehearsal.soak;

import java.util.Random;

/**
 * How the process of an executor gives way to another one at the same address, most often under another id.
 *
 * @param stalls for how long the old one is late with its answers before it ends
 * @param lingers for how long its connections stay then; 0 where they are reset at once
 * @param pause between two events that tell of it
 * @param seed of the new one's draws
 */
record Takeover(Announcement telling, long stalls, long lingers, long pause, long seed) {
    /** What the change log tells of it, and in which order. */
    enum Announcement {
        /** The old one has gone, then the new one is ready. */
        GONE_FIRST,
        /** One event: the new one is ready, the old one has gone. */
        READY_FIRST,
        /** The new one is ready; a while later, the old one has gone. */
        GONE_LATER,
        /** The new one is ready; the old one has gone by an event that cannot be read; a while later, the whole list. */
        UNREADABLE,
        /** A whole list in which both are ready; a while later, the old one has gone. */
        KEPT,
        /** The new one has the id of the old one, and another start. */
        SAME_ID
    }

    private static final int MAX_STALL_MILLIS = 400;
    private static final int MIN_LINGER_MILLIS = 500;
    private static final int LINGER_RANGE_MILLIS = 2000;
    private static final int MIN_GAP_MILLIS = 500;
    private static final int GAP_RANGE_MILLIS = 8000;

    static Takeover draw(Random own) {
        Announcement telling = Announcement.values()[own.nextInt(Announcement.values().length)];
        long stalls = own.nextInt(MAX_STALL_MILLIS);
        long lingers = own.nextBoolean() ? 0 : MIN_LINGER_MILLIS + own.nextInt(LINGER_RANGE_MILLIS);
        return new Takeover(telling, stalls, lingers, MIN_GAP_MILLIS + own.nextInt(GAP_RANGE_MILLIS), own.nextLong());
    }
}
