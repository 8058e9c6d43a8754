package gradereach.desk;

import gradereach.api.DedupScope;
import gradereach.api.ModelGroup;
import gradereach.api.RetrySafety;
import gradereach.message.FinalAnswer;
import gradereach.message.AnswerFormat;
import gradereach.replay.ExpiringIdTable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which messages came, and what became of them: the same {@code webhook-id} of the same customer is the same
 * inference for as long as its signature could be played again.
 *
 * Bounded by entries and by bytes of recorded answers. When either runs out, what is retriable is forgotten first,
 * oldest first, since it may run again; a message whose effect must not happen twice is never forgotten early:
 * rather is a new one turned away.
 */
public final class MessageStore {
    /** What a message that came is to this memory. */
    public enum MessageStatus { NEW, CLAIM_PENDING, IN_PROGRESS, ANSWERED, MAY_RUN_AGAIN, BODY_MISMATCH }

    private record Key(int customer, String id) { }

    /** One message. */
    static final class Entry {
        final int customer;
        final String id;
        final long digestHigh;
        final long digestLow;
        final ModelGroup group;
        final double expiresAt;
        final long signedAt;
        final List<AnswerObserver> observers = new ArrayList<>(1);
        InferenceState openInference;
        /** Lives that have begun. */
        int inferenceCount;
        /** While other front ends are asked whose it is: those that wait for that; null otherwise. */
        List<IncomingMessage> awaitingClaim;
        FinalAnswer answer;
        /** When the first forward left that may have run, over all its lives; NaN for none. */
        double mayHaveRunSince = Double.NaN;
        boolean removed;
        /** Executors are being asked what became of it: whoever asks again may wait for that. */
        boolean inquiryOpen;

        Entry(int customer, String id, long digestHigh, long digestLow, ModelGroup group, double until,
                long signedAt) {
            this.customer = customer;
            this.id = id;
            this.digestHigh = digestHigh;
            this.digestLow = digestLow;
            this.group = group;
            this.expiresAt = until;
            this.signedAt = signedAt;
        }
    }

    /** Milliseconds until a client that hears an answer has sent its message again. */
    static final double CLIENT_REPEAT_DELAY = 100;
    private static final String OUTCOME_UNKNOWN = "no answer within its time; whether it took effect is unknown";

    private final int maxEntries;
    private final long maxBytes;
    private final double retention;
    private final Map<Key, Entry> entries = new HashMap<>();
    /** In order of coming, which is the order of expiry: every entry is kept equally long. */
    private final ArrayDeque<Entry> retriable = new ArrayDeque<>();
    private final ArrayDeque<Entry> repeatRestricted = new ArrayDeque<>();
    /** Ids of what was forgotten early: another body under one of them is still told. */
    private final ExpiringIdTable evictedIds;
    private final long fingerprintSeed;
    private long bytes;
    private long evictedCount;
    private double lastExpiryAt;
    /** The latest signed timestamp among those forgotten for their age; a clock set back must not let them in again. */
    private long expiredUpTo = Long.MIN_VALUE;

    /**
     * @param kept milliseconds: twice the signature's tolerance, since a timestamp may lie that far ahead
     * @param mostIds ids remembered of what had to be forgotten early, some 50 bytes each
     * @param seed of the fingerprints, drawn at start: or a sender could make its ids meet another's
     */
    public MessageStore(int mostEntries, long mostBytes, double kept, int mostIds, long seed) {
        evictedIds = new ExpiringIdTable(kept, mostIds);
        this.fingerprintSeed = seed;
        this.maxEntries = mostEntries;
        this.maxBytes = mostBytes;
        this.retention = kept;
    }

    Entry find(int customer, String id) {
        return entries.get(new Key(customer, id));
    }

    /** What a message is that found {@code entry}, which may be null. */
    MessageStatus statusOf(Entry entry, IncomingMessage arrival, double now) {
        if (entry != null) {
            return statusOfEntry(entry, arrival, now);
        }
        boolean other = evictedIds.size() > 0 && evictedIds.find(fingerprint(arrival.customer(), arrival.id(), fingerprintSeed),
                fingerprint(arrival.customer(), arrival.id(), ~fingerprintSeed), arrival.digestHigh() ^ arrival.digestLow(),
                now) == ExpiringIdTable.Lookup.OTHER_DIGEST;
        return other ? MessageStatus.BODY_MISMATCH : MessageStatus.NEW;
    }

