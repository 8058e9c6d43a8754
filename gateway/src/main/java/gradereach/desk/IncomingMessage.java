package gradereach.desk;

/**
 * A received message with a verified signature, not yet accepted.
 *
 * @param customer index of the customer whose key signed it
 * @param digestHigh first half of the 128-bit digest of the signed body, to detect a different body under the same id
 * @param signedAt its signed timestamp, Unix seconds
 * @param clientTimeout the timeout set by the client in milliseconds, 0 for none
 * @param receivedAt when its first byte was received, monotonic time; the client's timeout began earlier
 * @param markedAsRetry whether the client marked it as a further attempt
 * @param signedBody the message as received; null where it is not a webhook
 */
public record IncomingMessage(int customer, String id, long digestHigh, long digestLow, ModelCatalog.Entry model, InferenceInput input,
        double clientTimeout, double receivedAt, long signedAt, boolean markedAsRetry, SignedBody signedBody, AnswerObserver observer) {
    /** A message of a client that does not mark its retries; its id identifies a repeat. */
    public IncomingMessage(int customer, String id, long digestHigh, long digestLow, ModelCatalog.Entry model, InferenceInput input,
            double clientTimeout, double receivedAt, long signedAt, SignedBody signedBody, AnswerObserver observer) {
        this(customer, id, digestHigh, digestLow, model, input, clientTimeout, receivedAt, signedAt, false, signedBody, observer);
    }

    /** Signature and body as received, for relaying the message to another front end. */
    public record SignedBody(String signature, byte[] body) { }
}
