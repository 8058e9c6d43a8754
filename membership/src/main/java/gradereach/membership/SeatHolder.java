package gradereach.membership;

import java.security.SecureRandom;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * One front end's seats. A seat is held from the moment a majority of the keepers has given it, until the lease after the claim was
 * <em>sent</em>, shortened by what clocks may differ in pace: no keeper's lease on it can end sooner. Two holders of one seat
 * would need two majorities, which share a keeper, which gave it to both at once, which it does not do.
 *
 * It follows its part of the traffic slowly: at most a few seats more at a time, and only such as a majority says are free; what is
 * beyond its part it gives back. A newcomer has none until seats come free, and lives on the least share meanwhile.
 *
 * Pure: times come in, claims go out; a claim is one round to all keepers.
 */
public final class SeatHolder {
    /** Clocks may differ by so much in pace: ten times what quartz and virtual machines show. */
    public static final double MAX_CLOCK_DRIFT = 0.01;

    /** What to send to every keeper. */
    public record Request(long round, BitSet wanted, BitSet released) { }

    private final String name;
    private final int seats;
    private final int grantors;
    private final double lease;
    private final Random random;
    private final double[] heldUntil;
    private final BitSet released;
    private long startRound;
    private double sentAt;
    private BitSet wanted = new BitSet();
    private final int[] grantCounts;
    private final int[] availableCounts;
    private final Map<Integer, Boolean> answered = new HashMap<>();
    private BitSet available = new BitSet();

    /** The name of a front end's new life, which none of its other lives has: two may begin at one reading of the clock. */
    public static String uniqueName(String frontEnd, SecureRandom chance) {
        return frontEnd + "." + Long.toHexString(chance.nextLong());
    }

    /**
     * @param name that no other life has
     * @param lease the keepers', milliseconds
     */
    public SeatHolder(String name, int seats, int keepers, double lease, Random chance) {
        this.name = name;
        this.seats = seats;
        this.grantors = keepers;
        this.lease = lease;
        this.random = chance;
        heldUntil = new double[seats];
        grantCounts = new int[seats];
        availableCounts = new int[seats];
        released = new BitSet(seats);
    }

    public String name() {
        return name;
    }

    /** When the next round is due: a third of the lease, so that two may be lost. */
    public double nextRoundAt() {
        return startRound == 0 ? Double.NEGATIVE_INFINITY : sentAt + lease / 3;
    }

    /**
     * A new round. Seats in {@code released} are no longer spent from this very moment.
     *
     * @param part of all the traffic that is this front end's, 0 to 1
     */
    public Request startRound(double part, double now) {
        int target = Math.max(1, (int) Math.floor(part * seats));
        BitSet held = heldSeats(now);
        BitSet next = (BitSet) held.clone();
        released.clear();
        // Beyond a tenth more than its part: it gives back. The slack keeps seats from going to and fro.
        for (int extra = held.cardinality() - (int) Math.ceil(target * 1.1); extra > 0; extra--) {
            int seat = next.length() - 1;
            next.clear(seat);
            released.set(seat);
            heldUntil[seat] = Double.NEGATIVE_INFINITY;
        }
        int missing = target - next.cardinality();
        // A quarter of what is missing at a time: of many that grow at once none takes all.
        int more = missing <= 0 ? 0 : Math.max(1, (missing + 3) / 4);
        BitSet options = (BitSet) available.clone();
        options.andNot(next);
        options.andNot(released);
        if (startRound == 0) {
            more = 0; // first it asks what is free
        }
        for (; more > 0 && !options.isEmpty(); more--) {
            int seat = options.nextSetBit(random.nextInt(seats));
            seat = seat < 0 ? options.nextSetBit(0) : seat;
            options.clear(seat);
            next.set(seat);
        }
        startRound++;
        sentAt = now;
        wanted = next;
        java.util.Arrays.fill(grantCounts, 0);
        java.util.Arrays.fill(availableCounts, 0);
        answered.clear();
        available = new BitSet();
        return new Request(startRound, (BitSet) next.clone(), (BitSet) released.clone());
    }

    /** A keeper's answer to a round; one to an earlier round says nothing any more. */
    public void handleGrant(int keeper, long of, SeatGrantor.Grant grant) {
        if (of != startRound || answered.put(keeper, true) != null) {
            return;
        }
        for (int i = 0; i < seats; i++) {
            grantCounts[i] += grant.granted().get(i) ? 1 : 0;
            availableCounts[i] += grant.available().get(i) ? 1 : 0;
            if (wanted.get(i) && grantCounts[i] > grantors / 2) {
                heldUntil[i] = Math.max(heldUntil[i], sentAt + lease * (1 - MAX_CLOCK_DRIFT));
            }
            if (availableCounts[i] > grantors / 2) {
                available.set(i);
            }
        }
    }

    /** Seats that may be spent at this moment. */
    public BitSet heldSeats(double now) {
        BitSet held = new BitSet(seats);
        for (int i = 0; i < seats; i++) {
            held.set(i, now < heldUntil[i]);
        }
        return held;
    }

    /** Until when the seats that are held now are surely all still held; Double.POSITIVE_INFINITY without any. */
    public double earliestExpiry(double now) {
        double until = Double.POSITIVE_INFINITY;
        for (double one : heldUntil) {
            until = now < one ? Math.min(until, one) : until;
        }
        return until;
    }

    /** The part of all that is shared which may be spent at this moment. */
    public double share(double now) {
        return heldSeats(now).cardinality() / (double) seats;
    }
}
