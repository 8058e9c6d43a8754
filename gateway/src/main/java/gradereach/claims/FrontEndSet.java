package gradereach.claims;

import gradereach.desk.ModelCatalog;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A set of front ends and the placement of claims on them: the replicas of a message are the first few in the order of rendezvous
 * hashing (highest random weight). All front ends with the same set agree on them, and a change of the set moves few claims.
 *
 * @param names names of the front ends, kept sorted
 * @param replicationFactor replicas of each claim
 */
public record FrontEndSet(List<String> names, int replicationFactor) {
    public FrontEndSet {
        names = names.stream().sorted().toList();
    }

    /** A hash by which two sets are compared. */
    public long digest() {
        return ModelCatalog.hash(String.join("\n", names) + "\n" + replicationFactor);
    }

    /** The front ends that store the claim of a message. */
    public List<String> replicas(String customer, String id) {
        long messageHash = ModelCatalog.hash(customer + "\n" + id);
        List<String> ranking = new ArrayList<>(names);
        ranking.sort(Comparator.comparingLong((String name) -> mix(messageHash ^ ModelCatalog.hash(name))).reversed()
                .thenComparing(name -> name));
        return ranking.subList(0, Math.min(replicationFactor, ranking.size()));
    }

    /** How many of a message's replicas form a majority: any two majorities share a replica. */
    public int majority() {
        return Math.min(replicationFactor, names.size()) / 2 + 1;
    }

    /** MurmurHash3's 64-bit finalizer. */
    private static long mix(long hash) {
        hash = (hash ^ hash >>> 33) * 0xff51afd7ed558ccdL;
        hash = (hash ^ hash >>> 33) * 0xc4ceb9fe1a85ec53L;
        return hash ^ hash >>> 33;
    }
}
