package gradereach.api;

/**
 * A kind of inference, as configured by the operator. Times are in milliseconds.
 *
 * @param dedupWindow time during which executors recognize a repeated forward
 * @param sloPerWork additional SLO time by expected work
 * @param value of an answer within the SLO time
 * @param lateValueFraction fraction of the value that a late answer has
 */
public record ModelGroup(String name, RetrySafety retrySafety, DedupScope dedupScope, double dedupWindow,
        double sloTime, double sloPerWork, double routeTimeout, double value, double lateValueFraction, boolean streamsAnswers) { }
