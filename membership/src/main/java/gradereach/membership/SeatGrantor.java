package gradereach.membership;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One grantor of seats. Budgets that front ends share (a cold executor's budget, a quota, a load order budget) are divided into a fixed
 * number of seats, and whoever holds a seat may spend that fraction. A grantor grants a seat to one holder at a time, under a lease
 * that it counts by its own monotonic clock. It stores nothing on disk: after a start it grants nothing until every lease that it may
 * have granted before is over.
 *
 * A state machine without I/O and clock: the same events at the same times give the same answers.
 */
public final class SeatGrantor {
    private final double leaseMillis;
    private final String[] holders;
    private final double[] expiresAt;
    /** Until then, seats may be held that were granted before this start. */
    private final double grantsAllowedFrom;
    /** The latest round of each holder: an earlier one that arrives late must not release seats that were requested since. */
    private final Map<String, Round> rounds = new HashMap<>();

    private record Round(long number, double receivedAt) { }

    /**
     * @param seatCount number of seats into which shared budgets are divided
     * @param leaseMillis lease of a seat, by this grantor's clock
     */
    public SeatGrantor(int seatCount, double leaseMillis, double now) {
        this.leaseMillis = leaseMillis;
        holders = new String[seatCount];
        expiresAt = new double[seatCount];
        grantsAllowedFrom = now + leaseMillis;
    }

    /**
     * The answer to a request.
     *
     * @param granted requested seats that are granted
     * @param available other seats that no holder has at this grantor
     */
    public record Grant(BitSet granted, BitSet available) { }

    /**
     * Handles a holder's request, which releases some seats and requests or renews others. Returns null for an outdated round.
     *
     * @param holderName unique to one run of a front end
     */
    public Grant handleRequest(String holderName, long round, BitSet wanted, BitSet released, double now) {
        rounds.values().removeIf(known -> now - known.receivedAt > 2 * leaseMillis);
        Round latest = rounds.get(holderName);
        if (latest != null && latest.number >= round) {
            return null;
        }
        rounds.put(holderName, new Round(round, now));
        for (int i = released.nextSetBit(0); i >= 0; i = released.nextSetBit(i + 1)) {
            if (holderName.equals(holders[i])) {
                holders[i] = null;
            }
        }
        BitSet granted = new BitSet(holders.length);
        BitSet available = new BitSet(holders.length);
        for (int i = 0; i < holders.length; i++) {
            boolean unheld = holders[i] == null || now >= expiresAt[i];
            if (now < grantsAllowedFrom) {
                continue;
            }
            if (wanted.get(i) && (unheld || holders[i].equals(holderName))) {
                holders[i] = holderName;
                expiresAt[i] = now + leaseMillis;
                granted.set(i);
            } else if (unheld) {
                available.set(i);
            }
        }
        return new Grant(granted, available);
    }

    /** The holder of each seat at that time, by seat; an empty string for none. For monitoring. */
    public List<String> currentHolders(double now) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < holders.length; i++) {
            all.add(holders[i] == null || now >= expiresAt[i] ? "" : holders[i]);
        }
        return all;
    }
}
