package gradereach.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Sum of the amounts that were added since a given time. */
public final class SlidingWindowSum {
    /** Pairs of a time and an amount, in the order of time. */
    private final ArrayDeque<double[]> amounts = new ArrayDeque<>();
    private double sum;

    public void add(double amount, double now) {
        amounts.add(new double[] {now, amount});
        sum += amount;
    }

    /** Adds all amounts of another sum. */
    public void addAll(SlidingWindowSum other) {
        List<double[]> all = new ArrayList<>(amounts);
        all.addAll(other.amounts);
        all.sort(Comparator.comparingDouble(amount -> amount[0]));
        amounts.clear();
        amounts.addAll(all);
        sum += other.sum;
    }

    /** Returns the sum since that time, and drops older amounts: later calls must not ask for an earlier time. */
    public double sumSince(double time) {
        while (!amounts.isEmpty() && amounts.peek()[0] < time) {
            sum -= amounts.poll()[1];
        }
        return amounts.isEmpty() ? sum = 0 : sum; // an empty window clears the rounding errors of the sum
    }
}
