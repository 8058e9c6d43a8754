package gradereach.serve;

import gradereach.Policy;
import gradereach.api.Customer;
import gradereach.api.ModelGroup;
import gradereach.api.Outlet;
import gradereach.api.Router;
import gradereach.claims.KeeperBook;
import gradereach.claims.PeerClaims;
import gradereach.claims.PeerFront;
import gradereach.counts.Counts;
import gradereach.counts.CountsSource;
import gradereach.counts.FailureText;
import gradereach.desk.Claims;
import gradereach.delivery.Outbox;
import gradereach.desk.Desk;
import gradereach.desk.Ledger;
import gradereach.ledger.CarryBook;
import gradereach.ledger.LedgerBook;
import gradereach.ledger.disk.DiskLedger;
import gradereach.ledger.disk.LedgerClock;
import gradereach.ledger.disk.LedgerFolder;
import gradereach.desk.MessageMemory;
import gradereach.flow.PartFlow;
import gradereach.front.WebhookFront;
import gradereach.grpcfront.GrpcFront;
import gradereach.http2.Http2Pool;
import gradereach.intake.Intake;
import gradereach.inquiry.InquiryBook;
import gradereach.link.ExecutorLinks;
import gradereach.loop.Clock;
import gradereach.loop.DecisionLoop;
import gradereach.loop.HaltWatch;
import gradereach.loop.StartRetry;
import gradereach.loop.PatientServerChannel;
import gradereach.measures.Service;
import gradereach.members.Membership;
import gradereach.message.Wording;
import gradereach.plan.Deployment;
import gradereach.remotewrite.Pusher;
import gradereach.roster.EndpointSlices;
import gradereach.roster.RosterBook;
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
 * One front end as a running program: its listeners, its deciding thread, its links to executors, its roster. Parts
 * are made inward out and started outward last, so that nothing arrives before there is someone to decide on it.
 */
