package gradereach.claims;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.claims.ClaimCoordinator.ReplicaRequest;
import gradereach.claims.ClaimCoordinator.Round;
import gradereach.claims.ClaimTable.ClaimReply;
import gradereach.counts.Counts;
import gradereach.desk.IncomingMessage;
import gradereach.desk.ClaimService;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.Ledger;
import gradereach.desk.MessageIdentity;
import gradereach.desk.Timers;
import gradereach.http2.ExchangeListener;
import gradereach.http2.ExchangeListener.ExchangeResult;
import gradereach.http2.Http2ConnectionPool;
import gradereach.ledger.LedgerState;
import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.message.FinalAnswer;
import gradereach.webhook.KeyRing;
import gradereach.webhook.WebhookKey;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims among front ends over HTTP/2: {@code POST /v1/claims} to the keepers' peer listeners, each message a webhook
 * (Standard Webhooks) signed with the peers' shared key. All state is the deciding thread's; sockets only carry.
 */
public final class PeerClaims implements ClaimService {
    /** One front end as its peers reach it. */
    public record Peer(String name, InetSocketAddress peerAddress, InetSocketAddress clientAddress) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Http2ConnectionPool.Limits BOUNDS = new Http2ConnectionPool.Limits(2, 500, 250, 30_000, 16 << 20, 1 << 20);
    private static final Logger LOG = LoggerFactory.getLogger(PeerClaims.class);
    private static final String SIGNED_AT = "signed_at";
    private static final String POSITION = "position";
    /** A connection and a trip, or the connect time-out. */
    private static final long POSITION_TIMEOUT_MILLIS = 1000;
    private static final double FORWARDING_MARGIN_MILLIS = 20; // the answer still has to cross to the client

    private final String ownName;
    private final List<Long> digests;
    private final List<FrontEndSet> frontEndSets;
    private final WebhookKey key;
    private final KeyRing keyRing;
    private final Ledger ledger;
    private final ClaimTable claimTable;
    private final Timers timers;
    private final DoubleSupplier clock;
    private final LongSupplier unixMillis;
    private final Consumer<Consumer<InferenceCoordinator>> decisionThread;
    private final Map<String, Http2ConnectionPool> peerPools = new HashMap<>();
    private final Map<String, Http2ConnectionPool> clientPools = new HashMap<>();
    private final LongAdder won;
    private final LongAdder ownedByOthers;
    private final LongAdder unknown;
    private final LongAdder granted;
    private final LongAdder refused;
    private final LongAdder forwardedMessages;
    private final Counts.Limit storedClaims;
    private ClaimCoordinator coordinator;
    private String claimant;
    private long messagesSent;

    /** @param lists the lists in force; {@code copies} keepers for each message in each */
    public PeerClaims(String me, List<Peer> all, List<FrontEndSet> lists, WebhookKey key, Ledger ledger, ClaimTable book,
            Timers timers, DoubleSupplier clock, LongSupplier unixMillis, EventLoopGroup loops,
            Class<? extends Channel> channelType, Consumer<Consumer<InferenceCoordinator>> toDesk, Counts counts) {
        this.ownName = me;
        this.frontEndSets = lists;
        this.digests = lists.stream().map(FrontEndSet::digest).toList();
        this.key = key;
        this.keyRing = new KeyRing(List.of(List.of(key)));
        this.ledger = ledger;
        this.claimTable = book;
        this.timers = timers;
        this.clock = clock;
        this.unixMillis = unixMillis;
        this.decisionThread = toDesk;
        Http2ConnectionPool.Metrics tally = new Http2ConnectionPool.Metrics(counts, "peer");
        for (Peer peer : all) {
            if (!peer.name.equals(me)) {
                peerPools.put(peer.name, new Http2ConnectionPool(peer.peerAddress, loops.next(), channelType, BOUNDS, tally, clock));
                clientPools.put(peer.name, new Http2ConnectionPool(peer.clientAddress, loops.next(), channelType, BOUNDS, tally, clock));
            }
        }
        won = counts.counter("claims_won");
        ownedByOthers = counts.counter("claims_of_others");
        unknown = counts.counter("claims_unknown");
        granted = counts.counter("claims_granted");
        refused = counts.counter("claims_refused");
        forwardedMessages = counts.counter("messages_handed_on");
        storedClaims = counts.limit("claims_kept", Long.MAX_VALUE);
    }

