package gradereach.inquiry;

import gradereach.ledger.Recipient;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Which executor is asked, and when, what became of a forward whose end nobody saw: state and decisions, no I/O. Asked
 * soon at first, since an executor that finished will say so at once, then ever more rarely until executors no longer
 * remember; so many at a time at most, so that a crash with much under way does not become a flood of questions.
 */
public final class InquiryScheduler {
    /** Milliseconds before each further question; the last one repeats. */
    private static final double[] INQUIRY_DELAYS_MILLIS = {100, 250, 500, 1000, 2000, 5000, 10_000};

    /**
     * What an executor says: FENCED where it has not seen the forward and refuses it from now on, UNSEEN where it does not
     * promise that; GONE where it cannot be asked any more, since another one is met at its address.
     */
    public enum OutcomeReply { FINISHED, RUNNING, UNSEEN, FENCED, NOTHING, GONE }

    /** What a question came to: nothing yet, or for good. */
    public enum Conclusion { NOT_YET, RAN, NEVER_RAN, NEVER_KNOWN }

    /**
     * A forward whose end nobody saw.
     *
     * @param intendedAt module time; NaN where no clock that goes on over a restart tells it
     */
    public record InquiredForward(Recipient recipient, String forwardId, double intendedAt) { }

    /** One forward in question. */
    public static final class Inquiry {
        public final Object subject;
        public final InquiredForward forward;
        /** When it was intended, or else first asked about: module time. */
        private final double ageCountsFrom;
        private int attempts;
        private double dueAt;
        private long sequence;
        private boolean closed;

        Inquiry(Object about, InquiredForward forwarded, double now) {
            this.subject = about;
            this.forward = forwarded;
            ageCountsFrom = Double.isNaN(forwarded.intendedAt) ? now : forwarded.intendedAt;
        }

        /** Another process has not seen the forward; the one that it was meant for may have. */
        private boolean isOtherProcess(double process) {
            double intendedFor = forward.recipient.processNumber();
            return !Double.isNaN(process) && !Double.isNaN(intendedFor) && process != intendedFor;
        }

        /** Nothing: it may still arrive there, however long its sender has ended. */
        private Conclusion concludeUnseen(double process) {
            return isOtherProcess(process) ? Conclusion.NEVER_KNOWN : Conclusion.NOT_YET;
        }

        /**
         * What it proves that a process has not seen the forward and refuses it from now on. Only the process that it was
         * meant for would know, and only for as long as it remembers what it ran.
         */
        private Conclusion concludeFenced(double process, double now, double remembered) {
            if (Double.isNaN(process)) {
                return Conclusion.NOT_YET;
            }
            boolean remembers = !Double.isNaN(forward.intendedAt) && now - ageCountsFrom < remembered;
            return remembers && process == forward.recipient.processNumber() ? Conclusion.NEVER_RAN : Conclusion.NEVER_KNOWN;
        }
    }

    private final double outcomeRetentionMillis;
    private final int maxInFlight;
    private final int maxOpen;
    private final PriorityQueue<Inquiry> scheduled = new PriorityQueue<>(
            Comparator.<Inquiry>comparingDouble(q -> q.dueAt).thenComparingLong(q -> q.sequence));
    private long nextSequence;
    private int inFlight;
    private int openCount;

    /**
     * @param remembered milliseconds for which executors keep outcomes; 0 where they do not, and nothing is asked
     * @param mostUnderWay questions at one time
     * @param mostOpen forwards in question; more are not asked about
     */
    public InquiryScheduler(double remembered, int mostUnderWay, int mostOpen) {
        this.outcomeRetentionMillis = remembered;
        this.maxInFlight = mostUnderWay;
        this.maxOpen = mostOpen;
    }

    /** Whether executors remember anything that they can be asked about. */
    public boolean isEnabled() {
        return outcomeRetentionMillis > 0;
    }

    /** Null where it is not asked about. */
    public Inquiry add(Object about, InquiredForward forwarded, double now) {
        if (!isEnabled() || !forwarded.recipient.isKnown() || now - forwarded.intendedAt >= outcomeRetentionMillis || openCount >= maxOpen) {
            return null;
        }
        openCount++;
        Inquiry made = new Inquiry(about, forwarded, now);
        schedule(made, now + INQUIRY_DELAYS_MILLIS[0]);
        return made;
    }

    private void schedule(Inquiry question, double until) {
        question.dueAt = until;
        question.sequence = nextSequence++;
        scheduled.add(question);
    }

    /** Those to be asked now; each must come back through {@link #told}. */
    public List<Inquiry> takeDue(double now) {
        List<Inquiry> out = new ArrayList<>();
        while (!scheduled.isEmpty() && scheduled.peek().dueAt <= now && inFlight < maxInFlight) {
            Inquiry next = scheduled.poll();
            if (!next.closed) {
                inFlight++;
                next.attempts++;
                out.add(next);
            }
        }
        return out;
    }

    /** When {@link #due} may have something again, infinity for not before another has come back. */
    public double nextDueAt() {
        return scheduled.isEmpty() || inFlight >= maxInFlight ? Double.POSITIVE_INFINITY : scheduled.peek().dueAt;
    }

    /** @param process the number by which the process that answered tells itself from any other; NaN where it tells none */
    public Conclusion recordReply(Inquiry question, OutcomeReply what, double process, double now) {
        inFlight--;
        if (question.closed) {
            return Conclusion.NOT_YET;
        }
        Conclusion known = switch (what) {
            case FINISHED -> Conclusion.RAN;
            case UNSEEN -> question.concludeUnseen(process);
            case FENCED -> question.concludeFenced(process, now, outcomeRetentionMillis);
            case RUNNING, NOTHING -> Conclusion.NOT_YET;
            case GONE -> Conclusion.NEVER_KNOWN;
        };
        if (known == Conclusion.NOT_YET && now - question.ageCountsFrom >= outcomeRetentionMillis) {
            known = Conclusion.NEVER_KNOWN;
        }
        if (known == Conclusion.NOT_YET) {
            schedule(question, now + INQUIRY_DELAYS_MILLIS[Math.min(question.attempts, INQUIRY_DELAYS_MILLIS.length - 1)]);
        } else {
            cancel(question);
        }
        return known;
    }

    /** It need not be asked any more. */
    public void cancel(Inquiry question) {
        if (!question.closed) {
            question.closed = true;
            openCount--;
        }
    }

    public int openCount() {
        return openCount;
    }
}
