package gradereach.ledger;

import gradereach.message.FinalAnswer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of each message and claim as given by a ledger's records: the state machine of docs/ledger.md. The order of records
 * matters within one message, not between messages.
 */
public final class LedgerState {
    /** The state of a message after a crash. */
    public enum MessageState {
        /** An answer was promised, and no forward was sent. */
        TAKEN,
        /** The intent of a forward is durable and nothing after it: the forward may have run. */
        MAY_HAVE_RUN,
        /** Every forward is proven not to have run. */
        PROVEN_NOT_RUN,
        /** The final answer is durable. */
        ANSWERED
    }

    /** A forward whose outcome is unknown. */
    public record UnresolvedForward(Recipient recipient, String forwardId, double intendedAt) { }

    /** The state of one message. */
    public static final class Message {
        /** The customer's name. */
        public final String customer;
        /** The message's {@code webhook-id}. */
        public final String id;
        MessageState state = MessageState.TAKEN;
        long digestHigh;
        long digestLow;
        String group = "";
        String model = "";
        double firstRecordedAt = Double.NaN;
        double lastRecordedAt;
        double mayHaveRunSince = Double.NaN;
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

        /** Its state after the last record. */
        public MessageState state() {
            return state;
        }

        /** First half of its body's digest. */
        public long digestHigh() {
            return digestHigh;
        }

        /** Second half of its body's digest. */
        public long digestLow() {
            return digestLow;
        }

        /** Name of its model group. */
        public String group() {
            return group;
        }

        /** Name of its model; empty without a forward's intent. */
        public String model() {
            return model;
        }

        /** The timestamp of its first record. */
        public double firstRecordedAt() {
            return firstRecordedAt;
        }

        /** The timestamp of its latest record. */
        public double lastRecordedAt() {
            return lastRecordedAt;
        }

        /** The timestamp of the first forward's intent since the last proof that no forward has run; NaN for none. */
        public double mayHaveRunSince() {
            return mayHaveRunSince;
        }

        /** Its signed timestamp in Unix seconds; Long.MIN_VALUE without a forward's intent. */
        public long signedAt() {
            return signedAt;
        }

        /** Its final answer; null for none. */
        public FinalAnswer answer() {
            return answer;
        }

        /** Forwards that may have run. */
        public List<UnresolvedForward> unresolvedForwards() {
            return unresolvedForwards;
        }

        /** Whether an answer by webhook was promised and is not delivered yet. */
        public boolean isDeliveryPending() {
            return promisedAt > deliveredPromiseAt;
        }

        /** The timestamp of the latest promise, which identifies it; minus infinity for none. */
        public double promisedAt() {
            return promisedAt;
        }

        /** Attempts so far to deliver the promised answer. */
        public int deliveryAttempts() {
            return deliveryAttempts;
        }

        /** Whether it may have run without a known outcome. */
        public boolean hasUnknownOutcome() {
            return state == MessageState.MAY_HAVE_RUN
                    || state == MessageState.ANSWERED && answer.kind() == FinalAnswer.Kind.FAILED && !unresolvedForwards.isEmpty();
        }
    }

    private record Key(String customer, String id) { }

    /** The latest signed timestamp among messages that are no longer on record, in Unix seconds; Long.MIN_VALUE for none. */
    private long forgottenUpTo = Long.MIN_VALUE;

    /** A claim that this front end stores as a replica. */
    public record Claim(String customer, String id, double grantedAt, long digestHigh, long digestLow, String claimant, long signedAt) { }

    /** The latest signed timestamp among claims that are no longer on record, in Unix seconds; Long.MIN_VALUE for none. */
    private long claimsForgottenUpTo = Long.MIN_VALUE;

    /** Ledger positions by claimant, as recorded with their claims. */
    private final Map<String, Long> claimantPositions = new HashMap<>();
    private final Map<Key, Message> messages = new LinkedHashMap<>();
    private final Map<Key, Claim> claims = new LinkedHashMap<>();
    private final List<String> anomalies = new ArrayList<>();

    /** Notes that messages signed at that time or earlier, in Unix seconds, may no longer be on record. */
    public void markForgottenUpTo(long signedAt) {
        forgottenUpTo = Math.max(forgottenUpTo, signedAt);
    }

    /** The latest signed timestamp among messages that are no longer on record, in Unix seconds. */
    public long forgottenUpTo() {
        return forgottenUpTo;
    }

    /** Notes that claims of messages signed at that time or earlier, in Unix seconds, may no longer be on record. */
    public void markClaimsForgottenUpTo(long signedAt) {
        claimsForgottenUpTo = Math.max(claimsForgottenUpTo, signedAt);
    }

    /** The latest signed timestamp among claims that are no longer on record, in Unix seconds. */
    public long claimsForgottenUpTo() {
        return claimsForgottenUpTo;
    }

