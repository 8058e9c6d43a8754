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
public final class InquiryBook {
    /** Milliseconds before each further question; the last one repeats. */
    private static final double[] WAITS = {100, 250, 500, 1000, 2000, 5000, 10_000};

    /**
     * What an executor says: FENCED where it has not seen the forward and refuses it from now on, UNSEEN where it does not
     * promise that; GONE where it cannot be asked any more, since another one is met at its address.
     */
    public enum Told { FINISHED, RUNNING, UNSEEN, FENCED, NOTHING, GONE }

    /** What a question came to: nothing yet, or for good. */
    public enum Known { NOT_YET, RAN, NEVER_RAN, NEVER_KNOWN }

    /**
     * A forward whose end nobody saw.
     *
     * @param intendedAt module time; NaN where no clock that goes on over a restart tells it
     */
    public record Forwarded(Recipient recipient, String forward, double intendedAt) { }

    /** One forward in question. */
    public static final class Question {
        public final Object about;
        public final Forwarded forwarded;
        /** When it was intended, or else first asked about: module time. */
        private final double since;
        private int asked;
        private double due;
        private long turn;
        private boolean over;

        Question(Object about, Forwarded forwarded, double now) {
            this.about = about;
            this.forwarded = forwarded;
            since = Double.isNaN(forwarded.intendedAt) ? now : forwarded.intendedAt;
        }

        /** Another process has not seen the forward; the one that it was meant for may have. */
        private boolean isOfAnother(double process) {
            double intendedFor = forwarded.recipient.process();
            return !Double.isNaN(process) && !Double.isNaN(intendedFor) && process != intendedFor;
        }

        /** Nothing: it may still arrive there, however long its sender has ended. */
        private Known unseenBy(double process) {
            return isOfAnother(process) ? Known.NEVER_KNOWN : Known.NOT_YET;
        }

        /**
         * What it proves that a process has not seen the forward and refuses it from now on. Only the process that it was
         * meant for would know, and only for as long as it remembers what it ran.
         */
        private Known fencedBy(double process, double now, double remembered) {
            if (Double.isNaN(process)) {
                return Known.NOT_YET;
            }
            boolean remembers = !Double.isNaN(forwarded.intendedAt) && now - since < remembered;
            return remembers && process == forwarded.recipient.process() ? Known.NEVER_RAN : Known.NEVER_KNOWN;
        }
    }

    private final double remembered;
    private final int mostUnderWay;
    private final int mostOpen;
    private final PriorityQueue<Question> waiting = new PriorityQueue<>(
            Comparator.<Question>comparingDouble(q -> q.due).thenComparingLong(q -> q.turn));
    private long turns;
    private int underWay;
    private int open;

    /**
     * @param remembered milliseconds for which executors keep outcomes; 0 where they do not, and nothing is asked
     * @param mostUnderWay questions at one time
     * @param mostOpen forwards in question; more are not asked about
     */
    public InquiryBook(double remembered, int mostUnderWay, int mostOpen) {
        this.remembered = remembered;
        this.mostUnderWay = mostUnderWay;
        this.mostOpen = mostOpen;
    }

    /** Whether executors remember anything that they can be asked about. */
    public boolean asks() {
        return remembered > 0;
    }

    /** Null where it is not asked about. */
    public Question add(Object about, Forwarded forwarded, double now) {
        if (!asks() || !forwarded.recipient.isKnown() || now - forwarded.intendedAt >= remembered || open >= mostOpen) {
            return null;
        }
        open++;
        Question made = new Question(about, forwarded, now);
        wait(made, now + WAITS[0]);
        return made;
    }

    private void wait(Question question, double until) {
        question.due = until;
        question.turn = turns++;
        waiting.add(question);
    }

    /** Those to be asked now; each must come back through {@link #told}. */
    public List<Question> due(double now) {
        List<Question> out = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.peek().due <= now && underWay < mostUnderWay) {
            Question next = waiting.poll();
            if (!next.over) {
                underWay++;
                next.asked++;
                out.add(next);
            }
        }
        return out;
    }

    /** When {@link #due} may have something again, infinity for not before another has come back. */
    public double next() {
        return waiting.isEmpty() || underWay >= mostUnderWay ? Double.POSITIVE_INFINITY : waiting.peek().due;
    }

    /** @param process the number by which the process that answered tells itself from any other; NaN where it tells none */
    public Known told(Question question, Told what, double process, double now) {
        underWay--;
        if (question.over) {
            return Known.NOT_YET;
        }
        Known known = switch (what) {
            case FINISHED -> Known.RAN;
            case UNSEEN -> question.unseenBy(process);
            case FENCED -> question.fencedBy(process, now, remembered);
            case RUNNING, NOTHING -> Known.NOT_YET;
            case GONE -> Known.NEVER_KNOWN;
        };
        if (known == Known.NOT_YET && now - question.since >= remembered) {
            known = Known.NEVER_KNOWN;
        }
        if (known == Known.NOT_YET) {
            wait(question, now + WAITS[Math.min(question.asked, WAITS.length - 1)]);
        } else {
            drop(question);
        }
        return known;
    }

    /** It need not be asked any more. */
    public void drop(Question question) {
        if (!question.over) {
            question.over = true;
            open--;
        }
    }

    public int open() {
        return open;
    }
}
