package gradereach.link;

import gradereach.api.ExecutorReport;
import gradereach.api.LoadStatus;
import gradereach.counts.Counts;
import io.netty.handler.codec.http2.Http2Headers;
import java.util.concurrent.atomic.LongAdder;

/** Reads what executors report in the headers and trailers of their responses. */
final class ResponseHeaders {
    /** Number of loaded copies, in the response to a load order. */
    static final String COPIES_HEADER = "model-copies";
    /** Load status of the copy that a forward ran on: {@code loaded}, {@code began-load}, {@code waited-for-load}, {@code load-failed}. */
    static final String LOAD_STATUS_HEADER = "model-warmth";
    /** Number of inferences of the same model that the executor had when this one arrived. */
    static final String CONCURRENCY_HEADER = "model-crowd";

    private final LongAdder unreadableReports;

    ResponseHeaders(Counts counts) {
        unreadableReports = counts.counter("load_reports_unreadable");
    }

    /** Returns the load report, or null if there is none or it is malformed. */
    ExecutorReport loadReport(Http2Headers headers) {
        CharSequence text = header(headers, OrcaReportParser.HEADER);
        ExecutorReport report = OrcaReportParser.parse(text);
        if (text != null && report == null) {
            unreadableReports.increment();
        }
        return report;
    }

    /** Returns the header's value, or null if it or all headers are missing. */
    static CharSequence header(Http2Headers headers, String name) {
        return headers == null ? null : headers.get(name);
    }

    /** Returns the number, or {@code defaultValue} if {@code text} is null or not a number. */
    static int parseInt(CharSequence text, int defaultValue) {
        try {
            return text == null ? defaultValue : Integer.parseInt(text.toString());
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    /** Returns the value of {@link #LOAD_STATUS_HEADER} as a load status. */
    static LoadStatus parseLoadStatus(CharSequence text) {
        if (text == null) {
            return LoadStatus.UNKNOWN;
        }
        return switch (text.toString()) {
            case "loaded" -> LoadStatus.ALREADY_LOADED;
            case "began-load" -> LoadStatus.STARTED_LOAD;
            case "waited-for-load" -> LoadStatus.WAITED_FOR_LOAD;
            case "load-failed" -> LoadStatus.LOAD_FAILED;
            default -> LoadStatus.UNKNOWN;
        };
    }
}
