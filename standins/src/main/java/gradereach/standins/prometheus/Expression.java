package gradereach.standins.prometheus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * As much of PromQL as the shipped rules use, by Prometheus' documentation ("Querying basics", "Operators", "Functions"): selectors
 * with matchers and ranges, {@code rate}, {@code increase}, {@code absent}, {@code sum} and {@code max} with {@code by}, arithmetic,
 * comparisons that filter, {@code and} with {@code on}. Anything else is refused by its place.
 */
public final class Expression {
    private static final Pattern TOKEN = Pattern.compile("\\s*([a-zA-Z_:][a-zA-Z0-9_:]*|[0-9]+(?:ms|s|m|h)\\b|[0-9]*\\.?[0-9]+(?:[eE][-+]?[0-9]+)?"
            + "|\"[^\"]*\"|==|!=|>=|<=|[-+*/(){}\\[\\],=<>])");

    /** Values by their labels, without the name; or one number. */
    record Value(Map<Map<String, String>, Double> vector, Double scalar) {
        static Value of(double number) {
            return new Value(null, number);
        }
    }

    private interface Node {
        Value evaluate(SampleStore store, long now);
    }

    private record RangeSelector(String name, List<String[]> matchers, long rangeMillis) {
        Map<Map<String, String>, List<SampleStore.Sample>> samples(SampleStore store, long now, long back) {
            Map<Map<String, String>, List<SampleStore.Sample>> all = new HashMap<>();
            store.samplesBetween(name, now - back, now).forEach((labels, samples) -> {
                for (String[] matcher : matchers) {
                    boolean same = labels.getOrDefault(matcher[0], "").equals(matcher[2]);
                    if (same != matcher[1].equals("=")) {
                        return;
                    }
                }
                all.put(labels, samples);
            });
            return all;
        }
    }

    private final String text;
    private final List<String> tokens = new ArrayList<>();
    private final List<Integer> positions = new ArrayList<>();
    private final long lookbackMillis;
    private int nextToken;
    private final Node root;

    /**
     * @param lookback milliseconds for which a sample stands for its series: five minutes, or less where rules play fast
     * @throws IllegalArgumentException naming the place of what is not understood
     */
    public Expression(String text, long lookback) {
        this.text = text;
        this.lookbackMillis = lookback;
        Matcher matcher = TOKEN.matcher(text);
        int at = 0;
        while (at < text.length() && !text.substring(at).isBlank()) {
            if (!matcher.find(at) || matcher.start() != at) {
                throw new IllegalArgumentException("at " + at + " of " + text + ": not understood");
            }
            tokens.add(matcher.group(1));
            positions.add(matcher.start(1));
            at = matcher.end();
        }
        root = conjunction();
        if (nextToken < tokens.size()) {
            throw unexpected();
        }
    }

    public Map<Map<String, String>, Double> evaluate(SampleStore store, long now) {
        Value value = root.evaluate(store, now);
        return value.vector != null ? value.vector : Map.of(Map.of(), value.scalar);
    }

    private IllegalArgumentException unexpected() {
        return new IllegalArgumentException("at " + (nextToken < positions.size() ? positions.get(nextToken) : text.length()) + " of " + text
                + ": " + (nextToken < tokens.size() ? tokens.get(nextToken) : "its end") + " not expected");
    }

    private boolean accept(String token) {
        boolean is = nextToken < tokens.size() && tokens.get(nextToken).equals(token);
        nextToken += is ? 1 : 0;
        return is;
    }

    private void expect(String token) {
        if (!accept(token)) {
            throw unexpected();
        }
    }

    private Node conjunction() {
        Node left = comparison();
        while (accept("and")) {
            Set<String> on = accept("on") ? labelNames() : null;
            Node one = left;
            Node other = comparison();
            left = (store, now) -> {
                Value a = one.evaluate(store, now);
                Set<Map<String, String>> there = new java.util.HashSet<>();
                other.evaluate(store, now).vector.keySet().forEach(labels -> there.add(retainLabels(labels, on)));
                Map<Map<String, String>, Double> both = new LinkedHashMap<>();
                a.vector.forEach((labels, value) -> {
                    if (there.contains(retainLabels(labels, on))) {
                        both.put(labels, value);
                    }
                });
                return new Value(both, null);
            };
        }
        return left;
    }

