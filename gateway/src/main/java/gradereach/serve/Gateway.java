package gradereach.serve;

import gradereach.Policy;
import gradereach.api.Customer;
import gradereach.api.ModelGroup;
import gradereach.api.Router;
import gradereach.api.RouterActions;
import gradereach.claims.ClaimTable;
import gradereach.claims.PeerClaims;
import gradereach.claims.PeerServer;
import gradereach.counts.Counts;
import gradereach.counts.CountsSource;
import gradereach.counts.FailureText;
import gradereach.delivery.Outbox;
import gradereach.desk.ClaimService;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.Ledger;
import gradereach.desk.MessageStore;
import gradereach.flow.AnswerStream;
import gradereach.front.WebhookServer;
import gradereach.grpcfront.GrpcServer;
import gradereach.http2.Http2ConnectionPool;
import gradereach.inquiry.InquiryScheduler;
import gradereach.intake.Intake;
import gradereach.ledger.CompactionPlanner;
import gradereach.ledger.LedgerState;
import gradereach.ledger.disk.DiskLedger;
import gradereach.ledger.disk.LedgerClock;
import gradereach.ledger.disk.LedgerFolder;
import gradereach.link.HttpExecutorTransport;
import gradereach.loop.DecisionLoop;
import gradereach.loop.MonotonicClock;
import gradereach.loop.RetryingServerSocketChannel;
import gradereach.loop.StallDetector;
import gradereach.loop.StartRetry;
import gradereach.measures.ServiceMetrics;
import gradereach.members.Membership;
import gradereach.message.AnswerFormat;
import gradereach.plan.Deployment;
import gradereach.remotewrite.Pusher;
import gradereach.roster.EndpointSliceParser;
import gradereach.roster.RosterTracker;
import gradereach.roster.RosterWatch;
import gradereach.webhook.KeyRing;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One running front end: its listeners, its decision thread, its transport to executors and its roster. The components that
 * handle events are created before the first listener is opened, so that no event arrives before there is a component to
 * handle it.
 */
