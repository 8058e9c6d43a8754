package gradereach.claims;

import gradereach.desk.MessageIdentity;
import gradereach.ledger.LedgerPosition;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What one front end keeps for others: which front end a message belongs to. A claim is granted once and then only to
 * the same claimant; it ends with the time for which messages are remembered, or when its claimant gives it back. A
 * claimant is a front end with its ledger: one that lost its ledger does not get its old claims back. What has ended leaves
 * the latest signed timestamp among it behind: whoever claims a message that is not known and was signed no later is
 * granted nothing, since it may be one of those.
 */
public final class ClaimTable {
    private record Key(String customer, String id) { }

    /** A granted claim. */
    public static final class Claim {
        public final String claimant;
        private final long signedAt;
        final double expiresAt;
        private final Key key;
        private long round;
        private boolean released;

        Claim(Key key, String claimant, long round, long signedAt, double until) {
            this.key = key;
            this.claimant = claimant;
            this.round = round;
            this.signedAt = signedAt;
            this.expiresAt = until;
        }
    }

    /**
     * The keeper's word: granted, or to whom it was granted before; null holder and not granted: no room, or it cannot be known
     * any more to whom.
     */
    public record ClaimReply(boolean granted, String holder, boolean newlyGranted) { }

    private static final int MAX_CLAIMANTS = 10_000;
    private static final long NOTHING_FORGOTTEN = Long.MIN_VALUE;

    private final int maxClaims;
    private final double retention;
    private final Map<Key, Claim> claims = new HashMap<>();
    private final ArrayDeque<Claim> byExpiry = new ArrayDeque<>();
    /** How far claimants' ledgers had got; a few for each front end, which has one and may lose it. */
    private final Map<String, Long> recordPosition = new HashMap<>();
    /** The latest signed timestamp among claims that are no longer known, Unix seconds; NOTHING_FORGOTTEN for none. */
    private long forgottenUpTo = NOTHING_FORGOTTEN;

    /** {@code kept} in milliseconds. */
    public ClaimTable(int most, double kept) {
        this.maxClaims = most;
        this.retention = kept;
    }

    /**
     * Claims of messages that were signed then at the latest are no longer known.
     *
     * @param signedAt Unix seconds
     */
    public void markForgottenUpTo(long signedAt) {
        forgottenUpTo = Math.max(forgottenUpTo, signedAt);
    }

    /**
     * @param round grows with every claim that a claimant makes
     * @param signableUntil the latest timestamp that a message can carry now, Unix seconds
     */
    public ClaimReply claim(MessageIdentity message, String claimant, long round, double now, long signableUntil) {
        expire(now);
        Key key = new Key(message.customer(), message.id());
        Claim there = claims.get(key);
        if (there != null) {
            if (!there.claimant.equals(claimant)) {
                return new ClaimReply(false, there.claimant, false);
            }
            there.round = Math.max(there.round, round);
            return new ClaimReply(true, null, false);
        }
        boolean mayBeForgotten = forgottenUpTo != NOTHING_FORGOTTEN && message.signedAt() <= forgottenUpTo;
        if (mayBeForgotten || claims.size() >= maxClaims) {
            return new ClaimReply(false, null, false);
        }
        put(new Claim(key, claimant, round, message.withDefaultSignedAt(signableUntil).signedAt(), now + retention));
        return new ClaimReply(true, null, true);
    }

    /** As the ledger tells it after a restart. Its round is not known: no release reaches it, which is safe. */
    public void restore(String customer, String id, String claimant, long signedAt, double until) {
        put(new Claim(new Key(customer, id), claimant, Long.MAX_VALUE, signedAt, until));
    }

    private void put(Claim claim) {
        claims.put(claim.key, claim);
        byExpiry.add(claim);
    }

    /** A claimant that did not get enough keepers gives its claim back; a later claim of its own is not touched. */
    public void release(String customer, String id, String claimant, long round) {
        Claim there = claims.get(new Key(customer, id));
        if (there != null && there.claimant.equals(claimant) && there.round <= round) {
            there.released = true;
            claims.remove(there.key);
        }
    }

    private void expire(double now) {
        while (!byExpiry.isEmpty() && (byExpiry.peek().released || byExpiry.peek().expiresAt <= now)) {
            Claim old = byExpiry.poll();
            if (!old.released) {
                claims.remove(old.key, old);
                markForgottenUpTo(old.signedAt);
            }
        }
    }

    /**
     * A claimant's ledger had got so far.
     *
     * @param position see {@link LedgerPosition}
     */
    public void recordPosition(String claimant, long position) {
        if (recordPosition.size() < MAX_CLAIMANTS || recordPosition.containsKey(claimant)) {
            recordPosition.merge(claimant, position, Math::max);
        }
    }

    /** How far a claimant's ledger is known to have got. */
    public long lastKnownPosition(String claimant) {
        return recordPosition.getOrDefault(claimant, LedgerPosition.UNKNOWN);
    }

    public int size() {
        return claims.size();
    }
}
