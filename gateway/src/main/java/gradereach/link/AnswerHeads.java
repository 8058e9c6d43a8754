package gradereach.link;

import gradereach.api.Report;
import gradereach.api.Warmth;
import gradereach.counts.Counts;
import io.netty.handler.codec.http2.Http2Headers;
import java.util.concurrent.atomic.LongAdder;

/** What executors tell in the heads and trailers of their answers, beside the answer itself. */
final class AnswerHeads {
    /** How many copies stand, in an answer to a load order. */
    static final String COPIES = "model-copies";
    /** On what a forward ran: {@code loaded}, {@code began-load}, {@code waited-for-load}, {@code load-failed}. */
    static final String WARMTH = "model-warmth";
    /** How many of the same model the executor held when this one came. */
    static final String CROWD = "model-crowd";

    private final LongAdder badReports;

    AnswerHeads(Counts counts) {
        badReports = counts.counter("load_reports_unreadable");
    }

    /** Null where none was told that can be read. */
    Report report(Http2Headers headers) {
        CharSequence text = header(headers, LoadReport.HEADER);
        Report report = LoadReport.parse(text);
        if (text != null && report == null) {
            badReports.increment();
        }
        return report;
    }

    static CharSequence header(Http2Headers headers, String name) {
        return headers == null ? null : headers.get(name);
    }

    static int number(CharSequence text, int otherwise) {
        try {
            return text == null ? otherwise : Integer.parseInt(text.toString());
        } catch (NumberFormatException e) {
            return otherwise;
        }
    }

    static Warmth warmth(CharSequence text) {
        if (text == null) {
            return Warmth.UNTOLD;
        }
        return switch (text.toString()) {
            case "loaded" -> Warmth.FOUND_LOADED;
            case "began-load" -> Warmth.BEGAN_LOAD;
            case "waited-for-load" -> Warmth.WAITED_FOR_LOAD;
            case "load-failed" -> Warmth.LOAD_FAILED;
            default -> Warmth.UNTOLD;
        };
    }
}
