package gradereach.desk;

import gradereach.api.ModelGroup;
import gradereach.inquiry.InquiryScheduler;
import gradereach.ledger.LedgerState;
import gradereach.message.FinalAnswer;
import gradereach.message.AnswerFormat;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Takes over at a start what the ledger tells: each message stands as it did, with its recorded answer, proven not to have
 * run, or unknown. What is unknown is asked about, and what was promised is answered.
 */
final class LedgerRecovery {
    private static final String OUTCOME_UNKNOWN = "this front end was restarted; whether it took effect is unknown";
    private static final String NOT_ANSWERED = "this front end was restarted before it was answered";

    private final Ledger ledger;
    private final MessageStore messageStore;
    private final AnswerFormat answerFormat;
    private final OutcomeInquiries inquiries;
    private final InferenceCoordinator.PromisedAnswerDelivery promisedAnswers;
    private final Map<String, Integer> customers = new HashMap<>();
    private final Map<String, ModelGroup> groups = new HashMap<>();

    /**
     * @param customers names by index
     * @param groups as the deployment has them now
     */
    LedgerRecovery(Ledger ledger, MessageStore memory, AnswerFormat words, OutcomeInquiries inquiries, InferenceCoordinator.PromisedAnswerDelivery owed,
            List<String> customers, List<ModelGroup> groups) {
        this.ledger = ledger;
        this.messageStore = memory;
        this.answerFormat = words;
        this.inquiries = inquiries;
        this.promisedAnswers = owed;
        for (int i = 0; i < customers.size(); i++) {
            this.customers.put(customers.get(i), i);
        }
        groups.forEach(group -> this.groups.put(group.name(), group));
    }

    /** @param kept milliseconds for which messages are remembered */
    void recover(LedgerState book, double at, double kept) {
        messageStore.markExpiredUpTo(book.forgottenUpTo());
        for (LedgerState.Message message : book.messages()) {
            boolean inDeployment = customers.containsKey(message.customer) && groups.containsKey(message.group());
            if (inDeployment) {
                recover(message, at, kept);
            }
        }
    }

    private void recover(LedgerState.Message message, double at, double kept) {
        double lastAt = ledger.time().toMonotonic(message.lastRecordedAt());
        double until = (Double.isNaN(lastAt) ? at : lastAt) + kept;
        if (until <= at) {
            messageStore.markExpiredUpTo(message.signedAt());
            return; // too old to be played again
        }
        ModelGroup group = groups.get(message.group());
        MessageStore.Entry entry = messageStore.restore(customers.get(message.customer), message.id, message.digestHigh(),
                message.digestLow(), group, until, message.signedAt(), mayHaveRunSince(message), restoredAnswer(message));
        if (message.isDeliveryPending()) {
            answerPromised(message, entry, at);
        }
        if (message.hasUnknownOutcome() && InferenceCoordinator.restrictsRepeats(group)) {
            inquiries.startInquiries(entry, message.model(), message.unresolvedForwards().stream().map(this::forwarded).toList(), true);
        }
    }

    /** Null where nothing of it may have run. */
    private FinalAnswer restoredAnswer(LedgerState.Message message) {
        return mayHaveRun(message) ? answerFormat.failed(message.id, 504, OUTCOME_UNKNOWN, false) : message.answer();
    }

    private static boolean mayHaveRun(LedgerState.Message message) {
        return message.state() == LedgerState.MessageState.MAY_HAVE_RUN;
    }

    /** Where there is no answer yet: what did not run, or may run again, is shed; else it is asked about first. */
    private void answerPromised(LedgerState.Message message, MessageStore.Entry entry, double at) {
        AnswerObserver asker = promisedAnswers.observerFor(entry.customer, message.id, message.promisedAt(), message.deliveryAttempts());
        if (message.state() == LedgerState.MessageState.ANSWERED) {
            asker.onFinalAnswer(MessageStore.currentAnswer(entry, answerFormat, at));
        } else if (mayHaveRun(message) && InferenceCoordinator.restrictsRepeats(entry.group)) {
            entry.observers.add(asker);
        } else {
            asker.onFinalAnswer(answerFormat.shed(message.id, NOT_ANSWERED, 0));
        }
    }

    /** Module time; minus infinity where no clock tells how long ago it was, NaN where nothing may have run. */
    private double mayHaveRunSince(LedgerState.Message message) {
        double since = ledger.time().toMonotonic(message.uncertainSince());
        boolean ageUnknown = Double.isNaN(since) && !Double.isNaN(message.uncertainSince());
        return ageUnknown ? Double.NEGATIVE_INFINITY : since;
    }

    private InquiryScheduler.InquiredForward forwarded(LedgerState.UnresolvedForward open) {
        return new InquiryScheduler.InquiredForward(open.recipient(), open.forwardId(), ledger.time().toMonotonic(open.intendedAt()));
    }
}
