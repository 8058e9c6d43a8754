package gradereach.standins.frames;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An executor that answers most requests, in its own time. What arrives is told to the auditor as it arrives. */
public final class FrameExecutor {
    /** So long after its draining began an executor still takes requests in: the bench's do for 0.4 to 0.75 s. */
    private static final double TURNS_AWAY_AFTER = 600;
    private static final double RESUMING = 50; // milliseconds within which a socket's backlog is read
    private static final int SHORTEST_WORK = 5;
    private static final int WORK_SPREAD = 40;
    private static final int SHORTEST_LATENESS = 600;
    private static final int LATENESS_SPREAD = 1000;
    /** One of so many late answers comes twice, the second copy within so long of the first. */
    private static final int SECOND_COPIES = 4;
    private static final int SECOND_COPY_SPREAD = 300;
    private static final int SHORTEST_LOAD = 20;
    private static final int LOAD_SPREAD = 40;

    /** Its id in the list. */
    public final String instance;
    /** Its name for the auditor: of two processes under one id each has its own. */
    public final String process;
    public final String address;
    /** The share of requests that meet a fault: silence, a closed connection, a spoilt or a doubled answer. */
    public volatile double faults;
    private final PeerLoops loops;
    private final RequestAuditor auditor;
    private final Random chance;
    private volatile double drainsSince = Double.POSITIVE_INFINITY;
    private volatile long probesHeldMillis;
    private volatile double probesLateUntil = Double.NEGATIVE_INFINITY;
    private volatile double answersLateUntil = Double.NEGATIVE_INFINITY;
    private volatile boolean ended;
    private final AtomicInteger misses = new AtomicInteger();
    private final PeerListener listener;
    /** From when on a copy of each function that was ordered stands, where the process began with none; null where all do. */
    private final Map<String, Double> standsFrom;

    /** Listens on a port of its own; everything is loaded there. */
    public FrameExecutor(PeerLoops loops, RequestAuditor auditor, String instance, long seed) throws InterruptedException {
        this.loops = loops;
        this.auditor = auditor;
        this.instance = instance;
        process = instance;
        chance = new Random(seed);
        standsFrom = null;
        listener = new PeerListener(loops, this::session);
        address = listener.address();
    }

    /** Listens at once where another has ended; nothing is loaded there. */
    private FrameExecutor(FrameExecutor before, String instance, long seed) throws InterruptedException {
        loops = before.loops;
        auditor = before.auditor;
        this.instance = instance;
        process = instance.equals(before.instance) ? before.process + "'" : instance;
        chance = new Random(seed);
        standsFrom = new ConcurrentHashMap<>();
        listener = new PeerListener(loops, before.listener.port(), this::session);
        address = listener.address();
    }

    private Session session(Channel connection) {
        return new Session(PeerLoops.remotePort(connection));
    }

    /** From now on it says so to probes, and a while later it turns requests away; it stays up. */
    public void drain() {
        drainsSince = loops.now();
    }

    private boolean drains() {
        return loops.now() >= drainsSince;
    }

    /** Its process has ended: connections are reset, new ones refused. */
    public void stop() throws InterruptedException {
        listener.stop();
        end();
    }

    private void end() {
        ended = true;
        resetAll();
    }

    /**
     * Its process ends, and another one listens at its address at once, with nothing loaded.
     *
     * @param next its id
     * @param lingers for how long the connections to the old process stay: until then it takes nothing new, and answers what it had
     */
    public FrameExecutor replacedBy(String next, long seed, long lingers) throws InterruptedException {
        listener.stop();
        if (lingers == 0) {
            end();
        } else {
            drain();
            loops.next().schedule(this::end, lingers, TimeUnit.MILLISECONDS);
        }
        return new FrameExecutor(this, next, seed);
    }

    /** A new process at the same address. */
    public void startAgain() throws InterruptedException {
        ended = false;
        drainsSince = Double.POSITIVE_INFINITY;
        listener.startAgain();
    }

