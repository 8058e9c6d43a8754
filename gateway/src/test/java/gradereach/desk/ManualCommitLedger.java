package gradereach.desk;

import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** An in-memory ledger whose commits the test triggers one by one. */
final class ManualCommitLedger implements Ledger {
    private record Pending(LedgerRecord record, AppendCallback callback) { }

    final List<LedgerRecord> durable = new ArrayList<>();
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    boolean writable = true;
    double commitMarginMillis;
    /** An injected bug: reports records as durable that are not. */
    boolean acknowledgesEarly;

    @Override
    public boolean isWritable() {
        return writable;
    }

    @Override
    public double commitMargin() {
        return commitMarginMillis;
    }

    @Override
    public void append(LedgerRecord record, AppendCallback callback) {
        pending.add(new Pending(record, callback));
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** Commits the oldest pending record; {@code succeeds} is false for a failing disk. */
    void commit(CoordinatorHarness harness, boolean succeeds) {
        Pending next = pending.poll();
        if (succeeds && !acknowledgesEarly) {
            durable.add(next.record);
        }
        harness.runBatch(harness.now, () -> next.callback.onComplete(succeeds));
    }

    /** The process crashes: records that are not durable are lost. */
    void crash() {
        pending.clear();
    }

    /** The state that a restart reads from the durable records. */
    LedgerState replay() {
        LedgerState state = new LedgerState();
        durable.forEach(state::apply);
        return state;
    }
}
