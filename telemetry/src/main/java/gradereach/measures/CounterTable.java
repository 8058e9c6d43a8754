package gradereach.measures;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counters in rows of columns, which one thread adds to without allocating or waiting and any thread reads. Rows may be bound
 * to {@link TopNames}: what leaves a slot is added to row 0, so that the sum over all rows is always all that was counted.
 */
public final class CounterTable {
    private final int columns;
    private final AtomicLongArray cells;
    private final AtomicLongArray createdMillis;

    public CounterTable(int rows, int columns, long nowMillis) {
        this.columns = columns;
        cells = new AtomicLongArray(rows * columns);
        createdMillis = new AtomicLongArray(rows);
        for (int i = 0; i < rows; i++) {
            createdMillis.set(i, nowMillis);
        }
    }

    public void add(int row, int column, long amount) {
        int i = row * columns + column;
        cells.lazySet(i, cells.getPlain(i) + amount);
    }

    /** A row changes its meaning: its counts go to row 0 and begin anew. */
    public void moveToOthers(int row, long nowMillis) {
        for (int c = 0; c < columns; c++) {
            int i = row * columns + c;
            long had = cells.getPlain(i);
            cells.lazySet(i, 0);
            add(0, c, had);
        }
        createdMillis.lazySet(row, nowMillis);
    }

    public long get(int row, int column) {
        return cells.get(row * columns + column);
    }

    public long createdMillis(int row) {
        return createdMillis.get(row);
    }
}