    private static long fingerprint(int customer, String id, long seed) {
        long h = seed ^ customer * 0x9e3779b97f4a7c15L;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0xff51afd7ed558ccdL;
            h ^= h >>> 32;
        }
        return h;
    }


    static MessageStatus statusOfEntry(Entry entry, IncomingMessage arrival, double now) {
        if (entry == null) {
            return MessageStatus.NEW;
        }
        if (entry.digestHigh != arrival.digestHigh() || entry.digestLow != arrival.digestLow()) {
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

    /** Rule 2 over the lives of one message: the module sees the forwards of one life only. */
    static boolean mayRunAgain(Entry entry, double now) {
        if (Double.isNaN(entry.mayHaveRunSince) || entry.group.retrySafety() == RetrySafety.RETRIABLE) {
            return true;
        }
        return entry.group.retrySafety() == RetrySafety.DEDUPED && entry.group.dedupScope() == DedupScope.ALL
                && now < entry.mayHaveRunSince + entry.group.dedupWindow();
    }

    /** Whether a client may be told that a repeat is harmless: it comes while it may run again. */
    static boolean isRepeatHarmless(Entry entry, double now) {
        return mayRunAgain(entry, now + CLIENT_REPEAT_DELAY);
    }

    /**
     * What whoever asks for the recorded answer hears now. One that was returned stays; else, where a repeat was harmless, it is
     * so no longer once executors may have forgotten what ran.
     */
    static FinalAnswer currentAnswer(Entry entry, AnswerFormat words, double now) {
        FinalAnswer recorded = entry.answer;
        boolean outdated = recorded.repeatHarmless() && !isRepeatHarmless(entry, now);
        return outdated && recorded.kind() != FinalAnswer.Kind.RETURNED ? words.failed(entry.id, 504, OUTCOME_UNKNOWN, false) : recorded;
    }

    /** Null where there is no room for it. */
    Entry createEntry(IncomingMessage arrival, double now) {
        ModelGroup group = arrival.model().group();
        while (entries.size() >= maxEntries && evictOldestRetriable()) { }
        if (entries.size() >= maxEntries) {
            return null;
        }
        Entry entry = new Entry(arrival.customer(), arrival.id(), arrival.digestHigh(), arrival.digestLow(), group,
                now + retention, arrival.signedAt());
        put(entry);
        return entry;
    }

    private void put(Entry entry) {
        entries.put(new Key(entry.customer, entry.id), entry);
        (entry.group.retrySafety() == RetrySafety.RETRIABLE ? retriable : repeatRestricted).add(entry);
    }

    /**
     * As a restart finds it in the ledger. {@code until} is when its signature can no longer be played again,
     * {@code uncertainSince} when a forward left that may have run; module time, which starts anew with the process.
     */
    Entry restore(int customer, String id, long digestHigh, long digestLow, ModelGroup group, double until,
            long signedAt, double uncertainSince, FinalAnswer answer) {
        Entry entry = new Entry(customer, id, digestHigh, digestLow, group, until, signedAt);
        entry.mayHaveRunSince = uncertainSince;
        entry.answer = answer;
        bytes += size(answer);
        put(entry);
        return entry;
    }

    /** A message that was signed then at the latest has been forgotten for its age, here or before a restart. */
    void markExpiredUpTo(long signedAt) {
        expiredUpTo = Math.max(expiredUpTo, signedAt);
    }

    /** Whether a message that is not known may be one that was forgotten: it is then too old, whatever our clock says. */
    boolean mayHaveExpired(long signedAt) {
        return signedAt <= expiredUpTo;
    }

    /** Knowledge came: what was answered as unknown has this answer, or, with null, is proven not to have run. */
    void replaceUnknownAnswer(Entry entry, FinalAnswer answer) {
        bytes += size(answer) - size(entry.answer);
        entry.answer = answer;
        if (answer == null) {
            entry.mayHaveRunSince = Double.NaN;
        }
    }

    /** Its present life has ended with {@code answer}. */
    void recordAnswer(Entry entry, FinalAnswer answer) {
        bytes -= size(entry.answer);
        entry.answer = answer;
        entry.openInference = null;
        bytes += size(answer);
        while (bytes > maxBytes && evictOldestRetriable()) { }
    }

    /** Its client has left before anything may have run: as if it had never come. */
    void discard(Entry entry) {
        entry.openInference = null;
        remove(entry);
    }

    /** Lets go of what can no longer be played again. */
    void removeExpired(double now) {
        lastExpiryAt = now;
        for (ArrayDeque<Entry> queue : List.of(retriable, repeatRestricted)) {
            while (!queue.isEmpty() && (queue.peek().removed || queue.peek().expiresAt <= now)) {
                Entry oldest = queue.peek();
                if (!oldest.removed && (oldest.openInference != null || oldest.awaitingClaim != null)) {
                    break; // its life ends long before that, so this waits a moment at most
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
        // One that is open cannot go: it is put last, and so expires late, never early.
        int looked = 0;
        for (int size = retriable.size(); looked < size; looked++) {
            Entry oldest = retriable.poll();
            if (oldest.removed) {
                continue;
            }
            if (oldest.openInference != null) {
                retriable.add(oldest);
                continue;
            }
            evictedIds.add(fingerprint(oldest.customer, oldest.id, fingerprintSeed), fingerprint(oldest.customer, oldest.id, ~fingerprintSeed),
                    oldest.digestHigh ^ oldest.digestLow, lastExpiryAt);
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
            bytes -= size(entry.answer);
        }
    }

    private static long size(FinalAnswer answer) {
        return answer == null ? 0 : answer.body().length;
    }

    public int size() {
        return entries.size();
    }

    public long bytes() {
        return bytes;
    }

    public long evictedCount() {
        return evictedCount;
    }
}
