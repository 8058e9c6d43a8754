package gradereach.standins.frames;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A scripted client that sends one request after the other to a front end, reusing its connection while that is open. */
public final class RequestClient {
    private static final AtomicLong LAST_ID = new AtomicLong();
    private static final int MODELS = 6;
    // The budget of a request is the time that its client gives the front end.
    private static final int MIN_BUDGET_MILLIS = 200;
    private static final int BUDGET_RANGE_MILLIS = 1300;
    private static final int LONG_BODY_LENGTH = 8000;
    private static final int SHORT_BODY_LENGTH = 10;
    /** One in this many requests has a long body. */
    private static final int LONG_BODY_ONE_IN = 4;
    /** One in this many requests is cancelled within its budget; the others are waited for beyond it. */
    private static final int CANCEL_ONE_IN = 8;
    private static final int WAIT_AFTER_BUDGET_MILLIS = 600;
    /** Offsets of the status code in {@code HTTP/1.1 200}. */
    private static final int STATUS_START = 9;
    private static final int STATUS_END = 12;
    /** Time for which clients still open new connections after their front end was told to stop. */
    private static final double CONNECT_AFTER_RETIRE_MILLIS = 300;

    private final PeerEventLoops loops;
    private final RequestAuditor auditor;
    private final InetSocketAddress frontEnd;
    private final Random random;
    private volatile double connectUntil = Double.POSITIVE_INFINITY;
    private volatile double requestUntil = Double.POSITIVE_INFINITY;

    /** Sends nothing before {@link #start}. */
    public RequestClient(PeerEventLoops loops, RequestAuditor auditor, InetSocketAddress frontEnd, long seed) {
        this.loops = loops;
        this.auditor = auditor;
        this.frontEnd = frontEnd;
        random = new Random(seed);
    }

    /**
     * Winds the client down after its front end was told to stop: no new connections after a short time, and no requests after
     * {@code requestsForMillis}.
     */
    public void retire(double requestsForMillis) {
        connectUntil = loops.now() + CONNECT_AFTER_RETIRE_MILLIS;
        requestUntil = loops.now() + requestsForMillis;
    }

    /** Stops sending requests at once. */
    public void stop() {
        connectUntil = Double.NEGATIVE_INFINITY;
        requestUntil = Double.NEGATIVE_INFINITY;
    }

    private boolean maySendRequests() {
        return loops.now() < requestUntil;
    }

    /** Connects and starts to send requests. */
    public void start() {
        if (loops.now() < connectUntil) {
            new Bootstrap().group(loops.group()).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ClientConnectionHandler()).connect(frontEnd);
        }
    }

    private void scheduleReconnect() {
        loops.next().schedule(this::start, 20 + random.nextInt(50), TimeUnit.MILLISECONDS);
    }

    /** Opens {@code count} connections at once, sends nothing on them, and closes them after {@code millis}. */
    public static void openSilentConnections(PeerEventLoops loops, InetSocketAddress frontEnd, int count, long millis) {
        Bootstrap bootstrap = new Bootstrap().group(loops.group()).channel(NioSocketChannel.class).handler(new SilentHandler());
        for (int i = 0; i < count; i++) {
            Channel connection = bootstrap.connect(frontEnd).channel();
            connection.eventLoop().schedule(() -> connection.close(), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Handler of a connection on which nothing is sent. */
    @ChannelHandler.Sharable
    private static final class SilentHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends the requests of one connection and reports requests and answers to the auditor. */
    private final class ClientConnectionHandler extends SimpleChannelInboundHandler<ByteBuf> {
        /** Id of the request that waits for its answer; null if there is none. */
        private String pendingId;
        private final StringBuilder received = new StringBuilder();
        private int localPort;
        /** Bytes of all requests on this connection before the latest one. */
        private long bytesWrittenBefore;
        /** Bytes of all requests on this connection. */
        private long bytesWritten;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            localPort = ((InetSocketAddress) ctx.channel().localAddress()).getPort();
            sendRequest(ctx);
        }

        private void sendRequest(ChannelHandlerContext ctx) {
            if (!maySendRequests() || !ctx.channel().isActive()) {
                ctx.close(); // a request on a connection that has ended would not be sent and must not be reported
                return;
            }
            String requestId = "%016x".formatted(LAST_ID.incrementAndGet());
            pendingId = requestId;
            received.setLength(0);
            int budget = MIN_BUDGET_MILLIS + random.nextInt(BUDGET_RANGE_MILLIS);
            String body = "for " + requestId + "x".repeat(random.nextInt(LONG_BODY_ONE_IN) == 0 ? LONG_BODY_LENGTH : SHORT_BODY_LENGTH);
            boolean repeatable = random.nextBoolean();
            auditor.requestSent(requestId, frontEnd, loops.now(), budget, repeatable);
            ByteBuf request = Unpooled.copiedBuffer("POST /v1/" + "%016x".formatted(random.nextInt(MODELS) + 1)
                    + "/fire HTTP/1.1\r\nHost: app.svc\r\nX-Class: " + (repeatable ? "look" : "book") + "\r\nRequest-Id: " + requestId
                    + "\r\nBudget-Ms: " + budget + "\r\nAccount: yard\r\nX-Attrs: memory_mb:10;lanes:2;load_ms:20\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body, StandardCharsets.US_ASCII);
            bytesWrittenBefore = bytesWritten;
            bytesWritten += request.readableBytes();
            ctx.writeAndFlush(request);
            long waitMillis = random.nextInt(CANCEL_ONE_IN) == 0 ? random.nextInt(budget) : budget + WAIT_AFTER_BUDGET_MILLIS;
            ctx.executor().schedule(() -> cancel(ctx, requestId), waitMillis, TimeUnit.MILLISECONDS);
        }

        private void cancel(ChannelHandlerContext ctx, String requestId) {
            if (requestId.equals(pendingId)) {
                pendingId = null;
                auditor.requestCancelled(requestId, loops.now());
                ctx.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            received.append(bytes.toString(StandardCharsets.ISO_8859_1));
            int headEnd = received.indexOf("\r\n\r\n");
            if (headEnd < 0 || pendingId == null) {
                return;
            }
            String head = received.substring(0, headEnd).toLowerCase();
            int bodyLength = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
            if (received.length() < headEnd + 4 + bodyLength) {
                return;
            }
            auditor.answerReceived(pendingId, Integer.parseInt(head.substring(STATUS_START, STATUS_END)),
                    received.substring(headEnd + 4, headEnd + 4 + bodyLength), loops.now());
            pendingId = null;
            if (head.contains("connection: close")) {
                ctx.close();
            } else {
                ctx.executor().schedule(() -> sendRequest(ctx), 10 + random.nextInt(60), TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (pendingId != null) {
                auditor.connectionEnded(pendingId, loops.now(), localPort, bytesWrittenBefore);
                pendingId = null;
            }
            scheduleReconnect();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
