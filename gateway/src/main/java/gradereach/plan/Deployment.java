package gradereach.plan;

import static gradereach.plan.DeploymentJson.address;
import static gradereach.plan.DeploymentJson.number;
import static gradereach.plan.DeploymentJson.port;
import static gradereach.plan.DeploymentJson.strings;

import com.fasterxml.jackson.databind.JsonNode;
import gradereach.api.ColdStartRule;
import gradereach.api.Customer;
import gradereach.api.ForwardRules;
import gradereach.api.LoadOrderBudget;
import gradereach.api.LoadingRules;
import gradereach.api.ModelGroup;
import gradereach.api.FrontEndSettings;
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
 * A deployment file, read and checked once at start: JSON by the schema {@code deployment.schema.json}, then by what a
 * schema cannot say. Gives each part its own few values and is then let go of.
 */
public final class Deployment {
    private static final int MAX_PORT = 65_535;
    private static final int DEFAULT_CONNECT_TIMEOUT_MILLIS = 250;
    private static final int DEFAULT_MAX_SERIES_PER_LABEL = 50;
    /** Milliseconds for which an answer as ready holds where the roster is out of reach: the shortest of the operators'. */
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

    /** @throws BadPlan with every error found, each naming its path in the file */
    public static Deployment read(Path file) throws InvalidDeploymentException {
        return of(DeploymentJson.parse(file), file.toAbsolutePath().getParent());
    }

