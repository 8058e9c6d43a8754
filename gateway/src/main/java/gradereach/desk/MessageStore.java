package gradereach.desk;

import gradereach.api.DedupScope;
import gradereach.api.ModelGroup;
import gradereach.api.RetrySafety;
import gradereach.message.AnswerFormat;
import gradereach.message.FinalAnswer;
import gradereach.replay.ExpiringIdTable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The messages received and their answers. The same {@code webhook-id} of the same customer is the same inference for as
 * long as its signature could be replayed.
 *
 * <p>Limited in entries and in bytes of recorded answers. At a limit, the oldest retriable messages are evicted, since they may
 * run again. A message that must not run twice is never evicted; if all are of this kind, no new message is accepted.
 */
public final class MessageStore {
    /** What the store knows of a received message. */
    public enum MessageStatus { NEW, CLAIM_PENDING, IN_PROGRESS, ANSWERED, MAY_RUN_AGAIN, BODY_MISMATCH }

    private record Key(int customer, String id) { }

    /** One stored message. */
    static final class Entry {
        final int customer;
        final String id;
        final long digestHigh;
        final long digestLow;
        final ModelGroup group;
        /** When its signature can no longer be replayed, monotonic time. */
        final double expiresAt;
        /** Its signed timestamp, Unix seconds. */
        final long signedAt;
        final List<AnswerObserver> observers = new ArrayList<>(1);
        /** The inference in progress, null for none. */
        InferenceState openInference;
        /** Number of inferences started for this message. */
        int inferenceCount;
        /** The received copies of the message that wait for the result of its claim; null while none is pending. */
        List<IncomingMessage> awaitingClaim;
        /** The recorded answer, null for none. */
        FinalAnswer answer;
        /** When the first forward that may have run was sent, over all inferences of the message; NaN for none. */
        double mayHaveRunSince = Double.NaN;
        boolean removed;
        /** Outcome inquiries are in progress: a repeat may wait for their result. */
        boolean inquiryOpen;

        Entry(int customer, String id, long digestHigh, long digestLow, ModelGroup group, double expiresAt,
                long signedAt) {
            this.customer = customer;
            this.id = id;
            this.digestHigh = digestHigh;
            this.digestLow = digestLow;
            this.group = group;
            this.expiresAt = expiresAt;
            this.signedAt = signedAt;
        }
    }

    /** Milliseconds within which the repeat of a client that has received an answer arrives. */
    static final double CLIENT_REPEAT_DELAY = 100;
    private static final String OUTCOME_UNKNOWN = "no answer within its time; whether it took effect is unknown";

    private final int maxEntries;
    private final long maxBytes;
    private final double retention;
    private final Map<Key, Entry> entries = new HashMap<>();
    /** In order of arrival, which is the order of expiry: every entry has the same retention. */
    private final ArrayDeque<Entry> retriable = new ArrayDeque<>();
    private final ArrayDeque<Entry> repeatRestricted = new ArrayDeque<>();
    /** Ids of evicted messages, to detect a different body under the same id. */
    private final ExpiringIdTable evictedIds;
    private final long fingerprintSeed;
    private long answerBytes;
    private long evictedCount;
    /** When expired messages were last removed, monotonic time. */
    private double expiredRemovedAt;
    /** The latest signed timestamp of all expired messages; a clock that is set back must not readmit them. */
    private long expiredUpTo = Long.MIN_VALUE;

    /**
     * @param retention milliseconds: twice the signature's tolerance, since a timestamp may lie that far ahead
     * @param maxEvictedIds ids of evicted messages that are kept, about 50 bytes each
     * @param fingerprintSeed random per process, so that a sender cannot craft ids that collide with another's
     */
    public MessageStore(int maxEntries, long maxBytes, double retention, int maxEvictedIds, long fingerprintSeed) {
        evictedIds = new ExpiringIdTable(retention, maxEvictedIds);
        this.fingerprintSeed = fingerprintSeed;
        this.maxEntries = maxEntries;
        this.maxBytes = maxBytes;
        this.retention = retention;
    }

