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
final class MessageTimeoutHandler extends ChannelInboundHandlerAdapter {
    /** Fired down the pipeline when a message took too long. */
    static final Object TIMEOUT_EVENT = new Object();

    /** So many reads in a row may leave something in the socket (Netty's own number of reads in one turn). */
    private static final int MAX_READS_PER_LOOP = 16;

    private final long messageTimeoutMillis;
    private final long idleTimeoutMillis;
    private final DoubleSupplier clock;
    private final DoubleSupplier earliestArrival;
    private final Counts.Limit timeouts;
    private ScheduledFuture<?> timer;
    private boolean messageInProgress;
    /** Whole messages without an answer. */
    private int unansweredMessages;
    private boolean stopped;
    private double firstByteAt;
    private double lastReadAt;
    private boolean readingPaused;
    /** Since when something may lie unread by our own doing; NaN where nothing does. */
    private double unreadSince = Double.NaN;
    private int consecutiveReads;
    private double idleSince;

    /**
     * Times in milliseconds; {@code idle} 0 for none, as on an HTTP/2 stream, which has its connection's.
     *
     * @param arrivals the earliest time at which what is read now may have come
     */
    MessageTimeoutHandler(long wholeWithin, long idle, DoubleSupplier clock, DoubleSupplier arrivals, Counts.Limit slow) {
        this.messageTimeoutMillis = wholeWithin;
        this.idleTimeoutMillis = idle;
        this.clock = clock;
        this.earliestArrival = arrivals;
        this.timeouts = slow;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        idleSince = clock.getAsDouble();
        if (idleTimeoutMillis > 0) {
            scheduleIdleCheck(ctx);
        }
    }

    private void scheduleIdleCheck(ChannelHandlerContext ctx) {
        ctx.executor().schedule(() -> {
            if (ctx.channel().isActive() && !ctx.isRemoved() && !closeIfIdle(ctx)) {
                scheduleIdleCheck(ctx);
            }
        }, Math.max(1, idleTimeoutMillis / 4), TimeUnit.MILLISECONDS);
    }

    /** Whether it was closed: a message that lies unread makes a connection no idle one. */
    boolean closeIfIdle(ChannelHandlerContext ctx) {
        if (!isIdle()) {
            return false;
        }
        UnreadBytes.read(ctx.channel());
        boolean closes = isIdle();
        if (closes) {
            ctx.close();
        }
        return closes;
    }

    private boolean isIdle() {
        return !messageInProgress && unansweredMessages == 0 && clock.getAsDouble() - idleSince >= idleTimeoutMillis;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        consecutiveReads++;
        // What came while nothing was read may have come as soon as reading stopped.
        lastReadAt = Double.isNaN(unreadSince) ? earliestArrival.getAsDouble() : Math.min(unreadSince, earliestArrival.getAsDouble());
        beginMessage(ctx);
        ctx.fireChannelRead(msg);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!readingPaused && consecutiveReads < MAX_READS_PER_LOOP) {
            unreadSince = Double.NaN;
        }
        consecutiveReads = 0;
        ctx.fireChannelReadComplete();
    }

    /** Something of the next message is there; also told by who finds more than one message in what was read at once. */
    void beginMessage(ChannelHandlerContext ctx) {
        if (messageInProgress || stopped) {
            return;
        }
        messageInProgress = true;
        firstByteAt = lastReadAt;
        if (!readingPaused) {
            startTimer(ctx);
        }
    }

    private void startTimer(ChannelHandlerContext ctx) {
        timer = ctx.executor().schedule(() -> {
            timeouts.recordRejection();
            ctx.pipeline().fireUserEventTriggered(TIMEOUT_EVENT);
        }, messageTimeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** The message is whole; its first byte came at the result, in module time. */
    double endMessage() {
        cancelTimer();
        messageInProgress = false;
        unansweredMessages++;
        return firstByteAt;
    }

    /** An answer has gone out: of the oldest whole message, or of one that was refused before it was whole. */
    void recordAnswer() {
        unansweredMessages = Math.max(0, unansweredMessages - 1);
        idleSince = clock.getAsDouble();
    }

    /** The last answer of the connection or stream has gone out: what still comes is no message. */
    void stop() {
        cancelTimer();
        stopped = true;
        messageInProgress = false;
        unansweredMessages = 0;
    }

    /** The message under way waits for us: it is not timed until {@link #restart}. */
    void suspendTimer() {
        cancelTimer();
    }

    /** The message under way, if there is one, has its whole time again; {@code ctx} is of any handler of this pipeline. */
    void restartTimer(ChannelHandlerContext ctx) {
        if (messageInProgress && !stopped && !readingPaused && timer == null) {
            startTimer(ctx);
        }
    }

    /** Nothing more is read for now, by our own doing. */
    void pauseReading() {
        suspendTimer();
        readingPaused = true;
        if (Double.isNaN(unreadSince)) {
            unreadSince = clock.getAsDouble();
        }
    }

    /** Reading goes on. */
    void resumeReading(ChannelHandlerContext ctx) {
        readingPaused = false;
        restartTimer(ctx);
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        cancelTimer();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        cancelTimer();
        ctx.fireChannelInactive();
    }
}
