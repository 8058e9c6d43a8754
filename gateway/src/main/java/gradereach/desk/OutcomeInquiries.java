package gradereach.desk;

import gradereach.counts.Counts;
import gradereach.inquiry.InquiryScheduler;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.Recipient;
import gradereach.message.AnswerFormat;
import gradereach.message.FinalAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleConsumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks executors for the outcome of forwards whose end was not seen, and answers the observers that wait for it.
 * {@link InquiryScheduler} decides when to ask and what a reply proves.
 */
final class OutcomeInquiries {
    /** The collaborators, all confined to the decision thread. */
    record Dependencies(ExecutorTransport transport, Timers timers, EndpointRegistry endpoints, MessageStore messageStore,
            Ledger ledger, AnswerFormat answerFormat, InferenceCoordinator.WallClock wallClock, List<String> customerNames,
            DoubleSupplier clock) { }

    private static final Logger LOG = LoggerFactory.getLogger(OutcomeInquiries.class);
    /**
     * Milliseconds to wait for a reply: a few round trips to a busy executor. A silent executor must not keep inquiries to
     * others from being sent.
     */
    private static final double REPLY_TIMEOUT = 2000;

    /** A message with an unknown outcome and the open inquiries about its forwards. */
    private static final class UnresolvedMessage {
        final MessageStore.Entry entry;
        final String modelName;
        int openInquiries;
        /** All inquiries that have ended prove that nothing ran; false where not all forwards of the message are inquired. */
        boolean neverRan;
        /** Number of inferences of the message when the inquiries started; forwards of later ones are not covered. */
        final int inferenceCount;
        final List<InquiryScheduler.Inquiry> inquiries = new ArrayList<>(1);

        UnresolvedMessage(MessageStore.Entry entry, String modelName, boolean coversAllForwards) {
            neverRan = coversAllForwards;
            inferenceCount = entry.inferenceCount;
            this.entry = entry;
            this.modelName = modelName;
        }
    }

    private final InquiryScheduler scheduler;
    private final Dependencies dependencies;
    private final LongAdder resolvedAsRun;
    private final LongAdder resolvedAsNotRun;
    private final LongAdder unresolvable;
    private final LongAdder executorReplaced;
    private final Counts.Limit openInquiries;
    /** When the timer for the inquiries due next fires, infinite for none. */
    private double timerAt = Double.POSITIVE_INFINITY;

    OutcomeInquiries(InquiryScheduler scheduler, Dependencies dependencies, Counts counts) {
        this.scheduler = scheduler;
        this.dependencies = dependencies;
        resolvedAsRun = counts.counter("unknown_learnt_to_have_run");
        resolvedAsNotRun = counts.counter("unknown_learnt_not_to_have_run");
        unresolvable = counts.counter("unknown_for_good");
        executorReplaced = counts.counter("questions_whose_executor_was_replaced");
        openInquiries = counts.limit("forwards_in_question", Long.MAX_VALUE);
    }

    /** Asks an executor for its process number, where an inquiry may need it later and it is not known. */
    void requestProcessNumberIfUnknown(ExecutorEndpoint endpoint) {
        double now = dependencies.clock.getAsDouble();
        if (!scheduler.isEnabled() || dependencies.ledger == Ledger.NONE || !endpoint.processIdentity.isQueryDue(now)) {
            return;
        }
        dependencies.transport.requestProcessNumber(endpoint, endpoint.processIdentity.beginQuery(now));
    }

    /**
     * Starts outcome inquiries for forwards of a message.
     *
     * @param coversAllForwards whether these are all forwards that may have run, over all inferences of the message so far
     */
    void startInquiries(MessageStore.Entry entry, String modelName, List<InquiryScheduler.InquiredForward> forwards,
            boolean coversAllForwards) {
        UnresolvedMessage message = new UnresolvedMessage(entry, modelName, coversAllForwards);
        for (InquiryScheduler.InquiredForward forward : forwards) {
            InquiryScheduler.Inquiry inquiry = scheduler.add(message, forward, dependencies.clock.getAsDouble());
            if (inquiry == null) {
                message.neverRan = false;
            } else {
                message.openInquiries++;
                message.inquiries.add(inquiry);
            }
        }
        entry.inquiryOpen = message.openInquiries > 0;
        if (!entry.inquiryOpen) {
            concludeMessage(message, null, false);
        }
        scheduleTimer();
    }

    private void scheduleTimer() {
        openInquiries.setInUse(scheduler.openCount());
        double nextDueAt = scheduler.nextDueAt();
        if (nextDueAt < timerAt) {
            timerAt = nextDueAt;
            dependencies.timers.schedule(nextDueAt, (Runnable) this::sendDueInquiries);
        }
    }

    private void sendDueInquiries() {
        timerAt = Double.POSITIVE_INFINITY;
        for (InquiryScheduler.Inquiry inquiry : scheduler.takeDue(dependencies.clock.getAsDouble())) {
            sendInquiry(inquiry);
        }
        scheduleTimer();
    }