    Entry find(int customer, String id) {
        return entries.get(new Key(customer, id));
    }

    /** The status of a message whose entry is {@code entry}, null where none is stored. */
    MessageStatus statusOf(Entry entry, IncomingMessage message, double now) {
        if (entry != null) {
            return statusOfEntry(entry, message, now);
        }
        boolean bodyDiffers = evictedIds.size() > 0 && evictedIds.find(fingerprint(message.customer(), message.id(), fingerprintSeed),
                fingerprint(message.customer(), message.id(), ~fingerprintSeed), message.digestHigh() ^ message.digestLow(),
                now) == ExpiringIdTable.Lookup.OTHER_DIGEST;
        return bodyDiffers ? MessageStatus.BODY_MISMATCH : MessageStatus.NEW;
    }

    /** A 64-bit hash of a message id; two of them, with different seeds, identify an evicted message. */
    private static long fingerprint(int customer, String id, long seed) {
        long hash = seed ^ customer * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0xff51afd7ed558ccdL;
            hash ^= hash >>> 32;
        }
        return hash;
    }

    static MessageStatus statusOfEntry(Entry entry, IncomingMessage message, double now) {
        if (entry == null) {
            return MessageStatus.NEW;
        }
        if (entry.digestHigh != message.digestHigh() || entry.digestLow != message.digestLow()) {
            return MessageStatus.BODY_MISMATCH;
        }
        if (entry.awaitingClaim != null) {
            return MessageStatus.CLAIM_PENDING;
        }
        if (entry.openInference != null) {
            return MessageStatus.IN_PROGRESS;
        }
        boolean returned = entry.answer != null && entry.answer.kind() == FinalAnswer.Kind.RETURNED;
        return returned || !mayRunAgain(entry, now) ? MessageStatus.ANSWERED : MessageStatus.MAY_RUN_AGAIN;
    }

    /** Rule 2 over all inferences of one message; the router sees the forwards of one inference only. */
    static boolean mayRunAgain(Entry entry, double now) {
        if (Double.isNaN(entry.mayHaveRunSince) || entry.group.retrySafety() == RetrySafety.RETRIABLE) {
            return true;
        }
        return entry.group.retrySafety() == RetrySafety.DEDUPED && entry.group.dedupScope() == DedupScope.ALL
                && now < entry.mayHaveRunSince + entry.group.dedupWindow();
    }

    /** Whether a client may be told that a repeat is harmless: the message may still run again when the repeat arrives. */
    static boolean isRepeatHarmless(Entry entry, double now) {
        return mayRunAgain(entry, now + CLIENT_REPEAT_DELAY);
    }

    /**
     * The recorded answer as it has to be given now. A returned answer stays as it is; any other answer no longer calls a
     * repeat harmless once executors may have forgotten what ran.
     */
    static FinalAnswer currentAnswer(Entry entry, AnswerFormat answerFormat, double now) {
        FinalAnswer recorded = entry.answer;
        boolean outdated = recorded.repeatHarmless() && !isRepeatHarmless(entry, now);
        return outdated && recorded.kind() != FinalAnswer.Kind.RETURNED ? answerFormat.failed(entry.id, 504, OUTCOME_UNKNOWN, false)
                : recorded;
    }

    /** Stores a new message; null where the limit is reached. */
    Entry createEntry(IncomingMessage message, double now) {
        ModelGroup group = message.model().group();
        while (entries.size() >= maxEntries && evictOldestRetriable()) { }
        if (entries.size() >= maxEntries) {
            return null;
        }
        Entry entry = new Entry(message.customer(), message.id(), message.digestHigh(), message.digestLow(), group,
                now + retention, message.signedAt());
        put(entry);
        return entry;
    }

    private void put(Entry entry) {
        entries.put(new Key(entry.customer, entry.id), entry);
        (entry.group.retrySafety() == RetrySafety.RETRIABLE ? retriable : repeatRestricted).add(entry);
    }

    /**
     * Restores a message from the ledger after a restart. Times are monotonic time of this process.
     *
     * @param expiresAt when its signature can no longer be replayed
     * @param mayHaveRunSince when the first forward that may have run was sent, NaN for none
     */
    Entry restore(int customer, String id, long digestHigh, long digestLow, ModelGroup group, double expiresAt,
            long signedAt, double mayHaveRunSince, FinalAnswer answer) {
        Entry entry = new Entry(customer, id, digestHigh, digestLow, group, expiresAt, signedAt);
        entry.mayHaveRunSince = mayHaveRunSince;
        entry.answer = answer;
        answerBytes += bodySize(answer);
        put(entry);
        return entry;
    }

    /** Messages signed at that time or earlier may have expired, here or before a restart. */
    void markExpiredUpTo(long signedAt) {
        expiredUpTo = Math.max(expiredUpTo, signedAt);
    }

    /** Whether a message that is not stored may be an expired one; it is too old then, whatever the clock says. */
    boolean mayHaveExpired(long signedAt) {
        return signedAt <= expiredUpTo;
    }

    /**
     * Replaces the answer of a message with an unknown outcome.
     *
     * @param answer null where the message is proven not to have run
     */
    void replaceUnknownAnswer(Entry entry, FinalAnswer answer) {
        answerBytes += bodySize(answer) - bodySize(entry.answer);
        entry.answer = answer;
        if (answer == null) {
            entry.mayHaveRunSince = Double.NaN;
        }
    }

    /** Records the answer with which the open inference of a message has ended. */
    void recordAnswer(Entry entry, FinalAnswer answer) {
        answerBytes -= bodySize(entry.answer);
        entry.answer = answer;
        entry.openInference = null;
        answerBytes += bodySize(answer);
        while (answerBytes > maxBytes && evictOldestRetriable()) { }
    }

    /** Removes a message that may run again, as if it had never been received. */
    void discard(Entry entry) {
        entry.openInference = null;
        remove(entry);
    }

    /** Removes the messages whose signatures can no longer be replayed. */
    void removeExpired(double now) {
        expiredRemovedAt = now;
        for (ArrayDeque<Entry> queue : List.of(retriable, repeatRestricted)) {
            while (!queue.isEmpty() && (queue.peek().removed || queue.peek().expiresAt <= now)) {
                Entry oldest = queue.peek();
                if (!oldest.removed && (oldest.openInference != null || oldest.awaitingClaim != null)) {
                    break; // its inference ends long before its expiry, so this is a short wait at most
                }
                queue.poll();
                if (!oldest.removed) {
                    markExpiredUpTo(oldest.signedAt);
                }
                remove(oldest);
            }
        }
    }

    private boolean evictOldestRetriable() {
        // An open message cannot be evicted: it is moved to the end of the queue, so it expires late, never early.
        int checked = 0;
        for (int size = retriable.size(); checked < size; checked++) {
            Entry oldest = retriable.poll();
            if (oldest.removed) {
                continue;
            }
            if (oldest.openInference != null) {
                retriable.add(oldest);
                continue;
            }
            evictedIds.add(fingerprint(oldest.customer, oldest.id, fingerprintSeed),
                    fingerprint(oldest.customer, oldest.id, ~fingerprintSeed),
                    oldest.digestHigh ^ oldest.digestLow, expiredRemovedAt);
            remove(oldest);
            evictedCount++;
            return true;
        }
        return false;
    }

    private void remove(Entry entry) {
        if (!entry.removed) {
            entry.removed = true;
            entries.remove(new Key(entry.customer, entry.id));
            answerBytes -= bodySize(entry.answer);
        }
    }

    private static long bodySize(FinalAnswer answer) {
        return answer == null ? 0 : answer.body().length;
    }

    /** Messages stored. */
    public int size() {
        return entries.size();
    }

    /** Bytes of recorded answers. */
    public long bytes() {
        return answerBytes;
    }

    /** Messages evicted so far, because a limit was reached. */
    public long evictedCount() {
        return evictedCount;
    }
}
