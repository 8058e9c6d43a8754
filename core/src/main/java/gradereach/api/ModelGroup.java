package gradereach.api;

/** One kind of inference as the operator describes it; times in milliseconds. */
public record ModelGroup(String name, RetrySafety retrySafety, DedupScope dedupScope, double dedupWindow,
        double sloTime, double sloPerWork, double routeTimeout, double value, double lateValueFraction, boolean streaming) { }
