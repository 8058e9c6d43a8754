package gradereach.standins.frames;

import java.util.ArrayList;
import java.util.List;

/** Intervals in which front ends got no processor time. */
final class StallIntervals {
    /** Time that a front end needs after a stall to read and answer the pending requests. */
    private static final double RECOVERY_MILLIS = 100;

    /** One stall of a front end. */
    private record Stall(Object frontEnd, double from, double to) { }

    private final List<Stall> stalls = new ArrayList<>();

    void add(Object frontEnd, double from, double to) {
        stalls.add(new Stall(frontEnd, from, to));
    }

    /** Whether the front end was stalled at {@code latest} or shortly before. */
    boolean isStalledOrRecovering(Object frontEnd, double latest) {
        return stalls.stream().anyMatch(stall -> stall.frontEnd.equals(frontEnd)
                && stall.from <= latest && latest <= stall.to + RECOVERY_MILLIS);
    }

    /** Describes all stalls of a front end. */
    String describeAll(Object frontEnd) {
        return stalls.stream().filter(stall -> stall.frontEnd.equals(frontEnd))
                .map(stall -> "; stood still " + Math.round(stall.from) + " to " + Math.round(stall.to))
                .reduce("", String::concat);
    }

    /** Describes how long before {@code latest} the last stall of a front end ended. */
    String describeLastBefore(Object frontEnd, double latest) {
        return stalls.stream().filter(stall -> stall.frontEnd.equals(frontEnd) && stall.to < latest)
                .mapToDouble(Stall::to).max().stream()
                .mapToObj(end -> ", " + Math.round(latest - end) + " ms before its limit a standstill had ended")
                .findAny().orElse("");
    }
}
