package gradereach.claims;

import gradereach.desk.ModelCatalog;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Who the front ends are, and which of them keep whose claims: for each message the first few in rendezvous order
 * (highest random weight), so that the keepers of an id are the same for all who have the same list, and a change of the
 * list moves few of them.
 */
public record FrontEndSet(List<String> names, int replicationFactor) {
    public FrontEndSet {
        names = names.stream().sorted().toList();
    }

    /** Tells lists apart. */
    public long digest() {
        return ModelCatalog.hash(String.join("\n", names) + "\n" + replicationFactor);
    }

    public List<String> replicas(String customer, String id) {
        long message = ModelCatalog.hash(customer + "\n" + id);
        List<String> order = new ArrayList<>(names);
        order.sort(Comparator.comparingLong((String name) -> mix(message ^ ModelCatalog.hash(name))).reversed()
                .thenComparing(name -> name));
        return order.subList(0, Math.min(replicationFactor, order.size()));
    }

    /** So many of the keepers of an id that any two sets of them share one. */
    public int majority() {
        return Math.min(replicationFactor, names.size()) / 2 + 1;
    }

    private static long mix(long h) {
        h = (h ^ h >>> 33) * 0xff51afd7ed558ccdL;
        h = (h ^ h >>> 33) * 0xc4ceb9fe1a85ec53L;
        return h ^ h >>> 33;
    }
}
