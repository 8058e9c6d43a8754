package gradereach.benchlink;

import gradereach.Policy;
import gradereach.api.ColdStartRule;
import gradereach.api.Customer;
import gradereach.api.DedupScope;
import gradereach.api.ForwardRules;
import gradereach.api.LoadOrderBudget;
import gradereach.api.LoadingRules;
import gradereach.api.ModelGroup;
import gradereach.api.RouterActions;
import gradereach.api.RetrySafety;
import gradereach.api.ExecutorReport;
import gradereach.api.Router;
import gradereach.api.FrontEndSettings;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The settings of an instance, path by path, read into the trade's types. The bench's wire sends them as path=value
 * lines; a front end of the platform has them from its configuration, flattened to the same paths.
 */
public final class InstanceSettings {
    private static final List<String> REPORT_COLUMNS =
            List.of("rif", "q", "busy", "lat_ms", "rate", "fail_rate", "x0", "x1");

    private final Map<String, String> lines;
    public final List<ModelGroup> groups = new ArrayList<>();
    public final List<Customer> customers = new ArrayList<>();
    public final List<String> reportColumns;
    public final FrontEndSettings frontEnd;
    public final ColdStartRule coldStart;
    public final LoadOrderBudget loadOrderBudget;
    public final LoadingRules loadingRules;
    public final ForwardRules forwardRules;
    /** Whether answers tell how many inferences of the model the executor held. */
    public final boolean reportsModelInFlight;
    private final double overQuotaValue;

    InstanceSettings(byte[] content) throws InvalidInputException {
        this(lines(content));
    }

    private static Map<String, String> lines(byte[] content) {
        Map<String, String> lines = new HashMap<>();
        for (String line : new String(content, StandardCharsets.UTF_8).split("\n")) {
            int eq = line.indexOf('=');
            if (eq > 0) {
                lines.put(line.substring(0, eq).trim(), line.substring(eq + 1).trim());
            }
        }
        return lines;
    }

    /** @param lines value by path; lists of plain values joined by commas, lists of objects by .count, .0, .1 and on */
    public InstanceSettings(Map<String, String> lines) throws InvalidInputException {
        this.lines = lines;
        reportColumns = list("report.columns");
        int count = (int) requiredPositive("grades.count");
        for (int i = 0; i < count; i++) {
            groups.add(group("grades." + i + "."));
        }
        for (int i = 0; i < (int) nonNegative("customers.count", 0); i++) {
            String at = "customers." + i + ".";
            customers.add(new Customer(text(at + "name", ""), nonNegative(at + "portion", 0), nonNegative(at + "quota_rps", 0)));
        }
        List<Double> memory = new ArrayList<>();
        for (String value : list("extra.memory_mb_by_kind")) {
            memory.add(parse("extra.memory_mb_by_kind", value));
        }
        boolean asks = text("registry_mode", "push").equals("ask");
        frontEnd = new FrontEndSettings((int) number("me", 0), (int) nonNegative("n_instances", 1), (int) number("az", 0),
                flag("limits.peers", false), flag("limits.probes", false), asks,
                nonNegative("penalties.probe", 0), nonNegative("penalties.cross_zone", 0), nonNegative("tick", 1));
        coldStart = new ColdStartRule(nonNegative("rules.start_capacity", 1), nonNegative("rules.warm_within", 0),
                nonNegative("rules.fall_multiple", 0), nonNegative("rules.fall", 0));
        loadOrderBudget = new LoadOrderBudget(nonNegative("extra.free_loads", 0), nonNegative("extra.load_share", 0),
                nonNegative("extra.load_span", 0));
        loadingRules = new LoadingRules(flag("extra.orders", false), text("extra.when_absent", "load").equals("load"),
                nonNegative("extra.stays_loaded", 0), nonNegative("extra.order_timeout", 0),
                nonNegative("extra.price_of_idle", 0), memory);
        forwardRules = new ForwardRules((int) nonNegative("limits.attempts_cap", 1), flag("limits.second_copies", false),
                flag("limits.cancel", false), nonNegative("limits.connect_timeout", 250),
                nonNegative("rules.answer_slack", 0), nonNegative("limits.max_retry_after", 0),
                flag("limits.retry_after", false), nonNegative("rules.drain_grace", 0));
        reportsModelInFlight = flag("extra.says_company", false);
        overQuotaValue = nonNegative("over_share_worth", 1);
    }

    /** A load report from its values by name, null where none is known. */
    public static ExecutorReport report(Iterable<String> names, double[] values) {
        double[] v = new double[8];
        Arrays.fill(v, Double.NaN);
        int i = 0;
        for (String name : names) {
            int at = i < values.length ? REPORT_COLUMNS.indexOf(name) : -1;
            if (at >= 0) {
                v[at] = values[i];
            }
            i++;
        }
        return new ExecutorReport(v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7]);
    }

    public Router createRouter(RouterActions out, long seed) {
        return new Policy(out, new Random(seed), frontEnd, groups, customers, overQuotaValue, coldStart, loadOrderBudget, loadingRules,
                forwardRules);
    }

    private ModelGroup group(String at) throws InvalidInputException {
        RetrySafety repeat = switch (text(at + "repeat", "")) {
            case "retryable" -> RetrySafety.RETRIABLE;
            case "dedup" -> RetrySafety.DEDUPED;
            case "fragile" -> RetrySafety.NON_RETRIABLE;
            default -> throw new InvalidInputException("start message: " + at + "repeat is missing or unknown");
        };
        DedupScope scope = switch (text(at + "group", "all")) {
            case "zone" -> DedupScope.LOCATION;
            case "cell" -> DedupScope.CELL;
            default -> DedupScope.ALL;
        };
        return new ModelGroup(text(at + "name", ""), repeat, scope, nonNegative(at + "repeat_window", 0),
                requiredPositive(at + "aim"), nonNegative(at + "aim_stretch", 0), requiredPositive(at + "deadline"), nonNegative(at + "worth", 1),
                nonNegative(at + "late_worth", 0), flag(at + "streaming", false));
    }

    /** A list of plain values; none where the path is missing. */
    public List<String> list(String key) {
        String joined = lines.getOrDefault(key, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    public String text(String key, String otherwise) {
        return lines.getOrDefault(key, otherwise);
    }

    public boolean flag(String key, boolean otherwise) throws InvalidInputException {
        String value = lines.get(key);
        return value == null ? otherwise : switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new InvalidInputException("start message: " + key + " is neither true nor false: " + value);
        };
    }

    /** A time or a count that must be there. */
    private double requiredPositive(String key) throws InvalidInputException {
        if (!lines.containsKey(key)) {
            throw new InvalidInputException("start message: " + key + " is missing");
        }
        double value = number(key, 0);
        if (value <= 0) {
            throw new InvalidInputException("start message: " + key + " is not above 0: " + lines.get(key));
        }
        return value;
    }

    public double number(String key, double otherwise) throws InvalidInputException {
        String value = lines.get(key);
        return value == null || value.isEmpty() ? otherwise : parse(key, value);
    }

    private double nonNegative(String key, double otherwise) throws InvalidInputException {
        double value = number(key, otherwise);
        if (value < 0) {
            throw new InvalidInputException("start message: " + key + " is below 0: " + value);
        }
        return value;
    }

    private static double parse(String key, String value) throws InvalidInputException {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new InvalidInputException("start message: " + key + " is no number: " + value);
    }
}