    /** @param folder paths in the file start here */
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
        JsonNode tier = tree.path("tier");
        String location = tier.path("location").asText("");
        if (!location.isEmpty() && !locations().contains(location)) {
            errors.add("/tier/location: not among /tier/locations");
        }
        if (tier.path("me").asInt(0) >= tier.path("front_ends").asInt(1)) {
            errors.add("/tier/me: not below /tier/front_ends");
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

    /** The front end's name, by which its peers and its measures know it. */
    public String name() {
        return tree.path("name").asText();
    }

    /** Where clients' webhooks are listened for. */
    public InetSocketAddress listenAddress() {
        return address(tree.path("listen").asText());
    }

    /** Kinds of executors, by the roster's numbers, that take inferences by gRPC. */
    public Set<Integer> grpcMachineKinds() {
        Set<Integer> kinds = new HashSet<>();
        tree.path("executors").path("grpc_kinds").forEach(kind -> kinds.add(kind.asInt()));
        return kinds;
    }

    /** Where clients' gRPC calls are listened for; null for nowhere. */
    public InetSocketAddress grpcListenAddress() {
        return tree.has("grpc") ? address(tree.path("grpc").path("listen").asText()) : null;
    }

    /** One of {@code /grpc}'s numbers. */
    public long grpcSetting(String name, long defaultValue) {
        return tree.path("grpc").path(name).asLong(defaultValue);
    }

    /** How shares follow who is there; null where they are fixed by the number of front ends. */
    public Membership.Config membership() {
        return membership.config();
    }

    /** Share of the value asked for that is to be returned in time, by model group. */
    public Map<String, Double> objectives() {
        return models.objectives();
    }

    /** The longest usual load time of any model, milliseconds. */
    public double maxLoadMillis() {
        return models.maxLoadMillis();
    }

    /** Customers, and models, that have series of their own; the rest share one. */
    public int maxSeriesPerLabel() {
        return tree.path("metrics").path("series_each").asInt(DEFAULT_MAX_SERIES_PER_LABEL);
    }

    /** Where measures are pushed to, null for nowhere. */
    public Pusher.Receiver remoteWriteReceiver() {
        JsonNode settings = tree.path("metrics").path("remote_write");
        return settings.isMissingNode() ? null : RemoteWriteSettings.receiver(settings, name());
    }

    /** Where health and metrics are asked for; null for nowhere. */
    public InetSocketAddress adminAddress() {
        return tree.has("admin") ? address(tree.path("admin").asText()) : null;
    }

    /** Null where the roster is a file. */
    public URI rosterServer() {
        return tree.path("roster").has("server") ? URI.create(tree.path("roster").path("server").asText()) : null;
    }

    /** Null where the roster is a server. */
    public Path rosterFile() {
        return tree.path("roster").has("file") ? folder.resolve(tree.path("roster").path("file").asText()) : null;
    }

    /** Names of the places that front ends and executors are in. */
    public List<String> locations() {
        return strings(tree.path("tier").path("locations"));
    }

    /** The front ends of the deployment, and which of them this one is. */
    public FrontEndSettings frontEndSettings() {
        JsonNode tier = tree.path("tier");
        return new FrontEndSettings(tier.path("me").asInt(0), tier.path("front_ends").asInt(1),
                Math.max(0, locations().indexOf(tier.path("location").asText(""))), false,
                tree.path("forwards").path("probes").asBoolean(true), false, 0, 0, number(tier, "tick_ms", 4));
    }

    /** The seed of the random choices; null to draw one. */
    public Long seed() {
        return tree.path("tier").has("seed") ? tree.path("tier").path("seed").asLong() : null;
    }

    /** The model groups in the file's order. */
    public List<ModelGroup> groups() {
        return models.groups();
    }

    /** The customers in the file's order; other lists of customers are by their index in this one. */
    public List<Customer> customers() {
        return customers.customers();
    }

    /** Value of what is beyond a customer's quota, from 0 to 1. */
    public double overQuotaValue() {
        return number(tree, "surplus_value", 1);
    }

    /** The keys that each customer may sign with, by customer index. */
    public List<List<WebhookKey>> customerKeys() {
        return customers.customerKeys();
    }

    /** What answers to each customer are signed with: its own shared secrets, or the deployment's private key. */
    public List<List<WebhookKey>> answerKeys() {
        return customers.answerKeys();
    }

    /** Where answers are delivered to, by customer index; null for nowhere. */
    public List<String> answerEndpoints() {
        return customers.answerEndpoints();
    }

    /** The models that may be asked for. */
    public ModelCatalog modelCatalog() {
        return models.modelCatalog();
    }

    /** What may be sent to an executor that has just started. */
    public ColdStartRule coldStartRule() {
        JsonNode rule = tree.path("rules").path("cold_start");
        return new ColdStartRule(number(rule, "start_share", 1), number(rule, "warm_within_ms", 0),
                number(rule, "fall_multiple", 0), number(rule, "fall_ms", 0));
    }

    /** How many loads may be ordered. */
    public LoadOrderBudget loadOrderBudget() {
        JsonNode ration = tree.path("rules").path("load_ration");
        return new LoadOrderBudget(number(ration, "free", 0), number(ration, "share", 0), number(ration, "span_ms", 0));
    }

    /** How executors load models and keep them. */
    public LoadingRules loadingRules() {
        JsonNode loading = tree.path("loading");
        return new LoadingRules(loading.path("orders").asBoolean(true), loading.path("loads_by_itself").asBoolean(false),
                number(loading, "keeps_idle_ms", 10_000), number(loading, "order_timeout_ms", 10_000), 0, List.of());
    }

    /** How often, and for how long, an inference is forwarded. */
    public ForwardRules forwardRules() {
        JsonNode forwards = tree.path("forwards");
        return new ForwardRules(forwards.path("most").asInt(5), false, forwards.path("cancels").asBoolean(true),
                connectTimeoutMillis(), number(tree.path("rules"), "answer_slack_ms", 0),
                number(forwards, "longest_pause_ms", 2000), true, DRAIN_GRACE_MILLIS);
    }

    /** One of {@code /executors}'s numbers. */
    public double executorSetting(String name, double defaultValue) {
        return number(tree.path("executors"), name, defaultValue);
    }

    /** Where the ledger lies, null for none: then a restart forgets. */
    public Path ledgerFolder() {
        return tree.has("ledger") ? folder.resolve(tree.path("ledger").path("folder").asText()) : null;
    }

    /** Whether this front end has peers that keep claims. */
    public boolean hasPeers() {
        return peers.isConfigured();
    }

    /** Where peers are listened for. */
    public InetSocketAddress peersListenAddress() {
        return peers.listenAddress();
    }

    /** The secret that peers sign with. */
    public WebhookKey peerKey() {
        return peers.key();
    }

    /** Every peer's addresses, this front end's among them. */
    public List<PeerClaims.Peer> peers() {
        return peers.peers();
    }

    /** The lists in force: the present one, and the one before it while it is being changed. */
    public List<FrontEndSet> peerSets() {
        return peers.peerSets();
    }

    /** One of {@code /ledger}'s numbers. */
    public long ledgerSetting(String name, long defaultValue) {
        return tree.path("ledger").path(name).asLong(defaultValue);
    }

    /** One of {@code /limits}' numbers. */
    public long limitSetting(String name, long defaultValue) {
        return tree.path("limits").path(name).asLong(defaultValue);
    }

    /** Milliseconds for which a connection to an executor may take to be made. */
    public int connectTimeoutMillis() {
        return tree.path("executors").path("connect_timeout_ms").asInt(DEFAULT_CONNECT_TIMEOUT_MILLIS);
    }
}
