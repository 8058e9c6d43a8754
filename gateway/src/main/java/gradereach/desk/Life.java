package gradereach.desk;

import gradereach.api.ModelGroup;
import gradereach.api.Repeat;
import gradereach.flow.PartFlow;
import gradereach.inquiry.InquiryBook;
import gradereach.message.FinalAnswer;
import gradereach.state.Inference;
import java.util.ArrayList;
import java.util.List;

/** An inference taken, from its message to its final answer and the end of its last forward. */
public final class Life {
    final Inference inference;
    final Catalogue.Entry model;
    final Input input;
    final MessageMemory.Entry memory;
    final String frontEnd;
    final String mark;
    final int era;
    /** When its client's time is really up; the module is told earlier where the ledger needs time. */
    final double clientLeavesAt;
    /** By the ledger's time; names the promise of an answer by webhook. */
    final double takenInLedger;
    /** An answer by webhook was promised for this life: one is sent, however many asked so. */
    public boolean promised;
    final List<Flight> flights = new ArrayList<>(2);
    long timer;
    /** The answer that has started, null before. */
    PartFlow<?> flow;
    double startedAt = Double.NaN;
    /** A life of the same message before this one may have run: what is known of this one's forwards is not all. */
    boolean earlierMayHaveRun;
    /** Who reads it; null once that one has left. */
    Asker reader;
    /** It was returned, in more parts than are kept for the record. */
    boolean partsNotKept;
    /** Decided, and not to leave before it is durable; null where nothing waits. */
    FinalAnswer pending;
    FinalAnswer answer;

    Life(Inference inference, Catalogue.Entry model, Input input, MessageMemory.Entry memory, String frontEnd,
            String mark, int era, double clientLeavesAt,
            double takenInLedger) {
        this.inference = inference;
        this.model = model;
        this.input = input;
        this.memory = memory;
        this.frontEnd = frontEnd;
        this.mark = mark;
        this.era = era;
        this.clientLeavesAt = clientLeavesAt;
        this.takenInLedger = takenInLedger;
    }

    /** When the first forward left that may have run, NaN where none may. Module time. */
    double mayHaveRunSince() {
        for (Flight f : flights) {
            // What has not left when its inference is done never leaves.
            boolean leaves = f.sent || !f.ended && !inference.done;
            if (leaves && (f.forward.outcome == null || !f.forward.outcome.provesNotRun)) {
                return f.forward.sentAt;
            }
        }
        return Double.NaN;
    }

    /** Whether it may have run, and executors that drop its repeats may have forgotten it when one comes. */
    boolean windowClosed(double now) {
        double repeatedAt = now + MessageMemory.REPEATED_WITHIN;
        return inference.group.repeat() == Repeat.DEDUPED && repeatedAt >= mayHaveRunSince() + inference.group.dedupWindow();
    }

    /** Forwards that may have run, with when they left. */
    List<InquiryBook.Forwarded> openForwards() {
        List<InquiryBook.Forwarded> open = new ArrayList<>(1);
        for (Flight f : flights) {
            if (f.sent && (f.forward.outcome == null || !f.forward.outcome.provesNotRun)) {
                open.add(new InquiryBook.Forwarded(f.recipient, f.name(), f.forward.sentAt));
            }
        }
        return open;
    }

    boolean over() {
        if (!inference.done || pending != null) {
            return false;
        }
        for (Flight f : flights) {
            if (!f.ended) {
                return false;
            }
        }
        return true;
    }

    // What the log's line and the measures tell.
    public ModelGroup modelGroup() {
        return inference.group;
    }

    public long modelId() {
        return model.id();
    }

    /** Beyond its customer's quota when it came. */
    public boolean surplus() {
        return inference.surplus;
    }

    /** When its answer started to flow, NaN for one that came whole. */
    public double startedAt() {
        return startedAt;
    }

    public String id() {
        return memory.id;
    }

    /** When it was taken, by the ledger's time. */
    public double takenInLedger() {
        return takenInLedger;
    }

    public long digestHigh() {
        return memory.digestHigh;
    }

    public long digestLow() {
        return memory.digestLow;
    }

    public String group() {
        return memory.group.name();
    }

    public int customer() {
        return memory.customer;
    }

    public String modelName() {
        return model.name();
    }

    public int forwards() {
        return flights.size();
    }

    public double takenAt() {
        return inference.takenAt;
    }

    /** When the first forward left, NaN without one. */
    public double firstForwardAt() {
        return flights.isEmpty() ? Double.NaN : flights.get(0).forward.sentAt;
    }

    public String lastExecutor() {
        return flights.isEmpty() ? "" : flights.get(flights.size() - 1).place.address;
    }

    public FinalAnswer answer() {
        return answer;
    }
}
