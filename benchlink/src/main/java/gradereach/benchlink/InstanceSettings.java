package gradereach.benchlink;

import gradereach.Policy;
import gradereach.api.ColdStartRule;
import gradereach.api.Customer;
import gradereach.api.DedupScope;
import gradereach.api.ExecutorReport;
import gradereach.api.ForwardRules;
import gradereach.api.FrontEndSettings;
import gradereach.api.LoadOrderBudget;
import gradereach.api.LoadingRules;
import gradereach.api.ModelGroup;
import gradereach.api.RetrySafety;
import gradereach.api.Router;
import gradereach.api.RouterActions;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Parses the settings of an instance, given as values by path. The simulator protocol sends them as lines of path=value; a
 * front end of the platform takes them from its configuration, flattened to the same paths.
 */
public final class InstanceSettings {
    /** In the order of the components of {@link ExecutorReport}. */
    private static final List<String> REPORT_COLUMNS =
            List.of("rif", "q", "busy", "lat_ms", "rate", "fail_rate", "x0", "x1");

    private final Map<String, String> values;
    /** In the order of the settings; the protocol names a model group by its index. */
    public final List<ModelGroup> groups = new ArrayList<>();
    /** In the order of the settings; the protocol names a customer by its index. */
    public final List<Customer> customers = new ArrayList<>();
    /** Names of the values in a load report, in their order; see {@link #createReport}. */
    public final List<String> reportColumns;
    public final FrontEndSettings frontEnd;
    public final ColdStartRule coldStart;
    public final LoadOrderBudget loadOrderBudget;
    public final LoadingRules loadingRules;
    public final ForwardRules forwardRules;
    /** Whether an answer reports how many inferences of its model the executor had in flight. */
    public final boolean reportsModelInFlight;
    private final double overQuotaValue;

    InstanceSettings(byte[] content) throws InvalidInputException {
        this(parseLines(content));
    }

