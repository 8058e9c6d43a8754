package gradereach.claims;

import gradereach.desk.Claims.Kind;
import gradereach.desk.Claims.Verdict;
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
public final class ClaimRounds {
    /** Something to be sent to a keeper. */
    public record Message(String keeper, boolean release, MessageIdentity about, long round) { }

    /** One claim under way. */
    public final class Round {
        public final long number;
        private final MessageIdentity about;
        private final List<List<String>> keepers = new ArrayList<>();
        private final Set<String> asked = new TreeSet<>();
        private final Set<String> granted = new TreeSet<>();
        private final Set<String> heard = new TreeSet<>();
        private final Map<String, Integer> holders = new HashMap<>();
        private Verdict verdict;

        private Round(long number, MessageIdentity about) {
            this.number = number;
            this.about = about;
        }

        /** Null while it is open. */
        public Verdict verdict() {
            return verdict;
        }

        private Message to(String keeper, boolean release) {
            return new Message(keeper, release, about, number);
        }
    }

    private final List<Members> lists;
    private long rounds;

    /**
     * @param lists the lists in force: one, or, while it is changed, the old and the new
     * @param firstRound above every round of an earlier life of this front end
     */
    public ClaimRounds(List<Members> lists, long firstRound) {
        this.lists = lists;
        rounds = firstRound;
    }

    /** Begins; {@code out} gets what is to be sent. */
    public Round begin(MessageIdentity about, List<Message> out) {
        Round round = new Round(++rounds, about);
        for (Members list : lists) {
            List<String> keepers = list.keepers(about.customer(), about.id());
            round.keepers.add(keepers);
            round.asked.addAll(keepers);
        }
        round.asked.forEach(keeper -> out.add(round.to(keeper, false)));
        return round;
    }

    /** A keeper's word: granted, or held by another; neither where it has no room, refuses or cannot be reached. */
    public void heard(Round round, String keeper, boolean granted, String holder, List<Message> out) {
        if (!round.heard.add(keeper)) {
            return;
        }
        if (granted) {
            round.granted.add(keeper);
        } else if (holder != null) {
            round.holders.merge(holder, 1, Integer::sum);
        }
        if (round.verdict != null) {
            if (granted && round.verdict.kind() != Kind.MINE) {
                out.add(round.to(keeper, true));
            }
            return;
        }
        boolean won = true;
        boolean lost = false;
        for (int i = 0; i < lists.size(); i++) {
            int got = 0;
            int open = 0;
            for (String name : round.keepers.get(i)) {
                got += round.granted.contains(name) ? 1 : 0;
                open += round.heard.contains(name) ? 0 : 1;
            }
            won &= got >= lists.get(i).majority();
            lost |= got + open < lists.get(i).majority();
        }
        if (won) {
            round.verdict = new Verdict(Kind.MINE, null);
        } else if (lost) {
            decide(round, out);
        }
    }

    /** Time is up: what is not won by now is not ours. */
    public void timeUp(Round round, List<Message> out) {
        if (round.verdict == null) {
            decide(round, out);
        }
    }

    private void decide(Round round, List<Message> out) {
        String holder = null;
        for (Map.Entry<String, Integer> h : new java.util.TreeMap<>(round.holders).entrySet()) {
            holder = holder == null || h.getValue() > round.holders.get(holder) ? h.getKey() : holder;
        }
        round.verdict = new Verdict(holder != null ? Kind.OTHERS : Kind.UNKNOWN, holder);
        // Also to those that have not answered: their grant may be on its way.
        round.asked.forEach(keeper -> out.add(round.to(keeper, true)));
    }
}
