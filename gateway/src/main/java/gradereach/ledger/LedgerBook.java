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
public final class LedgerBook {
    /** Where a message stands after a crash. */
    public enum State {
        /** Promised only: nothing of it left. */
        TAKEN,
        /** A forward's intent is durable and nothing after it: it may have run. */
        MAY_HAVE_RUN,
        PROVEN_NOT_RUN,
        ANSWERED
    }

    /** A forward whose end is not known. */
    public record Open(Recipient recipient, String forward, double at) { }

    /** One message. */
    public static final class Message {
        public final String customer;
        public final String id;
        State state = State.TAKEN;
        long digestHigh;
        long digestLow;
        String group = "";
        String model = "";
        double firstAt = Double.NaN;
        double lastAt;
        double uncertainSince = Double.NaN;
        long signedAt = Long.MIN_VALUE;
        FinalAnswer answer;
        double promisedAt = Double.NEGATIVE_INFINITY;
        double deliveredOf = Double.NEGATIVE_INFINITY;
        int tries;
        final List<Open> forwards = new ArrayList<>(1);

        Message(String customer, String id) {
            this.customer = customer;
            this.id = id;
        }

        public State state() {
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
        public double firstAt() {
            return firstAt;
        }

        public double lastAt() {
            return lastAt;
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
        public List<Open> forwards() {
            return forwards;
        }

        /** An answer by webhook is owed. */
        public boolean owed() {
            return promisedAt > deliveredOf;
        }

        /** Names the promise that is owed. */
        public double promisedAt() {
            return promisedAt;
        }

        public int tries() {
            return tries;
        }

        /** Whether nobody knows what became of it. */
        public boolean unknown() {
            return state == State.MAY_HAVE_RUN
                    || state == State.ANSWERED && answer.kind() == FinalAnswer.Kind.FAILED && !forwards.isEmpty();
        }
    }

    private record Key(String customer, String id) { }

    /** The latest signed timestamp among messages that are no longer on record, Unix seconds; Long.MIN_VALUE for none. */
    private long forgottenUpTo = Long.MIN_VALUE;

    /** Another front end's message of which this one is a keeper. */
    public record Claim(String customer, String id, double at, long digestHigh, long digestLow, String claimant, long signedAt) { }

    /** The latest signed timestamp among claims that are no longer on record, Unix seconds; Long.MIN_VALUE for none. */
    private long claimsForgottenUpTo = Long.MIN_VALUE;

    /** How far claimants' ledgers had got, as their claims told. */
    private final Map<String, Long> reached = new HashMap<>();
    private final Map<Key, Message> messages = new LinkedHashMap<>();
    private final Map<Key, Claim> claims = new LinkedHashMap<>();
    private final List<String> oddities = new ArrayList<>();

    /** Messages that were signed then at the latest are no longer on record. */
    public void forgotten(long signedAt) {
        forgottenUpTo = Math.max(forgottenUpTo, signedAt);
    }

    public long forgottenUpTo() {
        return forgottenUpTo;
    }

    /** Claims of messages that were signed then at the latest are no longer on record. */
    public void claimsForgotten(long signedAt) {
        claimsForgottenUpTo = Math.max(claimsForgottenUpTo, signedAt);
    }

    public long claimsForgottenUpTo() {
        return claimsForgottenUpTo;
    }

    public void apply(LedgerRecord record) {
        Key key = new Key(record.customer(), record.id());
        if (record instanceof LedgerRecord.Claimed r) {
            reached.merge(r.claimant(), r.claimantPosition(), Math::max);
            claims.put(key, new Claim(r.customer(), r.id(), r.at(), r.digestHigh(), r.digestLow(), r.claimant(), r.signedAt()));
            return;
        }
        Message m = messages.computeIfAbsent(key, k -> new Message(k.customer, k.id));
        m.firstAt = Double.isNaN(m.firstAt) ? record.at() : Math.min(m.firstAt, record.at());
        double before = m.lastAt;
        m.lastAt = Math.max(m.lastAt, record.at());
        if (record instanceof LedgerRecord.Intended r) {
            // Not where it is read a second time: a compaction that was cut short leaves both copies.
            if (m.state == State.ANSWERED && m.answer.kind() == FinalAnswer.Kind.RETURNED && r.at() >= before) {
                oddities.add(r.customer() + "/" + r.id() + ": a forward was intended after its answer");
            }
            m.state = State.MAY_HAVE_RUN;
            m.digestHigh = r.digestHigh();
            m.digestLow = r.digestLow();
            m.group = r.group();
            m.model = r.model();
            m.signedAt = Math.max(m.signedAt, r.signedAt());
            m.uncertainSince = Double.isNaN(m.uncertainSince) ? r.at() : m.uncertainSince;
            Open open = new Open(r.recipient(), r.forward(), r.at());
            if (!m.forwards.contains(open)) { // names are given anew in every life, so a name alone is not one forward
                m.forwards.add(open);
            }
        } else if (record instanceof LedgerRecord.NotRun) {
            m.state = State.PROVEN_NOT_RUN;
            m.uncertainSince = Double.NaN;
            m.forwards.clear();
            m.answer = null;
        } else if (record instanceof LedgerRecord.Answered r) {
            // What is known may become more, never less: a returned answer stays.
            if (m.state != State.ANSWERED || m.answer.kind() != FinalAnswer.Kind.RETURNED) {
                m.state = State.ANSWERED;
                m.answer = r.answer();
            }
        } else if (record instanceof LedgerRecord.Promised r) {
            m.tries = r.at() > m.promisedAt ? 0 : m.tries;
            m.promisedAt = Math.max(m.promisedAt, r.at());
            m.digestHigh = r.digestHigh();
            m.digestLow = r.digestLow();
            m.group = r.group();
        } else if (record instanceof LedgerRecord.Delivered r) {
            m.tries = r.of() == m.promisedAt ? Math.max(m.tries, r.tries()) : m.tries;
            m.deliveredOf = r.over() ? Math.max(m.deliveredOf, r.of()) : m.deliveredOf;
        }
    }

    /** Whether a record must stay: its message may come again, nobody knows its end, or its answer is owed. */
    public boolean needed(LedgerRecord record, double youngerThan) {
        Key key = new Key(record.customer(), record.id());
        if (record instanceof LedgerRecord.Claimed) {
            Claim claim = claims.get(key);
            return claim.at() >= youngerThan && record.at() == claim.at();
        }
        Message message = messages.get(key);
        return message.lastAt >= youngerThan || message.unknown() || message.owed();
    }

    public Iterable<Message> messages() {
        return messages.values();
    }

    public Message find(String customer, String id) {
        return messages.get(new Key(customer, id));
    }

    /** How far the ledgers of those who claimed had got, by claimant. */
    public Map<String, Long> reached() {
        return reached;
    }

    public Iterable<Claim> claims() {
        return claims.values();
    }

    public int size() {
        return messages.size();
    }

    /** Sequences that no proper run writes, each in a line. */
    public List<String> oddities() {
        return oddities;
    }
}
