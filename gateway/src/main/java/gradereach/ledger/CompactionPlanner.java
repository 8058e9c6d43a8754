package gradereach.ledger;

import gradereach.message.FinalAnswer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plans the compaction of a ledger: which segments can be removed, and which of their records must be rewritten before; state and
 * decisions only, no I/O. A segment can be removed when its latest record is older than the retention. Messages that are still open
 * (outcome unknown, or a delivery pending) are rewritten to the current segment first.
 */
public final class CompactionPlanner {
    private record Key(String customer, String id) { }

    /** The records that determine the state of an open message, and the oldest segment that holds one of them. */
    private static final class OpenMessage {
        final List<LedgerRecord> records = new ArrayList<>(2);
        long oldestSegment;
        /**
         * Whether it is settled but for its delivery: proven not run, returned, or answered in any way while a delivery is due.
         */
        boolean ended;
        double promisedAt = Double.NEGATIVE_INFINITY;
        double deliveredPromiseAt = Double.NEGATIVE_INFINITY;
    }

    private final double retention;
    private final int maxOpenMessages;
    private final Map<Key, OpenMessage> openMessages = new LinkedHashMap<>();
    private final TreeMap<Long, Double> latestTimestampBySegment = new TreeMap<>();
    private final Map<Long, Long> latestSignedAtBySegment = new HashMap<>();
    private final Map<Long, Long> latestClaimSignedAtBySegment = new HashMap<>();
    private long discardedOpenMessageCount;

    /**
     * @param retention milliseconds for which messages are remembered
     * @param maxOpenMessages open messages that are tracked at most; beyond it the oldest one is discarded with its segment, and counted
     */
    public CompactionPlanner(double retention, int maxOpenMessages) {
        this.retention = retention;
        this.maxOpenMessages = maxOpenMessages;
    }

    /** Called when a record has been written to a segment. */
    public void onRecordWritten(LedgerRecord record, long segment) {
        latestTimestampBySegment.merge(segment, record.timestamp(), Math::max);
        if (record instanceof LedgerRecord.ForwardIntended intended) {
            latestSignedAtBySegment.merge(segment, intended.signedAt(), Math::max);
        }
        if (record instanceof LedgerRecord.ClaimGranted claimed) {
            latestClaimSignedAtBySegment.merge(segment, claimed.signedAt(), Math::max);
            return; // claims have the same retention as messages and are never rewritten
        }
        Key key = new Key(record.customer(), record.id());
        OpenMessage message = openMessages.computeIfAbsent(key, newKey -> {
            OpenMessage opened = new OpenMessage();
            opened.oldestSegment = segment;
            return opened;
        });
        if (record instanceof LedgerRecord.ProvenNotRun) {
            message.records.removeIf(earlier -> earlier instanceof LedgerRecord.ForwardIntended);
            message.ended = true;
        } else if (record instanceof LedgerRecord.Answered answered) {
            message.records.removeIf(earlier -> earlier instanceof LedgerRecord.Answered);
            message.ended |= answered.answer().kind() == FinalAnswer.Kind.RETURNED
                    || message.promisedAt > message.deliveredPromiseAt;
            message.records.add(answered);
        } else if (record instanceof LedgerRecord.DeliveryAttempted attempted) {
            message.records.removeIf(earlier -> earlier instanceof LedgerRecord.DeliveryAttempted);
            message.deliveredPromiseAt = attempted.finished() ? Math.max(message.deliveredPromiseAt, attempted.promisedAt())
                    : message.deliveredPromiseAt;
            message.records.add(attempted);
        } else {
            message.ended = false;
            message.promisedAt = record instanceof LedgerRecord.DeliveryPromised ? Math.max(message.promisedAt, record.timestamp())
                    : message.promisedAt;
            message.records.add(record);
        }
        if (message.ended && message.promisedAt <= message.deliveredPromiseAt) {
            openMessages.remove(key);
        } else if (openMessages.size() > maxOpenMessages) {
            openMessages.remove(openMessages.keySet().iterator().next());
            discardedOpenMessageCount++;
        }
    }

    /** The oldest segment if it can be removed now, -1 otherwise; never the current one. */
    public long oldestRemovableSegment(double now, long currentSegment) {
        Map.Entry<Long, Double> oldest = latestTimestampBySegment.firstEntry();
        return oldest != null && oldest.getKey() < currentSegment && oldest.getValue() < now - retention ? oldest.getKey() : -1;
    }

    /** Milliseconds for which messages are remembered. */
    public double retention() {
        return retention;
    }

    /** The latest timestamp of all records; minus infinity without any. */
    public double latestTimestamp() {
        return latestTimestampBySegment.values().stream().mapToDouble(timestamp -> timestamp).max()
                .orElse(Double.NEGATIVE_INFINITY);
    }

    /**
     * Returns the records that must be rewritten to the current segment before {@code segment} is removed. From then on, their
     * messages count as held by the current segment.
     */
    public List<LedgerRecord> recordsToRewrite(long segment, long currentSegment) {
        List<LedgerRecord> records = new ArrayList<>();
        for (OpenMessage message : openMessages.values()) {
            if (message.oldestSegment <= segment) {
                message.oldestSegment = currentSegment;
                records.addAll(message.records);
            }
        }
        return records;
    }

    /** The latest signed timestamp among the segment's forward intents, in Unix seconds; Long.MIN_VALUE for none. */
    public long latestSignedAt(long segment) {
        return latestSignedAtBySegment.getOrDefault(segment, Long.MIN_VALUE);
    }

    /** The latest signed timestamp among the segment's claims, in Unix seconds; Long.MIN_VALUE for none. */
    public long latestClaimSignedAt(long segment) {
        return latestClaimSignedAtBySegment.getOrDefault(segment, Long.MIN_VALUE);
    }

    /** Called when a segment has been removed. */
    public void onSegmentRemoved(long segment) {
        latestClaimSignedAtBySegment.remove(segment);
        latestTimestampBySegment.remove(segment);
        latestSignedAtBySegment.remove(segment);
    }

    /** The number of messages whose outcome is unknown or whose delivery is pending. */
    public int openMessageCount() {
        return openMessages.size();
    }

    /** How many open messages were discarded because there were too many. */
    public long discardedOpenMessageCount() {
        return discardedOpenMessageCount;
    }
}
