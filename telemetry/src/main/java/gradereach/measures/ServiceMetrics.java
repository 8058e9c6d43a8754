package gradereach.measures;

import gradereach.measures.MetricFamily.Point;
import gradereach.measures.MetricFamily.Type;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * The service level metrics of a front end: value requested and value returned, within the SLO time or late, by model group, customer
 * and model, and the answer times. The decision thread records without allocating or locking.
 */
public final class ServiceMetrics implements MetricFamily.Source {
    /**
     * How an inference ended; {@code LEFT}: without an answer, because its client left. The constants are label values, and their
     * order is that of the columns.
     */
    public enum EndReason { RETURNED, SHED, FAILED, LEFT }

    // Columns of the counter tables after those of the end reasons, which are the ordinals 0 to 3.
    private static final int REQUESTED = 4;
    private static final int VALUE_REQUESTED = 5;
    private static final int VALUE_IN_SLO = 6;
    private static final int VALUE_LATE = 7;
    private static final int FORWARDS = 8;
    private static final int COLUMNS = 9;
    /** Values are counted in millionths. */
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

    /** @param maxNames number of customers, and of models, that get series of their own */
    public ServiceMetrics(List<String> groups, int maxNames, LongSupplier unixMillis) {
        this.groups = List.copyOf(groups);
        this.unixMillis = unixMillis;
        long now = unixMillis.getAsLong();
        byGroup = new CounterTable(groups.size(), COLUMNS, now);
        byCustomer = new CounterTable(maxNames + 1, COLUMNS, now);
        byModel = new CounterTable(maxNames + 1, COLUMNS, now);
        customers = new TopNames(maxNames, slot -> byCustomer.moveToOthers(slot, unixMillis.getAsLong()));
        models = new TopNames(maxNames, slot -> byModel.moveToOthers(slot, unixMillis.getAsLong()));
        answerTimes = new DurationHistogram[groups.size()];
        queueTimes = new DurationHistogram[groups.size()];
        for (int i = 0; i < answerTimes.length; i++) {
            answerTimes[i] = new DurationHistogram(now);
            queueTimes[i] = new DurationHistogram(now);
        }
    }

    /**
     * Records an inference that has ended.
     *
     * @param group index of its model group
     * @param value of an answer within the SLO time
     * @param returnedValue value of the answer that was returned: all, a part, or 0
     * @param inSlo whether it was returned within the SLO time
     * @param answerMillis from acceptance to the answer
     * @param queueMillis from acceptance to the first forward, NaN without one
     */
    public void recordInference(int group, String customer, long customerHash, String model, long modelHash, EndReason reason,
            double value, double returnedValue, boolean inSlo, double answerMillis, double queueMillis, int forwards) {
        record(byGroup, group, reason, value, returnedValue, inSlo, forwards);
        record(byCustomer, customers.recordUse(customer, customerHash), reason, value, returnedValue, inSlo, forwards);
        record(byModel, models.recordUse(model, modelHash), reason, value, returnedValue, inSlo, forwards);
        if (reason == EndReason.RETURNED) {
            answerTimes[group].record(answerMillis);
        }
        if (queueMillis >= 0) {
            queueTimes[group].record(queueMillis);
        }
    }

    private static void record(CounterTable table, int row, EndReason reason, double value, double returnedValue,
            boolean inSlo, int forwards) {
        table.add(row, reason.ordinal(), 1);
        table.add(row, REQUESTED, 1);
        table.add(row, VALUE_REQUESTED, (long) (value * VALUE_SCALE));
        if (returnedValue > 0) {
            table.add(row, inSlo ? VALUE_IN_SLO : VALUE_LATE, (long) (returnedValue * VALUE_SCALE));
        }
        table.add(row, FORWARDS, forwards);
    }

    @Override
    public void collect(List<MetricFamily> into) {
        collectByLabel(into, "group", null, byGroup, groups.size());
        collectByLabel(into, "customer", customers, byCustomer, customers.slotsInUse());
        collectByLabel(into, "model", models, byModel, models.slotsInUse());
        into.add(histogramFamily("gradereach_answer_seconds", "From an inference's taking to its returned answer", answerTimes));
        into.add(histogramFamily("gradereach_held_seconds", "From an inference's taking to its first forward", queueTimes));
    }

    private MetricFamily histogramFamily(String name, String help, DurationHistogram[] histograms) {
        List<Point> points = new ArrayList<>();
        for (int i = 0; i < histograms.length; i++) {
            points.add(new Point(List.of("group", groups.get(i)), Double.NaN, histograms[i].snapshot(), histograms[i].createdMillis()));
        }
        return new MetricFamily(name, Type.HISTOGRAM, "seconds", help, points);
    }

    private void collectByLabel(List<MetricFamily> into, String label, TopNames names, CounterTable table, int rows) {
        List<Point> ended = new ArrayList<>();
        List<List<Point>> byColumn = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (int row = 0; row < rows; row++) {
            String name;
            long created;
            long[] counts = new long[COLUMNS];
            int version;
            do {
                // A slot whose name changes meanwhile is read again, so that its counts belong to one name.
                version = names == null ? 0 : names.version(row);
                name = names == null ? groups.get(row) : names.name(row);
                created = table.createdMillis(row);
                for (int column = 0; column < COLUMNS; column++) {
                    counts[column] = table.get(row, column);
                }
            } while (names != null && ((version & 1) == 1 || version != names.version(row)));
            for (EndReason reason : EndReason.values()) {
                ended.add(new Point(List.of(label, name, "outcome", reason.name().toLowerCase()), counts[reason.ordinal()], null, created));
            }
            for (int column = REQUESTED; column < COLUMNS; column++) {
                double scale = column == REQUESTED || column == FORWARDS ? 1 : VALUE_SCALE;
                byColumn.get(column - REQUESTED).add(new Point(List.of(label, name), counts[column] / scale, null, created));
            }
        }
        String prefix = "gradereach_" + label + "_";
        into.add(new MetricFamily(prefix + "inferences_ended", Type.COUNTER, "", "Inferences by how they ended, by " + label, ended));
        into.add(new MetricFamily(prefix + "inferences", Type.COUNTER, "", "Inferences that have ended, by " + label, byColumn.get(0)));
        into.add(new MetricFamily(prefix + "value_asked", Type.COUNTER, "", "Value asked for, by " + label, byColumn.get(1)));
        into.add(new MetricFamily(prefix + "value_in_slo", Type.COUNTER, "", "Value returned within the SLO time, by " + label,
                byColumn.get(2)));
        into.add(new MetricFamily(prefix + "value_late", Type.COUNTER, "", "Value returned after the SLO time, by " + label,
                byColumn.get(3)));
        into.add(new MetricFamily(prefix + "forwards", Type.COUNTER, "", "Forwards of inferences that have ended, by " + label,
                byColumn.get(4)));
    }
}
