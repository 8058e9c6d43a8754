package gradereach.remotewrite;

import java.nio.charset.StandardCharsets;

/**
 * When one of many front ends collects and pushes: every interval, at a point of it that its name alone decides, so that sixty that
 * restart at once do not push at once, now or ever after. Unix milliseconds; no clock.
 */
public final class PushSchedule {
    private final long interval;
    private final long offsetMillis;
    private long lastTimestamp = Long.MIN_VALUE / 2;

    public PushSchedule(String instance, long intervalMillis) {
        interval = intervalMillis;
        long h = 0xcbf29ce484222325L;
        for (byte b : instance.getBytes(StandardCharsets.UTF_8)) {
            h = (h ^ b & 0xff) * 0x100000001b3L;
        }
        // FNV's low bits of like names are alike; its high ones are not.
        h = (h ^ h >>> 32) * 0xd6e8feb86659fd93L;
        offsetMillis = Math.floorMod(h ^ h >>> 32, interval);
    }

    /**
     * The time that a collection is stamped with. Receivers refuse a second sample of a series for one time, so a stamp is later
     * than the one before, also where the clock went back a little; where it went back by more than an interval it is followed, and
     * what the receiver makes of that is up to its out-of-order window.
     */
    public long nextTimestamp(long now) {
        lastTimestamp = now > lastTimestamp || lastTimestamp - now > interval ? now : lastTimestamp + 1;
        return lastTimestamp;
    }

    /** The first turn after {@code now}. A clock that was set back or forward moves turns, not their distance. */
    public long nextPushAt(long now) {
        return now + interval - Math.floorMod(now - offsetMillis, interval);
    }
}
