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
 * is a connection that brings none. First in the pipeline: it sees bytes or frames before any codec.
 */
final class MessageClock extends ChannelInboundHandlerAdapter {
    /** Fired down the pipeline when a message took too long. */
    static final Object TOO_SLOW = new Object();

    private final long wholeWithin;
    private final long idle;
    private final DoubleSupplier clock;
    private final DoubleSupplier arrivals;
    private final Counts.Limit slow;
    private ScheduledFuture<?> deadline;
    private boolean inMessage;
    private boolean owing;
    private double firstByteAt;
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
        return !inMessage && !owing && clock.getAsDouble() - quietSince >= idle;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!inMessage) {
            inMessage = true;
            firstByteAt = arrivals.getAsDouble();
            deadline = ctx.executor().schedule(() -> {
                slow.refuse();
                ctx.fireUserEventTriggered(TOO_SLOW);
            }, wholeWithin, TimeUnit.MILLISECONDS);
        }
        ctx.fireChannelRead(msg);
    }

    /** The message is whole; its first byte came at the result, in module time. */
    double whole() {
        cancel();
        inMessage = false;
        owing = true;
        return firstByteAt;
    }

    /** Its answer has gone out. */
    void answered() {
        owing = false;
        quietSince = clock.getAsDouble();
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
