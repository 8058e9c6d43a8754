package gradereach.state;

/** The part of what all front ends share that is this one's now, 0 to 1. */
public final class Share {
    public double part;
    /** When this one began; another under its name may have spent its part until then. */
    public double since = Double.NaN;

    public Share(double part) {
        this.part = part;
    }
}
