package gradereach.state;

/** The part of what all front ends share that is this one's now, 0 to 1. */
public final class FrontEndShare {
    public double fraction;
    /** When this one began; another under its name may have spent its part until then. */
    public double startedAt = Double.NaN;

    public FrontEndShare(double part) {
        this.fraction = part;
    }
}
