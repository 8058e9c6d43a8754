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
 * One member's part in SWIM (Das, Gupta, Motivala: "SWIM", 2002) with suspicion, and with Lifeguard's care for a member that is slow
 * itself (Dadgar, Phillips, Currey: "Lifeguard", 2017). A state machine: messages and time come in, messages go out; no I/O, no
 * clock, no thread; the same events give the same actions.
 *
 * In every period one member is pinged, in a shuffled order that each round has anew; without an answer {@code helpers} others ask
 * for us; without theirs it is suspected, and dead when nobody has heard of it for a time that grows with the logarithm of the
 * members. News ride on these messages. Now and then two members tell each other everything, which heals what was lost.
 */
public final class Swim {
    /**
     * Milliseconds.
     *
     * @param period between two pings
     * @param patience for a direct answer: above nearly all round trips
     * @param helpers members that ask for us
     * @param suspicion periods, times log10 of the members and one, for which a suspect may speak up
     * @param sync between two exchanges of everything
     * @param forget after which the dead are no longer kept: longer than any message may be late
     */
    public record Timing(double pingPeriod, double ackTimeout, int indirectPings, double suspicionMultiplier, double syncPeriod, double deadRetention) {
        public static final Timing LOCAL_NETWORK = new Timing(500, 200, 3, 4, 15_000, 120_000);
    }

    /** What this member does; all at the present moment. */
    public interface Environment {
        void send(String address, Message message);

        /** What is believed of a member has changed. */
        void memberChanged(Member now);
    }

    /** Words on one message: some 60 bytes each, and a packet of 1,400 with what surrounds them. */
    private static final int MAX_UPDATES_PER_MESSAGE = 12;
    /** Lifeguard's scale of the own health: at most so many times slower with everything. */
    private static final int MAX_HEALTH_SCORE = 8;

    private static final class Peer {
        Member member;
        /** For a suspect: when it is dead; for a dead one: when it is forgotten. */
        double deadline = Double.POSITIVE_INFINITY;
        double suspectedAt;
        int confirmations;

        Peer(Member word) {
            this.member = word;
        }
    }

    /** A ping whose answer is awaited. */
    private static final class PendingPing {
        final long sequenceNumber;
        final Member target;
        final double indirectPingAt;
        final double expiresAt;
        boolean indirectPingsSent;
        boolean acknowledged;
        /** For one asked on behalf of another: where its answer goes, and its number there. */
        final String requesterAddress;
        final long requesterSequenceNumber;

        PendingPing(long number, Member whom, double helpAt, double endsAt, String forAddress, long forNumber) {
            this.sequenceNumber = number;
            this.target = whom;
            this.indirectPingAt = helpAt;
            this.expiresAt = endsAt;
            this.requesterAddress = forAddress;
            this.requesterSequenceNumber = forNumber;
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
    private int presentCount;
    private int healthScore;
    private long lastSequenceNumber;
    private double pingAt;
    private double syncAt;
    private double lastTickAt = Double.NaN;
    private boolean left;

    /** @param incarnation higher than any that this name had before: Unix milliseconds of the start will do */
    public Swim(String name, String address, long incarnation, Timing timing, Random chance, double now, Environment out) {
        this.timing = timing;
        this.random = chance;
        this.environment = out;
        self = new Member(name, address, incarnation, State.ALIVE);
        // Members that start at once do not ping at once.
        pingAt = now + chance.nextDouble() * timing.pingPeriod;
        syncAt = now + timing.syncPeriod * (0.5 + chance.nextDouble());
        gossipQueue.add(self);
    }

    /** Asks these to tell all they know. Again where nobody answered: the caller's matter. */
    public void join(List<String> addresses) {
        for (String address : addresses) {
            if (!address.equals(self.address())) {
                environment.send(address, new Sync(self.name(), self.address(), true, allMembers()));
            }
        }
    }

    /** Says goodbye: nobody suspects it afterwards. */
    public void leave() {
        left = true;
        self = new Member(self.name(), self.address(), self.incarnation(), State.LEFT);
        List<Member> goodbye = List.of(self);
        List<Peer> some = new ArrayList<>(peers.values());
        Collections.shuffle(some, random);
        int count = 0;
        for (Peer one : some) {
            if (one.member.isPresent() && count++ < GossipQueue.transmitLimit(presentCount + 1)) {
                environment.send(one.member.address(), new Ping(self.name(), self.address(), ++lastSequenceNumber, goodbye));
            }
        }
    }

    // ---- time -----------------------------------------------------------------------------------------------

    /** When {@link #tick} has something to do. */
    public double nextTickAt() {
        double next = left ? Double.POSITIVE_INFINITY : Math.min(pingAt, syncAt);
        for (PendingPing one : pendingPings.values()) {
            next = Math.min(next, one.indirectPingsSent || one.requesterAddress != null || one.acknowledged ? one.expiresAt : one.indirectPingAt);
        }
        for (Peer one : peers.values()) {
            next = Math.min(next, one.deadline);
        }
        return next;
    }

    public void tick(double now) {
        boolean halted = !Double.isNaN(lastTickAt) && now - lastTickAt > timing.pingPeriod * 3;
        lastTickAt = now;
        if (left) {
            return;
        }
        if (halted) {
            handleHalt(now);
        }
        for (PendingPing one : List.copyOf(pendingPings.values())) {
            if (!one.indirectPingsSent && !one.acknowledged && one.requesterAddress == null && now >= one.indirectPingAt && now < one.expiresAt) {
                sendIndirectPings(one);
            }
        }
        while (!pingsByExpiry.isEmpty() && pingsByExpiry.peek().expiresAt <= now) {
            expirePing(pingsByExpiry.poll(), now);
        }
        expirePeers(now);
        if (now >= pingAt) {
            pingAt = now + timing.pingPeriod * (1 + healthScore / 2.0);
            ping(now);
        }
        if (now >= syncAt) {
            syncAt = now + timing.syncPeriod * (0.5 + random.nextDouble());
            Peer whom = randomPresentPeer();
            if (whom != null) {
                environment.send(whom.member.address(), new Sync(self.name(), self.address(), true, allMembers()));
            }
        }
    }

    /** After a halt of our own no answer was heard because nobody listened: nothing is held against anybody. */
    private void handleHalt(double now) {
        pendingPings.clear();
        pingsByExpiry.clear();
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 2);
        for (Peer one : peers.values()) {
            if (one.member.state() == State.SUSPECT) {
                one.deadline = now + suspicionTimeout(one.confirmations);
            }
        }
    }

