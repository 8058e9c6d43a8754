package gradereach.claims;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.claims.ClaimCoordinator.ReplicaRequest;
import gradereach.claims.ClaimCoordinator.Round;
import gradereach.claims.ClaimTable.ClaimReply;
import gradereach.counts.Counts;
import gradereach.desk.ClaimService;
import gradereach.desk.IncomingMessage;
import gradereach.desk.InferenceCoordinator;
import gradereach.desk.Ledger;
import gradereach.desk.MessageIdentity;
import gradereach.desk.Timers;
import gradereach.http2.ExchangeListener;
import gradereach.http2.ExchangeListener.ExchangeResult;
import gradereach.http2.Http2ConnectionPool;
import gradereach.ledger.LedgerPosition;
import gradereach.ledger.LedgerRecord;
import gradereach.ledger.LedgerState;
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
 * Claims among front ends over HTTP/2: {@code POST /v1/claims} to the peer listeners of the replicas. Each request is a webhook
 * (Standard Webhooks) signed with the key that the peers share. All state belongs to the decision thread; I/O threads only pass
 * requests and replies on.
 */
public final class PeerClaims implements ClaimService {
    /**
     * The addresses of one front end.
     *
     * @param peerAddress its listener for peers
     * @param clientAddress its listener for clients
     */
    public record Peer(String name, InetSocketAddress peerAddress, InetSocketAddress clientAddress) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    /** Two connections of 500 streams; 250 ms to connect, 30 s idle at most; responses up to 16 MiB, stream windows of 1 MiB. */
    private static final Http2ConnectionPool.Limits POOL_LIMITS = new Http2ConnectionPool.Limits(2, 500, 250, 30_000, 16 << 20, 1 << 20);
    private static final Logger LOG = LoggerFactory.getLogger(PeerClaims.class);
    private static final String SIGNED_AT = "signed_at";
    private static final String POSITION = "position";
    /** Covers a connect and a round trip, or the connect timeout. */
    private static final long POSITION_TIMEOUT_MILLIS = 1000;
    private static final double RELAY_MARGIN_MILLIS = 20; // the answer still has to reach the client

    private final String ownName;
    private final List<Long> frontEndSetDigests;
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
    private final LongAdder claimsWon;
    private final LongAdder claimsHeldByOthers;
    private final LongAdder claimsUnknown;
    private final LongAdder claimsGranted;
    private final LongAdder claimsRefused;
    private final LongAdder relayedMessages;
    private final Counts.Limit storedClaims;
    private ClaimCoordinator coordinator;
    private String claimant;
    private long messagesSent;

    /**
     * @param frontEndSets the active sets of front ends, which determine the replicas of each claim
     * @param clock monotonic time in milliseconds
     * @param decisionThread runs an action on the decision thread
     */
    public PeerClaims(String ownName, List<Peer> peers, List<FrontEndSet> frontEndSets, WebhookKey key, Ledger ledger,
            ClaimTable claimTable, Timers timers, DoubleSupplier clock, LongSupplier unixMillis, EventLoopGroup loops,
            Class<? extends Channel> channelType, Consumer<Consumer<InferenceCoordinator>> decisionThread, Counts counts) {
        this.ownName = ownName;
        this.frontEndSets = frontEndSets;
        this.frontEndSetDigests = frontEndSets.stream().map(FrontEndSet::digest).toList();
        this.key = key;
        this.keyRing = new KeyRing(List.of(List.of(key)));
        this.ledger = ledger;
        this.claimTable = claimTable;
        this.timers = timers;
        this.clock = clock;
        this.unixMillis = unixMillis;
        this.decisionThread = decisionThread;
        Http2ConnectionPool.Metrics metrics = new Http2ConnectionPool.Metrics(counts, "peer");
        for (Peer peer : peers) {
            if (!peer.name.equals(ownName)) {
                peerPools.put(peer.name,
                        new Http2ConnectionPool(peer.peerAddress, loops.next(), channelType, POOL_LIMITS, metrics, clock));
                clientPools.put(peer.name,
                        new Http2ConnectionPool(peer.clientAddress, loops.next(), channelType, POOL_LIMITS, metrics, clock));
            }
        }
        claimsWon = counts.counter("claims_won");
        claimsHeldByOthers = counts.counter("claims_of_others");
        claimsUnknown = counts.counter("claims_unknown");
        claimsGranted = counts.counter("claims_granted");
        claimsRefused = counts.counter("claims_refused");
        relayedMessages = counts.counter("messages_handed_on");
        storedClaims = counts.limit("claims_kept", Long.MAX_VALUE);
    }

