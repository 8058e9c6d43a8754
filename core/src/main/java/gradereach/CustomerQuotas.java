package gradereach;

import gradereach.state.DecayingSum;
import gradereach.state.FrontEndShare;
import java.util.List;

/**
 * Determines which inferences exceed their customer's quota. This front end enforces its share of each quota.
 *
 * @param overQuotaValue value of an over-quota inference, relative to others
 * @param quotasPerSecond by customer index, over all front ends; 0 for no quota
 * @param share the share of each quota that this front end enforces
 * @param accepted recent inferences within quota, by customer index
 */
record CustomerQuotas(double overQuotaValue, double[] quotasPerSecond, FrontEndShare share, List<DecayingSum> accepted) {
    private static final double WINDOW_MILLIS = 3000; // time constant; long enough for a short burst to stay within quota

    /** Counts an inference if it is within quota. Returns whether it is over quota. */
    boolean recordArrival(int customerIndex, double now) {
        if (customerIndex < 0 || customerIndex >= quotasPerSecond.length || quotasPerSecond[customerIndex] <= 0) {
            return false;
        }
        boolean overQuota = accepted.get(customerIndex).value(now, WINDOW_MILLIS)
                >= quotasPerSecond[customerIndex] * share.fraction * WINDOW_MILLIS / 1000;
        accepted.get(customerIndex).add(overQuota ? 0 : 1, now, WINDOW_MILLIS);
        return overQuota;
    }
}
