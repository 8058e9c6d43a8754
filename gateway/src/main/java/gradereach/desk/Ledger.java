package gradereach.desk;

import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerTime;

/** What must survive the process. Called by the deciding thread; must not block. */
public interface Ledger {
    /** Told at a later moment, on the deciding thread. */
    interface Then {
        /** {@code durable} false where the ledger cannot be written. */
        void done(boolean durable);
    }

    /** Whether messages that need it may be taken. */
    boolean usable();

    /** Milliseconds that a commit takes at present, on the safe side. */
    double margin();

    void append(LedgerRecord record, Then then);

    /** How far it has got, durably ({@link LedgerPosition}). */
    default long position() {
        return LedgerPosition.UNKNOWN;
    }

    /** The time that its records carry. */
    default LedgerTime time() {
        return LedgerTime.MODULE;
    }

    /** Keeps nothing: what a restart may forget. */
    Ledger NONE = new Ledger() {
        @Override
        public boolean usable() {
            return true;
        }

        @Override
        public double margin() {
            return 0;
        }

        @Override
        public void append(LedgerRecord record, Then then) {
            throw new IllegalStateException("there is no ledger");
        }
    };
}
