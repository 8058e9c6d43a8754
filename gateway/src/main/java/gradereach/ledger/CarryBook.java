package gradereach.ledger;

import gradereach.message.FinalAnswer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which segments may go, and which records must be written anew first: state and decisions of compaction, no I/O. A
 * segment may go when its youngest record is older than messages are remembered for; what in it is still open (no end
 * known, or an answer owed) is carried into the present segment before.
 */
public final class CarryBook {
    private record Key(String customer, String id) { }

    /** The records that still tell all of an open message, and the oldest segment that holds one. */
    private static final class Carry {
        final List<LedgerRecord> records = new ArrayList<>(2);
        long segment;
        boolean ended;
        double promisedAt = Double.NEGATIVE_INFINITY;
        double deliveredOf = Double.NEGATIVE_INFINITY;
    }

    private final double kept;
    private final int mostOpen;
    private final Map<Key, Carry> open = new LinkedHashMap<>();
    private final TreeMap<Long, Double> youngest = new TreeMap<>();
    private final Map<Long, Long> signedUpTo = new HashMap<>();
    private final Map<Long, Long> claimsSignedUpTo = new HashMap<>();
    private long overflowed;

    /**
     * @param kept milliseconds for which messages are remembered
     * @param mostOpen open messages carried at most; older ones beyond it go with their segment, counted
     */
    public CarryBook(double kept, int mostOpen) {
        this.kept = kept;
        this.mostOpen = mostOpen;
    }

    /** A record was written into that segment. */
    public void wrote(LedgerRecord record, long segment) {
        youngest.merge(segment, record.at(), Math::max);
        if (record instanceof LedgerRecord.Intended intended) {
            signedUpTo.merge(segment, intended.signedAt(), Math::max);
        }
        if (record instanceof LedgerRecord.Claimed claimed) {
            claimsSignedUpTo.merge(segment, claimed.signedAt(), Math::max);
            return; // kept as long as any message, and no longer
        }
        Key key = new Key(record.customer(), record.id());
        Carry carry = open.computeIfAbsent(key, k -> {
            Carry made = new Carry();
            made.segment = segment;
            return made;
        });
        if (record instanceof LedgerRecord.NotRun) {
            carry.records.removeIf(r -> r instanceof LedgerRecord.Intended);
            carry.ended = true;
        } else if (record instanceof LedgerRecord.Answered r) {
            carry.records.removeIf(x -> x instanceof LedgerRecord.Answered);
            carry.ended |= r.answer().kind() == FinalAnswer.Kind.RETURNED || carry.promisedAt > carry.deliveredOf;
            carry.records.add(r);
        } else if (record instanceof LedgerRecord.Delivered r) {
            carry.records.removeIf(x -> x instanceof LedgerRecord.Delivered);
            carry.deliveredOf = r.over() ? Math.max(carry.deliveredOf, r.of()) : carry.deliveredOf;
            carry.records.add(r);
        } else {
            carry.ended = false;
            carry.promisedAt = record instanceof LedgerRecord.Promised ? Math.max(carry.promisedAt, record.at())
                    : carry.promisedAt;
            carry.records.add(record);
        }
        if (carry.ended && carry.promisedAt <= carry.deliveredOf) {
            open.remove(key);
        } else if (open.size() > mostOpen) {
            open.remove(open.keySet().iterator().next());
            overflowed++;
        }
    }

    /** The oldest segment that may go now, -1 for none; never the present one. */
    public long mayGo(double now, long present) {
        Map.Entry<Long, Double> oldest = youngest.firstEntry();
        return oldest != null && oldest.getKey() < present && oldest.getValue() < now - kept ? oldest.getKey() : -1;
    }

    /** Milliseconds for which messages are remembered. */
    public double kept() {
        return kept;
    }

    /** The latest time among all records, minus infinity where there are none. */
    public double youngest() {
        return youngest.values().stream().mapToDouble(at -> at).max().orElse(Double.NEGATIVE_INFINITY);
    }

    /** What must be written anew before that segment goes. */
    public List<LedgerRecord> carried(long segment, long present) {
        List<LedgerRecord> out = new ArrayList<>();
        for (Carry carry : open.values()) {
            if (carry.segment <= segment) {
                carry.segment = present;
                out.addAll(carry.records);
            }
        }
        return out;
    }

    /** The latest signed timestamp, Unix seconds, among its intentions; Long.MIN_VALUE for none. */
    public long signedUpTo(long segment) {
        return signedUpTo.getOrDefault(segment, Long.MIN_VALUE);
    }

    /** The latest signed timestamp, Unix seconds, among its claims; Long.MIN_VALUE for none. */
    public long claimsSignedUpTo(long segment) {
        return claimsSignedUpTo.getOrDefault(segment, Long.MIN_VALUE);
    }

    public void gone(long segment) {
        claimsSignedUpTo.remove(segment);
        youngest.remove(segment);
        signedUpTo.remove(segment);
    }

    /** Messages whose end is not known or whose answer is owed. */
    public int open() {
        return open.size();
    }

    public long overflowed() {
        return overflowed;
    }
}