    private void sendInquiry(InquiryScheduler.Inquiry inquiry) {
        Recipient recipient = inquiry.forward.recipient();
        ExecutorEndpoint endpoint = dependencies.endpoints.inquiryTarget(recipient.instance(), recipient.address());
        if (endpoint == null) {
            executorReplaced.increment();
            onInquiryReply(inquiry, InquiryScheduler.OutcomeReply.GONE, Double.NaN, null);
            return;
        }
        PendingInquiry pending = new PendingInquiry(inquiry, endpoint);
        pending.timer = dependencies.timers.schedule(dependencies.clock.getAsDouble() + REPLY_TIMEOUT, pending);
        dependencies.transport.inquire(endpoint, inquiry.forward.forwardId(), pending);
    }

    /** One request to an executor: it ends with the first reply, or with a timeout. */
    private final class PendingInquiry implements ExecutorTransport.InquiryCallback, Runnable {
        final InquiryScheduler.Inquiry inquiry;
        final ExecutorEndpoint endpoint;
        final DoubleConsumer processCallback;
        long timer;
        boolean ended;

        PendingInquiry(InquiryScheduler.Inquiry inquiry, ExecutorEndpoint endpoint) {
            this.inquiry = inquiry;
            this.endpoint = endpoint;
            processCallback = endpoint.processIdentity.currentProcessCallback();
        }

        @Override
        public void run() {
            onReply(InquiryScheduler.OutcomeReply.NOTHING, Double.NaN, null);
        }

        @Override
        public void onReply(InquiryScheduler.OutcomeReply reply, double processNumber, byte[] output) {
            if (ended) {
                return; // a late reply; the inquiry may have been sent again
            }
            ended = true;
            dependencies.timers.cancel(timer, this);
            processCallback.accept(processNumber);
            if (endpoint.rosterEntry == null) {
                dependencies.transport.closeWhenIdle(endpoint); // an endpoint created for this inquiry only
            }
            OutcomeInquiries.this.onInquiryReply(inquiry, reply, processNumber, output);
            scheduleTimer();
        }
    }

    private void onInquiryReply(InquiryScheduler.Inquiry inquiry, InquiryScheduler.OutcomeReply reply, double processNumber,
            byte[] output) {
        UnresolvedMessage message = (UnresolvedMessage) inquiry.subject;
        InquiryScheduler.Conclusion conclusion = scheduler.recordReply(inquiry, reply, processNumber, dependencies.clock.getAsDouble());
        logConclusion(message.entry, inquiry.forward, reply, processNumber, conclusion);
        if (conclusion == InquiryScheduler.Conclusion.RAN) {
            message.inquiries.forEach(scheduler::cancel);
            concludeMessage(message, output, false);
        } else if (conclusion != InquiryScheduler.Conclusion.NOT_YET) {
            message.neverRan &= conclusion == InquiryScheduler.Conclusion.NEVER_RAN;
            message.openInquiries--;
            if (message.openInquiries == 0) {
                concludeMessage(message, null, message.neverRan && message.inferenceCount == message.entry.inferenceCount);
            }
        }
    }

    private static void logConclusion(MessageStore.Entry entry, InquiryScheduler.InquiredForward forward,
            InquiryScheduler.OutcomeReply reply, double processNumber, InquiryScheduler.Conclusion conclusion) {
        if (conclusion == InquiryScheduler.Conclusion.NOT_YET) {
            return;
        }
        LOG.atInfo().addKeyValue("id", entry.id).addKeyValue("forward", forward.forwardId())
                .addKeyValue("instance", forward.recipient().instance()).addKeyValue("address", forward.recipient().address())
                .addKeyValue("meant_for", forward.recipient().processNumber()).addKeyValue("told_by", processNumber)
                .log("outcome inquiry: reply {}, conclusion {}", reply, conclusion);
    }

    /** Records everything that will be known of a message, and answers the observers that wait for it. */
    private void concludeMessage(UnresolvedMessage message, byte[] output, boolean neverRan) {
        MessageStore.Entry entry = message.entry;
        entry.inquiryOpen = false;
        if (entry.openInference != null || entry.removed) {
            return; // a second inference has started within the dedup window and records its own outcome
        }
        FinalAnswer answer = output == null ? null
                : dependencies.answerFormat.returned(entry.id, message.modelName, output,
                        dependencies.wallClock.toInstant(dependencies.clock.getAsDouble()));
        if (answer != null || neverRan) {
            recordOutcome(entry, answer);
        } else {
            unresolvable.increment();
        }
        if (entry.observers.isEmpty()) {
            return;
        }
        FinalAnswer finalAnswer = answer != null ? answer : neverRan
                ? dependencies.answerFormat.shed(entry.id, "this front end was restarted before it ran", 0)
                : MessageStore.currentAnswer(entry, dependencies.answerFormat, dependencies.clock.getAsDouble());
        List<AnswerObserver> observers = List.copyOf(entry.observers);
        entry.observers.clear();
        observers.forEach(observer -> observer.onFinalAnswer(finalAnswer));
    }

    /** @param answer null where the message is proven not to have run */
    private void recordOutcome(MessageStore.Entry entry, FinalAnswer answer) {
        (answer != null ? resolvedAsRun : resolvedAsNotRun).increment();
        dependencies.messageStore.replaceUnknownAnswer(entry, answer);
        String customer = dependencies.customerNames.get(entry.customer);
        double recordedAt = dependencies.ledger.time().fromMonotonic(dependencies.clock.getAsDouble());
        dependencies.ledger.append(answer != null ? new LedgerRecord.Answered(customer, entry.id, recordedAt, answer)
                : new LedgerRecord.ProvenNotRun(customer, entry.id, recordedAt), durable -> { });
    }
}
