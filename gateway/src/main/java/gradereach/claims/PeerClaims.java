package gradereach.claims;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gradereach.claims.ClaimRounds.Message;
import gradereach.claims.ClaimRounds.Round;
import gradereach.claims.KeeperBook.Word;
import gradereach.counts.Counts;
import gradereach.desk.Arrival;
import gradereach.desk.Claims;
import gradereach.desk.Desk;
import gradereach.desk.Ledger;
import gradereach.desk.MessageIdentity;
import gradereach.desk.Timers;
import gradereach.http2.Exchange;
import gradereach.http2.Exchange.End;
import gradereach.http2.Http2Pool;
import gradereach.ledger.LedgerBook;
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
public final class PeerClaims implements Claims {
    /** One front end as its peers reach it. */
    public record Peer(String name, InetSocketAddress peers, InetSocketAddress front) { }

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Http2Pool.Bounds BOUNDS = new Http2Pool.Bounds(2, 500, 250, 30_000, 16 << 20, 1 << 20);
    private static final Logger LOG = LoggerFactory.getLogger(PeerClaims.class);
    private static final String SIGNED_AT = "signed_at";
    private static final String POSITION = "position";
    /** A connection and a trip, or the connect time-out. */
    private static final long POSITION_PATIENCE_MILLIS = 1000;
    private static final double HAND_ON_EARLY = 20; // the answer still has to cross to the client

    private final String me;
    private final List<Long> digests;
    private final List<Members> lists;
    private final WebhookKey key;
    private final KeyRing ring;
    private final Ledger ledger;
    private final KeeperBook book;
    private final Timers timers;
    private final DoubleSupplier clock;
    private final LongSupplier unixMillis;
    private final Consumer<Consumer<Desk>> toDesk;
    private final Map<String, Http2Pool> peers = new HashMap<>();
    private final Map<String, Http2Pool> fronts = new HashMap<>();
    private final LongAdder won;
    private final LongAdder others;
    private final LongAdder unknown;
    private final LongAdder granted;
    private final LongAdder refused;
    private final LongAdder handedOn;
    private final Counts.Limit kept;
    private ClaimRounds rounds;
    private String claimant;
    private long messages;

    /** @param lists the lists in force; {@code copies} keepers for each message in each */
    public PeerClaims(String me, List<Peer> all, List<Members> lists, WebhookKey key, Ledger ledger, KeeperBook book,
            Timers timers, DoubleSupplier clock, LongSupplier unixMillis, EventLoopGroup loops,
            Class<? extends Channel> channelType, Consumer<Consumer<Desk>> toDesk, Counts counts) {
        this.me = me;
        this.lists = lists;
        this.digests = lists.stream().map(Members::digest).toList();
        this.key = key;
        this.ring = new KeyRing(List.of(List.of(key)));
        this.ledger = ledger;
        this.book = book;
        this.timers = timers;
        this.clock = clock;
        this.unixMillis = unixMillis;
        this.toDesk = toDesk;
        Http2Pool.Tally tally = new Http2Pool.Tally(counts, "peer");
        for (Peer peer : all) {
            if (!peer.name.equals(me)) {
                peers.put(peer.name, new Http2Pool(peer.peers, loops.next(), channelType, BOUNDS, tally, clock));
                fronts.put(peer.name, new Http2Pool(peer.front, loops.next(), channelType, BOUNDS, tally, clock));
            }
        }
        won = counts.counter("claims_won");
        others = counts.counter("claims_of_others");
        unknown = counts.counter("claims_unknown");
        granted = counts.counter("claims_granted");
        refused = counts.counter("claims_refused");
        handedOn = counts.counter("messages_handed_on");
        kept = counts.limit("claims_kept", Long.MAX_VALUE);
    }

    /**
     * Before the first moment: who this front end is, with its ledger, and what it keeps.
     *
     * @param life grows with every start
     */
    public void recover(String ledgerIdentity, long life, LedgerBook ledgerBook, double keptFor) {
        claimant = me + "/" + ledgerIdentity;
        rounds = new ClaimRounds(lists, life << 32);
        for (LedgerBook.Claim claim : ledgerBook.claims()) {
            double now = clock.getAsDouble();
            double at = ledger.time().toModule(claim.at());
            double until = (Double.isNaN(at) ? now : at) + keptFor;
            if (until > now) {
                book.restore(claim.customer(), claim.id(), claim.claimant(), claim.signedAt(), until);
            } else {
                book.forgotten(claim.signedAt());
            }
        }
        book.forgotten(ledgerBook.claimsForgottenUpTo());
        ledgerBook.reached().forEach(book::reached);
    }

