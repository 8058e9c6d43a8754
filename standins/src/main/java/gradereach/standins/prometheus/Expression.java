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
 * Evaluates the subset of PromQL that the shipped rules use, as in the Prometheus documentation ("Querying basics", "Operators",
 * "Functions"): selectors with matchers and ranges, {@code rate}, {@code increase}, {@code absent}, {@code sum} and {@code max}
 * with {@code by}, arithmetic, filtering comparisons, {@code and} with {@code on}. Anything else is rejected with its position.
 */
public final class Expression {
    private static final Pattern TOKEN = Pattern.compile(
            "\\s*([a-zA-Z_:][a-zA-Z0-9_:]*|[0-9]+(?:ms|s|m|h)\\b|[0-9]*\\.?[0-9]+(?:[eE][-+]?[0-9]+)?"
            + "|\"[^\"]*\"|==|!=|>=|<=|[-+*/(){}\\[\\],=<>])");

    /** A gap of more mean intervals than this is extrapolated by half an interval only. */
    private static final double MAX_EXTRAPOLATED_INTERVALS = 1.1;

    /** An instant vector (values by labels, without the metric name) or a scalar; the other one is null. */
    record Value(Map<Map<String, String>, Double> vector, Double scalar) {
        static Value of(double number) {
            return new Value(null, number);
        }
    }

    /** A node of the syntax tree. */
    private interface Node {
        Value evaluate(SampleStore store, long now);
    }

    /**
     * A selector.
     *
     * @param matchers label, operator ({@code =} or {@code !=}) and value of each matcher
     * @param rangeMillis 0 for an instant selector
     */
    private record Selector(String name, List<String[]> matchers, long rangeMillis) {
        /** The samples of the matching series within a window before {@code now}, by labels. */
        Map<Map<String, String>, List<SampleStore.Sample>> samples(SampleStore store, long now, long windowMillis) {
            Map<Map<String, String>, List<SampleStore.Sample>> matching = new HashMap<>();
            store.samplesBetween(name, now - windowMillis, now).forEach((labels, samples) -> {
                for (String[] matcher : matchers) {
                    boolean equal = labels.getOrDefault(matcher[0], "").equals(matcher[2]);
                    if (equal != matcher[1].equals("=")) {
                        return;
                    }
                }
                matching.put(labels, samples);
            });
            return matching;
        }
    }

    private final String text;
    private final List<String> tokens = new ArrayList<>();
    /** Position of each token in the text. */
    private final List<Integer> positions = new ArrayList<>();
    private final long lookbackMillis;
    private int nextToken;
    private final Node root;

    /**
     * Parses an expression.
     *
     * @param lookbackMillis maximum age of a sample in instant selectors: five minutes, or less if all durations of the rules are
     *        scaled down
     * @throws IllegalArgumentException for unsupported syntax, with its position
     */
    public Expression(String text, long lookbackMillis) {
        this.text = text;
        this.lookbackMillis = lookbackMillis;
        Matcher matcher = TOKEN.matcher(text);
        int position = 0;
        while (position < text.length() && !text.substring(position).isBlank()) {
            if (!matcher.find(position) || matcher.start() != position) {
                throw new IllegalArgumentException("position " + position + " of " + text + ": unrecognized token");
            }
            tokens.add(matcher.group(1));
            positions.add(matcher.start(1));
            position = matcher.end();
        }
        root = parseConjunction();
        if (nextToken < tokens.size()) {
            throw unexpected();
        }
    }

    /** Evaluates the expression for the time {@code now}; a scalar is returned with empty labels. */
    public Map<Map<String, String>, Double> evaluate(SampleStore store, long now) {
        Value value = root.evaluate(store, now);
        return value.vector != null ? value.vector : Map.of(Map.of(), value.scalar);
    }

    private IllegalArgumentException unexpected() {
        return new IllegalArgumentException("position "
                + (nextToken < positions.size() ? positions.get(nextToken) : text.length())
                + " of " + text + ": "
                + (nextToken < tokens.size() ? tokens.get(nextToken) : "end of the expression") + " is not expected here");
    }

    /** Consumes the next token if it is this one. */
    private boolean accept(String token) {
        boolean matches = nextToken < tokens.size() && tokens.get(nextToken).equals(token);
        nextToken += matches ? 1 : 0;
        return matches;
    }

    /** Consumes the next token, which must be this one. */
    private void expect(String token) {
        if (!accept(token)) {
            throw unexpected();
        }
    }

