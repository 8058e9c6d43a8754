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
    private static final int DEFAULT_COPIES = 3;

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

    private void check(KeySettings keySettings) {
        if (!tree.has("ledger")) {
            errors.add("/peers: claims must survive a restart, so /ledger is needed");
        }
        key = keySettings.read("/peers/key", settings.path("key"));
        if (key != null && !key.scheme().equals(KeySettings.SHARED_SECRET)) {
            errors.add("/peers/key: no whsec_ key");
        }
        Set<String> names = checkMembers();
        JsonNode before = settings.path("before");
        for (int i = 0; i < before.size(); i++) {
            if (!names.contains(before.path(i).asText())) {
                errors.add("/peers/before/" + i + ": not among /peers/members; its address is needed while it is asked");
            }
        }
    }

    private Set<String> checkMembers() {
        Set<String> names = new HashSet<>();
        JsonNode members = settings.path("members");
        for (int i = 0; i < members.size(); i++) {
            if (!names.add(members.path(i).path("name").asText())) {
                errors.add("/peers/members/" + i + "/name: twice");
            }
        }
        String own = tree.path("name").asText();
        if (!names.contains(own)) {
            errors.add("/peers/members: this front end, " + own + ", is not among them");
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
        int copies = settings.path("copies").asInt(DEFAULT_COPIES);
        List<FrontEndSet> lists = new ArrayList<>();
        lists.add(new FrontEndSet(peers().stream().map(PeerClaims.Peer::name).toList(), copies));
        if (settings.has("before")) {
            lists.add(new FrontEndSet(strings(settings.path("before")), copies));
        }
        return lists;
    }
}
