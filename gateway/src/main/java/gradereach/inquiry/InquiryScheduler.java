package gradereach.inquiry;

import gradereach.ledger.Recipient;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Decides when an executor is asked for the outcome of a forward whose end was not observed, and what its replies prove.
 * Holds state only and does no I/O.
 *
 * <p>The first inquiry follows soon, since an executor that has finished replies at once. Further ones back off until
 * executors no longer keep the outcome. The number of inquiries in flight is limited, so that a crash with many open
 * forwards does not flood the executors.
 */
public final class InquiryScheduler {
    /** Delay before each further inquiry in milliseconds; the last value repeats. */
    private static final double[] INQUIRY_DELAYS_MILLIS = {100, 250, 500, 1000, 2000, 5000, 10_000};

    /**
     * The reply to an inquiry. FENCED: the executor has not seen the forward and rejects it from now on. UNSEEN: it has not
     * seen the forward but does not promise to reject it. NOTHING: there was no usable reply. GONE: the executor can no longer
     * be asked, since another one has taken over its address.
     */
    public enum OutcomeReply { FINISHED, RUNNING, UNSEEN, FENCED, NOTHING, GONE }

    /** What is known of a forward after a reply. NOT_YET is preliminary, all others are final. */
    public enum Conclusion { NOT_YET, RAN, NEVER_RAN, NEVER_KNOWN }

    /**
     * A forward with an unknown outcome.
     *
     * @param intendedAt monotonic time at which the intent to send it was recorded; NaN if no clock that continues across
     *        a restart provides it
     */
    public record InquiredForward(Recipient recipient, String forwardId, double intendedAt) { }

    /** The inquiries about one forward. */
    public static final class Inquiry {
        /** What the caller of {@link #add} asks on behalf of; not used here. */
        public final Object subject;
        public final InquiredForward forward;
        /** When the forward was intended, or else when the inquiry was added; monotonic time. */
        private final double ageCountsFrom;
        private int attempts;
        private double dueAt;
        /** Order in which inquiries that are due at the same time are taken. */
        private long sequence;
        private boolean closed;

        Inquiry(Object subject, InquiredForward forward, double now) {
            this.subject = subject;
            this.forward = forward;
            ageCountsFrom = Double.isNaN(forward.intendedAt) ? now : forward.intendedAt;
        }

        /** Whether the replying process is not the one that the forward was sent to, which alone may have seen it. */
        private boolean isOtherProcess(double processNumber) {
            double intendedFor = forward.recipient.processNumber();
            return !Double.isNaN(processNumber) && !Double.isNaN(intendedFor) && processNumber != intendedFor;
        }

        /** UNSEEN by the intended process proves nothing: the forward may still arrive, however long ago its sender ended. */
        private Conclusion concludeUnseen(double processNumber) {
            return isOtherProcess(processNumber) ? Conclusion.NEVER_KNOWN : Conclusion.NOT_YET;
        }

        /**
         * What a FENCED reply proves. Only the process that the forward was sent to knows whether it ran, and only for as long
         * as it keeps outcomes.
         */
        private Conclusion concludeFenced(double processNumber, double now, double outcomeRetentionMillis) {
            if (Double.isNaN(processNumber)) {
                return Conclusion.NOT_YET;
            }
            boolean withinRetention = !Double.isNaN(forward.intendedAt) && now - ageCountsFrom < outcomeRetentionMillis;
            return withinRetention && processNumber == forward.recipient.processNumber() ? Conclusion.NEVER_RAN : Conclusion.NEVER_KNOWN;
        }
    }

    private final double outcomeRetentionMillis;
    private final int maxInFlight;
    private final int maxOpen;
    private final PriorityQueue<Inquiry> scheduled = new PriorityQueue<>(
            Comparator.<Inquiry>comparingDouble(inquiry -> inquiry.dueAt).thenComparingLong(inquiry -> inquiry.sequence));
    private long nextSequence;
    private int inFlight;
    private int openCount;

    /**
     * @param outcomeRetentionMillis how long executors keep outcomes; 0 if they do not, which disables inquiries
     * @param maxInFlight inquiries in flight at once
     * @param maxOpen forwards with an unknown outcome; further ones are not asked about
     */
    public InquiryScheduler(double outcomeRetentionMillis, int maxInFlight, int maxOpen) {
        this.outcomeRetentionMillis = outcomeRetentionMillis;
        this.maxInFlight = maxInFlight;
        this.maxOpen = maxOpen;
    }

    /** Whether executors keep outcomes that they can be asked for. */
    public boolean isEnabled() {
        return outcomeRetentionMillis > 0;
    }

    /** Schedules inquiries about a forward. Returns null if the executor cannot answer them or {@code maxOpen} is reached. */
    public Inquiry add(Object subject, InquiredForward forward, double now) {
        if (!isEnabled() || !forward.recipient.isKnown() || now - forward.intendedAt >= outcomeRetentionMillis
                || openCount >= maxOpen) {
            return null;
        }
        openCount++;
        Inquiry inquiry = new Inquiry(subject, forward, now);
        schedule(inquiry, now + INQUIRY_DELAYS_MILLIS[0]);
        return inquiry;
    }

    private void schedule(Inquiry inquiry, double dueAt) {
        inquiry.dueAt = dueAt;
        inquiry.sequence = nextSequence++;
        scheduled.add(inquiry);
    }

    /** Returns the inquiries that are due. Each of them must come back through {@link #recordReply}. */
    public List<Inquiry> takeDue(double now) {
        List<Inquiry> due = new ArrayList<>();
        while (!scheduled.isEmpty() && scheduled.peek().dueAt <= now && inFlight < maxInFlight) {
            Inquiry next = scheduled.poll();
            if (!next.closed) {
                inFlight++;
                next.attempts++;
                due.add(next);
            }
        }
        return due;
    }

    /** When {@link #takeDue} may return something again; infinite while nothing can be due before a reply is recorded. */
    public double nextDueAt() {
        return scheduled.isEmpty() || inFlight >= maxInFlight ? Double.POSITIVE_INFINITY : scheduled.peek().dueAt;
    }

    /**
     * Draws the conclusion from a reply, and schedules the next inquiry if it is not final.
     *
     * @param processNumber the number that identifies the replying process; NaN if it reported none
     */
    public Conclusion recordReply(Inquiry inquiry, OutcomeReply reply, double processNumber, double now) {
        inFlight--;
        if (inquiry.closed) {
            return Conclusion.NOT_YET;
        }
        Conclusion conclusion = switch (reply) {
            case FINISHED -> Conclusion.RAN;
            case UNSEEN -> inquiry.concludeUnseen(processNumber);
            case FENCED -> inquiry.concludeFenced(processNumber, now, outcomeRetentionMillis);
            case RUNNING, NOTHING -> Conclusion.NOT_YET;
            case GONE -> Conclusion.NEVER_KNOWN;
        };
        if (conclusion == Conclusion.NOT_YET && now - inquiry.ageCountsFrom >= outcomeRetentionMillis) {
            conclusion = Conclusion.NEVER_KNOWN;
        }
        if (conclusion == Conclusion.NOT_YET) {
            schedule(inquiry, now + INQUIRY_DELAYS_MILLIS[Math.min(inquiry.attempts, INQUIRY_DELAYS_MILLIS.length - 1)]);
        } else {
            cancel(inquiry);
        }
        return conclusion;
    }

    /** Stops asking about the forward. */
    public void cancel(Inquiry inquiry) {
        if (!inquiry.closed) {
            inquiry.closed = true;
            openCount--;
        }
    }

    /** Forwards that are still asked about. */
    public int openCount() {
        return openCount;
    }
}
