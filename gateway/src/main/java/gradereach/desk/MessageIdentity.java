package gradereach.desk;

/**
 * What tells one signed message from another, among front ends.
 *
 * @param customer by name
 * @param id as its client gave it
 * @param digestHigh first half of its body's digest
 * @param digestLow second half
 * @param signedAt its signed timestamp, Unix seconds; {@link #SIGNED_AT_UNKNOWN} where a front end of an earlier version tells none
 */
public record MessageIdentity(String customer, String id, long digestHigh, long digestLow, long signedAt) {
    /** Before any timestamp. */
    public static final long SIGNED_AT_UNKNOWN = Long.MIN_VALUE;

    public boolean hasSignedAt() {
        return signedAt != SIGNED_AT_UNKNOWN;
    }

    /** The same message, signed at the latest when it can have been. */
    public MessageIdentity withDefaultSignedAt(long latest) {
        return hasSignedAt() ? this : new MessageIdentity(customer, id, digestHigh, digestLow, latest);
    }
}