    private static Map<String, String> retainLabels(Map<String, String> labels, Set<String> names) {
        if (names == null) {
            return labels;
        }
        Map<String, String> some = new TreeMap<>(labels);
        some.keySet().retainAll(names);
        return some;
    }

    private Node comparison() {
        Node left = sum();
        while (nextToken < tokens.size() && Set.of(">", "<", ">=", "<=", "==", "!=").contains(tokens.get(nextToken))) {
            String operator = tokens.get(nextToken++);
            left = binary(left, sum(), operator);
        }
        return left;
    }

    private Node sum() {
        Node left = product();
        while (nextToken < tokens.size() && Set.of("+", "-").contains(tokens.get(nextToken))) {
            String operator = tokens.get(nextToken++);
            left = binary(left, product(), operator);
        }
        return left;
    }

    private Node product() {
        Node left = primary();
        while (nextToken < tokens.size() && Set.of("*", "/").contains(tokens.get(nextToken))) {
            String operator = tokens.get(nextToken++);
            left = binary(left, primary(), operator);
        }
        return left;
    }

    private static Node binary(Node left, Node right, String operator) {
        return (store, now) -> {
            Value a = left.evaluate(store, now);
            Value b = right.evaluate(store, now);
            if (a.scalar != null && b.scalar != null) {
                return Value.of(apply(operator, a.scalar, b.scalar));
            }
            Map<Map<String, String>, Double> result = new LinkedHashMap<>();
            // Without on(): elements with the same labels meet; a number meets each.
            (a.vector != null ? a.vector : b.vector).forEach((labels, value) -> {
                Double x = a.vector != null ? value : a.scalar;
                Double y = b.vector != null ? b.vector.get(labels) : b.scalar;
                if (x == null || y == null) {
                    return;
                }
                double applied = apply(operator, x, y);
                if ("+-*/".contains(operator)) {
                    result.put(labels, applied);
                } else if (applied == 1) {
                    result.put(labels, a.vector != null ? x : y); // a comparison filters
                }
            });
            return new Value(result, null);
        };
    }

    private static double apply(String operator, double x, double y) {
        return switch (operator) {
            case "+" -> x + y;
            case "-" -> x - y;
            case "*" -> x * y;
            case "/" -> x / y;
            case ">" -> x > y ? 1 : 0;
            case "<" -> x < y ? 1 : 0;
            case ">=" -> x >= y ? 1 : 0;
            case "<=" -> x <= y ? 1 : 0;
            case "==" -> x == y ? 1 : 0;
            default -> x != y ? 1 : 0;
        };
    }

    private Set<String> labelNames() {
        Set<String> names = new TreeSet<>();
        expect("(");
        while (!accept(")")) {
            names.add(tokens.get(nextToken++));
            accept(",");
        }
        return names;
    }

    private Node primary() {
        if (nextToken >= tokens.size()) {
            throw unexpected();
        }
        if (accept("(")) {
            Node inner = conjunction();
            expect(")");
            return inner;
        }
        String word = tokens.get(nextToken);
        if (word.matches("[0-9.].*") && !word.matches(".*[a-z]$")) {
            nextToken++;
            double number = Double.parseDouble(word);
            return (store, now) -> Value.of(number);
        }
        if (!word.matches("[a-zA-Z_:].*")) {
            throw unexpected();
        }
        return switch (word) {
            case "sum", "max" -> aggregation(word);
            case "rate", "increase" -> function(word);
            case "absent" -> absent();
            default -> {
                RangeSelector range = selector();
                if (range.rangeMillis > 0) {
                    throw unexpected();
                }
                yield (store, now) -> instantValue(range, store, now);
            }
        };
    }

    private Value instantValue(RangeSelector range, SampleStore store, long now) {
        Map<Map<String, String>, Double> values = new LinkedHashMap<>();
        range.samples(store, now, lookbackMillis).forEach((labels, samples) -> {
            SampleStore.Sample last = samples.get(samples.size() - 1);
            if (!last.stale()) {
                values.put(withoutName(labels), last.value());
            }
        });
        return new Value(values, null);
    }

