package gradereach.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import gradereach.api.ExecutorReport;
import gradereach.api.Outcome;
import gradereach.http2.ExchangeListener.ExchangeResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExchangeOutcomesTest {
    /** The table of docs/proofs.md, row by row. */
    @ParameterizedTest
    @CsvSource(value = {
        "ANSWERED, 200, null, RETURNED, false", "ANSWERED, 200, no, RETURNED, false", "ANSWERED, 503, no, FULL, true",
        "ANSWERED, 429, no, FULL, true", "ANSWERED, 503, null, ERROR, false", "ANSWERED, 429, null, ERROR, false",
        "ANSWERED, 404, no, MISS, true", "ANSWERED, 409, no, MISS, true", "ANSWERED, 404, null, ERROR, false",
        "ANSWERED, 500, no, ERROR, false", "ANSWERED, 400, no, ERROR, false", "ANSWERED, 503, yes, ERROR, false",
        "ANSWERED, -1, null, ERROR, false", "NOT_CONNECTED, 0, null, CONNECT_FAILED, true",
        "NO_STREAM, 0, null, FULL, true", "NOT_WRITTEN, 0, null, NEVER_SENT, true", "REFUSED, 0, null, FULL, true",
        "ABOVE_GOAWAY, 0, null, NEVER_SENT, true", "RESET, 0, null, RESET, false", "LOST, 0, null, RESET, false",
        "TOO_LONG, 0, null, ERROR, false", "GIVEN_UP, 0, null, CANCELLED, false",
    }, nullValues = "null")
    void mapsForwardResultToOutcome(ExchangeResult result, int status, String begun, Outcome outcome, boolean neverRan) {
        assertEquals(outcome, ExchangeOutcomes.forwardOutcome(result, status, begun));
        assertEquals(neverRan, outcome.provesNotRun);
    }

    @ParameterizedTest
    @CsvSource({"ANSWERED, 200, RETURNED", "ANSWERED, 503, FULL", "ANSWERED, 500, ERROR", "ANSWERED, 404, ERROR",
        "NOT_CONNECTED, 0, CONNECT_FAILED", "LOST, 0, RESET"})
    void loadOrderOutcomeNeedsNoBegunHeader(ExchangeResult result, int status, Outcome outcome) {
        assertEquals(outcome, ExchangeOutcomes.loadOrderOrProbeOutcome(result, status));
    }

    @Test
    void parsesBothReportFormatsAndIgnoresUnreadableOnes() {
        double absent = Double.NaN;
        assertEquals(new ExecutorReport(3, 1, 0.5, absent, 7, 0.25, 0.8, 2), OrcaReportParser.parse("TEXT cpu_utilization=0.5,"
                + "mem_utilization=0.8, rps_fractional=7,eps=0.25,named_metrics.in_flight=3,named_metrics.queued=1,"
                + "named_metrics.loads=2,named_metrics.other=9"));
        assertEquals(new ExecutorReport(3, absent, 0.5, absent, absent, absent, absent, absent),
                OrcaReportParser.parse("JSON {\"cpu_utilization\":0.5,\"named_metrics\":{\"in_flight\":3}}"));
        for (String malformed : new String[] {"", "BIN AAAA", "TEXT cpu_utilization=x", "JSON {"}) {
            assertNull(OrcaReportParser.parse(malformed));
        }
    }
}
