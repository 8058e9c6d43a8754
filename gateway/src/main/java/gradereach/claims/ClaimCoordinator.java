package gradereach.claims;

import gradereach.desk.ClaimService.ClaimStatus;
import gradereach.desk.ClaimService.ClaimResult;
import gradereach.desk.MessageIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Claims that this front end has under way: state and decisions, no I/O. A message is ours when a majority of its
 * keepers has granted it, in every list that is in force; somebody else's when a majority cannot be had any more because
 * another holds it; and unknown when time is up or keepers cannot be asked. What was not won is given back, so that two
 * that split the keepers do not block each other for good.
 */
public final class ClaimCoordinator {
    /** Something to be sent to a keeper. */
    public record ReplicaRequest(String replica, boolean release, MessageIdentity message, long round) { }

    /** One claim under way. */
    public final class Round {
        public final long number;
        private final MessageIdentity message;
        private final List<List<String>> replicaSets = new ArrayList<>();
        private final Set<String> contacted = new TreeSet<>();
        private final Set<String> granted = new TreeSet<>();
        private final Set<String> replied = new TreeSet<>();
        private final Map<String, Integer> holders = new HashMap<>();
        private ClaimResult result;

        private Round(long number, MessageIdentity about) {
            this.number = number;
            this.message = about;
        }

        /** Null while it is open. */
        public ClaimResult result() {
            return result;
        }

        private ReplicaRequest request(String keeper, boolean release) {
            return new ReplicaRequest(keeper, release, message, number);
        }
    }

    private final List<FrontEndSet> frontEndSets;
    private long lastRound;

    /**
     * @param lists the lists in force: one, or, while it is changed, the old and the new
     * @param firstRound above every round of an earlier life of this front end
     */
    public ClaimCoordinator(List<FrontEndSet> lists, long firstRound) {
        this.frontEndSets = lists;
        lastRound = firstRound;
    }

    /** Begins; {@code out} gets what is to be sent. */
    public Round startRound(MessageIdentity about, List<ReplicaRequest> out) {
        Round round = new Round(++lastRound, about);
        for (FrontEndSet list : frontEndSets) {
            List<String> keepers = list.replicas(about.customer(), about.id());
            round.replicaSets.add(keepers);
            round.contacted.addAll(keepers);
        }
        round.contacted.forEach(keeper -> out.add(round.request(keeper, false)));
        return round;
    }

    /** A keeper's word: granted, or held by another; neither where it has no room, refuses or cannot be reached. */
    public void handleReply(Round round, String keeper, boolean granted, String holder, List<ReplicaRequest> out) {
        if (!round.replied.add(keeper)) {
            return;
        }
        if (granted) {
            round.granted.add(keeper);
        } else if (holder != null) {
            round.holders.merge(holder, 1, Integer::sum);
        }
        if (round.result != null) {
            if (granted && round.result.status() != ClaimStatus.GRANTED) {
                out.add(round.request(keeper, true));
            }
            return;
        }
        boolean won = true;
        boolean lost = false;
        for (int i = 0; i < frontEndSets.size(); i++) {
            int got = 0;
            int open = 0;
            for (String name : round.replicaSets.get(i)) {
                got += round.granted.contains(name) ? 1 : 0;
                open += round.replied.contains(name) ? 0 : 1;
            }
            won &= got >= frontEndSets.get(i).majority();
            lost |= got + open < frontEndSets.get(i).majority();
        }
        if (won) {
            round.result = new ClaimResult(ClaimStatus.GRANTED, null);
        } else if (lost) {
            decide(round, out);
        }
    }

    /** Time is up: what is not won by now is not ours. */
    public void handleTimeout(Round round, List<ReplicaRequest> out) {
        if (round.result == null) {
            decide(round, out);
        }
    }

    private void decide(Round round, List<ReplicaRequest> out) {
        String holder = null;
        for (Map.Entry<String, Integer> h : new java.util.TreeMap<>(round.holders).entrySet()) {
            holder = holder == null || h.getValue() > round.holders.get(holder) ? h.getKey() : holder;
        }
        round.result = new ClaimResult(holder != null ? ClaimStatus.HELD_BY_OTHER : ClaimStatus.UNKNOWN, holder);
        // Also to those that have not answered: their grant may be on its way.
        round.contacted.forEach(keeper -> out.add(round.request(keeper, true)));
    }
}
