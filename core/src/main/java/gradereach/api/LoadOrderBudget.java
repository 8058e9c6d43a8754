package gradereach.api;

/** Load orders allowed in any span: a few plus a share of the inferences taken; span 0 means no ration. */
public record LoadOrderBudget(double baseOrders, double ordersPerInference, double window) { }
