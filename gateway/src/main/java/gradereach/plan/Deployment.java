package gradereach.plan;

import static gradereach.plan.DeploymentJson.address;
import static gradereach.plan.DeploymentJson.number;
import static gradereach.plan.DeploymentJson.port;
import static gradereach.plan.DeploymentJson.strings;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.api.ColdStartRule;
import gradereach.api.Customer;
import gradereach.api.ForwardRules;
import gradereach.api.FrontEndSettings;
import gradereach.api.LoadOrderBudget;
import gradereach.api.LoadingRules;
import gradereach.api.ModelGroup;
import gradereach.claims.FrontEndSet;
import gradereach.claims.PeerClaims;
import gradereach.desk.ModelCatalog;
import gradereach.members.Membership;
import gradereach.remotewrite.Pusher;
import gradereach.webhook.WebhookKey;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A deployment file, read and validated once at start: first against the JSON schema {@code deployment.schema.json}, then by
 * checks that a schema cannot express. Provides the settings of each component.
 */
public final class Deployment {
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 250;
    private static final int DEFAULT_MAX_SERIES_PER_LABEL = 50;
    /**
     * How long the answer "ready" to a probe is relied on while the roster is unreachable: the shortest time that operators grant
     * to stop sending to a draining executor.
     */
    private static final double DRAIN_GRACE_MILLIS = 500;

    private final JsonNode tree;
    private final Path folder;
    private final ModelSettings models;
    private final CustomerSettings customers;
    private final PeerSettings peers;
    private final MembershipSettings membership;

    private Deployment(JsonNode tree, Path folder, List<String> errors) {
        this.tree = tree;
        this.folder = folder;
        KeySettings keySettings = new KeySettings(folder, errors);
        models = new ModelSettings(tree, errors);
        customers = new CustomerSettings(tree, keySettings, errors);
        peers = new PeerSettings(tree, keySettings, errors);
        membership = new MembershipSettings(tree, keySettings, errors);
        checkFrontEnd(errors);
        checkPorts(errors);
    }

    /**
     * Reads and validates a deployment file.
     *
     * @throws InvalidDeploymentException with every error found, each naming its path in the file
     */
    public static Deployment read(Path file) throws InvalidDeploymentException {
        return of(DeploymentJson.parse(file), file.toAbsolutePath().getParent());
    }

    /**
     * Validates a parsed deployment file.
     *
     * @param folder folder against which relative paths in the file are resolved
     */
    public static Deployment of(JsonNode tree, Path folder) throws InvalidDeploymentException {
        DeploymentJson.validate(tree);
        List<String> errors = new ArrayList<>();
        Deployment deployment = new Deployment(tree, folder, errors);
        if (!errors.isEmpty()) {
            throw new InvalidDeploymentException(errors);
        }
        return deployment;
    }

    private void checkFrontEnd(List<String> errors) {
        JsonNode settings = tree.path("tier");
        String location = settings.path("location").asText("");
        if (!location.isEmpty() && !locations().contains(location)) {
            errors.add("/tier/location: not in /tier/locations");
        }
        if (settings.path("me").asInt(0) >= settings.path("front_ends").asInt(1)) {
            errors.add("/tier/me: must be less than /tier/front_ends");
        }
    }

    private void checkPorts(List<String> errors) {
        for (String field : List.of("/listen", "/admin", "/grpc/listen")) {
            String address = tree.at(field).asText("");
            if (!address.isEmpty() && port(address) > MAX_PORT) {
                errors.add(field + ": port above 65535");
            }
        }
    }

    /** Returns the name of this front end, used by its peers and in its metrics. */
    public String name() {
        return tree.path("name").asText();
    }

    /** Returns the address on which webhooks of clients are accepted. */
    public InetSocketAddress listenAddress() {
        return address(tree.path("listen").asText());
    }

    /** Returns the kinds of executors, as numbered by the roster, that accept inferences over gRPC. */
    public Set<Integer> grpcExecutorKinds() {
        Set<Integer> kinds = new HashSet<>();
        tree.path("executors").path("grpc_kinds").forEach(kind -> kinds.add(kind.asInt()));
        return kinds;
    }

    /** Returns the address on which gRPC calls of clients are accepted, null for none. */
    public InetSocketAddress grpcListenAddress() {
        return tree.has("grpc") ? address(tree.path("grpc").path("listen").asText()) : null;
    }

    /** Returns a number of {@code /grpc}. */
    public long grpcSetting(String name, long defaultValue) {
        return tree.path("grpc").path(name).asLong(defaultValue);
    }

    /** Returns the settings of the membership, which the share of this front end follows; null if shares are fixed. */
    public Membership.Config membership() {
        return membership.config();
    }

    /** Returns the fraction of the requested value that must be returned in time, by model group. */
    public Map<String, Double> objectives() {
        return models.objectives();
    }

    /** Returns the longest usual load time of any model, in milliseconds. */
    public double maxLoadMillis() {
        return models.maxLoadMillis();
    }

    /** Returns how many customers, and how many models, have metric series of their own; all others share one. */
    public int maxSeriesPerLabel() {
        return tree.path("metrics").path("series_each").asInt(DEFAULT_MAX_SERIES_PER_LABEL);
    }

    /** Returns the receiver to which metrics are pushed, null for none. */
    public Pusher.Receiver remoteWriteReceiver() {
        JsonNode settings = tree.path("metrics").path("remote_write");
        return settings.isMissingNode() ? null : RemoteWriteSettings.receiver(settings, name());
    }

    /** Returns the address on which health and metrics are served, null for none. */
    public InetSocketAddress adminAddress() {
        return tree.has("admin") ? address(tree.path("admin").asText()) : null;
    }

