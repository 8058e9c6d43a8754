package gradereach.loop;

import io.netty.channel.socket.nio.NioServerSocketChannel;

/** A listener with an {@link AcceptRetryHandler}, also where a library assembles the pipeline. */
public final class RetryingServerSocketChannel extends NioServerSocketChannel {
    /** Called by Netty, which creates channels by reflection. */
    public RetryingServerSocketChannel() {
        pipeline().addLast(new AcceptRetryHandler());
    }
}
