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

/** A scripted executor that answers most requests after random delays and reports everything that arrives to the auditor. */
public final class FrameExecutor {
    /** Time after the start of its drain for which an executor accepts requests; those of the simulator do for 0.4 to 0.75 s. */
    private static final double REJECT_AFTER_DRAIN_MILLIS = 600;
    private static final double BACKLOG_READ_MILLIS = 50; // time within which the backlog of a socket is read after a pause
    private static final int MIN_WORK_MILLIS = 5;
    private static final int WORK_RANGE_MILLIS = 40;
    // Extra delay of answers, or of probe answers, during an interval in which they are delayed.
    private static final int MIN_EXTRA_DELAY_MILLIS = 600;
    private static final int EXTRA_DELAY_RANGE_MILLIS = 1000;
    /** One in this many delayed probe answers is sent twice. */
    private static final int DUPLICATE_ONE_IN = 4;
    /** The second copy of a probe answer is sent up to this much later. */
    private static final int DUPLICATE_DELAY_RANGE_MILLIS = 300;
    private static final int MIN_LOAD_MILLIS = 20;
    private static final int LOAD_RANGE_MILLIS = 40;

    /** Instance id in the roster. */
    public final String instanceId;
    /** Name used by the auditor; unlike the instance id it differs between successive processes. */
    public final String processName;
    /** Host and port at which the executor listens. */
    public final String address;
    /** Fraction of requests with a fault: no answer, a closed connection, a corrupted or a duplicate answer. */
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
    /** When the copy of each ordered model is ready; null for a process in which every model is loaded from the start. */
    private final Map<String, Double> copyReadyAt;

    /** Listens on a port of its own, with every model loaded. */
    public FrameExecutor(PeerEventLoops loops, RequestAuditor auditor, String instanceId, long seed) throws InterruptedException {
        this.loops = loops;
        this.auditor = auditor;
        this.instanceId = instanceId;
        processName = instanceId;
        random = new Random(seed);
        copyReadyAt = null;
        listener = new PeerListener(loops, this::createSession);
        address = listener.address();
    }

    /** Listens at the address of a process that has terminated, with nothing loaded. */
    private FrameExecutor(FrameExecutor predecessor, String instanceId, long seed) throws InterruptedException {
        loops = predecessor.loops;
        auditor = predecessor.auditor;
        this.instanceId = instanceId;
        processName = instanceId.equals(predecessor.instanceId) ? predecessor.processName + "'" : instanceId;
        random = new Random(seed);
        copyReadyAt = new ConcurrentHashMap<>();
        listener = new PeerListener(loops, predecessor.listener.port(), this::createSession);
        address = listener.address();
    }

    private Session createSession(Channel connection) {
        return new Session(PeerEventLoops.remotePort(connection));
    }

    /** From now on probes are answered with draining, and after a while requests are rejected; the process keeps running. */
    public void startDraining() {
        drainingSince = loops.now();
    }

    private boolean isDraining() {
        return loops.now() >= drainingSince;
    }

    /** Terminates the process: connections are reset and new ones refused. */
    public void stop() throws InterruptedException {
        listener.stop();
        terminate();
    }

    private void terminate() {
        terminated = true;
        resetConnections();
    }

    /**
     * Replaces the process by another one that listens at the same address at once, with nothing loaded.
     *
     * @param nextInstanceId instance id of the new process
     * @param lingerMillis how long the connections to the old process stay open; until then it drains and finishes its requests
     */
    public FrameExecutor replaceWith(String nextInstanceId, long seed, long lingerMillis) throws InterruptedException {
        listener.stop();
        if (lingerMillis == 0) {
            terminate();
        } else {
            startDraining();
            loops.next().schedule(this::terminate, lingerMillis, TimeUnit.MILLISECONDS);
        }
        return new FrameExecutor(this, nextInstanceId, seed);
    }

