package gradereach.api;

/**
 * A group of models, with the settings that apply to their inferences. Times are in milliseconds.
 *
 * @param dedupWindow time during which executors recognize a repeated forward
 * @param sloPerWork additional SLO time by expected work; not used by the policy
 * @param routeTimeout longest time until the final answer
 * @param value of an answer within the SLO time, in points
 * @param lateValueFraction fraction of the value that a late answer has
 * @param streamsAnswers whether answers may come in several parts
 */
public record ModelGroup(String name, RetrySafety retrySafety, DedupScope dedupScope, double dedupWindow,
        double sloTime, double sloPerWork, double routeTimeout, double value, double lateValueFraction,
        boolean streamsAnswers) { }
