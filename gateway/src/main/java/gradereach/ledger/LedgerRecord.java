package gradereach.ledger;

import gradereach.message.FinalAnswer;

/**
 * What the ledger keeps of a message, one step of its life each. {@code at} is in milliseconds by the
 * ledger's time ({@link LedgerTime}). A message is
 * known by its customer's name and its {@code webhook-id}; customers' numbers change with the deployment file.
 */
public sealed interface LedgerRecord {
    /** Seconds by which a signed timestamp may lie ahead of its message's coming: the specification's tolerance. */
    long SIGNED_TIMESTAMP_TOLERANCE_SECONDS = 300;
    double MILLIS_PER_SECOND = 1000;

    /** The latest timestamp that a message can have carried at such Unix milliseconds, Unix seconds. */
    static long latestPossibleSignedAt(double at) {
        return (long) (at / MILLIS_PER_SECOND) + SIGNED_TIMESTAMP_TOLERANCE_SECONDS;
    }

    String customer();

    String id();

    double timestamp();

    /**
     * A forward is about to leave: from here on it may have run.
     *
     * @param signedAt the message's signed timestamp, Unix seconds
     */
    record ForwardIntended(String customer, String id, double timestamp, long digestHigh, long digestLow, String group, String model,
            Recipient recipient, String forwardId, long signedAt) implements LedgerRecord {
        /** As it was written before processes and timestamps were recorded. */
        public ForwardIntended(String customer, String id, double at, long digestHigh, long digestLow, String group, String model,
                String address, String forward) {
            this(customer, id, at, digestHigh, digestLow, group, model, new Recipient("", address, Double.NaN), forward,
                    latestPossibleSignedAt(at));
        }
    }

    /** Every forward so far is proven not to have run. */
    record ProvenNotRun(String customer, String id, double timestamp) implements LedgerRecord { }

    /** Its final answer, as it leaves. */
    record Answered(String customer, String id, double timestamp, FinalAnswer answer) implements LedgerRecord { }

    /** An answer by webhook was promised; {@code at} names the promise. */
    record DeliveryPromised(String customer, String id, double timestamp, long digestHigh, long digestLow, String group)
            implements LedgerRecord { }

    /** The answer promised at {@code of} was tried to be delivered; {@code over} where no further try follows. */
    record DeliveryAttempted(String customer, String id, double timestamp, double promisedAt, int attempts, boolean finished)
            implements LedgerRecord { }

    /**
     * As a keeper: the message belongs to that front end and no other.
     *
     * @param signedAt the message's signed timestamp, Unix seconds
     * @param claimantPosition how far the claimant's ledger had got as it claimed ({@link LedgerPosition})
     */
    record ClaimGranted(String customer, String id, double timestamp, long digestHigh, long digestLow, String claimant, long signedAt,
            long claimantPosition) implements LedgerRecord {
        /** As it was written before timestamps and positions were recorded. */
        public ClaimGranted(String customer, String id, double at, long digestHigh, long digestLow, String claimant) {
            this(customer, id, at, digestHigh, digestLow, claimant, latestPossibleSignedAt(at), LedgerPosition.UNKNOWN);
        }
    }
}