    /**
     * Before the first moment: who this front end is, with its ledger, and what it keeps.
     *
     * @param life grows with every start
     */
    public void recover(String ledgerIdentity, long life, LedgerState ledgerBook, double keptFor) {
        claimant = ownName + "/" + ledgerIdentity;
        coordinator = new ClaimCoordinator(frontEndSets, life << 32);
        for (LedgerState.Claim claim : ledgerBook.claims()) {
            double now = clock.getAsDouble();
            double at = ledger.time().toMonotonic(claim.grantedAt());
            double until = (Double.isNaN(at) ? now : at) + keptFor;
            if (until > now) {
                claimTable.restore(claim.customer(), claim.id(), claim.claimant(), claim.signedAt(), until);
            } else {
                claimTable.markForgottenUpTo(claim.signedAt());
            }
        }
        claimTable.markForgottenUpTo(ledgerBook.claimsForgottenUpTo());
        ledgerBook.claimantPositions().forEach(claimTable::recordPosition);
    }

    // ---- as claimant -------------------------------------------------------------------------------------

    @Override
    public void claim(MessageIdentity message, double patience, ClaimCallback then) {
        List<ReplicaRequest> out = new ArrayList<>();
        Round round = coordinator.startRound(message, out);
        Runnable timeUp = () -> {
            List<ReplicaRequest> more = new ArrayList<>();
            boolean was = round.result() != null;
            coordinator.handleTimeout(round, more);
            send(more, round, then);
            if (!was) {
                reportResult(round, then);
            }
        };
        timers.schedule(clock.getAsDouble() + patience, timeUp);
        send(out, round, then);
    }

    private void reportResult(Round round, ClaimCallback then) {
        (round.result().status() == ClaimStatus.GRANTED ? won : round.result().status() == ClaimStatus.HELD_BY_OTHER ? ownedByOthers : unknown).increment();
        then.onResult(round.result());
    }

    private void handleReply(Round round, ClaimCallback then, String keeper, boolean yes, String holder) {
        List<ReplicaRequest> more = new ArrayList<>();
        boolean was = round.result() != null;
        coordinator.handleReply(round, keeper, yes, holder, more);
        send(more, round, then);
        if (!was && round.result() != null) {
            reportResult(round, then);
        }
    }

    private void send(List<ReplicaRequest> out, Round round, ClaimCallback then) {
        for (ReplicaRequest m : out) {
            if (m.replica().equals(ownName)) {
                handleAsReplica(m.release(), m.message(), new Claimant(claimant, ledger.position()), m.round(), word -> decisionThread.accept(desk -> handleReply(round, then, ownName, word.granted(), word.holder())));
                continue;
            }
            ObjectNode body = JSON.createObjectNode().put("claimant", claimant).put("release", m.release())
                    .put("customer", m.message().customer()).put("id", m.message().id()).put("round", m.round())
                    .put("digest_high", m.message().digestHigh()).put("digest_low", m.message().digestLow())
                    .put(SIGNED_AT, m.message().signedAt()).put(POSITION, ledger.position());
            digests.forEach(body.putArray("lists")::add);
            post(m.replica(), PeerServer.CLAIMS_PATH, body, (end, status, headers, answer) -> {
                if (m.release()) {
                    return;
                }
                boolean yes = end == ExchangeResult.ANSWERED && status == 200;
                String holder = end == ExchangeResult.ANSWERED && status == 409 ? holder(answer) : null;
                decisionThread.accept(desk -> handleReply(round, then, m.replica(), yes, holder));
            });
        }
    }

