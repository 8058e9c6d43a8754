package gradereach.state;

/** A sum that fades by the spans its users state. */
public final class DecayingSum {
    private double sum;
    private double updatedAt;

    public double value(double now, double span) {
        return sum == 0 ? 0 : sum * Math.exp((updatedAt - now) / span);
    }

    public void add(double more, double now, double span) {
        sum = value(now, span) + more;
        updatedAt = now;
    }

    public void set(double value, double now) {
        sum = value;
        updatedAt = now;
    }
}