    /**
     * Restores the claims that this front end stores as a replica. Called once, before any claim.
     *
     * @param ledgerIdentity identity of this front end's ledger, part of its name as a claimant
     * @param run grows with every start of this front end
     * @param retention milliseconds for which claims are kept
     */
    public void recover(String ledgerIdentity, long run, LedgerState ledgerState, double retention) {
        claimant = ownName + "/" + ledgerIdentity;
        coordinator = new ClaimCoordinator(frontEndSets, run << 32); // 2^32 rounds for each run
        for (LedgerState.Claim claim : ledgerState.claims()) {
            double now = clock.getAsDouble();
            double grantedAt = ledger.time().toMonotonic(claim.grantedAt());
            double expiresAt = (Double.isNaN(grantedAt) ? now : grantedAt) + retention;
            if (expiresAt > now) {
                claimTable.restore(claim.customer(), claim.id(), claim.claimant(), claim.signedAt(), expiresAt);
            } else {
                claimTable.markForgottenUpTo(claim.signedAt());
            }
        }
        claimTable.markForgottenUpTo(ledgerState.claimsForgottenUpTo());
        ledgerState.claimantPositions().forEach(claimTable::recordPosition);
    }

    // ---- as claimant -------------------------------------------------------------------------------------

    @Override
    public void claim(MessageIdentity message, double timeout, ClaimCallback callback) {
        List<ReplicaRequest> requests = new ArrayList<>();
        Round round = coordinator.startRound(message, requests);
        Runnable onTimeout = () -> {
            List<ReplicaRequest> releases = new ArrayList<>();
            boolean wasDecided = round.result() != null;
            coordinator.handleTimeout(round, releases);
            send(releases, round, callback);
            if (!wasDecided) {
                reportResult(round, callback);
            }
        };
        timers.schedule(clock.getAsDouble() + timeout, onTimeout);
        send(requests, round, callback);
    }

    private void reportResult(Round round, ClaimCallback callback) {
        (round.result().status() == ClaimStatus.GRANTED ? claimsWon
                : round.result().status() == ClaimStatus.HELD_BY_OTHER ? claimsHeldByOthers : claimsUnknown).increment();
        callback.onResult(round.result());
    }

    private void handleReply(Round round, ClaimCallback callback, String replica, boolean replicaGranted, String holder) {
        List<ReplicaRequest> releases = new ArrayList<>();
        boolean wasDecided = round.result() != null;
        coordinator.handleReply(round, replica, replicaGranted, holder, releases);
        send(releases, round, callback);
        if (!wasDecided && round.result() != null) {
            reportResult(round, callback);
        }
    }

    private void send(List<ReplicaRequest> requests, Round round, ClaimCallback callback) {
        for (ReplicaRequest request : requests) {
            if (request.replica().equals(ownName)) {
                handleAsReplica(request.isRelease(), request.message(), new Claimant(claimant, ledger.position()),
                        request.round(), reply -> decisionThread.accept(
                                inferenceCoordinator -> handleReply(round, callback, ownName, reply.granted(), reply.holder())));
                continue;
            }
            ObjectNode body = JSON.createObjectNode().put("claimant", claimant).put("release", request.isRelease())
                    .put("customer", request.message().customer()).put("id", request.message().id()).put("round", request.round())
                    .put("digest_high", request.message().digestHigh()).put("digest_low", request.message().digestLow())
                    .put(SIGNED_AT, request.message().signedAt()).put(POSITION, ledger.position());
            frontEndSetDigests.forEach(body.putArray("lists")::add);
            post(request.replica(), PeerServer.CLAIMS_PATH, body, (result, status, headers, replyBody) -> {
                if (request.isRelease()) {
                    return;
                }
                boolean replicaGranted = result == ExchangeResult.ANSWERED && status == 200;
                String holder = result == ExchangeResult.ANSWERED && status == 409 ? holder(replyBody) : null;
                decisionThread.accept(
                        inferenceCoordinator -> handleReply(round, callback, request.replica(), replicaGranted, holder));
            });
        }
    }

