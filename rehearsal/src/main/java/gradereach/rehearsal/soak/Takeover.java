package gradereach.rehearsal.soak;

import java.util.Random;

/**
 * How the process of an executor is replaced by another one at the same address, mostly under another id. The components are
 * printed under their names.
 *
 * @param telling how the change log announces it
 * @param stalls milliseconds by which the old process delays its answers before it ends
 * @param lingers milliseconds for which its connections stay open after that; 0 where they are reset at once
 * @param pause milliseconds between two events that announce it
 * @param seed seed of the random draws of the new process
 */
record Takeover(Announcement telling, long stalls, long lingers, long pause, long seed) {
    /** The events by which the change log announces the takeover, in their order. */
    enum Announcement {
        /** The old one is removed, then the new one is ready. */
        GONE_FIRST,
        /** One event: the new one is ready, the old one is removed. */
        READY_FIRST,
        /** The new one is ready; a while later, the old one is removed. */
        GONE_LATER,
        /** The new one is ready; the old one is removed by an unreadable event; a while later, the full list. */
        UNREADABLE,
        /** A full list in which both are ready; a while later, the old one is removed. */
        KEPT,
        /** The new one has the id of the old one and another start time. */
        SAME_ID
    }

    private static final int MAX_STALL_MILLIS = 400;
    private static final int MIN_LINGER_MILLIS = 500;
    private static final int LINGER_RANGE_MILLIS = 2000;
    private static final int MIN_GAP_MILLIS = 500;
    private static final int GAP_RANGE_MILLIS = 8000;

    /** Draws a random takeover. */
    static Takeover draw(Random random) {
        Announcement telling = Announcement.values()[random.nextInt(Announcement.values().length)];
        long stalls = random.nextInt(MAX_STALL_MILLIS);
        long lingers = random.nextBoolean() ? 0 : MIN_LINGER_MILLIS + random.nextInt(LINGER_RANGE_MILLIS);
        return new Takeover(telling, stalls, lingers, MIN_GAP_MILLIS + random.nextInt(GAP_RANGE_MILLIS), random.nextLong());
    }
}
