package gradereach.ledger;

import gradereach.message.FinalAnswer;

/**
 * A record of the ledger: one step in the processing of a message. {@code timestamp} is ledger time in milliseconds
 * ({@link LedgerTime}). A message is identified by its customer's name and its {@code webhook-id}; the customers' numbers change
 * with the deployment file.
 */
public sealed interface LedgerRecord {
    /** Seconds by which a signed timestamp may be ahead of the message's arrival: the tolerance of Standard Webhooks. */
    long SIGNED_TIMESTAMP_TOLERANCE_SECONDS = 300;
    double MILLIS_PER_SECOND = 1000;

    /** The latest signed timestamp, in Unix seconds, that a message can have carried at that Unix time in milliseconds. */
    static long latestPossibleSignedAt(double unixMillis) {
        return (long) (unixMillis / MILLIS_PER_SECOND) + SIGNED_TIMESTAMP_TOLERANCE_SECONDS;
    }

    /** The customer's name. */
    String customer();

    /** The message's {@code webhook-id}. */
    String id();

    /** When the record was written, in ledger time. */
    double timestamp();

    /**
     * A forward is about to be sent: from here on the message may have run.
     *
     * @param signedAt the message's signed timestamp, in Unix seconds
     */
    record ForwardIntended(String customer, String id, double timestamp, long digestHigh, long digestLow, String group, String model,
            Recipient recipient, String forwardId, long signedAt) implements LedgerRecord {
        /** An intent as written by earlier versions, which recorded neither the executor's process nor the signed timestamp. */
        public ForwardIntended(String customer, String id, double timestamp, long digestHigh, long digestLow, String group, String model,
                String address, String forwardId) {
            this(customer, id, timestamp, digestHigh, digestLow, group, model, new Recipient("", address, Double.NaN), forwardId,
                    latestPossibleSignedAt(timestamp));
        }
    }

    /** Every forward so far is proven not to have run. */
    record ProvenNotRun(String customer, String id, double timestamp) implements LedgerRecord { }

    /** The final answer, as it is sent. */
    record Answered(String customer, String id, double timestamp, FinalAnswer answer) implements LedgerRecord { }

    /** An answer by webhook was promised; {@code timestamp} identifies the promise. */
    record DeliveryPromised(String customer, String id, double timestamp, long digestHigh, long digestLow, String group)
            implements LedgerRecord { }

    /**
     * A delivery of the promised answer was attempted.
     *
     * @param promisedAt timestamp of the promise
     * @param attempts attempts so far
     * @param finished whether no further attempt follows
     */
    record DeliveryAttempted(String customer, String id, double timestamp, double promisedAt, int attempts, boolean finished)
            implements LedgerRecord { }

    /**
     * Written as a replica: the claim of a message was granted to that claimant.
     *
     * @param signedAt the message's signed timestamp, in Unix seconds
     * @param claimantPosition position of the claimant's ledger when it made the claim ({@link LedgerPosition})
     */
    record ClaimGranted(String customer, String id, double timestamp, long digestHigh, long digestLow, String claimant, long signedAt,
            long claimantPosition) implements LedgerRecord {
        /** A claim as written by earlier versions, which recorded neither the signed timestamp nor the position. */
        public ClaimGranted(String customer, String id, double timestamp, long digestHigh, long digestLow, String claimant) {
            this(customer, id, timestamp, digestHigh, digestLow, claimant, latestPossibleSignedAt(timestamp), LedgerPosition.UNKNOWN);
        }
    }
}
