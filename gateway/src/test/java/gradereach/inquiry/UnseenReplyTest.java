package gradereach.inquiry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.inquiry.InquiryScheduler.InquiredForward;
import gradereach.inquiry.InquiryScheduler.Conclusion;
import gradereach.inquiry.InquiryScheduler.Inquiry;
import gradereach.inquiry.InquiryScheduler.OutcomeReply;
import gradereach.ledger.Recipient;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** That a process has not seen a forward is true when it says so, which may be as early as it was asked. */
class UnseenReplyTest {
    private static final double MAX_TRANSIT_MILLIS = 5000;
    private final InquiryScheduler scheduler = new InquiryScheduler(30_000, 2, 3);

    private static InquiredForward forward(double intendedAt) {
        return new InquiredForward(new Recipient("s-1", "ex", 0), "f", intendedAt);
    }

    private Inquiry takeOnlyDue(double now) {
        List<Inquiry> due = scheduler.takeDue(now);
        assertEquals(1, due.size());
        return due.get(0);
    }

    /** Intended at 1000 and written at once: the word is of when it was asked, however late it comes in. */
    @ParameterizedTest
    @CsvSource({"1100, 7000", "1100, 6001", "5900, 6100", "5999, 20000"})
    void lateUnseenReplyProvesNothing(double askedAt, double toldAt) {
        scheduler.add("x", forward(1000), 1000);
        assertEquals(Conclusion.NOT_YET, scheduler.recordReply(takeOnlyDue(askedAt), OutcomeReply.UNSEEN, 0, toldAt));
    }

    /** It may be written until its sender gives it up or ends, which is when it comes in question; seconds after it was intended. */
    @ParameterizedTest
    @CsvSource({"9000, 9100", "6100, 6200", "20000, 24000"})
    void unseenReplyProvesNothingWhileForwardMayBeInTransit(double inQuestionAt, double askedAt) {
        scheduler.add("x", forward(1000), inQuestionAt);
        Conclusion known = scheduler.recordReply(takeOnlyDue(askedAt), OutcomeReply.UNSEEN, 0, askedAt);
        assertTrue(askedAt - inQuestionAt <= MAX_TRANSIT_MILLIS);
        assertEquals(Conclusion.NOT_YET, known);
    }

    /** However long ago it was written: an executor may read it later still, unless it promises to refuse it. */
    @ParameterizedTest
    @ValueSource(doubles = {6600, 15_000, 30_900})
    void unseenReplyProvesNothingHoweverOldTheForward(double askedAt) {
        scheduler.add("x", forward(1000), 1500);
        assertEquals(Conclusion.NOT_YET, scheduler.recordReply(takeOnlyDue(askedAt), OutcomeReply.UNSEEN, 0, askedAt + 50));
    }

    /** Refused from when the question was answered: from then on nothing arrives, whatever is still on its way. */
    @ParameterizedTest
    @CsvSource({"1600, 1601", "1600, 9000", "30000, 30900"})
    void fencedReplyProvesThatForwardNeverRan(double askedAt, double toldAt) {
        scheduler.add("x", forward(1000), 1500);
        assertEquals(Conclusion.NEVER_RAN, scheduler.recordReply(takeOnlyDue(askedAt), OutcomeReply.FENCED, 0, toldAt));
    }

    /** Who forgets outcomes after 30 s may have run it before, and fences what it has forgotten. */
    @Test
    void fenceAfterOutcomeRetentionProvesNothing() {
        scheduler.add("x", forward(1000), 1500);
        assertEquals(Conclusion.NEVER_KNOWN, scheduler.recordReply(takeOnlyDue(30_900), OutcomeReply.FENCED, 0, 31_000));
    }

    /** Where the process was not known at the intent, whoever is there may be another. */
    @Test
    void fenceProvesNothingWhereIntendedProcessIsUnknown() {
        scheduler.add("x", new InquiredForward(new Recipient("s-1", "ex", Double.NaN), "f", 1000), 1500);
        assertEquals(Conclusion.NEVER_KNOWN, scheduler.recordReply(takeOnlyDue(1600), OutcomeReply.FENCED, 0, 1700));
    }
}
