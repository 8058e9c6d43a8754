package gradereach.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.DoubleConsumer;
import org.junit.jupiter.api.Test;

class ProcessIdentityTest {
    private final ProcessIdentity identity = new ProcessIdentity();

    /** Guards against a late reply of an earlier process, which would identify the current one wrongly for good. */
    @Test
    void lateAnswerOfAnEarlierProcessIsIgnored() {
        DoubleConsumer late = identity.beginQuery(0);
        identity.reset();
        late.accept(1);
        assertEquals(Double.NaN, identity.number());
        assertTrue(identity.isQueryDue(1), "the current process is never queried");
    }

    @Test
    void numberOfTheCurrentProcessIsKept() {
        DoubleConsumer answer = identity.beginQuery(0);
        assertFalse(identity.isQueryDue(1));
        answer.accept(Double.NaN);
        assertEquals(Double.NaN, identity.number());
        identity.beginQuery(6000).accept(7);
        assertEquals(7, identity.number());
        assertFalse(identity.isQueryDue(60_000));
    }
}
