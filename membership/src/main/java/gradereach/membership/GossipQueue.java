package gradereach.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News that ride on messages: each is told a few times the logarithm of the number of members, those told least first (SWIM,
 * section 4.1), so many a message at most. A newer word on a member takes the place of the older.
 */
final class GossipQueue {
    /** Told so many times log10 of the members and one more; memberlist's and SWIM's experiments have three. */
    private static final int RETRANSMIT_MULTIPLIER = 3;

    private static final class Entry {
        final Member update;
        final long number;
        int transmits;

        Entry(Member word, long number) {
            this.update = word;
            this.number = number;
        }
    }

    private final Map<String, Entry> byName = new HashMap<>();
    private final int maxUpdates;
    private long lastNumber;

    /** @param most words on one message: as many as a packet bears */
    GossipQueue(int most) {
        this.maxUpdates = most;
    }

    void add(Member word) {
        byName.put(word.name(), new Entry(word, ++lastNumber));
    }

    static int transmitLimit(int members) {
        return RETRANSMIT_MULTIPLIER * (int) Math.ceil(Math.log10(members + 1) + 1);
    }

    /** For one message; {@code first} is told whatever its turn, null for none. */
    List<Member> next(int members, Member first) {
        int limit = transmitLimit(members);
        List<Entry> order = new ArrayList<>(byName.values());
        order.sort(Comparator.<Entry>comparingInt(r -> r.transmits).thenComparing(r -> -r.number));
        List<Member> words = new ArrayList<>();
        if (first != null) {
            words.add(first);
        }
        for (Entry rumour : order) {
            if (words.size() == maxUpdates) {
                break;
            }
            words.add(rumour.update);
            if (++rumour.transmits >= limit) {
                byName.remove(rumour.update.name());
            }
        }
        return words;
    }
}
