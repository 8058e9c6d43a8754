package gradereach.members;

import gradereach.counts.Counts;
import gradereach.membership.Member;
import gradereach.membership.Message;
import gradereach.membership.SeatHolder;
import gradereach.membership.SeatGrantor;
import gradereach.membership.Swim;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries membership over UDP: one thread owns the socket and the three state machines (who is there, the seats that this front end
 * keeps for others, and those that it holds), and tells the deciding thread when its part changes.
 */
public final class Membership implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    /** Longer than any message of ours: exchanges of everything grow with the members, 60 bytes each. */
    private static final int MAX_DATAGRAM_BYTES = 65_000;
    private static final double UNAUTHENTICATED_LOG_INTERVAL_MILLIS = 60_000;

    /**
     * Who and where.
     *
     * @param keepers addresses of all that keep seats, this one's among them, in one order everywhere
     * @param lease milliseconds
     */
    public record Config(String name, InetSocketAddress listenAddress, String cluster, List<byte[]> secrets, List<String> grantors, int seats,
            double leaseMillis) { }

    /** Whoever spends what is shared. */
    public interface ShareListener {
        /** {@code part} of all is ours from now on, 0 to 1, and until {@code until} at the longest. */
        void shareChanged(double part, double until);
    }

    /** What is known at one moment, for those who look. */
    public record View(Member self, Collection<Member> members, int presentCount, double share, int healthScore) { }

    private record Traffic(double rate, double reportedAt) { }

    private final Config config;
    private final DatagramCipher cipher;
    private final DatagramSocket socket;
    private final String address;
    private final DoubleSupplier clock;
    private final DoubleSupplier inferencesTaken;
    private final ShareListener shareListener;
    private final Random random;
    private final Swim swim;
    private final SeatGrantor grantor;
    private final SeatHolder holder;
    private final Map<String, Traffic> traffic = new HashMap<>();
    private final ConcurrentLinkedQueue<Runnable> events = new ConcurrentLinkedQueue<>();
    private final LongAdder unauthenticated;
    private final LongAdder sent;
    private final LongAdder unreadable;
    private final Counts.Limit presentCount;
    private final Counts.Limit heldSeats;
    private final Thread thread = new Thread(this::run, "members");
    private double unauthenticatedLoggedAt = Double.NEGATIVE_INFINITY;
    private double totalRate;
    private int holderCount = 1;
    private double lastInferencesTaken;
    private double ownRate;
    private double rateMeasuredAt;
    private double notifiedShare = -1;
    private double notifiedUntil;
    private volatile View view;
    private volatile boolean stopping;

    /**
     * @param clock steady, milliseconds
     * @param taken inferences taken so far
     * @param spender told when the part of all that is shared changes, or its time
     */
    public Membership(Config terms, Random chance, DoubleSupplier clock, DoubleSupplier taken, ShareListener spender, Counts counts)
            throws IOException {
        this(terms, new DatagramSocket(terms.listenAddress), chance, clock, taken, spender, counts);
    }

    Membership(Config terms, DatagramSocket socket, Random chance, DoubleSupplier clock, DoubleSupplier taken, ShareListener spender,
            Counts counts) {
        this.config = terms;
        this.socket = socket;
        this.clock = clock;
        this.inferencesTaken = taken;
        this.shareListener = spender;
        this.random = chance;
        cipher = new DatagramCipher(terms.cluster, terms.secrets);
        address = socket.getLocalAddress().getHostAddress() + ":" + socket.getLocalPort();
        double now = clock.getAsDouble();
        long life = System.currentTimeMillis();
        swim = new Swim(terms.name, address, life, Swim.Timing.LOCAL_NETWORK, chance, now, new Swim.Environment() {
            @Override
            public void send(String to, Message message) {
                Membership.this.send(to, message);
            }

            @Override
            public void memberChanged(Member member) {
                LOG.atInfo().addKeyValue("member", member.name()).addKeyValue("state", member.state())
                        .addKeyValue("incarnation", member.incarnation()).log("member");
            }
        });
        grantor = new SeatGrantor(terms.seats, terms.leaseMillis, now);
        // Another life is another holder: what the one before held is its own until it lapses.
        String ours = SeatHolder.uniqueName(terms.name, new SecureRandom());
        holder = new SeatHolder(ours, terms.seats, terms.grantors.size(), terms.leaseMillis, chance);
        unauthenticated = counts.counter("members_strangers");
        sent = counts.counter("members_datagrams_sent");
        unreadable = counts.counter("members_datagrams_unreadable");
        presentCount = counts.limit("members_present", Long.MAX_VALUE);
        heldSeats = counts.limit("members_seats_held", terms.seats);
        thread.setDaemon(true);
    }

    public String address() {
        return address;
    }

    public void start() {
        thread.start();
    }

    public View view() {
        return view;
    }

    private void run() {
        byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
        double joinAt = Double.NEGATIVE_INFINITY;
        while (!stopping) {
            double now = clock.getAsDouble();
            for (Runnable event; (event = events.poll()) != null;) {
                event.run();
            }
            if (now >= joinAt && swim.presentCount() < config.grantors.size()) {
                // Whoever of the list is not there is asked again now and then: nobody else pings the dead.
                swim.join(config.grantors);
                joinAt = now + 2000 + 1000 * random.nextDouble();
            }
            swim.tick(now);
            if (now >= holder.nextRoundAt()) {
                startRound(now);
            }
            publish(now);
            double next = Math.min(Math.min(swim.nextTickAt(), holder.nextRoundAt()), now + 100);
            try {
                socket.setSoTimeout((int) Math.max(1, Math.ceil(next - clock.getAsDouble())));
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                handleDatagram(Arrays.copyOf(packet.getData(), packet.getLength()), clock.getAsDouble());
            } catch (SocketTimeoutException e) {
                // time for what is due
            } catch (IOException e) {
                if (!stopping) {
                    LOG.warn("members: {}", e.getMessage());
                }
            }
        }
    }

    private void startRound(double now) {
        if (rateMeasuredAt > 0) {
            double fresh = (inferencesTaken.getAsDouble() - lastInferencesTaken) / Math.max(1, now - rateMeasuredAt) * 1000;
            ownRate += 0.3 * (fresh - ownRate); // some three leases: shares follow traffic slowly
        }
        lastInferencesTaken = inferencesTaken.getAsDouble();
        rateMeasuredAt = now;
        // One inference a second for each keeps an idle front end its part.
        double part = (ownRate + 1) / Math.max(ownRate + 1, totalRate + holderCount);
        SeatHolder.Request claim = holder.startRound(part, now);
        MembershipCodec.SeatRequest words = new MembershipCodec.SeatRequest(holder.name(), address, claim.round(), ownRate, claim.wanted(), claim.released());
        for (String to : config.grantors) {
            if (to.equals(address)) {
                handleResponse(handleRequest(words, now));
            } else {
                send(to, words);
            }
        }
        totalRate = 0;
        holderCount = 1;
    }

    private MembershipCodec.SeatResponse handleRequest(MembershipCodec.SeatRequest claim, double now) {
        traffic.put(claim.from(), new Traffic(claim.rate(), now));
        traffic.values().removeIf(last -> now - last.reportedAt > 2 * config.leaseMillis);
        SeatGrantor.Grant grant = grantor.handleRequest(claim.from(), claim.round(), claim.wanted(), claim.released(), now);
        return grant == null ? null : new MembershipCodec.SeatResponse(address, claim.round(),
                traffic.values().stream().mapToDouble(Traffic::rate).sum(), traffic.size(), grant.granted(), grant.available());
    }

    private void handleResponse(MembershipCodec.SeatResponse granted) {
        int which = granted == null ? -1 : config.grantors.indexOf(granted.from());
        if (which >= 0) {
            totalRate = Math.max(totalRate, granted.totalRate());
            holderCount = Math.max(holderCount, granted.holderCount());
            holder.handleGrant(which, granted.round(), new SeatGrantor.Grant(granted.granted(), granted.available()));
        }
    }

    /** With the time at which the first of its leases ends: should this thread stand still, the spender knows by itself. */
    private void publish(double now) {
        double part = holder.share(now);
        double until = holder.earliestExpiry(now);
        if (part != notifiedShare || until != notifiedUntil) {
            notifiedShare = part;
            notifiedUntil = until;
            shareListener.shareChanged(part, until);
        }
        presentCount.inUse(swim.presentCount());
        heldSeats.inUse(Math.round(part * config.seats));
        view = new View(swim.self(), swim.members(), swim.presentCount(), part, swim.healthScore());
    }

    private void handleDatagram(byte[] datagram, double now) {
        byte[] message = cipher.open(datagram);
        if (message == null) {
            unauthenticated.increment();
            if (now - unauthenticatedLoggedAt > UNAUTHENTICATED_LOG_INTERVAL_MILLIS) {
                unauthenticatedLoggedAt = now;
                LOG.warn("datagrams of strangers: no key of this cluster");
            }
            return;
        }
        try {
            Object words = MembershipCodec.decode(message);
            if (words instanceof Message swims) {
                swim.handleMessage(swims, now);
            } else if (words instanceof MembershipCodec.SeatRequest claim) {
                MembershipCodec.SeatResponse granted = handleRequest(claim, now);
                if (granted != null) {
                    send(claim.fromAddress(), granted);
                }
            } else if (words instanceof MembershipCodec.SeatResponse granted) {
                handleResponse(granted);
            }
        } catch (IOException e) {
            unreadable.increment();
        }
    }

    private void send(String to, Object words) {
        byte[] sealed = cipher.seal(MembershipCodec.encode(words));
        int colon = to.lastIndexOf(':');
        try {
            socket.send(new DatagramPacket(sealed, sealed.length,
                    new InetSocketAddress(to.substring(0, colon), Integer.parseInt(to.substring(colon + 1)))));
            sent.increment();
        } catch (IOException | IllegalArgumentException e) {
            // As a lost datagram; whoever is gone is found out by its silence.
        }
    }

    /** In good order: says goodbye. Its seats lapse with their lease. */
    @Override
    public void close() {
        events.add(() -> {
            swim.leave();
            stopping = true;
        });
        try {
            thread.join(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stopping = true;
        socket.close();
    }
}