    /** Starts a new process at the same address. */
    public void restart() throws InterruptedException {
        terminated = false;
        drainingSince = Double.POSITIVE_INFINITY;
        listener.restart();
    }

    /** Reads from no connection for this long, so that writes of the front ends pile up. */
    public void pauseReading(long millis) {
        for (Channel connection : listener.connections()) {
            connection.eventLoop().execute(() -> connection.pipeline().get(Session.class).pauseReading(connection, millis));
        }
    }

    /**
     * For this long, answers probes and status queries after a random delay, some of them twice, with the state at the time of
     * their arrival.
     */
    public void delayProbeAnswersFor(long millis) {
        probeDelaysUntil = loops.now() + millis;
    }

    /** From now on, answers every probe after this delay, with the state at the time of its arrival. */
    public void setProbeDelay(long millis) {
        probeDelayMillis = millis;
    }

    /** Number of requests for models that were not loaded. */
    public int missCount() {
        return missCount.get();
    }

    /** For this long, adds a random delay to the answers to requests. */
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

    private synchronized void handleRequest(Channel channel, Frames.Command command, double arrivedAt, RequestAuditor.Sender sender) {
        String requestId = "%016x".formatted(command.id());
        auditor.attemptReceived(processName, requestId, arrivedAt, command.numberField("patience", 0), sender);
        auditor.countForColdStart(processName, arrivedAt, loops.now(), sender);
        if (loops.now() > drainingSince + REJECT_AFTER_DRAIN_MILLIS) {
            channel.writeAndFlush(Frames.encodeWithoutBody(Frames.FULL, command.id(), ""));
            return;
        }
        if (!isLoadedOrLoading(command.textField("asset"))) {
            missCount.incrementAndGet();
            channel.writeAndFlush(Frames.encodeWithoutBody(Frames.MISSING, command.id(), ""));
            return;
        }
        auditor.attemptAccepted(processName, requestId);
        double draw = random.nextDouble();
        long extraDelayMillis = loops.now() < answerDelaysUntil ? MIN_EXTRA_DELAY_MILLIS + random.nextInt(EXTRA_DELAY_RANGE_MILLIS) : 0;
        long delayMillis = extraDelayMillis + millisUntilReady(command.textField("asset")) + MIN_WORK_MILLIS + random.nextInt(WORK_RANGE_MILLIS);
        if (draw < faultRate / 3) {
            return; // no answer
        }
        if (draw < faultRate / 2) {
            channel.eventLoop().schedule(() -> channel.close(), delayMillis, TimeUnit.MILLISECONDS);
            return;
        }
        boolean corrupted = draw < faultRate * 2 / 3;
        boolean duplicated = draw > 1 - faultRate / 3;
        channel.eventLoop().schedule(() -> sendAnswer(channel, command, corrupted, duplicated), delayMillis, TimeUnit.MILLISECONDS);
    }

    private boolean isLoadedOrLoading(String model) {
        return copyReadyAt == null || copyReadyAt.containsKey(model);
    }

    /** Milliseconds until the ordered copy is ready. */
    private long millisUntilReady(String model) {
        return copyReadyAt == null ? 0 : Math.max(0, Math.round(copyReadyAt.get(model) - loops.now()));
    }

    private void load(String model) {
        if (copyReadyAt != null) {
            copyReadyAt.putIfAbsent(model, loops.now() + MIN_LOAD_MILLIS + random.nextInt(LOAD_RANGE_MILLIS));
        }
    }

    private void unload(String model) {
        if (copyReadyAt != null) {
            copyReadyAt.remove(model);
        }
    }

