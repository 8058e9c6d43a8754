package gradereach.standins.frames;

import java.util.ArrayList;
import java.util.List;

/** Times in which front ends had no processor. */
final class StallIntervals {
    /** Within which a front end that goes on again reads and answers what lay there. */
    private static final double RECOVERY_MILLIS = 100;

    private record Stall(Object frontEnd, double from, double to) { }

    private final List<Stall> stalls = new ArrayList<>();

    void add(Object frontEnd, double from, double to) {
        stalls.add(new Stall(frontEnd, from, to));
    }

    /** Whether it had none then, or right before. */
    boolean coversOrJustEnded(Object frontEnd, double latest) {
        return stalls.stream().anyMatch(standstill -> standstill.frontEnd.equals(frontEnd)
                && standstill.from <= latest && latest <= standstill.to + RECOVERY_MILLIS);
    }

    /** All of one front end, as words. */
    String describeAll(Object frontEnd) {
        return stalls.stream().filter(standstill -> standstill.frontEnd.equals(frontEnd))
                .map(standstill -> "; stood still " + Math.round(standstill.from) + " to " + Math.round(standstill.to))
                .reduce("", String::concat);
    }

    /** How long before {@code latest} the last one had ended, as words. */
    String describeLastBefore(Object frontEnd, double latest) {
        return stalls.stream().filter(standstill -> standstill.frontEnd.equals(frontEnd) && standstill.to < latest)
                .mapToDouble(Stall::to).max().stream()
                .mapToObj(end -> ", " + Math.round(latest - end) + " ms before its limit a standstill had ended")
                .findAny().orElse("");
    }
}
