package gradereach.standins;

import io.netty.channel.EventLoop;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * What one process of an executor knows of the forwards that came to it; gone with the process. A forward that it has not
 * seen when it is asked about it is fenced: refused from then on for as long as the process lives, so that "never seen"
 * stays true whenever the forward is delivered. Questions and forwards may come on different threads.
 */
final class ForwardOutcomes {
    private static final long RETENTION_MILLIS = 60_000; // milliseconds after its end
    private static final int MAX_FENCES = 100_000;

    /**
     * 200 with its answer, 202 while it runs, 404 for one that this process has not seen.
     *
     * @param fenced it is refused from now on
     */
    record ForwardLookup(int status, String output, boolean fenced) { }

    private final EventLoop loop;
    private final long upSince;
    private final int maxFences;
    /** Tells this process from any other: 15 digits, so that two do not meet. */
    private final long processId = new SecureRandom().nextLong(1_000_000_000_000_000L);
    /** Empty while they run, then their answers. */
    private final Map<String, String> outputs = new HashMap<>();
    /** Never taken out again: a forward may be delivered at any time. */
    private final Set<String> fencedForwards = new HashSet<>();

    /** @param upSince Unix milliseconds by the clock of the executor's machine */
    ForwardOutcomes(EventLoop loop, double upSince) {
        this(loop, upSince, MAX_FENCES);
    }

    /** @param mostFences once there are so many, no other forward is fenced, and none is said to be */
    ForwardOutcomes(EventLoop loop, double upSince, int mostFences) {
        this.loop = loop;
        this.upSince = (long) upSince;
        this.maxFences = mostFences;
    }

    long upSince() {
        return upSince;
    }

    long processId() {
        return processId;
    }

    /** False for one that is fenced: it must not run. */
    synchronized boolean tryStart(String forward) {
        if (fencedForwards.contains(forward)) {
            return false;
        }
        outputs.put(forward, "");
        return true;
    }

    synchronized void complete(String forward, String output) {
        outputs.put(forward, output);
        loop.schedule(() -> remove(forward), RETENTION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** It was refused, or is forgotten. */
    synchronized void remove(String forward) {
        outputs.remove(forward);
    }

    /** What became of a forward; one that has not been seen is fenced, if there is room. */
    synchronized ForwardLookup findOrFence(String forward) {
        String output = outputs.get(forward);
        if (output == null) {
            return new ForwardLookup(404, "{}", tryFence(forward));
        }
        return output.isEmpty() ? new ForwardLookup(202, "{}", false) : new ForwardLookup(200, output, false);
    }

    private boolean tryFence(String forward) {
        if (fencedForwards.size() < maxFences) {
            fencedForwards.add(forward);
        }
        return fencedForwards.contains(forward);
    }
}
