package gradereach.api;

/**
 * Limits the load orders in any window (rule 5): to a base number plus a fraction of the inferences accepted in it.
 *
 * @param window milliseconds; 0 means no limit
 */
public record LoadOrderBudget(double baseOrders, double ordersPerInference, double window) { }
