package gradereach.client;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The front ends that a client knows, and when each may be tried: state and decisions, no I/O. One that could not be
 * reached is left alone for a while drawn over a window, so that a thousand clients that lost it together do not come
 * back together.
 */
final class FrontEndSelector {
    /** Milliseconds; the users' wish for a thousand tablets. */
    static final double INITIAL_BACKOFF_MILLIS = 10_000;
    private static final double MAX_BACKOFF_MILLIS = 60_000; // a front end that is gone for long costs each client a try a minute

    /** One front end. */
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

    FrontEndSelector(List<String> addresses, Random chance) {
        addresses.forEach(address -> targets.add(new Target(address)));
        this.random = chance;
        nextIndex = chance.nextInt(targets.size());
    }

    /** The next that may be tried now, in turn; null where none may. */
    Target next(double now) {
        for (int i = 0; i < targets.size(); i++) {
            Target front = targets.get((nextIndex + i) % targets.size());
            if (front.notBefore <= now) {
                nextIndex = (nextIndex + i + 1) % targets.size();
                return front;
            }
        }
        return null;
    }

    /** When {@link #next} has one again at the earliest. */
    double nextAvailableAt() {
        return targets.stream().mapToDouble(front -> front.notBefore).min().orElseThrow();
    }

    void markReachable(Target front) {
        front.failures = 0;
        front.notBefore = Double.NEGATIVE_INFINITY;
    }

    void markUnavailable(Target front, double now) {
        if (front.notBefore > now) {
            return; // another inference found out just before
        }
        double window = Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS * Math.pow(2, Math.min(10, front.failures++)));
        front.notBefore = now + random.nextDouble() * window;
    }
}
