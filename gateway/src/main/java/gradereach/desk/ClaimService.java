package gradereach.desk;

/** Whose a message is, among front ends. Called by the deciding thread; must not block. */
public interface ClaimService {
    /** What a claim came to. */
    enum ClaimStatus {
        /** Nobody else may run it, now or later. */
        GRANTED,
        /** Another front end has it. */
        HELD_BY_OTHER,
        /** It cannot be known now; nothing was decided. */
        UNKNOWN
    }

    /** {@code holder} is null but for OTHERS. */
    record ClaimResult(ClaimStatus status, String holder) { }

    /** Told at a later moment, on the deciding thread. */
    interface ClaimCallback {
        void onResult(ClaimResult verdict);
    }

    /** {@code patience} is how long to wait at most, milliseconds. */
    void claim(MessageIdentity message, double patience, ClaimCallback then);

    /** Hands the message on to the front end that has it; its answer goes to whoever asked. */
    void relayToHolder(IncomingMessage arrival, String holder);

    /** One front end alone: all is its own. */
    ClaimService ALONE = new ClaimService() {
        @Override
        public void claim(MessageIdentity message, double patience, ClaimCallback then) {
            throw new IllegalStateException("nobody to ask");
        }

        @Override
        public void relayToHolder(IncomingMessage arrival, String holder) {
            throw new IllegalStateException("nobody to hand on to");
        }
    };
}
