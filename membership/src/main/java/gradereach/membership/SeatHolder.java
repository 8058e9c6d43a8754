package gradereach.membership;

import java.security.SecureRandom;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * The seats that one front end holds. Shared budgets are divided into a fixed number of seats; see {@link SeatGrantor}. A seat is
 * held once a majority of the grantors has granted it. Its lease is counted from when the request was <em>sent</em>, and
 * shortened by the possible clock drift, so that no grantor's lease on it ends sooner. Two holders of one seat would need two
 * majorities, which share a grantor, and a grantor never grants a seat to two holders at once.
 *
 * The number of seats follows the front end's share of the traffic slowly. It grows by a few seats at a time, and only by seats
 * that a majority reports as available; seats beyond the share are released. A new front end has no seats until some become
 * available.
 *
 * A state machine without I/O and clock. Each round sends one request to all grantors.
 */
public final class SeatHolder {
    /** Largest relative difference in the rate of two clocks: ten times what quartz clocks and virtual machines have. */
    public static final double MAX_CLOCK_DRIFT = 0.01;

    /**
     * The request that one round sends to every grantor.
     *
     * @param wanted seats to be granted or renewed
     * @param released seats that are given back
     */
    public record Request(long round, BitSet wanted, BitSet released) { }

    private final String name;
    private final int seatCount;
    private final int grantorCount;
    private final double leaseMillis;
    private final Random random;
    private final double[] heldUntil;
    private final BitSet released;
    private long round;
    private double roundSentAt;
    private BitSet wanted = new BitSet();
    private final int[] grantCounts;
    private final int[] availableCounts;
    private final Map<Integer, Boolean> answeredGrantors = new HashMap<>();
    private BitSet available = new BitSet();

    /** A name that is unique to this run of a front end. It is random, since two runs may start at the same clock reading. */
    public static String uniqueName(String frontEnd, SecureRandom random) {
        return frontEnd + "." + Long.toHexString(random.nextLong());
    }

    /**
     * @param name a {@link #uniqueName}
     * @param seatCount number of seats into which shared budgets are divided
     * @param grantorCount number of grantors
     * @param leaseMillis the grantors' lease
     */
    public SeatHolder(String name, int seatCount, int grantorCount, double leaseMillis, Random random) {
        this.name = name;
        this.seatCount = seatCount;
        this.grantorCount = grantorCount;
        this.leaseMillis = leaseMillis;
        this.random = random;
        heldUntil = new double[seatCount];
        grantCounts = new int[seatCount];
        availableCounts = new int[seatCount];
        released = new BitSet(seatCount);
    }

    /** The name by which grantors know this holder. */
    public String name() {
        return name;
    }

    /** When the next round is due: after a third of the lease, so that two rounds may be lost. */
    public double nextRoundAt() {
        return round == 0 ? Double.NEGATIVE_INFINITY : roundSentAt + leaseMillis / 3;
    }

    /**
     * Starts a round. The seats that it releases are no longer held from this moment on.
     *
     * @param share this front end's share of all traffic, 0 to 1
     */
    public Request startRound(double share, double now) {
        int targetCount = Math.max(1, (int) Math.floor(share * seatCount));
        BitSet held = heldSeats(now);
        BitSet nextWanted = (BitSet) held.clone();
        released.clear();
        // Seats are released only above a tenth more than the share, so that they do not move back and forth.
        for (int excess = held.cardinality() - (int) Math.ceil(targetCount * 1.1); excess > 0; excess--) {
            int seat = nextWanted.length() - 1;
            nextWanted.clear(seat);
            released.set(seat);
            heldUntil[seat] = Double.NEGATIVE_INFINITY;
        }
        int missing = targetCount - nextWanted.cardinality();
        // A quarter of the missing seats at a time: of many front ends that grow at once, none takes all.
        int additional = missing <= 0 ? 0 : Math.max(1, (missing + 3) / 4);
        BitSet candidates = (BitSet) available.clone();
        candidates.andNot(nextWanted);
        candidates.andNot(released);
        if (round == 0) {
            additional = 0; // the first round only asks which seats are available
        }
        for (; additional > 0 && !candidates.isEmpty(); additional--) {
            int seat = candidates.nextSetBit(random.nextInt(seatCount));
            seat = seat < 0 ? candidates.nextSetBit(0) : seat;
            candidates.clear(seat);
            nextWanted.set(seat);
        }
        round++;
        roundSentAt = now;
        wanted = nextWanted;
        java.util.Arrays.fill(grantCounts, 0);
        java.util.Arrays.fill(availableCounts, 0);
        answeredGrantors.clear();
        available = new BitSet();
        return new Request(round, (BitSet) nextWanted.clone(), (BitSet) released.clone());
    }

    /**
     * Handles a grantor's answer; answers to earlier rounds are ignored.
     *
     * @param grantor index of the grantor
     * @param requestRound the round that it answers
     */
    public void handleGrant(int grantor, long requestRound, SeatGrantor.Grant grant) {
        if (requestRound != round || answeredGrantors.put(grantor, true) != null) {
            return;
        }
        for (int i = 0; i < seatCount; i++) {
            grantCounts[i] += grant.granted().get(i) ? 1 : 0;
            availableCounts[i] += grant.available().get(i) ? 1 : 0;
            if (wanted.get(i) && grantCounts[i] > grantorCount / 2) {
                heldUntil[i] = Math.max(heldUntil[i], roundSentAt + leaseMillis * (1 - MAX_CLOCK_DRIFT));
            }
            if (availableCounts[i] > grantorCount / 2) {
                available.set(i);
            }
        }
    }

    /** The seats that are held at that time. */
    public BitSet heldSeats(double now) {
        BitSet held = new BitSet(seatCount);
        for (int i = 0; i < seatCount; i++) {
            held.set(i, now < heldUntil[i]);
        }
        return held;
    }

    /** When the first lease of the seats that are held now ends; Double.POSITIVE_INFINITY without any. */
    public double earliestExpiry(double now) {
        double earliest = Double.POSITIVE_INFINITY;
        for (double expiry : heldUntil) {
            earliest = now < expiry ? Math.min(earliest, expiry) : earliest;
        }
        return earliest;
    }

    /** The fraction of the shared budgets that may be spent at that time, 0 to 1. */
    public double share(double now) {
        return heldSeats(now).cardinality() / (double) seatCount;
    }
}