    private void post(String peer, String path, ObjectNode body, ExchangeListener then) {
        byte[] bytes;
        try {
            bytes = JSON.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        String messageId = "claim-" + ownName + "-" + messagesSent++;
        long at = unixMillis.getAsLong() / 1000;
        peerPools.get(peer).send("POST", path, bytes, then, "content-type", "application/json", "webhook-id", messageId,
                "webhook-timestamp", Long.toString(at), "webhook-signature", KeyRing.signatureHeader(List.of(key), messageId, at, bytes));
    }

    /**
     * Before the first moment: how far peers know this front end's ledger to have got. Those that cannot be asked now know
     * nothing, and neither do those of an earlier version.
     */
    public long queryPeersForPosition(String ledgerIdentity) throws InterruptedException {
        ObjectNode body = JSON.createObjectNode().put("claimant", ownName + "/" + ledgerIdentity);
        List<CompletableFuture<Long>> answers = new ArrayList<>();
        for (String peer : peerPools.keySet()) {
            CompletableFuture<Long> told = new CompletableFuture<>();
            answers.add(told);
            post(peer, PeerServer.POSITIONS_PATH, body, (end, status, headers, answer) -> told.complete(
                    end == ExchangeResult.ANSWERED && status == 200 ? position(answer) : LedgerPosition.UNKNOWN));
        }
        CompletableFuture<Void> all = CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]));
        try {
            all.get(POSITION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            LOG.atWarn().log("not all peers told in time how far this ledger had got");
        }
        return answers.stream().mapToLong(told -> told.getNow(LedgerPosition.UNKNOWN)).max().orElse(LedgerPosition.UNKNOWN);
    }

    private static long position(byte[] answer) {
        try {
            return JSON.readTree(answer).path(POSITION).asLong(LedgerPosition.UNKNOWN);
        } catch (IOException e) {
            return LedgerPosition.UNKNOWN;
        }
    }

    private static String holder(byte[] answer) {
        try {
            String holder = JSON.readTree(answer).path("holder").asText("");
            return holder.isEmpty() ? null : holder;
        } catch (IOException e) {
            return null;
        }
    }

    // ---- as keeper ---------------------------------------------------------------------------------------

    /** Whether a peer's message is signed by the shared key. Any thread. */
    boolean hasValidSignature(String id, String timestamp, String signature, byte[] body) {
        return keyRing.verify(id, timestamp, signature, body, unixMillis.getAsLong() / 1000, 0).rejection() == null;
    }

    /** A peer asks how far its ledger is known to have got; {@code reply} gets a body. From any thread. */
    void handlePositionQuery(JsonNode message, Consumer<String> reply) {
        decisionThread.accept(desk -> {
            long position = claimTable.lastKnownPosition(message.path("claimant").asText());
            reply.accept("{\"" + POSITION + "\":" + position + "}");
        });
    }

    /** A peer's claim or release; {@code reply} gets an HTTP status and a body. From any thread. */
    void handleRequest(JsonNode m, java.util.function.BiConsumer<Integer, String> reply) {
        boolean known = false;
        for (JsonNode digest : m.path("lists")) {
            known |= digests.contains(digest.asLong());
        }
        if (!known) {
            refused.increment();
            reply.accept(412, "{\"refused\":\"another list of front ends\"}");
            return;
        }
        MessageIdentity about = new MessageIdentity(m.path("customer").asText(), m.path("id").asText(),
                m.path("digest_high").asLong(), m.path("digest_low").asLong(),
                m.path(SIGNED_AT).asLong(MessageIdentity.SIGNED_AT_UNKNOWN));
        Claimant who = new Claimant(m.path("claimant").asText(), m.path(POSITION).asLong(LedgerPosition.UNKNOWN));
        decisionThread.accept(desk -> handleAsReplica(m.path("release").asBoolean(), about, who, m.path("round").asLong(), word -> {
                    if (word.granted()) {
                        reply.accept(200, "{}");
                    } else if (word.holder() != null) {
                        reply.accept(409, "{\"holder\":\"" + word.holder() + "\"}");
                    } else {
                        reply.accept(503, "{}");
                    }
                }));
    }

    /** A front end with its ledger, and how far that had got. */
    private record Claimant(String name, long position) { }

    private void handleAsReplica(boolean release, MessageIdentity about, Claimant who, long round, Consumer<ClaimReply> reply) {
        double now = clock.getAsDouble();
        claimTable.recordPosition(who.name, who.position);
        if (release) {
            claimTable.release(about.customer(), about.id(), who.name, round);
            reply.accept(new ClaimReply(true, null, false));
            return;
        }
        long signableUntil = unixMillis.getAsLong() / 1000 + LedgerRecord.SIGNED_TIMESTAMP_TOLERANCE_SECONDS;
        ClaimReply word = claimTable.claim(about, who.name, round, now, signableUntil);
        storedClaims.inUse(claimTable.size());
        if (!word.granted()) {
            refused.increment();
            reply.accept(word);
            return;
        }
        // Also where it was granted before: that record may still be on its way to the disk.
        ledger.append(new LedgerRecord.ClaimGranted(about.customer(), about.id(), ledger.time().fromMonotonic(now), about.digestHigh(),
                about.digestLow(), who.name, about.withDefaultSignedAt(signableUntil).signedAt(), who.position), durable -> {
                    if (durable) {
                        granted.increment();
                        reply.accept(word);
                    } else {
                        refused.increment();
                        reply.accept(new ClaimReply(false, null, false));
                    }
                });
    }

    // ---- handing on --------------------------------------------------------------------------------------

    private static final String HOLDER_UNREACHABLE = "another front end has it and cannot be asked; whether it ran is unknown";

    private static final String HELD_ELSEWHERE = "another front end has it; the same message is answered there: ";

    @Override
    public void relayToHolder(IncomingMessage arrival, String holder) {
        Http2ConnectionPool front = clientPools.get(holder.substring(0, Math.max(0, holder.indexOf('/'))));
        if (front == null) {
            // Of a list that is no longer in force, or of this very front end with a ledger that is gone.
            arrival.observer().onFinalAnswer(FinalAnswer.failed(arrival.id(), 504, HOLDER_UNREACHABLE, true));
            return;
        }
        IncomingMessage.SignedBody signed = arrival.signedBody();
        if (signed == null) {
            // Came by gRPC, and front ends hand on webhooks only: its client finds the holder by asking again.
            arrival.observer().onFinalAnswer(FinalAnswer.failed(arrival.id(), 504, HELD_ELSEWHERE + holder, true));
            return;
        }
        forwardedMessages.increment();
        Http2ConnectionPool.Request[] request = new Http2ConnectionPool.Request[1];
        request[0] = front.send("POST", "/v1/inferences", signed.body(), (end, status, headers, body) -> {
            FinalAnswer answer = end == ExchangeResult.ANSWERED && (status == 200 || status >= 500)
                    ? new FinalAnswer(status == 200 ? FinalAnswer.Kind.RETURNED : status == 503
                            ? FinalAnswer.Kind.SHED : FinalAnswer.Kind.FAILED, status, body, retryAfterMillis(headers), true)
                    : FinalAnswer.failed(arrival.id(), 504, HOLDER_UNREACHABLE, true);
            decisionThread.accept(desk -> arrival.observer().onFinalAnswer(answer));
        }, "content-type", "application/json", "webhook-id", arrival.id(), "webhook-timestamp",
                Long.toString(arrival.signedAt()), "webhook-signature", signed.signature());
        double budget = arrival.model().group().routeTimeout();
        budget = arrival.clientTimeout() > 0 ? Math.min(budget, arrival.clientTimeout()) : budget;
        timers.schedule(arrival.receivedAt() + budget - FORWARDING_MARGIN_MILLIS, (Runnable) () -> request[0].cancel());
    }

    private static double retryAfterMillis(io.netty.handler.codec.http2.Http2Headers headers) {
        CharSequence told = headers == null ? null : headers.get("retry-after");
        return told != null && told.toString().matches("\\d{1,5}") ? Integer.parseInt(told.toString()) * 1000d : 0;
    }
}
