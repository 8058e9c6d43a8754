package gradereach.api;

/**
 * Limits load orders in any window: to a base plus a fraction of the inferences accepted in it.
 *
 * @param window milliseconds; 0 means no limit
 */
public record LoadOrderBudget(double baseOrders, double ordersPerInference, double window) { }
