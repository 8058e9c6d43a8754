package gradereach.desk;

import gradereach.api.ModelGroup;
import gradereach.inquiry.InquiryScheduler;
import gradereach.ledger.LedgerState;
import gradereach.message.AnswerFormat;
import gradereach.message.FinalAnswer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Restores messages from the ledger at startup. Each message has its recorded answer, is proven not to have run, or has an
 * unknown outcome. Unknown outcomes are inquired, and promised answers are delivered.
 */
final class LedgerRecovery {
    private static final String OUTCOME_UNKNOWN = "this front end was restarted; whether it took effect is unknown";
    private static final String NOT_ANSWERED = "this front end was restarted before it was answered";

    private final Ledger ledger;
    private final MessageStore messageStore;
    private final AnswerFormat answerFormat;
    private final OutcomeInquiries inquiries;
    private final InferenceCoordinator.PromisedAnswerDelivery promisedAnswers;
    private final Map<String, Integer> customerIndexes = new HashMap<>();
    private final Map<String, ModelGroup> groups = new HashMap<>();

    /**
     * @param customerNames names by customer index
     * @param groups the model groups of the current deployment
     */
    LedgerRecovery(Ledger ledger, MessageStore messageStore, AnswerFormat answerFormat, OutcomeInquiries inquiries,
            InferenceCoordinator.PromisedAnswerDelivery promisedAnswers, List<String> customerNames, List<ModelGroup> groups) {
        this.ledger = ledger;
        this.messageStore = messageStore;
        this.answerFormat = answerFormat;
        this.inquiries = inquiries;
        this.promisedAnswers = promisedAnswers;
        for (int i = 0; i < customerNames.size(); i++) {
            customerIndexes.put(customerNames.get(i), i);
        }
        groups.forEach(group -> this.groups.put(group.name(), group));
    }

    /**
     * Restores the messages whose customer and model group are still in the deployment.
     *
     * @param retention milliseconds for which messages are stored
     */
    void recover(LedgerState ledgerState, double now, double retention) {
        messageStore.markExpiredUpTo(ledgerState.forgottenUpTo());
        for (LedgerState.Message message : ledgerState.messages()) {
            boolean inDeployment = customerIndexes.containsKey(message.customer) && groups.containsKey(message.group());
            if (inDeployment) {
                recover(message, now, retention);
            }
        }
    }

    private void recover(LedgerState.Message message, double now, double retention) {
        double lastRecordedAt = ledger.time().toMonotonic(message.lastRecordedAt());
        double expiresAt = (Double.isNaN(lastRecordedAt) ? now : lastRecordedAt) + retention;
        if (expiresAt <= now) {
            messageStore.markExpiredUpTo(message.signedAt());
            return; // too old to be replayed
        }
        ModelGroup group = groups.get(message.group());
        MessageStore.Entry entry = messageStore.restore(customerIndexes.get(message.customer), message.id, message.digestHigh(),
                message.digestLow(), group, expiresAt, message.signedAt(), mayHaveRunSince(message), restoredAnswer(message));
        if (message.isDeliveryPending()) {
            deliverPromisedAnswer(message, entry, now);
        }
        if (message.hasUnknownOutcome() && InferenceCoordinator.restrictsRepeats(group)) {
            inquiries.startInquiries(entry, message.model(),
                    message.unresolvedForwards().stream().map(this::inquiredForward).toList(), true);
        }
    }

    /** The answer of a restored message; null where nothing of it may have run. */
    private FinalAnswer restoredAnswer(LedgerState.Message message) {
        return mayHaveRun(message) ? answerFormat.failed(message.id, 504, OUTCOME_UNKNOWN, false) : message.answer();
    }

    private static boolean mayHaveRun(LedgerState.Message message) {
        return message.state() == LedgerState.MessageState.MAY_HAVE_RUN;
    }

    /**
     * Delivers a promised answer. A message without one is shed where it did not run or may run again; otherwise its outcome is
     * inquired first.
     */
    private void deliverPromisedAnswer(LedgerState.Message message, MessageStore.Entry entry, double now) {
        AnswerObserver observer = promisedAnswers.observerFor(entry.customer, message.id, message.promisedAt(),
                message.deliveryAttempts());
        if (message.state() == LedgerState.MessageState.ANSWERED) {
            observer.onFinalAnswer(MessageStore.currentAnswer(entry, answerFormat, now));
        } else if (mayHaveRun(message) && InferenceCoordinator.restrictsRepeats(entry.group)) {
            entry.observers.add(observer);
        } else {
            observer.onFinalAnswer(answerFormat.shed(message.id, NOT_ANSWERED, 0));
        }
    }

    /** Monotonic time; minus infinity where no clock can date it, NaN where nothing may have run. */
    private double mayHaveRunSince(LedgerState.Message message) {
        double since = ledger.time().toMonotonic(message.mayHaveRunSince());
        boolean ageUnknown = Double.isNaN(since) && !Double.isNaN(message.mayHaveRunSince());
        return ageUnknown ? Double.NEGATIVE_INFINITY : since;
    }

    private InquiryScheduler.InquiredForward inquiredForward(LedgerState.UnresolvedForward forward) {
        return new InquiryScheduler.InquiredForward(forward.recipient(), forward.forwardId(),
                ledger.time().toMonotonic(forward.intendedAt()));
    }
}