    /** Applies the next record. */
    public void apply(LedgerRecord record) {
        Key key = new Key(record.customer(), record.id());
        if (record instanceof LedgerRecord.ClaimGranted granted) {
            claimantPositions.merge(granted.claimant(), granted.claimantPosition(), Math::max);
            claims.put(key, new Claim(granted.customer(), granted.id(), granted.timestamp(), granted.digestHigh(),
                    granted.digestLow(), granted.claimant(), granted.signedAt()));
            return;
        }
        Message message = messages.computeIfAbsent(key, newKey -> new Message(newKey.customer, newKey.id));
        message.firstRecordedAt = Double.isNaN(message.firstRecordedAt) ? record.timestamp()
                : Math.min(message.firstRecordedAt, record.timestamp());
        double lastRecordedBefore = message.lastRecordedAt;
        message.lastRecordedAt = Math.max(message.lastRecordedAt, record.timestamp());
        if (record instanceof LedgerRecord.ForwardIntended intended) {
            // A record that is read twice is no anomaly: an interrupted compaction leaves both copies.
            if (message.state == MessageState.ANSWERED && message.answer.kind() == FinalAnswer.Kind.RETURNED
                    && intended.timestamp() >= lastRecordedBefore) {
                anomalies.add(intended.customer() + "/" + intended.id() + ": intent of a forward after the answer was returned");
            }
            message.state = MessageState.MAY_HAVE_RUN;
            message.digestHigh = intended.digestHigh();
            message.digestLow = intended.digestLow();
            message.group = intended.group();
            message.model = intended.model();
            message.signedAt = Math.max(message.signedAt, intended.signedAt());
            message.mayHaveRunSince = Double.isNaN(message.mayHaveRunSince) ? intended.timestamp() : message.mayHaveRunSince;
            UnresolvedForward forward = new UnresolvedForward(intended.recipient(), intended.forwardId(), intended.timestamp());
            // Forward ids are reused after a restart, so the id alone does not identify a forward.
            if (!message.unresolvedForwards.contains(forward)) {
                message.unresolvedForwards.add(forward);
            }
        } else if (record instanceof LedgerRecord.ProvenNotRun) {
            message.state = MessageState.PROVEN_NOT_RUN;
            message.mayHaveRunSince = Double.NaN;
            message.unresolvedForwards.clear();
            message.answer = null;
        } else if (record instanceof LedgerRecord.Answered answered) {
            // A returned answer is never replaced by a less certain one.
            if (message.state != MessageState.ANSWERED || message.answer.kind() != FinalAnswer.Kind.RETURNED) {
                message.state = MessageState.ANSWERED;
                message.answer = answered.answer();
            }
        } else if (record instanceof LedgerRecord.DeliveryPromised promised) {
            message.deliveryAttempts = promised.timestamp() > message.promisedAt ? 0 : message.deliveryAttempts;
            message.promisedAt = Math.max(message.promisedAt, promised.timestamp());
            message.digestHigh = promised.digestHigh();
            message.digestLow = promised.digestLow();
            message.group = promised.group();
        } else if (record instanceof LedgerRecord.DeliveryAttempted attempted) {
            message.deliveryAttempts = attempted.promisedAt() == message.promisedAt
                    ? Math.max(message.deliveryAttempts, attempted.attempts()) : message.deliveryAttempts;
            message.deliveredPromiseAt = attempted.finished() ? Math.max(message.deliveredPromiseAt, attempted.promisedAt())
                    : message.deliveredPromiseAt;
        }
    }

    /**
     * Whether a record must be kept: its message may be sent again, its outcome is unknown, or its delivery is pending.
     *
     * @param cutoff ledger time from which on messages and claims are remembered
     */
    public boolean isNeeded(LedgerRecord record, double cutoff) {
        Key key = new Key(record.customer(), record.id());
        if (record instanceof LedgerRecord.ClaimGranted) {
            Claim claim = claims.get(key);
            return claim.grantedAt() >= cutoff && record.timestamp() == claim.grantedAt();
        }
        Message message = messages.get(key);
        return message.lastRecordedAt >= cutoff || message.hasUnknownOutcome() || message.isDeliveryPending();
    }

    /** All messages, in the order of their first record. */
    public Iterable<Message> messages() {
        return messages.values();
    }

    /** The state of that message; null if it is not on record. */
    public Message find(String customer, String id) {
        return messages.get(new Key(customer, id));
    }

    /** Highest recorded ledger position by claimant. */
    public Map<String, Long> claimantPositions() {
        return claimantPositions;
    }

    /** The claims that this front end stores as a replica. */
    public Iterable<Claim> claims() {
        return claims.values();
    }

    /** The number of messages. */
    public int size() {
        return messages.size();
    }

    /** Sequences of records that a correct front end never writes, a line each. */
    public List<String> anomalies() {
        return anomalies;
    }
}
