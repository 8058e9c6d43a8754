package gradereach.measures;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * A table of counters. One thread writes without allocating or locking, any thread reads. Rows may be the slots of {@link TopNames}:
 * the counts of an evicted name are added to row 0, so that the sum over all rows is the total.
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

    /** Adds an amount to one counter; for the writing thread. */
    public void add(int row, int column, long amount) {
        int i = row * columns + column;
        cells.lazySet(i, cells.getPlain(i) + amount);
    }

    /** Adds the counts of a row to row 0 and resets the row, so that its slot can be given to another name. */
    public void moveToOthers(int row, long nowMillis) {
        for (int c = 0; c < columns; c++) {
            int i = row * columns + c;
            long count = cells.getPlain(i);
            cells.lazySet(i, 0);
            add(0, c, count);
        }
        createdMillis.lazySet(row, nowMillis);
    }

    /** Returns the count of one counter; for any thread. */
    public long get(int row, int column) {
        return cells.get(row * columns + column);
    }

    /** Unix time at which the row was created or last reset. */
    public long createdMillis(int row) {
        return createdMillis.get(row);
    }
}
