package gradereach.remotewrite;

import java.nio.charset.StandardCharsets;

/**
 * Decides when a front end collects and pushes: once an interval, at an offset derived from its name, so that sixty front ends that
 * restart together do not push together, neither at first nor later. All times are Unix milliseconds, given by the caller.
 */
public final class PushSchedule {
    private final long intervalMillis;
    private final long offsetMillis;
    private long lastTimestamp = Long.MIN_VALUE / 2;

    public PushSchedule(String instance, long intervalMillis) {
        this.intervalMillis = intervalMillis;
        long hash = 0xcbf29ce484222325L;
        for (byte b : instance.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ b & 0xff) * 0x100000001b3L;
        }
        // Similar names have similar low bits in FNV-1a, so the high bits are mixed in.
        hash = (hash ^ hash >>> 32) * 0xd6e8feb86659fd93L;
        offsetMillis = Math.floorMod(hash ^ hash >>> 32, this.intervalMillis);
    }

    /**
     * The timestamp of a collection. Receivers reject a second sample of a series with the same timestamp, so each timestamp is later
     * than the one before, also if the clock was set back by up to an interval. If it was set back further, timestamps continue from
     * the new time; the receiver's out-of-order window decides whether those samples are accepted.
     */
    public long nextTimestamp(long now) {
        lastTimestamp = now > lastTimestamp || lastTimestamp - now > intervalMillis ? now : lastTimestamp + 1;
        return lastTimestamp;
    }

    /** The first push time after {@code now}. Setting the clock shifts push times, not the interval between them. */
    public long nextPushAt(long now) {
        return now + intervalMillis - Math.floorMod(now - offsetMillis, intervalMillis);
    }
}
