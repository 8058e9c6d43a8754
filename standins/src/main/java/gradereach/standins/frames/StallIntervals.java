package gradereach.standins.frames;

import java.util.ArrayList;
import java.util.List;

/** Intervals in which front ends got no processor time, in milliseconds of the auditor's clock. */
final class StallIntervals {
    /** Time that a front end needs after a stall to read and answer the pending requests. */
    private static final double RECOVERY_MILLIS = 100;

    /** One stall of a front end. */
    private record Stall(Object frontEnd, double startedAt, double endedAt) { }

    private final List<Stall> stalls = new ArrayList<>();

    void add(Object frontEnd, double startedAt, double endedAt) {
        stalls.add(new Stall(frontEnd, startedAt, endedAt));
    }

    /** Whether the front end was stalled at this time or shortly before. */
    boolean isStalledOrRecovering(Object frontEnd, double time) {
        return stalls.stream().anyMatch(stall -> stall.frontEnd.equals(frontEnd)
                && stall.startedAt <= time && time <= stall.endedAt + RECOVERY_MILLIS);
    }

    /** Describes all stalls of a front end. */
    String describeAll(Object frontEnd) {
        return stalls.stream().filter(stall -> stall.frontEnd.equals(frontEnd))
                .map(stall -> "; stalled from " + Math.round(stall.startedAt) + " to " + Math.round(stall.endedAt))
                .reduce("", String::concat);
    }

    /** Describes how long before {@code limit} the last stall of a front end ended; empty if there was none. */
    String describeLastBefore(Object frontEnd, double limit) {
        return stalls.stream().filter(stall -> stall.frontEnd.equals(frontEnd) && stall.endedAt < limit)
                .mapToDouble(Stall::endedAt).max().stream()
                .mapToObj(end -> ", a stall ended " + Math.round(limit - end) + " ms before its limit")
                .findAny().orElse("");
    }
}
