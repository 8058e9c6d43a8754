package gradereach;

import gradereach.state.DecayingSum;
import gradereach.state.FrontEndShare;
import java.util.List;

/**
 * Tells which inferences exceed their customer's quota, of which this front end enforces its share.
 *
 * @param overQuotaValue value of an over-quota inference, relative to others
 * @param quotasPerSecond by customer index, over all front ends; 0 for no quota
 * @param accepted recent inferences within quota, by customer index
 */
record CustomerQuotas(double overQuotaValue, double[] quotasPerSecond, FrontEndShare share, List<DecayingSum> accepted) {
    private static final double WINDOW_MILLIS = 3000; // a short burst is not yet over quota

    /** Counts an inference if it is within quota. Returns whether it is over quota. */
    boolean recordArrival(int customer, double now) {
        if (customer < 0 || customer >= quotasPerSecond.length || quotasPerSecond[customer] <= 0) {
            return false;
        }
        boolean overQuota = accepted.get(customer).value(now, WINDOW_MILLIS)
                >= quotasPerSecond[customer] * share.fraction * WINDOW_MILLIS / 1000;
        accepted.get(customer).add(overQuota ? 0 : 1, now, WINDOW_MILLIS);
        return overQuota;
    }
}
