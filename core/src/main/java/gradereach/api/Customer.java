package gradereach.api;

/**
 * A customer.
 *
 * @param quotaPerSecond inferences per second that have full value, over all front ends
 */
public record Customer(String name, double share, double quotaPerSecond) { }