public final class Gateway implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
    private static final double REMEMBERED_FOR = KeyRing.REPLAYABLE_MILLIS;

    private final Deployment plan;
    private final Counts counts = new Counts();
    private final Clock clock = Clock.system();
    private final LedgerClock ledgerClock = new LedgerClock(clock::now, System::currentTimeMillis);
    private final EventLoopGroup boss = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup workers;
    private final HaltWatch halts = new HaltWatch(clock::now);
    private final CarryBook carry;
    /** Null for none. */
    private final DiskLedger ledger;
    /** Null without peers. */
    private PeerClaims claims;
    private final PeerFront peerFront;
    private final DecisionLoop loop;
    private final Outbox outbox;
    private final Intake intake;
    private final WebhookFront front;
    /** Null without one. */
    private final GrpcFront grpc;
    private InetSocketAddress grpcAt;
    private final RosterWatch roster;
    private final Service service;
    /** Null where shares are fixed. */
    private Membership membership;
    private final Random memberChance;
    /** Null where nothing is pushed. */
    private final Pusher pusher;
    private Admin admin;
    private volatile boolean rosterKnown;
    private volatile boolean stopping;

    public Gateway(Deployment plan, Between between) {
        this.plan = plan;
        // Half the processors: signatures and codecs are cheap beside what executors on the same machine may need.
        workers = new MultiThreadIoEventLoopGroup(Math.max(2, Runtime.getRuntime().availableProcessors() / 2),
                NioIoHandler.newFactory());
        long seed = plan.seed() != null ? plan.seed() : new SecureRandom().nextLong();
        LOG.atInfo().addKeyValue("name", plan.name()).addKeyValue("seed", seed).log("front end starts");
        Random seeds = new Random(seed);
        List<String> names = plan.customers().stream().map(Customer::name).toList();
        service = new Service(plan.groups().stream().map(ModelGroup::name).toList(), plan.seriesEach(), System::currentTimeMillis);
        int streams = (int) plan.executors("streams", 100);
        Http2Pool.Bounds links = new Http2Pool.Bounds((int) plan.executors("connections", 4), streams,
                plan.connectTimeoutMillis(), plan.executors("idle_ms", 15_000),
                (int) plan.executors("longest_answer_bytes", 16 << 20), 1 << 20);
        Http2Pool.Bounds openStreams = new Http2Pool.Bounds(links.connections(), streams, links.connectTimeout(), links.idle(),
                links.longestAnswer(), (int) plan.executors("stream_window_bytes", 1 << 16));
        PartFlow.Bounds parts = new PartFlow.Bounds(plan.limit("parts_held_bytes", 256L << 20),
                (int) plan.limit("record_bytes", 1 << 16), plan.limit("records_bytes", 64L << 20), counts);
        carry = new CarryBook(REMEMBERED_FOR, (int) plan.ledger("open", 100_000));
        ledger = plan.ledgerFolder() == null ? null : new DiskLedger(between.disk(),
                new DiskLedger.Bounds(plan.ledger("segment_bytes", 64L << 20), plan.ledger("reserve_bytes", 256L << 20),
                        (int) plan.ledger("waiting", 65_536)), carry, ledgerClock,
                done -> toDesk(d -> done.run()), counts);
        loop = new DecisionLoop(plan.name(), clock, (int) plan.limit("door", 8192), counts, timers -> {
            MessageMemory memory = new MessageMemory((int) plan.limit("remembered", 500_000),
                    plan.limit("remembered_bytes", 64L << 20), REMEMBERED_FOR,
                    (int) plan.limit("ids", 5_000_000), new SecureRandom().nextLong());
            return new Desk(plan.name(), outlet -> module(outlet, new Random(seeds.nextLong()), between.outlet()),
                    between.links().apply(new ExecutorLinks(plan.name(), plan.grpcKinds(), workers, NioSocketChannel.class, links, openStreams, parts, counts,
                            clock::now, this::toDesk)),
                    timers, new Measured(new LifeLog(names), service, plan.groups(), names, plan.surplusValue()), clock, memory,
                    ledger == null ? Ledger.NONE : ledger, peerClaims(timers),
                    new InquiryBook(plan.executors("outcomes_kept_ms", 0), 32, (int) plan.limit("in_question", 10_000)), Wording.WEBHOOK,
                    new Desk.Door((int) plan.limit("held", 20_000), (int) plan.limit("models", 200_000),
                            (int) plan.limit("waiting_for_one", 8)),
                    plan.loading(), plan.forwards(), plan.coldStart(), names, counts);
        });
        loop.onFailure(failure -> LOG.error("an event failed; it costs itself alone", failure));
        peerFront = claims == null ? null : new PeerFront(claims, 4 * plan.peers().size() + 16, counts);
        outbox = new Outbox(names, plan.answerEndpoints(), plan.answerKeys(), ledger == null ? Ledger.NONE : ledger,
                (int) plan.limit("outbox", 10_000), Outbox.thread(), clock::now,
                System::currentTimeMillis, counts);
        intake = new Intake(new KeyRing(plan.keys()), plan.answerKeys(), plan.catalogue(), loop, clock::now, halts,
                System::currentTimeMillis, plan.forwards().longestPause(),
                new Intake.Forms(true, !plan.grpcKinds().isEmpty()), counts);
        front = new WebhookFront(intake, outbox,
                new WebhookFront.Bounds((int) plan.limit("connections", 20_000), (int) plan.limit("head_bytes", 16_384),
                        (int) plan.limit("body_bytes", 1 << 20), plan.limit("message_ms", 5000),
                        plan.limit("idle_ms", 60_000), (int) plan.limit("streams", 1000)), counts);
        grpc = plan.grpcListen() == null ? null : new GrpcFront(intake, new GrpcFront.Bounds((int) plan.grpc("calls", 20_000),
                (int) plan.limit("streams", 1000), (int) plan.limit("head_bytes", 16_384),
                (int) plan.limit("body_bytes", 1 << 20), plan.grpc("stream_bytes", 64L << 20), plan.grpc("stalled_ms", 10_000),
                plan.limit("idle_ms", 60_000), plan.grpc("age_ms", 1_800_000), plan.grpc("age_grace_ms", 60_000)),
                this::takes, counts);
        RosterBook book = new RosterBook(new EndpointSlices(plan.locations()), (form, lines) -> {
            loop.pass(d -> {
                d.roster(form, lines);
                rosterKnown = true;
            });
            LOG.atInfo().addKeyValue("form", form).addKeyValue("lines", lines.size()).log("roster");
        });
        pusher = plan.remoteWrite() == null ? null : new Pusher(plan.remoteWrite(),
                List.of(new CountsSource(counts, System.currentTimeMillis()), service), System::currentTimeMillis,
                new Random(seeds.nextLong()));
        memberChance = new Random(seeds.nextLong());
        // Where executors cannot be asked, an old roster is better than none: nobody here tells when a drain counts as told.
        boolean asks = plan.tier().probes();
        roster = new RosterWatch(book, plan.name(), plan.rosterServer(), plan.rosterFile(), clock::now,
                (confirmedAt, until) -> loop.pass(desk -> desk.rosterValid(confirmedAt, asks ? until : Double.POSITIVE_INFINITY)),
                counts);
    }

    private Claims peerClaims(gradereach.desk.Timers timers) {
        if (!plan.hasPeers()) {
            return Claims.ALONE;
        }
        claims = new PeerClaims(plan.name(), plan.peers(), plan.peerLists(), plan.peersKey(), ledger,
                new KeeperBook((int) plan.limit("claims", 1_000_000), REMEMBERED_FOR), timers, clock::now,
                System::currentTimeMillis, workers, NioSocketChannel.class, this::toDesk, counts);
        return claims;
    }

    private void toDesk(java.util.function.Consumer<Desk> event) {
        loop.pass(event);
    }

    private Router module(Outlet outlet, Random chance, UnaryOperator<Outlet> around) {
        return new Policy(around.apply(outlet), chance, plan.tier(), plan.groups(), plan.customers(),
                plan.surplusValue(), plan.coldStart(), plan.loadRation(), plan.loading(), plan.forwards());
    }

    /** Warms up, then listens. Returns the address of the webhook front. */
    public InetSocketAddress start() throws IOException, InterruptedException {
        WarmUp.run(plan.grpcListen() != null);
        if (!plan.grpcKinds().isEmpty()) {
            ExecutorLinks.warmUp(1000);
        }
        return listen();
    }

    /** Listens at once: the first inferences of a process pay for loading its classes. */
    public InetSocketAddress listen() throws IOException, InterruptedException {
        halts.start();
        // Listens first: what comes while the ledger is read waits at the door and is not refused.
        InetSocketAddress at = patiently("listen on " + plan.listen(),
                () -> front.listen(plan.listen(), boss, workers, PatientServerChannel.class));
        if (grpc != null) {
            grpcAt = patiently("listen on " + plan.grpcListen(),
                    () -> grpc.listen(plan.grpcListen(), boss, workers, PatientServerChannel.class));
        }
        if (ledger != null) {
            recover();
        }
        loop.start();
        if (peerFront != null) {
            patiently("listen on " + plan.peersListen(),
                    () -> peerFront.listen(plan.peersListen(), boss, workers, PatientServerChannel.class));
        }
        if (plan.membership() != null) {
            membership = new Membership(plan.membership(), memberChance, clock::now, () -> counts.value("inferences_taken"),
                    (part, until) -> toDesk(desk -> desk.share(part, until)), counts);
            // Until seats are held nothing of what is shared is spent.
            toDesk(desk -> desk.share(0, Double.POSITIVE_INFINITY));
            membership.start();
        }
        roster.start();
        if (pusher != null) {
            pusher.start();
        }
        if (plan.admin() != null) {
            admin = new Admin(plan.admin(), counts, () -> loop.death() == null,
                    this::takes, this::members);
        }
        LOG.atInfo().addKeyValue("front", at).addKeyValue("grpc", grpcAt).addKeyValue("admin", admin == null ? "none" : admin.address())
                .log("front end listens");
        return at;
    }

    private <T> T patiently(String what, Callable<T> step) throws IOException, InterruptedException {
        try {
            return StartRetry.run(step, () -> !stopping,
                    failure -> LOG.atWarn().log("cannot {} yet: {}", what, FailureText.of(failure)));
        } catch (IOException | InterruptedException | RuntimeException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    private boolean takes() {
        return rosterKnown && !stopping && loop.death() == null;
    }

    private void recover() throws IOException, InterruptedException {
        long began = System.nanoTime();
        LedgerFolder folder = patiently("open " + plan.ledgerFolder(), () -> new LedgerFolder(plan.ledgerFolder()));
        if (claims != null) {
            folder.mustHaveReached(claims.positionKnownToPeers(folder.identity()));
        }
        LedgerBook book = new LedgerBook();
        book.forgotten(folder.forgottenUpTo());
        book.claimsForgotten(folder.claimsForgottenUpTo());
        LedgerFolder.Found found = LedgerFolder.read(plan.ledgerFolder(), true, (record, segment) -> {
            book.apply(record);
            carry.wrote(record, segment);
        });
        found.damage().forEach(damage -> LOG.error("ledger damaged, {}", damage));
        book.oddities().forEach(line -> LOG.error("ledger: {}", line));
        ledgerClock.set(plan.ledgerFolder(), carry.youngest());
        long damagedUpTo = found.damage().isEmpty() ? Long.MIN_VALUE
                : found.damagedAt() / 1000 + KeyRing.TOLERANCE_SECONDS;
        long suspect = Math.max(damagedUpTo, folder.suspectUpTo());
        book.claimsForgotten(suspect);
        if (claims != null) {
            claims.recover(folder.identity(), found.nextSegment(), book, REMEMBERED_FOR);
        }
        ledger.start(folder, found.nextSegment());
        loop.before(desk -> desk.recover(book, clock.now(), REMEMBERED_FOR, plan.groups(), suspect, outbox::owed));
        LOG.atInfo().addKeyValue("messages", book.size()).addKeyValue("records", found.records())
                .addKeyValue("bytes", found.bytes()).addKeyValue("torn_bytes", found.tornBytes())
                .addKeyValue("damage", found.damage().size())
                .addKeyValue("took_ms", (System.nanoTime() - began) / 1_000_000).log("ledger read");
    }

    /** Null without a gRPC listener. */
    public InetSocketAddress grpcAddress() {
        return grpcAt;
    }

    /** Null without an admin listener. */
    public InetSocketAddress adminAddress() {
        return admin == null ? null : admin.address();
    }

    /** Who is there; null where shares are fixed. */
    public Membership.View members() {
        return membership == null ? null : membership.view();
    }

    /** What became of samples that were pushed; null where none are. */
    public Pusher.Tally pushed() {
        return pusher == null ? null : pusher.tally();
    }

    public Counts counts() {
        return counts;
    }

    /** Whether the roster has been heard. */
    public boolean ready() {
        return rosterKnown;
    }

    /** Takes nothing new, answers what is held, then ends. Returns whether everything was answered. */
    public boolean stop() throws InterruptedException {
        if (stopping) {
            return true;
        }
        stopping = true;
        LOG.info("front end stops: nothing new is taken");
        front.stopTaking();
        if (grpc != null) {
            grpc.stopTaking();
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(plan.limit("drain_ms", 30_000));
        int owed = owed();
        while (owed > 0 && System.nanoTime() < until) {
            Thread.sleep(10);
            owed = owed();
        }
        // What was answered last is still on its way through the I/O threads.
        Thread.sleep(50);
        LOG.atInfo().addKeyValue("unanswered", owed).log("front end ends");
        close();
        return owed == 0;
    }

    private int owed() throws InterruptedException {
        java.util.concurrent.CompletableFuture<Integer> answer = new java.util.concurrent.CompletableFuture<>();
        loop.pass(d -> answer.complete(d.owed()));
        try {
            return answer.get(1, TimeUnit.SECONDS);
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            return loop.death() == null ? 1 : 0;
        }
    }

    @Override
    public void close() {
        halts.close();
        if (membership != null) {
            membership.close();
        }
        if (pusher != null) {
            pusher.close();
        }
        roster.close();
        front.close();
        if (grpc != null) {
            grpc.close();
        }
        if (peerFront != null) {
            peerFront.close();
        }
        loop.close();
        if (ledger != null) {
            try {
                ledger.close();
            } catch (IOException e) {
                LOG.warn("ledger not closed: {}", FailureText.of(e));
            }
        }
        outbox.close();
        if (admin != null) {
            admin.close();
        }
        boss.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS);
        workers.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
}
