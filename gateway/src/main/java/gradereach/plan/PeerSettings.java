package gradereach.plan;

import static gradereach.plan.DeploymentJson.address;
import static gradereach.plan.DeploymentJson.strings;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.claims.FrontEndSet;
import gradereach.claims.PeerClaims;
import gradereach.webhook.WebhookKey;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Settings of the peers with which this front end replicates claims. */
final class PeerSettings {
    private static final int DEFAULT_REPLICATION_FACTOR = 3;

    private final JsonNode tree;
    private final JsonNode settings;
    private final List<String> errors;
    /** Null if there are no peers. */
    private WebhookKey key;

    /** @param errors receives the errors found */
    PeerSettings(JsonNode tree, KeySettings keySettings, List<String> errors) {
        this.tree = tree;
        this.errors = errors;
        settings = tree.path("peers");
        if (isConfigured()) {
            check(keySettings);
        }
    }

    /** Checks the settings and reads the key. */
    private void check(KeySettings keySettings) {
        if (!tree.has("ledger")) {
            errors.add("/peers: requires /ledger, since claims must survive a restart");
        }
        key = keySettings.read("/peers/key", settings.path("key"));
        if (key != null && !key.scheme().equals(KeySettings.SHARED_SECRET)) {
            errors.add("/peers/key: not a whsec_ key");
        }
        Set<String> names = checkMembers();
        JsonNode previous = settings.path("before");
        for (int i = 0; i < previous.size(); i++) {
            if (!names.contains(previous.path(i).asText())) {
                errors.add("/peers/before/" + i + ": not in /peers/members; its address is needed during the change");
            }
        }
    }

    /** Checks the members and returns their names. */
    private Set<String> checkMembers() {
        Set<String> names = new HashSet<>();
        JsonNode members = settings.path("members");
        for (int i = 0; i < members.size(); i++) {
            if (!names.add(members.path(i).path("name").asText())) {
                errors.add("/peers/members/" + i + "/name: duplicate");
            }
        }
        String ownName = tree.path("name").asText();
        if (!names.contains(ownName)) {
            errors.add("/peers/members: this front end, " + ownName + ", is missing");
        }
        return names;
    }

    boolean isConfigured() {
        return !settings.isMissingNode();
    }

    InetSocketAddress listenAddress() {
        return address(settings.path("listen").asText());
    }

    WebhookKey key() {
        return key;
    }

    List<PeerClaims.Peer> peers() {
        List<PeerClaims.Peer> peers = new ArrayList<>();
        for (JsonNode member : settings.path("members")) {
            peers.add(new PeerClaims.Peer(member.path("name").asText(), address(member.path("peers").asText()),
                    address(member.path("front").asText())));
        }
        return peers;
    }

    /** Returns the sets of peers in force: the current one and, during a change, the previous one. */
    List<FrontEndSet> peerSets() {
        int replicationFactor = settings.path("copies").asInt(DEFAULT_REPLICATION_FACTOR);
        List<FrontEndSet> sets = new ArrayList<>();
        sets.add(new FrontEndSet(peers().stream().map(PeerClaims.Peer::name).toList(), replicationFactor));
        if (settings.has("before")) {
            sets.add(new FrontEndSet(strings(settings.path("before")), replicationFactor));
        }
        return sets;
    }
}
