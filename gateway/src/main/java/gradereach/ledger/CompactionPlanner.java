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
public final class CompactionPlanner {
    private record Key(String customer, String id) { }

    /** The records that still tell all of an open message, and the oldest segment that holds one. */
    private static final class OpenMessage {
        final List<LedgerRecord> records = new ArrayList<>(2);
        long segment;
        boolean ended;
        double promisedAt = Double.NEGATIVE_INFINITY;
        double deliveredPromiseAt = Double.NEGATIVE_INFINITY;
    }

    private final double retention;
    private final int maxOpenMessages;
    private final Map<Key, OpenMessage> openMessages = new LinkedHashMap<>();
    private final TreeMap<Long, Double> latestTimestamp = new TreeMap<>();
    private final Map<Long, Long> latestSignedAt = new HashMap<>();
    private final Map<Long, Long> latestClaimSignedAt = new HashMap<>();
    private long discardedOpenMessages;

    /**
     * @param kept milliseconds for which messages are remembered
     * @param mostOpen open messages carried at most; older ones beyond it go with their segment, counted
     */
    public CompactionPlanner(double kept, int mostOpen) {
        this.retention = kept;
        this.maxOpenMessages = mostOpen;
    }

    /** A record was written into that segment. */
    public void recordWritten(LedgerRecord record, long segment) {
        latestTimestamp.merge(segment, record.timestamp(), Math::max);
        if (record instanceof LedgerRecord.ForwardIntended intended) {
            latestSignedAt.merge(segment, intended.signedAt(), Math::max);
        }
        if (record instanceof LedgerRecord.ClaimGranted claimed) {
            latestClaimSignedAt.merge(segment, claimed.signedAt(), Math::max);
            return; // kept as long as any message, and no longer
        }
        Key key = new Key(record.customer(), record.id());
        OpenMessage carry = openMessages.computeIfAbsent(key, k -> {
            OpenMessage made = new OpenMessage();
            made.segment = segment;
            return made;
        });
        if (record instanceof LedgerRecord.ProvenNotRun) {
            carry.records.removeIf(r -> r instanceof LedgerRecord.ForwardIntended);
            carry.ended = true;
        } else if (record instanceof LedgerRecord.Answered r) {
            carry.records.removeIf(x -> x instanceof LedgerRecord.Answered);
            carry.ended |= r.answer().kind() == FinalAnswer.Kind.RETURNED || carry.promisedAt > carry.deliveredPromiseAt;
            carry.records.add(r);
        } else if (record instanceof LedgerRecord.DeliveryAttempted r) {
            carry.records.removeIf(x -> x instanceof LedgerRecord.DeliveryAttempted);
            carry.deliveredPromiseAt = r.finished() ? Math.max(carry.deliveredPromiseAt, r.promisedAt()) : carry.deliveredPromiseAt;
            carry.records.add(r);
        } else {
            carry.ended = false;
            carry.promisedAt = record instanceof LedgerRecord.DeliveryPromised ? Math.max(carry.promisedAt, record.timestamp())
                    : carry.promisedAt;
            carry.records.add(record);
        }
        if (carry.ended && carry.promisedAt <= carry.deliveredPromiseAt) {
            openMessages.remove(key);
        } else if (openMessages.size() > maxOpenMessages) {
            openMessages.remove(openMessages.keySet().iterator().next());
            discardedOpenMessages++;
        }
    }

    /** The oldest segment that may go now, -1 for none; never the present one. */
    public long oldestRemovableSegment(double now, long present) {
        Map.Entry<Long, Double> oldest = latestTimestamp.firstEntry();
        return oldest != null && oldest.getKey() < present && oldest.getValue() < now - retention ? oldest.getKey() : -1;
    }

    /** Milliseconds for which messages are remembered. */
    public double retention() {
        return retention;
    }

    /** The latest time among all records, minus infinity where there are none. */
    public double latestTimestamp() {
        return latestTimestamp.values().stream().mapToDouble(at -> at).max().orElse(Double.NEGATIVE_INFINITY);
    }

    /** What must be written anew before that segment goes. */
    public List<LedgerRecord> recordsToRewrite(long segment, long present) {
        List<LedgerRecord> out = new ArrayList<>();
        for (OpenMessage carry : openMessages.values()) {
            if (carry.segment <= segment) {
                carry.segment = present;
                out.addAll(carry.records);
            }
        }
        return out;
    }

    /** The latest signed timestamp, Unix seconds, among its intentions; Long.MIN_VALUE for none. */
    public long latestSignedAt(long segment) {
        return latestSignedAt.getOrDefault(segment, Long.MIN_VALUE);
    }

    /** The latest signed timestamp, Unix seconds, among its claims; Long.MIN_VALUE for none. */
    public long latestClaimSignedAt(long segment) {
        return latestClaimSignedAt.getOrDefault(segment, Long.MIN_VALUE);
    }

    public void segmentRemoved(long segment) {
        latestClaimSignedAt.remove(segment);
        latestTimestamp.remove(segment);
        latestSignedAt.remove(segment);
    }

    /** Messages whose end is not known or whose answer is owed. */
    public int openMessages() {
        return openMessages.size();
    }

    public long discardedOpenMessages() {
        return discardedOpenMessages;
    }
}
