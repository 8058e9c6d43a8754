package gradereach.desk;

/**
 * A message whose signature held, before anything was decided on it.
 *
 * @param customer index of the customer whose key signed it
 * @param digestHigh first half of the 128-bit digest of the signed body, which tells another body under one id
 * @param signedAt its signed timestamp, Unix seconds
 * @param budget the client's own time in milliseconds, 0 for none
 * @param repeated whether its client says that it tries again
 * @param arrivedAt module time at which its first byte came: its client's clock runs from before that
 */
public record IncomingMessage(int customer, String id, long digestHigh, long digestLow, ModelCatalog.Entry model, InferenceInput input,
        double clientTimeout, double receivedAt, long signedAt, boolean markedAsRetry, SignedBody signedBody, AnswerObserver observer) {
    /** Of a client that does not tell its repeats: the message's id does. */
    public IncomingMessage(int customer, String id, long digestHigh, long digestLow, ModelCatalog.Entry model, InferenceInput input,
            double budget, double arrivedAt, long signedAt, SignedBody signed, AnswerObserver asker) {
        this(customer, id, digestHigh, digestLow, model, input, budget, arrivedAt, signedAt, false, signed, asker);
    }

    /** The message as it came, for handing it on; null for one that is no webhook. */
    public record SignedBody(String signature, byte[] body) { }
}
