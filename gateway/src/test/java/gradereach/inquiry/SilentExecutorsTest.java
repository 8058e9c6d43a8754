package gradereach.inquiry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.inquiry.InquiryScheduler.InquiredForward;
import gradereach.inquiry.InquiryScheduler.Inquiry;
import gradereach.ledger.Recipient;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Executors that never reply keep the maximum of inquiries in flight. The scheduler must then not report the next inquiry as
 * due, or its caller would wake up again and again without effect.
 */
class SilentExecutorsTest {
    private final InquiryScheduler scheduler = new InquiryScheduler(30_000, 2, 10);

    @Test
    void noWakeUpWhileMaximumIsInFlight() {
        for (int i = 0; i < 3; i++) {
            scheduler.add("x" + i, new InquiredForward(new Recipient("s-" + i, "ex" + i, 0), "f", 0), 0);
        }
        List<Inquiry> due = scheduler.takeDue(100);
        assertEquals(2, due.size());
        assertEquals(List.of(), scheduler.takeDue(200));
        assertTrue(scheduler.nextDueAt() > 200, "next inquiry due at " + scheduler.nextDueAt() + " although the maximum is in flight");
    }
}