    private static Map<String, String> parseLines(byte[] content) {
        Map<String, String> values = new HashMap<>();
        for (String line : new String(content, StandardCharsets.UTF_8).split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                values.put(line.substring(0, equals).trim(), line.substring(equals + 1).trim());
            }
        }
        return values;
    }

    /**
     * Reads and checks all settings. Those that are not required have defaults.
     *
     * @param values by path; lists of scalars are joined by commas, lists of objects have the paths .count, .0, .1 and so on
     */
    public InstanceSettings(Map<String, String> values) throws InvalidInputException {
        this.values = values;
        reportColumns = list("report.columns");
        int count = (int) requiredPositive("grades.count");
        for (int index = 0; index < count; index++) {
            groups.add(readGroup("grades." + index + "."));
        }
        for (int index = 0; index < (int) nonNegative("customers.count", 0); index++) {
            String path = "customers." + index + ".";
            customers.add(new Customer(text(path + "name", ""), nonNegative(path + "portion", 0),
                    nonNegative(path + "quota_rps", 0)));
        }
        List<Double> memoryByMachineKind = new ArrayList<>();
        for (String value : list("extra.memory_mb_by_kind")) {
            memoryByMachineKind.add(parse("extra.memory_mb_by_kind", value));
        }
        boolean subscribesToRoster = text("registry_mode", "push").equals("ask");
        frontEnd = new FrontEndSettings((int) number("me", 0), (int) nonNegative("n_instances", 1), (int) number("az", 0),
                flag("limits.peers", false), flag("limits.probes", false), subscribesToRoster,
                nonNegative("penalties.probe", 0), nonNegative("penalties.cross_zone", 0), nonNegative("tick", 1));
        coldStart = new ColdStartRule(nonNegative("rules.start_capacity", 1), nonNegative("rules.warm_within", 0),
                nonNegative("rules.fall_multiple", 0), nonNegative("rules.fall", 0));
        loadOrderBudget = new LoadOrderBudget(nonNegative("extra.free_loads", 0), nonNegative("extra.load_share", 0),
                nonNegative("extra.load_span", 0));
        loadingRules = new LoadingRules(flag("extra.orders", false), text("extra.when_absent", "load").equals("load"),
                nonNegative("extra.stays_loaded", 0), nonNegative("extra.order_timeout", 0),
                nonNegative("extra.price_of_idle", 0), memoryByMachineKind);
        forwardRules = new ForwardRules((int) nonNegative("limits.attempts_cap", 1), flag("limits.second_copies", false),
                flag("limits.cancel", false), nonNegative("limits.connect_timeout", 250),
                nonNegative("rules.answer_slack", 0), nonNegative("limits.max_retry_after", 0),
                flag("limits.retry_after", false), nonNegative("rules.drain_grace", 0));
        reportsModelInFlight = flag("extra.says_company", false);
        overQuotaValue = nonNegative("over_share_worth", 1);
    }

    /** Builds a load report from values by column name. Unknown columns are ignored, missing ones are NaN. */
    public static ExecutorReport createReport(Iterable<String> names, double[] values) {
        double[] byColumn = new double[8];
        Arrays.fill(byColumn, Double.NaN);
        int index = 0;
        for (String name : names) {
            int column = index < values.length ? REPORT_COLUMNS.indexOf(name) : -1;
            if (column >= 0) {
                byColumn[column] = values[index];
            }
            index++;
        }
        return new ExecutorReport(byColumn[0], byColumn[1], byColumn[2], byColumn[3], byColumn[4], byColumn[5], byColumn[6],
                byColumn[7]);
    }

    /** Creates a policy with these settings. The seed determines its random choices. */
    public Router createRouter(RouterActions actions, long seed) {
        return new Policy(actions, new Random(seed), frontEnd, groups, customers, overQuotaValue, coldStart, loadOrderBudget,
                loadingRules, forwardRules);
    }

    private ModelGroup readGroup(String path) throws InvalidInputException {
        RetrySafety retrySafety = switch (text(path + "repeat", "")) {
            case "retryable" -> RetrySafety.RETRIABLE;
            case "dedup" -> RetrySafety.DEDUPED;
            case "fragile" -> RetrySafety.NON_RETRIABLE;
            default -> throw new InvalidInputException("start message: " + path + "repeat is missing or unknown");
        };
        DedupScope scope = switch (text(path + "group", "all")) {
            case "zone" -> DedupScope.LOCATION;
            case "cell" -> DedupScope.CELL;
            default -> DedupScope.ALL;
        };
        return new ModelGroup(text(path + "name", ""), retrySafety, scope, nonNegative(path + "repeat_window", 0),
                requiredPositive(path + "aim"), nonNegative(path + "aim_stretch", 0), requiredPositive(path + "deadline"),
                nonNegative(path + "worth", 1), nonNegative(path + "late_worth", 0), flag(path + "streaming", false));
    }

    /** Returns a list of scalars; empty if the setting is missing. */
    public List<String> list(String key) {
        String joined = values.getOrDefault(key, "");
        return joined.isEmpty() ? List.of() : List.of(joined.split(","));
    }

    /** Returns a text, or the default if the setting is missing. */
    public String text(String key, String defaultValue) {
        return values.getOrDefault(key, defaultValue);
    }

    /** Returns a boolean, or the default if the setting is missing. */
    public boolean flag(String key, boolean defaultValue) throws InvalidInputException {
        String value = values.get(key);
        return value == null ? defaultValue : switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw new InvalidInputException("start message: " + key + " is neither true nor false: " + value);
        };
    }

    /** Returns a required number above 0. */
    private double requiredPositive(String key) throws InvalidInputException {
        if (!values.containsKey(key)) {
            throw new InvalidInputException("start message: " + key + " is missing");
        }
        double value = number(key, 0);
        if (value <= 0) {
            throw new InvalidInputException("start message: " + key + " is not above 0: " + values.get(key));
        }
        return value;
    }

    /** Returns a finite number, or the default if the setting is missing or empty. */
    public double number(String key, double defaultValue) throws InvalidInputException {
        String value = values.get(key);
        return value == null || value.isEmpty() ? defaultValue : parse(key, value);
    }

    private double nonNegative(String key, double defaultValue) throws InvalidInputException {
        double value = number(key, defaultValue);
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
            // reported below, together with numbers that are not finite
        }
        throw new InvalidInputException("start message: " + key + " is no number: " + value);
    }
}
