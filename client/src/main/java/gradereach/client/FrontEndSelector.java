package gradereach.client;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Selects the front end for the next attempt, round robin: state and decisions, no I/O. One that could not be reached is
 * skipped for a random time within a backoff window, so that many clients that lost it together do not reconnect together.
 */
final class FrontEndSelector {
    /** Backoff window after the first failure: spreads the reconnects of a thousand clients to about a hundred a second. */
    static final double INITIAL_BACKOFF_MILLIS = 10_000;
    private static final double MAX_BACKOFF_MILLIS = 60_000; // about two tries per client and minute while a front end stays down

    /** One front end and its backoff state. */
    static final class Target {
        final String address;
        private double notBefore = Double.NEGATIVE_INFINITY;
        private int failures;

        Target(String address) {
            this.address = address;
        }
    }

    private final List<Target> targets = new ArrayList<>();
    private final Random random;
    private int nextIndex;

    FrontEndSelector(List<String> addresses, Random random) {
        addresses.forEach(address -> targets.add(new Target(address)));
        this.random = random;
        nextIndex = random.nextInt(targets.size());
    }

    /** The next front end in round-robin order that is not backing off, null if there is none. */
    Target next(double now) {
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get((nextIndex + i) % targets.size());
            if (target.notBefore <= now) {
                nextIndex = (nextIndex + i + 1) % targets.size();
                return target;
            }
        }
        return null;
    }

    /** The earliest time at which {@link #next} returns a front end. */
    double nextAvailableAt() {
        return targets.stream().mapToDouble(target -> target.notBefore).min().orElseThrow();
    }

    void markReachable(Target target) {
        target.failures = 0;
        target.notBefore = Double.NEGATIVE_INFINITY;
    }

    void markUnavailable(Target target, double now) {
        if (target.notBefore > now) {
            return; // already marked by another inference
        }
        double window = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS * Math.pow(2, Math.min(10, target.failures++)));
        target.notBefore = now + random.nextDouble() * window;
    }
}
