package gradereach.inquiry;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A reply "not seen" holds only for the time at which the executor wrote it, which may be as early as the inquiry. Guards
 * against taking it as proof that a forward never runs while the forward may still arrive.
 */
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

    /** Intended at 1000 and sent at once: the reply holds for the time of the inquiry, however late it arrives. */
    @ParameterizedTest
    @CsvSource({"1100, 7000", "1100, 6001", "5900, 6100", "5999, 20000"})
    void lateUnseenReplyProvesNothing(double inquiredAt, double repliedAt) {
        scheduler.add("x", forward(1000), 1000);
        assertEquals(Conclusion.NOT_YET, scheduler.recordReply(takeOnlyDue(inquiredAt), OutcomeReply.UNSEEN, 0, repliedAt));
    }

    /** A forward may be written seconds after its intent, until its sender cancels it or ends and the inquiries about it begin. */
    @ParameterizedTest
    @CsvSource({"9000, 9100", "6100, 6200", "20000, 24000"})
    void unseenReplyProvesNothingWhileForwardMayBeInTransit(double addedAt, double inquiredAt) {
        scheduler.add("x", forward(1000), addedAt);
        Conclusion conclusion = scheduler.recordReply(takeOnlyDue(inquiredAt), OutcomeReply.UNSEEN, 0, inquiredAt);
        assertTrue(inquiredAt - addedAt <= MAX_TRANSIT_MILLIS);
        assertEquals(Conclusion.NOT_YET, conclusion);
    }

    /** However long ago the forward was written, an executor may still read it, unless it promises to reject it. */
    @ParameterizedTest
    @ValueSource(doubles = {6600, 15_000, 30_900})
    void unseenReplyProvesNothingHoweverOldTheForward(double inquiredAt) {
        scheduler.add("x", forward(1000), 1500);
        assertEquals(Conclusion.NOT_YET, scheduler.recordReply(takeOnlyDue(inquiredAt), OutcomeReply.UNSEEN, 0, inquiredAt + 50));
    }

    /** A fence rejects the forward from the reply on, even if it is still in transit. */
    @ParameterizedTest
    @CsvSource({"1600, 1601", "1600, 9000", "30000, 30900"})
    void fencedReplyProvesThatForwardNeverRan(double inquiredAt, double repliedAt) {
        scheduler.add("x", forward(1000), 1500);
        assertEquals(Conclusion.NEVER_RAN, scheduler.recordReply(takeOnlyDue(inquiredAt), OutcomeReply.FENCED, 0, repliedAt));
    }

    /** An executor that drops outcomes after 30 s may have run the forward and fence it once the outcome is dropped. */
    @Test
    void fenceAfterOutcomeRetentionProvesNothing() {
        scheduler.add("x", forward(1000), 1500);
        assertEquals(Conclusion.NEVER_KNOWN, scheduler.recordReply(takeOnlyDue(30_900), OutcomeReply.FENCED, 0, 31_000));
    }

    /** If the process was not known at the intent, the one that replies may be another. */
    @Test
    void fenceProvesNothingWhereIntendedProcessIsUnknown() {
        scheduler.add("x", new InquiredForward(new Recipient("s-1", "ex", Double.NaN), "f", 1000), 1500);
        assertEquals(Conclusion.NEVER_KNOWN, scheduler.recordReply(takeOnlyDue(1600), OutcomeReply.FENCED, 0, 1700));
    }
}
