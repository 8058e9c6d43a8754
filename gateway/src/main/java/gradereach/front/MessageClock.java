package gradereach.front;

import gradereach.counts.Counts;
import gradereach.loop.UnreadBytes;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Times a connection (HTTP/1.1) or a stream (HTTP/2): a message that does not come whole in time is cut off, and so
 * is a connection that brings none. First in the pipeline: it sees bytes or frames before any codec. Who sees the end of
 * a message first tells it by {@link #whole}, whether that message is worked on at once or not.
 */
final class MessageClock extends ChannelInboundHandlerAdapter {
    /** Fired down the pipeline when a message took too long. */
    static final Object TOO_SLOW = new Object();

    /** So many reads in a row may leave something in the socket (Netty's own number of reads in one turn). */
    private static final int FULL_TURN = 16;

    private final long wholeWithin;
    private final long idle;
    private final DoubleSupplier clock;
    private final DoubleSupplier arrivals;
    private final Counts.Limit slow;
    private ScheduledFuture<?> deadline;
    private boolean inMessage;
    /** Whole messages without an answer. */
    private int owed;
    private boolean stopped;
    private double firstByteAt;
    private double lastReadAt;
    private boolean paused;
    /** Since when something may lie unread by our own doing; NaN where nothing does. */
    private double unreadSince = Double.NaN;
    private int readsInARow;
    private double quietSince;

    /**
     * Times in milliseconds; {@code idle} 0 for none, as on an HTTP/2 stream, which has its connection's.
     *
     * @param arrivals the earliest time at which what is read now may have come
     */
    MessageClock(long wholeWithin, long idle, DoubleSupplier clock, DoubleSupplier arrivals, Counts.Limit slow) {
        this.wholeWithin = wholeWithin;
        this.idle = idle;
        this.clock = clock;
        this.arrivals = arrivals;
        this.slow = slow;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        quietSince = clock.getAsDouble();
        if (idle > 0) {
            checkIdle(ctx);
        }
    }

    private void checkIdle(ChannelHandlerContext ctx) {
        ctx.executor().schedule(() -> {
            if (ctx.channel().isActive() && !ctx.isRemoved() && !closeIfIdle(ctx)) {
                checkIdle(ctx);
            }
        }, Math.max(1, idle / 4), TimeUnit.MILLISECONDS);
    }

    /** Whether it was closed: a message that lies unread makes a connection no idle one. */
    boolean closeIfIdle(ChannelHandlerContext ctx) {
        if (!idleNow()) {
            return false;
        }
        UnreadBytes.read(ctx.channel());
        boolean closes = idleNow();
        if (closes) {
            ctx.close();
        }
        return closes;
    }

    private boolean idleNow() {
        return !inMessage && owed == 0 && clock.getAsDouble() - quietSince >= idle;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        readsInARow++;
        // What came while nothing was read may have come as soon as reading stopped.
        lastReadAt = Double.isNaN(unreadSince) ? arrivals.getAsDouble() : Math.min(unreadSince, arrivals.getAsDouble());
        begin(ctx);
        ctx.fireChannelRead(msg);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!paused && readsInARow < FULL_TURN) {
            unreadSince = Double.NaN;
        }
        readsInARow = 0;
        ctx.fireChannelReadComplete();
    }

    /** Something of the next message is there; also told by who finds more than one message in what was read at once. */
    void begin(ChannelHandlerContext ctx) {
        if (inMessage || stopped) {
            return;
        }
        inMessage = true;
        firstByteAt = lastReadAt;
        if (!paused) {
            startTimer(ctx);
        }
    }

    private void startTimer(ChannelHandlerContext ctx) {
        deadline = ctx.executor().schedule(() -> {
            slow.refuse();
            ctx.pipeline().fireUserEventTriggered(TOO_SLOW);
        }, wholeWithin, TimeUnit.MILLISECONDS);
    }

    /** The message is whole; its first byte came at the result, in module time. */
    double whole() {
        cancel();
        inMessage = false;
        owed++;
        return firstByteAt;
    }

    /** An answer has gone out: of the oldest whole message, or of one that was refused before it was whole. */
    void answered() {
        owed = Math.max(0, owed - 1);
        quietSince = clock.getAsDouble();
    }

    /** The last answer of the connection or stream has gone out: what still comes is no message. */
    void stop() {
        cancel();
        stopped = true;
        inMessage = false;
        owed = 0;
    }

    /** The message under way waits for us: it is not timed until {@link #restart}. */
    void suspend() {
        cancel();
    }

    /** The message under way, if there is one, has its whole time again; {@code ctx} is of any handler of this pipeline. */
    void restart(ChannelHandlerContext ctx) {
        if (inMessage && !stopped && !paused && deadline == null) {
            startTimer(ctx);
        }
    }

    /** Nothing more is read for now, by our own doing. */
    void pause() {
        suspend();
        paused = true;
        if (Double.isNaN(unreadSince)) {
            unreadSince = clock.getAsDouble();
        }
    }

    /** Reading goes on. */
    void resume(ChannelHandlerContext ctx) {
        paused = false;
        restart(ctx);
    }

    private void cancel() {
        if (deadline != null) {
            deadline.cancel(false);
            deadline = null;
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        cancel();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancel();
        ctx.fireChannelInactive();
    }
}
