package gradereach.membership;

import gradereach.membership.Member.State;
import gradereach.membership.Message.Ack;
import gradereach.membership.Message.Ping;
import gradereach.membership.Message.PingRequest;
import gradereach.membership.Message.Sync;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * One member of a SWIM group (Das, Gupta, Motivala: "SWIM", 2002) with suspicion, and with Lifeguard's local health, which slows
 * down a member that is slow itself (Dadgar, Phillips, Currey: "Lifeguard", 2017). A state machine without I/O, clock and
 * threads: messages and times come in, messages go out, and the same events give the same actions.
 *
 * In every period one member is pinged, in an order that is shuffled for each round. If its ack is missing, {@code indirectPings}
 * other members ping it on our behalf. If their acks are missing too, it becomes suspect, and dead if it does not refute that
 * within a time that grows with the logarithm of the number of members. Member updates are piggybacked on these messages. From
 * time to time two members exchange their full lists, which repairs lost updates.
 */
public final class Swim {
    /**
     * Timing of the protocol; times in milliseconds.
     *
     * @param pingPeriod time between two pings
     * @param ackTimeout time to wait for a direct ack, above nearly all round-trip times
     * @param indirectPings members that are asked for an indirect ping
     * @param suspicionMultiplier a suspect can refute the suspicion for at least this many ping periods, times the greater of 1
     *     and log10 of the number of present members
     * @param syncPeriod mean time between two full exchanges
     * @param deadRetention time for which dead members are remembered, longer than any message may be delayed
     */
    public record Timing(double pingPeriod, double ackTimeout, int indirectPings, double suspicionMultiplier, double syncPeriod,
            double deadRetention) {
        /** For members in one local network. */
        public static final Timing LOCAL_NETWORK = new Timing(500, 200, 3, 4, 15_000, 120_000);
    }

    /** The actions of this member, called synchronously. */
    public interface Environment {
        /** Sends a message; it may be lost. */
        void send(String address, Message message);

        /** The known state or address of a member has changed. */
        void onMemberChanged(Member member);
    }

    /** Updates of some 60 bytes each, so that a message fits a packet of 1,400 bytes. */
    private static final int MAX_UPDATES_PER_MESSAGE = 12;
    /** Maximum of Lifeguard's local health score, which bounds how much timeouts are extended. */
    private static final int MAX_HEALTH_SCORE = 8;
    /** Ping periods without a tick after which this process counts as having stalled. */
    private static final int STALL_PING_PERIODS = 3;
    private static final int STALL_HEALTH_PENALTY = 2;
    /** Expiry of a ping in ack timeouts, one for the direct ack and the rest for indirect ones; at least a ping period. */
    private static final double PING_EXPIRY_ACK_TIMEOUTS = 2.5;
    /** Failed pings of our own after which a suspect member has only the minimum time for refuting. */
    private static final int MAX_CONFIRMATIONS = 3;
    /** The time for refuting without confirmations, in multiples of the minimum. */
    private static final int MAX_SUSPICION_FACTOR = 6;

    /** What is known of another member. */
    private static final class Peer {
        Member member;
        /** For a suspect member: when it becomes dead; for a dead one: when it is removed. */
        double deadline = Double.POSITIVE_INFINITY;
        double suspectedAt;
        int confirmations;

        Peer(Member member) {
            this.member = member;
        }
    }

    /** A ping whose ack is pending. */
    private static final class PendingPing {
        final long sequenceNumber;
        final Member target;
        final double indirectPingAt;
        final double expiresAt;
        boolean indirectPingsSent;
        boolean acknowledged;
        /** For a ping on behalf of another member: where the ack is passed on to, and the sequence number there. */
        final String requesterAddress;
        final long requesterSequenceNumber;

        PendingPing(long sequenceNumber, Member target, double indirectPingAt, double expiresAt, String requesterAddress,
                long requesterSequenceNumber) {
            this.sequenceNumber = sequenceNumber;
            this.target = target;
            this.indirectPingAt = indirectPingAt;
            this.expiresAt = expiresAt;
            this.requesterAddress = requesterAddress;
            this.requesterSequenceNumber = requesterSequenceNumber;
        }
    }

