package gradereach.link;

import gradereach.api.ExecutorReport;
import gradereach.api.LoadStatus;
import gradereach.counts.Counts;
import io.netty.handler.codec.http2.Http2Headers;
import java.util.concurrent.atomic.LongAdder;

/** What executors tell in the heads and trailers of their answers, beside the answer itself. */
final class ResponseHeaders {
    /** How many copies stand, in an answer to a load order. */
    static final String COPIES_HEADER = "model-copies";
    /** On what a forward ran: {@code loaded}, {@code began-load}, {@code waited-for-load}, {@code load-failed}. */
    static final String LOAD_STATUS_HEADER = "model-warmth";
    /** How many of the same model the executor held when this one came. */
    static final String CONCURRENCY_HEADER = "model-crowd";

    private final LongAdder unreadableReports;

    ResponseHeaders(Counts counts) {
        unreadableReports = counts.counter("load_reports_unreadable");
    }

    /** Null where none was told that can be read. */
    ExecutorReport loadReport(Http2Headers headers) {
        CharSequence text = header(headers, OrcaReportParser.HEADER);
        ExecutorReport report = OrcaReportParser.parse(text);
        if (text != null && report == null) {
            unreadableReports.increment();
        }
        return report;
    }

    static CharSequence header(Http2Headers headers, String name) {
        return headers == null ? null : headers.get(name);
    }

    static int parseInt(CharSequence text, int otherwise) {
        try {
            return text == null ? otherwise : Integer.parseInt(text.toString());
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

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
