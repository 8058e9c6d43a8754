package gradereach.api;

/**
 * A customer.
 *
 * @param share not used by the policy
 * @param quotaPerSecond inferences per second that have full value, over all front ends
 */
public record Customer(String name, double share, double quotaPerSecond) { }