    private static Map<String, String> withoutName(Map<String, String> labels) {
        Map<String, String> rest = new TreeMap<>(labels);
        rest.remove("__name__");
        return rest;
    }

    private Node aggregation(String how) {
        nextToken++;
        Set<String> by = accept("by") ? labelNames() : Set.of();
        expect("(");
        Node inner = conjunction();
        expect(")");
        return (store, now) -> {
            Map<Map<String, String>, Double> groups = new LinkedHashMap<>();
            inner.evaluate(store, now).vector.forEach((labels, value) -> groups.merge(retainLabels(labels, by), value,
                    how.equals("sum") ? Double::sum : Math::max));
            return new Value(groups, null);
        };
    }

    private Node absent() {
        nextToken++;
        expect("(");
        Node inner = conjunction();
        expect(")");
        return (store, now) -> new Value(inner.evaluate(store, now).vector.isEmpty() ? Map.of(Map.of(), 1.0) : Map.of(), null);
    }

    /** {@code rate} and {@code increase}: counter resets are added up, and the ends extrapolated as the documentation has it. */
    private Node function(String name) {
        nextToken++;
        expect("(");
        RangeSelector range = selector();
        if (range.rangeMillis == 0) {
            throw unexpected();
        }
        expect(")");
        return (store, now) -> {
            Map<Map<String, String>, Double> values = new LinkedHashMap<>();
            range.samples(store, now, range.rangeMillis).forEach((labels, all) -> {
                List<SampleStore.Sample> samples = all.stream().filter(s -> !s.stale()).toList();
                if (samples.size() < 2) {
                    return;
                }
                double rise = 0;
                for (int i = 1; i < samples.size(); i++) {
                    double step = samples.get(i).value() - samples.get(i - 1).value();
                    rise += step >= 0 ? step : samples.get(i).value();
                }
                SampleStore.Sample first = samples.get(0);
                SampleStore.Sample last = samples.get(samples.size() - 1);
                double covered = last.timestamp() - first.timestamp();
                double mean = covered / (samples.size() - 1);
                double before = first.timestamp() - (now - range.rangeMillis);
                double after = now - last.timestamp();
                // A counter cannot have been below zero: it did not begin before it would have been.
                before = rise > 0 && first.value() >= 0 ? Math.min(before, covered * first.value() / rise) : before;
                double whole = covered + (before < mean * 1.1 ? before : mean / 2) + (after < mean * 1.1 ? after : mean / 2);
                double increase = rise * whole / covered;
                values.put(withoutName(labels), name.equals("rate") ? increase / (range.rangeMillis / 1000.0) : increase);
            });
            return new Value(values, null);
        };
    }

    private RangeSelector selector() {
        String name = tokens.get(nextToken++);
        if (!name.matches("[a-zA-Z_:].*") || nextToken < tokens.size() && tokens.get(nextToken).equals("(")) {
            nextToken--;
            throw unexpected();
        }
        List<String[]> matchers = new ArrayList<>();
        if (accept("{")) {
            while (!accept("}")) {
                String label = tokens.get(nextToken++);
                String how = tokens.get(nextToken++);
                if (!how.equals("=") && !how.equals("!=")) {
                    nextToken--;
                    throw unexpected();
                }
                matchers.add(new String[] {label, how, tokens.get(nextToken++).replace("\"", "")});
                accept(",");
            }
        }
        long millis = 0;
        if (accept("[")) {
            millis = parseDurationMillis(tokens.get(nextToken++));
            expect("]");
        }
        return new RangeSelector(name, matchers, millis);
    }

    /** Milliseconds of a duration of one unit. */
    public static long parseDurationMillis(String text) {
        Matcher matcher = Pattern.compile("([0-9]+)(ms|s|m|h)").matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text + ": no duration");
        }
        return Long.parseLong(matcher.group(1)) * switch (matcher.group(2)) {
            case "ms" -> 1L;
            case "s" -> 1000L;
            case "m" -> 60_000L;
            default -> 3_600_000L;
        };
    }
}
