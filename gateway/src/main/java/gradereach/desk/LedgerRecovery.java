package gradereach.desk;

import gradereach.api.ModelGroup;
import gradereach.inquiry.InquiryBook;
import gradereach.ledger.LedgerBook;
import gradereach.message.FinalAnswer;
import gradereach.message.Wording;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Takes over at a start what the ledger tells: each message stands as it did, with its recorded answer, proven not to have
 * run, or unknown. What is unknown is asked about, and what was promised is answered.
 */
final class LedgerRecovery {
    private static final String UNKNOWN = "this front end was restarted; whether it took effect is unknown";
    private static final String NOT_ANSWERED = "this front end was restarted before it was answered";

    private final Ledger ledger;
    private final MessageMemory memory;
    private final Wording words;
    private final OutcomeInquiries inquiries;
    private final Desk.Owed owed;
    private final Map<String, Integer> customers = new HashMap<>();
    private final Map<String, ModelGroup> groups = new HashMap<>();

    /**
     * @param customers names by index
     * @param groups as the deployment has them now
     */
    LedgerRecovery(Ledger ledger, MessageMemory memory, Wording words, OutcomeInquiries inquiries, Desk.Owed owed,
            List<String> customers, List<ModelGroup> groups) {
        this.ledger = ledger;
        this.memory = memory;
        this.words = words;
        this.inquiries = inquiries;
        this.owed = owed;
        for (int i = 0; i < customers.size(); i++) {
            this.customers.put(customers.get(i), i);
        }
        groups.forEach(group -> this.groups.put(group.name(), group));
    }

    /** @param kept milliseconds for which messages are remembered */
    void recover(LedgerBook book, double at, double kept) {
        memory.forgotten(book.forgottenUpTo());
        for (LedgerBook.Message message : book.messages()) {
            boolean inDeployment = customers.containsKey(message.customer) && groups.containsKey(message.group());
            if (inDeployment) {
                recover(message, at, kept);
            }
        }
    }

    private void recover(LedgerBook.Message message, double at, double kept) {
        double lastAt = ledger.time().toModule(message.lastAt());
        double until = (Double.isNaN(lastAt) ? at : lastAt) + kept;
        if (until <= at) {
            memory.forgotten(message.signedAt());
            return; // too old to be played again
        }
        ModelGroup group = groups.get(message.group());
        MessageMemory.Entry entry = memory.restore(customers.get(message.customer), message.id, message.digestHigh(),
                message.digestLow(), group, until, message.signedAt(), uncertainSince(message), answer(message));
        if (message.owed()) {
            answerPromised(message, entry, at);
        }
        if (message.unknown() && Desk.careful(group)) {
            inquiries.inquire(entry, message.model(), message.forwards().stream().map(this::forwarded).toList(), true);
        }
    }

    /** Null where nothing of it may have run. */
    private FinalAnswer answer(LedgerBook.Message message) {
        return mayHaveRun(message) ? words.failed(message.id, 504, UNKNOWN, false) : message.answer();
    }

    private static boolean mayHaveRun(LedgerBook.Message message) {
        return message.state() == LedgerBook.State.MAY_HAVE_RUN;
    }

    /** Where there is no answer yet: what did not run, or may run again, is shed; else it is asked about first. */
    private void answerPromised(LedgerBook.Message message, MessageMemory.Entry entry, double at) {
        Asker asker = owed.asker(entry.customer, message.id, message.promisedAt(), message.tries());
        if (message.state() == LedgerBook.State.ANSWERED) {
            asker.answer(MessageMemory.answerNow(entry, words, at));
        } else if (mayHaveRun(message) && Desk.careful(entry.group)) {
            entry.askers.add(asker);
        } else {
            asker.answer(words.shed(message.id, NOT_ANSWERED, 0));
        }
    }

    /** Module time; minus infinity where no clock tells how long ago it was, NaN where nothing may have run. */
    private double uncertainSince(LedgerBook.Message message) {
        double since = ledger.time().toModule(message.uncertainSince());
        boolean ageUnknown = Double.isNaN(since) && !Double.isNaN(message.uncertainSince());
        return ageUnknown ? Double.NEGATIVE_INFINITY : since;
    }

    private InquiryBook.Forwarded forwarded(LedgerBook.Open open) {
        return new InquiryBook.Forwarded(open.recipient(), open.forward(), ledger.time().toModule(open.at()));
    }
}
