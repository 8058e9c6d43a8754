package gradereach.desk;

import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerTime;

/** The durable log of what must survive the process. Called on the decision thread; must not block. */
public interface Ledger {
    /** Called in a later event batch, on the decision thread. */
    interface AppendCallback {
        /** @param durable false where the ledger cannot be written */
        void onComplete(boolean durable);
    }

    /** Whether messages that need the ledger may be accepted. */
    boolean isWritable();

    /** Conservative estimate of the current commit time, milliseconds. */
    double commitMargin();

    /** Appends a record; the callback is called once it is durable or has failed. */
    void append(LedgerRecord record, AppendCallback callback);

    /** The durable position ({@link LedgerPosition}). */
    default long position() {
        return LedgerPosition.UNKNOWN;
    }

    /** The clock of its records. */
    default LedgerTime time() {
        return LedgerTime.MONOTONIC;
    }

    /** For front ends that keep nothing over a restart. */
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
        public void append(LedgerRecord record, AppendCallback callback) {
            throw new IllegalStateException("there is no ledger");
        }
    };
}