    private Node parseConjunction() {
        Node left = parseComparison();
        while (accept("and")) {
            Set<String> matchingLabels = accept("on") ? parseLabelNames() : null;
            Node leftOperand = left;
            Node rightOperand = parseComparison();
            left = (store, now) -> {
                Value leftValue = leftOperand.evaluate(store, now);
                Set<Map<String, String>> presentLabels = new java.util.HashSet<>();
                rightOperand.evaluate(store, now).vector.keySet()
                        .forEach(labels -> presentLabels.add(retainLabels(labels, matchingLabels)));
                Map<Map<String, String>, Double> intersection = new LinkedHashMap<>();
                leftValue.vector.forEach((labels, value) -> {
                    if (presentLabels.contains(retainLabels(labels, matchingLabels))) {
                        intersection.put(labels, value);
                    }
                });
                return new Value(intersection, null);
            };
        }
        return left;
    }

    /** The labels with these names; all labels if {@code names} is null. */
    private static Map<String, String> retainLabels(Map<String, String> labels, Set<String> names) {
        if (names == null) {
            return labels;
        }
        Map<String, String> retained = new TreeMap<>(labels);
        retained.keySet().retainAll(names);
        return retained;
    }

    private Node parseComparison() {
        Node left = parseSum();
        while (nextToken < tokens.size() && Set.of(">", "<", ">=", "<=", "==", "!=").contains(tokens.get(nextToken))) {
            String operator = tokens.get(nextToken++);
            left = binaryOperation(left, parseSum(), operator);
        }
        return left;
    }

    private Node parseSum() {
        Node left = parseProduct();
        while (nextToken < tokens.size() && Set.of("+", "-").contains(tokens.get(nextToken))) {
            String operator = tokens.get(nextToken++);
            left = binaryOperation(left, parseProduct(), operator);
        }
        return left;
    }

    private Node parseProduct() {
        Node left = parsePrimary();
        while (nextToken < tokens.size() && Set.of("*", "/").contains(tokens.get(nextToken))) {
            String operator = tokens.get(nextToken++);
            left = binaryOperation(left, parsePrimary(), operator);
        }
        return left;
    }

    private static Node binaryOperation(Node left, Node right, String operator) {
        return (store, now) -> {
            Value leftValue = left.evaluate(store, now);
            Value rightValue = right.evaluate(store, now);
            if (leftValue.scalar != null && rightValue.scalar != null) {
                return Value.of(apply(operator, leftValue.scalar, rightValue.scalar));
            }
            Map<Map<String, String>, Double> result = new LinkedHashMap<>();
            // Without on(), elements with the same labels are matched; a scalar is matched with every element.
            (leftValue.vector != null ? leftValue.vector : rightValue.vector).forEach((labels, value) -> {
                Double leftOperand = leftValue.vector != null ? value : leftValue.scalar;
                Double rightOperand = rightValue.vector != null ? rightValue.vector.get(labels) : rightValue.scalar;
                if (leftOperand == null || rightOperand == null) {
                    return;
                }
                double applied = apply(operator, leftOperand, rightOperand);
                if ("+-*/".contains(operator)) {
                    result.put(labels, applied);
                } else if (applied == 1) {
                    // A comparison keeps the matching elements.
                    result.put(labels, leftValue.vector != null ? leftOperand : rightOperand);
                }
            });
            return new Value(result, null);
        };
    }

    /** Applies an operator; a comparison gives 1 if it holds, otherwise 0. */
    private static double apply(String operator, double left, double right) {
        return switch (operator) {
            case "+" -> left + right;
            case "-" -> left - right;
            case "*" -> left * right;
            case "/" -> left / right;
            case ">" -> left > right ? 1 : 0;
            case "<" -> left < right ? 1 : 0;
            case ">=" -> left >= right ? 1 : 0;
            case "<=" -> left <= right ? 1 : 0;
            case "==" -> left == right ? 1 : 0;
            default -> left != right ? 1 : 0;
        };
    }

    private Set<String> parseLabelNames() {
        Set<String> names = new TreeSet<>();
        expect("(");
        while (!accept(")")) {
            names.add(tokens.get(nextToken++));
            accept(",");
        }
        return names;
    }

    private Node parsePrimary() {
        if (nextToken >= tokens.size()) {
            throw unexpected();
        }
        if (accept("(")) {
            Node inner = parseConjunction();
            expect(")");
            return inner;
        }
        String token = tokens.get(nextToken);
        if (token.matches("[0-9.].*") && !token.matches(".*[a-z]$")) {
            nextToken++;
            double number = Double.parseDouble(token);
            return (store, now) -> Value.of(number);
        }
        if (!token.matches("[a-zA-Z_:].*")) {
            throw unexpected();
        }
        return switch (token) {
            case "sum", "max" -> parseAggregation(token);
            case "rate", "increase" -> parseRangeFunction(token);
            case "absent" -> parseAbsent();
            default -> {
                Selector selector = parseSelector();
                if (selector.rangeMillis > 0) {
                    throw unexpected();
                }
                yield (store, now) -> instantValue(selector, store, now);
            }
        };
    }

