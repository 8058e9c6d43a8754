package gradereach.inquiry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.inquiry.InquiryScheduler.Conclusion;
import gradereach.inquiry.InquiryScheduler.InquiredForward;
import gradereach.inquiry.InquiryScheduler.Inquiry;
import gradereach.inquiry.InquiryScheduler.OutcomeReply;
import gradereach.ledger.Recipient;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class InquirySchedulerTest {
    private final InquiryScheduler scheduler = new InquiryScheduler(30_000, 2, 3);

    /** A forward that was sent to process 0. */
    private static InquiredForward forward(double intendedAt) {
        return new InquiredForward(new Recipient("s-1", "ex", 0), "f", intendedAt);
    }

    private Inquiry takeOnlyDue(double now) {
        List<Inquiry> due = scheduler.takeDue(now);
        assertEquals(1, due.size());
        return due.get(0);
    }

    @ParameterizedTest
    @CsvSource({
        // forward intended at 1000; time of the inquiry, reply, replying process, expected conclusion
        "1100, FINISHED, 0, RAN", "1100, RUNNING, 0, NOT_YET", "1100, NOTHING, NaN, NOT_YET",
        "1100, UNSEEN, 0, NOT_YET", "7000, UNSEEN, 0, NOT_YET", "7000, UNSEEN, 2000, NEVER_KNOWN",
        "7000, UNSEEN, NaN, NOT_YET", "30900, UNSEEN, 0, NOT_YET", "31000, UNSEEN, 0, NEVER_KNOWN",
        "1100, FENCED, 0, NEVER_RAN", "30900, FENCED, 0, NEVER_RAN", "31000, FENCED, 0, NEVER_KNOWN",
        "1100, FENCED, 2000, NEVER_KNOWN", "1100, FENCED, NaN, NOT_YET", "40000, NOTHING, NaN, NEVER_KNOWN",
        "40000, RUNNING, 0, NEVER_KNOWN",
    })
    void replyDeterminesConclusion(double inquiredAt, OutcomeReply reply, double process, Conclusion expected) {
        scheduler.add("x", forward(1000), 1000);
        assertEquals(expected, scheduler.recordReply(takeOnlyDue(inquiredAt), reply, process, inquiredAt));
        assertEquals(expected == Conclusion.NOT_YET ? 1 : 0, scheduler.openCount());
        assertEquals(expected == Conclusion.NOT_YET, scheduler.nextDueAt() < Double.POSITIVE_INFINITY);
    }

    @Test
    void inquiriesBackOffAndEnd() {
        scheduler.add("x", forward(0), 0);
        double now = 0;
        double gap = 0;
        int inquiries = 0;
        while (scheduler.openCount() > 0) {
            double next = scheduler.nextDueAt();
            assertTrue(next - now >= gap || gap >= 10_000, "gaps shrink");
            gap = next - now;
            now = next;
            scheduler.recordReply(takeOnlyDue(now), OutcomeReply.NOTHING, Double.NaN, now);
            inquiries++;
        }
        assertTrue(inquiries > 5 && inquiries < 12, inquiries + " inquiries");
    }

    @Test
    void limitsAreEnforced() {
        Inquiry first = scheduler.add("a", forward(0), 0);
        assertNotNull(scheduler.add("b", forward(0), 0));
        assertNotNull(scheduler.add("c", forward(0), 0));
        assertNull(scheduler.add("d", forward(0), 0));
        assertNull(scheduler.add("old", forward(-30_000), 0));
        assertEquals(2, scheduler.takeDue(1000).size());
        assertEquals(0, scheduler.takeDue(1000).size());
        scheduler.cancel(first);
        assertEquals(Conclusion.NOT_YET, scheduler.recordReply(first, OutcomeReply.FINISHED, 0, 1000));
        assertEquals(1, scheduler.takeDue(1000).size());
        assertEquals(2, scheduler.openCount());
    }
}
