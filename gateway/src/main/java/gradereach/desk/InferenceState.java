package gradereach.desk;

import gradereach.api.ModelGroup;
import gradereach.api.RetrySafety;
import gradereach.flow.AnswerStream;
import gradereach.inquiry.InquiryScheduler;
import gradereach.message.FinalAnswer;
import gradereach.state.Inference;
import java.util.ArrayList;
import java.util.List;

/** State of an accepted inference, until its final answer is delivered and its last forward has ended. */
public final class InferenceState {
    final Inference inference;
    final ModelCatalog.Entry model;
    final InferenceInput input;
    /** What the message store holds of the message. */
    final MessageStore.Entry entry;
    /** Name of this front end. */
    final String frontEnd;
    final String dedupKey;
    final int routerGeneration;
    /** When the client stops waiting, monotonic time; the router gets an earlier deadline, to leave time for commit and delivery. */
    final double clientDeadline;
    /** When it was accepted, in ledger time; identifies the promise of an answer by webhook. */
    final double acceptedAtLedgerTime;
    /** An answer by webhook was promised for this inference: it is sent once, however many requests asked for it. */
    public boolean answerPromised;
    final List<InFlightForward> forwards = new ArrayList<>(2);
    long timerId;
    /** The streamed answer; null until it has started. */
    AnswerStream<?> answerStream;
    double answerStartedAt = Double.NaN;
    /** An earlier inference of the same message may have run, so this one's forwards alone do not prove that nothing ran. */
    boolean earlierInferenceMayHaveRun;
    /** The observer that reads the streamed answer; null once it has disconnected. */
    AnswerObserver streamReader;
    /** A streamed answer was returned that is too long to be recorded. */
    boolean streamTooLongToRecord;
    /** Answer that is decided and delivered once it is durable; null where none is pending. */
    FinalAnswer pendingAnswer;
    FinalAnswer answer;

    InferenceState(Inference inference, ModelCatalog.Entry model, InferenceInput input, MessageStore.Entry entry, String frontEnd,
            String dedupKey, int routerGeneration, double clientDeadline, double acceptedAtLedgerTime) {
        this.inference = inference;
        this.model = model;
        this.input = input;
        this.entry = entry;
        this.frontEnd = frontEnd;
        this.dedupKey = dedupKey;
        this.routerGeneration = routerGeneration;
        this.clientDeadline = clientDeadline;
        this.acceptedAtLedgerTime = acceptedAtLedgerTime;
    }

    /** When the first forward that may have run was sent, NaN where none may have run; monotonic time. */
    double mayHaveRunSince() {
        for (InFlightForward forward : forwards) {
            // A forward that was not sent before its inference was done is never sent.
            boolean sentOrPending = forward.sent || !forward.ended && !inference.done;
            if (sentOrPending && (forward.forward.outcome == null || !forward.forward.outcome.provesNotRun)) {
                return forward.forward.sentAt;
            }
        }
        return Double.NaN;
    }

    /** Whether it may have run, and the dedup window is closed by the time a client's repeat can arrive. */
    boolean isDedupWindowClosed(double now) {
        double repeatedAt = now + MessageStore.CLIENT_REPEAT_DELAY;
        return inference.group.retrySafety() == RetrySafety.DEDUPED && repeatedAt >= mayHaveRunSince() + inference.group.dedupWindow();
    }

    /** Forwards that may have run, with the times at which they were sent. */
    List<InquiryScheduler.InquiredForward> unresolvedForwards() {
        List<InquiryScheduler.InquiredForward> unresolved = new ArrayList<>(1);
        for (InFlightForward forward : forwards) {
            if (forward.sent && (forward.forward.outcome == null || !forward.forward.outcome.provesNotRun)) {
                unresolved.add(new InquiryScheduler.InquiredForward(forward.recipient, forward.forwardId(), forward.forward.sentAt));
            }
        }
        return unresolved;
    }

    /** Whether its answer is delivered and all its forwards have ended. */
    boolean isFinished() {
        if (!inference.done || pendingAnswer != null) {
            return false;
        }
        for (InFlightForward forward : forwards) {
            if (!forward.ended) {
                return false;
            }
        }
        return true;
    }

    // ---- read by the inference log, the metrics recorder and the outbox --------------------------------------

    public ModelGroup modelGroup() {
        return inference.group;
    }

    public long modelId() {
        return model.id();
    }

    /** Whether it exceeded its customer's quota when it was accepted. */
    public boolean isOverQuota() {
        return inference.overQuota;
    }

    /** When its streamed answer started, NaN for an answer that is not streamed; monotonic time. */
    public double answerStartedAt() {
        return answerStartedAt;
    }

    public String messageId() {
        return entry.id;
    }

    /** When it was accepted, in ledger time. */
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

    /** Index of its customer. */
    public int customer() {
        return entry.customer;
    }

    public String modelName() {
        return model.name();
    }

    public int forwardCount() {
        return forwards.size();
    }

    /** When the first byte of its message was received, monotonic time. */
    public double receivedAt() {
        return inference.acceptedAt;
    }

    /** When its first forward was decided, NaN without one; monotonic time. */
    public double firstForwardSentAt() {
        return forwards.isEmpty() ? Double.NaN : forwards.get(0).forward.sentAt;
    }

    /** Address of the last executor it was forwarded to; empty without one. */
    public String lastExecutorAddress() {
        return forwards.isEmpty() ? "" : forwards.get(forwards.size() - 1).endpoint.address;
    }

    /** The recorded answer; null where it has none. */
    public FinalAnswer answer() {
        return answer;
    }
}