    private Value instantValue(Selector selector, SampleStore store, long now) {
        Map<Map<String, String>, Double> values = new LinkedHashMap<>();
        selector.samples(store, now, lookbackMillis).forEach((labels, samples) -> {
            SampleStore.Sample last = samples.get(samples.size() - 1);
            if (!last.isStale()) {
                values.put(withoutName(labels), last.value());
            }
        });
        return new Value(values, null);
    }

    private static Map<String, String> withoutName(Map<String, String> labels) {
        Map<String, String> unnamed = new TreeMap<>(labels);
        unnamed.remove("__name__");
        return unnamed;
    }

    private Node parseAggregation(String operator) {
        nextToken++;
        Set<String> groupLabels = accept("by") ? parseLabelNames() : Set.of();
        expect("(");
        Node inner = parseConjunction();
        expect(")");
        return (store, now) -> {
            Map<Map<String, String>, Double> groups = new LinkedHashMap<>();
            inner.evaluate(store, now).vector.forEach((labels, value) -> groups.merge(retainLabels(labels, groupLabels), value,
                    operator.equals("sum") ? Double::sum : Math::max));
            return new Value(groups, null);
        };
    }

    private Node parseAbsent() {
        nextToken++;
        expect("(");
        Node inner = parseConjunction();
        expect(")");
        return (store, now) -> new Value(inner.evaluate(store, now).vector.isEmpty() ? Map.of(Map.of(), 1.0) : Map.of(), null);
    }

    /** {@code rate} and {@code increase}, with counter resets and the extrapolation to the ends of the range as documented. */
    private Node parseRangeFunction(String name) {
        nextToken++;
        expect("(");
        Selector selector = parseSelector();
        if (selector.rangeMillis == 0) {
            throw unexpected();
        }
        expect(")");
        return (store, now) -> {
            Map<Map<String, String>, Double> values = new LinkedHashMap<>();
            selector.samples(store, now, selector.rangeMillis).forEach((labels, allSamples) -> {
                List<SampleStore.Sample> samples = allSamples.stream().filter(s -> !s.isStale()).toList();
                if (samples.size() < 2) {
                    return;
                }
                double observedIncrease = 0;
                for (int i = 1; i < samples.size(); i++) {
                    double delta = samples.get(i).value() - samples.get(i - 1).value();
                    observedIncrease += delta >= 0 ? delta : samples.get(i).value();
                }
                SampleStore.Sample first = samples.get(0);
                SampleStore.Sample last = samples.get(samples.size() - 1);
                double coveredMillis = last.timestamp() - first.timestamp();
                double meanIntervalMillis = coveredMillis / (samples.size() - 1);
                double gapBefore = first.timestamp() - (now - selector.rangeMillis);
                double gapAfter = now - last.timestamp();
                // A counter is never negative, so extrapolate back no further than to the time at which it would have been zero.
                gapBefore = observedIncrease > 0 && first.value() >= 0
                        ? Math.min(gapBefore, coveredMillis * first.value() / observedIncrease) : gapBefore;
                double extrapolatedMillis = coveredMillis
                        + (gapBefore < meanIntervalMillis * MAX_EXTRAPOLATED_INTERVALS ? gapBefore : meanIntervalMillis / 2)
                        + (gapAfter < meanIntervalMillis * MAX_EXTRAPOLATED_INTERVALS ? gapAfter : meanIntervalMillis / 2);
                double increase = observedIncrease * extrapolatedMillis / coveredMillis;
                values.put(withoutName(labels), name.equals("rate") ? increase / (selector.rangeMillis / 1000.0) : increase);
            });
            return new Value(values, null);
        };
    }

    private Selector parseSelector() {
        String name = tokens.get(nextToken++);
        if (!name.matches("[a-zA-Z_:].*") || nextToken < tokens.size() && tokens.get(nextToken).equals("(")) {
            nextToken--;
            throw unexpected();
        }
        List<String[]> matchers = new ArrayList<>();
        if (accept("{")) {
            while (!accept("}")) {
                String label = tokens.get(nextToken++);
                String operator = tokens.get(nextToken++);
                if (!operator.equals("=") && !operator.equals("!=")) {
                    nextToken--;
                    throw unexpected();
                }
                matchers.add(new String[] {label, operator, tokens.get(nextToken++).replace("\"", "")});
                accept(",");
            }
        }
        long millis = 0;
        if (accept("[")) {
            millis = parseDurationMillis(tokens.get(nextToken++));
            expect("]");
        }
        return new Selector(name, matchers, millis);
    }

    /** Parses a duration with a single unit, such as {@code 5m}, to milliseconds. */
    public static long parseDurationMillis(String text) {
        Matcher matcher = Pattern.compile("([0-9]+)(ms|s|m|h)").matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(text + " is not a duration");
        }
        return Long.parseLong(matcher.group(1)) * switch (matcher.group(2)) {
            case "ms" -> 1L;
            case "s" -> 1000L;
            case "m" -> 60_000L;
            default -> 3_600_000L;
        };
    }
}
