package gradereach.desk;

/**
 * Identifies a signed message among front ends.
 *
 * @param customer the customer's name
 * @param id the message id given by the client
 * @param digestHigh first half of the body's digest
 * @param digestLow second half of the body's digest
 * @param signedAt its signed timestamp, Unix seconds; {@link #SIGNED_AT_UNKNOWN} where a front end of an
 *     earlier version sent none
 */
public record MessageIdentity(String customer, String id, long digestHigh, long digestLow, long signedAt) {
    /** Lower than any timestamp. */
    public static final long SIGNED_AT_UNKNOWN = Long.MIN_VALUE;

    public boolean hasSignedAt() {
        return signedAt != SIGNED_AT_UNKNOWN;
    }

    /** The same message; where its timestamp is unknown, with the latest one that it can have. */
    public MessageIdentity withDefaultSignedAt(long latest) {
        return hasSignedAt() ? this : new MessageIdentity(customer, id, digestHigh, digestLow, latest);
    }
}