    private void ping(double now) {
        Peer next = null;
        while (next == null || !next.member.isPresent()) {
            if (pingOrder.isEmpty()) {
                peers.values().forEach(one -> {
                    if (one.member.isPresent()) {
                        pingOrder.add(one.member.name());
                    }
                });
                if (pingOrder.isEmpty()) {
                    return;
                }
                Collections.shuffle(pingOrder, random);
            }
            next = peers.get(pingOrder.remove(pingOrder.size() - 1));
        }
        double patience = timing.ackTimeout * (1 + healthScore);
        PendingPing one = new PendingPing(++lastSequenceNumber, next.member, now + patience, now + Math.max(patience * 2.5, timing.pingPeriod), null, 0);
        pendingPings.put(one.sequenceNumber, one);
        pingsByExpiry.add(one);
        // A suspect hears first that it is one, so that it can speak up.
        environment.send(next.member.address(), new Ping(self.name(), self.address(), one.sequenceNumber,
                nextGossip(next.member.state() == State.SUSPECT ? next.member : null)));
    }

    private void sendIndirectPings(PendingPing one) {
        one.indirectPingsSent = true;
        List<Peer> others = new ArrayList<>();
        peers.values().forEach(k -> {
            if (k.member.state() == State.ALIVE && !k.member.name().equals(one.target.name())) {
                others.add(k);
            }
        });
        Collections.shuffle(others, random);
        for (Peer helper : others.subList(0, Math.min(timing.indirectPings, others.size()))) {
            environment.send(helper.member.address(), new PingRequest(self.name(), self.address(), one.sequenceNumber, one.target.name(),
                    one.target.address(), nextGossip(null)));
        }
    }

    private void expirePing(PendingPing one, double now) {
        pendingPings.remove(one.sequenceNumber);
        if (one.acknowledged) {
            healthScore = Math.max(0, healthScore - 1);
            return;
        }
        if (one.requesterAddress != null) {
            return;
        }
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
        Peer about = peers.get(one.target.name());
        if (about != null && about.member.state() == State.SUSPECT) {
            // Found silent by ourselves as well: what others say in a row is one finding, told often.
            about.confirmations = Math.min(3, about.confirmations + 1);
            about.deadline = Math.min(about.deadline, about.suspectedAt + suspicionTimeout(about.confirmations));
        } else if (about != null && about.member.state() == State.ALIVE && about.member.incarnation() == one.target.incarnation()) {
            applyUpdate(new Member(about.member.name(), about.member.address(), about.member.incarnation(), State.SUSPECT), now);
        }
    }

    private double suspicionTimeout(int confirmed) {
        double least = timing.suspicionMultiplier * timing.pingPeriod * Math.max(1, Math.log10(presentCount + 1));
        // Six times as long at first, less with each time that we find it silent ourselves (after Lifeguard, "LHA-Suspicion").
        double factor = 6 - 5 * Math.log(confirmed + 1) / Math.log(4);
        return least * Math.max(1, factor) * (1 + healthScore / 2.0);
    }

