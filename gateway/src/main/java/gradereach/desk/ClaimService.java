package gradereach.desk;

/** Decides which front end may run a message. Called on the decision thread; must not block. */
public interface ClaimService {
    /** The result of a claim. */
    enum ClaimStatus {
        /** No other front end may run it, now or later. */
        GRANTED,
        /** Another front end holds the claim. */
        HELD_BY_OTHER,
        /** The holder cannot be determined now; nothing was decided. */
        UNKNOWN
    }

    /** @param holder the front end that holds the claim; null unless {@code HELD_BY_OTHER} */
    record ClaimResult(ClaimStatus status, String holder) { }

    /** Called in a later event batch, on the decision thread. */
    interface ClaimCallback {
        void onResult(ClaimResult result);
    }

    /**
     * Claims a message for this front end.
     *
     * @param timeout milliseconds to wait at most
     */
    void claim(MessageIdentity message, double timeout, ClaimCallback callback);

    /** Relays the message to the front end that holds its claim; the answer goes to the message's observer. */
    void relayToHolder(IncomingMessage message, String holder);

    /** For a single front end, which owns all messages without claiming them. */
    ClaimService ALONE = new ClaimService() {
        @Override
        public void claim(MessageIdentity message, double timeout, ClaimCallback callback) {
            throw new IllegalStateException("a single front end does not claim messages");
        }

        @Override
        public void relayToHolder(IncomingMessage message, String holder) {
            throw new IllegalStateException("there is no other front end to relay the message to");
        }
    };
}
