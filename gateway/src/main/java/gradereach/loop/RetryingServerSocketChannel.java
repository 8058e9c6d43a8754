package gradereach.loop;

import io.netty.channel.socket.nio.NioServerSocketChannel;

/** A listener that {@link AcceptRetry} watches, also where a library puts its pipeline together. */
public final class RetryingServerSocketChannel extends NioServerSocketChannel {
    /** For Netty, which makes channels of their class. */
    public RetryingServerSocketChannel() {
        pipeline().addLast(new AcceptRetryHandler());
    }
}
