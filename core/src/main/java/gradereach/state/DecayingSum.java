package gradereach.state;

/** A sum that decays exponentially, to about a third within the time constant that is given with each call. */
public final class DecayingSum {
    private double sum;
    private double updatedAt;

    public double value(double now, double timeConstant) {
        return sum == 0 ? 0 : sum * Math.exp((updatedAt - now) / timeConstant);
    }

    public void add(double amount, double now, double timeConstant) {
        sum = value(now, timeConstant) + amount;
        updatedAt = now;
    }

    public void set(double value, double now) {
        sum = value;
        updatedAt = now;
    }
}