    private void post(String peer, String path, ObjectNode body, ExchangeListener listener) {
        byte[] bytes;
        try {
            bytes = JSON.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        String messageId = "claim-" + ownName + "-" + messagesSent++;
        long timestamp = unixMillis.getAsLong() / 1000;
        peerPools.get(peer).send("POST", path, bytes, listener, "content-type", "application/json", "webhook-id", messageId,
                "webhook-timestamp", Long.toString(timestamp), "webhook-signature",
                KeyRing.signatureHeader(List.of(key), messageId, timestamp, bytes));
    }

    /**
     * Asks the peers for the last position of this front end's ledger that they know of, and waits for their replies. Called once,
     * before recovery. Peers that cannot be reached and peers of an earlier version count as knowing nothing.
     */
    public long queryPeersForPosition(String ledgerIdentity) throws InterruptedException {
        ObjectNode body = JSON.createObjectNode().put("claimant", ownName + "/" + ledgerIdentity);
        List<CompletableFuture<Long>> positions = new ArrayList<>();
        for (String peer : peerPools.keySet()) {
            CompletableFuture<Long> reported = new CompletableFuture<>();
            positions.add(reported);
            post(peer, PeerServer.POSITIONS_PATH, body, (result, status, headers, replyBody) -> reported.complete(
                    result == ExchangeResult.ANSWERED && status == 200 ? position(replyBody) : LedgerPosition.UNKNOWN));
        }
        CompletableFuture<Void> allReplies = CompletableFuture.allOf(positions.toArray(new CompletableFuture<?>[0]));
        try {
            allReplies.get(POSITION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException e) {
            LOG.atWarn().log("not all peers reported the last known position of this ledger in time");
        }
        return positions.stream().mapToLong(reported -> reported.getNow(LedgerPosition.UNKNOWN)).max().orElse(LedgerPosition.UNKNOWN);
    }

    private static long position(byte[] replyBody) {
        try {
            return JSON.readTree(replyBody).path(POSITION).asLong(LedgerPosition.UNKNOWN);
        } catch (IOException e) {
            return LedgerPosition.UNKNOWN;
        }
    }

    private static String holder(byte[] replyBody) {
        try {
            String holder = JSON.readTree(replyBody).path("holder").asText("");
            return holder.isEmpty() ? null : holder;
        } catch (IOException e) {
            return null;
        }
    }

    // ---- as replica --------------------------------------------------------------------------------------

    /** Whether a peer's request is signed with the shared key. Called from any thread. */
    boolean hasValidSignature(String id, String timestamp, String signature, byte[] body) {
        return keyRing.verify(id, timestamp, signature, body, unixMillis.getAsLong() / 1000, 0).rejection() == null;
    }

    /** Handles a peer's query for the last known position of its ledger; {@code reply} gets the body. Called from any thread. */
    void handlePositionQuery(JsonNode request, Consumer<String> reply) {
        decisionThread.accept(inferenceCoordinator -> {
            long position = claimTable.lastKnownPosition(request.path("claimant").asText());
            reply.accept("{\"" + POSITION + "\":" + position + "}");
        });
    }

    /** Handles a peer's claim or release; {@code reply} gets the HTTP status and the body. Called from any thread. */
    void handleRequest(JsonNode request, java.util.function.BiConsumer<Integer, String> reply) {
        boolean hasCommonSet = false;
        for (JsonNode digest : request.path("lists")) {
            hasCommonSet |= frontEndSetDigests.contains(digest.asLong());
        }
        if (!hasCommonSet) {
            claimsRefused.increment();
            reply.accept(412, "{\"refused\":\"another list of front ends\"}");
            return;
        }
        MessageIdentity message = new MessageIdentity(request.path("customer").asText(), request.path("id").asText(),
                request.path("digest_high").asLong(), request.path("digest_low").asLong(),
                request.path(SIGNED_AT).asLong(MessageIdentity.SIGNED_AT_UNKNOWN));
        Claimant requester = new Claimant(request.path("claimant").asText(), request.path(POSITION).asLong(LedgerPosition.UNKNOWN));
        decisionThread.accept(inferenceCoordinator -> handleAsReplica(request.path("release").asBoolean(), message, requester,
                request.path("round").asLong(), claimReply -> {
                    if (claimReply.granted()) {
                        reply.accept(200, "{}");
                    } else if (claimReply.holder() != null) {
                        reply.accept(409, "{\"holder\":\"" + claimReply.holder() + "\"}");
                    } else {
                        reply.accept(503, "{}");
                    }
                }));
    }

    /**
     * The front end, with its ledger, that sent a request.
     *
     * @param position position of that ledger ({@link LedgerPosition})
     */
    private record Claimant(String name, long position) { }

    private void handleAsReplica(boolean isRelease, MessageIdentity message, Claimant requester, long round,
            Consumer<ClaimReply> reply) {
        double now = clock.getAsDouble();
        claimTable.recordPosition(requester.name, requester.position);
        if (isRelease) {
            claimTable.release(message.customer(), message.id(), requester.name, round);
            reply.accept(new ClaimReply(true, null, false));
            return;
        }
        long latestSignedAt = unixMillis.getAsLong() / 1000 + LedgerRecord.SIGNED_TIMESTAMP_TOLERANCE_SECONDS;
        ClaimReply claimReply = claimTable.claim(message, requester.name, round, now, latestSignedAt);
        storedClaims.setInUse(claimTable.size());
        if (!claimReply.granted()) {
            claimsRefused.increment();
            reply.accept(claimReply);
            return;
        }
        // A claim that was granted before is recorded again, since its record may not be durable yet.
        ledger.append(new LedgerRecord.ClaimGranted(message.customer(), message.id(), ledger.time().fromMonotonic(now),
                message.digestHigh(), message.digestLow(), requester.name, message.withDefaultSignedAt(latestSignedAt).signedAt(),
                requester.position), durable -> {
                    if (durable) {
                        claimsGranted.increment();
                        reply.accept(claimReply);
                    } else {
                        claimsRefused.increment();
                        reply.accept(new ClaimReply(false, null, false));
                    }
                });
    }

    // ---- relaying to the holder --------------------------------------------------------------------------

    private static final String HOLDER_UNREACHABLE = "another front end has it and cannot be asked; whether it ran is unknown";

    private static final String HELD_ELSEWHERE = "another front end has it; the same message is answered there: ";

    @Override
    public void relayToHolder(IncomingMessage message, String holder) {
        Http2ConnectionPool holderPool = clientPools.get(holder.substring(0, Math.max(0, holder.indexOf('/'))));
        if (holderPool == null) {
            // The holder belongs to a front end set that is no longer active, or is this front end with a lost ledger.
            message.observer().onFinalAnswer(FinalAnswer.failed(message.id(), 504, HOLDER_UNREACHABLE, true));
            return;
        }
        IncomingMessage.SignedBody signedBody = message.signedBody();
        if (signedBody == null) {
            // Only webhooks are relayed. This message came by gRPC; its client reaches the holder by repeating the message.
            message.observer().onFinalAnswer(FinalAnswer.failed(message.id(), 504, HELD_ELSEWHERE + holder, true));
            return;
        }
        relayedMessages.increment();
        Http2ConnectionPool.Request[] request = new Http2ConnectionPool.Request[1];
        request[0] = holderPool.send("POST", "/v1/inferences", signedBody.body(), (result, status, headers, body) -> {
            FinalAnswer answer = result == ExchangeResult.ANSWERED && (status == 200 || status >= 500)
                    ? new FinalAnswer(status == 200 ? FinalAnswer.Kind.RETURNED : status == 503
                            ? FinalAnswer.Kind.SHED : FinalAnswer.Kind.FAILED, status, body, retryAfterMillis(headers), true)
                    : FinalAnswer.failed(message.id(), 504, HOLDER_UNREACHABLE, true);
            decisionThread.accept(inferenceCoordinator -> message.observer().onFinalAnswer(answer));
        }, "content-type", "application/json", "webhook-id", message.id(), "webhook-timestamp",
                Long.toString(message.signedAt()), "webhook-signature", signedBody.signature());
        double timeout = message.model().group().routeTimeout();
        timeout = message.clientTimeout() > 0 ? Math.min(timeout, message.clientTimeout()) : timeout;
        timers.schedule(message.receivedAt() + timeout - RELAY_MARGIN_MILLIS, (Runnable) () -> request[0].cancel());
    }

    private static double retryAfterMillis(io.netty.handler.codec.http2.Http2Headers headers) {
        CharSequence seconds = headers == null ? null : headers.get("retry-after");
        return seconds != null && seconds.toString().matches("\\d{1,5}") ? Integer.parseInt(seconds.toString()) * 1000d : 0;
    }
}
