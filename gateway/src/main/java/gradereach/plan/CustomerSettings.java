package gradereach.plan;

import static gradereach.plan.DeploymentJson.number;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.api.Customer;
import gradereach.webhook.WebhookKey;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The customers of a deployment file, their keys and the keys that sign answers to them. Lists are indexed by customer. */
final class CustomerSettings {
    /** The last second at which a key can be valid: a key that is valid then never expires. */
    private static final long LAST_EPOCH_SECOND = Long.MAX_VALUE - 1;

    private final JsonNode root;
    private final KeySettings keySettings;
    private final List<String> errors;
    private final List<Customer> customers = new ArrayList<>();
    private final List<List<WebhookKey>> customerKeys = new ArrayList<>();
    /** Null if the file has none. */
    private final WebhookKey answersKey;

    /** @param errors receives the errors found */
    CustomerSettings(JsonNode root, KeySettings keySettings, List<String> errors) {
        this.root = root;
        this.keySettings = keySettings;
        this.errors = errors;
        answersKey = readAnswersKey();
        readCustomers();
    }

    private WebhookKey readAnswersKey() {
        if (!root.has("answers_key")) {
            return null;
        }
        WebhookKey key = keySettings.read("/answers_key", root.path("answers_key"));
        if (key != null && !(key.scheme().equals(KeySettings.KEY_PAIR) && key.canSign())) {
            errors.add("/answers_key: not a whsk_ key");
        }
        return key;
    }

    private void readCustomers() {
        Set<String> names = new HashSet<>();
        JsonNode list = root.path("customers");
        for (int i = 0; i < list.size(); i++) {
            JsonNode settings = list.path(i);
            String path = "/customers/" + i;
            String name = settings.path("name").asText();
            if (!names.add(name)) {
                errors.add(path + "/name: duplicate");
            }
            customers.add(new Customer(name, number(settings, "share", 0), number(settings, "quota_per_second", 0)));
            customerKeys.add(readKeys(path + "/keys", settings.path("keys")));
        }
    }

    private List<WebhookKey> readKeys(String path, JsonNode list) {
        List<WebhookKey> keys = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            WebhookKey key = keySettings.readWithValidity(path + "/" + i, list.path(i));
            if (key != null) {
                keys.add(key);
            }
        }
        if (!keys.isEmpty() && keys.stream().noneMatch(key -> key.isValidAt(LAST_EPOCH_SECOND))) {
            errors.add(path + ": every key expires; the customer would be locked out after the last one");
        }
        if (!keys.isEmpty() && sharedSecrets(keys).isEmpty() && answersKey == null) {
            errors.add(path + ": only v1a keys, so /answers_key is needed to sign answers");
        }
        return keys;
    }

    private static List<WebhookKey> sharedSecrets(List<WebhookKey> keys) {
        return keys.stream().filter(key -> key.scheme().equals(KeySettings.SHARED_SECRET)).toList();
    }

    List<Customer> customers() {
        return List.copyOf(customers);
    }

    List<List<WebhookKey>> customerKeys() {
        return customerKeys;
    }

    /** Returns the keys that sign answers to each customer: its own shared secrets, or the deployment's private key. */
    List<List<WebhookKey>> answerKeys() {
        List<List<WebhookKey>> signing = new ArrayList<>();
        for (List<WebhookKey> own : customerKeys) {
            List<WebhookKey> shared = sharedSecrets(own);
            signing.add(shared.isEmpty() ? List.of(answersKey) : shared);
        }
        return signing;
    }

    /** Returns the URLs to which answers are delivered, null for customers without one. */
    List<String> answerEndpoints() {
        List<String> urls = new ArrayList<>();
        for (JsonNode customer : root.path("customers")) {
            urls.add(customer.has("answers_to") ? customer.path("answers_to").asText() : null);
        }
        return urls;
    }
}
