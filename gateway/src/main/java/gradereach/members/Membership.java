package gradereach.members;

import gradereach.counts.Counts;
import gradereach.membership.Member;
import gradereach.membership.Message;
import gradereach.membership.SeatGrantor;
import gradereach.membership.SeatHolder;
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
 * Runs membership over UDP. One thread owns the socket and the three state machines: SWIM membership, the seats that this front end
 * grants as a grantor, and the seats that it holds. It notifies the listener when this front end's share changes.
 */
public final class Membership implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    /** Above the length of any message: the longest one is a full member list, with some 60 bytes for each member. */
    private static final int MAX_DATAGRAM_BYTES = 65_000;
    private static final double UNAUTHENTICATED_LOG_INTERVAL_MILLIS = 60_000;
    private static final double MIN_JOIN_INTERVAL_MILLIS = 2000;
    private static final double JOIN_JITTER_MILLIS = 1000;
    private static final double MAX_RECEIVE_WAIT_MILLIS = 100;
    /** Weight of the last round's rate: smooths over some three rounds, a lease in all, so that shares follow traffic slowly. */
    private static final double RATE_SMOOTHING_FACTOR = 0.3;

    /**
     * The configuration of a member.
     *
     * @param name name of this front end
     * @param secrets keys of the cluster; the first one encrypts
     * @param grantorAddresses all grantors, this front end included, in the same order on every front end
     * @param seatCount number of seats into which shared budgets are divided
     * @param leaseMillis lease of a seat
     */
    public record Config(String name, InetSocketAddress listenAddress, String cluster, List<byte[]> secrets,
            List<String> grantorAddresses, int seatCount, double leaseMillis) { }

    /** Notified of this front end's share of the budgets that front ends share. */
    public interface ShareListener {
        /**
         * The share has changed.
         *
         * @param share fraction of the shared budgets that this front end may spend, 0 to 1
         * @param validUntil when the share ends at the latest unless it is renewed, by the clock given to the constructor
         */
        void onShareChanged(double share, double validUntil);
    }

    /**
     * A snapshot of the members and the share, for monitoring.
     *
     * @param presentCount members that are present, this one included
     * @param healthScore see {@link Swim#healthScore}
     */
    public record View(Member self, Collection<Member> members, int presentCount, double share, int healthScore) { }

    /** The traffic that a holder reported last; {@code rate} in inferences a second. */
    private record Traffic(double rate, double reportedAt) { }

    private final Config config;
    private final DatagramCipher cipher;
    private final DatagramSocket socket;
    private final String address;
    private final DoubleSupplier clock;
    private final DoubleSupplier inferencesAccepted;
    private final ShareListener shareListener;
    private final Random random;
    private final Swim swim;
    private final SeatGrantor grantor;
    private final SeatHolder holder;
    private final Map<String, Traffic> trafficByHolder = new HashMap<>();
    private final ConcurrentLinkedQueue<Runnable> events = new ConcurrentLinkedQueue<>();
    private final LongAdder unauthenticatedDatagrams;
    private final LongAdder datagramsSent;
    private final LongAdder unreadableDatagrams;
    private final Counts.Limit presentCount;
    private final Counts.Limit heldSeats;
    private final Thread thread = new Thread(this::run, "members");
    private double unauthenticatedLoggedAt = Double.NEGATIVE_INFINITY;
    private double totalRate;
    private int holderCount = 1;
    private double lastInferencesAccepted;
    private double ownRate;
    private double rateMeasuredAt;
    private double notifiedShare = -1;
    private double notifiedValidUntil;
    private volatile View view;
    private volatile boolean stopping;

    /**
     * Binds the socket; {@link #start} starts the thread.
     *
     * @param clock monotonic, milliseconds
     * @param inferencesAccepted total of inferences that this front end has accepted since its start
     * @param shareListener notified when the share or its end changes, on the thread of this membership
     */
    public Membership(Config config, Random random, DoubleSupplier clock, DoubleSupplier inferencesAccepted, ShareListener shareListener,
            Counts counts) throws IOException {
        this(config, new DatagramSocket(config.listenAddress), random, clock, inferencesAccepted, shareListener, counts);
    }

    Membership(Config config, DatagramSocket socket, Random random, DoubleSupplier clock, DoubleSupplier inferencesAccepted,
            ShareListener shareListener, Counts counts) {
        this.config = config;
        this.socket = socket;
        this.clock = clock;
        this.inferencesAccepted = inferencesAccepted;
        this.shareListener = shareListener;
        this.random = random;
        cipher = new DatagramCipher(config.cluster, config.secrets);
        address = socket.getLocalAddress().getHostAddress() + ":" + socket.getLocalPort();
        double now = clock.getAsDouble();
        long incarnation = System.currentTimeMillis();
        swim = new Swim(config.name, address, incarnation, Swim.Timing.LOCAL_NETWORK, random, now, new Swim.Environment() {
            @Override
            public void send(String destination, Message message) {
                Membership.this.send(destination, message);
            }

            @Override
            public void onMemberChanged(Member member) {
                LOG.atInfo().addKeyValue("member", member.name()).addKeyValue("state", member.state())
                        .addKeyValue("incarnation", member.incarnation()).log("member");
            }
        });
        grantor = new SeatGrantor(config.seatCount, config.leaseMillis, now);
        // Each run is a holder of its own: the seats of the run before stay with that one until their leases expire.
        String holderName = SeatHolder.uniqueName(config.name, new SecureRandom());
        holder = new SeatHolder(holderName, config.seatCount, config.grantorAddresses.size(), config.leaseMillis, random);
        unauthenticatedDatagrams = counts.counter("members_strangers");
        datagramsSent = counts.counter("members_datagrams_sent");
        unreadableDatagrams = counts.counter("members_datagrams_unreadable");
        presentCount = counts.limit("members_present", Long.MAX_VALUE);
        heldSeats = counts.limit("members_seats_held", config.seatCount);
        thread.setDaemon(true);
    }

    /** The address of the socket. */
    public String address() {
        return address;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** The latest snapshot; null until the first one. */
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
            if (now >= joinAt && swim.presentCount() < config.grantorAddresses.size()) {
                // Absent grantors are contacted again from time to time: SWIM does not ping dead members.
                swim.join(config.grantorAddresses);
                joinAt = now + MIN_JOIN_INTERVAL_MILLIS + JOIN_JITTER_MILLIS * random.nextDouble();
            }
            swim.tick(now);
            if (now >= holder.nextRoundAt()) {
                startRound(now);
            }
            publish(now);
            double nextAt = Math.min(Math.min(swim.nextTickAt(), holder.nextRoundAt()), now + MAX_RECEIVE_WAIT_MILLIS);
            try {
                socket.setSoTimeout((int) Math.max(1, Math.ceil(nextAt - clock.getAsDouble())));
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                handleDatagram(Arrays.copyOf(packet.getData(), packet.getLength()), clock.getAsDouble());
            } catch (SocketTimeoutException e) {
                // the next action is due
            } catch (IOException e) {
                if (!stopping) {
                    LOG.warn("cannot receive a membership datagram: {}", e.getMessage());
                }
            }
        }
    }

    /** Sends a round of seat requests to all grantors, this front end's own included. */
    private void startRound(double now) {
        if (rateMeasuredAt > 0) {
            double currentRate = (inferencesAccepted.getAsDouble() - lastInferencesAccepted) / Math.max(1, now - rateMeasuredAt) * 1000;
            ownRate += RATE_SMOOTHING_FACTOR * (currentRate - ownRate);
        }
        lastInferencesAccepted = inferencesAccepted.getAsDouble();
        rateMeasuredAt = now;
        // One inference a second is added for each front end, so that an idle one keeps a share.
        double trafficShare = (ownRate + 1) / Math.max(ownRate + 1, totalRate + holderCount);
        SeatHolder.Request request = holder.startRound(trafficShare, now);
        MembershipCodec.SeatRequest seatRequest = new MembershipCodec.SeatRequest(holder.name(), address, request.round(), ownRate,
                request.wanted(), request.released());
        for (String grantorAddress : config.grantorAddresses) {
            if (grantorAddress.equals(address)) {
                handleResponse(handleRequest(seatRequest, now));
            } else {
                send(grantorAddress, seatRequest);
            }
        }
        totalRate = 0;
        holderCount = 1;
    }

    private MembershipCodec.SeatResponse handleRequest(MembershipCodec.SeatRequest request, double now) {
        trafficByHolder.put(request.holderName(), new Traffic(request.rate(), now));
        trafficByHolder.values().removeIf(report -> now - report.reportedAt > 2 * config.leaseMillis);
        SeatGrantor.Grant grant = grantor.handleRequest(request.holderName(), request.round(), request.wanted(),
                request.released(), now);
        return grant == null ? null : new MembershipCodec.SeatResponse(address, request.round(),
                trafficByHolder.values().stream().mapToDouble(Traffic::rate).sum(), trafficByHolder.size(), grant.granted(),
                grant.available());
    }

    private void handleResponse(MembershipCodec.SeatResponse response) {
        int grantorIndex = response == null ? -1 : config.grantorAddresses.indexOf(response.grantorAddress());
        if (grantorIndex >= 0) {
            totalRate = Math.max(totalRate, response.totalRate());
            holderCount = Math.max(holderCount, response.holderCount());
            holder.handleGrant(grantorIndex, response.round(), new SeatGrantor.Grant(response.granted(), response.available()));
        }
    }

    /**
     * Notifies the listener of a changed share and updates what is monitored. The listener gets the time at which the first lease
     * ends, so that the share ends even if this thread stalls.
     */
    private void publish(double now) {
        double share = holder.share(now);
        double validUntil = holder.earliestExpiry(now);
        if (share != notifiedShare || validUntil != notifiedValidUntil) {
            notifiedShare = share;
            notifiedValidUntil = validUntil;
            shareListener.onShareChanged(share, validUntil);
        }
        presentCount.setInUse(swim.presentCount());
        heldSeats.setInUse(Math.round(share * config.seatCount));
        view = new View(swim.self(), swim.members(), swim.presentCount(), share, swim.healthScore());
    }

    private void handleDatagram(byte[] datagram, double now) {
        byte[] message = cipher.decrypt(datagram);
        if (message == null) {
            unauthenticatedDatagrams.increment();
            if (now - unauthenticatedLoggedAt > UNAUTHENTICATED_LOG_INTERVAL_MILLIS) {
                unauthenticatedLoggedAt = now;
                LOG.warn("received datagrams that no key of this cluster decrypts");
            }
            return;
        }
        try {
            Object decoded = MembershipCodec.decode(message);
            if (decoded instanceof Message swimMessage) {
                swim.handleMessage(swimMessage, now);
            } else if (decoded instanceof MembershipCodec.SeatRequest request) {
                MembershipCodec.SeatResponse response = handleRequest(request, now);
                if (response != null) {
                    send(request.holderAddress(), response);
                }
            } else if (decoded instanceof MembershipCodec.SeatResponse response) {
                handleResponse(response);
            }
        } catch (IOException e) {
            unreadableDatagrams.increment();
        }
    }

    private void send(String destination, Object message) {
        byte[] datagram = cipher.encrypt(MembershipCodec.encode(message));
        int colon = destination.lastIndexOf(':');
        try {
            socket.send(new DatagramPacket(datagram, datagram.length,
                    new InetSocketAddress(destination.substring(0, colon), Integer.parseInt(destination.substring(colon + 1)))));
            datagramsSent.increment();
        } catch (IOException | IllegalArgumentException e) {
            // Treated as a lost datagram; SWIM detects a member that does not respond.
        }
    }

    /** Announces that this member leaves, and stops the thread. Its seats stay held until their leases expire. */
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