    private final Timing timing;
    private final Random random;
    private final Environment environment;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<Long, PendingPing> pendingPings = new HashMap<>();
    private final PriorityQueue<PendingPing> pingsByExpiry = new PriorityQueue<>((a, b) -> a.expiresAt != b.expiresAt
            ? Double.compare(a.expiresAt, b.expiresAt) : Long.compare(a.sequenceNumber, b.sequenceNumber));
    private final List<String> pingOrder = new ArrayList<>();
    private final GossipQueue gossipQueue = new GossipQueue(MAX_UPDATES_PER_MESSAGE);
    private Member self;
    /** Present members other than this one. */
    private int presentPeerCount;
    private int healthScore;
    private long lastSequenceNumber;
    private double nextPingAt;
    private double nextSyncAt;
    private double lastTickAt = Double.NaN;
    private boolean hasLeft;

    /** @param incarnation higher than any that this name had before, for example the Unix milliseconds of the start */
    public Swim(String name, String address, long incarnation, Timing timing, Random random, double now, Environment environment) {
        this.timing = timing;
        this.random = random;
        this.environment = environment;
        self = new Member(name, address, incarnation, State.ALIVE);
        // Members that start at the same time do not ping at the same time.
        nextPingAt = now + random.nextDouble() * timing.pingPeriod;
        nextSyncAt = now + timing.syncPeriod * (0.5 + random.nextDouble());
        gossipQueue.add(self);
    }

