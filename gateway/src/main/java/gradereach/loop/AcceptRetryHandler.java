package gradereach.loop;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;

/**
 * On a listener: goes on soon after a connection could not be accepted, for want of descriptors or since it has ended
 * already. Netty's own acceptor would pause for a second, longer than many a client waits: it does not hear of it.
 *
 * <p>One for each listener; it may be handed to Netty again where that could not be bound.
 */
@Sharable
public class AcceptRetryHandler extends ChannelInboundHandlerAdapter {
    /** Milliseconds. A failure that has passed must not hold up what waits behind it. */
    private static final long INITIAL_BACKOFF_MILLIS = 1;
    /** Milliseconds for connections to end before accepting is tried again; in vain it costs one call. */
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