    /** Returns the roster server, null if the roster is a file. */
    public URI rosterServer() {
        return tree.path("roster").has("server") ? URI.create(tree.path("roster").path("server").asText()) : null;
    }

    /** Returns the roster file, null if the roster comes from a server. */
    public Path rosterFile() {
        return tree.path("roster").has("file") ? folder.resolve(tree.path("roster").path("file").asText()) : null;
    }

    /** Returns the names of the locations of front ends and executors. */
    public List<String> locations() {
        return strings(tree.path("tier").path("locations"));
    }

    /** Returns the number of front ends and the index of this one. */
    public FrontEndSettings frontEndSettings() {
        JsonNode settings = tree.path("tier");
        return new FrontEndSettings(settings.path("me").asInt(0), settings.path("front_ends").asInt(1),
                Math.max(0, locations().indexOf(settings.path("location").asText(""))), /* peerMessagesAllowed */ false,
                tree.path("forwards").path("probes").asBoolean(true), /* subscribesToRoster */ false, /* probeCost */ 0,
                /* crossZoneCost */ 0, number(settings, "tick_ms", 4));
    }

    /** Returns the seed of random choices, null to draw one. */
    public Long seed() {
        return tree.path("tier").has("seed") ? tree.path("tier").path("seed").asLong() : null;
    }

    /** Returns the model groups in the order of the file. */
    public List<ModelGroup> groups() {
        return models.groups();
    }

    /** Returns the customers in the order of the file. Other lists of customer settings are indexed by it. */
    public List<Customer> customers() {
        return customers.customers();
    }

    /** Returns the value of an inference over its customer's quota, as a fraction from 0 to 1. */
    public double overQuotaValue() {
        return number(tree, "surplus_value", 1);
    }

    /** Returns the keys that each customer may sign with, by customer index. */
    public List<List<WebhookKey>> customerKeys() {
        return customers.customerKeys();
    }

    /** Returns the keys that sign answers to each customer: its own shared secrets, or the deployment's private key. */
    public List<List<WebhookKey>> answerKeys() {
        return customers.answerKeys();
    }

    /** Returns the URLs to which answers are delivered, by customer index; null for customers without one. */
    public List<String> answerEndpoints() {
        return customers.answerEndpoints();
    }

    /** Returns the models that clients may request. */
    public ModelCatalog modelCatalog() {
        return models.modelCatalog();
    }

    /** Returns how much may be sent to an executor that has just started. */
    public ColdStartRule coldStartRule() {
        JsonNode settings = tree.path("rules").path("cold_start");
        return new ColdStartRule(number(settings, "start_share", 1), number(settings, "warm_within_ms", 0),
                number(settings, "fall_multiple", 0), number(settings, "fall_ms", 0));
    }

    /** Returns how many load orders may be sent. */
    public LoadOrderBudget loadOrderBudget() {
        JsonNode settings = tree.path("rules").path("load_ration");
        return new LoadOrderBudget(number(settings, "free", 0), number(settings, "share", 0), number(settings, "span_ms", 0));
    }

    /** Returns how executors load and unload models. */
    public LoadingRules loadingRules() {
        JsonNode settings = tree.path("loading");
        return new LoadingRules(settings.path("orders").asBoolean(true), settings.path("loads_by_itself").asBoolean(false),
                number(settings, "keeps_idle_ms", 10_000), number(settings, "order_timeout_ms", 10_000),
                /* idleCost */ 0, /* memoryByMachineKind */ List.of());
    }

    /** Returns how often and for how long an inference is forwarded. */
    public ForwardRules forwardRules() {
        JsonNode settings = tree.path("forwards");
        return new ForwardRules(settings.path("most").asInt(5), /* hedgingAllowed */ false,
                settings.path("cancels").asBoolean(true), connectTimeoutMillis(),
                number(tree.path("rules"), "answer_slack_ms", 0), number(settings, "longest_pause_ms", 2000),
                /* sendsRetryAfter */ true, DRAIN_GRACE_MILLIS);
    }

    /** Returns a number of {@code /executors}. */
    public double executorSetting(String name, double defaultValue) {
        return number(tree.path("executors"), name, defaultValue);
    }

    /** Returns the folder of the ledger; null for none, in which case a restart loses all messages. */
    public Path ledgerFolder() {
        return tree.has("ledger") ? folder.resolve(tree.path("ledger").path("folder").asText()) : null;
    }

    /** Returns whether this front end has peers with which it replicates claims. */
    public boolean hasPeers() {
        return peers.isConfigured();
    }

    /** Returns the address on which peers are accepted. */
    public InetSocketAddress peersListenAddress() {
        return peers.listenAddress();
    }

    /** Returns the secret with which peers sign their messages. */
    public WebhookKey peerKey() {
        return peers.key();
    }

    /** Returns the addresses of all peers, including this front end. */
    public List<PeerClaims.Peer> peers() {
        return peers.peers();
    }

    /** Returns the sets of peers in force: the current one and, during a change, the previous one. */
    public List<FrontEndSet> peerSets() {
        return peers.peerSets();
    }

    /** Returns a number of {@code /ledger}. */
    public long ledgerSetting(String name, long defaultValue) {
        return tree.path("ledger").path(name).asLong(defaultValue);
    }

    /** Returns a number of {@code /limits}. */
    public long limitSetting(String name, long defaultValue) {
        return tree.path("limits").path(name).asLong(defaultValue);
    }

    /** Returns the timeout for connecting to an executor, in milliseconds. */
    public int connectTimeoutMillis() {
        return tree.path("executors").path("connect_timeout_ms").asInt(DEFAULT_CONNECT_TIMEOUT_MILLIS);
    }
}