    // ---- as claimant -------------------------------------------------------------------------------------

    @Override
    public void claim(MessageIdentity message, double patience, Then then) {
        List<Message> out = new ArrayList<>();
        Round round = rounds.begin(message, out);
        Runnable timeUp = () -> {
            List<Message> more = new ArrayList<>();
            boolean was = round.verdict() != null;
            rounds.timeUp(round, more);
            send(more, round, then);
            if (!was) {
                decided(round, then);
            }
        };
        timers.set(clock.getAsDouble() + patience, timeUp);
        send(out, round, then);
    }

    private void decided(Round round, Then then) {
        (round.verdict().kind() == Kind.MINE ? won : round.verdict().kind() == Kind.OTHERS ? others : unknown).increment();
        then.done(round.verdict());
    }

    private void heard(Round round, Then then, String keeper, boolean yes, String holder) {
        List<Message> more = new ArrayList<>();
        boolean was = round.verdict() != null;
        rounds.heard(round, keeper, yes, holder, more);
        send(more, round, then);
        if (!was && round.verdict() != null) {
            decided(round, then);
        }
    }

    private void send(List<Message> out, Round round, Then then) {
        for (Message m : out) {
            if (m.keeper().equals(me)) {
                keep(m.release(), m.about(), new Claimant(claimant, ledger.position()), m.round(), word -> toDesk.accept(desk -> heard(round, then, me, word.granted(), word.holder())));
                continue;
            }
            ObjectNode body = JSON.createObjectNode().put("claimant", claimant).put("release", m.release())
                    .put("customer", m.about().customer()).put("id", m.about().id()).put("round", m.round())
                    .put("digest_high", m.about().digestHigh()).put("digest_low", m.about().digestLow())
                    .put(SIGNED_AT, m.about().signedAt()).put(POSITION, ledger.position());
            digests.forEach(body.putArray("lists")::add);
            post(m.keeper(), PeerFront.PATH, body, (end, status, headers, answer) -> {
                if (m.release()) {
                    return;
                }
                boolean yes = end == End.ANSWERED && status == 200;
                String holder = end == End.ANSWERED && status == 409 ? holder(answer) : null;
                toDesk.accept(desk -> heard(round, then, m.keeper(), yes, holder));
            });
        }
    }

