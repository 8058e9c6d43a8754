package gradereach.desk;

import gradereach.api.ModelGroup;
import gradereach.api.RetrySafety;
import gradereach.flow.AnswerStream;
import gradereach.inquiry.InquiryScheduler;
import gradereach.message.FinalAnswer;
import gradereach.state.Inference;
import java.util.ArrayList;
import java.util.List;

/** An inference taken, from its message to its final answer and the end of its last forward. */
public final class InferenceState {
    final Inference inference;
    final ModelCatalog.Entry model;
    final InferenceInput input;
    final MessageStore.Entry entry;
    final String frontEnd;
    final String dedupKey;
    final int routerGeneration;
    /** When its client's time is really up; the module is told earlier where the ledger needs time. */
    final double clientDeadline;
    /** By the ledger's time; names the promise of an answer by webhook. */
    final double acceptedAtLedgerTime;
    /** An answer by webhook was promised for this life: one is sent, however many asked so. */
    public boolean answerPromised;
    final List<InFlightForward> forwards = new ArrayList<>(2);
    long timer;
    /** The answer that has started, null before. */
    AnswerStream<?> answerStream;
    double answerStartedAt = Double.NaN;
    /** A life of the same message before this one may have run: what is known of this one's forwards is not all. */
    boolean earlierInferenceMayHaveRun;
    /** Who reads it; null once that one has left. */
    AnswerObserver streamReader;
    /** It was returned, in more parts than are kept for the record. */
    boolean streamTooLongToRecord;
    /** Decided, and not to leave before it is durable; null where nothing waits. */
    FinalAnswer pendingAnswer;
    FinalAnswer answer;

    InferenceState(Inference inference, ModelCatalog.Entry model, InferenceInput input, MessageStore.Entry memory, String frontEnd,
            String mark, int era, double clientLeavesAt,
            double takenInLedger) {
        this.inference = inference;
        this.model = model;
        this.input = input;
        this.entry = memory;
        this.frontEnd = frontEnd;
        this.dedupKey = mark;
        this.routerGeneration = era;
        this.clientDeadline = clientLeavesAt;
        this.acceptedAtLedgerTime = takenInLedger;
    }

    /** When the first forward left that may have run, NaN where none may. Module time. */
    double mayHaveRunSince() {
        for (InFlightForward f : forwards) {
            // What has not left when its inference is done never leaves.
            boolean leaves = f.sent || !f.ended && !inference.done;
            if (leaves && (f.forward.outcome == null || !f.forward.outcome.provesNotRun)) {
                return f.forward.sentAt;
            }
        }
        return Double.NaN;
    }

    /** Whether it may have run, and executors that drop its repeats may have forgotten it when one comes. */
    boolean dedupWindowClosed(double now) {
        double repeatedAt = now + MessageStore.CLIENT_REPEAT_DELAY;
        return inference.group.retrySafety() == RetrySafety.DEDUPED && repeatedAt >= mayHaveRunSince() + inference.group.dedupWindow();
    }

    /** Forwards that may have run, with when they left. */
    List<InquiryScheduler.InquiredForward> unresolvedForwards() {
        List<InquiryScheduler.InquiredForward> open = new ArrayList<>(1);
        for (InFlightForward f : forwards) {
            if (f.sent && (f.forward.outcome == null || !f.forward.outcome.provesNotRun)) {
                open.add(new InquiryScheduler.InquiredForward(f.recipient, f.forwardId(), f.forward.sentAt));
            }
        }
        return open;
    }

    boolean isFinished() {
        if (!inference.done || pendingAnswer != null) {
            return false;
        }
        for (InFlightForward f : forwards) {
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
    public boolean overQuota() {
        return inference.overQuota;
    }

    /** When its answer started to flow, NaN for one that came whole. */
    public double answerStartedAt() {
        return answerStartedAt;
    }

    public String messageId() {
        return entry.id;
    }

    /** When it was taken, by the ledger's time. */
    public double acceptedAtLedgerTime() {
        return acceptedAtLedgerTime;
    }

    public long digestHigh() {
        return entry.digestHigh;
    }

    public long digestLow() {
        return entry.digestLow;
    }

    public String groupName() {
        return entry.group.name();
    }

    public int customer() {
        return entry.customer;
    }

    public String modelName() {
        return model.name();
    }

    public int forwardCount() {
        return forwards.size();
    }

    public double acceptedAt() {
        return inference.acceptedAt;
    }

    /** When the first forward left, NaN without one. */
    public double firstForwardSentAt() {
        return forwards.isEmpty() ? Double.NaN : forwards.get(0).forward.sentAt;
    }

    public String lastExecutorAddress() {
        return forwards.isEmpty() ? "" : forwards.get(forwards.size() - 1).endpoint.address;
    }

    public FinalAnswer answer() {
        return answer;
    }
}
