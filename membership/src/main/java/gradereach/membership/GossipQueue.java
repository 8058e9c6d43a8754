package gradereach.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Member updates that are piggybacked on messages. Each is transmitted a number of times that grows with the logarithm of the number of
 * members, the least transmitted ones first (SWIM, section 4.1), with a limit of updates for each message. A newer update replaces an
 * older one about the same member.
 */
final class GossipQueue {
    /** Multiplier of the logarithm in the transmit limit; memberlist and the experiments of SWIM use three. */
    private static final int RETRANSMIT_MULTIPLIER = 3;

    private static final class Entry {
        final Member update;
        /** Grows with every update: of equally often transmitted ones, the latest goes first. */
        final long number;
        int transmits;

        Entry(Member update, long number) {
            this.update = update;
            this.number = number;
        }
    }

    private final Map<String, Entry> entriesByMember = new HashMap<>();
    private final int maxUpdates;
    private long lastNumber;

    /** @param maxUpdates limit of updates on one message, as many as fit a packet */
    GossipQueue(int maxUpdates) {
        this.maxUpdates = maxUpdates;
    }

    /** Queues an update. */
    void add(Member update) {
        entriesByMember.put(update.name(), new Entry(update, ++lastNumber));
    }

    /** How often an update is transmitted with that many members. */
    static int transmitLimit(int memberCount) {
        return RETRANSMIT_MULTIPLIER * (int) Math.ceil(Math.log10(memberCount + 1) + 1);
    }

    /**
     * Takes the updates for one message from the queue.
     *
     * @param first an update that is included regardless of the order; null for none
     */
    List<Member> next(int memberCount, Member first) {
        int limit = transmitLimit(memberCount);
        List<Entry> order = new ArrayList<>(entriesByMember.values());
        order.sort(Comparator.<Entry>comparingInt(queued -> queued.transmits).thenComparing(queued -> -queued.number));
        List<Member> updates = new ArrayList<>();
        if (first != null) {
            updates.add(first);
        }
        for (Entry entry : order) {
            if (updates.size() == maxUpdates) {
                break;
            }
            updates.add(entry.update);
            if (++entry.transmits >= limit) {
                entriesByMember.remove(entry.update.name());
            }
        }
        return updates;
    }
}
