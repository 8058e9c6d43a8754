package gradereach;

import gradereach.state.DecayingSum;
import gradereach.state.FrontEndShare;
import java.util.List;

/** Whose inferences are beyond their customer's share, by this front end's part of the quota. */
record CustomerQuotas(double overQuotaValue, double[] quotasPerSecond, FrontEndShare share, List<DecayingSum> accepted) {
    private static final double WINDOW_MILLIS = 3000; // a short crowd at the door is not yet a surplus

    boolean recordArrival(int i, double now) {
        if (i < 0 || i >= quotasPerSecond.length || quotasPerSecond[i] <= 0) {
            return false;
        }
        boolean surplus = accepted.get(i).value(now, WINDOW_MILLIS) >= quotasPerSecond[i] * share.fraction * WINDOW_MILLIS / 1000;
        accepted.get(i).add(surplus ? 0 : 1, now, WINDOW_MILLIS);
        return surplus;
    }
}
