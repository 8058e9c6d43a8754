package gradereach.standins;

import io.netty.channel.EventLoop;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Outcomes of the forwards received by one executor process; they are lost with the process. An outcome inquiry about a forward
 * that the process has not received fences the forward: it is rejected for the lifetime of the process, so that the answer
 * "never seen" stays true even if the forward is delivered later. Thread-safe; inquiries and forwards may arrive on different
 * threads.
 */
final class ForwardOutcomes {
    private static final long RETENTION_MILLIS = 60_000; // time for which an outcome is kept after its forward has ended
    private static final int MAX_FENCES = 100_000;

    /**
     * Result of an outcome inquiry.
     *
     * @param status 200 with the answer, 202 for a running forward, 404 for one that this process has not received
     * @param fenced whether the forward is rejected from now on
     */
    record ForwardLookup(int status, String output, boolean fenced) { }

    private final EventLoop loop;
    private final long upSince;
    private final int maxFences;
    /** Random id of this process; up to 15 digits make it practically unique. */
    private final long processId = new SecureRandom().nextLong(1_000_000_000_000_000L);
    /** Answers by forward id; empty while the forward runs. */
    private final Map<String, String> outputs = new HashMap<>();
    /** Ids of the fenced forwards; they are never removed, since a forward may be delivered at any time. */
    private final Set<String> fencedForwards = new HashSet<>();

    /** @param upSince start of the process in Unix milliseconds, by the clock of its machine */
    ForwardOutcomes(EventLoop loop, double upSince) {
        this(loop, upSince, MAX_FENCES);
    }

    /** @param maxFences beyond this number further forwards are neither fenced nor reported as fenced */
    ForwardOutcomes(EventLoop loop, double upSince, int maxFences) {
        this.loop = loop;
        this.upSince = (long) upSince;
        this.maxFences = maxFences;
    }

    long upSince() {
        return upSince;
    }

    long processId() {
        return processId;
    }

    /** Starts a forward; returns false if it is fenced and must not run. */
    synchronized boolean tryStart(String forwardId) {
        if (fencedForwards.contains(forwardId)) {
            return false;
        }
        outputs.put(forwardId, "");
        return true;
    }

    synchronized void complete(String forwardId, String output) {
        outputs.put(forwardId, output);
        loop.schedule(() -> remove(forwardId), RETENTION_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Removes a forward that was rejected or whose retention has ended. */
    synchronized void remove(String forwardId) {
        outputs.remove(forwardId);
    }

    /** Looks up the outcome of a forward; an unknown forward is fenced unless the limit of fences is reached. */
    synchronized ForwardLookup findOrFence(String forwardId) {
        String output = outputs.get(forwardId);
        if (output == null) {
            return new ForwardLookup(404, "{}", tryFence(forwardId));
        }
        return output.isEmpty() ? new ForwardLookup(202, "{}", false) : new ForwardLookup(200, output, false);
    }

    private boolean tryFence(String forwardId) {
        if (fencedForwards.size() < maxFences) {
            fencedForwards.add(forwardId);
        }
        return fencedForwards.contains(forwardId);
    }
}
