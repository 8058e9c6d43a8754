package gradereach.measures;

import gradereach.measures.MetricFamily.Point;
import gradereach.measures.MetricFamily.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * What the users judge a front end by: the value of what was asked for and of what was returned, within the SLO time or late, by
 * model group, customer and model; and how long it took. The deciding thread records: nothing is allocated and nothing locked.
 */
public final class ServiceMetrics implements MetricFamily.Source {
    /** How an inference ended, as it is counted. */
    public enum EndReason { RETURNED, SHED, FAILED, LEFT }

    private static final int REQUESTED = 4;
    private static final int VALUE_REQUESTED = 5;
    private static final int VALUE_IN_SLO = 6;
    private static final int VALUE_LATE = 7;
    private static final int FORWARDS = 8;
    private static final int COLUMNS = 9;
    /** Values are kept in millionths. */
    private static final double VALUE_SCALE = 1e6;

    private final List<String> groups;
    private final LongSupplier unixMillis;
    private final CounterTable byGroup;
    private final CounterTable byCustomer;
    private final CounterTable byModel;
    private final TopNames customers;
    private final TopNames models;
    private final DurationHistogram[] answerTimes;
    private final DurationHistogram[] queueTimes;

    /** @param most customers, and models, that have series of their own */
    public ServiceMetrics(List<String> groups, int most, LongSupplier unixMillis) {
        this.groups = List.copyOf(groups);
        this.unixMillis = unixMillis;
        long now = unixMillis.getAsLong();
        byGroup = new CounterTable(groups.size(), COLUMNS, now);
        byCustomer = new CounterTable(most + 1, COLUMNS, now);
        byModel = new CounterTable(most + 1, COLUMNS, now);
        customers = new TopNames(most, slot -> byCustomer.moveToOthers(slot, unixMillis.getAsLong()));
        models = new TopNames(most, slot -> byModel.moveToOthers(slot, unixMillis.getAsLong()));
        answerTimes = new DurationHistogram[groups.size()];
        queueTimes = new DurationHistogram[groups.size()];
        for (int i = 0; i < answerTimes.length; i++) {
            answerTimes[i] = new DurationHistogram(now);
            queueTimes[i] = new DurationHistogram(now);
        }
    }

    /**
     * An inference has ended.
     *
     * @param group its index
     * @param value of an answer in time
     * @param worth what its answer was worth: all, a share, or nothing
     * @param inSlo whether that was in time
     * @param tookMillis from its taking to its answer
     * @param heldMillis to its first forward, NaN without one
     */
    public void recordInference(int group, String customer, long customerHash, String model, long modelHash, EndReason end, double value,
            double worth, boolean inSlo, double tookMillis, double heldMillis, int forwards) {
        record(byGroup, group, end, value, worth, inSlo, forwards);
        record(byCustomer, customers.recordUse(customer, customerHash), end, value, worth, inSlo, forwards);
        record(byModel, models.recordUse(model, modelHash), end, value, worth, inSlo, forwards);
        if (end == EndReason.RETURNED) {
            answerTimes[group].record(tookMillis);
        }
        if (heldMillis >= 0) {
            queueTimes[group].record(heldMillis);
        }
    }

    private static void record(CounterTable grid, int row, EndReason end, double value, double worth, boolean inSlo, int forwards) {
        grid.add(row, end.ordinal(), 1);
        grid.add(row, REQUESTED, 1);
        grid.add(row, VALUE_REQUESTED, (long) (value * VALUE_SCALE));
        if (worth > 0) {
            grid.add(row, inSlo ? VALUE_IN_SLO : VALUE_LATE, (long) (worth * VALUE_SCALE));
        }
        grid.add(row, FORWARDS, forwards);
    }

    @Override
    public void collect(List<MetricFamily> into) {
        collectByLabel(into, "group", null, byGroup, groups.size());
        collectByLabel(into, "customer", customers, byCustomer, customers.slotsInUse());
        collectByLabel(into, "model", models, byModel, models.slotsInUse());
        into.add(histogramFamily("gradereach_answer_seconds", "From an inference's taking to its returned answer", answerTimes));
        into.add(histogramFamily("gradereach_held_seconds", "From an inference's taking to its first forward", queueTimes));
    }

    private MetricFamily histogramFamily(String name, String help, DurationHistogram[] all) {
        List<Point> points = new ArrayList<>();
        for (int i = 0; i < all.length; i++) {
            points.add(new Point(List.of("group", groups.get(i)), Double.NaN, all[i].snapshot(), all[i].createdMillis()));
        }
        return new MetricFamily(name, Type.HISTOGRAM, "seconds", help, points);
    }

    private void collectByLabel(List<MetricFamily> into, String label, TopNames names, CounterTable grid, int rows) {
        List<Point> ended = new ArrayList<>();
        List<List<Point>> rest = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (int row = 0; row < rows; row++) {
            String name;
            long created;
            long[] cells = new long[COLUMNS];
            int stamp;
            do {
                // A slot that changes its name meanwhile is read again: its counts belong to one name.
                stamp = names == null ? 0 : names.version(row);
                name = names == null ? groups.get(row) : names.name(row);
                created = grid.createdMillis(row);
                for (int c = 0; c < COLUMNS; c++) {
                    cells[c] = grid.get(row, c);
                }
            } while (names != null && ((stamp & 1) == 1 || stamp != names.version(row)));
            for (EndReason end : EndReason.values()) {
                ended.add(new Point(List.of(label, name, "outcome", end.name().toLowerCase()), cells[end.ordinal()], null, created));
            }
            for (int c = REQUESTED; c < COLUMNS; c++) {
                double unit = c == REQUESTED || c == FORWARDS ? 1 : VALUE_SCALE;
                rest.get(c - REQUESTED).add(new Point(List.of(label, name), cells[c] / unit, null, created));
            }
        }
        String by = "gradereach_" + label + "_";
        into.add(new MetricFamily(by + "inferences_ended", Type.COUNTER, "", "Inferences by how they ended, by " + label, ended));
        into.add(new MetricFamily(by + "inferences", Type.COUNTER, "", "Inferences that have ended, by " + label, rest.get(0)));
        into.add(new MetricFamily(by + "value_asked", Type.COUNTER, "", "Value asked for, by " + label, rest.get(1)));
        into.add(new MetricFamily(by + "value_in_slo", Type.COUNTER, "", "Value returned within the SLO time, by " + label, rest.get(2)));
        into.add(new MetricFamily(by + "value_late", Type.COUNTER, "", "Value returned after the SLO time, by " + label, rest.get(3)));
        into.add(new MetricFamily(by + "forwards", Type.COUNTER, "", "Forwards of inferences that have ended, by " + label, rest.get(4)));
    }
}
