package gradereach.ledger;

import gradereach.message.FinalAnswer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the records of a ledger add up to: the state machine of docs/ledger.md. Order within one message matters, order
 * between messages does not.
 */
public final class LedgerState {
    /** Where a message stands after a crash. */
    public enum MessageState {
        /** Promised only: nothing of it left. */
        TAKEN,
        /** A forward's intent is durable and nothing after it: it may have run. */
        MAY_HAVE_RUN,
        PROVEN_NOT_RUN,
        ANSWERED
    }

    /** A forward whose end is not known. */
    public record UnresolvedForward(Recipient recipient, String forwardId, double intendedAt) { }

    /** One message. */
    public static final class Message {
        public final String customer;
        public final String id;
        MessageState state = MessageState.TAKEN;
        long digestHigh;
        long digestLow;
        String group = "";
        String model = "";
        double firstRecordedAt = Double.NaN;
        double lastRecordedAt;
        double uncertainSince = Double.NaN;
        long signedAt = Long.MIN_VALUE;
        FinalAnswer answer;
        double promisedAt = Double.NEGATIVE_INFINITY;
        double deliveredPromiseAt = Double.NEGATIVE_INFINITY;
        int deliveryAttempts;
        final List<UnresolvedForward> unresolvedForwards = new ArrayList<>(1);

        Message(String customer, String id) {
            this.customer = customer;
            this.id = id;
        }

        public MessageState state() {
            return state;
        }

        public long digestHigh() {
            return digestHigh;
        }

        public long digestLow() {
            return digestLow;
        }

        public String group() {
            return group;
        }

        public String model() {
            return model;
        }

        /** Unix milliseconds of its first record. */
        public double firstRecordedAt() {
            return firstRecordedAt;
        }

        public double lastRecordedAt() {
            return lastRecordedAt;
        }

        /** Unix milliseconds of the first intent that was not disproved; NaN for none. */
        public double uncertainSince() {
            return uncertainSince;
        }

        /** Its signed timestamp, Unix seconds; Long.MIN_VALUE where nothing of it was intended. */
        public long signedAt() {
            return signedAt;
        }

        public FinalAnswer answer() {
            return answer;
        }

        /** Forwards that may have run. */
        public List<UnresolvedForward> unresolvedForwards() {
            return unresolvedForwards;
        }

        /** An answer by webhook is owed. */
        public boolean isDeliveryPending() {
            return promisedAt > deliveredPromiseAt;
        }

        /** Names the promise that is owed. */
        public double promisedAt() {
            return promisedAt;
        }

        public int deliveryAttempts() {
            return deliveryAttempts;
        }

        /** Whether nobody knows what became of it. */
        public boolean hasUnknownOutcome() {
            return state == MessageState.MAY_HAVE_RUN
                    || state == MessageState.ANSWERED && answer.kind() == FinalAnswer.Kind.FAILED && !unresolvedForwards.isEmpty();
        }
    }

    private record Key(String customer, String id) { }

    /** The latest signed timestamp among messages that are no longer on record, Unix seconds; Long.MIN_VALUE for none. */
    private long forgottenUpTo = Long.MIN_VALUE;

    /** Another front end's message of which this one is a keeper. */
    public record Claim(String customer, String id, double grantedAt, long digestHigh, long digestLow, String claimant, long signedAt) { }

    /** The latest signed timestamp among claims that are no longer on record, Unix seconds; Long.MIN_VALUE for none. */
    private long claimsForgottenUpTo = Long.MIN_VALUE;

    /** How far claimants' ledgers had got, as their claims told. */
    private final Map<String, Long> claimantPositions = new HashMap<>();
    private final Map<Key, Message> messages = new LinkedHashMap<>();
    private final Map<Key, Claim> claims = new LinkedHashMap<>();
    private final List<String> anomalies = new ArrayList<>();

    /** Messages that were signed then at the latest are no longer on record. */
    public void markForgottenUpTo(long signedAt) {
        forgottenUpTo = Math.max(forgottenUpTo, signedAt);
    }

    public long forgottenUpTo() {
        return forgottenUpTo;
    }

    /** Claims of messages that were signed then at the latest are no longer on record. */
    public void markClaimsForgottenUpTo(long signedAt) {
        claimsForgottenUpTo = Math.max(claimsForgottenUpTo, signedAt);
    }

