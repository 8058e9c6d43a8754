package gradereach.desk;

import gradereach.counts.Counts;
import gradereach.inquiry.InquiryScheduler;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.Recipient;
import gradereach.message.FinalAnswer;
import gradereach.message.AnswerFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks executors what became of forwards whose end nobody saw, and tells whoever waits for it. When to ask and what an
 * answer proves is {@link InquiryBook}'s.
 */
final class OutcomeInquiries {
    /** What it works on, all of the deciding thread. */
    record Dependencies(ExecutorTransport transport, Timers timers, EndpointRegistry endpoints, MessageStore messageStore, Ledger ledger, AnswerFormat answerFormat,
            InferenceCoordinator.WallClock wallClock, List<String> customerNames, DoubleSupplier clock) { }

    private static final Logger LOG = LoggerFactory.getLogger(OutcomeInquiries.class);
    /** Milliseconds for an answer: a few trips to an executor at work; one that is silent must not keep others from being asked. */
    private static final double REPLY_TIMEOUT = 2000;

    /** A message of unknown end and the forwards that may have run, still in question. */
    private static final class UnresolvedMessage {
        final MessageStore.Entry entry;
        final String modelName;
        int openInquiries;
        /** None of those that have ended has run; only where they are all of the message. */
        boolean neverRan;
        /** The message's lives as it was asked about: what a later one sent is not among them. */
        final int inferenceCount;
        final List<InquiryScheduler.Inquiry> inquiries = new ArrayList<>(1);

        UnresolvedMessage(MessageStore.Entry entry, String modelName, boolean all) {
            neverRan = all;
            inferenceCount = entry.inferenceCount;
            this.entry = entry;
            this.modelName = modelName;
        }
    }

    private final InquiryScheduler book;
    private final Dependencies dependencies;
    private final LongAdder resolvedAsRun;
    private final LongAdder resolvedAsNotRun;
    private final LongAdder unresolvable;
    private final LongAdder executorReplaced;
    private final Counts.Limit openInquiries;
    private double timerAt = Double.POSITIVE_INFINITY;

    OutcomeInquiries(InquiryScheduler book, Dependencies with, Counts counts) {
        this.book = book;
        this.dependencies = with;
        resolvedAsRun = counts.counter("unknown_learnt_to_have_run");
        resolvedAsNotRun = counts.counter("unknown_learnt_not_to_have_run");
        unresolvable = counts.counter("unknown_for_good");
        executorReplaced = counts.counter("questions_whose_executor_was_replaced");
        openInquiries = counts.limit("forwards_in_question", Long.MAX_VALUE);
    }

    /** Asks an executor which process it is, where that may be needed later and is not known. */
    void requestProcessId(ExecutorEndpoint place) {
        double now = dependencies.clock.getAsDouble();
        if (!book.isEnabled() || dependencies.ledger == Ledger.NONE || !place.processIdentity.isQueryDue(now)) {
            return;
        }
        dependencies.transport.requestProcessId(place, place.processIdentity.beginQuery(now));
    }

    /**
     * Begins to ask about forwards of a message.
     *
     * @param all whether they are all that may have run, over all its lives so far
     */
    void startInquiries(MessageStore.Entry entry, String modelName, List<InquiryScheduler.InquiredForward> forwards, boolean all) {
        UnresolvedMessage unknown = new UnresolvedMessage(entry, modelName, all);
        for (InquiryScheduler.InquiredForward forwarded : forwards) {
            InquiryScheduler.Inquiry question = book.add(unknown, forwarded, dependencies.clock.getAsDouble());
            if (question == null) {
                unknown.neverRan = false;
            } else {
                unknown.openInquiries++;
                unknown.inquiries.add(question);
            }
        }
        entry.inquiryOpen = unknown.openInquiries > 0;
        if (!entry.inquiryOpen) {
            concludeMessage(unknown, null, false);
        }
        scheduleTimer();
    }

    private void scheduleTimer() {
        openInquiries.inUse(book.openCount());
        double next = book.nextDueAt();
        if (next < timerAt) {
            timerAt = next;
            dependencies.timers.schedule(next, (Runnable) this::sendDueInquiries);
        }
    }

    private void sendDueInquiries() {
        timerAt = Double.POSITIVE_INFINITY;
        for (InquiryScheduler.Inquiry question : book.takeDue(dependencies.clock.getAsDouble())) {
            sendInquiry(question);
        }
        scheduleTimer();
    }

    private void sendInquiry(InquiryScheduler.Inquiry question) {
        Recipient recipient = question.forward.recipient();
        ExecutorEndpoint place = dependencies.endpoints.inquiryTarget(recipient.instance(), recipient.address());
        if (place == null) {
            executorReplaced.increment();
            onInquiryReply(question, InquiryScheduler.OutcomeReply.GONE, Double.NaN, null);
            return;
        }
        PendingInquiry asking = new PendingInquiry(question, place);
        asking.timer = dependencies.timers.schedule(dependencies.clock.getAsDouble() + REPLY_TIMEOUT, asking);
        dependencies.transport.inquire(place, question.forward.forwardId(), asking);
    }

