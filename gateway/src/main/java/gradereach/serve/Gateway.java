package gradereach.serve;

import gradereach.Policy;
import gradereach.api.Customer;
import gradereach.api.ModelGroup;
import gradereach.api.RouterActions;
import gradereach.api.Router;
import gradereach.claims.ClaimTable;
import gradereach.claims.PeerClaims;
import gradereach.claims.PeerServer;
import gradereach.counts.Counts;
import gradereach.counts.CountsSource;
import gradereach.counts.FailureText;
import gradereach.desk.ClaimService;
import gradereach.delivery.Outbox;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.Ledger;
import gradereach.ledger.CompactionPlanner;
import gradereach.ledger.LedgerState;
import gradereach.ledger.disk.DiskLedger;
import gradereach.ledger.disk.LedgerClock;
import gradereach.ledger.disk.LedgerFolder;
import gradereach.desk.MessageStore;
import gradereach.flow.AnswerStream;
import gradereach.front.WebhookServer;
import gradereach.grpcfront.GrpcServer;
import gradereach.http2.Http2ConnectionPool;
import gradereach.intake.Intake;
import gradereach.inquiry.InquiryScheduler;
import gradereach.link.HttpExecutorTransport;
import gradereach.loop.MonotonicClock;
import gradereach.loop.DecisionLoop;
import gradereach.loop.StallDetector;
import gradereach.loop.StartRetry;
import gradereach.loop.RetryingServerSocketChannel;
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
 * One running front end: its listeners, its decision thread, its transport to executors and its roster. Components are created
 * from the inside out, and the listeners that depend on others are started after them.
 */