    public long claimsForgottenUpTo() {
        return claimsForgottenUpTo;
    }

    public void apply(LedgerRecord record) {
        Key key = new Key(record.customer(), record.id());
        if (record instanceof LedgerRecord.ClaimGranted r) {
            claimantPositions.merge(r.claimant(), r.claimantPosition(), Math::max);
            claims.put(key, new Claim(r.customer(), r.id(), r.timestamp(), r.digestHigh(), r.digestLow(), r.claimant(), r.signedAt()));
            return;
        }
        Message m = messages.computeIfAbsent(key, k -> new Message(k.customer, k.id));
        m.firstRecordedAt = Double.isNaN(m.firstRecordedAt) ? record.timestamp() : Math.min(m.firstRecordedAt, record.timestamp());
        double before = m.lastRecordedAt;
        m.lastRecordedAt = Math.max(m.lastRecordedAt, record.timestamp());
        if (record instanceof LedgerRecord.ForwardIntended r) {
            // Not where it is read a second time: a compaction that was cut short leaves both copies.
            if (m.state == MessageState.ANSWERED && m.answer.kind() == FinalAnswer.Kind.RETURNED && r.timestamp() >= before) {
                anomalies.add(r.customer() + "/" + r.id() + ": a forward was intended after its answer");
            }
            m.state = MessageState.MAY_HAVE_RUN;
            m.digestHigh = r.digestHigh();
            m.digestLow = r.digestLow();
            m.group = r.group();
            m.model = r.model();
            m.signedAt = Math.max(m.signedAt, r.signedAt());
            m.uncertainSince = Double.isNaN(m.uncertainSince) ? r.timestamp() : m.uncertainSince;
            UnresolvedForward open = new UnresolvedForward(r.recipient(), r.forwardId(), r.timestamp());
            if (!m.unresolvedForwards.contains(open)) { // names are given anew in every life, so a name alone is not one forward
                m.unresolvedForwards.add(open);
            }
        } else if (record instanceof LedgerRecord.ProvenNotRun) {
            m.state = MessageState.PROVEN_NOT_RUN;
            m.uncertainSince = Double.NaN;
            m.unresolvedForwards.clear();
            m.answer = null;
        } else if (record instanceof LedgerRecord.Answered r) {
            // What is known may become more, never less: a returned answer stays.
            if (m.state != MessageState.ANSWERED || m.answer.kind() != FinalAnswer.Kind.RETURNED) {
                m.state = MessageState.ANSWERED;
                m.answer = r.answer();
            }
        } else if (record instanceof LedgerRecord.DeliveryPromised r) {
            m.deliveryAttempts = r.timestamp() > m.promisedAt ? 0 : m.deliveryAttempts;
            m.promisedAt = Math.max(m.promisedAt, r.timestamp());
            m.digestHigh = r.digestHigh();
            m.digestLow = r.digestLow();
            m.group = r.group();
        } else if (record instanceof LedgerRecord.DeliveryAttempted r) {
            m.deliveryAttempts = r.promisedAt() == m.promisedAt ? Math.max(m.deliveryAttempts, r.attempts()) : m.deliveryAttempts;
            m.deliveredPromiseAt = r.finished() ? Math.max(m.deliveredPromiseAt, r.promisedAt()) : m.deliveredPromiseAt;
        }
    }

    /** Whether a record must stay: its message may come again, nobody knows its end, or its answer is owed. */
    public boolean isNeeded(LedgerRecord record, double youngerThan) {
        Key key = new Key(record.customer(), record.id());
        if (record instanceof LedgerRecord.ClaimGranted) {
            Claim claim = claims.get(key);
            return claim.grantedAt() >= youngerThan && record.timestamp() == claim.grantedAt();
        }
        Message message = messages.get(key);
        return message.lastRecordedAt >= youngerThan || message.hasUnknownOutcome() || message.isDeliveryPending();
    }

    public Iterable<Message> messages() {
        return messages.values();
    }

    public Message find(String customer, String id) {
        return messages.get(new Key(customer, id));
    }

    /** How far the ledgers of those who claimed had got, by claimant. */
    public Map<String, Long> claimantPositions() {
        return claimantPositions;
    }

    public Iterable<Claim> claims() {
        return claims.values();
    }

    public int size() {
        return messages.size();
    }

    /** Sequences that no proper run writes, each in a line. */
    public List<String> anomalies() {
        return anomalies;
    }
}
