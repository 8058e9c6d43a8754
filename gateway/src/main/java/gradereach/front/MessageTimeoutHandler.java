package gradereach.front;

import gradereach.counts.Counts;
import gradereach.loop.UnreadBytes;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Enforces timeouts on a connection (HTTP/1.1) or a stream (HTTP/2): a message must be received completely in time, and an
 * idle connection is closed. It is the first handler of the pipeline and sees bytes or frames before any codec. The first
 * handler that sees the end of a message reports it by {@link #endMessage}, even if the message is queued.
 */
final class MessageTimeoutHandler extends ChannelInboundHandlerAdapter {
    /** User event fired when a message was not received in time. */
    static final Object TIMEOUT_EVENT = new Object();

    /** Netty's default number of reads per loop; after that many, bytes may be left in the socket. */
    private static final int MAX_READS_PER_LOOP = 16;

    private final long messageTimeoutMillis;
    private final long idleTimeoutMillis;
    private final DoubleSupplier clock;
    private final DoubleSupplier earliestArrival;
    private final Counts.Limit timeouts;
    private ScheduledFuture<?> timer;
    private boolean messageInProgress;
    /** Complete messages that are not answered yet. */
    private int unansweredMessages;
    private boolean stopped;
    /** Earliest time at which the first byte of the current message may have arrived. */
    private double firstByteAt;
    /** Earliest time at which the bytes read last may have arrived. */
    private double lastBytesArrivedAt;
    private boolean readingPaused;
    /** When reading was paused; NaN once everything that may have arrived since then has been read. */
    private double unreadSince = Double.NaN;
    private int consecutiveReads;
    private double idleSince;

    /**
     * Creates a handler for one connection or stream.
     *
     * @param idleTimeoutMillis 0 for none, as on an HTTP/2 stream, whose connection has an idle timeout of its own
     * @param clock monotonic milliseconds
     * @param earliestArrival earliest time at which bytes that are read now may have arrived
     */
    MessageTimeoutHandler(long messageTimeoutMillis, long idleTimeoutMillis, DoubleSupplier clock, DoubleSupplier earliestArrival,
            Counts.Limit timeouts) {
        this.messageTimeoutMillis = messageTimeoutMillis;
        this.idleTimeoutMillis = idleTimeoutMillis;
        this.clock = clock;
        this.earliestArrival = earliestArrival;
        this.timeouts = timeouts;
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

    /** Closes the connection if it is idle and returns whether it did. A connection with an unread message is not idle. */
    boolean closeIfIdle(ChannelHandlerContext ctx) {
        if (!isIdle()) {
            return false;
        }
        UnreadBytes.read(ctx.channel());
        boolean closing = isIdle();
        if (closing) {
            ctx.close();
        }
        return closing;
    }

    private boolean isIdle() {
        return !messageInProgress && unansweredMessages == 0 && clock.getAsDouble() - idleSince >= idleTimeoutMillis;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        consecutiveReads++;
        // Bytes that arrived while reading was paused may have arrived as early as the pause began.
        lastBytesArrivedAt = Double.isNaN(unreadSince) ? earliestArrival.getAsDouble()
                : Math.min(unreadSince, earliestArrival.getAsDouble());
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

    /** Starts timing a message; also called by the handler behind the decoder, as one read may contain several messages. */
    void beginMessage(ChannelHandlerContext ctx) {
        if (messageInProgress || stopped) {
            return;
        }
        messageInProgress = true;
        firstByteAt = lastBytesArrivedAt;
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

    /** Ends the timing of a complete message and returns the earliest time at which its first byte may have arrived. */
    double endMessage() {
        cancelTimer();
        messageInProgress = false;
        unansweredMessages++;
        return firstByteAt;
    }

    /** Records an answer: to the oldest complete message, or to one that was rejected before it was complete. */
    void recordAnswer() {
        unansweredMessages = Math.max(0, unansweredMessages - 1);
        idleSince = clock.getAsDouble();
    }

    /** Stops timing for good: the last answer of the connection or stream is being written, and further input is ignored. */
    void stop() {
        cancelTimer();
        stopped = true;
        messageInProgress = false;
        unansweredMessages = 0;
    }

    /** Stops timing the current message until {@link #restartTimer}, while its sender waits for this server. */
    void suspendTimer() {
        cancelTimer();
    }

    /**
     * Gives the current message, if any, its full time again.
     *
     * @param ctx context of any handler of this pipeline
     */
    void restartTimer(ChannelHandlerContext ctx) {
        if (messageInProgress && !stopped && !readingPaused && timer == null) {
            startTimer(ctx);
        }
    }

    /** Records that reading is paused and stops the timer. */
    void pauseReading() {
        suspendTimer();
        readingPaused = true;
        if (Double.isNaN(unreadSince)) {
            unreadSince = clock.getAsDouble();
        }
    }

    /** Records that reading is resumed and restarts the timer. */
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
