package gradereach.desk;

import gradereach.state.Model;

/** A load order or a question on its way to an executor. */
public final class Order {
    public final Place place;
    public final String modelName;
    /** Copies to hold; 0 only asks. */
    public final int copies;
    /** How long the executor may take, milliseconds. */
    public final double patience;
    final Model model;
    final int era;
    final double sentAt;
    long timer;
    volatile boolean ended;

    Order(Place place, String modelName, Model model, int copies, int era, double sentAt, double patience) {
        this.place = place;
        this.modelName = modelName;
        this.model = model;
        this.copies = copies;
        this.era = era;
        this.sentAt = sentAt;
        this.patience = patience;
    }

    /** Whether its end is still waited for: a link that has not sent it yet need not, once it is not. */
    public boolean wanted() {
        return !ended;
    }
}