    /** One asking of a question: it ends with the first word, or by itself where none comes. */
    private final class PendingInquiry implements ExecutorTransport.InquiryCallback, Runnable {
        final InquiryScheduler.Inquiry inquiry;
        final ExecutorEndpoint endpoint;
        final DoubleConsumer processCallback;
        long timer;
        boolean ended;

        PendingInquiry(InquiryScheduler.Inquiry question, ExecutorEndpoint place) {
            this.inquiry = question;
            this.endpoint = place;
            processCallback = place.processIdentity.currentProcessCallback();
        }

        @Override
        public void run() {
            onReply(InquiryScheduler.OutcomeReply.NOTHING, Double.NaN, null);
        }

        @Override
        public void onReply(InquiryScheduler.OutcomeReply what, double process, byte[] output) {
            if (ended) {
                return; // it may be asked again already
            }
            ended = true;
            dependencies.timers.cancel(timer, this);
            processCallback.accept(process);
            if (endpoint.rosterEntry == null) {
                dependencies.transport.closeWhenIdle(endpoint); // met for this question only
            }
            OutcomeInquiries.this.onInquiryReply(inquiry, what, process, output);
            scheduleTimer();
        }
    }

    private void onInquiryReply(InquiryScheduler.Inquiry question, InquiryScheduler.OutcomeReply what, double process, byte[] output) {
        UnresolvedMessage unknown = (UnresolvedMessage) question.subject;
        InquiryScheduler.Conclusion known = book.recordReply(question, what, process, dependencies.clock.getAsDouble());
        logConclusion(unknown.entry, question.forward, what, process, known);
        if (known == InquiryScheduler.Conclusion.RAN) {
            unknown.inquiries.forEach(book::cancel);
            concludeMessage(unknown, output, false);
        } else if (known != InquiryScheduler.Conclusion.NOT_YET) {
            unknown.neverRan &= known == InquiryScheduler.Conclusion.NEVER_RAN;
            unknown.openInquiries--;
            if (unknown.openInquiries == 0) {
                concludeMessage(unknown, null, unknown.neverRan && unknown.inferenceCount == unknown.entry.inferenceCount);
            }
        }
    }

    private static void logConclusion(MessageStore.Entry entry, InquiryScheduler.InquiredForward of, InquiryScheduler.OutcomeReply what, double process,
            InquiryScheduler.Conclusion known) {
        if (known == InquiryScheduler.Conclusion.NOT_YET) {
            return;
        }
        LOG.atInfo().addKeyValue("id", entry.id).addKeyValue("forward", of.forwardId())
                .addKeyValue("instance", of.recipient().instance()).addKeyValue("address", of.recipient().address())
                .addKeyValue("meant_for", of.recipient().processNumber()).addKeyValue("told_by", process)
                .log("a forward in question was told {}, so it is {}", what, known);
    }

    /** As much as will ever be known of it. Whoever waits for that is told; so is whoever asks from now on. */
    private void concludeMessage(UnresolvedMessage unknown, byte[] output, boolean neverRan) {
        MessageStore.Entry entry = unknown.entry;
        entry.inquiryOpen = false;
        if (entry.openInference != null || entry.removed) {
            return; // a second life within its window has begun, and ends with what it learns itself
        }
        FinalAnswer learnt = output == null ? null
                : dependencies.answerFormat.returned(entry.id, unknown.modelName, output, dependencies.wallClock.toInstant(dependencies.clock.getAsDouble()));
        if (learnt != null || neverRan) {
            recordOutcome(entry, learnt);
        } else {
            unresolvable.increment();
        }
        if (entry.observers.isEmpty()) {
            return;
        }
        FinalAnswer told = learnt != null ? learnt : neverRan
                ? dependencies.answerFormat.shed(entry.id, "this front end was restarted before it ran", 0)
                : MessageStore.currentAnswer(entry, dependencies.answerFormat, dependencies.clock.getAsDouble());
        List<AnswerObserver> askers = List.copyOf(entry.observers);
        entry.observers.clear();
        askers.forEach(asker -> asker.onFinalAnswer(told));
    }

    /** @param learnt null where it is proven that it never ran */
    private void recordOutcome(MessageStore.Entry entry, FinalAnswer learnt) {
        (learnt != null ? resolvedAsRun : resolvedAsNotRun).increment();
        dependencies.messageStore.replaceUnknownAnswer(entry, learnt);
        String customer = dependencies.customerNames.get(entry.customer);
        double at = dependencies.ledger.time().fromMonotonic(dependencies.clock.getAsDouble());
        dependencies.ledger.append(learnt != null ? new LedgerRecord.Answered(customer, entry.id, at, learnt)
                : new LedgerRecord.ProvenNotRun(customer, entry.id, at), durable -> { });
    }
}