    private void post(String peer, String path, ObjectNode body, Exchange then) {
        byte[] bytes;
        try {
            bytes = JSON.writeValueAsBytes(body);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        String messageId = "claim-" + me + "-" + messages++;
        long at = unixMillis.getAsLong() / 1000;
        peers.get(peer).send("POST", path, bytes, then, "content-type", "application/json", "webhook-id", messageId,
                "webhook-timestamp", Long.toString(at), "webhook-signature", KeyRing.header(List.of(key), messageId, at, bytes));
    }

    /**
     * Before the first moment: how far peers know this front end's ledger to have got. Those that cannot be asked now know
     * nothing, and neither do those of an earlier version.
     */
    public long positionKnownToPeers(String ledgerIdentity) throws InterruptedException {
        ObjectNode body = JSON.createObjectNode().put("claimant", me + "/" + ledgerIdentity);
        List<CompletableFuture<Long>> answers = new ArrayList<>();
        for (String peer : peers.keySet()) {
            CompletableFuture<Long> told = new CompletableFuture<>();
            answers.add(told);
            post(peer, PeerFront.POSITIONS_PATH, body, (end, status, headers, answer) -> told.complete(
                    end == End.ANSWERED && status == 200 ? position(answer) : LedgerPosition.UNKNOWN));
        }
        CompletableFuture<Void> all = CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]));
        try {
            all.get(POSITION_PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
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
    boolean signed(String id, String timestamp, String signature, byte[] body) {
        return ring.judge(id, timestamp, signature, body, unixMillis.getAsLong() / 1000, 0).refusal() == null;
    }

    /** A peer asks how far its ledger is known to have got; {@code reply} gets a body. From any thread. */
    void askedForPosition(JsonNode message, Consumer<String> reply) {
        toDesk.accept(desk -> {
            long position = book.reachedBy(message.path("claimant").asText());
            reply.accept("{\"" + POSITION + "\":" + position + "}");
        });
    }

    /** A peer's claim or release; {@code reply} gets an HTTP status and a body. From any thread. */
    void asked(JsonNode m, java.util.function.BiConsumer<Integer, String> reply) {
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
        toDesk.accept(desk -> keep(m.path("release").asBoolean(), about, who, m.path("round").asLong(), word -> {
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

    private void keep(boolean release, MessageIdentity about, Claimant who, long round, Consumer<Word> reply) {
        double now = clock.getAsDouble();
        book.reached(who.name, who.position);
        if (release) {
            book.release(about.customer(), about.id(), who.name, round);
            reply.accept(new Word(true, null, false));
            return;
        }
        long signableUntil = unixMillis.getAsLong() / 1000 + LedgerRecord.TIMESTAMP_TOLERANCE;
        Word word = book.claim(about, who.name, round, now, signableUntil);
        kept.present(book.size());
        if (!word.granted()) {
            refused.increment();
            reply.accept(word);
            return;
        }
        // Also where it was granted before: that record may still be on its way to the disk.
        ledger.append(new LedgerRecord.Claimed(about.customer(), about.id(), ledger.time().at(now), about.digestHigh(),
                about.digestLow(), who.name, about.signedAtLatest(signableUntil).signedAt(), who.position), durable -> {
                    if (durable) {
                        granted.increment();
                        reply.accept(word);
                    } else {
                        refused.increment();
                        reply.accept(new Word(false, null, false));
                    }
                });
    }

    // ---- handing on --------------------------------------------------------------------------------------

    private static final String UNREACHED = "another front end has it and cannot be asked; whether it ran is unknown";

    private static final String ELSEWHERE = "another front end has it; the same message is answered there: ";

    @Override
    public void handOn(Arrival arrival, String holder) {
        Http2Pool front = fronts.get(holder.substring(0, Math.max(0, holder.indexOf('/'))));
        if (front == null) {
            // Of a list that is no longer in force, or of this very front end with a ledger that is gone.
            arrival.asker().answer(FinalAnswer.failed(arrival.id(), 504, UNREACHED, true));
            return;
        }
        Arrival.Signed signed = arrival.signed();
        if (signed == null) {
            // Came by gRPC, and front ends hand on webhooks only: its client finds the holder by asking again.
            arrival.asker().answer(FinalAnswer.failed(arrival.id(), 504, ELSEWHERE + holder, true));
            return;
        }
        handedOn.increment();
        Http2Pool.Request[] request = new Http2Pool.Request[1];
        request[0] = front.send("POST", "/v1/inferences", signed.body(), (end, status, headers, body) -> {
            FinalAnswer answer = end == End.ANSWERED && (status == 200 || status >= 500)
                    ? new FinalAnswer(status == 200 ? FinalAnswer.Kind.RETURNED : status == 503
                            ? FinalAnswer.Kind.SHED : FinalAnswer.Kind.FAILED, status, body, pause(headers), true)
                    : FinalAnswer.failed(arrival.id(), 504, UNREACHED, true);
            toDesk.accept(desk -> arrival.asker().answer(answer));
        }, "content-type", "application/json", "webhook-id", arrival.id(), "webhook-timestamp",
                Long.toString(arrival.signedAt()), "webhook-signature", signed.signature());
        double budget = arrival.model().group().routeTimeout();
        budget = arrival.budget() > 0 ? Math.min(budget, arrival.budget()) : budget;
        timers.set(arrival.arrivedAt() + budget - HAND_ON_EARLY, (Runnable) () -> request[0].giveUp());
    }

    private static double pause(io.netty.handler.codec.http2.Http2Headers headers) {
        CharSequence told = headers == null ? null : headers.get("retry-after");
        return told != null && told.toString().matches("\\d{1,5}") ? Integer.parseInt(told.toString()) * 1000d : 0;
    }
}
