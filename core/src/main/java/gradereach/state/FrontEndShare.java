package gradereach.state;

/** The fraction of shared limits that this front end may use, 0 to 1. */
public final class FrontEndShare {
    public double fraction;
    /** Time of the first event batch; until then an earlier process of this front end may have used the share. */
    public double startedAt = Double.NaN;

    public FrontEndShare(double fraction) {
        this.fraction = fraction;
    }
}
