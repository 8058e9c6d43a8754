package gradereach.desk;

/** Whose a message is, among front ends. Called by the deciding thread; must not block. */
public interface Claims {
    /** What a claim came to. */
    enum Kind {
        /** Nobody else may run it, now or later. */
        MINE,
        /** Another front end has it. */
        OTHERS,
        /** It cannot be known now; nothing was decided. */
        UNKNOWN
    }

    /** {@code holder} is null but for OTHERS. */
    record Verdict(Kind kind, String holder) { }

    /** Told at a later moment, on the deciding thread. */
    interface Then {
        void done(Verdict verdict);
    }

    /** {@code patience} is how long to wait at most, milliseconds. */
    void claim(MessageIdentity message, double patience, Then then);

    /** Hands the message on to the front end that has it; its answer goes to whoever asked. */
    void handOn(Arrival arrival, String holder);

    /** One front end alone: all is its own. */
    Claims ALONE = new Claims() {
        @Override
        public void claim(MessageIdentity message, double patience, Then then) {
            throw new IllegalStateException("nobody to ask");
        }

        @Override
        public void handOn(Arrival arrival, String holder) {
            throw new IllegalStateException("nobody to hand on to");
        }
    };
}
