package gradereach.claims;

import gradereach.desk.MessageIdentity;
import gradereach.ledger.LedgerPosition;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * The claims that one front end stores as a replica: which front end owns a message. A claim is granted once, and again only to the
 * same claimant. It expires with the retention of messages, or ends when its claimant releases it. A claimant is identified by its
 * front end and its ledger, so a front end that lost its ledger does not get its old claims back. The table remembers the latest
 * signed timestamp among expired claims: a claim of an unknown message that was signed no later is refused, because that message
 * may be one of the expired ones.
 */
public final class ClaimTable {
    private record Key(String customer, String id) { }

    /** A granted claim. */
    public static final class Claim {
        /** The front end with its ledger to which the claim was granted. */
        public final String claimant;
        private final long signedAt;
        final double expiresAt;
        private final Key key;
        private long round;
        private boolean released;

        Claim(Key key, String claimant, long round, long signedAt, double expiresAt) {
            this.key = key;
            this.claimant = claimant;
            this.round = round;
            this.signedAt = signedAt;
            this.expiresAt = expiresAt;
        }
    }

    /**
     * The reply to a claim. If it is neither granted nor has a holder, the table is full, or the holder is no longer known.
     *
     * @param holder the claimant to which it was granted before; null for none
     * @param newlyGranted whether the claim was not in the table before
     */
    public record ClaimReply(boolean granted, String holder, boolean newlyGranted) { }

    private static final int MAX_CLAIMANTS = 10_000;
    private static final long NOTHING_FORGOTTEN = Long.MIN_VALUE;

    private final int maxClaims;
    private final double retention;
    private final Map<Key, Claim> claims = new HashMap<>();
    private final ArrayDeque<Claim> expiryQueue = new ArrayDeque<>();
    /** Last known ledger position by claimant; a front end that loses its ledger appears again with a new one. */
    private final Map<String, Long> positions = new HashMap<>();
    /** The latest signed timestamp among claims that are no longer known, in Unix seconds; NOTHING_FORGOTTEN for none. */
    private long forgottenUpTo = NOTHING_FORGOTTEN;

    /** @param retention milliseconds for which claims are kept */
    public ClaimTable(int maxClaims, double retention) {
        this.maxClaims = maxClaims;
        this.retention = retention;
    }

    /**
     * Notes that claims of messages signed at {@code signedAt} or earlier may no longer be known.
     *
     * @param signedAt Unix seconds
     */
    public void markForgottenUpTo(long signedAt) {
        forgottenUpTo = Math.max(forgottenUpTo, signedAt);
    }

    /**
     * Grants or refuses a claim.
     *
     * @param round grows with every claim that a claimant makes
     * @param latestSignedAt the latest timestamp that a message can carry now, in Unix seconds
     */
    public ClaimReply claim(MessageIdentity message, String claimant, long round, double now, long latestSignedAt) {
        expire(now);
        Key key = new Key(message.customer(), message.id());
        Claim existing = claims.get(key);
        if (existing != null) {
            if (!existing.claimant.equals(claimant)) {
                return new ClaimReply(false, existing.claimant, false);
            }
            existing.round = Math.max(existing.round, round);
            return new ClaimReply(true, null, false);
        }
        boolean mayBeForgotten = forgottenUpTo != NOTHING_FORGOTTEN && message.signedAt() <= forgottenUpTo;
        if (mayBeForgotten || claims.size() >= maxClaims) {
            return new ClaimReply(false, null, false);
        }
        put(new Claim(key, claimant, round, message.withDefaultSignedAt(latestSignedAt).signedAt(), now + retention));
        return new ClaimReply(true, null, true);
    }

    /** Restores a claim from the ledger after a restart. Its round is unknown, so that no release matches it; that is safe. */
    public void restore(String customer, String id, String claimant, long signedAt, double expiresAt) {
        put(new Claim(new Key(customer, id), claimant, Long.MAX_VALUE, signedAt, expiresAt));
    }

    private void put(Claim claim) {
        claims.put(claim.key, claim);
        expiryQueue.add(claim);
    }

    /** Releases a claim that did not get a majority; a later claim of the same claimant is kept. */
    public void release(String customer, String id, String claimant, long round) {
        Claim existing = claims.get(new Key(customer, id));
        if (existing != null && existing.claimant.equals(claimant) && existing.round <= round) {
            existing.released = true;
            claims.remove(existing.key);
        }
    }

    private void expire(double now) {
        while (!expiryQueue.isEmpty() && (expiryQueue.peek().released || expiryQueue.peek().expiresAt <= now)) {
            Claim oldest = expiryQueue.poll();
            if (!oldest.released) {
                claims.remove(oldest.key, oldest);
                markForgottenUpTo(oldest.signedAt);
            }
        }
    }

    /**
     * Records the ledger position of a claimant; it never decreases.
     *
     * @param position see {@link LedgerPosition}
     */
    public void recordPosition(String claimant, long position) {
        if (positions.size() < MAX_CLAIMANTS || positions.containsKey(claimant)) {
            positions.merge(claimant, position, Math::max);
        }
    }

    /** The highest known ledger position of a claimant; {@link LedgerPosition#UNKNOWN} for none. */
    public long lastKnownPosition(String claimant) {
        return positions.getOrDefault(claimant, LedgerPosition.UNKNOWN);
    }

    /** The number of claims. */
    public int size() {
        return claims.size();
    }
}
