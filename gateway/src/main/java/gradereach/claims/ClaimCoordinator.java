package gradereach.claims;

import gradereach.desk.ClaimService.ClaimResult;
import gradereach.desk.ClaimService.ClaimStatus;
import gradereach.desk.MessageIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Runs the quorum rounds by which this front end claims messages; state and decisions only, no I/O. A claim is won once a
 * majority of the message's replicas has granted it, in every active front end set. It is lost when a majority can no longer be
 * reached because another front end holds the claim, and unknown on a timeout or when replicas cannot be reached. A claim that
 * was not won is released, so that two front ends that split the replicas do not block each other forever.
 */
public final class ClaimCoordinator {
    /**
     * A request to one replica.
     *
     * @param isRelease whether the claim is released rather than made
     * @param round number of the round
     */
    public record ReplicaRequest(String replica, boolean isRelease, MessageIdentity message, long round) { }

    /** One claim in progress. */
    public final class Round {
        /** The number of the round, which grows with every claim of this front end. */
        public final long number;
        private final MessageIdentity message;
        private final List<List<String>> replicaSets = new ArrayList<>();
        private final Set<String> contacted = new TreeSet<>();
        private final Set<String> granted = new TreeSet<>();
        private final Set<String> replied = new TreeSet<>();
        /** How many replicas named each holder. */
        private final Map<String, Integer> replicaCountByHolder = new HashMap<>();
        private ClaimResult result;

        private Round(long number, MessageIdentity message) {
            this.number = number;
            this.message = message;
        }

        /** The result of the claim; null while the round is open. */
        public ClaimResult result() {
            return result;
        }

        private ReplicaRequest request(String replica, boolean isRelease) {
            return new ReplicaRequest(replica, isRelease, message, number);
        }
    }

    private final List<FrontEndSet> frontEndSets;
    private long lastRound;

    /**
     * @param frontEndSets the active sets: one, or the old and the new one while the set is being changed
     * @param firstRound above every round of earlier runs of this front end
     */
    public ClaimCoordinator(List<FrontEndSet> frontEndSets, long firstRound) {
        this.frontEndSets = frontEndSets;
        lastRound = firstRound;
    }

    /** Starts a round; the requests to be sent are added to {@code requests}. */
    public Round startRound(MessageIdentity message, List<ReplicaRequest> requests) {
        Round round = new Round(++lastRound, message);
        for (FrontEndSet frontEndSet : frontEndSets) {
            List<String> replicas = frontEndSet.replicas(message.customer(), message.id());
            round.replicaSets.add(replicas);
            round.contacted.addAll(replicas);
        }
        round.contacted.forEach(replica -> requests.add(round.request(replica, false)));
        return round;
    }

    /**
     * Handles a replica's reply.
     *
     * @param holder who holds the claim instead; null if it was granted, or if the replica is full, refused or was not reached
     * @param requests receives the releases to be sent
     */
    public void handleReply(Round round, String replica, boolean granted, String holder, List<ReplicaRequest> requests) {
        if (!round.replied.add(replica)) {
            return;
        }
        if (granted) {
            round.granted.add(replica);
        } else if (holder != null) {
            round.replicaCountByHolder.merge(holder, 1, Integer::sum);
        }
        if (round.result != null) {
            if (granted && round.result.status() != ClaimStatus.GRANTED) {
                requests.add(round.request(replica, true));
            }
            return;
        }
        boolean won = true;
        boolean lost = false;
        for (int i = 0; i < frontEndSets.size(); i++) {
            int grants = 0;
            int outstanding = 0;
            for (String name : round.replicaSets.get(i)) {
                grants += round.granted.contains(name) ? 1 : 0;
                outstanding += round.replied.contains(name) ? 0 : 1;
            }
            won &= grants >= frontEndSets.get(i).majority();
            lost |= grants + outstanding < frontEndSets.get(i).majority();
        }
        if (won) {
            round.result = new ClaimResult(ClaimStatus.GRANTED, null);
        } else if (lost) {
            endWithoutMajority(round, requests);
        }
    }

    /** Ends the round on a timeout: a claim that has no majority by then is released. */
    public void handleTimeout(Round round, List<ReplicaRequest> requests) {
        if (round.result == null) {
            endWithoutMajority(round, requests);
        }
    }

    private void endWithoutMajority(Round round, List<ReplicaRequest> requests) {
        // The holder that most replicas named; the first by name if several were named equally often.
        String holder = null;
        for (Map.Entry<String, Integer> entry : new java.util.TreeMap<>(round.replicaCountByHolder).entrySet()) {
            holder = holder == null || entry.getValue() > round.replicaCountByHolder.get(holder) ? entry.getKey() : holder;
        }
        round.result = new ClaimResult(holder != null ? ClaimStatus.HELD_BY_OTHER : ClaimStatus.UNKNOWN, holder);
        // Also to replicas that have not replied: their grant may be in flight.
        round.contacted.forEach(replica -> requests.add(round.request(replica, true)));
    }
}
