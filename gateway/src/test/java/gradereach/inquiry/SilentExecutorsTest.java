package gradereach.inquiry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.inquiry.InquiryScheduler.InquiredForward;
import gradereach.inquiry.InquiryScheduler.Inquiry;
import gradereach.ledger.Recipient;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Executors that answer nothing keep others neither waiting for their turn nor a thread at work. */
class SilentExecutorsTest {
    private final InquiryScheduler scheduler = new InquiryScheduler(30_000, 2, 10);

    @Test
    void noWakeUpWhileMaximumIsInFlight() {
        for (int i = 0; i < 3; i++) {
            scheduler.add("x" + i, new InquiredForward(new Recipient("s-" + i, "ex" + i, 0), "f", 0), 0);
        }
        List<Inquiry> out = scheduler.takeDue(100);
        assertEquals(2, out.size());
        assertEquals(List.of(), scheduler.takeDue(200));
        assertTrue(scheduler.nextDueAt() > 200, "looked at again at " + scheduler.nextDueAt() + ", though as many are asked as may be");
    }
}
