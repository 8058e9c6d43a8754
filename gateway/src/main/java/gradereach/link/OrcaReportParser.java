package gradereach.link;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.api.ExecutorReport;
import java.io.IOException;
import java.util.Arrays;

/**
 * Reads the ORCA load report of an answer's head, {@code endpoint-load-metrics} (xds.data.orca.v3
 * OrcaLoadReport), in its TEXT and JSON forms. Utilisations are shares, {@code rps_fractional} and {@code eps} are a
 * second; in flight, queued, answer time (milliseconds) and loads come as named metrics.
 */
public final class OrcaReportParser {
    public static final String HEADER = "endpoint-load-metrics";
    private static final ObjectMapper JSON = new ObjectMapper();

    private OrcaReportParser() { }

    /** Null where there is none or it cannot be read: a report is a hint, never worth an inference. */
    public static ExecutorReport parse(CharSequence header) {
        if (header == null) {
            return null;
        }
        String text = header.toString();
        double[] v = new double[8];
        Arrays.fill(v, Double.NaN);
        try {
            if (text.startsWith("TEXT ")) {
                for (String pair : text.substring(5).split(",")) {
                    int eq = pair.indexOf('=');
                    if (eq > 0) {
                        put(v, pair.substring(0, eq).strip(), Double.parseDouble(pair.substring(eq + 1).strip()));
                    }
                }
            } else if (text.startsWith("JSON ")) {
                JsonNode tree = JSON.readTree(text.substring(5));
                tree.properties().forEach(field -> put(v, field.getKey(), field.getValue().asDouble(Double.NaN)));
                tree.path("named_metrics").properties().forEach(field ->
                        put(v, "named_metrics." + field.getKey(), field.getValue().asDouble(Double.NaN)));
            } else {
                return null;
            }
        } catch (NumberFormatException | IOException e) {
            return null;
        }
        return new ExecutorReport(v[0], v[1], v[2], v[3], v[4], v[5], v[6], v[7]);
    }

    private static void put(double[] v, String name, double value) {
        int at = switch (name) {
            case "named_metrics.in_flight" -> 0;
            case "named_metrics.queued" -> 1;
            case "cpu_utilization" -> 2;
            case "named_metrics.answer_ms" -> 3;
            case "rps_fractional" -> 4;
            case "eps" -> 5;
            case "mem_utilization" -> 6;
            case "named_metrics.loads" -> 7;
            default -> -1;
        };
        if (at >= 0) {
            v[at] = value;
        }
    }
}