public final class Gateway implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final double MESSAGE_RETENTION_MILLIS = KeyRing.REPLAY_WINDOW_MILLIS;

    private final Deployment deployment;
    private final Counts counts = new Counts();
    private final MonotonicClock clock = MonotonicClock.system();
    private final LedgerClock ledgerClock = new LedgerClock(clock::now, System::currentTimeMillis);
    private final EventLoopGroup boss = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup workers;
    private final StallDetector haltWatch = new StallDetector(clock::now);
    private final CompactionPlanner compactionPlanner;
    /** Null if the deployment has none. */
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
    private final ServiceMetrics service;
    /** Null if shares are fixed. */
    private Membership membership;
    private final Random membershipRandom;
    /** Null if no metrics are pushed. */
    private final Pusher pusher;
    private AdminServer adminServer;
    private volatile boolean rosterReceived;
    private volatile boolean stopping;

    public Gateway(Deployment plan, FaultInjection between) {
        this.deployment = plan;
        // Half the processors: signatures and codecs are cheap compared with the needs of executors on the same machine.
        workers = new MultiThreadIoEventLoopGroup(Math.max(2, Runtime.getRuntime().availableProcessors() / 2),
                NioIoHandler.newFactory());
        long seed = plan.seed() != null ? plan.seed() : new SecureRandom().nextLong();
        LOG.atInfo().addKeyValue("name", plan.name()).addKeyValue("seed", seed).log("front end starts");
        Random seeds = new Random(seed);
        List<String> names = plan.customers().stream().map(Customer::name).toList();
        service = new ServiceMetrics(plan.groups().stream().map(ModelGroup::name).toList(), plan.maxSeriesPerLabel(), System::currentTimeMillis);
        int streams = (int) plan.executorSetting("streams", 100);
        Http2ConnectionPool.Limits links = new Http2ConnectionPool.Limits((int) plan.executorSetting("connections", 4), streams,
                plan.connectTimeoutMillis(), plan.executorSetting("idle_ms", 15_000),
                (int) plan.executorSetting("longest_answer_bytes", 16 << 20), 1 << 20);
        Http2ConnectionPool.Limits openStreams = new Http2ConnectionPool.Limits(links.maxConnections(), streams, links.connectTimeoutMillis(), links.idleTimeoutMillis(),
                links.maxResponseBytes(), (int) plan.executorSetting("stream_window_bytes", 1 << 16));
        AnswerStream.Limits parts = new AnswerStream.Limits(plan.limitSetting("parts_held_bytes", 256L << 20),
                (int) plan.limitSetting("record_bytes", 1 << 16), plan.limitSetting("records_bytes", 64L << 20), counts);
        compactionPlanner = new CompactionPlanner(MESSAGE_RETENTION_MILLIS, (int) plan.ledgerSetting("open", 100_000));
        ledger = plan.ledgerFolder() == null ? null : new DiskLedger(between.disk(),
                new DiskLedger.Limits(plan.ledgerSetting("segment_bytes", 64L << 20), plan.ledgerSetting("reserve_bytes", 256L << 20),
                        (int) plan.ledgerSetting("waiting", 65_536)), compactionPlanner, ledgerClock,
                done -> submit(d -> done.run()), counts);
        decisionLoop = new DecisionLoop(plan.name(), clock, (int) plan.limitSetting("door", 8192), counts, timers -> {
            MessageStore memory = new MessageStore((int) plan.limitSetting("remembered", 500_000),
                    plan.limitSetting("remembered_bytes", 64L << 20), MESSAGE_RETENTION_MILLIS,
                    (int) plan.limitSetting("ids", 5_000_000), new SecureRandom().nextLong());
            return new InferenceCoordinator(plan.name(), outlet -> createRouter(outlet, new Random(seeds.nextLong()), between.routerActions()),
                    between.executorTransport().apply(new HttpExecutorTransport(plan.name(), plan.grpcMachineKinds(), workers, NioSocketChannel.class, links, openStreams, parts, counts,
                            clock::now, this::submit)),
                    timers, new MetricsRecorder(new InferenceLog(names), service, plan.groups(), names, plan.overQuotaValue()), clock, memory,
                    ledger == null ? Ledger.NONE : ledger, createPeerClaims(timers),
                    new InquiryScheduler(plan.executorSetting("outcomes_kept_ms", 0), 32, (int) plan.limitSetting("in_question", 10_000)), AnswerFormat.WEBHOOK,
                    new InferenceCoordinator.AdmissionLimits((int) plan.limitSetting("held", 20_000), (int) plan.limitSetting("models", 200_000),
                            (int) plan.limitSetting("waiting_for_one", 8)),
                    plan.loadingRules(), plan.forwardRules(), plan.coldStartRule(), names, counts);
        });
        decisionLoop.setFailureListener(failure -> LOG.error("an event failed; it costs itself alone", failure));
        peerServer = claims == null ? null : new PeerServer(claims, 4 * plan.peers().size() + 16, counts);
        outbox = new Outbox(names, plan.answerEndpoints(), plan.answerKeys(), ledger == null ? Ledger.NONE : ledger,
                (int) plan.limitSetting("outbox", 10_000), Outbox.newSchedulerThread(), clock::now,
                System::currentTimeMillis, counts);
        intake = new Intake(new KeyRing(plan.customerKeys()), plan.answerKeys(), plan.modelCatalog(), decisionLoop, clock::now, haltWatch,
                System::currentTimeMillis, plan.forwardRules().maxRetryAfter(),
                new Intake.InputFormats(true, !plan.grpcMachineKinds().isEmpty()), counts);
        webhookServer = new WebhookServer(intake, outbox,
                new WebhookServer.Limits((int) plan.limitSetting("connections", 20_000), (int) plan.limitSetting("head_bytes", 16_384),
                        (int) plan.limitSetting("body_bytes", 1 << 20), plan.limitSetting("message_ms", 5000),
                        plan.limitSetting("idle_ms", 60_000), (int) plan.limitSetting("streams", 1000)), counts);
        grpcServer = plan.grpcListenAddress() == null ? null : new GrpcServer(intake, new GrpcServer.Limits((int) plan.grpcSetting("calls", 20_000),
                (int) plan.limitSetting("streams", 1000), (int) plan.limitSetting("head_bytes", 16_384),
                (int) plan.limitSetting("body_bytes", 1 << 20), plan.grpcSetting("stream_bytes", 64L << 20), plan.grpcSetting("stalled_ms", 10_000),
                plan.limitSetting("idle_ms", 60_000), plan.grpcSetting("age_ms", 1_800_000), plan.grpcSetting("age_grace_ms", 60_000)),
                this::acceptsInferences, counts);
        RosterTracker book = new RosterTracker(new EndpointSliceParser(plan.locations()), (form, lines) -> {
            decisionLoop.post(d -> {
                d.onRosterUpdate(form, lines);
                rosterReceived = true;
            });
            LOG.atInfo().addKeyValue("form", form).addKeyValue("lines", lines.size()).log("roster");
        });
        pusher = plan.remoteWriteReceiver() == null ? null : new Pusher(plan.remoteWriteReceiver(),
                List.of(new CountsSource(counts, System.currentTimeMillis()), service), System::currentTimeMillis,
                new Random(seeds.nextLong()));
        membershipRandom = new Random(seeds.nextLong());
        // Without probes the roster never expires: an outdated one is better than none, as nothing here tells when a drain counts as
        // announced.
        boolean asks = plan.frontEndSettings().probesAllowed();
        rosterWatch = new RosterWatch(book, plan.name(), plan.rosterServer(), plan.rosterFile(), clock::now,
                (confirmedAt, until) -> decisionLoop.post(desk -> desk.onRosterConfirmed(confirmedAt, asks ? until : Double.POSITIVE_INFINITY)),
                counts);
    }

    private ClaimService createPeerClaims(gradereach.desk.Timers timers) {
        if (!deployment.hasPeers()) {
            return ClaimService.ALONE;
        }
        claims = new PeerClaims(deployment.name(), deployment.peers(), deployment.peerSets(), deployment.peerKey(), ledger,
                new ClaimTable((int) deployment.limitSetting("claims", 1_000_000), MESSAGE_RETENTION_MILLIS), timers, clock::now,
                System::currentTimeMillis, workers, NioSocketChannel.class, this::submit, counts);
        return claims;
    }

    private void submit(java.util.function.Consumer<InferenceCoordinator> event) {
        decisionLoop.post(event);
    }

    private Router createRouter(RouterActions outlet, Random chance, UnaryOperator<RouterActions> around) {
        return new Policy(around.apply(outlet), chance, deployment.frontEndSettings(), deployment.groups(), deployment.customers(),
                deployment.overQuotaValue(), deployment.coldStartRule(), deployment.loadOrderBudget(), deployment.loadingRules(), deployment.forwardRules());
    }

    /** Warms up, then starts to listen. Returns the address of the webhook server. */
    public InetSocketAddress start() throws IOException, InterruptedException {
        WarmUp.run(deployment.grpcListenAddress() != null);
        if (!deployment.grpcMachineKinds().isEmpty()) {
            HttpExecutorTransport.warmUp(1000);
        }
        return listen();
    }

    /** Starts to listen without a warm-up, so that the first inferences are delayed by class loading. */
    public InetSocketAddress listen() throws IOException, InterruptedException {
        haltWatch.start();
        // Listens first: messages that arrive while the ledger is read are queued instead of rejected.
        InetSocketAddress at = withRetries("listen on " + deployment.listenAddress(),
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
                    (part, until) -> submit(desk -> desk.share(part, until)), counts);
            // Until this front end holds seats, its share is 0.
            submit(desk -> desk.share(0, Double.POSITIVE_INFINITY));
            membership.start();
        }
        rosterWatch.start();
        if (pusher != null) {
            pusher.start();
        }
        if (deployment.adminAddress() != null) {
            adminServer = new AdminServer(deployment.adminAddress(), counts, () -> decisionLoop.fatalError() == null,
                    this::acceptsInferences, this::members);
        }
        LOG.atInfo().addKeyValue("front", at).addKeyValue("grpc", boundGrpcAddress).addKeyValue("admin", adminServer == null ? "none" : adminServer.address())
                .log("front end listens");
        return at;
    }

    private <T> T withRetries(String what, Callable<T> step) throws IOException, InterruptedException {
        try {
            return StartRetry.run(step, () -> !stopping,
                    failure -> LOG.atWarn().log("cannot {} yet: {}", what, FailureText.describe(failure)));
        } catch (IOException | InterruptedException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    private boolean acceptsInferences() {
        return rosterReceived && !stopping && decisionLoop.fatalError() == null;
    }

    private void recover() throws IOException, InterruptedException {
        long began = System.nanoTime();
        LedgerFolder folder = withRetries("open " + deployment.ledgerFolder(), () -> new LedgerFolder(deployment.ledgerFolder()));
        if (claims != null) {
            folder.checkAgainstKnownPosition(claims.queryPeersForPosition(folder.identity()));
        }
        LedgerState book = new LedgerState();
        book.markForgottenUpTo(folder.forgottenUpTo());
        book.markClaimsForgottenUpTo(folder.claimsForgottenUpTo());
        LedgerFolder.ReadResult found = LedgerFolder.read(deployment.ledgerFolder(), true, (record, segment) -> {
            book.apply(record);
            compactionPlanner.recordWritten(record, segment);
        });
        found.damage().forEach(damage -> LOG.error("ledger damaged, {}", damage));
        book.anomalies().forEach(line -> LOG.error("ledger: {}", line));
        ledgerClock.resume(deployment.ledgerFolder(), compactionPlanner.latestTimestamp());
        long damagedUpTo = found.damage().isEmpty() ? Long.MIN_VALUE
                : found.damagedAt() / 1000 + KeyRing.TOLERANCE_SECONDS;
        long suspect = Math.max(damagedUpTo, folder.suspectUpTo());
        book.markClaimsForgottenUpTo(suspect);
        if (claims != null) {
            claims.recover(folder.identity(), found.nextSegment(), book, MESSAGE_RETENTION_MILLIS);
        }
        ledger.start(folder, found.nextSegment());
        decisionLoop.runBeforeStart(desk -> desk.recover(book, clock.now(), MESSAGE_RETENTION_MILLIS, deployment.groups(), suspect, outbox::recoveredObserver));
        LOG.atInfo().addKeyValue("messages", book.size()).addKeyValue("records", found.recordCount())
                .addKeyValue("bytes", found.bytes()).addKeyValue("torn_bytes", found.tornBytes())
                .addKeyValue("damage", found.damage().size())
                .addKeyValue("took_ms", (System.nanoTime() - began) / 1_000_000).log("ledger read");
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
    public Membership.View members() {
        return membership == null ? null : membership.view();
    }

    /** Returns what became of the samples to push, null if no metrics are pushed. */
    public Pusher.PushStatistics pushTally() {
        return pusher == null ? null : pusher.statistics();
    }

    public Counts counts() {
        return counts;
    }

    /** Returns whether a roster has been received. */
    public boolean isReady() {
        return rosterReceived;
    }

    /** Stops accepting inferences, answers the open ones and closes. Returns whether all were answered in time. */
    public boolean stop() throws InterruptedException {
        if (stopping) {
            return true;
        }
        stopping = true;
        LOG.info("front end stops: nothing new is taken");
        webhookServer.stopAccepting();
        if (grpcServer != null) {
            grpcServer.stopAccepting();
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deployment.limitSetting("drain_ms", 30_000));
        int owed = openInferenceCount();
        while (owed > 0 && System.nanoTime() < until) {
            Thread.sleep(10);
            owed = openInferenceCount();
        }
        // The event loops may still be writing the last answers.
        Thread.sleep(50);
        LOG.atInfo().addKeyValue("unanswered", owed).log("front end ends");
        close();
        return owed == 0;
    }

    private int openInferenceCount() throws InterruptedException {
        java.util.concurrent.CompletableFuture<Integer> answer = new java.util.concurrent.CompletableFuture<>();
        decisionLoop.post(d -> answer.complete(d.openInferenceCount()));
        try {
            return answer.get(1, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            return decisionLoop.fatalError() == null ? 1 : 0;
        }
    }

    @Override
    public void close() {
        haltWatch.close();
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