    /** Reads nothing for so long: what front ends write piles up. */
    public void stopReading(long millis) {
        for (Channel connection : listener.connections()) {
            connection.eventLoop().execute(() -> connection.pipeline().get(Session.class).stopReading(connection, millis));
        }
    }

    /** For so long it answers probes and questions late, some of them twice, with what held when they came. */
    public void answerProbesLate(long millis) {
        probesLateUntil = loops.now() + millis;
    }

    /** From now on it answers every probe so much later, with what held when it came. */
    public void holdProbes(long millis) {
        probesHeldMillis = millis;
    }

    /** Requests that came for what is not loaded. */
    public int misses() {
        return misses.get();
    }

    /** For so long it is late with its answers to requests. */
    public void answerLate(long millis) {
        answersLateUntil = loops.now() + millis;
    }

    /** Resets every connection. */
    public void resetAll() {
        for (Channel connection : listener.connections()) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
        }
    }

    private synchronized void request(Channel to, Frames.Command asked, double arrivedAt, RequestAuditor.Sender sender) {
        String name = "%016x".formatted(asked.id());
        auditor.attempt(process, name, arrivedAt, asked.number("patience", 0), sender);
        auditor.weighs(process, arrivedAt, loops.now(), sender);
        if (loops.now() > drainsSince + TURNS_AWAY_AFTER) {
            to.writeAndFlush(Frames.of(Frames.FULL, asked.id(), ""));
            return;
        }
        if (!wasOrdered(asked.text("asset"))) {
            misses.incrementAndGet();
            to.writeAndFlush(Frames.of(Frames.MISSING, asked.id(), ""));
            return;
        }
        auditor.taken(process, name);
        double draw = chance.nextDouble();
        long late = loops.now() < answersLateUntil ? SHORTEST_LATENESS + chance.nextInt(LATENESS_SPREAD) : 0;
        long millis = late + untilStands(asked.text("asset")) + SHORTEST_WORK + chance.nextInt(WORK_SPREAD);
        if (draw < faults / 3) {
            return; // silent
        }
        if (draw < faults / 2) {
            to.eventLoop().schedule(() -> to.close(), millis, TimeUnit.MILLISECONDS);
            return;
        }
        boolean spoilt = draw < faults * 2 / 3;
        boolean twice = draw > 1 - faults / 3;
        to.eventLoop().schedule(() -> answer(to, asked, spoilt, twice), millis, TimeUnit.MILLISECONDS);
    }

    private boolean wasOrdered(String function) {
        return standsFrom == null || standsFrom.containsKey(function);
    }

    /** Milliseconds until a copy stands that was ordered. */
    private long untilStands(String function) {
        return standsFrom == null ? 0 : Math.max(0, Math.round(standsFrom.get(function) - loops.now()));
    }

    private void load(String function) {
        if (standsFrom != null) {
            standsFrom.putIfAbsent(function, loops.now() + SHORTEST_LOAD + chance.nextInt(LOAD_SPREAD));
        }
    }

    private void unload(String function) {
        if (standsFrom != null) {
            standsFrom.remove(function);
        }
    }

    /** Answers a probe, or a question about copies: what is said holds now, and may be said later. */
    private void tell(Channel to, ByteBuf said, ProbeHistory.Probe probe) {
        if (probesHeldMillis > 0) {
            to.eventLoop().schedule(() -> say(to, said, probe), probesHeldMillis, TimeUnit.MILLISECONDS);
            return;
        }
        if (loops.now() >= probesLateUntil) {
            say(to, said, probe);
            return;
        }
        long late = SHORTEST_LATENESS + chance.nextInt(LATENESS_SPREAD);
        if (chance.nextInt(SECOND_COPIES) == 0) {
            ByteBuf copy = said.copy();
            to.eventLoop().schedule(() -> say(to, copy, probe), late + chance.nextInt(SECOND_COPY_SPREAD), TimeUnit.MILLISECONDS);
        }
        to.eventLoop().schedule(() -> say(to, said, probe), late, TimeUnit.MILLISECONDS);
    }

    private void say(Channel to, ByteBuf said, ProbeHistory.Probe probe) {
        auditor.probes.answered(probe, loops.now());
        to.writeAndFlush(said);
    }

    private void answer(Channel to, Frames.Command asked, boolean spoilt, boolean twice) {
        String made = instance + " made " + new String(asked.body(), StandardCharsets.US_ASCII);
        byte[] frame = Frames.bytes(Frames.RETURNED, asked.id(), "n2=ready", made.getBytes(StandardCharsets.US_ASCII));
        if (spoilt) {
            frame[frame.length - 5] ^= 1;
        }
        auditor.made("%016x".formatted(asked.id()), made);
        to.writeAndFlush(Unpooled.wrappedBuffer(frame));
        if (twice) {
            to.writeAndFlush(Unpooled.wrappedBuffer(frame));
        }
    }

    /** Commands of one connection. */
    private final class Session extends ByteToMessageDecoder {
        /** When it stopped reading, and when it read first after that: what it reads then may have lain in its socket since. */
        private double stoppedAt = Double.NaN;
        private double readAgainAt = Double.NaN;
        private int stops;
        private final RequestAuditor.Sender sender;

        private Session(int port) {
            sender = new RequestAuditor.Sender(port);
        }

        private void stopReading(Channel connection, long millis) {
            stoppedAt = stops > 0 ? stoppedAt : loops.now();
            readAgainAt = Double.NaN;
            stops++;
            connection.config().setAutoRead(false);
            connection.eventLoop().schedule(() -> {
                if (--stops == 0) {
                    readAgainAt = Double.NaN;
                    connection.config().setAutoRead(true);
                }
            }, millis, TimeUnit.MILLISECONDS);
        }

        private double arrivedAt() {
            double now = loops.now();
            if (Double.isNaN(stoppedAt) || stops > 0) {
                return now; // what is still read while it stops came before
            }
            readAgainAt = Double.isNaN(readAgainAt) ? now : readAgainAt;
            return now - readAgainAt <= RESUMING ? stoppedAt : now;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (ended) {
                in.skipBytes(in.readableBytes());
                ctx.close(); // the process that had accepted it is no more
                return;
            }
            Frames.Command command = Frames.read(in);
            if (command != null) {
                obey(ctx, command);
                out.add(command); // tells the decoder to go on; nothing beyond this handler hears it
            }
        }

        private void obey(ChannelHandlerContext ctx, Frames.Command command) {
            switch (command.code()) {
                case Frames.REQUEST -> request(ctx.channel(), command, arrivedAt(), sender);
                case Frames.REPORT -> report(ctx.channel(), command);
                case Frames.HOLD -> hold(ctx.channel(), command);
                case Frames.UNLOAD -> unload("%016x".formatted(command.id()));
                default -> { }
            }
        }

        private void report(Channel to, Frames.Command command) {
            boolean drains = drains();
            ProbeHistory.Probe probe = auditor.probes.asked(process, sender, loops.now(), drains ? "draining" : "ready");
            tell(to, drains ? Frames.of(Frames.DRAINING, command.id(), "") : Frames.of(Frames.READY, command.id(), "l=q:0;rif:1"), probe);
        }

        private void hold(Channel to, Frames.Command command) {
            String function = command.text("asset");
            if (command.number("n", 0) == 0) {
                boolean there = wasOrdered(function) && untilStands(function) == 0;
                tell(to, Frames.of(Frames.RETURNED, command.id(), there ? "n=1" : "n=0"),
                        auditor.probes.asked(process, sender, loops.now(), there ? "copies" : "no copy"));
                return;
            }
            auditor.ordered(process, arrivedAt(), sender);
            load(function);
            ByteBuf stands = Frames.of(Frames.RETURNED, command.id(), "n=1");
            long millis = untilStands(function);
            if (millis == 0) {
                to.writeAndFlush(stands);
            } else {
                to.eventLoop().schedule(() -> to.writeAndFlush(stands), millis, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
