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

/** A client of one front end that asks again and again, on one connection for as long as that is there. */
public final class RequestClient {
    private static final AtomicLong IDS = new AtomicLong();
    private static final int MODELS = 6;
    private static final int SHORTEST_BUDGET = 200;
    private static final int BUDGET_SPREAD = 1300;
    private static final int LONG_BODY = 8000;
    private static final int SHORT_BODY = 10;
    /** One of so many asks with a long body. */
    private static final int LONG_BODIES = 4;
    /** One of so many leaves before its time is up; the others wait beyond it. */
    private static final int LEAVING = 8;
    private static final int WAITS_BEYOND = 600;
    /** After a front end was told to stop new connections keep coming for a while. */
    private static final double CONNECTS_ON = 300;

    private final PeerLoops loops;
    private final RequestAuditor auditor;
    private final InetSocketAddress frontEnd;
    private final Random chance;
    private volatile double noConnectionsAfter = Double.POSITIVE_INFINITY;
    private volatile double noRequestsAfter = Double.POSITIVE_INFINITY;

    /** Asks nothing before {@link #start}. */
    public RequestClient(PeerLoops loops, RequestAuditor auditor, InetSocketAddress frontEnd, long seed) {
        this.loops = loops;
        this.auditor = auditor;
        this.frontEnd = frontEnd;
        chance = new Random(seed);
    }

    /** Its front end was told to stop: it makes no new connection after a while, and asks no more after so long. */
    public void retire(double asksOnMillis) {
        noConnectionsAfter = loops.now() + CONNECTS_ON;
        noRequestsAfter = loops.now() + asksOnMillis;
    }

    /** It asks nothing more. */
    public void end() {
        noConnectionsAfter = Double.NEGATIVE_INFINITY;
        noRequestsAfter = Double.NEGATIVE_INFINITY;
    }

    private boolean asks() {
        return loops.now() < noRequestsAfter;
    }

    /** Connects, and asks from then on. */
    public void start() {
        if (loops.now() < noConnectionsAfter) {
            new Bootstrap().group(loops.group()).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .handler(new Conversation()).connect(frontEnd);
        }
    }

    private void startLater() {
        loops.next().schedule(this::start, 20 + chance.nextInt(50), TimeUnit.MILLISECONDS);
    }

    /** So many connect at once, say nothing, and leave after so long. */
    public static void silentCrowd(PeerLoops loops, InetSocketAddress frontEnd, int size, long millis) {
        Bootstrap connects = new Bootstrap().group(loops.group()).channel(NioSocketChannel.class).handler(new Silent());
        for (int i = 0; i < size; i++) {
            Channel connection = connects.connect(frontEnd).channel();
            connection.eventLoop().schedule(() -> connection.close(), millis, TimeUnit.MILLISECONDS);
        }
    }

    @ChannelHandler.Sharable
    private static final class Silent extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** One connection. */
    private final class Conversation extends SimpleChannelInboundHandler<ByteBuf> {
        /** Of the request that waits for its answer; null where none does. */
        private String id;
        private final StringBuilder heard = new StringBuilder();
        private int port;
        /** Bytes of all requests but the latest, and of all. */
        private long writtenBefore;
        private long written;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            port = ((InetSocketAddress) ctx.channel().localAddress()).getPort();
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            if (!asks() || !ctx.channel().isActive()) {
                ctx.close(); // where it had ended meanwhile, nothing would be sent: that is no request
                return;
            }
            String now = "%016x".formatted(IDS.incrementAndGet());
            id = now;
            heard.setLength(0);
            int budget = SHORTEST_BUDGET + chance.nextInt(BUDGET_SPREAD);
            String body = "for " + now + "x".repeat(chance.nextInt(LONG_BODIES) == 0 ? LONG_BODY : SHORT_BODY);
            boolean repeatable = chance.nextBoolean();
            auditor.asked(now, frontEnd, loops.now(), budget, repeatable);
            ByteBuf request = Unpooled.copiedBuffer("POST /v1/" + "%016x".formatted(chance.nextInt(MODELS) + 1)
                    + "/fire HTTP/1.1\r\nHost: app.svc\r\nX-Class: " + (repeatable ? "look" : "book") + "\r\nRequest-Id: " + now
                    + "\r\nBudget-Ms: " + budget + "\r\nAccount: yard\r\nX-Attrs: memory_mb:10;lanes:2;load_ms:20\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body, StandardCharsets.US_ASCII);
            writtenBefore = written;
            written += request.readableBytes();
            ctx.writeAndFlush(request);
            long patience = chance.nextInt(LEAVING) == 0 ? chance.nextInt(budget) : budget + WAITS_BEYOND;
            ctx.executor().schedule(() -> leave(ctx, now), patience, TimeUnit.MILLISECONDS);
        }

        private void leave(ChannelHandlerContext ctx, String asked) {
            if (asked.equals(id)) {
                id = null;
                auditor.left(asked, loops.now());
                ctx.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            heard.append(bytes.toString(StandardCharsets.ISO_8859_1));
            int end = heard.indexOf("\r\n\r\n");
            if (end < 0 || id == null) {
                return;
            }
            String head = heard.substring(0, end).toLowerCase();
            int length = Integer.parseInt(head.replaceAll("(?s).*content-length: (\\d+).*", "$1"));
            if (heard.length() < end + 4 + length) {
                return;
            }
            auditor.answered(id, Integer.parseInt(head.substring(9, 12)), heard.substring(end + 4, end + 4 + length),
                    loops.now());
            id = null;
            if (head.contains("connection: close")) {
                ctx.close();
            } else {
                ctx.executor().schedule(() -> ask(ctx), 10 + chance.nextInt(60), TimeUnit.MILLISECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (id != null) {
                auditor.connectionEnded(id, loops.now(), port, writtenBefore);
                id = null;
            }
            startLater();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
