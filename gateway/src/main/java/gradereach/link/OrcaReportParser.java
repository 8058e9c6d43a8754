package gradereach.link;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gradereach.api.ExecutorReport;
import java.io.IOException;
import java.util.Arrays;

/**
 * Parses the ORCA load report of the response header {@code endpoint-load-metrics} (xds.data.orca.v3 OrcaLoadReport) in
 * its TEXT and JSON formats. Utilisations are fractions, {@code rps_fractional} and {@code eps} are per second. The
 * inferences in flight, the queued ones, the loads and the answer time in milliseconds are named metrics.
 */
public final class OrcaReportParser {
    /** Response header that contains the report. */
    public static final String HEADER = "endpoint-load-metrics";
    private static final ObjectMapper JSON = new ObjectMapper();

    private OrcaReportParser() { }

    /** Returns null if there is no report or it is malformed: a report is only a hint, and no inference fails because of it. */
    public static ExecutorReport parse(CharSequence header) {
        if (header == null) {
            return null;
        }
        String text = header.toString();
        double[] values = new double[8];
        Arrays.fill(values, Double.NaN);
        try {
            if (text.startsWith("TEXT ")) {
                for (String pair : text.substring(5).split(",")) {
                    int equals = pair.indexOf('=');
                    if (equals > 0) {
                        put(values, pair.substring(0, equals).strip(), Double.parseDouble(pair.substring(equals + 1).strip()));
                    }
                }
            } else if (text.startsWith("JSON ")) {
                JsonNode tree = JSON.readTree(text.substring(5));
                tree.properties().forEach(field -> put(values, field.getKey(), field.getValue().asDouble(Double.NaN)));
                tree.path("named_metrics").properties().forEach(field ->
                        put(values, "named_metrics." + field.getKey(), field.getValue().asDouble(Double.NaN)));
            } else {
                return null;
            }
        } catch (NumberFormatException | IOException e) {
            return null;
        }
        return new ExecutorReport(values[0], values[1], values[2], values[3], values[4], values[5], values[6], values[7]);
    }

    private static void put(double[] values, String name, double value) {
        int index = switch (name) {
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
        if (index >= 0) {
            values[index] = value;
        }
    }
}
