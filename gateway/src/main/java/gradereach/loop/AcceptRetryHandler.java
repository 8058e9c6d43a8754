package gradereach.loop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * Makes a listener accept again soon after an accept failed, because no file descriptor was left or the connection was
 * already closed. Netty's own acceptor would stop accepting for a second, longer than many clients wait; this handler does not
 * pass the exception on to it.
 *
 * <p>Each listener needs its own handler. It is sharable so that it can be reused when binding failed and is retried.
 */
@Sharable
public class AcceptRetryHandler extends ChannelInboundHandlerAdapter {
    /** Short, since a failure that is over must not delay the connections that wait. */
    private static final long INITIAL_BACKOFF_MILLIS = 1;
    /** Gives connections time to close before the next attempt; a failed attempt costs one system call. */
    private static final long MAX_BACKOFF_MILLIS = 20;

    private long backoffMillis = INITIAL_BACKOFF_MILLIS;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        backoffMillis = INITIAL_BACKOFF_MILLIS;
        ctx.fireChannelRead(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Channel listener = ctx.channel();
        listener.config().setAutoRead(false);
        listener.eventLoop().schedule(() -> listener.config().setAutoRead(true), backoffMillis, TimeUnit.MILLISECONDS);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
    }
}
