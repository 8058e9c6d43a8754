package gradereach.desk;

import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerTime;

/** What must survive the process. Called by the deciding thread; must not block. */
public interface Ledger {
    /** Told at a later moment, on the deciding thread. */
    interface AppendCallback {
        /** {@code durable} false where the ledger cannot be written. */
        void onComplete(boolean durable);
    }

    /** Whether messages that need it may be taken. */
    boolean isWritable();

    /** Milliseconds that a commit takes at present, on the safe side. */
    double commitMargin();

    void append(LedgerRecord record, AppendCallback then);

    /** How far it has got, durably ({@link LedgerPosition}). */
    default long position() {
        return LedgerPosition.UNKNOWN;
    }

    /** The time that its records carry. */
    default LedgerTime time() {
        return LedgerTime.MONOTONIC;
    }

    /** Keeps nothing: what a restart may forget. */
    Ledger NONE = new Ledger() {
        @Override
        public boolean isWritable() {
            return true;
        }

        @Override
        public double commitMargin() {
            return 0;
        }

        @Override
        public void append(LedgerRecord record, AppendCallback then) {
            throw new IllegalStateException("there is no ledger");
        }
    };
}