public final class Gateway implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final double MESSAGE_RETENTION_MILLIS = KeyRing.REPLAY_WINDOW_MILLIS;
    private static final int MAX_INQUIRIES_IN_FLIGHT = 32;
    private static final int UNARY_STREAM_WINDOW_BYTES = 1 << 20;
    /** Connections that peers may open to this front end, beside {@link #SPARE_PEER_CONNECTIONS} for all of them. */
    private static final int CONNECTIONS_PER_PEER = 4;
    private static final int SPARE_PEER_CONNECTIONS = 16;
    private static final int GRPC_WARM_UP_FORWARDS = 1000;

    private final Deployment deployment;
    private final Counts counts = new Counts();
    private final MonotonicClock clock = MonotonicClock.system();
    private final LedgerClock ledgerClock = new LedgerClock(clock::now, System::currentTimeMillis);
    private final EventLoopGroup boss = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup workers;
    private final StallDetector stallDetector = new StallDetector(clock::now);
    private final CompactionPlanner compactionPlanner;
    /** Null if the deployment has no ledger. */
    private final DiskLedger ledger;
    /** Null without peers. */
    private PeerClaims claims;
    private final PeerServer peerServer;
    private final DecisionLoop decisionLoop;
    private final Outbox outbox;
    private final Intake intake;
    private final WebhookServer webhookServer;
    /** Null without a gRPC listener. */
    private final GrpcServer grpcServer;
    private InetSocketAddress boundGrpcAddress;
    private final RosterWatch rosterWatch;
    private final ServiceMetrics serviceMetrics;
    /** Null if shares are fixed. */
    private Membership membership;
    private final Random membershipRandom;
    /** Null if no metrics are pushed. */
    private final Pusher pusher;
    private AdminServer adminServer;
    private volatile boolean rosterReceived;
    private volatile boolean stopping;

    /** Creates all components. Nothing is started before {@link #start} or {@link #listen}. */
    public Gateway(Deployment deployment, FaultInjection faults) {
        this.deployment = deployment;
        // Half the processors: signatures and codecs are cheap compared with the needs of executors on the same machine.
        workers = new MultiThreadIoEventLoopGroup(Math.max(2, Runtime.getRuntime().availableProcessors() / 2),
                NioIoHandler.newFactory());
        long seed = deployment.seed() != null ? deployment.seed() : new SecureRandom().nextLong();
        LOG.atInfo().addKeyValue("name", deployment.name()).addKeyValue("seed", seed).log("front end starts");
        Random seedGenerator = new Random(seed);
        List<String> customerNames = deployment.customers().stream().map(Customer::name).toList();
        serviceMetrics = new ServiceMetrics(deployment.groups().stream().map(ModelGroup::name).toList(),
                deployment.maxSeriesPerLabel(), System::currentTimeMillis);
        int streamsPerConnection = (int) deployment.executorSetting("streams", 100);
        Http2ConnectionPool.Limits poolLimits = new Http2ConnectionPool.Limits(
                (int) deployment.executorSetting("connections", 4), streamsPerConnection,
                deployment.connectTimeoutMillis(), deployment.executorSetting("idle_ms", 15_000),
                (int) deployment.executorSetting("longest_answer_bytes", 16 << 20), UNARY_STREAM_WINDOW_BYTES);
        Http2ConnectionPool.Limits streamingPoolLimits = new Http2ConnectionPool.Limits(poolLimits.maxConnections(),
                streamsPerConnection, poolLimits.connectTimeoutMillis(), poolLimits.idleTimeoutMillis(),
                poolLimits.maxResponseBytes(), (int) deployment.executorSetting("stream_window_bytes", 1 << 16));
        AnswerStream.Limits answerStreamLimits = new AnswerStream.Limits(deployment.limitSetting("parts_held_bytes", 256L << 20),
                (int) deployment.limitSetting("record_bytes", 1 << 16), deployment.limitSetting("records_bytes", 64L << 20),
                counts);
        compactionPlanner = new CompactionPlanner(MESSAGE_RETENTION_MILLIS, (int) deployment.ledgerSetting("open", 100_000));
        ledger = deployment.ledgerFolder() == null ? null : new DiskLedger(faults.disk(),
                new DiskLedger.Limits(deployment.ledgerSetting("segment_bytes", 64L << 20),
                        deployment.ledgerSetting("reserve_bytes", 256L << 20), (int) deployment.ledgerSetting("waiting", 65_536)),
                compactionPlanner, ledgerClock, callback -> submit(coordinator -> callback.run()), counts);
        decisionLoop = new DecisionLoop(deployment.name(), clock, (int) deployment.limitSetting("door", 8192), counts, timers -> {
            MessageStore messageStore = new MessageStore((int) deployment.limitSetting("remembered", 500_000),
                    deployment.limitSetting("remembered_bytes", 64L << 20), MESSAGE_RETENTION_MILLIS,
                    (int) deployment.limitSetting("ids", 5_000_000), new SecureRandom().nextLong());
            return new InferenceCoordinator(deployment.name(),
                    actions -> createRouter(actions, new Random(seedGenerator.nextLong()), faults.routerActions()),
                    faults.executorTransport().apply(new HttpExecutorTransport(deployment.name(), deployment.grpcExecutorKinds(),
                            workers, NioSocketChannel.class, poolLimits, streamingPoolLimits, answerStreamLimits, counts,
                            clock::now, this::submit)),
                    timers, new MetricsRecorder(new InferenceLog(customerNames), serviceMetrics, deployment.groups(),
                            customerNames, deployment.overQuotaValue()), clock, messageStore,
                    ledger == null ? Ledger.NONE : ledger, createClaimService(timers),
                    new InquiryScheduler(deployment.executorSetting("outcomes_kept_ms", 0), MAX_INQUIRIES_IN_FLIGHT,
                            (int) deployment.limitSetting("in_question", 10_000)), AnswerFormat.WEBHOOK,
                    new InferenceCoordinator.AdmissionLimits((int) deployment.limitSetting("held", 20_000),
                            (int) deployment.limitSetting("models", 200_000), (int) deployment.limitSetting("waiting_for_one", 8)),
                    deployment.loadingRules(), deployment.forwardRules(), deployment.coldStartRule(), customerNames, counts);
        });
        decisionLoop.setFailureListener(failure -> LOG.error("an event failed; other events are not affected", failure));
        peerServer = claims == null ? null : new PeerServer(claims,
                CONNECTIONS_PER_PEER * deployment.peers().size() + SPARE_PEER_CONNECTIONS, counts);
        outbox = new Outbox(customerNames, deployment.answerEndpoints(), deployment.answerKeys(), ledger == null ? Ledger.NONE : ledger,
                (int) deployment.limitSetting("outbox", 10_000), Outbox.newSchedulerThread(), clock::now,
                System::currentTimeMillis, counts);
        intake = new Intake(new KeyRing(deployment.customerKeys()), deployment.answerKeys(), deployment.modelCatalog(),
                decisionLoop, clock::now, stallDetector, System::currentTimeMillis, deployment.forwardRules().maxRetryAfter(),
                new Intake.InputFormats(true, !deployment.grpcExecutorKinds().isEmpty()), counts);
        webhookServer = new WebhookServer(intake, outbox,
                new WebhookServer.Limits((int) deployment.limitSetting("connections", 20_000),
                        (int) deployment.limitSetting("head_bytes", 16_384), (int) deployment.limitSetting("body_bytes", 1 << 20),
                        deployment.limitSetting("message_ms", 5000), deployment.limitSetting("idle_ms", 60_000),
                        (int) deployment.limitSetting("streams", 1000)), counts);
        grpcServer = deployment.grpcListenAddress() == null ? null : new GrpcServer(intake,
                new GrpcServer.Limits((int) deployment.grpcSetting("calls", 20_000), (int) deployment.limitSetting("streams", 1000),
                        (int) deployment.limitSetting("head_bytes", 16_384), (int) deployment.limitSetting("body_bytes", 1 << 20),
                        deployment.grpcSetting("stream_bytes", 64L << 20), deployment.grpcSetting("stalled_ms", 10_000),
                        deployment.limitSetting("idle_ms", 60_000), deployment.grpcSetting("age_ms", 1_800_000),
                        deployment.grpcSetting("age_grace_ms", 60_000)),
                this::acceptsInferences, counts);
        RosterTracker rosterTracker = new RosterTracker(new EndpointSliceParser(deployment.locations()), (updateKind, entries) -> {
            decisionLoop.post(coordinator -> {
                coordinator.onRosterUpdate(updateKind, entries);
                rosterReceived = true;
            });
            LOG.atInfo().addKeyValue("form", updateKind).addKeyValue("lines", entries.size()).log("roster");
        });
        pusher = deployment.remoteWriteReceiver() == null ? null : new Pusher(deployment.remoteWriteReceiver(),
                List.of(new CountsSource(counts, System.currentTimeMillis()), serviceMetrics), System::currentTimeMillis,
                new Random(seedGenerator.nextLong()));
        membershipRandom = new Random(seedGenerator.nextLong());
        // Without probes, the router would reject every inference once the roster has expired, so the roster never expires then:
        // an outdated one is better than none, as nothing in the gateway tells when a drain counts as announced.
        boolean probesAllowed = deployment.frontEndSettings().probesAllowed();
        rosterWatch = new RosterWatch(rosterTracker, deployment.name(), deployment.rosterServer(), deployment.rosterFile(), clock::now,
                (confirmedAt, validUntil) -> decisionLoop.post(coordinator ->
                        coordinator.onRosterConfirmed(confirmedAt, probesAllowed ? validUntil : Double.POSITIVE_INFINITY)),
                counts);
    }

    /** Creates the claim service for this front end and its peers, and sets {@link #claims} if there are peers. */
    private ClaimService createClaimService(gradereach.desk.Timers timers) {
        if (!deployment.hasPeers()) {
            return ClaimService.ALONE;
        }
        claims = new PeerClaims(deployment.name(), deployment.peers(), deployment.peerSets(), deployment.peerKey(), ledger,
                new ClaimTable((int) deployment.limitSetting("claims", 1_000_000), MESSAGE_RETENTION_MILLIS), timers, clock::now,
                System::currentTimeMillis, workers, NioSocketChannel.class, this::submit, counts);
        return claims;
    }

    /** Passes an event to the decision thread. */
    private void submit(java.util.function.Consumer<InferenceCoordinator> event) {
        decisionLoop.post(event);
    }

    /** Creates a router whose actions are decorated. */
    private Router createRouter(RouterActions actions, Random random, UnaryOperator<RouterActions> decorator) {
        return new Policy(decorator.apply(actions), random, deployment.frontEndSettings(), deployment.groups(),
                deployment.customers(), deployment.overQuotaValue(), deployment.coldStartRule(), deployment.loadOrderBudget(),
                deployment.loadingRules(), deployment.forwardRules());
    }

    /** Warms up, then starts to listen. Returns the address of the webhook server. */
    public InetSocketAddress start() throws IOException, InterruptedException {
        WarmUp.run(deployment.grpcListenAddress() != null);
        if (!deployment.grpcExecutorKinds().isEmpty()) {
            HttpExecutorTransport.warmUp(GRPC_WARM_UP_FORWARDS);
        }
        return listen();
    }

    /** Starts to listen without a warm-up, so that the first inferences are delayed by class loading. */
    public InetSocketAddress listen() throws IOException, InterruptedException {
        stallDetector.start();
        // Clients can connect before the ledger is read: messages that arrive meanwhile are queued instead of rejected.
        InetSocketAddress webhookAddress = withRetries("listen on " + deployment.listenAddress(),
                () -> webhookServer.listen(deployment.listenAddress(), boss, workers, RetryingServerSocketChannel.class));
        if (grpcServer != null) {
            boundGrpcAddress = withRetries("listen on " + deployment.grpcListenAddress(),
                    () -> grpcServer.listen(deployment.grpcListenAddress(), boss, workers, RetryingServerSocketChannel.class));
        }
        if (ledger != null) {
            recover();
        }
        decisionLoop.start();
        if (peerServer != null) {
            withRetries("listen on " + deployment.peersListenAddress(),
                    () -> peerServer.listen(deployment.peersListenAddress(), boss, workers, RetryingServerSocketChannel.class));
        }
        if (deployment.membership() != null) {
            membership = new Membership(deployment.membership(), membershipRandom, clock::now, () -> counts.value("inferences_taken"),
                    (fraction, validUntil) -> submit(coordinator -> coordinator.setShare(fraction, validUntil)), counts);
            // Until this front end holds seats, its share is 0.
            submit(coordinator -> coordinator.setShare(0, Double.POSITIVE_INFINITY));
            membership.start();
        }
        rosterWatch.start();
        if (pusher != null) {
            pusher.start();
        }
        if (deployment.adminAddress() != null) {
            adminServer = new AdminServer(deployment.adminAddress(), counts, () -> decisionLoop.fatalError() == null,
                    this::acceptsInferences, this::membershipView);
        }
        LOG.atInfo().addKeyValue("front", webhookAddress).addKeyValue("grpc", boundGrpcAddress)
                .addKeyValue("admin", adminServer == null ? "none" : adminServer.address()).log("front end is listening");
        return webhookAddress;
    }

    /** Runs a step of the start, and repeats it for some seconds while it fails with errors that may be temporary. */
    private <T> T withRetries(String action, Callable<T> step) throws IOException, InterruptedException {
        try {
            return StartRetry.run(step, () -> !stopping,
                    failure -> LOG.atWarn().log("cannot {}, retrying: {}", action, FailureText.describe(failure)));
        } catch (IOException | InterruptedException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    /** Returns whether this front end accepts inferences: it has a roster, is not stopping and its decision thread runs. */
    private boolean acceptsInferences() {
        return rosterReceived && !stopping && decisionLoop.fatalError() == null;
    }

    /** Reads the ledger and restores the state that it holds. */
    private void recover() throws IOException, InterruptedException {
        long startedAt = System.nanoTime();
        LedgerFolder folder = withRetries("open " + deployment.ledgerFolder(), () -> new LedgerFolder(deployment.ledgerFolder()));
        if (claims != null) {
            folder.checkAgainstKnownPosition(claims.queryPeersForPosition(folder.identity()));
        }
        LedgerState state = new LedgerState();
        state.markForgottenUpTo(folder.forgottenUpTo());
        state.markClaimsForgottenUpTo(folder.claimsForgottenUpTo());
        LedgerFolder.ReadResult result = LedgerFolder.read(deployment.ledgerFolder(), true, (record, segment) -> {
            state.apply(record);
            compactionPlanner.onRecordWritten(record, segment);
        });
        result.damage().forEach(damage -> LOG.error("ledger damaged: {}", damage));
        state.anomalies().forEach(anomaly -> LOG.error("ledger: {}", anomaly));
        ledgerClock.resume(deployment.ledgerFolder(), compactionPlanner.latestTimestamp());
        // Messages signed until then, in Unix seconds, may be missing from the ledger.
        long damagedUpToSeconds = result.damage().isEmpty() ? Long.MIN_VALUE
                : result.damagedAt() / 1000 + KeyRing.TOLERANCE_SECONDS;
        long suspectUpToSeconds = Math.max(damagedUpToSeconds, folder.suspectUpTo());
        state.markClaimsForgottenUpTo(suspectUpToSeconds);
        if (claims != null) {
            claims.recover(folder.identity(), result.nextSegment(), state, MESSAGE_RETENTION_MILLIS);
        }
        ledger.start(folder, result.nextSegment());
        decisionLoop.runBeforeStart(coordinator -> coordinator.recover(state, clock.now(), MESSAGE_RETENTION_MILLIS,
                deployment.groups(), suspectUpToSeconds, outbox::recoveredObserver));
        LOG.atInfo().addKeyValue("messages", state.size()).addKeyValue("records", result.recordCount())
                .addKeyValue("bytes", result.bytes()).addKeyValue("torn_bytes", result.tornBytes())
                .addKeyValue("damage", result.damage().size())
                .addKeyValue("took_ms", (System.nanoTime() - startedAt) / 1_000_000).log("ledger read");
    }

    /** Returns the bound address of the gRPC server, null without one. */
    public InetSocketAddress grpcAddress() {
        return boundGrpcAddress;
    }

    /** Returns the bound address of the admin server, null without one. */
    public InetSocketAddress adminAddress() {
        return adminServer == null ? null : adminServer.address();
    }

    /** Returns the current membership, null if shares are fixed. */
    public Membership.View membershipView() {
        return membership == null ? null : membership.view();
    }

    /** Returns how many samples were pushed, dropped or are pending; null if no metrics are pushed. */
    public Pusher.PushStatistics pushStatistics() {
        return pusher == null ? null : pusher.statistics();
    }

    /** Returns the counters and limits of this front end. */
    public Counts counts() {
        return counts;
    }

    /** Returns whether a roster has been received. */
    public boolean hasRoster() {
        return rosterReceived;
    }

    /** Stops accepting inferences, answers the open ones and closes. Returns whether all were answered in time. */
    public boolean stop() throws InterruptedException {
        if (stopping) {
            return true;
        }
        stopping = true;
        LOG.info("front end shuts down: no new inferences are accepted");
        webhookServer.stopAccepting();
        if (grpcServer != null) {
            grpcServer.stopAccepting();
        }
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deployment.limitSetting("drain_ms", 30_000));
        int unanswered = openInferenceCount();
        while (unanswered > 0 && System.nanoTime() < deadline) {
            Thread.sleep(10);
            unanswered = openInferenceCount();
        }
        // The event loops may still be writing the last answers.
        Thread.sleep(50);
        LOG.atInfo().addKeyValue("unanswered", unanswered).log("front end is closing");
        close();
        return unanswered == 0;
    }

    /** Returns the number of open inferences; 1 if the decision thread does not answer, 0 if it has died. */
    private int openInferenceCount() throws InterruptedException {
        java.util.concurrent.CompletableFuture<Integer> count = new java.util.concurrent.CompletableFuture<>();
        decisionLoop.post(coordinator -> count.complete(coordinator.openInferenceCount()));
        try {
            return count.get(1, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            return decisionLoop.fatalError() == null ? 1 : 0;
        }
    }

    @Override
    public void close() {
        stallDetector.close();
        if (membership != null) {
            membership.close();
        }
        if (pusher != null) {
            pusher.close();
        }
        rosterWatch.close();
        webhookServer.close();
        if (grpcServer != null) {
            grpcServer.close();
        }
        if (peerServer != null) {
            peerServer.close();
        }
        decisionLoop.close();
        if (ledger != null) {
            try {
                ledger.close();
            } catch (IOException e) {
                LOG.warn("ledger not closed: {}", FailureText.describe(e));
            }
        }
        outbox.close();
        if (adminServer != null) {
            adminServer.close();
        }
        boss.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        workers.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
}
