package gradereach.state;

/** The fraction of shared limits that this front end may use, 0 to 1. */
public final class FrontEndShare {
    public double fraction;
    /** When this front end started; a process of the same name may have used the share until then. */
    public double startedAt = Double.NaN;

    public FrontEndShare(double fraction) {
        this.fraction = fraction;
    }
}
