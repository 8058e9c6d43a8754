package gradereach.plan;

import static gradereach.plan.DeploymentJson.address;
import static gradereach.plan.DeploymentJson.number;
import static gradereach.plan.DeploymentJson.strings;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.members.Membership;
import gradereach.webhook.WebhookKey;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Settings of the membership, which the share of this front end follows. */
final class MembershipSettings {
    private static final String DEFAULT_CLUSTER = "gradereach";
    private static final int DEFAULT_SEATS = 240;
    private static final double DEFAULT_LEASE_MILLIS = 3000;

    private final JsonNode tree;
    private final JsonNode settings;
    private final List<String> errors;
    private final List<byte[]> secrets = new ArrayList<>();

    /** @param errors receives the errors found */
    MembershipSettings(JsonNode tree, KeySettings keySettings, List<String> errors) {
        this.tree = tree;
        this.errors = errors;
        settings = tree.path("membership");
        readSecrets(keySettings);
        checkGrantors();
    }

    private void readSecrets(KeySettings keySettings) {
        JsonNode keys = settings.path("keys");
        for (int i = 0; i < keys.size(); i++) {
            WebhookKey key = keySettings.read("/membership/keys/" + i, keys.path(i));
            if (key != null) {
                secrets.add(key.secretText().getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private void checkGrantors() {
        List<String> grantors = strings(settings.path("keepers"));
        Set<String> distinct = new HashSet<>();
        for (int i = 0; i < grantors.size(); i++) {
            if (!distinct.add(grantors.get(i))) {
                errors.add("/membership/keepers/" + i + ": duplicate");
            }
        }
        if (!settings.isMissingNode() && !grantors.contains(settings.path("listen").asText())) {
            errors.add("/membership/keepers: does not contain the address of this front end, /membership/listen");
        }
    }

    /** Returns the configuration; null if the file has none, so that shares are fixed by the number of front ends. */
    Membership.Config config() {
        if (settings.isMissingNode()) {
            return null;
        }
        return new Membership.Config(tree.path("name").asText(), address(settings.path("listen").asText()),
                settings.path("cluster").asText(DEFAULT_CLUSTER), secrets, strings(settings.path("keepers")),
                settings.path("seats").asInt(DEFAULT_SEATS), number(settings, "lease_ms", DEFAULT_LEASE_MILLIS));
    }
}
