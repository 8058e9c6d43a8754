package gradereach.inquiry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gradereach.inquiry.InquiryBook.Forwarded;
import gradereach.inquiry.InquiryBook.Known;
import gradereach.inquiry.InquiryBook.Question;
import gradereach.inquiry.InquiryBook.Told;
import gradereach.ledger.Recipient;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class InquiryBookTest {
    private final InquiryBook book = new InquiryBook(30_000, 2, 3);

    /** Intended for the process that calls itself 0. */
    private static Forwarded forward(double intendedAt) {
        return new Forwarded(new Recipient("s-1", "ex", 0), "f", intendedAt);
    }

    private Question only(double now) {
        List<Question> due = book.due(now);
        assertEquals(1, due.size());
        return due.get(0);
    }

    @ParameterizedTest
    @CsvSource({
        // intended at 1000; asked at, told what, up since, what is known then
        "1100, FINISHED, 0, RAN", "1100, RUNNING, 0, NOT_YET", "1100, NOTHING, NaN, NOT_YET",
        "1100, UNSEEN, 0, NOT_YET", "7000, UNSEEN, 0, NOT_YET", "7000, UNSEEN, 2000, NEVER_KNOWN",
        "7000, UNSEEN, NaN, NOT_YET", "30900, UNSEEN, 0, NOT_YET", "31000, UNSEEN, 0, NEVER_KNOWN",
        "1100, FENCED, 0, NEVER_RAN", "30900, FENCED, 0, NEVER_RAN", "31000, FENCED, 0, NEVER_KNOWN",
        "1100, FENCED, 2000, NEVER_KNOWN", "1100, FENCED, NaN, NOT_YET", "40000, NOTHING, NaN, NEVER_KNOWN", "40000, RUNNING, 0, NEVER_KNOWN",
    })
    void whatIsKnownFollowsWhatIsTold(double at, Told told, double upSince, Known known) {
        book.add("x", forward(1000), 1000);
        assertEquals(known, book.told(only(at), told, upSince, at));
        assertEquals(known == Known.NOT_YET ? 1 : 0, book.open());
        assertEquals(known == Known.NOT_YET, book.next() < Double.POSITIVE_INFINITY);
    }

    @Test
    void questionsGetRarerAndEnd() {
        book.add("x", forward(0), 0);
        double now = 0;
        double gap = 0;
        int asked = 0;
        while (book.open() > 0) {
            double next = book.next();
            assertTrue(next - now >= gap || gap >= 10_000, "gaps shrink");
            gap = next - now;
            now = next;
            book.told(only(now), Told.NOTHING, Double.NaN, now);
            asked++;
        }
        assertTrue(asked > 5 && asked < 12, asked + " questions");
    }

    @Test
    void boundsHold() {
        Question first = book.add("a", forward(0), 0);
        assertNotNull(book.add("b", forward(0), 0));
        assertNotNull(book.add("c", forward(0), 0));
        assertNull(book.add("d", forward(0), 0));
        assertNull(book.add("old", forward(-30_000), 0));
        assertEquals(2, book.due(1000).size());
        assertEquals(0, book.due(1000).size());
        book.drop(first);
        assertEquals(Known.NOT_YET, book.told(first, Told.FINISHED, 0, 1000));
        assertEquals(1, book.due(1000).size());
        assertEquals(2, book.open());
    }
}