    /** Requests the full member lists of the members at these addresses. The caller repeats it if nobody replies. */
    public void join(List<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(self.address())) {
                environment.send(address, new Sync(self.name(), self.address(), true, allMembers()));
            }
        }
    }

    /** Announces that this member leaves, so that nobody suspects it afterwards. */
    public void leave() {
        hasLeft = true;
        self = new Member(self.name(), self.address(), self.incarnation(), State.LEFT);
        List<Member> departure = List.of(self);
        List<Peer> shuffled = new ArrayList<>(peers.values());
        Collections.shuffle(shuffled, random);
        int notified = 0;
        for (Peer peer : shuffled) {
            if (peer.member.isPresent() && notified++ < GossipQueue.transmitLimit(presentPeerCount + 1)) {
                environment.send(peer.member.address(), new Ping(self.name(), self.address(), ++lastSequenceNumber, departure));
            }
        }
    }

    // ---- time -----------------------------------------------------------------------------------------------

    /** When {@link #tick} has to be called next. */
    public double nextTickAt() {
        double nextAt = hasLeft ? Double.POSITIVE_INFINITY : Math.min(nextPingAt, nextSyncAt);
        for (PendingPing ping : pendingPings.values()) {
            nextAt = Math.min(nextAt, ping.indirectPingsSent || ping.requesterAddress != null || ping.acknowledged ? ping.expiresAt
                    : ping.indirectPingAt);
        }
        for (Peer peer : peers.values()) {
            nextAt = Math.min(nextAt, peer.deadline);
        }
        return nextAt;
    }

    /** Does what is due: sends pings and full lists, and handles missing acks and expired suspicions. */
    public void tick(double now) {
        boolean stalled = !Double.isNaN(lastTickAt) && now - lastTickAt > timing.pingPeriod * STALL_PING_PERIODS;
        lastTickAt = now;
        if (hasLeft) {
            return;
        }
        if (stalled) {
            handleStall(now);
        }
        for (PendingPing ping : List.copyOf(pendingPings.values())) {
            if (!ping.indirectPingsSent && !ping.acknowledged && ping.requesterAddress == null && now >= ping.indirectPingAt
                    && now < ping.expiresAt) {
                sendIndirectPings(ping);
            }
        }
        while (!pingsByExpiry.isEmpty() && pingsByExpiry.peek().expiresAt <= now) {
            expirePing(pingsByExpiry.poll(), now);
        }
        expirePeers(now);
        if (now >= nextPingAt) {
            nextPingAt = now + timing.pingPeriod * (1 + healthScore / 2.0);
            ping(now);
        }
        if (now >= nextSyncAt) {
            nextSyncAt = now + timing.syncPeriod * (0.5 + random.nextDouble());
            Peer peer = randomPresentPeer();
            if (peer != null) {
                environment.send(peer.member.address(), new Sync(self.name(), self.address(), true, allMembers()));
            }
        }
    }

    /** After a stall of this process, acks are missing because it did not receive them, so no member is suspected for that. */
    private void handleStall(double now) {
        pendingPings.clear();
        pingsByExpiry.clear();
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + STALL_HEALTH_PENALTY);
        for (Peer peer : peers.values()) {
            if (peer.member.state() == State.SUSPECT) {
                peer.deadline = now + suspicionTimeout(peer.confirmations);
            }
        }
    }

    private void ping(double now) {
        Peer target = null;
        while (target == null || !target.member.isPresent()) {
            if (pingOrder.isEmpty()) {
                peers.values().forEach(peer -> {
                    if (peer.member.isPresent()) {
                        pingOrder.add(peer.member.name());
                    }
                });
                if (pingOrder.isEmpty()) {
                    return;
                }
                Collections.shuffle(pingOrder, random);
            }
            target = peers.get(pingOrder.remove(pingOrder.size() - 1));
        }
        double timeout = timing.ackTimeout * (1 + healthScore);
        PendingPing ping = new PendingPing(++lastSequenceNumber, target.member, now + timeout,
                now + Math.max(timeout * PING_EXPIRY_ACK_TIMEOUTS, timing.pingPeriod), null, 0);
        pendingPings.put(ping.sequenceNumber, ping);
        pingsByExpiry.add(ping);
        // A suspect member is told so with the ping, so that it can refute the suspicion.
        environment.send(target.member.address(), new Ping(self.name(), self.address(), ping.sequenceNumber,
                nextGossip(target.member.state() == State.SUSPECT ? target.member : null)));
    }

    private void sendIndirectPings(PendingPing ping) {
        ping.indirectPingsSent = true;
        List<Peer> others = new ArrayList<>();
        peers.values().forEach(peer -> {
            if (peer.member.state() == State.ALIVE && !peer.member.name().equals(ping.target.name())) {
                others.add(peer);
            }
        });
        Collections.shuffle(others, random);
        for (Peer helper : others.subList(0, Math.min(timing.indirectPings, others.size()))) {
            environment.send(helper.member.address(), new PingRequest(self.name(), self.address(), ping.sequenceNumber,
                    ping.target.name(), ping.target.address(), nextGossip(null)));
        }
    }

    private void expirePing(PendingPing ping, double now) {
        pendingPings.remove(ping.sequenceNumber);
        if (ping.acknowledged) {
            healthScore = Math.max(0, healthScore - 1);
            return;
        }
        if (ping.requesterAddress != null) {
            return;
        }
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
        Peer peer = peers.get(ping.target.name());
        if (peer != null && peer.member.state() == State.SUSPECT) {
            // Only pings of our own count as confirmations: updates of others may all repeat one observation.
            peer.confirmations = Math.min(MAX_CONFIRMATIONS, peer.confirmations + 1);
            peer.deadline = Math.min(peer.deadline, peer.suspectedAt + suspicionTimeout(peer.confirmations));
        } else if (peer != null && peer.member.state() == State.ALIVE && peer.member.incarnation() == ping.target.incarnation()) {
            applyUpdate(new Member(peer.member.name(), peer.member.address(), peer.member.incarnation(), State.SUSPECT), now);
        }
    }

    /** How long a suspect member can refute the suspicion after that many confirmations. */
    private double suspicionTimeout(int confirmations) {
        double minimum = timing.suspicionMultiplier * timing.pingPeriod * Math.max(1, Math.log10(presentPeerCount + 1));
        // Longest at first, and shorter with each failed ping of our own (after Lifeguard's "LHA-Suspicion").
        double factor = MAX_SUSPICION_FACTOR
                - (MAX_SUSPICION_FACTOR - 1) * Math.log(confirmations + 1) / Math.log(MAX_CONFIRMATIONS + 1);
        return minimum * Math.max(1, factor) * (1 + healthScore / 2.0);
    }

    private void expirePeers(double now) {
        for (Peer peer : List.copyOf(peers.values())) {
            if (now < peer.deadline) {
                continue;
            }
            if (peer.member.state() == State.SUSPECT) {
                applyUpdate(new Member(peer.member.name(), peer.member.address(), peer.member.incarnation(), State.DEAD), now);
            } else if (!peer.member.isPresent()) {
                peers.remove(peer.member.name());
            }
        }
    }

    // ---- messages -------------------------------------------------------------------------------------------

    /** Handles a received message. */
    public void handleMessage(Message message, double now) {
        lastTickAt = Double.isNaN(lastTickAt) ? now : lastTickAt;
        if (hasLeft) {
            return;
        }
        boolean mustRefute = false;
        for (Member update : message.gossip()) {
            // Refuted also if this member has done so before, since that refutation did not reach the sender.
            mustRefute |= update.name().equals(self.name()) && update.state() != State.ALIVE;
            applyUpdate(update, now);
        }
        if (message instanceof Ping ping) {
            environment.send(ping.senderAddress(), new Ack(self.name(), ping.sequenceNumber(), nextGossip(mustRefute ? self : null)));
        } else if (message instanceof Ack ack) {
            PendingPing pending = pendingPings.get(ack.sequenceNumber());
            if (pending != null && !pending.acknowledged) {
                pending.acknowledged = true;
                if (pending.requesterAddress != null) {
                    environment.send(pending.requesterAddress, new Ack(self.name(), pending.requesterSequenceNumber, nextGossip(null)));
                }
            }
        } else if (message instanceof PingRequest request) {
            Member target = new Member(request.target(), request.targetAddress(), 0, State.ALIVE);
            PendingPing pending = new PendingPing(++lastSequenceNumber, target, Double.POSITIVE_INFINITY, now + timing.ackTimeout * 2,
                    request.senderAddress(), request.sequenceNumber());
            pendingPings.put(pending.sequenceNumber, pending);
            pingsByExpiry.add(pending);
            environment.send(request.targetAddress(), new Ping(self.name(), self.address(), pending.sequenceNumber, nextGossip(null)));
        } else if (message instanceof Sync sync && sync.replyRequested()) {
            environment.send(sync.senderAddress(), new Sync(self.name(), self.address(), false, allMembers()));
        }
    }

    private List<Member> nextGossip(Member first) {
        return gossipQueue.next(presentPeerCount + 1, first);
    }

    private List<Member> allMembers() {
        List<Member> all = new ArrayList<>();
        all.add(self);
        peers.values().forEach(peer -> all.add(peer.member));
        return all;
    }

    private Peer randomPresentPeer() {
        List<Peer> present = new ArrayList<>();
        peers.values().forEach(peer -> {
            if (peer.member.isPresent()) {
                present.add(peer);
            }
        });
        return present.isEmpty() ? null : present.get(random.nextInt(present.size()));
    }

    /** Applies an update about a member, whether observed by this member or received. */
    private void applyUpdate(Member update, double now) {
        if (update.name().equals(self.name())) {
            if (update.incarnation() > self.incarnation() || update.incarnation() == self.incarnation() && update.state() != State.ALIVE) {
                // Another member takes this one for suspect or dead, or remembers an earlier run: only a higher incarnation refutes that.
                self = new Member(self.name(), self.address(), update.incarnation() + 1, State.ALIVE);
                healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
                gossipQueue.add(self);
            }
            return;
        }
        Peer peer = peers.get(update.name());
        if (peer == null) {
            if (!update.isPresent()) {
                return; // about a member that was never known, or was removed
            }
            peer = new Peer(update);
            peers.put(update.name(), peer);
            presentPeerCount++;
            handleStateChange(peer, now);
            // A new member is pinged within the current round, at a random position.
            pingOrder.add(random.nextInt(pingOrder.size() + 1), update.name());
            return;
        }
        if (!update.overrides(peer.member)) {
            return;
        }
        presentPeerCount += (update.isPresent() ? 1 : 0) - (peer.member.isPresent() ? 1 : 0);
        boolean changed = update.state() != peer.member.state() || !update.address().equals(peer.member.address());
        peer.member = update;
        if (changed) {
            handleStateChange(peer, now);
        } else {
            gossipQueue.add(update);
        }
    }

    /** Sets the deadline for the state, gossips the member and notifies the environment; also for a new member or address. */
    private void handleStateChange(Peer peer, double now) {
        State state = peer.member.state();
        peer.confirmations = 0;
        peer.suspectedAt = now;
        peer.deadline = state == State.SUSPECT ? now + suspicionTimeout(0)
                : state == State.ALIVE ? Double.POSITIVE_INFINITY : now + timing.deadRetention;
        gossipQueue.add(peer.member);
        environment.onMemberChanged(peer.member);
    }

    // ---- members --------------------------------------------------------------------------------------------

    /** This member. */
    public Member self() {
        return self;
    }

    /** All known members except this one. */
    public Collection<Member> members() {
        List<Member> all = new ArrayList<>();
        peers.values().forEach(peer -> all.add(peer.member));
        return all;
    }

    /** The number of present members, this one included. It is only an estimate, and no correctness rule may depend on it. */
    public int presentCount() {
        return presentPeerCount + 1;
    }

    /** Lifeguard's local health score: 0 is healthy, higher values mean that this member itself is slow. */
    public int healthScore() {
        return healthScore;
    }
}
