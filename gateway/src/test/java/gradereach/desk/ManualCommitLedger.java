package gradereach.desk;

import gradereach.ledger.LedgerState;
import gradereach.ledger.LedgerRecord;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** A ledger in memory whose commits the test brings about one by one. */
final class ManualCommitLedger implements Ledger {
    private record Pending(LedgerRecord record, AppendCallback then) { }

    final List<LedgerRecord> durable = new ArrayList<>();
    private final ArrayDeque<Pending> pending = new ArrayDeque<>();
    boolean usable = true;
    double margin;
    /** A planted bug: says durable before it is. */
    boolean acknowledgesEarly;

    @Override
    public boolean isWritable() {
        return usable;
    }

    @Override
    public double commitMargin() {
        return margin;
    }

    @Override
    public void append(LedgerRecord record, AppendCallback then) {
        pending.add(new Pending(record, then));
    }

    boolean hasPending() {
        return !pending.isEmpty();
    }

    /** Commits the oldest; {@code ok} false for a disk that fails. */
    void commit(CoordinatorHarness stage, boolean ok) {
        Pending next = pending.poll();
        if (ok && !acknowledgesEarly) {
            durable.add(next.record);
        }
        stage.runBatch(stage.now, () -> next.then.onComplete(ok));
    }

    /** What is in memory only is gone with the process. */
    void crash() {
        pending.clear();
    }

    LedgerState replay() {
        LedgerState book = new LedgerState();
        durable.forEach(book::apply);
        return book;
    }
}
