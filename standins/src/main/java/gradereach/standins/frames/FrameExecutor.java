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
    private static final double REJECT_AFTER_DRAIN_MILLIS = 600;
    private static final double BACKLOG_READ_MILLIS = 50; // milliseconds within which a socket's backlog is read
    private static final int MIN_WORK_MILLIS = 5;
    private static final int WORK_RANGE_MILLIS = 40;
    private static final int MIN_DELAY_MILLIS = 600;
    private static final int DELAY_RANGE_MILLIS = 1000;
    /** One of so many late answers comes twice, the second copy within so long of the first. */
    private static final int DUPLICATE_ONE_IN = 4;
    private static final int DUPLICATE_DELAY_RANGE_MILLIS = 300;
    private static final int MIN_LOAD_MILLIS = 20;
    private static final int LOAD_RANGE_MILLIS = 40;

    /** Its id in the list. */
    public final String instanceId;
    /** Its name for the auditor: of two processes under one id each has its own. */
    public final String processName;
    public final String address;
    /** The share of requests that meet a fault: silence, a closed connection, a spoilt or a doubled answer. */
    public volatile double faultRate;
    private final PeerEventLoops loops;
    private final RequestAuditor auditor;
    private final Random random;
    private volatile double drainingSince = Double.POSITIVE_INFINITY;
    private volatile long probeDelayMillis;
    private volatile double probeDelaysUntil = Double.NEGATIVE_INFINITY;
    private volatile double answerDelaysUntil = Double.NEGATIVE_INFINITY;
    private volatile boolean terminated;
    private final AtomicInteger missCount = new AtomicInteger();
    private final PeerListener listener;
    /** From when on a copy of each function that was ordered stands, where the process began with none; null where all do. */
    private final Map<String, Double> copyReadyAt;

    /** Listens on a port of its own; everything is loaded there. */
    public FrameExecutor(PeerEventLoops loops, RequestAuditor auditor, String instance, long seed) throws InterruptedException {
        this.loops = loops;
        this.auditor = auditor;
        this.instanceId = instance;
        processName = instance;
        random = new Random(seed);
        copyReadyAt = null;
        listener = new PeerListener(loops, this::createSession);
        address = listener.address();
    }

    /** Listens at once where another has ended; nothing is loaded there. */
    private FrameExecutor(FrameExecutor before, String instance, long seed) throws InterruptedException {
        loops = before.loops;
        auditor = before.auditor;
        this.instanceId = instance;
        processName = instance.equals(before.instanceId) ? before.processName + "'" : instance;
        random = new Random(seed);
        copyReadyAt = new ConcurrentHashMap<>();
        listener = new PeerListener(loops, before.listener.port(), this::createSession);
        address = listener.address();
    }

    private Session createSession(Channel connection) {
        return new Session(PeerEventLoops.remotePort(connection));
    }

    /** From now on it says so to probes, and a while later it turns requests away; it stays up. */
    public void startDraining() {
        drainingSince = loops.now();
    }

    private boolean isDraining() {
        return loops.now() >= drainingSince;
    }

    /** Its process has ended: connections are reset, new ones refused. */
    public void stop() throws InterruptedException {
        listener.stop();
        terminate();
    }

    private void terminate() {
        terminated = true;
        resetConnections();
    }

    /**
     * Its process ends, and another one listens at its address at once, with nothing loaded.
     *
     * @param next its id
     * @param lingers for how long the connections to the old process stay: until then it takes nothing new, and answers what it had
     */
    public FrameExecutor replaceWith(String next, long seed, long lingers) throws InterruptedException {
        listener.stop();
        if (lingers == 0) {
            terminate();
        } else {
            startDraining();
            loops.next().schedule(this::terminate, lingers, TimeUnit.MILLISECONDS);
        }
        return new FrameExecutor(this, next, seed);
    }

    /** A new process at the same address. */
    public void restart() throws InterruptedException {
        terminated = false;
        drainingSince = Double.POSITIVE_INFINITY;
        listener.restart();
    }

    /** Reads nothing for so long: what front ends write piles up. */
    public void pauseReading(long millis) {
        for (Channel connection : listener.connections()) {
            connection.eventLoop().execute(() -> connection.pipeline().get(Session.class).pauseReading(connection, millis));
        }
    }

    /** For so long it answers probes and questions late, some of them twice, with what held when they came. */
    public void delayProbeAnswersFor(long millis) {
        probeDelaysUntil = loops.now() + millis;
    }

    /** From now on it answers every probe so much later, with what held when it came. */
    public void setProbeDelay(long millis) {
        probeDelayMillis = millis;
    }

    /** Requests that came for what is not loaded. */
    public int missCount() {
        return missCount.get();
    }

    /** For so long it is late with its answers to requests. */
    public void delayAnswersFor(long millis) {
        answerDelaysUntil = loops.now() + millis;
    }

    /** Resets every connection. */
    public void resetConnections() {
        for (Channel connection : listener.connections()) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            connection.close();
        }
    }

    private synchronized void handleRequest(Channel to, Frames.Command asked, double arrivedAt, RequestAuditor.Sender sender) {
        String name = "%016x".formatted(asked.id());
        auditor.attemptReceived(processName, name, arrivedAt, asked.numberField("patience", 0), sender);
        auditor.countForColdStart(processName, arrivedAt, loops.now(), sender);
        if (loops.now() > drainingSince + REJECT_AFTER_DRAIN_MILLIS) {
            to.writeAndFlush(Frames.of(Frames.FULL, asked.id(), ""));
            return;
        }
        if (!isLoadedOrLoading(asked.textField("asset"))) {
            missCount.incrementAndGet();
            to.writeAndFlush(Frames.of(Frames.MISSING, asked.id(), ""));
            return;
        }
        auditor.attemptAccepted(processName, name);
        double draw = random.nextDouble();
        long late = loops.now() < answerDelaysUntil ? MIN_DELAY_MILLIS + random.nextInt(DELAY_RANGE_MILLIS) : 0;
        long millis = late + millisUntilReady(asked.textField("asset")) + MIN_WORK_MILLIS + random.nextInt(WORK_RANGE_MILLIS);
        if (draw < faultRate / 3) {
            return; // silent
        }
        if (draw < faultRate / 2) {
            to.eventLoop().schedule(() -> to.close(), millis, TimeUnit.MILLISECONDS);
            return;
        }
        boolean spoilt = draw < faultRate * 2 / 3;
        boolean twice = draw > 1 - faultRate / 3;
        to.eventLoop().schedule(() -> sendAnswer(to, asked, spoilt, twice), millis, TimeUnit.MILLISECONDS);
    }

    private boolean isLoadedOrLoading(String function) {
        return copyReadyAt == null || copyReadyAt.containsKey(function);
    }

    /** Milliseconds until a copy stands that was ordered. */
    private long millisUntilReady(String function) {
        return copyReadyAt == null ? 0 : Math.max(0, Math.round(copyReadyAt.get(function) - loops.now()));
    }

    private void load(String function) {
        if (copyReadyAt != null) {
            copyReadyAt.putIfAbsent(function, loops.now() + MIN_LOAD_MILLIS + random.nextInt(LOAD_RANGE_MILLIS));
        }
    }

    private void unload(String function) {
        if (copyReadyAt != null) {
            copyReadyAt.remove(function);
        }
    }

    /** Answers a probe, or a question about copies: what is said holds now, and may be said later. */
    private void sendProbeAnswer(Channel to, ByteBuf said, ProbeHistory.Probe probe) {
        if (probeDelayMillis > 0) {
            to.eventLoop().schedule(() -> writeProbeAnswer(to, said, probe), probeDelayMillis, TimeUnit.MILLISECONDS);
            return;
        }
        if (loops.now() >= probeDelaysUntil) {
            writeProbeAnswer(to, said, probe);
            return;
        }
        long late = MIN_DELAY_MILLIS + random.nextInt(DELAY_RANGE_MILLIS);
        if (random.nextInt(DUPLICATE_ONE_IN) == 0) {
            ByteBuf copy = said.copy();
            to.eventLoop().schedule(() -> writeProbeAnswer(to, copy, probe), late + random.nextInt(DUPLICATE_DELAY_RANGE_MILLIS), TimeUnit.MILLISECONDS);
        }
        to.eventLoop().schedule(() -> writeProbeAnswer(to, said, probe), late, TimeUnit.MILLISECONDS);
    }

    private void writeProbeAnswer(Channel to, ByteBuf said, ProbeHistory.Probe probe) {
        auditor.probeHistory.recordAnswer(probe, loops.now());
        to.writeAndFlush(said);
    }

    private void sendAnswer(Channel to, Frames.Command asked, boolean spoilt, boolean twice) {
        String made = instanceId + " made " + new String(asked.body(), StandardCharsets.US_ASCII);
        byte[] frame = Frames.encode(Frames.RETURNED, asked.id(), "n2=ready", made.getBytes(StandardCharsets.US_ASCII));
        if (spoilt) {
            frame[frame.length - 5] ^= 1;
        }
        auditor.executorAnswered("%016x".formatted(asked.id()), made);
        to.writeAndFlush(Unpooled.wrappedBuffer(frame));
        if (twice) {
            to.writeAndFlush(Unpooled.wrappedBuffer(frame));
        }
    }

    /** Commands of one connection. */
    private final class Session extends ByteToMessageDecoder {
        /** When it stopped reading, and when it read first after that: what it reads then may have lain in its socket since. */
        private double readingPausedAt = Double.NaN;
        private double readingResumedAt = Double.NaN;
        private int activePauses;
        private final RequestAuditor.Sender sender;

        private Session(int port) {
            sender = new RequestAuditor.Sender(port);
        }

        private void pauseReading(Channel connection, long millis) {
            readingPausedAt = activePauses > 0 ? readingPausedAt : loops.now();
            readingResumedAt = Double.NaN;
            activePauses++;
            connection.config().setAutoRead(false);
            connection.eventLoop().schedule(() -> {
                if (--activePauses == 0) {
                    readingResumedAt = Double.NaN;
                    connection.config().setAutoRead(true);
                }
            }, millis, TimeUnit.MILLISECONDS);
        }

        private double arrivedAt() {
            double now = loops.now();
            if (Double.isNaN(readingPausedAt) || activePauses > 0) {
                return now; // what is still read while it stops came before
            }
            readingResumedAt = Double.isNaN(readingResumedAt) ? now : readingResumedAt;
            return now - readingResumedAt <= BACKLOG_READ_MILLIS ? readingPausedAt : now;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (terminated) {
                in.skipBytes(in.readableBytes());
                ctx.close(); // the process that had accepted it is no more
                return;
            }
            Frames.Command command = Frames.read(in);
            if (command != null) {
                handleCommand(ctx, command);
                out.add(command); // tells the decoder to go on; nothing beyond this handler hears it
            }
        }

        private void handleCommand(ChannelHandlerContext ctx, Frames.Command command) {
            switch (command.code()) {
                case Frames.REQUEST -> handleRequest(ctx.channel(), command, arrivedAt(), sender);
                case Frames.REPORT -> handleProbe(ctx.channel(), command);
                case Frames.HOLD -> handleLoadOrder(ctx.channel(), command);
                case Frames.UNLOAD -> unload("%016x".formatted(command.id()));
                default -> { }
            }
        }

        private void handleProbe(Channel to, Frames.Command command) {
            boolean drains = isDraining();
            ProbeHistory.Probe probe = auditor.probeHistory.recordProbe(processName, sender, loops.now(), drains ? "draining" : "ready");
            sendProbeAnswer(to, drains ? Frames.of(Frames.DRAINING, command.id(), "") : Frames.of(Frames.READY, command.id(), "l=q:0;rif:1"), probe);
        }

        private void handleLoadOrder(Channel to, Frames.Command command) {
            String function = command.textField("asset");
            if (command.numberField("n", 0) == 0) {
                boolean there = isLoadedOrLoading(function) && millisUntilReady(function) == 0;
                sendProbeAnswer(to, Frames.of(Frames.RETURNED, command.id(), there ? "n=1" : "n=0"),
                        auditor.probeHistory.recordProbe(processName, sender, loops.now(), there ? "copies" : "no copy"));
                return;
            }
            auditor.loadOrderReceived(processName, arrivedAt(), sender);
            load(function);
            ByteBuf stands = Frames.of(Frames.RETURNED, command.id(), "n=1");
            long millis = millisUntilReady(function);
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
