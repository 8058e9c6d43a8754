package gradereach.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One keeper of seats. What front ends share (a cold executor's budget, a quota, a ration) is cut into a fixed number of seats;
 * whoever holds a seat may spend its part. A keeper gives a seat to one holder at a time, for a lease counted by its own steady
 * clock. It writes nothing down: after a start it gives nothing until every lease that it may have forgotten is over.
 *
 * Pure: times come in; the same events give the same answers.
 */
public final class SeatGrantor {
    private final double lease;
    private final String[] holder;
    private final double[] expiresAt;
    private final double grantsFrom;
    /** The latest round of each holder: an earlier one that comes late must not give back what was claimed since. */
    private final Map<String, Round> rounds = new HashMap<>();

    private record Round(long number, double at) { }

    /** @param lease milliseconds by this keeper's clock */
    public SeatGrantor(int seats, double lease, double now) {
        this.lease = lease;
        holder = new String[seats];
        expiresAt = new double[seats];
        grantsFrom = now + lease;
    }

    /** What a keeper says: the seats of a claim that it gives, and those that nobody has here. */
    public record Grant(BitSet granted, BitSet available) { }

    /**
     * One round of a holder: gives back some seats and claims, or claims again, others. Null for a round that is overtaken.
     *
     * @param who a name that no other life of the same front end has
     */
    public Grant handleRequest(String who, long round, BitSet wanted, BitSet released, double now) {
        rounds.values().removeIf(last -> now - last.at > 2 * lease);
        Round last = rounds.get(who);
        if (last != null && last.number >= round) {
            return null;
        }
        rounds.put(who, new Round(round, now));
        for (int i = released.nextSetBit(0); i >= 0; i = released.nextSetBit(i + 1)) {
            if (who.equals(holder[i])) {
                holder[i] = null;
            }
        }
        BitSet given = new BitSet(holder.length);
        BitSet free = new BitSet(holder.length);
        for (int i = 0; i < holder.length; i++) {
            boolean open = holder[i] == null || now >= expiresAt[i];
            if (now < grantsFrom) {
                continue;
            }
            if (wanted.get(i) && (open || holder[i].equals(who))) {
                holder[i] = who;
                expiresAt[i] = now + lease;
                given.set(i);
            } else if (open) {
                free.set(i);
            }
        }
        return new Grant(given, free);
    }

    /** Seats out at this moment, for those who look. */
    public List<String> currentHolders(double now) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < holder.length; i++) {
            all.add(holder[i] == null || now >= expiresAt[i] ? "" : holder[i]);
        }
        return all;
    }
}