    private void expirePeers(double now) {
        for (Peer one : List.copyOf(peers.values())) {
            if (now < one.deadline) {
                continue;
            }
            if (one.member.state() == State.SUSPECT) {
                applyUpdate(new Member(one.member.name(), one.member.address(), one.member.incarnation(), State.DEAD), now);
            } else if (!one.member.isPresent()) {
                peers.remove(one.member.name());
            }
        }
    }

    // ---- messages -------------------------------------------------------------------------------------------

    public void handleMessage(Message message, double now) {
        lastTickAt = Double.isNaN(lastTickAt) ? now : lastTickAt;
        if (left) {
            return;
        }
        boolean wronged = false;
        for (Member word : message.gossip()) {
            // Also where we have taken it back long since: that word was lost on its way there.
            wronged |= word.name().equals(self.name()) && word.state() != State.ALIVE;
            applyUpdate(word, now);
        }
        if (message instanceof Ping ping) {
            environment.send(ping.fromAddress(), new Ack(self.name(), ping.sequenceNumber(), nextGossip(wronged ? self : null)));
        } else if (message instanceof Ack ack) {
            PendingPing one = pendingPings.get(ack.sequenceNumber());
            if (one != null && !one.acknowledged) {
                one.acknowledged = true;
                if (one.requesterAddress != null) {
                    environment.send(one.requesterAddress, new Ack(self.name(), one.requesterSequenceNumber, nextGossip(null)));
                }
            }
        } else if (message instanceof PingRequest ask) {
            Member target = new Member(ask.target(), ask.targetAddress(), 0, State.ALIVE);
            PendingPing one = new PendingPing(++lastSequenceNumber, target, Double.POSITIVE_INFINITY, now + timing.ackTimeout * 2, ask.fromAddress(), ask.sequenceNumber());
            pendingPings.put(one.sequenceNumber, one);
            pingsByExpiry.add(one);
            environment.send(ask.targetAddress(), new Ping(self.name(), self.address(), one.sequenceNumber, nextGossip(null)));
        } else if (message instanceof Sync sync && sync.replyRequested()) {
            environment.send(sync.fromAddress(), new Sync(self.name(), self.address(), false, allMembers()));
        }
    }

    private List<Member> nextGossip(Member first) {
        return gossipQueue.next(presentCount + 1, first);
    }

    private List<Member> allMembers() {
        List<Member> all = new ArrayList<>();
        all.add(self);
        peers.values().forEach(one -> all.add(one.member));
        return all;
    }

    private Peer randomPresentPeer() {
        List<Peer> there = new ArrayList<>();
        peers.values().forEach(one -> {
            if (one.member.isPresent()) {
                there.add(one);
            }
        });
        return there.isEmpty() ? null : there.get(random.nextInt(there.size()));
    }

    /** A word on a member, our own or heard. */
    private void applyUpdate(Member word, double now) {
        if (word.name().equals(self.name())) {
            if (word.incarnation() > self.incarnation() || word.incarnation() == self.incarnation() && word.state() != State.ALIVE) {
                // Somebody holds us dead, or remembers an earlier life of ours: only a higher incarnation takes that back.
                self = new Member(self.name(), self.address(), word.incarnation() + 1, State.ALIVE);
                healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + 1);
                gossipQueue.add(self);
            }
            return;
        }
        Peer about = peers.get(word.name());
        if (about == null) {
            if (!word.isPresent()) {
                return; // of somebody we never knew, or have forgotten
            }
            about = new Peer(word);
            peers.put(word.name(), about);
            presentCount++;
            stateChanged(about, now);
            // New ones are pinged within a round, at a place of it that chance decides.
            pingOrder.add(random.nextInt(pingOrder.size() + 1), word.name());
            return;
        }
        if (!word.overrides(about.member)) {
            return;
        }
        presentCount += (word.isPresent() ? 1 : 0) - (about.member.isPresent() ? 1 : 0);
        boolean changes = word.state() != about.member.state() || !word.address().equals(about.member.address());
        about.member = word;
        if (changes) {
            stateChanged(about, now);
        } else {
            gossipQueue.add(word);
        }
    }

    private void stateChanged(Peer about, double now) {
        State state = about.member.state();
        about.confirmations = 0;
        about.suspectedAt = now;
        about.deadline = state == State.SUSPECT ? now + suspicionTimeout(0) : state == State.ALIVE ? Double.POSITIVE_INFINITY : now + timing.deadRetention;
        gossipQueue.add(about.member);
        environment.memberChanged(about.member);
    }

    // ---- what is believed -----------------------------------------------------------------------------------

    public Member self() {
        return self;
    }

    /** All that are known, this member not among them. */
    public Collection<Member> members() {
        List<Member> all = new ArrayList<>();
        peers.values().forEach(one -> all.add(one.member));
        return all;
    }

    /** Members present, this one among them; a guess, never to be used where a rule depends on it. */
    public int presentCount() {
        return presentCount + 1;
    }

    /** How slow this member believes itself to be: 0 is well. */
    public int healthScore() {
        return healthScore;
    }
}