    /** Answers a probe or a status query, with the configured delay; {@code answer} holds the state at the time of its arrival. */
    private void sendProbeAnswer(Channel channel, ByteBuf answer, ProbeHistory.Probe probe) {
        if (probeDelayMillis > 0) {
            channel.eventLoop().schedule(() -> writeProbeAnswer(channel, answer, probe), probeDelayMillis, TimeUnit.MILLISECONDS);
            return;
        }
        if (loops.now() >= probeDelaysUntil) {
            writeProbeAnswer(channel, answer, probe);
            return;
        }
        long delayMillis = MIN_EXTRA_DELAY_MILLIS + random.nextInt(EXTRA_DELAY_RANGE_MILLIS);
        if (random.nextInt(DUPLICATE_ONE_IN) == 0) {
            ByteBuf copy = answer.copy();
            channel.eventLoop().schedule(() -> writeProbeAnswer(channel, copy, probe),
                    delayMillis + random.nextInt(DUPLICATE_DELAY_RANGE_MILLIS), TimeUnit.MILLISECONDS);
        }
        channel.eventLoop().schedule(() -> writeProbeAnswer(channel, answer, probe), delayMillis, TimeUnit.MILLISECONDS);
    }

    private void writeProbeAnswer(Channel channel, ByteBuf answer, ProbeHistory.Probe probe) {
        auditor.probeHistory.recordAnswer(probe, loops.now());
        channel.writeAndFlush(answer);
    }

    private void sendAnswer(Channel channel, Frames.Command command, boolean corrupted, boolean duplicated) {
        String body = instanceId + " made " + new String(command.body(), StandardCharsets.US_ASCII);
        byte[] frame = Frames.encode(Frames.OK, command.id(), "n2=ready", body.getBytes(StandardCharsets.US_ASCII));
        if (corrupted) {
            frame[frame.length - 5] ^= 1; // the last byte before the checksum
        }
        auditor.executorAnswered("%016x".formatted(command.id()), body);
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
        if (duplicated) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
        }
    }

    /** Decodes and handles the commands of one connection. */
    private final class Session extends ByteToMessageDecoder {
        /**
         * When reading was paused, and when data was first read after the pause; data read right after a pause may have been
         * in the socket since its start.
         */
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
                return now; // data that is still read during a pause arrived before it
            }
            readingResumedAt = Double.isNaN(readingResumedAt) ? now : readingResumedAt;
            return now - readingResumedAt <= BACKLOG_READ_MILLIS ? readingPausedAt : now;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (terminated) {
                in.skipBytes(in.readableBytes());
                ctx.close(); // the process that had accepted the connection has terminated
                return;
            }
            Frames.Command command = Frames.read(in);
            if (command != null) {
                handleCommand(ctx, command);
                out.add(command); // makes the decoder continue; there is no further handler
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

        private void handleProbe(Channel channel, Frames.Command command) {
            boolean draining = isDraining();
            ProbeHistory.Probe probe = auditor.probeHistory.recordProbe(processName, sender, loops.now(), draining ? "draining" : "ready");
            sendProbeAnswer(channel, draining ? Frames.encodeWithoutBody(Frames.NOT_READY, command.id(), "")
                    : Frames.encodeWithoutBody(Frames.READY, command.id(), "l=q:0;rif:1"), probe);
        }

        private void handleLoadOrder(Channel channel, Frames.Command command) {
            String model = command.textField("asset");
            if (command.numberField("n", 0) == 0) { // a status query
                boolean loaded = isLoadedOrLoading(model) && millisUntilReady(model) == 0;
                sendProbeAnswer(channel, Frames.encodeWithoutBody(Frames.OK, command.id(), loaded ? "n=1" : "n=0"),
                        auditor.probeHistory.recordProbe(processName, sender, loops.now(), loaded ? "copies" : "no copy"));
                return;
            }
            auditor.loadOrderReceived(processName, arrivedAt(), sender);
            load(model);
            ByteBuf readyAnswer = Frames.encodeWithoutBody(Frames.OK, command.id(), "n=1");
            long delayMillis = millisUntilReady(model);
            if (delayMillis == 0) {
                channel.writeAndFlush(readyAnswer);
            } else {
                channel.eventLoop().schedule(() -> channel.writeAndFlush(readyAnswer), delayMillis, TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
